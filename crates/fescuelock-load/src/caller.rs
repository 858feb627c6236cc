//! An HTTP client that verifies the whole text of every answer.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use fescuelock_callers::headers;
use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::pool::{Pool, PoolOptions};
use fescuelock_standin::engine::answer_text;
use http::{HeaderMap, Method, Request, header};
use http_body_util::BodyExt;
use memchr::memmem;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};

/// Largest accepted answer that is not streamed, in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// `ChatRequest` is a chat completion request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Requested model: `auto`, a model or a version.
    pub model: String,
    /// The prompt. It must be unique, so that an answer to another request is detected.
    pub prompt: String,
    /// Number of answer tokens. Defaults to 8.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Value of the session header: `new` or a session token.
    pub session: Option<String>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time for the whole answer, in milliseconds. Defaults to 60,000.
    pub timeout_ms: u64,
}

impl Default for ChatRequest {
    fn default() -> Self {
        ChatRequest {
            model: "auto".to_owned(),
            prompt: String::new(),
            tokens: 8,
            stream: false,
            session: None,
            idempotency_key: None,
            timeout_ms: 60_000,
        }
    }
}

/// `ServiceCall` is a call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method. Defaults to POST.
    pub method: Method,
    /// Path, including the prefix of the service.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time for the whole answer, in milliseconds. Defaults to 60,000.
    pub timeout_ms: u64,
}

impl Default for ServiceCall {
    fn default() -> Self {
        ServiceCall {
            method: Method::POST,
            path: "/services/booking/orders".to_owned(),
            body: String::new(),
            idempotency_key: None,
            timeout_ms: 60_000,
        }
    }
}

/// `Reply` is the answer to a request, or what was received of it.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// HTTP status, or 0 if no response was received.
    pub status: u16,
    /// `ran`, `not_run`, `unknown`, or empty if no response was received.
    pub outcome: String,
    /// Error code, text of a connection error, or empty.
    pub code: String,
    /// Id of the request.
    pub request_id: String,
    /// Model version that answered.
    pub version: String,
    /// Session token, if the router returned one.
    pub session: Option<String>,
    /// Text of a chat answer, or body of a service's answer.
    pub text: String,
    /// Whether the answer was complete: the whole body, or a stream up to its `[DONE]` marker.
    pub complete: bool,
    /// Whether the text is the expected answer to the prompt.
    pub correct: bool,
    /// Whether the text is not even a prefix of the expected answer, so belongs to another request.
    pub is_misdelivered: bool,
    /// Whether the answer is a replay of the result of an earlier request with the same key.
    pub replayed: bool,
    /// Time after which the router asks the caller to come back, in seconds.
    pub retry_after_s: Option<u64>,
    /// Cost, in millionths of the currency unit.
    pub cost_micros: u64,
    /// Time to the first token, in microseconds.
    pub first_token_us: u64,
    /// Time to the end of the answer, in microseconds.
    pub total_us: u64,
    /// Number of answer tokens.
    pub tokens: u64,
}

impl Reply {
    /// Returns whether the complete and correct answer was received.
    pub fn is_ok(&self) -> bool {
        self.status == 200 && self.complete && self.correct
    }
}

/// `Caller` is a client that sends requests to one address with one API key.
pub struct Caller {
    pool: Pool,
    key: String,
}

impl Caller {
    /// Creates a caller with its own connection pool.
    pub fn new(network: SharedNetwork, address: &str, key: &str) -> Self {
        let pool = Pool::new(network, address.to_owned(), PoolOptions::default());
        Caller { pool, key: key.to_owned() }
    }

    /// Sends a chat request, reads its answer and verifies it.
    pub async fn chat(&self, chat: &ChatRequest) -> Reply {
        let body = json!({
            "model": chat.model,
            "messages": [{ "role": "user", "content": chat.prompt }],
            "max_tokens": chat.tokens,
            "stream": chat.stream,
        });
        let mut request = self
            .request(Method::POST, "/v1/chat/completions")
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(session) = &chat.session {
            request = request.header(headers::SESSION, session);
        }
        if let Some(key) = &chat.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        let Ok(request) = request.body(Body::buffered(body.to_string())) else {
            return Reply::default();
        };
        let mut reply = self.send_with_timeout(request, chat.stream, chat.timeout_ms).await;
        let expected = answer_text(&chat.prompt, chat.tokens);
        reply.correct = reply.status == 200 && reply.text == expected;
        // A truncated answer is a prefix of the expected text; any other text is misdelivered.
        reply.is_misdelivered = reply.status == 200 && !expected.starts_with(&reply.text);
        reply
    }

    /// Calls a plain service and reads its answer.
    pub async fn call(&self, call: &ServiceCall) -> Reply {
        let mut request = self.request(call.method.clone(), &call.path);
        if let Some(key) = &call.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        let Ok(request) = request.body(Body::buffered(call.body.clone())) else {
            return Reply::default();
        };
        let mut reply = self.send_with_timeout(request, false, call.timeout_ms).await;
        reply.correct = reply.status == 200;
        reply
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.pool.address())
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
    }

    async fn send_with_timeout(
        &self,
        request: Request<Body>,
        stream: bool,
        timeout_ms: u64,
    ) -> Reply {
        let started = Instant::now();
        let mut reply = Reply::default();
        let limit = Duration::from_millis(timeout_ms);
        // After a timeout the reply holds what was received until then.
        let _ = timeout(limit, self.send_and_read(request, stream, started, &mut reply)).await;
        reply.total_us = elapsed_us(started);
        reply
    }

    async fn send_and_read(
        &self,
        request: Request<Body>,
        stream: bool,
        started: Instant,
        reply: &mut Reply,
    ) -> Option<()> {
        let mut connection =
            self.pool.checkout().await.map_err(|error| record_error(reply, &error)).ok()?;
        let timeout_ms = u64::from(u32::MAX);
        let sent = connection.send(request, timeout_ms).await;
        let (head, body) = sent.map_err(|error| record_error(reply, &error)).ok()?.into_parts();
        reply.status = head.status.as_u16();
        copy_headers(&head.headers, reply);
        if stream && head.status.is_success() {
            let mut parser = StreamParser::default();
            let mut body = body;
            loop {
                let frame = body.frame().await;
                let Some(Ok(frame)) = frame else {
                    reply.complete = parser.complete && frame.is_none();
                    break;
                };
                let chunk = frame.into_data().unwrap_or_default();
                parser.push(&chunk);
                if reply.first_token_us == 0 && parser.tokens > 0 {
                    reply.first_token_us = elapsed_us(started);
                }
                reply.tokens = parser.tokens;
            }
            parser.fill_reply(reply);
        } else {
            let body = read_all(body, ANSWER_MAX_BYTES).await.ok()?;
            reply.complete = true;
            reply.first_token_us = elapsed_us(started);
            read_json_body(&body, reply);
        }
        self.pool.checkin(connection);
        Some(())
    }
}

/// `StreamParser` parses the server-sent events of a streamed answer and collects its text.
#[derive(Default)]
struct StreamParser {
    buffer: BytesMut,
    text: String,
    tokens: u64,
    complete: bool,
    metadata_event: Bytes,
    error_event: Bytes,
}

impl StreamParser {
    fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
        while let Some(end) = memmem::find(&self.buffer, b"\n\n") {
            let event = self.buffer.split_to(end + 2).freeze();
            self.read_event(event);
        }
    }

    fn read_event(&mut self, event: Bytes) {
        const CONTENT: &[u8] = b"\"content\":\"";
        if let Some(start) = memmem::find(&event, CONTENT) {
            let text = &event[start + CONTENT.len()..];
            let end = memchr::memchr(b'"', text).unwrap_or(text.len());
            self.text.push_str(&String::from_utf8_lossy(&text[..end]));
            self.tokens += 1;
        } else if event.starts_with(b"data: [DONE]") {
            self.complete = true;
        } else if memmem::find(&event, b"\"fescuelock\":{").is_some() {
            self.metadata_event = event;
        } else if event.starts_with(b"data: {\"error\":") {
            self.error_event = event;
        }
    }

    fn fill_reply(self, reply: &mut Reply) {
        reply.text = self.text;
        if let Some(metadata) = event_json(&self.metadata_event) {
            reply.cost_micros = metadata["fescuelock"]["cost_micros"].as_u64().unwrap_or(0);
            reply.outcome = string_or_empty(&metadata["fescuelock"]["outcome"]);
        }
        if let Some(error) = event_json(&self.error_event) {
            reply.outcome = string_or_empty(&error["error"]["outcome"]);
            reply.code = string_or_empty(&error["error"]["code"]);
        }
    }
}

/// Records a connection error as the reply's code.
fn record_error(reply: &mut Reply, error: &fescuelock_http::Error) {
    reply.code = error.to_string();
}

fn event_json(event: &[u8]) -> Option<Value> {
    serde_json::from_slice(event.strip_prefix(b"data: ")?).ok()
}

fn copy_headers(response_headers: &HeaderMap, reply: &mut Reply) {
    let text = |name| {
        response_headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    reply.outcome = text(headers::OUTCOME);
    reply.request_id = text(headers::REQUEST_ID);
    reply.version = text(headers::VERSION);
    reply.session = Some(text(headers::SESSION)).filter(|token| !token.is_empty());
    reply.replayed = text(headers::REPLAYED) == "true";
    reply.retry_after_s = text(header::RETRY_AFTER.as_str()).parse().ok();
    reply.cost_micros = text(headers::COST_MICROS).parse().unwrap_or(0);
}

fn read_json_body(body: &[u8], reply: &mut Reply) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    reply.code = string_or_empty(&value["error"]["code"]);
    reply.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(0);
    reply.text = match value["choices"][0]["message"]["content"].as_str() {
        Some(text) => text.to_owned(),
        None => String::from_utf8_lossy(body).into_owned(),
    };
}

fn string_or_empty(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
