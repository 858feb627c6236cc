//! Handling of a caller's request, from its headers to the response.
//!
//! `RequestHandler::respond` authenticates the caller and passes the request to [`crate::chat`]
//! or [`crate::service`]. Both send with [`RequestHandler::dispatch_until`], the only function that
//! chooses an upstream and sends to it, so that every request to an upstream passes the same
//! checks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuelock_callers::intake::{self, RequestLimits};
use fescuelock_callers::{headers, responses};
use fescuelock_core::clock::Clock;
use fescuelock_core::config::ConfigCell;
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::ids::{Generation, RequestId, TeamKey, UpstreamKey};
use fescuelock_core::outcome::{Outcome, RequestProgress, Unknown, UnknownCause, Unsent};
use fescuelock_core::placement::choose_upstream;
use fescuelock_core::refusal::Refusal;
use fescuelock_core::rules::ConfigSnapshot;
use fescuelock_core::session::SessionKeys;
use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::body::{self, Body};
use fescuelock_http::byte_budget::ByteBudget;
use fescuelock_http::net::BoxFuture;
use fescuelock_http::panics;
use fescuelock_http::pool::Connection;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use fescuelock_policy::admission::{self, AdmissionContext, AdmissionOptions};
use fescuelock_policy::answer_identity::{self, AnswerIdentity, AnswerLabels};
use fescuelock_policy::pause::{self, PauseChange};
use fescuelock_policy::placement::hash_name;
use fescuelock_policy::silence::WaitLimits;
use fescuelock_store::bills::BillRecorder;
use fescuelock_store::claims::ClaimStore;
use fescuelock_upstreams::dispatch::{AnsweredAttempt, Assignment, Dispatcher};
use fescuelock_upstreams::registry::UpstreamHandle;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use tokio::time::timeout;

use crate::attempts::Attempts;
use crate::{chat, service};

/// URL path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// URL path of the list of models.
const MODELS_PATH: &str = "/v1/models";
/// Prefix of the URL paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// `RequestOptions` configures timeouts, retries and limits of request handling.
#[derive(Debug, Clone)]
pub struct RequestOptions {
    /// Time to wait for the headers of an upstream's response before another one is asked beside it,
    /// or before the request ends if none is to be had, in milliseconds. Defaults to 60,000.
    pub answer_timeout_ms: u64,
    /// Time without an event of a stream after which another engine is asked beside its engine, in
    /// milliseconds. Defaults to 15,000.
    pub stream_idle_ms: u64,
    /// Maximum size of a response that is not streamed, in bytes. Defaults to 8 MiB.
    pub answer_max_bytes: usize,
    /// Maximum number of attempts per request, each on another upstream. Defaults to 4.
    pub attempts_max: u32,
    /// Time that a duplicate waits for the result of the first request with its idempotency key,
    /// in milliseconds. Defaults to 5,000.
    pub claim_wait_ms: u64,
    /// Interval at which a waiting duplicate polls for the result, in milliseconds. Defaults to
    /// 250.
    pub claim_poll_interval_ms: u64,
    /// Maximum number of concurrent requests of the node. Defaults to 4,096.
    pub requests_max: u64,
}

impl Default for RequestOptions {
    fn default() -> Self {
        RequestOptions {
            answer_timeout_ms: 60_000,
            stream_idle_ms: 15_000,
            answer_max_bytes: 8 << 20,
            attempts_max: 4,
            claim_wait_ms: 5_000,
            claim_poll_interval_ms: 250,
            requests_max: 4_096,
        }
    }
}

impl RequestOptions {
    /// Returns the limits of the wait for the head of a response.
    pub fn head_limits(&self) -> WaitLimits {
        let timeout_ms = self.answer_timeout_ms;
        WaitLimits { second_send_ms: timeout_ms, end_ms: timeout_ms }
    }

    /// Returns the limits of the wait for the next event of a stream. After the silence, another
    /// engine gets the time for the head of an answer, or the stream as much time to go on.
    pub fn stream_limits(&self) -> WaitLimits {
        WaitLimits {
            second_send_ms: self.stream_idle_ms,
            end_ms: self.stream_idle_ms.saturating_add(self.answer_timeout_ms),
        }
    }

    /// Returns the limits of the wait for an engine that is asked for the rest of a stream.
    pub fn rest_limits(&self) -> WaitLimits {
        WaitLimits { second_send_ms: self.stream_idle_ms, end_ms: self.answer_timeout_ms }
    }
}

/// `RequestHandler` handles the requests of callers.
pub struct RequestHandler {
    /// The configuration in force.
    pub config: Arc<ConfigCell>,
    /// Sends requests to upstreams.
    pub dispatcher: Dispatcher,
    /// Records claims of idempotency keys.
    pub claims: ClaimStore,
    /// Records bills.
    pub bills: BillRecorder,
    /// Signs and verifies session tokens.
    pub sessions: SessionKeys,
    /// Wall-clock time.
    pub clock: Clock,
    /// Metrics counters of the node.
    pub counters: Counters,
    /// Background tasks of the node.
    pub tasks: TaskGroup,
    /// Availability zone of the node.
    pub zone: String,
    /// Limits on the requests of callers.
    pub limits: RequestLimits,
    /// Timeouts, retries and limits.
    pub options: RequestOptions,
    /// Bytes that the node holds for callers.
    pub budget: ByteBudget,
    /// Random number generator of the node.
    pub rng: Mutex<ChaCha8Rng>,
    /// Number of requests in flight.
    pub in_flight: Arc<AtomicU64>,
}

/// `InFlightGuard` counts its request as in flight until it is dropped.
pub struct InFlightGuard {
    in_flight: Arc<AtomicU64>,
}

/// `AdmittedRequest` is an authenticated request whose body has not been read.
pub struct AdmittedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// The configuration that the request was accepted under.
    pub snapshot: Arc<ConfigSnapshot>,
    /// The team of the caller.
    pub team: TeamKey,
    /// The request.
    pub request: Request<RequestBody>,
    /// Keeps the request counted as in flight.
    pub in_flight_guard: InFlightGuard,
}

/// `Failure` is the outcome of a request that ended without a complete response from an upstream.
pub type Failure = Box<Outcome>;

impl Handler for RequestHandler {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            self.counters.count(Counter::Requests);
            let id = self.with_rng(RequestId::random);
            let handled = panics::catch(Arc::clone(&self).respond(id, request)).await;
            handled.unwrap_or_else(|_| {
                self.counters.count(Counter::RequestsPanicked);
                self.fail(id, unknown_outcome(Unknown::after_send(UnknownCause::Internal)))
            })
        })
    }
}

impl RequestHandler {
    /// Routes one request by method and path and returns its response.
    async fn respond(
        self: Arc<Self>,
        id: RequestId,
        request: Request<RequestBody>,
    ) -> Response<Body> {
        let attempt = RequestProgress::new();
        let admitted = match self.admit(id, request) {
            Ok(admitted) => admitted,
            Err(refusal) => return self.fail(id, refuse(attempt, refusal)),
        };
        let path = admitted.request.uri().path();
        match (admitted.request.method(), path) {
            (&Method::POST, CHAT_PATH) => chat::handle_completion(self, admitted, attempt).await,

            (&Method::GET, MODELS_PATH) => {
                let mut response = responses::models_response(&admitted.snapshot, admitted.team);
                responses::set_header(&mut response, headers::REQUEST_ID, &id.to_string());
                response
            }

            (_, path) if path.starts_with(SERVICES_PREFIX) => {
                service::handle_call(self, admitted, attempt).await
            }

            (_, path) => {
                let refusal = Refusal::UnknownPath(path.to_owned());
                self.fail(id, refuse(attempt, refusal))
            }
        }
    }

    /// Checks that the node may accept the request and authenticates the caller.
    fn admit(
        &self,
        id: RequestId,
        request: Request<RequestBody>,
    ) -> Result<AdmittedRequest, Refusal> {
        let snapshot = self.config.current();
        if snapshot.generation == Generation::default() {
            return Err(Refusal::NotReady);
        }
        intake::check_headers(request.headers(), &self.limits)?;
        let team = intake::authenticate(&snapshot, request.headers())?;
        let in_flight_guard = InFlightGuard::start(&self.in_flight);
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        if in_flight > self.options.requests_max || self.bills.is_backlog_full() {
            return Err(Refusal::Overloaded);
        }
        Ok(AdmittedRequest { id, snapshot, team, request, in_flight_guard })
    }

    /// Chooses the next upstream for a request, if it has an attempt left.
    pub fn next_upstream(
        &self,
        assignment: &Assignment,
        attempts: &Attempts,
    ) -> Option<Arc<UpstreamHandle>> {
        if !attempts.is_left(self.options.attempts_max) {
            return None;
        }
        let snapshot = self.config.current();
        let bound = self.dispatcher.registry.table_for(&snapshot);
        let serving = snapshot.find_workload(&assignment.serving)?;
        let local_zone = snapshot.zones.find(&self.zone);
        let tried: Vec<UpstreamKey> =
            attempts.tried().iter().filter_map(|name| snapshot.upstreams.find(name)).collect();
        let registry = &self.dispatcher.registry;
        let is_paused = |key: &UpstreamKey| registry.pause_wait_ms(bound.upstream_handle(*key)) > 0;
        let paused = snapshot.upstreams_of(serving).iter().copied().filter(is_paused);
        let excluded: Vec<UpstreamKey> = tried.into_iter().chain(paused).collect();
        let load = |key| registry.load(&bound, key);
        let key = self.with_rng(|rng| {
            choose_upstream(&snapshot, serving, local_zone, &excluded, load, rng)
        })?;
        Some(Arc::clone(bound.upstream_handle(key)))
    }

    /// Returns the refusal of a request if all upstreams that could take it pause, tried or not.
    pub fn paused_refusal(&self, assignment: &Assignment) -> Option<Refusal> {
        let snapshot = self.config.current();
        let bound = self.dispatcher.registry.table_for(&snapshot);
        let serving = snapshot.find_workload(&assignment.serving)?;
        let available = snapshot.upstreams_of(serving).iter().copied();
        let waits_ms = available
            .filter(|key| snapshot.is_available(*key))
            .map(|key| self.dispatcher.registry.pause_wait_ms(bound.upstream_handle(key)));
        let first_ms = waits_ms.min().filter(|wait_ms| *wait_ms > 0)?;
        let context = AdmissionContext {
            time_to_capacity_ms: None,
            paused_ms: Some(first_ms as f64),
            wait_max_ms: 0.0,
            target_ms: self.options.answer_timeout_ms as f64,
            deadline_left_ms: 0.0,
        };
        let draw = self.with_rng(|rng| rng.random::<f64>());
        let retry_after_ms =
            admission::retry_after_ms(&context, &AdmissionOptions::default(), draw) as u64;
        Some(Refusal::Paused { name: assignment.serving.clone(), retry_after_ms })
    }

    /// Records the pause for which an upstream asks in its response. Returns whether it asks for one.
    /// A response that may belong to an earlier request says nothing.
    pub fn record_pause(&self, request_id: &str, answered: &AnsweredAttempt) -> bool {
        let AnsweredAttempt { response, connection, in_flight, .. } = answered;
        let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let stated = response.headers().get(header::RETRY_AFTER);
        let stated_ms = stated
            .and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok())
            .map(|seconds| seconds * 1_000.0);
        let is_accepted = identify(request_id, response.headers(), connection).is_accepted();
        let requested_ms = pause::requested_pause_ms(is_unavailable, stated_ms);
        let Some(pause_ms) = requested_ms.filter(|_| is_accepted) else {
            return false;
        };
        let spread = self.with_rng(|rng| rng.random::<f64>());
        let upstream = in_flight.upstream_handle();
        match self.dispatcher.registry.pause(upstream, pause_ms, spread) {
            Some(PauseChange::Begun(_)) => self.counters.count(Counter::Pauses),
            Some(PauseChange::Lengthened(_)) | None => {}
        }
        true
    }

    /// Reads the body of a request within its limits and the byte budget.
    ///
    /// # Errors
    ///
    /// Returns why the body cannot be read.
    pub async fn read_body(
        &self,
        body: RequestBody,
        snapshot: &ConfigSnapshot,
        team: TeamKey,
    ) -> Result<Bytes, Refusal> {
        let has_shares = snapshot.teams.len() > 1;
        let team = has_shares.then(|| hash_name(&snapshot.teams.at(team).name));
        intake::read_body(body, &self.limits, &self.budget, team).await
    }

    /// Reads the body of a response that is not streamed, within the limits on size and time.
    ///
    /// # Errors
    ///
    /// Returns why the body is not whole.
    pub async fn read_answer(&self, body: Incoming) -> Result<Bytes, UnknownCause> {
        let limit = Duration::from_millis(self.options.answer_timeout_ms);
        match timeout(limit, body::read_answer(body, &self.budget, self.options.answer_max_bytes))
            .await
        {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(UnknownCause::AnswerCut),
            Err(_) => Err(UnknownCause::AnswerTimeout),
        }
    }

    /// Builds the response to a request that failed, and counts its outcome.
    pub fn fail(&self, id: RequestId, failure: Failure) -> Response<Body> {
        let counter = match *failure {
            Outcome::NotRun(_) => Counter::RequestsNotRun,
            Outcome::Unknown(_) => Counter::RequestsUnknown,
        };
        self.counters.count(counter);
        let mut response = responses::failure_response(id, &failure);
        responses::set_header(&mut response, headers::REQUEST_ID, &id.to_string());
        response
    }

    /// Runs a function with the node's random number generator.
    pub fn with_rng<T>(&self, draw: impl FnOnce(&mut ChaCha8Rng) -> T) -> T {
        draw(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a random nonce of 128 bits.
    pub fn nonce(&self) -> String {
        self.with_rng(|rng| format!("{:016x}{:016x}", rng.next_u64(), rng.next_u64()))
    }
}

impl InFlightGuard {
    fn start(in_flight: &Arc<AtomicU64>) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { in_flight: Arc::clone(in_flight) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns how far a response is known to belong to a request. Upstreams repeat the id of the
/// request in a header, or engines in the body only.
pub fn identify(
    request_id: &str,
    response_headers: &HeaderMap,
    connection: &Connection,
) -> AnswerIdentity {
    let echoed_id = response_headers.get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
    answer_identity::identify(&AnswerLabels {
        request_id: Some(request_id),
        echoed_id,
        is_connection_reused: connection.is_reused(),
    })
}

/// Ends an attempt that was not sent, with a refusal.
pub fn refuse(attempt: RequestProgress<Unsent>, refusal: Refusal) -> Failure {
    Box::new(Outcome::NotRun(attempt.refuse(refusal)))
}

/// Ends a request whose outcome is unknown.
pub fn unknown_outcome(unknown: Unknown) -> Failure {
    Box::new(Outcome::Unknown(unknown))
}
