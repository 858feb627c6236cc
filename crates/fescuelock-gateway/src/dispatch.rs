//! Sends a request to one upstream and waits for the head of its response.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_core::ids::Generation;
use fescuelock_core::outcome::{
    PendingRequest, RequestProgress, Sent as SentState, UnknownCause, UnwrittenRequest,
};
use fescuelock_core::placement::Permit;
use fescuelock_http::Error as HttpError;
use fescuelock_http::body::Body;
use fescuelock_http::pool::Connection;
use fescuelock_platform::protocol::{self, ResponseHead, RouterHeaders};
use fescuelock_policy::answer_identity::{self, AnswerIdentity, AnswerLabels};
use fescuelock_policy::health::Outcome as HealthOutcome;
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::rollout::SampleKind;
use fescuelock_policy::silence::HedgeTimeouts;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use slog::info;
use tokio::time::Instant;

use crate::crashes;
use crate::handler::RoutedRequest;
use crate::hedge;
use crate::leaving;
use crate::limits;
use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;
use crate::pauses;
use crate::placement::Placement;
use crate::upstream::UpstreamKey;

/// Number of bits by which the model's hash is rotated in the comparison key of times to the first
/// event, so that it differs from the key of intervals between events of the same route and model.
const FIRST_EVENT_HASH_ROTATION: u32 = 23;

/// Scale of recorded times to the first event: percent of `Placement::nominal_ms`, the expected
/// time without the upstream's measured ratio of actual to expected time.
const FIRST_EVENT_SCALE_PERCENT: f64 = 100.0;

/// Connect timeout as a share of the latency target. The rest is left to try another upstream.
const CONNECT_TARGET_SHARE: f64 = 0.4;

/// Time to wait beyond the deadline for a response that the upstream sent just before its own
/// deadline, in milliseconds.
pub const DEADLINE_GRACE_MS: u64 = 60;

/// Minimum connect timeout, in milliseconds: several round trips within a region.
const CONNECT_MIN_MS: u64 = 40;

/// `UpstreamLoadGuard` keeps a request in the load of an upstream until it is dropped.
pub struct UpstreamLoadGuard {
    node_state: Arc<NodeState>,
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Prefill time that still counts as queued at the upstream, in milliseconds; 0 after prefill.
    prefill_ms: f64,
    /// Memory that the request is expected to take, in tokens.
    memory_tokens: u64,
}

/// `UpstreamResponse` is a response of which the status line and headers have been received.
pub struct UpstreamResponse {
    /// State of the request, which has been sent.
    pub attempt: RequestProgress<SentState>,
    /// Values parsed from the headers that the router interprets.
    pub parsed_headers: ResponseHead,
    /// How far the response is known to belong to the request.
    pub identity: AnswerIdentity,
    /// Status code.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response, not read yet.
    pub body: Incoming,
    /// Connection of the response. It may return to the pool only once the whole body was read, and
    /// is dropped otherwise.
    pub connection: Connection,
    /// Guard that counts the request in the upstream's load.
    pub load_guard: UpstreamLoadGuard,
    /// Upstream that was chosen for the request.
    pub placement: Placement,
    /// Time from sending the request to the head of the response, in milliseconds.
    pub elapsed_ms: f64,
}

/// `SendResult` is the result of sending a request to one upstream.
pub enum SendResult {
    /// The head of the response has been received.
    Received(Box<UpstreamResponse>),
    /// No byte of the request was sent to the upstream.
    NotSent(PendingRequest),
    /// The request may have reached the upstream, but there is no usable response.
    Lost(RequestProgress<SentState>, UnknownCause),
    /// The request was sent and aborted, because a segment of its prompt was rejected meanwhile.
    Aborted,
}

/// `AttemptOptions` configures one attempt to serve a request.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOptions<'a> {
    /// Model that should generate the response, for generations.
    pub model: Option<&'a str>,
    /// Scheduling priority at the engine; a lower number is served first.
    pub engine_priority: Option<u32>,
    /// Id of the last event received, if the attempt resumes a stream.
    pub last_event_id: Option<u64>,
    /// Time without a response head after which the request is sent to a second upstream.
    pub hedge_timeouts: HedgeTimeouts,
    /// Whether an idle connection from the pool may be used.
    pub may_reuse_connection: bool,
    /// Whether the request is the trial of a rejected prompt segment.
    pub is_trial: bool,
}

impl UpstreamLoadGuard {
    /// Adds a request to the load of the upstream that was chosen for it.
    pub fn acquire(node_state: &Arc<NodeState>, placement: &Placement) -> Self {
        let now_ms = node_state.now_ms();
        if let Some(upstream) = node_state.fleet().upstream_mut(placement.key) {
            upstream.add_request(placement.prefill_ms, placement.cost.memory_tokens, now_ms);
        }
        UpstreamLoadGuard {
            node_state: Arc::clone(node_state),
            key: placement.key,
            prefill_ms: placement.prefill_ms,
            memory_tokens: placement.cost.memory_tokens,
        }
    }

    /// Ends the prefill of the request: it no longer counts in the upstream's queueing time.
    /// Further calls have no effect.
    pub fn end_prefill(&mut self) {
        let prefill_ms = std::mem::take(&mut self.prefill_ms);
        let now_ms = self.node_state.now_ms();
        if let Some(upstream) = self.node_state.fleet().upstream_mut(self.key) {
            upstream.end_prefill(prefill_ms, now_ms);
        }
    }
}

impl Drop for UpstreamLoadGuard {
    fn drop(&mut self) {
        self.end_prefill();
        if let Some(upstream) = self.node_state.fleet().upstream_mut(self.key) {
            upstream.end_request(self.memory_tokens);
        }
        self.node_state.waiting_room.wake();
    }
}

/// Sends a request to the upstream chosen for it and waits for the head of the response.
pub async fn send(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    progress: PendingRequest,
    placement: Placement,
    options: &AttemptOptions<'_>,
) -> SendResult {
    let mut load_guard = UpstreamLoadGuard::acquire(node_state, &placement);
    let connections = match node_state.fleet().upstream(placement.key) {
        Some(upstream) => Arc::clone(&upstream.connections),
        None => return SendResult::NotSent(progress),
    };
    let target_share_ms = (request.route().target_ms as f64 * CONNECT_TARGET_SHARE) as u64;
    let connect_timeout_ms = target_share_ms.max(CONNECT_MIN_MS);
    let connected = match options.may_reuse_connection {
        true => connections.checkout_within(connect_timeout_ms).await,
        false => connections.open_within(connect_timeout_ms).await,
    };
    let mut connection = match connected {
        Ok(connection) => connection,

        Err(error) => {
            node_state.counters.count(Counter::UpstreamFailures);
            record_health_outcome(
                node_state,
                request,
                &placement,
                HealthOutcome::Unresponsive,
                &error.to_string(),
            );
            return SendResult::NotSent(progress);
        }
    };
    let pool = &request.pool().name;
    let upstream_request = match build_request(request, &placement, options) {
        // The upstream may have been removed, or its pause have begun, while the connection was
        // opened.
        Ok(upstream_request)
            if node_state.fleet().can_send_to(placement.key, pool, node_state.now_ms())
                && !is_prompt_rejected(node_state, request, options) =>
        {
            upstream_request
        }

        _ => {
            if !node_state.fleet().is_leaving(placement.key) {
                connections.checkin(connection);
            }
            return SendResult::NotSent(progress);
        }
    };
    // The generation of a permit is the version of the configuration in force.
    let permit = Permit {
        generation: Generation(request.deployment.version),
        upstream: placement.id.clone(),
    };
    let is_first_send = progress.is_unsent();
    let attempt = progress.send(&permit);
    record_send(node_state, request, &placement, options);
    let sent_at = Instant::now();
    let response_timeout_ms = ms_until(request.deadline) + DEADLINE_GRACE_MS;
    let result = tokio::select! {
        biased;
        result = connection.send(upstream_request, response_timeout_ms) => result,
        () = wait_for_rejection(node_state, request, options) => return SendResult::Aborted,
    };
    let elapsed_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
    match result {
        Ok(response) => {
            load_guard.end_prefill();
            let (parts, body) = response.into_parts();
            let parsed_headers = protocol::parse_response_headers(parts.status, &parts.headers);
            let identity = answer_identity::identify(&AnswerLabels {
                request_id: request.parsed_headers.request_id.as_deref(),
                echoed_id: parsed_headers.request_id.as_deref(),
                is_connection_reused: connection.is_reused(),
            });
            let upstream_response = UpstreamResponse {
                attempt,
                parsed_headers,
                identity,
                status: parts.status,
                headers: parts.headers,
                body,
                connection,
                load_guard,
                placement,
                elapsed_ms,
            };
            if let Some(cause) =
                record_response_head(node_state, request, &upstream_response, options)
            {
                return SendResult::Lost(upstream_response.attempt, cause);
            }
            SendResult::Received(Box::new(upstream_response))
        }

        // The upstream had closed an idle connection before any byte of the request was sent, which
        // is no sign of bad health. The request returns to the unsent state, which also says that
        // no earlier send can have run it; so this applies to the first send only.
        Err(HttpError::NotWritten) if is_first_send => {
            connections.clear();
            SendResult::NotSent(attempt.not_written(UnwrittenRequest))
        }

        Err(error) => {
            node_state.counters.count(Counter::UpstreamFailures);
            record_health_outcome(
                node_state,
                request,
                &placement,
                HealthOutcome::Unresponsive,
                &error.to_string(),
            );
            SendResult::Lost(attempt, unknown_cause(&error))
        }
    }
}

/// Returns whether the prompt of a generation was rejected since it was placed.
fn is_prompt_rejected(
    node_state: &NodeState,
    request: &RoutedRequest,
    options: &AttemptOptions<'_>,
) -> bool {
    let prompt = &request.parsed_headers.prompt;
    options.model.is_some()
        && !options.is_trial
        && node_state.fleet().rejected_segment(prompt, node_state.now_ms()).is_some()
}

/// Waits until the prompt of a generation is rejected. Never completes for other requests.
pub async fn wait_for_rejection(
    node_state: &NodeState,
    request: &RoutedRequest,
    options: &AttemptOptions<'_>,
) {
    match options.model {
        Some(_) if !options.is_trial => {
            crashes::wait_for_rejection(node_state, &request.parsed_headers.prompt).await;
        }

        _ => std::future::pending().await,
    }
}

/// Records the outcome of a request at an upstream in the upstream's health. If the upstream is
/// ejected for it, counts the ejection and logs it with `reason`.
pub fn record_health_outcome(
    node_state: &NodeState,
    request: &RoutedRequest,
    placement: &Placement,
    outcome: HealthOutcome,
    reason: &str,
) {
    let warmup_ms = request.pool().warmup_ms;
    let now_ms = node_state.now_ms();
    if node_state.fleet().record_outcome(placement.key, outcome, warmup_ms, now_ms) {
        node_state.metrics.count(LabelledCounter::Ejections, &[("service", &request.pool().name)]);
        info!(node_state.logger, "upstream left out"; "upstream" => &placement.id,
            "request" => &request.id, "reason" => reason);
    }
}

fn build_request(
    request: &RoutedRequest,
    placement: &Placement,
    options: &AttemptOptions<'_>,
) -> http::Result<Request<Body>> {
    let router_headers = RouterHeaders {
        upstream_id: &placement.id,
        team: request.team_name(),
        remaining_ms: request.upstream_timeout_ms(),
        model: options.model.filter(|_| request.chooses_model()),
        priority: options.engine_priority,
        last_event_id: options.last_event_id,
    };
    let mut upstream_request = Request::builder()
        .method(request.method.clone())
        .uri(request.path_and_query.as_str())
        .body(Body::buffered(request.body.clone()))?;
    *upstream_request.headers_mut() =
        protocol::forwarded_request_headers(&request.headers, &router_headers);
    Ok(upstream_request)
}

/// Records that a request is sent to an upstream: the prompt that its engine will cache, and the
/// request count of its version.
fn record_send(
    node_state: &NodeState,
    request: &RoutedRequest,
    placement: &Placement,
    options: &AttemptOptions<'_>,
) {
    let now_ms = node_state.now_ms();
    let mut fleet = node_state.fleet();
    if let (Some(model), Some(upstream)) = (options.model, fleet.upstream_mut(placement.key)) {
        upstream.record_prompt(model, &request.parsed_headers.prompt, now_ms);
    }
    fleet.rollouts.record_send(&request.pool().name, &placement.version, request.route_hash());
}

/// Records the head of a response in the upstream's health, latency and roll-out statistics.
///
/// Returns the reason if the response cannot be used.
fn record_response_head(
    node_state: &NodeState,
    request: &RoutedRequest,
    upstream_response: &UpstreamResponse,
    options: &AttemptOptions<'_>,
) -> Option<UnknownCause> {
    let placement = &upstream_response.placement;
    if !upstream_response.identity.is_accepted() {
        node_state.counters.count(Counter::AnswersCrossed);
        record_health_outcome(
            node_state,
            request,
            placement,
            HealthOutcome::Failed,
            "response does not carry the id of its request",
        );
        return Some(UnknownCause::AnswerInvalid);
    }
    hedge::record_byte(node_state, placement);
    record_leaving(node_state, upstream_response);
    record_stated_limit(node_state, upstream_response);
    let asks_for_pause = pauses::record_response(node_state, upstream_response);
    let now_ms = node_state.now_ms();
    let is_failure = upstream_response.status.is_server_error()
        && !upstream_response.parsed_headers.upstream_did_not_run;
    let mut fleet = node_state.fleet();
    if let Some(warmup_left_ms) = upstream_response.parsed_headers.warmup_left_ms
        && let Some(upstream) = fleet.upstream_mut(placement.key)
    {
        upstream.cold_until_ms = upstream.cold_until_ms.max(now_ms + warmup_left_ms);
    }
    if let (Some(model), true) = (options.model, upstream_response.status.is_success()) {
        let elapsed_ms = upstream_response.elapsed_ms;
        node_state.metrics.record_prediction(
            &request.route().name,
            "first_event",
            placement.expected_ms,
            elapsed_ms,
        );
        if let Some(upstream) = fleet.upstream_mut(placement.key) {
            upstream.record_first_event(elapsed_ms, placement.expected_ms);
        }
        if !placement.is_cold {
            let Placement { uncached_tokens: tokens, queue_ms, nominal_ms, .. } = *placement;
            let pool_ms = fleet.request_costs.prefill_times.observe_pool(
                hash_name(model),
                tokens,
                queue_ms,
                nominal_ms,
                elapsed_ms,
            );
            if let (Some(pool_ms), Some(upstream)) = (pool_ms, fleet.upstream_mut(placement.key)) {
                upstream.speed.record(elapsed_ms, pool_ms, now_ms);
            }
            fleet.request_costs.prefill_times.observe(model, tokens, queue_ms, elapsed_ms);
        }
    }
    drop(fleet);
    // An upstream that asks for a pause is in good health; the pause keeps requests away.
    let outcome = match is_failure && !asks_for_pause {
        true => HealthOutcome::Failed,
        false => HealthOutcome::Succeeded,
    };
    record_health_outcome(
        node_state,
        request,
        placement,
        outcome,
        "failure rate exceeds that of the service's other upstreams",
    );
    if !upstream_response.parsed_headers.upstream_did_not_run {
        let (pool, version) = (&request.pool().name, &placement.version);
        let mut fleet = node_state.fleet();
        fleet.rollouts.record_answer(pool, version, request.route_hash(), is_failure);
        // For a stream, the sample is the time to the first event in percent of the nominal time;
        // the interval between events is recorded while the stream is relayed. For a plain response
        // it is the latency in milliseconds.
        let (comparison_key, latency_sample) = match options.model {
            Some(model) => {
                let comparison_key =
                    request.route_hash() ^ hash_name(model).rotate_left(FIRST_EVENT_HASH_ROTATION);
                (
                    comparison_key,
                    FIRST_EVENT_SCALE_PERCENT * upstream_response.elapsed_ms
                        / placement.nominal_ms.max(1.0),
                )
            }
            None => (request.route_hash(), upstream_response.elapsed_ms),
        };
        if !is_failure {
            fleet.rollouts.record_latency_sample(
                pool,
                version,
                request.route_hash(),
                SampleKind::Response,
                comparison_key,
                latency_sample,
            );
        }
    }
    None
}

/// Records that an upstream states in a response that it is leaving, and tells the other nodes.
fn record_leaving(node_state: &NodeState, upstream_response: &UpstreamResponse) {
    if !upstream_response.parsed_headers.is_leaving {
        return;
    }
    let incarnation = upstream_response.placement.incarnation;
    if node_state.fleet().record_leaving(incarnation, node_state.now_ms()) {
        node_state.report_soon.notify_one();
    }
    leaving::announce(node_state);
}

/// Records the rate limit that an upstream states in a response, and tells the other nodes if it has
/// changed.
fn record_stated_limit(node_state: &NodeState, upstream_response: &UpstreamResponse) {
    let UpstreamResponse { parsed_headers, placement, elapsed_ms, .. } = upstream_response;
    if parsed_headers.is_misdirected {
        return;
    }
    let now_ms = node_state.now_ms();
    let sent_ms = now_ms.saturating_sub(elapsed_ms.ceil() as u64);
    let change = node_state.fleet().upstream_mut(placement.key).and_then(|upstream| {
        upstream.stated_limit.record_answer(parsed_headers.rate_limit_per_s, sent_ms, now_ms)
    });
    if let Some(change) = change {
        limits::announce(node_state, &placement.id, "answer", change);
        node_state.report_soon.notify_one();
    }
}

/// Returns the cause of an unknown outcome for an error of the connection.
fn unknown_cause(error: &HttpError) -> UnknownCause {
    match error {
        HttpError::AnswerTimeout { .. } => UnknownCause::AnswerTimeout,
        HttpError::IncompleteBody(_) => UnknownCause::AnswerCut,
        _ => UnknownCause::ConnectionLost,
    }
}

/// Returns the time until an instant, in milliseconds; 0 if it has passed.
pub fn ms_until(instant: Instant) -> u64 {
    let left: Duration = instant.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}
