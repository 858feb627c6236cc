//! The transport below HTTP: TCP in production, in-memory streams in tests.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Length of the queue of connections that wait to be accepted. A shorter queue drops connections
/// in a burst.
const ACCEPT_BACKLOG: u32 = 4_096;

/// Idle time before the first TCP keep-alive probe and interval between probes, on connections that
/// this process opened, in seconds. It is the minimum that the kernel accepts.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Number of unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// Time for which sent data may stay unacknowledged before a connection is closed
/// (`TCP_USER_TIMEOUT`), in milliseconds. It leaves time for the second retransmission of a lost
/// packet.
const TCP_USER_TIMEOUT_MS: u64 = 2_500;

/// `Io` is a bidirectional byte stream.
pub trait Io: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Io for T {}

/// `BoxIo` is a boxed byte stream.
pub type BoxIo = Box<dyn Io>;

/// `BoxFuture` is a boxed future, as returned by methods of `dyn`-compatible traits.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// `Network` opens connections and listens for incoming ones.
pub trait Network: Send + Sync {
    /// Opens a connection to an address of the form `IP:PORT`.
    fn connect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<BoxIo>>;

    /// Listens on an address of the form `IP:PORT`; port 0 selects a free port.
    fn listen<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<Box<dyn Listener>>>;
}

/// `Listener` accepts connections.
pub trait Listener: Send + Sync {
    /// Waits for the next connection.
    fn accept(&self) -> BoxFuture<'_, io::Result<BoxIo>>;

    /// Returns the address that the listener is bound to.
    fn address(&self) -> String;
}

/// `SharedNetwork` is a reference-counted network.
pub type SharedNetwork = Arc<dyn Network>;

/// `TcpNetwork` is the TCP network. It takes IP addresses and resolves no host names.
#[derive(Debug)]
pub struct TcpNetwork;

impl TcpNetwork {
    /// Returns a reference-counted TCP network.
    pub fn shared() -> SharedNetwork {
        Arc::new(TcpNetwork)
    }
}

impl Network for TcpNetwork {
    fn connect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<BoxIo>> {
        Box::pin(async move {
            let stream = TcpStream::connect(parse_address(address)?).await?;
            stream.set_nodelay(true)?;
            detect_dead_peer(&stream)?;
            Ok(Box::new(stream) as BoxIo)
        })
    }

    fn listen<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let address: SocketAddr = parse_address(address)?;
            let socket =
                if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            let listener = socket.listen(ACCEPT_BACKLOG)?;
            let address = listener.local_addr()?.to_string();
            Ok(Box::new(TcpAcceptor { listener, address }) as Box<dyn Listener>)
        })
    }
}

/// Makes the kernel close the connection when the peer stops responding, also while nothing is
/// sent.
fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_interval(Duration::from_secs(KEEPALIVE_INTERVAL_S))
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(TCP_USER_TIMEOUT_MS)))
}

/// Parses an address of the form `IP:PORT`.
fn parse_address(address: &str) -> io::Result<SocketAddr> {
    address.parse().map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))
}

/// `TcpAcceptor` accepts TCP connections.
struct TcpAcceptor {
    listener: TcpListener,
    address: String,
}

impl Listener for TcpAcceptor {
    fn accept(&self) -> BoxFuture<'_, io::Result<BoxIo>> {
        Box::pin(async move {
            let (stream, _) = self.listener.accept().await?;
            stream.set_nodelay(true)?;
            Ok(Box::new(stream) as BoxIo)
        })
    }

    fn address(&self) -> String {
        self.address.clone()
    }
}
