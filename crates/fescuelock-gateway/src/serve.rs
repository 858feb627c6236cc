//! Serves a request from placement to response.
//!
//! [`serve`] places a request on an upstream, sends it, and acts on the response: it forwards the
//! response, retries at another upstream, or escalates a generation to the largest model.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{
    Outcome, PendingRequest, RequestProgress, Retryable, Unknown, UnknownCause, UpstreamRejection,
};
use fescuelock_core::refusal::Refusal;
use fescuelock_http::body::{Body, read_answer};
use fescuelock_platform::protocol;
use fescuelock_policy::crash_evidence::CRASHES_PER_REQUEST_MAX;
use fescuelock_policy::deployment::RetrySafety;
use fescuelock_policy::health;
use fescuelock_policy::request_cost::ActualCost;
use fescuelock_policy::retry_budget::RetryPurpose;
use fescuelock_policy::silence::HedgeTimeouts;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::{Instant, timeout};

use crate::crashes;
use crate::dispatch::{
    self, AttemptOptions, DEADLINE_GRACE_MS, SendResult, UpstreamResponse, ms_until,
};
use crate::error_response;
use crate::escalate::{send_escalated, try_escalate};
use crate::handler::RoutedRequest;
use crate::hedge::{self, Attempted};
use crate::metrics::{LabelledCounter, LatencyHistogram};
use crate::node_state::NodeState;
use crate::placement::Placement;
use crate::queue::{longest_wait_ms, paused_ms, place_or_wait, retry_after_ms};
use crate::relay;
use crate::trace::Trace;
use crate::upstream::UpstreamKey;

/// Maximum size of a response that is buffered, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Attempts that ended before any byte was sent, in total, after which a request is refused.
const UNSENT_ATTEMPTS_MAX: u32 = 5;

/// Minimum response timeout as a multiple of the latency target. It applies to an upstream that
/// still responds to other requests.
const RESPONSE_TIMEOUT_TARGET_FACTOR: f64 = 1.5;

/// Silence timeout and response timeout as a multiple of the expected time to a response.
const EXPECTED_TIME_FACTOR: f64 = 4.0;

/// Minimum silence timeout as a share of the latency target.
const SILENCE_TIMEOUT_TARGET_SHARE: f64 = 0.6;

/// Minimum silence timeout and response timeout, in milliseconds.
const TIMEOUT_MIN_MS: f64 = 120.0;

/// Scheduling priority at the engine of the most urgent new requests; a lower number is served
/// first. The numbers below it are reserved for resumed streams.
const ENGINE_PRIORITY_FIRST: u32 = 2;

/// Rejections by upstreams, in total, after which a request is refused. Three indicate that most
/// upstreams are full, and each costs the caller a round trip.
const REJECTIONS_MAX: u32 = 3;

/// `RequestState` is the state of a request across its attempts.
pub struct RequestState {
    /// State from which the request can be sent or ended; `None` during an attempt and once a
    /// request that was sent cannot be repeated.
    pub progress: Option<PendingRequest>,
    /// Upstreams already tried, including those to which no connection could be opened.
    pub tried: Vec<UpstreamKey>,
    /// Number of sends to upstreams that may have run the request.
    pub sends: u32,
    /// Number of upstreams that rejected the request without running it.
    pub rejections: u32,
    /// Number of attempts that ended before any byte was sent: no connection could be opened, the
    /// upstream had closed an idle one, the upstream had been removed, or no request could be
    /// built.
    pub unsent_attempts: u32,
    /// Number of engines that ended while the request waited there for its first events.
    pub crashes: u32,
    /// Whether the request was sent to a second upstream while it was under way at the first.
    pub has_hedged: bool,
    /// Whether the next or current send is the trial of a rejected prompt segment. A trial is not
    /// repeated.
    pub is_trial: bool,
    /// Whether a stream has begun, the rest of which waits for an upstream until the deadline.
    pub has_begun: bool,
    /// Last error response of an upstream, forwarded if no retry gets a response.
    last_error_response: Option<BufferedResponse>,
}

/// `BufferedResponse` is an upstream's response that has been read in full.
struct BufferedResponse {
    version: String,
    status: StatusCode,
    headers: HeaderMap,
    body: bytes::Bytes,
}

/// `RequestFailure` describes a request that ended without an upstream's response to forward.
pub struct RequestFailure {
    /// Whether the request was not run or its outcome is unknown, with the reason.
    pub outcome: Outcome,
    /// Time after which the caller should retry, in milliseconds, if an estimate is known.
    pub retry_after_ms: Option<f64>,
}

impl Default for RequestState {
    fn default() -> Self {
        RequestState {
            progress: Some(PendingRequest::Unsent(RequestProgress::new())),
            tried: Vec::new(),
            sends: 0,
            rejections: 0,
            unsent_attempts: 0,
            crashes: 0,
            has_hedged: false,
            is_trial: false,
            has_begun: false,
            last_error_response: None,
        }
    }
}

impl RequestState {
    /// Takes the progress out of the state to send or end the request.
    fn take(&mut self) -> PendingRequest {
        self.progress.take().unwrap_or(PendingRequest::Unsent(RequestProgress::new()))
    }

    /// Records that the connection to an upstream was lost before the first events of a generation.
    pub async fn record_loss(
        &mut self,
        node_state: &NodeState,
        request: &RoutedRequest,
        key: UpstreamKey,
        cause: UnknownCause,
        trace: &mut Trace,
    ) {
        let prompt = &request.parsed_headers.prompt;
        let is_loss = matches!(cause, UnknownCause::ConnectionLost | UnknownCause::AnswerCut);
        if is_loss
            && !prompt.segments.is_empty()
            && crashes::record_lost_request(node_state, prompt, key).await
        {
            self.crashes += 1;
            trace.add("engine crashed", format!("crash {} under this request", self.crashes));
        }
    }

    /// Ends the request: refused if no upstream may have run it, otherwise with an unknown outcome.
    pub fn fail(&mut self, refusal: Refusal, retry_after_ms: Option<f64>) -> RequestFailure {
        RequestFailure { outcome: self.take().end(refusal), retry_after_ms }
    }
}

/// Reads the body of a response and decides whether to retry.
///
/// Returns `None` if there is no response to forward. If the request may be retried, `state` then
/// holds its progress.
async fn read_full_response(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    upstream_response: UpstreamResponse,
    state: &mut RequestState,
    trace: &mut Trace,
) -> Option<BufferedResponse> {
    let UpstreamResponse {
        attempt,
        parsed_headers,
        identity,
        status,
        headers,
        body,
        connection,
        load_guard,
        placement,
        elapsed_ms,
        ..
    } = upstream_response;
    let head_received = Instant::now();
    let limit = Duration::from_millis(ms_until(request.deadline) + DEADLINE_GRACE_MS);
    let reading = read_answer(body, &node_state.budget, RESPONSE_MAX_BYTES);
    let result = timeout(limit, reading).await;
    match result {
        Ok(Ok(body)) => {
            if status.is_success() {
                crashes::record_begun(node_state, &request.parsed_headers.prompt);
            }
            let version = placement.version.clone();
            let response = BufferedResponse { version, status, headers, body };
            let now_ms = node_state.now_ms();
            let service_ms = elapsed_ms + head_received.elapsed().as_secs_f64() * 1_000.0;
            let mut fleet = node_state.fleet();
            if placement.is_plain && status.is_success() && !placement.is_cold {
                let actual = ActualCost { service_ms: Some(service_ms), ..ActualCost::default() };
                let predicted_ms = placement.expected_ms;
                node_state.metrics.record_prediction(
                    &request.route().name,
                    "service",
                    predicted_ms,
                    service_ms,
                );
                let route = request.route_hash();
                fleet.request_costs.observe(route, &placement.cost, &actual, now_ms);
            }
            if let Some(upstream) = fleet.upstream_mut(load_guard.key) {
                // A cold upstream tells nothing of its usual speed, and an error nothing at all.
                if placement.is_plain && status.is_success() && !placement.is_cold {
                    let Placement { ahead, pool_service_ms, .. } = placement;
                    upstream.record_plain_answer(service_ms, ahead, pool_service_ms, now_ms);
                }
                let may_keep = identity.may_keep_connection(status.is_server_error());
                if may_keep && !parsed_headers.closes_connection && !upstream.is_leaving {
                    upstream.connections.checkin(connection);
                }
            }
            drop(fleet);
            let retry = status
                .is_server_error()
                .then(|| take_retry_if_repeatable(node_state, request, state));
            match retry.flatten() {
                Some(repeatable) => {
                    trace.add("repeated", format!("upstream {} answered {status}", placement.id));
                    state.progress = Some(attempt.retry(repeatable, UnknownCause::AnswerInvalid));
                    state.last_error_response = Some(response);
                    None
                }

                None => Some(response),
            }
        }

        failed => {
            let cause = match failed {
                Ok(_) => UnknownCause::AnswerCut,
                Err(_) => UnknownCause::AnswerTimeout,
            };
            trace.add("answer cut", format!("upstream {}: {}", placement.id, cause.code()));
            dispatch::record_health_outcome(
                node_state,
                request,
                &placement,
                health::Outcome::Failed,
                cause.code(),
            );
            state.record_loss(node_state, request, placement.key, cause, trace).await;
            let retry = take_retry_if_repeatable(node_state, request, state);
            state.progress = retry.map(|repeatable| attempt.retry(repeatable, cause));
            None
        }
    }
}

/// Serves a request that has been read: places and sends it, retries it and returns the response.
pub async fn serve(
    node_state: &Arc<NodeState>,
    request: RoutedRequest,
    mut trace: Trace,
) -> Response<Body> {
    let mut state = RequestState::default();
    let is_stream = match request.route().retry_safety {
        RetrySafety::Idempotent | RetrySafety::NonIdempotent => false,
        RetrySafety::ResumableStream | RetrySafety::NonIdempotentStream => true,
    };
    let candidate_models = match is_stream {
        true if request.chooses_model() => request.route().models_by_size.clone(),
        true => request.parsed_headers.prompt.model.clone().into_iter().collect(),
        false => Vec::new(),
    };
    let model = candidate_models.first().cloned();
    let failure = loop {
        let placement =
            match place_or_wait(node_state, &request, model.as_deref(), &mut state, &mut trace)
                .await
            {
                Ok(placement) => placement,
                Err(failure) => break failure,
            };
        let options = AttemptOptions {
            model: model.as_deref(),
            engine_priority: model.is_some().then(|| engine_priority(&request)),
            last_event_id: request.parsed_headers.last_event_id.filter(|_| is_stream),
            hedge_timeouts: head_timeouts(&request, &placement),
            // Without an id, no response on a used connection could be told from a stray one.
            may_reuse_connection: !is_stream
                && repeat_permission(&request).is_some()
                && request.parsed_headers.request_id.is_some(),
            is_trial: state.is_trial,
        };
        let upstream_response = match send_and_classify(
            node_state, &request, &mut state, placement, &options, &mut trace,
        )
        .await
        {
            AttemptResult::Received(upstream_response) => upstream_response,
            AttemptResult::Retry => continue,
            AttemptResult::Failed(failure) => break failure,
        };
        if !is_stream || !upstream_response.status.is_success() {
            match read_full_response(
                node_state,
                &request,
                *upstream_response,
                &mut state,
                &mut trace,
            )
            .await
            {
                Some(response) => return forward_response(node_state, &request, response, trace),
                None if state.progress.is_some() => continue,
                None => break unknown_outcome(UnknownCause::AnswerCut),
            }
        }
        let largest = try_escalate(
            node_state,
            &request,
            &candidate_models,
            &upstream_response,
            model.as_deref(),
            &state,
            &mut trace,
        );
        let escalated = match largest {
            Some(largest) => {
                let response =
                    send_escalated(node_state, &request, &mut state, &largest, &mut trace).await;
                response.map(|response| (response, largest))
            }
            None => None,
        };
        let (upstream_response, model_name) =
            escalated.unwrap_or((upstream_response, model.unwrap_or_default()));
        let size_index =
            candidate_models.iter().position(|model| *model == model_name).unwrap_or_default();
        let labels = [("route", request.route().name.as_str()), ("size", &size_index.to_string())];
        node_state.metrics.count(LabelledCounter::ModelSizes, &labels);
        return relay::start(node_state, request, *upstream_response, state, model_name, trace);
    };
    finish_failed(node_state, &request, state, failure, trace)
}

/// `AttemptResult` is the result of one attempt to serve a request: what happens to it next.
pub enum AttemptResult {
    /// The head of a response that may be forwarded has been received.
    Received(Box<UpstreamResponse>),
    /// The request may be placed on another upstream.
    Retry,
    /// The request has failed and must not be retried.
    Failed(RequestFailure),
}

/// Sends a request to one upstream and classifies the result: a response was received, the request
/// may be retried, or it has failed.
pub async fn send_and_classify(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    state: &mut RequestState,
    placement: Placement,
    options: &AttemptOptions<'_>,
    trace: &mut Trace,
) -> AttemptResult {
    trace.add(
        "sent",
        format!(
            "to {} version {} model {}, expected {:.0} ms, queue {:.0} ms, {} uncached tokens, \
             {} candidate upstreams, {} paused, load reports up to {} ms old, \
             {:.0} output tokens, 90% below {:.0}, memory {} tokens, {:.1} in flight before it, \
             runner-up {}, shared segments {}",
            placement.id,
            placement.version,
            options.model.unwrap_or("-"),
            placement.expected_ms,
            placement.queue_ms,
            placement.uncached_tokens,
            placement.candidates,
            placement.paused,
            placement.loads_age_ms,
            placement.cost.output_tokens,
            placement.cost.output_tokens_p90,
            placement.cost.memory_tokens,
            placement.ahead,
            placement.runner_up.as_deref().unwrap_or("-"),
            request.parsed_headers.prompt.shared_segments_text(),
        ),
    );
    state.tried.push(placement.key);
    let progress = state.take();
    let earlier = progress.earlier_cause();
    let attempted =
        hedge::send(node_state, request, state, progress, placement, options, trace).await;
    let Attempted { key, upstream_id, result } = attempted;
    // The outcome of a second send beside this one is unknown.
    let earlier = earlier.or(state.has_hedged.then_some(UnknownCause::AnswerTimeout));
    match result {
        SendResult::Received(upstream_response)
            if upstream_response.parsed_headers.upstream_did_not_run =>
        {
            state.rejections += 1;
            trace.add("turned away", format!("by {upstream_id} with {}", upstream_response.status));
            state.progress = Some(upstream_response.attempt.rejected(UpstreamRejection, earlier));
            // A retry would be in vain and take from the budget if all upstreams pause for longer
            // than the request can wait.
            let paused_ms = paused_ms(node_state, request, options.model, state);
            if let Some(paused_ms) = paused_ms {
                trace.add("paused", format!("all upstreams, the first for {paused_ms:.0} ms"));
            }
            let is_in_vain = paused_ms.is_some_and(|ms| ms > longest_wait_ms(request, state));
            let may_retry = state.rejections < REJECTIONS_MAX && !is_in_vain;
            match may_retry && take_retry_from_budget(node_state, request) {
                true => AttemptResult::Retry,
                false => {
                    let retry_after_ms = retry_after_ms(node_state, request, paused_ms);
                    AttemptResult::Failed(state.fail(Refusal::Overloaded, Some(retry_after_ms)))
                }
            }
        }

        SendResult::Received(upstream_response) => {
            state.sends += 1;
            AttemptResult::Received(upstream_response)
        }

        SendResult::NotSent(progress) => {
            let is_paused = is_paused(node_state, key);
            let reason = if is_paused { ", which pauses" } else { "" };
            trace.add("not sent", format!("to {upstream_id}{reason}"));
            if node_state.fleet().is_leaving(key) {
                trace.add("leaving", format!("upstream {upstream_id}"));
            }
            state.progress = Some(match (earlier, repeat_permission(request)) {
                (Some(_), Some(repeatable)) => PendingRequest::hedge(repeatable),
                _ => progress,
            });
            state.unsent_attempts += 1;
            match state.unsent_attempts < UNSENT_ATTEMPTS_MAX && ms_until(request.deadline) > 0 {
                true => AttemptResult::Retry,
                false => {
                    let refusal = Refusal::Unreachable(request.pool().name.clone());
                    let paused_ms = paused_ms(node_state, request, options.model, state);
                    let retry_after_ms = retry_after_ms(node_state, request, paused_ms);
                    AttemptResult::Failed(state.fail(refusal, Some(retry_after_ms)))
                }
            }
        }

        SendResult::Aborted => {
            state.sends += 1;
            trace.add("aborted", format!("at {upstream_id}: a prompt segment was rejected"));
            AttemptResult::Failed(unknown_outcome(UnknownCause::Aborted))
        }

        SendResult::Lost(sent, cause) => {
            state.sends += 1;
            trace.add("lost", format!("at {upstream_id}: {}", cause.code()));
            state.is_trial = false;
            state.record_loss(node_state, request, key, cause, trace).await;
            match take_retry_if_repeatable(node_state, request, state) {
                Some(repeatable) => {
                    state.progress = Some(sent.retry(repeatable, cause));
                    AttemptResult::Retry
                }

                None => AttemptResult::Failed(unknown_outcome(cause)),
            }
        }
    }
}

/// Returns whether the request may be sent once more with at least `reserve` further sends left.
/// The route's `attempts_max` is the maximum number of sends that may have run the request.
pub fn may_retry(request: &RoutedRequest, state: &RequestState, reserve: u32) -> bool {
    state.sends + reserve < request.route().attempts_max
        && state.crashes < CRASHES_PER_REQUEST_MAX
        && ms_until(request.deadline) > 0
}

/// Returns whether an upstream pauses.
fn is_paused(node_state: &NodeState, key: UpstreamKey) -> bool {
    let now_ms = node_state.now_ms();
    node_state.fleet().upstream(key).is_some_and(|upstream| upstream.pause.is_paused(now_ms))
}

/// Takes a retry after a failure from the service's retry budget. Returns whether it had one left.
pub fn take_retry_from_budget(node_state: &NodeState, request: &RoutedRequest) -> bool {
    let granted = node_state.take_retry(&request.pool().name, RetryPurpose::Recovery);
    if granted {
        node_state.counters.count(Counter::Retries);
    }
    granted
}

/// Takes a retry from the budget for a request without a usable response, provided that the request
/// is repeatable and has attempts left. Returns the permission to repeat it.
fn take_retry_if_repeatable(
    node_state: &NodeState,
    request: &RoutedRequest,
    state: &RequestState,
) -> Option<Retryable> {
    let repeatable = repeat_permission(request)?;
    (may_retry(request, state, 0) && take_retry_from_budget(node_state, request))
        .then_some(repeatable)
}

/// Returns the permission to send a request more than once, if its route allows that.
pub fn repeat_permission(request: &RoutedRequest) -> Option<Retryable> {
    match request.route().retry_safety {
        RetrySafety::Idempotent | RetrySafety::ResumableStream => Some(Retryable),
        RetrySafety::NonIdempotent | RetrySafety::NonIdempotentStream => None,
    }
}

/// Returns the scheduling priority at an engine of a request that has no events yet.
pub fn engine_priority(request: &RoutedRequest) -> u32 {
    ENGINE_PRIORITY_FIRST + 2 * request.priority()
}

/// Returns the time without a response head after which a request is sent to a second upstream.
pub fn head_timeouts(request: &RoutedRequest, placement: &Placement) -> HedgeTimeouts {
    let base_timeout_ms = (EXPECTED_TIME_FACTOR * placement.expected_ms).max(TIMEOUT_MIN_MS);
    let target_ms = request.route().target_ms as f64;
    HedgeTimeouts {
        silence_ms: base_timeout_ms.max(target_ms * SILENCE_TIMEOUT_TARGET_SHARE) as u64,
        response_ms: base_timeout_ms.max(target_ms * RESPONSE_TIMEOUT_TARGET_FACTOR) as u64,
    }
}

/// Returns the failure of a request that was sent and cannot be repeated: its outcome is unknown.
fn unknown_outcome(cause: UnknownCause) -> RequestFailure {
    RequestFailure { outcome: Outcome::Unknown(Unknown::after_send(cause)), retry_after_ms: None }
}

/// Forwards an upstream's response that has been read in full, and finishes the trace.
fn forward_response(
    node_state: &NodeState,
    request: &RoutedRequest,
    upstream_response: BufferedResponse,
    trace: Trace,
) -> Response<Body> {
    node_state.counters.count(Counter::RequestsRan);
    let elapsed_ms = trace.elapsed_ms();
    request.record_latency(
        node_state,
        LatencyHistogram::Answer,
        &upstream_response.version,
        elapsed_ms,
    );
    let outcome = if upstream_response.status.is_success() { "served" } else { "upstream failure" };
    trace.finish(outcome, upstream_response.status.as_u16(), elapsed_ms);
    let mut response = Response::new(Body::buffered(upstream_response.body));
    *response.status_mut() = upstream_response.status;
    *response.headers_mut() = protocol::forwarded_response_headers(&upstream_response.headers);
    response
}

/// Finishes a request that has failed: with the last error response of an upstream if there is one
/// and the outcome is unknown, otherwise with an error response of the router's own.
fn finish_failed(
    node_state: &NodeState,
    request: &RoutedRequest,
    state: RequestState,
    failure: RequestFailure,
    trace: Trace,
) -> Response<Body> {
    // An upstream's own error response is forwarded rather than replaced.
    if let (Some(response), Outcome::Unknown(_)) = (state.last_error_response, &failure.outcome) {
        return forward_response(node_state, request, response, trace);
    }
    finish_unserved(node_state, &failure, trace)
}

/// Finishes a request without an upstream's response: counts its outcome and builds an error
/// response.
pub fn finish_unserved(
    node_state: &NodeState,
    failure: &RequestFailure,
    trace: Trace,
) -> Response<Body> {
    let (counter, name) = match &failure.outcome {
        Outcome::NotRun(not_run) => {
            let labels = [("reason", not_run.refusal().code())];
            node_state.metrics.count(LabelledCounter::Refusals, &labels);
            (Counter::RequestsNotRun, "refused")
        }
        Outcome::Unknown(unknown) => {
            node_state
                .metrics
                .count(LabelledCounter::Failures, &[("reason", unknown.cause().code())]);
            (Counter::RequestsUnknown, "failed")
        }
    };
    node_state.counters.count(counter);
    let response =
        error_response::build(Some(trace.id()), &failure.outcome, failure.retry_after_ms);
    let elapsed_ms = trace.elapsed_ms();
    trace.finish(name, response.status().as_u16(), elapsed_ms);
    response
}
