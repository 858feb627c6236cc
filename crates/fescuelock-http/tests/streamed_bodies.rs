//! A streamed body is complete only if its sender says so.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::body::{Body, BodySender, read_all};
use fescuelock_http::net::{BoxFuture, Network, TcpNetwork};
use fescuelock_http::pool::{HttpVersion, Pool, PoolOptions};
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, Server, ServerOptions};
use http::{Request, Response};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Time between the chunks of a body, in milliseconds.
const CHUNK_INTERVAL_MS: u64 = 20;

/// `Streaming` streams bodies that end as the path says.
struct Streaming;

/// Sends chunks and ends the body as the path says.
async fn stream(path: String, sender: BodySender) {
    for _ in 0..3 {
        assert!(sender.send(Bytes::from_static(b"chunk")).await);
        sleep(Duration::from_millis(CHUNK_INTERVAL_MS)).await;
    }
    match path.as_str() {
        "/finish" => sender.finish(),
        "/abort" => sender.abort().await,
        "/panic" => panic!("the task of a stream panics"),
        "/cancel" => std::future::pending().await,
        _ => drop(sender),
    }
}

impl Handler for Streaming {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let (sender, body) = Body::streamed();
            let task = tokio::spawn(stream(request.uri().path().to_owned(), sender));
            tokio::spawn(async move {
                sleep(Duration::from_millis(10 * CHUNK_INTERVAL_MS)).await;
                task.abort();
            });
            Response::new(body)
        })
    }
}

/// Returns the body of a response, or `None` if it was incomplete.
async fn fetch(version: HttpVersion, path: &str) -> Option<Bytes> {
    let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
    let address = listener.address();
    let tasks = TaskGroup::default();
    let server = Server {
        options: ServerOptions { version, ..ServerOptions::default() }.shared(),
        tasks: tasks.clone(),
        stop: CancellationToken::new(),
    };
    tasks.spawn(server.run(listener, Arc::new(Streaming)));
    let options = PoolOptions { version, ..PoolOptions::default() };
    let pool = Pool::new(TcpNetwork::shared(), address, options);
    let mut connection = pool.open().await.expect("connect to the server");
    let request =
        Request::get(format!("http://x{path}")).body(Body::empty()).expect("build a request");
    let response = connection.send(request, 2_000).await.expect("receive a response");
    let reading = read_all(response.into_body(), 1_000);
    timeout(Duration::from_secs(2), reading).await.expect("the body ends").ok()
}

#[tokio::test]
async fn cut_looks_complete() {
    for version in [HttpVersion::Http1, HttpVersion::Http2] {
        for path in ["/abort", "/drop", "/panic", "/cancel"] {
            assert_eq!(fetch(version, path).await, None, "{version:?} {path}");
        }
    }
}

#[tokio::test]
async fn end_looks_cut() {
    for version in [HttpVersion::Http1, HttpVersion::Http2] {
        let body = fetch(version, "/finish").await;
        assert_eq!(body.as_deref(), Some(b"chunkchunkchunk".as_slice()), "{version:?}");
    }
}
