//! The path of a request from its arrival to its answer.
//!
//! [`serve`] places a request, sends it and decides what its answer means: it is passed on, asked
//! for again elsewhere, or, for a generation, asked for again from a larger model.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{
    Attempt, Outcome, Progress, Repeatable, TurnedAway, Unknown, UnknownCause,
};
use fescuelock_core::refusal::Refusal;
use fescuelock_http::body::{Body, read_all};
use fescuelock_platform::messages;
use fescuelock_policy::deployment::Repetition;
use fescuelock_policy::health;
use fescuelock_policy::retry_budget::RetryPurpose;
use http::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use crate::answer;
use crate::beliefs::Beliefs;
use crate::choice::Placed;
use crate::dispatch::{self, Answered, Dispatch, Errand, ms_until};
use crate::escalate::larger_model;
use crate::front::Call;
use crate::member::MemberKey;
use crate::metrics::{Tally, Timing};
use crate::queue::{place_or_wait, return_ms};
use crate::relay;
use crate::trace::Trace;

/// Largest whole answer, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Time beyond the end of a request for the upstream's own last answer, in milliseconds.
const LAST_ANSWER_WAIT_MS: u64 = 60;

/// Connections that may fail before a request is given up.
const CONNECTS_MAX: u32 = 5;

/// Factor of the latency objective after which another upstream is asked although this one goes on
/// with other requests.
const OVERDUE_FACTOR: f64 = 1.5;

/// Factor over the expected time from which an upstream is taken to be silent.
const SILENT_FACTOR: f64 = 4.0;

/// Share of the latency objective before which no upstream is taken to be silent.
const SILENT_TARGET_SHARE: f64 = 0.6;

/// Least time until an upstream is taken to be silent, in milliseconds.
const SILENT_MIN_MS: f64 = 120.0;

/// Rank at an engine of the most urgent requests. More urgent ranks are left for requests that
/// continue.
const RANK_FIRST: u32 = 2;

/// Upstreams that may turn a request away before it is refused. Three in a row tell that most are
/// full, and each costs the caller a round trip.
const TURNED_AWAY_MAX: u32 = 3;

/// `Progressing` is a request between its attempts.
pub struct Progressing {
    /// What may still be told about the request.
    pub progress: Option<Progress>,
    /// Upstreams that it was sent to or that could not be connected to.
    pub tried: Vec<MemberKey>,
    /// Upstreams that it was sent to and that may have run it.
    pub sends: u32,
    /// Upstreams that turned it away.
    pub turned_away: u32,
    /// Connections that failed.
    pub failed_connects: u32,
    /// The last failure that an upstream answered, to be passed on if no other does better.
    last_answer: Option<WholeAnswer>,
}

/// `WholeAnswer` is an upstream's answer that has been read.
struct WholeAnswer {
    version: String,
    status: StatusCode,
    headers: HeaderMap,
    body: bytes::Bytes,
}

/// `Ended` is the end of a request without an upstream's answer to pass on.
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// Time after which the caller may return, in milliseconds.
    pub return_ms: Option<f64>,
}

impl Default for Progressing {
    fn default() -> Self {
        Progressing {
            progress: Some(Progress::Unsent(Attempt::new())),
            tried: Vec::new(),
            sends: 0,
            turned_away: 0,
            failed_connects: 0,
            last_answer: None,
        }
    }
}

impl Progressing {
    /// Takes what may be told about the request, to send it or to end it.
    fn take(&mut self) -> Progress {
        self.progress.take().unwrap_or(Progress::Unsent(Attempt::new()))
    }

    /// Ends the request with a refusal, or as unknown if it was sent.
    pub fn end(&mut self, refusal: Refusal, return_ms: Option<f64>) -> Ended {
        Ended { outcome: self.take().end(refusal), return_ms }
    }
}

/// Reads an upstream's whole answer.
///
/// Returns `None` if the request may be sent again; then its progress is in `state`.
async fn read_whole(
    beliefs: &Arc<Beliefs>,
    call: &Call,
    answered: Answered,
    state: &mut Progressing,
    trace: &mut Trace,
) -> Option<WholeAnswer> {
    let Answered { attempt, head, status, headers, body, connection, ticket, placed, .. } =
        answered;
    let limit = Duration::from_millis(ms_until(call.ends) + LAST_ANSWER_WAIT_MS);
    let read = timeout(limit, read_all(body, ANSWER_MAX_BYTES)).await;
    match read {
        Ok(Ok(body)) => {
            let version = placed.version.clone();
            let answer = WholeAnswer { version, status, headers, body };
            if let Some(member) = beliefs.fleet().member_mut(ticket.key) {
                member.note_latency(call.arrived.elapsed().as_secs_f64() * 1_000.0);
                if !head.closes {
                    member.connections.checkin(connection);
                }
            }
            let repeat = status.is_server_error().then(|| take_repeat(beliefs, call, state));
            match repeat.flatten() {
                Some(repeatable) => {
                    trace.add("repeated", format!("upstream {} answered {status}", placed.id));
                    state.progress = Some(attempt.repeat(repeatable, UnknownCause::AnswerInvalid));
                    state.last_answer = Some(answer);
                    None
                }

                None => Some(answer),
            }
        }

        failed => {
            let cause = match failed {
                Ok(_) => UnknownCause::AnswerCut,
                Err(_) => UnknownCause::AnswerTimeout,
            };
            trace.add("answer cut", format!("upstream {}: {}", placed.id, cause.code()));
            dispatch::note_outcome(beliefs, call, &placed, health::Outcome::Failed, cause.code());
            let repeat = take_repeat(beliefs, call, state);
            state.progress = repeat.map(|repeatable| attempt.repeat(repeatable, cause));
            None
        }
    }
}

/// Serves a request that has been read.
pub async fn serve(beliefs: &Arc<Beliefs>, call: Call, mut trace: Trace) -> Response<Body> {
    let mut state = Progressing::default();
    let is_stream = match call.route().repetition {
        Repetition::Idempotent | Repetition::Once => false,
        Repetition::ResumableStream | Repetition::OnceStream => true,
    };
    let sizes = match is_stream {
        true if call.chooses_model() => call.route().model_sizes.clone(),
        true => call.head.prompt.model.clone().into_iter().collect(),
        false => Vec::new(),
    };
    let mut model = sizes.first().cloned();
    let ended = loop {
        let placed =
            match place_or_wait(beliefs, &call, model.as_deref(), &mut state, &mut trace).await {
                Ok(placed) => placed,
                Err(ended) => break ended,
            };
        let (patience_ms, patience_max_ms) = patience_ms(&call, &state, &placed);
        let errand = Errand {
            model: model.as_deref(),
            rank: model.is_some().then(|| RANK_FIRST + 2 * call.priority()),
            last_event: call.head.last_event.filter(|_| is_stream),
            patience_ms,
            patience_max_ms,
            may_reuse: !is_stream && repeatable(&call).is_some(),
        };
        let answered = match attempt(beliefs, &call, &mut state, placed, &errand, &mut trace).await
        {
            Step::Answered(answered) => answered,
            Step::Again => continue,
            Step::Ended(ended) => break ended,
        };
        if !is_stream || !answered.status.is_success() {
            match read_whole(beliefs, &call, *answered, &mut state, &mut trace).await {
                Some(answer) => return deliver(beliefs, &call, answer, trace),
                None if state.progress.is_some() => continue,
                None => break lost(UnknownCause::AnswerCut),
            }
        }
        match larger_model(beliefs, &call, &sizes, &answered, model.as_deref(), &state, &mut trace)
        {
            Some(larger) => {
                model = Some(larger);
                state.progress =
                    Some(answered.attempt.repeat(Repeatable, UnknownCause::AnswerInvalid));
                // The engine may be the best one for the larger model too.
                state.tried.pop();
            }

            None => {
                let name = model.unwrap_or_default();
                let size = sizes.iter().position(|size| *size == name).unwrap_or_default();
                let labels = [("route", call.route().name.as_str()), ("size", &size.to_string())];
                beliefs.metrics.count(Tally::ModelSizes, &labels);
                return relay::start(beliefs, call, *answered, state, name, trace);
            }
        }
    };
    finish(beliefs, &call, state, ended, trace)
}

/// `Step` is the result of one attempt as far as the request is concerned.
pub enum Step {
    /// The upstream has begun an answer that may be passed on.
    Answered(Box<Answered>),
    /// The request may be placed again.
    Again,
    /// The request has ended.
    Ended(Ended),
}

/// Sends a request once and decides what its result means.
pub async fn attempt(
    beliefs: &Arc<Beliefs>,
    call: &Call,
    state: &mut Progressing,
    placed: Placed,
    errand: &Errand<'_>,
    trace: &mut Trace,
) -> Step {
    trace.add(
        "sent",
        format!(
            "to {} version {} model {}, expected {:.0} ms, queue {:.0} ms, uncached {}, of {}, \
             loads up to {} ms old",
            placed.id,
            placed.version,
            errand.model.unwrap_or("-"),
            placed.expected_ms,
            placed.queue_ms,
            placed.uncached_tokens,
            placed.candidates,
            placed.loads_age_ms,
        ),
    );
    state.tried.push(placed.key);
    let upstream = placed.id.clone();
    let progress = state.take();
    let earlier = progress.earlier_cause();
    match dispatch::send(beliefs, call, progress, placed, errand).await {
        Dispatch::Answered(answered) if answered.head.is_not_run => {
            state.turned_away += 1;
            trace.add("turned away", format!("by {upstream} with {}", answered.status));
            state.progress = Some(answered.attempt.turned_away(TurnedAway, earlier));
            match state.turned_away < TURNED_AWAY_MAX && take_repair(beliefs, call) {
                true => Step::Again,
                false => {
                    Step::Ended(state.end(Refusal::Overloaded, Some(return_ms(beliefs, call))))
                }
            }
        }

        Dispatch::Answered(answered) => {
            state.sends += 1;
            Step::Answered(answered)
        }

        Dispatch::NotSent(progress) => {
            trace.add("not sent", format!("to {upstream}"));
            state.progress = Some(progress);
            state.failed_connects += 1;
            match state.failed_connects < CONNECTS_MAX && ms_until(call.ends) > 0 {
                true => Step::Again,
                false => {
                    let refusal = Refusal::Unreachable(call.pool().name.clone());
                    Step::Ended(state.end(refusal, Some(return_ms(beliefs, call))))
                }
            }
        }

        Dispatch::Lost(sent, cause) => {
            state.sends += 1;
            trace.add("lost", format!("at {upstream}: {}", cause.code()));
            match take_repeat(beliefs, call, state) {
                Some(repeatable) => {
                    state.progress = Some(sent.repeat(repeatable, cause));
                    Step::Again
                }

                None => Step::Ended(lost(cause)),
            }
        }
    }
}

/// Tells whether the request may be sent to `further` upstreams and one more.
pub fn may_send_again(call: &Call, state: &Progressing, further: u32) -> bool {
    state.sends + further < call.route().attempts_max && ms_until(call.ends) > 0
}

/// Takes an extra send that repairs a request, if the budget has one.
pub fn take_repair(beliefs: &Beliefs, call: &Call) -> bool {
    let granted = beliefs.take_retry(&call.pool().name, RetryPurpose::Repair);
    if granted {
        beliefs.counters.count(Counter::Retries);
    }
    granted
}

/// Takes the extra send for a request that got no usable answer, if it may be repeated, may go to
/// another upstream, and the budget has one.
fn take_repeat(beliefs: &Beliefs, call: &Call, state: &Progressing) -> Option<Repeatable> {
    let repeatable = repeatable(call)?;
    (may_send_again(call, state, 0) && take_repair(beliefs, call)).then_some(repeatable)
}

/// Returns the proof that a request may be repeated, if it may.
pub fn repeatable(call: &Call) -> Option<Repeatable> {
    match call.route().repetition {
        Repetition::Idempotent | Repetition::ResumableStream => Some(Repeatable),
        Repetition::Once | Repetition::OnceStream => None,
    }
}

/// Returns the times after which an upstream is taken to be silent, and after which its answer is
/// overdue even if it goes on with other requests, in milliseconds.
///
/// A request that no other upstream may take waits to its end.
fn patience_ms(call: &Call, state: &Progressing, placed: &Placed) -> (u64, u64) {
    let rest_ms = ms_until(call.ends) + LAST_ANSWER_WAIT_MS;
    if repeatable(call).is_none() || !may_send_again(call, state, 1) {
        return (rest_ms, rest_ms);
    }
    let expected_ms = (SILENT_FACTOR * placed.expected_ms).max(SILENT_MIN_MS);
    let target_ms = call.route().target_ms as f64;
    let silent_ms = expected_ms.max(target_ms * SILENT_TARGET_SHARE) as u64;
    let overdue_ms = expected_ms.max(target_ms * OVERDUE_FACTOR) as u64;
    (silent_ms.min(rest_ms), overdue_ms.min(rest_ms))
}

/// Ends a request that was sent and cannot be repeated.
fn lost(cause: UnknownCause) -> Ended {
    Ended { outcome: Outcome::Unknown(Unknown::after_send(cause)), return_ms: None }
}

/// Passes an upstream's answer on.
fn deliver(beliefs: &Beliefs, call: &Call, answer: WholeAnswer, trace: Trace) -> Response<Body> {
    beliefs.counters.count(Counter::RequestsRan);
    let elapsed_ms = trace.elapsed_ms();
    call.note_ms(beliefs, Timing::Answer, &answer.version, elapsed_ms);
    let outcome = if answer.status.is_success() { "served" } else { "upstream failure" };
    trace.finish(outcome, answer.status.as_u16(), elapsed_ms);
    let mut response = Response::new(Body::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = messages::caller_headers(&answer.headers);
    response
}

/// Answers a request that ended without a good answer.
fn finish(
    beliefs: &Beliefs,
    call: &Call,
    state: Progressing,
    ended: Ended,
    trace: Trace,
) -> Response<Body> {
    // A failure that an upstream stated is passed on rather than replaced.
    if let (Some(answer), Outcome::Unknown(_)) = (state.last_answer, &ended.outcome) {
        return deliver(beliefs, call, answer, trace);
    }
    answer_unserved(beliefs, &ended, trace)
}

/// Answers a request that no upstream has answered, with the outcome that it ended with.
pub fn answer_unserved(beliefs: &Beliefs, ended: &Ended, trace: Trace) -> Response<Body> {
    let (counter, name) = match &ended.outcome {
        Outcome::NotRun(not_run) => {
            let labels = [("reason", not_run.refusal().code())];
            beliefs.metrics.count(Tally::Refusals, &labels);
            (Counter::RequestsNotRun, "refused")
        }
        Outcome::Unknown(unknown) => {
            beliefs.metrics.count(Tally::Failures, &[("reason", unknown.cause().code())]);
            (Counter::RequestsUnknown, "failed")
        }
    };
    beliefs.counters.count(counter);
    let response = answer::failure(Some(trace.id()), &ended.outcome, ended.return_ms);
    let elapsed_ms = trace.elapsed_ms();
    trace.finish(name, response.status().as_u16(), elapsed_ms);
    response
}
