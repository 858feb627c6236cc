//! The connections of callers: their number is bounded, and idle ones are closed first.
//!
//! Handles callers that open more connections than the process has descriptors or memory for, and
//! callers that don't read their answers.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::net::BoxIo;

/// Memory of a connection's buffers and task, in bytes: a buffer of 8 KiB to write, one of 8 KiB to
/// read, and some kilobytes of state.
pub const CONNECTION_BYTES: u64 = 20 << 10;

/// Maximum number of bytes of one read from a connection. One less than 16 KiB keeps the read buffer,
/// which grows after a read that fills it, at 16 KiB.
const READ_MAX_BYTES: usize = (16 << 10) - 1;

/// Descriptors of the process that are for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Share of the other descriptors that is left for upstreams, the store, readiness checks and metrics.
const OTHER_DESCRIPTORS_SHARE: f64 = 0.25;

/// Maximum number of connections if neither memory nor descriptors are stated.
const DEFAULT_CONNECTIONS_MAX: u64 = 65_536;

/// Smallest number of connections that a VM takes, however small it is.
const CONNECTIONS_MIN: u64 = 16;

/// Time for which a caller must not have read anything of its answer before its connection may be
/// closed in favour of other answers, in milliseconds. A round trip with a lost packet takes less.
const SLOW_READER_MIN_MS: u64 = 1_000;

/// Interval at which a listener without a free connection looks again, in milliseconds.
const FREE_CHECK_INTERVAL_MS: u64 = 50;

/// `ConnectionTableOptions` bounds the connections of callers.
#[derive(Debug, Clone)]
pub struct ConnectionTableOptions {
    /// Maximum number of connections. Defaults to 65,536.
    pub connections_max: u64,
}

impl Default for ConnectionTableOptions {
    fn default() -> Self {
        ConnectionTableOptions { connections_max: DEFAULT_CONNECTIONS_MAX }
    }
}

impl ConnectionTableOptions {
    /// Derives the options from the memory that connections may take, in bytes, and from the
    /// descriptors of the process, each if stated.
    pub fn for_vm(buffers_bytes: Option<u64>, descriptors_max: Option<u64>) -> Self {
        let by_memory = buffers_bytes.map(|bytes| bytes / CONNECTION_BYTES);
        let by_descriptors = descriptors_max.map(|descriptors| {
            let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS) as f64;
            (sockets * (1.0 - OTHER_DESCRIPTORS_SHARE)) as u64
        });
        let bounds = [by_memory, by_descriptors].into_iter().flatten();
        let connections_max = bounds.min().unwrap_or(DEFAULT_CONNECTIONS_MAX);
        ConnectionTableOptions { connections_max: connections_max.max(CONNECTIONS_MIN) }
    }
}

/// `ConnectionTable` lists the open connections of callers. Clones share one table.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: ConnectionTableOptions,
    connections: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    next_key: AtomicU64,
    /// Notified whenever a connection ends.
    ended: Notify,
    started: Instant,
    idle_closed: AtomicU64,
    slow_closed: AtomicU64,
}

/// `ConnectionState` is what is known of a connection, updated by its task.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    started: Instant,
    /// Whether a request is in progress.
    is_busy: AtomicBool,
    /// Time since which no request is in progress, in milliseconds of the table's clock.
    idle_since_ms: AtomicU64,
    /// Time since which the peer takes nothing that is written, in milliseconds of the table's clock;
    /// 0 if it does.
    blocked_since_ms: AtomicU64,
    /// Cancelled to close the connection in favour of others, also within an answer.
    pub closed: CancellationToken,
    /// Cancelled to close the connection in favour of others unless a request is in progress.
    pub retired: CancellationToken,
}

/// `ConnectionEntry` lists a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    table: ConnectionTable,
    key: u64,
    pub state: Arc<ConnectionState>,
}

impl ConnectionTable {
    /// Builds an empty table.
    pub fn new(options: ConnectionTableOptions) -> Self {
        ConnectionTable {
            shared: Arc::new(Shared {
                options,
                connections: Mutex::default(),
                next_key: AtomicU64::new(0),
                ended: Notify::new(),
                started: Instant::now(),
                idle_closed: AtomicU64::new(0),
                slow_closed: AtomicU64::new(0),
            }),
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections().len()
    }

    /// Returns the bytes that the buffers of the connections take.
    pub fn held_bytes(&self) -> u64 {
        self.count() as u64 * CONNECTION_BYTES
    }

    /// Returns the number of connections that were closed since they were idle, and of those whose
    /// callers did not read their answers.
    pub fn closed_counts(&self) -> (u64, u64) {
        let Shared { idle_closed, slow_closed, .. } = &*self.shared;
        (idle_closed.load(Ordering::Relaxed), slow_closed.load(Ordering::Relaxed))
    }

    /// Lists a connection. Waits for a free place, and closes the connection that has been idle for
    /// longest if there is none. Without an idle one, `end_stalled` ends a request that is stalled.
    pub(crate) async fn enter(&self, end_stalled: impl Fn()) -> ConnectionEntry {
        while self.count() as u64 >= self.shared.options.connections_max {
            let ended = self.shared.ended.notified();
            if !self.close_longest_idle() {
                end_stalled();
            }
            // A connection may become idle without ending.
            let _ = timeout(Duration::from_millis(FREE_CHECK_INTERVAL_MS), ended).await;
        }
        let key = self.shared.next_key.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ConnectionState {
            started: self.shared.started,
            is_busy: AtomicBool::new(false),
            idle_since_ms: AtomicU64::new(now_ms(self.shared.started)),
            blocked_since_ms: AtomicU64::new(0),
            closed: CancellationToken::new(),
            retired: CancellationToken::new(),
        });
        self.connections().insert(key, Arc::clone(&state));
        ConnectionEntry { table: self.clone(), key, state }
    }

    /// Closes the connection whose caller has read nothing of its answer for longest, if that is
    /// longer than a slow network explains.
    pub(crate) fn close_slowest_reader(&self) {
        let now_ms = now_ms(self.shared.started);
        let connections = self.connections();
        let blocked = connections.values().filter_map(|state| {
            let since_ms = state.blocked_since_ms.load(Ordering::Relaxed);
            let is_slow = since_ms > 0 && now_ms.saturating_sub(since_ms) >= SLOW_READER_MIN_MS;
            is_slow.then_some((state.closed.is_cancelled(), since_ms, state))
        });
        // One that has not ended yet is waited for.
        let slowest = blocked.min_by_key(|(is_closed, since_ms, _)| (!is_closed, *since_ms));
        if let Some((false, _, state)) = slowest {
            state.closed.cancel();
            self.shared.slow_closed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Closes connections whose callers have read nothing of their answers for a time.
    pub(crate) fn close_blocked(&self, blocked_max_ms: u64) {
        let now_ms = now_ms(self.shared.started);
        for state in self.connections().values() {
            let since_ms = state.blocked_since_ms.load(Ordering::Relaxed);
            let is_over = since_ms > 0 && now_ms.saturating_sub(since_ms) >= blocked_max_ms;
            if is_over && !state.closed.is_cancelled() {
                state.closed.cancel();
                self.shared.slow_closed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns whether there is an idle connection.
    fn close_longest_idle(&self) -> bool {
        let connections = self.connections();
        let idle = connections.values().filter(|state| state.is_idle());
        // One that has not ended yet is waited for.
        let longest = idle.min_by_key(|state| {
            (!state.retired.is_cancelled(), state.idle_since_ms.load(Ordering::Relaxed))
        });
        if let Some(state) = longest.filter(|state| !state.retired.is_cancelled()) {
            state.retired.cancel();
            self.shared.idle_closed.fetch_add(1, Ordering::Relaxed);
        }
        longest.is_some()
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.shared.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.connections().remove(&self.key);
        self.table.shared.ended.notify_one();
    }
}

impl ConnectionState {
    /// Records that a request has arrived.
    pub fn begin_request(&self) {
        self.is_busy.store(true, Ordering::Relaxed);
    }

    /// Records that the connection waits for the head of a request.
    pub fn begin_wait(&self) {
        self.idle_since_ms.store(now_ms(self.started), Ordering::Relaxed);
        self.is_busy.store(false, Ordering::Relaxed);
    }

    /// Returns whether no request is in progress and no answer is being written.
    pub fn is_idle(&self) -> bool {
        !self.is_busy.load(Ordering::Relaxed) && self.blocked_since_ms.load(Ordering::Relaxed) == 0
    }

    /// Returns whether the peer takes nothing that is written.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since_ms.load(Ordering::Relaxed) > 0
    }

    fn record_write<T>(&self, written: &Poll<T>) {
        match written {
            Poll::Ready(_) => self.blocked_since_ms.store(0, Ordering::Relaxed),

            Poll::Pending if !self.is_blocked() => {
                self.blocked_since_ms.store(now_ms(self.started).max(1), Ordering::Relaxed);
            }

            Poll::Pending => {}
        }
    }
}

/// Returns the time since the start of a table, in milliseconds.
fn now_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// `TrackedIo` records whether the peer takes what is written, and bounds the size of reads.
pub(crate) struct TrackedIo {
    pub io: BoxIo,
    pub state: Arc<ConnectionState>,
}

impl AsyncRead for TrackedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_bounded_read(&mut self.io, context, buffer)
    }
}

/// Reads at most [`READ_MAX_BYTES`].
fn poll_bounded_read(
    io: &mut BoxIo,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    if buffer.remaining() <= READ_MAX_BYTES {
        return Pin::new(io).poll_read(context, buffer);
    }
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(READ_MAX_BYTES));
    let read = Pin::new(io).poll_read(context, &mut part);
    let read_bytes = part.filled().len();
    buffer.advance(read_bytes);
    read
}

/// `BoundedReadIo` bounds the size of reads, and so the buffer of a connection to an upstream and the
/// chunks of its answers.
pub(crate) struct BoundedReadIo {
    pub io: BoxIo,
}

impl AsyncRead for BoundedReadIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_bounded_read(&mut self.io, context, buffer)
    }
}

impl AsyncWrite for BoundedReadIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

impl AsyncWrite for TrackedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.state.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, slices);
        self.state.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}
