//! The state that a node keeps for one upstream: its record, load, health and connections.

use std::collections::HashMap;
use std::sync::Arc;

use fescuelock_http::net::SharedNetwork;
use fescuelock_http::pool::{Pool, PoolOptions};
use fescuelock_policy::cold_start::ColdStartBucket;
use fescuelock_policy::health::Health;
use fescuelock_policy::leaving::{Incarnation, LeavingSource};
use fescuelock_policy::pause::Pause;
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::prompt::Prompt;
use fescuelock_policy::service_time::{ServiceTime, ServiceTimeSamples};
use fescuelock_policy::silence::Silence;
use fescuelock_policy::stated_limit::StatedLimit;
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState};
use fescuelock_policy::upstream_speed::UpstreamSpeed;

use crate::leaving::LeavingChange;

/// `UpstreamKey` identifies one incarnation of an upstream on this node. Keys are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u64);

/// Timeout for opening a connection to an upstream, in milliseconds.
///
/// It covers some tens of round trips within a region. After a lost packet, trying another upstream
/// is faster than waiting for the retransmission, which comes after a second.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Age at which an idle connection is no longer reused, in milliseconds. Upstreams that announce no
/// keep-alive timeout keep idle connections for some seconds.
const IDLE_CONNECTION_MAX_MS: u64 = 1_500;

/// Maximum number of idle connections kept to one upstream.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Time for which a prompt segment is expected to stay in an engine's prefix cache, in
/// milliseconds.
const CACHE_RETENTION_MS: u64 = 30_000;

/// Maximum number of cached prompt segments tracked for one engine. Beyond it, all segments that
/// were not used for half the retention time are dropped at once.
const CACHED_SEGMENTS_MAX: usize = 2_000;

/// Time for which an outcome is repeated in reports, in milliseconds. In a large fleet a report
/// reaches only some of the nodes; within this time most of them have received one.
const OUTCOME_REPORT_MS: u64 = 3_000;

/// Weight of an answer in the moving average of the latency of a plain service's upstream.
const LATENCY_WEIGHT: f64 = 0.15;

/// Assumed latency of a plain service before the first measurement, in milliseconds.
const LATENCY_DEFAULT_MS: f64 = 30.0;

/// Time constant of the moving average of the requests in flight from other nodes, in milliseconds.
/// A pause of half a second should hardly change the average: it is over before reports show it.
const PEER_IN_FLIGHT_TIME_MS: f64 = 3_000.0;

/// Weight of a first event in the moving average of `Upstream::first_event_ratio`.
const FIRST_EVENT_RATIO_WEIGHT: f64 = 0.2;

/// Upper bound on the ratio measured from one first event.
const FIRST_EVENT_RATIO_MAX: f64 = 10.0;

/// `Load` is the work in progress at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Queueing time: the remaining prefill time of the requests that have not yet produced a first
    /// event, in milliseconds. A new request waits about this long.
    pub queue_ms: f64,
}

/// `Upstream` is the state that this node keeps for one upstream of the fleet.
pub struct Upstream {
    /// Record that the upstream published of itself.
    pub record: UpstreamRecord,
    /// Stable hash of the upstream's id.
    pub hash: u64,
    /// Incarnation that the record describes.
    pub incarnation: Incarnation,
    /// Hash of the incarnation before its start was known. Requests under way may carry it.
    pub unstarted_hash: Option<u64>,
    /// Whether this incarnation is known to be leaving, whatever its record says.
    pub is_leaving: bool,
    /// Time until which the upstream counts as cold, in milliseconds of the node's clock.
    pub cold_until_ms: u64,
    /// Rate limit of this node's requests to the upstream while it is cold.
    pub cold_bucket: ColdStartBucket,
    /// Failure statistics and ejections.
    pub health: Health,
    /// Load from this node.
    own: Load,
    /// Load from all other nodes, as they reported it.
    peer_load: Load,
    /// Moving average of the requests in flight from all other nodes.
    peer_in_flight_mean: f64,
    /// Time at which `peer_in_flight_mean` was last updated, in milliseconds.
    peer_in_flight_updated_ms: u64,
    /// Memory that this node's requests are expected to take, in tokens.
    own_memory_tokens: u64,
    /// Memory of the engine for this node's requests, in tokens. Records don't state the memory of
    /// engines; while it is unknown, it restricts nothing.
    pub memory_limit_tokens: Option<u64>,
    /// Total prefill time of this node's requests without a first event, in milliseconds, including
    /// the time that the engine has already spent.
    pending_prefill_ms: f64,
    /// Time at which the queues of `own` and `peer_load` were last updated, in milliseconds.
    queues_updated_ms: u64,
    /// Time at which the upstream is removed, in milliseconds, if its record is missing.
    pub remove_at_ms: Option<u64>,
    /// Time until which the upstream gets no requests, in milliseconds, because its record came back
    /// with an older copy of the store after it had been removed.
    pub withheld_until_ms: u64,
    /// Time of the last byte of any answer, in milliseconds.
    pub last_byte_ms: u64,
    /// Whether the upstream sends nothing for any request.
    pub silence: Silence,
    /// Rate limit that the upstream states, and this node's share of it.
    pub stated_limit: StatedLimit,
    /// Time for which the upstream wants nothing from this node.
    pub pause: Pause,
    /// Moving average of the latency of plain answers, in milliseconds.
    pub latency_ms: f64,
    /// Service times of plain answers.
    pub service_times: ServiceTimeSamples,
    /// Speed of this incarnation of the upstream relative to its pool.
    pub speed: UpstreamSpeed,
    /// Moving average of the ratio of measured to expected time to the first event; above 1 if the
    /// upstream is slower than expected.
    pub first_event_ratio: f64,
    /// Numbers of answers and of failures that this node has received from this incarnation of the
    /// upstream. They are reported to the other nodes.
    pub outcome_counts: (u32, u32),
    /// Time of the last outcome, in milliseconds.
    pub last_outcome_ms: u64,
    /// Pool of connections to the upstream.
    pub connections: Arc<Pool>,
    /// Time of the last use of each cached prompt segment, in milliseconds, by hash of the model
    /// and id of the segment.
    cached_segments: HashMap<(u64, u64), u64>,
}

impl Upstream {
    /// Builds the state of an upstream from its record.
    pub fn new(record: UpstreamRecord, network: &SharedNetwork, now_ms: u64) -> Self {
        let options = PoolOptions {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            idle_max_ms: IDLE_CONNECTION_MAX_MS,
            idle_connections_max: IDLE_CONNECTIONS_MAX,
            ..PoolOptions::default()
        };
        let connections = Arc::new(Pool::new(network.clone(), record.address.clone(), options));
        Upstream {
            hash: hash_name(&record.id),
            incarnation: Incarnation::of(&record),
            unstarted_hash: None,
            is_leaving: false,
            cold_until_ms: now_ms + record.warmup_left_ms,
            record,
            cold_bucket: ColdStartBucket::default(),
            health: Health::default(),
            own: Load::default(),
            peer_load: Load::default(),
            peer_in_flight_mean: 0.0,
            peer_in_flight_updated_ms: now_ms,
            own_memory_tokens: 0,
            memory_limit_tokens: None,
            pending_prefill_ms: 0.0,
            queues_updated_ms: now_ms,
            remove_at_ms: None,
            withheld_until_ms: 0,
            last_byte_ms: now_ms,
            silence: Silence::default(),
            stated_limit: StatedLimit::default(),
            pause: Pause::default(),
            latency_ms: LATENCY_DEFAULT_MS,
            service_times: ServiceTimeSamples::default(),
            speed: UpstreamSpeed::default(),
            first_event_ratio: 1.0,
            outcome_counts: (0, 0),
            last_outcome_ms: 0,
            connections,
            cached_segments: HashMap::new(),
        }
    }

    /// Returns a hash of this incarnation of the upstream that is the same on all nodes.
    pub fn incarnation_hash(&self) -> u64 {
        self.hash ^ self.record.started_at_ms.unwrap_or(0).rotate_left(32)
    }

    /// Marks the upstream as leaving: it gets no new requests, and idle connections are dropped.
    pub fn begin_leaving(&mut self, source: LeavingSource) -> LeavingChange {
        self.is_leaving = true;
        self.connections.clear();
        LeavingChange::Begun { upstream: self.record.id.clone(), source }
    }

    /// Returns whether the upstream accepts new requests.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.record.state == UpstreamState::Ready
            && !self.is_leaving
            && now_ms >= self.withheld_until_ms
            && self.remove_at_ms.is_none_or(|remove_at_ms| now_ms < remove_at_ms)
    }

    /// Returns the number of requests in flight from all nodes.
    pub fn in_flight(&self) -> u32 {
        self.own.in_flight + self.peer_load.in_flight
    }

    /// Returns the number of requests in flight from this node, and the mean number from the other
    /// nodes over the last seconds.
    pub fn mean_in_flight(&self) -> (f64, f64) {
        (f64::from(self.own.in_flight), self.peer_in_flight_mean)
    }

    /// Returns the memory that is left for further requests, in tokens, if it is known.
    pub fn free_memory_tokens(&self) -> Option<u64> {
        let limit_tokens = self.memory_limit_tokens?;
        Some(limit_tokens.saturating_sub(self.own_memory_tokens))
    }

    /// Returns the queueing time from the requests of all nodes, in milliseconds.
    ///
    /// It shrinks as time passes, since the engine is processing these requests.
    pub fn queue_ms(&self, now_ms: u64) -> f64 {
        let since_update_ms = now_ms.saturating_sub(self.queues_updated_ms) as f64;
        (self.own.queue_ms + self.peer_load.queue_ms - since_update_ms).max(0.0)
    }

    /// Returns the load from this node, for its report to the other nodes.
    pub fn own_load(&mut self, now_ms: u64) -> Load {
        self.advance_queues(now_ms);
        self.own
    }

    /// Sets the total load that the other nodes reported.
    pub fn set_peer_load(&mut self, peer_load: Load, now_ms: u64) {
        self.advance_queues(now_ms);
        self.peer_load = peer_load;
        let elapsed_ms = now_ms.saturating_sub(self.peer_in_flight_updated_ms) as f64;
        let weight = 1.0 - (-elapsed_ms / PEER_IN_FLIGHT_TIME_MS).exp();
        let difference = f64::from(peer_load.in_flight) - self.peer_in_flight_mean;
        self.peer_in_flight_mean += weight * difference;
        self.peer_in_flight_updated_ms = now_ms;
    }

    /// Returns whether there are recent outcomes that some nodes may not have received yet.
    pub fn has_recent_outcomes(&self, now_ms: u64) -> bool {
        self.outcome_counts != (0, 0)
            && now_ms.saturating_sub(self.last_outcome_ms) < OUTCOME_REPORT_MS
    }

    /// Adds a request of this node with its expected prefill time, in milliseconds, and memory, in
    /// tokens.
    pub fn add_request(&mut self, prefill_ms: f64, memory_tokens: u64, now_ms: u64) {
        self.advance_queues(now_ms);
        self.own_memory_tokens += memory_tokens;
        self.own.in_flight += 1;
        self.own.queue_ms += prefill_ms;
        self.pending_prefill_ms += prefill_ms;
    }

    /// Records that a request of this node no longer waits for its first event, so that its prefill
    /// time no longer counts as queued.
    pub fn end_prefill(&mut self, prefill_ms: f64, now_ms: u64) {
        self.advance_queues(now_ms);
        self.pending_prefill_ms = (self.pending_prefill_ms - prefill_ms).max(0.0);
        self.own.queue_ms = self.own.queue_ms.min(self.pending_prefill_ms);
    }

    /// Removes a request of this node from the requests in flight.
    pub fn end_request(&mut self, memory_tokens: u64) {
        self.own_memory_tokens = self.own_memory_tokens.saturating_sub(memory_tokens);
        self.own.in_flight = self.own.in_flight.saturating_sub(1);
    }

    /// Subtracts from the queues the engine time that has passed since their last update.
    fn advance_queues(&mut self, now_ms: u64) {
        let total_ms = self.own.queue_ms + self.peer_load.queue_ms;
        let since_update_ms = now_ms.saturating_sub(self.queues_updated_ms) as f64;
        self.queues_updated_ms = now_ms;
        if total_ms > 0.0 {
            let remaining_share = ((total_ms - since_update_ms) / total_ms).max(0.0);
            self.own.queue_ms *= remaining_share;
            self.peer_load.queue_ms *= remaining_share;
        }
    }

    /// Returns the number of prompt tokens that the engine has to process for a model because they
    /// are not in its prefix cache.
    ///
    /// `model` is the hash of the model's name.
    pub fn uncached_tokens(&self, model: u64, prompt: &Prompt, now_ms: u64) -> u32 {
        if self.cached_segments.is_empty() {
            return prompt.input_tokens;
        }
        let is_cached = |id: u64| {
            let used_ms = self.cached_segments.get(&(model, id)).copied();
            used_ms.is_some_and(|used_ms| now_ms.saturating_sub(used_ms) < CACHE_RETENTION_MS)
        };
        // A prefix cache only serves a segment if all segments before it are cached too.
        let cached_segments = prompt.segments.iter().take_while(|segment| is_cached(segment.id));
        prompt.input_tokens.saturating_sub(cached_segments.map(|segment| segment.tokens).sum())
    }

    /// Records that the engine processes a prompt for a model, and so caches its segments.
    pub fn record_prompt(&mut self, model: &str, prompt: &Prompt, now_ms: u64) {
        if self.cached_segments.len() + prompt.segments.len() > CACHED_SEGMENTS_MAX {
            self.cached_segments
                .retain(|_, used_ms| now_ms.saturating_sub(*used_ms) < CACHE_RETENTION_MS / 2);
        }
        let model = hash_name(model);
        for segment in &prompt.segments {
            self.cached_segments.insert((model, segment.id), now_ms);
        }
    }

    /// Clears the tracked cache contents, for an engine that may have restarted while its zone was
    /// evacuated.
    pub fn clear_cached_segments(&mut self) {
        self.cached_segments.clear();
    }

    /// Records a plain answer that ended `elapsed_ms` after its request was sent, in milliseconds,
    /// when `ahead` other requests were in flight. `pool_ms` is the mean service time of its pool.
    pub fn record_plain_answer(&mut self, elapsed_ms: f64, ahead: f64, pool_ms: f64, now_ms: u64) {
        self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms);
        let slots = f64::from(self.record.slots);
        let service_ms = self.service_times.record(elapsed_ms, ahead, slots, now_ms);
        // A request that waited in a known queue is no sample of the speed.
        if ahead < slots {
            self.speed.record(service_ms, pool_ms, now_ms);
        }
    }

    /// Returns the distribution of the upstream's service time, given that of its pool.
    pub fn service_time(&self, pool: ServiceTime, now_ms: u64) -> ServiceTime {
        self.service_times.estimate(pool.scaled(self.speed.ratio(now_ms)), now_ms)
    }

    /// Returns the factor by which a first event takes longer than at the mean of the pool, by this
    /// node's last answers or by the speed that nodes have found; at least 1.
    pub fn slowdown(&self, now_ms: u64) -> f64 {
        self.first_event_ratio.max(self.speed.ratio(now_ms)).max(1.0)
    }

    /// Records the time to a first event that was expected after `expected_ms`, both in
    /// milliseconds.
    pub fn record_first_event(&mut self, elapsed_ms: f64, expected_ms: f64) {
        let ratio = (elapsed_ms / expected_ms.max(1.0)).clamp(0.3, FIRST_EVENT_RATIO_MAX);
        self.first_event_ratio += FIRST_EVENT_RATIO_WEIGHT * (ratio - self.first_event_ratio);
    }
}
