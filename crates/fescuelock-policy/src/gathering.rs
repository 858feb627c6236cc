//! How long a follower of the store lets changes gather before it asks for more.
//!
//! Answers upstreams that start or leave by the dozen, as at a start of the fleet, a roll-out or the
//! return of a zone: each answer of the store with changes is a call by every node. A change after
//! a quiet time is taken at once; while changes go on, the pauses grow, so that a burst of any
//! length costs a node a few calls.

/// Pause after a first change, in milliseconds: changes that are made together arrive within it.
const DELAY_MIN_MS: u64 = 150;

/// Factor by which the pause grows with each further answer that holds changes.
const DELAY_GROWTH_FACTOR: u64 = 2;

/// Quiet time after which a change counts as the first again, in milliseconds. Upstreams that start
/// together report within a few tenths of a second of each other.
const RESET_QUIET_MS: u64 = 500;

/// Share of the time within which a change must be in force that it may wait to be read: the rest
/// is left to a slow store and to requests that are on their way.
const DELAY_MAX_DIVISOR: u64 = 4;

/// `Gathering` is the state of one follower.
#[derive(Debug, Clone, Default)]
pub struct Gathering {
    delay_ms: u64,
    delayed_until_ms: u64,
}

impl Gathering {
    /// Notes an answer with changes, and returns the pause before the next call, in milliseconds.
    ///
    /// `in_force_ms` is the time within which changes must be in force.
    pub fn pause_ms(&mut self, in_force_ms: u64, now_ms: u64) -> u64 {
        let delay_max_ms = (in_force_ms / DELAY_MAX_DIVISOR).max(DELAY_MIN_MS);
        let is_quiet = now_ms.saturating_sub(self.delayed_until_ms) >= RESET_QUIET_MS;
        self.delay_ms = match self.delay_ms {
            0 => DELAY_MIN_MS,
            _ if is_quiet => DELAY_MIN_MS,
            delay_ms => (DELAY_GROWTH_FACTOR * delay_ms).min(delay_max_ms),
        };
        self.delayed_until_ms = now_ms + self.delay_ms;
        self.delay_ms
    }
}
