//! Sends a request to a second upstream while the first one is silent.
//!
//! The first attempt is kept until the second one has begun to answer. Whichever answers first is
//! used, and the other is cancelled. Without a second upstream, an attempt left or a retry in the
//! budget, the request waits for its first upstream until its deadline.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescuelock_core::outcome::PendingRequest;
use fescuelock_http::net::BoxFuture;
use fescuelock_policy::crash_evidence::PromptVerdict;
use fescuelock_policy::health::Outcome as HealthOutcome;
use fescuelock_policy::retry_budget::RetryPurpose;
use fescuelock_policy::silence::{
    HedgeCause, HedgeCheck, HedgeTimeouts, SECOND_SEND_RETRY_INTERVAL_MS,
};
use slog::info;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::dispatch::{self, AttemptOptions, SendResult, UpstreamResponse};
use crate::event_reader;
use crate::handler::RoutedRequest;
use crate::metrics::LabelledCounter;
use crate::node_state::NodeState;
use crate::placement::{Placement, PlacementRequest};
use crate::queue::build_placement_request;
use crate::serve::{self, RequestState};
use crate::trace::Trace;
use crate::upstream::UpstreamKey;

/// Time for which an attempt that is no longer needed is still read, in milliseconds. Upstreams whose
/// silence has a common cause go on together, and what an answer says of its upstream, such as that it
/// wants no further requests, counts even if the answer is not used.
const CROSSING_MS: u64 = 5;

/// `FirstAttempt` is an attempt that is under way and may get a second one beside it.
#[derive(Debug, Clone, Copy)]
pub struct FirstAttempt<'a> {
    /// Upstream of the attempt.
    pub placement: &'a Placement,
    /// Time of the last byte for this request, or of its send, in milliseconds.
    pub since_ms: u64,
    /// Number of attempts under way, this one included, that [`RequestState::sends`] does not
    /// include.
    pub uncounted_sends: u32,
    /// Whether the caller has a part of the response, so that the one of a second upstream has to
    /// continue it.
    pub has_response: bool,
}

/// `SendContext` is what all sends of a request have in common.
#[derive(Clone, Copy)]
struct SendContext<'a> {
    node_state: &'a Arc<NodeState>,
    request: &'a RoutedRequest,
    options: &'a AttemptOptions<'a>,
}

/// `HedgeProgress` tracks the second send of a request beside its first one.
#[derive(Debug, Default)]
pub struct HedgeProgress {
    is_in_flight: AtomicBool,
    first_over: CancellationToken,
}

impl HedgeProgress {
    /// Returns whether a second send is under way.
    pub fn is_in_flight(&self) -> bool {
        self.is_in_flight.load(Ordering::Relaxed)
    }

    /// Records that the first attempt has ended without a usable response. The second send that is
    /// under way takes its place: if it is silent too, it gets another one beside it.
    pub fn end_first(&self) {
        self.first_over.cancel();
    }
}

/// `Hedged` is the response of a second upstream that began to answer before the first one.
pub struct Hedged {
    /// The response.
    pub response: Box<UpstreamResponse>,
    /// Reason for the second send.
    pub cause: HedgeCause,
}

/// `Attempted` is the result of an attempt, with the upstream that it comes from.
pub struct Attempted {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Id of the upstream.
    pub upstream_id: String,
    /// Result of the send.
    pub result: SendResult,
}

/// Sends a request to the upstream chosen for it, and to a second one if that one is silent. Returns
/// the result of the attempt that is used.
pub async fn send(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    state: &mut RequestState,
    progress: PendingRequest,
    placement: Placement,
    options: &AttemptOptions<'_>,
    trace: &mut Trace,
) -> Attempted {
    let first_placement = placement.clone();
    let first = FirstAttempt {
        placement: &first_placement,
        since_ms: node_state.now_ms(),
        uncounted_sends: 1,
        has_response: false,
    };
    let sending = dispatch::send(node_state, request, progress, placement, options);
    let context = SendContext { node_state, request, options };
    send_hedged(context, state, sending, std::future::ready(()), first, trace).await
}

/// Waits for an attempt that is under way, and from `start` on sends the request to a second
/// upstream if the attempt is silent. Returns the result of the attempt that is used.
async fn send_hedged(
    context: SendContext<'_>,
    state: &mut RequestState,
    sending: impl Future<Output = SendResult>,
    start: impl Future<Output = ()>,
    first: FirstAttempt<'_>,
    trace: &mut Trace,
) -> Attempted {
    let SendContext { node_state, request, options } = context;
    let hedge_progress = HedgeProgress::default();
    let (first_result, hedged) = {
        let mut sending = pin!(sending);
        let mut second = pin!(async {
            start.await;
            second_response(node_state, request, state, first, options, &hedge_progress, trace)
                .await
        });
        tokio::select! {
            biased;
            result = &mut sending => {
                let waits = hedge_progress.is_in_flight() && !is_usable(&result);
                if waits {
                    hedge_progress.end_first();
                }
                let hedged = match waits {
                    true => second.await,
                    false => {
                        read_crossing_answer(&hedge_progress, second).await;
                        None
                    }
                };
                (Some(result), hedged)
            }
            hedged = &mut second => {
                // The response itself is not used: the second upstream answered before.
                let _ = timeout(Duration::from_millis(CROSSING_MS), sending).await;
                (None, hedged)
            }
        }
    };
    if hedge_progress.is_in_flight() {
        cancel_second(node_state, state, trace);
    }
    match (hedged, first_result) {
        (Some(Hedged { response, cause }), first_result) => {
            if first_result.is_none() {
                record_replaced(node_state, request, first.placement, cause);
            }
            Attempted {
                key: response.placement.key,
                upstream_id: response.placement.id.clone(),
                result: SendResult::Received(response),
            }
        }

        (None, first_result) => Attempted {
            key: first.placement.key,
            upstream_id: first.placement.id.clone(),
            result: first_result.expect("a hedge without a response ends with the first attempt"),
        },
    }
}

/// Reads on for a moment at a second send that is about to be cancelled.
pub async fn read_crossing_answer(
    progress: &HedgeProgress,
    second: impl Future<Output = Option<Hedged>>,
) {
    if progress.is_in_flight() {
        // The response itself is not used: the first upstream went on before.
        let _ = timeout(Duration::from_millis(CROSSING_MS), second).await;
    }
}

/// Returns whether a result is a response that ends the wait for other attempts.
fn is_usable(result: &SendResult) -> bool {
    match result {
        SendResult::Received(response) => {
            !response.parsed_headers.upstream_did_not_run && !response.status.is_server_error()
        }
        SendResult::Aborted => true,
        SendResult::NotSent(_) | SendResult::Lost(..) => false,
    }
}

/// Waits until a second upstream has begun to answer a request whose first one is silent.
///
/// Dropping the future cancels the second send. Returns `None` only after
/// [`HedgeProgress::end_first`], if the last second send fails.
pub async fn second_response(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    state: &mut RequestState,
    first: FirstAttempt<'_>,
    options: &AttemptOptions<'_>,
    progress: &HedgeProgress,
    trace: &mut Trace,
) -> Option<Hedged> {
    let mut is_traced = false;
    loop {
        let cause = wait_until_due(node_state, first, &options.hedge_timeouts).await;
        if cause == HedgeCause::UpstreamSilent {
            begin_silence(node_state, first);
        }
        if !std::mem::replace(&mut is_traced, true) {
            trace.add("silent", format!("{}: {cause:?}", first.placement.id));
        }
        if let Some(placement) = place_second(node_state, request, state, first, options) {
            let context = SendContext { node_state, request, options };
            let second = send_second(context, state, placement, first, progress, trace).await;
            match second {
                Some(response)
                    if !first.has_response || event_reader::may_continue(request, &response) =>
                {
                    trace.add("second send answered", format!("by {}", response.placement.id));
                    count(node_state, "used");
                    return Some(Hedged { response, cause });
                }

                Some(response) => {
                    let reason = "the response does not continue the stream";
                    trace.add("second send failed", format!("{}: {reason}", response.placement.id));
                    count(node_state, "failed");
                }

                None => count(node_state, "failed"),
            }
            if progress.first_over.is_cancelled() {
                return None;
            }
        }
        sleep(Duration::from_millis(SECOND_SEND_RETRY_INTERVAL_MS)).await;
    }
}

/// Waits until the request of an attempt is to be sent to a second upstream.
async fn wait_until_due(
    node_state: &NodeState,
    first: FirstAttempt<'_>,
    timeouts: &HedgeTimeouts,
) -> HedgeCause {
    loop {
        let last_byte_ms =
            node_state.fleet().upstream(first.placement.key).map(|upstream| upstream.last_byte_ms);
        match timeouts.check(first.since_ms, last_byte_ms, node_state.now_ms()) {
            HedgeCheck::Due(cause) => return cause,
            HedgeCheck::WaitMs(wait_ms) => sleep(Duration::from_millis(wait_ms)).await,
        }
    }
}

/// Selects a second upstream that is not silent, and takes a retry from the budget for it.
fn place_second(
    node_state: &NodeState,
    request: &RoutedRequest,
    state: &RequestState,
    first: FirstAttempt<'_>,
    options: &AttemptOptions<'_>,
) -> Option<Placement> {
    serve::repeat_permission(request)?;
    // A request that may crash its engine is given to one engine at a time.
    let prompt = &request.parsed_headers.prompt;
    let verdict = node_state.fleet().prompt_verdict(prompt, node_state.now_ms());
    if state.is_trial
        || !serve::may_retry(request, state, first.uncounted_sends)
        || (options.model.is_some() && verdict != PromptVerdict::Allowed)
    {
        return None;
    }
    let allowed_regions = request.allowed_regions();
    let tried: Vec<UpstreamKey> =
        state.tried.iter().copied().chain([first.placement.key]).collect();
    let placement_request = PlacementRequest {
        is_hedge: true,
        tried: &tried,
        ..build_placement_request(request, options.model, &allowed_regions, state)
    };
    let estimate = PlacementRequest { is_estimate: true, ..placement_request };
    let now_ms = node_state.now_ms();
    node_state.fleet().place(&estimate, now_ms).ok()?;
    if !node_state.take_retry(&request.pool().name, RetryPurpose::Hedge) {
        return None;
    }
    node_state.fleet().place(&placement_request, now_ms).ok()
}

/// Sends a request to a second upstream. Once the first attempt has ended, the second one may get
/// another one beside it in turn, so that the future contains others of its type.
fn send_second<'a>(
    context: SendContext<'a>,
    state: &'a mut RequestState,
    placement: Placement,
    first: FirstAttempt<'a>,
    progress: &'a HedgeProgress,
    trace: &'a mut Trace,
) -> BoxFuture<'a, Option<Box<UpstreamResponse>>> {
    Box::pin(async move {
        let SendContext { node_state, request, options } = context;
        let pending = PendingRequest::hedge(serve::repeat_permission(request)?);
        let expected_ms = placement.expected_ms;
        trace.add("second send", format!("to {}, expected {expected_ms:.0} ms", placement.id));
        state.tried.push(placement.key);
        state.has_hedged = true;
        progress.is_in_flight.store(true, Ordering::Relaxed);
        let second = FirstAttempt {
            placement: &placement,
            since_ms: node_state.now_ms(),
            uncounted_sends: first.uncounted_sends + 1,
            has_response: first.has_response,
        };
        let sending = dispatch::send(node_state, request, pending, placement.clone(), options);
        let start = progress.first_over.cancelled();
        let attempted = send_hedged(context, state, sending, start, second, trace).await;
        progress.is_in_flight.store(false, Ordering::Relaxed);
        record_second(node_state, request, state, attempted, trace).await
    })
}

/// Records the result of a second send. Returns its response if it can be used.
async fn record_second(
    node_state: &NodeState,
    request: &RoutedRequest,
    state: &mut RequestState,
    attempted: Attempted,
    trace: &mut Trace,
) -> Option<Box<UpstreamResponse>> {
    let Attempted { key, upstream_id, result } = attempted;
    let is_used = is_usable(&result);
    match result {
        SendResult::Received(response) if is_used => {
            state.sends += 1;
            Some(response)
        }

        SendResult::Received(response) if response.parsed_headers.upstream_did_not_run => {
            state.rejections += 1;
            trace.add("turned away", format!("by {upstream_id} with {}", response.status));
            None
        }

        SendResult::Received(response) => {
            state.sends += 1;
            trace.add("second send failed", format!("{upstream_id}: {}", response.status));
            None
        }

        SendResult::NotSent(_) => {
            state.unsent_attempts += 1;
            None
        }

        SendResult::Aborted => {
            state.sends += 1;
            None
        }

        SendResult::Lost(_, cause) => {
            state.sends += 1;
            trace.add("second send lost", format!("at {upstream_id}: {}", cause.code()));
            state.record_loss(node_state, request, key, cause, trace).await;
            None
        }
    }
}

/// Records that a second send was cancelled because the first upstream went on.
pub fn cancel_second(node_state: &NodeState, state: &mut RequestState, trace: &mut Trace) {
    state.sends += 1;
    trace.add("second send cancelled", "the first upstream went on".to_owned());
    count(node_state, "cancelled");
}

/// Records the health of an upstream that was replaced by a second one. A silent upstream is judged
/// by the length of its silence instead.
pub fn record_replaced(
    node_state: &NodeState,
    request: &RoutedRequest,
    placement: &Placement,
    cause: HedgeCause,
) {
    match cause {
        HedgeCause::UpstreamSilent => {}

        HedgeCause::RequestUnanswered => dispatch::record_health_outcome(
            node_state,
            request,
            placement,
            HealthOutcome::Failed,
            "requests get no response while others do",
        ),
    }
}

fn begin_silence(node_state: &NodeState, first: FirstAttempt<'_>) {
    let FirstAttempt { placement, since_ms, .. } = first;
    let now_ms = node_state.now_ms();
    let silent_ms = node_state.fleet().upstream_mut(placement.key).and_then(|upstream| {
        let last_byte_ms = upstream.last_byte_ms;
        let is_new = upstream.silence.begin(since_ms, last_byte_ms, now_ms);
        is_new.then(|| now_ms.saturating_sub(since_ms.max(last_byte_ms)))
    });
    if let Some(silent_ms) = silent_ms {
        node_state.metrics.count(LabelledCounter::Silences, &[("state", "begun")]);
        info!(node_state.logger, "upstream silent"; "upstream" => &placement.id,
            "silent_ms" => silent_ms);
    }
}

/// Records that an upstream has sent something. Ends its silence.
pub fn record_byte(node_state: &NodeState, placement: &Placement) {
    let now_ms = node_state.now_ms();
    let silent_ms = node_state.fleet().upstream_mut(placement.key).and_then(|upstream| {
        upstream.last_byte_ms = now_ms;
        upstream.silence.end(now_ms)
    });
    if let Some(silent_ms) = silent_ms {
        node_state.metrics.count(LabelledCounter::Silences, &[("state", "ended")]);
        info!(node_state.logger, "upstream no longer silent"; "upstream" => &placement.id,
            "silent_ms" => silent_ms);
    }
}

/// Records silences that have become so long that they count as failures of their upstreams.
/// `since_check_ms` is the time since the last call.
pub fn record_long_silences(node_state: &NodeState, since_check_ms: u64) {
    let now_ms = node_state.now_ms();
    let lost = node_state.fleet().take_silent_losses(since_check_ms, now_ms);
    for (key, id, pool) in lost {
        let warmup_ms = node_state.warmup_ms(&pool);
        let is_ejected =
            node_state.fleet().record_outcome(key, HealthOutcome::Unresponsive, warmup_ms, now_ms);
        node_state.metrics.count(LabelledCounter::Silences, &[("state", "lost")]);
        info!(node_state.logger, "upstream silent for too long"; "upstream" => id,
            "left_out" => is_ejected);
    }
}

fn count(node_state: &NodeState, outcome: &'static str) {
    node_state.metrics.count(LabelledCounter::SecondSends, &[("outcome", outcome)]);
}
