//! Connections to one address, kept for reuse.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::time::{Instant, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::body::Body;
use crate::net::{BoxIo, SharedNetwork};
use crate::{Error, Result};

/// `Version` is the HTTP version of a pool's connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Version {
    /// One request at a time on a connection.
    #[default]
    Http1,
    /// Many requests on one connection.
    Http2,
}

/// `PoolOptions` configures the connections of a pool.
#[derive(Debug, Clone)]
pub struct PoolOptions {
    /// HTTP version. Defaults to HTTP/1.1.
    pub version: Version,
    /// Time for opening a connection, in milliseconds. Defaults to 1,000.
    pub connect_timeout_ms: u64,
    /// Age at which an idle connection is no longer reused, in milliseconds. Defaults to 5,000.
    pub idle_max_ms: u64,
    /// Idle connections kept. Defaults to 64.
    pub idle_max: usize,
    /// Interval of pings on an HTTP/2 connection, in milliseconds. Defaults to 2,000.
    pub ping_interval_ms: u64,
    /// Time after which an unanswered ping closes the connection, in milliseconds. Defaults to
    /// 2,000.
    pub ping_timeout_ms: u64,
}

impl Default for PoolOptions {
    fn default() -> Self {
        PoolOptions {
            version: Version::Http1,
            connect_timeout_ms: 1_000,
            idle_max_ms: 5_000,
            idle_max: 64,
            ping_interval_ms: 2_000,
            ping_timeout_ms: 2_000,
        }
    }
}

/// `Sender` sends requests on one connection.
enum Sender {
    Http1(Http1Sender),
    Http2(http2::SendRequest<Body>),
}

/// `Http1Sender` sends requests on a connection that ends with it, so that a request whose caller
/// has gone is cancelled at once.
struct Http1Sender {
    requests: http1::SendRequest<Body>,
    _task: AbortOnDropHandle<()>,
}

/// `Connection` is an open connection that is lent for one request.
pub struct Connection {
    sender: Sender,
}

/// `Idle` is a connection that waits for its next request.
struct Idle {
    sender: Http1Sender,
    since: Instant,
}

/// `Pool` opens connections to one address and keeps idle ones for reuse.
pub struct Pool {
    network: SharedNetwork,
    address: String,
    options: PoolOptions,
    idle: Mutex<Vec<Idle>>,
    shared: Mutex<Option<http2::SendRequest<Body>>>,
}

impl Pool {
    /// Builds a pool without opening a connection.
    pub fn new(network: SharedNetwork, address: String, options: PoolOptions) -> Self {
        Pool { network, address, options, idle: Mutex::default(), shared: Mutex::default() }
    }

    /// Returns the address that the pool connects to.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Lends a connection, an idle one where possible.
    ///
    /// # Errors
    ///
    /// Returns an error that proves that nothing was sent.
    pub async fn checkout(&self) -> Result<Connection> {
        self.checkout_within(self.options.connect_timeout_ms).await
    }

    /// Lends a connection, an idle one where possible, or opens one within a time in milliseconds if
    /// that is shorter than the time of the options.
    ///
    /// # Errors
    ///
    /// Returns an error that proves that nothing was sent.
    pub async fn checkout_within(&self, limit_ms: u64) -> Result<Connection> {
        match self.reuse() {
            Some(connection) => Ok(connection),
            None => self.open_within(limit_ms).await,
        }
    }

    /// Opens a new connection, for requests that must not meet a forgotten one.
    ///
    /// # Errors
    ///
    /// Returns an error that proves that nothing was sent.
    pub async fn open(&self) -> Result<Connection> {
        self.open_within(self.options.connect_timeout_ms).await
    }

    /// Opens a new connection within a time in milliseconds if that is shorter than the time of the
    /// options.
    ///
    /// # Errors
    ///
    /// Returns an error that proves that nothing was sent.
    pub async fn open_within(&self, limit_ms: u64) -> Result<Connection> {
        let limit_ms = limit_ms.min(self.options.connect_timeout_ms);
        let limit = Duration::from_millis(limit_ms);
        let timed_out = || Error::ConnectTimeout { address: self.address.clone(), limit_ms };
        let sender = timeout(limit, self.handshake()).await.map_err(|_| timed_out())??;
        Ok(Connection { sender })
    }

    /// Takes a connection back after its answer has been read to the end.
    pub fn checkin(&self, connection: Connection) {
        let Sender::Http1(sender) = connection.sender else {
            return;
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !sender.requests.is_closed() && idle.len() < self.options.idle_max {
            idle.push(Idle { sender, since: Instant::now() });
        }
    }

    /// Drops all connections that are not in use.
    pub fn clear(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
        self.shared.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    fn reuse(&self) -> Option<Connection> {
        if self.options.version == Version::Http2 {
            let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
            let sender = shared.clone().filter(|sender| !sender.is_closed());
            *shared = sender.clone();
            return sender.map(|sender| Connection { sender: Sender::Http2(sender) });
        }
        let idle_max = Duration::from_millis(self.options.idle_max_ms);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(candidate) = idle.pop() {
            // The most recent is on top: when it is too old, all the others are too.
            if candidate.since.elapsed() > idle_max {
                idle.clear();
                return None;
            }
            if candidate.sender.requests.is_ready() {
                return Some(Connection { sender: Sender::Http1(candidate.sender) });
            }
        }
        None
    }

    async fn handshake(&self) -> Result<Sender> {
        let io = self
            .network
            .connect(&self.address)
            .await
            .map_err(|source| Error::Connect { address: self.address.clone(), source })?;
        let refused = |error: hyper::Error| Error::Connect {
            address: self.address.clone(),
            source: std::io::Error::other(error),
        };
        match self.options.version {
            Version::Http1 => {
                let (requests, connection) =
                    http1::handshake(TokioIo::new(io)).await.map_err(refused)?;
                // Errors of a connection are reported by the requests on it.
                let task = tokio::spawn(async move { drop(connection.await) });
                Ok(Sender::Http1(Http1Sender { requests, _task: AbortOnDropHandle::new(task) }))
            }

            Version::Http2 => self.handshake_http2(io).await.map_err(refused),
        }
    }

    async fn handshake_http2(&self, io: BoxIo) -> std::result::Result<Sender, hyper::Error> {
        let mut builder = http2::Builder::new(TokioExecutor::new());
        builder
            .timer(TokioTimer::new())
            .keep_alive_interval(Duration::from_millis(self.options.ping_interval_ms))
            .keep_alive_timeout(Duration::from_millis(self.options.ping_timeout_ms));
        let (sender, connection) = builder.handshake(TokioIo::new(io)).await?;
        tokio::spawn(connection);
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        *shared = Some(sender.clone());
        Ok(Sender::Http2(sender))
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// A connection whose answer did not come in time must be dropped: its answer may come later.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the request came back unwritten, and an error that does not
    /// prove it otherwise.
    pub async fn send(
        &mut self,
        request: Request<Body>,
        limit_ms: u64,
    ) -> Result<Response<Incoming>> {
        let limit = Duration::from_millis(limit_ms);
        let answer = async {
            match &mut self.sender {
                Sender::Http1(sender) => sender.requests.try_send_request(request).await,
                Sender::Http2(sender) => sender.try_send_request(request).await,
            }
        };
        match timeout(limit, answer).await {
            Ok(Ok(response)) => Ok(response),

            Ok(Err(mut error)) => match error.take_message() {
                Some(_) => Err(Error::NotSent),
                None => Err(Error::Broken(error.into_error().to_string())),
            },

            Err(_) => Err(Error::AnswerTimeout { limit_ms }),
        }
    }
}
