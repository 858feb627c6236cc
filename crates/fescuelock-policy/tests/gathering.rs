//! Changes that arrive together cost few reads, and none waits for long.

use fescuelock_policy::watch_batching::WatchBatching;

/// Time limit for changes to take effect, in milliseconds.
const PROPAGATION_MAX_MS: u64 = 2_000;

/// Returns the times at which changes are read, for changes made at the given times, in
/// milliseconds.
fn simulate_reads(changes_ms: &[u64]) -> Vec<u64> {
    let mut watch_batching = WatchBatching::default();
    let mut reads_ms = Vec::new();
    let mut free_at_ms = 0;
    for &changed_ms in changes_ms {
        if reads_ms.last().is_some_and(|read_ms| changed_ms <= *read_ms) {
            continue;
        }
        let read_ms = changed_ms.max(free_at_ms);
        reads_ms.push(read_ms);
        free_at_ms = read_ms + watch_batching.next_delay_ms(PROPAGATION_MAX_MS, read_ms);
    }
    reads_ms
}

#[test]
fn start_of_fleet() {
    // 65 upstreams register over four seconds.
    let changes_ms: Vec<u64> = (0..65).map(|index| index * 62).collect();
    let reads_ms = simulate_reads(&changes_ms);
    assert!(reads_ms.len() <= 11, "{reads_ms:?}");
}

#[test]
fn single_change() {
    assert_eq!(simulate_reads(&[1_000, 9_000, 30_000]), [1_000, 9_000, 30_000]);
}

#[test]
fn wait_bounded() {
    // Under continuous changes, each is read within a quarter of the time limit to take effect.
    let changes_ms: Vec<u64> = (0..2_000).map(|index| index * 10).collect();
    let reads_ms = simulate_reads(&changes_ms);
    for changed_ms in changes_ms {
        let read_ms = reads_ms.iter().find(|read_ms| **read_ms >= changed_ms);
        let waited_ms = read_ms.map_or(0, |read_ms| read_ms - changed_ms);
        assert!(waited_ms <= PROPAGATION_MAX_MS / 4, "{waited_ms}");
    }
}

/// The store fell silent within the delay after a change, and the next watch waited for its answer for
/// as long as one that follows another without delay.
#[test]
fn silent_after_delay() {
    const WAIT_MAX_MS: u64 = 16_000;
    let mut watch_batching = WatchBatching::default();
    assert_eq!(watch_batching.next_wait_ms(PROPAGATION_MAX_MS, WAIT_MAX_MS), WAIT_MAX_MS);
    watch_batching.next_delay_ms(PROPAGATION_MAX_MS, 1_000);
    assert_eq!(watch_batching.next_wait_ms(PROPAGATION_MAX_MS, WAIT_MAX_MS), PROPAGATION_MAX_MS);
    assert_eq!(watch_batching.next_wait_ms(PROPAGATION_MAX_MS, WAIT_MAX_MS), WAIT_MAX_MS);
}
