//! Outlier detection: ejects failing upstreams for a limited time.
//!
//! Handles upstreams that fail some requests, stop responding or respond slowly while they report
//! themselves as healthy. An upstream is compared with the others of its service, so errors that
//! all of them return eject none, and ejections are ignored once they would cover more than half of
//! the upstreams.

/// Half-life of recorded outcomes, in milliseconds.
///
/// Long enough to cover several requests at the request rate of a small router VM, short enough to
/// decay within the usual duration of a failure.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Least total weight of the decayed outcomes for comparing an upstream with its peers.
const OUTCOME_WEIGHT_MIN: f64 = 3.0;

/// Excess over the failure share of its peers above which an upstream is ejected.
const FAILURE_SHARE_EXCESS: f64 = 0.25;

/// Number of unresponsive outcomes, without a successful answer between them, at which an upstream
/// is ejected immediately.
const UNRESPONSIVE_EJECTION_COUNT: u32 = 2;

/// Duration of the first ejection, in milliseconds. It doubles with each repetition.
const EJECTION_BASE_MS: u64 = 1_500;

/// Longest ejection, in milliseconds.
const EJECTION_MAX_MS: u64 = 12_000;

/// Time since the last ejection after which the next one is short again, in milliseconds.
const EJECTION_RESET_MS: u64 = 20_000;

/// Share of a service's upstreams above which all ejections are ignored.
const EJECTIONS_IGNORED_ABOVE_SHARE: f64 = 0.5;

/// `Outcome` is the result of a request to an upstream, as far as health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream responded without an error.
    Succeeded,
    /// The upstream responded with an error.
    Failed,
    /// The connection failed, or no response arrived in time.
    Unresponsive,
}

/// `Health` is the outcome history of an upstream and the state of its ejection.
#[derive(Debug, Clone, Default)]
pub struct Health {
    success_weight: f64,
    failure_weight: f64,
    updated_ms: u64,
    consecutive_unresponsive: u32,
    ejected_until_ms: u64,
    recent_ejections: u32,
    last_ejected_ms: u64,
}

impl Health {
    /// Records an outcome with a weight: 1 for a request of this node, less for outcomes that other
    /// nodes report.
    pub fn record(&mut self, outcome: Outcome, weight: f64, now_ms: u64) {
        self.decay(now_ms);
        match outcome {
            Outcome::Succeeded => {
                self.success_weight += weight;
                self.consecutive_unresponsive = 0;
            }

            Outcome::Failed => self.failure_weight += weight,

            Outcome::Unresponsive => {
                self.failure_weight += weight;
                self.consecutive_unresponsive += 1;
            }
        }
    }

    /// Returns the share of failures and the total weight of the outcomes behind it.
    pub fn failure_share(&self) -> (f64, f64) {
        let total = self.success_weight + self.failure_weight;
        if total <= 0.0 { (0.0, 0.0) } else { (self.failure_weight / total, total) }
    }

    /// Returns whether the upstream is ejected now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Ejects the upstream if it fails more often than its peers or does not respond. Returns
    /// whether it was ejected.
    pub fn eject_if_outlier(&mut self, peer_failure_share: f64, now_ms: u64) -> bool {
        self.decay(now_ms);
        if self.is_ejected(now_ms) {
            return false;
        }
        let (share, outcome_weight) = self.failure_share();
        let is_outlier = outcome_weight >= OUTCOME_WEIGHT_MIN
            && share > peer_failure_share + FAILURE_SHARE_EXCESS;
        if !is_outlier && self.consecutive_unresponsive < UNRESPONSIVE_EJECTION_COUNT {
            return false;
        }
        if now_ms.saturating_sub(self.last_ejected_ms) > EJECTION_RESET_MS {
            self.recent_ejections = 0;
        }
        let ejection_ms = EJECTION_BASE_MS.saturating_mul(1 << self.recent_ejections.min(8));
        self.ejected_until_ms = now_ms + ejection_ms.min(EJECTION_MAX_MS);
        self.recent_ejections += 1;
        self.last_ejected_ms = now_ms;
        // After its ejection the upstream is judged by its new outcomes, and one unresponsive
        // outcome ejects it again.
        self.success_weight = 0.0;
        self.failure_weight = 0.0;
        self.consecutive_unresponsive = UNRESPONSIVE_EJECTION_COUNT.saturating_sub(1);
        true
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.updated_ms = now_ms;
        let factor = (-elapsed_ms / HALF_LIFE_MS * std::f64::consts::LN_2).exp();
        self.success_weight *= factor;
        self.failure_weight *= factor;
    }
}

/// Returns whether so many upstreams are ejected that ejections must be ignored.
pub fn should_ignore_ejections(ejected: usize, total: usize) -> bool {
    ejected as f64 > EJECTIONS_IGNORED_ABOVE_SHARE * total as f64
}
