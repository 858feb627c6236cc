//! Requests that wait for an upstream with capacity, and the task that starts them.
//!
//! A waiting request sleeps until it is placed or refused. Whatever may free capacity wakes the one task
//! that places waiting requests: the end of a request at this node, a report of another node, a change
//! of the upstreams. Capacity that comes with time, as after a pause, is found by a timer, which runs
//! only while requests wait.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fescuelock_policy::admission::{
    self, Admission, AdmissionContext, AdmissionOptions, RequestTimes, ReturnSchedule,
};
use fescuelock_policy::deployment::{Deployment, PoolKey, RouteKey};
use fescuelock_policy::fair_share::TeamShares;
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::prompt::Prompt;
use fescuelock_policy::waiting_queue::{
    Offer, RoomInterval, WaitingEntry, WaitingKey, WaitingLimits, WaitingQueue,
};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep};

use crate::dispatch::{UpstreamLoadGuard, ms_until};
use crate::handler::RoutedRequest;
use crate::node_state::NodeState;
use crate::placement::{Placement, PlacementError, PlacementRequest};
use crate::upstream::UpstreamKey;

/// Interval at which the first waiting requests are placed again without an event, in milliseconds.
/// Pauses, ejections and rate limits end with time; their shortest unit is some hundred milliseconds.
const RECHECK_INTERVAL_MS: u64 = 50;

/// Work of a generated token, in milliseconds: a step of an engine takes 3.6 ms and serves its 12 to 16
/// slots.
const OUTPUT_TOKEN_MS: f64 = 0.25;

/// Work of a request of a route without any answer yet, in milliseconds: that of a plain service.
const WORK_DEFAULT_MS: f64 = 30.0;

/// Time for which a node tells the others the work of its teams after a request has found no upstream
/// with capacity, in milliseconds. It covers the seconds between two bursts.
const CONTENDED_MS: u64 = 5_000;

/// Weight of a request in the moving averages of a route.
const ROUTE_TIME_WEIGHT: f64 = 0.05;

/// Most routes of one service with averages of their own.
const ROUTES_MAX: usize = 256;

/// Memory of a waiting request beside its body, in bytes: headers, and what describes it.
const REQUEST_OVERHEAD_BYTES: usize = 8 << 10;

/// `StartTimes` holds the latest starts of a request, in milliseconds of the node's clock.
#[derive(Debug, Clone, Copy)]
pub struct StartTimes {
    target_start_ms: u64,
    last_start_ms: u64,
}

/// `WaitReport` describes the place of a request in the queue for the log.
#[derive(Debug, Clone, Copy)]
pub struct WaitReport {
    /// Rank of the request. 0 is the highest.
    pub rank: u32,
    /// Number of entries that go before the request.
    pub ahead: usize,
    /// Expected time until the request starts, in milliseconds.
    pub expected_ms: f64,
    /// Time that the caller has used before this attempt, in milliseconds.
    pub used_ms: u64,
    /// The team's part of all work at the service.
    pub team_share: f64,
    /// Age of the work of all nodes, in milliseconds; `None` if only this node's work is known.
    pub share_age_ms: Option<u64>,
    /// Whether the team is over its fair share.
    pub is_over_share: bool,
}

/// `Wake` tells a waiting request how its wait has ended.
pub enum Wake {
    /// It is placed; the guard holds its place until the request is sent.
    Placed(Box<Placement>, UpstreamLoadGuard),
    /// It has to be placed anew, since no upstream may take it as it is.
    Reconsider,
    /// It does not start in time, or requests that go before it need its place.
    Refused,
}

/// `Admitted` is the decision about a request that finds no upstream with capacity.
pub enum Admitted {
    /// The request waits.
    Queued(Waiter),
    /// The request is refused; the caller may retry after the given time, in milliseconds.
    Refused(f64),
}

/// `Waiter` is the place of a request in the queue. It is given up on drop.
pub struct Waiter {
    node_state: Arc<NodeState>,
    pool: u64,
    key: WaitingKey,
    wake: oneshot::Receiver<Wake>,
}

/// `Ticket` is what an entry of the queue stands for.
struct Ticket {
    request: WaitingRequest,
    wake: oneshot::Sender<Wake>,
}

/// `WaitingRequest` holds what is needed to place a request.
struct WaitingRequest {
    deployment: Arc<Deployment>,
    route: RouteKey,
    pool: PoolKey,
    model: Option<String>,
    prompt: Prompt,
    session: u64,
    allowed_regions: Vec<String>,
    tried: Vec<UpstreamKey>,
    target_at: Instant,
    value: f64,
    body_bytes: usize,
    has_crashed: bool,
    is_trial: bool,
    route_hash: u64,
    team: u64,
}

/// `RouteTimes` holds moving averages of the requests of a route.
#[derive(Debug, Clone, Copy)]
struct RouteTimes {
    service_ms: f64,
    work_ms: f64,
}

impl RouteTimes {
    /// Returns the times that are expected of a placed request. `prompt` is that of a generation.
    fn expected(placement: &Placement, prompt: Option<&Prompt>) -> Self {
        let work_ms = match prompt {
            Some(prompt) => placement.prefill_ms + OUTPUT_TOKEN_MS * prompt.output_tokens(),
            None => placement.nominal_ms,
        };
        RouteTimes { service_ms: placement.expected_ms, work_ms }
    }
}

/// `PoolRoom` holds the waiting requests of one service, and the work of its teams.
#[derive(Default)]
struct PoolRoom {
    queue: WaitingQueue,
    tickets: HashMap<WaitingKey, Ticket>,
    interval: RoomInterval,
    shares: TeamShares,
    times_by_route: HashMap<u64, RouteTimes>,
    returns: ReturnSchedule,
}

/// `WaitingRoom` holds the waiting requests of all services of a node.
#[derive(Default)]
pub struct WaitingRoom {
    pools: Mutex<HashMap<u64, PoolRoom>>,
    waiting: AtomicUsize,
    /// Wakes the task that places waiting requests, also to set its timer.
    changed: Notify,
    may_have_capacity: AtomicBool,
    /// Time at which a request last found no upstream with capacity, in milliseconds; 0 if none has.
    last_contended_ms: AtomicU64,
}

impl WaitingRequest {
    fn new(request: &RoutedRequest, placement_request: &PlacementRequest<'_>) -> Self {
        WaitingRequest {
            deployment: Arc::clone(&request.deployment),
            route: request.route,
            pool: request.pool,
            model: placement_request.model.map(str::to_owned),
            prompt: placement_request.prompt.clone(),
            session: placement_request.session,
            allowed_regions: placement_request.allowed_regions.to_vec(),
            tried: placement_request.tried.to_vec(),
            target_at: request.arrived + Duration::from_millis(request.route().target_ms),
            value: placement_request.value,
            body_bytes: placement_request.body_bytes,
            has_crashed: placement_request.has_crashed,
            is_trial: placement_request.is_trial,
            route_hash: request.route_hash(),
            team: request.team_hash(),
        }
    }

    fn place(&self, node_state: &NodeState, now_ms: u64) -> Result<Placement, PlacementError> {
        let overdue = Instant::now().saturating_duration_since(self.target_at);
        let target_left_ms = ms_until(self.target_at) as f64 - overdue.as_secs_f64() * 1_000.0;
        let placement_request = PlacementRequest {
            route: self.deployment.routes.at(self.route),
            pool: self.deployment.pools.at(self.pool),
            model: self.model.as_deref(),
            prompt: &self.prompt,
            session: self.session,
            allowed_regions: &self.allowed_regions,
            tried: &self.tried,
            target_left_ms,
            value: self.value,
            body_bytes: self.body_bytes,
            has_crashed: self.has_crashed,
            is_trial: self.is_trial,
            is_hedge: false,
            is_estimate: false,
        };
        node_state.fleet().place(&placement_request, now_ms)
    }
}

impl PoolRoom {
    /// Returns the expected time from the start to the answer, and the work, of requests of a route.
    fn times(&self, route: u64) -> RouteTimes {
        let unknown = RouteTimes { service_ms: 0.0, work_ms: WORK_DEFAULT_MS };
        self.times_by_route.get(&route).copied().unwrap_or(unknown)
    }

    /// Records that a request starts at an upstream.
    fn record_start(&mut self, (route, team): (u64, u64), sample: RouteTimes, now_ms: u64) {
        self.shares.record_work(team, sample.work_ms, now_ms);
        self.interval.record_start(!self.queue.is_empty(), now_ms);
        if self.times_by_route.len() < ROUTES_MAX || self.times_by_route.contains_key(&route) {
            let times = self.times_by_route.entry(route).or_insert(sample);
            times.service_ms += ROUTE_TIME_WEIGHT * (sample.service_ms - times.service_ms);
            times.work_ms += ROUTE_TIME_WEIGHT * (sample.work_ms - times.work_ms);
        }
    }

    /// Updates which teams are over their share, with a team that may not wait yet. Returns whether it
    /// is one of them.
    fn update_shares(&mut self, team: Option<u64>, now_ms: u64) -> bool {
        let mut waiting = self.queue.teams();
        waiting.extend(team);
        let over_share = self.shares.over_share(&waiting, now_ms);
        let is_over_share = team.is_some_and(|team| over_share.contains(&team));
        self.queue.set_over_share(over_share);
        is_over_share
    }

    /// Refuses what cannot start in time, and places what can start now.
    fn dispatch(&mut self, node_state: &Arc<NodeState>, now_ms: u64) {
        for key in self.queue.expire(now_ms) {
            self.wake(key, Wake::Refused);
        }
        self.update_shares(None, now_ms);
        loop {
            let (queue, tickets) = (&mut self.queue, &self.tickets);
            let (mut wake, mut started) = (None, None);
            let taken = queue.take(now_ms, |key, _| {
                let Some(Ticket { request, .. }) = tickets.get(&key) else {
                    return true;
                };
                wake = match request.place(node_state, now_ms) {
                    Ok(placement) => {
                        let prompt = request.model.is_some().then_some(&request.prompt);
                        let times = RouteTimes::expected(&placement, prompt);
                        started = Some(((request.route_hash, request.team), times));
                        let guard = UpstreamLoadGuard::acquire(node_state, &placement);
                        Some(Wake::Placed(Box::new(placement), guard))
                    }

                    Err(PlacementError::NoCandidate | PlacementError::PromptRejected { .. }) => {
                        Some(Wake::Reconsider)
                    }

                    Err(PlacementError::AtCapacity(_) | PlacementError::Paused(_)) => None,
                };
                wake.is_some()
            });
            let Some(key) = taken else {
                break;
            };
            if let Some((route_and_team, times)) = started {
                self.record_start(route_and_team, times, now_ms);
            }
            self.wake(key, wake.unwrap_or(Wake::Reconsider));
        }
    }

    /// Returns the time after which a refused caller should retry, in milliseconds.
    fn retry_after_ms(&mut self, context: &AdmissionContext, now_ms: u64, draw: f64) -> f64 {
        let options = AdmissionOptions::default();
        match (context.time_to_capacity_ms, self.interval.interval_ms(now_ms)) {
            (Some(_), Some(interval_ms)) if context.paused_ms.is_none() => {
                self.returns.delay_ms(context, &options, interval_ms, now_ms, draw)
            }
            _ => admission::retry_after_ms(context, &options, draw),
        }
    }

    /// Ends the wait of a request. A caller that has left meanwhile is not woken.
    fn wake(&mut self, key: WaitingKey, wake: Wake) {
        if let Some(ticket) = self.tickets.remove(&key) {
            let _ = ticket.wake.send(wake);
        }
    }
}

impl WaitingRoom {
    fn pools(&self) -> MutexGuard<'_, HashMap<u64, PoolRoom>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tells that an upstream may have free capacity, or none may be left.
    pub fn wake(&self) {
        if !self.is_empty() {
            self.may_have_capacity.store(true, Ordering::Relaxed);
            self.changed.notify_one();
        }
    }

    /// Places the waiting requests of a service that can start now, so that a new request does not
    /// overtake them.
    pub fn dispatch(&self, node_state: &Arc<NodeState>, pool_hash: u64) {
        if self.is_empty() {
            return;
        }
        let mut pools = self.pools();
        if let Some(pool) = pools.get_mut(&pool_hash).filter(|pool| !pool.queue.is_empty()) {
            pool.dispatch(node_state, node_state.now_ms());
        }
    }

    /// Places the waiting requests of all services that can start now.
    fn dispatch_all(&self, node_state: &Arc<NodeState>) {
        let now_ms = node_state.now_ms();
        let mut pools = self.pools();
        for pool in pools.values_mut().filter(|pool| !pool.queue.is_empty()) {
            pool.dispatch(node_state, now_ms);
        }
    }

    /// Records that a team asks for the work of a request.
    pub fn record_offered(&self, request: &RoutedRequest, now_ms: u64) {
        let team = request.team_hash();
        let mut pools = self.pools();
        let pool = pools.entry(request.pool_hash()).or_default();
        let work_ms = pool.times(request.route_hash()).work_ms;
        pool.shares.record_offered(team, work_ms, now_ms);
        pool.shares.set_weight(team, request.team_weight(), now_ms);
    }

    /// Records that a request starts without a wait.
    pub fn record_start(
        &self,
        request: &RoutedRequest,
        is_generation: bool,
        placement: &Placement,
        now_ms: u64,
    ) {
        let prompt = is_generation.then_some(&request.parsed_headers.prompt);
        let times = RouteTimes::expected(placement, prompt);
        let mut pools = self.pools();
        let pool = pools.entry(request.pool_hash()).or_default();
        let route_and_team = (request.route_hash(), request.team_hash());
        pool.record_start(route_and_team, times, now_ms);
    }

    /// Counts a request of a team by state: admitted, waiting or refused.
    pub fn count_request(&self, node_state: &NodeState, request: &RoutedRequest, state: &str) {
        let pools = self.pools();
        let pool = pools.get(&request.pool_hash());
        let work_ms = pool.map_or(0.0, |pool| pool.times(request.route_hash()).work_ms);
        drop(pools);
        let team = request.team_name().unwrap_or_default();
        node_state.metrics.count_team(&request.route().name, team, state, work_ms);
    }

    /// Returns whether a request has found no upstream with capacity lately, so that shares matter.
    pub fn is_contended(&self, now_ms: u64) -> bool {
        let at_ms = self.last_contended_ms.load(Ordering::Relaxed);
        at_ms > 0 && now_ms.saturating_sub(at_ms) < CONTENDED_MS
    }

    /// Returns the work of this node by team and service, in milliseconds per second, for its report to
    /// the other nodes. The keys are the same on all nodes.
    pub fn own_work(&self, now_ms: u64) -> Vec<(u64, u32)> {
        let pools = self.pools();
        let work = pools.iter().flat_map(|(&pool_hash, pool)| {
            let work = pool.shares.own_work(now_ms).into_iter();
            work.map(move |(team, rate)| (work_key(pool_hash, team), rate))
        });
        work.collect()
    }

    /// Sets the work by team and service of all nodes, in milliseconds per second, with the keys of
    /// [`WaitingRoom::own_work`]. `coverage` is the share of the nodes that it comes from.
    pub fn set_fleet_work(&self, work_ms_per_s: &[(u64, f64)], coverage: f64, now_ms: u64) {
        for (&pool_hash, pool) in self.pools().iter_mut() {
            let of_pool = work_ms_per_s.iter().filter(|(key, _)| is_of_pool(*key, pool_hash));
            let of_pool: Vec<(u64, f64)> =
                of_pool.map(|&(key, rate)| (key & TEAM_KEY_MASK, rate)).collect();
            pool.shares.set_fleet_work(&of_pool, coverage, now_ms);
        }
    }

    /// Returns the time after which the caller of a request that this node refuses should retry, in
    /// milliseconds. `paused_ms` is the time until the first upstream takes requests again, if all of
    /// them pause.
    pub fn retry_after_ms(
        &self,
        node_state: &NodeState,
        request: &RoutedRequest,
        paused_ms: Option<f64>,
    ) -> f64 {
        let now_ms = node_state.now_ms();
        let mut pools = self.pools();
        let pool = pools.entry(request.pool_hash()).or_default();
        let interval_ms = pool.interval.interval_ms(now_ms);
        let context = AdmissionContext {
            time_to_capacity_ms: interval_ms.map(|ms| ms * pool.queue.len() as f64),
            paused_ms,
            wait_max_ms: 0.0,
            target_ms: request.route().target_ms as f64,
            deadline_left_ms: ms_until(request.deadline) as f64,
        };
        pool.retry_after_ms(&context, now_ms, node_state.draw())
    }

    /// Queues or refuses a request that finds no upstream with capacity.
    ///
    /// `start_times` keeps the latest starts of the request if it waits more than once.
    pub fn admit(
        &self,
        node_state: &Arc<NodeState>,
        request: &RoutedRequest,
        placement_request: &PlacementRequest<'_>,
        (error, paused_ms): (PlacementError, Option<f64>),
        start_times: &mut Option<StartTimes>,
    ) -> (Admitted, AdmissionContext, WaitReport) {
        let now_ms = node_state.now_ms();
        self.last_contended_ms.store(now_ms, Ordering::Relaxed);
        let pool_hash = request.pool_hash();
        let class = class_of(node_state, placement_request);
        let mut pools = self.pools();
        let pool = pools.entry(pool_hash).or_default();
        let deadline_left_ms = ms_until(request.deadline) as f64;
        let target_ms = request.route().target_ms as f64;
        let StartTimes { target_start_ms, last_start_ms } = *start_times.get_or_insert_with(|| {
            let limits = admission::start_limits(&RequestTimes {
                target_ms,
                target_left_ms: placement_request.target_left_ms - request.used_ms as f64,
                deadline_left_ms,
                service_ms: pool.times(request.route_hash()).service_ms,
                is_cold: node_state.fleet().are_all_cold(placement_request, now_ms),
            });
            StartTimes {
                target_start_ms: now_ms + limits.target_start_ms as u64,
                last_start_ms: now_ms + limits.last_start_ms as u64,
            }
        });
        let entry = WaitingEntry {
            rank: request.priority(),
            team: request.team_hash(),
            class,
            is_returning: admission::is_returning(request.used_ms),
            target_start_ms,
            last_start_ms,
            bytes: request.body.len() + REQUEST_OVERHEAD_BYTES,
        };
        let is_over_share = pool.update_shares(Some(entry.team), now_ms);
        let (first_room_ms, room_interval_ms) = match error {
            PlacementError::AtCapacity(time_to_capacity_ms) => {
                (Some(time_to_capacity_ms), pool.interval.interval_ms(now_ms))
            }
            PlacementError::Paused(paused_ms) => (Some(paused_ms), None),
            PlacementError::NoCandidate | PlacementError::PromptRejected { .. } => (None, None),
        };
        let limits = WaitingLimits {
            now_ms,
            first_room_ms: first_room_ms.unwrap_or(f64::INFINITY),
            room_interval_ms,
            ..WaitingLimits::default()
        };
        let report = WaitReport {
            rank: entry.rank,
            ahead: pool.queue.count_ahead(&entry),
            expected_ms: pool.queue.expected_wait_ms(&entry, &limits),
            used_ms: request.used_ms,
            team_share: pool.shares.used_share(entry.team, now_ms),
            share_age_ms: pool.shares.fleet_age_ms(now_ms),
            is_over_share,
        };
        let context = AdmissionContext {
            time_to_capacity_ms: first_room_ms.map(|_| report.expected_ms),
            paused_ms,
            wait_max_ms: last_start_ms.saturating_sub(now_ms) as f64,
            target_ms,
            deadline_left_ms,
        };
        let draw = node_state.draw();
        let offer = match admission::decide(&context, &AdmissionOptions::default(), draw) {
            Admission::Queue(_) => Some(pool.queue.offer(entry, &limits)),
            Admission::Refuse(_) => None,
        };
        let key = match offer {
            Some(Offer::Queued(key)) => key,
            Some(Offer::Displaced(key, displaced)) => {
                displaced.into_iter().for_each(|key| pool.wake(key, Wake::Refused));
                key
            }
            Some(Offer::Refused(_)) | None => {
                let retry_after_ms = pool.retry_after_ms(&context, now_ms, draw);
                return (Admitted::Refused(retry_after_ms), context, report);
            }
        };
        let (wake, receiver) = oneshot::channel();
        let ticket = Ticket { request: WaitingRequest::new(request, placement_request), wake };
        pool.tickets.insert(key, ticket);
        drop(pools);
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.changed.notify_one();
        let node_state = Arc::clone(node_state);
        let waiter = Waiter { node_state, pool: pool_hash, key, wake: receiver };
        (Admitted::Queued(waiter), context, report)
    }

    /// Returns the time until a waiting request expires or the first ones are placed again, in
    /// milliseconds, if any wait.
    fn next_check_ms(&self, now_ms: u64) -> Option<u64> {
        if self.is_empty() {
            return None;
        }
        let pools = self.pools();
        let due_ms = pools.values().filter_map(|pool| pool.queue.next_due_ms()).min()?;
        // An entry is due once its time has passed.
        Some((due_ms + 1).saturating_sub(now_ms).min(RECHECK_INTERVAL_MS))
    }
}

impl Waiter {
    /// Waits until the request is placed or refused.
    pub async fn wait(mut self) -> Wake {
        (&mut self.wake).await.unwrap_or(Wake::Refused)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let waiting_room = &self.node_state.waiting_room;
        if let Some(pool) = waiting_room.pools().get_mut(&self.pool) {
            pool.queue.remove(self.key);
            pool.tickets.remove(&self.key);
        }
        waiting_room.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Places waiting requests when capacity may have become free, until the task is dropped.
pub async fn run(node_state: Arc<NodeState>) {
    let waiting_room = &node_state.waiting_room;
    let mut last_dispatch_ms = 0;
    loop {
        let now_ms = node_state.now_ms();
        let is_woken = match waiting_room.next_check_ms(now_ms) {
            Some(check_ms) => {
                let recheck_ms =
                    (last_dispatch_ms + RECHECK_INTERVAL_MS).saturating_sub(now_ms).max(1);
                tokio::select! {
                    () = waiting_room.changed.notified() => true,
                    () = sleep(Duration::from_millis(check_ms.min(recheck_ms))) => false,
                }
            }
            None => {
                waiting_room.changed.notified().await;
                last_dispatch_ms = node_state.now_ms();
                true
            }
        };
        if waiting_room.may_have_capacity.swap(false, Ordering::Relaxed) || !is_woken {
            last_dispatch_ms = node_state.now_ms();
            waiting_room.dispatch_all(&node_state);
        }
    }
}

/// Number of bits of the key of a team's work at a service that identify the team.
const TEAM_KEY_BITS: u32 = 48;

/// Part of the key of a team's work at a service that identifies the team.
const TEAM_KEY_MASK: u64 = (1 << TEAM_KEY_BITS) - 1;

/// Returns the key of a team's work at a service in reports. The upper bits identify the service.
fn work_key(pool_hash: u64, team: u64) -> u64 {
    (pool_hash << TEAM_KEY_BITS) | (team & TEAM_KEY_MASK)
}

fn is_of_pool(key: u64, pool_hash: u64) -> bool {
    key >> TEAM_KEY_BITS == (pool_hash << TEAM_KEY_BITS) >> TEAM_KEY_BITS
}

/// Returns the hash by which a team or, without a name, all anonymous callers are known.
pub fn team_hash(name: Option<&str>) -> u64 {
    hash_name(name.unwrap_or_default()) & TEAM_KEY_MASK
}

/// Returns the class of a request: what decides whether an upstream has capacity for it.
fn class_of(node_state: &NodeState, request: &PlacementRequest<'_>) -> u64 {
    let version_choice = node_state.fleet().rollouts.choose(&request.pool.name, request.session);
    let mut hasher = DefaultHasher::new();
    (request.model, request.allowed_regions, request.tried).hash(&mut hasher);
    (request.has_crashed, request.is_trial).hash(&mut hasher);
    format!("{version_choice:?}").hash(&mut hasher);
    hasher.finish()
}
