//! Relays a stream from an engine to a caller, and resumes it on another engine after a cut.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_callers::answer;
use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{Attempt, Repeatable, Sent, Unknown, UnknownCause};
use fescuelock_core::units::Usage;
use fescuelock_http::body::BodySender;
use fescuelock_upstreams::chat::Continuation;
use fescuelock_upstreams::dispatch::Answered;
use fescuelock_upstreams::events::StreamReader;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::chat::{Plan, bill, note_invalid, stream_ids};
use crate::path::{Counted, RequestPath};

/// `Relay` forwards the answer to one streamed request.
pub struct Relay {
    path: Arc<RequestPath>,
    plan: Plan,
    tried: Vec<String>,
    sender: BodySender,
    resumed_after: Option<Continuation>,
    // Counts the request as in flight until the stream has ended.
    _counted: Counted,
}

/// `Ending` tells how one engine's part of a stream ended.
enum Ending {
    /// The engine ended the answer.
    Whole(Usage),
    /// The caller has gone.
    Abandoned(Usage),
    /// The part ended before the answer did.
    Cut(Attempt<Sent>, UnknownCause, Continuation),
}

impl Relay {
    /// Prepares to relay a stream.
    pub fn new(
        path: Arc<RequestPath>,
        plan: Plan,
        counted: Counted,
        tried: Vec<String>,
        sender: BodySender,
    ) -> Self {
        Relay { path, plan, tried, sender, resumed_after: None, _counted: counted }
    }

    /// Relays the stream to its end.
    pub async fn run(mut self, first: Answered) {
        let mut reader = StreamReader::new(self.plan.id, self.ids_of(&first));
        let mut answered = first;
        loop {
            match self.forward(answered, &mut reader).await {
                Ending::Whole(usage) => return self.finish(usage).await,

                Ending::Abandoned(usage) => return self.abandon(usage).await,

                Ending::Cut(attempt, cause, done) => {
                    match self.resume(attempt, cause, done).await {
                        Some(next) => {
                            reader.resume(self.plan.id, self.ids_of(&next));
                            answered = next;
                        }

                        None => return self.fail(cause).await,
                    }
                }
            }
        }
    }

    /// Forwards one engine's part of the stream.
    async fn forward(&self, answered: Answered, reader: &mut StreamReader) -> Ending {
        let Answered { attempt, response, connection, in_flight } = answered;
        let idle = Duration::from_millis(self.path.options.stream_idle_ms);
        let mut body = response.into_body();
        let cause = loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return Ending::Abandoned(self.usage(reader)),
                frame = timeout(idle, body.frame()) => frame,
            };
            let chunk = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_)) | None) => break UnknownCause::AnswerCut,
                Err(_) => break UnknownCause::AnswerTimeout,
            };
            let batch = match reader.read(&chunk) {
                Ok(batch) => batch,
                Err(error) => break note_invalid(&self.path, &error),
            };
            if !batch.events.is_empty() && !self.sender.send(batch.events).await {
                return Ending::Abandoned(self.usage(reader));
            }
            // An end marker without a reason for the end is an answer that was cut.
            match batch.ended {
                true if reader.is_finished() => {
                    if let Ok(None) = timeout(idle, body.frame()).await {
                        in_flight.peer().pool.checkin(connection);
                    }
                    return Ending::Whole(self.usage(reader));
                }

                true => break UnknownCause::AnswerCut,

                false => {}
            }
        };
        self.path.dispatcher.note_failure(in_flight.peer());
        Ending::Cut(attempt, cause, reader.continuation())
    }

    /// Asks another engine for the rest of the answer.
    async fn resume(
        &mut self,
        attempt: Attempt<Sent>,
        cause: UnknownCause,
        done: Continuation,
    ) -> Option<Answered> {
        let continuation = (done.tokens > 0).then_some(&done);
        let build = || self.plan.request.to_http(continuation);
        let progress = attempt.repeat(Repeatable, cause);
        let assignment = &self.plan.assignment;
        let answered = self
            .path
            .dispatch(progress, assignment, &mut self.tried, build, Some(Repeatable))
            .await
            .ok()?;
        if !answered.response.status().is_success() {
            return None;
        }
        self.path.counters.count(Counter::StreamsResumed);
        self.resumed_after = Some(done);
        Some(*answered)
    }

    /// Bills the request and ends the stream with its usage, version and cost.
    async fn finish(self, usage: Usage) {
        self.path.counters.count(Counter::RequestsRan);
        let cost_micros = bill(&self.path, &self.plan, usage).await;
        let version = &self.plan.assignment.serving;
        let events = answer::last_events(self.plan.id, version, usage, cost_micros);
        self.sender.send(Bytes::from(events)).await;
    }

    /// Bills what was generated for a caller that has gone. Dropping the connection cancels it.
    async fn abandon(self, usage: Usage) {
        self.path.counters.count(Counter::StreamsAbandoned);
        bill(&self.path, &self.plan, usage).await;
    }

    /// Ends the stream with an explicit error and a broken body, never a clean close.
    async fn fail(self, cause: UnknownCause) {
        self.path.counters.count(Counter::StreamsCut);
        self.path.counters.count(Counter::RequestsUnknown);
        let outcome = Unknown::after_send(cause);
        let event = answer::error_event(self.plan.id, &outcome);
        self.sender.send(Bytes::from(event)).await;
        self.sender.abort().await;
    }

    /// Returns the usage of the whole answer, over all its parts.
    fn usage(&self, reader: &StreamReader) -> Usage {
        let part = reader.usage();
        let input_tokens = match (reader.has_usage(), &self.resumed_after) {
            (false, _) => self.plan.expected.input_tokens,

            // The prompt of a resumed part holds the text that was generated before.
            (true, Some(done)) => part.input_tokens.saturating_sub(done.tokens),

            (true, None) => part.input_tokens,
        };
        let output_tokens = match (reader.has_usage(), &self.resumed_after) {
            (true, Some(done)) => part.output_tokens + done.tokens,
            _ => part.output_tokens,
        };
        Usage { input_tokens, output_tokens }
    }

    fn ids_of(&self, answered: &Answered) -> fescuelock_core::rules::StreamIds {
        stream_ids(&self.path, &answered.in_flight.peer().name)
    }
}
