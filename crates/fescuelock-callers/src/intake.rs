//! Authentication, request limits, and parsing of the headers that all endpoints share.

use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::ids::{KeyHash, TeamKey};
use fescuelock_core::refusal::Refusal;
use fescuelock_core::rules::ConfigSnapshot;
use fescuelock_core::session::{SessionBinding, SessionKeys};
use fescuelock_http::body::{BodyLimits, read_request};
use fescuelock_http::byte_budget::ByteBudget;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::{Error as HttpError, Result as HttpResult};
use http::{HeaderMap, header};

use crate::{Result, headers};

/// Maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// `RequestLimits` limits the size and duration of the requests that callers send.
#[derive(Debug, Clone)]
pub struct RequestLimits {
    /// Maximum size of a body, in bytes. Defaults to 1 MiB.
    pub body_max_bytes: usize,
    /// Timeout for receiving the whole body, in milliseconds. Defaults to 10,000.
    pub body_timeout_ms: u64,
    /// Timeout for more of a body to arrive, in milliseconds. Defaults to 10,000.
    pub body_idle_timeout_ms: u64,
    /// Maximum number of headers. Defaults to 64.
    pub headers_max: usize,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            body_max_bytes: 1 << 20,
            body_timeout_ms: 10_000,
            body_idle_timeout_ms: 10_000,
            headers_max: 64,
        }
    }
}

/// `SessionRequest` is the value of the session header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionRequest {
    /// The request belongs to no session.
    None,
    /// The caller asks for a new session.
    New,
    /// The request belongs to an existing session.
    Bound(SessionBinding),
}

/// Finds the team of a caller by its API key, sent as a bearer token.
///
/// # Errors
///
/// Returns [`Refusal::UnknownKey`] if the key is missing or belongs to no team.
pub fn authenticate(snapshot: &ConfigSnapshot, headers: &HeaderMap) -> Result<TeamKey> {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let secret = value.and_then(|value| value.strip_prefix("Bearer "));
    let team = secret.and_then(|secret| snapshot.keys.get(&KeyHash::of(secret.trim())));
    team.copied().ok_or(Refusal::UnknownKey)
}

/// Checks the number of headers against the limit.
///
/// # Errors
///
/// Returns [`Refusal::TooManyHeaders`] above the limit.
pub fn check_headers(headers: &HeaderMap, limits: &RequestLimits) -> Result<()> {
    match headers.len() > limits.headers_max {
        true => Err(Refusal::TooManyHeaders { limit: limits.headers_max }),
        false => Ok(()),
    }
}

/// Reads a body within the limits on size and time, and within the byte budget. `team` is the team
/// whose share of the budget it counts in, if teams have shares.
///
/// # Errors
///
/// Returns [`Refusal::BodyTimeout`], [`Refusal::BodyTooLarge`], [`Refusal::MemoryShort`] or
/// [`Refusal::MalformedBody`].
pub async fn read_body(
    body: RequestBody,
    limits: &RequestLimits,
    budget: &ByteBudget,
    team: Option<u64>,
) -> Result<Bytes> {
    let limit_ms = limits.body_timeout_ms;
    let (max_bytes, idle_timeout_ms) = (limits.body_max_bytes, limits.body_idle_timeout_ms);
    let body_limits = BodyLimits { max_bytes, idle_timeout_ms, team };
    let reading = read_request(body, budget, &body_limits);
    let read: HttpResult<Bytes> =
        match tokio::time::timeout(Duration::from_millis(limit_ms), reading).await {
            Ok(read) => read,
            Err(_) => return Err(Refusal::BodyTimeout { limit_ms }),
        };
    read.map_err(|error| match error {
        HttpError::TooLarge { limit_bytes } => Refusal::BodyTooLarge { limit_bytes },
        HttpError::BudgetShort { retry_after_ms } => Refusal::MemoryShort { retry_after_ms },
        HttpError::BodyStalled { limit_ms } => Refusal::BodyTimeout { limit_ms },
        error => Refusal::MalformedBody(error.to_string()),
    })
}

/// Parses and verifies the session header.
///
/// # Errors
///
/// Returns [`Refusal::MalformedSession`] for a token that is malformed or not signed by this
/// deployment and [`Refusal::ForeignSession`] for the token of another team.
pub fn parse_session(
    headers: &HeaderMap,
    keys: &SessionKeys,
    team: &str,
) -> Result<SessionRequest> {
    let Some(value) = headers.get(headers::SESSION) else {
        return Ok(SessionRequest::None);
    };
    let token = value.to_str().map_err(|_| Refusal::MalformedSession)?;
    if token == "new" {
        return Ok(SessionRequest::New);
    }
    match keys.verify(team, token) {
        Ok(binding) => Ok(SessionRequest::Bound(binding)),
        Err(fescuelock_core::Error::ForeignSession) => Err(Refusal::ForeignSession),
        Err(_) => Err(Refusal::MalformedSession),
    }
}

/// Parses the idempotency key.
///
/// # Errors
///
/// Returns [`Refusal::MalformedHeader`] for a key that is empty, too long or not visible ASCII.
pub fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(value) = headers.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let malformed = Refusal::MalformedHeader {
        name: headers::IDEMPOTENCY_KEY,
        expected: "1 to 255 visible ASCII characters",
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= IDEMPOTENCY_KEY_MAX_BYTES => {
            Ok(Some(key.to_owned()))
        }

        _ => Err(malformed),
    }
}

/// Parses the minimum quality of one request.
///
/// # Errors
///
/// Returns [`Refusal::MalformedHeader`] for anything but a number from 0 to 1.
pub fn parse_quality(headers: &HeaderMap) -> Result<Option<f64>> {
    let Some(value) = headers.get(headers::QUALITY) else {
        return Ok(None);
    };
    let quality = value.to_str().ok().and_then(|text| text.parse::<f64>().ok());
    match quality {
        Some(quality) if (0.0..=1.0).contains(&quality) => Ok(Some(quality)),

        _ => Err(Refusal::MalformedHeader {
            name: headers::QUALITY,
            expected: "a number from 0 to 1",
        }),
    }
}
