//! Passes a stream on from an engine to a caller, and continues it at another engine after a cut.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{Attempt, Sent, UnknownCause};
use fescuelock_http::body::{Body, BodySender};
use fescuelock_platform::messages;
use fescuelock_policy::health::Outcome;
use fescuelock_policy::placement::hash_name;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::beliefs::Beliefs;
use crate::choice::Placed;
use crate::dispatch::{self, Answered, Errand, ms_until};
use crate::events::EventReader;
use crate::front::Call;
use crate::member::MemberKey;
use crate::metrics::Timing;
use crate::path::{self, Progressing, Step};
use crate::queue;
use crate::trace::Trace;

/// Factor of the longest pause that is on time after which a stream counts as silent, if nothing
/// else comes from its engine either. Long prompts of others delay events by most of such a pause.
const SILENT_FACTOR: f64 = 1.5;

/// Factor of the longest pause that is on time after which a stream counts as silent in any case.
const SILENT_ALONE_FACTOR: f64 = 3.0;

/// Events from which the pace of a stream is told: enough for one delay not to decide it, few enough
/// to be known within seconds of a slow version.
const PACE_EVENTS: u64 = 6;

/// Rank at an engine of streams that go on. They go before all new ones.
const RANK_CONTINUED: u32 = 1;

/// Pause before a stream that finds no engine asks again, in milliseconds.
const PLACE_INTERVAL_MS: u64 = 50;

/// `Relay` passes on the answer to one streamed request.
struct Relay {
    beliefs: Arc<Beliefs>,
    call: Call,
    state: Progressing,
    model: String,
    sender: BodySender,
    reader: EventReader,
    trace: Trace,
    first_ms: u64,
    /// Version of the engine that began the stream.
    version: String,
}

/// `Pace` is when one engine's part of a stream began, and after which event.
struct Pace {
    started: Instant,
    first_id: Option<u64>,
}

/// `Ending` tells how one engine's part of a stream ended.
enum Ending {
    /// The engine ended the stream.
    Whole,
    /// The caller has gone.
    Abandoned,
    /// The caller's time has ended.
    Expired,
    /// The part ended before the stream did.
    Cut(Attempt<Sent>, UnknownCause),
}

/// Starts to pass on a stream whose first engine has answered.
pub fn start(
    beliefs: &Arc<Beliefs>,
    call: Call,
    answered: Answered,
    state: Progressing,
    model: String,
    trace: Trace,
) -> Response<Body> {
    let (sender, body) = Body::relayed();
    let mut response = Response::new(body);
    *response.status_mut() = answered.status;
    *response.headers_mut() = messages::caller_headers(&answered.headers);
    let first_ms = trace.elapsed_ms();
    call.note_ms(beliefs, Timing::FirstEvent, &answered.placed.version, first_ms);
    let reader = EventReader::new(call.head.last_event);
    let relay = Relay {
        beliefs: Arc::clone(beliefs),
        call,
        state,
        model,
        sender,
        reader,
        trace,
        first_ms,
        version: answered.placed.version.clone(),
    };
    beliefs.tasks.spawn(relay.run(answered));
    response
}

impl Relay {
    /// Passes the stream on to its end.
    async fn run(mut self, first: Answered) {
        let mut answered = first;
        loop {
            match self.forward(answered).await {
                Ending::Whole => return self.finish("served", Counter::RequestsRan),

                Ending::Abandoned => {
                    return self.finish("caller left", Counter::StreamsAbandoned);
                }

                Ending::Expired => return self.fail("time ended").await,

                Ending::Cut(attempt, cause) => {
                    self.reader.drop_partial();
                    self.trace
                        .add("cut", format!("{} after {:?}", cause.code(), self.reader.last_id()));
                    match self.resume(attempt, cause).await {
                        Some(next) => answered = next,
                        None => return self.fail("cut").await,
                    }
                }
            }
        }
    }

    /// Passes on one engine's part of the stream.
    async fn forward(&mut self, answered: Answered) -> Ending {
        let Answered { attempt, mut body, connection, ticket, placed, .. } = answered;
        let mut pace = Some(Pace { started: Instant::now(), first_id: self.reader.last_id() });
        let cause = loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return Ending::Abandoned,
                frame = body.frame() => frame,
                () = self.silence(ticket.key) => break UnknownCause::AnswerTimeout,
                () = sleep_until(self.call.ends) => return Ending::Expired,
            };
            let chunk = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => break UnknownCause::AnswerCut,
                None if self.reader.has_partial() => break UnknownCause::AnswerCut,
                None => {
                    drop(connection);
                    self.note_pace(&mut pace, &placed, 1);
                    return Ending::Whole;
                }
            };
            if let Some(member) = self.beliefs.fleet().member_mut(ticket.key) {
                member.progress_ms = self.beliefs.now_ms();
            }
            let events = self.reader.read(&chunk);
            if !events.is_empty() && !self.sender.send(events).await {
                return Ending::Abandoned;
            }
            self.note_pace(&mut pace, &placed, PACE_EVENTS);
        };
        let outcome = match cause {
            UnknownCause::AnswerTimeout => Outcome::Silent,
            _ => Outcome::Failed,
        };
        dispatch::note_outcome(&self.beliefs, &self.call, &placed, outcome, cause.code());
        Ending::Cut(attempt, cause)
    }

    /// Notes the pace of the stream, once, when enough events have come.
    fn note_pace(&self, pace: &mut Option<Pace>, placed: &Placed, events_min: u64) {
        let Some(Pace { started, first_id }) = pace else {
            return;
        };
        let events = self.reader.last_id().unwrap_or(0).saturating_sub(first_id.unwrap_or(0));
        let elapsed_ms = started.elapsed().as_secs_f64() * 1_000.0;
        let route = self.call.route_hash();
        let kind = route ^ hash_name(&self.model);
        let pool = &self.call.pool().name;
        let mut fleet = self.beliefs.fleet();
        // A stream that has taken too long for these events is slow however it goes on.
        let slow_ms = fleet.rollouts.slow_pace_ms(pool, kind).unwrap_or(f64::INFINITY);
        let is_late = elapsed_ms > slow_ms * events_min.max(events) as f64;
        if events < events_min && !is_late {
            return;
        }
        *pace = None;
        let pace_ms = elapsed_ms / events.max(1) as f64;
        fleet.rollouts.note_pace(pool, &placed.version, route, kind, pace_ms);
    }

    /// Waits until the stream has been silent for too long.
    ///
    /// A stream that no other engine may go on with waits for its engine to the end.
    async fn silence(&self, key: MemberKey) {
        let may_resume = path::repeatable(&self.call).is_some()
            && path::may_send_again(&self.call, &self.state, 0);
        if !may_resume {
            return std::future::pending().await;
        }
        let pause_ms = self.call.route().pause_target_ms as f64;
        let short_ms = (pause_ms * SILENT_FACTOR) as u64;
        let since_ms = self.beliefs.now_ms();
        sleep(Duration::from_millis(short_ms)).await;
        let progress_ms = self.beliefs.fleet().member(key).map(|member| member.progress_ms);
        // Other streams of the engine go on: this one waits for its turn.
        if progress_ms.is_some_and(|progress_ms| progress_ms > since_ms) {
            let long_ms = (pause_ms * SILENT_ALONE_FACTOR) as u64;
            sleep(Duration::from_millis(long_ms.saturating_sub(short_ms))).await;
        }
    }

    /// Asks another engine for the rest of the stream.
    async fn resume(&mut self, attempt: Attempt<Sent>, cause: UnknownCause) -> Option<Answered> {
        let repeatable = path::repeatable(&self.call)?;
        self.state.progress = Some(attempt.repeat(repeatable, cause));
        while path::may_send_again(&self.call, &self.state, 0) {
            if self.state.sends > 0 && !path::take_repair(&self.beliefs, &self.call) {
                self.trace.add("not resumed", "the retry budget is used up".to_owned());
                return None;
            }
            let placed = self.place().await?;
            let rest_ms = self.call.route().timeout_ms.min(ms_until(self.call.ends));
            let errand = Errand {
                model: (!self.model.is_empty()).then_some(self.model.as_str()),
                rank: Some(RANK_CONTINUED),
                last_event: self.reader.last_id(),
                patience_ms: rest_ms,
                patience_max_ms: rest_ms,
                may_reuse: false,
            };
            let step = path::attempt(
                &self.beliefs,
                &self.call,
                &mut self.state,
                placed,
                &errand,
                &mut self.trace,
            );
            let step = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                step = step => step,
            };
            match step {
                Step::Answered(answered) if answered.status.is_success() => {
                    self.beliefs.counters.count(Counter::StreamsResumed);
                    return Some(*answered);
                }
                Step::Answered(answered) => {
                    let cause = UnknownCause::AnswerInvalid;
                    self.state.progress = Some(answered.attempt.repeat(repeatable, cause));
                }
                Step::Again => {}
                Step::Ended(_) => return None,
            }
        }
        None
    }

    /// Places the rest of the stream, waiting for an engine if need be.
    async fn place(&mut self) -> Option<Placed> {
        let home_regions = self.call.home_regions();
        loop {
            let model = (!self.model.is_empty()).then_some(self.model.as_str());
            let ask = queue::ask(&self.call, model, &home_regions, &self.state.tried);
            let placed = self.beliefs.fleet().place(&ask, self.beliefs.now_ms());
            if let Ok(placed) = placed {
                return Some(placed);
            }
            // An engine that failed before may be the only one left.
            self.state.tried.clear();
            let wait = Duration::from_millis(PLACE_INTERVAL_MS);
            let has_gone = timeout(wait, self.sender.closed()).await.is_ok();
            if has_gone || ms_until(self.call.ends) == 0 {
                return None;
            }
        }
    }

    fn finish(self, outcome: &'static str, counter: Counter) {
        self.beliefs.counters.count(counter);
        let elapsed_ms = self.trace.elapsed_ms();
        self.call.note_ms(&self.beliefs, Timing::Answer, &self.version, elapsed_ms);
        self.trace.finish(outcome, 200, self.first_ms);
    }

    /// Ends the stream as broken, never as complete.
    async fn fail(self, reason: &'static str) {
        self.beliefs.counters.count(Counter::StreamsCut);
        self.trace.finish(reason, 200, self.first_ms);
        self.sender.abort().await;
    }
}
