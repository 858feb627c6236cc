//! Bodies: whole ones, relayed ones, and reading with limits.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::{Error, Result};

/// Chunks that a relayed body holds before its sender waits.
const RELAY_DEPTH: usize = 16;

/// Time for a connection to write out the last chunk before an abort, in milliseconds.
const ABORT_DELAY_MS: u64 = 10;

/// `Aborted` ends a body without its end marker, so the receiver sees a broken message.
#[derive(Debug, thiserror::Error)]
#[error("the body was aborted")]
pub struct Aborted;

/// `Body` is the body of an outgoing message.
#[derive(Debug)]
pub enum Body {
    /// The whole body is at hand.
    Whole(Full<Bytes>),
    /// The body arrives in chunks.
    Relayed(mpsc::Receiver<std::result::Result<Bytes, Aborted>>),
}

/// `BodySender` feeds a relayed body. Dropping it ends the body cleanly.
#[derive(Debug, Clone)]
pub struct BodySender {
    chunks: mpsc::Sender<std::result::Result<Bytes, Aborted>>,
}

impl Body {
    /// Builds a body from bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Body::Whole(Full::new(bytes.into()))
    }

    /// Builds an empty body.
    pub fn empty() -> Self {
        Body::whole(Bytes::new())
    }

    /// Builds a relayed body and the sender that feeds it.
    pub fn relayed() -> (BodySender, Self) {
        let (chunks, receiver) = mpsc::channel(RELAY_DEPTH);
        (BodySender { chunks }, Body::Relayed(receiver))
    }
}

impl BodySender {
    /// Sends a chunk. Returns `false` if the receiver has gone.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the body as broken, never as a clean close, after what was sent before has gone out.
    pub async fn abort(self) {
        let is_drained = || self.chunks.capacity() == self.chunks.max_capacity();
        while !is_drained() && !self.chunks.is_closed() {
            sleep(Duration::from_millis(ABORT_DELAY_MS)).await;
        }
        // A connection that meets the error drops what it has not written yet.
        sleep(Duration::from_millis(ABORT_DELAY_MS)).await;
        // A receiver that has gone needs no error.
        let _ = self.chunks.send(Err(Aborted)).await;
    }

    /// Waits until the receiver has gone.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Body::Whole(full) => Pin::new(full).poll_frame(context).map_err(|never| match never {}),

            Body::Relayed(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(full) => full.is_end_stream(),
            Body::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(full) => full.size_hint(),
            Body::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Reads a whole body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] for a larger body and [`Error::BodyCut`] for one that ends early.
pub async fn read_all(body: Incoming, limit_bytes: usize) -> Result<Bytes> {
    let limited = Limited::new(body, limit_bytes);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),

        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Error::TooLarge { limit_bytes })
        }

        Err(error) => Err(Error::BodyCut(error.to_string())),
    }
}
