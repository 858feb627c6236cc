//! How a new version of a service is brought in, and when it is taken back.
//!
//! Answers bad versions of every kind: those that fail from the start, late, under load, on one
//! route, or answer slowly. Sessions may not move in the first half of the time given, and any
//! request may belong to a session that another node serves, so the version takes requests only
//! then. Its share grows by stages, the last of them so late that even a version whose fault does
//! not show stays within the bound on exposure, and all evidence of the fleet is judged by a
//! sequential test that is valid at any look.

use std::collections::BTreeMap;

/// `ExposureBound` is what a version that may be bad may get of its service's requests between the
/// order and the end of its time.
#[derive(Debug, Clone, Copy)]
pub struct ExposureBound {
    /// Share of the requests.
    pub share: f64,
    /// Requests beyond the share.
    pub slack: f64,
}

/// `Stage` is how far a roll-out has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// All sessions stay on the old version.
    #[default]
    Waiting,
    /// A few sessions try the new version.
    Trial,
    /// More sessions try it, so that it meets some load.
    Load,
    /// All sessions run on it.
    Takeover,
}

/// `RolloutProgress` is what is known of a roll-out at one look.
#[derive(Debug, Clone, Copy)]
pub struct RolloutProgress {
    /// Part of the time given that has passed.
    pub elapsed: f64,
    /// Answers of the new version that were judged in full.
    pub judged: u32,
    /// Requests that were sent to the new version.
    pub new_requests: u32,
    /// Requests that were sent to either version since the order.
    pub all_requests: u32,
    /// Highest score of the evidence against the version.
    pub score: f64,
}

/// Part of the time after which sessions may move, a little past its half.
const CANARY_FROM: f64 = 0.52;

/// Part of the time from which the version may meet some load.
const RAMP_FROM: f64 = 0.72;

/// Judged answers of the trial that are waited for before that.
const RAMP_ANSWERS_MIN: u32 = 10;

/// Part of the time from which the version may take over.
const FULL_FROM: f64 = 0.8;

/// Judged answers that are waited for before that.
const FULL_ANSWERS_MIN: u32 = 20;

/// Part of the time by which answers are waited for at the most. Where so few come, few callers meet
/// the version.
const STAGE_DELAY_MAX: f64 = 0.06;

/// Factor of the usual traffic that is expected in the rest of the time: a burst may come.
const FORECAST_TRAFFIC_FACTOR: f64 = 1.3;

/// Part of the exposure bound's slack that is used. Counts of other nodes are some hundred
/// milliseconds old.
const EXPOSURE_SLACK_USED: f64 = 0.4;

/// Part of the exposure bound's share that is used.
const EXPOSURE_SHARE_USED: f64 = 0.93;

/// Part of the time from which a version that takes all requests may be declared complete.
///
/// It leaves time for answers of old upstreams to end, and for a slow store to take the write.
const COMPLETE_FROM: f64 = 0.945;

/// Judged answers of a new version without which it is not declared complete.
const COMPLETE_ANSWERS_MIN: u32 = 10;

/// Share of the requests sent to a new version that must have been judged before it is declared
/// complete.
///
/// Those of a slow version are not judged for long. Of a good one's most are at any time: by the time
/// to the first event, and many once more by the pace of their events.
const COMPLETE_JUDGED_SHARE_MIN: f64 = 0.6;

impl Stage {
    /// Returns the share of sessions that the new version takes. It never falls from one stage to
    /// the next, so that a session never moves back.
    pub fn share(self) -> f64 {
        match self {
            Stage::Waiting => 0.0,
            Stage::Trial => 0.08,
            Stage::Load => 0.25,
            Stage::Takeover => 1.0,
        }
    }

    /// Returns the stage that a roll-out has reached.
    pub fn reached(situation: &RolloutProgress, bound: &ExposureBound) -> Stage {
        let has_evidence = |from: f64, answers_min: u32| {
            let has_low_traffic = situation.new_requests < 2 * answers_min
                && situation.elapsed >= from + STAGE_DELAY_MAX;
            situation.elapsed >= from && (situation.judged >= answers_min || has_low_traffic)
        };
        let reaches_full = has_evidence(FULL_FROM, FULL_ANSWERS_MIN)
            && fits_exposure_bound(situation, bound)
            && situation.score < SCORE_INCONCLUSIVE;
        match situation.elapsed {
            elapsed if elapsed < CANARY_FROM => Stage::Waiting,
            _ if reaches_full => Stage::Takeover,
            _ if has_evidence(RAMP_FROM, RAMP_ANSWERS_MIN) => Stage::Load,
            _ => Stage::Trial,
        }
    }
}

/// Tells whether the bound on exposure would hold if the version took all requests from now on and
/// were bad without showing it.
fn fits_exposure_bound(situation: &RolloutProgress, bound: &ExposureBound) -> bool {
    let all = f64::from(situation.all_requests);
    let requests_per_duration = all / situation.elapsed.max(f64::MIN_POSITIVE);
    let remaining_requests =
        FORECAST_TRAFFIC_FACTOR * requests_per_duration * (1.0 - situation.elapsed).max(0.0);
    let new = f64::from(situation.new_requests) + remaining_requests;
    new <= EXPOSURE_SHARE_USED * bound.share * (all + remaining_requests)
        + EXPOSURE_SLACK_USED * bound.slack
}

/// Tells whether a version that has taken over without evidence against it may be declared
/// complete.
pub fn may_complete(situation: &RolloutProgress) -> bool {
    situation.elapsed >= COMPLETE_FROM
        && situation.judged >= COMPLETE_ANSWERS_MIN
        && f64::from(situation.judged)
            >= COMPLETE_JUDGED_SHARE_MIN * f64::from(situation.new_requests)
        && situation.score < SCORE_INCONCLUSIVE
}

/// `Counts` is what was seen of the answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were sent to the version.
    pub sends: u32,
    /// Answers that have begun, failures among them.
    pub answers: u32,
    /// Answers that failed.
    pub failures: u32,
    /// Answers whose pace is known.
    pub paced: u32,
    /// Sum of the logarithms of their paces over the usual one, in hundredths. Each is counted from
    /// [`LOG_LATENCY_RATIO_MIN`], so that the sum only grows.
    pub log_paces: u32,
}

/// Bound on the logarithm of a pace over the usual one. A twentieth and twenty times of it say as
/// much as anything beyond.
const LOG_LATENCY_RATIO_MIN: f64 = -3.0;

/// Counts of [`Counts::log_paces`] for one unit of a logarithm.
const LOG_LATENCY_RATIO_SCALE: f64 = 100.0;

impl Counts {
    /// Counts an answer's pace, as a multiple of the usual one.
    pub fn add_pace(&mut self, ratio: f64) {
        let log_latency_ratio =
            ratio.max(f64::MIN_POSITIVE).ln().clamp(LOG_LATENCY_RATIO_MIN, -LOG_LATENCY_RATIO_MIN);
        self.paced += 1;
        self.log_paces +=
            ((log_latency_ratio - LOG_LATENCY_RATIO_MIN) * LOG_LATENCY_RATIO_SCALE).round() as u32;
    }

    /// Returns the sum of the logarithms of the paces.
    fn log_latency_ratio_sum(self) -> f64 {
        f64::from(self.log_paces) / LOG_LATENCY_RATIO_SCALE
            + LOG_LATENCY_RATIO_MIN * f64::from(self.paced)
    }

    /// Combines two counts number by number.
    fn combine(self, other: Counts, with: impl Fn(u32, u32) -> u32) -> Counts {
        Counts {
            sends: with(self.sends, other.sends),
            answers: with(self.answers, other.answers),
            failures: with(self.failures, other.failures),
            paced: with(self.paced, other.paced),
            log_paces: with(self.log_paces, other.log_paces),
        }
    }

    /// Returns the share of suspect ones among all, taken as of some answers at least.
    fn failure_share(failed: u32, all: u32) -> f64 {
        f64::from(failed) / f64::from(all.max(failed).max(BASELINE_ANSWERS_MIN))
    }
}

/// Answers below which shares of the old version are taken as of this many.
const BASELINE_ANSWERS_MIN: u32 = 20;

/// `Tally` holds the counts of the old and the new version on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Counts of the new version.
    pub new: Counts,
    /// Counts of the old version.
    pub old: Counts,
}

impl Tally {
    /// Returns the sum of two counts.
    pub fn plus(self, other: Tally) -> Tally {
        self.combine(other, |a, b| a + b)
    }

    /// Returns the later of two states of the same counts. Counts only grow.
    pub fn latest(self, other: Tally) -> Tally {
        self.combine(other, u32::max)
    }

    /// Returns what was counted since an earlier state of the same counts.
    fn since(self, earlier: Tally) -> Tally {
        self.combine(earlier, u32::saturating_sub)
    }

    fn combine(self, other: Tally, with: impl Fn(u32, u32) -> u32 + Copy) -> Tally {
        Tally { new: self.new.combine(other.new, with), old: self.old.combine(other.old, with) }
    }
}

/// `FailureHypothesis` is a share of failures that a test is made to find.
#[derive(Debug, Clone, Copy)]
struct FailureHypothesis {
    /// Least share of such answers that a good version is granted.
    baseline_min: f64,
    /// Share above that of the old version from which a version is bad.
    excess: f64,
}

/// A bad version fails a good part of its requests; a good one may meet a failing upstream.
const FAILURE_HYPOTHESIS: FailureHypothesis =
    FailureHypothesis { baseline_min: 0.03, excess: 0.15 };

/// Logarithm of the factor by which a version is slower that the test is made to find: three times.
/// Bad versions are several times slower.
const SLOW_LOG_FACTOR: f64 = 1.1;

/// Largest mean logarithm of the old version's paces that a new version is excused by.
const OLD_LOG_LATENCY_RATIO_MAX: f64 = 0.3;

/// Standard deviation of the logarithm of a pace. Long prompts of others double the pace of many
/// streams.
const LOG_LATENCY_RATIO_STDDEV: f64 = 1.1;

/// Score from which a version neither takes over nor is declared complete: with few answers, a bad
/// one may not have reached the score that proves it.
const SCORE_INCONCLUSIVE: f64 = 3.5;

/// Score from which a version is judged bad: the logarithm of the odds against a false alarm.
///
/// Some hundreds of answers and a dozen tests in a roll-out leave a false alarm in about a hundred
/// roll-outs.
const SCORE_BAD: f64 = 9.0;

/// `CusumTest` is a cumulative-sum test of one kind of failure on one route.
#[derive(Debug, Clone, Copy, Default)]
struct CusumTest {
    score: f64,
}

impl CusumTest {
    /// Adds answers, of which some are suspect, and compares with the share of the old version.
    fn add_failures(
        &mut self,
        hypothesis: FailureHypothesis,
        answers: u32,
        failed: u32,
        old_failure_share: f64,
    ) {
        let good = old_failure_share.max(hypothesis.baseline_min);
        let bad = (good + hypothesis.excess).min(0.99);
        let per_failure = (bad / good).ln();
        let per_success = ((1.0 - bad) / (1.0 - good)).ln();
        let successes = f64::from(answers.saturating_sub(failed));
        let sum = self.score + f64::from(failed) * per_failure + successes * per_success;
        // The sum restarts at 0, so that a version that turns bad late is found as soon.
        self.score = sum.max(0.0);
    }

    /// Adds answers with the sum of the logarithms of their paces, and compares with the mean of the
    /// old version.
    fn add_latency_ratios(&mut self, answers: u32, log_latency_ratio_sum: f64, old_mean: f64) {
        let weight = SLOW_LOG_FACTOR / (LOG_LATENCY_RATIO_STDDEV * LOG_LATENCY_RATIO_STDDEV);
        let excess =
            log_latency_ratio_sum - f64::from(answers) * (old_mean + SLOW_LOG_FACTOR / 2.0);
        self.score = (self.score + weight * excess).max(0.0);
    }

    fn is_bad(self) -> bool {
        self.score >= SCORE_BAD
    }
}

/// `Evidence` judges a new version by the pooled counts of all nodes.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    tallies: BTreeMap<u64, Tally>,
    failures: BTreeMap<u64, CusumTest>,
    latency: BTreeMap<u64, CusumTest>,
    pooled_failures: CusumTest,
}

impl Evidence {
    /// Takes the pooled counts of a route as they stand now. Counts only grow.
    pub fn take(&mut self, route: u64, tally: Tally) {
        let earlier = self.tallies.insert(route, tally).unwrap_or_default();
        let added = tally.since(earlier);
        let old_failure_share = Counts::failure_share(tally.old.failures, tally.old.answers);
        let route_failures = self.failures.entry(route).or_default();
        route_failures.add_failures(
            FAILURE_HYPOTHESIS,
            added.new.answers,
            added.new.failures,
            old_failure_share,
        );
        self.pooled_failures.add_failures(
            FAILURE_HYPOTHESIS,
            added.new.answers,
            added.new.failures,
            old_failure_share,
        );
        let old_samples = f64::from(tally.old.paced.max(BASELINE_ANSWERS_MIN));
        // Upstreams of the old version that turn slow must not hide a slow new version.
        let old_mean =
            (tally.old.log_latency_ratio_sum() / old_samples).min(OLD_LOG_LATENCY_RATIO_MAX);
        let route_latency = self.latency.entry(route).or_default();
        route_latency.add_latency_ratios(
            added.new.paced,
            added.new.log_latency_ratio_sum(),
            old_mean,
        );
    }

    /// Tells whether the evidence shows that the version is bad.
    pub fn is_bad(&self) -> bool {
        self.failures.values().chain(self.latency.values()).any(|test| test.is_bad())
            || self.pooled_failures.is_bad()
    }

    /// Returns what is known of the roll-out when `elapsed` of its time has passed.
    pub fn situation(&self, elapsed: f64) -> RolloutProgress {
        let sum = self.tallies.values().copied().fold(Tally::default(), Tally::plus);
        RolloutProgress {
            elapsed,
            judged: sum.new.paced + sum.new.failures,
            new_requests: sum.new.sends,
            all_requests: sum.new.sends + sum.old.sends,
            score: self.score(),
        }
    }

    /// Returns the highest score of any test, for logs.
    pub fn score(&self) -> f64 {
        let tests = self.failures.values().chain(self.latency.values());
        tests.map(|test| test.score).fold(self.pooled_failures.score, f64::max)
    }
}
