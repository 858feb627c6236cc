//! Replays fleets whose upstreams turn requests away and ask for pauses while they are full, with
//! nodes that ignore pauses, end them at once, or return step by step.

use std::collections::{BTreeMap, HashMap};

use fescuelock_policy::pause::Pause;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the replay, in milliseconds.
const STEP_MS: u64 = 5;
/// End of the replay, in milliseconds.
const END_MS: u64 = 14_000;
/// Number of requests that an upstream serves or queues at a time.
const SLOTS: usize = 12;
/// Time for a request at an upstream, in milliseconds.
const SERVICE_MS: u64 = 60;
/// The same while the upstreams are overloaded.
const SLOW_SERVICE_MS: u64 = 400;
/// Time in which the upstreams are overloaded, in milliseconds.
const OVERLOAD_MS: std::ops::Range<u64> = 2_000..6_000;
/// Pauses that full upstreams ask for, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 700..2_500;
/// Time in which the upstreams turn all requests away until its end, in milliseconds.
const CLOSED_MS: std::ops::Range<u64> = 8_000..10_000;
/// Longest time in transit of a request or an answer, in milliseconds.
const TRANSIT_MAX_MS: u64 = 30;
/// Interval between the new requests of a node, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 50;
/// Time for which a request waits in its node, in milliseconds.
const QUEUE_WAIT_MAX_MS: u64 = 300;
/// Number of rejections after which a request is refused.
const REJECTIONS_MAX: u32 = 3;
/// Time after a rejection from which the upstream counts requests, in milliseconds.
const GRACE_MS: u64 = 500;
/// Most requests that a node may send within a pause that an upstream asked for.
const REQUESTS_IN_PAUSE_MAX: usize = 2;
/// Time in which arrivals are counted as one burst, in milliseconds.
const BURST_MS: u64 = 50;

/// `Reaction` is what nodes make of a request for a pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reaction {
    /// They send on.
    Ignore,
    /// They send nothing until the end of the pause, and then as before.
    EndAtOnce,
    /// They return step by step.
    Return,
}

/// `Day` describes a replay.
#[derive(Debug, Clone, Copy)]
struct Day {
    nodes: usize,
    /// Whether nodes are killed, frozen, cut off and added, each more than once.
    has_disruptions: bool,
    seed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    waits_since_ms: u64,
    rejections: u32,
}

/// `Message` is a request or an answer in transit.
#[derive(Debug, Clone, Copy)]
struct Message {
    node: usize,
    /// Run of the node that sent the request.
    run: u64,
    upstream: usize,
    request: Request,
    sent_ms: u64,
    answer: Option<Answer>,
}

#[derive(Debug, Clone, Copy)]
enum Answer {
    Served,
    Rejected { pause_ms: u64 },
}

#[derive(Debug, Default)]
struct Node {
    run: u64,
    pauses: Vec<Pause>,
    waiting: Vec<Request>,
    inbox: Vec<Message>,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    disrupted_ms: Vec<(u64, u64)>,
}

/// `Window` is a time in which an upstream wants nothing from a node.
#[derive(Debug, Clone, Copy)]
struct Window {
    node: usize,
    upstream: usize,
    from_ms: u64,
    to_ms: u64,
}

/// `Figures` is what callers and upstreams see.
#[derive(Debug, Default)]
struct Figures {
    offered: usize,
    served: usize,
    rejected: usize,
    windows: Vec<Window>,
    arrivals: HashMap<(usize, usize), Vec<u64>>,
    /// Numbers of arrivals at each upstream in each part of [`BURST_MS`].
    bursts: HashMap<(usize, u64), usize>,
    disrupted_ms: Vec<Vec<(u64, u64)>>,
}

impl Figures {
    fn most_in_pause(&self) -> usize {
        let counts = self.windows.iter().map(|window| {
            let is_excused = self.disrupted_ms[window.node].iter().any(|&(from_ms, until_ms)| {
                from_ms <= window.to_ms && until_ms + GRACE_MS >= window.from_ms
            });
            let arrivals = &self.arrivals[&(window.node, window.upstream)];
            let is_within = |at_ms: &&u64| (window.from_ms..=window.to_ms).contains(*at_ms);
            if is_excused { 0 } else { arrivals.iter().filter(is_within).count() }
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the most arrivals at one upstream in a short time, of those that began in `at_ms`.
    fn largest_burst(&self, at_ms: std::ops::Range<u64>) -> usize {
        let in_time = |(key, _): &(&(usize, u64), &usize)| at_ms.contains(&(key.1 * BURST_MS));
        self.bursts.iter().filter(in_time).map(|(_, &count)| count).max().unwrap_or(0)
    }
}

struct Replay {
    day: Day,
    reaction: Reaction,
    rng: ChaCha8Rng,
    nodes: Vec<Node>,
    /// Ends of the requests at each upstream.
    busy_until_ms: Vec<Vec<u64>>,
    transit: BTreeMap<u64, Vec<Message>>,
    figures: Figures,
}

fn play(day: Day, reaction: Reaction) -> Figures {
    let upstreams = (day.nodes / 4).max(4);
    let mut replay = Replay {
        day,
        reaction,
        rng: ChaCha8Rng::seed_from_u64(day.seed),
        nodes: Vec::new(),
        busy_until_ms: vec![Vec::new(); upstreams],
        transit: BTreeMap::new(),
        figures: Figures::default(),
    };
    (0..day.nodes).for_each(|_| replay.add_node(0));
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        replay.disrupt(now_ms);
        replay.deliver(now_ms);
        for index in 0..replay.nodes.len() {
            replay.advance(index, now_ms);
        }
    }
    replay.figures.disrupted_ms = replay.nodes.into_iter().map(|node| node.disrupted_ms).collect();
    replay.figures
}

impl Replay {
    fn add_node(&mut self, now_ms: u64) {
        let pauses = vec![Pause::default(); self.busy_until_ms.len()];
        let disrupted_ms = vec![(0, now_ms)];
        self.nodes.push(Node { pauses, disrupted_ms, ..Node::default() });
    }

    fn disrupt(&mut self, now_ms: u64) {
        if !self.day.has_disruptions || now_ms == 0 || !now_ms.is_multiple_of(1_000) {
            return;
        }
        for _ in 0..self.day.nodes.div_ceil(16) {
            let until_ms = now_ms + self.rng.random_range(500..3_000);
            let victim = self.rng.random_range(0..self.nodes.len());
            let kind = self.rng.random_range(0..4);
            let node = &mut self.nodes[victim];
            match kind {
                0 => {
                    node.pauses.fill(Pause::default());
                    node.waiting.clear();
                    node.run += 1;
                    node.disrupted_ms.push((now_ms, now_ms));
                }
                1 => {
                    node.frozen_until_ms = until_ms;
                    node.disrupted_ms.push((now_ms, until_ms));
                }
                2 => {
                    node.cut_until_ms = until_ms;
                    node.disrupted_ms.push((now_ms, until_ms));
                }
                _ => self.add_node(now_ms),
            }
        }
    }

    fn post(&mut self, message: Message, from_ms: u64) {
        let arrives_ms = from_ms + self.rng.random_range(1..TRANSIT_MAX_MS);
        self.transit.entry(arrives_ms).or_default().push(message);
    }

    fn deliver(&mut self, now_ms: u64) {
        let later = self.transit.split_off(&(now_ms + 1));
        for message in std::mem::replace(&mut self.transit, later).into_values().flatten() {
            match message.answer {
                Some(_) => self.nodes[message.node].inbox.push(message),
                None => self.receive(message, now_ms),
            }
        }
    }

    /// Serves a request at its upstream, or turns it away.
    fn receive(&mut self, message: Message, now_ms: u64) {
        let Message { node, upstream, .. } = message;
        self.figures.arrivals.entry((node, upstream)).or_default().push(now_ms);
        *self.figures.bursts.entry((upstream, now_ms / BURST_MS)).or_default() += 1;
        let busy_until_ms = &mut self.busy_until_ms[upstream];
        busy_until_ms.retain(|&until_ms| until_ms > now_ms);
        let pause_ms = match () {
            () if CLOSED_MS.contains(&now_ms) => Some(CLOSED_MS.end - now_ms),
            () if busy_until_ms.len() >= SLOTS => Some(self.rng.random_range(PAUSES_MS)),
            () => None,
        };
        let (answer, answered_ms) = match pause_ms {
            Some(pause_ms) => {
                self.figures.rejected += 1;
                let (from_ms, to_ms) = (now_ms + GRACE_MS, now_ms + pause_ms);
                // The connections of a run that has been killed are gone.
                if message.run == self.nodes[node].run {
                    self.figures.windows.push(Window { node, upstream, from_ms, to_ms });
                }
                (Answer::Rejected { pause_ms }, now_ms)
            }
            None => {
                let is_slow = OVERLOAD_MS.contains(&now_ms);
                let until_ms = now_ms + if is_slow { SLOW_SERVICE_MS } else { SERVICE_MS };
                busy_until_ms.push(until_ms);
                (Answer::Served, until_ms)
            }
        };
        self.post(Message { answer: Some(answer), ..message }, answered_ms);
    }

    /// Lets a node read its answers and send what it can.
    fn advance(&mut self, index: usize, now_ms: u64) {
        let is_due =
            (now_ms / STEP_MS + index as u64).is_multiple_of(REQUEST_INTERVAL_MS / STEP_MS);
        self.figures.offered += usize::from(is_due);
        let node = &mut self.nodes[index];
        if now_ms < node.frozen_until_ms {
            return;
        }
        let is_cut = now_ms < node.cut_until_ms;
        if is_due {
            node.waiting.push(Request { waits_since_ms: now_ms, rejections: 0 });
        }
        for message in std::mem::take(&mut node.inbox) {
            let Message { run, upstream, request, sent_ms, answer, .. } = message;
            match answer {
                _ if is_cut || run != node.run => {}

                Some(Answer::Rejected { pause_ms }) => {
                    let spread = (index * 7_919 + upstream * 104_729) % 1_000;
                    node.pauses[upstream].extend(pause_ms, spread as f64 / 1_000.0, now_ms);
                    let rejections = request.rejections + 1;
                    if rejections < REJECTIONS_MAX {
                        node.waiting.push(Request { waits_since_ms: now_ms, rejections });
                    }
                }

                Some(Answer::Served) => {
                    node.pauses[upstream].record_answer(sent_ms, now_ms);
                    self.figures.served += 1;
                }

                None => {}
            }
        }
        node.waiting.retain(|request| now_ms - request.waits_since_ms <= QUEUE_WAIT_MAX_MS);
        while !is_cut && let Some(&request) = self.nodes[index].waiting.first() {
            let Some(upstream) = self.choose(index, now_ms) else {
                return;
            };
            let node = &mut self.nodes[index];
            node.waiting.remove(0);
            node.pauses[upstream].record_send(now_ms);
            let run = node.run;
            let message =
                Message { node: index, run, upstream, request, sent_ms: now_ms, answer: None };
            self.post(message, now_ms);
        }
    }

    /// Selects an upstream that a node sends to.
    fn choose(&mut self, node: usize, now_ms: u64) -> Option<usize> {
        let count = self.busy_until_ms.len();
        let start = self.rng.random_range(0..count);
        let pauses = &self.nodes[node].pauses;
        let is_open = |upstream: &usize| match self.reaction {
            Reaction::Ignore => true,
            Reaction::EndAtOnce => !pauses[*upstream].is_paused(now_ms),
            Reaction::Return => pauses[*upstream].wait_ms(now_ms) == 0,
        };
        (0..count).map(|offset| (start + offset) % count).find(is_open)
    }
}

fn days() -> impl Iterator<Item = Day> {
    [8, 67, 195, 330].into_iter().flat_map(|nodes| {
        [false, true].into_iter().map(move |has_disruptions| Day {
            nodes,
            has_disruptions,
            seed: 1,
        })
    })
}

/// Full upstreams got requests that they had asked not to get, fewer requests were served for it,
/// or all that had waited came at once.
#[test]
fn full_upstreams() {
    for day in days() {
        let before = play(day, Reaction::Ignore);
        let at_once = play(day, Reaction::EndAtOnce);
        let after = play(day, Reaction::Return);
        let end_ms = CLOSED_MS.end..CLOSED_MS.end + 400;
        println!(
            "{day:?}: of {} served {} then {}, rejected {} then {}, most in a pause {} then {}, \
             largest burst {}, {} and {}, before the overload {}",
            after.offered,
            before.served,
            after.served,
            before.rejected,
            after.rejected,
            before.most_in_pause(),
            after.most_in_pause(),
            before.largest_burst(end_ms.clone()),
            at_once.largest_burst(end_ms.clone()),
            after.largest_burst(end_ms.clone()),
            after.largest_burst(1_000..OVERLOAD_MS.start),
        );
        assert!(!after.windows.is_empty(), "{day:?}: nothing was turned away");
        assert!(before.most_in_pause() > REQUESTS_IN_PAUSE_MAX, "{day:?}: no such day");
        assert!(after.most_in_pause() <= REQUESTS_IN_PAUSE_MAX, "{day:?}");
        assert!(after.rejected < before.rejected, "{day:?}");
        assert!(10 * after.served >= 8 * before.served, "{day:?}");
        let [at_once, after] = [at_once, after].map(|play| play.largest_burst(end_ms.clone()));
        assert!(after < at_once, "{day:?}: {after} at once, {at_once} without a return");
    }
}
