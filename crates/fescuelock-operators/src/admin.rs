//! The node's admin endpoints: `/livez`, `/readyz`, `/status` and `/metrics`.

use std::collections::BTreeMap;
use std::sync::Arc;

use fescuelock_core::ids::KeyHash;
use fescuelock_http::body::Body;
use fescuelock_http::net::BoxFuture;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

/// `NodeStatus` is the body of a node's `/status` response.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Id of the node.
    pub node: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Whether the node accepts new requests.
    pub ready: bool,
    /// Generation of the active rules.
    pub generation: u64,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Number of bills that are not recorded yet.
    pub bills_backlog: u64,
    /// Resident memory of the process in KiB, if the system reports it.
    pub rss_kib: Option<u64>,
    /// Number of nodes that this node considers alive, including itself.
    pub nodes_alive: u64,
    /// Number of open links to other nodes.
    pub links: u64,
    /// Bytes of messages sent to other nodes since the start.
    pub link_bytes_sent: u64,
    /// Counters since the start of the node.
    pub counters: BTreeMap<String, u64>,
}

/// `StatusSource` provides the current status of a node.
pub trait StatusSource: Send + Sync + 'static {
    /// Returns the current status.
    fn status(&self) -> NodeStatus;
}

/// `AdminHandler` handles the admin requests of one node.
pub struct AdminHandler<S> {
    /// Source of the node's status.
    pub source: Arc<S>,
    /// Hash of the key required by `/status` and `/metrics`, or `None` if they are open.
    pub key_hash: Option<KeyHash>,
}

impl<S: StatusSource> Handler for AdminHandler<S> {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(request.uri().path(), request.headers()) })
    }
}

impl<S: StatusSource> AdminHandler<S> {
    fn respond(&self, path: &str, headers: &HeaderMap) -> Response<Body> {
        match path {
            "/livez" => text_response(StatusCode::OK, "live\n".to_owned()),

            "/readyz" if self.source.status().ready => {
                text_response(StatusCode::OK, "ready\n".to_owned())
            }

            "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),

            "/status" | "/metrics" if !self.is_authorized(headers) => {
                text_response(StatusCode::UNAUTHORIZED, "an operator's key is needed\n".to_owned())
            }

            "/status" => json_response(&self.source.status()),

            "/metrics" => text_response(StatusCode::OK, metrics_text(&self.source.status())),

            _ => text_response(StatusCode::NOT_FOUND, "nothing is served here\n".to_owned()),
        }
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let Some(expected_hash) = self.key_hash else {
            return true;
        };
        let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        let secret = value.and_then(|value| value.strip_prefix("Bearer "));
        secret.is_some_and(|secret| KeyHash::of(secret) == expected_hash)
    }
}

/// Returns the resident memory of this process in KiB, if the system reports it.
pub fn resident_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Formats the counters, one per line.
fn metrics_text(status: &NodeStatus) -> String {
    let mut lines = String::new();
    for (name, value) in &status.counters {
        lines.push_str(&format!("{name} {value}\n"));
    }
    lines
}

fn json_response(status: &NodeStatus) -> Response<Body> {
    let body = serde_json::to_string(status).unwrap_or_default();
    let mut response = text_response(StatusCode::OK, body);
    let json_response = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json_response);
    response
}

fn text_response(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(Body::buffered(body));
    *response.status_mut() = status;
    response
}
