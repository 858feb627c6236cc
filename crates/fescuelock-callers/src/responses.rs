//! HTTP responses to callers: error bodies, the list of models and the final events of a stream.

use fescuelock_core::ids::{RequestId, TeamKey};
use fescuelock_core::outcome::{NotRun, Outcome, Unknown};
use fescuelock_core::rules::ConfigSnapshot;
use fescuelock_core::units::Usage;
use fescuelock_http::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde_json::json;

use crate::headers;

/// `ErrorBody` is the JSON body of every error response.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: ErrorFields,
}

/// `ErrorFields` describes an error: a code for programs and a message for people.
#[derive(Debug, Serialize)]
struct ErrorFields {
    code: &'static str,
    message: String,
    outcome: &'static str,
    not_run: bool,
    request_id: String,
}

/// Builds the response to a request that failed.
pub fn failure_response(id: RequestId, outcome: &Outcome) -> Response<Body> {
    match outcome {
        Outcome::NotRun(proof) => not_run_response(id, proof),
        Outcome::Unknown(unknown) => unknown_outcome_response(id, unknown),
    }
}

/// Builds the response to a refused request. `proof` guarantees that nothing was sent upstream.
pub fn not_run_response(id: RequestId, proof: &NotRun) -> Response<Body> {
    let refusal = proof.refusal();
    let fields = ErrorFields {
        code: refusal.code(),
        message: refusal.to_string(),
        outcome: "not_run",
        not_run: true,
        request_id: id.to_string(),
    };
    let mut response = error_response(refusal.status(), fields);
    if let Some(retry_after_ms) = refusal.retry_after_ms() {
        let seconds = retry_after_ms.div_ceil(1_000);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds the response to a request that an upstream may have executed.
pub fn unknown_outcome_response(id: RequestId, unknown: &Unknown) -> Response<Body> {
    error_response(unknown.cause().status(), unknown_fields(id, unknown))
}

/// Builds the response to a duplicate of a finished call whose result was too large to be stored.
pub fn result_not_kept_response(id: RequestId, status: u16) -> Response<Body> {
    let fields = ErrorFields {
        code: "result_not_kept",
        message: format!("the call has run and was answered with status {status}"),
        outcome: "ran",
        not_run: false,
        request_id: id.to_string(),
    };
    error_response(StatusCode::CONFLICT.as_u16(), fields)
}

/// Formats the server-sent event that ends a failed stream.
pub fn error_event(id: RequestId, unknown: &Unknown) -> String {
    let body = ErrorBody { error: unknown_fields(id, unknown) };
    format!("data: {}\n\n", serde_json::to_string(&body).unwrap_or_default())
}

/// Formats the server-sent events that end a complete stream: usage, version and cost, then
/// `[DONE]`.
pub fn final_events(id: RequestId, version: &str, usage: Usage, cost_micros: u64) -> String {
    let event = json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion.chunk",
        "model": version,
        "choices": [],
        "usage": {
            "prompt_tokens": usage.input_tokens,
            "completion_tokens": usage.output_tokens,
            "total_tokens": usage.input_tokens + usage.output_tokens,
        },
        "fescuelock": { "version": version, "cost_micros": cost_micros, "outcome": "ran" },
    });
    format!("data: {event}\n\ndata: [DONE]\n\n")
}

/// Builds the response that lists the models and versions that are available to a team.
pub fn models_response(snapshot: &ConfigSnapshot, team: TeamKey) -> Response<Body> {
    let team = snapshot.teams.at(team);
    let data: Vec<_> = team
        .versions
        .iter()
        .filter(|&&key| snapshot.is_in_service(key))
        .map(|&key| {
            let name = &snapshot.versions.at(key).name;
            json!({ "id": name, "object": "model", "owned_by": "fescuelock" })
        })
        .collect();
    json_response(StatusCode::OK, json!({ "object": "list", "data": data }).to_string())
}

/// Sets a header. A value that is not a valid header value is left out.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(Body::buffered(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn unknown_fields(id: RequestId, unknown: &Unknown) -> ErrorFields {
    let cause = unknown.cause();
    ErrorFields {
        code: cause.code(),
        message: cause.message().to_owned(),
        outcome: "unknown",
        not_run: false,
        request_id: id.to_string(),
    }
}

fn error_response(status: u16, fields: ErrorFields) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let outcome = fields.outcome;
    let body = serde_json::to_string(&ErrorBody { error: fields }).unwrap_or_default();
    let mut response = json_response(status, body);
    set_header(&mut response, headers::OUTCOME, outcome);
    response
}
