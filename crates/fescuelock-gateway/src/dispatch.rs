//! Sends one request to one upstream.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::counters::Counter;
use fescuelock_core::ids::Generation;
use fescuelock_core::outcome::{
    Attempt, Progress, ReturnedRequest, Sent as SentState, UnknownCause,
};
use fescuelock_core::placement::Permit;
use fescuelock_http::Error as HttpError;
use fescuelock_http::body::Body;
use fescuelock_http::pool::Connection;
use fescuelock_platform::messages::{self, AnswerHead, Order};
use fescuelock_policy::health::Outcome;
use fescuelock_policy::placement::hash_name;
use http::{HeaderMap, Request, StatusCode};
use hyper::body::Incoming;
use slog::info;
use tokio::time::{Instant, sleep};

use crate::beliefs::Beliefs;
use crate::choice::Placed;
use crate::front::Call;
use crate::member::MemberKey;
use crate::metrics::Tally;

/// Rotation that tells the kind of paces up to first events from that of events.
const FIRST_EVENT_ROTATION: u32 = 23;

/// Paces up to first events are counted in percent of what was expected.
const PERCENT: f64 = 100.0;

/// Share of the latency objective that opening a connection may take: the rest is for another
/// upstream.
const CONNECT_TARGET_SHARE: f64 = 0.4;

/// Shortest limit on opening a connection, in milliseconds: several round trips within a region.
const CONNECT_MIN_MS: u64 = 40;

/// `Ticket` counts a request at an upstream for as long as it lives.
pub struct Ticket {
    beliefs: Arc<Beliefs>,
    /// The upstream.
    pub key: MemberKey,
    engine_ms: f64,
}

/// `Answered` is an upstream's answer that has begun.
pub struct Answered {
    /// The attempt.
    pub attempt: Attempt<SentState>,
    /// What the headers say.
    pub head: AnswerHead,
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, still to be read.
    pub body: Incoming,
    /// The connection, to be given back after the whole body was read and dropped otherwise.
    pub connection: Connection,
    /// The count of the request at the upstream.
    pub ticket: Ticket,
    /// Where the request was placed.
    pub placed: Placed,
    /// Time from the send to the head of the answer, in milliseconds.
    pub elapsed_ms: f64,
}

/// `Dispatch` is the result of one attempt.
pub enum Dispatch {
    /// The upstream has begun to answer.
    Answered(Box<Answered>),
    /// Nothing was written to the upstream.
    NotSent(Progress),
    /// The request may have reached the upstream, and no answer came.
    Lost(Attempt<SentState>, UnknownCause),
}

/// `Errand` is what one attempt is to do.
#[derive(Debug, Clone, Copy)]
pub struct Errand<'a> {
    /// The model, if the router chooses it.
    pub model: Option<&'a str>,
    /// Rank at the engine.
    pub rank: Option<u32>,
    /// Last event of a stream that is to be continued.
    pub last_event: Option<u64>,
    /// Time to wait for the head of the answer from an upstream that says nothing, in milliseconds.
    pub patience_ms: u64,
    /// Time to wait for it from an upstream that goes on with other requests, in milliseconds.
    pub patience_max_ms: u64,
    /// Whether an idle connection may be used.
    pub may_reuse: bool,
}

impl Ticket {
    /// Counts a request at an upstream.
    pub fn start(beliefs: &Arc<Beliefs>, placed: &Placed) -> Self {
        let now_ms = beliefs.now_ms();
        if let Some(member) = beliefs.fleet().member_mut(placed.key) {
            member.add_request(placed.engine_ms, now_ms);
        }
        Ticket { beliefs: Arc::clone(beliefs), key: placed.key, engine_ms: placed.engine_ms }
    }

    /// Notes that the request no longer waits at the upstream.
    pub fn note_started(&mut self) {
        let engine_ms = std::mem::take(&mut self.engine_ms);
        let now_ms = self.beliefs.now_ms();
        if let Some(member) = self.beliefs.fleet().member_mut(self.key) {
            member.note_started(engine_ms, now_ms);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.note_started();
        if let Some(member) = self.beliefs.fleet().member_mut(self.key) {
            member.end_request();
        }
    }
}

/// Sends a request to the upstream where it was placed, and waits for the head of the answer.
pub async fn send(
    beliefs: &Arc<Beliefs>,
    call: &Call,
    progress: Progress,
    placed: Placed,
    errand: &Errand<'_>,
) -> Dispatch {
    let mut ticket = Ticket::start(beliefs, &placed);
    let connections = match beliefs.fleet().member(placed.key) {
        Some(member) => Arc::clone(&member.connections),
        None => return Dispatch::NotSent(progress),
    };
    let share_ms = (call.route().target_ms as f64 * CONNECT_TARGET_SHARE) as u64;
    let limit_ms = share_ms.max(CONNECT_MIN_MS);
    let connected = match errand.may_reuse {
        true => connections.checkout_within(limit_ms).await,
        false => connections.open_within(limit_ms).await,
    };
    let mut connection = match connected {
        Ok(connection) => connection,

        Err(error) => {
            beliefs.counters.count(Counter::UpstreamFailures);
            note_outcome(beliefs, call, &placed, Outcome::Silent, &error.to_string());
            return Dispatch::NotSent(progress);
        }
    };
    let pool = &call.pool().name;
    let request = match build(call, &placed, errand) {
        // The upstream may have left while the connection was opened.
        Ok(request) if beliefs.fleet().confirm(placed.key, pool, beliefs.now_ms()) => request,

        _ => {
            connections.checkin(connection);
            return Dispatch::NotSent(progress);
        }
    };
    let permit =
        Permit { generation: Generation(call.deployment.version), upstream: placed.id.clone() };
    let is_first = progress.is_unsent();
    let attempt = progress.send(&permit);
    note_send(beliefs, call, &placed, errand);
    let sent = Instant::now();
    let answered = tokio::select! {
        biased;
        answered = connection.send(request, errand.patience_max_ms) => answered,
        limit_ms = silence(beliefs, placed.key, errand) => Err(HttpError::AnswerTimeout { limit_ms }),
    };
    let elapsed_ms = sent.elapsed().as_secs_f64() * 1_000.0;
    match answered {
        Ok(response) => {
            ticket.note_started();
            let (parts, body) = response.into_parts();
            let head = messages::read_answer(parts.status, &parts.headers);
            let answered = Answered {
                attempt,
                head,
                status: parts.status,
                headers: parts.headers,
                body,
                connection,
                ticket,
                placed,
                elapsed_ms,
            };
            if let Some(cause) = note_head(beliefs, call, &answered, errand) {
                return Dispatch::Lost(answered.attempt, cause);
            }
            Dispatch::Answered(Box::new(answered))
        }

        // An idle connection had been closed by the upstream: that says nothing of its health.
        Err(HttpError::NotSent) if is_first => {
            connections.clear();
            Dispatch::NotSent(attempt.returned(ReturnedRequest))
        }

        Err(error) => {
            beliefs.counters.count(Counter::UpstreamFailures);
            note_outcome(beliefs, call, &placed, Outcome::Silent, &error.to_string());
            Dispatch::Lost(attempt, cause_of(&error))
        }
    }
}

/// Waits until an upstream has said nothing to any request for too long. Returns that time, in
/// milliseconds.
async fn silence(beliefs: &Beliefs, key: MemberKey, errand: &Errand<'_>) -> u64 {
    let mut since_ms = beliefs.now_ms();
    loop {
        sleep(Duration::from_millis(errand.patience_ms)).await;
        let progress_ms = beliefs.fleet().member(key).map(|member| member.progress_ms);
        match progress_ms {
            // The upstream is busy with others: the request waits for its turn.
            Some(progress_ms) if progress_ms > since_ms => since_ms = progress_ms,
            _ => return errand.patience_ms,
        }
    }
}

/// Notes an outcome of a request at an upstream.
pub fn note_outcome(
    beliefs: &Beliefs,
    call: &Call,
    placed: &Placed,
    outcome: Outcome,
    reason: &str,
) {
    let warmup_ms = call.pool().warmup_ms;
    let now_ms = beliefs.now_ms();
    if beliefs.fleet().note_outcome(placed.key, outcome, warmup_ms, now_ms) {
        beliefs.metrics.count(Tally::Ejections, &[("service", &call.pool().name)]);
        info!(beliefs.logger, "upstream left out"; "upstream" => &placed.id,
            "request" => &call.id, "reason" => reason);
    }
}

fn build(call: &Call, placed: &Placed, errand: &Errand<'_>) -> http::Result<Request<Body>> {
    let order = Order {
        upstream_id: &placed.id,
        team: call.team_name(),
        left_ms: call.left_ms(),
        model: errand.model.filter(|_| call.chooses_model()),
        rank: errand.rank,
        last_event: errand.last_event,
    };
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.path_and_query.as_str())
        .body(Body::whole(call.body.clone()))?;
    *request.headers_mut() = messages::upstream_headers(&call.headers, &order);
    Ok(request)
}

/// Notes that a request goes out to an upstream.
fn note_send(beliefs: &Beliefs, call: &Call, placed: &Placed, errand: &Errand<'_>) {
    let now_ms = beliefs.now_ms();
    let mut fleet = beliefs.fleet();
    if let (Some(model), Some(member)) = (errand.model, fleet.member_mut(placed.key)) {
        member.note_read(model, &call.head.prompt, now_ms);
    }
    fleet.rollouts.note_send(&call.pool().name, &placed.version, call.route_hash());
}

/// Notes the head of an answer. Returns why the answer cannot be used, if it cannot.
fn note_head(
    beliefs: &Beliefs,
    call: &Call,
    answered: &Answered,
    errand: &Errand<'_>,
) -> Option<UnknownCause> {
    let placed = &answered.placed;
    let is_crossed = match (&answered.head.request_id, &call.head.request_id) {
        (Some(echoed), Some(id)) => echoed != id,
        _ => false,
    };
    if is_crossed {
        beliefs.counters.count(Counter::AnswersCrossed);
        note_outcome(beliefs, call, placed, Outcome::Failed, "an answer to another request");
        return Some(UnknownCause::AnswerInvalid);
    }
    let now_ms = beliefs.now_ms();
    let has_failed = answered.status.is_server_error() && !answered.head.is_not_run;
    let mut fleet = beliefs.fleet();
    if let Some(member) = fleet.member_mut(placed.key) {
        member.progress_ms = now_ms;
        if let Some(cold_left_ms) = answered.head.cold_left_ms {
            member.cold_until_ms = member.cold_until_ms.max(now_ms + cold_left_ms);
        }
    }
    if let (Some(model), true) = (errand.model, answered.status.is_success()) {
        let elapsed_ms = answered.elapsed_ms;
        if let Some(member) = fleet.member_mut(placed.key) {
            member.note_first_event(elapsed_ms, placed.expected_ms);
        }
        if !placed.is_cold {
            let tokens = placed.uncached_tokens;
            fleet.rates.learn(model, tokens, placed.queue_ms, elapsed_ms);
        }
    }
    drop(fleet);
    let outcome = match has_failed {
        true => Outcome::Failed,
        false => Outcome::Answered,
    };
    note_outcome(beliefs, call, placed, outcome, "failures above its peers");
    if !answered.head.is_not_run {
        let (pool, version) = (&call.pool().name, &placed.version);
        let mut fleet = beliefs.fleet();
        fleet.rollouts.note_answer(pool, version, call.route_hash(), has_failed);
        // Events of engines are paced by the stream; this is the pace up to the first one.
        let (kind, pace_ms) = match errand.model {
            Some(model) => {
                let kind = call.route_hash() ^ hash_name(model).rotate_left(FIRST_EVENT_ROTATION);
                (kind, PERCENT * answered.elapsed_ms / placed.usual_ms.max(1.0))
            }
            None => (call.route_hash(), answered.elapsed_ms),
        };
        if !has_failed {
            fleet.rollouts.note_pace(pool, version, call.route_hash(), kind, pace_ms);
        }
    }
    None
}

/// Returns why the outcome is unknown after a connection's error.
fn cause_of(error: &HttpError) -> UnknownCause {
    match error {
        HttpError::AnswerTimeout { .. } => UnknownCause::AnswerTimeout,
        HttpError::BodyCut(_) => UnknownCause::AnswerCut,
        _ => UnknownCause::ConnectionLost,
    }
}

/// Returns the time until an instant, in milliseconds.
pub fn ms_until(instant: Instant) -> u64 {
    let left: Duration = instant.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}
