//! Sends one attempt to one upstream.

use std::sync::Arc;

use fescuelock_core::config::ConfigCell;
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::outcome::{Attempt, Progress, ReturnedRequest, Sent, UnknownCause};
use fescuelock_core::placement::confirm;
use fescuelock_core::refusal::Refusal;
use fescuelock_http::body::Body;
use fescuelock_http::pool::Connection;
use fescuelock_http::{Error as HttpError, Result as HttpResult};
use http::{Request, Response, header};
use hyper::body::Incoming;

use crate::registry::{InFlight, Peer, Registry};

/// `Reuse` tells whether an attempt may go over a connection that was idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection may be used.
    Allowed,
    /// The connection must be new, so that the other end cannot have forgotten it.
    Forbidden,
}

/// `Dispatcher` sends attempts on behalf of one node.
pub struct Dispatcher {
    /// The configuration in force.
    pub config: Arc<ConfigCell>,
    /// States of the upstreams.
    pub registry: Arc<Registry>,
    /// Counters of the node.
    pub counters: Counters,
}

/// `Assignment` is the placement of one attempt, by names that outlive a change of the rules.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Name of the team.
    pub team: String,
    /// Name of the version, or `service:` and the name of the service.
    pub serving: String,
    /// Whether an idle connection may be used.
    pub reuse: Reuse,
    /// Time for the head of the answer, in milliseconds.
    pub answer_timeout_ms: u64,
}

/// `Answered` is an attempt whose answer has begun.
pub struct Answered {
    /// The attempt.
    pub attempt: Attempt<Sent>,
    /// The answer, its body still to be read.
    pub response: Response<Incoming>,
    /// The connection, to be given back after the whole body was read and dropped otherwise.
    pub connection: Connection,
    /// The count of the request on its upstream.
    pub in_flight: InFlight,
}

/// `Dispatch` is the result of one attempt.
pub enum Dispatch {
    /// The upstream has begun to answer.
    Answered(Box<Answered>),
    /// The rules in force no longer allow the send.
    Refused(Progress, Refusal),
    /// Nothing was written to the upstream.
    NotSent(Progress),
    /// The request may have reached the upstream, and no answer came.
    Lost(Attempt<Sent>, UnknownCause),
}

impl Dispatcher {
    /// Sends one attempt and waits for the head of its answer.
    pub async fn send(
        &self,
        progress: Progress,
        peer: &Arc<Peer>,
        assignment: &Assignment,
        mut request: Request<Body>,
    ) -> Dispatch {
        let in_flight = InFlight::start(peer);
        let mut connection = match self.connect(peer, assignment.reuse).await {
            Ok(connection) => connection,

            Err(_) => {
                self.note_failure(peer);
                return Dispatch::NotSent(progress);
            }
        };
        if let Ok(host) = peer.pool.address().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        // The rules may have changed while the request waited or the connection was opened.
        let view = self.config.current();
        let permit = match confirm(&view, &assignment.team, &assignment.serving, &peer.name) {
            Ok(permit) => permit,

            Err(refusal) => {
                peer.pool.checkin(connection);
                return Dispatch::Refused(progress, refusal);
            }
        };
        let first_send = progress.is_unsent();
        let attempt = progress.send(&permit);
        match connection.send(request, assignment.answer_timeout_ms).await {
            Ok(response) => {
                self.registry.trust(peer);
                Dispatch::Answered(Box::new(Answered { attempt, response, connection, in_flight }))
            }

            Err(HttpError::NotSent) if first_send => {
                Dispatch::NotSent(attempt.returned(ReturnedRequest))
            }

            Err(error) => {
                self.note_failure(peer);
                Dispatch::Lost(attempt, cause_of(&error))
            }
        }
    }

    async fn connect(&self, peer: &Peer, reuse: Reuse) -> HttpResult<Connection> {
        match reuse {
            Reuse::Allowed => peer.pool.checkout().await,

            Reuse::Forbidden => {
                self.counters.count(Counter::UpstreamConnects);
                peer.pool.open().await
            }
        }
    }

    /// Counts a failed connection and avoids the upstream for a while.
    pub fn note_failure(&self, peer: &Peer) {
        self.counters.count(Counter::UpstreamFailures);
        self.registry.suspect(peer);
        // Idle connections to an upstream that fails may be forgotten by it too.
        peer.pool.clear();
    }
}

/// Returns why the outcome is unknown after a connection's error.
fn cause_of(error: &HttpError) -> UnknownCause {
    match error {
        HttpError::AnswerTimeout { .. } => UnknownCause::AnswerTimeout,
        HttpError::TooLarge { .. } => UnknownCause::AnswerInvalid,
        HttpError::BodyCut(_) => UnknownCause::AnswerCut,
        _ => UnknownCause::ConnectionLost,
    }
}
