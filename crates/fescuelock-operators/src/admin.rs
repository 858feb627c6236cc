//! The node's administrative interface: `/livez`, `/readyz`, `/status` and `/metrics`.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuelock_core::ids::KeyHash;
use fescuelock_http::body::Body;
use fescuelock_http::net::BoxFuture;
use fescuelock_http::server::Handler;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

/// `NodeStatus` is what a node reports about itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Id of the node.
    pub node: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Whether the node takes new requests.
    pub ready: bool,
    /// Generation of the rules in force.
    pub generation: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Bills that are not recorded yet.
    pub bills_backlog: u64,
    /// Resident memory of the process in KiB, if the system tells.
    pub rss_kib: Option<u64>,
    /// Nodes that live, as this one knows, itself among them.
    pub nodes_alive: u64,
    /// Open links to other nodes.
    pub links: u64,
    /// Bytes of messages sent to other nodes since the start.
    pub link_bytes_sent: u64,
    /// Counters since the start of the node.
    pub counters: BTreeMap<String, u64>,
}

/// `StatusSource` is a node that can report about itself.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns the status of now.
    fn status(&self) -> NodeStatus;
}

/// `Admin` answers operators' requests to one node.
pub struct Admin<S> {
    /// The node.
    pub source: Arc<S>,
    /// Hash of the key that `/status` and `/metrics` ask for, if they ask for one.
    pub key_hash: Option<KeyHash>,
}

impl<S: StatusSource> Handler for Admin<S> {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request.uri().path(), request.headers()) })
    }
}

impl<S: StatusSource> Admin<S> {
    fn answer(&self, path: &str, headers: &HeaderMap) -> Response<Body> {
        match path {
            "/livez" => text(StatusCode::OK, "live\n".to_owned()),

            "/readyz" if self.source.status().ready => text(StatusCode::OK, "ready\n".to_owned()),

            "/readyz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),

            "/status" | "/metrics" if !self.is_allowed(headers) => {
                text(StatusCode::UNAUTHORIZED, "an operator's key is needed\n".to_owned())
            }

            "/status" => json(&self.source.status()),

            "/metrics" => text(StatusCode::OK, metrics(&self.source.status())),

            _ => text(StatusCode::NOT_FOUND, "nothing is served here\n".to_owned()),
        }
    }

    fn is_allowed(&self, headers: &HeaderMap) -> bool {
        let Some(wanted) = self.key_hash else {
            return true;
        };
        let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let secret = value.and_then(|value| value.strip_prefix("Bearer "));
        secret.is_some_and(|secret| KeyHash::of(secret) == wanted)
    }
}

/// Returns the resident memory of this process in KiB, if the system tells.
pub fn resident_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Writes counters one per line.
fn metrics(status: &NodeStatus) -> String {
    let mut lines = String::new();
    for (name, value) in &status.counters {
        lines.push_str(&format!("{name} {value}\n"));
    }
    lines
}

fn json(status: &NodeStatus) -> Response<Body> {
    let body = serde_json::to_string(status).unwrap_or_default();
    let mut response = text(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn text(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    response
}
