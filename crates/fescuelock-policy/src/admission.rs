//! Decides whether a request without an available upstream is queued or refused.
//!
//! Handles load above the capacity of the upstreams. A request is queued only if it is expected to start
//! while that is of use. Otherwise it is refused immediately, with a jittered retry delay that begins at
//! the expected time and leaves the caller time to retry before its deadline.

use std::collections::HashMap;

/// `AdmissionContext` is the state of a request that finds no upstream with free capacity.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionContext {
    /// Expected time until the request starts, in milliseconds, or `None` if unknown.
    pub time_to_capacity_ms: Option<f64>,
    /// Time until the first upstream takes requests again, in milliseconds, if all of them have
    /// stated that they want none until then.
    pub paused_ms: Option<f64>,
    /// Time until the latest start of any use, in milliseconds, see [`StartLimits`].
    pub wait_max_ms: f64,
    /// Latency objective, in milliseconds.
    pub target_ms: f64,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_left_ms: f64,
}

/// `Admission` is the admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// Queue the request for at most the given time, in milliseconds.
    Queue(f64),
    /// Refuse the request; the caller may retry after the given time, in milliseconds.
    Refuse(f64),
}

/// `AdmissionOptions` configures queueing and refusal.
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    /// Lower limit of the retry delay of a refused caller before jitter, in milliseconds. A near
    /// deadline shortens the delay further. Defaults to 50.
    pub retry_after_min_ms: f64,
    /// Largest jitter that is added to the retry delay, in milliseconds. It is at most the latency
    /// objective. Defaults to 1,000.
    pub retry_jitter_ms: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions { retry_after_min_ms: 50.0, retry_jitter_ms: 1_000.0 }
    }
}

/// Longest retry delay, as a share of the time left until the caller's deadline.
const RETRY_AFTER_SHARE_MAX: f64 = 1.0 / 3.0;

/// Decides whether a request is queued or refused. `draw` is a uniform random number in [0, 1).
pub fn decide(context: &AdmissionContext, options: &AdmissionOptions, draw: f64) -> Admission {
    let starts_in_time = match context.time_to_capacity_ms {
        Some(expected_ms) => {
            expected_ms <= context.wait_max_ms
                && context.paused_ms.is_none_or(|paused_ms| paused_ms < context.deadline_left_ms)
        }
        None => false,
    };
    match starts_in_time && context.wait_max_ms > 0.0 {
        true => Admission::Queue(context.wait_max_ms),
        false => Admission::Refuse(retry_after_ms(context, options, draw)),
    }
}

/// Returns the retry delay of a refused caller, in milliseconds. `draw` is a uniform random number
/// in [0, 1).
///
/// A near deadline shortens a delay that follows from an estimate, but not one that follows from a
/// pause: before its end each retry is in vain.
pub fn retry_after_ms(context: &AdmissionContext, options: &AdmissionOptions, draw: f64) -> f64 {
    let jitter_ms = options.retry_jitter_ms.min(context.target_ms);
    if let Some(paused_ms) = context.paused_ms {
        return paused_ms.max(options.retry_after_min_ms) + draw * jitter_ms;
    }
    let earliest_ms = context.time_to_capacity_ms.unwrap_or(0.0).max(options.retry_after_min_ms);
    let latest_ms = (context.deadline_left_ms * RETRY_AFTER_SHARE_MAX).max(0.0);
    (earliest_ms + draw * jitter_ms).min(latest_ms)
}

/// Share of the capacity that the returns of refused callers may take. The other half is for new
/// requests, which the callers cannot be told about.
const RETURN_CAPACITY_SHARE: f64 = 0.5;

/// Longest time for which returns are scheduled, in milliseconds. Loads change within seconds.
const RETURN_HORIZON_MS: f64 = 10_000.0;

/// Shortest retry delay of callers that would have to return later than they can, as a share of the
/// longest one. They spread over the rest.
const LATEST_RETURN_SHARE: f64 = 0.5;

/// `ReturnSchedule` gives the callers that a node refuses places in the capacity that is expected, one
/// after the other, so that they do not all return at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnSchedule {
    next_ms: f64,
}

impl ReturnSchedule {
    /// Returns the retry delay of a refused caller, in milliseconds; at most a third of the time left
    /// until its deadline.
    ///
    /// `context.time_to_capacity_ms` is the time until a new request would start, `interval_ms` the
    /// expected time between two starts, and `draw` a uniform random number in [0, 1).
    pub fn delay_ms(
        &mut self,
        context: &AdmissionContext,
        options: &AdmissionOptions,
        interval_ms: f64,
        now_ms: u64,
        draw: f64,
    ) -> f64 {
        let now_ms = now_ms as f64;
        let earliest_ms =
            context.time_to_capacity_ms.unwrap_or_default().max(options.retry_after_min_ms);
        let slot_ms = self.next_ms.max(now_ms + earliest_ms).min(now_ms + RETURN_HORIZON_MS);
        let width_ms = interval_ms / RETURN_CAPACITY_SHARE;
        self.next_ms = slot_ms + width_ms;
        let delay_ms = slot_ms - now_ms + draw * width_ms;
        let latest_ms = (context.deadline_left_ms * RETRY_AFTER_SHARE_MAX).max(0.0);
        match delay_ms < latest_ms {
            true => delay_ms,
            false => latest_ms * (LATEST_RETURN_SHARE + (1.0 - LATEST_RETURN_SHARE) * draw),
        }
    }
}

/// Share of the latency objective that is kept free when a request waits. The time that its upstream
/// will take is known with the error of loads that are some hundred milliseconds old.
const TARGET_MARGIN_SHARE: f64 = 0.2;

/// Longest wait of a request that misses its objective anyway, as a share of the objective.
const LATE_WAIT_TARGET_SHARE: f64 = 0.5;

/// Longest wait for cold upstreams, as a share of the objective. All requests that wait start at once when
/// the warm-up ends, so only few may wait.
const COLD_WAIT_TARGET_SHARE: f64 = 0.125;

/// `RequestTimes` is the time that a request has and needs.
#[derive(Debug, Clone, Copy)]
pub struct RequestTimes {
    /// Latency objective, in milliseconds.
    pub target_ms: f64,
    /// Time left until the objective is missed, in milliseconds; negative once it is.
    pub target_left_ms: f64,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_left_ms: f64,
    /// Expected time from the start at an upstream to the answer, in milliseconds.
    pub service_ms: f64,
    /// Whether all upstreams that may take the request are cold.
    pub is_cold: bool,
}

/// `StartLimits` bounds the wait of a request, in milliseconds from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartLimits {
    /// Time until the latest start that meets the objective; 0 once it has passed.
    pub target_start_ms: f64,
    /// Time until the latest start of any use.
    pub last_start_ms: f64,
}

/// Returns how long a request may wait.
///
/// It is refused once it would miss its objective, and so early that its caller can return twice before
/// the deadline, since another node may have room.
pub fn start_limits(times: &RequestTimes) -> StartLimits {
    let on_time_ms =
        times.target_left_ms - times.service_ms - TARGET_MARGIN_SHARE * times.target_ms;
    let wait_max_ms = match on_time_ms > 0.0 {
        true => (times.target_left_ms - times.service_ms).max(0.0),
        false => LATE_WAIT_TARGET_SHARE * times.target_ms,
    };
    let wait_max_ms = match times.is_cold {
        true => wait_max_ms.min(COLD_WAIT_TARGET_SHARE * times.target_ms),
        false => wait_max_ms,
    };
    let before_deadline_ms = (times.deadline_left_ms - times.service_ms).max(0.0);
    StartLimits {
        target_start_ms: on_time_ms.max(0.0),
        last_start_ms: wait_max_ms.min(before_deadline_ms * RETRY_AFTER_SHARE_MAX),
    }
}

/// Shortest deadline that [`UsualDeadlines`] distinguishes, in milliseconds. Shorter ones count as this.
const DEADLINE_MIN_MS: f64 = 50.0;

/// Ratio between deadlines that count as different. Callers that return after the shortest delay of
/// 50 ms have used 2% of a deadline of 2.5 s.
const DEADLINE_RATIO: f64 = 1.02;

/// Number of deadlines that are distinguished, from 50 ms to a minute.
const DEADLINE_BUCKETS: usize = 360;

/// Share of a route's requests from which on the largest deadline counts as that of new requests. In the
/// worst overload a caller sends some five requests; deadlines at random are below it.
const USUAL_SHARE_MIN: f64 = 0.1;

/// Number of requests of a route that the usual deadline is learned from; older ones count half.
const DEADLINE_SAMPLES: u32 = 1_000;

/// Number of requests of a route before the usual deadline is known.
const DEADLINE_SAMPLES_MIN: u32 = 10;

/// Most routes for which deadlines are learned. A route takes 1.5 KB.
const DEADLINE_ROUTES_MAX: usize = 128;

/// Time that a returning caller has used at least, in milliseconds: the shortest retry delay.
const RETURN_USED_MIN_MS: u64 = 50;

/// `UsualDeadlines` learns the deadline of new requests by route. A caller that returns after a refusal
/// has a new id and a smaller deadline, which is the only sign of its earlier attempts.
#[derive(Debug, Default)]
pub struct UsualDeadlines {
    by_route: HashMap<u64, DeadlineCounts>,
}

#[derive(Debug)]
struct DeadlineCounts {
    counts: Vec<u32>,
    total: u32,
    /// Largest deadline of the usual bucket, in milliseconds.
    usual_ms: u64,
}

impl UsualDeadlines {
    /// Records the deadline of a request, and returns the time that its caller has used so far, in
    /// milliseconds; 0 for a new request, and if no deadline is usual on the route.
    pub fn record(&mut self, route: u64, deadline_ms: u64) -> u64 {
        if self.by_route.len() >= DEADLINE_ROUTES_MAX && !self.by_route.contains_key(&route) {
            return 0;
        }
        let counts = vec![0; DEADLINE_BUCKETS];
        let unknown = DeadlineCounts { counts, total: 0, usual_ms: 0 };
        self.by_route.entry(route).or_insert(unknown).record(deadline_ms)
    }
}

impl DeadlineCounts {
    fn record(&mut self, deadline_ms: u64) -> u64 {
        let bucket = deadline_bucket(deadline_ms);
        self.counts[bucket] += 1;
        self.total += 1;
        if self.total >= DEADLINE_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
        let usual_min = (f64::from(self.total) * USUAL_SHARE_MIN).max(1.0);
        let usual = self.counts.iter().rposition(|count| f64::from(*count) >= usual_min);
        match usual {
            _ if self.total < DEADLINE_SAMPLES_MIN => 0,
            Some(usual) if usual == bucket => {
                self.usual_ms = match deadline_bucket(self.usual_ms) == bucket {
                    true => self.usual_ms.max(deadline_ms),
                    false => deadline_ms,
                };
                0
            }
            Some(usual) if usual == deadline_bucket(self.usual_ms) => {
                self.usual_ms.saturating_sub(deadline_ms)
            }
            _ => 0,
        }
    }
}

fn deadline_bucket(deadline_ms: u64) -> usize {
    let ratio = (deadline_ms as f64 / DEADLINE_MIN_MS).max(1.0);
    ((ratio.ln() / DEADLINE_RATIO.ln()) as usize).min(DEADLINE_BUCKETS - 1)
}

/// Returns whether a caller that has used some of its time returns after a refusal.
pub fn is_returning(used_ms: u64) -> bool {
    used_ms >= RETURN_USED_MIN_MS
}
