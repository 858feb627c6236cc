//! Invalid requests are refused with a stable error code and a correct `not_run` outcome.

mod common;

use std::time::Duration;

use common::TestCluster;
use fescuelock_http::net::Network;
use fescuelock_load::caller::{Caller, ChatRequest, ServiceCall};
use fescuelock_load::samples::{CHEAP_ONLY_TEAM, CHEAP_TEAM, GOOD_TEAM, GOOD_VERSION, api_key_of};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends raw bytes to the first node and returns everything it answers within a minute.
async fn send_raw(test_cluster: &TestCluster, bytes: &[u8]) -> String {
    let node = test_cluster.cluster.node(0).expect("the node runs");
    let mut io = test_cluster.network.connect(node.callers_address()).await.expect("connects");
    io.write_all(bytes).await.expect("writes");
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(60), io.read_to_end(&mut answer));
    let _ = read.await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Builds the bytes of a chat request with the given extra headers and body.
fn chat_bytes(headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {}\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        api_key_of(CHEAP_TEAM),
        body.len(),
    )
    .into_bytes()
}

const CHAT_BODY: &str = r#"{"model":"auto","messages":[{"role":"user","content":"x"}]}"#;

/// Asserts that an answer is the given refusal and that the node still serves requests.
async fn assert_refused(test_cluster: &TestCluster, answer: &str, status: u16, code: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.contains("\"not_run\":true"), "{answer}");
    assert!(answer.contains("x-fescuelock-outcome: not_run"), "{answer}");
    assert_eq!(test_cluster.engine_runs().len(), 0);
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&ChatRequest::default()).await;
    assert!(reply.is_ok(), "{reply:?}");
}

#[tokio::test(start_paused = true)]
async fn unknown_key() {
    let test_cluster = TestCluster::start(1, "").await;
    let node = test_cluster.cluster.node(0).expect("the node runs");
    let caller = Caller::new(test_cluster.cluster.network(), node.callers_address(), "wrong");
    let reply = caller.chat(&ChatRequest::default()).await;
    assert_eq!((reply.status, reply.code.as_str()), (401, "unknown_key"));
    assert_eq!(reply.outcome, "not_run");
    assert_eq!(reply.request_id.len(), 32);
}

#[tokio::test(start_paused = true)]
async fn forbidden_model() {
    let test_cluster = TestCluster::start(1, "").await;
    let chat = ChatRequest { model: GOOD_VERSION.to_owned(), ..ChatRequest::default() };
    let reply = test_cluster.caller(0, CHEAP_ONLY_TEAM).chat(&chat).await;
    assert_eq!((reply.status, reply.code.as_str()), (403, "forbidden"));
    assert_eq!(test_cluster.engine_runs().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn unknown_model() {
    let test_cluster = TestCluster::start(1, "").await;
    let chat = ChatRequest { model: "gpt".to_owned(), ..ChatRequest::default() };
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
    assert_eq!((reply.status, reply.code.as_str()), (404, "unknown_model"));
}

#[tokio::test(start_paused = true)]
async fn forbidden_service() {
    let test_cluster = TestCluster::start(1, "").await;
    let reply = test_cluster.caller(0, CHEAP_ONLY_TEAM).call(&ServiceCall::default()).await;
    assert_eq!((reply.status, reply.code.as_str()), (403, "forbidden"));
    assert_eq!(test_cluster.service_runs().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn unlisted_call() {
    let test_cluster = TestCluster::start(1, "").await;
    let call = ServiceCall { method: http::Method::DELETE, ..ServiceCall::default() };
    let reply = test_cluster.caller(0, GOOD_TEAM).call(&call).await;
    assert_eq!((reply.status, reply.code.as_str()), (404, "unknown_path"));
    assert_eq!(test_cluster.service_runs().len(), 0);
}

#[tokio::test(start_paused = true)]
async fn malformed_json() {
    let test_cluster = TestCluster::start(1, "").await;
    for body in ["", "{", "[]", "{\"model\":1}", "{\"model\":\"auto\",\"messages\":[]}"] {
        let answer = send_raw(&test_cluster, &chat_bytes("", body)).await;
        assert!(answer.contains("\"code\":\"malformed_body\""), "{body}: {answer}");
    }
    let answer = send_raw(&test_cluster, &chat_bytes("", "{")).await;
    assert_refused(&test_cluster, &answer, 400, "malformed_body").await;
}

#[tokio::test(start_paused = true)]
async fn oversize_body() {
    let test_cluster = TestCluster::start(1, "").await;
    let body = "x".repeat((1 << 20) + 1);
    let answer = send_raw(&test_cluster, &chat_bytes("", &body)).await;
    assert_refused(&test_cluster, &answer, 413, "body_too_large").await;
}

#[tokio::test(start_paused = true)]
async fn many_headers() {
    let test_cluster = TestCluster::start(1, "").await;
    let headers: String = (0..80).map(|index| format!("x-{index}: 1\r\n")).collect();
    let answer = send_raw(&test_cluster, &chat_bytes(&headers, CHAT_BODY)).await;
    assert_refused(&test_cluster, &answer, 431, "too_many_headers").await;
}

#[tokio::test(start_paused = true)]
async fn header_flood() {
    let test_cluster = TestCluster::start(1, "").await;
    let headers: String = (0..400).map(|index| format!("x-{index}: 1\r\n")).collect();
    let answer = send_raw(&test_cluster, &chat_bytes(&headers, CHAT_BODY)).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&ChatRequest::default()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn slow_body() {
    let test_cluster = TestCluster::start(1, "").await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{\"model\"",
        api_key_of(CHEAP_TEAM)
    );
    let answer = send_raw(&test_cluster, head.as_bytes()).await;
    assert_refused(&test_cluster, &answer, 408, "body_timeout").await;
}

#[tokio::test(start_paused = true)]
async fn slow_headers() {
    let test_cluster = TestCluster::start(1, "").await;
    // The node may close the connection without an answer, as the request head is incomplete.
    let answer = send_raw(&test_cluster, b"POST /v1/chat/completions HTTP/1.1\r\nhost:").await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&ChatRequest::default()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn malformed_session() {
    let test_cluster = TestCluster::start(1, "").await;
    for session in ["old", "fs1.sample.00.00", "fs1.other.00.00", "fs1.."] {
        let headers = format!("x-fescuelock-session: {session}\r\n");
        let answer = send_raw(&test_cluster, &chat_bytes(&headers, CHAT_BODY)).await;
        assert!(answer.contains("\"code\":\"malformed_session\""), "{session}: {answer}");
    }
}

#[tokio::test(start_paused = true)]
async fn malformed_quality() {
    let test_cluster = TestCluster::start(1, "").await;
    for quality in ["2", "-1", "NaN", "good"] {
        let headers = format!("x-fescuelock-quality: {quality}\r\n");
        let answer = send_raw(&test_cluster, &chat_bytes(&headers, CHAT_BODY)).await;
        assert!(answer.contains("\"code\":\"malformed_header\""), "{quality}: {answer}");
    }
}

#[tokio::test(start_paused = true)]
async fn broken_http() {
    let test_cluster = TestCluster::start(1, "").await;
    let answer = send_raw(&test_cluster, b"\x00\x01\x02 nonsense\r\n\r\n").await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(test_cluster.caller(0, CHEAP_TEAM).chat(&ChatRequest::default()).await.is_ok());
}
