//! The system under test: an in-memory deployment that executes the steps.

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

use super::common::TestCluster;
use super::model::{Edit, Model, NODES, SessionChoice, Step};
use super::oracle::{Oracle, SentRequest};

/// Timeout of a caller, in milliseconds.
const CALLER_LIMIT_MS: u64 = 20_000;
/// Time within which the deployment must recover after all faults are cleared.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

/// `System` is a deployment together with the oracle that checks its run.
pub struct System {
    runtime: Runtime,
    test_cluster: Option<TestCluster>,
    shared: Arc<Mutex<Shared>>,
    pending: Vec<JoinHandle<()>>,
    incarnations: [u64; NODES],
    next_incarnation: u64,
    sent: u64,
    withdrawn: bool,
    zone_out: bool,
    rollout: u32,
}

/// `Shared` is the state that the callers' tasks update.
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
        let test_cluster = runtime.block_on(TestCluster::start_with(ClusterOptions {
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
            test_cluster: Some(test_cluster),
            shared: Arc::default(),
            pending: Vec::new(),
            incarnations: [0, 1, 2],
            next_incarnation: 3,
            sent: 0,
            withdrawn: false,
            zone_out: false,
            rollout: 50,
        }
    }

    fn apply(mut system: System, _model: &Model, step: Step) -> System {
        let test_cluster = system.test_cluster.take().expect("the deployment runs");
        let runtime = std::mem::replace(
            &mut system.runtime,
            Builder::new_current_thread().build().expect("a runtime is built"),
        );
        let test_cluster = runtime.block_on(system.step(test_cluster, step));
        system.runtime = runtime;
        system.test_cluster = Some(test_cluster);
        system
    }

    fn check_invariants(system: &System, _model: &Model) {
        let test_cluster = system.test_cluster.as_ref().expect("the deployment runs");
        let mut shared = system.shared.lock().expect("no caller has panicked");
        for node in 0..NODES {
            if let Some(running) = test_cluster.cluster.node(node) {
                let generation = running.status().generation;
                shared.oracle.record_generation(system.incarnations[node], generation);
            }
        }
        shared.oracle.check_runs(&test_cluster.engine_runs(), &test_cluster.service_runs());
    }

    fn teardown(mut system: System, _model: Model) {
        let mut test_cluster = system.test_cluster.take().expect("the deployment runs");
        system.runtime.block_on(async {
            clear_faults(&test_cluster);
            sleep(RECOVERY_TIME).await;
            for pending in system.pending.drain(..) {
                pending.await.expect("no caller panics");
            }
            for node in 0..NODES {
                if let Some(drained) = test_cluster.cluster.drain_node(node).await {
                    assert_eq!((drained.requests_cut, drained.bills_lost), (0, 0));
                }
            }
            let ledger =
                read_ledger(test_cluster.cluster.store.as_ref()).await.expect("bills are read");
            let shared = system.shared.lock().expect("no caller has panicked");
            let (engine_runs, service_runs) =
                (test_cluster.engine_runs(), test_cluster.service_runs());
            shared.oracle.check_runs(&engine_runs, &service_runs);
            shared.oracle.check_bills(&ledger, &engine_runs, &service_runs);
        });
        test_cluster.cluster.stop();
    }
}

impl System {
    async fn step(&mut self, mut test_cluster: TestCluster, step: Step) -> TestCluster {
        match step {
            Step::Chat { node, stream, session, key } => {
                self.chat(&test_cluster, node, stream, session, key);
            }

            Step::Order { node, key } => self.order(&test_cluster, node, key),

            Step::Platform(faults) => test_cluster.platform_faults(faults),

            Step::Engine(engine_index, faults) => {
                let engine = test_cluster.cluster.deployment.engines.values().nth(engine_index);
                engine.expect("there are four engines").set_faults(faults);
            }

            Step::Service(vm_index, faults) => {
                let service = test_cluster.cluster.deployment.services.values().nth(vm_index);
                service.expect("there are two VMs").set_faults(faults);
            }

            Step::Silence(connection) => {
                let address = match connection {
                    0 => test_cluster.cluster.deployment.platform_address.clone(),
                    port => format!("127.0.0.1:{}", 19_000 + port),
                };
                test_cluster.network.stall_connections(&address);
            }

            Step::Kill(node) => {
                test_cluster.cluster.kill_node(node);
                let mut shared = self.shared.lock().expect("no caller has panicked");
                shared.oracle.killed.insert(self.incarnations[node]);
            }

            Step::Restart(node) => self.start(&mut test_cluster, node).await,

            Step::Replace(node) => {
                self.replace(&mut test_cluster, node).await;
            }

            Step::Edit(edit) => self.edit(&test_cluster, edit).await,

            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
        }
        // Lets the spawned tasks start.
        sleep(Duration::from_millis(1)).await;
        test_cluster
    }

    fn chat(
        &mut self,
        test_cluster: &TestCluster,
        node: usize,
        stream: bool,
        choice: SessionChoice,
        key: Option<u8>,
    ) {
        self.sent += 1;
        let shared = Arc::clone(&self.shared);
        let existing_session = {
            let shared = shared.lock().expect("no caller has panicked");
            match choice {
                SessionChoice::Existing(index) if !shared.sessions.is_empty() => {
                    Some(shared.sessions[index % shared.sessions.len()].clone())
                }
                _ => None,
            }
        };
        let session = match (&existing_session, choice) {
            (Some((token, _)), _) => Some(token.clone()),
            (None, SessionChoice::New) => Some("new".to_owned()),
            _ => None,
        };
        // Requests with the same key carry the same prompt, so they are duplicates.
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
        let caller = test_cluster.caller(node, CHEAP_TEAM);
        let bound_version = existing_session.map(|(_, version)| version);
        let incarnation = self.incarnations[node];
        let request_index = self.record_request(SentRequest {
            incarnation,
            is_order: false,
            key,
            bound_version,
            reply: None,
        });
        self.pending.push(tokio::spawn(async move {
            let reply = caller.chat(&chat).await;
            let mut shared = shared.lock().expect("no caller has panicked");
            if let (Some(token), true) = (&reply.session, reply.is_ok()) {
                shared.sessions.push((token.clone(), reply.version.clone()));
            }
            shared.oracle.sent_requests[request_index].reply = Some(reply);
        }));
    }

    fn order(&mut self, test_cluster: &TestCluster, node: usize, key: Option<u8>) {
        let call = ServiceCall {
            body: format!("order {key:?}"),
            idempotency_key: key.map(|key| format!("order-{key}")),
            timeout_ms: CALLER_LIMIT_MS,
            ..ServiceCall::default()
        };
        let caller = test_cluster.caller(node, CHEAP_TEAM);
        let shared = Arc::clone(&self.shared);
        let incarnation = self.incarnations[node];
        let request_index = self.record_request(SentRequest {
            incarnation,
            is_order: true,
            key,
            bound_version: None,
            reply: None,
        });
        self.pending.push(tokio::spawn(async move {
            let reply = caller.call(&call).await;
            let mut shared = shared.lock().expect("no caller has panicked");
            shared.oracle.sent_requests[request_index].reply = Some(reply);
        }));
    }

    /// Records a request that is about to be sent, and returns its index.
    fn record_request(&self, sent_request: SentRequest) -> usize {
        let mut shared = self.shared.lock().expect("no caller has panicked");
        shared.oracle.sent_requests.push(sent_request);
        shared.oracle.sent_requests.len() - 1
    }

    async fn start(&mut self, test_cluster: &mut TestCluster, node: usize) {
        let stored = test_cluster.cluster.deployment.platform.version("config/rules");
        test_cluster.cluster.start_node(node).await.expect("the node gets ready");
        let generation =
            test_cluster.cluster.node(node).expect("the node runs").status().generation;
        assert!(generation >= stored, "a new node started with {generation} after {stored}");
        self.incarnations[node] = self.next_incarnation;
        self.next_incarnation += 1;
    }

    /// Drains a node in the background while traffic continues, and starts its replacement.
    async fn replace(&mut self, test_cluster: &mut TestCluster, node: usize) {
        if let Some(running) = test_cluster.cluster.remove_node(node) {
            self.pending.push(tokio::spawn(async move {
                running.drain().finish().await;
            }));
        }
        self.start(test_cluster, node).await;
    }

    async fn edit(&mut self, test_cluster: &TestCluster, edit: Edit) {
        let (was_withdrawn, zone_was_out, previous_rollout) =
            (self.withdrawn, self.zone_out, self.rollout);
        match edit {
            Edit::Withdraw(withdrawn) => self.withdrawn = withdrawn,
            Edit::ZoneOut(out) => self.zone_out = out,
            Edit::Rollout(percent) => self.rollout = percent,
        }
        if (was_withdrawn, zone_was_out, previous_rollout)
            == (self.withdrawn, self.zone_out, self.rollout)
        {
            return;
        }
        let edit_start = Instant::now();
        let text = |text: &str| self.rules(text);
        test_cluster.edit(text).await;
        let mut shared = self.shared.lock().expect("no caller has panicked");
        let excluded = &mut shared.oracle.excluded;
        if self.withdrawn && !was_withdrawn {
            excluded.push((NEXT_VERSION.to_owned(), Instant::now(), None));
        }
        if !self.withdrawn && was_withdrawn {
            let last = excluded.last_mut().expect("the version was excluded");
            last.2 = Some(edit_start);
        }
    }

    /// Returns the rules with the current withdrawal, excluded zone and roll-out.
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

/// Clears the faults of the platform, engines and services.
fn clear_faults(test_cluster: &TestCluster) {
    test_cluster.platform_faults(PlatformFaults::default());
    test_cluster.engine_faults(&EngineFaults::default());
    test_cluster.service_faults(&EngineFaults::default());
}
