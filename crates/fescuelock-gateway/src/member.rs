//! One upstream as a node knows it: its record, its load, its health and its connections.

use std::collections::HashMap;
use std::sync::Arc;

use fescuelock_http::net::SharedNetwork;
use fescuelock_http::pool::{Pool, PoolOptions};
use fescuelock_policy::health::Health;
use fescuelock_policy::permits::ColdBucket;
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::prompt::Prompt;
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState};

/// `MemberKey` addresses one incarnation of an upstream on this node. Keys are never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey(pub u64);

/// Longest time for opening a connection to an upstream, in milliseconds.
///
/// Some tens of round trips within a region; a lost packet is better answered by another upstream
/// than by its retransmission after a second.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Age at which an idle connection is no longer used, in milliseconds. Upstreams that do not say
/// when they close idle connections keep them for some seconds.
const IDLE_MAX_MS: u64 = 1_500;

/// Idle connections kept to one upstream.
const IDLE_MAX: usize = 4;

/// Time for which a prompt's part is expected to stay in an engine's cache, in milliseconds.
const CACHED_MS: u64 = 30_000;

/// Parts remembered of one engine. Older ones are forgotten together.
const CACHED_PARTS_MAX: usize = 2_000;

/// Time for which outcomes are reported again, in milliseconds. In a large fleet a report reaches a
/// part of the nodes; within this time most have got one.
const NEWS_MS: u64 = 3_000;

/// Weight of an answer in the mean latency of a plain service's upstream.
const LATENCY_WEIGHT: f64 = 0.15;

/// Latency of a plain service before anything was measured, in milliseconds.
const LATENCY_DEFAULT_MS: f64 = 30.0;

/// Weight of a first event in an engine's slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// Largest slowness that one first event may count as.
const SLOWNESS_MAX: f64 = 10.0;

/// `Load` counts work at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// Engine time that is still to be spent on requests without a first event, in milliseconds.
    pub queue_ms: f64,
}

/// `Member` is one upstream as this node knows it.
pub struct Member {
    /// What the upstream says of itself.
    pub record: UpstreamRecord,
    /// Stable hash of the upstream's id.
    pub hash: u64,
    /// Time until which the upstream counts as cold, in milliseconds of the node's clock.
    pub cold_until_ms: u64,
    /// What this node has sent while the upstream was cold.
    pub cold_bucket: ColdBucket,
    /// Outcomes of requests.
    pub health: Health,
    own: Load,
    others: Load,
    /// Engine time of all own requests without a first event, in milliseconds, as if none of it
    /// had been spent.
    unstarted_ms: f64,
    /// Time for which the queues hold, in milliseconds.
    queues_at_ms: u64,
    /// Time at which the upstream is to be taken as gone, in milliseconds, if it is missing.
    pub gone_at_ms: Option<u64>,
    /// Time of the last byte of any answer, in milliseconds.
    pub progress_ms: u64,
    /// Mean latency of plain answers, in milliseconds.
    pub latency_ms: f64,
    /// Mean of measured over expected time to the first event.
    pub slowness: f64,
    /// Answers and failures that this node has seen, for the other nodes.
    pub outcomes: (u32, u32),
    /// Time of the last of them, in milliseconds.
    pub outcome_ms: u64,
    /// Connections.
    pub connections: Arc<Pool>,
    cached: HashMap<(u64, u64), u64>,
}

impl Member {
    /// Builds a member from its record.
    pub fn new(record: UpstreamRecord, network: &SharedNetwork, now_ms: u64) -> Self {
        let options = PoolOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            idle_max_ms: IDLE_MAX_MS,
            idle_max: IDLE_MAX,
            ..PoolOptions::default()
        };
        let connections = Arc::new(Pool::new(network.clone(), record.address.clone(), options));
        Member {
            hash: hash_name(&record.id),
            cold_until_ms: now_ms + record.cold_left_ms,
            record,
            cold_bucket: ColdBucket::default(),
            health: Health::default(),
            own: Load::default(),
            others: Load::default(),
            unstarted_ms: 0.0,
            queues_at_ms: now_ms,
            gone_at_ms: None,
            progress_ms: now_ms,
            latency_ms: LATENCY_DEFAULT_MS,
            slowness: 1.0,
            outcomes: (0, 0),
            outcome_ms: 0,
            connections,
            cached: HashMap::new(),
        }
    }

    /// Tells whether the upstream takes new work.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.record.state == UpstreamState::Ready
            && self.gone_at_ms.is_none_or(|gone_at_ms| now_ms < gone_at_ms)
    }

    /// Returns the requests in flight of all nodes.
    pub fn in_flight(&self) -> u32 {
        self.own.in_flight + self.others.in_flight
    }

    /// Returns the engine time of all nodes' requests without a first event, in milliseconds.
    ///
    /// The engine works on it all the while, so it shrinks with time.
    pub fn queue_ms(&self, now_ms: u64) -> f64 {
        let spent_ms = now_ms.saturating_sub(self.queues_at_ms) as f64;
        (self.own.queue_ms + self.others.queue_ms - spent_ms).max(0.0)
    }

    /// Returns this node's own work, for the other nodes.
    pub fn own_load(&mut self, now_ms: u64) -> Load {
        self.spend(now_ms);
        self.own
    }

    /// Takes the sum of what other nodes reported of their work.
    pub fn set_others(&mut self, others: Load, now_ms: u64) {
        self.spend(now_ms);
        self.others = others;
    }

    /// Tells whether there are outcomes that other nodes may not have heard of.
    pub fn has_news(&self, now_ms: u64) -> bool {
        self.outcomes != (0, 0) && now_ms.saturating_sub(self.outcome_ms) < NEWS_MS
    }

    /// Counts an own request that takes the given engine time, in milliseconds.
    pub fn add_request(&mut self, engine_ms: f64, now_ms: u64) {
        self.spend(now_ms);
        self.own.in_flight += 1;
        self.own.queue_ms += engine_ms;
        self.unstarted_ms += engine_ms;
    }

    /// Notes that an own request no longer waits for its first event.
    pub fn note_started(&mut self, engine_ms: f64, now_ms: u64) {
        self.spend(now_ms);
        self.unstarted_ms = (self.unstarted_ms - engine_ms).max(0.0);
        self.own.queue_ms = self.own.queue_ms.min(self.unstarted_ms);
    }

    /// Ends the count of an own request.
    pub fn end_request(&mut self) {
        self.own.in_flight = self.own.in_flight.saturating_sub(1);
    }

    /// Takes off the queues what the engine has worked off since they were noted.
    fn spend(&mut self, now_ms: u64) {
        let total_ms = self.own.queue_ms + self.others.queue_ms;
        let spent_ms = now_ms.saturating_sub(self.queues_at_ms) as f64;
        self.queues_at_ms = now_ms;
        if total_ms > 0.0 {
            let left = ((total_ms - spent_ms) / total_ms).max(0.0);
            self.own.queue_ms *= left;
            self.others.queue_ms *= left;
        }
    }

    /// Returns the tokens of a prompt that the engine has to read for a model.
    pub fn uncached_tokens(&self, model: &str, prompt: &Prompt, now_ms: u64) -> u32 {
        let model = hash_name(model);
        let is_cached = |id: u64| {
            let used_ms = self.cached.get(&(model, id)).copied();
            used_ms.is_some_and(|used_ms| now_ms.saturating_sub(used_ms) < CACHED_MS)
        };
        // A part is only of use if all parts before it are cached too.
        let cached = prompt.parts.iter().take_while(|part| is_cached(part.id));
        prompt.input_tokens.saturating_sub(cached.map(|part| part.tokens).sum())
    }

    /// Notes that the engine reads a prompt for a model.
    pub fn note_read(&mut self, model: &str, prompt: &Prompt, now_ms: u64) {
        if self.cached.len() + prompt.parts.len() > CACHED_PARTS_MAX {
            self.cached.retain(|_, used_ms| now_ms.saturating_sub(*used_ms) < CACHED_MS / 2);
        }
        let model = hash_name(model);
        for part in &prompt.parts {
            self.cached.insert((model, part.id), now_ms);
        }
    }

    /// Forgets what the engine held, after it may have restarted.
    pub fn forget_cache(&mut self) {
        self.cached.clear();
    }

    /// Notes the latency of a plain answer.
    pub fn note_latency(&mut self, elapsed_ms: f64) {
        self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms);
    }

    /// Notes a first event that was expected after `expected_ms`.
    pub fn note_first_event(&mut self, elapsed_ms: f64, expected_ms: f64) {
        let ratio = (elapsed_ms / expected_ms.max(1.0)).clamp(0.3, SLOWNESS_MAX);
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }
}
