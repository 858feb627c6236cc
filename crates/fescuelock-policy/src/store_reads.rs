//! Decides whether a node reads changes of the store from its current state or from a copy that may
//! lag behind.
//!
//! Handles large fleets, in which each change is read by every node, so that calls to the store grow
//! with nodes times changes. An answer that may be some seconds old costs a tenth of a current one and
//! doesn't count toward the store's rate. So a share of the nodes, the readers, watches the current
//! state and reports the revision of each change. The others watch a copy, and read the current state
//! once if the copy doesn't hold a reported change soon. A node that hears of no reader reads the
//! current state, so it depends on none of them.

use crate::cold_start::node_rank;

/// Number of nodes up to which all of them are readers. In such a fleet each report reaches all other
/// nodes, and the calls to the store are few.
const ALL_READERS_MAX_NODES: usize = 16;

/// Number of nodes for each reader. With reports to 16 random nodes, a node hears of at least one
/// reader in 86% of the rounds.
const NODES_PER_READER: usize = 8;

/// Smallest number of readers of a large fleet, so that the loss of a zone leaves some.
const READERS_MIN: usize = 8;

/// Seed of the nodes' ranks as readers, which makes them independent of other ranks.
const RANK_SEED: u64 = 0x5ead_e25e_ed00_0001;

/// Longest time without a report of a reader until a node reads the current state, as the time limit
/// for changes to take effect, divided by this. The rest of the limit is left for that read.
const READER_SILENCE_DIVISOR: u64 = 2;

/// Time for which a copy is not used after it failed or missed a change, in milliseconds. Copies are
/// some seconds old at most.
const COPY_HOLD_MS: u64 = 10_000;

/// `ReadMode` tells which state of the store answers a watch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReadMode {
    /// The current state.
    #[default]
    Current,
    /// A copy, which may be some seconds old.
    MayLag,
}

/// `Readers` tells which nodes are readers, and when this node last heard of one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Readers {
    /// Whether this node is a reader.
    pub is_reader: bool,
    /// Time of the last report of another reader, in milliseconds.
    pub last_report_ms: Option<u64>,
}

impl Readers {
    /// Returns the time at which the node has to read the current state if no reader reports before,
    /// in milliseconds. A reader always has to.
    fn silent_from_ms(&self, propagation_max_ms: u64) -> u64 {
        match self.last_report_ms {
            Some(at_ms) if !self.is_reader => at_ms + propagation_max_ms / READER_SILENCE_DIVISOR,
            _ => 0,
        }
    }

    /// Returns the time until a watch of a copy has to be replaced by one of the current state, in
    /// milliseconds. `propagation_max_ms` is the time limit for changes to take effect.
    pub fn copy_usable_for_ms(&self, propagation_max_ms: u64, now_ms: u64) -> u64 {
        self.silent_from_ms(propagation_max_ms).saturating_sub(now_ms)
    }
}

/// `CopyHold` keeps a watch from using a copy that has failed or missed a change lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct CopyHold {
    until_ms: u64,
}

impl CopyHold {
    /// Records that an answer failed, or missed a change.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.until_ms = now_ms + COPY_HOLD_MS;
    }

    /// Returns the state that answers the next watch.
    pub fn read_mode(&self, readers: &Readers, propagation_max_ms: u64, now_ms: u64) -> ReadMode {
        let is_held = now_ms < self.until_ms;
        match !is_held && readers.copy_usable_for_ms(propagation_max_ms, now_ms) > 0 {
            true => ReadMode::MayLag,
            false => ReadMode::Current,
        }
    }
}

/// Returns whether a node is a reader, given the hashes of all known nodes.
pub fn is_reader(node: u64, nodes: &[u64]) -> bool {
    let readers = (nodes.len() / NODES_PER_READER).max(READERS_MIN);
    !has_readers(nodes.len()) || node_rank(node, nodes.iter().copied(), RANK_SEED) < readers
}

/// Returns whether a fleet is so large that only some of its nodes are readers.
pub fn has_readers(nodes: usize) -> bool {
    nodes > ALL_READERS_MAX_NODES
}
