//! A server records how the rest of a request ended that was answered before it was read.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::body::Body;
use fescuelock_http::discard::{Discard, DiscardEnd, DiscardOptions};
use fescuelock_http::net::{BoxFuture, Network, TcpNetwork};
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, RequestLabel, Server, ServerOptions};
use http::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

type Record = (Option<String>, Discard);

/// `Refusing` refuses all requests by their head.
#[derive(Default)]
struct Refusing {
    records: Mutex<Vec<Record>>,
}

impl Handler for Refusing {
    fn handle(self: Arc<Self>, _: Request<RequestBody>) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move {
            let mut response = Response::new(Body::buffered("refused"));
            response.extensions_mut().insert(RequestLabel("r1".to_owned()));
            response
        })
    }

    fn record_discard(&self, label: Option<&RequestLabel>, discard: Discard) {
        let label = label.map(|label| label.0.clone());
        self.records.lock().expect("no test panics here").push((label, discard));
    }
}

/// Sends a request head and a part of its body, and returns what the server recorded.
async fn recorded(head: &str, body_bytes: usize, discard: DiscardOptions) -> Vec<Record> {
    let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
    let address = listener.address();
    let tasks = TaskGroup::default();
    let options = ServerOptions { discard, ..ServerOptions::default() }.shared();
    let server = Server { options, tasks: tasks.clone(), stop: CancellationToken::new() };
    let handler = Arc::new(Refusing::default());
    tasks.spawn(server.run(listener, Arc::clone(&handler)));
    let mut stream = TcpStream::connect(&address).await.expect("connect to the server");
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    // The server may have closed the connection at its limit.
    let _ = stream.write_all(&vec![b'x'; body_bytes]).await;
    let _ = timeout(Duration::from_millis(300), stream.read_to_end(&mut Vec::new())).await;
    // The server has ended its side; it reads on until its limits or the end of the other side.
    sleep(Duration::from_millis(400)).await;
    drop(stream);
    sleep(Duration::from_millis(100)).await;
    tasks.abort();
    std::mem::take(&mut *handler.records.lock().expect("no test panics here"))
}

/// Nothing was recorded, or not how it ended.
#[tokio::test]
async fn end_not_recorded() {
    let post =
        |bytes: usize| format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {bytes}\r\n\r\n");
    let options = DiscardOptions { max_bytes: 10_000, ..DiscardOptions::default() };
    let short = DiscardOptions { timeout_ms: 100, ..DiscardOptions::default() };
    let cases = [
        (post(20_000), 20_000, options.clone(), DiscardEnd::Drained, true),
        (post(20_000), 1_000, short.clone(), DiscardEnd::TimedOut, false),
        (post(400_000), 1_000, DiscardOptions::default(), DiscardEnd::Drained, false),
        (post(400_000), 100_000, options, DiscardEnd::TooLarge, false),
        (post(400_000), 1_000, short, DiscardEnd::TimedOut, false),
    ];
    for (head, body_bytes, options, end, keeps_connection) in cases {
        let records = recorded(&head, body_bytes, options).await;
        let expected = Discard { end, keeps_connection };
        assert_eq!(records, [(Some("r1".to_owned()), expected)], "{head}, {body_bytes} bytes sent");
    }
    let records = recorded("no head at all\r\n\r\n", 0, DiscardOptions::default()).await;
    let expected = Discard { end: DiscardEnd::Drained, keeps_connection: false };
    assert_eq!(records, [(None, expected)]);
}

/// Requests without a body, or with one that was read, were recorded too.
#[tokio::test]
async fn complete_request() {
    let head = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    assert_eq!(recorded(head, 0, DiscardOptions::default()).await, []);
}
