//! What a node knows of each upstream: its connections and its load.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use fescuelock_core::arena::ArenaKey;
use fescuelock_core::ids::{Generation, UpstreamKey};
use fescuelock_core::placement::Load;
use fescuelock_core::rules::{Protocol, Upstream, View};
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::pool::{Pool, PoolOptions, Version};
use tokio::time::Instant;

/// `RegistryOptions` configures how upstreams are connected to and suspected.
#[derive(Debug, Clone)]
pub struct RegistryOptions {
    /// Time for opening a connection, in milliseconds. Defaults to 1,000.
    pub connect_timeout_ms: u64,
    /// Time for which an upstream is avoided after a failure, in milliseconds. Defaults to 1,000.
    pub suspect_ms: u64,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        RegistryOptions { connect_timeout_ms: 1_000, suspect_ms: 1_000 }
    }
}

/// `Peer` is the state of one upstream on this node.
pub struct Peer {
    /// Name of the upstream.
    pub name: String,
    /// Connections to the upstream.
    pub pool: Pool,
    protocol: Protocol,
    in_flight: AtomicU32,
    suspect_until_ms: AtomicU64,
}

/// `InFlight` counts one request on an upstream for as long as it lives.
pub struct InFlight {
    peer: Arc<Peer>,
}

/// `Registry` finds the state of upstreams by their keys.
pub struct Registry {
    network: SharedNetwork,
    options: RegistryOptions,
    started: Instant,
    bound: Mutex<Arc<Bound>>,
}

/// `Bound` lists the states of upstreams in the order of one view's keys.
#[derive(Default)]
pub struct Bound {
    generation: Generation,
    peers: Vec<Arc<Peer>>,
}

impl Registry {
    /// Builds an empty registry.
    pub fn new(network: SharedNetwork, options: RegistryOptions) -> Self {
        Registry { network, options, started: Instant::now(), bound: Mutex::default() }
    }

    /// Returns the states of a view's upstreams. States outlive a change of the rules.
    pub fn bind(&self, view: &View) -> Arc<Bound> {
        let mut bound = self.bound.lock().unwrap_or_else(PoisonError::into_inner);
        if bound.generation != view.generation {
            *bound = Arc::new(self.rebind(&bound, view));
        }
        Arc::clone(&bound)
    }

    /// Returns the load of an upstream.
    pub fn load(&self, bound: &Bound, key: UpstreamKey) -> Load {
        let peer = bound.peer(key);
        Load {
            in_flight: peer.in_flight.load(Ordering::Relaxed),
            suspect: peer.suspect_until_ms.load(Ordering::Relaxed) > self.elapsed_ms(),
        }
    }

    /// Avoids an upstream for a while after a failure.
    pub fn suspect(&self, peer: &Peer) {
        let until_ms = self.elapsed_ms() + self.options.suspect_ms;
        peer.suspect_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Ends the suspicion of an upstream that answered.
    pub fn trust(&self, peer: &Peer) {
        peer.suspect_until_ms.store(0, Ordering::Relaxed);
    }

    fn elapsed_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn rebind(&self, old: &Bound, view: &View) -> Bound {
        let known: HashMap<&str, &Arc<Peer>> =
            old.peers.iter().map(|peer| (peer.name.as_str(), peer)).collect();
        let peers =
            view.upstreams.iter().map(|(_, upstream)| match known.get(upstream.name.as_str()) {
                Some(peer) if peer.fits(upstream) => Arc::clone(peer),
                _ => Arc::new(self.open(upstream)),
            });
        Bound { generation: view.generation, peers: peers.collect() }
    }

    fn open(&self, upstream: &Upstream) -> Peer {
        let options = PoolOptions {
            version: match upstream.protocol {
                Protocol::Http1 => Version::Http1,
                Protocol::Http2 => Version::Http2,
            },
            connect_timeout_ms: self.options.connect_timeout_ms,
            ..PoolOptions::default()
        };
        Peer {
            name: upstream.name.clone(),
            pool: Pool::new(Arc::clone(&self.network), upstream.address.clone(), options),
            protocol: upstream.protocol,
            in_flight: AtomicU32::new(0),
            suspect_until_ms: AtomicU64::new(0),
        }
    }
}

impl Bound {
    /// Returns the state of an upstream of the view that this was bound to.
    pub fn peer(&self, key: UpstreamKey) -> &Arc<Peer> {
        &self.peers[key.index()]
    }
}

impl Peer {
    fn fits(&self, upstream: &Upstream) -> bool {
        self.pool.address() == upstream.address && self.protocol == upstream.protocol
    }
}

impl InFlight {
    /// Counts a request until the value is dropped.
    pub fn start(peer: &Arc<Peer>) -> Self {
        peer.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { peer: Arc::clone(peer) }
    }

    /// Returns the upstream that the request is counted on.
    pub fn peer(&self) -> &Arc<Peer> {
        &self.peer
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.peer.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
