//! Finds watches of the store that are not answered, by what other nodes have read.
//!
//! Handles a store that falls silent while a watch is on its way, or that serves some nodes and
//! collections and not others. Such a watch may never be answered, and nothing fails until its
//! timeout. A node whose watch is answered reads the same change at once, and says so in its reports.

use fescuelock_core::store_revision::StoreRevision;

use crate::store_reads::ReadMode;

/// The time to wait for an answer that another node has had is the time limit for changes to take
/// effect, divided by this. It is longer than changes are delayed to batch them, so that a node that
/// merely reads them later makes no further call.
const ANSWER_WAIT_DIVISOR: u64 = 4;

/// Divisor for a watch of a copy. The copy may lag for longer than the time limit, and the call that
/// follows still has to be made.
const COPY_WAIT_DIVISOR: u64 = 8;

/// `MissedChange` tracks whether a watch that is under way misses a change that another node has read.
#[derive(Debug, Default)]
pub struct MissedChange {
    read_mode: ReadMode,
    behind_since_ms: Option<u64>,
}

impl MissedChange {
    /// Tracks a watch that is answered by the given state of the store.
    pub fn new(read_mode: ReadMode) -> Self {
        MissedChange { read_mode, behind_since_ms: None }
    }

    /// Returns the time until the watch is to be repeated, in milliseconds, if it misses a change.
    ///
    /// `read_revision` is the revision up to which this node knows all changes, and
    /// `reported_revision` that of the latest change that another node has read.
    /// `propagation_max_ms` is the time limit for changes to take effect.
    pub fn repeat_in_ms(
        &mut self,
        read_revision: StoreRevision,
        reported_revision: StoreRevision,
        propagation_max_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        if reported_revision <= read_revision {
            return None;
        }
        // Further changes do not put off the call that would read the first one.
        let since_ms = *self.behind_since_ms.get_or_insert(now_ms);
        let divisor = match self.read_mode {
            ReadMode::Current => ANSWER_WAIT_DIVISOR,
            ReadMode::MayLag => COPY_WAIT_DIVISOR,
        };
        let due_ms = since_ms + propagation_max_ms / divisor;
        Some(due_ms.saturating_sub(now_ms))
    }
}
