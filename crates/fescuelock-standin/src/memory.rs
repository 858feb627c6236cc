//! An in-memory network whose connections can be stalled and whose addresses can be made
//! unreachable.

use std::collections::{HashMap, HashSet};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use fescuelock_http::net::{BoxFuture, BoxIo, Listener, Network};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex};
use tokio::sync::mpsc;

/// Buffer size of each direction of a connection, in bytes.
const PIPE_CAPACITY_BYTES: usize = 64 << 10;
/// Largest number of connections that wait to be accepted.
const BACKLOG: usize = 256;

/// `MemoryNetwork` connects components within one process without sockets.
#[derive(Default)]
pub struct MemoryNetwork {
    listeners: Mutex<HashMap<String, ListenerEntry>>,
    next_port: AtomicU16,
    unreachable: Mutex<HashSet<String>>,
}

/// `ListenerEntry` is a registered listener with the connections made to it.
struct ListenerEntry {
    incoming: mpsc::Sender<BoxIo>,
    connections: Vec<Arc<ConnectionState>>,
}

/// `ConnectionState` is shared by both ends of a connection.
#[derive(Default)]
struct ConnectionState {
    silent: AtomicBool,
}

/// `Connection` is one end of a connection.
struct Connection {
    stream: DuplexStream,
    state: Arc<ConnectionState>,
}

/// `MemoryListener` accepts in-memory connections.
struct MemoryListener {
    address: String,
    incoming: tokio::sync::Mutex<mpsc::Receiver<BoxIo>>,
}

impl MemoryNetwork {
    /// Permanently stalls all open connections to an address, without closing them: reads stay
    /// pending and written bytes are dropped. New connections work.
    pub fn stall_connections(&self, address: &str) {
        let listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        for connection in listeners.get(address).iter().flat_map(|entry| &entry.connections) {
            connection.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Makes connection attempts to an address hang, as when its packets are dropped.
    pub fn set_unreachable(&self, address: &str) {
        let mut unreachable = self.unreachable.lock().unwrap_or_else(PoisonError::into_inner);
        unreachable.insert(address.to_owned());
    }

    fn is_unreachable(&self, address: &str) -> bool {
        self.unreachable.lock().unwrap_or_else(PoisonError::into_inner).contains(address)
    }

    fn connection_refused() -> io::Error {
        io::Error::from(io::ErrorKind::ConnectionRefused)
    }
}

impl Network for MemoryNetwork {
    fn connect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<BoxIo>> {
        Box::pin(async move {
            if self.is_unreachable(address) {
                return std::future::pending().await;
            }
            let state = Arc::new(ConnectionState::default());
            let (client_end, server_end) = duplex(PIPE_CAPACITY_BYTES);
            let server_end = Connection { stream: server_end, state: Arc::clone(&state) };
            let incoming = {
                let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
                let entry = listeners.get_mut(address).ok_or_else(Self::connection_refused)?;
                // Forgets connections whose ends have both been dropped.
                entry.connections.retain(|connection| Arc::strong_count(connection) > 1);
                entry.connections.push(Arc::clone(&state));
                entry.incoming.clone()
            };
            incoming.send(Box::new(server_end)).await.map_err(|_| Self::connection_refused())?;
            Ok(Box::new(Connection { stream: client_end, state }) as BoxIo)
        })
    }

    fn listen<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let address = match address.strip_suffix(":0") {
                Some(host) => {
                    format!("{host}:{}", 20_000 + self.next_port.fetch_add(1, Ordering::Relaxed))
                }

                None => address.to_owned(),
            };
            let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
            if listeners.get(&address).is_some_and(|entry| !entry.incoming.is_closed()) {
                return Err(io::Error::from(io::ErrorKind::AddrInUse));
            }
            let (sender, receiver) = mpsc::channel(BACKLOG);
            let entry = ListenerEntry { incoming: sender, connections: Vec::new() };
            listeners.insert(address.clone(), entry);
            let incoming = tokio::sync::Mutex::new(receiver);
            Ok(Box::new(MemoryListener { address, incoming }) as Box<dyn Listener>)
        })
    }
}

impl Listener for MemoryListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<BoxIo>> {
        Box::pin(async move {
            self.incoming.lock().await.recv().await.ok_or_else(MemoryNetwork::connection_refused)
        })
    }

    fn address(&self) -> String {
        self.address.clone()
    }
}

impl Connection {
    fn is_silent(&self) -> bool {
        self.state.silent.load(Ordering::Relaxed)
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // The reader of a stalled connection is never woken, so it must have a timeout.
        if self.is_silent() {
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.is_silent() {
            buffer.set_filled(filled);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.is_silent() {
            true => Poll::Ready(Ok(bytes.len())),
            false => Pin::new(&mut self.stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.is_silent() {
            true => Poll::Ready(Ok(())),
            false => Pin::new(&mut self.stream).poll_shutdown(context),
        }
    }
}
