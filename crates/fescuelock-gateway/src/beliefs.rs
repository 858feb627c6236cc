//! What a node knows and counts, shared by its tasks.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fescuelock_core::counters::Counters;
use fescuelock_core::rules::Steering;
use fescuelock_core::tasks::Tasks;
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::server::{ServerOptions, SharedOptions};
use fescuelock_policy::deployment::{Deployment, Limits};
use fescuelock_policy::escalation::EngineTimePrice;
use fescuelock_policy::node::{Bounds, NodeSettings};
use fescuelock_policy::retry_budget::{RetryBudget, RetryPurpose};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::fleet::Fleet;
use crate::log::Lines;
use crate::metrics::{Metrics, Timing};

/// Factor by which connections of callers may stay idle beyond the limit. The time for a head runs
/// while a connection is idle, too, and limits may grow while a connection is open.
const IDLE_FACTOR: u64 = 4;

/// Smallest read buffer of a connection, in bytes. The HTTP library takes no smaller one.
const READ_BUFFER_MIN_BYTES: usize = 8 << 10;

/// Room for a request line beside the largest head, in bytes.
const START_LINE_BYTES: usize = 2 << 10;

/// `Beliefs` is what a node knows and counts.
pub struct Beliefs {
    /// What the deployment told the node at its start. Bounds are read from [`Beliefs::bounds`].
    pub settings: NodeSettings,
    /// How connections of callers are served.
    pub callers_options: SharedOptions,
    /// The upstreams.
    pub fleet: Mutex<Fleet>,
    /// The network.
    pub network: SharedNetwork,
    /// Counters.
    pub counters: Counters,
    /// Latencies and shares.
    pub metrics: Metrics,
    /// The log.
    pub logger: Logger,
    /// Lines of the log that wait to be written.
    pub lines: Lines,
    /// Tasks of the node.
    pub tasks: Tasks,
    /// Set when the node has been told to stop.
    pub stopping: CancellationToken,
    /// Requests that wait for an upstream.
    pub waiting: AtomicUsize,
    /// Requests in flight.
    pub in_flight: Arc<AtomicU64>,
    /// Collections whose last call of the store failed.
    pub failing: AtomicUsize,
    /// Whether the follower that probes the store in an outage has got its last answer.
    pub probe_answers: watch::Sender<bool>,
    /// Time of the store's last answer to any call, in milliseconds.
    pub store_answered_ms: AtomicU64,
    /// Time of the last report of another node that reaches the store, in milliseconds.
    pub others_reached_ms: AtomicU64,
    /// Whether the upstreams have been listed.
    pub has_upstreams: AtomicBool,
    deployment: Mutex<Option<Arc<Deployment>>>,
    economy: Mutex<Economy>,
    rng: Mutex<ChaCha8Rng>,
    started: Instant,
}

/// `Economy` holds the budgets and prices of services.
#[derive(Default)]
struct Economy {
    retries: HashMap<String, RetryBudget>,
    engine_time: HashMap<String, EngineTimePrice>,
}

impl Beliefs {
    /// Starts without any knowledge.
    pub fn new(
        settings: NodeSettings,
        steering: Steering,
        network: SharedNetwork,
        (lines, logger): (Lines, Logger),
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let run = rng.random();
        Beliefs {
            fleet: Mutex::new(Fleet::new(network.clone(), &settings, steering, run)),
            callers_options: callers_options(&Limits::default()).shared(),
            settings,
            network,
            counters: Counters::in_memory(),
            metrics: Metrics::default(),
            logger,
            lines,
            tasks: Tasks::default(),
            stopping: CancellationToken::new(),
            waiting: AtomicUsize::new(0),
            in_flight: Arc::default(),
            failing: AtomicUsize::new(0),
            probe_answers: watch::Sender::new(true),
            store_answered_ms: AtomicU64::new(0),
            others_reached_ms: AtomicU64::new(0),
            has_upstreams: AtomicBool::new(false),
            deployment: Mutex::default(),
            economy: Mutex::default(),
            rng: Mutex::new(rng),
            started: Instant::now(),
        }
    }

    /// Returns the time since the start on the steady clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Lends what is known of the upstreams. The guard is not kept over a wait.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, if one is known.
    pub fn deployment(&self) -> Option<Arc<Deployment>> {
        self.deployment.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force unless the one in force is as new. Returns whether it did.
    pub fn adopt(&self, deployment: Deployment) -> bool {
        let mut current = self.deployment.lock().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|current| current.version >= deployment.version) {
            return false;
        }
        self.callers_options.store(Arc::new(callers_options(&deployment.limits)));
        *current = Some(Arc::new(deployment));
        true
    }

    /// Returns the deployment's bounds in force.
    pub fn bounds(&self) -> Bounds {
        self.fleet().bounds.clone()
    }

    /// Puts the bounds and regions of changed settings in force.
    ///
    /// Returns the names of changed settings that wait for the next start.
    pub fn apply(&self, changed: &NodeSettings) -> Vec<&'static str> {
        self.fleet().apply(changed);
        self.settings.bound_to_start(changed)
    }

    /// Returns how long a new upstream of a service is cold, in milliseconds.
    pub fn warmup_ms(&self, pool: &str) -> u64 {
        let deployment = self.deployment();
        let pool = deployment.as_ref().and_then(|deployment| {
            deployment.pools.find(pool).map(|key| deployment.pools.at(key).warmup_ms)
        });
        pool.unwrap_or_default()
    }

    /// Returns the longest time for which upstreams of any service are cold, in milliseconds.
    pub fn warmup_max_ms(&self) -> u64 {
        let deployment = self.deployment();
        let pools = deployment.iter().flat_map(|deployment| deployment.pools.iter());
        pools.map(|(_, pool)| pool.warmup_ms).max().unwrap_or_default()
    }

    /// Counts a request of a caller to a service.
    pub fn note_request(&self, pool: &str) {
        let now_ms = self.now_ms();
        let mut economy = self.economy();
        match economy.retries.get_mut(pool) {
            Some(budget) => budget.note_request(now_ms),
            None => economy.retries.entry(pool.to_owned()).or_default().note_request(now_ms),
        }
    }

    /// Takes an extra send to a service, if the budget has one.
    pub fn take_retry(&self, pool: &str, purpose: RetryPurpose) -> bool {
        let bound = self.bounds().retries();
        let nodes = self.fleet().node_count();
        let now_ms = self.now_ms();
        let mut economy = self.economy();
        let budget = economy.retries.entry(pool.to_owned()).or_default();
        budget.take(purpose, &bound, nodes, now_ms)
    }

    /// Lends the price of a service's engine time.
    pub fn with_engine_time<T>(
        &self,
        pool: &str,
        use_price: impl FnOnce(&mut EngineTimePrice) -> T,
    ) -> T {
        let mut economy = self.economy();
        use_price(economy.engine_time.entry(pool.to_owned()).or_default())
    }

    /// Draws a number from 0 up to 1.
    pub fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random_range(0.0..1.0)
    }

    /// Draws a number of 64 bits.
    pub fn draw_bits(&self) -> u64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Notes the time of a call of the store.
    pub fn note_store_call(&self, call: &str, started: Instant) {
        let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.metrics.note_ms(Timing::StoreCall, &[("call", call)], elapsed_ms);
    }

    /// Tells whether the last calls of the store were answered.
    pub fn reaches_store(&self) -> bool {
        self.failing.load(Ordering::Relaxed) == 0
    }

    /// Tells whether another node said within `fresh_ms` milliseconds that it reaches the store.
    pub fn others_reach_store(&self, fresh_ms: u64) -> bool {
        let at_ms = self.others_reached_ms.load(Ordering::Relaxed);
        at_ms > 0 && self.now_ms().saturating_sub(at_ms) <= fresh_ms
    }

    /// Tells whether the node knows enough to serve.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled()
            && self.has_upstreams.load(Ordering::Relaxed)
            && self.deployment().is_some()
    }

    fn economy(&self) -> MutexGuard<'_, Economy> {
        self.economy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how callers within the limits are served.
fn callers_options(limits: &Limits) -> ServerOptions {
    ServerOptions {
        header_timeout_ms: IDLE_FACTOR * (limits.head_timeout_ms + limits.idle_timeout_ms),
        buffer_max_bytes: limits.head_max_bytes.max(READ_BUFFER_MIN_BYTES) + START_LINE_BYTES,
        ..ServerOptions::default()
    }
}
