//! How long a follower of the store lets changes gather before it asks for more.
//!
//! Answers upstreams that start or leave by the dozen, as at a start of the fleet, a roll-out or the
//! return of a zone: each answer of the store with changes is a call by every node. A change after
//! a quiet time is taken at once; while changes go on, the pauses grow, so that a burst of any
//! length costs a node a few calls.

/// Pause after a first change, in milliseconds: changes that are made together arrive within it.
const PAUSE_MIN_MS: u64 = 150;

/// Factor by which the pause grows with each further answer that holds changes.
const GROWTH: u64 = 2;

/// Quiet time after which a change counts as the first again, in milliseconds. Upstreams that start
/// together report within a few tenths of a second of each other.
const QUIET_MS: u64 = 500;

/// Share of the time within which a change must be in force that it may wait to be read: the rest
/// is left to a slow store and to requests that are on their way.
const WAIT_SHARE: u64 = 4;

/// `Gathering` is the state of one follower.
#[derive(Debug, Clone, Default)]
pub struct Gathering {
    pause_ms: u64,
    paused_until_ms: u64,
}

impl Gathering {
    /// Notes an answer with changes, and returns the pause before the next call, in milliseconds.
    ///
    /// `in_force_ms` is the time within which changes must be in force.
    pub fn pause_ms(&mut self, in_force_ms: u64, now_ms: u64) -> u64 {
        let longest_ms = (in_force_ms / WAIT_SHARE).max(PAUSE_MIN_MS);
        let is_quiet = now_ms.saturating_sub(self.paused_until_ms) >= QUIET_MS;
        self.pause_ms = match self.pause_ms {
            0 => PAUSE_MIN_MS,
            _ if is_quiet => PAUSE_MIN_MS,
            pause_ms => (GROWTH * pause_ms).min(longest_ms),
        };
        self.paused_until_ms = now_ms + self.pause_ms;
        self.pause_ms
    }
}
