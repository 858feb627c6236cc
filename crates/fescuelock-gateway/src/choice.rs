//! The choice of an upstream for a request, from what a node believes of them.

use fescuelock_policy::deployment::{Route, UpstreamPool};
use fescuelock_policy::health;
use fescuelock_policy::permits::{self, ColdShare};
use fescuelock_policy::placement::{self, Candidate, PlacementOptions, rendezvous};
use fescuelock_policy::prompt::Prompt;

use crate::fleet::Fleet;
use crate::member::{Member, MemberKey};
use crate::rollouts::VersionChoice;
/// Requests in flight over slots up to which a plain service's upstream is given more.
const PLAIN_OCCUPANCY_MAX: f64 = 3.0;

/// Requests in flight over slots up to which an engine is given more. Engines queue further
/// requests themselves, in the order of their ranks.
const ENGINE_OCCUPANCY_MAX: f64 = 1.25;

/// Likelihood that an engine holds the shared parts of a prompt because other nodes sent requests
/// with the same parts there. Half of the requests of a subject that comes up twice find them.
const SHARED_LIKELY: f64 = 0.5;

/// Tokens that are read for the price of one generated token.
const READ_PER_GENERATED: f64 = 4.0;

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

impl Fleet {
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
