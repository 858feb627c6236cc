//! A caller that checks every byte of its answers.

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

/// Largest answer, in bytes.
const ANSWER_MAX_BYTES: usize = 64 << 20;

/// `Chat` is one chat request.
#[derive(Debug, Clone)]
pub struct Chat {
    /// `auto`, a model or a version.
    pub model: String,
    /// The prompt. It must be unlike all others for a crossed answer to be seen.
    pub prompt: String,
    /// Answer tokens. Defaults to 8.
    pub tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Session header.
    pub session: Option<String>,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time for the whole answer, in milliseconds. Defaults to 60,000.
    pub limit_ms: u64,
}

impl Default for Chat {
    fn default() -> Self {
        Chat {
            model: "auto".to_owned(),
            prompt: String::new(),
            tokens: 8,
            stream: false,
            session: None,
            idempotency_key: None,
            limit_ms: 60_000,
        }
    }
}

/// `Call` is one call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method. Defaults to POST.
    pub method: Method,
    /// The path, with the service's prefix.
    pub path: String,
    /// The body.
    pub body: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Time for the whole answer, in milliseconds. Defaults to 60,000.
    pub limit_ms: u64,
}

impl Default for Call {
    fn default() -> Self {
        Call {
            method: Method::POST,
            path: "/services/booking/orders".to_owned(),
            body: String::new(),
            idempotency_key: None,
            limit_ms: 60_000,
        }
    }
}

/// `Reply` is what came back.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    /// HTTP status, or 0 if none came.
    pub status: u16,
    /// `ran`, `not_run`, `unknown`, or nothing if the connection failed.
    pub outcome: String,
    /// Code of the error, if there was one.
    pub code: String,
    /// Id of the request.
    pub request_id: String,
    /// Version that ran.
    pub version: String,
    /// Session token, if one was given.
    pub session: Option<String>,
    /// Text of the answer, or body of a service's answer.
    pub text: String,
    /// Whether the answer ended with its end marker.
    pub ended: bool,
    /// Whether the text is the one that the prompt asks for.
    pub correct: bool,
    /// Whether the text belongs to another prompt.
    pub foreign: bool,
    /// Whether the answer was stored for an earlier request.
    pub replayed: bool,
    /// Cost in micro-units.
    pub cost_micros: u64,
    /// Time to the first token, in microseconds.
    pub first_token_us: u64,
    /// Time to the end, in microseconds.
    pub total_us: u64,
    /// Answer tokens.
    pub tokens: u64,
}

impl Reply {
    /// Tells whether the whole right answer came.
    pub fn is_ok(&self) -> bool {
        self.status == 200 && self.ended && self.correct
    }
}

/// `Caller` sends requests to one address with one key.
pub struct Caller {
    pool: Pool,
    key: String,
}

impl Caller {
    /// Builds a caller.
    pub fn new(network: SharedNetwork, address: &str, key: &str) -> Self {
        let pool = Pool::new(network, address.to_owned(), PoolOptions::default());
        Caller { pool, key: key.to_owned() }
    }

    /// Sends a chat request and reads its answer.
    pub async fn chat(&self, chat: &Chat) -> Reply {
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
        let Ok(request) = request.body(Body::whole(body.to_string())) else {
            return Reply::default();
        };
        let mut reply = self.exchange(request, chat.stream, chat.limit_ms).await;
        let expected = answer_text(&chat.prompt, chat.tokens);
        reply.correct = reply.status == 200 && reply.text == expected;
        // A cut answer is the beginning of the right one; anything else is someone else's.
        reply.foreign = reply.status == 200 && !expected.starts_with(&reply.text);
        reply
    }

    /// Calls a plain service.
    pub async fn call(&self, call: &Call) -> Reply {
        let mut request = self.request(call.method.clone(), &call.path);
        if let Some(key) = &call.idempotency_key {
            request = request.header(headers::IDEMPOTENCY_KEY, key);
        }
        let Ok(request) = request.body(Body::whole(call.body.clone())) else {
            return Reply::default();
        };
        let mut reply = self.exchange(request, false, call.limit_ms).await;
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

    async fn exchange(&self, request: Request<Body>, stream: bool, limit_ms: u64) -> Reply {
        let started = Instant::now();
        let mut reply = Reply::default();
        let limit = Duration::from_millis(limit_ms);
        // An answer that does not come in time leaves what has come so far.
        let _ = timeout(limit, self.read(request, stream, started, &mut reply)).await;
        reply.total_us = elapsed_us(started);
        reply
    }

    async fn read(
        &self,
        request: Request<Body>,
        stream: bool,
        started: Instant,
        reply: &mut Reply,
    ) -> Option<()> {
        let mut connection =
            self.pool.checkout().await.map_err(|error| note(reply, &error)).ok()?;
        let limit_ms = u64::from(u32::MAX);
        let sent = connection.send(request, limit_ms).await;
        let (head, body) = sent.map_err(|error| note(reply, &error)).ok()?.into_parts();
        reply.status = head.status.as_u16();
        read_headers(&head.headers, reply);
        if stream && head.status.is_success() {
            let mut reader = StreamText::default();
            let mut body = body;
            loop {
                let frame = body.frame().await;
                let Some(Ok(frame)) = frame else {
                    reply.ended = reader.ended && frame.is_none();
                    break;
                };
                let chunk = frame.into_data().unwrap_or_default();
                reader.read(&chunk);
                if reply.first_token_us == 0 && reader.tokens > 0 {
                    reply.first_token_us = elapsed_us(started);
                }
                reply.tokens = reader.tokens;
            }
            reader.finish(reply);
        } else {
            let body = read_all(body, ANSWER_MAX_BYTES).await.ok()?;
            reply.ended = true;
            reply.first_token_us = elapsed_us(started);
            read_whole(&body, reply);
        }
        self.pool.checkin(connection);
        Some(())
    }
}

/// `StreamText` collects the text of a stream.
#[derive(Default)]
struct StreamText {
    buffer: BytesMut,
    text: String,
    tokens: u64,
    ended: bool,
    last: Bytes,
    error: Bytes,
}

impl StreamText {
    fn read(&mut self, chunk: &[u8]) {
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
            self.ended = true;
        } else if memmem::find(&event, b"\"fescuelock\":{").is_some() {
            self.last = event;
        } else if event.starts_with(b"data: {\"error\":") {
            self.error = event;
        }
    }

    fn finish(self, reply: &mut Reply) {
        reply.text = self.text;
        if let Some(last) = event_json(&self.last) {
            reply.cost_micros = last["fescuelock"]["cost_micros"].as_u64().unwrap_or(0);
            reply.outcome = text_of(&last["fescuelock"]["outcome"]);
        }
        if let Some(error) = event_json(&self.error) {
            reply.outcome = text_of(&error["error"]["outcome"]);
            reply.code = text_of(&error["error"]["code"]);
        }
    }
}

/// Notes why no answer came.
fn note(reply: &mut Reply, error: &fescuelock_http::Error) {
    reply.code = error.to_string();
}

fn event_json(event: &[u8]) -> Option<Value> {
    serde_json::from_slice(event.strip_prefix(b"data: ")?).ok()
}

fn read_headers(from: &HeaderMap, reply: &mut Reply) {
    let text =
        |name| from.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    reply.outcome = text(headers::OUTCOME);
    reply.request_id = text(headers::REQUEST_ID);
    reply.version = text(headers::VERSION);
    reply.session = Some(text(headers::SESSION)).filter(|token| !token.is_empty());
    reply.replayed = text(headers::REPLAYED) == "true";
    reply.cost_micros = text(headers::COST_MICROS).parse().unwrap_or(0);
}

fn read_whole(body: &[u8], reply: &mut Reply) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    reply.code = text_of(&value["error"]["code"]);
    reply.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(0);
    reply.text = match value["choices"][0]["message"]["content"].as_str() {
        Some(text) => text.to_owned(),
        None => String::from_utf8_lossy(body).into_owned(),
    };
}

fn text_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
