//! Refusals: the reasons why a request was not run by any upstream.

use thiserror::Error as ThisError;

/// `Refusal` lists the reasons for rejecting a request that no upstream has run.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Refusal {
    /// The bearer key is missing or is not assigned to a team in the active configuration.
    #[error("the bearer key is missing or belongs to no team")]
    UnknownKey,
    /// The path or method is not served.
    #[error("nothing is served at `{0}`")]
    UnknownPath(String),
    /// The rules declare no such model or version.
    #[error("no model or version is called `{0}`")]
    UnknownModel(String),
    /// The team may not use the model, version or service.
    #[error("the team's rules do not allow `{0}`")]
    Forbidden(String),
    /// The body does not match the API schema.
    #[error("the body is malformed: {0}")]
    MalformedBody(String),
    /// A header has an invalid value.
    #[error("header `{name}` is malformed: expected {expected}")]
    MalformedHeader {
        /// Name of the header.
        name: &'static str,
        /// The expected format.
        expected: &'static str,
    },
    /// The body exceeds the size limit.
    #[error("the body is larger than {limit_bytes} bytes")]
    BodyTooLarge {
        /// The size limit in bytes.
        limit_bytes: usize,
    },
    /// The request has more headers than the limit.
    #[error("the request has more than {limit} headers")]
    TooManyHeaders {
        /// The maximum number of headers.
        limit: usize,
    },
    /// The body was not received in time.
    #[error("the body did not arrive within {limit_ms} ms")]
    BodyTimeout {
        /// The time limit in milliseconds.
        limit_ms: u64,
    },
    /// The session token is malformed or was not signed by this deployment.
    #[error("the session header is neither `new` nor a token that this deployment issued")]
    MalformedSession,
    /// The session token was issued to another team.
    #[error("the session was issued to another team")]
    ForeignSession,
    /// The requested version, or the one to which the session is bound, was withdrawn.
    #[error("version `{0}` of this session has been withdrawn; start a new session")]
    VersionWithdrawn(String),
    /// No version in service that the team may use meets the minimum quality. Versions under
    /// roll-out are not considered.
    #[error("no version in service meets the quality need of {0}")]
    QualityUnmet(String),
    /// No upstream may take the request. For example, all upstreams of the version or service are
    /// draining, leaving or in a zone out of service, or all versions of the model are withdrawn.
    #[error("no upstream in service serves `{0}`")]
    NoUpstream(String),
    /// None of the upstreams that were tried could be reached.
    #[error("no upstream of `{0}` could be reached")]
    Unreachable(String),
    /// All upstreams that could take the request have stated that they want none for a while.
    #[error("all upstreams of `{name}` take no requests for now")]
    Paused {
        /// Name of the version or service.
        name: String,
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The call may not be retried and the platform could not record its claim (see
    /// [`claim_key`](crate::claim_key)).
    #[error("the platform could not record the claim that this call needs")]
    ClaimUnavailable,
    /// The idempotency key was used before with a different request.
    #[error("the idempotency key was used before with a different request")]
    KeyReused,
    /// A segment of the prompt crashes the upstreams that process it.
    #[error("a segment of the prompt crashes the upstreams that process it")]
    PromptRejected,
    /// The node has no confirmed configuration yet, has not read all that it needs from the store, or
    /// is shutting down.
    #[error("this node takes no new requests")]
    NotReady,
    /// The node had no memory for the body, or another body needed it.
    #[error("this node has no memory for the body")]
    MemoryShort {
        /// Time after which the caller may try again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The node is at its limit of requests in flight, or the upstreams rejected the request for
    /// lack of capacity.
    #[error("this node has no room for another request")]
    Overloaded,
}

impl Refusal {
    /// Returns the stable error code for response bodies.
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
            Refusal::PromptRejected => "prompt_rejected",
            Refusal::NotReady => "not_ready",
            Refusal::MemoryShort { .. } => "memory_short",
            Refusal::Overloaded | Refusal::Paused { .. } => "overloaded",
        }
    }

    /// Returns the HTTP status code of the refusal.
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
            | Refusal::PromptRejected
            | Refusal::NotReady
            | Refusal::Paused { .. }
            | Refusal::MemoryShort { .. }
            | Refusal::Overloaded => 503,
        }
    }

    /// Returns the time after which the caller may try again, in milliseconds, if it is known.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Refusal::Paused { retry_after_ms, .. } | Refusal::MemoryShort { retry_after_ms } => {
                Some(*retry_after_ms)
            }
            _ => None,
        }
    }
}
