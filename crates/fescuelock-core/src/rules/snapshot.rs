//! The compiled rules by which nodes route requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::str::FromStr;

use crate::arena::Arena;
use crate::ids::{
    Generation, KeyHash, ModelKey, ServiceKey, TeamKey, UpstreamKey, VersionKey, ZoneKey,
};
use crate::placement::Workload;
use crate::units::Price;
use crate::{Error, Result};

/// `Priority` is the priority that a `team` rule declares. Routing does not read it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Lower than normal.
    Low,
    /// The priority of a team whose rule declares none.
    #[default]
    Normal,
    /// Higher than normal.
    High,
    /// The highest priority.
    Critical,
}

/// `Protocol` is the HTTP version of the connections to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1, with one request at a time per connection.
    #[default]
    Http1,
    /// HTTP/2 with prior knowledge, with multiplexed requests on a connection.
    Http2,
}

/// `FencingSupport` tells whether an upstream rejects commands with an outdated fencing token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FencingSupport {
    /// The upstream accepts commands with any fencing token.
    #[default]
    Ignored,
    /// The upstream rejects commands with an outdated fencing token.
    Checked,
}

/// `ResponseIdSource` tells how an engine generates the `id` field of its responses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseIdSource {
    /// The `id` contains the `x-request-id` header of the request.
    #[default]
    Echoed,
    /// The engine generates an `id` of its own, which all events of a response share.
    Own,
}

/// Implements `FromStr` for an enum whose variants are written as keywords.
macro_rules! keyword_from_str {
    ($type:ty, $expected:literal, $($keyword:literal => $variant:expr),+) => {
        impl FromStr for $type {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                match text {
                    $($keyword => Ok($variant),)+
                    _ => Err(Error::malformed(text, $expected)),
                }
            }
        }
    };
}

keyword_from_str!(Priority, "low, normal, high or critical",
    "low" => Priority::Low, "normal" => Priority::Normal,
    "high" => Priority::High, "critical" => Priority::Critical);
keyword_from_str!(Protocol, "http1 or http2",
    "http1" => Protocol::Http1, "http2" => Protocol::Http2);
keyword_from_str!(FencingSupport, "checked or ignored",
    "checked" => FencingSupport::Checked, "ignored" => FencingSupport::Ignored);
keyword_from_str!(ResponseIdSource, "echoed or own",
    "echoed" => ResponseIdSource::Echoed, "own" => ResponseIdSource::Own);

/// `ScoringWeights` holds the weights of cost, quality and risk in routing decisions, as set by
/// operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ScoringWeights {
    /// Multipliers of a request's value, which is its worth when a response is weighed against its
    /// cost, by the numeric priority of the request. A missing priority has the multiplier 1.
    ///
    /// The number is not the [`Priority`] of a `team` rule.
    pub value_factor_by_priority: BTreeMap<u32, f64>,
    /// Share of a request's value that is lost by a poor response. Defaults to 0.95.
    pub poor_response_loss_share: f64,
    /// Cost of an upstream in another availability zone, as a share of the request's value.
    /// Defaults to 0.03.
    pub cross_zone_cost_share: f64,
}

impl Default for ScoringWeights {
    fn default() -> Self {
        ScoringWeights {
            value_factor_by_priority: BTreeMap::new(),
            poor_response_loss_share: 0.95,
            cross_zone_cost_share: 0.03,
        }
    }
}

impl ScoringWeights {
    /// Returns the multiplier of the value of requests with a numeric priority.
    pub fn value_factor(&self, priority: u32) -> f64 {
        self.value_factor_by_priority.get(&priority).copied().unwrap_or(1.0)
    }
}

/// `Zone` is an availability zone.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Name of the region of the zone.
    pub region: String,
    /// Whether operators have taken the zone out of service.
    pub is_out_of_service: bool,
}

/// `Model` is a model with one or more versions.
#[derive(Debug, Clone)]
pub struct Model {
    /// Name of the model.
    pub name: String,
}

/// `Rollout` is the gradual introduction of a version.
#[derive(Debug, Clone, Copy)]
pub struct Rollout {
    /// The predecessor, which receives the remaining requests.
    pub from: VersionKey,
    /// Percentage of the requests that the new version receives.
    pub percent: f64,
}

/// `Version` is one version of a model.
#[derive(Debug, Clone)]
pub struct Version {
    /// Name of the version, as `model/version`.
    pub name: String,
    /// The model that the version belongs to.
    pub model: ModelKey,
    /// Price of the version.
    pub price: Price,
    /// Share of good responses that operators expect of the version, from 0 to 1.
    pub quality: f64,
    /// Whether operators have withdrawn the version.
    pub is_withdrawn: bool,
    /// The roll-out of the version, if one is in progress.
    pub rollout: Option<Rollout>,
    /// Upstreams that serve the version.
    pub upstreams: Vec<UpstreamKey>,
}

/// `Upstream` is a model engine or a VM of a plain service.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: String,
    /// The availability zone in which it runs.
    pub zone: ZoneKey,
    /// Address as `IP:PORT`.
    pub address: String,
    /// HTTP version of the connections to it.
    pub protocol: Protocol,
    /// Requests in flight from one node at which the upstream counts as full. The node exceeds it
    /// if all upstreams are full.
    pub concurrency: u32,
    /// Concurrent requests that the rules allow during a cold start. Placement does not read it.
    pub cold_start_concurrency: u32,
    /// Whether it checks fencing tokens.
    pub fencing: FencingSupport,
    /// How it generates the ids of its responses.
    pub ids: ResponseIdSource,
    /// Whether operators have requested that it is drained.
    pub is_draining: bool,
}

/// `CallRule` allows calls under a path prefix and tells whether they may be retried.
#[derive(Debug, Clone)]
pub struct CallRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, relative to the path of the service.
    pub path_prefix: String,
    /// Whether the call may be sent more than once.
    pub is_retryable: bool,
}

/// `Service` is a plain HTTP service that is not a model engine.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Its call rules, sorted by descending prefix length.
    pub calls: Vec<CallRule>,
    /// Upstreams that serve it.
    pub upstreams: Vec<UpstreamKey>,
}

impl Service {
    /// Returns the rule with the longest prefix that matches a call.
    pub fn call(&self, method: &str, path: &str) -> Option<&CallRule> {
        self.calls
            .iter()
            .find(|rule| rule.method == method && is_path_prefix(&rule.path_prefix, path))
    }
}

/// `Team` is a group of callers with common keys, permissions and a minimum quality.
#[derive(Debug, Clone)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// The minimum quality that the team accepts, from 0 to 1.
    pub quality_min: f64,
    /// Declared priority of the team.
    pub priority: Priority,
    /// Versions that the team may use.
    pub versions: BTreeSet<VersionKey>,
    /// Services that the team may call.
    pub services: BTreeSet<ServiceKey>,
}

/// `ConfigSnapshot` is an immutable snapshot of one generation of the rules, compiled for routing.
#[derive(Debug, Clone, Default)]
pub struct ConfigSnapshot {
    /// Generation of the rules; 0 until the first rules are loaded.
    pub generation: Generation,
    /// Availability zones.
    pub zones: Arena<ZoneKey, Zone>,
    /// Models.
    pub models: Arena<ModelKey, Model>,
    /// Versions of the models, by full name.
    pub versions: Arena<VersionKey, Version>,
    /// Upstreams.
    pub upstreams: Arena<UpstreamKey, Upstream>,
    /// Plain services.
    pub services: Arena<ServiceKey, Service>,
    /// Teams.
    pub teams: Arena<TeamKey, Team>,
    /// Teams by the hashes of their bearer keys.
    pub keys: HashMap<KeyHash, TeamKey>,
    /// Addresses of upstreams whose VMs the platform lists as leaving.
    pub leaving_addresses: Vec<String>,
    /// Weights of cost, quality and risk.
    pub scoring_weights: ScoringWeights,
}

impl ConfigSnapshot {
    /// Returns the upstreams that serve a version or a service.
    pub fn upstreams_of(&self, workload: Workload) -> &[UpstreamKey] {
        match workload {
            Workload::Version(version) => &self.versions.at(version).upstreams,
            Workload::Service(service) => &self.services.at(service).upstreams,
        }
    }

    /// Looks up a version by name, or a service by its name with the prefix `service:`.
    pub fn find_workload(&self, name: &str) -> Option<Workload> {
        match name.strip_prefix("service:") {
            Some(service) => self.services.find(service).map(Workload::Service),
            None => self.versions.find(name).map(Workload::Version),
        }
    }

    /// Returns `true` if an upstream may take new requests.
    ///
    /// It may if it is neither draining nor leaving and its zone is in service.
    pub fn is_available(&self, key: UpstreamKey) -> bool {
        let upstream = self.upstreams.at(key);
        let zone = self.zones.at(upstream.zone);
        !zone.is_out_of_service
            && !upstream.is_draining
            && !self.leaving_addresses.contains(&upstream.address)
    }

    /// Returns `true` if at least one upstream of a version may take new requests.
    pub fn has_available_upstream(&self, version: VersionKey) -> bool {
        self.versions.at(version).upstreams.iter().any(|&key| self.is_available(key))
    }

    /// Returns `true` if a version is not withdrawn and has an available upstream.
    pub fn is_in_service(&self, version: VersionKey) -> bool {
        !self.versions.at(version).is_withdrawn && self.has_available_upstream(version)
    }
}

/// Returns `true` if a path starts with a prefix that ends at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with(['/', '?']) || prefix.ends_with('/'),
        None => false,
    }
}
