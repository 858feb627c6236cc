//! An upstream that is leaving gets nothing new from the nodes that know it, until another
//! incarnation replaces it.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use fescuelock_policy::leaving::{
    ENTRIES_MAX, Incarnation, LeavingReport, LeavingSource, LeavingUpstreams,
    REPORTED_RETENTION_MS, REPORTS_MAX, RETENTION_MS,
};
use fescuelock_policy::upstream::{UpstreamRecord, UpstreamState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between a node's reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 350;
/// Delay of a report with news, in milliseconds.
const NEWS_DELAY_MS: u64 = 40;
/// Recipients of one report.
const FANOUT: usize = 16;
/// Every how many rounds a report is full.
const FULL_ROUNDS: u64 = 4;
/// Share of the reports that are lost.
const LOSS_SHARE: f64 = 0.05;
/// Time after a disruption until a node is in touch again, and within which news reach the nodes in
/// touch, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Requests that each node sends per second.
const NODE_REQUESTS_PER_S: f64 = 2.0;
/// Number of upstreams.
const UPSTREAMS: u64 = 40;
/// Number of upstreams that leave, one every `LEAVE_INTERVAL_MS`, while their records say ready.
const LEAVING: u64 = 5;
/// Time of the first leaving, and time between two, in milliseconds.
const LEAVE_INTERVAL_MS: u64 = 4_000;
/// Time from the begin of leaving to the start of the next incarnation, in milliseconds.
const RESTART_MS: u64 = 12_000;
/// Length of a day, in milliseconds.
const DAY_MS: u64 = 40_000;

fn listed(incarnations: &[u64]) -> HashSet<u64> {
    incarnations.iter().copied().collect()
}

fn millis(ms: i64) -> u64 {
    u64::try_from(ms).expect("the time is not negative")
}

fn report(incarnation: u64, age_ms: u32) -> LeavingReport {
    LeavingReport { incarnation, age_ms }
}

/// Merges reports of incarnations whose records say ready.
fn merge(leaving: &mut LeavingUpstreams, reports: &[LeavingReport], now_ms: u64) -> Vec<u64> {
    leaving.apply_reports(reports, |_| false, now_ms)
}

#[test]
fn own_answer_forgotten() {
    let mut leaving = LeavingUpstreams::default();
    assert!(leaving.record(7, LeavingSource::Answer, false, 1_000));
    assert!(!leaving.record(7, LeavingSource::Answer, false, 1_100));
    // With a record that says when it was started, it holds as long as the record does.
    let retention_ms = millis(RETENTION_MS);
    for minute in 1..60 {
        assert_eq!(leaving.expire(&listed(&[7]), 60_000 * minute), [0; 0]);
        assert_eq!(leaving.source(7, 60_000 * minute), Some(LeavingSource::Answer));
    }
    let removed_ms = 60_000 * 59;
    assert_eq!(leaving.expire(&listed(&[]), removed_ms + retention_ms - 1), [0; 0]);
    assert_eq!(leaving.expire(&listed(&[]), removed_ms + retention_ms), [7]);
    assert!(leaving.is_empty());
}

#[test]
fn incarnations_confused() {
    let record = |id: &str, pool: &str, host: u8, started_at_ms| UpstreamRecord {
        id: id.to_owned(),
        pool: pool.to_owned(),
        address: format!("10.2.0.{host}:80"),
        zone: "zone-a".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        state: UpstreamState::Ready,
        warmup_left_ms: 0,
        started_at_ms,
    };
    let known = record("i-1", "desk", 1, Some(5));
    let others = [
        record("i-1", "desk", 1, Some(6)),
        record("i-1", "engines", 1, Some(5)),
        record("i-2", "desk", 1, Some(5)),
        record("i-1", "desk", 1, None),
        record("i-1", "desk", 2, None),
        record("i-1", "engines", 1, None),
    ];
    let hashes = others.iter().chain([&known]).map(|record| Incarnation::of(record).hash);
    assert_eq!(hashes.collect::<BTreeSet<_>>().len(), others.len() + 1);
    // A process doesn't start again because its record has another address.
    let moved = record("i-1", "desk", 9, Some(5));
    assert_eq!(Incarnation::of(&moved), Incarnation::of(&known));
    let later =
        UpstreamRecord { state: UpstreamState::Draining, warmup_left_ms: 9, ..known.clone() };
    assert_eq!(Incarnation::of(&later), Incarnation::of(&known));
}

#[test]
fn merge_order() {
    let reports = [report(1, 500), report(2, 0), report(1, 100), report(3, 2_000), report(2, 40)];
    let mut outcomes = BTreeSet::new();
    for first in 0..reports.len() {
        for step in 1..reports.len() {
            let mut leaving = LeavingUpstreams::default();
            // Each report comes twice, in an order of its own.
            for index in 0..2 * reports.len() {
                let index = (first + index * step) % reports.len();
                merge(&mut leaving, &reports[index..=index], 10_000);
            }
            let mut known = leaving.reports(true, 10_000);
            known.sort_by_key(|report| report.incarnation);
            outcomes.insert(format!("{known:?}"));
        }
    }
    assert_eq!(outcomes.len(), 1, "{outcomes:?}");
    // What is known already is no news.
    let mut leaving = LeavingUpstreams::default();
    assert_eq!(merge(&mut leaving, &reports, 10_000).len(), 3);
    assert_eq!(merge(&mut leaving, &reports, 10_000), [0; 0]);
}

#[test]
fn false_report() {
    // What nothing but a report says holds for a minute after the answer that it stems from.
    let retention_ms = millis(REPORTED_RETENTION_MS);
    let mut leaving = LeavingUpstreams::default();
    assert_eq!(merge(&mut leaving, &[report(7, 10_000)], 20_000), [7]);
    assert_eq!(leaving.source(7, 9_999 + retention_ms), Some(LeavingSource::Report));
    assert_eq!(leaving.source(7, 10_000 + retention_ms), None);
    assert_eq!(leaving.expire(&listed(&[7]), 10_000 + retention_ms), [7]);
    // A report that is older is no evidence.
    assert_eq!(merge(&mut leaving, &[report(7, 60_000), report(8, u32::MAX)], 90_000), [0; 0]);
    // Nodes that pass it on to each other don't keep it alive.
    let mut nodes = [LeavingUpstreams::default(), LeavingUpstreams::default()];
    merge(&mut nodes[0], &[report(7, 0)], 0);
    let mut last_known_ms = 0;
    for now_ms in (0..10 * retention_ms).step_by(1_400) {
        for (from, to) in [(0, 1), (1, 0)] {
            // The report is on its way for 5 ms.
            let reports = nodes[from].reports(true, now_ms);
            merge(&mut nodes[to], &reports, now_ms + 5);
            if nodes[to].source(7, now_ms + 5).is_some() {
                last_known_ms = now_ms;
            }
            nodes[to].expire(&listed(&[7]), now_ms + 5);
        }
    }
    assert!(last_known_ms < retention_ms + 2_000, "{last_known_ms}");
}

#[test]
fn old_report() {
    let (old, new) = (70, 71);
    let mut leaving = LeavingUpstreams::default();
    leaving.record(old, LeavingSource::Answer, false, 1_000);
    // A report on the incarnation before says nothing about the one that replaced it.
    merge(&mut leaving, &[report(old, 0)], 5_000);
    assert_eq!(leaving.source(new, 5_000), None);
    // An old report doesn't end what the upstream itself stated later.
    merge(&mut leaving, &[report(old, 59_000)], 61_500);
    assert_eq!(leaving.source(old, 1_000 + millis(RETENTION_MS) - 1), Some(LeavingSource::Answer));
}

#[test]
fn listed_state_reported() {
    // What the store says reaches the other nodes from there.
    let mut leaving = LeavingUpstreams::default();
    leaving.record(1, LeavingSource::Store, true, 0);
    leaving.record(2, LeavingSource::Answer, true, 0);
    leaving.apply_reports(&[report(3, 0)], |_| true, 0);
    assert_eq!(leaving.reports(true, 10), []);
    leaving.record(4, LeavingSource::Answer, false, 20);
    assert_eq!(leaving.reports(false, 30), [report(4, 10)]);
    leaving.record(4, LeavingSource::Store, true, 40);
    assert_eq!(leaving.reports(true, 50), []);
    assert_eq!(leaving.source(4, 50), Some(LeavingSource::Answer));
}

#[test]
fn report_too_large() {
    let mut leaving = LeavingUpstreams::default();
    let count = 10 * REPORTS_MAX as u64;
    (0..count).for_each(|incarnation| {
        leaving.record(incarnation * 7_919, LeavingSource::Answer, false, 0);
    });
    let mut told = BTreeSet::new();
    for _ in 0..10 {
        let reports = leaving.reports(false, 10);
        assert_eq!(reports.len(), REPORTS_MAX);
        told.extend(reports.into_iter().map(|report| report.incarnation));
    }
    assert_eq!(told.len() as u64, count, "some wait for ever");
    assert_eq!(leaving.reports(false, 4_000), [], "the news have no end");
    assert_eq!(leaving.reports(true, 4_000).len(), REPORTS_MAX);
}

#[test]
fn memory_flooded() {
    let mut leaving = LeavingUpstreams::default();
    for incarnation in 0..100 {
        leaving.record(incarnation, LeavingSource::Answer, false, incarnation);
    }
    let flood: Vec<LeavingReport> = (1_000..20_000).map(|hash| report(hash, 0)).collect();
    for part in flood.chunks(REPORTS_MAX) {
        merge(&mut leaving, part, 1_000);
    }
    assert_eq!(leaving.len(), ENTRIES_MAX);
    let own = (0..100).filter(|&hash| leaving.source(hash, 1_000) == Some(LeavingSource::Answer));
    assert_eq!(own.count(), 100, "what upstreams stated was forgotten for reports");
    // Among the upstreams' own statements, the latest count.
    for incarnation in 20_000..30_000 {
        leaving.record(incarnation, LeavingSource::Answer, false, 2_000 + incarnation);
    }
    assert_eq!(leaving.len(), ENTRIES_MAX);
    assert!(leaving.source(29_999, 32_000).is_some() && leaving.source(50, 32_000).is_none());
    assert_eq!(merge(&mut leaving, &[report(1, 0)], 32_000), [0; 0]);
}

/// `Day` describes a simulated day of a fleet.
#[derive(Debug, Clone, Copy)]
struct Day {
    nodes: usize,
    /// Whether nodes are killed, frozen, cut off and added, each more than once.
    has_disruptions: bool,
    exchanges_reports: bool,
    /// Whether nodes act on what they know.
    uses_knowledge: bool,
    seed: u64,
}

struct Node {
    leaving: LeavingUpstreams,
    /// Number of the run; a node that is killed starts another one, which knows nothing.
    run: u64,
    started_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    disrupted_until_ms: Option<u64>,
    next_report_ms: u64,
    round: u64,
}

impl Node {
    fn is_running(&self, now_ms: u64) -> bool {
        now_ms >= self.started_ms && now_ms >= self.frozen_until_ms
    }

    /// Returns whether the node was free of disruptions from some time on.
    fn is_in_touch_since(&self, since_ms: u64) -> bool {
        self.disrupted_until_ms.is_none_or(|until_ms| until_ms + CONTACT_MS <= since_ms)
    }
}

/// `Answer` is an answer on its way to a node.
struct Answer {
    at_ms: u64,
    node: usize,
    run: u64,
    incarnation: u64,
    is_leaving: bool,
}

/// `DayOutcome` is what upstreams and nodes saw.
#[derive(Debug, Default)]
struct DayOutcome {
    /// Requests that reached an upstream from a run of a node that had passed on its statement.
    sent_again: usize,
    /// Requests that reached upstreams after their first statement.
    after_first_answer: usize,
    /// Requests that reached the next incarnations of the upstreams that had left.
    to_successors: usize,
    /// Times from the first answer until each node knew that was in touch all the while, in
    /// milliseconds; `None` if it never did.
    known_after_ms: Vec<Option<u64>>,
    /// Most incarnations in one report.
    report_size: usize,
}

struct Simulation {
    day: Day,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    answers: Vec<Answer>,
    /// Runs of nodes that have passed on the statement of an incarnation.
    passed_on: BTreeSet<(usize, u64, u64)>,
    first_answer_ms: BTreeMap<u64, u64>,
    known_ms: BTreeMap<(usize, u64), u64>,
    outcome: DayOutcome,
    due: f64,
}

fn leaves_at_ms(upstream: u64) -> Option<u64> {
    (upstream < LEAVING).then(|| LEAVE_INTERVAL_MS * (upstream + 1))
}

/// Returns the hash of the incarnation of an upstream at a time, and whether it is leaving.
fn incarnation(upstream: u64, now_ms: u64) -> (u64, bool) {
    let hash = upstream * 104_729 + 11;
    match leaves_at_ms(upstream) {
        Some(leaves_ms) if now_ms >= leaves_ms + RESTART_MS => (hash + 1, false),
        Some(leaves_ms) => (hash, now_ms >= leaves_ms),
        None => (hash, false),
    }
}

impl Simulation {
    fn new(day: Day) -> Self {
        let mut simulation = Simulation {
            day,
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            nodes: Vec::new(),
            answers: Vec::new(),
            passed_on: BTreeSet::new(),
            first_answer_ms: BTreeMap::new(),
            known_ms: BTreeMap::new(),
            outcome: DayOutcome::default(),
            due: 0.0,
        };
        (0..day.nodes).for_each(|_| simulation.add_node(0));
        simulation
    }

    fn add_node(&mut self, now_ms: u64) {
        self.nodes.push(Node {
            leaving: LeavingUpstreams::default(),
            run: 0,
            started_ms: now_ms,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            disrupted_until_ms: (now_ms > 0).then_some(now_ms),
            next_report_ms: now_ms + self.rng.random_range(0..REPORT_INTERVAL_MS),
            round: 0,
        });
    }

    fn draw_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    fn disrupt(&mut self, now_ms: u64) {
        if !self.day.has_disruptions || now_ms < 3_000 || !now_ms.is_multiple_of(1_500) {
            return;
        }
        for _ in 0..self.day.nodes.div_ceil(12) {
            let index = self.draw_node();
            let end_ms = now_ms + self.rng.random_range(500..4_000);
            let kind = self.rng.random_range(0..4);
            let node = &mut self.nodes[index];
            match kind {
                0 => {
                    node.leaving = LeavingUpstreams::default();
                    node.run += 1;
                    node.started_ms = now_ms + 500;
                    node.next_report_ms = node.started_ms;
                    self.known_ms.retain(|(other, _), _| *other != index);
                }
                1 => node.frozen_until_ms = end_ms,
                2 => node.cut_until_ms = end_ms,
                _ => self.add_node(now_ms),
            }
            let node = &mut self.nodes[index];
            let until_ms = node.started_ms.max(node.frozen_until_ms).max(node.cut_until_ms);
            node.disrupted_until_ms = Some(until_ms.max(now_ms));
        }
    }

    fn send_requests(&mut self, now_ms: u64) {
        self.due += self.nodes.len() as f64 * NODE_REQUESTS_PER_S / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let index = self.draw_node();
            if !self.nodes[index].is_running(now_ms) {
                continue;
            }
            let upstream = self.rng.random_range(0..UPSTREAMS);
            let (hash, is_leaving) = incarnation(upstream, now_ms);
            let node = &self.nodes[index];
            let is_known = node.leaving.source(hash, now_ms - node.started_ms).is_some();
            if is_known && self.day.uses_knowledge {
                continue;
            }
            let has_passed_on = self.passed_on.contains(&(index, node.run, hash));
            let is_late = self.first_answer_ms.get(&hash).is_some_and(|&at_ms| at_ms < now_ms);
            let is_successor = upstream < LEAVING && hash != incarnation(upstream, 0).0;
            self.outcome.sent_again += usize::from(has_passed_on);
            self.outcome.after_first_answer += usize::from(is_late);
            self.outcome.to_successors += usize::from(is_successor);
            let at_ms = now_ms + self.rng.random_range(5..200);
            let (_, leaves_meanwhile) = incarnation(upstream, at_ms);
            let run = self.nodes[index].run;
            let is_leaving = is_leaving || leaves_meanwhile;
            self.answers.push(Answer { at_ms, node: index, run, incarnation: hash, is_leaving });
        }
    }

    fn receive_answers(&mut self, now_ms: u64) {
        let due: Vec<Answer> =
            self.answers.extract_if(.., |answer| answer.at_ms <= now_ms).collect();
        for answer in due {
            let node = &mut self.nodes[answer.node];
            if node.run != answer.run || now_ms < node.started_ms {
                continue;
            }
            if !node.is_running(now_ms) {
                // A node that is frozen reads the answer afterwards.
                self.answers.push(Answer { at_ms: node.frozen_until_ms, ..answer });
                continue;
            }
            if !answer.is_leaving {
                continue;
            }
            let hash = answer.incarnation;
            let own_ms = now_ms - node.started_ms;
            if node.leaving.record(hash, LeavingSource::Answer, false, own_ms) {
                node.next_report_ms = node.next_report_ms.min(now_ms + NEWS_DELAY_MS);
            }
            self.passed_on.insert((answer.node, answer.run, hash));
            self.first_answer_ms.entry(hash).or_insert(now_ms);
            self.known_ms.entry((answer.node, hash)).or_insert(now_ms);
        }
    }

    fn exchange_reports(&mut self, now_ms: u64) {
        for sender in 0..self.nodes.len() {
            let node = &mut self.nodes[sender];
            let is_silent = !node.is_running(now_ms) || now_ms < node.cut_until_ms;
            if is_silent || now_ms < node.next_report_ms {
                continue;
            }
            node.next_report_ms = now_ms + REPORT_INTERVAL_MS;
            node.round += 1;
            let is_full = node.round.is_multiple_of(FULL_ROUNDS);
            let reports = node.leaving.reports(is_full, now_ms - node.started_ms);
            self.outcome.report_size = self.outcome.report_size.max(reports.len());
            let recipients: Vec<usize> = (0..FANOUT).map(|_| self.draw_node()).collect();
            for recipient in recipients {
                let is_lost = self.rng.random_range(0.0..1.0) < LOSS_SHARE;
                let node = &mut self.nodes[recipient];
                if is_lost || !node.is_running(now_ms) || now_ms < node.cut_until_ms {
                    continue;
                }
                let added = merge(&mut node.leaving, &reports, now_ms - node.started_ms);
                if !added.is_empty() {
                    node.next_report_ms = node.next_report_ms.min(now_ms + NEWS_DELAY_MS);
                }
                for hash in added {
                    self.known_ms.entry((recipient, hash)).or_insert(now_ms);
                }
            }
        }
    }

    /// Records how soon the nodes knew that were in touch from the first answer on.
    fn judge_knowledge(&mut self, now_ms: u64) {
        let due = self.first_answer_ms.iter().filter(|(_, at_ms)| **at_ms + CONTACT_MS == now_ms);
        for (&hash, &first_ms) in due {
            let in_touch =
                (0..self.nodes.len()).filter(|&node| self.nodes[node].is_in_touch_since(first_ms));
            self.outcome.known_after_ms.extend(in_touch.map(|node| {
                self.known_ms.get(&(node, hash)).map(|known_ms| known_ms.saturating_sub(first_ms))
            }));
        }
    }
}

fn play(day: Day) -> DayOutcome {
    let mut simulation = Simulation::new(day);
    for now_ms in 0..DAY_MS {
        simulation.disrupt(now_ms);
        simulation.receive_answers(now_ms);
        simulation.send_requests(now_ms);
        if day.exchanges_reports && now_ms.is_multiple_of(10) {
            simulation.exchange_reports(now_ms);
        }
        simulation.judge_knowledge(now_ms);
        if now_ms.is_multiple_of(100) {
            for node in &mut simulation.nodes {
                node.leaving.expire(&listed(&[]), now_ms.saturating_sub(node.started_ms));
            }
        }
    }
    simulation.outcome
}

const DAYS: [Day; 4] =
    [Day { nodes: 8, ..DAY }, Day { nodes: 67, ..DAY }, Day { nodes: 195, ..DAY }, DAY];

const DAY: Day = Day {
    nodes: 330,
    has_disruptions: false,
    exchanges_reports: true,
    uses_knowledge: true,
    seed: 1,
};

#[test]
fn sent_again_after_answer() {
    for day in DAYS {
        for (has_disruptions, seed) in [(false, 1), (true, 1), (true, 2), (true, 3), (true, 4)] {
            let day = Day { has_disruptions, seed, ..day };
            let outcome = play(day);
            assert_eq!(outcome.sent_again, 0, "{day:?}");
            let before = play(Day { uses_knowledge: false, ..day });
            assert!(before.sent_again > 0, "{day:?}: the day has no such requests");
            assert!(outcome.to_successors > 0, "{day:?}: the next incarnations get nothing");
            assert!(outcome.report_size <= REPORTS_MAX, "{day:?}");
            let mut known_after_ms: Vec<u64> =
                outcome.known_after_ms.iter().copied().flatten().collect();
            let unaware = outcome.known_after_ms.len() - known_after_ms.len();
            known_after_ms.sort_unstable();
            let last = known_after_ms.len() - 1;
            println!(
                "{:3} nodes, disruptions {has_disruptions:5}, seed {seed}: half of the nodes in \
                 touch know after {} ms, 99% after {} ms, all after {} ms; {} requests after the \
                 first answer",
                day.nodes,
                known_after_ms[last / 2],
                known_after_ms[last * 99 / 100],
                known_after_ms[last],
                outcome.after_first_answer,
            );
            assert_eq!(unaware, 0, "{day:?}: nodes in touch don't know after {CONTACT_MS} ms");
        }
    }
}

#[test]
fn knowledge_kept_private() {
    for day in DAYS {
        let together = play(day).after_first_answer;
        let alone = play(Day { exchanges_reports: false, ..day }).after_first_answer;
        println!(
            "{:3} nodes: {together} requests after the first answer, {alone} without reports",
            day.nodes
        );
        assert!(2 * together < alone, "{day:?}: {together} requests, {alone} without reports");
    }
}
