//! Error responses that the router itself generates.

use fescuelock_core::outcome::Outcome;
use fescuelock_core::refusal::Refusal;
use fescuelock_http::body::Body;
use fescuelock_platform::protocol;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};

/// Retry-After time if no better estimate is known, in milliseconds.
const RETRY_AFTER_DEFAULT_MS: f64 = 200.0;

/// Builds the response to a request for which there is no upstream response to forward.
///
/// `retry_after_ms` is the time after which a caller whose request was not run should retry.
pub fn build(id: Option<&str>, outcome: &Outcome, retry_after_ms: Option<f64>) -> Response<Body> {
    let (status, text) = match outcome {
        Outcome::NotRun(not_run) => (not_run.refusal().status(), not_run.refusal().to_string()),
        Outcome::Unknown(unknown) => {
            (unknown.cause().status(), unknown.cause().message().to_owned())
        }
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Body::buffered(format!("{text}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    set_request_id(headers, id);
    if is_temporary(outcome) {
        protocol::set_retry_after(headers, retry_after_ms.unwrap_or(RETRY_AFTER_DEFAULT_MS));
    }
    response
}

/// Returns whether the request was not run for a temporary reason, so that the response gets a
/// Retry-After header.
///
/// [`Refusal::ClaimUnavailable`] gets none. It is returned if the store could not record the claim
/// that a request which must not run twice needs.
fn is_temporary(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotRun(not_run) => {
            matches!(not_run.refusal().status(), 408 | 429 | 503)
                && !matches!(not_run.refusal(), Refusal::ClaimUnavailable)
        }
        Outcome::Unknown(_) => false,
    }
}

fn set_request_id(headers: &mut HeaderMap, id: Option<&str>) {
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(protocol::REQUEST_ID, id);
    }
}
