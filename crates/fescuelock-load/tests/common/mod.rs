//! An in-memory deployment that runs on the paused clock of a test.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::sync::Arc;

use fescuelock_load::caller::Caller;
use fescuelock_load::cluster::{Cluster, ClusterOptions};
use fescuelock_load::samples::{SampleOptions, api_key_of, rules};
use fescuelock_standin::engine::Run;
use fescuelock_standin::faults::{EngineFaults, PlatformFaults};
use fescuelock_standin::memory::MemoryNetwork;

/// `TestCluster` is a cluster together with its in-memory network.
pub struct TestCluster {
    pub cluster: Cluster,
    pub network: Arc<MemoryNetwork>,
}

impl TestCluster {
    /// Starts a deployment with the sample rules followed by `extra`.
    pub async fn start(nodes: usize, extra: &str) -> TestCluster {
        let sample = SampleOptions { extra: extra.to_owned(), ..SampleOptions::default() };
        TestCluster::start_with(ClusterOptions {
            nodes,
            rules: rules(&sample),
            ..ClusterOptions::default()
        })
        .await
    }

    /// Starts a deployment in memory with the given options.
    pub async fn start_with(options: ClusterOptions) -> TestCluster {
        let network = Arc::new(MemoryNetwork::default());
        let options = ClusterOptions { network: network.clone(), ..options };
        let cluster = Cluster::start(options).await.expect("the deployment starts");
        TestCluster { cluster, network }
    }

    /// Builds a client that authenticates as `team` and connects to `node`.
    pub fn caller(&self, node: usize, team: &str) -> Caller {
        let node = self.cluster.node(node).expect("the node runs");
        Caller::new(self.cluster.network(), node.callers_address(), &api_key_of(team))
    }

    /// Sets the faults of all engines.
    pub fn engine_faults(&self, faults: &EngineFaults) {
        for engine in self.cluster.deployment.engines.values() {
            engine.set_faults(faults.clone());
        }
    }

    /// Sets the faults of all VMs of the plain service.
    pub fn service_faults(&self, faults: &EngineFaults) {
        for service in self.cluster.deployment.services.values() {
            service.set_faults(faults.clone());
        }
    }

    /// Sets the faults of the platform.
    pub fn platform_faults(&self, faults: PlatformFaults) {
        self.cluster.deployment.platform.set_faults(faults);
    }

    /// Returns all requests that the engines have executed.
    pub fn engine_runs(&self) -> Vec<Run> {
        self.cluster.deployment.engines.values().flat_map(|engine| engine.runs()).collect()
    }

    /// Returns all calls that the plain service has executed.
    pub fn service_runs(&self) -> Vec<Run> {
        self.cluster.deployment.services.values().flat_map(|service| service.runs()).collect()
    }

    /// Applies an edit of the rules and waits until it is in force on all nodes.
    pub async fn edit(&self, change: impl Fn(&str) -> String) -> u64 {
        let applied = self.cluster.edit(change).await.expect("the edit is applied");
        self.cluster.wait_until_in_force(applied.generation).await;
        applied.generation
    }
}
