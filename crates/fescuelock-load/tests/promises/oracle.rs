//! What must hold, from the sets of what was asked, run, answered and billed.

use std::collections::{BTreeMap, BTreeSet};

use fescuelock_load::caller::Reply;
use fescuelock_load::samples::{CHEAP_ONLY_TEAM, CHEAP_TEAM};
use fescuelock_standin::engine::Run;
use fescuelock_store::bills::Ledger;
use tokio::time::Instant;

/// `Asked` is one request with its answer.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The node that it was sent to, by the number of its start.
    pub start: u64,
    /// Whether it was a call that may not be repeated.
    pub is_order: bool,
    /// Idempotency key.
    pub key: Option<u8>,
    /// Version that its session is bound to, if it belongs to one.
    pub bound: Option<String>,
    /// The answer, once the caller has one or has given up.
    pub reply: Option<Reply>,
}

impl Asked {
    fn is_not_run(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.outcome == "not_run")
    }
}

/// `Oracle` keeps what has happened.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Requests that have been sent.
    pub asked: Vec<Asked>,
    /// Starts of nodes that were killed.
    pub killed: BTreeSet<u64>,
    /// Times during which a version or zone was barred: name, from, until.
    pub barred: Vec<(String, Instant, Option<Instant>)>,
    /// Highest generation seen in force by the start of a node.
    pub generations: BTreeMap<u64, u64>,
}

impl Oracle {
    /// Notes a generation that a node has in force.
    pub fn see_generation(&mut self, start: u64, generation: u64) {
        let highest = self.generations.entry(start).or_insert(generation);
        assert!(generation >= *highest, "node {start} went from {highest} to {generation}");
        *highest = generation;
    }

    /// Checks what must hold at any time.
    pub fn check_runs(&self, engine_runs: &[Run], service_runs: &[Run]) {
        self.check_at_most_once(service_runs);
        self.check_not_run(engine_runs, service_runs);
        self.check_answers(engine_runs, service_runs);
        self.check_barred(engine_runs);
    }

    /// A call that may not be repeated has run at most once.
    fn check_at_most_once(&self, service_runs: &[Run]) {
        let mut seen = BTreeSet::new();
        for run in service_runs {
            assert!(seen.insert(&run.request), "{} ran twice", run.request);
        }
    }

    /// A refusal that says "not run" is true.
    fn check_not_run(&self, engine_runs: &[Run], service_runs: &[Run]) {
        for asked in self.asked.iter().filter(|asked| asked.is_not_run()) {
            let id = &asked.reply.as_ref().expect("it was refused").request_id;
            let runs = if asked.is_order { service_runs } else { engine_runs };
            let has_run = runs.iter().any(|run| run.request == *id);
            // Another attempt of a keyed request, perhaps still in flight, may be the one that ran.
            let excused = asked.key.is_some()
                && self.asked.iter().any(|other| {
                    other.is_order == asked.is_order
                        && other.key == asked.key
                        && !other.is_not_run()
                });
            assert!(!has_run || excused, "said not run and ran: {asked:?}");
        }
    }

    /// An answer that ends cleanly is the whole answer to its own request.
    fn check_answers(&self, engine_runs: &[Run], service_runs: &[Run]) {
        for asked in &self.asked {
            let Some(reply) = &asked.reply else {
                continue;
            };
            assert!(!reply.is_misdelivered, "an answer to another request: {asked:?}");
            let claims_success = reply.status == 200 && reply.complete;
            assert!(!claims_success || reply.correct, "a cut answer ended cleanly: {asked:?}");
            let runs = if asked.is_order { service_runs } else { engine_runs };
            let has_run = runs.iter().any(|run| run.request == reply.request_id);
            assert!(!claims_success || has_run, "answered and not run: {asked:?}");
            if let (Some(bound), true) = (&asked.bound, claims_success) {
                assert_eq!(*bound, reply.version, "a session has moved");
            }
            let allowed = matches!(
                (reply.status, reply.outcome.as_str()),
                (0, "") | (200, _) | (_, "not_run" | "unknown")
            );
            assert!(allowed, "an answer without an outcome: {asked:?}");
        }
    }

    /// A barred version or upstream has received no work while it was barred.
    fn check_barred(&self, engine_runs: &[Run]) {
        for (name, from, until) in &self.barred {
            let within = |at: Instant| at > *from && until.is_none_or(|until| at < until);
            let worked = engine_runs.iter().find(|run| run.target == *name && within(run.at));
            assert!(worked.is_none(), "{name} took new work while barred: {worked:?}");
        }
    }

    /// Checks the bills after all nodes have stopped.
    pub fn check_bills(&self, ledger: &Ledger, engine_runs: &[Run], service_runs: &[Run]) {
        assert_eq!(ledger.malformed, 0);
        for (id, bill) in &ledger.bills {
            let id = id.to_string();
            let has_run = engine_runs.iter().chain(service_runs).any(|run| run.request == id);
            assert!(has_run, "billed and not run: {bill:?}");
            assert!([CHEAP_TEAM, CHEAP_ONLY_TEAM].contains(&bill.team.as_str()));
        }
        let billed: BTreeSet<String> = ledger.bills.keys().map(ToString::to_string).collect();
        for asked in &self.asked {
            // A stored answer was billed by the node that got it, which may have died.
            let reply = asked.reply.as_ref().expect("all requests have ended");
            let survived = !self.killed.contains(&asked.start) && !reply.replayed;
            if survived && reply.status == 200 && reply.complete {
                assert!(billed.contains(&reply.request_id), "not billed: {asked:?}");
            }
        }
        let keyed = self.asked.iter().any(|asked| !asked.is_order && asked.key.is_some());
        // A bill may be recorded by two nodes; only with one cost does it merge to one bill.
        assert!(keyed || ledger.conflicting == 0, "{} bills differ", ledger.conflicting);
    }
}
