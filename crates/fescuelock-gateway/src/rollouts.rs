//! Roll-outs of new versions on a node: assigns sessions to versions, counts the answers of both
//! versions, and decides which state the store should hold.

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use fescuelock_core::store_revision::StoreRevision;
use fescuelock_platform::rollout::{RolloutSpec, RolloutState};
use fescuelock_policy::placement::{hash_name, hash_pair};
use fescuelock_policy::rollout::{
    self, Counts, Evidence, ExposureLimit, LatencyBaseline, SampleKind, Stage, Tally,
};

/// Share of a roll-out's duration after which a version is reverted if it does not serve all
/// sessions, has too few ready upstreams, or if the evidence does not yet allow completion.
const REVERT_ELAPSED_SHARE: f64 = 0.98;

/// `VersionChoice` selects the versions of a service that a request may run on.
#[derive(Debug, Clone, PartialEq)]
pub enum VersionChoice {
    /// Any version.
    Any,
    /// Any version but the named one.
    Except(String),
    /// The named version, or any other if it has no eligible upstream.
    Prefer(String),
    /// The named version, which takes a share of the sessions, at a part of its upstreams; any
    /// other version if it has no eligible upstream.
    Expose(String, f64),
}

/// Maximum number of counts of other runs in one report. All that a report holds has to fit in the
/// buffer of its recipients, and its size must not grow with the number of nodes.
const RELAYED_TALLIES_MAX: usize = 48;

/// `TallyKey` identifies the source of counts: one run of a node, and one route.
///
/// The counts of a run that has ended stay valid, so they are kept and relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TallyKey {
    /// Random number that identifies a run of a node.
    pub run_id: u64,
    /// Hash of the route's name, by [`SampleKind::tally_key`].
    pub route: u64,
}

/// `Tallies` holds the counts of all nodes and routes.
pub type Tallies = BTreeMap<TallyKey, Tally>;

/// `RolloutUpdate` is a node's view of a roll-out, as it is reported to the other nodes.
#[derive(Debug, Clone)]
pub struct RolloutUpdate {
    /// Hash of the service's name.
    pub pool: u64,
    /// Hash of the version.
    pub version: u64,
    /// Time since the start of the roll-out as the earliest node saw it, in milliseconds.
    pub elapsed_ms: u64,
    /// The stage that the roll-out has reached.
    pub stage: Stage,
    /// Whether the version gets no new requests, because of the evidence or because the store holds
    /// the state Reverted.
    pub is_rejected: bool,
    /// Counts of the answers of both versions.
    pub tallies: Tallies,
}

/// `Rollout` is the state of one roll-out.
#[derive(Debug)]
pub struct Rollout {
    /// Spec of the roll-out, as the operator set it.
    pub spec: RolloutSpec,
    /// Name and revision of the resource that holds the spec.
    pub resource: (String, StoreRevision),
    /// The latest state that the store has held. A final one is not taken back.
    pub state: Option<RolloutState>,
    /// Whether the store has lost that state, so that it has to be written again.
    is_state_lost: bool,
    /// Whether the version gets no new requests, because of the evidence or because the store holds
    /// the state Reverted.
    pub is_rejected: bool,
    started_ms: u64,
    tallies: Tallies,
    /// The last counts of another run that a report has relayed.
    last_relayed: Option<TallyKey>,
    stage: Stage,
    evidence: Evidence,
    /// State to write to the store, and the time since which the write is pending, in milliseconds.
    pending_state: Option<(RolloutState, u64)>,
}

/// `Rollouts` holds the roll-outs of a node by service.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: HashMap<String, Rollout>,
    /// Latencies of the versions that are not being rolled out, by service and comparison key. They
    /// are observed at all times, since a node has few requests during a roll-out.
    baselines: HashMap<String, HashMap<u64, LatencyBaseline>>,
    /// Random number that identifies this run of the node.
    run_id: u64,
}

impl Rollouts {
    /// Builds an empty set of roll-outs. `run_id` identifies this run of the node.
    pub fn new(run_id: u64) -> Self {
        Rollouts { run_id, ..Rollouts::default() }
    }

    /// Inserts or updates a roll-out from its spec and state in the store.
    ///
    /// Returns whether the roll-out is new.
    pub fn upsert(
        &mut self,
        spec: RolloutSpec,
        resource: (String, StoreRevision),
        state: Option<RolloutState>,
        now_ms: u64,
    ) -> bool {
        match self.by_service.get_mut(&spec.pool) {
            Some(known) if known.spec.version == spec.version => {
                known.spec = spec;
                let is_copied = resource.1.era > known.resource.1.era;
                let has_other_state = known.has_ended() && state != known.state;
                known.resource = resource;
                // Nodes put no other state in the place of a final one.
                known.is_state_lost = has_other_state
                    && (known.is_state_lost
                        || is_copied
                        || state == Some(RolloutState::InProgress));
                if state.is_some() && !known.is_state_lost {
                    known.state = state;
                }
                // A final state in the store takes precedence over this node's own evaluation.
                match known.state {
                    Some(RolloutState::Complete) => known.is_rejected = false,
                    Some(RolloutState::Reverted) => known.is_rejected = true,
                    Some(RolloutState::InProgress) | None => {}
                }
                false
            }

            _ => {
                let pool = spec.pool.clone();
                let rollout = Rollout {
                    spec,
                    resource,
                    state,
                    is_state_lost: false,
                    is_rejected: state == Some(RolloutState::Reverted),
                    started_ms: now_ms,
                    tallies: Tallies::new(),
                    last_relayed: None,
                    stage: Stage::Pending,
                    evidence: Evidence::default(),
                    pending_state: None,
                };
                self.by_service.insert(pool, rollout);
                true
            }
        }
    }

    /// Inserts or updates a roll-out from a listing of a store that came back from an older copy.
    /// Another order for the service is kept.
    ///
    /// Returns whether the roll-out is new.
    pub fn upsert_copied(
        &mut self,
        spec: RolloutSpec,
        resource: (String, StoreRevision),
        state: Option<RolloutState>,
        now_ms: u64,
    ) -> bool {
        let known = self.by_service.get(&spec.pool);
        match known.is_some_and(|known| known.spec.version != spec.version) {
            true => false,
            false => self.upsert(spec, resource, state, now_ms),
        }
    }

    /// Removes the roll-outs of whose resources `is_listed` does not hold, given their names.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.by_service.retain(|_, rollout| is_listed(&rollout.resource.0));
    }

    /// Removes the roll-out of a resource.
    pub fn remove(&mut self, resource: &str) {
        self.by_service.retain(|_, rollout| rollout.resource.0 != resource);
    }

    /// Selects the versions that a session's request may run on.
    pub fn choose(&self, pool: &str, session: u64) -> VersionChoice {
        let Some(rollout) = self.by_service.get(pool) else {
            return VersionChoice::Any;
        };
        let version = &rollout.spec.version;
        if rollout.is_rejected {
            return VersionChoice::Except(version.clone());
        }
        if rollout.state == Some(RolloutState::Complete) {
            return VersionChoice::Prefer(version.clone());
        }
        // Hashing the session with the version gives the same draw on all nodes, so that they agree
        // on a session's version.
        let draw = hash_pair(session, hash_name(version));
        match draw < rollout.stage.share() {
            true if rollout.stage < Stage::Full => {
                VersionChoice::Expose(version.clone(), rollout.stage.share())
            }
            true => VersionChoice::Prefer(version.clone()),
            false => VersionChoice::Except(version.clone()),
        }
    }

    /// Returns whether a version of a service is rejected and so gets no new requests.
    pub fn is_rejected(&self, pool: &str, version: &str) -> bool {
        self.by_service
            .get(pool)
            .is_some_and(|rollout| rollout.is_rejected && rollout.spec.version == version)
    }

    /// Counts a request that is sent to an upstream of a service.
    pub fn record_send(&mut self, pool: &str, version: &str, route: u64) {
        if let Some(counts) = self.counts_mut(pool, version, route) {
            counts.sends += 1;
        }
    }

    /// Counts an answer of an upstream of a service once it begins, and whether it is a failure.
    pub fn record_answer(&mut self, pool: &str, version: &str, route: u64, has_failed: bool) {
        let Some(counts) = self.counts_mut(pool, version, route) else {
            return;
        };
        counts.answers += 1;
        counts.failures += u32::from(has_failed);
    }

    /// Records a latency sample of a response: for a stream, the time to its first event in percent
    /// of the nominal time, or its shortest interval between events in milliseconds; for a plain
    /// response, its milliseconds.
    ///
    /// `comparison_key` is a hash of the route, the model and the kind of sample. Only samples with
    /// the same key are compared with each other.
    pub fn record_latency_sample(
        &mut self,
        pool: &str,
        version: &str,
        route: u64,
        kind: SampleKind,
        comparison_key: u64,
        latency_sample: f64,
    ) {
        let is_unproven = self.by_service.get(pool).is_some_and(|rollout| {
            rollout.spec.version == version && rollout.state != Some(RolloutState::Complete)
        });
        let known = self.baselines.get(pool).and_then(|known| known.get(&comparison_key)).copied();
        if let Some(baseline) = known
            && let Some(counts) = self.counts_mut(pool, version, kind.tally_key(route))
        {
            counts.add_latency_ratio(kind, baseline.ratio(latency_sample));
        }
        if is_unproven {
            return;
        }
        if !self.baselines.contains_key(pool) {
            self.baselines.insert(pool.to_owned(), HashMap::new());
        }
        let Some(baselines) = self.baselines.get_mut(pool) else {
            return;
        };
        match baselines.entry(comparison_key) {
            Entry::Occupied(mut known) => known.get_mut().observe(latency_sample),
            Entry::Vacant(unknown) => {
                unknown.insert(LatencyBaseline::new(latency_sample));
            }
        }
    }

    /// Returns the counts of a version on a route, which are inserted if there are none. Returns
    /// `None` if no roll-out is in progress.
    fn counts_mut(&mut self, pool: &str, version: &str, route: u64) -> Option<&mut Counts> {
        let run_id = self.run_id;
        let rollout = self.by_service.get_mut(pool).filter(|rollout| !rollout.has_ended())?;
        let tally = rollout.tallies.entry(TallyKey { run_id, route }).or_default();
        Some(if rollout.spec.version == version { &mut tally.new } else { &mut tally.old })
    }

    /// Merges what another node reported of a roll-out.
    pub fn apply_update(&mut self, update: RolloutUpdate, now_ms: u64) {
        let known = self.by_service.values_mut().find(|rollout| {
            hash_name(&rollout.spec.pool) == update.pool
                && hash_name(&rollout.spec.version) == update.version
        });
        let Some(rollout) = known else {
            return;
        };
        rollout.started_ms = rollout.started_ms.min(now_ms.saturating_sub(update.elapsed_ms));
        rollout.stage = rollout.stage.max(update.stage);
        // After completion there is no old version to revert to.
        rollout.is_rejected |= update.is_rejected && rollout.state != Some(RolloutState::Complete);
        for (key, tally) in update.tallies {
            let known = rollout.tallies.entry(key).or_default();
            *known = known.latest(tally);
        }
    }

    /// Returns this node's view of its roll-outs for a report, with its own counts only, or also
    /// with counts of other runs, by turns, if `includes_relayed` is set.
    pub fn updates(&mut self, includes_relayed: bool, now_ms: u64) -> Vec<RolloutUpdate> {
        let run_id = self.run_id;
        let relayed_max = match includes_relayed {
            true => RELAYED_TALLIES_MAX / self.by_service.len().max(1),
            false => 0,
        };
        let updates = self.by_service.values_mut().map(|rollout| {
            let included = rollout.reported_tallies(run_id, relayed_max);
            RolloutUpdate {
                pool: hash_name(&rollout.spec.pool),
                version: hash_name(&rollout.spec.version),
                elapsed_ms: rollout.elapsed_ms(now_ms),
                stage: rollout.stage,
                is_rejected: rollout.is_rejected,
                tallies: included,
            }
        });
        updates.collect()
    }
}

impl Rollout {
    /// Returns the share of the roll-out's specified duration that has passed.
    pub fn elapsed_share(&self, now_ms: u64) -> f64 {
        self.elapsed_ms(now_ms) as f64 / self.spec.duration_ms.max(1) as f64
    }

    /// Returns the time since the start of the roll-out as the earliest node saw it, in
    /// milliseconds.
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms)
    }

    /// Returns the counts of the run `run_id` and up to `relayed_max` of other runs, which begin
    /// after those that were returned last.
    fn reported_tallies(&mut self, run_id: u64, relayed_max: usize) -> Tallies {
        if self.has_ended() {
            return Tallies::new();
        }
        // Nodes begin at unlike places, so that together they relay all counts at any time.
        let last = self.last_relayed.unwrap_or(TallyKey { run_id, route: u64::MAX });
        let later = self.tallies.range((Bound::Excluded(last), Bound::Unbounded));
        let by_turns = later.chain(self.tallies.range(..=last));
        let relayed: Vec<(TallyKey, Tally)> = by_turns
            .filter(|(key, _)| key.run_id != run_id)
            .take(relayed_max)
            .map(|(&key, &tally)| (key, tally))
            .collect();
        self.last_relayed = relayed.last().map(|(key, _)| *key).or(self.last_relayed);
        let own = self
            .tallies
            .range(TallyKey { run_id, route: u64::MIN }..=TallyKey { run_id, route: u64::MAX });
        own.map(|(&key, &tally)| (key, tally)).chain(relayed).collect()
    }

    /// Returns whether the store holds a final state.
    fn has_ended(&self) -> bool {
        matches!(self.state, Some(RolloutState::Complete | RolloutState::Reverted))
    }

    /// Returns the highest score of any test against the version, of which a larger one is worse,
    /// and the number of the version's answers that were evaluated.
    pub fn evidence(&self) -> (f64, u32) {
        (self.evidence.score(), self.evidence.progress(0.0).observations)
    }

    /// Evaluates the counts of all nodes and advances the stage, unless the roll-out has ended.
    fn evaluate(&mut self, exposed_upstreams: usize, bound: &ExposureLimit, now_ms: u64) {
        if self.has_ended() {
            return;
        }
        let mut routes = BTreeMap::<u64, Tally>::new();
        for (key, tally) in &self.tallies {
            let sum = routes.entry(key.route).or_default();
            *sum = sum.plus(*tally);
        }
        for (route, tally) in routes {
            self.evidence.update(route, tally, exposed_upstreams);
        }
        self.is_rejected |= self.evidence.is_bad();
        let progress = self.evidence.progress(self.elapsed_share(now_ms));
        self.stage = self.stage.max(Stage::permitted(&progress, bound));
    }

    /// Returns the state to write to the store, or `None` if the stored state is right.
    fn required_state(
        &self,
        new_ready: usize,
        old_ready: usize,
        now_ms: u64,
    ) -> Option<RolloutState> {
        let elapsed_share = self.elapsed_share(now_ms);
        // At least half as many ready upstreams as those that run other versions.
        let has_enough_ready = 2 * new_ready >= old_ready;
        let serves_all_sessions = self.stage == Stage::Full;
        let progress = self.evidence.progress(elapsed_share);
        match self.state {
            Some(RolloutState::Complete | RolloutState::Reverted) => {
                self.state.filter(|_| self.is_state_lost)
            }

            _ if self.is_rejected => Some(RolloutState::Reverted),

            _ if serves_all_sessions && has_enough_ready && rollout::may_complete(&progress) => {
                Some(RolloutState::Complete)
            }

            _ if elapsed_share >= REVERT_ELAPSED_SHARE
                && !(serves_all_sessions && has_enough_ready) =>
            {
                Some(RolloutState::Reverted)
            }

            // The version serves all sessions, but the evidence still does not allow completion.
            _ if elapsed_share >= REVERT_ELAPSED_SHARE && !rollout::may_complete(&progress) => {
                Some(RolloutState::Reverted)
            }

            None => Some(RolloutState::InProgress),

            Some(RolloutState::InProgress) => None,
        }
    }
}

/// `PendingStateWrite` is a roll-out state that has to be written to the store.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingStateWrite {
    /// Name and revision of the resource that holds the spec.
    pub resource: (String, StoreRevision),
    /// Spec of the roll-out, as the operator set it.
    pub spec: RolloutSpec,
    /// The state to write to the store.
    pub state: RolloutState,
    /// Time for which the write has been pending, in milliseconds.
    pub pending_for_ms: u64,
    /// Highest score of any test against the version; a larger one is worse.
    pub score: f64,
    /// Number of the new version's answers that were evaluated.
    pub answers: u32,
}

impl Rollouts {
    /// Evaluates all roll-outs and returns the states that have to be written to the store.
    ///
    /// `count_ready` returns the number of ready upstreams of a service that run a version, and the
    /// number of those that don't.
    pub fn evaluate(
        &mut self,
        count_ready: impl Fn(&str, &str) -> (usize, usize),
        bound: &ExposureLimit,
        now_ms: u64,
    ) -> Vec<PendingStateWrite> {
        let mut pending_writes = Vec::new();
        for rollout in self.by_service.values_mut() {
            let (new_ready, old_ready) = count_ready(&rollout.spec.pool, &rollout.spec.version);
            let exposed = rollout::exposed_upstreams(rollout.stage.share(), old_ready, new_ready);
            rollout.evaluate(exposed, bound, now_ms);
            let Some(state) = rollout.required_state(new_ready, old_ready, now_ms) else {
                rollout.pending_state = None;
                continue;
            };
            let since_ms = match rollout.pending_state {
                Some((pending_state, since_ms)) if pending_state == state => since_ms,
                _ => now_ms,
            };
            rollout.pending_state = Some((state, since_ms));
            let (score, answers) = rollout.evidence();
            pending_writes.push(PendingStateWrite {
                resource: rollout.resource.clone(),
                spec: rollout.spec.clone(),
                state,
                pending_for_ms: now_ms.saturating_sub(since_ms),
                score,
                answers,
            });
        }
        pending_writes
    }
}
