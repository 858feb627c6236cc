//! Configuration that a node serves: routes, services, teams and limits.

use std::collections::HashMap;

use fescuelock_core::arena::Arena;
use fescuelock_core::arena_key;

arena_key! {
    /// `RouteKey` identifies a route within one [`Deployment`].
    RouteKey
}
arena_key! {
    /// `PoolKey` identifies a service, which is a pool of upstreams, within one [`Deployment`].
    PoolKey
}
arena_key! {
    /// `TenantKey` identifies a team within one [`Deployment`].
    TenantKey
}

/// `RetrySafety` tells whether a request may be sent again once an upstream may have run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream that another upstream can resume after its last event.
    ResumableStream,
    /// The answer is a stream, and the request may run at most once.
    NonIdempotentStream,
}

/// `Route` defines the services and limits for the requests of one host and path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of the paths that match. It begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a request may be sent again once an upstream may have run it.
    pub retry_safety: RetrySafety,
    /// Longest time until the caller gets an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds. Applies to the first event of a stream.
    pub target_ms: u64,
    /// Longest time between two events of a stream that meets its objective, in milliseconds.
    pub event_gap_target_ms: u64,
    /// Priority of the route. 0 is the highest.
    pub priority: u32,
    /// Most upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Services with their traffic weights.
    pub pools: Vec<(PoolKey, u32)>,
    /// Models that may answer, smallest first. Empty if the caller names the model.
    pub models_by_size: Vec<String>,
    /// Regions in which requests may be processed. Empty if all are allowed.
    pub allowed_regions: Vec<String>,
    /// Whether callers need no API key.
    pub allows_anonymous: bool,
}

/// `ModelCost` is the price of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCost {
    /// Name of the model.
    pub name: String,
    /// Price of 1,000 generated tokens, in the unit of `Prompt::value`. An input token costs a
    /// quarter of a generated one.
    pub cost_per_ktoken: f64,
}

/// `UpstreamPool` describes a service, the capacity of its cold upstreams and its models.
#[derive(Debug, Clone)]
pub struct UpstreamPool {
    /// Name of the service.
    pub name: String,
    /// Duration of the cold start of an upstream, in milliseconds.
    pub warmup_ms: u64,
    /// Requests per second that a cold upstream can take. 0 if cold upstreams are not rate limited.
    pub warmup_per_s: f64,
    /// Models of the service. Empty for services without models.
    pub models: Vec<ModelCost>,
}

impl UpstreamPool {
    /// Returns the price of 1,000 generated tokens of a model, or 0 if the service lacks the model.
    pub fn cost_per_ktoken(&self, model: &str) -> f64 {
        let entry = self.models.iter().find(|entry| entry.name == model);
        entry.map_or(0.0, |entry| entry.cost_per_ktoken)
    }
}

/// `Limits` defines the limits on requests and connections of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes. Defaults to 16 KiB.
    pub head_max_bytes: usize,
    /// Largest request body, in bytes. Defaults to 4 MiB.
    pub body_max_bytes: usize,
    /// Timeout for reading a request head, in milliseconds. Defaults to 3,000.
    pub head_timeout_ms: u64,
    /// Timeout of an idle connection, in milliseconds. Defaults to 15,000.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// `Tenant` is a team of callers with its priority.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Name of the team.
    pub name: String,
    /// Priority of the team. Takes precedence over the priority of a route.
    pub priority: Option<u32>,
    /// Regions in which the team's requests may be processed. Empty if all are allowed.
    pub allowed_regions: Vec<String>,
}

/// `Deployment` is one version of the configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// Version of the configuration. Increases with each change.
    pub version: u64,
    /// Routes of the configuration.
    pub routes: Arena<RouteKey, Route>,
    /// Services of the configuration.
    pub pools: Arena<PoolKey, UpstreamPool>,
    /// Teams of the configuration.
    pub tenants: Arena<TenantKey, Tenant>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    tenants_by_api_key: HashMap<String, TenantKey>,
    routes_by_host: HashMap<String, Vec<RouteKey>>,
}

impl Deployment {
    /// Creates a configuration without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Deployment { version, limits, ..Deployment::default() }
    }

    /// Adds a route. The routes of one host are matched by their longest path prefix.
    pub fn add_route(&mut self, route: Route) {
        let host = route.host.to_ascii_lowercase();
        let length = route.path_prefix.len();
        let name = route.name.clone();
        let Ok(key) = self.routes.insert(&name, route) else {
            return;
        };
        let routes = self.routes_by_host.entry(host).or_default();
        let position =
            routes.partition_point(|&other| self.routes.at(other).path_prefix.len() > length);
        routes.insert(position, key);
    }

    /// Adds a team with its API keys.
    pub fn add_tenant(&mut self, tenant: Tenant, api_keys: impl IntoIterator<Item = String>) {
        let name = tenant.name.clone();
        let Ok(tenant) = self.tenants.insert(&name, tenant) else {
            return;
        };
        self.tenants_by_api_key.extend(api_keys.into_iter().map(|key| (key, tenant)));
    }

    /// Returns the route of a request: the one of the host with the longest prefix of the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&host)?;
        routes.iter().copied().find(|&key| path.starts_with(&self.routes.at(key).path_prefix))
    }

    /// Returns the team that owns an API key.
    pub fn find_tenant(&self, api_key: &str) -> Option<TenantKey> {
        self.tenants_by_api_key.get(api_key).copied()
    }

    /// Returns whether any team is configured, in which case callers need API keys.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the shortest latency objective of the routes to a service, in milliseconds.
    pub fn shortest_target_ms(&self, pool: PoolKey) -> Option<u64> {
        let routes = self.routes.iter().map(|(_, route)| route);
        let to_pool = routes.filter(|route| route.pools.iter().any(|(key, _)| *key == pool));
        to_pool.map(|route| route.target_ms).min()
    }

    /// Selects the service of a request by the weights of its route.
    ///
    /// `draw` is a number in [0, 1) that is the same for all requests of one session.
    pub fn choose_pool(&self, route: &Route, draw: f64) -> Option<PoolKey> {
        let total: u32 = route.pools.iter().map(|(_, weight)| weight).sum();
        let mut remaining = draw * f64::from(total);
        for &(pool, weight) in &route.pools {
            remaining -= f64::from(weight);
            if remaining < 0.0 {
                return Some(pool);
            }
        }
        route.pools.iter().rev().find(|(_, weight)| *weight > 0).map(|&(pool, _)| pool)
    }
}
