//! Request outcomes, typed so that a request is reported as "not run" only if no upstream ran it.
//!
//! The state of a request is a type parameter: an [`RequestProgress`] starts as [`Unsent`] and becomes
//! [`Sent`] only through [`RequestProgress::send`], which takes a [`Permit`] that was confirmed against the
//! active configuration. A [`NotRun`] can only be built from the state [`Unsent`].

use std::marker::PhantomData;

use crate::placement::Permit;
use crate::refusal::Refusal;

/// `Unsent` is the state of a request that no upstream has run.
///
/// It was not sent, its connection wrote no byte of it, or every upstream that received it rejected
/// it.
#[derive(Debug)]
pub enum Unsent {}

/// `Sent` is the state of a request that an upstream may have run.
#[derive(Debug)]
pub enum Sent {}

/// `RequestProgress` tracks one request from its acceptance to its outcome, across all of its sends.
#[derive(Debug)]
pub struct RequestProgress<S> {
    state: PhantomData<S>,
}

/// `Retryable` is a marker by which the caller asserts that a request may be sent more than once.
///
/// Like [`UnwrittenRequest`] and [`UpstreamRejection`], it can be built anywhere: build it only
/// where the assertion was checked.
#[derive(Debug, Clone, Copy)]
pub struct Retryable;

/// `PendingRequest` is a request that is ready to be sent, for the first time or again.
#[derive(Debug)]
pub enum PendingRequest {
    /// No upstream has run the request.
    Unsent(RequestProgress<Unsent>),
    /// The request was sent before, got no usable response and may be retried.
    Retrying(RequestProgress<Sent>, UnknownCause),
}

/// `UnwrittenRequest` is a marker by which the caller asserts that a connection returned a request
/// of which it wrote no byte.
#[derive(Debug)]
pub struct UnwrittenRequest;

/// `UpstreamRejection` is a marker by which the caller asserts that an upstream rejected a request,
/// stating that it has not run it and will not run it.
#[derive(Debug)]
pub struct UpstreamRejection;

/// `NotRun` is the outcome of a request that no upstream has run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRun {
    refusal: Refusal,
}

/// `Unknown` is the outcome of a request that an upstream may have run without a usable response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unknown {
    cause: UnknownCause,
}

/// `UnknownCause` lists the reasons why the outcome of a sent request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection failed after the request had been passed to it.
    ConnectionLost,
    /// The upstream sent no response within the deadline.
    AnswerTimeout,
    /// The response belongs to another request or violates the protocol.
    AnswerInvalid,
    /// The response ended before its end marker.
    AnswerCut,
    /// An earlier request with the same idempotency key is recorded without a result.
    AlreadyAttempted,
    /// The router aborted the request because requests like it crash upstreams.
    Aborted,
    /// An internal error of the router ended the request.
    Internal,
}

/// `Outcome` is the outcome of a request without a response to forward: not run, or unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request was not run.
    NotRun(NotRun),
    /// The request may have been run.
    Unknown(Unknown),
}

impl RequestProgress<Unsent> {
    /// Starts tracking an accepted request.
    pub fn new() -> Self {
        RequestProgress { state: PhantomData }
    }

    /// Ends a request that no upstream has run.
    pub fn refuse(self, refusal: Refusal) -> NotRun {
        NotRun { refusal }
    }

    /// Marks the request as sent. The permit shows that its placement was confirmed.
    pub fn send(self, _permit: &Permit) -> RequestProgress<Sent> {
        RequestProgress { state: PhantomData }
    }
}

impl Default for RequestProgress<Unsent> {
    fn default() -> Self {
        RequestProgress::new()
    }
}

impl RequestProgress<Sent> {
    /// Ends a sent request without a usable response.
    pub fn unknown(self, cause: UnknownCause) -> Unknown {
        Unknown { cause }
    }

    /// Reverts a send that the upstream rejected without running the request.
    ///
    /// `earlier` is the cause that left the outcome of an earlier send unknown. Without one, no
    /// upstream can have run the request and it counts as unsent again.
    pub fn rejected(
        self,
        _marker: UpstreamRejection,
        earlier: Option<UnknownCause>,
    ) -> PendingRequest {
        match earlier {
            None => PendingRequest::Unsent(RequestProgress::new()),
            Some(cause) => PendingRequest::Retrying(self, cause),
        }
    }

    /// Reverts the first send, of which the connection wrote no byte.
    pub fn not_written(self, _marker: UnwrittenRequest) -> PendingRequest {
        PendingRequest::Unsent(RequestProgress::new())
    }
}

impl RequestProgress<Sent> {
    /// Prepares a retry of a request that may be sent more than once.
    pub fn retry(self, _marker: Retryable, cause: UnknownCause) -> PendingRequest {
        PendingRequest::Retrying(self, cause)
    }
}

impl PendingRequest {
    /// Prepares a second send of a request that may be sent more than once, while its first send is
    /// still under way without a response.
    pub fn hedge(_marker: Retryable) -> Self {
        let progress = RequestProgress { state: PhantomData };
        PendingRequest::Retrying(progress, UnknownCause::AnswerTimeout)
    }

    /// Marks the request as sent.
    pub fn send(self, permit: &Permit) -> RequestProgress<Sent> {
        match self {
            PendingRequest::Unsent(attempt) => attempt.send(permit),
            PendingRequest::Retrying(attempt, _) => attempt,
        }
    }

    /// Returns `true` if no upstream has run the request, although some may have rejected it.
    pub fn is_unsent(&self) -> bool {
        matches!(self, PendingRequest::Unsent(_))
    }

    /// Returns why the outcome of an earlier send is unknown, if there was one.
    pub fn earlier_cause(&self) -> Option<UnknownCause> {
        match self {
            PendingRequest::Unsent(_) => None,
            PendingRequest::Retrying(_, cause) => Some(*cause),
        }
    }

    /// Ends a request that cannot be sent or retried.
    ///
    /// The outcome of a request that was sent before is unknown, whatever prevents the retry.
    pub fn end(self, refusal: Refusal) -> Outcome {
        match self {
            PendingRequest::Unsent(attempt) => Outcome::NotRun(attempt.refuse(refusal)),
            PendingRequest::Retrying(attempt, cause) => Outcome::Unknown(attempt.unknown(cause)),
        }
    }
}

impl NotRun {
    /// Returns why the request was refused.
    pub fn refusal(&self) -> &Refusal {
        &self.refusal
    }
}

impl Unknown {
    /// Builds the outcome of a sent request whose response failed for the given cause.
    pub fn after_send(cause: UnknownCause) -> Self {
        Unknown { cause }
    }

    /// Builds the outcome of a duplicate whose earlier request has no recorded result.
    pub fn already_attempted() -> Self {
        Unknown { cause: UnknownCause::AlreadyAttempted }
    }

    /// Returns why the outcome is unknown.
    pub fn cause(&self) -> UnknownCause {
        self.cause
    }
}

impl UnknownCause {
    /// Returns the stable error code for response bodies.
    pub fn code(self) -> &'static str {
        match self {
            UnknownCause::ConnectionLost => "connection_lost",
            UnknownCause::AnswerTimeout => "answer_timeout",
            UnknownCause::AnswerInvalid => "answer_invalid",
            UnknownCause::AnswerCut => "answer_cut",
            UnknownCause::AlreadyAttempted => "already_attempted",
            UnknownCause::Aborted => "aborted",
            UnknownCause::Internal => "internal",
        }
    }

    /// Returns the HTTP status code of the cause.
    pub fn status(self) -> u16 {
        match self {
            UnknownCause::AnswerTimeout => 504,
            UnknownCause::AlreadyAttempted => 409,
            UnknownCause::Internal => 500,
            UnknownCause::ConnectionLost
            | UnknownCause::AnswerInvalid
            | UnknownCause::AnswerCut
            | UnknownCause::Aborted => 502,
        }
    }

    /// Returns the error message for the caller.
    pub fn message(self) -> &'static str {
        match self {
            UnknownCause::ConnectionLost => "the connection to the upstream failed after the send",
            UnknownCause::AnswerTimeout => "the upstream did not answer in time",
            UnknownCause::AnswerInvalid => "the upstream's answer was not one to this request",
            UnknownCause::AnswerCut => "the upstream's answer ended early",
            UnknownCause::AlreadyAttempted => {
                "a request with this idempotency key was attempted already; its outcome is unknown"
            }
            UnknownCause::Aborted => {
                "the request was aborted because requests like it crash upstreams"
            }
            UnknownCause::Internal => "an internal error of the router ended the request",
        }
    }
}
