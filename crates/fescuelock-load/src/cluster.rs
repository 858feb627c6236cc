//! A deployment in one process: stand-ins, and router nodes that can be killed and replaced.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::clock::Clock;
use fescuelock_core::counters::Counters;
use fescuelock_core::session::{SessionKeys, SigningKey};
use fescuelock_http::net::{SharedNetwork, TcpNetwork};
use fescuelock_nodes::link::NodeKeys;
use fescuelock_operators::edit::{self, Applied};
use fescuelock_router::logs;
use fescuelock_router::node::{DrainOutcome, Environment, Node, Running};
use fescuelock_router::settings::Settings;
use fescuelock_standin::deployment::{Deployment, DeploymentOptions};
use fescuelock_standin::platform::ListedVm;
use fescuelock_store::http_store::{HttpStore, HttpStoreOptions};
use tokio::time::timeout;

use crate::{Error, Result};

/// Time in which a node must become ready, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;
/// Secret of the sample session key.
const SESSION_SECRET: &[u8] = b"0123456789abcdef";
/// Secret of the sample node key.
const NODE_SECRET: &[u8] = b"fedcba9876543210";

/// `ClusterOptions` configures a deployment.
#[derive(Clone)]
pub struct ClusterOptions {
    /// The network. Defaults to TCP on loopback addresses.
    pub network: SharedNetwork,
    /// Number of nodes. Defaults to 3.
    pub nodes: usize,
    /// Rules that are applied at the start.
    pub rules: String,
    /// Options of the stand-ins.
    pub deployment: DeploymentOptions,
    /// Adjusts the settings of every node before it starts.
    pub adjust_settings: fn(&mut Settings),
    /// Seed from which the seed of every node start is derived.
    pub seed: u64,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        ClusterOptions {
            network: TcpNetwork::shared(),
            nodes: 3,
            rules: crate::samples::rules(&crate::samples::SampleOptions::default()),
            deployment: DeploymentOptions::default(),
            adjust_settings: |_| {},
            seed: 1,
        }
    }
}

/// `Cluster` is a running deployment.
pub struct Cluster {
    /// The stand-ins.
    pub deployment: Deployment,
    /// Client of the platform's store, as operators use it.
    pub store: Arc<HttpStore>,
    /// Clock of all nodes.
    pub clock: Clock,
    options: ClusterOptions,
    nodes: Vec<Option<Node<Running>>>,
    node_starts: u64,
}

impl Cluster {
    /// Starts the stand-ins, applies the rules and starts the nodes.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that could not be started.
    pub async fn start(options: ClusterOptions) -> Result<Self> {
        let nodes = options.nodes;
        let mut cluster = Cluster::start_without_nodes(options).await?;
        cluster.add_nodes(nodes).await?;
        Ok(cluster)
    }

    /// Adds nodes.
    ///
    /// # Errors
    ///
    /// Returns the error of the first node that could not be started.
    pub async fn add_nodes(&mut self, nodes: usize) -> Result<()> {
        for _ in 0..nodes {
            let index = self.nodes.len();
            self.nodes.push(None);
            self.start_node(index).await?;
        }
        Ok(())
    }

    /// Starts the stand-ins and applies the rules, without any node.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that could not be started.
    pub async fn start_without_nodes(options: ClusterOptions) -> Result<Self> {
        let deployment =
            Deployment::start(options.network.clone(), &options.rules, options.deployment.clone())
                .await?;
        let store_options = HttpStoreOptions {
            address: deployment.platform_address.clone(),
            ..HttpStoreOptions::default()
        };
        let store =
            Arc::new(HttpStore::new(options.network.clone(), store_options, Counters::in_memory()));
        edit::apply(store.as_ref(), &options.rules, None).await?;
        let clock = Clock::system();
        Ok(Cluster { deployment, store, clock, options, nodes: Vec::new(), node_starts: 0 })
    }

    /// Returns the settings of a node.
    pub fn settings(&self, index: usize) -> Settings {
        let key = SigningKey { name: "sample".to_owned(), secret: SESSION_SECRET.to_vec() };
        let keys = SessionKeys::try_new(vec![key]).expect("there is one key");
        let mut settings =
            Settings::new(format!("node-{index}"), format!("zone-{}", index % 2), keys);
        settings.callers_listen = "127.0.0.1:0".to_owned();
        settings.operators_listen = "127.0.0.1:0".to_owned();
        settings.nodes_listen = "127.0.0.1:0".to_owned();
        settings.platform_address = self.deployment.platform_address.clone();
        settings.shutdown.balancer_delay_ms = 100;
        settings.shutdown.drain_ms = 60_000;
        settings.claims.node.clone_from(&settings.node);
        settings.mesh.node.clone_from(&settings.node);
        settings.mesh.zone.clone_from(&settings.zone);
        let key = SigningKey { name: "sample".to_owned(), secret: NODE_SECRET.to_vec() };
        settings.mesh.keys = NodeKeys { keys: vec![key] };
        (self.options.adjust_settings)(&mut settings);
        settings
    }

    /// Returns the environment for the next start of a node, with a seed of its own.
    pub fn environment(&mut self) -> Environment {
        self.node_starts += 1;
        Environment {
            network: self.options.network.clone(),
            clock: self.clock,
            seed: self.options.seed.wrapping_mul(1_000_003).wrapping_add(self.node_starts),
            logger: logs::discard(),
        }
    }

    /// Starts or restarts a node and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of the node if it cannot be started, and [`Error::NotReady`] if it does
    /// not become ready in time.
    pub async fn start_node(&mut self, index: usize) -> Result<()> {
        let node = self.launch_node(index).await?;
        let ready = timeout(Duration::from_millis(READY_TIMEOUT_MS), node.wait_until_ready()).await;
        ready.map_err(|_| Error::NotReady(format!("node-{index}")))?;
        self.nodes[index] = Some(node);
        self.publish_nodes();
        Ok(())
    }

    /// Publishes the running nodes in the platform's list of VMs.
    fn publish_nodes(&self) {
        let vms = self.nodes.iter().enumerate().filter_map(|(index, node)| {
            let node = node.as_ref()?;
            Some(ListedVm {
                name: format!("node-{index}"),
                address: node.operators_address().to_owned(),
                role: "entry".to_owned(),
                state: "live".to_owned(),
                nodes_address: Some(node.nodes_address().to_owned()),
            })
        });
        self.deployment.platform.set_vms(vms.collect());
    }

    /// Starts a node without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of the node if it cannot be started.
    pub async fn launch_node(&mut self, index: usize) -> Result<Node<Running>> {
        let settings = self.settings(index);
        let environment = self.environment();
        Ok(Node::start(settings, environment).await?)
    }

    /// Stops a node immediately, without draining it.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(node) = self.nodes[index].take() {
            node.kill();
        }
    }

    /// Removes a node from the cluster and returns it, so that it can be drained concurrently.
    pub fn remove_node(&mut self, index: usize) -> Option<Node<Running>> {
        self.nodes[index].take()
    }

    /// Drains a node and waits until it has stopped.
    pub async fn drain_node(&mut self, index: usize) -> Option<DrainOutcome> {
        let node = self.nodes[index].take()?;
        Some(node.drain().finish().await)
    }

    /// Returns a node, if it is running.
    pub fn node(&self, index: usize) -> Option<&Node<Running>> {
        self.nodes[index].as_ref()
    }

    /// Returns the number of nodes, including those that are not running.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no node was ever added.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the addresses at which the running nodes accept callers.
    pub fn caller_addresses(&self) -> Vec<String> {
        self.nodes.iter().flatten().map(|node| node.callers_address().to_owned()).collect()
    }

    /// Returns the network of the deployment.
    pub fn network(&self) -> SharedNetwork {
        self.options.network.clone()
    }

    /// Edits the current rules in the platform's store.
    ///
    /// # Errors
    ///
    /// Returns the error of reading the rules or of applying the edited ones.
    pub async fn edit(&self, change: impl Fn(&str) -> String) -> Result<Applied> {
        let current = edit::read_stored_rules(self.store.as_ref()).await?;
        let current = current.ok_or(fescuelock_operators::Error::NoRules)?;
        let text = change(&current.text);
        Ok(edit::apply(self.store.as_ref(), &text, Some(current.generation)).await?)
    }

    /// Waits until every running node uses at least the given generation of the rules.
    pub async fn wait_until_in_force(&self, generation: u64) {
        while !self.nodes.iter().flatten().all(|node| node.status().generation >= generation) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Stops all nodes and stand-ins immediately.
    pub fn stop(mut self) {
        for index in 0..self.nodes.len() {
            self.kill_node(index);
        }
        self.deployment.stop();
    }
}
