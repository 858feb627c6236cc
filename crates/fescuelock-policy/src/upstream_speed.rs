//! Speed of an upstream relative to the others of its pool, learned from requests.
//!
//! Handles pools whose upstreams are permanently faster or slower than others, or are slowed down
//! for some seconds. A slower upstream gets less work, and none is left out for its speed. Health is
//! judged apart from speed.
//!
//! The expected time of a sample is that of the pool, so the ratio of a sample does not depend on
//! the size of the request. Callers leave out samples of cold upstreams and of requests that waited
//! in a known queue, whose time says nothing of the speed.

/// Half-life of samples, in milliseconds. A disturbance of 14 seconds changes the ratio while it
/// lasts, and a pause of half a second hardly does.
const HALF_LIFE_MS: f64 = 5_000.0;

/// Number of samples that the mean of the pool counts for. A single request that was delayed by a
/// pause of a factor of 2.5 then changes the ratio by a fifth.
const PRIOR_COUNT: f64 = 4.0;

/// Largest ratio of a sample or a reported mean, and the inverse of the least one. Known upstreams
/// are up to 3.5 times slower for a while.
const RATIO_MAX: f64 = 5.0;

/// Age at which a reported sum is no longer used, in milliseconds: several half-lives, so that its
/// end changes the ratio little.
const REPORT_MAX_AGE_MS: u64 = 20_000;

/// Largest number of samples that a report counts for. It bounds what one implausible report does.
const REPORT_COUNT_MAX: u32 = 1_000;

/// Scale of reported logarithms: hundredths.
const LOG_SCALE: f64 = 100.0;

/// `SpeedSample` is a sum of samples of an upstream's speed as nodes report it. Sums can be added.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedSample {
    /// Sum of the natural logarithms of actual over expected time, in hundredths.
    pub log_ratio_sum: i32,
    /// Number of samples.
    pub count: u32,
}

/// `DecayingSum` is a sum of logarithms of ratios and their number, which decay.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    log_ratios: f64,
    count: f64,
    updated_ms: u64,
}

/// `UpstreamSpeed` holds the speed of one incarnation of an upstream. The default has the mean speed
/// of its pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamSpeed {
    own: DecayingSum,
    /// What the other nodes have reported.
    reported: DecayingSum,
}

impl DecayingSum {
    fn at(self, now_ms: u64) -> Self {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept_share = (-elapsed_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        DecayingSum {
            log_ratios: self.log_ratios * kept_share,
            count: self.count * kept_share,
            updated_ms: now_ms,
        }
    }
}

impl UpstreamSpeed {
    /// Records a request that took `actual_ms` and would take `expected_ms` at an upstream with the
    /// mean speed of the pool.
    pub fn record(&mut self, actual_ms: f64, expected_ms: f64, now_ms: u64) {
        let ratio = actual_ms / expected_ms;
        if !ratio.is_finite() || expected_ms <= 0.0 {
            return;
        }
        self.own = self.own.at(now_ms);
        self.own.log_ratios += ratio.clamp(1.0 / RATIO_MAX, RATIO_MAX).ln();
        self.own.count += 1.0;
    }

    /// Returns this node's own samples for its report to the others, or `None` if there are none.
    pub fn own_report(&self, now_ms: u64) -> Option<SpeedSample> {
        let own = self.own.at(now_ms);
        let count = own.count.round() as u32;
        let mean = own.log_ratios / own.count;
        // The sum belongs to the rounded number.
        (count > 0).then(|| SpeedSample {
            log_ratio_sum: (mean * f64::from(count) * LOG_SCALE).round() as i32,
            count,
        })
    }

    /// Replaces the sum of the samples of the other nodes. Implausible values are clamped.
    pub fn set_reported(&mut self, sample: SpeedSample, now_ms: u64) {
        if sample.count == 0 {
            self.reported = DecayingSum::default();
            return;
        }
        let mean = f64::from(sample.log_ratio_sum) / LOG_SCALE / f64::from(sample.count);
        let mean = mean.clamp(-RATIO_MAX.ln(), RATIO_MAX.ln());
        let count = f64::from(sample.count.min(REPORT_COUNT_MAX));
        self.reported = DecayingSum { log_ratios: mean * count, count, updated_ms: now_ms };
    }

    /// Returns the upstream's time over the time of its pool: 1 for the mean of the pool, more for a
    /// slower upstream. With few samples it is close to 1.
    pub fn ratio(&self, now_ms: u64) -> f64 {
        // Most upstreams of a large fleet have no samples at a node.
        if self.own.count == 0.0 && self.reported.count == 0.0 {
            return 1.0;
        }
        let own = self.own.at(now_ms);
        let is_current = now_ms.saturating_sub(self.reported.updated_ms) < REPORT_MAX_AGE_MS;
        let reported = if is_current { self.reported.at(now_ms) } else { DecayingSum::default() };
        let count = own.count + reported.count;
        ((own.log_ratios + reported.log_ratios) / (count + PRIOR_COUNT)).exp()
    }
}
