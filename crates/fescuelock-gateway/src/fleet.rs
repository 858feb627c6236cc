//! What a node believes of the upstreams and of the other nodes' work there.

use std::collections::{BTreeMap, HashMap, HashSet};

use fescuelock_core::rules::Steering;
use fescuelock_http::net::SharedNetwork;
use fescuelock_policy::health::Outcome;
use fescuelock_policy::node::{Bounds, NodeSettings};
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::service_rate::ServiceRates;
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState};

use crate::member::{Load, Member, MemberKey};
use crate::rollouts::{Rollouts, Verdict};

/// Time for which an upstream that fell silent counts as cold once it answers again, in
/// milliseconds, beside its service's own time: it may have restarted meanwhile.
const SILENT_COLD_MS: u64 = 2_000;

/// Weight of an outcome that another node has seen.
const REPORTED_WEIGHT: f64 = 0.5;

/// Age at which another node's report of its load is dropped, in milliseconds.
const REPORT_MAX_MS: u64 = 2_500;

/// `PeerLoad` is what another node reported last of its load and outcomes at an upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerLoad {
    /// The load.
    pub load: Load,
    /// Answers since the node's start.
    pub answered: u32,
    /// Failures since the node's start.
    pub failed: u32,
}

/// `PeerReport` is the last report of another node.
#[derive(Debug, Default)]
struct PeerReport {
    received_ms: u64,
    loads: HashMap<u64, PeerLoad>,
}

/// `Fleet` is what a node believes of the upstreams.
pub struct Fleet {
    network: SharedNetwork,
    pub(crate) zone: String,
    pub(crate) regions: BTreeMap<String, String>,
    pub(crate) node_hash: u64,
    pub(crate) bounds: Bounds,
    pub(crate) members: BTreeMap<MemberKey, Member>,
    by_id: HashMap<String, MemberKey>,
    next_key: u64,
    pub(crate) evacuated: HashSet<String>,
    reports: HashMap<String, PeerReport>,
    pub(crate) nodes: Vec<u64>,
    /// How fast engines read prompts.
    pub rates: ServiceRates,
    /// Roll-outs under way.
    pub rollouts: Rollouts,
    /// How operators weigh cost, quality and risk.
    pub steering: Steering,
}

impl Fleet {
    /// Builds an empty fleet. `run` is a random number of this node's run.
    pub fn new(
        network: SharedNetwork,
        settings: &NodeSettings,
        steering: Steering,
        run: u64,
    ) -> Self {
        let node_hash = hash_name(&settings.name);
        Fleet {
            network,
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
            node_hash,
            bounds: settings.bounds.clone(),
            members: BTreeMap::new(),
            by_id: HashMap::new(),
            next_key: 0,
            evacuated: HashSet::new(),
            reports: HashMap::new(),
            nodes: vec![node_hash],
            rates: ServiceRates::default(),
            rollouts: Rollouts::new(run),
            steering,
        }
    }

    /// Takes bounds and regions from changed settings.
    pub fn apply(&mut self, changed: &NodeSettings) {
        self.bounds = changed.bounds.clone();
        self.regions = changed.regions.clone();
    }

    /// Takes the record of an upstream. `warmup_ms` is how long a new one of its service is cold.
    ///
    /// Returns what changed, for the log.
    pub fn upsert(
        &mut self,
        record: UpstreamRecord,
        is_first_list: bool,
        warmup_ms: u64,
        now_ms: u64,
    ) -> Option<&'static str> {
        let known = self.by_id.get(&record.id).and_then(|key| self.members.get_mut(key));
        match known {
            Some(member) if is_same_incarnation(&member.record, &record) => {
                member.gone_at_ms = None;
                let cold_until_ms = now_ms + record.cold_left_ms;
                if record.cold_left_ms > 0 {
                    member.cold_until_ms = member.cold_until_ms.max(cold_until_ms);
                }
                let drains = record.state == UpstreamState::Draining
                    && member.record.state == UpstreamState::Ready;
                member.record = record;
                drains.then_some("draining")
            }

            _ => {
                let id = record.id.clone();
                let mut member = Member::new(record, &self.network, now_ms);
                if !is_first_list {
                    member.cold_until_ms = member.cold_until_ms.max(now_ms + warmup_ms);
                }
                self.next_key += 1;
                let key = MemberKey(self.next_key);
                if let Some(old) = self.by_id.insert(id, key) {
                    self.members.remove(&old);
                }
                self.members.insert(key, member);
                Some("joined")
            }
        }
    }

    /// Notes that an upstream's record is missing. It is taken as gone at the given time.
    pub fn remove(&mut self, id: &str, gone_at_ms: u64, now_ms: u64) -> bool {
        let Some(&key) = self.by_id.get(id) else {
            return false;
        };
        if gone_at_ms <= now_ms {
            self.by_id.remove(id);
            self.members.remove(&key);
        } else if let Some(member) = self.members.get_mut(&key) {
            let earlier_ms = member.gone_at_ms.unwrap_or(gone_at_ms);
            member.gone_at_ms = Some(earlier_ms.min(gone_at_ms));
        }
        true
    }

    /// Drops upstreams whose time as missing has ended. Returns their ids.
    pub fn drop_gone(&mut self, now_ms: u64) -> Vec<String> {
        let is_gone = |member: &Member| member.gone_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        let gone: Vec<String> = self
            .members
            .values()
            .filter(|member| is_gone(member))
            .map(|member| member.record.id.clone())
            .collect();
        for id in &gone {
            self.remove(id, now_ms, now_ms);
        }
        gone
    }

    /// Returns the ids of all upstreams.
    pub fn ids(&self) -> Vec<String> {
        self.by_id.keys().cloned().collect()
    }

    /// Returns the number of upstreams that take new work.
    pub fn ready_count(&self, now_ms: u64) -> usize {
        self.members.values().filter(|member| member.is_ready(now_ms)).count()
    }

    /// Replaces the availability zones that get no new work. Zones that come back count as cold for
    /// `warmup_ms`.
    pub fn set_evacuated(&mut self, zones: HashSet<String>, warmup_ms: u64, now_ms: u64) {
        let returned: Vec<String> = self.evacuated.difference(&zones).cloned().collect();
        for member in self.members.values_mut() {
            if returned.contains(&member.record.zone) {
                member.cold_until_ms = member.cold_until_ms.max(now_ms + warmup_ms);
                member.forget_cache();
            }
        }
        self.evacuated = zones;
    }

    /// Returns the availability zones that get no new work.
    pub fn evacuated(&self) -> &HashSet<String> {
        &self.evacuated
    }

    /// Replaces the other nodes that are known.
    pub fn set_nodes(&mut self, names: impl Iterator<Item = String>) {
        self.nodes = names.map(|name| hash_name(&name)).collect();
        self.nodes.push(self.node_hash);
        self.nodes.sort_unstable();
        self.nodes.dedup();
    }

    /// Returns the number of nodes that are known, with this one.
    pub fn node_count(&self) -> usize {
        self.nodes.len().max(1)
    }

    /// Takes another node's report of its load and outcomes.
    pub fn take_report(&mut self, node: &str, loads: HashMap<u64, PeerLoad>, now_ms: u64) {
        let earlier = self.reports.remove(node);
        for member in self.members.values_mut() {
            let Some(load) = loads.get(&member.hash) else {
                continue;
            };
            // Nothing is known of what a node counted before its first report.
            let before = earlier.as_ref().map_or(*load, |earlier| {
                earlier.loads.get(&member.hash).copied().unwrap_or_default()
            });
            let answered = f64::from(load.answered.saturating_sub(before.answered));
            let failed = f64::from(load.failed.saturating_sub(before.failed));
            member.health.note(Outcome::Answered, answered * REPORTED_WEIGHT, now_ms);
            member.health.note(Outcome::Failed, failed * REPORTED_WEIGHT, now_ms);
        }
        // Upstreams that a report leaves out are idle, and their counts are as they were.
        let mut merged = earlier.unwrap_or_default().loads;
        merged.values_mut().for_each(|peer| peer.load = Load::default());
        merged.extend(loads);
        let report = PeerReport { received_ms: now_ms, loads: merged };
        self.reports.insert(node.to_owned(), report);
        self.add_up(now_ms);
    }

    /// Returns the age of the oldest load of another node that counts, in milliseconds.
    pub fn loads_age_ms(&self, now_ms: u64) -> u64 {
        let oldest_ms = self.reports.values().map(|report| report.received_ms).min();
        oldest_ms.map_or(0, |oldest_ms| now_ms.saturating_sub(oldest_ms))
    }

    /// Adds up the loads that other nodes reported lately.
    fn add_up(&mut self, now_ms: u64) {
        self.reports.retain(|_, report| now_ms.saturating_sub(report.received_ms) < REPORT_MAX_MS);
        let mut sums: HashMap<u64, Load> = HashMap::new();
        for (hash, peer) in self.reports.values().flat_map(|report| &report.loads) {
            let sum = sums.entry(*hash).or_default();
            sum.in_flight += peer.load.in_flight;
            sum.queue_ms += peer.load.queue_ms;
        }
        for member in self.members.values_mut() {
            let others = sums.get(&member.hash).copied().unwrap_or_default();
            member.set_others(others, now_ms);
        }
    }

    /// Returns this node's loads and late outcomes, for the other nodes.
    pub fn own_report(&mut self, now_ms: u64) -> Vec<(u64, PeerLoad)> {
        let report = self.members.values_mut().filter_map(|member| {
            let load = member.own_load(now_ms);
            let (answered, failed) = member.outcomes;
            let is_active = load.in_flight > 0 || member.has_news(now_ms);
            is_active.then_some((member.hash, PeerLoad { load, answered, failed }))
        });
        report.collect()
    }

    /// Returns the member of a key, if it is still known.
    pub fn member(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(&key)
    }

    /// Returns the member of a key for changes, if it is still known.
    pub fn member_mut(&mut self, key: MemberKey) -> Option<&mut Member> {
        self.members.get_mut(&key)
    }

    /// Iterates over the ready members of a service.
    pub(crate) fn ready_of<'a>(
        &'a self,
        pool: &'a str,
        now_ms: u64,
    ) -> impl Iterator<Item = (MemberKey, &'a Member)> {
        self.members
            .iter()
            .filter(move |(_, member)| member.record.pool == pool && member.is_ready(now_ms))
            .map(|(&key, member)| (key, member))
    }

    /// Returns the mean engine time that waits at a service's engines, in milliseconds.
    pub fn mean_queue_ms(&self, pool: &str, now_ms: u64) -> f64 {
        let queues = self
            .ready_of(pool, now_ms)
            .filter(|(_, member)| {
                !self.evacuated.contains(&member.record.zone) && !member.health.is_ejected(now_ms)
            })
            .map(|(_, member)| member.queue_ms(now_ms) * member.slowness.max(1.0));
        let (sum, count) = queues.fold((0.0, 0), |(sum, count), queue| (sum + queue, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    /// Judges all roll-outs and returns the states that the store lacks.
    pub fn judge_rollouts(&mut self, now_ms: u64) -> Vec<Verdict> {
        let members = &self.members;
        let count_ready = |pool: &str, version: &str| {
            let ready = members
                .values()
                .filter(|member| member.record.pool == pool && member.is_ready(now_ms));
            ready.fold((0, 0), |(new, old), member| match member.record.version == version {
                true => (new + 1, old),
                false => (new, old + 1),
            })
        };
        self.rollouts.judge(count_ready, &self.bounds.exposure(), now_ms)
    }

    /// Tells whether an upstream may still be sent a request that was placed on it.
    pub fn confirm(&self, key: MemberKey, pool: &str, now_ms: u64) -> bool {
        self.members.get(&key).is_some_and(|member| {
            member.is_ready(now_ms)
                && member.record.pool == pool
                && !self.evacuated.contains(&member.record.zone)
                && !self.rollouts.is_withdrawn(pool, &member.record.version)
        })
    }

    /// Notes an outcome of an own request, and leaves the upstream out if it does badly.
    ///
    /// Returns whether it was left out just now.
    pub fn note_outcome(
        &mut self,
        key: MemberKey,
        outcome: Outcome,
        warmup_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(pool) = self.members.get(&key).map(|member| member.record.pool.clone()) else {
            return false;
        };
        let peers = self.ready_of(&pool, now_ms).filter(|(other, _)| *other != key);
        let (failed, total) = peers
            .map(|(_, member)| member.health.failure_share())
            .fold((0.0, 0.0), |(failed, total), (share, weight)| {
                (failed + share * weight, total + weight)
            });
        let peer_share = if total > 0.0 { failed / total } else { 0.0 };
        let member = self.members.get_mut(&key).expect("the member was found above");
        member.health.note(outcome, 1.0, now_ms);
        match outcome {
            Outcome::Answered => member.outcomes.0 += 1,
            Outcome::Failed | Outcome::Silent => member.outcomes.1 += 1,
        }
        member.outcome_ms = now_ms;
        if outcome == Outcome::Silent {
            let cold_until_ms = now_ms + warmup_ms + SILENT_COLD_MS;
            member.cold_until_ms = member.cold_until_ms.max(cold_until_ms);
            member.connections.clear();
        }
        member.health.judge(peer_share, now_ms)
    }
}

/// Tells whether two records are of one start of an upstream.
fn is_same_incarnation(old: &UpstreamRecord, new: &UpstreamRecord) -> bool {
    let same_start = match (old.started_at_ms, new.started_at_ms) {
        (Some(old), Some(new)) => old == new,
        _ => true,
    };
    same_start && old.address == new.address && old.pool == new.pool
}
