//! What a node believes of the upstreams, and the choice of one for a request.

use std::collections::{BTreeMap, HashMap, HashSet};

use fescuelock_core::rules::Steering;
use fescuelock_http::net::SharedNetwork;
use fescuelock_policy::deployment::{Route, UpstreamPool};
use fescuelock_policy::health::{self, Outcome};
use fescuelock_policy::node::{Bounds, NodeSettings};
use fescuelock_policy::permits::{self, ColdShare};
use fescuelock_policy::placement::{self, Candidate, PlacementOptions, hash_name, rendezvous};
use fescuelock_policy::prompt::Prompt;
use fescuelock_policy::service_rate::ServiceRates;
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState};

use crate::member::{Load, Member, MemberKey};
use crate::rollouts::{Rollouts, Verdict, VersionChoice};

/// Requests in flight over slots up to which a plain service's upstream is given more.
const PLAIN_OCCUPANCY_MAX: f64 = 3.0;

/// Requests in flight over slots up to which an engine is given more. Engines queue further
/// requests themselves, in the order of their ranks.
const ENGINE_OCCUPANCY_MAX: f64 = 1.25;

/// Time for which an upstream that fell silent counts as cold once it answers again, in
/// milliseconds, beside its service's own time: it may have restarted meanwhile.
const SILENT_COLD_MS: u64 = 2_000;

/// Likelihood that an engine holds the shared parts of a prompt because other nodes sent requests
/// with the same parts there. Half of the requests of a subject that comes up twice find them.
const SHARED_LIKELY: f64 = 0.5;

/// Tokens that are read for the price of one generated token.
const READ_PER_GENERATED: f64 = 4.0;

/// Weight of an outcome that another node has seen.
const REPORTED_WEIGHT: f64 = 0.5;

/// Age at which another node's report of its load is dropped, in milliseconds.
const REPORT_MAX_MS: u64 = 2_500;

/// `Ask` is a request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service.
    pub pool: &'a UpstreamPool,
    /// The model, for generations.
    pub model: Option<&'a str>,
    /// The prompt, for generations.
    pub prompt: &'a Prompt,
    /// Key of the session or of the request.
    pub session: u64,
    /// Regions that may hold the request. Empty if all may.
    pub home_regions: &'a [String],
    /// Upstreams that were tried already.
    pub tried: &'a [MemberKey],
    /// Time that is left of the latency objective, in milliseconds.
    pub target_left_ms: f64,
    /// What a good answer is worth.
    pub value: f64,
}

/// `Placed` is an upstream that was chosen.
#[derive(Debug, Clone)]
pub struct Placed {
    /// The upstream.
    pub key: MemberKey,
    /// Its id.
    pub id: String,
    /// Version of its software.
    pub version: String,
    /// Expected time until the answer or its first event, in milliseconds.
    pub expected_ms: f64,
    /// The same for an engine of usual speed.
    pub usual_ms: f64,
    /// Engine time that the request takes before its first event, in milliseconds.
    pub engine_ms: f64,
    /// Queue at the upstream when it was chosen, in milliseconds.
    pub queue_ms: f64,
    /// Tokens that the engine has to read.
    pub uncached_tokens: u32,
    /// Whether the upstream counts as cold.
    pub is_cold: bool,
    /// Upstreams that could have taken the request.
    pub candidates: usize,
    /// Age of the oldest load of another node that was counted, in milliseconds.
    pub loads_age_ms: u64,
}

/// `Unplaced` tells why no upstream takes a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unplaced {
    /// No upstream of the service may take work of this kind.
    None,
    /// All are full, or may take no more while they are cold. Some are expected to have room after
    /// the given time, in milliseconds.
    Full(f64),
}

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
    zone: String,
    regions: BTreeMap<String, String>,
    node_hash: u64,
    bounds: Bounds,
    members: BTreeMap<MemberKey, Member>,
    by_id: HashMap<String, MemberKey>,
    next_key: u64,
    evacuated: HashSet<String>,
    reports: HashMap<String, PeerReport>,
    nodes: Vec<u64>,
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
    fn ready_of<'a>(
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

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns why none takes it now.
    pub fn place(&mut self, ask: &Ask<'_>, now_ms: u64) -> Result<Placed, Unplaced> {
        let usable: Vec<(MemberKey, &Member)> = self
            .ready_of(&ask.pool.name, now_ms)
            .filter(|(key, member)| {
                !ask.tried.contains(key)
                    && !self.evacuated.contains(&member.record.zone)
                    && self.is_home(ask.home_regions, &member.record.zone)
            })
            .collect();
        let choice = self.rollouts.choose(&ask.pool.name, ask.session);
        let of_version = self.of_version(&usable, &choice);
        if of_version.is_empty() {
            return Err(Unplaced::None);
        }
        let ejected = of_version.iter().filter(|(_, member)| member.health.is_ejected(now_ms));
        let ignore_ejections = health::is_panic(ejected.count(), of_version.len());
        let mut candidates = Vec::with_capacity(of_version.len());
        let mut keys = Vec::with_capacity(of_version.len());
        let meeting_point = self.meeting_point(ask, &of_version);
        for &(key, member) in &of_version {
            if member.health.is_ejected(now_ms) && !ignore_ejections {
                continue;
            }
            if self.has_room(ask, member, now_ms) {
                let meets = meeting_point == Some(key);
                candidates.push(self.candidate(ask, member, meets, now_ms));
                keys.push(key);
            }
        }
        let options = PlacementOptions {
            remote_share: self.steering.remote_share,
            ..PlacementOptions::default()
        };
        let Some(chosen) = placement::choose(&candidates, ask.target_left_ms, &options) else {
            return Err(Unplaced::Full(self.room_in_ms(&of_version)));
        };
        let candidate = candidates[chosen];
        let loads_age_ms = self.loads_age_ms(now_ms);
        let key = keys[chosen];
        let share = self.cold_share(ask.pool, &self.members[&key]);
        let count = candidates.len();
        let member = self.members.get_mut(&key).expect("the candidate was taken from the members");
        let is_cold = now_ms < member.cold_until_ms && ask.pool.warmup_per_s > 0.0;
        if is_cold {
            member.cold_bucket.take(share, now_ms);
        }
        let uncached_tokens = match ask.model {
            Some(model) => member.uncached_tokens(model, ask.prompt, now_ms),
            None => 0,
        };
        Ok(Placed {
            key,
            id: member.record.id.clone(),
            version: member.record.version.clone(),
            expected_ms: candidate.expected_ms,
            usual_ms: candidate.expected_ms / member.slowness.max(1.0),
            engine_ms: candidate.engine_ms,
            queue_ms: member.queue_ms(now_ms),
            uncached_tokens,
            is_cold,
            candidates: count,
            loads_age_ms,
        })
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

    fn is_home(&self, home_regions: &[String], zone: &str) -> bool {
        home_regions.is_empty()
            || self.regions.get(zone).is_some_and(|region| home_regions.contains(region))
    }

    /// Keeps the upstreams of the version that the request may run on.
    fn of_version<'a>(
        &self,
        usable: &[(MemberKey, &'a Member)],
        choice: &VersionChoice,
    ) -> Vec<(MemberKey, &'a Member)> {
        let of = |wanted: &dyn Fn(&str) -> bool| -> Vec<(MemberKey, &'a Member)> {
            let fitting = usable.iter().filter(|(_, member)| wanted(&member.record.version));
            fitting.copied().collect()
        };
        match choice {
            VersionChoice::Any => usable.to_vec(),

            VersionChoice::Except(version) => of(&|other| other != version),

            VersionChoice::Prefer(version) => match of(&|other| other == version) {
                fitting if fitting.is_empty() => usable.to_vec(),
                fitting => fitting,
            },
        }
    }

    /// Tells whether an upstream has room for a request now.
    fn has_room(&self, ask: &Ask<'_>, member: &Member, now_ms: u64) -> bool {
        let occupancy = f64::from(member.in_flight()) / f64::from(member.record.slots);
        let occupancy_max = match ask.model {
            Some(_) => ENGINE_OCCUPANCY_MAX,
            None => PLAIN_OCCUPANCY_MAX,
        };
        let is_cold = now_ms < member.cold_until_ms && ask.pool.warmup_per_s > 0.0;
        let has_permit =
            || member.cold_bucket.has_permit(self.cold_share(ask.pool, member), now_ms);
        occupancy < occupancy_max && (!is_cold || has_permit())
    }

    fn cold_share(&self, pool: &UpstreamPool, member: &Member) -> ColdShare {
        let bound = self.bounds.cold(pool.warmup_per_s);
        let rank = permits::rank(self.node_hash, self.nodes.iter().copied(), member.hash);
        permits::share(&bound, rank, self.nodes.len())
    }

    /// Returns the engine at which requests with the same shared parts meet.
    fn meeting_point(&self, ask: &Ask<'_>, members: &[(MemberKey, &Member)]) -> Option<MemberKey> {
        let subject = ask.model.and(ask.prompt.subject())?;
        let draws = members.iter().map(|(key, member)| (*key, rendezvous(subject, member.hash)));
        draws.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(key, _)| key)
    }

    fn candidate(&self, ask: &Ask<'_>, member: &Member, meets: bool, now_ms: u64) -> Candidate {
        let occupancy = f64::from(member.in_flight()) / f64::from(member.record.slots);
        let is_remote = member.record.zone != self.zone;
        let Some(model) = ask.model else {
            let waiting = (occupancy - 1.0).max(0.0);
            let expected_ms = member.latency_ms * (1.0 + waiting);
            return Candidate {
                expected_ms,
                engine_ms: 0.0,
                read_share: 0.0,
                is_remote,
                occupancy,
            };
        };
        let tokens = member.uncached_tokens(model, ask.prompt, now_ms);
        let queue_ms = member.queue_ms(now_ms);
        let expected_ms = self.rates.first_event_ms(model, tokens, queue_ms);
        let shared_tokens = match meets {
            true => ask.prompt.shared_tokens().min(tokens),
            false => 0,
        };
        let read_tokens = f64::from(tokens) - SHARED_LIKELY * f64::from(shared_tokens);
        let cost = ask.pool.cost_per_ktoken(model) * read_tokens / READ_PER_GENERATED / 1_000.0;
        Candidate {
            expected_ms: expected_ms * member.slowness.max(1.0),
            engine_ms: self.rates.read_ms(model, read_tokens as u32),
            read_share: cost / ask.value.max(f64::MIN_POSITIVE),
            is_remote,
            occupancy,
        }
    }

    /// Returns the time until one of the upstreams is expected to have room, in milliseconds.
    fn room_in_ms(&self, members: &[(MemberKey, &Member)]) -> f64 {
        let times = members.iter().map(|(_, member)| {
            let excess = f64::from(member.in_flight()) / f64::from(member.record.slots);
            member.latency_ms * excess.max(1.0)
        });
        times.fold(f64::INFINITY, f64::min)
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
