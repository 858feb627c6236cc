//! The reference model: the steps of a random run and the state that decides which are valid.

use fescuelock_standin::faults::{EngineFaults, PlatformFaults};
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Number of nodes in the deployment.
pub const NODES: usize = 3;

/// `SessionChoice` selects the session of a chat request.
#[derive(Debug, Clone, Copy)]
pub enum SessionChoice {
    /// No session.
    Without,
    /// A new session.
    New,
    /// A session from an earlier answer, by its index modulo their number.
    Existing(usize),
}

/// `Edit` is a change of the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Edit {
    /// Withdraws the next version, or cancels its withdrawal.
    Withdraw(bool),
    /// Sets the percentage of traffic that goes to the next version.
    Rollout(u32),
    /// Excludes an availability zone from routing, or includes it again.
    ZoneOut(bool),
}

/// `Step` is one transition of a run.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends a chat request without waiting for its answer.
    Chat { node: usize, stream: bool, session: SessionChoice, key: Option<u8> },
    /// Sends a non-idempotent call without waiting for its answer.
    Order { node: usize, key: Option<u8> },
    /// Sets the faults of the platform.
    Platform(PlatformFaults),
    /// Sets the faults of an engine.
    Engine(usize, EngineFaults),
    /// Sets the faults of a VM of the plain service.
    Service(usize, EngineFaults),
    /// Makes the open connections to an upstream or to the platform stop carrying data.
    Silence(usize),
    /// Kills a node without draining it; `Restart` starts its replacement.
    Kill(usize),
    /// Starts a node in the place of a killed one.
    Restart(usize),
    /// Drains a node and starts its replacement.
    Replace(usize),
    /// Changes the rules and waits until the change is in force.
    Edit(Edit),
    /// Advances the clock by a number of milliseconds.
    Wait(u64),
}

/// `Model` is the state that the preconditions of steps depend on.
#[derive(Debug, Clone)]
pub struct Model {
    alive: [bool; NODES],
    platform_healthy: bool,
}

fn share() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(0.3), Just(1.0)]
}

fn platform_faults() -> impl Strategy<Value = PlatformFaults> {
    let fault = |change: fn(&mut PlatformFaults)| {
        let mut faults = PlatformFaults::default();
        change(&mut faults);
        Just(faults)
    };
    prop_oneof![
        3 => Just(PlatformFaults::default()),
        2 => share().prop_map(|lost_answer_share| PlatformFaults {
            lost_answer_share,
            ..PlatformFaults::default()
        }),
        1 => fault(|faults| faults.outage = true),
        1 => fault(|faults| faults.silent = true),
        1 => fault(|faults| faults.slow_ms = 300),
        1 => fault(|faults| faults.silent_watches = true),
        2 => fault(|faults| {
            faults.silent_watches = true;
            faults.stale_reads = true;
        }),
    ]
}

fn upstream_faults() -> impl Strategy<Value = EngineFaults> {
    let fault = |change: fn(&mut EngineFaults)| {
        let mut faults = EngineFaults::default();
        change(&mut faults);
        Just(faults)
    };
    prop_oneof![
        3 => Just(EngineFaults::default()),
        1 => fault(|faults| faults.silent = true),
        1 => fault(|faults| faults.late_ms = 400),
        1 => fault(|faults| faults.late_ms = 3_000),
        1 => fault(|faults| faults.crossed = true),
        1 => fault(|faults| faults.cut_after_tokens = Some(3)),
        1 => fault(|faults| {
            faults.cut_after_tokens = Some(0);
            faults.cut_cleanly = true;
        }),
        1 => fault(|faults| {
            faults.cut_after_tokens = Some(5);
            faults.cut_with_marker = true;
        }),
        1 => fault(|faults| faults.cold_bound = Some(1)),
        1 => share().prop_map(|lost_answer_share| EngineFaults {
            lost_answer_share,
            ..EngineFaults::default()
        }),
    ]
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        any::<bool>().prop_map(Edit::Withdraw),
        prop_oneof![Just(0), Just(50), Just(100)].prop_map(Edit::Rollout),
        any::<bool>().prop_map(Edit::ZoneOut),
    ]
}

fn session() -> impl Strategy<Value = SessionChoice> {
    prop_oneof![
        Just(SessionChoice::Without),
        Just(SessionChoice::New),
        (0usize..8).prop_map(SessionChoice::Existing),
    ]
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model { alive: [true; NODES], platform_healthy: true }).boxed()
    }

    fn transitions(_state: &Model) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        prop_oneof![
            8 => (node(), any::<bool>(), session(), proptest::option::weighted(0.2, 0u8..4))
                .prop_map(|(node, stream, session, key)| Step::Chat { node, stream, session, key }),
            8 => (node(), proptest::option::weighted(0.9, 0u8..6))
                .prop_map(|(node, key)| Step::Order { node, key }),
            3 => platform_faults().prop_map(Step::Platform),
            2 => (0usize..4, upstream_faults()).prop_map(|(at, faults)| Step::Engine(at, faults)),
            3 => (0usize..2, upstream_faults()).prop_map(|(at, faults)| Step::Service(at, faults)),
            2 => (0usize..7).prop_map(Step::Silence),
            2 => node().prop_map(Step::Kill),
            3 => node().prop_map(Step::Restart),
            1 => node().prop_map(Step::Replace),
            2 => edit().prop_map(Step::Edit),
            4 => prop_oneof![Just(5u64), Just(100), Just(1_000), Just(8_000)].prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn preconditions(state: &Model, step: &Step) -> bool {
        match step {
            Step::Chat { node, .. } | Step::Order { node, .. } | Step::Kill(node) => {
                state.alive[*node]
            }

            // Starting a node and bringing an edit into force both need a platform without faults.
            Step::Restart(node) => !state.alive[*node] && state.platform_healthy,

            Step::Replace(node) => state.alive[*node] && state.platform_healthy,

            Step::Edit(_) => state.platform_healthy,

            _ => true,
        }
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        match step {
            Step::Kill(node) => state.alive[*node] = false,
            Step::Restart(node) => state.alive[*node] = true,
            Step::Platform(faults) => state.platform_healthy = *faults == PlatformFaults::default(),
            _ => {}
        }
        state
    }
}
