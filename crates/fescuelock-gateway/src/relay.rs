//! Relays a stream from an engine to a caller, and resumes it at another engine if it is
//! interrupted.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{RequestProgress, Sent, UnknownCause};
use fescuelock_http::body::{Body, BodySender};
use fescuelock_platform::protocol;
use fescuelock_policy::crash_evidence::BEGUN_EVENTS;
use fescuelock_policy::health::Outcome as HealthOutcome;
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::request_cost::{ActualCost, RequestCost};
use fescuelock_policy::rollout::{EventIntervals, SampleKind};
use fescuelock_policy::silence::HedgeTimeouts;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::crashes;
use crate::dispatch::{self, AttemptOptions, UpstreamResponse, ms_until};
use crate::event_reader::{self, EventReader};
use crate::handler::RoutedRequest;
use crate::hedge::{self, FirstAttempt, HedgeProgress, Hedged};
use crate::metrics::LatencyHistogram;
use crate::node_state::NodeState;
use crate::placement::{Placement, PlacementError};
use crate::queue;
use crate::serve::{self, AttemptResult, RequestState};
use crate::trace::Trace;
use crate::upstream::UpstreamKey;

/// Time without an event after which a stream is also sent to a second engine if its engine sends
/// nothing for other requests either, as a multiple of the route's latency target for the interval
/// between events. Long prompts of other requests delay
/// events by most of this target.
const ENGINE_STALL_FACTOR: f64 = 1.5;

/// Time without an event after which a stream is also sent to a second engine if its engine still
/// responds to other requests, as a multiple of the route's latency target for the interval between
/// events.
const STREAM_STALL_FACTOR: f64 = 3.0;

/// Scheduling priority at the engine of resumed streams. They are served before all new requests.
const ENGINE_PRIORITY_RESUMED: u32 = 1;

/// Interval at which placement of an interrupted stream is retried, in milliseconds.
const PLACEMENT_RETRY_INTERVAL_MS: u64 = 50;

/// Time beyond the deadline for which a caller may still read the events before an abort, in
/// milliseconds.
const ABORT_GRACE_MS: u64 = 100;

/// `Relay` forwards the response to one streaming request.
struct Relay {
    node_state: Arc<NodeState>,
    request: RoutedRequest,
    state: RequestState,
    /// Model that generates the stream; empty if the request names none.
    model: String,
    sender: BodySender,
    reader: EventReader,
    trace: Trace,
    first_event_ms: u64,
    /// Version of the engine that began the stream.
    version: String,
    /// Predicted cost of the request at the engine that began the stream.
    predicted_cost: RequestCost,
}

/// `IntervalMeasurement` measures the intervals between the events that one engine sends.
struct IntervalMeasurement {
    intervals: EventIntervals,
    started: Instant,
    /// Id of the last event that was measured, or of the last event before the engine's first one.
    last_id: u64,
}

/// `ForwardEnd` is the reason why forwarding from one engine has ended.
enum ForwardEnd {
    /// The engine sent the stream to its end.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The request's deadline passed.
    DeadlineReached,
    /// The stream was aborted before it began, because a segment of its prompt was rejected.
    Aborted,
    /// The stream was interrupted before its end.
    Cut(Interruption),
    /// A second engine has gone on with the stream, since the first one was silent.
    Replaced {
        /// Response of the second engine.
        next: Box<UpstreamResponse>,
        /// How the first engine's stream was interrupted, if it was.
        interruption: Option<Interruption>,
    },
}

/// `Step` is what a relay waited for.
enum Step {
    /// Data, an error or the end of the stream has arrived from the engine.
    Frame(Option<std::result::Result<Frame<Bytes>, hyper::Error>>),
    /// A second engine has begun to answer.
    Hedged {
        /// The second engine's response.
        hedged: Hedged,
        /// Whether the first engine's stream was interrupted meanwhile.
        is_first_cut: bool,
    },
    /// The relay ends.
    End(ForwardEnd),
}

/// `Interruption` describes how a stream was interrupted at an engine.
struct Interruption {
    attempt: RequestProgress<Sent>,
    cause: UnknownCause,
    key: UpstreamKey,
    /// Whether the engine had begun the response.
    is_begun: bool,
}

/// Starts a task that relays a stream, and returns the response whose body the task feeds.
pub fn start(
    node_state: &Arc<NodeState>,
    request: RoutedRequest,
    upstream_response: UpstreamResponse,
    mut state: RequestState,
    model: String,
    trace: Trace,
) -> Response<Body> {
    state.has_begun = true;
    let (sender, body) = Body::streamed();
    let mut response = Response::new(body);
    *response.status_mut() = upstream_response.status;
    *response.headers_mut() = protocol::forwarded_response_headers(&upstream_response.headers);
    let first_event_ms = trace.elapsed_ms();
    request.record_latency(
        node_state,
        LatencyHistogram::FirstEvent,
        &upstream_response.placement.version,
        first_event_ms,
    );
    let states_end = event_reader::states_end(&upstream_response.headers);
    let reader = EventReader::new(request.parsed_headers.last_event_id, states_end);
    let relay = Relay {
        node_state: Arc::clone(node_state),
        request,
        state,
        model,
        sender,
        reader,
        trace,
        first_event_ms,
        version: upstream_response.placement.version.clone(),
        predicted_cost: upstream_response.placement.cost,
    };
    node_state.tasks.spawn(relay.run(upstream_response));
    response
}

impl Relay {
    /// Relays the stream to its end, resuming it after each interruption.
    async fn run(mut self, first: UpstreamResponse) {
        let mut upstream_response = first;
        loop {
            match self.forward(upstream_response).await {
                ForwardEnd::Complete => {
                    self.record_output();
                    return self.finish("served", Counter::RequestsRan);
                }

                ForwardEnd::CallerDisconnected => {
                    return self.finish("caller left", Counter::StreamsAbandoned);
                }

                ForwardEnd::DeadlineReached => return self.fail("time ended").await,

                ForwardEnd::Aborted => {
                    self.trace.add("aborted", "a prompt segment was rejected".to_owned());
                    return self.fail("aborted").await;
                }

                ForwardEnd::Replaced { next, interruption } => {
                    if let Some(interruption) = &interruption {
                        self.record_interruption(interruption).await;
                    }
                    self.reader.resume(event_reader::states_end(&next.headers));
                    self.node_state.counters.count(Counter::StreamsResumed);
                    upstream_response = *next;
                }

                ForwardEnd::Cut(interruption) => {
                    self.record_interruption(&interruption).await;
                    self.reader.discard_partial();
                    let Interruption { attempt, cause, .. } = interruption;
                    match self.resume(attempt, cause).await {
                        Some(next) => {
                            self.reader.resume(event_reader::states_end(&next.headers));
                            upstream_response = next;
                        }

                        None => return self.fail("cut").await,
                    }
                }
            }
        }
    }

    /// Records that a stream was interrupted, and the loss if the engine had not begun to respond.
    async fn record_interruption(&mut self, interruption: &Interruption) {
        let Interruption { cause, key, is_begun, .. } = *interruption;
        let Relay { node_state, request, state, reader, trace, .. } = self;
        trace.add("cut", format!("{}, last event id {:?}", cause.code(), reader.last_id()));
        state.is_trial = false;
        if !is_begun {
            state.record_loss(node_state, request, key, cause, trace).await;
        }
    }

    /// Waits for the next data of the stream, or for a second engine if this one is silent.
    async fn next_step(
        &mut self,
        body: &mut Incoming,
        first: FirstAttempt<'_>,
        is_begun: bool,
    ) -> Step {
        let Relay { node_state, request, state, model, sender, reader, trace, .. } = self;
        let options = attempt_options(request, state, model, reader, None);
        let progress = HedgeProgress::default();
        let is_trial = state.is_trial;
        let step = {
            let mut second = pin!(hedge::second_response(
                node_state, request, state, first, &options, &progress, trace
            ));
            let mut frame = None;
            loop {
                tokio::select! {
                    biased;
                    () = sender.closed() => break Step::End(ForwardEnd::CallerDisconnected),
                    received = body.frame(), if frame.is_none() => {
                        if !progress.is_in_flight() || !is_cut(&received, reader) {
                            hedge::read_crossing_answer(&progress, second).await;
                            break Step::Frame(received);
                        }
                        // The second send that is under way is all that is left of the stream.
                        progress.end_first();
                        frame = Some(received);
                    }
                    hedged = &mut second => match (hedged, frame.take()) {
                        (Some(hedged), received) => {
                            break Step::Hedged { hedged, is_first_cut: received.is_some() };
                        }

                        (None, received) => break Step::Frame(received.flatten()),
                    },
                    () = sleep_until(request.deadline) => {
                        break Step::End(ForwardEnd::DeadlineReached);
                    }
                    () = wait_for_rejection(node_state, request, is_trial), if !is_begun => {
                        break Step::End(ForwardEnd::Aborted);
                    }
                }
            }
        };
        if progress.is_in_flight() {
            hedge::cancel_second(node_state, state, trace);
        }
        step
    }

    /// Forwards events from one engine until the stream ends or is interrupted.
    async fn forward(&mut self, upstream_response: UpstreamResponse) -> ForwardEnd {
        let UpstreamResponse {
            attempt,
            mut body,
            connection,
            load_guard: _load_guard,
            placement,
            ..
        } = upstream_response;
        let mut measurement = IntervalMeasurement {
            intervals: EventIntervals::default(),
            started: Instant::now(),
            last_id: self.reader.last_id().unwrap_or(0),
        };
        let first_event = self.reader.event_count();
        let mut is_begun = false;
        let cause = loop {
            let first = FirstAttempt {
                placement: &placement,
                since_ms: self.node_state.now_ms(),
                uncounted_sends: 0,
                has_response: true,
            };
            let frame = match self.next_step(&mut body, first, is_begun).await {
                Step::Frame(frame) => frame,

                Step::Hedged { hedged: Hedged { response, cause }, is_first_cut: false } => {
                    hedge::record_replaced(&self.node_state, &self.request, &placement, cause);
                    return ForwardEnd::Replaced { next: response, interruption: None };
                }

                Step::Hedged { hedged, is_first_cut: true } => {
                    let interruption =
                        self.interruption(attempt, UnknownCause::AnswerCut, &placement, is_begun);
                    return ForwardEnd::Replaced {
                        next: hedged.response,
                        interruption: Some(interruption),
                    };
                }

                Step::End(end) => return end,
            };
            let chunk = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => break UnknownCause::AnswerCut,
                // A response without length ends with its connection, also if the engine ends.
                None if !self.reader.is_complete() => break UnknownCause::AnswerCut,
                None => {
                    // Connections of streams are not reused.
                    drop(connection);
                    if !is_begun {
                        crashes::record_begun(
                            &self.node_state,
                            &self.request.parsed_headers.prompt,
                        );
                    }
                    if let Some(shortest_ms) = measurement.intervals.finish() {
                        self.record_event_interval(&placement, shortest_ms);
                    }
                    return ForwardEnd::Complete;
                }
            };
            hedge::record_byte(&self.node_state, &placement);
            let events = self.reader.push(&chunk);
            if !is_begun && self.reader.event_count() - first_event >= BEGUN_EVENTS {
                is_begun = true;
                crashes::record_begun(&self.node_state, &self.request.parsed_headers.prompt);
            }
            if let Some(end) = self.send_events(events).await {
                return end;
            }
            if self.reader.is_invalid() {
                break UnknownCause::AnswerInvalid;
            }
            let last_id = self.reader.last_id().unwrap_or(0);
            let events = last_id.saturating_sub(measurement.last_id);
            measurement.last_id = last_id;
            let elapsed_ms = measurement.started.elapsed().as_secs_f64() * 1_000.0;
            if let Some(shortest_ms) = measurement.intervals.record(events, elapsed_ms) {
                self.record_event_interval(&placement, shortest_ms);
            }
        };
        ForwardEnd::Cut(self.interruption(attempt, cause, &placement, is_begun))
    }

    /// Sends events to the caller, which may read slowly. Returns why the relay ends if it does.
    async fn send_events(&self, events: Bytes) -> Option<ForwardEnd> {
        if events.is_empty() {
            return None;
        }
        match timeout_at(
            self.request.deadline,
            self.sender.send_leased(events, &self.node_state.budget),
        )
        .await
        {
            Ok(true) => None,
            Ok(false) => Some(ForwardEnd::CallerDisconnected),
            Err(_) => Some(ForwardEnd::DeadlineReached),
        }
    }

    /// Describes an interruption, and records it in the health of its engine.
    fn interruption(
        &self,
        attempt: RequestProgress<Sent>,
        cause: UnknownCause,
        placement: &Placement,
        is_begun: bool,
    ) -> Interruption {
        dispatch::record_health_outcome(
            &self.node_state,
            &self.request,
            placement,
            HealthOutcome::Failed,
            cause.code(),
        );
        Interruption { attempt, cause, key: placement.key, is_begun }
    }

    /// Records the length of a stream that was relayed from its first to its last event. An event
    /// counts as a token, since answers don't state their tokens.
    fn record_output(&self) {
        if self.request.parsed_headers.last_event_id.is_some() {
            return;
        }
        let events = self.reader.event_count();
        let output_tokens = u32::try_from(events).ok();
        self.node_state.metrics.record_prediction(
            &self.request.route().name,
            "output",
            self.predicted_cost.output_tokens,
            events as f64,
        );
        let actual = ActualCost { output_tokens, ..ActualCost::default() };
        let now_ms = self.node_state.now_ms();
        let route = self.request.route_hash();
        let predicted = &self.predicted_cost;
        self.node_state.fleet().request_costs.observe(route, predicted, &actual, now_ms);
    }

    /// Records the shortest interval between the engine's events.
    fn record_event_interval(&self, placement: &Placement, shortest_ms: f64) {
        let route = self.request.route_hash();
        let comparison_key = route ^ hash_name(&self.model);
        self.node_state.fleet().rollouts.record_latency_sample(
            &self.request.pool().name,
            &placement.version,
            route,
            SampleKind::Interval,
            comparison_key,
            shortest_ms,
        );
    }

    /// Resumes the stream at another engine, as far as attempts and the retry budget allow.
    async fn resume(
        &mut self,
        attempt: RequestProgress<Sent>,
        cause: UnknownCause,
    ) -> Option<UpstreamResponse> {
        let repeatable = serve::repeat_permission(&self.request)?;
        self.state.progress = Some(attempt.retry(repeatable, cause));
        while serve::may_retry(&self.request, &self.state, 0) {
            if self.state.sends > 0
                && !serve::take_retry_from_budget(&self.node_state, &self.request)
            {
                self.trace.add("not resumed", "the retry budget is used up".to_owned());
                return None;
            }
            let placement = self.wait_for_placement().await?;
            let Relay { node_state, request, state, model, sender, reader, trace, .. } = self;
            let options = attempt_options(request, state, model, reader, Some(&placement));
            let attempted =
                serve::send_and_classify(node_state, request, state, placement, &options, trace);
            let result = tokio::select! {
                biased;
                () = sender.closed() => return None,
                result = attempted => result,
            };
            match result {
                AttemptResult::Received(upstream_response)
                    if event_reader::may_continue(&self.request, &upstream_response) =>
                {
                    self.node_state.counters.count(Counter::StreamsResumed);
                    return Some(*upstream_response);
                }
                AttemptResult::Received(upstream_response) => {
                    let cause = UnknownCause::AnswerInvalid;
                    self.state.progress = Some(upstream_response.attempt.retry(repeatable, cause));
                }
                AttemptResult::Retry => {}
                AttemptResult::Failed(_) => return None,
            }
        }
        None
    }

    /// Places the rest of the stream on an engine, waiting until one has capacity.
    ///
    /// Returns `None` if the caller disconnects or the deadline passes first.
    async fn wait_for_placement(&mut self) -> Option<Placement> {
        let allowed_regions = self.request.allowed_regions();
        loop {
            let model = (!self.model.is_empty()).then_some(self.model.as_str());
            let placement_request =
                queue::build_placement_request(&self.request, model, &allowed_regions, &self.state);
            let placement =
                self.node_state.fleet().place(&placement_request, self.node_state.now_ms());
            match placement {
                Ok(placement) => return Some(placement),

                Err(PlacementError::PromptRejected { segment, .. }) => {
                    let reason = format!("segment {segment:x} crashes upstreams");
                    self.trace.add("not resumed", reason);
                    return None;
                }

                // No other upstream is left to try, and none takes the request in time.
                Err(PlacementError::Paused(paused_ms))
                    if self.state.tried.is_empty()
                        && paused_ms >= ms_until(self.request.deadline) as f64 =>
                {
                    let reason = format!("all upstreams pause, the first for {paused_ms:.0} ms");
                    self.trace.add("not resumed", reason);
                    return None;
                }

                Err(
                    PlacementError::NoCandidate
                    | PlacementError::AtCapacity(_)
                    | PlacementError::Paused(_),
                ) => {}
            }
            // An engine that was tried before may be the only one left.
            self.state.tried.clear();
            let interval = Duration::from_millis(PLACEMENT_RETRY_INTERVAL_MS);
            let has_caller_disconnected = timeout(interval, self.sender.closed()).await.is_ok();
            if has_caller_disconnected || ms_until(self.request.deadline) == 0 {
                return None;
            }
        }
    }

    fn finish(self, outcome: &'static str, counter: Counter) {
        self.node_state.counters.count(counter);
        let elapsed_ms = self.trace.elapsed_ms();
        self.request.record_latency(
            &self.node_state,
            LatencyHistogram::Answer,
            &self.version,
            elapsed_ms,
        );
        self.trace.finish(outcome, 200, self.first_event_ms);
        self.sender.finish();
    }

    /// Aborts the response body, so that the caller cannot take the stream for complete.
    async fn fail(self, reason: &'static str) {
        self.node_state.counters.count(Counter::StreamsCut);
        self.trace.finish(reason, 200, self.first_event_ms);
        let flush_end = self.request.deadline + Duration::from_millis(ABORT_GRACE_MS);
        // Dropped at the end of this time, the sender aborts the body as well.
        let _ = timeout_at(flush_end, self.sender.abort()).await;
    }
}

/// Returns whether a stream was interrupted, rather than continued or sent to its end.
///
/// A response without length ends with its connection, also if the engine ends.
fn is_cut(
    frame: &Option<std::result::Result<Frame<Bytes>, hyper::Error>>,
    reader: &EventReader,
) -> bool {
    match frame {
        Some(Ok(_)) => false,
        Some(Err(_)) => true,
        None => !reader.is_complete(),
    }
}

/// Returns the options of an attempt that goes on with a stream after the last event that the reader
/// has returned. `resumed_at` is where an interrupted stream is resumed; `None` if the stream is
/// still under way at an engine.
fn attempt_options<'a>(
    request: &RoutedRequest,
    state: &RequestState,
    model: &'a str,
    reader: &EventReader,
    resumed_at: Option<&Placement>,
) -> AttemptOptions<'a> {
    let event_interval_target_ms = request.route().event_gap_target_ms as f64;
    let stream_timeouts = HedgeTimeouts {
        silence_ms: (event_interval_target_ms * ENGINE_STALL_FACTOR) as u64,
        response_ms: (event_interval_target_ms * STREAM_STALL_FACTOR) as u64,
    };
    AttemptOptions {
        model: (!model.is_empty()).then_some(model),
        engine_priority: Some(ENGINE_PRIORITY_RESUMED),
        last_event_id: reader.last_id(),
        hedge_timeouts: resumed_at
            .map_or(stream_timeouts, |placement| serve::head_timeouts(request, placement)),
        may_reuse_connection: false,
        is_trial: state.is_trial,
    }
}

/// Waits until the prompt is rejected. Never completes for the trial of a rejected segment.
async fn wait_for_rejection(node_state: &NodeState, request: &RoutedRequest, is_trial: bool) {
    match is_trial {
        true => std::future::pending().await,
        false => crashes::wait_for_rejection(node_state, &request.parsed_headers.prompt).await,
    }
}
