//! Streams whose engines fall silent and break off, or send their finish reason before.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::TestCluster;
use fescuelock_load::caller::{ChatRequest, Reply};
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{CHEAP_TEAM, CHEAP_VERSION, SampleOptions, rule, rules};
use fescuelock_standin::scripted::{ScriptedRequest, ScriptedServer, Step};

/// Time until an engine goes on that is waited for in vain, in milliseconds.
const LONG_MS: u64 = 500_000;

fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn head() -> Step {
    let lines = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                 transfer-encoding: chunked\r\n\r\n";
    Step::Write(lines.to_owned())
}

fn token(request: &ScriptedRequest, finish_reason: &str) -> Step {
    let id = request.header("x-request-id");
    let delta = r#""delta":{"content":"a"}"#;
    let choice = format!(r#"{{"index":0,{delta},"finish_reason":{finish_reason}}}"#);
    chunk(&format!("data: {{\"id\":\"chatcmpl-{id}\",\"choices\":[{choice}]}}\n\n"))
}

fn done() -> Step {
    Step::Write("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n".to_owned())
}

/// Streams through three engines. `script` returns the steps of an answer by the number of requests
/// before. Returns the reply, the number of requests and the failures of engines that were counted.
async fn stream(
    script: impl Fn(usize, &ScriptedRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (Reply, usize, u64) {
    let sample = SampleOptions { engines: 0, ..SampleOptions::default() };
    let options = ClusterOptions { nodes: 1, rules: rules(&sample), ..ClusterOptions::default() };
    let test_cluster = TestCluster::start_with(options).await;
    let (script, requests) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
    let mut engines = String::new();
    for port in 18_001..18_004 {
        let address = format!("127.0.0.1:{port}");
        let (script, requests) = (Arc::clone(&script), Arc::clone(&requests));
        let server = ScriptedServer::start(&*test_cluster.network, &address, move |request| {
            script(requests.fetch_add(1, Ordering::Relaxed), request)
        });
        server.await.expect("the address is free");
        let engine = format!("upstream e-{port} zone=zone-0 address={address} serves=");
        engines.push_str(&rule(&format!("{engine}{CHEAP_VERSION}")));
    }
    test_cluster.edit(|text| format!("{text}{engines}")).await;
    let chat = ChatRequest { stream: true, timeout_ms: 600_000, ..ChatRequest::default() };
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
    let status = test_cluster.cluster.node(0).expect("the node runs").status();
    let failures = status.counters.get("upstream.failures").copied().unwrap_or(0);
    (reply, requests.load(Ordering::Relaxed), failures)
}

/// A stream broke off with its silent engine, although another one had been asked and went on.
#[tokio::test(start_paused = true)]
async fn second_left() {
    let (reply, requests, failures) = stream(|earlier, request| match earlier {
        0 => vec![head(), token(request, "null"), Step::Pause(18_000), Step::Close],
        _ => vec![Step::Pause(5_000), head(), token(request, "\"stop\""), done()],
    })
    .await;
    assert!(reply.complete && reply.text == "aa", "{reply:?}");
    assert_eq!((requests, failures), (2, 1));
}

/// A second engine that sent no more than its head kept the stream from a third one.
#[tokio::test(start_paused = true)]
async fn silent_after_head() {
    let (reply, requests, _) = stream(|earlier, request| match earlier {
        0 => vec![head(), token(request, "null"), Step::Pause(LONG_MS)],
        1 => vec![head(), Step::Pause(LONG_MS)],
        _ => vec![head(), token(request, "\"stop\""), done()],
    })
    .await;
    assert!(reply.complete && reply.text == "aa", "{reply:?}");
    assert_eq!((requests, reply.total_us / 1_000_000), (3, 30));
}

/// A second engine was used that sent the answer to another request, and the first one was dropped.
#[tokio::test(start_paused = true)]
async fn foreign_rest() {
    let (reply, _, _) = stream(|earlier, request| match earlier {
        0 => vec![
            head(),
            token(request, "null"),
            Step::Pause(20_000),
            token(request, "\"stop\""),
            done(),
        ],
        // Without the id of its request.
        _ => {
            let other = ScriptedRequest { head: String::new(), ..request.clone() };
            vec![head(), token(&other, "null"), Step::Pause(LONG_MS)]
        }
    })
    .await;
    assert!(reply.complete && reply.text == "aa", "{reply:?}");
}

/// A second engine went on with an answer that was finished, and the caller got it twice.
#[tokio::test(start_paused = true)]
async fn finished_answer() {
    let (reply, requests, failures) =
        stream(|_, request| vec![head(), token(request, "\"stop\""), Step::Pause(20_000), done()])
            .await;
    assert!(reply.complete && reply.text == "a", "{reply:?}");
    assert_eq!((requests, failures), (1, 0));
}

/// The end of a finished answer waited until the engine closed its response.
#[tokio::test(start_paused = true)]
async fn held_at_end() {
    let end = "e\r\ndata: [DONE]\n\n\r\n".to_owned();
    let (reply, requests, failures) = stream(move |_, request| {
        vec![head(), token(request, "\"stop\""), Step::Write(end.clone()), Step::Pause(LONG_MS)]
    })
    .await;
    assert!(reply.complete && reply.text == "a", "{reply:?}");
    assert_eq!((requests, failures), (1, 0));
    assert!(reply.total_us < 1_000_000, "the answer took {} us", reply.total_us);
}
