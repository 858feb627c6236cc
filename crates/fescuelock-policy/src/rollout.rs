//! Progressive roll-out of a new version of a service, and its rollback.
//!
//! Handles bad versions that fail from the start, late, under load or on one route, or that answer
//! slowly. Sessions must not move in the first half of a roll-out's duration, and any request may
//! belong to a session that another node serves, so the new version gets requests only after that.
//! Its share grows in stages. The last stage starts so late that even a version whose fault does
//! not show stays within the limit on exposure. The pooled counts of all nodes feed a sequential
//! test that is valid no matter how often it is evaluated.
//!
//! Until the last stage, the new version's requests go to so few of its upstreams that each has
//! about the load of an upstream of the old version. Spread over all of them, a version that is
//! several times slower looks as fast as the old one, since idle upstreams answer faster.

use std::collections::BTreeMap;

/// `ExposureLimit` limits the requests that all nodes together send to an unproven version,
/// relative to all requests of the service during the roll-out.
#[derive(Debug, Clone, Copy)]
pub struct ExposureLimit {
    /// Share of the service's requests.
    pub share: f64,
    /// Requests beyond the share.
    pub slack: f64,
}

/// `Stage` is the stage of a roll-out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// All sessions stay on the old version.
    #[default]
    Pending,
    /// A few sessions run on the new version.
    Canary,
    /// A quarter of the sessions run on the new version, to expose faults that appear under load.
    Ramp,
    /// All sessions run on the new version.
    Full,
}

/// `RolloutProgress` is the state of a roll-out at one evaluation.
#[derive(Debug, Clone, Copy)]
pub struct RolloutProgress {
    /// Elapsed share of the roll-out's duration. 1 is its end.
    pub elapsed: f64,
    /// Failures and latency samples of the new version. One answer may give several latency
    /// samples.
    pub observations: u32,
    /// Requests that were sent to the new version.
    pub new_requests: u32,
    /// Requests that were sent to either version since the start of the roll-out.
    pub all_requests: u32,
    /// Highest test score against the new version.
    pub score: f64,
}

/// Share of the duration after which sessions may move, slightly over one half.
const CANARY_FROM: f64 = 0.52;

/// Share of the duration after which [`Stage::Ramp`] may begin.
const RAMP_FROM: f64 = 0.72;

/// Fewest observations of the new version to enter [`Stage::Ramp`].
const RAMP_OBSERVATIONS_MIN: u32 = 10;

/// Share of the duration after which [`Stage::Full`] may begin.
const FULL_FROM: f64 = 0.8;

/// Fewest observations of the new version to enter [`Stage::Full`].
const FULL_OBSERVATIONS_MIN: u32 = 20;

/// Longest delay of a stage for lack of observations at low traffic, as a share of the duration.
/// With so few requests, few callers are exposed to the new version.
const STAGE_DELAY_MAX: f64 = 0.06;

/// Factor over the mean traffic that is forecast for the remaining duration, to allow for a burst.
const FORECAST_TRAFFIC_FACTOR: f64 = 1.3;

/// Fraction of [`ExposureLimit::slack`] that is used. The rest covers requests that the counts of
/// other nodes, some hundred milliseconds old, do not include yet.
const EXPOSURE_SLACK_MARGIN_FACTOR: f64 = 0.4;

/// Fraction of [`ExposureLimit::share`] that is used. The rest is a safety margin.
const EXPOSURE_SHARE_MARGIN_FACTOR: f64 = 0.93;

/// Share of the duration after which a version that takes all requests may be declared complete.
///
/// Leaves time for the answers of old upstreams to end and for a slow store to accept the write.
const COMPLETE_FROM: f64 = 0.945;

/// Fewest observations of a new version to declare it complete.
const COMPLETE_OBSERVATIONS_MIN: u32 = 10;

/// Fewest observations per request to the new version to declare it complete.
///
/// Answers of a slow version are observed late. Most answers of a good version have been observed
/// at any time: by the time to the first event, and many again by the time between events.
const COMPLETE_OBSERVATIONS_PER_REQUEST_MIN: f64 = 0.6;

impl Stage {
    /// Returns the share of sessions that the new version takes. It never decreases from one stage
    /// to the next, so that a session never moves back.
    pub fn share(self) -> f64 {
        match self {
            Stage::Pending => 0.0,
            Stage::Canary => 0.08,
            Stage::Ramp => 0.25,
            Stage::Full => 1.0,
        }
    }

    /// Returns the latest stage that elapsed time, observations and the exposure limit permit. It
    /// may be earlier than a stage that was permitted before; the caller keeps the later one.
    pub fn permitted(progress: &RolloutProgress, limit: &ExposureLimit) -> Stage {
        let has_evidence = |from: f64, observations_min: u32| {
            let has_low_traffic = progress.new_requests < 2 * observations_min
                && progress.elapsed >= from + STAGE_DELAY_MAX;
            progress.elapsed >= from
                && (progress.observations >= observations_min || has_low_traffic)
        };
        let reaches_full = has_evidence(FULL_FROM, FULL_OBSERVATIONS_MIN)
            && fits_exposure_limit(progress, limit)
            && progress.score < SCORE_INCONCLUSIVE;
        match progress.elapsed {
            elapsed if elapsed < CANARY_FROM => Stage::Pending,
            _ if reaches_full => Stage::Full,
            _ if has_evidence(RAMP_FROM, RAMP_OBSERVATIONS_MIN) => Stage::Ramp,
            _ => Stage::Canary,
        }
    }
}

/// Returns the number of the new version's upstreams that get requests while the version takes a
/// share of the sessions, beside `old_upstreams` upstreams of the old version.
pub fn exposed_upstreams(share: f64, old_upstreams: usize, new_upstreams: usize) -> usize {
    if share >= 1.0 {
        return new_upstreams;
    }
    let for_equal_load = share / (1.0 - share) * old_upstreams as f64;
    (for_equal_load.ceil() as usize).clamp(1, new_upstreams.max(1))
}

/// Returns whether the exposure limit would hold if the version took all requests from now on and
/// its fault never showed.
fn fits_exposure_limit(progress: &RolloutProgress, limit: &ExposureLimit) -> bool {
    let all = f64::from(progress.all_requests);
    let requests_per_duration = all / progress.elapsed.max(f64::MIN_POSITIVE);
    let remaining_requests =
        FORECAST_TRAFFIC_FACTOR * requests_per_duration * (1.0 - progress.elapsed).max(0.0);
    let new = f64::from(progress.new_requests) + remaining_requests;
    new <= EXPOSURE_SHARE_MARGIN_FACTOR * limit.share * (all + remaining_requests)
        + EXPOSURE_SLACK_MARGIN_FACTOR * limit.slack
}

/// Returns whether a version that takes all sessions may be declared complete: late enough, with
/// enough observations and with a score below `SCORE_INCONCLUSIVE`.
pub fn may_complete(progress: &RolloutProgress) -> bool {
    progress.elapsed >= COMPLETE_FROM
        && progress.observations >= COMPLETE_OBSERVATIONS_MIN
        && f64::from(progress.observations)
            >= COMPLETE_OBSERVATIONS_PER_REQUEST_MIN * f64::from(progress.new_requests)
        && progress.score < SCORE_INCONCLUSIVE
}

/// `Counts` holds the observed answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were sent to the version.
    pub sends: u32,
    /// Answers that have begun, including failures.
    pub answers: u32,
    /// Answers that failed.
    pub failures: u32,
    /// Latency samples.
    pub latency_samples: u32,
    /// Sum of the natural logarithms of the latency ratios, in hundredths. A ratio is the latency
    /// of an answer divided by the baseline of the same route and model. `LOG_LATENCY_RATIO_MIN`
    /// is subtracted from each logarithm, so that the sum only grows.
    pub log_latency_ratios: u32,
    /// Latency samples of which the ratio is at least that of slow samples of their kind.
    pub slow_samples: u32,
}

/// `SampleKind` is the kind of a latency sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SampleKind {
    /// Time to the response, or to the first event of a stream.
    Response,
    /// Shortest interval between the events of a stream.
    Interval,
}

/// Number of bits by which the hash of a route is rotated for the tally of its intervals.
const INTERVAL_HASH_ROTATION: u32 = 29;

impl SampleKind {
    /// Returns the latency ratio from which a sample counts as slow. Bad versions are several times
    /// slower on a part of their answers, which a mean over all answers may hide.
    ///
    /// Streams share the steps of an engine, so that a version that is slow on a part of its answers
    /// slows all of them, less than twice. Intervals vary less than the time to a response.
    fn slow_ratio(self) -> f64 {
        match self {
            SampleKind::Response => 2.0,
            SampleKind::Interval => 1.5,
        }
    }

    /// Returns the key of the tally that counts samples of a route. Kinds of unlike noise are
    /// compared apart.
    pub fn tally_key(self, route: u64) -> u64 {
        match self {
            SampleKind::Response => route,
            SampleKind::Interval => route.rotate_left(INTERVAL_HASH_ROTATION),
        }
    }
}

/// Lower limit of the logarithm of a latency ratio; the upper limit is its negative. Ratios below
/// 1/20 or above 20 add no information.
const LOG_LATENCY_RATIO_MIN: f64 = -3.0;

/// Units of [`Counts::log_latency_ratios`] per unit of a logarithm.
const LOG_LATENCY_RATIO_SCALE: f64 = 100.0;

impl Counts {
    /// Adds a latency sample, relative to the baseline of the same route and model.
    pub fn add_latency_ratio(&mut self, kind: SampleKind, ratio: f64) {
        let log_latency_ratio =
            ratio.max(f64::MIN_POSITIVE).ln().clamp(LOG_LATENCY_RATIO_MIN, -LOG_LATENCY_RATIO_MIN);
        self.latency_samples += 1;
        self.slow_samples += u32::from(ratio >= kind.slow_ratio());
        self.log_latency_ratios +=
            ((log_latency_ratio - LOG_LATENCY_RATIO_MIN) * LOG_LATENCY_RATIO_SCALE).round() as u32;
    }

    /// Returns the sum of the logarithms of the latency ratios.
    fn log_latency_ratio_sum(self) -> f64 {
        f64::from(self.log_latency_ratios) / LOG_LATENCY_RATIO_SCALE
            + LOG_LATENCY_RATIO_MIN * f64::from(self.latency_samples)
    }

    /// Combines two counts field by field.
    fn combine(self, other: Counts, with: impl Fn(u32, u32) -> u32) -> Counts {
        Counts {
            sends: with(self.sends, other.sends),
            answers: with(self.answers, other.answers),
            failures: with(self.failures, other.failures),
            latency_samples: with(self.latency_samples, other.latency_samples),
            log_latency_ratios: with(self.log_latency_ratios, other.log_latency_ratios),
            slow_samples: with(self.slow_samples, other.slow_samples),
        }
    }

    /// Returns `part` as a share of `all` answers. The denominator is at least
    /// [`BASELINE_ANSWERS_MIN`].
    fn share_of(part: u32, all: u32) -> f64 {
        f64::from(part) / f64::from(all.max(part).max(BASELINE_ANSWERS_MIN))
    }
}

/// Smallest denominator of the failure share and of the mean log latency ratio of the old version.
const BASELINE_ANSWERS_MIN: u32 = 20;

/// Weight of a sample in a baseline after many samples, as the relative size of a step.
const BASELINE_STEP_MIN: f64 = 0.05;

/// Lower bound on latency samples, in the sample's unit.
const SAMPLE_MIN: f64 = 0.5;

/// `LatencyBaseline` is the running median of latency samples. Unlike a mean, it does not depend on how
/// long the delayed ones of them take.
#[derive(Debug, Clone, Copy)]
pub struct LatencyBaseline {
    log_median: f64,
    samples: u32,
}

impl LatencyBaseline {
    /// Builds a baseline from its first sample.
    pub fn new(sample: f64) -> Self {
        LatencyBaseline { log_median: sample.max(SAMPLE_MIN).ln(), samples: 1 }
    }

    /// Returns a sample relative to the median.
    pub fn ratio(self, sample: f64) -> f64 {
        sample.max(SAMPLE_MIN) / self.log_median.exp()
    }

    /// Moves the median towards a sample, by smaller steps the more samples it is based on.
    pub fn observe(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let step = (1.0 / f64::from(self.samples)).max(BASELINE_STEP_MIN);
        self.log_median += self.ratio(sample).ln().clamp(-step, step);
    }
}

/// Number of events over which the interval between the events of a stream is measured: enough that a
/// few delays do not decide it, and few enough to detect a slow version within seconds.
const INTERVAL_EVENTS: u64 = 6;

/// Fewest intervals of a stream that are measured.
const INTERVALS_MIN: u64 = 3;

/// `EventIntervals` measures the shortest interval between the first events of a stream.
///
/// An interval is the time of a step of the model plus the prefills of other requests and the silences
/// of the upstream. Of a few intervals the shortest seldom holds any of these, while a slow version
/// makes all of them longer.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventIntervals {
    events: u64,
    last_event_ms: f64,
    intervals: u64,
    shortest_ms: f64,
    is_recorded: bool,
}

impl EventIntervals {
    /// Adds events that have come together, `now_ms` milliseconds after any fixed time.
    ///
    /// Returns the shortest interval in milliseconds, once, after enough events.
    pub fn record(&mut self, events: u64, now_ms: f64) -> Option<f64> {
        if events == 0 || self.is_recorded {
            return None;
        }
        // The first events come with the head of the response, so nothing is known of the time that
        // they took. Events that come together share the time since the one before.
        if self.events > 0 {
            let interval_ms = (now_ms - self.last_event_ms) / events as f64;
            self.shortest_ms = match self.intervals {
                0 => interval_ms,
                _ => self.shortest_ms.min(interval_ms),
            };
            self.intervals += events;
        }
        self.events += events;
        self.last_event_ms = now_ms;
        if self.events > INTERVAL_EVENTS { self.finish() } else { None }
    }

    /// Returns the shortest interval of a stream that ends, in milliseconds, unless it has been
    /// returned before or the stream is too short.
    pub fn finish(&mut self) -> Option<f64> {
        let is_measured = !self.is_recorded && self.intervals >= INTERVALS_MIN;
        self.is_recorded |= is_measured;
        is_measured.then_some(self.shortest_ms)
    }
}

/// `Tally` holds the counts of the old and the new version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Counts of the new version.
    pub new: Counts,
    /// Counts of the old version.
    pub old: Counts,
}

impl Tally {
    /// Returns the sum of two tallies.
    pub fn plus(self, other: Tally) -> Tally {
        self.combine(other, |a, b| a + b)
    }

    /// Returns the later of two states of the same tally. Counts only grow.
    pub fn latest(self, other: Tally) -> Tally {
        self.combine(other, u32::max)
    }

    /// Returns the difference to an earlier state of the same tally.
    fn since(self, earlier: Tally) -> Tally {
        self.combine(earlier, u32::saturating_sub)
    }

    fn combine(self, other: Tally, with: impl Fn(u32, u32) -> u32 + Copy) -> Tally {
        Tally { new: self.new.combine(other.new, with), old: self.old.combine(other.old, with) }
    }
}

/// `ShareHypothesis` is the share of failed or slow answers that a test detects.
#[derive(Debug, Clone, Copy)]
struct ShareHypothesis {
    /// Lowest share that is assumed for a good version.
    baseline_min: f64,
    /// Excess over the share of a good version at which a version is bad.
    excess: f64,
}

/// A bad version fails a large part of its requests; a good one may run on a failing upstream.
const FAILURE_HYPOTHESIS: ShareHypothesis = ShareHypothesis { baseline_min: 0.03, excess: 0.15 };

/// A bad version answers a large part of its requests several times slower. Long prompts of other
/// requests delay some answers of a good one.
const SLOW_SHARE_HYPOTHESIS: ShareHypothesis = ShareHypothesis { baseline_min: 0.1, excess: 0.25 };

/// Largest share of slow samples of the old version that is used as the baseline of a new version.
const OLD_SLOW_SHARE_MAX: f64 = 0.5;

/// Logarithm of the slowdown that the test detects, a factor of three. Bad versions are several
/// times slower.
const SLOWDOWN_LOG_THRESHOLD: f64 = 1.1;

/// Largest mean logarithm of the old version's latency ratios that is used as the baseline of a new
/// version.
const OLD_LOG_LATENCY_RATIO_MAX: f64 = 0.3;

/// Assumed standard deviation of the logarithm of a latency ratio. Prefills of long prompts of
/// other requests double the latency of many streams.
const LOG_LATENCY_RATIO_STDDEV: f64 = 1.1;

/// Correlation of the latency samples of one upstream. Upstreams differ in speed, and one that stalls
/// or prefills long prompts delays all of its streams.
const UPSTREAM_CORRELATION: f64 = 0.05;

/// Score from which a version neither takes all sessions nor is declared complete: with few
/// answers, a bad version may not have reached [`SCORE_BAD`].
const SCORE_INCONCLUSIVE: f64 = 3.5;

/// Score from which a version is bad. A score is a cumulative log-likelihood ratio of a bad to a
/// good version, and at least 0.
///
/// With some hundreds of answers and a dozen tests per roll-out, about one roll-out in a hundred
/// raises a false alarm.
const SCORE_BAD: f64 = 9.0;

/// `CusumTest` is a cumulative-sum test of one kind of fault on one route.
#[derive(Debug, Clone, Copy, Default)]
struct CusumTest {
    score: f64,
}

impl CusumTest {
    /// Adds answers, some of them failed or slow, and compares their share with that of the old
    /// version.
    fn add_share(
        &mut self,
        hypothesis: ShareHypothesis,
        answers: u32,
        counted: u32,
        old_share: f64,
        weight: f64,
    ) {
        let good = old_share.max(hypothesis.baseline_min);
        let bad = (good + hypothesis.excess).min(0.99);
        let per_counted = (bad / good).ln();
        let per_other = ((1.0 - bad) / (1.0 - good)).ln();
        let others = f64::from(answers.saturating_sub(counted));
        let added = f64::from(counted) * per_counted + others * per_other;
        // The sum is clamped at 0, so that a version that turns bad late is detected as quickly.
        self.score = (self.score + weight * added).max(0.0);
    }

    /// Adds latency samples by the sum of the logarithms of their ratios, and compares them with
    /// the mean logarithm of the old version.
    fn add_latency_ratios(
        &mut self,
        samples: u32,
        log_latency_ratio_sum: f64,
        old_mean: f64,
        weight: f64,
    ) {
        let per_excess =
            SLOWDOWN_LOG_THRESHOLD / (LOG_LATENCY_RATIO_STDDEV * LOG_LATENCY_RATIO_STDDEV);
        let excess =
            log_latency_ratio_sum - f64::from(samples) * (old_mean + SLOWDOWN_LOG_THRESHOLD / 2.0);
        self.score = (self.score + weight * per_excess * excess).max(0.0);
    }

    fn is_bad(self) -> bool {
        self.score >= SCORE_BAD
    }
}

/// `Evidence` tests a new version by the pooled counts of all nodes.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    tallies: BTreeMap<u64, Tally>,
    failures: BTreeMap<u64, CusumTest>,
    latency: BTreeMap<u64, CusumTest>,
    pooled_failures: CusumTest,
    pooled_slow_share: CusumTest,
}

impl Evidence {
    /// Updates the pooled counts of a route. Counts only grow. `upstreams` is the number of the
    /// version's upstreams that get requests.
    pub fn update(&mut self, route: u64, tally: Tally, upstreams: usize) {
        let weight = self.latency_weight(upstreams);
        let earlier = self.tallies.insert(route, tally).unwrap_or_default();
        let added = tally.since(earlier);
        let old_failure_share = Counts::share_of(tally.old.failures, tally.old.answers);
        let route_failures = self.failures.entry(route).or_default();
        route_failures.add_share(
            FAILURE_HYPOTHESIS,
            added.new.answers,
            added.new.failures,
            old_failure_share,
            1.0,
        );
        self.pooled_failures.add_share(
            FAILURE_HYPOTHESIS,
            added.new.answers,
            added.new.failures,
            old_failure_share,
            1.0,
        );
        let old_slow_share = Counts::share_of(tally.old.slow_samples, tally.old.latency_samples);
        self.pooled_slow_share.add_share(
            SLOW_SHARE_HYPOTHESIS,
            added.new.latency_samples,
            added.new.slow_samples,
            old_slow_share.min(OLD_SLOW_SHARE_MAX),
            weight,
        );
        let old_samples = f64::from(tally.old.latency_samples.max(BASELINE_ANSWERS_MIN));
        // Slow upstreams of the old version must not hide a slow new version.
        let old_mean =
            (tally.old.log_latency_ratio_sum() / old_samples).min(OLD_LOG_LATENCY_RATIO_MAX);
        let route_latency = self.latency.entry(route).or_default();
        route_latency.add_latency_ratios(
            added.new.latency_samples,
            added.new.log_latency_ratio_sum(),
            old_mean,
            weight,
        );
    }

    /// Returns the weight of a latency sample relative to an independent one, by the number of
    /// samples per upstream.
    fn latency_weight(&self, upstreams: usize) -> f64 {
        let samples = self.tallies.values().map(|tally| tally.new.latency_samples).sum::<u32>();
        let per_upstream = f64::from(samples) / upstreams.max(1) as f64;
        1.0 / (1.0 + UPSTREAM_CORRELATION * (per_upstream - 1.0).max(0.0))
    }

    /// Returns whether the evidence shows that the version is bad.
    pub fn is_bad(&self) -> bool {
        self.failures.values().chain(self.latency.values()).any(|test| test.is_bad())
            || self.pooled_failures.is_bad()
            || self.pooled_slow_share.is_bad()
    }

    /// Returns the state of the roll-out after the share `elapsed` of its duration.
    pub fn progress(&self, elapsed: f64) -> RolloutProgress {
        let sum = self.tallies.values().copied().fold(Tally::default(), Tally::plus);
        RolloutProgress {
            elapsed,
            observations: sum.new.latency_samples + sum.new.failures,
            new_requests: sum.new.sends,
            all_requests: sum.new.sends + sum.old.sends,
            score: self.score(),
        }
    }

    /// Returns the highest score of any test.
    pub fn score(&self) -> f64 {
        let tests = self.failures.values().chain(self.latency.values());
        let pooled = self.pooled_failures.score.max(self.pooled_slow_share.score);
        tests.map(|test| test.score).fold(pooled, f64::max)
    }
}
