//! Aggregation of the metrics of several nodes.

use fescuelock_operators::merge::{HistogramSummary, MergedMetrics};

fn node_metrics(requests: u64, age_ms: u64, version: u64, buckets: [u64; 3]) -> String {
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
    let mut merged = MergedMetrics::default();
    merged.add_node(&node_metrics(100, 40, 4, [50, 100, 100]));
    merged.add_node(&node_metrics(20, 900, 5, [0, 0, 20]));
    merged.add_node("not a metric\n");
    assert_eq!(merged.node_count, 3);
    assert_eq!(merged.values["fescuelock_requests"], 120.0);
    assert_eq!(merged.values["fescuelock_store_age_ms"], 900.0, "ages are merged by maximum");
    assert_eq!(merged.configuration_version_range, Some((4.0, 5.0)));
    assert_eq!(merged.unreadable_lines, 1);
    let histograms = merged.histograms();
    let expected =
        HistogramSummary { count: 120.0, bounds_ms: [Some(100.0), Some(1_000.0), Some(1_000.0)] };
    assert_eq!(histograms["fescuelock_answer_ms{route=\"r\",version=\"v1\"}"], expected);
    assert!(merged.text().contains("count 120, up to ms: p50 100, p90 1000, p99 1000"));
}
