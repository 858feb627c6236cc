//! State that the tasks of a node share: configuration, upstreams, budgets, counters and metrics.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use fescuelock_core::counters::Counters;
use fescuelock_core::rules::ScoringWeights;
use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::byte_budget::{ByteBudget, ByteBudgetOptions};
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::server::{ServerOptions, SharedOptions};
use fescuelock_policy::admission::UsualDeadlines;
use fescuelock_policy::answer_time::AnswerTimes;
use fescuelock_policy::deployment::{Deployment, Limits};
use fescuelock_policy::escalation::EngineTimePrice;
use fescuelock_policy::node::{Bounds, NodeSettings};
use fescuelock_policy::restored_store;
use fescuelock_policy::retry_budget::{RetryBudget, RetryPurpose};
use fescuelock_policy::store_reads::Readers;
use fescuelock_store::resources::Collection;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::fleet::Fleet;
use crate::log::{LogBuffer, TAG_LIFECYCLE};
use crate::metrics::{LatencyHistogram, Metrics};
use crate::rates::PeerRates;
use crate::store_changes::StoreChanges;
use crate::unread_collections::UnreadCollections;
use crate::waiting_room::WaitingRoom;

/// Factor from the sum of the configured header and idle timeouts to the server's header timeout.
/// The server's timeout also runs while a connection is idle. The factor leaves room for callers
/// that learn late of a lowered limit.
const SERVER_HEADER_TIMEOUT_FACTOR: u64 = 4;

/// Longest time over which nodes spread a write that all of them make, in milliseconds.
const WRITE_SPREAD_MAX_MS: u64 = 10_000;

/// Smallest limit on the headers of a request that is enforced, in bytes.
const HEAD_MAX_MIN_BYTES: usize = 8 << 10;

/// Space for the request line beyond the largest header section, in bytes.
const REQUEST_LINE_MAX_BYTES: usize = 2 << 10;

/// `GracePeriod` is the time that a stopping node has for its requests.
#[derive(Debug, Clone, Copy)]
pub struct GracePeriod {
    /// Time from which the load balancer sends no more connections.
    pub balanced_until: Instant,
    /// Time at which requests in flight are aborted.
    pub end: Instant,
}

/// `NodeState` holds the state that the tasks of a node share.
pub struct NodeState {
    /// Settings at the node's start. The bounds in force are returned by [`NodeState::bounds`].
    pub settings: NodeSettings,
    /// Server options for connections of callers.
    pub callers_options: SharedOptions,
    /// State of the upstreams.
    pub fleet: Mutex<Fleet>,
    /// Network that sockets are opened on.
    pub network: SharedNetwork,
    /// Bytes that the node holds for callers.
    pub budget: ByteBudget,
    /// Counters of events.
    pub counters: Counters,
    /// Latency histograms and labelled counters.
    pub metrics: Metrics,
    /// Logger of the node.
    pub logger: Logger,
    /// Buffered log lines that have not been written yet.
    pub log_buffer: LogBuffer,
    /// Background tasks of the node.
    pub tasks: TaskGroup,
    /// Cancelled when the node starts to shut down.
    pub stopping: CancellationToken,
    /// Cancelled when the grace period is almost over, to answer the requests still in flight.
    pub grace_over: CancellationToken,
    /// Time of the stop signal and end of the grace period, once the node is stopping.
    pub grace_period: OnceLock<GracePeriod>,
    /// How long the answers of each route take.
    pub answer_times: Mutex<AnswerTimes>,
    /// Requests that wait for an upstream with capacity, and the work of teams.
    pub waiting_room: WaitingRoom,
    /// Usual deadlines of the callers of each route.
    pub usual_deadlines: Mutex<UsualDeadlines>,
    /// Number of requests in flight.
    pub in_flight: Arc<AtomicU64>,
    /// Number of collections for which the last call to the store failed.
    pub failing_collections: AtomicUsize,
    /// Whether the most recent call of the watcher that probes the store during an outage
    /// succeeded.
    pub probe_succeeds: watch::Sender<bool>,
    /// Number of outages of the store whose end a watcher has seen.
    pub store_outages: watch::Sender<u64>,
    /// Latest changes of the collections of the store, as this node and others have read them.
    pub store_changes: StoreChanges,
    /// Time of the last successful list or watch call to the store, in milliseconds of the node's
    /// clock. Other calls to the store don't set it.
    pub store_read_ms: AtomicU64,
    /// Time of the last report from another node that reaches the store, in milliseconds.
    pub peer_reached_store_ms: AtomicU64,
    /// Time of the last report from another node that watches the current state of the store, in
    /// milliseconds; 0 if there was none.
    pub store_reader_report_ms: AtomicU64,
    /// Rates that other nodes have reported.
    peer_rates: Mutex<PeerRates>,
    /// Wakes the task that sends reports, to report news without waiting for the next round.
    pub report_soon: Notify,
    /// Number of changes of verdicts on prompt segments.
    pub verdicts_changed: watch::Sender<u64>,
    /// Collections that have not been read to their end yet. They may be empty.
    pub unread_collections: UnreadCollections,
    deployment: Mutex<Option<Arc<Deployment>>>,
    service_budgets: Mutex<ServiceBudgets>,
    rng: Mutex<ChaCha8Rng>,
    started: Instant,
}

/// `ServiceBudgets` holds the retry budget and the price of engine time of each service.
#[derive(Default)]
struct ServiceBudgets {
    retry_budgets: HashMap<String, RetryBudget>,
    engine_time_prices: HashMap<String, EngineTimePrice>,
}

impl NodeState {
    /// Builds the state of a node that has loaded no configuration and no upstreams yet.
    pub fn new(
        settings: NodeSettings,
        scoring_weights: ScoringWeights,
        network: SharedNetwork,
        (log_buffer, logger): (LogBuffer, Logger),
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let run_id = rng.random();
        NodeState {
            fleet: Mutex::new(Fleet::new(network.clone(), &settings, scoring_weights, run_id)),
            callers_options: callers_options(&Limits::default()).shared(),
            budget: ByteBudget::new(ByteBudgetOptions::for_vm(
                settings.memory_mb,
                settings.descriptors_max,
            )),
            settings,
            network,
            counters: Counters::in_memory(),
            metrics: Metrics::default(),
            logger,
            log_buffer,
            tasks: TaskGroup::default(),
            stopping: CancellationToken::new(),
            grace_over: CancellationToken::new(),
            grace_period: OnceLock::new(),
            answer_times: Mutex::default(),
            waiting_room: WaitingRoom::default(),
            usual_deadlines: Mutex::default(),
            in_flight: Arc::default(),
            failing_collections: AtomicUsize::new(0),
            probe_succeeds: watch::Sender::new(true),
            store_outages: watch::Sender::new(0),
            store_changes: StoreChanges::default(),
            store_read_ms: AtomicU64::new(0),
            peer_reached_store_ms: AtomicU64::new(0),
            store_reader_report_ms: AtomicU64::new(0),
            peer_rates: Mutex::default(),
            report_soon: Notify::new(),
            verdicts_changed: watch::Sender::new(0),
            unread_collections: UnreadCollections::default(),
            deployment: Mutex::default(),
            service_budgets: Mutex::default(),
            rng: Mutex::new(rng),
            started: Instant::now(),
        }
    }

    /// Returns the monotonic time since the node's start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Locks the state of the upstreams. The guard must not be held across an await point.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, if one has been loaded.
    pub fn deployment(&self) -> Option<Arc<Deployment>> {
        self.deployment.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies a configuration unless the one in force is at least as new.
    ///
    /// Returns whether it was applied.
    pub fn apply_deployment(&self, deployment: Deployment) -> bool {
        let mut current = self.deployment.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|current| current.version >= deployment.version) {
            return false;
        }
        self.callers_options.store(Arc::new(callers_options(&deployment.limits)));
        *current = Some(Arc::new(deployment));
        true
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.fleet().bounds.clone()
    }

    /// Applies the bounds and regions of changed settings.
    ///
    /// Returns the names of changed settings that take effect only after a restart.
    pub fn apply_settings(&self, changed: &NodeSettings) -> Vec<&'static str> {
        self.fleet().apply_settings(changed);
        self.settings.restart_only_changes(changed)
    }

    /// Returns the warm-up time of a new upstream of a service, in milliseconds.
    pub fn warmup_ms(&self, pool: &str) -> u64 {
        let deployment = self.deployment();
        let pool = deployment.as_ref().and_then(|deployment| {
            deployment.pools.find(pool).map(|key| deployment.pools.at(key).warmup_ms)
        });
        pool.unwrap_or_default()
    }

    /// Returns the longest warm-up time of any service, in milliseconds.
    pub fn warmup_max_ms(&self) -> u64 {
        let deployment = self.deployment();
        let pools = deployment.iter().flat_map(|deployment| deployment.pools.iter());
        pools.map(|(_, pool)| pool.warmup_ms).max().unwrap_or_default()
    }

    /// Counts a caller's request to a service in the service's retry budget.
    pub fn record_request_for_retries(&self, pool: &str) {
        let now_ms = self.now_ms();
        let mut service_budgets = self.service_budgets();
        match service_budgets.retry_budgets.get_mut(pool) {
            Some(budget) => budget.record_request(now_ms),
            None => service_budgets
                .retry_budgets
                .entry(pool.to_owned())
                .or_default()
                .record_request(now_ms),
        }
    }

    /// Takes a retry from a service's retry budget. Returns whether the budget allowed it.
    pub fn take_retry(&self, pool: &str, purpose: RetryPurpose) -> bool {
        let limit = self.bounds().retry_limit();
        let nodes = self.fleet().node_count();
        let now_ms = self.now_ms();
        let mut service_budgets = self.service_budgets();
        let budget = service_budgets.retry_budgets.entry(pool.to_owned()).or_default();
        budget.try_acquire(purpose, &limit, nodes, now_ms)
    }

    /// Gives `use_price` access to the price of a service's engine time. The budgets of all
    /// services stay locked during the call.
    pub fn with_engine_time_price<T>(
        &self,
        pool: &str,
        use_price: impl FnOnce(&mut EngineTimePrice) -> T,
    ) -> T {
        let mut service_budgets = self.service_budgets();
        use_price(service_budgets.engine_time_prices.entry(pool.to_owned()).or_default())
    }

    /// Locks the times that answers take.
    pub fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.answer_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time that the caller of a request has used in earlier attempts, in milliseconds, as
    /// far as the deadline that it states tells.
    pub fn used_ms(&self, route: u64, deadline_ms: Option<u64>) -> u64 {
        let mut usual_deadlines =
            self.usual_deadlines.lock().unwrap_or_else(PoisonError::into_inner);
        deadline_ms.map_or(0, |deadline_ms| usual_deadlines.record(route, deadline_ms))
    }

    /// Locks the rates that other nodes have reported.
    pub fn peer_rates(&self) -> MutexGuard<'_, PeerRates> {
        self.peer_rates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws a uniform random number in `[0, 1)`.
    pub fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random_range(0.0..1.0)
    }

    /// Draws 64 random bits.
    pub fn draw_bits(&self) -> u64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Records the latency of a call to the store.
    pub fn record_store_call(&self, call: &str, started: Instant) {
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.metrics.record_ms(LatencyHistogram::StoreCall, &[("call", call)], elapsed_ms);
    }

    /// Draws the delay of a write to the store that all nodes make for the same reason, in
    /// milliseconds.
    pub fn draw_write_delay_ms(&self) -> u64 {
        let writes_per_s = self.bounds().store_writes_per_s;
        let nodes = self.fleet().node_count();
        let spread_ms = restored_store::spread_ms(nodes, 1, writes_per_s, WRITE_SPREAD_MAX_MS);
        (spread_ms as f64 * self.draw()) as u64
    }

    /// Returns whether the last call to the store succeeded for every collection.
    pub fn reaches_store(&self) -> bool {
        self.failing_collections.load(Ordering::Relaxed) == 0
    }

    /// Returns whether another node reported within the last `max_age_ms` milliseconds that it
    /// reaches the store.
    pub fn peer_reaches_store(&self, max_age_ms: u64) -> bool {
        let at_ms = self.peer_reached_store_ms.load(Ordering::Relaxed);
        at_ms > 0 && self.now_ms().saturating_sub(at_ms) <= max_age_ms
    }

    /// Returns whether this node is a reader of the store, and when it last heard of one.
    pub fn store_readers(&self) -> Readers {
        let last_report_ms = self.store_reader_report_ms.load(Ordering::Relaxed);
        Readers {
            is_reader: self.fleet().is_store_reader(),
            last_report_ms: (last_report_ms > 0).then_some(last_report_ms),
        }
    }

    /// Records that a collection has been read to its end and applied.
    pub fn record_collection_read(&self, collection: Collection) {
        if self.unread_collections.record_read(collection) {
            info!(self.logger, #TAG_LIFECYCLE, "collection read for the first time";
                "collection" => collection.label(),
                "unread" => self.unread_collections.labels().join(", "));
        }
    }

    /// Returns whether the node can serve (see [`NodeState::unready_reason`]).
    pub fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }

    /// Returns the reason why the node cannot serve, if there is one: it is stopping, has not read all
    /// collections that it needs to their end, or has no configuration.
    pub fn unready_reason(&self) -> Option<String> {
        if self.stopping.is_cancelled() {
            return Some("not ready, stopping".to_owned());
        }
        match self.unread_collections.labels().join(", ") {
            unread if !unread.is_empty() => Some(format!("not ready, not read yet: {unread}")),
            _ if self.deployment().is_none() => Some("not ready, no configuration".to_owned()),
            _ => None,
        }
    }

    fn service_budgets(&self) -> MutexGuard<'_, ServiceBudgets> {
        self.service_budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Derives the server options for connections of callers from the configured limits.
fn callers_options(limits: &Limits) -> ServerOptions {
    ServerOptions {
        header_timeout_ms: SERVER_HEADER_TIMEOUT_FACTOR
            * (limits.head_timeout_ms + limits.idle_timeout_ms),
        head_max_bytes: limits.head_max_bytes.max(HEAD_MAX_MIN_BYTES) + REQUEST_LINE_MAX_BYTES,
        ..ServerOptions::default()
    }
}
