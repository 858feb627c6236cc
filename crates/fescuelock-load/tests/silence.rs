//! An engine that falls silent within a stream and goes on.

mod common;

use common::TestCluster;
use fescuelock_load::caller::ChatRequest;
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{CHEAP_TEAM, CHEAP_VERSION, SampleOptions, rule, rules};
use fescuelock_standin::scripted::{ScriptedRequest, ScriptedServer, Step};

/// Address of the engine.
const ADDRESS: &str = "127.0.0.1:18001";

/// Longer than the idle timeout of a stream, in milliseconds.
const SILENCE_MS: u64 = 20_000;

fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Streams two tokens with a silence between them.
fn fall_silent(request: &ScriptedRequest) -> Vec<Step> {
    let id = request.header("x-request-id");
    let token = |finish: &str| {
        let delta = r#""delta":{"content":"a"}"#;
        let choice = format!(r#"{{"index":0,{delta},"finish_reason":{finish}}}"#);
        chunk(&format!("data: {{\"id\":\"chatcmpl-{id}\",\"choices\":[{choice}]}}\n\n"))
    };
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    vec![
        Step::Write(head.to_owned()),
        token("null"),
        Step::Pause(SILENCE_MS),
        token("\"stop\""),
        chunk("data: [DONE]\n\n"),
        Step::Write("0\r\n\r\n".to_owned()),
    ]
}

/// A stream was cut because its engine was silent, though there was no other engine and it went on.
#[tokio::test(start_paused = true)]
async fn only_engine_silent() {
    let sample = SampleOptions { engines: 0, ..SampleOptions::default() };
    let options = ClusterOptions { nodes: 1, rules: rules(&sample), ..ClusterOptions::default() };
    let test_cluster = TestCluster::start_with(options).await;
    let server = ScriptedServer::start(&*test_cluster.network, ADDRESS, fall_silent).await;
    let _server = server.expect("the address is free");
    let engine = format!("upstream silent zone=zone-0 address={ADDRESS} serves={CHEAP_VERSION}");
    test_cluster.edit(|text| format!("{text}{}", rule(&engine))).await;
    let chat = ChatRequest { stream: true, ..ChatRequest::default() };
    let reply = test_cluster.caller(0, CHEAP_TEAM).chat(&chat).await;
    assert!(reply.complete && reply.text == "aa", "{reply:?}");
}
