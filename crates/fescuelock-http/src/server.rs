//! The HTTP server loop, with one task per connection.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use fescuelock_core::tasks::TaskGroup;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::net::{BoxFuture, BoxIo, Listener};
use crate::pool::HttpVersion;

/// Delay after a failed accept, in milliseconds, so that the loop does not spin while the process
/// is out of file descriptors.
const ACCEPT_RETRY_MS: u64 = 50;

/// `Handler` handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// `ServerOptions` configures the connections of a server.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// HTTP version. Defaults to HTTP/1.1.
    pub version: HttpVersion,
    /// Timeout for reading the headers of a request, in milliseconds. Defaults to 10,000.
    pub header_timeout_ms: u64,
    /// Maximum number of headers of a request. Defaults to 200.
    pub headers_max: usize,
    /// Maximum size of a connection's buffer, in bytes. Defaults to 64 KiB.
    pub buffer_max_bytes: usize,
}

/// `SharedOptions` holds options that may change while a server runs. A connection keeps the
/// options from when it was accepted.
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
            headers_max: 200,
            buffer_max_bytes: 64 << 10,
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

impl Server {
    /// Accepts connections and serves each in its own task.
    pub async fn run(self, listener: Box<dyn Listener>, handler: Arc<impl Handler>) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(io) => self.tasks.spawn(self.clone().serve(io, Arc::clone(&handler))),
                Err(_) => tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await,
            }
        }
    }

    async fn serve(self, io: BoxIo, handler: Arc<impl Handler>) {
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let options = self.options.load_full();
        // The client is gone when a connection fails, so the error has no recipient.
        let _ = match options.version {
            HttpVersion::Http1 => {
                let mut builder = http1::Builder::new();
                builder
                    .timer(TokioTimer::new())
                    .header_read_timeout(Duration::from_millis(options.header_timeout_ms))
                    .max_headers(options.headers_max)
                    .max_buf_size(options.buffer_max_bytes);
                let mut connection =
                    std::pin::pin!(builder.serve_connection(TokioIo::new(io), service));
                tokio::select! {
                    biased;
                    ended = connection.as_mut() => ended,
                    () = self.stop.cancelled() => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                }
            }

            HttpVersion::Http2 => {
                let builder = http2::Builder::new(TokioExecutor::new());
                let mut connection =
                    std::pin::pin!(builder.serve_connection(TokioIo::new(io), service));
                tokio::select! {
                    biased;
                    ended = connection.as_mut() => ended,
                    () = self.stop.cancelled() => {
                        connection.as_mut().graceful_shutdown();
                        connection.await
                    }
                }
            }
        };
    }
}
