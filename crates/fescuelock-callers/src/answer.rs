//! Answers to callers: error bodies, the list of models and the last event of a stream.

use fescuelock_core::ids::{RequestId, TeamKey};
use fescuelock_core::outcome::{NotRun, Outcome, Unknown};
use fescuelock_core::rules::View;
use fescuelock_core::units::Usage;
use fescuelock_http::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use serde_json::json;

use crate::headers;

/// `ErrorBody` is the JSON form of every error.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: ErrorFields,
}

/// `ErrorFields` describes an error to a program and to a person.
#[derive(Debug, Serialize)]
struct ErrorFields {
    code: &'static str,
    message: String,
    outcome: &'static str,
    not_run: bool,
    request_id: String,
}

/// Builds the answer to a request that ended without an upstream's answer.
pub fn failure(id: RequestId, outcome: &Outcome) -> Response<Body> {
    match outcome {
        Outcome::NotRun(proof) => not_run(id, proof),
        Outcome::Unknown(unknown) => unknown_outcome(id, unknown),
    }
}

/// Builds the answer to a request that was refused. The proof shows that nothing was sent.
pub fn not_run(id: RequestId, proof: &NotRun) -> Response<Body> {
    let refusal = proof.refusal();
    let fields = ErrorFields {
        code: refusal.code(),
        message: refusal.to_string(),
        outcome: "not_run",
        not_run: true,
        request_id: id.to_string(),
    };
    error_response(refusal.status(), fields)
}

/// Builds the answer to a request that may have been run.
pub fn unknown_outcome(id: RequestId, unknown: &Unknown) -> Response<Body> {
    error_response(unknown.cause().status(), unknown_fields(id, unknown))
}

/// Builds the answer to a duplicate of a finished call whose result was too large to be kept.
pub fn result_not_kept(id: RequestId, status: u16) -> Response<Body> {
    let fields = ErrorFields {
        code: "result_not_kept",
        message: format!("the call has run and was answered with status {status}"),
        outcome: "ran",
        not_run: false,
        request_id: id.to_string(),
    };
    error_response(StatusCode::CONFLICT.as_u16(), fields)
}

/// Writes the event that ends a stream which has failed.
pub fn error_event(id: RequestId, unknown: &Unknown) -> String {
    let body = ErrorBody { error: unknown_fields(id, unknown) };
    format!("data: {}\n\n", serde_json::to_string(&body).unwrap_or_default())
}

/// Writes the events that end a whole stream: usage, version and cost, then the end marker.
pub fn last_events(id: RequestId, version: &str, usage: Usage, cost_micros: u64) -> String {
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

/// Builds the list of the models and versions that a team may use now.
pub fn models(view: &View, team: TeamKey) -> Response<Body> {
    let team = view.teams.at(team);
    let data: Vec<_> = team
        .versions
        .iter()
        .filter(|&&key| view.is_in_service(key))
        .map(|&key| {
            let name = &view.versions.at(key).name;
            json!({ "id": name, "object": "model", "owned_by": "fescuelock" })
        })
        .collect();
    json_response(StatusCode::OK, json!({ "object": "list", "data": data }).to_string())
}

/// Sets a header whose value is known to be valid text.
pub fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Builds an answer with a JSON body.
pub fn json_response(status: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
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
