//! A panic while a request is handled is answered, and ends neither the connection nor the server.

use std::sync::Arc;

use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::body::Body;
use fescuelock_http::net::{BoxFuture, Network, TcpNetwork};
use fescuelock_http::pool::{HttpVersion, Pool, PoolOptions};
use fescuelock_http::request_body::RequestBody;
use fescuelock_http::server::{Handler, Server, ServerOptions};
use http::{Request, Response};
use tokio_util::sync::CancellationToken;

/// `Panicking` panics while it handles requests to `/panic`.
struct Panicking;

impl Handler for Panicking {
    fn handle(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> BoxFuture<'static, Response<Body>> {
        assert_ne!(request.uri().path(), "/panic/first");
        Box::pin(async move {
            tokio::task::yield_now().await;
            assert_ne!(request.uri().path(), "/panic");
            Response::new(Body::empty())
        })
    }
}

async fn start_server(version: HttpVersion) -> Pool {
    let listener = TcpNetwork.listen("127.0.0.1:0").await.expect("listen on a loopback port");
    let address = listener.address();
    let tasks = TaskGroup::default();
    let server = Server {
        options: ServerOptions { version, ..ServerOptions::default() }.shared(),
        tasks: tasks.clone(),
        stop: CancellationToken::new(),
    };
    tasks.spawn(server.run(listener, Arc::new(Panicking)));
    Pool::new(TcpNetwork::shared(), address, PoolOptions { version, ..PoolOptions::default() })
}

#[tokio::test]
async fn panic_unanswered() {
    for version in [HttpVersion::Http1, HttpVersion::Http2] {
        let pool = start_server(version).await;
        let mut connection = pool.open().await.unwrap();
        for (path, status) in [("/panic", 500), ("/panic/first", 500), ("/", 200)] {
            let request = Request::get(format!("http://x{path}")).body(Body::empty()).unwrap();
            let response = connection.send(request, 2_000).await;
            let response = response.unwrap_or_else(|error| panic!("{version:?} {path}: {error}"));
            assert_eq!(response.status(), status, "{version:?} {path}");
        }
    }
}
