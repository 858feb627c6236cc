//! A model engine that implements an OpenAI-compatible chat completions API.
//!
//! The text of an answer is derived from the last user message, so that a client can verify every
//! token of it, and a truncated answer can be resumed.

mod tokens;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use fescuelock_http::body::{Body, BodySender, read_all};
use fescuelock_http::net::BoxFuture;
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::Handler;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use self::tokens::{hash_prompt, token_event, token_text, usage};
use crate::faults::EngineFaults;
use crate::rating::RatingStandin;
use crate::reply::{json_response, status_response};

/// Number of answer tokens if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Largest accepted request body, in bytes.
const REQUEST_MAX_BYTES: usize = 8 << 20;
/// Approximate number of request bytes per input token.
const BYTES_PER_TOKEN: u64 = 4;
/// Time for which a request that stays unanswered is held open, in milliseconds.
const UNANSWERED_HOLD_MS: u64 = 3_600_000;
/// Time for which a cold engine rejects all requests after an overload, in milliseconds.
const OVERLOAD_RECOVERY_MS: u64 = 1_000;

/// `EngineOptions` configures an engine's name, speed and seed.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// Time to the first token, in microseconds. Defaults to 0.
    pub first_token_us: u64,
    /// Time between two tokens, in microseconds. Defaults to 0.
    pub token_gap_us: u64,
    /// Seed of the engine's randomly injected faults.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions { name: "engine".to_owned(), first_token_us: 0, token_gap_us: 0, seed: 0 }
    }
}

/// `Run` is one execution of a request by an engine or a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Run {
    /// Id of the request from the router's `x-request-id` header.
    pub request: String,
    /// Requested model version, or path of a service call.
    pub target: String,
    /// Number of answer tokens that were generated.
    pub output_tokens: u64,
    /// Whether the whole answer was generated.
    pub finished: bool,
    /// Arrival time of the request.
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
    overloaded_until: Option<Instant>,
    highest_fencing: u64,
    commands: Vec<EngineCommand>,
    rng: ChaCha8Rng,
}

/// `EngineCommand` is a control command to an engine, protected by a fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCommand {
    /// Fencing token of the owner that sends the command.
    pub fencing: u64,
    /// Action that the engine performs.
    pub action: String,
}

/// `EngineReport` holds an engine's counters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineReport {
    /// Requests that were executed.
    pub runs: u64,
    /// Output tokens that were generated.
    pub output_tokens: u64,
    /// Requests that exceeded the concurrency limit of a cold engine.
    pub over_bound: u64,
    /// Largest number of concurrent requests.
    pub in_flight_max: u32,
}

/// `ChatBody` holds the fields of a request body that the engine uses.
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

/// `Completion` is a chat completion in progress.
struct Completion {
    run_index: usize,
    answer_id: String,
    model: String,
    prompt_hash: String,
    first_token: u64,
    end_token: u64,
    input_tokens: u64,
    cut_at_token: Option<u64>,
    pause_at_token: Option<u64>,
    pause_ms: u64,
    cut_cleanly: bool,
    cut_with_marker: bool,
}

/// `InFlightGuard` keeps a request counted as in flight until it is dropped.
struct InFlightGuard {
    engine: Arc<EngineStandin>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.engine.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the text with which an engine answers a prompt, for the given number of tokens.
pub fn answer_text(prompt: &str, tokens: u64) -> String {
    let prompt_hash = hash_prompt(prompt);
    (0..tokens).map(|index| token_text(&prompt_hash, index)).collect()
}

impl EngineStandin {
    /// Creates an engine whose finished answers are sent to the rating service, if there is one.
    pub fn new(options: EngineOptions, rating: Option<Arc<RatingStandin>>) -> Arc<Self> {
        let state = State {
            faults: EngineFaults::default(),
            runs: Vec::new(),
            over_bound: 0,
            in_flight_max: 0,
            overloaded_until: None,
            highest_fencing: 0,
            commands: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let state = Mutex::new(state);
        Arc::new(EngineStandin { options, state, in_flight: AtomicU32::new(0), rating })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state().faults = faults;
    }

    /// Returns all executions, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the engine's counters.
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

    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(request).await,

            (&Method::GET, "/v1/load") => self.load().await,

            (&Method::POST, "/v1/orders") => self.run_command(request).await,

            _ => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn chat(self: Arc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let id = head.headers.get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("-");
        let Ok(body) = read_all(body, REQUEST_MAX_BYTES).await else {
            return status_response(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(chat) = serde_json::from_slice::<ChatBody>(&body) else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let Some(in_flight) = self.admit() else {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        };
        let faults = self.state().faults.clone();
        // A request is recorded on arrival, whether or not it is answered.
        let completion = self.start_completion(id, &chat, &faults, body.len());
        if faults.silent {
            sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        let delay_us = faults.late_ms * 1_000 + self.options.first_token_us;
        if delay_us > 0 {
            sleep(Duration::from_micros(delay_us)).await;
        }
        if faults.lost_answer_share > 0.0 && self.draw_fault(faults.lost_answer_share) {
            self.finish(&completion, completion.end_token - completion.first_token, true);
            sleep(Duration::from_millis(UNANSWERED_HOLD_MS)).await;
        }
        match chat.stream {
            true => self.stream_response(completion, in_flight),
            false => self.complete_response(&completion).await,
        }
    }

    /// Admits a request, or returns `None` if it overloads a cold engine or the engine still
    /// rejects requests after an overload.
    fn admit(self: &Arc<Self>) -> Option<InFlightGuard> {
        let in_flight = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let guard = InFlightGuard { engine: Arc::clone(self) };
        let mut state = self.state();
        state.in_flight_max = state.in_flight_max.max(in_flight);
        let now = Instant::now();
        if state.overloaded_until.is_some_and(|until| now < until) {
            return None;
        }
        match state.faults.cold_bound {
            Some(bound) if in_flight > bound => {
                state.over_bound += 1;
                state.overloaded_until = Some(now + Duration::from_millis(OVERLOAD_RECOVERY_MS));
                None
            }

            _ => Some(guard),
        }
    }

    fn start_completion(
        &self,
        id: &str,
        chat: &ChatBody,
        faults: &EngineFaults,
        body_bytes: usize,
    ) -> Completion {
        let prompt = chat.messages.iter().rfind(|message| message.role == "user");
        let prompt_hash = match faults.crossed {
            true => hash_prompt("another request"),
            false => hash_prompt(prompt.map_or("", |message| message.content.as_str())),
        };
        let continued_tokens = match chat.messages.last() {
            Some(last) if chat.continue_final_message => {
                u64::try_from(last.content.split_whitespace().count()).unwrap_or(0)
            }
            _ => 0,
        };
        let end_token = continued_tokens + chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let mut state = self.state();
        state.runs.push(Run {
            request: id.to_owned(),
            target: chat.model.clone(),
            output_tokens: 0,
            finished: false,
            at: Instant::now(),
        });
        let answer_request_id = if faults.crossed { "0123456789abcdef" } else { id };
        Completion {
            run_index: state.runs.len() - 1,
            answer_id: format!("chatcmpl-{answer_request_id}"),
            model: chat.model.clone(),
            prompt_hash,
            first_token: continued_tokens,
            end_token,
            input_tokens: u64::try_from(body_bytes).unwrap_or(u64::MAX) / BYTES_PER_TOKEN,
            pause_at_token: faults.pause_after_tokens.map(|tokens| continued_tokens + tokens),
            pause_ms: faults.pause_ms,
            cut_at_token: faults
                .cut_after_tokens
                .map(|tokens| continued_tokens + tokens)
                .filter(|&cut| cut < end_token),
            cut_cleanly: faults.cut_cleanly,
            cut_with_marker: faults.cut_with_marker,
        }
    }

    async fn complete_response(&self, completion: &Completion) -> Response<Body> {
        let tokens = completion.end_token - completion.first_token;
        let generation = Duration::from_micros(self.options.token_gap_us * tokens);
        if generation > Duration::ZERO {
            sleep(generation).await;
        }
        self.finish(completion, tokens, true);
        let text: String = (completion.first_token..completion.end_token)
            .map(|index| token_text(&completion.prompt_hash, index))
            .collect();
        let body = json!({
            "id": completion.answer_id,
            "object": "chat.completion",
            "model": completion.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": usage(completion, tokens),
        });
        json_response(StatusCode::OK, &body)
    }

    fn stream_response(
        self: Arc<Self>,
        completion: Completion,
        in_flight: InFlightGuard,
    ) -> Response<Body> {
        let (sender, body) = Body::streamed();
        tokio::spawn(async move {
            // The request stays counted as in flight until the stream ends.
            let _in_flight = in_flight;
            self.generate(completion, sender).await;
        });
        let mut response = Response::new(body);
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    async fn generate(&self, completion: Completion, sender: BodySender) {
        let gap = Duration::from_micros(self.options.token_gap_us);
        let started = Instant::now();
        for index in completion.first_token..completion.end_token {
            if completion.cut_at_token == Some(index) {
                self.finish(&completion, index - completion.first_token, false);
                if completion.cut_with_marker {
                    sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
                }
                return match completion.cut_with_marker || completion.cut_cleanly {
                    true => sender.finish(),
                    false => sender.abort().await,
                };
            }
            // Deadlines are computed from the start, so a late wake-up is followed by a burst of
            // tokens, as in an engine that batches.
            let due =
                started + gap * u32::try_from(index - completion.first_token).unwrap_or(u32::MAX);
            if gap > Duration::ZERO && due > Instant::now() {
                sleep_until(due).await;
            }
            if completion.pause_at_token == Some(index) {
                sleep(Duration::from_millis(completion.pause_ms)).await;
            }
            if !sender.send(token_event(&completion, index)).await {
                self.finish(&completion, index - completion.first_token, false);
                return;
            }
        }
        let tokens = completion.end_token - completion.first_token;
        self.finish(&completion, tokens, true);
        let last = json!({
            "id": completion.answer_id, "object": "chat.completion.chunk", "model": completion.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        });
        let usage = json!({
            "id": completion.answer_id, "object": "chat.completion.chunk", "model": completion.model,
            "choices": [], "usage": usage(&completion, tokens),
        });
        let trailer = format!("data: {last}\n\ndata: {usage}\n\ndata: [DONE]\n\n");
        sender.send(Bytes::from(trailer)).await;
        sender.finish();
    }

    /// Records the generated tokens, counts the answer towards warm-up and has it rated.
    fn finish(&self, completion: &Completion, tokens: u64, finished: bool) {
        let mut state = self.state();
        let run = &mut state.runs[completion.run_index];
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
            Some(rating) if finished => rating.rate(request, completion.model.clone(), good),
            _ => {}
        }
    }

    /// Reports the number of requests in flight, delayed by `load_lag_ms`.
    async fn load(&self) -> Response<Body> {
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        let lag_ms = self.state().faults.load_lag_ms;
        sleep(Duration::from_millis(lag_ms)).await;
        json_response(StatusCode::OK, &json!({ "in_flight": in_flight, "age_ms": lag_ms }))
    }

    /// Performs a command, or rejects it if its fencing token is stale and the engine checks that.
    async fn run_command(&self, request: Request<RequestBody>) -> Response<Body> {
        let body = read_all(request.into_body(), REQUEST_MAX_BYTES).await.unwrap_or_default();
        let Ok(command) = serde_json::from_slice::<EngineCommand>(&body) else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        if command.fencing < state.highest_fencing && !state.faults.ignores_fencing {
            return status_response(StatusCode::CONFLICT);
        }
        state.highest_fencing = state.highest_fencing.max(command.fencing);
        state.commands.push(command);
        json_response(StatusCode::OK, &state.commands)
    }

    fn draw_fault(&self, share: f64) -> bool {
        self.state().rng.random_bool(share.clamp(0.0, 1.0))
    }
}

impl Handler for EngineStandin {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(self.answer(request))
    }
}
