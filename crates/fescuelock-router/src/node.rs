//! The lifecycle of a node: start, readiness, graceful shutdown and immediate termination.

use std::marker::PhantomData;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink};
use fescuelock_core::clock::Clock;
use fescuelock_core::config::ConfigCell;
use fescuelock_core::counters::{Counter, Counters};
use fescuelock_core::ids::Generation;
use fescuelock_core::tasks::TaskGroup;
use fescuelock_http::byte_budget::{ByteBudget, ByteBudgetOptions};
use fescuelock_http::net::{Listener, SharedNetwork};
use fescuelock_http::server::{BusyConnections, Server, ServerOptions};
use fescuelock_nodes::mesh::{Mesh, MeshOptions};
use fescuelock_operators::admin::{AdminHandler, NodeStatus, StatusSource, resident_kib};
use fescuelock_store::bills::{
    BillRecorder, BillRecorderOptions, BillReplicator, BillWriter, bill_recorder,
};
use fescuelock_store::claims::ClaimStore;
use fescuelock_store::config::{RulesLoader, RulesWatcher};
use fescuelock_store::http_store::{HttpStore, HttpStoreOptions};
use fescuelock_store::objects::SharedStore;
use fescuelock_store::vms::{Vm, poll_vms};
use fescuelock_upstreams::dispatch::Dispatcher;
use fescuelock_upstreams::registry::Registry;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::handler::RequestHandler;
use crate::local::{LocalState, announce_generations, apply_vms};
use crate::settings::Settings;
use crate::{Error, Result};

/// `Running` is the state of a node that accepts requests.
#[derive(Debug)]
pub enum Running {}

/// `Draining` is the state of a node that reports not ready and finishes its requests in flight.
#[derive(Debug)]
pub enum Draining {}

/// `Environment` provides the network, clock, random seed and logger of a node.
#[derive(Clone)]
pub struct Environment {
    /// The network.
    pub network: SharedNetwork,
    /// Wall-clock time.
    pub clock: Clock,
    /// Seed of the node's random number generator.
    pub seed: u64,
    /// Logger of the node.
    pub logger: Logger,
}

/// `Node` is a node in lifecycle state `S`.
pub struct Node<S> {
    shared: Arc<Shared>,
    callers_address: String,
    operators_address: String,
    nodes_address: String,
    state: PhantomData<S>,
}

/// `Shared` is the state that the tasks of a node share.
struct Shared {
    settings: Settings,
    config: Arc<ConfigCell>,
    counters: Counters,
    bills: BillRecorder,
    claims: ClaimStore,
    tasks: TaskGroup,
    stop_callers: CancellationToken,
    stop_operators: CancellationToken,
    in_flight: Arc<AtomicU64>,
    /// Connections of callers on which a request has arrived.
    busy: BusyConnections,
    is_draining: AtomicBool,
    logger: Logger,
    clock: Clock,
    store: Arc<HttpStore>,
    mesh: Mesh,
}

/// `Listeners` holds the listening sockets of a node.
struct Listeners {
    callers: Box<dyn Listener>,
    operators: Box<dyn Listener>,
    nodes: Box<dyn Listener>,
}

impl Listeners {
    async fn bind(network: &SharedNetwork, settings: &Settings) -> Result<Self> {
        Ok(Listeners {
            callers: listen(network, &settings.callers_listen).await?,
            operators: listen(network, &settings.operators_listen).await?,
            nodes: listen(network, &settings.nodes_listen).await?,
        })
    }
}

impl Shared {
    /// Builds the shared state of a node and the writer of its bills.
    fn build(
        settings: Settings,
        environment: &Environment,
        nodes_address: &str,
        rng: &mut ChaCha8Rng,
    ) -> Result<(Arc<Self>, BillWriter)> {
        let counters = build_counters(&settings)?;
        let tasks = TaskGroup::default();
        let clock = environment.clock;
        let store_options = HttpStoreOptions {
            address: settings.platform_address.clone(),
            call_timeout_ms: settings.platform_call_timeout_ms,
        };
        let network = environment.network.clone();
        let store = Arc::new(HttpStore::new(network.clone(), store_options, counters.clone()));
        let mesh_options = MeshOptions {
            incarnation: clock.now_ms(),
            seed: rng.next_u64(),
            ..settings.mesh.clone()
        };
        let logger = environment.logger.clone();
        let mesh = Mesh::new(
            network,
            nodes_address,
            mesh_options,
            counters.clone(),
            logger.clone(),
            tasks.clone(),
        );
        // A random name distinguishes the bills of this process from those of earlier ones.
        let recorder_options = BillRecorderOptions {
            node: settings.node.clone(),
            boot_id: format!("{:016x}", rng.next_u64()),
            flush_ms: settings.bills_flush_ms,
            ..BillRecorderOptions::default()
        };
        // Without links no other node can hold a copy of a bill.
        let holder =
            settings.is_linked().then(|| Arc::new(mesh.clone()) as Arc<dyn BillReplicator>);
        let (bills, writer) = bill_recorder(
            Arc::clone(&store) as SharedStore,
            recorder_options,
            counters.clone(),
            holder,
            store.availability(),
        );
        let claims = ClaimStore::new(
            Arc::clone(&store) as SharedStore,
            clock,
            settings.claims.clone(),
            counters.clone(),
            tasks.clone(),
            bills.clone(),
            store.availability(),
        );
        let shared = Shared {
            settings,
            config: Arc::new(ConfigCell::default()),
            counters,
            bills,
            claims,
            tasks,
            stop_callers: CancellationToken::new(),
            stop_operators: CancellationToken::new(),
            in_flight: Arc::default(),
            busy: BusyConnections::default(),
            is_draining: AtomicBool::new(false),
            logger,
            clock,
            store,
            mesh,
        };
        Ok((Arc::new(shared), writer))
    }
}

impl Shared {
    /// Returns whether a request is in flight or its response is still being written.
    fn is_busy(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0 || self.busy.count() > 0
    }

    /// Waits until there has been no request for some time, since heads may still be arriving.
    async fn wait_until_idle(&self) {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < Duration::from_millis(DRAIN_IDLE_MS) {
            sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
            if self.is_busy() {
                idle_since = Instant::now();
            }
        }
    }
}

/// `DrainOutcome` is the result of draining a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainOutcome {
    /// Requests that were still in flight at the drain timeout and were cut off.
    pub requests_cut: u64,
    /// Bills that were not recorded before the drain timeout.
    pub bills_lost: u64,
}

impl Node<Running> {
    /// Starts a node. It is ready once it has a configuration that the platform confirmed.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if a listening socket cannot be bound and [`Error::Metrics`] if
    /// the metrics exporter cannot be built.
    pub async fn start(settings: Settings, environment: Environment) -> Result<Self> {
        let listeners = Listeners::bind(&environment.network, &settings).await?;
        let callers_address = listeners.callers.address();
        let operators_address = listeners.operators.address();
        let nodes_address = listeners.nodes.address();
        let mut rng = ChaCha8Rng::seed_from_u64(environment.seed);
        let (shared, writer) = Shared::build(settings, &environment, &nodes_address, &mut rng)?;
        shared.tasks.spawn(writer.run());
        spawn_platform_tasks(&shared, listeners.nodes);
        serve_callers(&shared, &environment, rng, listeners.callers);
        serve_operators(&shared, listeners.operators);
        info!(shared.logger, "node started";
            "callers" => &callers_address, "operators" => &operators_address);
        Ok(Node { shared, callers_address, operators_address, nodes_address, state: PhantomData })
    }

    /// Reports the node as not ready. It accepts requests until [`Node::finish`] has given the load
    /// balancer time to notice.
    pub fn drain(self) -> Node<Draining> {
        self.shared.is_draining.store(true, Ordering::Relaxed);
        info!(self.shared.logger, "node reports not ready and starts to drain");
        Node {
            shared: self.shared,
            callers_address: self.callers_address,
            operators_address: self.operators_address,
            nodes_address: self.nodes_address,
            state: PhantomData,
        }
    }
}

impl Node<Draining> {
    /// Waits for requests in flight, flushes claims and bills, and stops all tasks.
    pub async fn finish(self) -> DrainOutcome {
        let shared = &self.shared;
        let options = &shared.settings.shutdown;
        sleep(Duration::from_millis(options.balancer_delay_ms)).await;
        shared.stop_callers.cancel();
        let drain_timeout = Duration::from_millis(options.drain_ms);
        let drained = timeout(drain_timeout, async {
            shared.wait_until_idle().await;
            shared.claims.flush().await;
            // Bills held for other nodes would be lost when this node exits.
            shared.mesh.leave().into_iter().for_each(|bill| shared.bills.record(bill));
            shared.bills.flush().await;
            // The platform may have been slow, and requests may have arrived in the meantime.
            while shared.is_busy() {
                shared.wait_until_idle().await;
                shared.claims.flush().await;
                shared.bills.flush().await;
            }
        });
        let timed_out = drained.await.is_err();
        let outcome = DrainOutcome {
            requests_cut: shared.in_flight.load(Ordering::Relaxed),
            bills_lost: u64::try_from(shared.bills.backlog()).unwrap_or(u64::MAX),
        };
        shared.stop_operators.cancel();
        if !timed_out {
            // Complete responses may not have been sent to the callers yet.
            sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS)).await;
        }
        shared.tasks.abort();
        shared.tasks.wait_all().await;
        info!(shared.logger, "node stopped";
            "requests_cut" => outcome.requests_cut, "bills_lost" => outcome.bills_lost);
        outcome
    }
}

/// Interval at which a draining node polls its number of requests in flight, in milliseconds.
const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// Time without any request after which a draining node counts as drained, in milliseconds. A
/// request head may still take some round trips to arrive.
const DRAIN_IDLE_MS: u64 = 200;

impl<S> Node<S> {
    /// Returns the address that callers connect to.
    pub fn callers_address(&self) -> &str {
        &self.callers_address
    }

    /// Returns the address that operators connect to.
    pub fn operators_address(&self) -> &str {
        &self.operators_address
    }

    /// Returns the address that other nodes connect to.
    pub fn nodes_address(&self) -> &str {
        &self.nodes_address
    }

    /// Returns the status of the node.
    pub fn status(&self) -> NodeStatus {
        self.shared.status()
    }

    /// Aborts all tasks without a drain, as if the process had been killed.
    pub fn kill(self) {
        self.shared.tasks.abort();
    }

    /// Waits until the node is ready.
    pub async fn wait_until_ready(&self) {
        let mut generation = self.shared.config.subscribe();
        // Cannot fail: the configuration cell that this node holds owns the sender.
        let _ = generation.wait_for(|generation| *generation > Generation::default()).await;
    }
}

impl StatusSource for Shared {
    fn status(&self) -> NodeStatus {
        let generation = self.config.current().generation;
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        let counters = Counter::ALL
            .iter()
            .map(|&counter| (counter.name().to_owned(), self.counters.value(counter)))
            .collect();
        NodeStatus {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            ready: generation > Generation::default() && !is_draining,
            generation: generation.0,
            in_flight: self.in_flight.load(Ordering::Relaxed),
            bills_backlog: u64::try_from(self.bills.backlog()).unwrap_or(u64::MAX),
            rss_kib: resident_kib(),
            nodes_alive: u64::try_from(self.mesh.alive_count()).unwrap_or(u64::MAX),
            links: u64::try_from(self.mesh.link_count()).unwrap_or(u64::MAX),
            link_bytes_sent: self.mesh.bytes_sent(),
            counters,
        }
    }
}

/// Spawns the tasks that watch the rules, poll the list of VMs and keep links to other nodes.
fn spawn_platform_tasks(shared: &Arc<Shared>, nodes: Box<dyn Listener>) {
    let (config, counters) = (Arc::clone(&shared.config), shared.counters.clone());
    let rules_loader = Arc::new(RulesLoader::new(config, counters, shared.logger.clone()));
    let follower = RulesWatcher {
        store: Arc::clone(&shared.store) as SharedStore,
        rules_loader: Arc::clone(&rules_loader),
        options: shared.settings.follower.clone(),
    };
    shared.tasks.spawn(follower.run());
    if shared.settings.is_linked() {
        let local = LocalState {
            config: Arc::clone(&shared.config),
            rules_loader,
            bills: shared.bills.clone(),
        };
        shared.mesh.run(nodes, Arc::new(local));
        shared.tasks.spawn(announce_generations(shared.mesh.clone(), shared.config.subscribe()));
    }
    let (config, mesh) = (Arc::clone(&shared.config), shared.mesh.clone());
    let apply = move |vms: Vec<Vm>| apply_vms(&vms, &config, &mesh);
    let interval_ms = shared.settings.vms_interval_ms;
    let logger = shared.logger.clone();
    shared.tasks.spawn(poll_vms(Arc::clone(&shared.store), interval_ms, logger, apply));
}

/// Starts the server for callers.
fn serve_callers(
    shared: &Arc<Shared>,
    environment: &Environment,
    rng: ChaCha8Rng,
    listener: Box<dyn Listener>,
) {
    let settings = &shared.settings;
    let budget = ByteBudgetOptions::for_vm(settings.memory_mb, settings.descriptors_max);
    let budget = ByteBudget::new(budget);
    let registry = Registry::new(environment.network.clone(), settings.upstreams.clone());
    let handler = RequestHandler {
        config: Arc::clone(&shared.config),
        dispatcher: Dispatcher {
            config: Arc::clone(&shared.config),
            registry: Arc::new(registry),
            counters: shared.counters.clone(),
        },
        claims: shared.claims.clone(),
        bills: shared.bills.clone(),
        sessions: settings.session_keys.clone(),
        clock: shared.clock,
        counters: shared.counters.clone(),
        tasks: shared.tasks.clone(),
        zone: settings.zone.clone(),
        limits: settings.limits.clone(),
        options: settings.requests.clone(),
        budget: budget.clone(),
        rng: Mutex::new(rng),
        in_flight: Arc::clone(&shared.in_flight),
    };
    let server = Server {
        options: ServerOptions {
            header_timeout_ms: settings.header_timeout_ms,
            ..ServerOptions::default()
        }
        .shared(),
        tasks: shared.tasks.clone(),
        stop: shared.stop_callers.clone(),
    };
    let busy = shared.busy.clone();
    shared.tasks.spawn(server.run_budgeted(listener, Arc::new(handler), busy, budget));
}

/// Starts the server for operators.
fn serve_operators(shared: &Arc<Shared>, listener: Box<dyn Listener>) {
    let admin =
        AdminHandler { source: Arc::clone(shared), key_hash: shared.settings.operators_key_hash };
    let server = Server {
        options: ServerOptions::default().shared(),
        tasks: shared.tasks.clone(),
        stop: shared.stop_operators.clone(),
    };
    shared.tasks.spawn(server.run(listener, Arc::new(admin)));
}

/// Builds the counters, which are exported by StatsD if an address is configured.
fn build_counters(settings: &Settings) -> Result<Counters> {
    let Some(address) = settings.statsd_address else {
        return Ok(Counters::in_memory());
    };
    let failed = |error: &dyn std::fmt::Display| Error::Metrics(error.to_string());
    let socket = UdpSocket::bind("0.0.0.0:0").map_err(|error| failed(&error))?;
    socket.set_nonblocking(true).map_err(|error| failed(&error))?;
    let sink = UdpMetricSink::from(address, socket).map_err(|error| failed(&error))?;
    let client = StatsdClient::from_sink("fescuelock", QueuingMetricSink::from(sink));
    Ok(Counters::new(client))
}

async fn listen(network: &SharedNetwork, address: &str) -> Result<Box<dyn Listener>> {
    network
        .listen(address)
        .await
        .map_err(|source| Error::Listen { address: address.to_owned(), source })
}
