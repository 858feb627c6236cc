//! Settings of a node, the limits that it must keep and the time limits of its environment.

use std::collections::BTreeMap;

use crate::cold_start::ColdStartLimit;
use crate::retry_budget::RetryLimit;
use crate::rollout::ExposureLimit;

/// `NodeSettings` holds the settings of one node.
#[derive(Debug, Clone, Default)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: String,
    /// IP address of the VM.
    pub ip: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Regions by availability zone.
    pub regions: BTreeMap<String, String>,
    /// Listen address for requests of callers.
    pub callers_address: String,
    /// Listen address for the load balancer's readiness checks.
    pub readiness_address: String,
    /// First and last port that are free for the nodes' own use.
    pub node_ports: (u16, u16),
    /// Address of the object store.
    pub store_address: String,
    /// Memory of the VM, in megabytes, if it is stated.
    pub memory_mb: Option<u64>,
    /// Maximum number of open descriptors of the process, if it is stated.
    pub descriptors_max: Option<u64>,
    /// Limits that the node must keep, and time limits of its environment.
    pub bounds: Bounds,
}

impl NodeSettings {
    /// Returns the names of the settings that differ in `changed` and take effect only at a
    /// restart.
    pub fn restart_only_changes(&self, changed: &NodeSettings) -> Vec<&'static str> {
        let settings = [
            ("name", self.name != changed.name),
            ("ip", self.ip != changed.ip),
            ("zone", self.zone != changed.zone),
            ("callers_address", self.callers_address != changed.callers_address),
            ("readiness_address", self.readiness_address != changed.readiness_address),
            ("node_ports", self.node_ports != changed.node_ports),
            ("store_address", self.store_address != changed.store_address),
            ("memory_mb", self.memory_mb != changed.memory_mb),
            ("descriptors_max", self.descriptors_max != changed.descriptors_max),
        ];
        settings.into_iter().filter_map(|(name, differs)| differs.then_some(name)).collect()
    }
}

/// `Bounds` holds the limits that the router must keep, and time limits that its environment sets.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Time from the stop signal to the kill, in milliseconds. Defaults to 8,000.
    pub grace_ms: u64,
    /// Time limit for a configuration change to take effect, in milliseconds. Defaults to 2,000.
    pub config_apply_ms: u64,
    /// Time limit from the record that an upstream is draining until it gets no more requests, in
    /// milliseconds. Defaults to 2,000.
    pub drain_ms: u64,
    /// Retention of the store's change history, in milliseconds. Defaults to 20,000.
    pub history_ms: u64,
    /// Read calls per second that the store takes from all nodes together. Defaults to 2,000.
    pub store_reads_per_s: f64,
    /// Write calls per second that the store takes from all nodes together. Defaults to 400.
    pub store_writes_per_s: f64,
    /// Window of the retry limit, in milliseconds. Defaults to 10,000.
    pub retry_window_ms: u64,
    /// Extra sends, that is retries and escalations, that the fleet may make per request. Defaults
    /// to 0.9.
    pub retry_ratio: f64,
    /// Extra sends that the fleet may make in a window in addition to the ratio, whatever the
    /// number of requests. Defaults to 50.
    pub retry_allowance: f64,
    /// Share of a service's requests that an unproven version may get. Defaults to 0.15.
    pub exposure_share: f64,
    /// Requests beyond that share that an unproven version may get. Defaults to 30.
    pub exposure_extra_requests: f64,
    /// Highest allowed multiple of the request rate of a cold upstream. Defaults to 1.5.
    pub warmup_rate_factor_max: f64,
    /// Requests to a cold upstream in any second that are allowed in addition to that multiple of
    /// its rate. Defaults to 5.
    pub warmup_extra_requests: f64,
    /// Time that upstreams have to register again after a store outage, in milliseconds. Defaults
    /// to 1,900: about two seconds from the return of the store, less the time until this node
    /// notices it.
    pub reregistration_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            grace_ms: 8_000,
            config_apply_ms: 2_000,
            drain_ms: 2_000,
            history_ms: 20_000,
            store_reads_per_s: 2_000.0,
            store_writes_per_s: 400.0,
            retry_window_ms: 10_000,
            retry_ratio: 0.9,
            retry_allowance: 50.0,
            exposure_share: 0.15,
            exposure_extra_requests: 30.0,
            warmup_rate_factor_max: 1.5,
            warmup_extra_requests: 5.0,
            reregistration_ms: 1_900,
        }
    }
}

impl Bounds {
    /// Returns the time limit for any change in the store to take effect, in milliseconds.
    pub fn propagation_max_ms(&self) -> u64 {
        self.config_apply_ms.min(self.drain_ms)
    }

    /// Returns the fleet's limit on extra sends.
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            allowance: self.retry_allowance,
            window_ms: self.retry_window_ms,
        }
    }

    /// Returns the fleet's limit on the requests to an unproven version.
    pub fn exposure_limit(&self) -> ExposureLimit {
        ExposureLimit { share: self.exposure_share, slack: self.exposure_extra_requests }
    }

    /// Returns the fleet's limit for a cold upstream that can take `per_s` requests per second.
    pub fn cold_start_limit(&self, per_s: f64) -> ColdStartLimit {
        ColdStartLimit {
            per_s,
            overshoot: self.warmup_rate_factor_max,
            slack: self.warmup_extra_requests,
        }
    }
}
