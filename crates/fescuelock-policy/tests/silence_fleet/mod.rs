//! Replay of streams through a fleet of nodes while engines are silent, with nodes that are killed,
//! frozen, cut off and added meanwhile.

use fescuelock_policy::health::{Health, Outcome, should_ignore_ejections};
use fescuelock_policy::retry_budget::{RetryBudget, RetryLimit, RetryPurpose};
use fescuelock_policy::silence::{HedgeCause, HedgeCheck, HedgeTimeouts, Silence};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

/// Timeouts of a stream with a target interval of 1.2 s between events.
pub const TIMEOUTS: HedgeTimeouts = HedgeTimeouts { silence_ms: 1_800, response_ms: 3_600 };

/// Start of the silence, in milliseconds. Budgets, which have a window of 10 s, are full by then.
pub const SILENCE_START_MS: u64 = 12_000;

/// End of the replay, in milliseconds.
const END_MS: u64 = 30_000;
/// Resolution of the replay, in milliseconds.
const STEP_MS: u64 = 50;
/// Time between the events of a stream, in milliseconds.
const EVENT_INTERVAL_MS: u64 = 300;
/// Number of events of a stream.
const EVENTS: u64 = 20;
/// Time from a send to the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 300;
/// Deadline of a stream, in milliseconds from its start.
const DEADLINE_MS: u64 = 20_000;
/// Maximum number of engines that a stream is sent to.
const ATTEMPTS_MAX: usize = 3;
/// Interval at which a second send is tried again, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 100;
/// Duration of the disruptions of nodes, in milliseconds.
const DISRUPTION_MS: u64 = 2_000;
/// Time before the start of the silence at which disruptions begin, and nodes are added, at the
/// earliest, in milliseconds. They may also begin as late after it.
const DISRUPTION_SPREAD_MS: u64 = 1_500;

/// `Decision` is what nodes do about a silent engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Drops the stream at its engine, and then resumes it if an attempt, a retry and an engine are
    /// left.
    DropFirst,
    /// Keeps the stream at its engine until a second one has begun to answer.
    KeepFirst,
}

/// `FleetOptions` configures a replay.
#[derive(Debug, Clone, Copy)]
pub struct FleetOptions {
    /// Number of nodes, with those that are added.
    pub nodes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of streams that run at a time at each engine.
    pub streams_per_engine: usize,
    /// Number of engines that fall silent.
    pub silent: usize,
    /// Duration of the silence, in milliseconds.
    pub silence_ms: u64,
    /// Extra sends that budgets allow per request. Most of the usual ones are used up by others.
    pub ratio: f64,
    /// Whether nodes are killed, frozen, cut off and added.
    pub has_disruptions: bool,
    /// Seed.
    pub seed: u64,
}

/// `Figures` is what callers and upstreams see.
#[derive(Debug, Default)]
pub struct Figures {
    /// Streams whose engine fell silent while they ran.
    pub affected: usize,
    /// Streams that were cut, without those whose node was killed.
    pub cut: usize,
    /// Streams that were sent to another engine while or after their engine was silent.
    pub second_sends: usize,
    /// Times that a node left out an engine.
    pub engines_left_out: usize,
    /// Time from the last event before the silence to the next one, in milliseconds.
    next_event_ms: Vec<u64>,
}

impl Figures {
    /// Returns the 99th percentile of the time to the next event, in milliseconds. A stream that is
    /// cut counts with its deadline.
    pub fn next_event_p99_ms(&self) -> u64 {
        let mut sorted = self.next_event_ms.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(0)
    }
}

/// `NodeDisruption` is what happens to a node, beginning at a time in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeDisruption {
    None,
    /// Its streams end, and it starts without any state.
    Killed(u64),
    /// It does nothing. Afterwards it finds what has arrived meanwhile.
    Frozen(u64),
    /// Nothing from any engine reaches it, and arrives afterwards.
    CutOff(u64),
    /// It is not there before.
    Added(u64),
}

impl NodeDisruption {
    fn covers(start_ms: u64, now_ms: u64) -> bool {
        (start_ms..start_ms + DISRUPTION_MS).contains(&now_ms)
    }

    /// Returns whether the node decides and gets callers' requests.
    fn is_running(self, now_ms: u64) -> bool {
        match self {
            NodeDisruption::Killed(start_ms) | NodeDisruption::Frozen(start_ms) => {
                !Self::covers(start_ms, now_ms)
            }
            NodeDisruption::Added(start_ms) => now_ms >= start_ms,
            NodeDisruption::None | NodeDisruption::CutOff(_) => true,
        }
    }

    /// Returns whether bytes of engines reach the node.
    fn is_reached(self, now_ms: u64) -> bool {
        self.is_running(now_ms)
            && !matches!(self, NodeDisruption::CutOff(start) if Self::covers(start, now_ms))
    }
}

/// `Attempt` is a run of a stream at an engine.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    engine: usize,
    /// Time of the next event, if the engine is not silent then, in milliseconds.
    next_event_ms: u64,
}

#[derive(Debug, Clone)]
struct Stream {
    node: usize,
    started_ms: u64,
    events_left: u64,
    last_event_ms: u64,
    first: Attempt,
    second: Option<Attempt>,
    retry_at_ms: u64,
    tried: Vec<usize>,
    is_affected: bool,
}

#[derive(Debug, Clone)]
struct Node {
    budget: RetryBudget,
    healths: Vec<Health>,
    silences: Vec<Silence>,
    last_byte_ms: Vec<u64>,
}

impl Node {
    fn new(engines: usize, now_ms: u64) -> Self {
        Node {
            budget: RetryBudget::default(),
            healths: vec![Health::default(); engines],
            silences: vec![Silence::default(); engines],
            last_byte_ms: vec![now_ms; engines],
        }
    }

    /// Records an unresponsive engine. Returns whether the node leaves it out from now on.
    fn record_unresponsive(&mut self, engine: usize, now_ms: u64) -> bool {
        self.healths[engine].record(Outcome::Unresponsive, 1.0, now_ms);
        self.healths[engine].eject_if_outlier(0.0, now_ms)
    }
}

struct Replay {
    options: FleetOptions,
    decision: Decision,
    disruptions: Vec<NodeDisruption>,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    figures: Figures,
}

/// Replays a silence with one of the decisions.
pub fn play(options: FleetOptions, decision: Decision) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let disruptions = (0..options.nodes)
        .map(|node| {
            let at_ms = SILENCE_START_MS - DISRUPTION_SPREAD_MS
                + u64::from(rng.next_u32()) % (2 * DISRUPTION_SPREAD_MS);
            // One node in two is disrupted, an eighth of all in each way.
            match node % 8 {
                _ if !options.has_disruptions => NodeDisruption::None,
                0 => NodeDisruption::Killed(at_ms),
                2 => NodeDisruption::Frozen(at_ms),
                4 => NodeDisruption::CutOff(at_ms),
                6 => NodeDisruption::Added(at_ms),
                _ => NodeDisruption::None,
            }
        })
        .collect();
    let nodes = vec![Node::new(options.engines, 0); options.nodes];
    let figures = Figures::default();
    let mut replay = Replay { options, decision, disruptions, nodes, rng, figures };
    let mut streams: Vec<Stream> =
        (0..options.engines * options.streams_per_engine).map(|_| replay.start_stream(0)).collect();
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        for stream in &mut streams {
            if replay.advance(stream, now_ms) {
                *stream = replay.start_stream(now_ms);
            }
        }
        replay.record_long_silences(&streams, now_ms);
    }
    replay.figures
}

impl Replay {
    fn pick(&mut self, count: usize) -> usize {
        self.rng.next_u32() as usize % count
    }

    fn is_silent(&self, engine: usize, now_ms: u64) -> bool {
        let silence = SILENCE_START_MS..SILENCE_START_MS + self.options.silence_ms;
        engine < self.options.silent && silence.contains(&now_ms)
    }

    /// Starts a stream at a node that runs. Before the silence, its first events are spread.
    fn start_stream(&mut self, now_ms: u64) -> Stream {
        let mut node = self.pick(self.options.nodes);
        while !self.disruptions[node].is_running(now_ms) {
            node = (node + 1) % self.options.nodes;
        }
        self.nodes[node].budget.record_request(now_ms);
        let engine = self.place(node, &[], now_ms).unwrap_or(0);
        let events_left = 1 + self.pick(EVENTS as usize) as u64;
        Stream {
            node,
            started_ms: now_ms,
            events_left,
            last_event_ms: now_ms,
            first: Attempt { engine, next_event_ms: now_ms + FIRST_EVENT_MS },
            second: None,
            retry_at_ms: 0,
            tried: vec![engine],
            is_affected: false,
        }
    }

    /// Selects an engine that a node uses and that was not tried.
    fn place(&mut self, node: usize, tried: &[usize], now_ms: u64) -> Option<usize> {
        let start = self.pick(self.options.engines);
        let engines =
            (0..self.options.engines).map(|offset| (start + offset) % self.options.engines);
        let Node { healths, silences, .. } = &mut self.nodes[node];
        let ejected = healths.iter().filter(|health| health.is_ejected(now_ms)).count();
        let ignores_ejections = should_ignore_ejections(ejected, healths.len());
        let is_usable = |engine: &usize| {
            let is_ejected = !ignores_ejections && healths[*engine].is_ejected(now_ms);
            !is_ejected && !tried.contains(engine)
        };
        let mut usable = engines.filter(is_usable);
        let engine = match (self.decision, tried.is_empty()) {
            (Decision::DropFirst, _) => usable.next(),
            // A second send goes to an engine that responds.
            (Decision::KeepFirst, false) => usable.find(|engine| !silences[*engine].is_silent()),
            (Decision::KeepFirst, true) => {
                let usable: Vec<usize> = usable.collect();
                let accepts = |engine: &&usize| silences[**engine].accepts(now_ms);
                usable.iter().find(accepts).or(usable.first()).copied()
            }
        };
        if let Some(engine) = engine {
            silences[engine].record_send(now_ms);
        }
        engine
    }

    fn take_retry(&mut self, node: usize, purpose: RetryPurpose, now_ms: u64) -> bool {
        let limit = RetryLimit { ratio: self.options.ratio, allowance: 20.0, window_ms: 10_000 };
        self.nodes[node].budget.try_acquire(purpose, &limit, self.options.nodes, now_ms)
    }

    /// Advances a stream to a time. Returns whether it has ended.
    fn advance(&mut self, stream: &mut Stream, now_ms: u64) -> bool {
        if now_ms == SILENCE_START_MS && self.is_silent(stream.first.engine, now_ms) {
            stream.is_affected = true;
            self.figures.affected += 1;
        }
        let disruption = self.disruptions[stream.node];
        match disruption {
            NodeDisruption::Killed(start_ms)
                if now_ms >= start_ms && stream.started_ms < start_ms =>
            {
                self.nodes[stream.node] = Node::new(self.options.engines, start_ms);
                return true;
            }
            _ if !disruption.is_running(now_ms) => return false,
            _ if now_ms >= stream.started_ms + DEADLINE_MS => return self.cut(stream),
            _ => {}
        }
        for (is_second, attempt) in [(false, Some(stream.first)), (true, stream.second)] {
            let Some(attempt) = attempt else { continue };
            let is_due = attempt.next_event_ms <= now_ms
                && !self.is_silent(attempt.engine, now_ms)
                && disruption.is_reached(now_ms);
            if is_due {
                return self.record_event(stream, attempt, is_second, now_ms);
            }
        }
        match self.decision {
            Decision::DropFirst => self.drop_if_silent(stream, now_ms),
            Decision::KeepFirst => {
                self.send_second_if_silent(stream, now_ms);
                false
            }
        }
    }

    /// Records an event of an attempt, which the stream goes on with. Returns whether it was the last.
    fn record_event(
        &mut self,
        stream: &mut Stream,
        attempt: Attempt,
        is_second: bool,
        now_ms: u64,
    ) -> bool {
        let node = &mut self.nodes[stream.node];
        node.last_byte_ms[attempt.engine] = now_ms;
        node.silences[attempt.engine].end(now_ms);
        node.healths[attempt.engine].record(Outcome::Succeeded, 1.0, now_ms);
        if std::mem::take(&mut stream.is_affected) {
            self.figures.next_event_ms.push(now_ms - stream.last_event_ms);
        }
        if is_second {
            stream.tried.push(attempt.engine);
        }
        stream.first = Attempt { next_event_ms: now_ms + EVENT_INTERVAL_MS, ..attempt };
        stream.second = None;
        stream.last_event_ms = now_ms;
        stream.events_left -= 1;
        stream.events_left == 0
    }

    fn cut(&mut self, stream: &Stream) -> bool {
        self.figures.cut += 1;
        if stream.is_affected {
            self.figures.next_event_ms.push(DEADLINE_MS);
        }
        true
    }

    fn drop_if_silent(&mut self, stream: &mut Stream, now_ms: u64) -> bool {
        let Stream { node, first, .. } = *stream;
        let last_byte_ms = self.nodes[node].last_byte_ms[first.engine];
        let since_ms = stream.last_event_ms.max(first.next_event_ms - FIRST_EVENT_MS);
        let HedgeCheck::Due(_) = TIMEOUTS.check(since_ms, Some(last_byte_ms), now_ms) else {
            return false;
        };
        let is_left_out = self.nodes[node].record_unresponsive(first.engine, now_ms);
        self.figures.engines_left_out += usize::from(is_left_out);
        if stream.tried.len() == ATTEMPTS_MAX
            || !self.take_retry(node, RetryPurpose::Recovery, now_ms)
        {
            return self.cut(stream);
        }
        let Some(engine) = self.place(node, &stream.tried, now_ms) else {
            return self.cut(stream);
        };
        self.figures.second_sends += 1;
        stream.tried.push(engine);
        stream.first = Attempt { engine, next_event_ms: now_ms + FIRST_EVENT_MS };
        false
    }

    fn send_second_if_silent(&mut self, stream: &mut Stream, now_ms: u64) {
        let Stream { node, first, .. } = *stream;
        let last_byte_ms = self.nodes[node].last_byte_ms[first.engine];
        let HedgeCheck::Due(cause) =
            TIMEOUTS.check(stream.last_event_ms, Some(last_byte_ms), now_ms)
        else {
            return;
        };
        if cause == HedgeCause::UpstreamSilent {
            self.nodes[node].silences[first.engine].begin(
                stream.last_event_ms,
                last_byte_ms,
                now_ms,
            );
        }
        if stream.second.is_some()
            || now_ms < stream.retry_at_ms
            || stream.tried.len() == ATTEMPTS_MAX
        {
            return;
        }
        stream.retry_at_ms = now_ms + RETRY_INTERVAL_MS;
        let Some(engine) = self.place(node, &stream.tried, now_ms) else {
            return;
        };
        if self.take_retry(node, RetryPurpose::Hedge, now_ms) {
            self.figures.second_sends += 1;
            stream.second = Some(Attempt { engine, next_event_ms: now_ms + FIRST_EVENT_MS });
        }
    }

    /// Counts silences that have become so long that they are failures.
    fn record_long_silences(&mut self, streams: &[Stream], now_ms: u64) {
        let engines = self.options.engines;
        let mut has_stream = vec![false; self.nodes.len() * engines];
        for stream in streams {
            for attempt in [Some(stream.first), stream.second].into_iter().flatten() {
                has_stream[stream.node * engines + attempt.engine] = true;
            }
        }
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if !self.disruptions[index].is_running(now_ms) {
                continue;
            }
            for engine in 0..engines {
                let is_lost =
                    node.silences[engine].take_loss(has_stream[index * engines + engine], now_ms);
                let is_left_out = is_lost && node.record_unresponsive(engine, now_ms);
                self.figures.engines_left_out += usize::from(is_left_out);
            }
        }
    }
}
