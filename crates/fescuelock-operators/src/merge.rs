//! Aggregation of the metrics of several nodes.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

/// Suffix of the names of age gauges, which are merged by maximum. All other values are summed.
const AGE_SUFFIX: &str = "_age_ms";

/// Name of the gauge of the configuration version. Its minimum and maximum are kept instead of a
/// sum.
const VERSION_METRIC: &str = "fescuelock_configuration_version";

/// Quantiles that are reported for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// `MergedMetrics` aggregates the metrics of several nodes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct MergedMetrics {
    /// Number of nodes whose metrics were added.
    #[serde(rename = "nodes")]
    pub node_count: usize,
    /// Values by name and labels.
    pub values: BTreeMap<String, f64>,
    /// Lowest and highest version of the configuration in use.
    #[serde(rename = "configuration_versions")]
    pub configuration_version_range: Option<(f64, f64)>,
    /// Number of lines that could not be parsed.
    #[serde(rename = "unreadable")]
    pub unreadable_lines: usize,
}

/// `HistogramSummary` holds the quantiles of one histogram.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HistogramSummary {
    /// Number of samples.
    pub count: f64,
    /// Upper bucket bounds of the quantiles 0.5, 0.9 and 0.99, in milliseconds. `None` for a
    /// quantile above the last bound.
    pub bounds_ms: [Option<f64>; QUANTILES.len()],
}

impl MergedMetrics {
    /// Adds the metrics of one node.
    pub fn add_node(&mut self, text: &str) {
        self.node_count += 1;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let parsed = line.rsplit_once(' ');
            let Some((key, Ok(value))) = parsed.map(|(key, value)| (key, value.parse::<f64>()))
            else {
                self.unreadable_lines += 1;
                continue;
            };
            if key == VERSION_METRIC {
                let (lowest, highest) = self.configuration_version_range.unwrap_or((value, value));
                self.configuration_version_range = Some((lowest.min(value), highest.max(value)));
                continue;
            }
            let merged = self.values.entry(key.to_owned()).or_default();
            *merged = if key.ends_with(AGE_SUFFIX) { merged.max(value) } else { *merged + value };
        }
    }

    /// Summarizes all histograms, by name and labels.
    pub fn histograms(&self) -> BTreeMap<String, HistogramSummary> {
        let mut buckets: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
        for (key, value) in &self.values {
            let Some((name, labels)) = key.split_once("_bucket{") else {
                continue;
            };
            let Some((labels, bound)) = labels.rsplit_once(",le=\"") else {
                continue;
            };
            if let Ok(bound_ms) = bound.trim_end_matches("\"}").parse() {
                buckets.entry(format!("{name}{{{labels}}}")).or_default().push((bound_ms, *value));
            }
        }
        let summarize = |(key, mut buckets): (String, Vec<(f64, f64)>)| {
            buckets.sort_by(|a, b| a.0.total_cmp(&b.0));
            let (name, labels) = key.split_once('{')?;
            let count = *self.values.get(&format!("{name}_count{{{labels}"))?;
            let bounds_ms = QUANTILES.map(|quantile| {
                let bucket = buckets.iter().find(|(_, up_to)| *up_to >= quantile * count);
                bucket.map(|(bound_ms, _)| *bound_ms)
            });
            Some((key, HistogramSummary { count, bounds_ms }))
        };
        buckets.into_iter().filter_map(summarize).collect()
    }

    /// Formats the metrics as text: values, then histograms.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` is infallible.
        let _ = writeln!(text, "nodes {}", self.node_count);
        if let Some((lowest, highest)) = self.configuration_version_range {
            let _ = writeln!(text, "configuration versions {lowest} to {highest}");
        }
        let is_plain_value = |key: &str| !key.contains("_bucket{") && !key.contains("_count{");
        for (key, value) in self.values.iter().filter(|(key, _)| is_plain_value(key)) {
            let _ = writeln!(text, "{key} {value}");
        }
        for (key, HistogramSummary { count, bounds_ms }) in self.histograms() {
            let bounds = bounds_ms.map(|bound_ms| match bound_ms {
                Some(bound_ms) => format!("{bound_ms}"),
                None => "more".to_owned(),
            });
            let [p50, p90, p99] = bounds;
            let _ =
                writeln!(text, "{key} count {count}, up to ms: p50 {p50}, p90 {p90}, p99 {p99}");
        }
        let _ = write!(text, "{} lines unreadable", self.unreadable_lines);
        text
    }
}
