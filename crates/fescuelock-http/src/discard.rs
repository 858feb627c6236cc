//! Discarding the rest of a request that was answered before it was read.
//!
//! Closing a TCP connection with unread data resets it, and the reset may overtake the response. So
//! the rest of the request is read and discarded, within bounds on size and time.

use std::time::Duration;

use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::net::BoxIo;
use crate::request_body::{ReadProgress, UnreadBody};

/// Size of the buffer that discarded data is read into, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// `DiscardOptions` bounds how much of a request is read after its response, and for how long.
#[derive(Debug, Clone)]
pub struct DiscardOptions {
    /// Maximum size of the data that is read before a connection is closed, in bytes. Defaults to
    /// 4 MiB.
    pub max_bytes: u64,
    /// Time after which a connection is closed although the request has not ended, in
    /// milliseconds. Defaults to 5,000.
    pub timeout_ms: u64,
    /// Timeout once the server is stopping, in milliseconds. Defaults to 1,000.
    pub stop_timeout_ms: u64,
    /// Maximum size of an unread body for which the connection is kept open, in bytes. Defaults to
    /// 64 KiB.
    pub keep_alive_max_bytes: u64,
}

impl Default for DiscardOptions {
    fn default() -> Self {
        DiscardOptions {
            max_bytes: 4 << 20,
            timeout_ms: 5_000,
            stop_timeout_ms: 1_000,
            keep_alive_max_bytes: 64 << 10,
        }
    }
}

/// `DiscardEnd` is the reason why discarding ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscardEnd {
    /// The body ended, or the caller closed the connection.
    Drained,
    /// The caller sent more than the limit.
    TooLarge,
    /// The caller was still sending after the timeout.
    TimedOut,
}

/// `Discard` describes how the rest of a request was discarded, for the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Discard {
    /// Reason of the end.
    pub end: DiscardEnd,
    /// Whether the connection takes further requests.
    pub keeps_connection: bool,
}

/// Returns whether a connection may be kept open after its unread body has been discarded.
///
/// A caller that waits for `100 Continue` may leave out the body after a final status, so that the
/// next bytes on the connection are ambiguous.
pub(crate) fn may_keep_alive(
    unread: &UnreadBody,
    expects_continue: bool,
    options: &DiscardOptions,
) -> bool {
    let size_bytes = unread.incoming.size_hint().exact();
    match unread.progress {
        ReadProgress::Failed => false,
        ReadProgress::Untouched if expects_continue => false,
        _ => size_bytes.is_some_and(|size_bytes| size_bytes <= options.keep_alive_max_bytes),
    }
}

/// Discards the rest of a body, whose size is known and within the limit.
pub(crate) async fn discard_body(
    mut body: Incoming,
    options: &DiscardOptions,
    stop: &CancellationToken,
) -> DiscardEnd {
    let reading = async {
        while let Some(Ok(_)) = body.frame().await {}
        DiscardEnd::Drained
    };
    tokio::select! {
        biased;
        end = reading => end,
        () = timed_out(options, stop) => DiscardEnd::TimedOut,
    }
}

/// Closes a connection in order: ends the sending direction, then discards what the peer still
/// sends until it closes the connection too.
pub(crate) async fn close_in_order(
    mut io: BoxIo,
    options: &DiscardOptions,
    stop: &CancellationToken,
) -> DiscardEnd {
    let reading = async {
        // If the peer has reset the connection, the read fails as well.
        let _ = io.shutdown().await;
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        let mut discarded_bytes = 0_u64;
        loop {
            match io.read(&mut buffer).await {
                Ok(0) | Err(_) => return DiscardEnd::Drained,
                Ok(_) if discarded_bytes > options.max_bytes => return DiscardEnd::TooLarge,
                Ok(read_bytes) => discarded_bytes += read_bytes as u64,
            }
        }
    };
    tokio::select! {
        biased;
        end = reading => end,
        () = timed_out(options, stop) => DiscardEnd::TimedOut,
    }
}

/// Waits for the timeout, which is shorter once the server is stopping.
async fn timed_out(options: &DiscardOptions, stop: &CancellationToken) {
    let stopping = async {
        stop.cancelled().await;
        sleep(Duration::from_millis(options.stop_timeout_ms)).await;
    };
    tokio::select! {
        () = sleep(Duration::from_millis(options.timeout_ms)) => {}
        () = stopping => {}
    }
}
