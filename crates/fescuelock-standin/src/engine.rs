//! A model engine that speaks the published chat-completions form.
//!
//! The text of an answer follows from the last message of the user, so that a reader can check
//! every word of it, and an answer that was cut can be continued.

mod tokens;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuelock_http::body::{Body, BodySender, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::server::Handler;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::json as value;
use tokio::time::{Instant, sleep, sleep_until};

use self::tokens::{tag_of, token_event, token_text, usage};
use crate::faults::EngineFaults;
use crate::rating::RatingStandin;
use crate::reply::{json, status};

/// Answer tokens if the request gives no limit.
const TOKENS_DEFAULT: u64 = 16;
/// Largest request, in bytes.
const REQUEST_MAX_BYTES: usize = 8 << 20;
/// Bytes of a prompt that make a token, about.
const BYTES_PER_TOKEN: u64 = 4;
/// Time for which a request that is never answered is held, in milliseconds.
const HOLD_MS: u64 = 3_600_000;
/// Time for which an overloaded cold engine refuses all work, in milliseconds.
const FALLEN_MS: u64 = 1_000;

/// `EngineOptions` configures an engine's speed.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// Time to the first token, in microseconds. Defaults to 0.
    pub first_token_us: u64,
    /// Time between tokens, in microseconds. Defaults to 0.
    pub token_gap_us: u64,
    /// Seed of the engine's random faults.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions { name: "engine".to_owned(), first_token_us: 0, token_gap_us: 0, seed: 0 }
    }
}

/// `Run` is one request that an engine or service has worked on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Run {
    /// Id of the request, as the router gave it.
    pub request: String,
    /// Version that the request was for, or path of a service's call.
    pub target: String,
    /// Tokens of the answer that were generated.
    pub output_tokens: u64,
    /// Whether the answer was generated to its end.
    pub finished: bool,
    /// Time of the arrival.
    #[serde(skip)]
    pub at: Instant,
}

/// `EngineStandin` is a model engine.
pub struct EngineStandin {
    options: EngineOptions,
    state: Mutex<State>,
    in_flight: AtomicU32,
    rating: Option<Arc<RatingStandin>>,
}

struct State {
    faults: EngineFaults,
    runs: Vec<Run>,
    over_bound: u64,
    in_flight_max: u32,
    fallen_until: Option<Instant>,
    fencing: u64,
    orders: Vec<Order>,
    rng: ChaCha8Rng,
}

/// `Order` is an instruction to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the owner who gives the order.
    pub fencing: u64,
    /// What is to be done.
    pub action: String,
}

/// `EngineReport` is what an engine counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineReport {
    /// Requests that were worked on.
    pub runs: u64,
    /// Tokens that were generated.
    pub output_tokens: u64,
    /// Requests that arrived above the bound of a cold engine.
    pub over_bound: u64,
    /// Largest number of requests at once.
    pub in_flight_max: u32,
}

/// `ChatBody` is the part of a request that the engine reads.
#[derive(Debug, Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    continue_final_message: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: String,
}

/// `Job` is a request that is being answered.
struct Job {
    index: usize,
    answer_id: String,
    model: String,
    tag: String,
    first: u64,
    end: u64,
    input_tokens: u64,
    cut_at: Option<u64>,
    cut_cleanly: bool,
    cut_with_marker: bool,
}

/// `InFlight` counts a request for as long as it lives.
struct InFlight {
    engine: Arc<EngineStandin>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.engine.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the text of an answer to a prompt with the given number of tokens.
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    let tag = tag_of(prompt);
    (0..tokens).map(|index| token_text(&tag, index)).collect()
}

impl EngineStandin {
    /// Builds an engine.
    pub fn new(options: EngineOptions, rating: Option<Arc<RatingStandin>>) -> Arc<Self> {
        let state = State {
            faults: EngineFaults::default(),
            runs: Vec::new(),
            over_bound: 0,
            in_flight_max: 0,
            fallen_until: None,
            fencing: 0,
            orders: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let state = Mutex::new(state);
        Arc::new(EngineStandin { options, state, in_flight: AtomicU32::new(0), rating })
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Returns all requests that were worked on.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns what the engine counted.
    pub fn report(&self) -> EngineReport {
        let state = self.state();
        EngineReport {
            runs: u64::try_from(state.runs.len()).unwrap_or(u64::MAX),
            output_tokens: state.runs.iter().map(|run| run.output_tokens).sum(),
            over_bound: state.over_bound,
            in_flight_max: state.in_flight_max,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(request).await,

            (&Method::GET, "/v1/load") => self.load().await,

            (&Method::POST, "/v1/orders") => self.order(request).await,

            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn chat(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let id = head.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("-");
        let Ok(body) = read_all(body, REQUEST_MAX_BYTES).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(chat) = serde_json::from_slice::<ChatBody>(&body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Some(in_flight) = self.admit() else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let faults = self.state().faults.clone();
        // Work counts from its arrival, whether or not it will be answered.
        let job = self.start(id, &chat, &faults, body.len());
        if faults.silent {
            sleep(Duration::from_millis(HOLD_MS)).await;
        }
        let delay_us = faults.late_ms * 1_000 + self.options.first_token_us;
        if delay_us > 0 {
            sleep(Duration::from_micros(delay_us)).await;
        }
        if faults.lost_answer_share > 0.0 && self.draw(faults.lost_answer_share) {
            self.finish(&job, job.end - job.first, true);
            sleep(Duration::from_millis(HOLD_MS)).await;
        }
        match chat.stream {
            true => self.stream(job, in_flight),
            false => self.whole(&job).await,
        }
    }

    /// Takes a request, unless the engine is cold and overloaded.
    fn admit(self: &Arc<Self>) -> Option<InFlight> {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let guard = InFlight { engine: Arc::clone(self) };
        let mut state = self.state();
        state.in_flight_max = state.in_flight_max.max(in_flight);
        let now = Instant::now();
        if state.fallen_until.is_some_and(|until| now < until) {
            return None;
        }
        match state.faults.cold_bound {
            Some(bound) if in_flight > bound => {
                state.over_bound += 1;
                state.fallen_until = Some(now + Duration::from_millis(FALLEN_MS));
                None
            }

            _ => Some(guard),
        }
    }

    fn start(&self, id: &str, chat: &ChatBody, faults: &EngineFaults, body_bytes: usize) -> Job {
        let prompt = chat.messages.iter().rfind(|message| message.role == "user");
        let tag = match faults.crossed {
            true => tag_of("another request"),
            false => tag_of(prompt.map_or("", |message| message.content.as_str())),
        };
        let done = match chat.messages.last() {
            Some(last) if chat.continue_final_message => {
                u64::try_from(last.content.split_whitespace().count()).unwrap_or(0)
            }
            _ => 0,
        };
        let end = done + chat.max_tokens.unwrap_or(TOKENS_DEFAULT);
        let mut state = self.state();
        state.runs.push(Run {
            request: id.to_owned(),
            target: chat.model.clone(),
            output_tokens: 0,
            finished: false,
            at: Instant::now(),
        });
        let answered = if faults.crossed { "0123456789abcdef" } else { id };
        Job {
            index: state.runs.len() - 1,
            answer_id: format!("chatcmpl-{answered}"),
            model: chat.model.clone(),
            tag,
            first: done,
            end,
            input_tokens: u64::try_from(body_bytes).unwrap_or(u64::MAX) / BYTES_PER_TOKEN,
            cut_at: faults.cut_after_tokens.map(|tokens| done + tokens).filter(|&cut| cut < end),
            cut_cleanly: faults.cut_cleanly,
            cut_with_marker: faults.cut_with_marker,
        }
    }

    async fn whole(&self, job: &Job) -> Response<Body> {
        let tokens = job.end - job.first;
        let generation = Duration::from_micros(self.options.token_gap_us * tokens);
        if generation > Duration::ZERO {
            sleep(generation).await;
        }
        self.finish(job, tokens, true);
        let text: String = (job.first..job.end).map(|index| token_text(&job.tag, index)).collect();
        let body = value!({
            "id": job.answer_id,
            "object": "chat.completion",
            "model": job.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": usage(job, tokens),
        });
        json(StatusCode::OK, &body)
    }

    fn stream(self: Arc<Self>, job: Job, in_flight: InFlight) -> Response<Body> {
        let (sender, body) = Body::relayed();
        tokio::spawn(async move {
            // The request counts as in flight until its stream has ended.
            let _in_flight = in_flight;
            self.generate(job, sender).await;
        });
        let mut response = Response::new(body);
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    async fn generate(&self, job: Job, sender: BodySender) {
        let gap = Duration::from_micros(self.options.token_gap_us);
        let started = Instant::now();
        for index in job.first..job.end {
            if job.cut_at == Some(index) {
                self.finish(&job, index - job.first, false);
                if job.cut_with_marker {
                    sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
                } else if !job.cut_cleanly {
                    sender.abort().await;
                }
                return;
            }
            // Late wake-ups are made up for, as in an engine that batches.
            let due = started + gap * u32::try_from(index - job.first).unwrap_or(u32::MAX);
            if gap > Duration::ZERO && due > Instant::now() {
                sleep_until(due).await;
            }
            if !sender.send(token_event(&job, index)).await {
                self.finish(&job, index - job.first, false);
                return;
            }
        }
        let tokens = job.end - job.first;
        self.finish(&job, tokens, true);
        let last = value!({
            "id": job.answer_id, "object": "chat.completion.chunk", "model": job.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        });
        let usage = value!({
            "id": job.answer_id, "object": "chat.completion.chunk", "model": job.model,
            "choices": [], "usage": usage(&job, tokens),
        });
        let end = format!("data: {last}\n\ndata: {usage}\n\ndata: [DONE]\n\n");
        sender.send(Bytes::from(end)).await;
    }

    /// Records what a request generated, warms the engine and has the answer rated.
    fn finish(&self, job: &Job, tokens: u64, finished: bool) {
        let mut state = self.state();
        let run = &mut state.runs[job.index];
        run.output_tokens = tokens;
        run.finished = finished;
        let request = run.request.clone();
        if finished && state.faults.cold_bound.is_some() && state.faults.warm_after > 0 {
            state.faults.warm_after -= 1;
            if state.faults.warm_after == 0 {
                state.faults.cold_bound = None;
            }
        }
        let bad_share = state.faults.bad_share;
        let good = bad_share <= 0.0 || !state.rng.random_bool(bad_share);
        drop(state);
        match &self.rating {
            Some(rating) if finished => rating.rate(request, job.model.clone(), good),
            _ => {}
        }
    }

    /// Reports the load of some time ago.
    async fn load(&self) -> Response<Body> {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let lag_ms = self.state().faults.load_lag_ms;
        sleep(Duration::from_millis(lag_ms)).await;
        json(StatusCode::OK, &value!({ "in_flight": in_flight, "age_ms": lag_ms }))
    }

    /// Carries out an order, unless its fencing number is old and the engine checks it.
    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let body = read_all(request.into_body(), REQUEST_MAX_BYTES).await.unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<Order>(&body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        if order.fencing < state.fencing && !state.faults.ignores_fencing {
            return status(StatusCode::CONFLICT);
        }
        state.fencing = state.fencing.max(order.fencing);
        state.orders.push(order);
        json(StatusCode::OK, &state.orders)
    }

    fn draw(&self, share: f64) -> bool {
        self.state().rng.random_bool(share.clamp(0.0, 1.0))
    }
}

impl Handler for EngineStandin {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.answer(request))
    }
}
