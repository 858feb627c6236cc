//! A plain booking service. Calls other than GET have side effects, and POST calls must
//! not be repeated.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::engine::Run;
use crate::faults::EngineFaults;
use crate::reply::json_response;

/// Largest accepted request body, in bytes.
const REQUEST_MAX_BYTES: usize = 1 << 20;
/// Time for which a request that stays unanswered is held open, in milliseconds.
const UNANSWERED_HOLD_MS: u64 = 3_600_000;

/// `ServiceStandin` is the stand-in for a VM of a plain service.
pub struct ServiceStandin {
    state: Mutex<State>,
}

struct State {
    faults: EngineFaults,
    runs: Vec<Run>,
    rng: ChaCha8Rng,
}

impl ServiceStandin {
    /// Creates a service whose random faults are drawn from the seed.
    pub fn new(seed: u64) -> Arc<Self> {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let state = State { faults: EngineFaults::default(), runs: Vec::new(), rng };
        Arc::new(ServiceStandin { state: Mutex::new(state) })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Returns the executed calls that had side effects, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<RequestBody>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let header = head.headers.get("x-request-id").cloned();
        let id = header.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-").to_owned();
        let body = read_all(body, REQUEST_MAX_BYTES).await.unwrap_or_default();
        let faults = self.state().faults.clone();
        if faults.silent {
            sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        let number = match head.method {
            Method::GET => self.state().runs.len(),
            _ => self.record_run(&id, head.uri.path()),
        };
        let answer_lost = {
            let share = faults.lost_answer_share;
            share > 0.0 && self.state().rng.random_bool(share)
        };
        if answer_lost {
            sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        if faults.late_ms > 0 {
            sleep(Duration::from_millis(faults.late_ms)).await;
        }
        let text = String::from_utf8_lossy(&body);
        let answer = json!({ "number": number, "path": head.uri.path(), "body": text });
        let mut response = json_response(StatusCode::OK, &answer);
        let answer_request_id = match faults.crossed {
            true => Some(HeaderValue::from_static("0123456789abcdef0123456789abcdef")),
            false => header,
        };
        if let Some(id) = answer_request_id {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }

    /// Records the execution of a call with side effects and returns its sequence number.
    fn record_run(&self, id: &str, path: &str) -> usize {
        let mut state = self.state();
        state.runs.push(Run {
            request: id.to_owned(),
            target: path.to_owned(),
            output_tokens: 0,
            finished: true,
            at: Instant::now(),
        });
        state.runs.len()
    }
}

impl Handler for ServiceStandin {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.answer(request).await })
    }
}
