//! Decides what a node holds on to after the store came back from an older copy.
//!
//! Handles a store that has lost what it acknowledged since the copy: orders of operators, records of
//! upstreams and states of roll-outs. Those who wrote them write them again within some time. Until
//! then nodes act on what the store had acknowledged, since neither an order that the copy lacks was
//! taken back, nor has an upstream returned that the copy still holds.

use crate::upstream::{UpstreamRecord, UpstreamState, is_same_incarnation};

/// Time for which what a copy lacks or holds in an older state counts as lost rather than as changed,
/// in milliseconds. Operators and upstreams write it again within it.
const HOLD_MS: u64 = 30_000;

/// Time for which an upstream is kept whose record the copy lacks, in milliseconds. It is longer than
/// live upstreams take to write their records again.
pub const MISSING_RECORD_HOLD_MS: u64 = 4_000;

/// Time for which an upstream is not used that had been removed and that the copy holds again, in
/// milliseconds. Within it, its removal is written again.
pub const REMOVED_RECORD_HOLD_MS: u64 = 10_000;

/// Share of the store's rate that calls which all nodes make for the same reason may take. The rest is
/// left for their other calls.
const COMMON_CALLS_SHARE: f64 = 0.5;

/// Returns the time over which nodes spread calls that all of them make for the same reason, in
/// milliseconds. `calls_per_s` is the rate that the store takes from all nodes together.
pub fn spread_ms(nodes: usize, calls_per_node: usize, calls_per_s: f64, max_ms: u64) -> u64 {
    let calls = (nodes * calls_per_node) as f64;
    let spread_ms = 1_000.0 * calls / (COMMON_CALLS_SHARE * calls_per_s.max(1.0));
    max_ms.min(spread_ms as u64)
}

/// `RestoredHold` tracks for one collection whether the store has come back from an older copy lately.
#[derive(Debug, Default)]
pub struct RestoredHold {
    listed_era: Option<u64>,
    until_ms: Option<u64>,
}

impl RestoredHold {
    /// Records that the collection was listed in an era of the store. Returns whether what the listing
    /// lacks, or holds in an older state, may have been lost.
    pub fn record_listing(&mut self, era: u64, now_ms: u64) -> bool {
        if self.listed_era.is_some_and(|listed| listed < era) {
            self.until_ms = Some(now_ms + HOLD_MS);
        }
        self.listed_era = Some(era);
        self.left_ms(now_ms).is_some_and(|left_ms| left_ms > 0)
    }

    /// Returns the time until the store's content counts as it stands, in milliseconds, while what it
    /// had acknowledged is held. The collection is then listed again.
    pub fn left_ms(&self, now_ms: u64) -> Option<u64> {
        self.until_ms.map(|until_ms| until_ms.saturating_sub(now_ms))
    }

    /// Ends the hold. What the next listing lacks is no longer held.
    pub fn end(&mut self) {
        self.until_ms = None;
    }
}

/// `CopiedRecord` is what the record of an upstream in the copy means for a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopiedRecord {
    /// It counts like any other record.
    Current,
    /// The node knows a later state of the same process, which stays.
    Outdated,
    /// The node knows a later process under this id, whose record is lost.
    Replaced,
    /// The upstream had been removed.
    Removed,
}

/// Returns what the record of an upstream in the copy means. `known` is the record that the node has
/// under the same id, and `removed` the last one that was removed.
pub fn judge_copied_record(
    copied: &UpstreamRecord,
    known: Option<&UpstreamRecord>,
    removed: Option<&UpstreamRecord>,
) -> CopiedRecord {
    let is_later_process = |other: &UpstreamRecord| {
        let starts = other.started_at_ms.zip(copied.started_at_ms);
        starts.is_some_and(|(other_ms, copied_ms)| other_ms > copied_ms)
    };
    match (known, removed) {
        (Some(known), _) if is_later_process(known) => CopiedRecord::Replaced,

        (Some(known), _)
            if is_same_incarnation(known, copied)
                && known.state == UpstreamState::Draining
                && copied.state == UpstreamState::Ready =>
        {
            CopiedRecord::Outdated
        }

        (None, Some(removed))
            if is_same_incarnation(removed, copied) || is_later_process(removed) =>
        {
            CopiedRecord::Removed
        }

        _ => CopiedRecord::Current,
    }
}
