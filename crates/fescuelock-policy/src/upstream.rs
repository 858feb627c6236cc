//! State that an upstream reports about itself.

/// `UpstreamState` tells whether an upstream accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamState {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream is shutting down and accepts no new requests.
    Draining,
}

/// `UpstreamRecord` is an upstream's entry in the object store.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamRecord {
    /// Id of the upstream. An id may be reused by several instances.
    pub id: String,
    /// Name of the service.
    pub pool: String,
    /// Address as `IP:PORT`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Version of the service's software.
    pub version: String,
    /// Requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: UpstreamState,
    /// Remaining cold start time when the record was written, in milliseconds.
    pub warmup_left_ms: u64,
    /// Unix time of the start, in milliseconds, if reported. Distinguishes the instances that reuse
    /// an id.
    pub started_at_ms: Option<u64>,
}

/// Returns whether two records describe the same incarnation of an upstream, without a restart
/// between them.
pub fn is_same_incarnation(old: &UpstreamRecord, new: &UpstreamRecord) -> bool {
    let same_start = match (old.started_at_ms, new.started_at_ms) {
        (Some(old), Some(new)) => old == new,
        _ => true,
    };
    same_start && old.address == new.address && old.pool == new.pool
}
