//! Places a request on an upstream, queues it until one has capacity, or refuses it.

use std::sync::Arc;

use fescuelock_core::refusal::Refusal;
use fescuelock_policy::admission::{self, RequestTimes};
use tokio::time::Instant;

use crate::dispatch::ms_until;
use crate::handler::RoutedRequest;
use crate::metrics::LatencyHistogram;
use crate::node_state::NodeState;
use crate::placement::{Placement, PlacementError, PlacementRequest};
use crate::serve::{RequestFailure, RequestState, repeat_permission};
use crate::trace::Trace;
use crate::waiting_room::{Admitted, Wake};

/// Longest retry delay of a caller that this node refuses because it stops, as a share of the time left
/// until the caller's deadline.
const STOPPING_RETRY_SHARE_MAX: f64 = 1.0 / 3.0;

/// Places a request on an upstream, waiting for capacity as long as admission control allows.
///
/// # Errors
///
/// Returns the failure of a request that was refused, or whose deadline passed while it waited.
pub async fn place_or_wait(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    model: Option<&str>,
    state: &mut RequestState,
    trace: &mut Trace,
) -> Result<Placement, RequestFailure> {
    let allowed_regions = request.allowed_regions();
    let waiting_room = &node_state.waiting_room;
    let mut wait = Wait { node_state, request, began: None };
    let mut start_times = None;
    if state.tried.is_empty() {
        waiting_room.record_offered(request, node_state.now_ms());
    }
    loop {
        if ms_until(request.deadline) == 0 || node_state.grace_over.is_cancelled() {
            let paused_ms = paused_ms(node_state, request, model, state);
            let retry_after_ms = retry_after_ms(node_state, request, paused_ms);
            return Err(state.fail(Refusal::Overloaded, Some(retry_after_ms)));
        }
        // Capacity that has just become free belongs to those that wait.
        waiting_room.dispatch(node_state, request.pool_hash());
        let error = match place(node_state, request, model, &allowed_regions, state) {
            Ok(placement) => {
                let now_ms = node_state.now_ms();
                waiting_room.record_start(request, model.is_some(), &placement, now_ms);
                waiting_room.count_request(node_state, request, "admitted");
                return Ok(placement);
            }
            Err(PlacementError::PromptRejected { segment, retry_after_ms }) => {
                if !take_trial(node_state, state, segment, trace) {
                    trace.add("refused", format!("segment {segment:x} crashes upstreams"));
                    return Err(state.fail(Refusal::PromptRejected, Some(retry_after_ms as f64)));
                }
                continue;
            }
            Err(error) => error,
        };
        let paused_ms = match error {
            PlacementError::Paused(paused_ms) => Some(paused_ms),
            // Upstreams that were tried may all pause.
            PlacementError::NoCandidate => paused_ms(node_state, request, model, state),
            PlacementError::AtCapacity(_) | PlacementError::PromptRejected { .. } => None,
        };
        let has_upstream = error != PlacementError::NoCandidate || paused_ms.is_some();
        if has_upstream && node_state.stopping.is_cancelled() {
            return Err(fail_stopping(node_state, request, state, trace));
        }
        let placement_request = build_placement_request(request, model, &allowed_regions, state);
        let cause = (error, paused_ms);
        let (admitted, context, report) =
            waiting_room.admit(node_state, request, &placement_request, cause, &mut start_times);
        let retry_after_ms = match admitted {
            Admitted::Queued(waiter) => {
                if wait.began.is_none() {
                    trace.add("queued", format!("{context:?}, {report:?}"));
                    waiting_room.count_request(node_state, request, "waiting");
                    wait.began = Some(Instant::now());
                }
                let woken = tokio::select! {
                    woken = waiter.wait() => woken,
                    () = node_state.stopping.cancelled() => {
                        return Err(fail_stopping(node_state, request, state, trace));
                    }
                };
                match woken {
                    // The place is taken again, without an await in between, by the attempt to send.
                    Wake::Placed(placement, _load_guard) => {
                        waiting_room.count_request(node_state, request, "admitted");
                        return Ok(*placement);
                    }
                    Wake::Reconsider => continue,
                    Wake::Refused => retry_after_ms(node_state, request, None),
                }
            }
            Admitted::Refused(retry_after_ms) => retry_after_ms,
        };
        let leaving = node_state.fleet().leaving_count_in(&request.pool().name);
        if leaving > 0 {
            trace.add("leaving", format!("{leaving} upstreams of the service"));
        }
        trace.add("refused", format!("{error:?}, {context:?}, {report:?}"));
        waiting_room.count_request(node_state, request, "refused");
        let refusal = match has_upstream {
            true => Refusal::Overloaded,
            false => Refusal::NoUpstream(request.pool().name.clone()),
        };
        return Err(state.fail(refusal, Some(retry_after_ms)));
    }
}

/// Places a request on an upstream, if one has capacity now.
fn place(
    node_state: &NodeState,
    request: &RoutedRequest,
    model: Option<&str>,
    allowed_regions: &[String],
    state: &mut RequestState,
) -> Result<Placement, PlacementError> {
    let now_ms = node_state.now_ms();
    let placement_request = build_placement_request(request, model, allowed_regions, state);
    let placed = node_state.fleet().place(&placement_request, now_ms);
    let has_failed = !state.tried.is_empty() && repeat_permission(request).is_some();
    match placed {
        // If no untried upstream is left, as in a small pool, retrying one that failed is better than
        // refusing the request.
        Err(PlacementError::NoCandidate) if has_failed => {
            state.tried.clear();
            let placement_request = build_placement_request(request, model, allowed_regions, state);
            node_state.fleet().place(&placement_request, now_ms)
        }
        placed => placed,
    }
}

/// Refuses a request that finds no upstream with capacity while this node stops.
fn fail_stopping(
    node_state: &NodeState,
    request: &RoutedRequest,
    state: &mut RequestState,
    trace: &mut Trace,
) -> RequestFailure {
    trace.add("refused", "the node stops while the request waits for an upstream".to_owned());
    node_state.waiting_room.count_request(node_state, request, "refused");
    // Until then the load balancer may send the caller to this node again.
    let balanced = node_state.grace_period.get().map(|period| period.balanced_until);
    let balanced_ms = balanced.map_or(0.0, |until| ms_until(until) as f64);
    let latest_ms = STOPPING_RETRY_SHARE_MAX * ms_until(request.deadline) as f64;
    state.fail(Refusal::NotReady, Some(balanced_ms.min(latest_ms)))
}

/// `Wait` records the time that a request has waited when it is dropped.
struct Wait<'a> {
    node_state: &'a NodeState,
    request: &'a RoutedRequest,
    began: Option<Instant>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if let Some(began) = self.began {
            let labels = [("route", self.request.route().name.as_str())];
            let waited_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.node_state.metrics.record_ms(LatencyHistogram::QueueWait, &labels, waited_ms);
        }
    }
}

/// Takes the trial of a rejected prompt segment for a request that was not sent before. Returns
/// whether the request may be sent.
fn take_trial(
    node_state: &NodeState,
    state: &mut RequestState,
    segment: u64,
    trace: &mut Trace,
) -> bool {
    let now_ms = node_state.now_ms();
    let mut fleet = node_state.fleet();
    fleet.crash_evidence.record_rejected_request(segment, now_ms);
    state.is_trial = state.sends == 0 && fleet.take_trial(segment, now_ms);
    if state.is_trial {
        trace.add("trial", format!("of segment {segment:x}"));
    }
    state.is_trial
}

/// Describes a request to the placement, with the upstreams that were already tried.
pub fn build_placement_request<'a>(
    request: &'a RoutedRequest,
    model: Option<&'a str>,
    allowed_regions: &'a [String],
    state: &'a RequestState,
) -> PlacementRequest<'a> {
    PlacementRequest {
        route: request.route(),
        pool: request.pool(),
        model,
        prompt: &request.parsed_headers.prompt,
        session: request.session_key,
        allowed_regions,
        tried: &state.tried,
        target_left_ms: request.target_left_ms(),
        value: request.parsed_headers.prompt.value(),
        body_bytes: request.body.len(),
        has_crashed: state.crashes > 0,
        is_trial: state.is_trial,
        is_hedge: false,
        is_estimate: false,
    }
}

/// Returns the time until the first upstream of a request takes requests again, in milliseconds, if
/// all of them pause.
pub fn paused_ms(
    node_state: &NodeState,
    request: &RoutedRequest,
    model: Option<&str>,
    state: &RequestState,
) -> Option<f64> {
    let allowed_regions = request.allowed_regions();
    let placement_request = build_placement_request(request, model, &allowed_regions, state);
    let now_ms = node_state.now_ms();
    node_state.fleet().paused_ms(&placement_request, now_ms)
}

/// Returns the longest time for which a request may wait for an upstream, in milliseconds.
pub fn longest_wait_ms(request: &RoutedRequest, state: &RequestState) -> f64 {
    let deadline_left_ms = ms_until(request.deadline) as f64;
    match state.has_begun {
        true => deadline_left_ms,
        false => {
            let times = RequestTimes {
                target_ms: request.route().target_ms as f64,
                target_left_ms: request.target_left_ms(),
                deadline_left_ms,
                service_ms: 0.0,
                is_cold: false,
            };
            admission::start_limits(&times).last_start_ms
        }
    }
}

/// Returns the time after which a refused caller should retry, in milliseconds. `paused_ms` is the
/// time until the first upstream takes requests again, if all of them pause.
pub fn retry_after_ms(
    node_state: &NodeState,
    request: &RoutedRequest,
    paused_ms: Option<f64>,
) -> f64 {
    node_state.waiting_room.retry_after_ms(node_state, request, paused_ms)
}
