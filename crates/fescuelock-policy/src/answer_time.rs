//! Estimates how long answers take, to tell which requests a stopping node can still finish.
//!
//! Handles planned stops of nodes whose requests take as long as the rest of the grace period, such as
//! long generations on slow engines: at its end they would be cut without an answer, and their callers
//! could not tell whether they have run. Another node can serve them at once.

use std::collections::HashMap;

/// Weight of an answer in the moving averages.
const WEIGHT: f64 = 0.1;

/// Number of mean deviations by which an answer may take longer than the mean.
const DEVIATIONS: f64 = 2.0;

/// `Estimate` holds moving averages of the time that an answer of a route takes for each unit of its
/// size.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
}

/// `AnswerTimes` holds how long the answers of each route take.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    by_route: HashMap<u64, Estimate>,
}

impl AnswerTimes {
    /// Records a complete answer. `size` is the expected size of the answer, such as the number of its
    /// tokens, or 1.
    pub fn record(&mut self, route: u64, size: u32, elapsed_ms: u64) {
        let sample_ms = elapsed_ms as f64 / f64::from(size.max(1));
        let initial = Estimate { mean_ms: sample_ms, deviation_ms: 0.0 };
        let known = self.by_route.entry(route).or_insert(initial);
        let difference_ms = sample_ms - known.mean_ms;
        known.mean_ms += WEIGHT * difference_ms;
        known.deviation_ms += WEIGHT * (difference_ms.abs() - known.deviation_ms);
    }

    /// Returns the time that an answer of a size is likely not to exceed, in milliseconds, if any
    /// answer of the route is known.
    pub fn longest_ms(&self, route: u64, size: u32) -> Option<u64> {
        let Estimate { mean_ms, deviation_ms } = self.by_route.get(&route)?;
        let longest_ms = (mean_ms + DEVIATIONS * deviation_ms) * f64::from(size.max(1));
        Some(longest_ms as u64)
    }
}

/// Returns whether a stopping node takes a request. `longest_ms` is the time that its answer is likely
/// not to exceed, if known, `deadline_ms` the time until its deadline, and `grace_left_ms` the rest of
/// the grace period.
///
/// Without an estimate the request is taken: refusing all requests of a route that this node has not
/// served yet would cost more callers than it helps.
pub fn can_finish(longest_ms: Option<u64>, deadline_ms: u64, grace_left_ms: u64) -> bool {
    longest_ms.unwrap_or_default().min(deadline_ms) <= grace_left_ms
}
