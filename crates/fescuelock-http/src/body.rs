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
use tokio::time::{sleep, timeout};

use crate::byte_budget::{BodyReading, ByteBudget};
use crate::request_body::RequestBody;
use crate::{Error, Result};

/// Number of chunks that a streamed body buffers before its sender waits.
const CHANNEL_CAPACITY_CHUNKS: usize = 16;

/// Time that a connection gets to write out the last chunk before an abort, in milliseconds.
const ABORT_FLUSH_DELAY_MS: u64 = 10;

/// Smallest growth of the memory of a body that is read, in bytes.
const GROWTH_MIN_BYTES: usize = 8 << 10;

/// `BodyLimits` bounds a request body that is read.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size, in bytes. Defaults to 1 MiB.
    pub max_bytes: usize,
    /// Time within which more of the body must arrive, in milliseconds. Defaults to 15,000.
    pub idle_timeout_ms: u64,
    /// Team whose share of the budget the body counts in, if teams have shares.
    pub team: Option<u64>,
}

impl Default for BodyLimits {
    fn default() -> Self {
        BodyLimits { max_bytes: 1 << 20, idle_timeout_ms: 15_000, team: None }
    }
}

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

    /// Sends a chunk like [`BodySender::send`]. If the receiver is behind, the chunk is copied and
    /// leased from the budget first, so that it neither pins a larger buffer nor goes uncounted.
    pub async fn send_leased(&self, chunk: Bytes, budget: &ByteBudget) -> bool {
        if self.chunks.capacity() == self.chunks.max_capacity() {
            return self.send(chunk).await;
        }
        let leasing = budget.lease_events(chunk.len());
        tokio::select! {
            biased;
            lease = leasing => self.send(lease.into_bytes(chunk.to_vec())).await,
            () = self.closed() => false,
        }
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

/// Reads a request body within its limits. The bytes are leased from the budget before they are held,
/// until the last reference to the body is dropped.
///
/// A body whose announced size is over the limit is not read.
///
/// # Errors
///
/// Returns [`Error::TooLarge`], [`Error::BudgetShort`], [`Error::BodyStalled`] or
/// [`Error::IncompleteBody`].
pub async fn read_request(
    body: RequestBody,
    budget: &ByteBudget,
    limits: &BodyLimits,
) -> Result<Bytes> {
    let announced = body.size_hint();
    if announced.lower() > limits.max_bytes as u64 {
        return Err(Error::TooLarge { limit_bytes: limits.max_bytes });
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut reading = budget.begin_body(limits.team);
    let size_max = announced.exact().map_or(limits.max_bytes, |bytes| bytes as usize);
    let ended = reading.token();
    let collected = tokio::select! {
        biased;
        () = ended.cancelled() => None,
        collected = collect(body, &mut reading, limits, size_max) => Some(collected),
    };
    match collected {
        Some(collected) => collected.map(|bytes| reading.finish(bytes)),
        None => Err(Error::BudgetShort { retry_after_ms: reading.expected_wait_ms() }),
    }
}

/// Copies the frames of a body, which may refer to larger buffers, into memory that is leased.
async fn collect(
    mut body: RequestBody,
    reading: &mut BodyReading,
    limits: &BodyLimits,
    size_max: usize,
) -> Result<Vec<u8>> {
    let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
    let mut bytes = Vec::new();
    loop {
        let frame = match timeout(idle_timeout, body.frame()).await {
            Ok(None) => return Ok(bytes),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(Error::IncompleteBody(error.to_string())),
            Err(_) => return Err(Error::BodyStalled { limit_ms: limits.idle_timeout_ms }),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed_bytes = bytes.len() + data.len();
        if needed_bytes > limits.max_bytes {
            return Err(Error::TooLarge { limit_bytes: limits.max_bytes });
        }
        if needed_bytes > bytes.capacity() {
            let capacity = grown_capacity(bytes.capacity(), needed_bytes, size_max);
            if !reading.grow(capacity - bytes.capacity()).await {
                return Err(Error::BudgetShort { retry_after_ms: reading.expected_wait_ms() });
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
        reading.record_progress(data.len());
    }
}

/// Returns the next capacity of memory that grows by half, up to the largest size.
fn grown_capacity(capacity: usize, needed_bytes: usize, size_max: usize) -> usize {
    let grown = capacity + (capacity / 2).max(GROWTH_MIN_BYTES);
    grown.min(size_max).max(needed_bytes)
}

/// Reads a complete answer of at most `limit_bytes`. The bytes are leased from the budget before they
/// are held, until the caller has read them. The upstream waits while the budget is short.
///
/// # Errors
///
/// Returns the errors of [`read_all`].
pub async fn read_answer<B>(mut body: B, budget: &ByteBudget, limit_bytes: usize) -> Result<Bytes>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let announced = body.size_hint();
    if announced.lower() > limit_bytes as u64 {
        return Err(Error::TooLarge { limit_bytes });
    }
    let size_max = announced.exact().map_or(limit_bytes, |bytes| bytes as usize);
    // Room for the whole answer is taken first if its size is known, so that answers that have begun
    // don't wait for each other.
    let announced_bytes = announced.exact().map_or(0, |bytes| bytes as usize);
    let mut lease = budget.lease_answer(announced_bytes).await;
    let mut bytes = Vec::with_capacity(announced_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::IncompleteBody(error.into().to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let needed_bytes = bytes.len() + data.len();
        if needed_bytes > limit_bytes {
            return Err(Error::TooLarge { limit_bytes });
        }
        if needed_bytes > bytes.capacity() {
            let capacity = grown_capacity(bytes.capacity(), needed_bytes, size_max);
            lease.grow_answer(capacity - bytes.capacity()).await;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(lease.into_bytes(bytes))
}
