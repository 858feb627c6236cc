//! Decides whether to send a request to the largest model after the smallest one has begun its
//! stream. That stream is kept until the largest model has begun to answer.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::outcome::PendingRequest;
use fescuelock_policy::crash_evidence::PromptVerdict;
use fescuelock_policy::escalation::{self, EscalationCandidate, EscalationOptions};
use fescuelock_policy::retry_budget::RetryPurpose;
use tokio::time::timeout;

use crate::dispatch::{self, AttemptOptions, SendResult, UpstreamResponse};
use crate::handler::RoutedRequest;
use crate::node_state::NodeState;
use crate::placement::PlacementRequest;
use crate::queue::build_placement_request;
use crate::serve::{RequestState, engine_priority, head_timeouts, may_retry, repeat_permission};
use crate::trace::Trace;

/// Returns the largest model if the request should be escalated to it, and takes a retry from the
/// service's budget for it.
///
/// Only a stream of the smallest model is escalated. Escalation needs the model's confidence in its
/// response, a repeatable request, an expected gain above the price of the engine time, and a retry
/// from the budget.
pub fn try_escalate(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    candidate_models: &[String],
    upstream_response: &UpstreamResponse,
    model: Option<&str>,
    state: &RequestState,
    trace: &mut Trace,
) -> Option<String> {
    let confidence = upstream_response.parsed_headers.confidence?;
    let largest = candidate_models.last()?;
    let is_smallest =
        candidate_models.first().map(String::as_str) == model && candidate_models.len() > 1;
    if !is_smallest || !may_retry(request, state, 0) || repeat_permission(request).is_none() {
        return None;
    }
    let prompt = &request.parsed_headers.prompt;
    // A request that may crash its engine stays there, so that one engine at a time is at risk.
    let verdict = node_state.fleet().prompt_verdict(prompt, node_state.now_ms());
    if state.is_trial || verdict != PromptVerdict::Allowed {
        return None;
    }
    let options = EscalationOptions {
        poor_loss: node_state.fleet().scoring_weights.poor_response_loss_share,
        ..EscalationOptions::default()
    };
    let now_ms = node_state.now_ms();
    let pool = request.pool();
    let (placement, queue_ms, priority_factor) = {
        let allowed_regions = request.allowed_regions();
        // The last upstream tried is that of the current stream. It stays eligible, since it may
        // also be the best one for the largest model.
        let placement_request = PlacementRequest {
            tried: &state.tried[..state.tried.len() - 1],
            is_estimate: true,
            ..build_placement_request(request, Some(largest), &allowed_regions, state)
        };
        let mut fleet = node_state.fleet();
        let placement = fleet.place(&placement_request, now_ms).ok()?;
        let priority_factor = fleet.scoring_weights.value_factor(request.priority());
        (placement, fleet.mean_queue_ms(&pool.name, now_ms), priority_factor)
    };
    // An input token costs a quarter of an output token.
    let priced_tokens = f64::from(placement.uncached_tokens) / 4.0 + prompt.output_tokens();
    let candidate = EscalationCandidate {
        confidence,
        value: prompt.value() * priority_factor,
        cost: pool.cost_per_ktoken(largest) * priced_tokens / 1_000.0,
        engine_ms: placement.prefill_ms.max(1.0),
        first_event_ms: placement.expected_ms,
        target_left_ms: request.target_left_ms(),
    };
    // All requests share the engines' queues, so the shortest latency target sets the price.
    let queue_share = queue_ms / request.shortest_target_ms() as f64;
    let price_per_ms = node_state.with_engine_time_price(&pool.name, |price| {
        let per_ms = price.per_engine_ms(queue_share, &options);
        price.observe(&candidate, &options);
        per_ms
    });
    let is_worthwhile = escalation::should_escalate(&candidate, price_per_ms, &options);
    let granted = is_worthwhile && node_state.take_retry(&pool.name, RetryPurpose::Escalation);
    trace.add(
        if granted { "escalated" } else { "kept" },
        format!(
            "confidence {confidence:.2}, value {:.2}, cost {:.3}, engine time {:.0} ms, \
             engine time price {:.5} per ms, mean queue {queue_ms:.0} ms, \
             first event expected in {:.0} ms, worthwhile {is_worthwhile}",
            candidate.value,
            candidate.cost,
            candidate.engine_ms,
            price_per_ms,
            candidate.first_event_ms,
        ),
    );
    granted.then(|| largest.clone())
}

/// Sends a request to the largest model. Returns its response once it has begun, or `None` if there
/// is none and the stream of the smallest model has to do.
pub async fn send_escalated(
    node_state: &Arc<NodeState>,
    request: &RoutedRequest,
    state: &mut RequestState,
    largest: &str,
    trace: &mut Trace,
) -> Option<Box<UpstreamResponse>> {
    let repeatable = repeat_permission(request)?;
    // The same engine may be the best one for the largest model, so it counts as untried.
    state.tried.pop();
    let allowed_regions = request.allowed_regions();
    let placement_request =
        build_placement_request(request, Some(largest), &allowed_regions, state);
    let placement = node_state.fleet().place(&placement_request, node_state.now_ms()).ok()?;
    let hedge_timeouts = head_timeouts(request, &placement);
    let options = AttemptOptions {
        model: Some(largest),
        engine_priority: Some(engine_priority(request)),
        last_event_id: request.parsed_headers.last_event_id,
        hedge_timeouts,
        may_reuse_connection: false,
        is_trial: false,
    };
    let (key, upstream_id) = (placement.key, placement.id.clone());
    state.tried.push(key);
    trace.add("sent", format!("to {upstream_id} model {largest}"));
    let progress = PendingRequest::hedge(repeatable);
    let sending = dispatch::send(node_state, request, progress, placement, &options);
    let limit = Duration::from_millis(hedge_timeouts.response_ms);
    let (reason, is_sent) = match timeout(limit, sending).await {
        Ok(SendResult::Received(response)) if response.status.is_success() => {
            state.sends += 1;
            return Some(response);
        }
        Ok(SendResult::Received(response)) => {
            (response.status.to_string(), !response.parsed_headers.upstream_did_not_run)
        }
        Ok(SendResult::Lost(_, cause)) => {
            state.record_loss(node_state, request, key, cause, trace).await;
            (cause.code().to_owned(), true)
        }
        Ok(SendResult::NotSent(_)) => ("not sent".to_owned(), false),
        Ok(SendResult::Aborted) => ("aborted".to_owned(), true),
        Err(_) => ("no response in time".to_owned(), true),
    };
    state.sends += u32::from(is_sent);
    trace.add("kept", format!("the smallest model's stream, since {upstream_id}: {reason}"));
    None
}
