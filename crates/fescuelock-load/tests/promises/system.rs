//! The deployment that the steps are carried out on.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fescuelock_load::caller::{ChatRequest, ServiceCall};
use fescuelock_load::cluster::ClusterOptions;
use fescuelock_load::samples::{
    CHEAP_TEAM, CHEAP_VERSION, NEXT_VERSION, SampleOptions, rule, rules, with_rollout,
};
use fescuelock_standin::deployment::DeploymentOptions;
use fescuelock_standin::engine::EngineOptions;
use fescuelock_standin::faults::{EngineFaults, PlatformFaults};
use fescuelock_store::bills::read_ledger;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::common::Bed;
use super::model::{Edit, Model, NODES, SessionChoice, Step};
use super::oracle::{Asked, Oracle};

/// Time after which a caller gives up, in milliseconds.
const CALLER_LIMIT_MS: u64 = 20_000;
/// Time in which the deployment must be well again after all faults have ended.
const HEAL: Duration = Duration::from_secs(30);

/// `System` is a deployment with the oracle of its run.
pub struct System {
    runtime: Runtime,
    bed: Option<Bed>,
    shared: Arc<Mutex<Shared>>,
    pending: Vec<JoinHandle<()>>,
    starts: [u64; NODES],
    next_start: u64,
    sent: u64,
    withdrawn: bool,
    zone_out: bool,
    rollout: u32,
}

/// `Shared` is what the tasks of callers write to.
#[derive(Default)]
struct Shared {
    oracle: Oracle,
    sessions: Vec<(String, String)>,
}

impl StateMachineTest for System {
    type SystemUnderTest = System;
    type Reference = Model;

    fn init_test(_model: &<Model as ReferenceStateMachine>::State) -> System {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("the runtime starts");
        let bed = runtime.block_on(Bed::start_with(ClusterOptions {
            nodes: NODES,
            rules: with_rollout(&rules(&SampleOptions::default()), 50),
            deployment: DeploymentOptions {
                engine: EngineOptions {
                    first_token_us: 20_000,
                    token_gap_us: 30_000,
                    ..EngineOptions::default()
                },
                ..DeploymentOptions::default()
            },
            adjust_settings: |settings| {
                settings.requests.answer_timeout_ms = 2_000;
                settings.requests.stream_idle_ms = 1_000;
                settings.requests.claim_wait_ms = 3_000;
            },
            ..ClusterOptions::default()
        }));
        System {
            runtime,
            bed: Some(bed),
            shared: Arc::default(),
            pending: Vec::new(),
            starts: [0, 1, 2],
            next_start: 3,
            sent: 0,
            withdrawn: false,
            zone_out: false,
            rollout: 50,
        }
    }

    fn apply(mut system: System, _model: &Model, step: Step) -> System {
        let bed = system.bed.take().expect("the deployment runs");
        let runtime = std::mem::replace(
            &mut system.runtime,
            Builder::new_current_thread().build().expect("a runtime is built"),
        );
        let bed = runtime.block_on(system.step(bed, step));
        system.runtime = runtime;
        system.bed = Some(bed);
        system
    }

    fn check_invariants(system: &System, _model: &Model) {
        let bed = system.bed.as_ref().expect("the deployment runs");
        let mut shared = system.shared.lock().expect("no caller has panicked");
        for node in 0..NODES {
            if let Some(running) = bed.cluster.node(node) {
                let generation = running.status().generation;
                shared.oracle.see_generation(system.starts[node], generation);
            }
        }
        shared.oracle.check_runs(&bed.engine_runs(), &bed.service_runs());
    }

    fn teardown(mut system: System, _model: Model) {
        let mut bed = system.bed.take().expect("the deployment runs");
        system.runtime.block_on(async {
            heal(&bed);
            sleep(HEAL).await;
            for pending in system.pending.drain(..) {
                pending.await.expect("no caller panics");
            }
            for node in 0..NODES {
                if let Some(drained) = bed.cluster.drain_node(node).await {
                    assert_eq!((drained.requests_cut, drained.bills_lost), (0, 0));
                }
            }
            let ledger = read_ledger(bed.cluster.store.as_ref()).await.expect("bills are read");
            let shared = system.shared.lock().expect("no caller has panicked");
            let (engine_runs, service_runs) = (bed.engine_runs(), bed.service_runs());
            shared.oracle.check_runs(&engine_runs, &service_runs);
            shared.oracle.check_bills(&ledger, &engine_runs, &service_runs);
        });
        bed.cluster.stop();
    }
}

impl System {
    async fn step(&mut self, mut bed: Bed, step: Step) -> Bed {
        match step {
            Step::Chat { node, stream, session, key } => {
                self.chat(&bed, node, stream, session, key);
            }

            Step::Order { node, key } => self.order(&bed, node, key),

            Step::Platform(faults) => bed.platform_faults(faults),

            Step::Engine(at, faults) => {
                let engine = bed.cluster.deployment.engines.values().nth(at);
                engine.expect("there are four engines").set_faults(faults);
            }

            Step::Service(at, faults) => {
                let service = bed.cluster.deployment.services.values().nth(at);
                service.expect("there are two VMs").set_faults(faults);
            }

            Step::Silence(at) => {
                let address = match at {
                    0 => bed.cluster.deployment.platform_address.clone(),
                    port => format!("127.0.0.1:{}", 19_000 + port),
                };
                bed.network.stall_connections(&address);
            }

            Step::Kill(node) => {
                bed.cluster.kill_node(node);
                let mut shared = self.shared.lock().expect("no caller has panicked");
                shared.oracle.killed.insert(self.starts[node]);
            }

            Step::Restart(node) => self.start(&mut bed, node).await,

            Step::Replace(node) => {
                self.replace(&mut bed, node).await;
            }

            Step::Edit(edit) => self.edit(&bed, edit).await,

            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
        }
        // Lets what was spawned begin.
        sleep(Duration::from_millis(1)).await;
        bed
    }

    fn chat(
        &mut self,
        bed: &Bed,
        node: usize,
        stream: bool,
        choice: SessionChoice,
        key: Option<u8>,
    ) {
        self.sent += 1;
        let shared = Arc::clone(&self.shared);
        let given = {
            let shared = shared.lock().expect("no caller has panicked");
            match choice {
                SessionChoice::Given(index) if !shared.sessions.is_empty() => {
                    Some(shared.sessions[index % shared.sessions.len()].clone())
                }
                _ => None,
            }
        };
        let session = match (&given, choice) {
            (Some((token, _)), _) => Some(token.clone()),
            (None, SessionChoice::New) => Some("new".to_owned()),
            _ => None,
        };
        // Duplicates of a keyed request are the same request.
        let prompt = key.map_or_else(|| format!("p{}", self.sent), |key| format!("key {key}"));
        let chat = ChatRequest {
            model: "draft".to_owned(),
            prompt,
            stream,
            session,
            idempotency_key: key.map(|key| format!("chat-{key}")),
            timeout_ms: CALLER_LIMIT_MS,
            ..ChatRequest::default()
        };
        let caller = bed.caller(node, CHEAP_TEAM);
        let bound = given.map(|(_, version)| version);
        let start = self.starts[node];
        let asked = self.ask(Asked { start, is_order: false, key, bound, reply: None });
        self.pending.push(tokio::spawn(async move {
            let reply = caller.chat(&chat).await;
            let mut shared = shared.lock().expect("no caller has panicked");
            if let (Some(token), true) = (&reply.session, reply.is_ok()) {
                shared.sessions.push((token.clone(), reply.version.clone()));
            }
            shared.oracle.asked[asked].reply = Some(reply);
        }));
    }

    fn order(&mut self, bed: &Bed, node: usize, key: Option<u8>) {
        let call = ServiceCall {
            body: format!("order {key:?}"),
            idempotency_key: key.map(|key| format!("order-{key}")),
            timeout_ms: CALLER_LIMIT_MS,
            ..ServiceCall::default()
        };
        let caller = bed.caller(node, CHEAP_TEAM);
        let shared = Arc::clone(&self.shared);
        let start = self.starts[node];
        let asked = self.ask(Asked { start, is_order: true, key, bound: None, reply: None });
        self.pending.push(tokio::spawn(async move {
            let reply = caller.call(&call).await;
            let mut shared = shared.lock().expect("no caller has panicked");
            shared.oracle.asked[asked].reply = Some(reply);
        }));
    }

    /// Notes a request that is about to be sent, and returns its place.
    fn ask(&self, asked: Asked) -> usize {
        let mut shared = self.shared.lock().expect("no caller has panicked");
        shared.oracle.asked.push(asked);
        shared.oracle.asked.len() - 1
    }

    async fn start(&mut self, bed: &mut Bed, node: usize) {
        let stored = bed.cluster.deployment.platform.version("config/rules");
        bed.cluster.start_node(node).await.expect("the node gets ready");
        let generation = bed.cluster.node(node).expect("the node runs").status().generation;
        assert!(generation >= stored, "a new node started with {generation} after {stored}");
        self.starts[node] = self.next_start;
        self.next_start += 1;
    }

    /// Drains a node beside the traffic that goes on, and starts its successor.
    async fn replace(&mut self, bed: &mut Bed, node: usize) {
        if let Some(running) = bed.cluster.remove_node(node) {
            self.pending.push(tokio::spawn(async move {
                running.drain().finish().await;
            }));
        }
        self.start(bed, node).await;
    }

    async fn edit(&mut self, bed: &Bed, edit: Edit) {
        let (version, zone, rollout) = (self.withdrawn, self.zone_out, self.rollout);
        match edit {
            Edit::Withdraw(withdrawn) => self.withdrawn = withdrawn,
            Edit::ZoneOut(out) => self.zone_out = out,
            Edit::Rollout(percent) => self.rollout = percent,
        }
        if (version, zone, rollout) == (self.withdrawn, self.zone_out, self.rollout) {
            return;
        }
        let before = Instant::now();
        let text = |text: &str| self.rules(text);
        bed.edit(text).await;
        let mut shared = self.shared.lock().expect("no caller has panicked");
        let barred = &mut shared.oracle.barred;
        if self.withdrawn && !version {
            barred.push((NEXT_VERSION.to_owned(), Instant::now(), None));
        }
        if !self.withdrawn && version {
            let last = barred.last_mut().expect("the version was barred");
            last.2 = Some(before);
        }
    }

    /// Writes the rules of the present state.
    fn rules(&self, text: &str) -> String {
        let mut lines: BTreeMap<&str, String> = BTreeMap::new();
        if self.withdrawn {
            lines.insert("withdraw", rule(&format!("withdraw {NEXT_VERSION}")));
        }
        if self.zone_out {
            lines.insert("zone-out", rule("zone-out zone-0"));
        }
        let rollout =
            format!("rollout {NEXT_VERSION} from={CHEAP_VERSION} percent={}", self.rollout);
        lines.insert("rollout", rule(&rollout));
        let kept = text
            .lines()
            .filter(|line| {
                !["withdraw ", "zone-out ", "rollout "].iter().any(|word| line.starts_with(word))
            })
            .map(|line| format!("{line}\n"));
        kept.chain(lines.into_values()).collect()
    }
}

/// Ends all faults.
fn heal(bed: &Bed) {
    bed.platform_faults(PlatformFaults::default());
    bed.engine_faults(&EngineFaults::default());
    bed.service_faults(&EngineFaults::default());
}
