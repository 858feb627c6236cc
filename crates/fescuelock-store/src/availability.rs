//! Availability of the platform, as observed by one node.
//!
//! While the platform is unavailable, a single task of the node keeps calling it. All other tasks
//! wait, and resume with jitter once it is available again.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

/// Number of consecutive failed calls after which the platform counts as unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 3;
/// Upper bound of the jitter with which waiting tasks resume, in milliseconds.
const RESUME_JITTER_MAX_MS: u64 = 1_000;

/// `Availability` tracks whether the platform is available, shared by all tasks of a node that use
/// it.
#[derive(Debug, Clone)]
pub struct Availability {
    failures: Arc<AtomicU32>,
    is_available: watch::Sender<bool>,
}

impl Default for Availability {
    fn default() -> Self {
        Availability { failures: Arc::default(), is_available: watch::Sender::new(true) }
    }
}

impl Availability {
    /// Records whether the platform answered a call without a server error.
    pub fn record_call(&self, answered: bool) {
        if answered {
            self.failures.store(0, Ordering::Relaxed);
            self.set_available(true);
        } else if self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= UNAVAILABLE_AFTER_FAILURES {
            self.set_available(false);
        }
    }

    /// Returns whether the platform is available.
    pub fn is_available(&self) -> bool {
        *self.is_available.borrow()
    }

    /// Waits until the platform is available. A task that had to wait resumes with a jitter that is
    /// derived from its name.
    pub async fn wait_until_available(&self, name: &str) {
        let mut is_available = self.is_available.subscribe();
        while !*is_available.borrow_and_update() {
            // Cannot fail: `self` owns the sender.
            let _ = is_available.wait_for(|available| *available).await;
            sleep(resume_jitter(name)).await;
        }
    }

    fn set_available(&self, available: bool) {
        self.is_available.send_if_modified(|is_available| {
            std::mem::replace(is_available, available) != available
        });
    }
}

/// Returns a delay from zero up to the maximum jitter, which is the same for the same name.
pub fn resume_jitter(name: &str) -> Duration {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    Duration::from_millis(hasher.finish() % RESUME_JITTER_MAX_MS)
}
