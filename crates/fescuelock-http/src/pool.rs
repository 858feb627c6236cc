//! A pool of connections to one address.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::time::{Instant, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::body::Body;
use crate::connections::BoundedReadIo;
use crate::net::{BoxIo, SharedNetwork};
use crate::{Error, Result};

/// `HttpVersion` is the HTTP version of a pool's connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.1, with one request at a time on a connection.
    #[default]
    Http1,
    /// HTTP/2, with many concurrent requests on one connection.
    Http2,
}

/// `PoolOptions` configures the connections of a pool.
#[derive(Debug, Clone)]
pub struct PoolOptions {
    /// HTTP version. Defaults to HTTP/1.1.
    pub version: HttpVersion,
    /// Timeout for opening a connection, in milliseconds. Defaults to 1,000.
    pub connect_timeout_ms: u64,
    /// Idle time after which a connection is no longer reused, in milliseconds. Defaults to 5,000.
    pub idle_max_ms: u64,
    /// Maximum number of idle connections. Defaults to 64.
    pub idle_connections_max: usize,
    /// Interval of pings on an HTTP/2 connection, in milliseconds. Defaults to 2,000.
    pub ping_interval_ms: u64,
    /// Time after which an unanswered ping closes the connection, in milliseconds. Defaults to
    /// 2,000.
    pub ping_timeout_ms: u64,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            version: HttpVersion::Http1,
            connect_timeout_ms: 1_000,
            idle_max_ms: 5_000,
            idle_connections_max: 64,
            ping_interval_ms: 2_000,
            ping_timeout_ms: 2_000,
        }
    }
}

/// `RequestSender` sends requests on one connection.
enum RequestSender {
    Http1(Http1Sender),
    Http2(http2::SendRequest<Body>),
}

/// `Http1Sender` sends requests on a connection. Dropping it closes the connection, so that a
/// request whose caller disconnected is cancelled immediately.
struct Http1Sender {
    requests: http1::SendRequest<Body>,
    /// Number of requests that were passed to the connection.
    sends: u64,
    _task: AbortOnDropHandle<()>,
}

/// `Connection` is an open connection, checked out for one request.
pub struct Connection {
    sender: RequestSender,
}

/// `IdleConnection` is an HTTP/1.1 connection that waits for its next request.
struct IdleConnection {
    sender: Http1Sender,
    since: Instant,
}

/// `Pool` opens connections to one address and keeps idle ones for reuse.
pub struct Pool {
    network: SharedNetwork,
    address: String,
    options: PoolOptions,
    idle: Mutex<Vec<IdleConnection>>,
    http2_sender: Mutex<Option<http2::SendRequest<Body>>>,
}

impl Pool {
    /// Builds a pool without opening a connection.
    pub fn new(network: SharedNetwork, address: String, options: PoolOptions) -> Self {
        Pool { network, address, options, idle: Mutex::default(), http2_sender: Mutex::default() }
    }

    /// Returns the address that the pool connects to.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Checks out an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error that means that nothing was sent.
    pub async fn checkout(&self) -> Result<Connection> {
        self.checkout_within(self.options.connect_timeout_ms).await
    }

    /// Checks out an idle connection, or opens one. The timeout for opening it is `limit_ms`, or
    /// the one of the options if that is shorter.
    ///
    /// # Errors
    ///
    /// Returns an error that means that nothing was sent.
    pub async fn checkout_within(&self, limit_ms: u64) -> Result<Connection> {
        match self.take_idle() {
            Some(connection) => Ok(connection),
            None => self.open_within(limit_ms).await,
        }
    }

    /// Opens a new connection, for requests that must not run into an idle connection that the peer
    /// has already dropped.
    ///
    /// # Errors
    ///
    /// Returns an error that means that nothing was sent.
    pub async fn open(&self) -> Result<Connection> {
        self.open_within(self.options.connect_timeout_ms).await
    }

    /// Opens a new connection. The timeout is `limit_ms`, or the one of the options if that is
    /// shorter.
    ///
    /// # Errors
    ///
    /// Returns an error that means that nothing was sent.
    pub async fn open_within(&self, limit_ms: u64) -> Result<Connection> {
        let limit_ms = limit_ms.min(self.options.connect_timeout_ms);
        let limit = Duration::from_millis(limit_ms);
        let timed_out = || Error::ConnectTimeout { address: self.address.clone(), limit_ms };
        let sender = timeout(limit, self.handshake()).await.map_err(|_| timed_out())??;
        Ok(Connection { sender })
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub fn checkin(&self, connection: Connection) {
        let RequestSender::Http1(sender) = connection.sender else {
            return;
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !sender.requests.is_closed() && idle.len() < self.options.idle_connections_max {
            idle.push(IdleConnection { sender, since: Instant::now() });
        }
    }

    /// Drops all idle connections, and stops giving out the HTTP/2 connection.
    pub fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        self.http2_sender.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    fn take_idle(&self) -> Option<Connection> {
        if self.options.version == HttpVersion::Http2 {
            let mut shared = self.http2_sender.lock().unwrap_or_else(PoisonError::into_inner);
            let sender = shared.clone().filter(|sender| !sender.is_closed());
            *shared = sender.clone();
            return sender.map(|sender| Connection { sender: RequestSender::Http2(sender) });
        }
        let idle_time_max = Duration::from_millis(self.options.idle_max_ms);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(candidate) = idle.pop() {
            // The vector is in order of check-in: if its last entry is too old, so are all others.
            if candidate.since.elapsed() > idle_time_max {
                idle.clear();
                return None;
            }
            if candidate.sender.requests.is_ready() {
                return Some(Connection { sender: RequestSender::Http1(candidate.sender) });
            }
        }
        None
    }

    async fn handshake(&self) -> Result<RequestSender> {
        let io = self
            .network
            .connect(&self.address)
            .await
            .map_err(|source| Error::Connect { address: self.address.clone(), source })?;
        let handshake_failed = |error: hyper::Error| Error::Connect {
            address: self.address.clone(),
            source: std::io::Error::other(error),
        };
        match self.options.version {
            HttpVersion::Http1 => {
                let (requests, connection) = http1::handshake(TokioIo::new(BoundedReadIo { io }))
                    .await
                    .map_err(handshake_failed)?;
                // The requests on a connection report its errors.
                let task = tokio::spawn(async move { drop(connection.await) });
                Ok(RequestSender::Http1(Http1Sender {
                    requests,
                    sends: 0,
                    _task: AbortOnDropHandle::new(task),
                }))
            }

            HttpVersion::Http2 => self.handshake_http2(io).await.map_err(handshake_failed),
        }
    }

    async fn handshake_http2(&self, io: BoxIo) -> std::result::Result<RequestSender, hyper::Error> {
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .keep_alive_interval(Duration::from_millis(self.options.ping_interval_ms))
            .keep_alive_timeout(Duration::from_millis(self.options.ping_timeout_ms));
        let (sender, connection) = builder.handshake(TokioIo::new(io)).await?;
        tokio::spawn(connection);
        let mut shared = self.http2_sender.lock().unwrap_or_else(PoisonError::into_inner);
        *shared = Some(sender.clone());
        Ok(RequestSender::Http2(sender))
    }
}

impl Connection {
    /// Returns whether the connection carried another request before the last one, so that a
    /// response may be a late or repeated one to that request. HTTP/2 assigns responses itself.
    pub fn is_reused(&self) -> bool {
        match &self.sender {
            RequestSender::Http1(sender) => sender.sends > 1,
            RequestSender::Http2(_) => false,
        }
    }

    /// Sends a request and waits for the response head.
    ///
    /// After a timeout, the connection must be dropped, because the response may still arrive.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotWritten`] if no part of the request was written. After any other error, the
    /// request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<Body>,
        limit_ms: u64,
    ) -> Result<Response<Incoming>> {
        let limit = Duration::from_millis(limit_ms);
        let response_head = async {
            match &mut self.sender {
                RequestSender::Http1(sender) => {
                    sender.sends += 1;
                    sender.requests.try_send_request(request).await
                }

                RequestSender::Http2(sender) => sender.try_send_request(request).await,
            }
        };
        match timeout(limit, response_head).await {
            Ok(Ok(response)) => Ok(response),

            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Err(Error::NotWritten),
                None => Err(Error::ConnectionFailed(error.into_error().to_string())),
            },

            Err(_) => Err(Error::AnswerTimeout { limit_ms }),
        }
    }
}
