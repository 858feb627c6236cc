//! A client for whole messages, used towards the platform and towards operators' interfaces.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use tokio::time::timeout;

use crate::body::{self, Body};
use crate::net::SharedNetwork;
use crate::pool::{Pool, PoolOptions};
use crate::{Error, Result};

/// Largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 4 << 20;

/// `Answer` is a whole HTTP answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// `Call` is one request to be sent by a [`Client`].
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beside `host`.
    pub headers: Vec<(header::HeaderName, String)>,
    /// The body.
    pub body: Bytes,
    /// Time for the whole exchange, in milliseconds. Defaults to 2,000.
    pub limit_ms: u64,
}

impl Default for Call {
    fn default() -> Self {
        Call {
            method: Method::GET,
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            limit_ms: 2_000,
        }
    }
}

/// `Client` sends whole messages to one address.
pub struct Client {
    pool: Pool,
    host: String,
}

impl Client {
    /// Builds a client of an address of the form `IP:PORT`.
    pub fn new(network: SharedNetwork, address: impl Into<String>) -> Self {
        let address = address.into();
        Client { host: address.clone(), pool: Pool::new(network, address, PoolOptions::default()) }
    }

    /// Names another host than the address in requests.
    pub fn for_host(self, host: impl Into<String>) -> Self {
        Client { host: host.into(), ..self }
    }

    /// Returns the address that the client connects to.
    pub fn address(&self) -> &str {
        self.pool.address()
    }

    /// Sends a request and reads the whole answer.
    ///
    /// A connection that misses the deadline is dropped, so a silent one is never used twice.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or of the body.
    pub async fn call(&self, call: Call) -> Result<Answer> {
        let limit = Duration::from_millis(call.limit_ms);
        let limit_ms = call.limit_ms;
        let exchanged = timeout(limit, self.exchange(call)).await;
        if !matches!(exchanged, Ok(Ok(_))) {
            self.pool.clear();
        }
        exchanged.map_err(|_| Error::AnswerTimeout { limit_ms })?
    }

    async fn exchange(&self, call: Call) -> Result<Answer> {
        let mut request =
            Request::builder().method(call.method).uri(call.path).header(header::HOST, &self.host);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Body::whole(call.body))?;

        let mut connection = self.pool.checkout().await?;
        let (head, body) = connection.send(request, call.limit_ms).await?.into_parts();
        let body = body::read_all(body, ANSWER_MAX_BYTES).await?;
        self.pool.checkin(connection);
        Ok(Answer { status: head.status, headers: head.headers, body })
    }
}
