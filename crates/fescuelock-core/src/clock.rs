//! A wall clock that advances with the monotonic clock of the Tokio runtime.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// `Clock` returns wall-clock time in milliseconds since the Unix epoch.
///
/// It reads the system time once and then advances with the monotonic clock of the runtime, so it
/// never jumps and it stands still while a test has paused the clock of the runtime.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base_ms: u64,
    started: Instant,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn system() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::starting_at(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }

    /// Starts a clock at the given time in milliseconds since the Unix epoch.
    pub fn starting_at(base_ms: u64) -> Self {
        Clock { base_ms, started: Instant::now() }
    }

    /// Returns the current time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        let elapsed_ms = self.started.elapsed().as_millis();
        self.base_ms + u64::try_from(elapsed_ms).unwrap_or(u64::MAX - self.base_ms)
    }
}
