//! Message bodies: buffered ones, streamed ones, and reading with a size limit.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::{Error, Result};

/// Number of chunks that a streamed body buffers before its sender waits.
const CHANNEL_CAPACITY_CHUNKS: usize = 16;

/// Time that a connection gets to write out the last chunk before an abort, in milliseconds.
const ABORT_FLUSH_DELAY_MS: u64 = 10;

/// `Aborted` ends a body without its terminator, so that the receiver sees an incomplete message.
#[derive(Debug, thiserror::Error)]
#[error("the body was aborted")]
pub struct Aborted;

/// `Body` is the body of an outgoing message.
#[derive(Debug)]
pub enum Body {
    /// The complete body is in memory.
    Buffered(Full<Bytes>),
    /// The body arrives in chunks over a channel.
    Streamed(StreamedBody),
}

/// `StreamedBody` is the receiving side of a streamed body.
#[derive(Debug)]
pub struct StreamedBody {
    chunks: mpsc::Receiver<Bytes>,
    is_finished: Arc<AtomicBool>,
}

/// `BodySender` sends the chunks of a streamed body.
///
/// Only [`BodySender::finish`] ends the body cleanly. A sender that is dropped otherwise, as by a
/// panic, aborts it.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Bytes>,
    is_finished: Arc<AtomicBool>,
}

impl Body {
    /// Builds a body from bytes in memory.
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        Body::Buffered(Full::new(bytes.into()))
    }

    /// Builds an empty body.
    pub fn empty() -> Self {
        Body::buffered(Bytes::new())
    }

    /// Builds a streamed body and its sender.
    pub fn streamed() -> (BodySender, Self) {
        let (chunks, receiver) = mpsc::channel(CHANNEL_CAPACITY_CHUNKS);
        let is_finished = Arc::new(AtomicBool::new(false));
        let body = StreamedBody { chunks: receiver, is_finished: Arc::clone(&is_finished) };
        (BodySender { chunks, is_finished }, Body::Streamed(body))
    }
}

impl BodySender {
    /// Sends a chunk. Returns `false` if the receiver was dropped.
    pub async fn send(&self, chunk: Bytes) -> bool {
        self.chunks.send(chunk).await.is_ok()
    }

    /// Ends the body cleanly after all chunks that were sent.
    pub fn finish(self) {
        self.is_finished.store(true, Ordering::Release);
    }

    /// Ends the body with an error, never as a clean end, after the connection has written all
    /// chunks that were sent before.
    pub async fn abort(self) {
        let is_drained = || self.chunks.capacity() == self.chunks.max_capacity();
        while !is_drained() && !self.chunks.is_closed() {
            sleep(Duration::from_millis(ABORT_FLUSH_DELAY_MS)).await;
        }
        // On the error, the connection discards data that it has not written yet.
        sleep(Duration::from_millis(ABORT_FLUSH_DELAY_MS)).await;
    }

    /// Waits until the receiver is dropped.
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
            Body::Buffered(full) => {
                Pin::new(full).poll_frame(context).map_err(|never| match never {})
            }

            Body::Streamed(body) => match ready!(body.chunks.poll_recv(context)) {
                Some(chunk) => Poll::Ready(Some(Ok(Frame::data(chunk)))),
                None if body.is_finished.load(Ordering::Acquire) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(Aborted))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Buffered(full) => full.is_end_stream(),
            Body::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(full) => full.size_hint(),
            Body::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Reads a complete body of at most `limit_bytes`.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] for a larger body and [`Error::IncompleteBody`] for one that ends early.
pub async fn read_all<B>(body: B, limit_bytes: usize) -> Result<Bytes>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, limit_bytes);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),

        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Error::TooLarge { limit_bytes })
        }

        Err(error) => Err(Error::IncompleteBody(error.to_string())),
    }
}
