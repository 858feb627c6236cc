//! Responses that are sent before the request body has been read reach their callers over TCP.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::Error;
use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::{BoxFuture, Network, TcpNetwork};
use fescuelock_http::pool::{HttpVersion, Pool, PoolOptions};
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, Server, ServerOptions};
use futures_util::future::join_all;
use http::{Request, Response, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Number of concurrent callers of a trial.
const CALLERS: usize = 30;

/// Limit on the request bodies that the server reads, in bytes.
const BODY_MAX_BYTES: usize = 10_000;

/// `Refusing` refuses requests to `/unread` by their head, and reads all other bodies.
struct Refusing;

impl Handler for Refusing {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let status = match request.uri().path() {
                "/unread" => StatusCode::UNAUTHORIZED,

                _ => match read_all(request.into_body(), BODY_MAX_BYTES).await {
                    Ok(_) => StatusCode::OK,
                    Err(Error::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
                    Err(_) => StatusCode::BAD_REQUEST,
                },
            };
            let mut response = Response::new(Body::buffered("refused"));
            *response.status_mut() = status;
            response
        })
    }
}

/// `TestServer` is a running server on a loopback address.
struct TestServer {
    address: String,
    tasks: TaskGroup,
    stop: CancellationToken,
}

impl TestServer {
    async fn start(options: ServerOptions) -> Self {
        let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
        let address = listener.address();
        let (tasks, stop) = (TaskGroup::default(), CancellationToken::new());
        let server = Server { options: options.shared(), tasks: tasks.clone(), stop: stop.clone() };
        tasks.spawn(server.run(listener, Arc::new(Refusing)));
        TestServer { address, tasks, stop }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.address).await.expect("connect to the server")
    }
}

/// `Upload` is how a caller sends a request body.
#[derive(Debug, Clone, Copy)]
struct Upload {
    path: &'static str,
    body_bytes: usize,
    pieces: usize,
    duration_ms: u64,
    is_chunked: bool,
}

impl Default for Upload {
    fn default() -> Self {
        Upload { path: "/unread", body_bytes: 60_000, pieces: 1, duration_ms: 0, is_chunked: false }
    }
}

fn head(path: &str, framing: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\n{framing}\r\n\r\n")
}

/// Sends a whole request and only then reads the response.
async fn upload(mut stream: TcpStream, upload: Upload) -> std::io::Result<String> {
    let framing = match upload.is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {}", upload.body_bytes),
    };
    stream.write_all(head(upload.path, &framing).as_bytes()).await?;
    let piece = vec![b'x'; upload.body_bytes / upload.pieces];
    for _ in 0..upload.pieces {
        sleep(Duration::from_millis(upload.duration_ms / upload.pieces as u64)).await;
        if upload.is_chunked {
            stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await?;
        }
        stream.write_all(&piece).await?;
        if upload.is_chunked {
            stream.write_all(b"\r\n").await?;
        }
    }
    if upload.is_chunked {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    read_response(&mut stream).await
}

/// Reads one response and returns its status line.
async fn read_response(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut received = Vec::new();
    while !received.ends_with(b"refused") {
        let mut buffer = [0; 1_024];
        match stream.read(&mut buffer).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            read_bytes => received.extend_from_slice(&buffer[..read_bytes]),
        }
    }
    Ok(String::from_utf8_lossy(&received).lines().next().unwrap_or_default().to_owned())
}

/// Asserts that all callers get a status.
async fn assert_refused(trial: Upload, status: &str) {
    let server = TestServer::start(ServerOptions::default()).await;
    let callers = (0..CALLERS).map(|_| async { upload(server.connect().await, trial).await });
    let responses = join_all(callers).await;
    let expected = format!("HTTP/1.1 {status}");
    let is_refused = |response: &std::io::Result<String>| {
        response.as_ref().is_ok_and(|line| line.starts_with(&expected))
    };
    let refused = responses.iter().filter(|response| is_refused(response)).count();
    let other = responses.iter().find(|response| !is_refused(response));
    assert_eq!(refused, CALLERS, "{trial:?}: {refused} of {CALLERS} got {status}, else {other:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_overtaken_small() {
    assert_refused(Upload { body_bytes: 2_000, ..Upload::default() }, "401").await;
    assert_refused(Upload::default(), "401").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_overtaken_slow() {
    let trial = Upload { pieces: 20, duration_ms: 200, ..Upload::default() };
    assert_refused(trial, "401").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_overtaken_large() {
    assert_refused(Upload { body_bytes: 400_000, ..Upload::default() }, "401").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_overtaken_large_slow() {
    let trial = Upload { body_bytes: 400_000, pieces: 50, duration_ms: 500, ..Upload::default() };
    assert_refused(trial, "401").await;
    assert_refused(Upload { is_chunked: true, ..trial }, "401").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversize_overtaken() {
    let trial = Upload { path: "/read", body_bytes: 400_000, ..Upload::default() };
    assert_refused(trial, "413").await;
    assert_refused(Upload { pieces: 50, duration_ms: 500, ..trial }, "413").await;
}

#[tokio::test]
async fn malformed_chunk_overtaken() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut stream = server.connect().await;
    stream.write_all(head("/read", "transfer-encoding: chunked").as_bytes()).await.unwrap();
    for _ in 0..20 {
        stream.write_all(&[b'!'; 2_000]).await.unwrap();
        sleep(Duration::from_millis(10)).await;
    }
    assert!(read_response(&mut stream).await.unwrap().starts_with("HTTP/1.1 400"));
}

#[tokio::test]
async fn oversize_head_overtaken() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut stream = server.connect().await;
    stream.write_all(b"POST / HTTP/1.1\r\nx: ").await.unwrap();
    for _ in 0..50 {
        stream.write_all(&[b'x'; 20_000]).await.unwrap();
        sleep(Duration::from_millis(5)).await;
    }
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    let received = String::from_utf8_lossy(&received);
    assert!(received.starts_with("HTTP/1.1 431"), "{received}");
}

#[tokio::test]
async fn endless_body() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut stream = server.connect().await;
    stream.write_all(head("/unread", "transfer-encoding: chunked").as_bytes()).await.unwrap();
    let (started, mut sent_bytes) = (Instant::now(), 0);
    let chunk = [b"8000\r\n".as_slice(), &[b'x'; 0x8000], b"\r\n"].concat();
    while stream.write_all(&chunk).await.is_ok() {
        sent_bytes += chunk.len();
        assert!(sent_bytes < 64 << 20, "{sent_bytes} bytes were accepted");
    }
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
}

#[tokio::test]
async fn trickled_body() {
    for framing in ["content-length: 50000", "content-length: 5000000"] {
        let server = TestServer::start(ServerOptions::default()).await;
        let mut stream = server.connect().await;
        stream.write_all(head("/unread", framing).as_bytes()).await.unwrap();
        let started = Instant::now();
        while stream.write_all(b"x").await.is_ok() {
            assert!(started.elapsed() < Duration::from_secs(8), "{framing}: still open");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn continue_not_sent() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut stream = server.connect().await;
    let framing = "content-length: 5000\r\nexpect: 100-continue";
    stream.write_all(head("/unread", framing).as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let closing = stream.read_to_end(&mut received);
    timeout(Duration::from_secs(2), closing).await.expect("the connection closes").unwrap();
    let received = String::from_utf8_lossy(&received);
    assert!(received.starts_with("HTTP/1.1 401"), "{received}");
    assert!(received.contains("connection: close\r\n"), "{received}");
}

#[tokio::test]
async fn continue_sent() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut stream = server.connect().await;
    let framing = "content-length: 5\r\nexpect: 100-continue";
    stream.write_all(head("/read", framing).as_bytes()).await.unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"xxxxx").await.unwrap();
    assert!(read_response(&mut stream).await.unwrap().starts_with("HTTP/1.1 200"));
}

/// The connection can be reused once a small body has been discarded.
#[tokio::test]
async fn reuse_after_discard() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut stream = server.connect().await;
    for _ in 0..3 {
        stream.write_all(head("/unread", "content-length: 20000").as_bytes()).await.unwrap();
        assert!(read_response(&mut stream).await.unwrap().starts_with("HTTP/1.1 401"));
        for _ in 0..10 {
            sleep(Duration::from_millis(10)).await;
            stream.write_all(&[b'x'; 2_000]).await.unwrap();
        }
    }
    stream.write_all(head("/read", "content-length: 5").as_bytes()).await.unwrap();
    stream.write_all(b"xxxxx").await.unwrap();
    assert!(read_response(&mut stream).await.unwrap().starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn unread_http2() {
    let options = ServerOptions { version: HttpVersion::Http2, ..ServerOptions::default() };
    let server = TestServer::start(options).await;
    let options = PoolOptions { version: HttpVersion::Http2, ..PoolOptions::default() };
    let pool = Pool::new(TcpNetwork::shared(), server.address.clone(), options);
    for (path, status) in [("/unread", 401), ("/read", 413), ("/unread", 401)] {
        let mut connection = pool.checkout().await.unwrap();
        let body = Body::buffered(Bytes::from(vec![b'x'; 400_000]));
        let request = Request::post(format!("http://x{path}")).body(body).unwrap();
        let response = connection.send(request, 2_000).await.unwrap();
        assert_eq!(response.status(), status);
    }
}

/// A stopping server waits for its connections no longer than a body is discarded.
#[tokio::test]
async fn stop_during_discard() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut streams = Vec::new();
    for _ in 0..10 {
        let mut stream = server.connect().await;
        stream.write_all(head("/unread", "content-length: 5000000").as_bytes()).await.unwrap();
        assert!(read_response(&mut stream).await.unwrap().starts_with("HTTP/1.1 401"));
        streams.push(stream);
    }
    server.stop.cancel();
    let stopped = timeout(Duration::from_secs(2), server.tasks.wait_all()).await;
    assert!(stopped.is_ok(), "connections hold the stopping server");
}

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status =
        std::fs::read_to_string("/proc/self/status").expect("read the status of the process");
    let line =
        status.lines().find(|line| line.starts_with("VmRSS:")).expect("find the resident size");
    line.split_whitespace().nth(1).and_then(|kib| kib.parse().ok()).expect("the size is a number")
}

#[tokio::test]
async fn discard_memory() {
    let server = TestServer::start(ServerOptions::default()).await;
    let before_kib = resident_kib();
    let senders = (0..200).map(|_| async {
        let mut stream = server.connect().await;
        stream.write_all(head("/unread", "content-length: 500000000").as_bytes()).await.unwrap();
        let started = Instant::now();
        while stream.write_all(&[b'x'; 16_384]).await.is_ok() {
            assert!(started.elapsed() < Duration::from_secs(20), "still open");
            sleep(Duration::from_millis(5)).await;
        }
        resident_kib()
    });
    let peak_kib = join_all(senders).await.into_iter().max().unwrap_or_default();
    let grown_kib = peak_kib.saturating_sub(before_kib);
    assert!(grown_kib < 32 << 10, "memory grew by {grown_kib} KiB");
}

/// A refusal was overtaken because the server stopped while it read the rest of the request.
#[tokio::test]
async fn stop_before_discard_ends() {
    let server = TestServer::start(ServerOptions::default()).await;
    let mut stream = server.connect().await;
    let framing = "content-length: 20000\r\nconnection: close";
    stream.write_all(head("/unread", framing).as_bytes()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    stream.write_all(&[b'x'; 2_000]).await.unwrap();
    server.stop.cancel();
    for _ in 1..10 {
        sleep(Duration::from_millis(20)).await;
        stream.write_all(&[b'x'; 2_000]).await.expect("the server reads on");
    }
    assert!(read_response(&mut stream).await.unwrap().starts_with("HTTP/1.1 401"));
}
