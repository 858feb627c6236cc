//! The HTTP server loop, with one task per connection.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;

use arc_swap::ArcSwap;
use fescuelock_core::tasks::TaskGroup;
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::AsyncWriteExt;
use tokio_util::sync::CancellationToken;

use crate::body::{Body, read_answer};
use crate::byte_budget::ByteBudget;
use crate::connections::{ConnectionEntry, ConnectionState, TrackedIo};
use crate::discard::{self, Discard, DiscardEnd, DiscardOptions, may_keep_alive};
use crate::header_timer::HeaderTimer;
use crate::net::{BoxFuture, BoxIo, Listener};
use crate::panics;
use crate::pool::HttpVersion;
use crate::request_body::{RequestBody, UnreadSlot};

/// Delay after a failed accept, in milliseconds, so that the loop does not spin while the process
/// is out of file descriptors.
const ACCEPT_RETRY_MS: u64 = 50;

/// Lower bound on the maximum size of a connection's buffer, in bytes. It leaves room for limits on
/// the request head that are raised while a connection is open.
const BUFFER_MIN_BYTES: usize = 128 << 10;

/// Interval at which connections whose callers read nothing are looked for, in milliseconds. It is
/// short against the timeout of writes.
const BLOCKED_CHECK_INTERVAL_MS: u64 = 5_000;

/// Maximum size of a streamed body that is sent to a caller of HTTP/1.0, in bytes.
const UNCHUNKED_BODY_MAX_BYTES: usize = 8 << 20;

/// `Handler` handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn handle(self: Arc<Self>, request: Request<RequestBody>)
    -> BoxFuture<'static, Response<Body>>;

    /// Records how the rest of a request was discarded that was answered before it was read. `label`
    /// is that of its response; a request whose head could not be read has none.
    fn record_discard(&self, _label: Option<&RequestLabel>, _discard: Discard) {}
}

/// `RequestLabel` names a request in the record of what happens after its response. Handlers may add
/// it to the extensions of the response.
#[derive(Debug, Clone)]
pub struct RequestLabel(pub String);

/// `ServerOptions` configures the connections of a server.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// HTTP version. Defaults to HTTP/1.1.
    pub version: HttpVersion,
    /// Timeout for reading the headers of a request, in milliseconds. It also runs while a
    /// connection is idle. Defaults to 10,000.
    pub header_timeout_ms: u64,
    /// Time for which a caller may read nothing of its answer before the connection is closed, in
    /// milliseconds. Defaults to 60,000.
    pub write_timeout_ms: u64,
    /// Maximum number of headers of a request. Defaults to 200.
    pub headers_max: usize,
    /// Maximum size of a request's line and headers, in bytes. Defaults to 64 KiB.
    pub head_max_bytes: usize,
    /// Bounds on reading a request on after it was answered.
    pub discard: DiscardOptions,
}

/// `SharedOptions` holds options that may change while a server runs.
///
/// Open connections follow changes of the limits on time and size. The HTTP version and the maximum
/// number of headers are those from when the connection was accepted.
pub type SharedOptions = Arc<ArcSwap<ServerOptions>>;

impl ServerOptions {
    /// Wraps the options so that they can be changed while a server runs.
    pub fn shared(self) -> SharedOptions {
        Arc::new(ArcSwap::from_pointee(self))
    }
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            version: HttpVersion::Http1,
            header_timeout_ms: 10_000,
            write_timeout_ms: 60_000,
            headers_max: 200,
            head_max_bytes: 64 << 10,
            discard: DiscardOptions::default(),
        }
    }
}

/// `Server` accepts connections until it is stopped.
#[derive(Clone)]
pub struct Server {
    /// Options of the connections.
    pub options: SharedOptions,
    /// The group in which the tasks of connections run.
    pub tasks: TaskGroup,
    /// When cancelled, the server stops accepting, and each connection closes after its current
    /// request.
    pub stop: CancellationToken,
}

/// `BusyConnections` counts the HTTP/1.1 connections of a server on which a request has arrived.
///
/// A stopping server closes those that are idle. Then the count is that of the connections whose
/// last response has not been written to its end.
#[derive(Debug, Clone, Default)]
pub struct BusyConnections {
    count: Arc<AtomicU64>,
}

impl BusyConnections {
    /// Returns the number of connections.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }
}

/// `BusyGuard` counts its connection as busy from its first request until it is dropped.
struct BusyGuard {
    connections: BusyConnections,
    is_busy: AtomicBool,
}

impl BusyGuard {
    fn begin(&self) {
        if !self.is_busy.swap(true, Ordering::Relaxed) {
            self.connections.count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        if *self.is_busy.get_mut() {
            self.connections.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Server {
    /// Accepts connections and serves each in its own task.
    pub async fn run(self, listener: Box<dyn Listener>, handler: Arc<impl Handler>) {
        self.run_counted(listener, handler, BusyConnections::default()).await;
    }

    /// Accepts connections like [`Server::run`], and counts those on which a request has arrived.
    pub async fn run_counted(
        self,
        listener: Box<dyn Listener>,
        handler: Arc<impl Handler>,
        busy: BusyConnections,
    ) {
        self.run_budgeted(listener, handler, busy, ByteBudget::default()).await;
    }

    /// Accepts connections like [`Server::run_counted`], within the bounds of a budget on their
    /// number.
    pub async fn run_budgeted(
        self,
        listener: Box<dyn Listener>,
        handler: Arc<impl Handler>,
        busy: BusyConnections,
        budget: ByteBudget,
    ) {
        let closing = self.close_blocked(&budget);
        let accepting = self.clone().accept(listener, handler, busy, budget.clone());
        tokio::select! {
            biased;
            () = accepting => {}
            () = closing => {}
        }
    }

    async fn accept(
        self,
        listener: Box<dyn Listener>,
        handler: Arc<impl Handler>,
        busy: BusyConnections,
        budget: ByteBudget,
    ) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(io) => {
                    let entry = tokio::select! {
                        biased;
                        () = self.stop.cancelled() => return,
                        entry = budget.enter_connection() => entry,
                    };
                    let counted = (busy.clone(), budget.clone());
                    let serving = self.clone().serve(io, Arc::clone(&handler), counted, entry);
                    self.tasks.spawn(serving);
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
            }
        }
    }

    /// Closes connections whose callers read nothing, as long as the server accepts connections.
    async fn close_blocked(&self, budget: &ByteBudget) {
        loop {
            tokio::time::sleep(Duration::from_millis(BLOCKED_CHECK_INTERVAL_MS)).await;
            budget.connections().close_blocked(self.options.load().write_timeout_ms);
        }
    }

    async fn serve(
        self,
        io: BoxIo,
        handler: Arc<impl Handler>,
        (busy, budget): (BusyConnections, ByteBudget),
        entry: ConnectionEntry,
    ) {
        let options = self.options.load_full();
        let io = TrackedIo { io, state: Arc::clone(&entry.state) };
        match options.version {
            HttpVersion::Http1 => self.serve_http1(io, handler, options, (busy, budget)).await,
            HttpVersion::Http2 => self.serve_http2(io, handler).await,
        }
    }

    async fn serve_http1(
        self,
        io: TrackedIo,
        handler: Arc<impl Handler>,
        options: Arc<ServerOptions>,
        (busy, budget): (BusyConnections, ByteBudget),
    ) {
        let state = Arc::clone(&io.state);
        let busy_guard = Arc::new(BusyGuard { connections: busy, is_busy: AtomicBool::new(false) });
        let has_unread_data = Arc::new(AtomicBool::new(false));
        let pending_discards = Arc::new(AtomicU64::new(0));
        let has_discard_timed_out = Arc::new(AtomicBool::new(false));
        let last_label = Arc::new(Mutex::new(None));
        let mut builder = http1::Builder::new();
        builder
            .timer(HeaderTimer { options: Arc::clone(&self.options), state: Arc::clone(&state) })
            .header_read_timeout(Duration::from_millis(options.header_timeout_ms))
            .max_headers(options.headers_max)
            .max_buf_size(options.head_max_bytes.max(BUFFER_MIN_BYTES));
        let exchange = Exchange {
            handler: Arc::clone(&handler),
            tasks: self.tasks.clone(),
            options: Arc::clone(&self.options),
            stop: self.stop.clone(),
            has_unread_data: Arc::clone(&has_unread_data),
            pending_discards: Arc::clone(&pending_discards),
            has_discard_timed_out: Arc::clone(&has_discard_timed_out),
            last_label: Arc::clone(&last_label),
            busy_guard: Arc::clone(&busy_guard),
            state: Arc::clone(&state),
            budget,
        };
        let service = service_fn(move |request| Box::pin(exchange.clone().respond(request)));
        let mut connection = builder.serve_connection(TokioIo::new(io), service);
        let mut stopped = std::pin::pin!(self.stop.cancelled());
        let mut retired = std::pin::pin!(state.retired.cancelled());
        let mut is_stopping = false;
        // Only a poll with shutdown writes out the response before the connection ends.
        let serving = poll_fn(|context| {
            let ended = Pin::new(&mut connection).poll(context);
            let is_retired =
                state.retired.is_cancelled() || retired.as_mut().poll(context).is_ready();
            // A connection without a request ends at once, also if a part of a head has arrived.
            match ended {
                Poll::Ready(ended) => return Poll::Ready(Some(ended)),
                Poll::Pending if is_retired && state.is_idle() => return Poll::Ready(None),
                Poll::Pending => {}
            }
            if is_stopping || (stopped.as_mut().poll(context).is_pending() && !is_retired) {
                return Poll::Pending;
            }
            is_stopping = true;
            Pin::new(&mut connection).graceful_shutdown();
            Pin::new(&mut connection).poll(context).map(Some)
        });
        let ended = tokio::select! {
            biased;
            () = state.closed.cancelled() => None,
            ended = serving => ended,
        };
        // A connection that is closed in favour of others ends without waiting for its caller.
        let Some(ended) = ended else {
            return;
        };
        // A request head that could not be parsed has been answered, but not read to its end.
        let has_rejected_head = ended.as_ref().is_err_and(|error| error.is_parse());
        // A stop also ends connections whose request is still being read.
        let is_discarding = ended.is_ok() && pending_discards.load(Ordering::Relaxed) > 0;
        let has_unread_data = ended.is_ok() && has_unread_data.load(Ordering::Relaxed);
        let is_sending = has_rejected_head || is_discarding || has_unread_data;
        // The caller may be sending its next request. A stop does not wait for that one.
        let may_send = ended.is_ok() && !has_discard_timed_out.load(Ordering::Relaxed);
        let _busy_guard = is_sending.then_some(busy_guard);
        let mut io = connection.into_parts().io.into_inner();
        if is_sending || may_send {
            let options = self.options.load_full();
            // The response has been written, so that the connection counts as idle from now on.
            state.begin_wait();
            let closing = discard::close_in_order(Box::new(io), &options.discard, &self.stop);
            let end = tokio::select! {
                biased;
                end = closing => end,
                () = state.retired.cancelled() => DiscardEnd::TimedOut,
            };
            let label = last_label.lock().unwrap_or_else(PoisonError::into_inner).take();
            // A body that was already being discarded has its own record.
            if has_rejected_head || has_unread_data {
                let discard = Discard { end, keeps_connection: false };
                handler.record_discard(label.as_ref(), discard);
            }
        } else {
            // The peer is gone if this fails.
            let _ = io.shutdown().await;
        }
    }

    async fn serve_http2(self, io: TrackedIo, handler: Arc<impl Handler>) {
        // Streams are not told apart, so that the connection never counts as idle.
        io.state.begin_request();
        let service = service_fn(move |request: Request<Incoming>| {
            let handler = Arc::clone(&handler);
            // A stream ends without touching the others, whatever was left unread.
            let request = request.map(|body| RequestBody::new(body, UnreadSlot::default()));
            async move { Ok::<_, Infallible>(handle(handler, request).await) }
        });
        let builder = http2::Builder::new(TokioExecutor::new());
        let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(io), service));
        // The client is gone when a connection fails, so the error has no recipient.
        let _ = tokio::select! {
            biased;
            ended = connection.as_mut() => ended,
            () = self.stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
    }
}

/// Handles a request. A panic is answered with an empty response of status 500, since the request
/// may have been executed.
async fn handle(handler: Arc<impl Handler>, request: Request<RequestBody>) -> Response<Body> {
    let handled = panics::catch(async move { handler.handle(request).await }).await;
    handled.unwrap_or_else(|_| empty_response(StatusCode::INTERNAL_SERVER_ERROR))
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Reads a streamed body to its end, for a caller of HTTP/1.0. There are no chunks, so that without a
/// length a body that was cut looks complete.
async fn buffer_body(response: Response<Body>, budget: &ByteBudget) -> Response<Body> {
    let (head, body) = response.into_parts();
    match body {
        Body::Buffered(_) => Response::from_parts(head, body),

        Body::Streamed(_) => match read_answer(body, budget, UNCHUNKED_BODY_MAX_BYTES).await {
            Ok(bytes) => Response::from_parts(head, Body::buffered(bytes)),
            Err(_) => empty_response(StatusCode::BAD_GATEWAY),
        },
    }
}

/// Returns the size of a request's line and headers, in bytes.
fn head_bytes<B>(request: &Request<B>) -> usize {
    const LINE_EXTRA_BYTES: usize = "  HTTP/1.1\r\n\r\n".len();
    const HEADER_EXTRA_BYTES: usize = ": \r\n".len();
    let target_bytes = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let headers = request.headers().iter();
    let headers_bytes: usize =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA_BYTES).sum();
    request.method().as_str().len() + target_bytes + LINE_EXTRA_BYTES + headers_bytes
}

/// `Exchange` handles the requests of one HTTP/1.1 connection.
struct Exchange<H> {
    handler: Arc<H>,
    tasks: TaskGroup,
    options: SharedOptions,
    stop: CancellationToken,
    /// Set when a response closes the connection before its request has been read.
    has_unread_data: Arc<AtomicBool>,
    /// Number of request bodies that are being discarded, while the connection stays open.
    pending_discards: Arc<AtomicU64>,
    /// Set when a request body was not read to its end in time.
    has_discard_timed_out: Arc<AtomicBool>,
    /// Label of the response that closes the connection before its request has been read.
    last_label: Arc<Mutex<Option<RequestLabel>>>,
    busy_guard: Arc<BusyGuard>,
    state: Arc<ConnectionState>,
    budget: ByteBudget,
}

impl<H> Clone for Exchange<H> {
    fn clone(&self) -> Self {
        Exchange {
            handler: Arc::clone(&self.handler),
            tasks: self.tasks.clone(),
            options: Arc::clone(&self.options),
            stop: self.stop.clone(),
            has_unread_data: Arc::clone(&self.has_unread_data),
            pending_discards: Arc::clone(&self.pending_discards),
            has_discard_timed_out: Arc::clone(&self.has_discard_timed_out),
            last_label: Arc::clone(&self.last_label),
            busy_guard: Arc::clone(&self.busy_guard),
            state: Arc::clone(&self.state),
            budget: self.budget.clone(),
        }
    }
}

impl<H: Handler> Exchange<H> {
    /// Handles one request. What the handler leaves unread of its body is discarded.
    async fn respond(self, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
        self.busy_guard.begin();
        self.state.begin_request();
        let options = self.options.load_full();
        let unread = UnreadSlot::default();
        let expects_continue = request.headers().contains_key(header::EXPECT);
        let version = request.version();
        let request = request.map(|body| RequestBody::new(body, unread.clone()));
        let mut response = match head_bytes(&request) > options.head_max_bytes {
            true => {
                drop(request);
                empty_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            }
            false => handle(Arc::clone(&self.handler), request).await,
        };
        let label = response.extensions_mut().remove::<RequestLabel>();
        if version == Version::HTTP_10 {
            response = buffer_body(response, &self.budget).await;
        }
        match unread.take() {
            None => {}

            Some(body) if may_keep_alive(&body, expects_continue, &options.discard) => {
                let stop = self.stop;
                let (discards, handler) = (self.pending_discards, self.handler);
                let has_timed_out = self.has_discard_timed_out;
                discards.fetch_add(1, Ordering::Relaxed);
                self.tasks.spawn(async move {
                    let end = discard::discard_body(body.incoming, &options.discard, &stop).await;
                    if end == DiscardEnd::TimedOut {
                        has_timed_out.store(true, Ordering::Relaxed);
                    }
                    discards.fetch_sub(1, Ordering::Relaxed);
                    let keeps_connection = end == DiscardEnd::Drained;
                    handler.record_discard(label.as_ref(), Discard { end, keeps_connection });
                });
            }

            Some(_) => {
                self.has_unread_data.store(true, Ordering::Relaxed);
                *self.last_label.lock().unwrap_or_else(PoisonError::into_inner) = label;
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
        }
        Ok(response)
    }
}
