//! Chat completions: choice of the model version, complete responses and the start of streams.

use std::sync::Arc;

use bytes::Bytes;
use fescuelock_callers::intake::{self, SessionRequest};
use fescuelock_callers::request::{self, ChatRequest};
use fescuelock_callers::{headers, responses};
use fescuelock_core::claim_key::ClaimKey;
use fescuelock_core::counters::Counter;
use fescuelock_core::ids::{RequestId, UpstreamKey, VersionKey};
use fescuelock_core::outcome::{PendingRequest, RequestProgress, Retryable, UnknownCause, Unsent};
use fescuelock_core::placement::{self, Target, VersionRequirements};
use fescuelock_core::refusal::Refusal;
use fescuelock_core::rules::{ConfigSnapshot, ResponseIdSource};
use fescuelock_core::session::SessionBinding;
use fescuelock_core::units::Usage;
use fescuelock_http::body::Body;
use fescuelock_store::bills::Bill;
use fescuelock_upstreams::chat::{EngineRequest, validate_completion};
use fescuelock_upstreams::dispatch::{AnsweredAttempt, Assignment, ConnectionReuse};
use http::{Response, StatusCode, header};

use crate::attempts::Attempts;
use crate::handler::{AdmittedRequest, Failure, InFlightGuard, RequestHandler, identify, refuse};
use crate::relay::Relay;

/// `PlacedRequest` is a chat request that has been placed on a model version.
pub struct PlacedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// The team and the version that serves the request.
    pub assignment: Assignment,
    /// The request as engines receive it.
    pub request: EngineRequest,
    /// Token of the session that the request started, if it started one.
    pub session_token: Option<String>,
    /// Estimated usage. Its prompt tokens are billed if the engine reports no usage.
    pub estimated_usage: Usage,
}

/// Handles a chat request.
pub async fn handle_completion(
    handler: Arc<RequestHandler>,
    admitted: AdmittedRequest,
    attempt: RequestProgress<Unsent>,
) -> Response<Body> {
    let initial_id = admitted.id;
    let (placed, in_flight_guard) = match place_request(&handler, admitted).await {
        Ok(value) => value,
        Err(refusal) => return handler.fail(initial_id, refuse(attempt, refusal)),
    };
    let id = placed.id;
    let session_token = placed.session_token.clone();
    let version = placed.assignment.serving.clone();
    let answered = match placed.request.stream {
        true => start_stream(&handler, placed, in_flight_guard, attempt).await,
        false => fetch_response(&handler, &placed, attempt).await,
    };
    let mut response = match answered {
        Ok(response) => response,
        Err(failure) => return handler.fail(id, failure),
    };
    responses::set_header(&mut response, headers::REQUEST_ID, &id.to_string());
    responses::set_header(&mut response, headers::VERSION, &version);
    if let Some(token) = session_token {
        responses::set_header(&mut response, headers::SESSION, &token);
    }
    response
}

/// Reads and validates a request and places it on a model version.
async fn place_request(
    handler: &RequestHandler,
    admitted: AdmittedRequest,
) -> Result<(PlacedRequest, InFlightGuard), Refusal> {
    let AdmittedRequest { id, snapshot, team: team_key, request, in_flight_guard } = admitted;
    let team = snapshot.teams.at(team_key);
    let (head, body) = request.into_parts();
    let session_request = intake::parse_session(&head.headers, &handler.sessions, &team.name)?;
    let quality_min = intake::parse_quality(&head.headers)?.unwrap_or(team.quality_min);
    let key = intake::parse_idempotency_key(&head.headers)?;
    let body = handler.read_body(body, &snapshot, team_key).await?;
    let chat = request::parse_chat(&body)?;

    // The id is derived from the idempotency key, so that all duplicates share one bill.
    let id = key.map_or(id, |key| ClaimKey::of(&team.name, &key).request_id());
    let estimated_usage = request::estimate_usage(&chat, body.len());
    let target = request::resolve_target(&snapshot, &chat.model)?;
    let demand =
        VersionRequirements { team: team_key, target, quality_min, expected: estimated_usage };
    let version = select_version(handler, &snapshot, &demand, &session_request)?;
    let version_name = snapshot.versions.at(version).name.clone();

    let session_token = (session_request == SessionRequest::New).then(|| {
        let session = handler.with_rng(RequestId::random);
        let (team, version) = (team.name.clone(), version_name.clone());
        handler.sessions.issue(&SessionBinding { team, version, session })
    });
    let assignment = Assignment {
        team: team.name.clone(),
        serving: version_name.clone(),
        connection_reuse: ConnectionReuse::Allowed,
        answer_timeout_ms: handler.options.answer_timeout_ms,
    };
    let request = engine_request(id, version_name, chat);
    Ok((PlacedRequest { id, assignment, request, session_token, estimated_usage }, in_flight_guard))
}

/// Chooses the version of a request. A session stays on the version that it was started with.
fn select_version(
    handler: &RequestHandler,
    snapshot: &ConfigSnapshot,
    demand: &VersionRequirements,
    session_request: &SessionRequest,
) -> Result<VersionKey, Refusal> {
    let SessionRequest::Bound(binding) = session_request else {
        return handler.with_rng(|rng| placement::choose_version(snapshot, demand, rng));
    };
    // A version that was removed from the rules counts as withdrawn.
    let bound = snapshot
        .versions
        .find(&binding.version)
        .ok_or_else(|| Refusal::VersionWithdrawn(binding.version.clone()))?;
    let fits = match demand.target {
        Target::Any => true,
        Target::Model(model) => snapshot.versions.at(bound).model == model,
        Target::Version(version) => version == bound,
    };
    if !fits {
        return Err(Refusal::MalformedHeader {
            name: headers::SESSION,
            expected: "a session of the requested model",
        });
    }
    placement::check_version(snapshot, demand.team, bound)?;
    Ok(bound)
}

fn engine_request(id: RequestId, version: String, chat: ChatRequest) -> EngineRequest {
    EngineRequest {
        id,
        version,
        messages: chat.messages,
        stream: chat.stream,
        max_tokens: chat.max_tokens,
        rest: chat.rest,
    }
}

/// Gets a complete response. Retries if the response was lost, was truncated or belongs to another
/// request.
async fn fetch_response(
    handler: &Arc<RequestHandler>,
    placed: &PlacedRequest,
    attempt: RequestProgress<Unsent>,
) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::default();
    let mut progress = PendingRequest::Unsent(attempt);
    loop {
        let build = || placed.request.to_http(None);
        let answered = handler
            .dispatch(progress, &placed.assignment, &mut attempts, build, Some(Retryable))
            .await?;
        let AnsweredAttempt { attempt, response, connection, in_flight } = *answered;
        let ids = stream_ids(handler, &in_flight.upstream_handle().name);
        let status = response.status();
        let content_type = response.headers().get(header::CONTENT_TYPE).cloned();
        let identity = identify(&placed.id.to_string(), response.headers(), &connection);
        let body = handler.read_answer(response.into_body()).await;
        let checked = match body {
            // Engines don't put the id into the body of an error.
            Ok(_) if !status.is_success() && !identity.is_accepted() => {
                handler.counters.count(Counter::AnswersCrossed);
                Err(UnknownCause::AnswerInvalid)
            }

            Ok(body) if !status.is_success() => Ok((body, None)),

            Ok(body) => match validate_completion(&body, placed.id, ids) {
                Ok(usage) => Ok((body, Some(usage))),
                Err(error) => Err(record_invalid_response(handler, &error)),
            },

            Err(cause) => Err(cause),
        };
        match checked {
            Ok((body, usage)) => {
                // Without an id in this response, the next one may have none either.
                if usage.is_some() && ids == ResponseIdSource::Echoed {
                    in_flight.upstream_handle().pool.checkin(connection);
                }
                let mut response = billed_response(handler, placed, status, body, usage).await;
                if let Some(content_type) = content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                return Ok(response);
            }

            Err(cause) if attempts.is_left(handler.options.attempts_max) => {
                handler.dispatcher.record_failure(in_flight.upstream_handle());
                progress = attempt.retry(Retryable, cause);
            }

            Err(cause) => return Err(crate::handler::unknown_outcome(attempt.unknown(cause))),
        }
    }
}

/// Bills a complete response and builds the response to the caller.
async fn billed_response(
    handler: &RequestHandler,
    placed: &PlacedRequest,
    status: StatusCode,
    body: Bytes,
    usage: Option<Usage>,
) -> Response<Body> {
    handler.counters.count(Counter::RequestsRan);
    let mut response = Response::new(Body::buffered(body));
    *response.status_mut() = status;
    responses::set_header(&mut response, headers::OUTCOME, "ran");
    // An error that the engine returned, such as for a prompt that is too long, costs nothing.
    let cost_micros = match usage {
        Some(usage) => record_bill(handler, placed, usage).await,
        None => 0,
    };
    responses::set_header(&mut response, headers::COST_MICROS, &cost_micros.to_string());
    response
}

/// Starts a stream. The response headers are sent once an engine has begun to respond.
async fn start_stream(
    handler: &Arc<RequestHandler>,
    placed: PlacedRequest,
    in_flight_guard: InFlightGuard,
    attempt: RequestProgress<Unsent>,
) -> Result<Response<Body>, Failure> {
    let mut attempts = Attempts::default();
    let build = || placed.request.to_http(None);
    let mut progress = PendingRequest::Unsent(attempt);
    let answered = loop {
        let answered = handler
            .dispatch(progress, &placed.assignment, &mut attempts, build, Some(Retryable))
            .await?;
        // The events of a stream carry its id, an error doesn't.
        if answered.response.status().is_success() {
            break answered;
        }
        let AnsweredAttempt { attempt, response, connection, in_flight } = *answered;
        let (head, body) = response.into_parts();
        let is_accepted =
            identify(&placed.id.to_string(), &head.headers, &connection).is_accepted();
        let cause = match handler.read_answer(body).await {
            Ok(body) if is_accepted => return Ok(forward_error(handler, head.status, &body)),

            Ok(_) => {
                handler.counters.count(Counter::AnswersCrossed);
                UnknownCause::AnswerInvalid
            }

            Err(cause) => cause,
        };
        handler.dispatcher.record_failure(in_flight.upstream_handle());
        progress = attempt.retry(Retryable, cause);
    };
    let (sender, body) = Body::streamed();
    let relay = Relay::new(Arc::clone(handler), placed, in_flight_guard, attempts, sender);
    handler.tasks.spawn(relay.run(*answered));
    let mut response = Response::new(body);
    responses::set_header(&mut response, "content-type", "text/event-stream");
    responses::set_header(&mut response, "cache-control", "no-cache");
    Ok(response)
}

/// Forwards an error that an engine returned.
fn forward_error(handler: &RequestHandler, status: StatusCode, body: &[u8]) -> Response<Body> {
    handler.counters.count(Counter::RequestsRan);
    let mut response = responses::json_response(status, String::from_utf8_lossy(body).into_owned());
    responses::set_header(&mut response, headers::OUTCOME, "ran");
    response
}

/// Records the bill of a request and returns its cost in micro-units.
///
/// Another VM holds a copy of the bill before the response ends, so that the bill survives the loss
/// of this VM.
pub async fn record_bill(handler: &RequestHandler, placed: &PlacedRequest, usage: Usage) -> u64 {
    let snapshot = handler.config.current();
    let price = snapshot
        .versions
        .find(&placed.assignment.serving)
        .map_or_else(Default::default, |version| snapshot.versions.at(version).price);
    let cost_micros = price.cost_micros(usage);
    let bill = Bill {
        request: placed.id,
        team: placed.assignment.team.clone(),
        serving: placed.assignment.serving.clone(),
        usage,
        cost_micros,
        at_ms: handler.clock.now_ms(),
    };
    handler.bills.record_replicated(bill).await;
    cost_micros
}

/// Returns how an upstream assigns ids to its responses.
pub fn stream_ids(handler: &RequestHandler, upstream: &str) -> ResponseIdSource {
    let snapshot = handler.config.current();
    let key: Option<UpstreamKey> = snapshot.upstreams.find(upstream);
    key.map_or(ResponseIdSource::Echoed, |key| snapshot.upstreams.at(key).ids)
}

/// Counts a response that belongs to another request. Returns the cause for an invalid response.
pub fn record_invalid_response(
    handler: &RequestHandler,
    error: &fescuelock_upstreams::Error,
) -> UnknownCause {
    if *error == fescuelock_upstreams::Error::IdMismatch {
        handler.counters.count(Counter::AnswersCrossed);
    }
    UnknownCause::AnswerInvalid
}
