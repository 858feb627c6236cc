//! Structured, rate-limited and non-blocking logging.
//!
//! Each kind of line has its own token bucket, so that a flood of one kind doesn't displace the
//! others, and dropped lines are counted by kind. Lines are buffered in memory and written by a
//! separate task; a reader of the log that stalls blocks only that task.

use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::{Drain, Logger, Never, OwnedKVList, Record, o, warn};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// Size limit of the buffer of unwritten lines, in bytes. Lines beyond it are dropped and counted.
const BUFFER_MAX_BYTES: usize = 256 << 10;

/// Interval at which buffered lines are written, in milliseconds. Batching saves system calls.
const WRITE_INTERVAL_MS: u64 = 200;

/// Tag of the line that is logged at the end of a request.
pub const TAG_ENDED: &str = "ended";
/// Tag of the decisions about a request that failed, was late or was refused.
pub const TAG_DETAIL: &str = "detail";
/// Tag of the decisions about a request that was sampled.
pub const TAG_SAMPLE: &str = "sample";
/// Tag of lines about the node's start and stop. They have no rate limit, as a node logs only a
/// few.
pub const TAG_LIFECYCLE: &str = "life";

/// `LineKind` is a kind of line with its own rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineKind {
    Ended,
    Detail,
    Sample,
    Untagged,
}

impl LineKind {
    const ALL: [LineKind; 4] =
        [LineKind::Ended, LineKind::Detail, LineKind::Sample, LineKind::Untagged];

    /// Returns the kind of lines with a tag, or `None` for lines without a rate limit.
    fn of(tag: &str) -> Option<Self> {
        match tag {
            TAG_LIFECYCLE => None,
            TAG_ENDED => Some(LineKind::Ended),
            TAG_DETAIL => Some(LineKind::Detail),
            TAG_SAMPLE => Some(LineKind::Sample),
            _ => Some(LineKind::Untagged),
        }
    }

    /// Returns the sustained rate limit, in lines per second. A small VM serves up to some tens of
    /// requests per second; all kinds together come to about 40 KB per second, which log collectors
    /// can ingest.
    fn lines_per_s(self) -> f64 {
        match self {
            LineKind::Ended => 60.0,
            LineKind::Detail => 50.0,
            LineKind::Sample => 5.0,
            LineKind::Untagged => 20.0,
        }
    }

    /// Returns the burst size in lines: one second of requests, and the changes of state that a
    /// node in a large fleet logs at its start.
    fn burst(self) -> f64 {
        match self {
            LineKind::Ended | LineKind::Detail => self.lines_per_s(),
            // All decisions about a few requests that end together.
            LineKind::Sample => 20.0,
            LineKind::Untagged => 300.0,
        }
    }
}

/// `TokenBucket` is the rate limiter of one kind of line.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

/// `DroppedLines` counts the lines that were dropped, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DroppedLines {
    /// Lines at the end of a request.
    pub ended: u64,
    /// Decisions about requests that failed, were late or were refused.
    pub detail: u64,
    /// Decisions about sampled requests.
    pub sample: u64,
    /// Lines without a tag, such as changes of the node's state. Logged as `belief`, the name that
    /// operators' tools read.
    pub untagged: u64,
    /// Lines of any kind that did not fit in the buffer. Logged as `unwritten`, the name that
    /// operators' tools read.
    pub buffer_full: u64,
}

impl DroppedLines {
    /// Returns the number of dropped lines of all kinds.
    pub fn total(&self) -> u64 {
        self.ended + self.detail + self.sample + self.untagged + self.buffer_full
    }

    fn of(&mut self, kind: LineKind) -> &mut u64 {
        match kind {
            LineKind::Ended => &mut self.ended,
            LineKind::Detail => &mut self.detail,
            LineKind::Sample => &mut self.sample,
            LineKind::Untagged => &mut self.untagged,
        }
    }
}

/// `LogBuffer` buffers log lines until they are written.
#[derive(Debug, Clone, Default)]
pub struct LogBuffer {
    buffer: Arc<Mutex<Buffer>>,
}

#[derive(Debug, Default)]
struct Buffer {
    /// Complete lines that have not been written yet.
    pending: Vec<u8>,
    /// The line that is being formatted.
    partial: Vec<u8>,
    buckets: [Option<TokenBucket>; LineKind::ALL.len()],
    /// Lines dropped since the last call of [`LogBuffer::drain_lines`].
    dropped: DroppedLines,
    /// Lines dropped since the start.
    dropped_total: u64,
}

impl io::Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.partial.extend_from_slice(bytes);
        if buffer.partial.ends_with(b"\n") {
            let line = std::mem::take(&mut buffer.partial);
            match buffer.pending.len() + line.len() <= BUFFER_MAX_BYTES {
                true => buffer.pending.extend_from_slice(&line),
                false => {
                    buffer.dropped.buffer_full += 1;
                    buffer.dropped_total += 1;
                }
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// `RateLimited` is a drain that forwards only the lines within the rate limit of their kind.
struct RateLimited<D> {
    log_buffer: LogBuffer,
    drain: D,
}

impl<D: Drain<Ok = (), Err = Never>> Drain for RateLimited<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match LineKind::of(record.tag()) {
            Some(kind) if !self.log_buffer.try_acquire_line(kind) => Ok(()),
            _ => self.drain.log(record, values),
        }
    }
}

impl LogBuffer {
    /// Builds a logger that writes to this buffer and adds the node's name to each line.
    pub fn logger(&self, node: &str) -> Logger {
        let format = slog_json::Json::default(self.clone());
        let drain = RateLimited { log_buffer: self.clone(), drain: Mutex::new(format).fuse() };
        Logger::root(drain.fuse(), o!("node" => node.to_owned()))
    }

    /// Drains the buffered lines, and returns them with the counts of the lines that were dropped
    /// since the last call.
    pub fn drain_lines(&self) -> (Vec<u8>, DroppedLines) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut buffer.pending), std::mem::take(&mut buffer.dropped))
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped_total(&self) -> u64 {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner).dropped_total
    }

    /// Takes a token for a line of a kind, or counts the line as dropped.
    ///
    /// Returns whether the line may be written.
    fn try_acquire_line(&self, kind: LineKind) -> bool {
        let now = Instant::now();
        let burst = kind.burst();
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buffer.buckets[kind as usize]
            .get_or_insert(TokenBucket { tokens: burst, refilled_at: now });
        let refill =
            now.saturating_duration_since(bucket.refilled_at).as_secs_f64() * kind.lines_per_s();
        bucket.tokens = (bucket.tokens + refill).min(burst);
        bucket.refilled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return true;
        }
        *buffer.dropped.of(kind) += 1;
        buffer.dropped_total += 1;
        false
    }

    /// Writes buffered lines to the output until the task is dropped.
    ///
    /// Lines that could not be written are written again, since an output may fail for a while, as
    /// when its disk is full. A part of them may then stand there twice.
    pub async fn write_out(self, mut output: impl AsyncWrite + Unpin, logger: Logger) {
        let mut is_failing = false;
        loop {
            sleep(Duration::from_millis(WRITE_INTERVAL_MS)).await;
            let (lines, dropped) = self.drain_lines();
            if dropped.total() > 0 {
                warn!(logger, #TAG_LIFECYCLE, "log lines left out"; "ended" => dropped.ended,
                    "detail" => dropped.detail, "sample" => dropped.sample,
                    "belief" => dropped.untagged, "unwritten" => dropped.buffer_full);
            }
            if lines.is_empty() {
                continue;
            }
            match write_lines(&mut output, &lines, is_failing).await {
                Ok(()) => is_failing = false,

                Err(error) => {
                    self.restore_lines(lines);
                    if !std::mem::replace(&mut is_failing, true) {
                        warn!(logger, #TAG_LIFECYCLE, "log output failed, writing again";
                            "error" => %error);
                    }
                }
            }
        }
    }

    /// Puts lines that could not be written before those that were logged meanwhile.
    fn restore_lines(&self, mut lines: Vec<u8>) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        lines.append(&mut buffer.pending);
        buffer.pending = lines;
    }
}

/// Writes lines to the output. After a failure, the output may end within a line, which is ended
/// first.
async fn write_lines(
    output: &mut (impl AsyncWrite + Unpin),
    lines: &[u8],
    is_after_failure: bool,
) -> io::Result<()> {
    if is_after_failure {
        output.write_all(b"\n").await?;
    }
    output.write_all(lines).await?;
    output.flush().await
}
