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
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
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

/// Starts a server and returns its address.
async fn start(version: HttpVersion) -> String {
    let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
    let address = listener.address();
    let tasks = TaskGroup::default();
    let server = Server {
        options: ServerOptions { version, ..ServerOptions::default() }.shared(),
        tasks: tasks.clone(),
        stop: CancellationToken::new(),
    };
    tasks.spawn(server.run(listener, Arc::new(Streaming)));
    address
}

/// Returns the body of a response, or `None` if it was incomplete.
async fn fetch(version: HttpVersion, path: &str) -> Option<Bytes> {
    let address = start(version).await;
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

/// Without chunks, the end of the connection made a cut body look complete.
#[tokio::test]
async fn cut_without_chunks() {
    let address = start(HttpVersion::Http1).await;
    for (path, status, end) in [
        ("/abort", "502", "\r\n\r\n"),
        ("/drop", "502", "\r\n\r\n"),
        ("/finish", "200", "chunkchunkchunk"),
    ] {
        let mut stream = TcpStream::connect(&address).await.expect("connect to the server");
        let request = format!("GET {path} HTTP/1.0\r\nhost: x\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("the server reads");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("the server answers");
        let is_expected = text.starts_with(&format!("HTTP/1.0 {status}")) && text.ends_with(end);
        assert!(is_expected, "{path}: {text:?}");
    }
}
