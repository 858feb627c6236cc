//! The HTTP handler for callers: reads and authenticates a request, and resolves its route, team
//! and service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{Outcome, RequestProgress, Unknown, UnknownCause};
use fescuelock_core::refusal::Refusal;
use fescuelock_http::Error as HttpError;
use fescuelock_http::body::{Body, BodyLimits, read_request};
use fescuelock_http::byte_budget::Holder;
use fescuelock_http::discard::{Discard, DiscardEnd};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::panics;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, RequestLabel};
use fescuelock_platform::protocol::{self, RequestHead};
use fescuelock_policy::answer_time;
use fescuelock_policy::deployment::{
    Deployment, PoolKey, Route, RouteKey, TenantKey, UpstreamPool,
};
use fescuelock_policy::fair_share;
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::prompt::Prompt;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use slog::{error, info};
use tokio::time::{Instant, timeout};

use crate::dispatch::ms_until;
use crate::error_response;
use crate::log::TAG_DETAIL;
use crate::metrics::{LabelledCounter, LatencyHistogram};
use crate::node_state::{GracePeriod, NodeState};
use crate::serve::{self, RequestFailure};
use crate::trace::Trace;
use crate::waiting_room;

/// Margin by which the deadline given to an upstream precedes the caller's, in milliseconds, so
/// that a response sent at the last moment still arrives.
const DEADLINE_MARGIN_MS: u64 = 20;

/// Lower bound on the time for which a node is expected to stay not ready, in milliseconds.
const EXPECTED_NOT_READY_MIN_MS: f64 = 800.0;

/// Maximum number of requests in flight on a node. At some tens of kilobytes each, they fit in the
/// memory of a small VM.
const IN_FLIGHT_MAX: u64 = 1_500;

/// `RoutedRequest` is a request that has been read in full, with its route, team and service.
pub struct RoutedRequest {
    /// Request id.
    pub id: String,
    /// Values parsed from the headers that the router interprets.
    pub parsed_headers: RequestHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query, unchanged from the caller's request.
    pub path_and_query: String,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Configuration in force when the request arrived; it applies until the request ends.
    pub deployment: Arc<Deployment>,
    /// Time of arrival.
    pub arrived: Instant,
    /// The caller's deadline or the end of the route's timeout, whichever is earlier.
    pub deadline: Instant,
    /// Key for session affinity: a hash of the session that the caller names, or else the id of the
    /// prompt's last segment, or else random.
    pub session_key: u64,
    /// Time that the caller has used in earlier attempts, in milliseconds, as far as its deadline tells.
    pub used_ms: u64,
    pub(crate) route: RouteKey,
    pub(crate) pool: PoolKey,
    team: Option<TenantKey>,
    _in_flight_guard: InFlightGuard,
}

/// `InFlightGuard` keeps a request in the count of requests in flight until it is dropped.
struct InFlightGuard {
    node_state: Arc<NodeState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.node_state.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RoutedRequest {
    /// Returns the route.
    pub fn route(&self) -> &Route {
        self.deployment.routes.at(self.route)
    }

    /// Returns a hash of the route's name that is the same on all nodes.
    pub fn route_hash(&self) -> u64 {
        hash_name(&self.route().name)
    }

    /// Returns the service that was chosen for the request, with the settings of its pool.
    pub fn pool(&self) -> &UpstreamPool {
        self.deployment.pools.at(self.pool)
    }

    /// Returns the shortest latency target of all routes to the service, in milliseconds; at least
    /// 1.
    pub fn shortest_target_ms(&self) -> u64 {
        let shortest = self.deployment.shortest_target_ms(self.pool);
        shortest.unwrap_or(self.route().target_ms).max(1)
    }

    /// Returns the name of the caller's team.
    pub fn team_name(&self) -> Option<&str> {
        self.team.map(|team| self.deployment.tenants.at(team).name.as_str())
    }

    /// Returns a hash of the service's name that is the same on all nodes.
    pub fn pool_hash(&self) -> u64 {
        hash_name(&self.pool().name)
    }

    /// Returns a hash of the name of the caller's team that is the same on all nodes.
    pub fn team_hash(&self) -> u64 {
        waiting_room::team_hash(self.team_name())
    }

    /// Returns the weight of the caller's team in the sharing of capacity.
    pub fn team_weight(&self) -> f64 {
        let team = self.team.map(|team| self.deployment.tenants.at(team));
        fair_share::team_weight(team.and_then(|team| team.priority))
    }

    /// Returns the priority of the request. The team's priority takes precedence over the route's.
    pub fn priority(&self) -> u32 {
        let team_priority = self.team.and_then(|team| self.deployment.tenants.at(team).priority);
        team_priority.unwrap_or(self.route().priority)
    }

    /// Returns the regions in which the request may be processed; empty if it may be in any.
    ///
    /// If both the route and the team restrict the regions, only those that both allow remain.
    pub fn allowed_regions(&self) -> Vec<String> {
        let route_regions = &self.route().allowed_regions;
        let team_regions =
            self.team.map(|team| self.deployment.tenants.at(team).allowed_regions.as_slice());
        match team_regions {
            Some([]) | None => route_regions.clone(),
            Some(team_regions) if route_regions.is_empty() => team_regions.to_vec(),
            Some(team_regions) => {
                let common: Vec<String> = team_regions
                    .iter()
                    .filter(|region| route_regions.contains(region))
                    .cloned()
                    .collect();
                // An empty list would allow every region. The empty name matches none.
                if common.is_empty() { vec![String::new()] } else { common }
            }
        }
    }

    /// Records a latency of the request, labelled with its route and the version that served it.
    pub fn record_latency(
        &self,
        node_state: &NodeState,
        timing: LatencyHistogram,
        version: &str,
        latency_ms: u64,
    ) {
        let labels = [("route", self.route().name.as_str()), ("version", version)];
        node_state.metrics.record_ms(timing, &labels, latency_ms);
        if timing == LatencyHistogram::Answer {
            let (route, size) = (self.route_hash(), self.answer_size());
            node_state.answer_times().record(route, size, latency_ms);
        }
    }

    /// Returns the expected size of the answer: its number of tokens, or 1 for a plain answer.
    pub fn answer_size(&self) -> u32 {
        let Prompt { output_hint_tokens, output_max_tokens, .. } = self.parsed_headers.prompt;
        output_hint_tokens.unwrap_or(output_max_tokens).max(1)
    }

    /// Returns whether the router chooses the model: the route lists models and the caller names
    /// none.
    pub fn chooses_model(&self) -> bool {
        !self.route().models_by_size.is_empty() && self.parsed_headers.prompt.model.is_none()
    }

    /// Returns the time that an upstream has to respond, in milliseconds.
    pub fn upstream_timeout_ms(&self) -> u64 {
        crate::dispatch::ms_until(self.deadline).saturating_sub(DEADLINE_MARGIN_MS).max(1)
    }

    /// Returns the time remaining until the latency target, in milliseconds; negative once missed.
    pub fn target_left_ms(&self) -> f64 {
        self.route().target_ms as f64 - self.arrived.elapsed().as_secs_f64() * 1_000.0
    }
}

/// `GatewayHandler` is the HTTP handler for callers' requests.
pub struct GatewayHandler {
    /// State of the node, shared by all requests.
    pub node_state: Arc<NodeState>,
}

impl Handler for GatewayHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let id = request.headers().get(protocol::REQUEST_ID).cloned();
            let handling = panics::catch(handle_request(&self.node_state, request));
            let handled = tokio::select! {
                biased;
                handled = handling => handled.map_err(|panic| {
                    error!(self.node_state.logger, "request handling panicked";
                        "request" => id.as_ref().and_then(|id| id.to_str().ok()), "panic" => panic);
                    self.node_state.counters.count(Counter::RequestsPanicked);
                    UnknownCause::Internal
                }),
                () = self.node_state.grace_over.cancelled() => Err(UnknownCause::AnswerTimeout),
            };
            let mut response = handled
                .unwrap_or_else(|cause| respond_to_unknown(&self.node_state, id.as_ref(), cause));
            if let Some(id) = id.as_ref().and_then(|id| id.to_str().ok()) {
                response.extensions_mut().insert(RequestLabel(id.to_owned()));
            }
            if self.node_state.stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    }

    fn record_discard(&self, label: Option<&RequestLabel>, discard: Discard) {
        let rest = match discard.end {
            DiscardEnd::Drained => "drained",
            DiscardEnd::TooLarge => "too_large",
            DiscardEnd::TimedOut => "timed_out",
        };
        let connection = if discard.keeps_connection { "kept" } else { "closed" };
        let labels = [("rest", rest), ("connection", connection)];
        self.node_state.metrics.count(LabelledCounter::UnreadRequests, &labels);
        info!(self.node_state.logger, #TAG_DETAIL, "request answered unread";
            "request" => label.map_or("", |label| &label.0), "rest" => rest,
            "connection" => connection);
    }
}

/// Builds the response to a request whose handling ended early. An upstream may have run it.
fn respond_to_unknown(
    node_state: &NodeState,
    id: Option<&HeaderValue>,
    cause: UnknownCause,
) -> Response<Body> {
    let id = id.and_then(|id| id.to_str().ok());
    node_state.metrics.count(LabelledCounter::Failures, &[("reason", cause.code())]);
    node_state.counters.count(Counter::RequestsUnknown);
    error_response::build(id, &Outcome::Unknown(Unknown::after_send(cause)), None)
}

/// Handles one request from its arrival to the head of its response.
async fn handle_request(
    node_state: &Arc<NodeState>,
    request: Request<RequestBody>,
) -> Response<Body> {
    let arrived = Instant::now();
    node_state.counters.count(Counter::Requests);
    let parsed_headers = protocol::parse_request_headers(request.headers());
    let id = parsed_headers.request_id.clone().unwrap_or_default();
    let deadline_ms = parsed_headers.deadline_ms;
    let mut trace = Trace::new(&node_state.logger, &id, arrived);
    match receive_request(node_state, request, parsed_headers, arrived, &mut trace).await {
        Ok(routed) => match time_missing_ms(node_state, &routed) {
            None => serve::serve(node_state, routed, trace).await,

            Some(retry_after_ms) => {
                trace.add("refused", "the node stops before the answer would end".to_owned());
                let outcome = Outcome::NotRun(RequestProgress::new().refuse(Refusal::NotReady));
                let retry_after_ms = Some(retry_after_ms as f64);
                let failure = RequestFailure { outcome, retry_after_ms };
                serve::finish_unserved(node_state, &failure, trace)
            }
        },

        Err(refusal) => {
            trace.add("refused", refusal.to_string());
            let retry_after_ms = match refusal {
                Refusal::NotReady if !node_state.stopping.is_cancelled() => {
                    Some(not_ready_retry_after_ms(node_state, deadline_ms))
                }
                Refusal::MemoryShort { retry_after_ms } => {
                    Some(spread_retry_after_ms(node_state, retry_after_ms as f64, deadline_ms))
                }
                _ => None,
            };
            let outcome = Outcome::NotRun(RequestProgress::new().refuse(refusal));
            serve::finish_unserved(node_state, &RequestFailure { outcome, retry_after_ms }, trace)
        }
    }
}

/// Returns the time after which a caller should retry at a node that is not ready, in milliseconds.
///
/// A node is not ready until it has first read its configuration and what else it needs from the
/// store. This is expected to take about as long again as since the node's start. The time is
/// randomised by 30 percent, so that callers don't all return at once, and is at most a third of the
/// time to the caller's deadline.
fn not_ready_retry_after_ms(node_state: &NodeState, deadline_ms: Option<u64>) -> f64 {
    let not_ready_ms = (node_state.now_ms() as f64).max(EXPECTED_NOT_READY_MIN_MS);
    spread_retry_after_ms(node_state, not_ready_ms, deadline_ms)
}

/// Randomises an expected time by 30 percent, up to a third of the time to the caller's deadline.
fn spread_retry_after_ms(
    node_state: &NodeState,
    expected_ms: f64,
    deadline_ms: Option<u64>,
) -> f64 {
    let retry_after_max_ms =
        deadline_ms.map_or(f64::INFINITY, |deadline_ms| deadline_ms as f64 / 3.0);
    (expected_ms * (0.7 + 0.6 * node_state.draw())).min(retry_after_max_ms)
}

/// Returns the team whose share of the byte budget a body counts in. With one team there are no
/// shares. Requests without a team share one.
fn budget_team(deployment: &Deployment, team: Option<TenantKey>) -> Option<u64> {
    let has_shares = deployment.tenants.len() > 1;
    let name = team.map_or("", |team| deployment.tenants.at(team).name.as_str());
    has_shares.then(|| hash_name(name))
}

/// Resolves the route and team of a request, admits it, reads its body and chooses its service.
async fn receive_request(
    node_state: &Arc<NodeState>,
    request: Request<RequestBody>,
    parsed_headers: RequestHead,
    arrived: Instant,
    trace: &mut Trace,
) -> Result<RoutedRequest, Refusal> {
    // An order, an upstream or a verdict that has not been read yet may exist.
    if !node_state.unread_collections.is_empty() {
        trace.add("unread", node_state.unread_collections.labels().join(", "));
        return Err(Refusal::NotReady);
    }
    let deployment = node_state.deployment().ok_or(Refusal::NotReady)?;
    let (parts, body) = request.into_parts();
    let path_and_query = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route_key = deployment
        .find_route(host, parts.uri.path())
        .ok_or_else(|| Refusal::UnknownPath(parts.uri.path().to_owned()))?;
    let route = deployment.routes.at(route_key);
    trace.set_route(deployment.version, &route.name, route.target_ms);
    let needs_key = deployment.has_tenants() && !route.allows_anonymous;
    let team = parsed_headers.api_key.as_deref().and_then(|key| deployment.find_tenant(key));
    if needs_key && team.is_none() {
        return Err(Refusal::UnknownKey);
    }
    let in_flight = node_state.in_flight.fetch_add(1, Ordering::Relaxed);
    let in_flight_guard = InFlightGuard { node_state: Arc::clone(node_state) };
    if in_flight >= IN_FLIGHT_MAX {
        return Err(Refusal::Overloaded);
    }
    let timeout_ms = parsed_headers.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    let deadline = arrived + Duration::from_millis(timeout_ms);
    let body_limits = BodyLimits {
        max_bytes: deployment.limits.body_max_bytes,
        idle_timeout_ms: deployment.limits.idle_timeout_ms,
        team: budget_team(&deployment, team),
    };
    let reading = read_request(body, &node_state.budget, &body_limits);
    let reading = timeout(Duration::from_millis(timeout_ms), reading);
    let read = tokio::select! {
        biased;
        read = reading => read,
        () = node_state.grace_over.cancelled() => return Err(Refusal::NotReady),
    };
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            let team = team.map(|team| deployment.tenants.at(team).name.as_str());
            log_refused_body(node_state, parsed_headers.request_id.as_deref(), team, &error);
            return Err(body_refusal(&error));
        }
        Err(_) => return Err(Refusal::BodyTimeout { limit_ms: timeout_ms }),
    };
    let session_key = derive_session_key(&parsed_headers).unwrap_or_else(|| node_state.draw_bits());
    let draw = fescuelock_policy::placement::hash_pair(session_key, pool_choice_seed(&route.name));
    let pool = deployment
        .choose_pool(route, draw)
        .ok_or_else(|| Refusal::NoUpstream(route.name.clone()))?;
    node_state.record_request_for_retries(&deployment.pools.at(pool).name);
    let used_ms = node_state.used_ms(hash_name(&route.name), parsed_headers.deadline_ms);
    Ok(RoutedRequest {
        id: parsed_headers.request_id.clone().unwrap_or_default(),
        parsed_headers,
        method: parts.method,
        path_and_query,
        headers: parts.headers,
        body,
        arrived,
        deadline,
        session_key,
        used_ms,
        route: route_key,
        pool,
        team,
        deployment,
        _in_flight_guard: in_flight_guard,
    })
}

/// Returns the refusal of a request whose body could not be read.
fn body_refusal(error: &HttpError) -> Refusal {
    match *error {
        HttpError::TooLarge { limit_bytes } => Refusal::BodyTooLarge { limit_bytes },
        HttpError::BudgetShort { retry_after_ms } => Refusal::MemoryShort { retry_after_ms },
        HttpError::BodyStalled { limit_ms } => Refusal::BodyTimeout { limit_ms },
        _ => Refusal::MalformedBody(error.to_string()),
    }
}

/// Logs that a body was refused, with what the node holds for callers. Bodies that break off are left
/// out.
fn log_refused_body(
    node_state: &NodeState,
    id: Option<&str>,
    team: Option<&str>,
    error: &HttpError,
) {
    if matches!(error, HttpError::IncompleteBody(_)) {
        return;
    }
    let budget = &node_state.budget;
    info!(node_state.logger, #TAG_DETAIL, "body refused"; "request" => id.unwrap_or_default(),
        "team" => team.unwrap_or_default(), "reason" => %error,
        "request_bodies" => budget.held_bytes(Holder::RequestBodies),
        "answers" => budget.held_bytes(Holder::Answers),
        "events" => budget.held_bytes(Holder::Events),
        "connections" => budget.connections().count());
}

/// Returns the time after which the caller reaches another node, in milliseconds, if this node stops
/// before the answer to the request would end.
fn time_missing_ms(node_state: &NodeState, request: &RoutedRequest) -> Option<u64> {
    let GracePeriod { balanced_until, end } = *node_state.grace_period.get()?;
    let longest_ms =
        node_state.answer_times().longest_ms(request.route_hash(), request.answer_size());
    match answer_time::can_finish(longest_ms, ms_until(request.deadline), ms_until(end)) {
        true => None,
        false => Some(ms_until(balanced_until)),
    }
}

/// Returns the key for a request's session affinity: a hash of the session that the caller names,
/// or else the id of the last segment of its prompt.
fn derive_session_key(parsed_headers: &RequestHead) -> Option<u64> {
    match &parsed_headers.session {
        Some(session) => Some(hash_name(session)),
        None => parsed_headers.prompt.segments.last().map(|part| part.id),
    }
}

/// Returns the seed for the weighted choice among a route's services. The rotation makes the choice
/// independent of other uses of the route's hash.
fn pool_choice_seed(route: &str) -> u64 {
    hash_name(route).rotate_left(17)
}
