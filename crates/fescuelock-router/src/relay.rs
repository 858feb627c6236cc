//! Forwards a streamed response from an engine to a caller and resumes it on another engine if the
//! stream breaks off.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_callers::responses;
use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{RequestProgress, Retryable, Sent, Unknown, UnknownCause};
use fescuelock_core::rules::ResponseIdSource;
use fescuelock_core::units::Usage;
use fescuelock_http::body::BodySender;
use fescuelock_upstreams::chat::Continuation;
use fescuelock_upstreams::dispatch::AnsweredAttempt;
use fescuelock_upstreams::events::StreamReader;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::chat::{PlacedRequest, record_bill, record_invalid_response, stream_ids};
use crate::handler::{InFlightGuard, RequestHandler};

/// `Relay` forwards the response to one streamed request.
pub struct Relay {
    handler: Arc<RequestHandler>,
    placed: PlacedRequest,
    tried: Vec<String>,
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
    Cut(RequestProgress<Sent>, UnknownCause, Continuation),
}

impl Relay {
    /// Builds the relay of one stream.
    pub fn new(
        handler: Arc<RequestHandler>,
        placed: PlacedRequest,
        in_flight_guard: InFlightGuard,
        tried: Vec<String>,
        sender: BodySender,
    ) -> Self {
        Relay {
            handler,
            placed,
            tried,
            sender,
            resumed_after: None,
            _in_flight_guard: in_flight_guard,
        }
    }

    /// Forwards the stream to its end, over as many engines as it takes.
    pub async fn run(mut self, first: AnsweredAttempt) {
        let mut reader = StreamReader::new(self.placed.id, self.stream_ids_of(&first));
        let mut answered = first;
        loop {
            match self.forward_segment(answered, &mut reader).await {
                SegmentEnd::Complete(usage) => return self.finish(usage).await,

                SegmentEnd::Abandoned(usage) => return self.finish_abandoned(usage).await,

                SegmentEnd::Cut(attempt, cause, generated) => {
                    match self.resume(attempt, cause, generated).await {
                        Some(next) => {
                            reader.resume(self.placed.id, self.stream_ids_of(&next));
                            answered = next;
                        }

                        None => return self.finish_with_error(cause).await,
                    }
                }
            }
        }
    }

    /// Forwards the segment of the stream that one engine sends.
    async fn forward_segment(
        &self,
        answered: AnsweredAttempt,
        reader: &mut StreamReader,
    ) -> SegmentEnd {
        let ids = self.stream_ids_of(&answered);
        let AnsweredAttempt { attempt, response, connection, in_flight } = answered;
        let idle_timeout = Duration::from_millis(self.handler.options.stream_idle_ms);
        let mut body = response.into_body();
        let cause = loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return SegmentEnd::Abandoned(self.total_usage(reader)),
                frame = timeout(idle_timeout, body.frame()) => frame,
            };
            let chunk = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_)) | None) => break UnknownCause::AnswerCut,
                Err(_) => break UnknownCause::AnswerTimeout,
            };
            let batch = match reader.read(&chunk) {
                Ok(batch) => batch,
                Err(error) => break record_invalid_response(&self.handler, &error),
            };
            if !batch.events.is_empty() && !self.sender.send(batch.events).await {
                return SegmentEnd::Abandoned(self.total_usage(reader));
            }
            // `[DONE]` without a `finish_reason` before it ends a truncated response.
            match batch.ended {
                true if reader.has_finish_reason() => {
                    // Without ids of requests, a stream could not be told from a stray one.
                    let has_request_id = ids == ResponseIdSource::Echoed;
                    if let Ok(None) = timeout(idle_timeout, body.frame()).await
                        && has_request_id
                    {
                        in_flight.upstream_handle().pool.checkin(connection);
                    }
                    return SegmentEnd::Complete(self.total_usage(reader));
                }

                true => break UnknownCause::AnswerCut,

                false => {}
            }
        };
        self.handler.dispatcher.record_failure(in_flight.upstream_handle());
        SegmentEnd::Cut(attempt, cause, reader.continuation())
    }

    /// Asks another engine for the rest of the response.
    async fn resume(
        &mut self,
        attempt: RequestProgress<Sent>,
        cause: UnknownCause,
        generated: Continuation,
    ) -> Option<AnsweredAttempt> {
        let continuation = (generated.tokens > 0).then_some(&generated);
        let build = || self.placed.request.to_http(continuation);
        let progress = attempt.retry(Retryable, cause);
        let assignment = &self.placed.assignment;
        let answered = self
            .handler
            .dispatch(progress, assignment, &mut self.tried, build, Some(Retryable))
            .await
            .ok()?;
        if !answered.response.status().is_success() {
            return None;
        }
        self.handler.counters.count(Counter::StreamsResumed);
        self.resumed_after = Some(generated);
        Some(*answered)
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

    fn stream_ids_of(&self, answered: &AnsweredAttempt) -> ResponseIdSource {
        stream_ids(&self.handler, &answered.in_flight.upstream_handle().name)
    }
}
