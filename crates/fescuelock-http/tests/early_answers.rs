//! An upstream that answers before it has read a body receives the rest of it, or a closed
//! connection, but no other bytes.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::TcpNetwork;
use fescuelock_http::pool::{Pool, PoolOptions};
use http::{Request, header};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Size of the request bodies, in bytes. It exceeds what the sockets buffer.
const BODY_BYTES: usize = 24 << 20;

/// The answer to each request.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// `Received` holds what an upstream received on each of its connections.
type Received = Arc<Mutex<Vec<Vec<u8>>>>;

/// Answers the first request of a connection as soon as its head has arrived, reads on after a
/// while, and answers the next request.
async fn answer_early(mut stream: TcpStream, received: Received, read_after_ms: u64) {
    let mut bytes = vec![0; 256];
    let read_bytes = stream.read(&mut bytes).await.expect("read the head");
    bytes.truncate(read_bytes);
    stream.write_all(ANSWER).await.expect("write the answer");
    sleep(Duration::from_millis(read_after_ms)).await;
    let reading = async {
        let mut buffer = vec![0; 1 << 20];
        while let Ok(read_bytes @ 1..) = stream.read(&mut buffer).await {
            bytes.extend_from_slice(&buffer[..read_bytes]);
            if bytes.ends_with(b"\r\n\r\nb") {
                stream.write_all(ANSWER).await.expect("write the answer");
            }
        }
    };
    let _ = timeout(Duration::from_millis(2_000), reading).await;
    received.lock().expect("no test panics with the lock").push(bytes);
}

/// Starts an upstream and returns its address and what it receives.
async fn start_upstream(read_after_ms: u64) -> (String, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen on a loopback port");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    let received = Received::default();
    let shared = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream, Arc::clone(&shared), read_after_ms));
        }
    });
    (address, received)
}

/// Sends a request on a pooled connection and returns the connection to the pool.
async fn exchange(pool: &Pool, path: &str, body: Body) -> fescuelock_http::Result<Bytes> {
    let request =
        Request::post(path).header(header::HOST, "x").body(body).expect("build a request");
    let mut connection = pool.checkout().await?;
    let response = connection.send(request, 1_000).await?;
    let answer = read_all(response.into_body(), 100).await?;
    pool.checkin(connection);
    Ok(answer)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_request_inside_body() {
    for (read_after_ms, next_after_ms) in [(300, 0), (300, 50), (100, 400), (700, 100)] {
        let (address, received) = start_upstream(read_after_ms).await;
        let pool = Pool::new(TcpNetwork::shared(), address, PoolOptions::default());
        let body = Body::buffered(vec![b'a'; BODY_BYTES]);
        assert_eq!(exchange(&pool, "/first", body).await.unwrap().as_ref(), b"ok");
        sleep(Duration::from_millis(next_after_ms)).await;
        let next = exchange(&pool, "/second", Body::buffered("b")).await;
        sleep(Duration::from_millis(3_000)).await;
        let received = received.lock().unwrap();
        let first = received.iter().find(|bytes| bytes.starts_with(b"POST /first")).unwrap();
        let head_bytes = first.windows(4).position(|four| four == b"\r\n\r\n").unwrap() + 4;
        let rest = &first[head_bytes..];
        let own = &rest[..rest.len().min(BODY_BYTES)];
        assert!(
            own.iter().all(|byte| *byte == b'a'),
            "after {read_after_ms} and {next_after_ms} ms: other bytes after {} of the body",
            own.iter().position(|byte| *byte != b'a').unwrap_or_default()
        );
        // A request that waits behind the rest of a body is late.
        assert!(next.is_ok(), "after {read_after_ms} and {next_after_ms} ms: {next:?}");
    }
}

/// A request whose body is still arriving in chunks when its response has been read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_request_inside_chunks() {
    let (address, received) = start_upstream(100).await;
    let pool = Pool::new(TcpNetwork::shared(), address, PoolOptions::default());
    let (sender, body) = Body::streamed();
    let sending = tokio::spawn(async move {
        for _ in 0..40 {
            if !sender.send(Bytes::from(vec![b'a'; 10_000])).await {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        sender.finish();
    });
    assert_eq!(exchange(&pool, "/first", body).await.unwrap().as_ref(), b"ok");
    let next = exchange(&pool, "/second", Body::buffered("b")).await.unwrap();
    assert_eq!(next.as_ref(), b"ok");
    sending.await.unwrap();
    sleep(Duration::from_millis(2_500)).await;
    let received = received.lock().unwrap();
    let first = received.iter().find(|bytes| bytes.starts_with(b"POST /first")).unwrap();
    let text = String::from_utf8_lossy(first);
    if let Some(second) = text.find("POST /second") {
        assert!(text[..second].ends_with("\r\n0\r\n\r\n"), "inside the body");
    }
}
