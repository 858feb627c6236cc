//! Places a request on an upstream, queues it until one has capacity, or refuses it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::refusal::Refusal;
use fescuelock_policy::admission::{self, Admission, AdmissionContext, AdmissionOptions};
use tokio::time::sleep;

use crate::beliefs::Beliefs;
use crate::choice::{Ask, Placed, Unplaced};
use crate::dispatch::ms_until;
use crate::front::RoutedRequest;
use crate::member::MemberKey;
use crate::metrics::Timing;
use crate::path::{RequestFailure, RequestState, repeatable};
use crate::trace::Trace;

/// Interval at which a queued request retries placement, in milliseconds.
const POLL_INTERVAL_MS: u64 = 15;

/// Places a request on an upstream, waiting for capacity as long as admission control allows.
///
/// # Errors
///
/// Returns the failure of a request that was refused, or whose deadline passed while it waited.
pub async fn place_or_wait(
    beliefs: &Arc<Beliefs>,
    request: &RoutedRequest,
    model: Option<&str>,
    state: &mut RequestState,
    trace: &mut Trace,
) -> Result<Placed, RequestFailure> {
    let allowed_regions = request.allowed_regions();
    let mut waited_ms = 0.0;
    let mut queued_guard: Option<QueuedGuard> = None;
    let record_wait = |waited_ms: f64| {
        if waited_ms > 0.0 {
            let labels = [("route", request.route().name.as_str())];
            beliefs.metrics.note_ms(Timing::QueueWait, &labels, waited_ms as u64);
        }
    };
    loop {
        if ms_until(request.deadline) == 0 {
            return Err(state.fail(Refusal::Overloaded, Some(retry_after_ms(beliefs, request))));
        }
        let query = placement_query(request, model, &allowed_regions, &state.tried);
        let placed = beliefs.fleet().place(&query, beliefs.now_ms());
        let unplaced = match placed {
            Ok(placed) => {
                record_wait(waited_ms);
                return Ok(placed);
            }
            Err(unplaced) => unplaced,
        };
        // If no untried upstream is left, as in a small pool, retrying one that failed is better
        // than refusing the request.
        if unplaced == Unplaced::None && !state.tried.is_empty() && repeatable(request).is_some() {
            state.tried.clear();
            let query = self::placement_query(request, model, &allowed_regions, &state.tried);
            if let Ok(placed) = beliefs.fleet().place(&query, beliefs.now_ms()) {
                return Ok(placed);
            }
        }
        let situation = AdmissionContext {
            capacity_in_ms: match unplaced {
                Unplaced::None => None,
                Unplaced::Full(capacity_in_ms) => Some(capacity_in_ms),
            },
            waited_ms,
            target_ms: request.route().target_ms as f64,
            deadline_left_ms: ms_until(request.deadline) as f64,
            queued_ahead: beliefs.waiting.load(Ordering::Relaxed),
        };
        match admission::decide(&situation, &AdmissionOptions::default(), beliefs.draw()) {
            Admission::Wait(_) => {
                if queued_guard.is_none() {
                    trace.add("queued", format!("{situation:?}"));
                    queued_guard = Some(QueuedGuard::start(beliefs));
                }
                sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
                waited_ms += POLL_INTERVAL_MS as f64;
            }

            Admission::Refuse(retry_after_ms) => {
                record_wait(waited_ms);
                trace.add("refused", format!("{unplaced:?}, {situation:?}"));
                let refusal = match unplaced {
                    Unplaced::None => Refusal::NoUpstream(request.pool().name.clone()),
                    Unplaced::Full(_) => Refusal::Overloaded,
                };
                return Err(state.fail(refusal, Some(retry_after_ms)));
            }
        }
    }
}

/// `QueuedGuard` keeps a request in the count of queued requests until it is dropped.
struct QueuedGuard {
    beliefs: Arc<Beliefs>,
}

impl QueuedGuard {
    fn start(beliefs: &Arc<Beliefs>) -> Self {
        beliefs.waiting.fetch_add(1, Ordering::Relaxed);
        QueuedGuard { beliefs: Arc::clone(beliefs) }
    }
}

impl Drop for QueuedGuard {
    fn drop(&mut self) {
        self.beliefs.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Builds the query for an upstream that can serve a request.
pub fn placement_query<'a>(
    request: &'a RoutedRequest,
    model: Option<&'a str>,
    allowed_regions: &'a [String],
    tried: &'a [MemberKey],
) -> Ask<'a> {
    Ask {
        route: request.route(),
        pool: request.pool(),
        model,
        prompt: &request.head.prompt,
        session: request.session_key,
        allowed_regions,
        tried,
        target_left_ms: request.target_left_ms(),
        value: request.head.prompt.value(),
    }
}

/// Returns the time after which a refused caller should retry, in milliseconds.
pub fn retry_after_ms(beliefs: &Beliefs, request: &RoutedRequest) -> f64 {
    let situation = AdmissionContext {
        capacity_in_ms: None,
        waited_ms: 0.0,
        target_ms: request.route().target_ms as f64,
        deadline_left_ms: ms_until(request.deadline) as f64,
        queued_ahead: 0,
    };
    admission::retry_after_ms(&situation, &AdmissionOptions::default(), beliefs.draw())
}
