//! HTTP client of the platform's object API, in which entity tags carry the object versions.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_http::client::{Client, ClientRequest, ClientResponse};
use fescuelock_http::net::{BoxFuture, SharedNetwork};
use http::{Method, StatusCode, header};

use crate::availability::Availability;
use crate::objects::{Condition, Object, ObjectStore, ObjectVersion};
use crate::{Error, Result};

/// `HttpStoreOptions` configures the calls to the platform.
#[derive(Debug, Clone)]
pub struct HttpStoreOptions {
    /// Address of the platform as `IP:PORT`.
    pub address: String,
    /// Timeout of one call, in milliseconds. A watch adds its wait time. Defaults to 1,000.
    pub call_timeout_ms: u64,
}

impl Default for HttpStoreOptions {
    fn default() -> Self {
        HttpStoreOptions { address: "127.0.0.1:7400".to_owned(), call_timeout_ms: 1_000 }
    }
}

/// `TaggedBody` is the response to the read of a path that is not an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaggedBody {
    /// The response body.
    pub body: Bytes,
    /// Entity tag of the body, if the platform sent one.
    pub etag: Option<String>,
}

/// `HttpStore` is the [`ObjectStore`] that calls the platform over HTTP.
pub struct HttpStore {
    client: Client,
    watch_clients: Mutex<HashMap<String, Arc<Client>>>,
    network: SharedNetwork,
    options: HttpStoreOptions,
    counters: Counters,
    availability: Availability,
}

impl HttpStore {
    /// Creates a store. No connection is opened before the first call.
    pub fn new(network: SharedNetwork, options: HttpStoreOptions, counters: Counters) -> Self {
        HttpStore {
            client: Client::new(network.clone(), options.address.clone()),
            watch_clients: Mutex::default(),
            network,
            options,
            counters,
            availability: Availability::default(),
        }
    }

    /// Returns the client for watching an object. Watches of different objects share no connection.
    fn watch_client(&self, key: &str) -> Arc<Client> {
        let mut watch_clients = self.watch_clients.lock().unwrap_or_else(PoisonError::into_inner);
        let new_client = || Client::new(self.network.clone(), self.options.address.clone());
        Arc::clone(watch_clients.entry(key.to_owned()).or_insert_with(|| Arc::new(new_client())))
    }

    /// Returns the platform's availability, on which other tasks can wait.
    pub fn availability(&self) -> Availability {
        self.availability.clone()
    }

    /// Reads a path of the platform other than an object.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the status does not signal success, or the error of the call.
    pub async fn read_path(&self, path: String) -> Result<Bytes> {
        match self.read_path_if_changed(path, None).await? {
            Some(tagged_body) => Ok(tagged_body.body),
            None => Err(Error::Malformed(
                "not modified, in response to an unconditional request".to_owned(),
            )),
        }
    }

    /// Reads a path. Returns `None` if its entity tag is still the given one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the status does not signal success, or the error of the call.
    pub async fn read_path_if_changed(
        &self,
        path: String,
        etag: Option<&str>,
    ) -> Result<Option<TaggedBody>> {
        let headers = etag.iter().map(|etag| (header::IF_NONE_MATCH, (*etag).to_owned())).collect();
        let answer = self.send(ClientRequest { path, headers, ..ClientRequest::default() }).await?;
        match answer.status {
            StatusCode::NOT_MODIFIED => Ok(None),

            status if status.is_success() => {
                let etag = answer.headers.get(header::ETAG).and_then(|etag| etag.to_str().ok());
                let etag = etag.map(str::to_owned);
                Ok(Some(TaggedBody { body: answer.body, etag }))
            }

            _ => Err(rejection(&answer)),
        }
    }

    /// Sends a request other than a watch. Responses do not tell which request they belong to, so
    /// that each of these calls has a connection of its own.
    async fn send(&self, request: ClientRequest) -> Result<ClientResponse> {
        let request = self.with_limit(request);
        self.count(self.client.call_once(request)).await
    }

    fn with_limit(&self, request: ClientRequest) -> ClientRequest {
        let limit_ms = request.limit_ms.max(self.options.call_timeout_ms);
        ClientRequest { limit_ms, ..request }
    }

    /// Counts a call, and records whether the platform is available.
    async fn count(
        &self,
        calling: impl Future<Output = fescuelock_http::Result<ClientResponse>>,
    ) -> Result<ClientResponse> {
        self.counters.count(Counter::PlatformCalls);
        let answered = calling.await;
        let failed = answered.as_ref().map_or(true, |answer| answer.status.is_server_error());
        if failed {
            self.counters.count(Counter::PlatformFailures);
        }
        self.availability.record_call(!failed);
        Ok(answered?)
    }
}

impl ObjectStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            let request = ClientRequest { path: object_path(key), ..ClientRequest::default() };
            object_of(self.send(request).await?)
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Option<ObjectVersion>,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Option<Object>>> {
        Box::pin(async move {
            let after = after.map_or(0, |version| version.0);
            let path = format!("{}?watch_after={after}&wait_ms={wait_ms}", object_path(key));
            let limit_ms = wait_ms + self.options.call_timeout_ms;
            let request = ClientRequest { path, limit_ms, ..ClientRequest::default() };
            let answer = self.count(self.watch_client(key).call(request)).await?;
            // The response to an earlier watch, late or once more on the connection, holds nothing
            // that came after.
            Ok(object_of(answer)?.filter(|object| object.version.0 > after))
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        body: Bytes,
        condition: Condition,
    ) -> BoxFuture<'a, Result<ObjectVersion>> {
        Box::pin(async move {
            let condition = match condition {
                Condition::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
                Condition::Matches(version) => (header::IF_MATCH, format!("\"{version}\"")),
            };
            let call = ClientRequest {
                method: Method::PUT,
                path: object_path(key),
                headers: vec![condition],
                body,
                limit_ms: self.options.call_timeout_ms,
            };
            let answer = self.send(call).await?;
            match answer.status {
                StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
                status if status.is_success() => version_of(&answer),
                _ => Err(rejection(&answer)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>> {
        Box::pin(async move {
            let body = self.read_path(format!("/v1/objects?prefix={prefix}")).await?;
            serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))
        })
    }
}

/// Returns the URL path of an object.
fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}

/// Returns the object in a response, or `None` if there is none or it has not changed.
fn object_of(answer: ClientResponse) -> Result<Option<Object>> {
    match answer.status {
        StatusCode::OK => {
            let version = version_of(&answer)?;
            Ok(Some(Object { body: answer.body, version }))
        }

        StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),

        _ => Err(rejection(&answer)),
    }
}

/// Parses the object version from a response's entity tag.
fn version_of(answer: &ClientResponse) -> Result<ObjectVersion> {
    let etag = answer.headers.get(header::ETAG).and_then(|value| value.to_str().ok());
    etag.and_then(|etag| etag.trim_matches('"').parse().ok())
        .map(ObjectVersion)
        .ok_or_else(|| Error::Malformed("object without a numeric entity tag".to_owned()))
}

fn rejection(answer: &ClientResponse) -> Error {
    Error::Refused { status: answer.status.as_u16() }
}
