//! An HTTP client that reads complete responses, used for the platform's API and for the operators'
//! interfaces.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use tokio::time::timeout;

use crate::body::{self, Body};
use crate::net::SharedNetwork;
use crate::pool::{Connection, Pool, PoolOptions};
use crate::{Error, Result};

/// Maximum size of a response body, in bytes.
const RESPONSE_BODY_MAX_BYTES: usize = 4 << 20;

/// `ClientResponse` is an HTTP response with its complete body.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// `ClientRequest` is one request that a [`Client`] sends.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The headers, without `host`.
    pub headers: Vec<(header::HeaderName, String)>,
    /// The body.
    pub body: Bytes,
    /// Timeout for sending the request and reading the whole response, in milliseconds. Defaults to
    /// 2,000.
    pub limit_ms: u64,
}

impl Default for ClientRequest {
    fn default() -> Self {
        ClientRequest {
            method: Method::GET,
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            limit_ms: 2_000,
        }
    }
}

/// `Client` sends requests to one address.
pub struct Client {
    pool: Pool,
    host: String,
}

impl Client {
    /// Builds a client for an address of the form `IP:PORT`.
    pub fn new(network: SharedNetwork, address: impl Into<String>) -> Self {
        let address = address.into();
        Client { host: address.clone(), pool: Pool::new(network, address, PoolOptions::default()) }
    }

    /// Sets the `host` header, which defaults to the address.
    pub fn with_host(self, host: impl Into<String>) -> Self {
        Client { host: host.into(), ..self }
    }

    /// Returns the address that the client connects to.
    pub fn address(&self) -> &str {
        self.pool.address()
    }

    /// Sends a request and reads the complete response.
    ///
    /// After a timeout or another failure, the connection and all idle ones are dropped, so that an
    /// unresponsive connection is never reused.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or of the response body, or [`Error::AnswerTimeout`]
    /// after `limit_ms`.
    pub async fn call(&self, call: ClientRequest) -> Result<ClientResponse> {
        let limit_ms = call.limit_ms;
        let exchanging = async {
            let mut connection = self.pool.checkout().await?;
            let response = self.exchange(&mut connection, call).await?;
            self.pool.checkin(connection);
            Ok(response)
        };
        self.within(limit_ms, exchanging).await
    }

    /// Sends a request like [`Client::call`], on a new connection that is closed after the response,
    /// so that no late or repeated response to another request is taken for this one's.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::call`].
    pub async fn call_once(&self, call: ClientRequest) -> Result<ClientResponse> {
        let limit_ms = call.limit_ms;
        let exchanging = async {
            let mut connection = self.pool.open().await?;
            self.exchange(&mut connection, call).await
        };
        self.within(limit_ms, exchanging).await
    }

    async fn within(
        &self,
        limit_ms: u64,
        exchanging: impl Future<Output = Result<ClientResponse>>,
    ) -> Result<ClientResponse> {
        let result = timeout(Duration::from_millis(limit_ms), exchanging).await;
        if !matches!(result, Ok(Ok(_))) {
            self.pool.clear();
        }
        result.map_err(|_| Error::AnswerTimeout { limit_ms })?
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        call: ClientRequest,
    ) -> Result<ClientResponse> {
        let mut request =
            Request::builder().method(call.method).uri(call.path).header(header::HOST, &self.host);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Body::buffered(call.body))?;
        let (head, body) = connection.send(request, call.limit_ms).await?.into_parts();
        let body = body::read_all(body, RESPONSE_BODY_MAX_BYTES).await?;
        Ok(ClientResponse { status: head.status, headers: head.headers, body })
    }
}
