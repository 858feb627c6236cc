//! Faults that can be switched while stand-ins run.

use serde::{Deserialize, Serialize};

/// `EngineFaults` is what is wrong with an engine or a plain service's VM.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Requests that the upstream bears at once while it is cold. `None` when it is warm.
    pub cold_bound: Option<u32>,
    /// Answers after which a cold upstream is warm. 0 keeps it cold.
    pub warm_after: u32,
    /// Whether requests are taken and never answered.
    pub silent: bool,
    /// Delay before the answer, in milliseconds.
    pub late_ms: u64,
    /// Whether answers are those to another request.
    pub crossed: bool,
    /// Tokens after which streams break off.
    pub cut_after_tokens: Option<u64>,
    /// Whether a cut stream closes cleanly instead of breaking.
    pub cut_cleanly: bool,
    /// Whether a cut stream has an end marker.
    pub cut_with_marker: bool,
    /// Share of requests that run and are never answered, from 0 to 1.
    pub lost_answer_share: f64,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing number are carried out.
    pub ignores_fencing: bool,
    /// Share of answers that are bad, from 0 to 1.
    pub bad_share: f64,
}

/// `PlatformFaults` is what is wrong with the platform.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call is refused.
    pub outage: bool,
    /// Whether every call is taken and never answered.
    pub silent: bool,
    /// Delay before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes that take effect and are never answered, from 0 to 1.
    pub lost_answer_share: f64,
    /// Whether watches wait for ever.
    pub silent_watches: bool,
    /// Whether reads of an object give the value before the last.
    pub stale_reads: bool,
    /// Age of the list of VMs, in milliseconds.
    pub list_lag_ms: u64,
}
