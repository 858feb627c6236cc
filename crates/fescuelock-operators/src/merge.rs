//! Metrics of several nodes as if they were of one.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde::Serialize;

/// Ending of the names of ages, of which the highest counts. All other values are added up.
const AGE_SUFFIX: &str = "_age_ms";

/// Name of the version of the configuration, of which the lowest and the highest tell most.
const VERSION: &str = "fescuelock_configuration_version";

/// Quantiles that are shown of a histogram.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// `Merged` is the metrics of several nodes.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Merged {
    /// Nodes whose metrics were read.
    pub nodes: usize,
    /// Values by name and labels.
    pub values: BTreeMap<String, f64>,
    /// Lowest and highest version of the configuration in force.
    pub configuration_versions: Option<(f64, f64)>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// `Quantiles` is the summary of one histogram.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: f64,
    /// Upper bounds of the quantiles 0.5, 0.9 and 0.99, in milliseconds. `None` above the last.
    pub bounds_ms: [Option<f64>; QUANTILES.len()],
}

impl Merged {
    /// Adds the metrics of one node.
    pub fn add(&mut self, text: &str) {
        self.nodes += 1;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let parsed = line.rsplit_once(' ');
            let Some((key, Ok(value))) = parsed.map(|(key, value)| (key, value.parse::<f64>()))
            else {
                self.unreadable += 1;
                continue;
            };
            if key == VERSION {
                let (lowest, highest) = self.configuration_versions.unwrap_or((value, value));
                self.configuration_versions = Some((lowest.min(value), highest.max(value)));
                continue;
            }
            let merged = self.values.entry(key.to_owned()).or_default();
            *merged = if key.ends_with(AGE_SUFFIX) { merged.max(value) } else { *merged + value };
        }
    }

    /// Returns the summaries of all histograms, by name and labels.
    pub fn histograms(&self) -> BTreeMap<String, Quantiles> {
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
                let reached = buckets.iter().find(|(_, up_to)| *up_to >= quantile * count);
                reached.map(|(bound_ms, _)| *bound_ms)
            });
            Some((key, Quantiles { count, bounds_ms }))
        };
        buckets.into_iter().filter_map(summarize).collect()
    }

    /// Writes the metrics for a person: values, then histograms.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = writeln!(text, "nodes {}", self.nodes);
        if let Some((lowest, highest)) = self.configuration_versions {
            let _ = writeln!(text, "configuration versions {lowest} to {highest}");
        }
        let plain = |key: &str| !key.contains("_bucket{") && !key.contains("_count{");
        for (key, value) in self.values.iter().filter(|(key, _)| plain(key)) {
            let _ = writeln!(text, "{key} {value}");
        }
        for (key, Quantiles { count, bounds_ms }) in self.histograms() {
            let shown = bounds_ms.map(|bound_ms| match bound_ms {
                Some(bound_ms) => format!("{bound_ms}"),
                None => "more".to_owned(),
            });
            let [half, nine, most] = shown;
            let _ =
                writeln!(text, "{key} count {count}, up to ms: p50 {half}, p90 {nine}, p99 {most}");
        }
        let _ = write!(text, "{} lines unreadable", self.unreadable);
        text
    }
}
