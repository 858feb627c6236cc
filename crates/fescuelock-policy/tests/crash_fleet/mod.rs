//! Simulates a fleet of nodes whose requests crash engines, with nodes that are killed, frozen, cut
//! off and added meanwhile.

use fescuelock_policy::cold_start::node_rank;
use fescuelock_policy::crash_evidence::{
    BEGUN_EVENTS, CRASHES_PER_REQUEST_MAX, CrashEvidence, PromptVerdict, SegmentReport,
};
use fescuelock_policy::placement::{choose_by_hash, hash_pair};
use fescuelock_policy::prompt::{Prompt, PromptSegment};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Segment on which engines crash.
pub const CRASHING: u64 = 0xdead;
/// Segment that all prompts share.
const FIRST: u64 = 1;
/// Number of subjects of which each has a segment.
const SUBJECTS: u64 = 300;
/// Time that an engine is down after a crash, in milliseconds.
const DOWN_MS: u64 = 3_300;
/// Interval between a node's reports, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 350;
/// Delay of a report with news, in milliseconds.
const NEWS_DELAY_MS: u64 = 40;
/// Recipients of one report.
const FANOUT: usize = 16;
/// Every how many rounds a report is full.
const FULL_ROUNDS: u64 = 4;
/// Interval between two events of a response, in milliseconds.
const EVENT_MS: u64 = 20;

/// `FleetOptions` describes a simulated day.
#[derive(Debug, Clone, Copy)]
pub struct FleetOptions {
    pub nodes: usize,
    pub engines: usize,
    pub requests_per_s: f64,
    /// Share of the requests that hold the crashing segment.
    pub crashing_share: f64,
    /// Whether all requests with the crashing segment concern one subject.
    pub has_one_subject: bool,
    /// Whether nodes are killed, frozen, cut off and added.
    pub has_disruptions: bool,
    /// Whether nodes act on the evidence.
    pub uses_evidence: bool,
    pub seed: u64,
}

/// `FleetOutcome` is what the engines and callers saw.
#[derive(Debug, Default)]
pub struct FleetOutcome {
    /// Times of arrival of requests with the crashing segment at engines, from nodes in touch.
    pub crashing_arrivals_ms: Vec<u64>,
    /// Times at which engines ended.
    pub crashes_ms: Vec<u64>,
    /// Sound requests, and those of them that were refused, that share the crashing requests'
    /// subject.
    pub companions: (u32, u32),
    /// Sound requests and those of them that were refused.
    pub sound: (u32, u32),
}

struct SimulatedNode {
    name: u64,
    evidence: CrashEvidence,
    started_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    disrupted_ms: Option<u64>,
    next_report_ms: u64,
    round: u64,
}

struct Run {
    node: usize,
    prompt: Prompt,
    begins_ms: u64,
    crashes: u32,
    is_trial: bool,
}

struct Engine {
    hash: u64,
    incarnation: u64,
    up_ms: u64,
    runs: Vec<Run>,
}

/// `contactMs` of a deployment: the time after a disruption until a node is in touch again.
pub const CONTACT_MS: u64 = 3_000;

pub fn prompt(shared: &[u64], own: u64) -> Prompt {
    let ids = shared.iter().copied().chain([own]);
    Prompt {
        input_tokens: 300,
        segments: ids.map(|id| PromptSegment { id, tokens: 100 }).collect(),
        ..Prompt::default()
    }
}

/// Plays 40 seconds.
pub fn play(options: &FleetOptions) -> FleetOutcome {
    let mut fleet = Simulation::new(options);
    for now_ms in 0..40_000 {
        fleet.disrupt(now_ms);
        fleet.accept_requests(now_ms);
        fleet.run_engines(now_ms);
        if options.uses_evidence && now_ms % 10 == 0 {
            fleet.exchange_reports(now_ms);
        }
    }
    fleet.outcome
}

struct Simulation<'a> {
    options: &'a FleetOptions,
    rng: ChaCha8Rng,
    nodes: Vec<SimulatedNode>,
    engines: Vec<Engine>,
    outcome: FleetOutcome,
    due: f64,
    next_own: u64,
}

impl<'a> Simulation<'a> {
    fn new(options: &'a FleetOptions) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        let engines = (0..options.engines as u64)
            .map(|index| Engine {
                hash: index * 104_729 + 7,
                incarnation: 0,
                up_ms: 0,
                runs: Vec::new(),
            })
            .collect();
        let mut simulation = Simulation {
            options,
            rng,
            nodes: Vec::new(),
            engines,
            outcome: FleetOutcome::default(),
            due: 0.0,
            next_own: 1 << 40,
        };
        (0..options.nodes).for_each(|_| simulation.add_node(0));
        simulation
    }

    fn add_node(&mut self, now_ms: u64) {
        let name = self.nodes.len() as u64 * 7_919 + 13;
        let evidence = self.new_evidence(name);
        self.nodes.push(SimulatedNode {
            name,
            evidence,
            started_ms: now_ms,
            frozen_until_ms: 0,
            cut_until_ms: 0,
            disrupted_ms: (now_ms > 0).then_some(now_ms),
            next_report_ms: now_ms + self.rng.random_range(0..REPORT_INTERVAL_MS),
            round: 0,
        });
    }

    fn new_evidence(&self, name: u64) -> CrashEvidence {
        let mut evidence = CrashEvidence::new(name);
        evidence.set_nodes(self.options.nodes);
        evidence
    }

    fn draw_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// Kills, freezes, cuts off and adds nodes, each more than once.
    fn disrupt(&mut self, now_ms: u64) {
        if !self.options.has_disruptions || now_ms < 3_000 || !now_ms.is_multiple_of(1_500) {
            return;
        }
        for _ in 0..self.options.nodes.div_ceil(8) {
            let node = self.draw_node();
            let duration_ms = self.rng.random_range(500..4_000);
            match self.rng.random_range(0..4) {
                0 => {
                    // The process starts again without any evidence.
                    let name = self.nodes[node].name;
                    self.nodes[node].evidence = self.new_evidence(name);
                    self.nodes[node].started_ms = now_ms + 500;
                    self.nodes[node].frozen_until_ms = now_ms + 500;
                }
                1 => self.nodes[node].frozen_until_ms = now_ms + duration_ms,
                2 => self.nodes[node].cut_until_ms = now_ms + duration_ms,
                _ => self.add_node(now_ms),
            }
            let disrupted = &mut self.nodes[node];
            let end_ms = disrupted.frozen_until_ms.max(disrupted.cut_until_ms).max(now_ms);
            disrupted.disrupted_ms = Some(end_ms);
        }
    }

    fn accept_requests(&mut self, now_ms: u64) {
        self.due += self.options.requests_per_s / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let node = self.draw_node();
            if now_ms < self.nodes[node].frozen_until_ms {
                continue;
            }
            self.next_own += 1;
            let is_crashing = now_ms > 4_000
                && now_ms < 30_000
                && self.rng.random_range(0.0..1.0) < self.options.crashing_share;
            // A tenth of the sound requests concerns the same subject.
            let subject = match self.options.has_one_subject {
                true if is_crashing || self.rng.random_range(0..10) == 0 => 100,
                _ => 100 + self.rng.random_range(0..SUBJECTS),
            };
            let prompt = match is_crashing {
                true => prompt(&[FIRST, subject, CRASHING], self.next_own),
                false => prompt(&[FIRST, subject], self.next_own),
            };
            let run = Run { node, prompt, begins_ms: 0, crashes: 0, is_trial: false };
            self.send(run, now_ms);
        }
    }

    /// Sends a request to an engine, or refuses it.
    fn send(&mut self, mut run: Run, now_ms: u64) {
        let holds = |run: &Run, segment: u64| {
            run.prompt.shared_segments().iter().any(|shared| shared.id == segment)
        };
        let is_crashing = holds(&run, CRASHING);
        let names: Vec<u64> = self.nodes.iter().map(|node| node.name).collect();
        let node = &mut self.nodes[run.node];
        let own_ms = now_ms - node.started_ms.min(now_ms);
        let verdict = match self.options.uses_evidence {
            true => node.evidence.verdict(&run.prompt, own_ms),
            false => PromptVerdict::Allowed,
        };
        let segment = match verdict {
            PromptVerdict::Allowed => (run.crashes > 0).then_some(run.prompt.segments[1].id),
            PromptVerdict::Careful { segment } => Some(segment),
            PromptVerdict::Rejected { segment, .. } => {
                node.evidence.record_rejected_request(segment, own_ms);
                let rank = node_rank(node.name, names.into_iter(), segment);
                run.is_trial = run.crashes == 0 && node.evidence.take_trial(segment, rank, own_ms);
                run.is_trial.then_some(segment)
            }
        };
        let is_refused = matches!(verdict, PromptVerdict::Rejected { .. }) && !run.is_trial;
        if !is_crashing {
            let is_companion = self.options.has_one_subject && holds(&run, 100);
            self.outcome.sound.0 += 1;
            self.outcome.sound.1 += u32::from(is_refused);
            self.outcome.companions.0 += u32::from(is_companion);
            self.outcome.companions.1 += u32::from(is_companion && is_refused);
        }
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|&index| self.engines[index].up_ms <= now_ms).collect();
        if is_refused || up.is_empty() {
            return;
        }
        let chosen = match segment {
            Some(segment) => {
                let hashes = up.iter().map(|&index| self.engines[index].hash);
                choose_by_hash(segment, hashes).expect("an engine is up")
            }
            None => self.rng.random_range(0..up.len()),
        };
        let is_in_touch = |node: &SimulatedNode| {
            node.disrupted_ms.is_none_or(|end_ms| now_ms > end_ms + CONTACT_MS)
        };
        if is_crashing && is_in_touch(&self.nodes[run.node]) {
            self.outcome.crashing_arrivals_ms.push(now_ms);
        }
        run.begins_ms = now_ms + self.rng.random_range(100..900);
        self.engines[up[chosen]].runs.push(run);
    }

    /// Begins responses, and ends the engines that begin one with the crashing segment.
    fn run_engines(&mut self, now_ms: u64) {
        let mut lost = Vec::new();
        for engine in &mut self.engines {
            let crashes = engine.runs.iter().any(|run| {
                let mut segments = run.prompt.shared_segments().iter();
                run.begins_ms <= now_ms && segments.any(|segment| segment.id == CRASHING)
            });
            if crashes {
                engine.up_ms = now_ms + DOWN_MS;
                engine.incarnation += 1;
                let incarnation = (hash_pair(engine.hash, engine.incarnation) * 1e15) as u64;
                self.outcome.crashes_ms.push(now_ms);
                lost.extend(engine.runs.drain(..).map(|run| (run, incarnation)));
            }
            let alive_ms = now_ms.saturating_sub(EVENT_MS * (BEGUN_EVENTS - 1));
            let begun = engine.runs.extract_if(.., |run| run.begins_ms <= alive_ms);
            for run in begun {
                let node = &mut self.nodes[run.node];
                if now_ms >= node.frozen_until_ms && now_ms >= node.started_ms {
                    node.evidence.record_begun(&run.prompt, now_ms - node.started_ms);
                }
            }
        }
        for (mut run, incarnation) in lost {
            let node = &mut self.nodes[run.node];
            if now_ms < node.frozen_until_ms || now_ms < node.started_ms {
                continue;
            }
            if self.options.uses_evidence && run.begins_ms + EVENT_MS > now_ms {
                node.evidence.record_crash(incarnation, &run.prompt, now_ms - node.started_ms);
                node.next_report_ms = node.next_report_ms.min(now_ms + NEWS_DELAY_MS);
            }
            run.crashes += 1;
            run.is_trial = false;
            if !self.options.uses_evidence && run.crashes < 3
                || run.crashes < CRASHES_PER_REQUEST_MAX
            {
                self.send(run, now_ms);
            }
        }
    }

    fn exchange_reports(&mut self, now_ms: u64) {
        for sender in 0..self.nodes.len() {
            let node = &mut self.nodes[sender];
            if now_ms < node.next_report_ms
                || now_ms < node.frozen_until_ms
                || now_ms < node.cut_until_ms
                || now_ms < node.started_ms
            {
                continue;
            }
            node.next_report_ms = now_ms + REPORT_INTERVAL_MS;
            node.round += 1;
            let own_ms = now_ms - node.started_ms;
            node.evidence.take_changes(own_ms);
            let is_full = node.round.is_multiple_of(FULL_ROUNDS);
            let reports = node.evidence.reports(is_full, own_ms);
            let recipients: Vec<usize> = (0..FANOUT).map(|_| self.draw_node()).collect();
            for recipient in recipients {
                self.deliver(recipient, &reports, now_ms);
            }
        }
    }

    fn deliver(&mut self, recipient: usize, reports: &[SegmentReport], now_ms: u64) {
        let node = &mut self.nodes[recipient];
        if now_ms < node.frozen_until_ms || now_ms < node.cut_until_ms || now_ms < node.started_ms {
            return;
        }
        if node.evidence.apply_reports(reports, now_ms - node.started_ms) {
            node.next_report_ms = node.next_report_ms.min(now_ms + NEWS_DELAY_MS);
        }
    }
}
