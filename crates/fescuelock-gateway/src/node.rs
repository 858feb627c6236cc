//! A node of the gateway: starts its servers and background tasks, and shuts them down gracefully.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::rules::ScoringWeights;
use fescuelock_http::byte_budget::ByteBudget;
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::server::{BusyConnections, Handler, Server, ServerOptions, SharedOptions};
use fescuelock_policy::node::NodeSettings;
use fescuelock_store::Error as StoreError;
use fescuelock_store::resources::{Collection, SharedResources};
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::handler::GatewayHandler;
use crate::log::{LogBuffer, TAG_LIFECYCLE};
use crate::node_state::{GracePeriod, NodeState};
use crate::peers::Peers;
use crate::readiness::ReadinessHandler;
use crate::rejections;
use crate::rollouts::PendingStateWrite;
use crate::store_changes::WATCHED;
use crate::waiting_room;
use crate::watcher::{self, CollectionWatcher};
use crate::{Error, Result};

/// Time for which a stopping node still accepts connections, in milliseconds. The load balancer
/// removes a node only after two failed readiness checks, which are a second apart.
const STOP_ACCEPT_MS: u64 = 2_300;

/// Idle timeout of connections for readiness checks and metrics, in milliseconds. Metrics are
/// scraped at least about once a minute.
const READINESS_IDLE_MS: u64 = 72_000;

/// Time before the end of the grace period at which a stopping node aborts the requests that are
/// still in flight, in milliseconds. The process is killed at the end of the grace period.
const KILL_MARGIN_MS: u64 = 250;

/// Interval at which a stopping node checks whether requests are still in flight, in milliseconds.
const DRAIN_CHECK_INTERVAL_MS: u64 = 50;

/// Time without any request in flight after which a stopping node counts as drained, in
/// milliseconds. A request head may still take some round trips to arrive.
const DRAIN_IDLE_MS: u64 = 200;

/// Interval at which roll-outs are evaluated, in milliseconds.
const ROLLOUT_INTERVAL_MS: u64 = 150;

/// Delay before this node writes a roll-out's state to the store, for each node that ranks before
/// it, in milliseconds. One node writes first, so that the others usually don't have to.
const ROLLOUT_WRITE_RANK_DELAY_MS: u64 = 350;

/// Timeout for writing a roll-out's state to the store, in milliseconds. A slow store takes some
/// hundred milliseconds.
const ROLLOUT_WRITE_TIMEOUT_MS: u64 = 2_000;

/// `NodeOptions` holds the settings and dependencies of a node.
pub struct NodeOptions {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Operators' weights for cost, quality and risk.
    pub scoring_weights: ScoringWeights,
    /// Network that sockets are opened on.
    pub network: SharedNetwork,
    /// The object store.
    pub store: SharedResources,
    /// Logger of the node.
    pub logger: Logger,
    /// Buffer that the logger writes to. Metrics report how many lines it dropped.
    pub log_buffer: LogBuffer,
    /// Seed of the node's random number generator.
    pub seed: u64,
    /// Additional address that serves readiness checks and metrics.
    pub metrics_address: Option<String>,
    /// Whether the node exchanges reports with other nodes.
    pub exchanges_reports: bool,
}

/// `Node` is a running node.
pub struct Node {
    node_state: Arc<NodeState>,
    stop_accepting: CancellationToken,
    stop_readiness: CancellationToken,
    /// Connections of callers on which a request has arrived.
    busy: BusyConnections,
}

impl Node {
    /// Starts a node. It reports ready once it has loaded a configuration and has read all collections
    /// that it needs to their end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if a listening socket cannot be bound.
    pub async fn start(options: NodeOptions) -> Result<Self> {
        let NodeOptions {
            settings, scoring_weights, network, store, logger, log_buffer, seed, ..
        } = options;
        info!(logger, #TAG_LIFECYCLE, "started"; "zone" => &settings.zone,
            "version" => env!("CARGO_PKG_VERSION"));
        let node_state = Arc::new(NodeState::new(
            settings,
            scoring_weights,
            network,
            (log_buffer, logger),
            seed,
        ));
        let node = Node {
            node_state: Arc::clone(&node_state),
            stop_accepting: CancellationToken::new(),
            stop_readiness: CancellationToken::new(),
            busy: BusyConnections::default(),
        };
        let settings = &node_state.settings;
        let handler = Arc::new(GatewayHandler { node_state: Arc::clone(&node_state) });
        let caller_options = Arc::clone(&node_state.callers_options);
        let stop = node.stop_accepting.clone();
        let busy = node.busy.clone();
        let (address, budget) = (&settings.callers_address, node_state.budget.clone());
        node.listen(address, handler, caller_options, stop, (busy, budget)).await?;
        let readiness = Arc::new(ReadinessHandler { node_state: Arc::clone(&node_state) });
        let stop = node.stop_readiness.clone();
        let readiness_options =
            ServerOptions { header_timeout_ms: READINESS_IDLE_MS, ..ServerOptions::default() }
                .shared();
        let address = &settings.readiness_address;
        // Connections of callers don't displace those for readiness checks and metrics.
        let uncounted = (BusyConnections::default(), ByteBudget::default());
        let handler = Arc::clone(&readiness);
        let server_options = Arc::clone(&readiness_options);
        node.listen(address, handler, server_options, stop.clone(), uncounted.clone()).await?;
        if let Some(address) = &options.metrics_address
            && let Err(error) =
                node.listen(address, readiness, readiness_options, stop, uncounted).await
        {
            warn!(node_state.logger,
                "cannot listen on the metrics address, metrics are on the readiness address only";
                "error" => %error);
        }
        let peers = match options.exchanges_reports {
            true => node.start_peers(&store).await,
            false => None,
        };
        for collection in WATCHED {
            let store = Arc::clone(&store);
            let collection_watcher =
                CollectionWatcher { node_state: Arc::clone(&node_state), store, collection };
            node_state.tasks.spawn(collection_watcher.run());
        }
        node_state.tasks.spawn(watcher::remove_expired(Arc::clone(&node_state)));
        node_state.tasks.spawn(waiting_room::run(Arc::clone(&node_state)));
        node_state.tasks.spawn(rejections::run(Arc::clone(&node_state), Arc::clone(&store)));
        node_state.tasks.spawn(run_rollouts(Arc::clone(&node_state), store, peers));
        Ok(node)
    }

    /// Returns the state shared by the node's tasks.
    pub fn node_state(&self) -> &Arc<NodeState> {
        &self.node_state
    }

    /// Stops the node gracefully: reports not ready, then waits until all requests have ended or
    /// the grace period is almost over.
    ///
    /// Returns the number of requests that were aborted.
    pub async fn stop(self) -> u64 {
        let stopped = Instant::now();
        let in_flight = &self.node_state.in_flight;
        info!(self.node_state.logger, #TAG_LIFECYCLE, "stopping";
            "in_flight" => in_flight.load(Ordering::Relaxed));
        let grace_ms = self.node_state.bounds().grace_ms;
        let end = stopped + Duration::from_millis(grace_ms.saturating_sub(KILL_MARGIN_MS));
        let balanced_until = stopped + Duration::from_millis(STOP_ACCEPT_MS);
        self.node_state.grace_period.get_or_init(|| GracePeriod { balanced_until, end });
        self.node_state.stopping.cancel();
        sleep(Duration::from_millis(STOP_ACCEPT_MS)).await;
        self.stop_accepting.cancel();
        // Connections may still receive request heads that were in transit when the server stopped.
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < Duration::from_millis(DRAIN_IDLE_MS) && Instant::now() < end {
            sleep(Duration::from_millis(DRAIN_CHECK_INTERVAL_MS)).await;
            // A request is no longer in flight once its response has begun to be written.
            if in_flight.load(Ordering::Relaxed) > 0 || self.busy.count() > 0 {
                idle_since = Instant::now();
            }
        }
        let aborted = in_flight.load(Ordering::Relaxed);
        self.node_state.grace_over.cancel();
        info!(self.node_state.logger, #TAG_LIFECYCLE, "stopped"; "cut" => aborted);
        // Leaves time to write the last responses and log lines.
        sleep(Duration::from_millis(DRAIN_CHECK_INTERVAL_MS)).await;
        self.node_state.tasks.abort();
        aborted
    }

    async fn listen(
        &self,
        address: &str,
        handler: Arc<impl Handler>,
        options: SharedOptions,
        stop: CancellationToken,
        (busy, budget): (BusyConnections, ByteBudget),
    ) -> Result<()> {
        let listener = self.node_state.network.listen(address).await;
        let listener =
            listener.map_err(|source| Error::Listen { address: address.to_owned(), source })?;
        let server = Server { options, tasks: self.node_state.tasks.clone(), stop };
        self.node_state.tasks.spawn(server.run_budgeted(listener, handler, busy, budget));
        Ok(())
    }

    async fn start_peers(&self, store: &SharedResources) -> Option<Arc<Peers>> {
        let peers = match Peers::bind_socket(Arc::clone(&self.node_state)).await {
            Ok(peers) => Arc::new(peers),

            Err(error) => {
                warn!(self.node_state.logger,
                    "cannot bind a UDP port for reports, running without reports from other nodes";
                    "error" => %error);
                return None;
            }
        };
        self.node_state.unread_collections.require(Collection::Nodes);
        let (sender, receiver) = (Arc::clone(&peers), Arc::clone(&peers));
        let (registrar, store) = (Arc::clone(&peers), Arc::clone(store));
        self.node_state.tasks.spawn(async move { sender.send_reports().await });
        self.node_state.tasks.spawn(async move { receiver.receive_reports().await });
        self.node_state.tasks.spawn(async move { registrar.keep_registered(&store).await });
        Some(peers)
    }
}

/// Evaluates roll-outs until the task is dropped, and writes their states when the nodes that rank
/// before this one have not done so in time.
async fn run_rollouts(
    node_state: Arc<NodeState>,
    store: SharedResources,
    peers: Option<Arc<Peers>>,
) {
    loop {
        sleep(Duration::from_millis(ROLLOUT_INTERVAL_MS)).await;
        let now_ms = node_state.now_ms();
        let pending_writes = node_state.fleet().evaluate_rollouts(now_ms);
        if node_state.stopping.is_cancelled() {
            continue;
        }
        let rank = peers.as_ref().map_or(0, |peers| peers.rank());
        let delay_ms =
            u64::try_from(rank).unwrap_or(u64::MAX).saturating_mul(ROLLOUT_WRITE_RANK_DELAY_MS);
        let era = *store.eras().borrow();
        for pending_write in pending_writes {
            // An order that the store has lost is written again by the operator.
            let is_stored = pending_write.resource.1.era == era;
            if is_stored
                && pending_write.pending_for_ms >= delay_ms
                && !node_state.unread_collections.contains(Collection::Upstreams)
            {
                write_rollout_state(&node_state, &store, pending_write).await;
            }
        }
    }
}

/// Writes the state of a roll-out to the store. The write is idempotent.
async fn write_rollout_state(
    node_state: &NodeState,
    store: &SharedResources,
    pending_write: PendingStateWrite,
) {
    let (name, revision) = &pending_write.resource;
    let status = fescuelock_platform::rollout::encode_rollout_state(
        pending_write.state,
        &pending_write.spec.version,
    );
    let writing = store.set_status(Collection::Rollouts, name, status, *revision);
    let started = Instant::now();
    let written = timeout(Duration::from_millis(ROLLOUT_WRITE_TIMEOUT_MS), writing).await;
    node_state.record_store_call("status", started);
    let outcome = match &written {
        Ok(Ok(())) => "written".to_owned(),
        // Another node wrote first; the watch delivers what it wrote.
        Ok(Err(StoreError::Conflict)) => "overtaken".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer".to_owned(),
    };
    info!(node_state.logger, "roll-out verdict"; "service" => &pending_write.spec.pool,
        "version" => &pending_write.spec.version, "state" => ?pending_write.state,
        "score" => pending_write.score, "answers" => pending_write.answers, "revision" => revision.number,
        "outcome" => outcome);
}
