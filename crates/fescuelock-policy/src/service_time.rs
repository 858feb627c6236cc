//! Service times of the upstreams of a plain service, as distributions.
//!
//! Handles upstreams of one service that differ in speed or are slow for part of the time: an answer
//! is late because of the tail of the distribution, which the mean does not show.

/// Assumed service time before the first sample, in milliseconds. It is that of the known plain
/// services.
const MEAN_DEFAULT_MS: f64 = 30.0;

/// Assumed standard deviation before the first sample, as a share of the mean. An upstream that is
/// 2.5 times slower for 15% of the time has 0.44.
const DEVIATION_DEFAULT_SHARE: f64 = 0.45;

/// Number of samples that the service's figures count for in the estimate of one upstream. A single
/// pause of half a second delays one or two answers that a node sees.
const SERVICE_WEIGHT: f64 = 3.0;

/// Half-life of samples, in milliseconds. A node that sees one answer every two seconds keeps seven
/// samples, and an upstream that has recovered is tried again within half a minute.
const HALF_LIFE_MS: f64 = 10_000.0;

/// Largest ratio of a sample to the expected service time; samples beyond it are clamped, because
/// times above it are outages rather than speed.
const SAMPLE_RATIO_MAX: f64 = 10.0;

/// Share of the time that slow phases take. It is that of the known upstreams with pauses.
const SLOW_SHARE: f64 = 0.15;

/// Length of a slow phase, in milliseconds. It is that of the known upstreams with pauses.
const SLOW_PHASE_MS: f64 = 600.0;

/// Standard deviation of service times outside of slow phases, as a share of the mean.
const USUAL_VARIATION: f64 = 0.2;

/// Least divisor of the slowdown, which bounds it to a factor of about 20.
const SLOWDOWN_DIVISOR_MIN: f64 = 0.05;

/// `ServiceTime` is the distribution of an upstream's service time: the time for which one of its
/// slots is busy with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceTime {
    /// Mean, in milliseconds.
    pub mean_ms: f64,
    /// Standard deviation, in milliseconds.
    pub deviation_ms: f64,
}

/// `ServiceTimeSamples` holds decaying sums of the service times that a node has measured at one
/// upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTimeSamples {
    weight: f64,
    sum_ms: f64,
    sum_of_squares_ms2: f64,
    updated_ms: u64,
}

impl Default for ServiceTime {
    fn default() -> Self {
        ServiceTime {
            mean_ms: MEAN_DEFAULT_MS,
            deviation_ms: MEAN_DEFAULT_MS * DEVIATION_DEFAULT_SHARE,
        }
    }
}

impl ServiceTime {
    /// Returns the mean of the distributions of a service's upstreams, each with the same weight.
    ///
    /// Upstreams without samples count with the default. So one that a node has not used looks
    /// better to it than a known one that is slower than the default, and is tried.
    pub fn of_service(upstreams: impl Iterator<Item = ServiceTime>) -> Self {
        let (count, mean_ms, deviation_ms) =
            upstreams.fold((0.0, 0.0, 0.0), |(count, mean_ms, deviation_ms), time| {
                (count + 1.0, mean_ms + time.mean_ms, deviation_ms + time.deviation_ms)
            });
        match count > 0.0 {
            true => ServiceTime { mean_ms: mean_ms / count, deviation_ms: deviation_ms / count },
            false => ServiceTime::default(),
        }
    }

    /// Returns the distribution of an upstream that takes `ratio` times as long.
    pub fn scaled(&self, ratio: f64) -> Self {
        ServiceTime { mean_ms: self.mean_ms * ratio, deviation_ms: self.deviation_ms * ratio }
    }

    /// Returns the distribution of the time to an answer with `ahead` requests in flight at an
    /// upstream of `slots`: requests beyond the slots wait for one service time per slot.
    pub fn response(&self, ahead: f64, slots: f64) -> ServiceTime {
        let rounds = queue_rounds(ahead, slots);
        // The wait is the sum of `rounds * slots` intervals between ends, each with the variance of
        // the service time divided by the squared slots.
        let variance = self.deviation_ms * self.deviation_ms * (1.0 + rounds / slots.max(1.0));
        ServiceTime { mean_ms: self.mean_ms * (1.0 + rounds), deviation_ms: variance.sqrt() }
    }

    /// Returns the probability that an answer takes longer than `left_ms` at an upstream of `slots`
    /// with `ahead` requests in flight on average.
    ///
    /// The spread of service times is that of two states: the usual one, and slow phases in which
    /// also the requests in flight accumulate, which no load report shows in time.
    pub fn late_probability(&self, ahead: f64, slots: f64, left_ms: f64) -> f64 {
        let variation = self.deviation_ms / self.mean_ms.max(f64::MIN_POSITIVE);
        let excess = (variation * variation - USUAL_VARIATION * USUAL_VARIATION).max(0.0).sqrt();
        let share_deviation = (SLOW_SHARE * (1.0 - SLOW_SHARE)).sqrt();
        let slowdown = excess / (share_deviation - SLOW_SHARE * excess).max(SLOWDOWN_DIVISOR_MIN);
        let usual_ms = self.mean_ms / (1.0 + SLOW_SHARE * slowdown);
        let slow_ms = usual_ms * (1.0 + slowdown);
        let arrivals_per_ms = ahead / self.mean_ms.max(f64::MIN_POSITIVE);
        let accumulated = (arrivals_per_ms - slots / slow_ms).max(0.0) * SLOW_PHASE_MS / 2.0;
        let state = |mean_ms| ServiceTime { mean_ms, deviation_ms: USUAL_VARIATION * mean_ms };
        let usual = state(usual_ms).response(ahead, slots).exceeds(left_ms);
        // Arrivals are about Poisson distributed. The two points have the weights of the outer and
        // the inner points of a Gauss-Hermite quadrature.
        let mean = arrivals_per_ms * slow_ms + accumulated;
        let slow_at = |ahead: f64| state(slow_ms).response(ahead, slots).exceeds(left_ms);
        let slow = 5.0 / 6.0 * slow_at(mean) + slow_at(mean + (3.0 * mean).sqrt()) / 6.0;
        (1.0 - SLOW_SHARE) * usual + SLOW_SHARE * slow
    }

    /// Returns the probability that a time of this distribution exceeds a limit, in milliseconds,
    /// under a log-normal distribution of the same mean and deviation.
    pub fn exceeds(&self, limit_ms: f64) -> f64 {
        if limit_ms <= 0.0 {
            return 1.0;
        }
        let variation = self.deviation_ms / self.mean_ms.max(f64::MIN_POSITIVE);
        let log_variance = (1.0 + variation * variation).ln();
        let log_mean = self.mean_ms.max(f64::MIN_POSITIVE).ln() - log_variance / 2.0;
        upper_tail((limit_ms.ln() - log_mean) / log_variance.sqrt().max(f64::MIN_POSITIVE))
    }
}

impl ServiceTimeSamples {
    /// Records an answer that arrived `elapsed_ms` after its request was sent to the upstream, when
    /// `ahead` other requests were in flight there.
    ///
    /// Returns the service time, which is the elapsed time without the known wait, in milliseconds.
    pub fn record(&mut self, elapsed_ms: f64, ahead: f64, slots: f64, now_ms: u64) -> f64 {
        let expected_ms = self.estimate(ServiceTime::default(), now_ms).mean_ms;
        let sample_ms = elapsed_ms / (1.0 + queue_rounds(ahead, slots));
        let sample_ms = sample_ms.clamp(0.0, SAMPLE_RATIO_MAX * expected_ms);
        let kept_share = self.kept_share(now_ms);
        self.weight = self.weight * kept_share + 1.0;
        self.sum_ms = self.sum_ms * kept_share + sample_ms;
        self.sum_of_squares_ms2 = self.sum_of_squares_ms2 * kept_share + sample_ms * sample_ms;
        self.updated_ms = now_ms;
        sample_ms
    }

    /// Returns the upstream's distribution. With few samples it is close to that of its service.
    pub fn estimate(&self, service: ServiceTime, now_ms: u64) -> ServiceTime {
        let kept_share = self.kept_share(now_ms);
        let weight = self.weight * kept_share + SERVICE_WEIGHT;
        let service_square =
            service.mean_ms * service.mean_ms + service.deviation_ms * service.deviation_ms;
        let mean_ms = (self.sum_ms * kept_share + SERVICE_WEIGHT * service.mean_ms) / weight;
        let mean_square =
            (self.sum_of_squares_ms2 * kept_share + SERVICE_WEIGHT * service_square) / weight;
        let variance = (mean_square - mean_ms * mean_ms).max(0.0);
        ServiceTime { mean_ms, deviation_ms: variance.sqrt() }
    }

    /// Returns the share of the sums that is left at a time.
    fn kept_share(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        (-elapsed_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp()
    }
}

/// Returns the wait of a request in service times, with `ahead` requests before it.
fn queue_rounds(ahead: f64, slots: f64) -> f64 {
    let slots = slots.max(1.0);
    ((ahead + 1.0 - slots) / slots).max(0.0)
}

/// Returns the probability that a standard normal variable exceeds `x`, by the rational
/// approximation 26.2.17 of Abramowitz and Stegun, whose error is below 1e-7.
fn upper_tail(x: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.231_641_9 * x.abs());
    let coefficients =
        [0.319_381_530, -0.356_563_782, 1.781_477_937, -1.821_255_978, 1.330_274_429];
    let polynomial =
        coefficients.iter().rev().fold(0.0, |sum, coefficient| t * (sum + coefficient));
    let density = (-x * x / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt();
    if x >= 0.0 { density * polynomial } else { 1.0 - density * polynomial }
}
