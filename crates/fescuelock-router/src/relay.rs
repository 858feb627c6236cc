//! Forwards a streamed response from an engine to a caller and resumes it on another engine if the
//! stream breaks off.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_callers::responses;
use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{RequestProgress, Retryable, Sent, Unknown, UnknownCause};
use fescuelock_core::rules::ResponseIdSource;
use fescuelock_core::units::Usage;
use fescuelock_http::body::BodySender;
use fescuelock_http::pool::Connection;
use fescuelock_upstreams::chat::Continuation;
use fescuelock_upstreams::dispatch::AnsweredAttempt;
use fescuelock_upstreams::events::StreamReader;
use fescuelock_upstreams::registry::InFlightGuard as EngineGuard;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::attempts::Attempts;
use crate::chat::{PlacedRequest, record_bill, record_invalid_response};
use crate::handler::{InFlightGuard, RequestHandler};
use crate::segment::{self, Segment, Silence};

/// `Relay` forwards the response to one streamed request.
pub struct Relay {
    handler: Arc<RequestHandler>,
    placed: PlacedRequest,
    attempts: Attempts,
    sender: BodySender,
    resumed_after: Option<Continuation>,
    // Counts the request as in flight until the stream has ended.
    _in_flight_guard: InFlightGuard,
}

/// `SegmentEnd` tells how the segment of a stream that one engine sent ended.
enum SegmentEnd {
    /// The engine completed the response.
    Complete(Usage),
    /// The caller disconnected.
    Abandoned(Usage),
    /// The segment ended before the response was complete.
    Cut(Cut),
    /// Another engine has gone on with the stream.
    Replaced(Box<Segment>),
    /// The stream cannot go on.
    Lost(UnknownCause),
}

/// `Cut` describes a segment that ended before the response was complete.
struct Cut {
    attempt: RequestProgress<Sent>,
    cause: UnknownCause,
    reader: StreamReader,
}

/// `Step` is what happened next to a stream.
enum Step {
    /// The engine sent data.
    Chunk(Bytes),
    /// The engine broke off.
    Cut,
    /// Another engine has gone on, because this one was silent.
    Replaced(Box<Segment>),
    /// The time of the stream is over without another event.
    Silent,
    /// The caller disconnected.
    CallerDisconnected,
}

impl Relay {
    /// Builds the relay of one stream.
    pub fn new(
        handler: Arc<RequestHandler>,
        placed: PlacedRequest,
        in_flight_guard: InFlightGuard,
        attempts: Attempts,
        sender: BodySender,
    ) -> Self {
        Relay {
            handler,
            placed,
            attempts,
            sender,
            resumed_after: None,
            _in_flight_guard: in_flight_guard,
        }
    }

    /// Forwards the stream to its end, over as many engines as it takes.
    pub async fn run(mut self, first: AnsweredAttempt) {
        let mut segment = Segment::first(&self.handler, &self.placed, first);
        loop {
            let end = match self.forward_segment(segment).await {
                SegmentEnd::Cut(cut) => self.resume(cut).await,
                end => end,
            };
            match end {
                SegmentEnd::Complete(usage) => return self.finish(usage).await,

                SegmentEnd::Abandoned(usage) => return self.finish_abandoned(usage).await,

                SegmentEnd::Replaced(next) => {
                    self.handler.counters.count(Counter::StreamsResumed);
                    self.resumed_after.clone_from(&next.continues);
                    segment = *next;
                }

                SegmentEnd::Cut(Cut { cause, .. }) | SegmentEnd::Lost(cause) => {
                    return self.finish_with_error(cause).await;
                }
            }
        }
    }

    /// Forwards the segment of the stream that one engine sends.
    async fn forward_segment(&mut self, segment: Segment) -> SegmentEnd {
        let Segment {
            attempt, mut body, connection, in_flight, ids, mut reader, mut batch, ..
        } = segment;
        let cause = loop {
            if !batch.events.is_empty()
                && !self.sender.send_leased(batch.events, &self.handler.budget).await
            {
                return SegmentEnd::Abandoned(self.total_usage(&reader));
            }
            // `[DONE]` without a `finish_reason` before it ends a truncated response.
            match batch.ended {
                true if reader.has_finish_reason() => {
                    // Without ids of requests, a stream could not be told from a stray one.
                    if ids == ResponseIdSource::Echoed {
                        self.keep_after_end(body, connection, in_flight);
                    }
                    return SegmentEnd::Complete(self.total_usage(&reader));
                }

                true => break UnknownCause::AnswerCut,

                false => {}
            }
            let chunk = match self.next_step(&mut body, &reader).await {
                Step::Chunk(chunk) => chunk,

                Step::Cut => break UnknownCause::AnswerCut,

                Step::Replaced(next) => {
                    self.handler.dispatcher.record_failure(in_flight.upstream_handle());
                    return SegmentEnd::Replaced(next);
                }

                Step::Silent => {
                    self.handler.dispatcher.record_failure(in_flight.upstream_handle());
                    return SegmentEnd::Lost(UnknownCause::AnswerTimeout);
                }

                Step::CallerDisconnected => {
                    return SegmentEnd::Abandoned(self.total_usage(&reader));
                }
            };
            batch = match reader.read(&chunk) {
                Ok(batch) => batch,
                Err(error) => break record_invalid_response(&self.handler, &error),
            };
        };
        self.handler.dispatcher.record_failure(in_flight.upstream_handle());
        SegmentEnd::Cut(Cut { attempt, cause, reader })
    }

    /// Waits for the next data of the stream, or for a second engine if this one is silent.
    async fn next_step(&mut self, body: &mut Incoming, reader: &StreamReader) -> Step {
        let Relay { handler, placed, attempts, sender, .. } = self;
        let kept = attempts.tried().len();
        let silence = Silence::default();
        let step = {
            let mut second =
                pin!(segment::wait_for_second(handler, placed, attempts, reader, &silence));
            let mut is_first_over = false;
            loop {
                tokio::select! {
                    biased;
                    () = sender.closed() => break Step::CallerDisconnected,
                    frame = body.frame(), if !is_first_over => match frame {
                        Some(Ok(frame)) => {
                            break Step::Chunk(frame.into_data().unwrap_or_default());
                        }

                        Some(Err(_)) | None if silence.is_second_under_way() => {
                            // The second engine is all that is left of the stream.
                            silence.end_first();
                            is_first_over = true;
                        }

                        Some(Err(_)) | None => break Step::Cut,
                    },
                    next = &mut second => match next {
                        Some(next) => break Step::Replaced(next),
                        None if is_first_over => break Step::Cut,
                        None => break Step::Silent,
                    },
                }
            }
        };
        if silence.is_begun() {
            let counter = match step {
                Step::Chunk(_) => Counter::SilencesEnded,
                Step::Replaced(_) => Counter::SilencesReplaced,
                Step::Cut | Step::Silent | Step::CallerDisconnected => Counter::SilencesLost,
            };
            handler.counters.count(counter);
        }
        if let Step::Chunk(_) = step {
            attempts.forget_cancelled(kept);
        }
        step
    }

    /// Asks another engine for the rest of a stream that was cut.
    async fn resume(&mut self, cut: Cut) -> SegmentEnd {
        let Cut { attempt, cause, reader } = cut;
        let Relay { handler, placed, attempts, sender, .. } = self;
        let progress = attempt.retry(Retryable, cause);
        let asking = segment::ask_for_rest(handler, placed, attempts, &reader, progress, false);
        tokio::select! {
            biased;
            () = sender.closed() => SegmentEnd::Abandoned(self.total_usage(&reader)),
            next = asking => next.map_or(SegmentEnd::Lost(cause), SegmentEnd::Replaced),
        }
    }

    /// Bills the request and ends the stream with its usage, version and cost.
    async fn finish(self, usage: Usage) {
        self.handler.counters.count(Counter::RequestsRan);
        let cost_micros = record_bill(&self.handler, &self.placed, usage).await;
        let version = &self.placed.assignment.serving;
        let events = responses::final_events(self.placed.id, version, usage, cost_micros);
        self.sender.send(Bytes::from(events)).await;
        self.sender.finish();
    }

    /// Bills what was generated for a caller that disconnected. Dropping the connection cancels the
    /// request at the engine.
    async fn finish_abandoned(self, usage: Usage) {
        self.handler.counters.count(Counter::StreamsAbandoned);
        record_bill(&self.handler, &self.placed, usage).await;
    }

    /// Ends the stream with an error event and aborts the body instead of closing it, so that the
    /// caller does not mistake the response for a complete one.
    async fn finish_with_error(self, cause: UnknownCause) {
        self.handler.counters.count(Counter::StreamsCut);
        self.handler.counters.count(Counter::RequestsUnknown);
        let outcome = Unknown::after_send(cause);
        let event = responses::error_event(self.placed.id, &outcome);
        self.sender.send(Bytes::from(event)).await;
        self.sender.abort().await;
    }

    /// Keeps a connection for further requests once its response has ended. The caller's answer does
    /// not wait for that.
    fn keep_after_end(&self, mut body: Incoming, connection: Connection, in_flight: EngineGuard) {
        let idle_timeout = Duration::from_millis(self.handler.options.stream_idle_ms);
        self.handler.tasks.spawn(async move {
            if let Ok(None) = timeout(idle_timeout, body.frame()).await {
                in_flight.upstream_handle().pool.checkin(connection);
            }
        });
    }

    /// Returns the usage of the response, over all its segments.
    fn total_usage(&self, reader: &StreamReader) -> Usage {
        let segment_usage = reader.usage();
        let input_tokens = match (reader.has_usage(), &self.resumed_after) {
            (false, _) => self.placed.estimated_usage.input_tokens,

            // The prompt of a resumed segment includes the tokens that were generated before.
            (true, Some(generated)) => segment_usage.input_tokens.saturating_sub(generated.tokens),

            (true, None) => segment_usage.input_tokens,
        };
        let output_tokens = match (reader.has_usage(), &self.resumed_after) {
            (true, Some(generated)) => segment_usage.output_tokens + generated.tokens,
            _ => segment_usage.output_tokens,
        };
        Usage { input_tokens, output_tokens }
    }
}
