//! How the cost of control grows: `control` at several sizes, with linear fits and residuals.

use serde_json::{Map, Value, json};

use crate::Result;
use crate::experiments::{ExperimentOptions, control};

/// Numbers of nodes that are measured.
const NODES: [usize; 4] = [8, 16, 32, 64];
/// Number of nodes while upstreams vary.
const NODES_FIXED: usize = 8;
/// Numbers of upstreams that are measured.
const UPSTREAMS: [usize; 4] = [22, 650, 1_300, 2_600];
/// Number of upstreams while nodes vary.
const UPSTREAMS_FIXED: usize = 22;
/// Figures that are fitted, by phase and name.
const FIGURES: [(&str, &str); 9] = [
    ("", "rss_mib_per_node"),
    ("idle", "cpu_pct_per_node"),
    ("idle", "link_bytes_per_s_per_node"),
    ("idle", "store_reads_per_s"),
    ("with_changes", "cpu_pct_per_node"),
    ("with_changes", "link_bytes_per_s_per_node"),
    ("with_changes", "store_bytes_per_s_per_node"),
    ("with_changes", "store_reads_per_s"),
    ("", "in_force_ms_max"),
];

/// `Fit` is a straight line through measured points.
#[derive(Debug, Clone, Copy)]
struct Fit {
    intercept: f64,
    slope: f64,
    residual_max: f64,
}

impl Fit {
    /// Fits a line by least squares.
    fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let residuals = points.iter().map(|(x, y)| (y - intercept - slope * x).abs());
        Fit { intercept, slope, residual_max: residuals.fold(0.0, f64::max) }
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns the error of a run of `control`.
pub fn run(options: &ExperimentOptions) -> Result<Value> {
    let by_nodes = measure(options, &NODES.map(|nodes| (nodes, UPSTREAMS_FIXED)))?;
    let by_upstreams = measure(options, &UPSTREAMS.map(|count| (NODES_FIXED, count)))?;
    Ok(json!({
        "experiment": "slopes",
        "seed": options.seed,
        "by_nodes": fits(&by_nodes, "nodes"),
        "by_upstreams": fits(&by_upstreams, "upstreams"),
    }))
}

fn measure(options: &ExperimentOptions, sizes: &[(usize, usize)]) -> Result<Vec<Value>> {
    sizes
        .iter()
        .map(|&(nodes, upstreams)| {
            let report = control::run(&ExperimentOptions { nodes, upstreams, ..options.clone() })?;
            eprintln!("{report}");
            Ok(report)
        })
        .collect()
}

fn fits(reports: &[Value], size: &str) -> Value {
    let mut fits = Map::new();
    for (phase, name) in FIGURES {
        let points: Vec<(f64, f64)> = reports
            .iter()
            .filter_map(|report| {
                let figures = if phase.is_empty() { report } else { &report[phase] };
                Some((report[size].as_f64()?, figures[name].as_f64()?))
            })
            .collect();
        let fit = Fit::through(&points);
        let key = format!("{phase} {name}").trim().to_owned();
        fits.insert(
            key,
            json!({
                "points": points,
                "intercept": fit.intercept,
                "slope": fit.slope,
                "residual_max": fit.residual_max,
            }),
        );
    }
    Value::Object(fits)
}
