//! A node's view of the upstreams: their records, load and health, the load from other nodes,
//! evacuated zones and roll-outs.

use std::collections::{BTreeMap, HashMap, HashSet};

use fescuelock_core::rules::ScoringWeights;
use fescuelock_http::net::SharedNetwork;
use fescuelock_policy::cold_start::node_rank;
use fescuelock_policy::crash_evidence::{CrashEvidence, PromptVerdict};
use fescuelock_policy::health::Outcome;
use fescuelock_policy::leaving::{Incarnation, LeavingReport, LeavingSource, LeavingUpstreams};
use fescuelock_policy::node::{Bounds, NodeSettings};
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::prompt::Prompt;
use fescuelock_policy::report_merge::{Coverage, REPORT_MAX_AGE_MS, report_weight};
use fescuelock_policy::request_cost::RequestCosts;
use fescuelock_policy::restored_store::{self, CopiedRecord};
use fescuelock_policy::silence;
use fescuelock_policy::stated_limit::{LimitChange, LimitReport};
use fescuelock_policy::store_reads;
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState, is_same_incarnation};

use crate::leaving::{LeavingChange, LeavingEnd};
use crate::pauses::RemovedUpstreams;
use crate::rollouts::{PendingStateWrite, Rollouts};
use crate::upstream::{Load, Upstream, UpstreamKey};

/// Time for which an upstream that stopped responding counts as cold, in milliseconds, in addition
/// to its service's warm-up time: it may have restarted meanwhile.
const RESTART_COLD_MS: u64 = 2_000;

/// Weight of an outcome that another node reported, relative to an outcome of this node.
const REPORTED_WEIGHT: f64 = 0.5;

/// Maximum number of upstreams' limits in one report.
const LIMIT_REPORTS_MAX: usize = 64;

/// `UpstreamStats` holds the load and the outcomes of one node at an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamStats {
    /// Load that the node puts on the upstream.
    pub load: Load,
    /// Number of answers that the node has received from this incarnation of the upstream.
    pub answered: u32,
    /// Number of failures that the node has seen at this incarnation of the upstream.
    pub failed: u32,
}

/// `PeerReport` is the last report of another node.
#[derive(Debug, Default)]
struct PeerReport {
    received_ms: u64,
    /// Load and outcomes by hash of the upstream's id.
    stats: HashMap<u64, UpstreamStats>,
}

/// `Fleet` holds a node's view of the upstreams.
pub struct Fleet {
    network: SharedNetwork,
    pub(crate) zone: String,
    pub(crate) regions: BTreeMap<String, String>,
    pub(crate) node_hash: u64,
    pub(crate) bounds: Bounds,
    pub(crate) upstreams: BTreeMap<UpstreamKey, Upstream>,
    pub(crate) by_id: HashMap<String, UpstreamKey>,
    /// Upstreams whose records are gone.
    pub(crate) removed: RemovedUpstreams,
    next_key: u64,
    pub(crate) evacuated: HashSet<String>,
    peer_reports: HashMap<String, PeerReport>,
    /// Time of the last report of each other node, or that at which it became known, in milliseconds,
    /// by the hash of its name.
    heard_ms: HashMap<u64, u64>,
    pub(crate) node_hashes: Vec<u64>,
    /// What requests of each route cost, as measured.
    pub request_costs: RequestCosts,
    /// Roll-outs in progress.
    pub rollouts: Rollouts,
    /// Evidence on prompt segments that crash engines.
    pub crash_evidence: CrashEvidence,
    /// Incarnations of upstreams that are leaving, with or without a record.
    leaving: LeavingUpstreams,
    /// Changes of `Upstream::is_leaving` that were not announced yet.
    leaving_changes: Vec<LeavingChange>,
    /// Operators' weights for cost, quality and risk.
    pub scoring_weights: ScoringWeights,
}

impl Fleet {
    /// Builds an empty fleet. `run_id` is a random number that identifies this run of the node.
    pub fn new(
        network: SharedNetwork,
        settings: &NodeSettings,
        scoring_weights: ScoringWeights,
        run_id: u64,
    ) -> Self {
        let node_hash = hash_name(&settings.name);
        Fleet {
            network,
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
            node_hash,
            bounds: settings.bounds.clone(),
            upstreams: BTreeMap::new(),
            by_id: HashMap::new(),
            removed: RemovedUpstreams::default(),
            next_key: 0,
            evacuated: HashSet::new(),
            peer_reports: HashMap::new(),
            heard_ms: HashMap::new(),
            node_hashes: vec![node_hash],
            request_costs: RequestCosts::default(),
            rollouts: Rollouts::new(run_id),
            crash_evidence: CrashEvidence::new(node_hash),
            leaving: LeavingUpstreams::default(),
            leaving_changes: Vec::new(),
            scoring_weights,
        }
    }

    /// Applies the bounds and regions of changed settings.
    pub fn apply_settings(&mut self, changed: &NodeSettings) {
        self.bounds = changed.bounds.clone();
        self.regions = changed.regions.clone();
    }

    /// Inserts or updates an upstream from its record. `warmup_ms` is the warm-up time of a new
    /// upstream of its service; it doesn't apply to the upstreams of the first listing, which may
    /// have started long before.
    ///
    /// Returns the kind of change for the log, if there is one to log.
    pub fn upsert(
        &mut self,
        mut record: UpstreamRecord,
        is_first_list: bool,
        warmup_ms: u64,
        now_ms: u64,
    ) -> Option<&'static str> {
        let known = self.by_id.get(&record.id).and_then(|key| self.upstreams.get_mut(key));
        let (change, key) = match known {
            Some(upstream) if is_same_incarnation(&upstream.record, &record) => {
                upstream.remove_at_ms = None;
                upstream.withheld_until_ms = 0;
                let cold_until_ms = now_ms + record.warmup_left_ms;
                if record.warmup_left_ms > 0 {
                    upstream.cold_until_ms = upstream.cold_until_ms.max(cold_until_ms);
                }
                let starts_draining = record.state == UpstreamState::Draining
                    && upstream.record.state == UpstreamState::Ready;
                // A record without the start still describes the incarnation that is known.
                record.started_at_ms = record.started_at_ms.or(upstream.record.started_at_ms);
                let incarnation = Incarnation::of(&record);
                self.leaving.infer_start(upstream.incarnation.hash, incarnation.hash);
                if incarnation.has_start && !upstream.incarnation.has_start {
                    upstream.unstarted_hash = Some(upstream.incarnation.hash);
                }
                upstream.incarnation = incarnation;
                let key = self.by_id[&record.id];
                upstream.record = record;
                (starts_draining.then_some("draining"), key)
            }

            _ => {
                let id = record.id.clone();
                let mut upstream = Upstream::new(record, &self.network, now_ms);
                upstream.pause = self.removed.pause_of(&upstream.record).unwrap_or_default();
                if !is_first_list {
                    upstream.cold_until_ms = upstream.cold_until_ms.max(now_ms + warmup_ms);
                }
                self.next_key += 1;
                let key = UpstreamKey(self.next_key);
                if let Some(old) = self.by_id.insert(id, key) {
                    self.discard(old, LeavingEnd::Replaced);
                }
                self.upstreams.insert(key, upstream);
                (Some("joined"), key)
            }
        };
        self.apply_listed_state(key, now_ms);
        change
    }

    /// Applies a record from a listing of a store that came back from an older copy.
    ///
    /// Returns the kind of change for the log, if there is one to log.
    pub fn upsert_copied(
        &mut self,
        record: UpstreamRecord,
        warmup_ms: u64,
        now_ms: u64,
    ) -> Option<&'static str> {
        let id = record.id.clone();
        let known = self.by_id.get(&id).and_then(|key| self.upstreams.get(key));
        let withheld_until_ms = known.map_or(0, |known| known.withheld_until_ms);
        let known = known.map(|known| &known.record);
        match restored_store::judge_copied_record(&record, known, self.removed.record_of(&id)) {
            CopiedRecord::Current => {
                let change = self.upsert(record, false, warmup_ms, now_ms);
                self.withhold(&id, withheld_until_ms);
                change
            }

            CopiedRecord::Outdated => Some("kept as draining, the record is of an older copy"),

            CopiedRecord::Replaced => {
                let remove_at_ms = now_ms + restored_store::MISSING_RECORD_HOLD_MS;
                self.remove(&id, remove_at_ms, now_ms);
                Some("kept, the record is of an earlier process")
            }

            CopiedRecord::Removed => {
                self.upsert(record, false, warmup_ms, now_ms);
                self.withhold(&id, now_ms + restored_store::REMOVED_RECORD_HOLD_MS);
                Some("withheld, it had been removed")
            }
        }
    }

    fn withhold(&mut self, id: &str, until_ms: u64) {
        let upstream = self.by_id.get(id).and_then(|key| self.upstreams.get_mut(key));
        if let Some(upstream) = upstream {
            upstream.withheld_until_ms = until_ms;
        }
    }

    /// Applies to an upstream what its record and the memory say about whether it is leaving.
    fn apply_listed_state(&mut self, key: UpstreamKey, now_ms: u64) {
        let Some(upstream) = self.upstreams.get_mut(&key) else {
            return;
        };
        let incarnation = upstream.incarnation;
        // Without the start, the end of the record's state is the only sign of a new process.
        if upstream.record.state == UpstreamState::Draining && incarnation.has_start {
            self.leaving.record(incarnation.hash, LeavingSource::Store, true, now_ms);
        }
        let source = self.leaving.source(incarnation.hash, now_ms);
        if let Some(source) = source.filter(|_| !upstream.is_leaving) {
            self.leaving_changes.push(upstream.begin_leaving(source));
        }
    }

    /// Removes the state of an upstream, and returns it.
    fn discard(&mut self, key: UpstreamKey, reason: LeavingEnd) -> Option<Upstream> {
        let upstream = self.upstreams.remove(&key)?;
        if upstream.is_leaving {
            let upstream = upstream.record.id.clone();
            self.leaving_changes.push(LeavingChange::Ended { upstream, reason });
        }
        Some(upstream)
    }

    /// Records that an upstream stated in an answer that it is leaving, also if its record is gone.
    /// Returns whether the other nodes should be told.
    pub fn record_leaving(&mut self, incarnation: Incarnation, now_ms: u64) -> bool {
        let current = self.current_hash(incarnation);
        let is_listed_leaving = self.is_listed_leaving(current);
        let source = LeavingSource::Answer;
        let is_new = self.leaving.record(incarnation.hash, source, is_listed_leaving, now_ms);
        self.leaving.infer_start(incarnation.hash, current);
        if is_new {
            self.begin_leaving(&[current], source);
        }
        is_new && !is_listed_leaving
    }

    /// Returns the hash of an incarnation by now. The start may have become known since a request
    /// was sent to it.
    fn current_hash(&self, incarnation: Incarnation) -> u64 {
        let mut upstreams = self.upstreams.values();
        let started = upstreams.find(|upstream| upstream.unstarted_hash == Some(incarnation.hash));
        started.map_or(incarnation.hash, |upstream| upstream.incarnation.hash)
    }

    /// Returns whether the record of an incarnation says that it is leaving.
    fn is_listed_leaving(&self, incarnation: u64) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|upstream| {
            upstream.incarnation.hash == incarnation
                && upstream.record.state == UpstreamState::Draining
        })
    }

    /// Marks the upstreams of some incarnations as leaving.
    fn begin_leaving(&mut self, incarnations: &[u64], source: LeavingSource) {
        for upstream in self.upstreams.values_mut() {
            if incarnations.contains(&upstream.incarnation.hash) && !upstream.is_leaving {
                self.leaving_changes.push(upstream.begin_leaving(source));
            }
        }
    }

    /// Returns what other nodes should know of upstreams that are leaving.
    pub fn leaving_reports(&mut self, is_full: bool, now_ms: u64) -> Vec<LeavingReport> {
        self.leaving.reports(is_full, now_ms)
    }

    /// Merges another node's reports of upstreams that are leaving. Returns whether they hold news
    /// for further nodes.
    pub fn apply_leaving_reports(&mut self, reports: &[LeavingReport], now_ms: u64) -> bool {
        if reports.is_empty() {
            return false;
        }
        let listed = self
            .upstreams
            .values()
            .filter(|upstream| upstream.record.state == UpstreamState::Draining);
        let listed: HashSet<u64> = listed.map(|upstream| upstream.incarnation.hash).collect();
        let is_listed_leaving = |incarnation: u64| listed.contains(&incarnation);
        let added = self.leaving.apply_reports(reports, is_listed_leaving, now_ms);
        self.begin_leaving(&added, LeavingSource::Report);
        added.iter().any(|incarnation| !listed.contains(incarnation))
    }

    /// Forgets upstreams that were leaving long ago.
    pub fn expire_leaving(&mut self, now_ms: u64) {
        if self.leaving.is_empty() {
            return;
        }
        let listed = self
            .upstreams
            .values()
            .filter(|upstream| upstream.is_leaving && upstream.incarnation.has_start);
        let listed: HashSet<u64> = listed.map(|upstream| upstream.incarnation.hash).collect();
        self.leaving.expire(&listed, now_ms);
        for upstream in self.upstreams.values_mut().filter(|upstream| upstream.is_leaving) {
            if self.leaving.source(upstream.incarnation.hash, now_ms).is_none() {
                upstream.is_leaving = false;
                self.leaving_changes.push(LeavingChange::Ended {
                    upstream: upstream.record.id.clone(),
                    reason: LeavingEnd::Expired,
                });
            }
        }
    }

    /// Takes the changes of which upstreams are leaving, to announce them.
    pub fn take_leaving_changes(&mut self) -> Vec<LeavingChange> {
        std::mem::take(&mut self.leaving_changes)
    }

    /// Returns the number of upstreams with a record that are known to be leaving.
    pub fn leaving_count(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.is_leaving).count()
    }

    /// Returns the number of a service's upstreams that are known to be leaving.
    pub fn leaving_count_in(&self, pool: &str) -> usize {
        if self.leaving.is_empty() {
            return 0;
        }
        let in_pool = self.upstreams.values().filter(|upstream| upstream.record.pool == pool);
        in_pool.filter(|upstream| upstream.is_leaving).count()
    }

    /// Returns whether an upstream with a record is known to be leaving.
    pub fn is_leaving(&self, key: UpstreamKey) -> bool {
        self.upstreams.get(&key).is_some_and(|upstream| upstream.is_leaving)
    }

    /// Removes an upstream whose record is missing, or schedules its removal if `remove_at_ms` lies
    /// in the future.
    ///
    /// Returns whether the upstream was known.
    pub fn remove(&mut self, id: &str, remove_at_ms: u64, now_ms: u64) -> bool {
        let Some(&key) = self.by_id.get(id) else {
            return false;
        };
        if remove_at_ms <= now_ms {
            self.by_id.remove(id);
            if let Some(upstream) = self.discard(key, LeavingEnd::Removed) {
                self.removed.insert(key, upstream, now_ms);
            }
        } else if let Some(upstream) = self.upstreams.get_mut(&key) {
            let previous_ms = upstream.remove_at_ms.unwrap_or(remove_at_ms);
            upstream.remove_at_ms = Some(previous_ms.min(remove_at_ms));
        }
        true
    }

    /// Removes the upstreams whose scheduled removal is due. Returns their ids.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<String> {
        let is_expired =
            |upstream: &Upstream| upstream.remove_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let expired: Vec<String> = self
            .upstreams
            .values()
            .filter(|upstream| is_expired(upstream))
            .map(|upstream| upstream.record.id.clone())
            .collect();
        for id in &expired {
            self.remove(id, now_ms, now_ms);
        }
        expired
    }

    /// Returns the ids of all known upstreams.
    pub fn ids(&self) -> Vec<String> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the number of upstreams that accept new requests.
    pub fn ready_count(&self, now_ms: u64) -> usize {
        self.upstreams.values().filter(|upstream| upstream.is_ready(now_ms)).count()
    }

    /// Replaces the set of evacuated availability zones, which get no new requests. Upstreams of
    /// zones that return count as cold for `warmup_ms`.
    pub fn set_evacuated(&mut self, zones: HashSet<String>, warmup_ms: u64, now_ms: u64) {
        let returned: Vec<String> = self.evacuated.difference(&zones).cloned().collect();
        for upstream in self.upstreams.values_mut() {
            if returned.contains(&upstream.record.zone) {
                upstream.cold_until_ms = upstream.cold_until_ms.max(now_ms + warmup_ms);
                upstream.clear_cached_segments();
            }
        }
        self.evacuated = zones;
    }

    /// Returns the evacuated availability zones, which get no new requests.
    pub fn evacuated(&self) -> &HashSet<String> {
        &self.evacuated
    }

    /// Replaces the set of other nodes by their names.
    pub fn set_nodes(&mut self, names: impl Iterator<Item = String>, now_ms: u64) {
        self.node_hashes = names.map(|name| hash_name(&name)).collect();
        let known = std::mem::take(&mut self.heard_ms);
        let heard_ms = |node: u64| (node, known.get(&node).copied().unwrap_or(now_ms));
        self.heard_ms = self.node_hashes.iter().map(|&node| heard_ms(node)).collect();
        self.node_hashes.push(self.node_hash);
        self.node_hashes.sort_unstable();
        self.node_hashes.dedup();
        self.crash_evidence.set_nodes(self.node_hashes.len());
    }

    /// Returns whether this node watches the current state of the store, which in a large fleet only
    /// some nodes do.
    pub fn is_store_reader(&self) -> bool {
        store_reads::is_reader(self.node_hash, &self.node_hashes)
    }

    /// Returns whether the fleet is so large that only some nodes watch the current state of the store.
    pub fn has_store_readers(&self) -> bool {
        store_reads::has_readers(self.node_hashes.len())
    }

    /// Returns the number of known nodes, including this one.
    pub fn node_count(&self) -> usize {
        self.node_hashes.len().max(1)
    }

    /// Applies another node's report of its load and outcomes.
    pub fn apply_report(&mut self, node: &str, stats: HashMap<u64, UpstreamStats>, now_ms: u64) {
        let previous = self.peer_reports.remove(node);
        for upstream in self.upstreams.values_mut() {
            let Some(current) = stats.get(&upstream.hash) else {
                continue;
            };
            // The counts of a node's first report have no baseline, so they add no outcomes.
            let before = previous.as_ref().map_or(*current, |previous| {
                previous.stats.get(&upstream.hash).copied().unwrap_or_default()
            });
            let answered = f64::from(current.answered.saturating_sub(before.answered));
            let failed = f64::from(current.failed.saturating_sub(before.failed));
            upstream.health.record(Outcome::Succeeded, answered * REPORTED_WEIGHT, now_ms);
            upstream.health.record(Outcome::Failed, failed * REPORTED_WEIGHT, now_ms);
        }
        // Upstreams missing from a report are idle, and their counts are unchanged.
        let mut merged = previous.unwrap_or_default().stats;
        merged.values_mut().for_each(|stats| stats.load = Load::default());
        merged.extend(stats);
        let report = PeerReport { received_ms: now_ms, stats: merged };
        self.peer_reports.insert(node.to_owned(), report);
        self.heard_ms.insert(hash_name(node), now_ms);
        self.update_peer_loads(now_ms);
    }

    /// Returns the age of the oldest peer report in use, in milliseconds.
    pub fn loads_age_ms(&self, now_ms: u64) -> u64 {
        let oldest_ms = self.peer_reports.values().map(|report| report.received_ms).min();
        oldest_ms.map_or(0, |oldest_ms| now_ms.saturating_sub(oldest_ms))
    }

    /// Returns the median age of the peer reports in use, in milliseconds.
    pub fn loads_median_age_ms(&self, now_ms: u64) -> u64 {
        let mut ages_ms: Vec<u64> = self
            .peer_reports
            .values()
            .map(|report| now_ms.saturating_sub(report.received_ms))
            .collect();
        ages_ms.sort_unstable();
        ages_ms.get(ages_ms.len() / 2).copied().unwrap_or_default()
    }

    /// Returns the share of the other nodes whose load is known: those heard of within the age limit
    /// over those known, each by its weight. 1 if there are no others.
    ///
    /// A node that is silent for longer than chance explains no longer counts as one with load.
    pub fn load_coverage(&self, now_ms: u64) -> f64 {
        self.coverage(now_ms).share()
    }

    fn coverage(&self, now_ms: u64) -> Coverage {
        let reports = self.peer_reports.iter();
        let reported_ms: HashMap<u64, u64> =
            reports.map(|(name, report)| (hash_name(name), report.received_ms)).collect();
        let mut coverage = Coverage::default();
        for (node, heard_ms) in &self.heard_ms {
            let age_ms = reported_ms.get(node).map(|at_ms| now_ms.saturating_sub(*at_ms));
            coverage.add(age_ms, now_ms.saturating_sub(*heard_ms), self.heard_ms.len());
        }
        coverage
    }

    /// Discards old peer reports and updates each upstream's load from the remaining ones: their sum,
    /// each by its weight, scaled to the nodes that are not heard of.
    pub fn update_peer_loads(&mut self, now_ms: u64) {
        self.peer_reports
            .retain(|_, report| now_ms.saturating_sub(report.received_ms) < REPORT_MAX_AGE_MS);
        let scale = self.coverage(now_ms).scale();
        let mut sums: HashMap<u64, (f64, f64)> = HashMap::new();
        for report in self.peer_reports.values() {
            let factor = scale * report_weight(now_ms.saturating_sub(report.received_ms));
            for (hash, stats) in &report.stats {
                let (in_flight, queue_ms) = sums.entry(*hash).or_default();
                *in_flight += factor * f64::from(stats.load.in_flight);
                *queue_ms += factor * stats.load.queue_ms;
            }
        }
        for upstream in self.upstreams.values_mut() {
            let (in_flight, queue_ms) = sums.get(&upstream.hash).copied().unwrap_or_default();
            let peer_load = Load { in_flight: in_flight.round() as u32, queue_ms };
            upstream.set_peer_load(peer_load, now_ms);
        }
    }

    /// Returns this node's load and outcomes at the upstreams that it uses or has used recently.
    pub fn own_report(&mut self, now_ms: u64) -> Vec<(u64, UpstreamStats)> {
        let report = self.upstreams.values_mut().filter_map(|upstream| {
            let load = upstream.own_load(now_ms);
            let (answered, failed) = upstream.outcome_counts;
            let is_active = load.in_flight > 0 || upstream.has_recent_outcomes(now_ms);
            is_active.then_some((upstream.hash, UpstreamStats { load, answered, failed }))
        });
        report.collect()
    }

    /// Returns the upstream with a key, if it is still known.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// Returns the upstream with a key mutably, if it is still known.
    pub fn upstream_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(&key)
    }

    /// Returns the upstreams whose silence has just become so long that it counts as a failure, with
    /// their ids and services. `since_check_ms` is the time since the last call.
    pub fn take_silent_losses(
        &mut self,
        since_check_ms: u64,
        now_ms: u64,
    ) -> Vec<(UpstreamKey, String, String)> {
        let was_stopped = silence::was_node_stopped(since_check_ms);
        let lost = self.upstreams.iter_mut().filter_map(|(&key, upstream)| {
            let has_waited = upstream.own_load(now_ms).in_flight > 0 && !was_stopped;
            let is_lost = upstream.silence.take_loss(has_waited, now_ms);
            let record = &upstream.record;
            is_lost.then(|| (key, record.id.clone(), record.pool.clone()))
        });
        lost.collect()
    }

    /// Returns what other nodes should know of the limits that upstreams state, by hash of the
    /// upstream's incarnation.
    pub fn limit_reports(&self, is_full: bool, now_ms: u64) -> Vec<(u64, LimitReport)> {
        let reports = self.upstreams.values().filter_map(|upstream| {
            let report = upstream.stated_limit.report(is_full, now_ms)?;
            Some((upstream.incarnation_hash(), report))
        });
        reports.take(LIMIT_REPORTS_MAX).collect()
    }

    /// Merges another node's reports of limits. Returns the changes, with the upstreams' ids.
    pub fn apply_limit_reports(
        &mut self,
        reports: &HashMap<u64, LimitReport>,
        now_ms: u64,
    ) -> Vec<(String, LimitChange)> {
        if reports.is_empty() {
            return Vec::new();
        }
        let changes = self.upstreams.values_mut().filter_map(|upstream| {
            let report = reports.get(&upstream.incarnation_hash())?;
            let change = upstream.stated_limit.apply_report(report, now_ms)?;
            Some((upstream.record.id.clone(), change))
        });
        changes.collect()
    }

    /// Returns the number of upstreams that state a limit.
    pub fn limited_count(&self) -> usize {
        let limited =
            self.upstreams.values().filter(|upstream| upstream.stated_limit.per_s().is_some());
        limited.count()
    }

    /// Iterates over the ready upstreams of a service.
    pub(crate) fn ready_upstreams<'a>(
        &'a self,
        pool: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
        self.upstreams
            .iter()
            .filter(move |(_, upstream)| upstream.record.pool == pool && upstream.is_ready(now_ms))
            .map(|(&key, upstream)| (key, upstream))
    }

    /// Returns the mean queueing time at a service's engines, in milliseconds, without engines that
    /// are ejected, pause or are in evacuated zones.
    pub fn mean_queue_ms(&self, pool: &str, now_ms: u64) -> f64 {
        let queues = self
            .ready_upstreams(pool, now_ms)
            .filter(|(_, upstream)| {
                !self.evacuated.contains(&upstream.record.zone)
                    && !upstream.health.is_ejected(now_ms)
                    && !upstream.pause.is_paused(now_ms)
            })
            .map(|(_, upstream)| upstream.queue_ms(now_ms) * upstream.first_event_ratio.max(1.0));
        let (sum, count) = queues.fold((0.0, 0), |(sum, count), queue| (sum + queue, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    /// Evaluates all roll-outs and returns the state changes that have to be written to the store.
    pub fn evaluate_rollouts(&mut self, now_ms: u64) -> Vec<PendingStateWrite> {
        let upstreams = &self.upstreams;
        let count_ready = |pool: &str, version: &str| {
            let ready = upstreams
                .values()
                .filter(|upstream| upstream.record.pool == pool && upstream.is_ready(now_ms));
            ready.fold((0, 0), |(new, old), upstream| match upstream.record.version == version {
                true => (new + 1, old),
                false => (new, old + 1),
            })
        };
        self.rollouts.evaluate(count_ready, &self.bounds.exposure_limit(), now_ms)
    }

    /// Returns how a request with a prompt may be sent.
    pub fn prompt_verdict(&self, prompt: &Prompt, now_ms: u64) -> PromptVerdict {
        self.crash_evidence.verdict(prompt, now_ms)
    }

    /// Returns the segment for which requests with a prompt are rejected, if there is one.
    pub fn rejected_segment(&self, prompt: &Prompt, now_ms: u64) -> Option<u64> {
        match self.prompt_verdict(prompt, now_ms) {
            PromptVerdict::Rejected { segment, .. } => Some(segment),
            PromptVerdict::Allowed | PromptVerdict::Careful { .. } => None,
        }
    }

    /// Takes the trial of a rejected segment for a request of this node. Returns whether the
    /// request may be sent.
    pub fn take_trial(&mut self, segment: u64, now_ms: u64) -> bool {
        let rank = node_rank(self.node_hash, self.node_hashes.iter().copied(), segment);
        self.crash_evidence.take_trial(segment, rank, now_ms)
    }

    /// Returns whether a request that was placed on an upstream may still be sent to it.
    pub fn can_send_to(&self, key: UpstreamKey, pool: &str, now_ms: u64) -> bool {
        self.upstreams.get(&key).is_some_and(|upstream| {
            upstream.is_ready(now_ms)
                && !upstream.pause.is_paused(now_ms)
                && upstream.record.pool == pool
                && !self.evacuated.contains(&upstream.record.zone)
                && !self.rollouts.is_rejected(pool, &upstream.record.version)
        })
    }

    /// Records the outcome of a request of this node, and ejects the upstream if it fails more
    /// often than the other upstreams of its service.
    ///
    /// Returns whether the upstream was ejected by this call.
    pub fn record_outcome(
        &mut self,
        key: UpstreamKey,
        outcome: Outcome,
        warmup_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(pool) = self.upstreams.get(&key).map(|upstream| upstream.record.pool.clone())
        else {
            return false;
        };
        let other_upstreams =
            self.ready_upstreams(&pool, now_ms).filter(|(other, _)| *other != key);
        let (failed, total) = other_upstreams
            .map(|(_, upstream)| upstream.health.failure_share())
            .fold((0.0, 0.0), |(failed, total), (share, weight)| {
                (failed + share * weight, total + weight)
            });
        let others_failure_share = if total > 0.0 { failed / total } else { 0.0 };
        let upstream = self.upstreams.get_mut(&key).expect("the upstream was found above");
        upstream.health.record(outcome, 1.0, now_ms);
        match outcome {
            Outcome::Succeeded => upstream.outcome_counts.0 += 1,
            Outcome::Failed | Outcome::Unresponsive => upstream.outcome_counts.1 += 1,
        }
        upstream.last_outcome_ms = now_ms;
        if outcome == Outcome::Unresponsive {
            let cold_until_ms = now_ms + warmup_ms + RESTART_COLD_MS;
            upstream.cold_until_ms = upstream.cold_until_ms.max(cold_until_ms);
            upstream.connections.clear();
        }
        upstream.health.eject_if_outlier(others_failure_share, now_ms)
    }
}
