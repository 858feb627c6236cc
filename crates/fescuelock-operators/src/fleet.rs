//! The nodes of a deployment, as an operator reaches them.

use std::time::Duration;

use fescuelock_http::client::{Call, Client};
use fescuelock_http::net::SharedNetwork;
use http::header;
use tokio::time::{Instant, sleep};

use crate::admin::NodeStatus;
use crate::{Error, Result};

/// Time for one request to a node, in milliseconds.
const NODE_TIMEOUT_MS: u64 = 2_000;
/// Pause between two looks at nodes that lag, in milliseconds.
const LOOK_MS: u64 = 200;

/// `Fleet` is a list of nodes.
pub struct Fleet {
    /// The network.
    pub network: SharedNetwork,
    /// Operators' addresses of the nodes.
    pub addresses: Vec<String>,
    /// The operator's key, if the nodes ask for one.
    pub key: Option<String>,
}

/// `NodeReport` is what a node said, or why it said nothing.
pub struct NodeReport {
    /// Operators' address of the node.
    pub address: String,
    /// The status or the error.
    pub status: Result<NodeStatus>,
}

impl Fleet {
    /// Asks every node for its status.
    pub async fn status(&self) -> Vec<NodeReport> {
        let mut reports = Vec::new();
        for address in &self.addresses {
            let status = self.ask(address).await;
            reports.push(NodeReport { address: address.clone(), status });
        }
        reports
    }

    /// Waits until a generation is in force on every node.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Lagging`] with the nodes that did not follow in time.
    pub async fn wait_in_force(&self, generation: u64, limit_ms: u64) -> Result<()> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        loop {
            let lagging: Vec<String> = self
                .status()
                .await
                .into_iter()
                .filter(|report| !report.follows(generation))
                .map(|report| report.address)
                .collect();
            match lagging.is_empty() {
                true => return Ok(()),

                false if Instant::now() >= deadline => {
                    return Err(Error::Lagging { generation, nodes: lagging });
                }

                false => sleep(Duration::from_millis(LOOK_MS)).await,
            }
        }
    }

    async fn ask(&self, address: &str) -> Result<NodeStatus> {
        let failed = |reason: String| Error::Node { address: address.to_owned(), reason };
        let client = Client::new(self.network.clone(), address);
        let authorization =
            self.key.iter().map(|key| (header::AUTHORIZATION, format!("Bearer {key}")));
        let call = Call {
            path: "/status".to_owned(),
            headers: authorization.collect(),
            limit_ms: NODE_TIMEOUT_MS,
            ..Call::default()
        };
        let answer = client.call(call).await.map_err(|error| failed(error.to_string()))?;
        if !answer.status.is_success() {
            return Err(failed(format!("answered with status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body).map_err(|error| failed(error.to_string()))
    }
}

impl NodeReport {
    /// Tells whether the node has the generation or a later one in force.
    pub fn follows(&self, generation: u64) -> bool {
        self.status.as_ref().is_ok_and(|status| status.generation >= generation)
    }
}
