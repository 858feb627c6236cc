//! The part of a stream that one engine sends, and the wait for the one after it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{PendingRequest, RequestProgress, Retryable, Sent, UnknownCause};
use fescuelock_core::rules::ResponseIdSource;
use fescuelock_http::pool::Connection;
use fescuelock_policy::silence::WaitCheck;
use fescuelock_upstreams::chat::Continuation;
use fescuelock_upstreams::dispatch::AnsweredAttempt;
use fescuelock_upstreams::events::{EventBatch, StreamReader};
use fescuelock_upstreams::registry::InFlightGuard;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep};

use crate::attempts::{AttemptEnd, Attempts, DispatchOptions, elapsed_ms};
use crate::chat::{PlacedRequest, record_invalid_response, stream_ids};
use crate::handler::RequestHandler;

/// `Segment` is the part of a stream that one engine sends. Dropping it cancels the request there.
pub struct Segment {
    /// The attempt.
    pub attempt: RequestProgress<Sent>,
    /// The rest of the response.
    pub body: Incoming,
    /// The connection.
    pub connection: Connection,
    /// Counts the request as in flight on the engine.
    pub in_flight: InFlightGuard,
    /// How the engine assigns ids to its responses.
    pub ids: ResponseIdSource,
    /// Reader of the stream, with all events before.
    pub reader: StreamReader,
    /// Events that were read and not forwarded yet.
    pub batch: EventBatch,
    /// What the engine was asked to continue, if it does not begin the stream.
    pub continues: Option<Continuation>,
}

/// `Silence` tracks a silence of a stream's engine, and the second one that is asked meanwhile.
#[derive(Debug, Default)]
pub struct Silence {
    is_begun: AtomicBool,
    is_second_under_way: AtomicBool,
    is_first_over: AtomicBool,
}

impl Segment {
    /// Builds the first segment of a stream.
    pub fn first(
        handler: &RequestHandler,
        placed: &PlacedRequest,
        answered: AnsweredAttempt,
    ) -> Self {
        let ids = stream_ids(handler, &answered.in_flight.upstream_handle().name);
        let reader = StreamReader::new(placed.id, ids);
        let AnsweredAttempt { attempt, response, connection, in_flight } = answered;
        let body = response.into_body();
        let batch = EventBatch::default();
        Segment { attempt, body, connection, in_flight, ids, reader, batch, continues: None }
    }
}

impl Silence {
    /// Returns whether the engine has been silent for the idle timeout.
    pub fn is_begun(&self) -> bool {
        self.is_begun.load(Ordering::Relaxed)
    }

    /// Returns whether a second engine is being asked.
    pub fn is_second_under_way(&self) -> bool {
        self.is_second_under_way.load(Ordering::Relaxed)
    }

    /// Records that the engine has broken off. The second one is all that is left.
    pub fn end_first(&self) {
        self.is_first_over.store(true, Ordering::Relaxed);
    }
}

/// Asks another engine for the rest of a stream, and waits until it has sent an event.
pub async fn ask_for_rest(
    handler: &RequestHandler,
    placed: &PlacedRequest,
    attempts: &mut Attempts,
    reader: &StreamReader,
    progress: PendingRequest,
    is_second: bool,
) -> Option<Box<Segment>> {
    let generated = reader.continuation();
    let build = || placed.request.to_http((generated.tokens > 0).then_some(&generated));
    let options = DispatchOptions {
        assignment: &placed.assignment,
        limits: handler.options.rest_limits(),
        repeatable: Some(Retryable),
        is_second,
    };
    let accept = |answered| begin_rest(handler, placed, reader, &generated, answered);
    handler.dispatch_until(progress, attempts, &options, build, accept).await.ok()
}

/// Reads a response that is to continue a stream, until its first event.
async fn begin_rest(
    handler: &RequestHandler,
    placed: &PlacedRequest,
    reader: &StreamReader,
    generated: &Continuation,
    answered: Box<AnsweredAttempt>,
) -> AttemptEnd<Box<Segment>> {
    let AnsweredAttempt { attempt, response, connection, in_flight } = *answered;
    if !response.status().is_success() {
        return AttemptEnd::Lost(attempt, UnknownCause::AnswerInvalid);
    }
    let ids = stream_ids(handler, &in_flight.upstream_handle().name);
    let mut reader = reader.clone();
    reader.resume(placed.id, ids);
    let mut body = response.into_body();
    let cause = loop {
        let Some(Ok(frame)) = body.frame().await else {
            break UnknownCause::AnswerCut;
        };
        match reader.read(&frame.into_data().unwrap_or_default()) {
            Ok(batch) if !batch.events.is_empty() || reader.has_finish_reason() => {
                let continues = Some(generated.clone());
                return AttemptEnd::Answered(Box::new(Segment {
                    attempt,
                    body,
                    connection,
                    in_flight,
                    ids,
                    reader,
                    batch,
                    continues,
                }));
            }

            Ok(batch) if batch.ended => break UnknownCause::AnswerCut,

            Ok(_) => {}

            Err(error) => break record_invalid_response(handler, &error),
        }
    };
    handler.dispatcher.record_failure(in_flight.upstream_handle());
    AttemptEnd::Lost(attempt, cause)
}

/// Waits until another engine has gone on with a stream whose engine is silent.
///
/// Dropping the future cancels what the other engine was asked. Returns `None` if the stream's time
/// is over, or if none has gone on after [`Silence::end_first`].
pub async fn wait_for_second(
    handler: &RequestHandler,
    placed: &PlacedRequest,
    attempts: &mut Attempts,
    reader: &StreamReader,
    silence: &Silence,
) -> Option<Box<Segment>> {
    let limits = handler.options.stream_limits();
    let since = Instant::now();
    let mut may_send_second = true;
    loop {
        match limits.check(elapsed_ms(since), may_send_second) {
            WaitCheck::WaitMs(wait_ms) => {
                sleep(Duration::from_millis(wait_ms)).await;
                may_send_second = true;
            }

            WaitCheck::SendSecond => {
                if !silence.is_begun.swap(true, Ordering::Relaxed) {
                    handler.counters.count(Counter::Silences);
                }
                may_send_second = false;
                // A finished answer that only lacks its end has no rest.
                if reader.has_finish_reason() {
                    continue;
                }
                silence.is_second_under_way.store(true, Ordering::Relaxed);
                let progress = PendingRequest::hedge(Retryable);
                let asking = ask_for_rest(handler, placed, attempts, reader, progress, true);
                // Most streams have no silence, so the state of the send is kept apart.
                let next = Box::pin(asking).await;
                silence.is_second_under_way.store(false, Ordering::Relaxed);
                if next.is_some() || silence.is_first_over.load(Ordering::Relaxed) {
                    return next;
                }
            }

            WaitCheck::End => return None,
        }
    }
}
