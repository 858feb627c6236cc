//! Upstreams that send nothing for some seconds, with the decisions before and after the attempts
//! were kept until another one has begun to answer.

use fescuelock_policy::health::{Health, Outcome};
use fescuelock_policy::retry_budget::{RetryBudget, RetryLimit, RetryPurpose};
use fescuelock_policy::silence::{
    HedgeCause, HedgeCheck, HedgeTimeouts, Silence, WaitCheck, WaitLimits, should_ignore_silence,
};

/// Timeouts of a stream with a target interval of 1.2 s between events.
const TIMEOUTS: HedgeTimeouts = HedgeTimeouts { silence_ms: 1_800, response_ms: 3_600 };
const ENGINES: usize = 20;
const STREAMS_PER_ENGINE: usize = 16;
/// Time from a send to the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 300;
/// Deadline of all streams, in milliseconds.
const DEADLINE_MS: u64 = 15_000;

#[test]
fn removed_upstream_not_silent() {
    assert_eq!(TIMEOUTS.check(0, None, 2_000), HedgeCheck::WaitMs(1_600));
    let due = HedgeCheck::Due(HedgeCause::RequestUnanswered);
    assert_eq!(TIMEOUTS.check(0, None, 3_600), due);
}

#[test]
fn queued_request_not_silent() {
    assert_eq!(TIMEOUTS.check(0, Some(1_500), 2_000), HedgeCheck::WaitMs(1_300));
    let silent = HedgeCheck::Due(HedgeCause::UpstreamSilent);
    assert_eq!(TIMEOUTS.check(0, Some(1_500), 3_300), silent);
    let unanswered = HedgeCheck::Due(HedgeCause::RequestUnanswered);
    assert_eq!(TIMEOUTS.check(0, Some(3_500), 3_600), unanswered);
}

/// A stream was cut because its only upstream was silent for the time after which others are asked.
#[test]
fn only_upstream_kept() {
    let limits = WaitLimits { second_send_ms: 15_000, end_ms: 75_000 };
    assert_eq!(limits.check(14_000, true), WaitCheck::WaitMs(1_000));
    assert_eq!(limits.check(15_000, true), WaitCheck::SendSecond);
    assert_eq!(limits.check(15_000, false), WaitCheck::WaitMs(100));
    assert_eq!(limits.check(74_950, false), WaitCheck::WaitMs(50));
    assert_eq!(limits.check(75_000, false), WaitCheck::End);
}

/// A request ended before its second upstream was asked, as its time was the shorter one.
#[test]
fn end_after_second() {
    let limits = WaitLimits { second_send_ms: 15_000, end_ms: 10_000 };
    assert_eq!(limits.check(14_000, false), WaitCheck::WaitMs(1_000));
    assert_eq!(limits.check(15_000, true), WaitCheck::SendSecond);
    assert_eq!(limits.check(15_000, false), WaitCheck::End);
    assert_eq!(limits.longest_ms(4), 60_000);
}

/// An upstream that had been silent stayed left out.
#[test]
fn short_silence_forgotten() {
    let mut silence = Silence::default();
    assert!(silence.begin(1_000, 1_000, 2_800) && !silence.begin(1_000, 1_000, 2_900));
    assert!(!silence.accepts(2_900) && !silence.take_loss(true, 2_900));
    assert_eq!(silence.end(3_000), Some(2_000));
    assert!(silence.accepts(3_000) && !silence.take_loss(true, 20_000));
}

/// The time for which an upstream had been idle counted as its silence, which became a failure.
#[test]
fn idle_time_not_silence() {
    let mut silence = Silence::default();
    assert!(silence.begin(10_000, 1_000, 11_800));
    assert!(!silence.take_loss(true, 12_500) && silence.take_loss(true, 13_000));
    assert_eq!(silence.end(13_500), Some(3_500));
}

/// A silence became a failure while no request was left at the upstream to end it.
#[test]
fn silence_without_requests() {
    let mut silence = Silence::default();
    silence.begin(0, 0, 1_800);
    assert!(!silence.take_loss(false, 60_000) && !silence.take_loss(true, 61_000));
    assert!(silence.take_loss(true, 61_200));
}

/// An upstream that never goes on kept getting requests.
#[test]
fn long_silence_is_loss() {
    let mut silence = Silence::default();
    silence.begin(0, 0, 1_800);
    assert!(
        !silence.take_loss(true, 2_999)
            && silence.take_loss(true, 3_000)
            && !silence.take_loss(true, 3_100)
    );
    let mut probes = 0;
    for now_ms in (1_800..11_800).step_by(10) {
        if silence.accepts(now_ms) {
            silence.record_send(now_ms);
            probes += 1;
        }
    }
    assert!(probes <= 20, "{probes} requests in 10 s");
}

#[test]
fn all_silent_all_used() {
    assert!(should_ignore_silence(3, 5) && !should_ignore_silence(2, 4));
}

/// Second sends used up the budget that failed requests need.
#[test]
fn hedges_leave_reserve() {
    let limit = RetryLimit { ratio: 0.9, allowance: 0.0, window_ms: 10_000 };
    let mut budget = RetryBudget::default();
    (0..100).for_each(|_| budget.record_request(0));
    while budget.try_acquire(RetryPurpose::Hedge, &limit, 8, 10) {}
    assert!(budget.try_acquire(RetryPurpose::Recovery, &limit, 8, 10));
}

/// `Figures` is what callers and upstreams see of a silence.
#[derive(Debug, Default)]
struct Figures {
    streams: usize,
    cut: usize,
    second_sends: usize,
    engines_left_out: usize,
    /// Time to the next event of each stream that is not cut, in milliseconds.
    next_event_ms: Vec<u64>,
}

impl Figures {
    fn p99_ms(&self) -> u64 {
        let mut sorted = self.next_event_ms.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(DEADLINE_MS)
    }
}

/// Replays a silence of `silence_ms` at the first `silent` engines, on nodes whose budgets allow
/// `ratio` extra sends per request.
fn replay(
    keeps_attempts: bool,
    nodes: usize,
    silent: usize,
    silence_ms: u64,
    ratio: f64,
) -> Figures {
    let limit = RetryLimit { ratio, allowance: 20.0, window_ms: 10_000 };
    let mut budgets = vec![RetryBudget::default(); nodes];
    let mut healths = vec![vec![Health::default(); ENGINES]; nodes];
    let mut silences = vec![vec![Silence::default(); ENGINES]; nodes];
    let mut figures = Figures::default();
    let streams: Vec<(usize, usize)> = (0..ENGINES * STREAMS_PER_ENGINE)
        .map(|index| (index * 7 % nodes, index % ENGINES))
        .collect();
    streams.iter().for_each(|&(node, _)| budgets[node].record_request(0));
    let HedgeCheck::Due(HedgeCause::UpstreamSilent) =
        TIMEOUTS.check(0, Some(0), TIMEOUTS.silence_ms)
    else {
        panic!("the engine counts as silent after the timeout");
    };
    for &(node, engine) in streams.iter().filter(|(_, engine)| *engine < silent) {
        figures.streams += 1;
        if silence_ms < TIMEOUTS.silence_ms {
            figures.next_event_ms.push(silence_ms);
            continue;
        }
        let now_ms = TIMEOUTS.silence_ms;
        let next_ms = match keeps_attempts {
            // The connection is dropped, and the stream is resumed if there is a retry left.
            false => {
                healths[node][engine].record(Outcome::Unresponsive, 1.0, now_ms);
                let is_left_out = healths[node][engine].eject_if_outlier(0.0, now_ms);
                figures.engines_left_out += usize::from(is_left_out);
                let granted =
                    budgets[node].try_acquire(RetryPurpose::Recovery, &limit, nodes, now_ms);
                figures.second_sends += usize::from(granted);
                let target = (engine + 1 + node) % ENGINES;
                let begins_ms = if target < silent { silence_ms.max(now_ms) } else { now_ms };
                granted.then_some(begins_ms + FIRST_EVENT_MS)
            }

            true => {
                silences[node][engine].begin(0, 0, now_ms);
                let has_target =
                    (0..ENGINES).any(|other| other >= silent && !silences[node][other].is_silent());
                let granted = has_target
                    && budgets[node].try_acquire(RetryPurpose::Hedge, &limit, nodes, now_ms);
                figures.second_sends += usize::from(granted);
                let second_ms = if granted { now_ms + FIRST_EVENT_MS } else { u64::MAX };
                Some(second_ms.min(silence_ms))
            }
        };
        match next_ms.filter(|next_ms| *next_ms <= DEADLINE_MS) {
            Some(next_ms) => figures.next_event_ms.push(next_ms),
            None => figures.cut += 1,
        }
    }
    for silence in silences.iter_mut().flatten() {
        let is_lost = silence.take_loss(true, silence_ms);
        figures.engines_left_out += usize::from(is_lost);
    }
    figures
}

/// Streams were cut while their engines were silent, for want of a retry.
#[test]
fn streams_cut_in_silence() {
    for nodes in [8, 67, 195, 330] {
        for (silent, silence_ms) in [(ENGINES / 10, 2_500), (ENGINES, 2_500), (ENGINES, 1_000)] {
            // Most of the budget is used up by other requests.
            let before = replay(false, nodes, silent, silence_ms, 0.1);
            let after = replay(true, nodes, silent, silence_ms, 0.1);
            println!(
                "{nodes} nodes, {silent} of {ENGINES} engines silent for {silence_ms} ms: cut {} \
                 then {}, second sends {} then {}, engines left out {} then {}, p99 of the next \
                 event {} then {} ms, of {} streams",
                before.cut,
                after.cut,
                before.second_sends,
                after.second_sends,
                before.engines_left_out,
                after.engines_left_out,
                before.p99_ms(),
                after.p99_ms(),
                before.streams,
            );
            assert_eq!(after.cut, 0);
            assert_eq!(after.engines_left_out, 0);
            assert!(after.p99_ms() <= before.p99_ms().max(silence_ms));
        }
    }
}
