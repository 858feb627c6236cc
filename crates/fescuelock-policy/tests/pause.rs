//! A node sends nothing to an upstream that asked for a pause, and returns to it step by step.

use std::collections::{BTreeMap, HashMap, VecDeque};

use fescuelock_policy::pause::{PAUSE_MAX_MS, Pause, PauseChange, requested_pause_ms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Number of upstreams.
const UPSTREAMS: usize = 6;
/// Longest time in transit of a request or an answer, in milliseconds.
const TRANSIT_MAX_MS: u64 = 80;
/// Time after a rejection from which the upstream counts requests, in milliseconds.
const GRACE_MS: u64 = 500;
/// Most requests that a node may send within a pause that an upstream asked for.
const REQUESTS_IN_PAUSE_MAX: usize = 2;
/// Time that an upstream needs for a request, in milliseconds.
const SERVICE_MS: u64 = 40;
/// Time for which a request waits in its node, in milliseconds.
const QUEUE_WAIT_MAX_MS: u64 = 400;
/// Interval between the requests of a node, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Time in which the overloaded upstreams turn all requests away, in milliseconds.
const OVERLOAD_MS: std::ops::Range<u64> = 3_000..9_000;
/// Range of the pauses that upstreams ask for, in milliseconds.
const PAUSES_MS: std::ops::Range<u64> = 600..4_000;
/// End of the simulation, in milliseconds.
const END_MS: u64 = 20_000;

/// `Day` describes a simulated day.
#[derive(Debug, Clone, Copy)]
struct Day {
    nodes: usize,
    /// Number of upstreams that are overloaded.
    overloaded: usize,
    /// Whether nodes are killed, frozen, cut off and added, each more than once.
    has_disruptions: bool,
    seed: u64,
}

/// `Message` is a request or an answer in transit.
#[derive(Debug, Clone, Copy)]
struct Message {
    node: usize,
    upstream: usize,
    sent_ms: u64,
    /// Time for which an answer asks for a pause; `None` if the request was served.
    pause_ms: Option<u64>,
    is_answer: bool,
}

#[derive(Debug, Default)]
struct Node {
    pauses: Vec<Pause>,
    waiting: VecDeque<u64>,
    inbox: Vec<Message>,
    frozen_until_ms: u64,
    cut_until_ms: u64,
    /// Times at which the node was killed, frozen or cut off.
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

#[derive(Debug, Default)]
struct Played {
    windows: Vec<Window>,
    /// Times at which requests arrived, by node and upstream.
    arrivals: HashMap<(usize, usize), Vec<u64>>,
    /// Numbers of requests that came up and that were served, in each second.
    offered: BTreeMap<u64, usize>,
    served: BTreeMap<u64, usize>,
    disrupted_ms: Vec<Vec<(u64, u64)>>,
}

fn new_node(now_ms: u64) -> Node {
    Node {
        pauses: vec![Pause::default(); UPSTREAMS],
        disrupted_ms: vec![(0, now_ms)],
        ..Node::default()
    }
}

/// Plays a day on which some upstreams turn all requests away for a while.
fn play(day: &Day) -> Played {
    let mut rng = ChaCha8Rng::seed_from_u64(day.seed);
    let mut nodes: Vec<Node> = (0..day.nodes).map(|_| new_node(0)).collect();
    let mut transit: BTreeMap<u64, Vec<Message>> = BTreeMap::new();
    let mut played = Played::default();
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        if day.has_disruptions && now_ms > 0 && now_ms.is_multiple_of(1_000) {
            for _ in 0..day.nodes.div_ceil(12) {
                let until_ms = now_ms + rng.random_range(500..3_000);
                let victim = rng.random_range(0..nodes.len());
                match rng.random_range(0..4) {
                    0 => {
                        // The process starts again and knows nothing of before.
                        let disrupted_ms = std::mem::take(&mut nodes[victim].disrupted_ms);
                        nodes[victim] = Node { disrupted_ms, ..new_node(now_ms) };
                        nodes[victim].disrupted_ms.push((now_ms, now_ms));
                    }
                    1 => {
                        nodes[victim].frozen_until_ms = until_ms;
                        nodes[victim].disrupted_ms.push((now_ms, until_ms));
                    }
                    2 => {
                        nodes[victim].cut_until_ms = until_ms;
                        nodes[victim].disrupted_ms.push((now_ms, until_ms));
                    }
                    _ => nodes.push(new_node(now_ms)),
                }
            }
        }
        let due: Vec<u64> = transit.range(..=now_ms).map(|(&at_ms, _)| at_ms).collect();
        let messages: Vec<Message> =
            due.iter().flat_map(|at_ms| transit.remove(at_ms).unwrap_or_default()).collect();
        for message in messages {
            if message.is_answer {
                nodes[message.node].inbox.push(message);
                continue;
            }
            let pair = (message.node, message.upstream);
            played.arrivals.entry(pair).or_default().push(now_ms);
            let is_overloaded = message.upstream < day.overloaded && OVERLOAD_MS.contains(&now_ms);
            let pause_ms = is_overloaded.then(|| rng.random_range(PAUSES_MS));
            if let Some(pause_ms) = pause_ms {
                let (from_ms, to_ms) = (now_ms + GRACE_MS, now_ms + pause_ms);
                let Message { node, upstream, .. } = message;
                played.windows.push(Window { node, upstream, from_ms, to_ms });
            }
            let service_ms = if is_overloaded { 0 } else { SERVICE_MS };
            let arrives_ms = now_ms + service_ms + rng.random_range(1..TRANSIT_MAX_MS);
            let answer = Message { pause_ms, is_answer: true, ..message };
            transit.entry(arrives_ms).or_default().push(answer);
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            if now_ms < node.frozen_until_ms {
                continue;
            }
            let is_cut = now_ms < node.cut_until_ms;
            for answer in std::mem::take(&mut node.inbox) {
                match answer.pause_ms {
                    // The answer is lost.
                    _ if is_cut => {}

                    Some(pause_ms) => {
                        let pause = &mut node.pauses[answer.upstream];
                        pause.extend(pause_ms, index as f64 / 1_000.0, now_ms);
                    }

                    None => {
                        node.pauses[answer.upstream].record_answer(answer.sent_ms, now_ms);
                        *played.served.entry(now_ms / 1_000).or_default() += 1;
                    }
                }
            }
            if (now_ms / STEP_MS + index as u64).is_multiple_of(REQUEST_INTERVAL_MS / STEP_MS) {
                *played.offered.entry(now_ms / 1_000).or_default() += 1;
                node.waiting.push_back(now_ms);
            }
            node.waiting.retain(|&since_ms| now_ms - since_ms <= QUEUE_WAIT_MAX_MS);
            while !node.waiting.is_empty() && !is_cut {
                let start = rng.random_range(0..UPSTREAMS);
                let mut candidates = (0..UPSTREAMS).map(|offset| (start + offset) % UPSTREAMS);
                let open = candidates.find(|&upstream| node.pauses[upstream].wait_ms(now_ms) == 0);
                let Some(upstream) = open else {
                    break;
                };
                node.waiting.pop_front();
                node.pauses[upstream].record_send(now_ms);
                let request = Message {
                    node: index,
                    upstream,
                    sent_ms: now_ms,
                    pause_ms: None,
                    is_answer: false,
                };
                let arrives_ms = now_ms + rng.random_range(1..TRANSIT_MAX_MS);
                transit.entry(arrives_ms).or_default().push(request);
            }
        }
    }
    played.disrupted_ms = nodes.into_iter().map(|node| node.disrupted_ms).collect();
    played
}

/// Returns the days that are played.
fn days() -> impl Iterator<Item = Day> {
    [8, 67, 195, 330].into_iter().flat_map(|nodes| {
        [2, UPSTREAMS].into_iter().flat_map(move |overloaded| {
            [false, true].into_iter().flat_map(move |has_disruptions| {
                (1..=2).map(move |seed| Day { nodes, overloaded, has_disruptions, seed })
            })
        })
    })
}

impl Played {
    /// Returns whether the node was disrupted from the rejection until `to_ms`.
    fn is_excused(&self, window: &Window, to_ms: u64) -> bool {
        let mut disrupted = self.disrupted_ms[window.node].iter();
        disrupted
            .any(|&(from_ms, until_ms)| from_ms <= to_ms && until_ms + GRACE_MS >= window.from_ms)
    }

    fn arrivals_in(&self, window: &Window, from_ms: u64, to_ms: u64) -> usize {
        let arrivals = &self.arrivals[&(window.node, window.upstream)];
        arrivals.iter().filter(|&&at_ms| at_ms >= from_ms && at_ms <= to_ms).count()
    }
}

/// A node went on sending to an upstream that had asked it for a pause.
#[test]
fn sent_within_pause() {
    for day in days() {
        let played = play(&day);
        let checked: Vec<&Window> = played
            .windows
            .iter()
            .filter(|window| {
                window.from_ms < window.to_ms && !played.is_excused(window, window.to_ms)
            })
            .collect();
        assert!(checked.len() > day.nodes / 2, "{} pauses to check: {day:?}", checked.len());
        for window in checked {
            let count = played.arrivals_in(window, window.from_ms, window.to_ms);
            assert!(count <= REQUESTS_IN_PAUSE_MAX, "{count} requests in {window:?}: {day:?}");
        }
    }
}

/// All requests that had waited were sent when the pause ended.
#[test]
fn burst_after_pause() {
    for day in days() {
        let played = play(&day);
        let ends_last = |window: &&Window| {
            !played.windows.iter().any(|other| {
                (other.node, other.upstream) == (window.node, window.upstream)
                    && other.to_ms > window.to_ms
            })
        };
        let mut checked = 0;
        for window in played.windows.iter().filter(ends_last) {
            let arrivals = &played.arrivals[&(window.node, window.upstream)];
            let first_ms = arrivals.iter().copied().find(|&at_ms| at_ms > window.to_ms);
            let Some(first_ms) = first_ms else {
                continue;
            };
            // The answer to the first request cannot allow another one within this time.
            let to_ms = first_ms + SERVICE_MS;
            if played.is_excused(window, to_ms) {
                continue;
            }
            checked += 1;
            let count = played.arrivals_in(window, first_ms, to_ms);
            assert!(count <= 1, "{count} requests at once after {window:?}: {day:?}");
        }
        assert!(checked >= day.nodes / 4, "{checked} pauses to check: {day:?}");
    }
}

/// A service stayed below its full rate after its upstreams had taken requests again.
#[test]
fn slow_return() {
    let longest_return_ms = PAUSES_MS.end + PAUSES_MS.end / 10 + 1_000;
    for day in days().filter(|day| !day.has_disruptions) {
        let played = play(&day);
        let back_s = (OVERLOAD_MS.end + longest_return_ms).div_ceil(1_000);
        for second in back_s..END_MS / 1_000 - 1 {
            let (offered, served) = (played.offered[&second], played.served[&second]);
            assert!(served as f64 >= 0.95 * offered as f64, "{served} of {offered}: {day:?}");
        }
        if day.overloaded < UPSTREAMS {
            // The other upstreams take what the overloaded ones do not.
            let during_s = OVERLOAD_MS.start / 1_000 + 1..OVERLOAD_MS.end / 1_000;
            let served: usize = during_s.clone().map(|second| played.served[&second]).sum();
            let offered: usize = during_s.map(|second| played.offered[&second]).sum();
            assert!(served as f64 >= 0.9 * offered as f64, "{served} of {offered}: {day:?}");
        }
    }
}

/// A value that states no time, or an absurd one, took an upstream out of service.
#[test]
fn malformed_value() {
    for stated_ms in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1_000.0, -0.0, 0.0] {
        assert_eq!(requested_pause_ms(true, Some(stated_ms)), None, "{stated_ms}");
    }
    assert_eq!(requested_pause_ms(true, None), None);
    assert_eq!(requested_pause_ms(true, Some(0.2)), Some(1));
    assert_eq!(requested_pause_ms(true, Some(1_500.0)), Some(1_500));
    for stated_ms in [PAUSE_MAX_MS as f64 + 1.0, 1e15, f64::MAX] {
        assert_eq!(requested_pause_ms(true, Some(stated_ms)), Some(PAUSE_MAX_MS), "{stated_ms}");
    }
    assert_eq!(requested_pause_ms(false, Some(1_500.0)), None, "another status");
}

/// A later answer that stated a shorter time ended a pause early.
#[test]
fn pause_shortened() {
    let mut pause = Pause::default();
    assert_eq!(pause.extend(2_000, 0.0, 1_000), Some(PauseChange::Begun(2_000)));
    assert_eq!(pause.extend(500, 0.0, 1_100), None);
    assert_eq!(pause.wait_ms(1_100), 1_900);
    assert_eq!(pause.extend(2_500, 0.0, 1_200), Some(PauseChange::Lengthened(2_500)));
    assert!(pause.is_paused(3_699) && !pause.is_paused(3_700));
    assert!(!pause.take_ended(3_699));
    assert!(pause.take_ended(3_700) && !pause.take_ended(3_800));
    assert_eq!(pause.extend(1_000, 0.0, 3_900), Some(PauseChange::Begun(1_000)));
}

/// The answer to a request that was sent before the pause ended it, or the return after it.
#[test]
fn ended_by_answer() {
    let mut pause = Pause::default();
    pause.extend(1_000, 0.0, 1_000);
    for sent_ms in 900..1_000 {
        pause.record_answer(sent_ms, 1_500);
    }
    assert_eq!(pause.wait_ms(1_500), 500);
    pause.record_send(2_000);
    for sent_ms in 900..1_000 {
        pause.record_answer(sent_ms, 2_010);
    }
    assert!(pause.wait_ms(2_020) > 0, "only the first request of the return was sent");
}

/// The return never went on, since the answer to its first request was lost.
#[test]
fn lost_first_answer() {
    let mut pause = Pause::default();
    pause.extend(1_000, 0.0, 1_000);
    assert_eq!(pause.wait_ms(2_000), 0);
    pause.record_send(2_000);
    assert_eq!(pause.wait_ms(2_001), 499);
    assert_eq!(pause.wait_ms(2_500), 0);
    pause.record_send(2_500);
    // Each answer allows two requests, until the return is complete.
    let mut answers = vec![2_500];
    for (now_ms, expected) in [(2_600, 2), (2_700, 4), (2_800, 8), (2_900, 100)] {
        answers.drain(..).for_each(|sent_ms| pause.record_answer(sent_ms, now_ms));
        while pause.wait_ms(now_ms) == 0 && answers.len() < 100 {
            pause.record_send(now_ms);
            answers.push(now_ms);
        }
        assert_eq!(answers.len(), expected, "at {now_ms} ms");
    }
}

/// Nodes that were turned away together returned together.
#[test]
fn returns_at_once() {
    let ends: Vec<u64> = (0..10)
        .map(|node| {
            let mut pause = Pause::default();
            pause.extend(5_000, f64::from(node) / 10.0, 1_000);
            pause.wait_ms(1_000)
        })
        .collect();
    assert!(ends.iter().all(|end_ms| (5_000..=5_500).contains(end_ms)), "{ends:?}");
    assert!(ends.is_sorted() && ends[9] - ends[0] >= 400, "{ends:?}");
}
