//! Merges what nodes report of their load, and scales it to the nodes that are not heard of.
//!
//! Handles fleets in which a node hears of some of the others only, at a time: load that is not heard
//! of is taken for the mean of the load that is, never for zero. A report counts less as it ages, so
//! that the load of a node that has gone fades out instead of lasting to the end and then vanishing.

/// Age up to which a report counts in full, in milliseconds. Four rounds of reports: three losses in
/// a row at a loss of 10 in 100 are one round in a thousand.
pub const FULL_WEIGHT_AGE_MS: u64 = 1_500;

/// Age from which a report no longer counts, in milliseconds. With a linear decline in between, the
/// load of a node that has gone counts for 2.5 s on the mean, as it did when reports were dropped at
/// that age.
pub const REPORT_MAX_AGE_MS: u64 = 3_500;

/// Largest factor by which reported load is scaled. Below a quarter of the nodes the mean of those
/// heard of says little of the others, and upstreams must not look full because of one busy node.
pub const SCALE_MAX: f64 = 4.0;

/// Interval between the reports of a node, in milliseconds.
///
/// It is shorter than most prompts take to process, so a node knows the load from the other nodes
/// before the next request of the same kind is placed.
pub const REPORT_INTERVAL_MS: u64 = 350;

/// Maximum number of recipients of one report. In a larger fleet they are chosen at random.
pub const REPORT_FANOUT: usize = 16;

/// Number of time constants of the random choice of recipients after which a node that sends reports
/// is heard of with a probability of 99 in 100: the natural logarithm of 100.
const PRESENCE_TIME_CONSTANTS: f64 = 4.6;

/// Returns the weight of a report by its age, in milliseconds: 1 while it is fresh, 0 once it is old.
pub fn report_weight(age_ms: u64) -> f64 {
    fading_weight(age_ms, FULL_WEIGHT_AGE_MS)
}

/// Returns the weight with which a node counts among those that have load, by the time since it was
/// heard of or became known, in milliseconds. `others` is the number of other nodes.
///
/// A node that is silent for longer than chance explains has most likely gone, and its part of the
/// load with it. If all nodes hear each other, this is the weight of its report, so nothing is scaled
/// once nodes have gone.
pub fn presence_weight(silent_for_ms: u64, others: usize) -> f64 {
    let heard_share = REPORT_FANOUT as f64 / others.max(1) as f64;
    let full_until_ms = match heard_share < 1.0 {
        true => (REPORT_INTERVAL_MS as f64 * PRESENCE_TIME_CONSTANTS / heard_share) as u64,
        false => 0,
    };
    fading_weight(silent_for_ms, full_until_ms.max(FULL_WEIGHT_AGE_MS))
}

fn fading_weight(age_ms: u64, full_until_ms: u64) -> f64 {
    let fading_ms = (REPORT_MAX_AGE_MS - FULL_WEIGHT_AGE_MS) as f64;
    (1.0 - age_ms.saturating_sub(full_until_ms) as f64 / fading_ms).clamp(0.0, 1.0)
}

/// `Coverage` counts the nodes whose load is known and those that have load, each by its weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Coverage {
    heard: f64,
    present: f64,
}

impl Coverage {
    /// Adds another node by the time since its last report, if there was one, and since it was heard
    /// of or became known, in milliseconds. `others` is the number of other nodes.
    pub fn add(&mut self, report_age_ms: Option<u64>, silent_for_ms: u64, others: usize) {
        let heard = report_age_ms.map_or(0.0, report_weight);
        self.heard += heard;
        self.present += presence_weight(silent_for_ms, others).max(heard);
    }

    /// Returns the share of the nodes whose load is known. 1 if there are no others.
    pub fn share(&self) -> f64 {
        if self.present > 0.0 { self.heard / self.present } else { 1.0 }
    }

    /// Returns the factor from the weighted sum of the reported load to the load of all nodes.
    pub fn scale(&self) -> f64 {
        (1.0 / self.share().max(f64::MIN_POSITIVE)).min(SCALE_MAX)
    }
}
