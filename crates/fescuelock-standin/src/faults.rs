//! Faults that can be injected into running stand-ins.

use serde::{Deserialize, Serialize};

/// `EngineFaults` are the faults of an engine or of a plain service's VM.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Largest number of concurrent requests while the upstream is cold. `None` if it is warm.
    pub cold_bound: Option<u32>,
    /// Number of finished answers after which a cold upstream is warm. 0 keeps it cold.
    pub warm_after: u32,
    /// Whether requests are accepted and never answered.
    pub silent: bool,
    /// Delay before the answer, in milliseconds.
    pub late_ms: u64,
    /// Number of tokens after which streams pause once.
    pub pause_after_tokens: Option<u64>,
    /// Duration of the pause, in milliseconds.
    pub pause_ms: u64,
    /// Whether answers belong to another request.
    pub crossed: bool,
    /// Number of tokens after which streams are truncated.
    pub cut_after_tokens: Option<u64>,
    /// Whether a truncated stream is closed normally instead of aborted.
    pub cut_cleanly: bool,
    /// Whether a truncated stream still ends with the `[DONE]` marker.
    pub cut_with_marker: bool,
    /// Share of requests that are executed but never answered, from 0 to 1.
    pub lost_answer_share: f64,
    /// Age of the reported load, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether commands with a stale fencing token are performed.
    pub ignores_fencing: bool,
    /// Share of answers that are rated as bad, from 0 to 1.
    pub bad_share: f64,
}

/// `PlatformFaults` are the faults of the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call is answered with status 503.
    pub outage: bool,
    /// Whether every call is accepted and never answered.
    pub silent: bool,
    /// Delay before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect but are never answered, from 0 to 1.
    pub lost_answer_share: f64,
    /// Whether watches are never answered.
    pub silent_watches: bool,
    /// Whether reads of an object return its previous value.
    pub stale_reads: bool,
    /// Age of the list of VMs, in milliseconds.
    pub list_lag_ms: u64,
}
