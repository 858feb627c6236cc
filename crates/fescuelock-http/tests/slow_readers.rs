//! A response reaches a caller that reads it slowly as a whole, also if its connection closes after
//! it.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::body::Body;
use fescuelock_http::net::{BoxFuture, Network, TcpNetwork};
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, Server, ServerOptions};
use http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Size of the response, in bytes. It exceeds what the sockets buffer.
const RESPONSE_BYTES: usize = 24 << 20;

/// `LargeAnswers` answers each request with [`RESPONSE_BYTES`] bytes.
struct LargeAnswers;

impl Handler for LargeAnswers {
    fn handle(self: Arc<Self>, _: Request<RequestBody>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { Response::new(Body::buffered(vec![b'x'; RESPONSE_BYTES])) })
    }
}

/// Sends a request, waits, and returns the size of the body that arrives. The server is stopped
/// meanwhile if `stops` is set.
async fn read_slowly(request: &str, stops: bool) -> usize {
    let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
    let address = listener.address();
    let stop = CancellationToken::new();
    let options = ServerOptions::default().shared();
    let server = Server { options, tasks: TaskGroup::default(), stop: stop.clone() };
    tokio::spawn(server.run(listener, Arc::new(LargeAnswers)));
    let mut stream = TcpStream::connect(address).await.expect("connect to the server");
    stream.write_all(request.as_bytes()).await.expect("send the request");
    sleep(Duration::from_millis(200)).await;
    if stops {
        stop.cancel();
    }
    sleep(Duration::from_millis(100)).await;
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    timeout(Duration::from_secs(20), reading).await.expect("the connection closes").ok();
    received.iter().rev().take_while(|byte| **byte == b'x').count()
}

/// A response was cut when its connection closed after it before the caller had read it.
#[tokio::test]
async fn closing_response_cut() {
    for request in [
        "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        "GET / HTTP/1.0\r\nhost: x\r\n\r\n",
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5000000\r\n\r\nxxxxx",
    ] {
        assert_eq!(read_slowly(request, false).await, RESPONSE_BYTES, "{request:?}");
    }
}

/// A response was cut when the server stopped before the caller had read it.
#[tokio::test]
async fn stopping_response_cut() {
    for request in [
        "GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    ] {
        assert_eq!(read_slowly(request, true).await, RESPONSE_BYTES, "{request:?}");
    }
}
