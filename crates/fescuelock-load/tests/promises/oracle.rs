//! The oracle: checks invariants over the requests that were sent, run, answered and billed.

use std::collections::{BTreeMap, BTreeSet};

use fescuelock_load::caller::Reply;
use fescuelock_load::samples::{CHEAP_ONLY_TEAM, CHEAP_TEAM};
use fescuelock_standin::engine::Run;
use fescuelock_store::bills::Ledger;
use tokio::time::Instant;

/// `SentRequest` is one request together with its answer.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Incarnation of the node that it was sent to; each start of a node has a number of its own.
    pub incarnation: u64,
    /// Whether it was a non-idempotent call.
    pub is_order: bool,
    /// Idempotency key.
    pub key: Option<u8>,
    /// Version that its session is bound to, if it belongs to one.
    pub bound_version: Option<String>,
    /// The result, once the caller has an answer or has timed out.
    pub reply: Option<Reply>,
}

impl SentRequest {
    fn is_not_run(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.outcome == "not_run")
    }
}

/// `Oracle` records the events of a run that the invariants depend on.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Requests that have been sent.
    pub sent_requests: Vec<SentRequest>,
    /// Incarnations of nodes that were killed.
    pub killed: BTreeSet<u64>,
    /// Intervals in which a version was excluded from routing: name, start, end.
    pub excluded: Vec<(String, Instant, Option<Instant>)>,
    /// Highest configuration generation seen in force, by incarnation of the node.
    pub generations: BTreeMap<u64, u64>,
}

impl Oracle {
    /// Records the generation in force on a node and checks that it never decreases.
    pub fn record_generation(&mut self, incarnation: u64, generation: u64) {
        let highest = self.generations.entry(incarnation).or_insert(generation);
        assert!(generation >= *highest, "node {incarnation} went from {highest} to {generation}");
        *highest = generation;
    }

    /// Checks the invariants that hold at every step.
    pub fn check_runs(&self, engine_runs: &[Run], service_runs: &[Run]) {
        self.check_at_most_once(service_runs);
        self.check_not_run(engine_runs, service_runs);
        self.check_answers(engine_runs, service_runs);
        self.check_excluded(engine_runs);
    }

    /// Checks that no non-idempotent call ran more than once.
    fn check_at_most_once(&self, service_runs: &[Run]) {
        let mut seen = BTreeSet::new();
        for run in service_runs {
            assert!(seen.insert(&run.request), "{} ran twice", run.request);
        }
    }

    /// Checks that no request answered with `not_run` has run.
    fn check_not_run(&self, engine_runs: &[Run], service_runs: &[Run]) {
        for sent_request in
            self.sent_requests.iter().filter(|sent_request| sent_request.is_not_run())
        {
            let id = &sent_request.reply.as_ref().expect("it was refused").request_id;
            let runs = if sent_request.is_order { service_runs } else { engine_runs };
            let has_run = runs.iter().any(|run| run.request == *id);
            // Another attempt with the same key, possibly still in flight, may be the one that ran.
            let other_attempt_may_have_run = sent_request.key.is_some()
                && self.sent_requests.iter().any(|other| {
                    other.is_order == sent_request.is_order
                        && other.key == sent_request.key
                        && !other.is_not_run()
                });
            assert!(
                !has_run || other_attempt_may_have_run,
                "reported not_run, but ran: {sent_request:?}"
            );
        }
    }

    /// Checks that an answer that ends cleanly is the complete answer to its own request.
    fn check_answers(&self, engine_runs: &[Run], service_runs: &[Run]) {
        for sent_request in &self.sent_requests {
            let Some(reply) = &sent_request.reply else {
                continue;
            };
            assert!(!reply.is_misdelivered, "an answer to another request: {sent_request:?}");
            let claims_success = reply.status == 200 && reply.complete;
            assert!(
                !claims_success || reply.correct,
                "a truncated answer ended cleanly: {sent_request:?}"
            );
            let runs = if sent_request.is_order { service_runs } else { engine_runs };
            let has_run = runs.iter().any(|run| run.request == reply.request_id);
            assert!(!claims_success || has_run, "answered, but not run: {sent_request:?}");
            if let (Some(bound_version), true) = (&sent_request.bound_version, claims_success) {
                assert_eq!(*bound_version, reply.version, "a session changed its version");
            }
            let allowed = matches!(
                (reply.status, reply.outcome.as_str()),
                (0, "") | (200, _) | (_, "not_run" | "unknown")
            );
            assert!(allowed, "an answer without an outcome: {sent_request:?}");
        }
    }

    /// Checks that no version received a request while it was excluded.
    fn check_excluded(&self, engine_runs: &[Run]) {
        for (name, from, until) in &self.excluded {
            let within = |at: Instant| at > *from && until.is_none_or(|until| at < until);
            let excluded_run = engine_runs.iter().find(|run| run.target == *name && within(run.at));
            assert!(
                excluded_run.is_none(),
                "{name} received a request while excluded: {excluded_run:?}"
            );
        }
    }

    /// Checks the bills after all nodes have stopped.
    pub fn check_bills(&self, ledger: &Ledger, engine_runs: &[Run], service_runs: &[Run]) {
        assert_eq!(ledger.malformed, 0);
        for (id, bill) in &ledger.bills {
            let id = id.to_string();
            let has_run = engine_runs.iter().chain(service_runs).any(|run| run.request == id);
            assert!(has_run, "billed, but not run: {bill:?}");
            assert!([CHEAP_TEAM, CHEAP_ONLY_TEAM].contains(&bill.team.as_str()));
        }
        let billed: BTreeSet<String> = ledger.bills.keys().map(ToString::to_string).collect();
        for sent_request in &self.sent_requests {
            // A replayed answer is billed by the node that ran the request, which may have died.
            let reply = sent_request.reply.as_ref().expect("all requests have ended");
            let ran_on_surviving_node =
                !self.killed.contains(&sent_request.incarnation) && !reply.replayed;
            if ran_on_surviving_node && reply.status == 200 && reply.complete {
                assert!(billed.contains(&reply.request_id), "not billed: {sent_request:?}");
            }
        }
        let keyed = self
            .sent_requests
            .iter()
            .any(|sent_request| !sent_request.is_order && sent_request.key.is_some());
        // Two nodes may record the same bill; the records merge only if their costs are equal.
        assert!(keyed || ledger.conflicting == 0, "{} bills differ", ledger.conflicting);
    }
}
