//! Sends one attempt of a request to one upstream.

use std::sync::Arc;

use fescuelock_core::config::ConfigCell;
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::outcome::{
    PendingRequest, RequestProgress, Sent, UnknownCause, UnwrittenRequest,
};
use fescuelock_core::placement::confirm_placement;
use fescuelock_core::refusal::Refusal;
use fescuelock_http::body::Body;
use fescuelock_http::pool::Connection;
use fescuelock_http::{Error as HttpError, Result as HttpResult};
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::registry::{InFlightGuard, Registry, UpstreamHandle};

/// `ConnectionReuse` tells whether an attempt may use an idle pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// An idle connection is used if there is one.
    Allowed,
    /// A new connection is opened, because the upstream may already have dropped an idle one.
    Forbidden,
}

/// `Dispatcher` sends attempts on behalf of one node.
pub struct Dispatcher {
    /// The configuration in force.
    pub config: Arc<ConfigCell>,
    /// Connections, load and health of the upstreams.
    pub registry: Arc<Registry>,
    /// Counters of the node.
    pub counters: Counters,
}

/// `Assignment` describes where one attempt is placed and how it is sent. It refers to rules by
/// name, because their keys change with each configuration.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Name of the team.
    pub team: String,
    /// Name of the version, or `service:` followed by the name of the service.
    pub serving: String,
    /// Whether an idle connection may be used.
    pub connection_reuse: ConnectionReuse,
    /// Timeout for the response head, in milliseconds.
    pub answer_timeout_ms: u64,
}

/// `AnsweredAttempt` is an attempt whose response head has arrived.
pub struct AnsweredAttempt {
    /// The attempt.
    pub attempt: RequestProgress<Sent>,
    /// The response, with its body still unread.
    pub response: Response<Incoming>,
    /// The connection. It returns to the pool after the whole body was read, and is dropped
    /// otherwise.
    pub connection: Connection,
    /// Counts the request as in flight on its upstream.
    pub in_flight: InFlightGuard,
}

/// `AttemptResult` is the result of one attempt.
pub enum AttemptResult {
    /// The response head has arrived.
    Answered(Box<AnsweredAttempt>),
    /// The current rules no longer allow the attempt, or the upstream pauses.
    Refused(PendingRequest, Refusal),
    /// Nothing was written to the upstream.
    NotSent(PendingRequest),
    /// The request may have reached the upstream, but no response arrived.
    Lost(RequestProgress<Sent>, UnknownCause),
}

impl Dispatcher {
    /// Sends one attempt and waits for the response head.
    pub async fn send(
        &self,
        progress: PendingRequest,
        upstream: &Arc<UpstreamHandle>,
        assignment: &Assignment,
        mut request: Request<Body>,
    ) -> AttemptResult {
        let in_flight = InFlightGuard::start(upstream);
        let mut connection = match self.connect(upstream, assignment.connection_reuse).await {
            Ok(connection) => connection,

            Err(_) => {
                self.record_failure(upstream);
                return AttemptResult::NotSent(progress);
            }
        };
        if let Ok(host) = upstream.pool.address().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        // Checks the placement again: the rules may have changed while the request was queued or
        // the connection was opened.
        let snapshot = self.config.current();
        let permit = match confirm_placement(
            &snapshot,
            &assignment.team,
            &assignment.serving,
            &upstream.name,
        ) {
            Ok(permit) => permit,

            Err(refusal) => {
                upstream.pool.checkin(connection);
                return AttemptResult::Refused(progress, refusal);
            }
        };
        let sent = match self.registry.try_send(upstream) {
            Ok(sent) => sent,

            Err(retry_after_ms) => {
                upstream.pool.checkin(connection);
                let name = assignment.serving.clone();
                return AttemptResult::Refused(progress, Refusal::Paused { name, retry_after_ms });
            }
        };
        if sent.is_first {
            self.counters.count(Counter::PausesEnded);
        }
        let first_send = progress.is_unsent();
        let attempt = progress.send(&permit);
        match connection.send(request, assignment.answer_timeout_ms).await {
            Ok(response) => {
                self.registry.mark_healthy(upstream);
                let status = response.status();
                if !status.is_server_error() && status != StatusCode::TOO_MANY_REQUESTS {
                    self.registry.record_answer(upstream, sent.sent_ms);
                }
                AttemptResult::Answered(Box::new(AnsweredAttempt {
                    attempt,
                    response,
                    connection,
                    in_flight,
                }))
            }

            Err(HttpError::NotWritten) if first_send => {
                AttemptResult::NotSent(attempt.not_written(UnwrittenRequest))
            }

            Err(error) => {
                self.record_failure(upstream);
                AttemptResult::Lost(attempt, unknown_cause(&error))
            }
        }
    }

    async fn connect(
        &self,
        upstream: &UpstreamHandle,
        connection_reuse: ConnectionReuse,
    ) -> HttpResult<Connection> {
        match connection_reuse {
            ConnectionReuse::Allowed => upstream.pool.checkout().await,

            ConnectionReuse::Forbidden => {
                self.counters.count(Counter::UpstreamConnects);
                upstream.pool.open().await
            }
        }
    }

    /// Records a failure and avoids the upstream for the time set in the registry's options.
    pub fn record_failure(&self, upstream: &UpstreamHandle) {
        self.counters.count(Counter::UpstreamFailures);
        self.registry.mark_suspect(upstream);
        // The failed upstream may have dropped the idle connections too.
        upstream.pool.clear();
    }
}

/// Maps an HTTP error to the reason why the outcome of an attempt is unknown.
fn unknown_cause(error: &HttpError) -> UnknownCause {
    match error {
        HttpError::AnswerTimeout { .. } => UnknownCause::AnswerTimeout,
        HttpError::TooLarge { .. } => UnknownCause::AnswerInvalid,
        HttpError::IncompleteBody(_) => UnknownCause::AnswerCut,
        _ => UnknownCause::ConnectionLost,
    }
}
