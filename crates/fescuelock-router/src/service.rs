//! Calls of plain HTTP services (not model engines), some of which may not be repeated.
//!
//! A call that may not be repeated and has an idempotency key is sent only once its claim of that
//! key is recorded, so that no duplicate is executed a second time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_callers::{headers, intake, responses};
use fescuelock_core::claim_key::{ClaimKey, fingerprint};
use fescuelock_core::counters::Counter;
use fescuelock_core::ids::RequestId;
use fescuelock_core::outcome::{
    Outcome, PendingRequest, RequestProgress, Retryable, Unknown, UnknownCause, Unsent,
};
use fescuelock_core::refusal::Refusal;
use fescuelock_core::units::Usage;
use fescuelock_http::body::Body;
use fescuelock_store::bills::Bill;
use fescuelock_store::claim_record::StoredResult;
use fescuelock_store::claims::{Claim, ClaimOutcome};
use fescuelock_upstreams::dispatch::{AnsweredAttempt, Assignment, ConnectionReuse};
use http::{Method, Request, Response, StatusCode, header};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

use crate::attempts::Attempts;
use crate::handler::{
    AdmittedRequest, Failure, InFlightGuard, RequestHandler, identify, refuse, unknown_outcome,
};

/// Maximum size of a response body that is stored for duplicates, in bytes.
const RESULT_MAX_BYTES: usize = 2_048;

/// `ServiceCall` is a call that has been read and validated.
struct ServiceCall {
    id: RequestId,
    assignment: Assignment,
    method: Method,
    path: String,
    content_type: Option<header::HeaderValue>,
    body: Bytes,
    repeatable: Option<Retryable>,
    claim_key: Option<ClaimKey>,
    // Keeps the call counted as in flight until its response is ready.
    _in_flight_guard: InFlightGuard,
}

/// `ServiceResponse` is the complete response of an upstream.
struct ServiceResponse {
    status: StatusCode,
    content_type: Option<header::HeaderValue>,
    body: Bytes,
}

/// Handles a call of a plain service.
pub async fn handle_call(
    handler: Arc<RequestHandler>,
    admitted: AdmittedRequest,
    attempt: RequestProgress<Unsent>,
) -> Response<Body> {
    let initial_id = admitted.id;
    let call = match read_call(&handler, admitted).await {
        Ok(call) => call,
        Err(refusal) => return handler.fail(initial_id, refuse(attempt, refusal)),
    };
    let id = call.id;
    let answered = match (call.repeatable, call.claim_key) {
        (None, Some(key)) => send_in_task(&handler, call, key, attempt).await,
        _ => send_unclaimed(&handler, &call, attempt).await,
    };
    let mut response = match answered {
        Ok(response) => response,
        Err(failure) => handler.fail(id, failure),
    };
    responses::set_header(&mut response, headers::REQUEST_ID, &id.to_string());
    response
}

/// Reads a call and finds the rule that applies to it.
async fn read_call(
    handler: &RequestHandler,
    admitted: AdmittedRequest,
) -> Result<ServiceCall, Refusal> {
    let AdmittedRequest { id, snapshot, team: team_key, request, in_flight_guard } = admitted;
    let team = snapshot.teams.at(team_key);
    let full_path = request.uri().path_and_query().map_or("", |full| full.as_str());
    let unknown_path = || Refusal::UnknownPath(request.uri().path().to_owned());
    let below = full_path.strip_prefix("/services/").ok_or_else(unknown_path)?;
    let (name, rest) = below.split_once('/').ok_or_else(unknown_path)?;
    let service_path = format!("/{rest}");
    let key = snapshot.services.find(name).ok_or_else(unknown_path)?;
    if !team.services.contains(&key) {
        return Err(Refusal::Forbidden(format!("service:{name}")));
    }
    let rule = snapshot
        .services
        .at(key)
        .call(request.method().as_str(), &service_path)
        .ok_or_else(unknown_path)?;
    let repeatable = rule.is_retryable.then_some(Retryable);
    let assignment = Assignment {
        team: team.name.clone(),
        serving: format!("service:{name}"),
        // A call that may not be repeated gets a new connection: on a pooled one that the upstream
        // has already closed, its outcome would be unknown.
        connection_reuse: if rule.is_retryable {
            ConnectionReuse::Allowed
        } else {
            ConnectionReuse::Forbidden
        },
        answer_timeout_ms: handler.options.answer_timeout_ms,
    };

    let (head, body) = request.into_parts();
    let idempotency_key = intake::parse_idempotency_key(&head.headers)?;
    let body = handler.read_body(body, &snapshot, team_key).await?;
    let claim_key = idempotency_key.map(|key| ClaimKey::of(&team.name, &key));
    Ok(ServiceCall {
        id: claim_key.map_or(id, |key| key.request_id()),
        assignment,
        method: head.method,
        path: service_path,
        content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
        body,
        repeatable,
        claim_key,
        _in_flight_guard: in_flight_guard,
    })
}

/// Sends a call that needs no claim: it may be repeated or has no idempotency key.
async fn send_unclaimed(
    handler: &RequestHandler,
    call: &ServiceCall,
    attempt: RequestProgress<Unsent>,
) -> Result<Response<Body>, Failure> {
    let service_response = send(handler, call, attempt).await?;
    if let Some(bill) = bill(handler, call, &service_response) {
        handler.bills.record_replicated(bill).await;
    }
    Ok(forward_response(handler, service_response))
}

/// Sends a call with a claim in a separate task, so that it completes even if the caller
/// disconnects.
async fn send_in_task(
    handler: &Arc<RequestHandler>,
    call: ServiceCall,
    key: ClaimKey,
    attempt: RequestProgress<Unsent>,
) -> Result<Response<Body>, Failure> {
    let (sender, answered) = oneshot::channel();
    let task_handler = Arc::clone(handler);
    handler.tasks.spawn(async move {
        let call_result = claim_and_send(&task_handler, &call, key, attempt).await;
        // If the caller disconnected, a retry with the same key gets the stored result.
        let _ = sender.send(call_result);
    });
    let task_lost = || Err(unknown_outcome(Unknown::already_attempted()));
    answered.await.unwrap_or_else(|_| task_lost())
}

/// Sends a call that may not be repeated, once its claim of the idempotency key is recorded.
async fn claim_and_send(
    handler: &RequestHandler,
    call: &ServiceCall,
    key: ClaimKey,
    attempt: RequestProgress<Unsent>,
) -> Result<Response<Body>, Failure> {
    let request_fingerprint = fingerprint(call.method.as_str(), &call.path, &call.body);
    match handler.claims.claim(key, handler.nonce(), request_fingerprint).await {
        ClaimOutcome::Granted(claim) => send_claimed(handler, call, claim, attempt).await,

        ClaimOutcome::Finished(result) => Ok(replay(handler, call.id, result)),

        ClaimOutcome::InProgress => match wait_for_result(handler, key).await {
            Some(result) => Ok(replay(handler, call.id, result)),
            None => Err(unknown_outcome(Unknown::already_attempted())),
        },

        ClaimOutcome::FingerprintMismatch => Err(refuse(attempt, Refusal::KeyReused)),

        ClaimOutcome::Unavailable => Err(refuse(attempt, Refusal::ClaimUnavailable)),
    }
}

/// Sends the call that holds the claim and stores its result.
async fn send_claimed(
    handler: &RequestHandler,
    call: &ServiceCall,
    claim: Claim,
    attempt: RequestProgress<Unsent>,
) -> Result<Response<Body>, Failure> {
    if !claim.is_valid() {
        return Err(refuse(attempt, Refusal::ClaimUnavailable));
    }
    match send(handler, call, attempt).await {
        Ok(service_response) => {
            // The claim record contains the bill, so that one write stores both.
            let result = stored_result(&service_response, bill(handler, call, &service_response));
            handler.claims.finish(claim, result).await;
            Ok(forward_response(handler, service_response))
        }

        // A call that was not executed may be retried with the same key.
        Err(failure) if matches!(*failure, Outcome::NotRun(_)) => {
            handler.claims.release(claim).await;
            Err(failure)
        }

        // The claim is kept, so that no duplicate executes the call a second time.
        Err(failure) => Err(failure),
    }
}

/// Polls for the result of the request that holds the claim.
async fn wait_for_result(handler: &RequestHandler, key: ClaimKey) -> Option<StoredResult> {
    let deadline = Instant::now() + Duration::from_millis(handler.options.claim_wait_ms);
    while Instant::now() < deadline {
        sleep(Duration::from_millis(handler.options.claim_poll_interval_ms)).await;
        if let Some(result) = handler.claims.find_result(key).await {
            return Some(result);
        }
    }
    None
}

/// Sends a call and reads the complete response.
async fn send(
    handler: &RequestHandler,
    call: &ServiceCall,
    attempt: RequestProgress<Unsent>,
) -> Result<ServiceResponse, Failure> {
    let mut attempts = Attempts::default();
    let mut progress = PendingRequest::Unsent(attempt);
    loop {
        let build = || build_request(call);
        let answered = handler
            .dispatch(progress, &call.assignment, &mut attempts, build, call.repeatable)
            .await?;
        let AnsweredAttempt { attempt, response, connection, in_flight } = *answered;
        let (head, body) = response.into_parts();
        let identity = identify(&call.id.to_string(), &head.headers, &connection);
        let cause = match handler.read_answer(body).await {
            Ok(_) if !identity.is_accepted() => {
                handler.counters.count(Counter::AnswersCrossed);
                UnknownCause::AnswerInvalid
            }

            Ok(body) => {
                if identity.may_keep_connection(head.status.is_server_error()) {
                    in_flight.upstream_handle().pool.checkin(connection);
                }
                let content_type = head.headers.get(header::CONTENT_TYPE).cloned();
                return Ok(ServiceResponse { status: head.status, content_type, body });
            }

            Err(cause) => cause,
        };
        handler.dispatcher.record_failure(in_flight.upstream_handle());
        match call.repeatable {
            Some(repeatable) if attempts.is_left(handler.options.attempts_max) => {
                progress = attempt.retry(repeatable, cause);
            }

            _ => return Err(unknown_outcome(attempt.unknown(cause))),
        }
    }
}

fn build_request(call: &ServiceCall) -> http::Result<Request<Body>> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(headers::REQUEST_ID, call.id.to_string());
    if let Some(content_type) = &call.content_type {
        request = request.header(header::CONTENT_TYPE, content_type);
    }
    request.body(Body::buffered(call.body.clone()))
}

/// Returns the bill of a call. A call that did not succeed is not billed.
fn bill(
    handler: &RequestHandler,
    call: &ServiceCall,
    service_response: &ServiceResponse,
) -> Option<Bill> {
    service_response.status.is_success().then(|| Bill {
        request: call.id,
        team: call.assignment.team.clone(),
        serving: call.assignment.serving.clone(),
        usage: Usage::default(),
        cost_micros: 0,
        at_ms: handler.clock.now_ms(),
    })
}

/// Builds the response to the caller from the response of the service.
fn forward_response(handler: &RequestHandler, service_response: ServiceResponse) -> Response<Body> {
    handler.counters.count(Counter::RequestsRan);
    let mut response = Response::new(Body::buffered(service_response.body));
    *response.status_mut() = service_response.status;
    if let Some(content_type) = service_response.content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    responses::set_header(&mut response, headers::OUTCOME, "ran");
    responses::set_header(&mut response, headers::COST_MICROS, "0");
    response
}

/// Builds the response to a duplicate from the stored result of the first request.
fn replay(handler: &RequestHandler, id: RequestId, result: StoredResult) -> Response<Body> {
    handler.counters.count(Counter::ClaimsReplayed);
    let Some(body) = result.body else {
        return responses::result_not_kept_response(id, result.status);
    };
    let mut response = Response::new(Body::buffered(body));
    *response.status_mut() = StatusCode::from_u16(result.status).unwrap_or(StatusCode::OK);
    if let Some(content_type) = result.content_type {
        responses::set_header(&mut response, "content-type", &content_type);
    }
    responses::set_header(&mut response, headers::OUTCOME, "ran");
    responses::set_header(&mut response, headers::REPLAYED, "true");
    response
}

/// Converts a response to the result that is stored for duplicates.
fn stored_result(service_response: &ServiceResponse, bill: Option<Bill>) -> StoredResult {
    let text = String::from_utf8(service_response.body.to_vec()).ok();
    StoredResult {
        status: service_response.status.as_u16(),
        content_type: service_response
            .content_type
            .as_ref()
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: text.filter(|text| text.len() <= RESULT_MAX_BYTES),
        bill,
    }
}
