//! Decides whether a response belongs to the request that was sent last on its connection, and
//! whether the connection may carry another request.
//!
//! Load pattern: a faulty upstream writes a response twice. On a kept connection, the second one is
//! read where the response to the next request is due. A refusal that is taken for the response to
//! another request reports a request as not run that the upstream runs.

/// `AnswerIdentity` tells how far a response is known to belong to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerIdentity {
    /// The response carries the id of the request.
    Confirmed,
    /// The response carries no id that could be compared, but its connection carried no other
    /// request.
    Unlabelled,
    /// The response belongs to another request, or may do so.
    Foreign,
}

/// `AnswerLabels` describes a response by what identifies its request.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerLabels<'a> {
    /// Id that was sent with the request.
    pub request_id: Option<&'a str>,
    /// Id that the response carries.
    pub echoed_id: Option<&'a str>,
    /// Whether the connection carried another request before.
    pub is_connection_reused: bool,
}

/// Returns how far a response is known to belong to the request that was sent last.
pub fn identify(labels: &AnswerLabels<'_>) -> AnswerIdentity {
    match (labels.request_id, labels.echoed_id) {
        (Some(request_id), Some(echoed_id)) if request_id == echoed_id => AnswerIdentity::Confirmed,

        (Some(_), Some(_)) => AnswerIdentity::Foreign,

        _ if labels.is_connection_reused => AnswerIdentity::Foreign,

        _ => AnswerIdentity::Unlabelled,
    }
}

impl AnswerIdentity {
    /// Returns whether the response counts as the one to the request, also if it is a refusal.
    pub fn is_accepted(self) -> bool {
        self != AnswerIdentity::Foreign
    }

    /// Returns whether the connection may carry another request after the whole response was read.
    ///
    /// Without an id in this response, the next one may have none either. The id does not protect a
    /// retry of the same request from a second copy of an error response, which carries the same
    /// id.
    pub fn may_keep_connection(self, is_error: bool) -> bool {
        self == AnswerIdentity::Confirmed && !is_error
    }
}
