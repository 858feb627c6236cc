//! Growth of the control-plane cost: runs `control` at several sizes and fits straight lines.

use serde_json::{Map, Value, json};

use crate::Result;
use crate::experiments::{ExperimentOptions, control};

/// Numbers of nodes that are measured, with a fixed number of upstreams.
const NODE_COUNTS: [usize; 4] = [8, 16, 32, 64];
/// Number of nodes while the number of upstreams varies.
const FIXED_NODES: usize = 8;
/// Numbers of upstreams that are measured, with a fixed number of nodes.
const UPSTREAM_COUNTS: [usize; 4] = [22, 650, 1_300, 2_600];
/// Number of upstreams while the number of nodes varies.
const FIXED_UPSTREAMS: usize = 22;
/// Figures of `control` that are fitted, by phase (or empty) and name.
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

/// `LinearFit` is a straight line fitted to measured points, with its largest absolute residual.
#[derive(Debug, Clone, Copy)]
struct LinearFit {
    intercept: f64,
    slope: f64,
    residual_max: f64,
}

impl LinearFit {
    /// Fits a line by ordinary least squares.
    fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let intercept = mean_y - slope * mean_x;
        let residuals = points.iter().map(|(x, y)| (y - intercept - slope * x).abs());
        LinearFit { intercept, slope, residual_max: residuals.fold(0.0, f64::max) }
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns the error of a run of `control`.
pub fn run(options: &ExperimentOptions) -> Result<Value> {
    let by_nodes = measure(options, &NODE_COUNTS.map(|nodes| (nodes, FIXED_UPSTREAMS)))?;
    let by_upstreams = measure(options, &UPSTREAM_COUNTS.map(|count| (FIXED_NODES, count)))?;
    Ok(json!({
        "experiment": "slopes",
        "seed": options.seed,
        "by_nodes": fit_figures(&by_nodes, "nodes"),
        "by_upstreams": fit_figures(&by_upstreams, "upstreams"),
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

fn fit_figures(reports: &[Value], size: &str) -> Value {
    let mut fits = Map::new();
    for (phase, name) in FIGURES {
        let points: Vec<(f64, f64)> = reports
            .iter()
            .filter_map(|report| {
                let figures = if phase.is_empty() { report } else { &report[phase] };
                Some((report[size].as_f64()?, figures[name].as_f64()?))
            })
            .collect();
        let fit = LinearFit::least_squares(&points);
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
