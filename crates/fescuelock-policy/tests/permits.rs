//! All nodes together stay within the rate limit of a cold upstream.

use fescuelock_policy::cold_start::{
    ColdStartBucket, ColdStartLimit, ColdStartRate, node_rank, node_rate,
};
use proptest::prelude::*;

proptest! {
    #[test]
    fn fleet_keeps_limit(
        nodes in 1_usize..120,
        upstream in any::<u64>(),
        per_s in 1.0_f64..40.0,
        slack in 2.0_f64..8.0,
        gap_ms in 1_u64..40,
    ) {
        let limit = ColdStartLimit { per_s, overshoot: 1.5, slack };
        let names: Vec<u64> = (0..nodes as u64).map(|node| node * 7_919 + 13).collect();
        let rates: Vec<ColdStartRate> = names
            .iter()
            .map(|&node| node_rate(&limit, node_rank(node, names.iter().copied(), upstream), nodes))
            .collect();
        let mut buckets = vec![ColdStartBucket::default(); nodes];
        let mut sent: Vec<u64> = Vec::new();
        for now_ms in (0..3_000).step_by(gap_ms as usize) {
            for (bucket, &rate) in buckets.iter_mut().zip(&rates) {
                if bucket.has_token(rate, now_ms) {
                    bucket.take_token(rate, now_ms);
                    sent.push(now_ms);
                }
            }
        }
        prop_assert!(!sent.is_empty());
        for &from_ms in &sent {
            let in_second = sent.iter().filter(|&&at| at >= from_ms && at < from_ms + 1_000);
            prop_assert!(in_second.count() as f64 <= per_s * 1.5 + slack);
        }
    }
}

#[test]
fn unknown_nodes() {
    // The limit holds even if there are a third more nodes than each of them knows.
    let limit = ColdStartLimit { per_s: 12.0, overshoot: 1.5, slack: 5.0 };
    let single_node = node_rate(&limit, 0, 9);
    assert!(12.0 * (single_node.per_s + 1.0) <= 12.0 * 1.5 + 5.0);
}
