//! A node: its servers, its tasks and its end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fescuelock_core::rules::Steering;
use fescuelock_http::net::SharedNetwork;
use fescuelock_http::server::{Handler, Server, ServerOptions, SharedOptions};
use fescuelock_policy::node::NodeSettings;
use fescuelock_store::Error as StoreError;
use fescuelock_store::resources::{Collection, SharedResources};
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::beliefs::Beliefs;
use crate::follow::{self, Follower};
use crate::front::Front;
use crate::log::{Lines, TAG_LIFE};
use crate::peers::Peers;
use crate::readiness::Readiness;
use crate::rollouts::Verdict;
use crate::{Error, Result};

/// Time for which a stopping node takes new connections, in milliseconds: the balancer drops a node
/// after two checks a second apart.
const ACCEPT_AFTER_STOP_MS: u64 = 2_300;

/// Time for which connections of checks and of readers of metrics may stay idle, in milliseconds.
/// Metrics are read about once a minute at the slowest.
const READINESS_IDLE_MS: u64 = 72_000;

/// Time before the kill at which a stopping node ends what it still has, in milliseconds.
const END_BEFORE_KILL_MS: u64 = 250;

/// Interval at which a stopping node looks whether it has finished, in milliseconds.
const FINISH_INTERVAL_MS: u64 = 50;

/// Time without any request after which a stopping node has finished, in milliseconds: a head takes
/// some round trips to arrive.
const FINISH_QUIET_MS: u64 = 200;

/// Interval at which roll-outs are judged, in milliseconds.
const JUDGE_INTERVAL_MS: u64 = 150;

/// Time that a node leaves to each node that ranks before it to write a verdict, in milliseconds.
const WRITE_TURN_MS: u64 = 350;

/// Time for one write of a verdict, in milliseconds. Slow stores take some hundred.
const WRITE_TIMEOUT_MS: u64 = 2_000;

/// Collections that a node follows.
const FOLLOWED: [Collection; 4] =
    [Collection::Deployment, Collection::Upstreams, Collection::Rollouts, Collection::Evacuations];

/// `NodeOptions` is what a node is built from.
pub struct NodeOptions {
    /// What the deployment tells the node.
    pub settings: NodeSettings,
    /// How operators weigh cost, quality and risk.
    pub steering: Steering,
    /// The network.
    pub network: SharedNetwork,
    /// The object store.
    pub store: SharedResources,
    /// The log.
    pub logger: Logger,
    /// The lines that the log writes to, of which metrics tell how many were left out.
    pub lines: Lines,
    /// Seed of the node's random numbers.
    pub seed: u64,
    /// Address that metrics are served on beside the readiness address, if any.
    pub metrics_address: Option<String>,
    /// Whether reports are exchanged with other nodes.
    pub has_peers: bool,
}

/// `Node` is a running node.
pub struct Node {
    beliefs: Arc<Beliefs>,
    accepting: CancellationToken,
    readiness: CancellationToken,
}

impl Node {
    /// Starts a node. It is ready once it knows the deployment and the upstreams.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] if an address cannot be listened on.
    pub async fn start(options: NodeOptions) -> Result<Self> {
        let NodeOptions { settings, steering, network, store, logger, lines, seed, .. } = options;
        info!(logger, #TAG_LIFE, "started"; "zone" => &settings.zone,
            "version" => env!("CARGO_PKG_VERSION"));
        let beliefs = Arc::new(Beliefs::new(settings, steering, network, (lines, logger), seed));
        let node = Node {
            beliefs: Arc::clone(&beliefs),
            accepting: CancellationToken::new(),
            readiness: CancellationToken::new(),
        };
        let settings = &beliefs.settings;
        let front = Arc::new(Front { beliefs: Arc::clone(&beliefs) });
        let options_of_callers = Arc::clone(&beliefs.callers_options);
        let stop = node.accepting.clone();
        node.listen(&settings.callers_address, front, options_of_callers, stop).await?;
        let readiness = Arc::new(Readiness { beliefs: Arc::clone(&beliefs) });
        let stop = node.readiness.clone();
        let own =
            ServerOptions { header_timeout_ms: READINESS_IDLE_MS, ..ServerOptions::default() }
                .shared();
        let address = &settings.readiness_address;
        node.listen(address, Arc::clone(&readiness), Arc::clone(&own), stop.clone()).await?;
        if let Some(address) = &options.metrics_address
            && let Err(error) = node.listen(address, readiness, own, stop).await
        {
            warn!(beliefs.logger, "no metrics address"; "error" => %error);
        }
        for collection in FOLLOWED {
            let store = Arc::clone(&store);
            let follower = Follower { beliefs: Arc::clone(&beliefs), store, collection };
            beliefs.tasks.spawn(follower.run());
        }
        beliefs.tasks.spawn(follow::drop_gone(Arc::clone(&beliefs)));
        let peers = match options.has_peers {
            true => node.open_peers(&store).await,
            false => None,
        };
        beliefs.tasks.spawn(judge(Arc::clone(&beliefs), store, peers));
        Ok(node)
    }

    /// Returns what the node believes.
    pub fn beliefs(&self) -> &Arc<Beliefs> {
        &self.beliefs
    }

    /// Stops the node: no new work, then an end once all requests have ended or the time is up.
    ///
    /// Returns the number of requests that were cut.
    pub async fn stop(self) -> u64 {
        let stopped = Instant::now();
        let in_flight = &self.beliefs.in_flight;
        info!(self.beliefs.logger, #TAG_LIFE, "stopping";
            "in_flight" => in_flight.load(Ordering::Relaxed));
        self.beliefs.stopping.cancel();
        let grace_ms = self.beliefs.bounds().grace_ms;
        let end = stopped + Duration::from_millis(grace_ms.saturating_sub(END_BEFORE_KILL_MS));
        sleep(Duration::from_millis(ACCEPT_AFTER_STOP_MS)).await;
        self.accepting.cancel();
        // Connections may still finish heads that were under way when they were told to end.
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() < Duration::from_millis(FINISH_QUIET_MS) && Instant::now() < end
        {
            sleep(Duration::from_millis(FINISH_INTERVAL_MS)).await;
            if in_flight.load(Ordering::Relaxed) > 0 {
                quiet_since = Instant::now();
            }
        }
        let cut = in_flight.load(Ordering::Relaxed);
        info!(self.beliefs.logger, #TAG_LIFE, "stopped"; "cut" => cut);
        // Last answers and log lines are still written.
        sleep(Duration::from_millis(FINISH_INTERVAL_MS)).await;
        self.beliefs.tasks.abort();
        cut
    }

    async fn listen(
        &self,
        address: &str,
        handler: Arc<impl Handler>,
        options: SharedOptions,
        stop: CancellationToken,
    ) -> Result<()> {
        let listener = self.beliefs.network.listen(address).await;
        let listener =
            listener.map_err(|source| Error::Listen { address: address.to_owned(), source })?;
        let server = Server { options, tasks: self.beliefs.tasks.clone(), stop };
        self.beliefs.tasks.spawn(server.run(listener, handler));
        Ok(())
    }

    async fn open_peers(&self, store: &SharedResources) -> Option<Arc<Peers>> {
        let peers = match Peers::open(Arc::clone(&self.beliefs)).await {
            Ok(peers) => Arc::new(peers),

            Err(error) => {
                warn!(self.beliefs.logger, "no reports between nodes"; "error" => %error);
                return None;
            }
        };
        let (sending, listening) = (Arc::clone(&peers), Arc::clone(&peers));
        let (registering, store) = (Arc::clone(&peers), Arc::clone(store));
        self.beliefs.tasks.spawn(async move { sending.report().await });
        self.beliefs.tasks.spawn(async move { listening.listen().await });
        self.beliefs.tasks.spawn(async move { registering.register(&store).await });
        Some(peers)
    }
}

/// Judges roll-outs, and writes their states when it is this node's turn.
async fn judge(beliefs: Arc<Beliefs>, store: SharedResources, peers: Option<Arc<Peers>>) {
    loop {
        sleep(Duration::from_millis(JUDGE_INTERVAL_MS)).await;
        let now_ms = beliefs.now_ms();
        let verdicts = beliefs.fleet().judge_rollouts(now_ms);
        if beliefs.stopping.is_cancelled() {
            continue;
        }
        let rank = peers.as_ref().map_or(0, |peers| peers.rank());
        let turn_ms = u64::try_from(rank).unwrap_or(u64::MAX).saturating_mul(WRITE_TURN_MS);
        for verdict in verdicts {
            if verdict.wanted_for_ms >= turn_ms && beliefs.has_upstreams.load(Ordering::Relaxed) {
                write(&beliefs, &store, verdict).await;
            }
        }
    }
}

/// Writes the state of a roll-out. Writing it twice does no harm.
async fn write(beliefs: &Beliefs, store: &SharedResources, verdict: Verdict) {
    let (name, revision) = &verdict.resource;
    let status =
        fescuelock_platform::orders::encode_rollout_state(verdict.state, &verdict.order.version);
    let writing = store.set_status(Collection::Rollouts, name, status, *revision);
    let started = Instant::now();
    let written = timeout(Duration::from_millis(WRITE_TIMEOUT_MS), writing).await;
    beliefs.note_store_call("status", started);
    let outcome = match &written {
        Ok(Ok(())) => "written".to_owned(),
        // Another node wrote first, and the watch tells what.
        Ok(Err(StoreError::Conflict)) => "overtaken".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer".to_owned(),
    };
    info!(beliefs.logger, "roll-out verdict"; "service" => &verdict.order.pool,
        "version" => &verdict.order.version, "state" => ?verdict.state,
        "score" => verdict.score, "answers" => verdict.answers, "revision" => revision,
        "outcome" => outcome);
}
