//! Metrics of several nodes read as one.

use fescuelock_operators::merge::{Merged, Quantiles};

fn node(requests: u64, age_ms: u64, version: u64, buckets: [u64; 3]) -> String {
    let [a, b, c] = buckets;
    format!(
        "fescuelock_requests {requests}\nfescuelock_store_age_ms {age_ms}\n\
         fescuelock_configuration_version {version}\n\
         fescuelock_answer_ms_bucket{{route=\"r\",version=\"v1\",le=\"10\"}} {a}\n\
         fescuelock_answer_ms_bucket{{route=\"r\",version=\"v1\",le=\"100\"}} {b}\n\
         fescuelock_answer_ms_bucket{{route=\"r\",version=\"v1\",le=\"1000\"}} {c}\n\
         fescuelock_answer_ms_count{{route=\"r\",version=\"v1\"}} {c}\n"
    )
}

#[test]
fn nodes_merged() {
    let mut merged = Merged::default();
    merged.add(&node(100, 40, 4, [50, 100, 100]));
    merged.add(&node(20, 900, 5, [0, 0, 20]));
    merged.add("not a metric\n");
    assert_eq!(merged.nodes, 3);
    assert_eq!(merged.values["fescuelock_requests"], 120.0);
    assert_eq!(merged.values["fescuelock_store_age_ms"], 900.0, "the oldest counts");
    assert_eq!(merged.configuration_versions, Some((4.0, 5.0)));
    assert_eq!(merged.unreadable, 1);
    let histograms = merged.histograms();
    let expected =
        Quantiles { count: 120.0, bounds_ms: [Some(100.0), Some(1_000.0), Some(1_000.0)] };
    assert_eq!(histograms["fescuelock_answer_ms{route=\"r\",version=\"v1\"}"], expected);
    assert!(merged.text().contains("count 120, up to ms: p50 100, p90 1000, p99 1000"));
}
