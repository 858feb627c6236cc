//! Access to the admin endpoints of a deployment's nodes.

use std::time::Duration;

use fescuelock_http::client::{Client, ClientRequest};
use fescuelock_http::net::SharedNetwork;
use http::header;
use tokio::time::{Instant, sleep};

use crate::admin::NodeStatus;
use crate::{Error, Result};

/// Timeout of one request to a node, in milliseconds.
const NODE_TIMEOUT_MS: u64 = 2_000;
/// Interval between polls of lagging nodes, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// `Fleet` is the set of nodes of a deployment.
pub struct Fleet {
    /// Network used to connect to the nodes.
    pub network: SharedNetwork,
    /// Admin addresses of the nodes.
    pub addresses: Vec<String>,
    /// Operator key, if the nodes require one.
    pub key: Option<String>,
}

/// `NodeReport` is the result of a status request to one node.
pub struct NodeReport {
    /// Admin address of the node.
    pub address: String,
    /// Status of the node, or the error of the request.
    pub status: Result<NodeStatus>,
}

impl Fleet {
    /// Requests the status of every node.
    pub async fn status(&self) -> Vec<NodeReport> {
        let mut reports = Vec::new();
        for address in &self.addresses {
            let status = self.fetch_status(address).await;
            reports.push(NodeReport { address: address.clone(), status });
        }
        reports
    }

    /// Waits until a generation is active on every node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Lagging`] with the nodes that did not activate it within the limit.
    pub async fn wait_until_active(&self, generation: u64, limit_ms: u64) -> Result<()> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let lagging: Vec<String> = self
                .status()
                .await
                .into_iter()
                .filter(|report| !report.has_generation(generation))
                .map(|report| report.address)
                .collect();
            match lagging.is_empty() {
                true => return Ok(()),

                false if Instant::now() >= deadline => {
                    return Err(Error::Lagging { generation, nodes: lagging });
                }

                false => sleep(Duration::from_millis(POLL_INTERVAL_MS)).await,
            }
        }
    }

    async fn fetch_status(&self, address: &str) -> Result<NodeStatus> {
        let node_error = |reason: String| Error::Node { address: address.to_owned(), reason };
        let client = Client::new(self.network.clone(), address);
        let authorization =
            self.key.iter().map(|key| (header::AUTHORIZATION, format!("Bearer {key}")));
        let call = ClientRequest {
            path: "/status".to_owned(),
            headers: authorization.collect(),
            limit_ms: NODE_TIMEOUT_MS,
            ..ClientRequest::default()
        };
        let answer = client.call(call).await.map_err(|error| node_error(error.to_string()))?;
        if !answer.status.is_success() {
            return Err(node_error(format!("unexpected status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body).map_err(|error| node_error(error.to_string()))
    }
}

impl NodeReport {
    /// Returns whether the generation or a later one is active on the node.
    pub fn has_generation(&self, generation: u64) -> bool {
        self.status.as_ref().is_ok_and(|status| status.generation >= generation)
    }
}
