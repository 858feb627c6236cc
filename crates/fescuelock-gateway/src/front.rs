//! Reads a caller's request and finds its route and team.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{Attempt, Outcome};
use fescuelock_core::refusal::Refusal;
use fescuelock_http::Error as HttpError;
use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::server::Handler;
use fescuelock_platform::messages::{self, RequestHead};
use fescuelock_policy::deployment::{
    Deployment, PoolKey, Route, RouteKey, TenantKey, UpstreamPool,
};
use fescuelock_policy::placement::hash_name;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::beliefs::Beliefs;
use crate::metrics::Timing;
use crate::path::{self, Ended};
use crate::trace::Trace;

/// Time by which upstreams are told to end before the caller's time does, in milliseconds, so that
/// their own last answers still arrive.
const LAST_ANSWER_MS: u64 = 20;

/// Shortest time for which a node that is not ready is expected to stay so, in milliseconds.
const UNTIL_READY_MIN_MS: f64 = 800.0;

/// Requests that a node holds at once. Some tens of kilobytes each stay within a small VM's memory.
const REQUESTS_MAX: u64 = 1_500;

/// `Call` is a request that has been read.
pub struct Call {
    /// Id of the request.
    pub id: String,
    /// What its headers say.
    pub head: RequestHead,
    /// The method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path_and_query: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The configuration that the request is served under.
    pub deployment: Arc<Deployment>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller's time or the route's time-out ends, whichever is first.
    pub ends: Instant,
    /// Key of the session, or of the request if it has none.
    pub session: u64,
    route: RouteKey,
    pool: PoolKey,
    team: Option<TenantKey>,
    _counted: Counted,
}

/// `Counted` counts a request in flight.
struct Counted {
    beliefs: Arc<Beliefs>,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.beliefs.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Call {
    /// Returns the route.
    pub fn route(&self) -> &Route {
        self.deployment.routes.at(self.route)
    }

    /// Returns a stable hash of the route's name.
    pub fn route_hash(&self) -> u64 {
        hash_name(&self.route().name)
    }

    /// Returns the service.
    pub fn pool(&self) -> &UpstreamPool {
        self.deployment.pools.at(self.pool)
    }

    /// Returns the shortest latency objective of any request that the service gets, in milliseconds.
    pub fn shortest_target_ms(&self) -> u64 {
        let shortest = self.deployment.shortest_target_ms(self.pool);
        shortest.unwrap_or(self.route().target_ms).max(1)
    }

    /// Returns the name of the caller's team.
    pub fn team_name(&self) -> Option<&str> {
        self.team.map(|team| self.deployment.tenants.at(team).name.as_str())
    }

    /// Returns the rank of the request: the team's before the route's.
    pub fn priority(&self) -> u32 {
        let of_team = self.team.and_then(|team| self.deployment.tenants.at(team).priority);
        of_team.unwrap_or(self.route().priority)
    }

    /// Returns the regions that may hold the request. Empty if all may.
    pub fn home_regions(&self) -> Vec<String> {
        let of_route = &self.route().home_regions;
        let of_team =
            self.team.map(|team| self.deployment.tenants.at(team).home_regions.as_slice());
        match of_team {
            Some([]) | None => of_route.clone(),
            Some(of_team) if of_route.is_empty() => of_team.to_vec(),
            Some(of_team) => {
                let both: Vec<String> =
                    of_team.iter().filter(|region| of_route.contains(region)).cloned().collect();
                // No region is both: none may hold the request.
                if both.is_empty() { vec![String::new()] } else { both }
            }
        }
    }

    /// Notes a latency of the request under its route and the version that served it.
    pub fn note_ms(&self, beliefs: &Beliefs, timing: Timing, version: &str, latency_ms: u64) {
        let labels = [("route", self.route().name.as_str()), ("version", version)];
        beliefs.metrics.note_ms(timing, &labels, latency_ms);
    }

    /// Tells whether the router chooses the model.
    pub fn chooses_model(&self) -> bool {
        !self.route().model_sizes.is_empty() && self.head.prompt.model.is_none()
    }

    /// Returns the time that an upstream may work, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        crate::dispatch::ms_until(self.ends).saturating_sub(LAST_ANSWER_MS).max(1)
    }

    /// Returns the time that is left of the latency objective, in milliseconds.
    pub fn target_left_ms(&self) -> f64 {
        self.route().target_ms as f64 - self.arrived.elapsed().as_secs_f64() * 1_000.0
    }
}

/// `Front` answers callers.
pub struct Front {
    /// What the node knows.
    pub beliefs: Arc<Beliefs>,
}

impl Handler for Front {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let mut response = answer(&self.beliefs, request).await;
            if self.beliefs.stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    }
}

/// Answers one request.
async fn answer(beliefs: &Arc<Beliefs>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    beliefs.counters.count(Counter::Requests);
    let head = messages::read_request(request.headers());
    let id = head.request_id.clone().unwrap_or_default();
    let left_ms = head.deadline_ms;
    let mut trace = Trace::new(&beliefs.logger, &id, arrived);
    match read(beliefs, request, head, arrived, &mut trace).await {
        Ok(call) => path::serve(beliefs, call, trace).await,

        Err(refusal) => {
            trace.add("refused", refusal.to_string());
            let return_ms = match refusal {
                Refusal::NotReady => Some(until_ready_ms(beliefs, left_ms)),
                _ => None,
            };
            let outcome = Outcome::NotRun(Attempt::new().refuse(refusal));
            path::answer_unserved(beliefs, &Ended { outcome, return_ms }, trace)
        }
    }
}

/// Returns the time after which a caller may find a node ready that is not, in milliseconds.
///
/// An outage of the store that has lasted for a while is likely to last as long again.
fn until_ready_ms(beliefs: &Beliefs, left_ms: Option<u64>) -> f64 {
    let waited_ms = (beliefs.now_ms() as f64).max(UNTIL_READY_MIN_MS);
    let longest_ms = left_ms.map_or(f64::INFINITY, |left_ms| left_ms as f64 / 3.0);
    (waited_ms * (0.7 + 0.6 * beliefs.draw())).min(longest_ms)
}

/// Reads a request, and finds the route and the team that it belongs to.
async fn read(
    beliefs: &Arc<Beliefs>,
    request: Request<Incoming>,
    head: RequestHead,
    arrived: Instant,
    trace: &mut Trace,
) -> Result<Call, Refusal> {
    let deployment = beliefs.deployment().ok_or(Refusal::NotReady)?;
    let (parts, body) = request.into_parts();
    let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route_key = deployment
        .find_route(host, parts.uri.path())
        .ok_or_else(|| Refusal::UnknownPath(parts.uri.path().to_owned()))?;
    let route = deployment.routes.at(route_key);
    trace.set_route(deployment.version, &route.name, route.target_ms);
    let needs_key = deployment.has_tenants() && !route.is_open;
    let team = head.api_key.as_deref().and_then(|key| deployment.find_tenant(key));
    if needs_key && team.is_none() {
        return Err(Refusal::UnknownKey);
    }
    let held = beliefs.in_flight.fetch_add(1, Ordering::Relaxed);
    let counted = Counted { beliefs: Arc::clone(beliefs) };
    if held >= REQUESTS_MAX {
        return Err(Refusal::Overloaded);
    }
    let wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let ends = arrived + Duration::from_millis(wait_ms);
    let limit_bytes = deployment.limits.body_max_bytes;
    let body = match timeout(Duration::from_millis(wait_ms), read_all(body, limit_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(HttpError::TooLarge { limit_bytes })) => {
            return Err(Refusal::BodyTooLarge { limit_bytes });
        }
        Ok(Err(error)) => return Err(Refusal::MalformedBody(error.to_string())),
        Err(_) => return Err(Refusal::BodyTimeout { limit_ms: wait_ms }),
    };
    let session = session_of(&head).unwrap_or_else(|| beliefs.draw_bits());
    let draw = fescuelock_policy::placement::rendezvous(session, route_hash_seed(&route.name));
    let pool = deployment
        .choose_pool(route, draw)
        .ok_or_else(|| Refusal::NoUpstream(route.name.clone()))?;
    beliefs.note_request(&deployment.pools.at(pool).name);
    Ok(Call {
        id: head.request_id.clone().unwrap_or_default(),
        head,
        method: parts.method,
        path_and_query,
        headers: parts.headers,
        body,
        arrived,
        ends,
        session,
        route: route_key,
        pool,
        team,
        deployment,
        _counted: counted,
    })
}

/// Returns the key of a request's session: what the caller names, or the last part of its prompt.
fn session_of(head: &RequestHead) -> Option<u64> {
    match &head.session {
        Some(session) => Some(hash_name(session)),
        None => head.prompt.parts.last().map(|part| part.id),
    }
}

/// Returns the number by which the weights of a route's services are drawn.
fn route_hash_seed(route: &str) -> u64 {
    hash_name(route).rotate_left(17)
}
