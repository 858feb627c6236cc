//! Reads the parts of a request that every interface shares, with limits.

use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::ids::{KeyHash, TeamKey};
use fescuelock_core::refusal::Refusal;
use fescuelock_core::rules::View;
use fescuelock_core::session::{Binding, SessionKeys};
use fescuelock_http::body::read_all;
use fescuelock_http::{Error as HttpError, Result as HttpResult};
use http::{HeaderMap, header};
use hyper::body::Incoming;

use crate::{Result, headers};

/// Longest idempotency key, in bytes.
const IDEMPOTENCY_KEY_MAX_BYTES: usize = 255;

/// `IntakeOptions` bounds what callers may send.
#[derive(Debug, Clone)]
pub struct IntakeOptions {
    /// Largest body, in bytes. Defaults to 1 MiB.
    pub body_max_bytes: usize,
    /// Time for the whole body, in milliseconds. Defaults to 10,000.
    pub body_timeout_ms: u64,
    /// Largest number of headers. Defaults to 64.
    pub headers_max: usize,
}

impl Default for IntakeOptions {
    fn default() -> Self {
        IntakeOptions { body_max_bytes: 1 << 20, body_timeout_ms: 10_000, headers_max: 64 }
    }
}

/// `SessionWish` is what the session header asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionWish {
    /// The request belongs to no session.
    None,
    /// A session is to be started.
    New,
    /// The request belongs to a session.
    Bound(Binding),
}

/// Finds the team of a caller by its bearer key.
///
/// # Errors
///
/// Returns [`Refusal::UnknownKey`] if there is none.
pub fn authenticate(view: &View, headers: &HeaderMap) -> Result<TeamKey> {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let secret = value.and_then(|value| value.strip_prefix("Bearer "));
    let team = secret.and_then(|secret| view.keys.get(&KeyHash::of(secret.trim())));
    team.copied().ok_or(Refusal::UnknownKey)
}

/// Checks the number of headers.
///
/// # Errors
///
/// Returns [`Refusal::TooManyHeaders`] above the limit.
pub fn check_headers(headers: &HeaderMap, options: &IntakeOptions) -> Result<()> {
    match headers.len() > options.headers_max {
        true => Err(Refusal::TooManyHeaders { limit: options.headers_max }),
        false => Ok(()),
    }
}

/// Reads a body within the limits of size and time.
///
/// # Errors
///
/// Returns the refusal that fits the limit that was passed.
pub async fn read_body(body: Incoming, options: &IntakeOptions) -> Result<Bytes> {
    let limit_ms = options.body_timeout_ms;
    let reading = read_all(body, options.body_max_bytes);
    let read: HttpResult<Bytes> =
        match tokio::time::timeout(Duration::from_millis(limit_ms), reading).await {
            Ok(read) => read,
            Err(_) => return Err(Refusal::BodyTimeout { limit_ms }),
        };
    read.map_err(|error| match error {
        HttpError::TooLarge { limit_bytes } => Refusal::BodyTooLarge { limit_bytes },
        error => Refusal::MalformedBody(error.to_string()),
    })
}

/// Reads the session header.
///
/// # Errors
///
/// Returns [`Refusal::MalformedSession`] or [`Refusal::ForeignSession`].
pub fn session(headers: &HeaderMap, keys: &SessionKeys, team: &str) -> Result<SessionWish> {
    let Some(value) = headers.get(headers::SESSION) else {
        return Ok(SessionWish::None);
    };
    let token = value.to_str().map_err(|_| Refusal::MalformedSession)?;
    if token == "new" {
        return Ok(SessionWish::New);
    }
    match keys.verify(team, token) {
        Ok(binding) => Ok(SessionWish::Bound(binding)),
        Err(fescuelock_core::Error::ForeignSession) => Err(Refusal::ForeignSession),
        Err(_) => Err(Refusal::MalformedSession),
    }
}

/// Reads the idempotency key.
///
/// # Errors
///
/// Returns [`Refusal::MalformedHeader`] for an empty, long or unprintable key.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
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

/// Reads the quality need of one request.
///
/// # Errors
///
/// Returns [`Refusal::MalformedHeader`] for anything but a number from 0 to 1.
pub fn quality(headers: &HeaderMap) -> Result<Option<f64>> {
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
