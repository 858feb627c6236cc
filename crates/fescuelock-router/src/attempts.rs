//! Sends a request to one upstream after another until one has an answer.
//!
//! An attempt of a request that may be sent more than once is kept while others are asked beside it.
//! The first answer is used, and the other attempts are cancelled at once.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use fescuelock_callers::headers;
use fescuelock_core::counters::Counter;
use fescuelock_core::outcome::{
    Outcome, PendingRequest, RequestProgress, Retryable, Sent, Unknown, UnknownCause,
};
use fescuelock_core::refusal::Refusal;
use fescuelock_http::body::Body;
use fescuelock_http::net::BoxFuture;
use fescuelock_policy::silence::{WaitCheck, WaitLimits};
use fescuelock_upstreams::dispatch::{AnsweredAttempt, Assignment, AttemptResult};
use fescuelock_upstreams::registry::UpstreamHandle;
use http::Request;
use tokio::time::{Instant, timeout};

use crate::handler::{Failure, RequestHandler, unknown_outcome};

/// `Attempts` counts the attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    sends: u32,
    tried: Vec<String>,
}

/// `DispatchOptions` configures how a request is sent.
pub struct DispatchOptions<'a> {
    /// The team and the version or service.
    pub assignment: &'a Assignment,
    /// Limits of the wait for an answer. The time starts anew with each send.
    pub limits: WaitLimits,
    /// Permission to send the request more than once.
    pub repeatable: Option<Retryable>,
    /// Whether another attempt is under way that the caller of the function waits for.
    pub is_second: bool,
}

/// `AttemptEnd` is how an attempt ended.
pub enum AttemptEnd<R> {
    /// It has an answer.
    Answered(R),
    /// Nothing was written to the upstream.
    NotSent(PendingRequest),
    /// The current rules no longer allow it, or the upstream pauses.
    Refused(PendingRequest, Refusal),
    /// The request may have reached the upstream, but there is no usable answer.
    Lost(RequestProgress<Sent>, UnknownCause),
}

/// `AttemptUnderWay` is an attempt that has no answer yet. Dropping it cancels it.
struct AttemptUnderWay<'a, R> {
    upstream: Arc<UpstreamHandle>,
    sent: Instant,
    ending: BoxFuture<'a, AttemptEnd<R>>,
}

/// `Race` holds the attempts of a request that are under way, in the order of their sends.
struct Race<'a, R> {
    attempts: Vec<AttemptUnderWay<'a, R>>,
    has_second: bool,
}

impl Attempts {
    /// Returns the names of the upstreams that the request is not sent to again.
    pub fn tried(&self) -> &[String] {
        &self.tried
    }

    /// Returns whether another attempt is allowed.
    pub fn is_left(&self, attempts_max: u32) -> bool {
        self.sends < attempts_max
    }

    /// Allows upstreams to be asked again, except for the first `kept` ones: their attempts were
    /// cancelled because another one had an answer. The attempts stay counted.
    pub fn forget_cancelled(&mut self, kept: usize) {
        self.tried.truncate(kept);
    }

    fn record(&mut self, upstream: &UpstreamHandle) {
        self.sends += 1;
        self.tried.push(upstream.name.clone());
    }
}

impl<'a, R> Race<'a, R> {
    fn push(&mut self, upstream: Arc<UpstreamHandle>, ending: BoxFuture<'a, AttemptEnd<R>>) {
        self.has_second |= !self.attempts.is_empty();
        self.attempts.push(AttemptUnderWay { upstream, sent: Instant::now(), ending });
    }

    /// Returns the time since the last send, in milliseconds.
    fn waited_ms(&self) -> u64 {
        self.attempts.last().map_or(0, |newest| elapsed_ms(newest.sent))
    }

    /// Waits until an attempt ends. Returns whether it was the newest one.
    async fn next_end(&mut self) -> (bool, AttemptEnd<R>) {
        poll_fn(|context| {
            let ended = self.attempts.iter_mut().enumerate().find_map(|(index, attempt)| {
                match attempt.ending.as_mut().poll(context) {
                    Poll::Ready(end) => Some((index, end)),
                    Poll::Pending => None,
                }
            });
            match ended {
                Some((index, end)) => {
                    self.attempts.remove(index);
                    Poll::Ready((index == self.attempts.len(), end))
                }

                None => Poll::Pending,
            }
        })
        .await
    }
}

impl RequestHandler {
    /// Sends a request until an upstream has begun to respond, as [`RequestHandler::dispatch_until`].
    pub async fn dispatch(
        &self,
        progress: PendingRequest,
        assignment: &Assignment,
        attempts: &mut Attempts,
        build: impl Fn() -> http::Result<Request<Body>>,
        repeatable: Option<Retryable>,
    ) -> Result<Box<AnsweredAttempt>, Failure> {
        let limits = self.options.head_limits();
        let options = DispatchOptions { assignment, limits, repeatable, is_second: false };
        let accept = |answered| std::future::ready(AttemptEnd::Answered(answered));
        self.dispatch_until(progress, attempts, &options, build, accept).await
    }

    /// Sends a request to one upstream after another until `accept` has an answer.
    ///
    /// No upstream is tried twice. A request that may have reached an upstream is sent to others only
    /// if the rules mark it as repeatable: when an attempt fails, and beside those under way when
    /// they have been silent for too long.
    pub async fn dispatch_until<R, F>(
        &self,
        progress: PendingRequest,
        attempts: &mut Attempts,
        options: &DispatchOptions<'_>,
        build: impl Fn() -> http::Result<Request<Body>>,
        accept: impl Fn(Box<AnsweredAttempt>) -> F + Sync,
    ) -> Result<R, Failure>
    where
        R: Send,
        F: Future<Output = AttemptEnd<R>> + Send,
    {
        let DispatchOptions { assignment, limits, repeatable, is_second } = *options;
        let attempt_assignment = match repeatable {
            Some(_) => Assignment {
                answer_timeout_ms: limits.longest_ms(self.options.attempts_max),
                ..assignment.clone()
            },
            None => assignment.clone(),
        };
        let mut refusal = match attempts.tried.is_empty() {
            true => Refusal::NoUpstream(assignment.serving.clone()),
            false => Refusal::Unreachable(assignment.serving.clone()),
        };
        let mut race = Race { attempts: Vec::new(), has_second: false };
        let mut next = Some(progress);
        loop {
            let mut may_send_second = true;
            if let Some(pending) = next.take() {
                match self.next_upstream(assignment, attempts) {
                    Some(upstream) => {
                        if attempts.sends > 0 {
                            self.counters.count(Counter::Retries);
                        }
                        if is_second || !race.attempts.is_empty() {
                            self.counters.count(Counter::SecondSends);
                        }
                        if attempts.tried.is_empty() {
                            refusal = Refusal::Unreachable(assignment.serving.clone());
                        }
                        attempts.record(&upstream);
                        let request = match build() {
                            Ok(request) => request,
                            Err(error) => {
                                let refusal = Refusal::MalformedBody(error.to_string());
                                return Err(Box::new(pending.end(refusal)));
                            }
                        };
                        let sending = self.attempt(
                            pending,
                            Arc::clone(&upstream),
                            &attempt_assignment,
                            request,
                            repeatable,
                            &accept,
                        );
                        race.push(upstream, Box::pin(sending));
                    }

                    None if race.attempts.is_empty() => {
                        // Upstreams that could not be reached are no pause.
                        let is_paused =
                            attempts.sends == 0 || matches!(refusal, Refusal::Paused { .. });
                        let paused = is_paused.then(|| self.paused_refusal(assignment)).flatten();
                        return Err(Box::new(pending.end(paused.unwrap_or(refusal))));
                    }

                    None => may_send_second = false,
                }
            }
            let limit = match repeatable.map(|_| limits.check(race.waited_ms(), may_send_second)) {
                // The attempt ends by itself.
                None => Duration::MAX,

                Some(WaitCheck::WaitMs(wait_ms)) => Duration::from_millis(wait_ms),

                Some(WaitCheck::SendSecond) => {
                    next = repeatable.map(PendingRequest::hedge);
                    continue;
                }

                Some(WaitCheck::End) => {
                    self.record_silent(&race, &limits);
                    return Err(unknown_outcome(Unknown::after_send(UnknownCause::AnswerTimeout)));
                }
            };
            let Ok((is_newest, end)) = timeout(limit, race.next_end()).await else {
                continue;
            };
            let returned = match end {
                AttemptEnd::Answered(answer) => {
                    self.record_silent(&race, &limits);
                    return Ok(answer);
                }

                AttemptEnd::NotSent(unsent) => unsent,

                AttemptEnd::Refused(unsent, reason) => {
                    // Another upstream of the version may still accept new requests.
                    let is_final =
                        !matches!(reason, Refusal::NoUpstream(_) | Refusal::Paused { .. });
                    if is_final && race.attempts.is_empty() {
                        return Err(Box::new(unsent.end(reason)));
                    }
                    refusal = reason;
                    unsent
                }

                AttemptEnd::Lost(sent, cause) => match repeatable {
                    Some(repeatable) => sent.retry(repeatable, cause),

                    None => return Err(Box::new(Outcome::Unknown(sent.unknown(cause)))),
                },
            };
            if is_newest || race.attempts.is_empty() {
                // Another attempt may have reached an upstream, whatever became of this one.
                next = match repeatable {
                    Some(repeatable) if race.has_second => Some(PendingRequest::hedge(repeatable)),
                    _ => Some(returned),
                };
            }
        }
    }

    /// Sends one attempt and waits for its end.
    async fn attempt<R, F: Future<Output = AttemptEnd<R>>>(
        &self,
        pending: PendingRequest,
        upstream: Arc<UpstreamHandle>,
        assignment: &Assignment,
        request: Request<Body>,
        repeatable: Option<Retryable>,
        accept: &impl Fn(Box<AnsweredAttempt>) -> F,
    ) -> AttemptEnd<R> {
        let request_id = request.headers().get(headers::REQUEST_ID).cloned();
        match self.dispatcher.send(pending, &upstream, assignment, request).await {
            AttemptResult::Answered(answered) => {
                let request_id = request_id.as_ref().and_then(|id| id.to_str().ok());
                let is_pause = self.record_pause(request_id.unwrap_or_default(), &answered);
                if repeatable.is_none() || !is_retryable(answered.response.status()) {
                    return accept(answered).await;
                }
                // An upstream that asks for a pause is sound.
                if !is_pause {
                    self.dispatcher.record_failure(&upstream);
                }
                AttemptEnd::Lost(answered.attempt, UnknownCause::AnswerInvalid)
            }

            AttemptResult::NotSent(unsent) => AttemptEnd::NotSent(unsent),

            AttemptResult::Refused(unsent, reason) => AttemptEnd::Refused(unsent, reason),

            AttemptResult::Lost(sent, cause) => AttemptEnd::Lost(sent, cause),
        }
    }

    /// Records a failure of the upstreams that are still silent when their attempts are cancelled.
    fn record_silent<R>(&self, race: &Race<'_, R>, limits: &WaitLimits) {
        for attempt in &race.attempts {
            if elapsed_ms(attempt.sent) >= limits.second_send_ms {
                self.dispatcher.record_failure(&attempt.upstream);
            }
        }
    }
}

/// Returns the time since `start`, in milliseconds.
pub fn elapsed_ms(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Tells whether a request that got this status may succeed on another upstream.
fn is_retryable(status: http::StatusCode) -> bool {
    matches!(status.as_u16(), 429 | 500 | 502 | 503 | 504)
}
