//! Batches changes of the store by delaying the next read.
//!
//! Handles many upstreams that start or leave together, as at a start of the fleet, a roll-out or
//! the return of an availability zone, when each response of the store with changes would lead to
//! another call by every node. A change after a quiet period is read at once. While changes
//! continue, the delay grows exponentially, so that a burst of any length costs a node a few calls.
//!
//! Handles also a store that falls silent within such a delay: it may never answer the watch that is
//! sent next, nor close its connection. The first watch after a delay waits for a short time only, so
//! that an answer that does not come is noticed soon.

/// Delay after a first change, in milliseconds. Changes that are made together arrive within it.
const DELAY_MIN_MS: u64 = 150;

/// Factor by which the delay grows with each further response that holds changes.
const DELAY_GROWTH_FACTOR: u64 = 2;

/// Quiet period that resets the delay, in milliseconds. Upstreams that start together register
/// within a few tenths of a second of each other.
const RESET_QUIET_MS: u64 = 500;

/// The longest delay is the time limit for changes to take effect, divided by this. The rest of the
/// limit is left for a slow store and for requests that were already sent.
const DELAY_MAX_DIVISOR: u64 = 4;

/// `WatchBatching` is the batching state of one watch on the store.
#[derive(Debug, Clone, Default)]
pub struct WatchBatching {
    delay_ms: u64,
    delayed_until_ms: u64,
    is_after_delay: bool,
}

impl WatchBatching {
    /// Records a response with changes, and returns the delay before the next read, in
    /// milliseconds.
    ///
    /// `propagation_max_ms` is the time limit for changes to take effect.
    pub fn next_delay_ms(&mut self, propagation_max_ms: u64, now_ms: u64) -> u64 {
        let delay_max_ms = (propagation_max_ms / DELAY_MAX_DIVISOR).max(DELAY_MIN_MS);
        let is_quiet = now_ms.saturating_sub(self.delayed_until_ms) >= RESET_QUIET_MS;
        self.delay_ms = match self.delay_ms {
            0 => DELAY_MIN_MS,
            _ if is_quiet => DELAY_MIN_MS,
            delay_ms => (DELAY_GROWTH_FACTOR * delay_ms).min(delay_max_ms),
        };
        self.delayed_until_ms = now_ms + self.delay_ms;
        self.is_after_delay = true;
        self.delay_ms
    }

    /// Returns for how long the next watch waits for changes, in milliseconds, and records that it
    /// is sent. `wait_max_ms` is the wait of a watch that follows another one without delay.
    pub fn next_wait_ms(&mut self, propagation_max_ms: u64, wait_max_ms: u64) -> u64 {
        match std::mem::take(&mut self.is_after_delay) {
            true => propagation_max_ms.min(wait_max_ms),
            false => wait_max_ms,
        }
    }
}
