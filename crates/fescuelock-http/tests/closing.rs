//! Responses that close their connection reach callers that are sending their next request, and
//! callers that send slowly, over TCP.

use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::body::{Body, read_all};
use fescuelock_http::net::{BoxFuture, Network, TcpNetwork};
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, Server, ServerOptions};
use futures_util::future::join_all;
use http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Number of callers of a trial.
const CALLERS: usize = 30;

/// `Late` answers each request 100 ms after it has been read.
struct Late;

impl Handler for Late {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let read = read_all(request.into_body(), 1 << 20).await;
            sleep(Duration::from_millis(100)).await;
            Response::new(Body::buffered(if read.is_ok() { "served" } else { "unread" }))
        })
    }
}

async fn start() -> (String, CancellationToken) {
    let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
    let address = listener.address();
    let (tasks, stop) = (TaskGroup::default(), CancellationToken::new());
    let options = ServerOptions::default().shared();
    let server = Server { options, tasks: tasks.clone(), stop: stop.clone() };
    tasks.spawn(server.run(listener, Arc::new(Late)));
    (address, stop)
}

/// Sends a request, the next one in pieces behind it, and only then reads the first response.
async fn pipeline(address: &str, first: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(first.as_bytes()).await?;
    let next = "POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 40000\r\n\r\n";
    stream.write_all(next.as_bytes()).await?;
    for _ in 0..20 {
        sleep(Duration::from_millis(10)).await;
        stream.write_all(&[b'x'; 2_000]).await?;
    }
    let mut received = String::new();
    stream.read_to_string(&mut received).await?;
    Ok(received)
}

/// Asserts that all callers get the response to their first request.
async fn assert_served(first: &str, stops: bool) {
    let (address, stop) = start().await;
    let callers = join_all((0..CALLERS).map(|_| pipeline(&address, first)));
    let stopping = async {
        sleep(Duration::from_millis(50)).await;
        if stops {
            stop.cancel();
        }
    };
    let (responses, ()) = tokio::join!(callers, stopping);
    let is_served = |response: &&std::io::Result<String>| {
        response.as_ref().is_ok_and(|text| text.ends_with("served"))
    };
    let served = responses.iter().filter(is_served).count();
    let other = responses.iter().find(|response| !is_served(response));
    assert_eq!(served, CALLERS, "{first:?}: {served} of {CALLERS} were served, else {other:?}");
}

/// The connection was reset while its caller sent the next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_at_close() {
    assert_served("GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", false).await;
    assert_served("GET /a HTTP/1.0\r\nhost: x\r\n\r\n", false).await;
}

/// A stopping server reset a connection while its caller sent the next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reset_at_stop() {
    assert_served("GET /a HTTP/1.1\r\nhost: x\r\n\r\n", true).await;
}

/// Callers that send a byte at a time are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn byte_by_byte() {
    let (address, _stop) = start().await;
    let head = "POST /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 9\r\n\r\n";
    let text = format!("{head}xxxxxxxxx");
    let callers = (0..200).map(|_| async {
        let mut stream = TcpStream::connect(&address).await.expect("connect to the server");
        stream.set_nodelay(true).expect("set an option");
        for byte in text.bytes() {
            stream.write_all(&[byte]).await.expect("the server reads");
            sleep(Duration::from_millis(5)).await;
        }
        let mut received = String::new();
        stream.read_to_string(&mut received).await.expect("the server answers");
        received
    });
    for response in join_all(callers).await {
        assert!(response.ends_with("served"), "{response:?}");
    }
}
