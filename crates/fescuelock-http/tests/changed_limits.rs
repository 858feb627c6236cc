//! Open connections follow the limits that are in force, not those under which they were accepted.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::body::Body;
use fescuelock_http::net::{BoxFuture, Network, TcpNetwork};
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, Server, ServerOptions, SharedOptions};
use http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// `Answering` answers each request.
struct Answering;

impl Handler for Answering {
    fn handle(self: Arc<Self>, _: Request<RequestBody>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { Response::new(Body::buffered("answer")) })
    }
}

/// `Connection` is a connection on which a request has been answered.
struct Connection {
    stream: TcpStream,
    options: SharedOptions,
}

impl Connection {
    async fn open(options: ServerOptions) -> Self {
        let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
        let stream = TcpStream::connect(listener.address()).await.expect("connect to the server");
        let (options, tasks) = (options.shared(), TaskGroup::default());
        let (shared, stop) = (Arc::clone(&options), CancellationToken::new());
        let server = Server { options: shared, tasks: tasks.clone(), stop };
        tasks.spawn(server.run(listener, Arc::new(Answering)));
        let mut connection = Connection { stream, options };
        assert!(connection.request(10).await.starts_with("HTTP/1.1 200"));
        connection
    }

    /// Sends a request with a head of about `head_bytes` and returns the response head.
    async fn request(&mut self, head_bytes: usize) -> String {
        let head = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "x".repeat(head_bytes));
        if self.stream.write_all(head.as_bytes()).await.is_err() {
            return "closed while writing".to_owned();
        }
        let mut received = vec![0; 1_024];
        let reading = timeout(Duration::from_secs(2), self.stream.read(&mut received));
        match reading.await.expect("a response or a close") {
            Ok(0) => "closed".to_owned(),
            Ok(read_bytes) => String::from_utf8_lossy(&received[..read_bytes]).into_owned(),
            Err(error) => error.to_string(),
        }
    }

    fn set(&self, options: ServerOptions) {
        self.options.store(Arc::new(options));
    }
}

fn idle_limit(header_timeout_ms: u64) -> ServerOptions {
    ServerOptions { header_timeout_ms, ..ServerOptions::default() }
}

fn head_limit(head_max_bytes: usize) -> ServerOptions {
    ServerOptions { head_max_bytes, ..ServerOptions::default() }
}

#[tokio::test]
async fn closed_inside_raised_idle_limit() {
    let mut connection = Connection::open(idle_limit(400)).await;
    connection.set(idle_limit(3_000));
    sleep(Duration::from_millis(900)).await;
    let response = connection.request(10).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    // A second change while the connection is idle counts as well.
    sleep(Duration::from_millis(200)).await;
    connection.set(idle_limit(60_000));
    sleep(Duration::from_millis(3_300)).await;
    let response = connection.request(10).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn idle_forever() {
    let mut connection = Connection::open(idle_limit(400)).await;
    sleep(Duration::from_millis(900)).await;
    let response = connection.request(10).await;
    assert!(response.starts_with("closed"), "{response}");
}

/// A limit that is lowered applies to the next idle time. The caller may not know it yet.
#[tokio::test]
async fn closed_by_lowered_idle_limit() {
    let mut connection = Connection::open(idle_limit(1_500)).await;
    connection.set(idle_limit(100));
    sleep(Duration::from_millis(700)).await;
    let response = connection.request(10).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    sleep(Duration::from_millis(700)).await;
    let response = connection.request(10).await;
    assert!(response.starts_with("closed"), "{response}");
}

#[tokio::test]
async fn raised_head_limit() {
    let mut connection = Connection::open(head_limit(10_000)).await;
    connection.set(head_limit(60_000));
    let response = connection.request(50_000).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[tokio::test]
async fn lowered_head_limit() {
    let mut connection = Connection::open(head_limit(60_000)).await;
    connection.set(head_limit(10_000));
    let response = connection.request(50_000).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
}

#[tokio::test]
async fn oversize_head() {
    for head_bytes in [30_000, 400_000] {
        let mut connection = Connection::open(head_limit(10_000)).await;
        let response = connection.request(head_bytes).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{head_bytes}: {response}");
    }
}
