//! Commands of the `fescuelock` client. Each returns the text or JSON to print.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{self, Change, Problem};
use fescuelock_http::client::{Client, ClientRequest};
use fescuelock_http::net::SharedNetwork;
use fescuelock_store::bills::read_ledger;
use fescuelock_store::objects::ObjectStore;
use serde::Serialize;
use serde_json::json;

use crate::edit::{self, Applied};
use crate::fleet::{Fleet, NodeReport};
use crate::merge::MergedMetrics;
use crate::{Error, Result};

/// Timeout for reading one node's metrics, in milliseconds. A small VM under load takes some
/// hundred milliseconds.
const METRICS_TIMEOUT_MS: u64 = 2_000;

/// `OutputFormat` selects the output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON object.
    Json,
}

/// `TeamTotal` is the sum of one team's bills.
#[derive(Debug, Clone, Default, Serialize)]
struct TeamTotal {
    requests: u64,
    input_tokens: u64,
    output_tokens: u64,
    cost_micros: u64,
}

/// Reads a rules file.
///
/// # Errors
///
/// Returns [`Error::File`] if it cannot be read.
pub fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.to_owned(), source })
}

/// Checks a rules text.
///
/// # Errors
///
/// Returns [`Error::InvalidRules`] with all errors and warnings if there is an error among them.
pub fn check(text: &str, format: OutputFormat) -> Result<String> {
    let (_, rules_text) = edit::split_generation_line(text);
    let report = rules::check(rules_text, Generation::default());
    if report.snapshot.is_none() {
        return Err(Error::InvalidRules(report.problems));
    }
    let warnings = &report.problems;
    Ok(match format {
        OutputFormat::Json => {
            json!({ "valid": true, "rules": report.rule_count, "warnings": warnings }).to_string()
        }
        OutputFormat::Text => {
            let mut text = format_problems(warnings);
            let _ = write!(text, "{} rules, {} warnings", report.rule_count, warnings.len());
            text
        }
    })
}

/// Explains what happened to a request, from log files or standard input.
///
/// # Errors
///
/// Returns [`Error::File`] if a file cannot be read, and [`Error::NoRequest`] if no line records
/// the end of the request.
pub fn explain(request_id: &str, files: &[String], format: OutputFormat) -> Result<String> {
    let mut lines = Vec::new();
    let mut read = |path: &str, reader: &mut dyn BufRead| -> Result<()> {
        for line in reader.split(b'\n') {
            let line = line.map_err(|source| Error::File { path: path.to_owned(), source })?;
            // Invalid UTF-8 makes one line unreadable instead of failing the whole file.
            lines.push(String::from_utf8_lossy(&line).into_owned());
        }
        Ok(())
    };
    if files.is_empty() {
        read("standard input", &mut std::io::stdin().lock())?;
    }
    for path in files {
        let file = File::open(path).map_err(|source| Error::File { path: path.clone(), source })?;
        read(path, &mut BufReader::new(file))?;
    }
    let explanation = crate::explain::explain(request_id, lines)?;
    Ok(match format {
        OutputFormat::Json => json!(explanation).to_string(),
        OutputFormat::Text => explanation.text(),
    })
}

/// Merges the metrics of nodes, read from their metrics addresses or from files.
///
/// # Errors
///
/// Returns [`Error::Node`] if a node does not respond, and [`Error::File`] if a file cannot be
/// read.
pub async fn metrics(
    network: &SharedNetwork,
    sources: &[String],
    format: OutputFormat,
) -> Result<String> {
    let mut merged = MergedMetrics::default();
    for source in sources {
        match source.parse::<SocketAddr>() {
            Ok(_) => merged.add_node(&fetch_metrics(network, source).await?),
            Err(_) => merged.add_node(&read_file(source)?),
        }
    }
    Ok(match format {
        OutputFormat::Json => {
            json!({ "metrics": merged, "histograms": merged.histograms() }).to_string()
        }
        OutputFormat::Text => merged.text(),
    })
}

async fn fetch_metrics(network: &SharedNetwork, address: &str) -> Result<String> {
    let node_error = |reason: String| Error::Node { address: address.to_owned(), reason };
    let client = Client::new(network.clone(), address);
    let path = "/metrics".to_owned();
    let call = ClientRequest { path, limit_ms: METRICS_TIMEOUT_MS, ..ClientRequest::default() };
    let answer = client.call(call).await.map_err(|error| node_error(error.to_string()))?;
    match answer.status.is_success() {
        true => Ok(String::from_utf8_lossy(&answer.body).into_owned()),
        false => Err(node_error(format!("unexpected status {}", answer.status))),
    }
}

/// Compares a rules text with the rules that the platform holds.
///
/// # Errors
///
/// Returns the error of the platform.
pub async fn diff(store: &dyn ObjectStore, text: &str, format: OutputFormat) -> Result<String> {
    let current = edit::read_stored_rules(store).await?;
    let (generation, old) =
        current.map_or((0, String::new()), |current| (current.generation, current.text));
    let (_, rules_text) = edit::split_generation_line(text);
    let changes = rules::diff(&old, rules_text);
    Ok(match format {
        OutputFormat::Json => json!({ "generation": generation, "changes": changes }).to_string(),
        OutputFormat::Text => format_changes(&changes),
    })
}

/// Shows the rules that the platform holds, with their generation, on which an edit can be based.
///
/// # Errors
///
/// Returns [`Error::NoRules`] if there are none.
pub async fn show(store: &dyn ObjectStore, format: OutputFormat) -> Result<String> {
    let current = edit::read_stored_rules(store).await?.ok_or(Error::NoRules)?;
    Ok(match format {
        OutputFormat::Json => {
            json!({ "generation": current.generation, "rules": current.text }).to_string()
        }
        OutputFormat::Text => edit::with_generation_line(&current).trim_end().to_owned(),
    })
}

/// Formats the result of an applied edit.
pub fn describe_applied(applied: &Applied, format: OutputFormat) -> String {
    match format {
        OutputFormat::Json => json!({
            "generation": applied.generation,
            "changes": applied.changes,
            "warnings": applied.warnings,
        })
        .to_string(),
        OutputFormat::Text => {
            let mut text = format_problems(&applied.warnings);
            text.push_str(&format_changes(&applied.changes));
            let _ = write!(text, "applied as generation {}", applied.generation);
            text
        }
    }
}

/// Shows the status of every node of a fleet.
///
/// # Errors
///
/// Returns the [`Error::Node`] of the first node that did not respond, if none responded.
pub async fn status(fleet: &Fleet, format: OutputFormat) -> Result<String> {
    let reports = fleet.status().await;
    let text = match format {
        OutputFormat::Json => {
            let nodes: Vec<_> = reports.iter().map(node_json).collect();
            json!({ "nodes": nodes }).to_string()
        }
        OutputFormat::Text => reports.iter().map(node_line).collect::<Vec<_>>().join("\n"),
    };
    let first_error = reports.into_iter().find_map(|report| report.status.err());
    match first_error {
        Some(error) if !text.contains("generation") => Err(error),
        _ => Ok(text),
    }
}

/// Sums the bills by team.
///
/// # Errors
///
/// Returns the error of the platform.
pub async fn bills(store: &dyn ObjectStore, format: OutputFormat) -> Result<String> {
    let ledger = read_ledger(store).await?;
    let mut teams = std::collections::BTreeMap::<&str, TeamTotal>::new();
    for bill in ledger.bills.values() {
        let total = teams.entry(&bill.team).or_default();
        total.requests += 1;
        total.input_tokens += bill.usage.input_tokens;
        total.output_tokens += bill.usage.output_tokens;
        total.cost_micros += bill.cost_micros;
    }
    Ok(match format {
        OutputFormat::Json => json!({
            "requests": ledger.bills.len(),
            "duplicates": ledger.duplicates,
            "malformed": ledger.malformed,
            "missing": ledger.missing,
            "teams": teams,
        })
        .to_string(),
        OutputFormat::Text => {
            let mut text = format!(
                "{:<28} {:>10} {:>14} {:>14} {:>16}",
                "team", "requests", "input tokens", "output tokens", "cost (micros)"
            );
            for (team, total) in &teams {
                let _ = write!(
                    text,
                    "\n{team:<28} {:>10} {:>14} {:>14} {:>16}",
                    total.requests, total.input_tokens, total.output_tokens, total.cost_micros
                );
            }
            let _ = write!(
                text,
                "\n{} requests, {} duplicate records, {} malformed records, {} listed objects not found",
                ledger.bills.len(),
                ledger.duplicates,
                ledger.malformed,
                ledger.missing
            );
            text
        }
    })
}

/// Formats an error.
pub fn describe_error(error: &Error, format: OutputFormat) -> String {
    match format {
        OutputFormat::Json => {
            let details = match error {
                Error::InvalidRules(problems) => json!(problems),
                Error::Conflict { changes, .. } => json!(changes),
                _ => json!([]),
            };
            json!({ "error": error.to_string(), "details": details }).to_string()
        }
        OutputFormat::Text => match error {
            Error::InvalidRules(problems) => format!("{}{error}", format_problems(problems)),
            Error::Conflict { changes, .. } => {
                format!("{error}\nconflicting changes:\n{}", format_changes(changes))
            }
            _ => error.to_string(),
        },
    }
}

fn format_problems(problems: &[Problem]) -> String {
    problems.iter().map(|problem| format!("{problem}\n")).collect()
}

fn format_changes(changes: &[Change]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}

fn node_json(report: &NodeReport) -> serde_json::Value {
    match &report.status {
        Ok(status) => json!({ "address": report.address, "status": status }),
        Err(error) => json!({ "address": report.address, "error": error.to_string() }),
    }
}

fn node_line(report: &NodeReport) -> String {
    match &report.status {
        Ok(status) => {
            let state = if status.ready { "ready" } else { "not ready" };
            format!(
                "{:<22} {:<12} {:<24} {state:<10} generation {:<8} in flight {:<6} requests {}",
                report.address,
                status.node,
                status.zone,
                status.generation,
                status.in_flight,
                status.counters.get("requests").copied().unwrap_or(0),
            )
        }

        Err(error) => format!("{:<22} {error}", report.address),
    }
}
