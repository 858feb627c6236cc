//! Refusals: why a request was not sent to any upstream.

use thiserror::Error as ThisError;

/// `Refusal` lists the reasons for which a request is turned away before any byte of it is sent.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Refusal {
    /// The caller's bearer key is missing or belongs to no team.
    #[error("the bearer key is missing or belongs to no team")]
    UnknownKey,
    /// No such path or method is served here.
    #[error("nothing is served at `{0}`")]
    UnknownPath(String),
    /// The model is not named in the rules.
    #[error("no model or version is called `{0}`")]
    UnknownModel(String),
    /// The team may not use the model, version or service.
    #[error("the team's rules do not allow `{0}`")]
    Forbidden(String),
    /// The body is not what the interface asks for.
    #[error("the body is malformed: {0}")]
    MalformedBody(String),
    /// A header has a form that is not accepted.
    #[error("header `{name}` is malformed: expected {expected}")]
    MalformedHeader {
        /// Name of the header.
        name: &'static str,
        /// The accepted form.
        expected: &'static str,
    },
    /// The body exceeds the size limit.
    #[error("the body is larger than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The request has more headers than the limit.
    #[error("the request has more than {limit} headers")]
    TooManyHeaders {
        /// The largest accepted number of headers.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {limit_ms} ms")]
    BodyTimeout {
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// The session token is malformed or not signed by this deployment.
    #[error("the session header is neither `new` nor a token that this deployment issued")]
    MalformedSession,
    /// The session token belongs to another team.
    #[error("the session was issued to another team")]
    ForeignSession,
    /// The version that the session keeps was withdrawn.
    #[error("version `{0}` of this session has been withdrawn; start a new session")]
    VersionWithdrawn(String),
    /// No version in service that the team may use meets the quality need.
    #[error("no version in service meets the quality need of {0}")]
    QualityUnmet(String),
    /// No upstream that may take new work serves the version or service.
    #[error("no upstream in service serves `{0}`")]
    NoUpstream(String),
    /// Every upstream that was tried could not be reached.
    #[error("no upstream of `{0}` could be reached")]
    Unreachable(String),
    /// A call that may not be repeated needs a claim and the platform could not record it.
    #[error("the platform could not record the claim that this call needs")]
    ClaimUnavailable,
    /// The idempotency key was used before with another request.
    #[error("the idempotency key was used before with a different request")]
    KeyReused,
    /// The node has no confirmed configuration yet, or is shutting down.
    #[error("this node takes no new requests")]
    NotReady,
    /// The node has as many requests in flight as it may hold.
    #[error("this node has no room for another request")]
    Overloaded,
}

impl Refusal {
    /// Returns the stable code that error bodies carry.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::UnknownKey => "unknown_key",
            Refusal::UnknownPath(_) => "unknown_path",
            Refusal::UnknownModel(_) => "unknown_model",
            Refusal::Forbidden(_) => "forbidden",
            Refusal::MalformedBody(_) => "malformed_body",
            Refusal::MalformedHeader { .. } => "malformed_header",
            Refusal::BodyTooLarge { .. } => "body_too_large",
            Refusal::TooManyHeaders { .. } => "too_many_headers",
            Refusal::BodyTimeout { .. } => "body_timeout",
            Refusal::MalformedSession => "malformed_session",
            Refusal::ForeignSession => "foreign_session",
            Refusal::VersionWithdrawn(_) => "version_withdrawn",
            Refusal::QualityUnmet(_) => "quality_unmet",
            Refusal::NoUpstream(_) => "no_upstream",
            Refusal::Unreachable(_) => "unreachable",
            Refusal::ClaimUnavailable => "claim_unavailable",
            Refusal::KeyReused => "key_reused",
            Refusal::NotReady => "not_ready",
            Refusal::Overloaded => "overloaded",
        }
    }

    /// Returns the HTTP status that fits the refusal.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::UnknownKey => 401,
            Refusal::Forbidden(_) | Refusal::ForeignSession => 403,
            Refusal::UnknownPath(_) | Refusal::UnknownModel(_) => 404,
            Refusal::BodyTimeout { .. } => 408,
            Refusal::VersionWithdrawn(_) => 410,
            Refusal::BodyTooLarge { .. } => 413,
            Refusal::KeyReused => 422,
            Refusal::TooManyHeaders { .. } => 431,
            Refusal::MalformedBody(_)
            | Refusal::MalformedHeader { .. }
            | Refusal::MalformedSession => 400,
            Refusal::QualityUnmet(_)
            | Refusal::NoUpstream(_)
            | Refusal::Unreachable(_)
            | Refusal::ClaimUnavailable
            | Refusal::NotReady
            | Refusal::Overloaded => 503,
        }
    }
}
