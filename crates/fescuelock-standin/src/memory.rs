//! A network in memory, whose connections can be silenced or cut.

use std::collections::{HashMap, HashSet};
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use fescuelock_http::net::{BoxFuture, BoxIo, Listener, Network};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf, duplex};
use tokio::sync::mpsc;

/// Bytes that a direction of a connection holds.
const PIPE_BYTES: usize = 64 << 10;
/// Connections that wait to be accepted.
const BACKLOG: usize = 256;

/// `MemoryNetwork` connects the parts of one process.
#[derive(Default)]
pub struct MemoryNetwork {
    listeners: Mutex<HashMap<String, Endpoint>>,
    next_port: AtomicU16,
    unreachable: Mutex<HashSet<String>>,
}

/// `Endpoint` is a listener's side of the network.
struct Endpoint {
    incoming: mpsc::Sender<BoxIo>,
    links: Vec<Arc<LinkState>>,
}

/// `LinkState` is shared by the two ends of a connection.
#[derive(Default)]
struct LinkState {
    silent: AtomicBool,
}

/// `Link` is one end of a connection.
struct Link {
    stream: DuplexStream,
    state: Arc<LinkState>,
}

/// `MemoryListener` accepts connections in memory.
struct MemoryListener {
    address: String,
    incoming: tokio::sync::Mutex<mpsc::Receiver<BoxIo>>,
}

impl MemoryNetwork {
    /// Makes all open connections to an address silent for good. New ones work.
    pub fn silence(&self, address: &str) {
        let listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        for link in listeners.get(address).iter().flat_map(|endpoint| &endpoint.links) {
            link.silent.store(true, Ordering::Relaxed);
        }
    }

    /// Makes new connections to an address hang, as when packets to it are lost.
    pub fn set_unreachable(&self, address: &str) {
        let mut unreachable = self.unreachable.lock().unwrap_or_else(PoisonError::into_inner);
        unreachable.insert(address.to_owned());
    }

    fn is_unreachable(&self, address: &str) -> bool {
        self.unreachable.lock().unwrap_or_else(PoisonError::into_inner).contains(address)
    }

    fn refused() -> io::Error {
        io::Error::from(io::ErrorKind::ConnectionRefused)
    }
}

impl Network for MemoryNetwork {
    fn connect<'a>(&'a self, address: &'a str) -> BoxFuture<'a, io::Result<BoxIo>> {
        Box::pin(async move {
            if self.is_unreachable(address) {
                return std::future::pending().await;
            }
            let state = Arc::new(LinkState::default());
            let (near, far) = duplex(PIPE_BYTES);
            let far = Link { stream: far, state: Arc::clone(&state) };
            let incoming = {
                let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
                let endpoint = listeners.get_mut(address).ok_or_else(Self::refused)?;
                // Links whose ends have both gone are of no more interest.
                endpoint.links.retain(|link| Arc::strong_count(link) > 1);
                endpoint.links.push(Arc::clone(&state));
                endpoint.incoming.clone()
            };
            incoming.send(Box::new(far)).await.map_err(|_| Self::refused())?;
            Ok(Box::new(Link { stream: near, state }) as BoxIo)
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
            if listeners.get(&address).is_some_and(|endpoint| !endpoint.incoming.is_closed()) {
                return Err(io::Error::from(io::ErrorKind::AddrInUse));
            }
            let (sender, receiver) = mpsc::channel(BACKLOG);
            let endpoint = Endpoint { incoming: sender, links: Vec::new() };
            listeners.insert(address.clone(), endpoint);
            let incoming = tokio::sync::Mutex::new(receiver);
            Ok(Box::new(MemoryListener { address, incoming }) as Box<dyn Listener>)
        })
    }
}

impl Listener for MemoryListener {
    fn accept(&self) -> BoxFuture<'_, io::Result<BoxIo>> {
        Box::pin(async move {
            self.incoming.lock().await.recv().await.ok_or_else(MemoryNetwork::refused)
        })
    }

    fn address(&self) -> String {
        self.address.clone()
    }
}

impl Link {
    fn is_silent(&self) -> bool {
        self.state.silent.load(Ordering::Relaxed)
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Nothing ever wakes the reader of a silent link: its deadlines have to.
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

impl AsyncWrite for Link {
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
