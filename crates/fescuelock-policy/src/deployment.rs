//! The deployment that a node serves: routes, services, teams and limits of one configuration.

use std::collections::HashMap;

use fescuelock_core::arena::Arena;
use fescuelock_core::arena_key;

arena_key! {
    /// `RouteKey` addresses a route within one deployment.
    RouteKey
}
arena_key! {
    /// `PoolKey` addresses a service, which is a pool of upstreams, within one deployment.
    PoolKey
}
arena_key! {
    /// `TenantKey` addresses a team within one deployment.
    TenantKey
}

/// `Repetition` tells what may be repeated once an upstream may have run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repetition {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    Once,
    /// The answer is a stream that another upstream may continue after its last event.
    ResumableStream,
    /// The answer is a stream, and the request may run once at most.
    OnceStream,
}

/// `Route` is where requests of one host and path prefix go, and under which limits.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the paths that the route takes. It begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub repetition: Repetition,
    /// Longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds: up to the first event for streams.
    pub target_ms: u64,
    /// Longest pause between events of a stream that is on time, in milliseconds.
    pub pause_target_ms: u64,
    /// Rank of the route. 0 is the most urgent.
    pub priority: u32,
    /// Upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Services with their weights.
    pub pools: Vec<(PoolKey, u32)>,
    /// Models that may answer, smallest first. Empty if the caller names the model.
    pub model_sizes: Vec<String>,
    /// Regions that may hold the request. Empty if all may.
    pub home_regions: Vec<String>,
    /// Whether callers need no key.
    pub is_open: bool,
}

/// `ModelCost` is the price of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelCost {
    /// Name of the model.
    pub name: String,
    /// Price of 1,000 generated tokens, in units of a request's worth. A token that is read costs
    /// a quarter of a generated one.
    pub cost_per_ktoken: f64,
}

/// `UpstreamPool` is a service and what its upstreams bear.
#[derive(Debug, Clone)]
pub struct UpstreamPool {
    /// Name of the service.
    pub name: String,
    /// Time for which an upstream is cold after its start, in milliseconds.
    pub warmup_ms: u64,
    /// Requests per second that a cold upstream bears. 0 if coldness does not limit it.
    pub warmup_per_s: f64,
    /// The models of the pool. Empty for plain services.
    pub models: Vec<ModelCost>,
}

impl UpstreamPool {
    /// Returns the price of 1,000 generated tokens of a model.
    pub fn cost_per_ktoken(&self, model: &str) -> f64 {
        let entry = self.models.iter().find(|entry| entry.name == model);
        entry.map_or(0.0, |entry| entry.cost_per_ktoken)
    }
}

/// `Limits` bounds what a caller may send.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes. Defaults to 16 KiB.
    pub head_max_bytes: usize,
    /// Largest body, in bytes. Defaults to 4 MiB.
    pub body_max_bytes: usize,
    /// Time for the head of a request, in milliseconds. Defaults to 3,000.
    pub head_timeout_ms: u64,
    /// Time for which a connection may stay idle, in milliseconds. Defaults to 15,000.
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

/// `Tenant` is a team of callers with its rank.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Name of the team.
    pub name: String,
    /// Rank of the team, which goes before the rank of a route.
    pub priority: Option<u32>,
    /// Regions that may hold the team's requests. Empty if all may.
    pub home_regions: Vec<String>,
}

/// `Deployment` is one configuration, ready for look-ups.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// Number of the configuration. Numbers grow.
    pub version: u64,
    /// The routes.
    pub routes: Arena<RouteKey, Route>,
    /// The services.
    pub pools: Arena<PoolKey, UpstreamPool>,
    /// The teams.
    pub tenants: Arena<TenantKey, Tenant>,
    /// Limits on what callers may send.
    pub limits: Limits,
    tenants_by_api_key: HashMap<String, TenantKey>,
    routes_by_host: HashMap<String, Vec<RouteKey>>,
}

impl Deployment {
    /// Starts a configuration without routes.
    pub fn new(version: u64, limits: Limits) -> Self {
        Deployment { version, limits, ..Deployment::default() }
    }

    /// Adds a route. Routes of one host are looked up by their longest matching prefix.
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

    /// Adds a team with its keys.
    pub fn add_tenant(&mut self, tenant: Tenant, api_keys: impl IntoIterator<Item = String>) {
        let name = tenant.name.clone();
        let Ok(tenant) = self.tenants.insert(&name, tenant) else {
            return;
        };
        self.tenants_by_api_key.extend(api_keys.into_iter().map(|key| (key, tenant)));
    }

    /// Finds the route of a request: the longest prefix of the host that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&host)?;
        routes.iter().copied().find(|&key| path.starts_with(&self.routes.at(key).path_prefix))
    }

    /// Finds the team that holds a key.
    pub fn find_tenant(&self, api_key: &str) -> Option<TenantKey> {
        self.tenants_by_api_key.get(api_key).copied()
    }

    /// Tells whether callers need keys at all.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Returns the shortest latency objective of the routes to a service, in milliseconds.
    pub fn shortest_target_ms(&self, pool: PoolKey) -> Option<u64> {
        let routes = self.routes.iter().map(|(_, route)| route);
        let to_pool = routes.filter(|route| route.pools.iter().any(|(key, _)| *key == pool));
        to_pool.map(|route| route.target_ms).min()
    }

    /// Chooses the service of a request by the weights of its route.
    ///
    /// `draw` is a number from 0 up to 1 that stays the same for all requests of one session.
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
