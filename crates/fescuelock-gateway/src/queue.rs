//! Finds an upstream for a request, waits for one, or refuses the request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::refusal::Refusal;
use fescuelock_policy::admission::{self, Admission, AdmissionOptions, Situation};
use tokio::time::sleep;

use crate::beliefs::Beliefs;
use crate::choice::{Ask, Placed, Unplaced};
use crate::dispatch::ms_until;
use crate::front::Call;
use crate::member::MemberKey;
use crate::metrics::Timing;
use crate::path::{Ended, Progressing, repeatable};
use crate::trace::Trace;

/// Interval at which a waiting request looks for room, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 15;

/// Places a request, or waits for room as long as that is worth it.
pub async fn place_or_wait(
    beliefs: &Arc<Beliefs>,
    call: &Call,
    model: Option<&str>,
    state: &mut Progressing,
    trace: &mut Trace,
) -> Result<Placed, Ended> {
    let home_regions = call.home_regions();
    let mut waited_ms = 0.0;
    let mut waiting: Option<Waiting> = None;
    let note_wait = |waited_ms: f64| {
        if waited_ms > 0.0 {
            let labels = [("route", call.route().name.as_str())];
            beliefs.metrics.note_ms(Timing::QueueWait, &labels, waited_ms as u64);
        }
    };
    loop {
        if ms_until(call.ends) == 0 {
            return Err(state.end(Refusal::Overloaded, Some(return_ms(beliefs, call))));
        }
        let ask = ask(call, model, &home_regions, &state.tried);
        let placed = beliefs.fleet().place(&ask, beliefs.now_ms());
        let unplaced = match placed {
            Ok(placed) => {
                note_wait(waited_ms);
                return Ok(placed);
            }
            Err(unplaced) => unplaced,
        };
        // Of few upstreams, one that failed is better than none.
        if unplaced == Unplaced::None && !state.tried.is_empty() && repeatable(call).is_some() {
            state.tried.clear();
            let ask = self::ask(call, model, &home_regions, &state.tried);
            if let Ok(placed) = beliefs.fleet().place(&ask, beliefs.now_ms()) {
                return Ok(placed);
            }
        }
        let situation = Situation {
            room_in_ms: match unplaced {
                Unplaced::None => None,
                Unplaced::Full(room_in_ms) => Some(room_in_ms),
            },
            waited_ms,
            target_ms: call.route().target_ms as f64,
            left_ms: ms_until(call.ends) as f64,
            ahead: beliefs.waiting.load(Ordering::Relaxed),
        };
        match admission::decide(&situation, &AdmissionOptions::default(), beliefs.draw()) {
            Admission::Wait(_) => {
                if waiting.is_none() {
                    trace.add("queued", format!("{situation:?}"));
                    waiting = Some(Waiting::start(beliefs));
                }
                sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
                waited_ms += LOOK_INTERVAL_MS as f64;
            }

            Admission::Refuse(return_ms) => {
                note_wait(waited_ms);
                trace.add("refused", format!("{unplaced:?}, {situation:?}"));
                let refusal = match unplaced {
                    Unplaced::None => Refusal::NoUpstream(call.pool().name.clone()),
                    Unplaced::Full(_) => Refusal::Overloaded,
                };
                return Err(state.end(refusal, Some(return_ms)));
            }
        }
    }
}

/// `Waiting` counts a request that waits for room.
struct Waiting {
    beliefs: Arc<Beliefs>,
}

impl Waiting {
    fn start(beliefs: &Arc<Beliefs>) -> Self {
        beliefs.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting { beliefs: Arc::clone(beliefs) }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.beliefs.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Describes what a request needs of an upstream.
pub fn ask<'a>(
    call: &'a Call,
    model: Option<&'a str>,
    home_regions: &'a [String],
    tried: &'a [MemberKey],
) -> Ask<'a> {
    Ask {
        route: call.route(),
        pool: call.pool(),
        model,
        prompt: &call.head.prompt,
        session: call.session,
        home_regions,
        tried,
        target_left_ms: call.target_left_ms(),
        value: call.head.prompt.value(),
    }
}

/// Returns the time after which a refused caller may return, in milliseconds.
pub fn return_ms(beliefs: &Beliefs, call: &Call) -> f64 {
    let situation = Situation {
        room_in_ms: None,
        waited_ms: 0.0,
        target_ms: call.route().target_ms as f64,
        left_ms: ms_until(call.ends) as f64,
        ahead: 0,
    };
    admission::return_after_ms(&situation, &AdmissionOptions::default(), beliefs.draw())
}
