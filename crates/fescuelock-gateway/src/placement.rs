//! Selects an upstream for a request, from the node's view of the fleet.

use fescuelock_policy::cold_start::{self, ColdStartRate};
use fescuelock_policy::crash_evidence::PromptVerdict;
use fescuelock_policy::deployment::{Route, UpstreamPool};
use fescuelock_policy::health;
use fescuelock_policy::leaving::Incarnation;
use fescuelock_policy::placement::{
    self, Candidate, PlacementOptions, PlainCandidate, PlainOptions, hash_name, hash_pair,
};
use fescuelock_policy::prefill_time::PrefillTimes;
use fescuelock_policy::prompt::Prompt;
use fescuelock_policy::request_cost::RequestCost;
use fescuelock_policy::rollout;
use fescuelock_policy::service_time::ServiceTime;
use fescuelock_policy::silence;
use fescuelock_policy::stated_limit;

use crate::fleet::Fleet;
use crate::pauses;
use crate::rollouts::VersionChoice;
use crate::upstream::{Upstream, UpstreamKey};

/// Ratio of requests in flight to slots below which a plain service's upstream gets more requests.
const PLAIN_OCCUPANCY_MAX: f64 = 3.0;

/// Ratio of requests in flight to slots below which an engine gets more requests. Engines queue the
/// requests beyond their slots themselves, ordered by priority.
const ENGINE_OCCUPANCY_MAX: f64 = 1.25;

/// Probability that an engine has the shared prefix of a prompt cached because other nodes sent
/// requests with the same prefix there. When a prefix occurs twice, one of the two requests finds
/// it cached.
const SHARED_PREFIX_HIT_PROBABILITY: f64 = 0.5;

/// Size of the body of a long prompt, in bytes: the mean of summaries of 12,000 tokens at one byte each.
/// The operators' cost of traffic between zones is that of such a request.
const LONG_BODY_BYTES: f64 = 12_000.0;

/// Price of an output token relative to an input token.
const OUTPUT_TO_INPUT_PRICE_RATIO: f64 = 4.0;

/// `PlacementRequest` describes a request that needs an upstream.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Route that matched the request.
    pub route: &'a Route,
    /// Service that was chosen for the request, with the settings of its pool.
    pub pool: &'a UpstreamPool,
    /// The model, if the request is a generation.
    pub model: Option<&'a str>,
    /// The prompt, if the request is a generation.
    pub prompt: &'a Prompt,
    /// Hash of the session, or of the request if it has none.
    pub session: u64,
    /// Regions that may process the request. Empty if there is no restriction.
    pub allowed_regions: &'a [String],
    /// Upstreams that were already tried.
    pub tried: &'a [UpstreamKey],
    /// Time remaining until the latency target, in milliseconds.
    pub target_left_ms: f64,
    /// Value of a good response, in the units of the cost.
    pub value: f64,
    /// Size of the request's body, in bytes.
    pub body_bytes: usize,
    /// Whether an engine ended while the request waited there for its first events.
    pub has_crashed: bool,
    /// Whether the request is the trial of a rejected prompt segment.
    pub is_trial: bool,
    /// Whether the request is under way at another upstream, which is silent. A silent upstream is
    /// no alternative then.
    pub is_hedge: bool,
    /// Whether only an estimate is needed and nothing is sent, so that no rate limit is used up.
    pub is_estimate: bool,
}

/// `ModelFigures` holds what is the same for a model at all engines.
#[derive(Debug, Clone, Copy)]
struct ModelFigures {
    /// Hash of the model's name.
    hash: u64,
    /// Prefill time per token, in milliseconds.
    ms_per_token: f64,
    /// Price of 1,000 generated tokens.
    cost_per_ktoken: f64,
}

/// `Placement` is the placement of a request: the selected upstream, and the values the selection
/// was based on.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Id of the upstream.
    pub id: String,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Software version of the upstream.
    pub version: String,
    /// Expected time until the answer or its first event, in milliseconds.
    pub expected_ms: f64,
    /// Expected time if the upstream's ratio of measured to expected time were 1, in milliseconds.
    pub nominal_ms: f64,
    /// Prefill time of the request, that is, engine time before its first event, in milliseconds.
    pub prefill_ms: f64,
    /// Queueing time at the upstream when it was selected, in milliseconds.
    pub queue_ms: f64,
    /// Number of prompt tokens that are not in the engine's prefix cache.
    pub uncached_tokens: u32,
    /// Predicted cost of the request at the upstream.
    pub cost: RequestCost,
    /// Whether the request is a plain call.
    pub is_plain: bool,
    /// Mean service time of a plain call at the service's upstreams, in milliseconds.
    pub pool_service_ms: f64,
    /// Number of other requests in flight at the upstream when it was selected: exact for this
    /// node, and the mean over some seconds for the others.
    pub ahead: f64,
    /// Whether the upstream counts as cold.
    pub is_cold: bool,
    /// Id of the upstream that would have been selected without this one, if there is one.
    pub runner_up: Option<String>,
    /// Number of upstreams that could have taken the request.
    pub candidates: usize,
    /// Number of upstreams that could not take the request because they pause.
    pub paused: usize,
    /// Age of the oldest peer report that the load is based on, in milliseconds.
    pub loads_age_ms: u64,
}

/// `PlacementError` is the reason why no upstream can take a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementError {
    /// No upstream of the service is eligible for the request.
    NoCandidate,
    /// All eligible upstreams are ejected or at their limits, of occupancy or of requests while
    /// cold. Holds the estimated time until one has capacity, in milliseconds. The estimate is
    /// based on occupancy alone.
    AtCapacity(f64),
    /// All eligible upstreams pause. Holds the time until the first of them takes requests again, in
    /// milliseconds.
    Paused(f64),
    /// A segment of the prompt crashes engines.
    PromptRejected {
        /// The rejected segment.
        segment: u64,
        /// Time until the next trial of the segment, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Fleet {
    /// Selects an upstream for a request.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if no upstream can take the request now.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        now_ms: u64,
    ) -> Result<Placement, PlacementError> {
        let verdict = match request.model {
            Some(_) => self.prompt_verdict(request.prompt, now_ms),
            None => PromptVerdict::Allowed,
        };
        // All nodes choose the same engine for the requests that may crash it.
        let careful_segment = match verdict {
            PromptVerdict::Rejected { segment, .. } if request.is_trial => Some(segment),

            PromptVerdict::Rejected { segment, retry_after_ms } => {
                return Err(PlacementError::PromptRejected { segment, retry_after_ms });
            }

            PromptVerdict::Careful { segment } => Some(segment),

            PromptVerdict::Allowed if request.has_crashed => request.prompt.affinity_id(),

            PromptVerdict::Allowed => None,
        };
        let eligible = self.eligible(request, now_ms);
        let version_choice = self.rollouts.choose(&request.pool.name, request.session);
        let matching_version = self.matching_version(request, &eligible, &version_choice, now_ms);
        if matching_version.is_empty() {
            return Err(PlacementError::NoCandidate);
        }
        if let Some(paused_ms) = pauses::first_return_ms(matching_version.iter().copied(), now_ms) {
            return Err(PlacementError::Paused(paused_ms));
        }
        let ejected =
            matching_version.iter().filter(|(_, upstream)| upstream.health.is_ejected(now_ms));
        let ignore_ejections =
            health::should_ignore_ejections(ejected.count(), matching_version.len());
        let silent =
            matching_version.iter().filter(|(_, upstream)| upstream.silence.is_silent()).count();
        let ignore_silence = silence::should_ignore_silence(silent, matching_version.len());
        let is_responsive = |upstream: &Upstream| match request.is_hedge {
            true => !upstream.silence.is_silent(),
            false => ignore_silence || upstream.silence.accepts(now_ms),
        };
        let mut candidates = Vec::with_capacity(matching_version.len());
        let mut keys = Vec::with_capacity(matching_version.len());
        let open: Vec<(UpstreamKey, &Upstream)> = matching_version
            .iter()
            .copied()
            .filter(|(_, upstream)| !upstream.pause.is_paused(now_ms))
            .collect();
        let model = request.model.map(|model| ModelFigures {
            hash: hash_name(model),
            ms_per_token: self.request_costs.prefill_times.ms_per_token(model),
            cost_per_ktoken: request.pool.cost_per_ktoken(model),
        });
        let affinity_engine = self.affinity_engine(request, &open);
        for &(key, upstream) in &matching_version {
            if upstream.health.is_ejected(now_ms) && !ignore_ejections {
                continue;
            }
            if is_responsive(upstream) && self.has_capacity(request, upstream, now_ms) {
                let has_affinity = affinity_engine == Some(key);
                candidates.push(self.candidate(request, &model, upstream, has_affinity, now_ms));
                keys.push(key);
            }
        }
        let cross_zone_cost_share = self.cross_zone_cost_share(request);
        let options = PlacementOptions { cross_zone_cost_share, ..PlacementOptions::default() };
        let pool_service_time = match request.model {
            Some(_) => ServiceTime::default(),
            None => self.pool_service_time(&keys, now_ms),
        };
        let mut runner_up = None;
        let chosen = match (careful_segment, request.model) {
            (Some(segment), _) => {
                let hashes = keys.iter().map(|key| self.upstreams[key].hash);
                placement::choose_by_hash(segment, hashes)
            }
            (None, Some(_)) => {
                let two =
                    placement::choose_cheapest_two(&candidates, request.target_left_ms, &options);
                runner_up = two.and_then(|(_, second)| second);
                two.map(|(first, _)| first)
            }
            (None, None) => {
                let two = self.choose_plain(request, &keys, pool_service_time, now_ms);
                runner_up = two.and_then(|(_, second)| second);
                two.map(|(first, _)| first)
            }
        };
        let Some(chosen) = chosen else {
            return Err(PlacementError::AtCapacity(
                self.time_to_capacity_ms(&matching_version, now_ms),
            ));
        };
        let candidate = candidates[chosen];
        let loads_age_ms = self.loads_age_ms(now_ms);
        let key = keys[chosen];
        let cold_rate = self.cold_start_rate(request.pool, &self.upstreams[&key]);
        let limit_rate_per_s = self.stated_limit_rate_per_s(&self.upstreams[&key]);
        let runner_up = runner_up.map(|index| self.upstreams[&keys[index]].record.id.clone());
        let (own_in_flight, peer_in_flight) = self.upstreams[&key].mean_in_flight();
        let (count, paused) = (candidates.len(), matching_version.len() - open.len());
        let upstream = self.upstreams.get_mut(&key).expect("candidates are known upstreams");
        let is_cold = now_ms < upstream.cold_until_ms && request.pool.warmup_per_s > 0.0;
        if is_cold && !request.is_estimate {
            upstream.cold_bucket.take_token(cold_rate, now_ms);
        }
        if !request.is_estimate {
            upstream.silence.record_send(now_ms);
            upstream.stated_limit.take_token(limit_rate_per_s, now_ms);
            upstream.pause.record_send(now_ms);
        }
        let uncached_tokens = match request.model {
            Some(model) => upstream.uncached_tokens(hash_name(model), request.prompt, now_ms),
            None => 0,
        };
        let cost = self.request_costs.predict(
            hash_name(&request.route.name),
            request.prompt,
            uncached_tokens,
            request.model.unwrap_or_default(),
        );
        Ok(Placement {
            key,
            id: upstream.record.id.clone(),
            incarnation: upstream.incarnation,
            version: upstream.record.version.clone(),
            expected_ms: candidate.expected_ms,
            nominal_ms: candidate.expected_ms / upstream.slowdown(now_ms),
            prefill_ms: candidate.engine_ms,
            queue_ms: upstream.queue_ms(now_ms),
            uncached_tokens,
            cost,
            is_plain: request.model.is_none(),
            pool_service_ms: pool_service_time.mean_ms,
            ahead: own_in_flight + peer_in_flight,
            is_cold,
            runner_up,
            candidates: count,
            paused,
            loads_age_ms,
        })
    }

    /// Returns the cost of a request's traffic to another zone, as a share of its value.
    fn cross_zone_cost_share(&self, request: &PlacementRequest<'_>) -> f64 {
        let length_share = (request.body_bytes as f64 / LONG_BODY_BYTES).min(1.0);
        self.scoring_weights.cross_zone_cost_share * length_share
    }

    /// Returns the mean distribution of the service times of some upstreams of a plain service.
    fn pool_service_time(&self, keys: &[UpstreamKey], now_ms: u64) -> ServiceTime {
        let default = ServiceTime::default();
        let times =
            keys.iter().map(|key| self.upstreams[key].service_times.estimate(default, now_ms));
        ServiceTime::of_service(times)
    }

    /// Draws an upstream for a plain call, given the mean service time of its pool. Returns it with the
    /// other upstream of the largest share.
    fn choose_plain(
        &self,
        request: &PlacementRequest<'_>,
        keys: &[UpstreamKey],
        pool: ServiceTime,
        now_ms: u64,
    ) -> Option<(usize, Option<usize>)> {
        let candidates: Vec<PlainCandidate> = keys
            .iter()
            .map(|key| {
                let upstream = &self.upstreams[key];
                let (own_in_flight, peer_in_flight) = upstream.mean_in_flight();
                PlainCandidate {
                    service_time: upstream.service_time(pool, now_ms),
                    slots: f64::from(upstream.record.slots),
                    own_in_flight,
                    peer_in_flight,
                    zone: hash_name(&upstream.record.zone),
                }
            })
            .collect();
        let options = PlainOptions {
            cross_zone_cost_share: self.cross_zone_cost_share(request),
            ..PlainOptions::default()
        };
        let shares = placement::split_plain(&candidates, request.target_left_ms, &options);
        // Each placement of a session draws anew, and nodes draw independently of each other.
        let draw = hash_pair(request.session, now_ms ^ self.node_hash);
        let chosen = placement::choose_plain(&candidates, &shares, hash_name(&self.zone), draw)?;
        let others = (0..shares.len()).filter(|index| *index != chosen);
        Some((chosen, others.max_by(|a, b| shares[*a].total_cmp(&shares[*b]))))
    }

    /// Returns the upstreams that may take a request, of any version and with or without capacity.
    pub(crate) fn eligible<'a>(
        &'a self,
        request: &PlacementRequest<'a>,
        now_ms: u64,
    ) -> Vec<(UpstreamKey, &'a Upstream)> {
        let ready = self.ready_upstreams(&request.pool.name, now_ms);
        let eligible = ready.filter(|(key, upstream)| {
            !request.tried.contains(key)
                && !self.evacuated.contains(&upstream.record.zone)
                && self.is_allowed_region(request.allowed_regions, &upstream.record.zone)
        });
        eligible.collect()
    }

    /// Returns whether a zone lies in one of the allowed regions.
    fn is_allowed_region(&self, allowed_regions: &[String], zone: &str) -> bool {
        allowed_regions.is_empty()
            || self.regions.get(zone).is_some_and(|region| allowed_regions.contains(region))
    }

    /// Filters the upstreams by the versions that the request may run on.
    fn matching_version<'a>(
        &self,
        request: &PlacementRequest<'_>,
        eligible: &[(UpstreamKey, &'a Upstream)],
        version_choice: &VersionChoice,
        now_ms: u64,
    ) -> Vec<(UpstreamKey, &'a Upstream)> {
        let matching = |accepts: &dyn Fn(&str) -> bool| -> Vec<(UpstreamKey, &'a Upstream)> {
            let matches = eligible.iter().filter(|(_, upstream)| accepts(&upstream.record.version));
            matches.copied().collect()
        };
        match version_choice {
            VersionChoice::Any => eligible.to_vec(),

            VersionChoice::Except(version) => matching(&|other| other != version),

            VersionChoice::Expose(version, share) => {
                let mut matches = matching(&|other| other == version);
                if matches.is_empty() {
                    return eligible.to_vec();
                }
                let old = eligible.len() - matches.len();
                let count = rollout::exposed_upstreams(*share, old, matches.len());
                // All nodes choose the same upstreams.
                let version_hash = hash_name(version);
                matches.sort_by(|(_, a), (_, b)| {
                    let scores = [a, b].map(|upstream| hash_pair(version_hash, upstream.hash));
                    scores[0].total_cmp(&scores[1])
                });
                let has_capacity = |(_, upstream): &(UpstreamKey, &Upstream)| {
                    !upstream.health.is_ejected(now_ms)
                        && self.has_capacity(request, upstream, now_ms)
                };
                if matches.iter().take(count).any(has_capacity) {
                    matches.truncate(count);
                }
                matches
            }

            VersionChoice::Prefer(version) => match matching(&|other| other == version) {
                matches if matches.is_empty() => eligible.to_vec(),
                matches => matches,
            },
        }
    }

    /// Returns whether an upstream has capacity for a request now.
    fn has_capacity(
        &self,
        request: &PlacementRequest<'_>,
        upstream: &Upstream,
        now_ms: u64,
    ) -> bool {
        let occupancy = f64::from(upstream.in_flight()) / f64::from(upstream.record.slots);
        let occupancy_max = match request.model {
            Some(_) => ENGINE_OCCUPANCY_MAX,
            None => PLAIN_OCCUPANCY_MAX,
        };
        let fits_memory = || {
            // A request that is larger than the engine's memory would be rejected there.
            upstream.free_memory_tokens().is_none_or(|free_tokens| {
                let route = hash_name(&request.route.name);
                let model = request.model.unwrap_or_default();
                let cost = self.request_costs.predict(route, request.prompt, 0, model);
                cost.memory_tokens <= free_tokens
            })
        };
        let is_cold = now_ms < upstream.cold_until_ms && request.pool.warmup_per_s > 0.0;
        let has_token =
            || upstream.cold_bucket.has_token(self.cold_start_rate(request.pool, upstream), now_ms);
        occupancy < occupancy_max
            && fits_memory()
            && (!is_cold || has_token())
            && self.stated_limit_wait_ms(upstream, now_ms) <= 0.0
            && upstream.pause.wait_ms(now_ms) == 0
    }

    /// Returns whether all upstreams that may take a request are cold, so that their rate limits hold it
    /// back rather than their load.
    pub(crate) fn are_all_cold(&self, request: &PlacementRequest<'_>, now_ms: u64) -> bool {
        let eligible = self.eligible(request, now_ms);
        request.pool.warmup_per_s > 0.0
            && !eligible.is_empty()
            && eligible.iter().all(|(_, upstream)| now_ms < upstream.cold_until_ms)
    }

    /// Returns this node's share of the rate limit that an upstream states, in requests per second.
    fn stated_limit_rate_per_s(&self, upstream: &Upstream) -> f64 {
        let Some(per_s) = upstream.stated_limit.per_s() else {
            return 0.0;
        };
        let rank =
            cold_start::node_rank(self.node_hash, self.node_hashes.iter().copied(), upstream.hash);
        stated_limit::node_rate_per_s(per_s, rank, self.node_hashes.len())
    }

    /// Returns the time until this node's share of an upstream's stated limit allows a request, in
    /// milliseconds.
    fn stated_limit_wait_ms(&self, upstream: &Upstream, now_ms: u64) -> f64 {
        match upstream.stated_limit.per_s() {
            Some(_) => {
                let rate_per_s = self.stated_limit_rate_per_s(upstream);
                upstream.stated_limit.wait_ms(rate_per_s, now_ms)
            }
            None => 0.0,
        }
    }

    /// Returns this node's share of the rate limit of a cold upstream.
    fn cold_start_rate(&self, pool: &UpstreamPool, upstream: &Upstream) -> ColdStartRate {
        let limit = self.bounds.cold_start_limit(pool.warmup_per_s);
        let rank =
            cold_start::node_rank(self.node_hash, self.node_hashes.iter().copied(), upstream.hash);
        cold_start::node_rate(&limit, rank, self.node_hashes.len())
    }

    /// Returns the engine that requests with the same shared prefix prefer on all nodes, by
    /// rendezvous hashing.
    fn affinity_engine(
        &self,
        request: &PlacementRequest<'_>,
        upstreams: &[(UpstreamKey, &Upstream)],
    ) -> Option<UpstreamKey> {
        let prefix_id = request.model.and(request.prompt.affinity_id())?;
        let hashes = upstreams.iter().map(|(_, upstream)| upstream.hash);
        placement::choose_by_hash(prefix_id, hashes).map(|index| upstreams[index].0)
    }

    /// Estimates the time and cost of a request at an upstream.
    fn candidate(
        &self,
        request: &PlacementRequest<'_>,
        model: &Option<ModelFigures>,
        upstream: &Upstream,
        has_affinity: bool,
        now_ms: u64,
    ) -> Candidate {
        let occupancy = f64::from(upstream.in_flight()) / f64::from(upstream.record.slots);
        let is_cross_zone = upstream.record.zone != self.zone;
        let Some(model) = model else {
            let (own_in_flight, peer_in_flight) = upstream.mean_in_flight();
            let service_time = upstream.service_time(ServiceTime::default(), now_ms);
            let slots = f64::from(upstream.record.slots);
            let expected_ms = service_time.response(own_in_flight + peer_in_flight, slots).mean_ms;
            return Candidate {
                expected_ms,
                engine_ms: 0.0,
                prefill_cost_share: 0.0,
                is_cross_zone,
                occupancy,
            };
        };
        let tokens = upstream.uncached_tokens(model.hash, request.prompt, now_ms);
        let queue_ms = upstream.queue_ms(now_ms);
        let expected_ms =
            PrefillTimes::first_event_ms(model.ms_per_token * f64::from(tokens), queue_ms);
        let shared_tokens = match has_affinity {
            true => request.prompt.shared_tokens().min(tokens),
            false => 0,
        };
        let expected_uncached_tokens =
            f64::from(tokens) - SHARED_PREFIX_HIT_PROBABILITY * f64::from(shared_tokens);
        let cost = model.cost_per_ktoken * expected_uncached_tokens
            / OUTPUT_TO_INPUT_PRICE_RATIO
            / 1_000.0;
        Candidate {
            expected_ms: expected_ms * upstream.slowdown(now_ms),
            engine_ms: model.ms_per_token * expected_uncached_tokens,
            prefill_cost_share: cost / request.value.max(f64::MIN_POSITIVE),
            is_cross_zone,
            occupancy,
        }
    }

    /// Estimates the time until one of the upstreams has capacity, in milliseconds, from latency,
    /// occupancy, stated limits and pauses. Rate limits of cold upstreams are not considered.
    fn time_to_capacity_ms(&self, upstreams: &[(UpstreamKey, &Upstream)], now_ms: u64) -> f64 {
        let times = upstreams.iter().map(|(_, upstream)| {
            let load_ratio = f64::from(upstream.in_flight()) / f64::from(upstream.record.slots);
            let free_in_ms = upstream.latency_ms * load_ratio.max(1.0);
            let paused_ms = match upstream.pause.is_paused(now_ms) {
                true => upstream.pause.wait_ms(now_ms) as f64,
                false => 0.0,
            };
            free_in_ms.max(paused_ms).max(self.stated_limit_wait_ms(upstream, now_ms))
        });
        times.fold(f64::INFINITY, f64::min)
    }
}
