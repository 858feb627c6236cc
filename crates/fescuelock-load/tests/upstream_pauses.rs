//! Upstreams that turn requests away with a Retry-After, behind the product's own front.

mod common;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use common::TestCluster;
use fescuelock_load::caller::{ChatRequest, Reply};
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{CHEAP_TEAM, CHEAP_VERSION, SampleOptions, rule, rules};
use fescuelock_standin::scripted::{ScriptedRequest, ScriptedServer, Step};
use tokio::time::{Instant, sleep};

/// `Arrivals` holds the engine and the time of each request, in milliseconds.
type Arrivals = Arc<Mutex<Vec<(usize, u64)>>>;

/// `Fixture` is a node with engines that follow a script.
struct Fixture {
    test_cluster: TestCluster,
    arrivals: Arrivals,
    started: Instant,
}

fn answer(request: &ScriptedRequest) -> Step {
    let id = request.header("x-request-id");
    let message = r#""message":{"role":"assistant","content":"a"},"finish_reason":"stop""#;
    let usage = r#""usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}"#;
    let body = format!(r#"{{"id":"chatcmpl-{id}","choices":[{{"index":0,{message}}}],{usage}}}"#);
    Step::Write(format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()))
}

fn turn_away(retry_after: &str) -> Step {
    let status = "HTTP/1.1 503 Service Unavailable";
    Step::Write(format!("{status}\r\nretry-after: {retry_after}\r\ncontent-length: 0\r\n\r\n"))
}

impl Fixture {
    /// Starts engines. `script` returns an answer by the engine and the number of its requests before.
    async fn start(
        engines: usize,
        script: impl Fn(usize, usize, &ScriptedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Fixture {
        let sample = SampleOptions { engines: 0, ..SampleOptions::default() };
        let options =
            ClusterOptions { nodes: 1, rules: rules(&sample), ..ClusterOptions::default() };
        let test_cluster = TestCluster::start_with(options).await;
        let (script, arrivals, started) = (Arc::new(script), Arrivals::default(), Instant::now());
        let mut added = String::new();
        for engine in 0..engines {
            let address = format!("127.0.0.1:{}", 18_001 + engine);
            let (script, recorded) = (Arc::clone(&script), Arc::clone(&arrivals));
            let server = ScriptedServer::start(&*test_cluster.network, &address, move |request| {
                let mut arrivals = recorded.lock().unwrap_or_else(PoisonError::into_inner);
                let earlier = arrivals.iter().filter(|(other, _)| *other == engine).count();
                let at_ms = started.elapsed().as_millis() as u64;
                arrivals.push((engine, at_ms));
                script(engine, earlier, request)
            });
            server.await.expect("the address is free");
            let place = format!("zone=zone-0 address={address}");
            added.push_str(&rule(&format!("upstream e-{engine} {place} serves={CHEAP_VERSION}")));
        }
        test_cluster.edit(|text| format!("{text}{added}")).await;
        Fixture { test_cluster, arrivals, started }
    }

    async fn chat(&self) -> Reply {
        self.test_cluster.caller(0, CHEAP_TEAM).chat(&ChatRequest::default()).await
    }

    /// Returns the times at which an engine got requests, in milliseconds.
    fn arrivals_ms(&self, engine: usize) -> Vec<u64> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.iter().filter(|(other, _)| *other == engine).map(|(_, at_ms)| *at_ms).collect()
    }
}

/// An engine that wanted no requests for a while got one each second.
#[tokio::test(start_paused = true)]
async fn nothing_until_then() {
    let fixture = Fixture::start(2, |engine, earlier, request| match (engine, earlier) {
        (0, 0) => vec![turn_away("10")],
        _ => vec![answer(request)],
    })
    .await;
    for _ in 0..400 {
        let reply = fixture.chat().await;
        assert_eq!((reply.status, reply.text.as_str()), (200, "a"), "{reply:?}");
        sleep(Duration::from_millis(100)).await;
    }
    let times = fixture.arrivals_ms(0);
    assert!(times.len() > 10, "{times:?}");
    assert!(times[1] - times[0] >= 10_000, "{times:?}");
    assert!(times[1] - times[0] < 14_000, "{times:?}");
    let node = fixture.test_cluster.cluster.node(0).expect("the node runs");
    let counters = node.status().counters;
    assert_eq!((counters["pauses"], counters["pauses.ended"]), (1, 1));
    assert_eq!(counters.get("upstream.failures").copied().unwrap_or(0), 0);
}

/// Requests that no engine would take were sent in vain, and callers were not told when to return.
#[tokio::test(start_paused = true)]
async fn refused_at_once() {
    let fixture = Fixture::start(1, |_, earlier, request| match earlier {
        0 => vec![turn_away("10.5")],
        _ => vec![answer(request)],
    })
    .await;
    // It may have run.
    assert_eq!(fixture.chat().await.outcome, "unknown");
    sleep(Duration::from_millis(2_000)).await;
    let before = Instant::now();
    let reply = fixture.chat().await;
    assert!(before.elapsed() < Duration::from_millis(100), "{:?}", before.elapsed());
    let refused = (reply.status, reply.code.as_str(), reply.outcome.as_str());
    assert_eq!(refused, (503, "overloaded", "not_run"), "{reply:?}");
    let retry_after_s = reply.retry_after_s.expect("the time is stated");
    assert!((9..=11).contains(&retry_after_s), "{retry_after_s}");
    assert_eq!(fixture.arrivals_ms(0).len(), 1);
    sleep(Duration::from_secs(retry_after_s)).await;
    assert_eq!(fixture.chat().await.status, 200, "{:?}", fixture.started.elapsed());
}

/// All requests that had waited arrived at once when an engine took requests again.
#[tokio::test(start_paused = true)]
async fn returns_step_by_step() {
    let fixture = Fixture::start(1, |_, earlier, request| match earlier {
        0 => vec![turn_away("5")],
        _ => vec![Step::Pause(200), answer(request)],
    })
    .await;
    fixture.chat().await;
    sleep(Duration::from_millis(6_000)).await;
    let mut served = Vec::new();
    for _ in 0..3 {
        let chats = (0..10).map(|_| {
            let caller = fixture.test_cluster.caller(0, CHEAP_TEAM);
            tokio::spawn(async move { caller.chat(&ChatRequest::default()).await.status })
        });
        let chats: Vec<_> = chats.collect();
        let mut answered = 0;
        for chat in chats {
            answered += usize::from(chat.await.expect("the caller ends") == 200);
        }
        served.push(answered);
    }
    assert_eq!(served, [1, 2, 4]);
}

/// A 503 without an id on a reused connection may belong to an earlier request. The next one, on a
/// new connection, begins the pause.
#[tokio::test(start_paused = true)]
async fn reused_connection() {
    let fixture = Fixture::start(1, |_, earlier, request| match earlier {
        0 => vec![answer(request)],
        _ => vec![turn_away("10")],
    })
    .await;
    let mut outcomes = Vec::new();
    for _ in 0..4 {
        outcomes.push(fixture.chat().await.outcome);
    }
    assert_eq!(outcomes, ["ran", "unknown", "unknown", "not_run"]);
    assert_eq!(fixture.arrivals_ms(0).len(), 3);
}

/// Other values than a positive number of seconds ask for no pause.
#[tokio::test(start_paused = true)]
async fn no_pause_asked() {
    for retry_after in ["0", "-1", "soon", "Fri, 01 Jan 2027 00:00:00 GMT"] {
        let fixture = Fixture::start(1, move |_, earlier, request| match earlier {
            0 => vec![turn_away(retry_after)],
            _ => vec![answer(request)],
        })
        .await;
        fixture.chat().await;
        assert_eq!(fixture.chat().await.status, 200, "{retry_after}");
    }
}
