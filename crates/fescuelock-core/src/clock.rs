//! Wall-clock time that advances with the runtime's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// `Clock` gives wall-clock time in milliseconds since the Unix epoch.
///
/// It is read from the system once and then advances with the runtime's monotonic clock, so it
/// neither jumps nor runs while a test has paused the runtime's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base_ms: u64,
    started: Instant,
}

impl Clock {
    /// Starts a clock from the system's time.
    pub fn system() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::starting_at(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// Starts a clock at the given time in milliseconds since the Unix epoch.
    pub fn starting_at(base_ms: u64) -> Self {
        Clock { base_ms, started: Instant::now() }
    }

    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        let elapsed_ms = self.started.elapsed().as_millis();
        self.base_ms + u64::try_from(elapsed_ms).unwrap_or(u64::MAX - self.base_ms)
    }
}
