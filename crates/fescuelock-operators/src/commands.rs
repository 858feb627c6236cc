//! The commands of the `fescuelock` client. Each returns the text or JSON that is printed.

use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{self, Change, Problem};
use fescuelock_http::client::{Call, Client};
use fescuelock_http::net::SharedNetwork;
use fescuelock_store::bills::read_ledger;
use fescuelock_store::objects::ObjectStore;
use serde::Serialize;
use serde_json::json;

use crate::edit::{self, Applied};
use crate::fleet::{Fleet, NodeReport};
use crate::merge::Merged;
use crate::{Error, Result};

/// Time for reading one node's metrics, in milliseconds: a small VM under load takes some hundreds.
const METRICS_TIMEOUT_MS: u64 = 2_000;

/// `Form` tells how a command prints its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Text for a person.
    Text,
    /// One JSON object.
    Json,
}

/// `TeamTotal` sums the bills of one team.
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
/// Returns [`Error::InvalidRules`] with all problems if there is an error among them.
pub fn check(text: &str, form: Form) -> Result<String> {
    let (_, rules_text) = edit::split_base(text);
    let report = rules::check(rules_text, Generation::default());
    if report.view.is_none() {
        return Err(Error::InvalidRules(report.problems));
    }
    let warnings = &report.problems;
    Ok(match form {
        Form::Json => {
            json!({ "valid": true, "rules": report.rules, "warnings": warnings }).to_string()
        }
        Form::Text => {
            let mut text = list_problems(warnings);
            let _ = write!(text, "{} rules, {} warnings", report.rules, warnings.len());
            text
        }
    })
}

/// Tells what happened to a request, from log files or standard input.
///
/// # Errors
///
/// Returns [`Error::File`] if a file cannot be read, and [`Error::NoRequest`] if no line tells of
/// the request's end.
pub fn explain(request: &str, files: &[String], form: Form) -> Result<String> {
    let mut lines = Vec::new();
    let mut read = |path: &str, reader: &mut dyn BufRead| -> Result<()> {
        for line in reader.split(b'\n') {
            let line = line.map_err(|source| Error::File { path: path.to_owned(), source })?;
            // Bytes that are no text make a line unreadable, not the file.
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
    let explanation = crate::explain::explain(request, lines)?;
    Ok(match form {
        Form::Json => json!(explanation).to_string(),
        Form::Text => explanation.text(),
    })
}

/// Merges the metrics of nodes, read from their metrics addresses or from files.
///
/// # Errors
///
/// Returns [`Error::Node`] if a node does not answer, and [`Error::File`] if a file cannot be read.
pub async fn metrics(network: &SharedNetwork, sources: &[String], form: Form) -> Result<String> {
    let mut merged = Merged::default();
    for source in sources {
        match source.parse::<SocketAddr>() {
            Ok(_) => merged.add(&fetch_metrics(network, source).await?),
            Err(_) => merged.add(&read_file(source)?),
        }
    }
    Ok(match form {
        Form::Json => json!({ "metrics": merged, "histograms": merged.histograms() }).to_string(),
        Form::Text => merged.text(),
    })
}

async fn fetch_metrics(network: &SharedNetwork, address: &str) -> Result<String> {
    let failed = |reason: String| Error::Node { address: address.to_owned(), reason };
    let client = Client::new(network.clone(), address);
    let path = "/metrics".to_owned();
    let call = Call { path, limit_ms: METRICS_TIMEOUT_MS, ..Call::default() };
    let answer = client.call(call).await.map_err(|error| failed(error.to_string()))?;
    match answer.status.is_success() {
        true => Ok(String::from_utf8_lossy(&answer.body).into_owned()),
        false => Err(failed(format!("answered with status {}", answer.status))),
    }
}

/// Compares a rules text with the rules in the platform.
///
/// # Errors
///
/// Returns the error of the platform.
pub async fn diff(store: &dyn ObjectStore, text: &str, form: Form) -> Result<String> {
    let current = edit::current(store).await?;
    let (generation, old) =
        current.map_or((0, String::new()), |current| (current.generation, current.text));
    let (_, rules_text) = edit::split_base(text);
    let changes = rules::diff(&old, rules_text);
    Ok(match form {
        Form::Json => json!({ "generation": generation, "changes": changes }).to_string(),
        Form::Text => list_changes(&changes),
    })
}

/// Shows the rules in the platform, with the generation that an edit will be based on.
///
/// # Errors
///
/// Returns [`Error::NoRules`] if there are none.
pub async fn show(store: &dyn ObjectStore, form: Form) -> Result<String> {
    let current = edit::current(store).await?.ok_or(Error::NoRules)?;
    Ok(match form {
        Form::Json => {
            json!({ "generation": current.generation, "rules": current.text }).to_string()
        }
        Form::Text => edit::with_base(&current).trim_end().to_owned(),
    })
}

/// Describes an edit that was applied.
pub fn describe_applied(applied: &Applied, form: Form) -> String {
    match form {
        Form::Json => json!({
            "generation": applied.generation,
            "changes": applied.changes,
            "warnings": applied.warnings,
        })
        .to_string(),
        Form::Text => {
            let mut text = list_problems(&applied.warnings);
            text.push_str(&list_changes(&applied.changes));
            let _ = write!(text, "applied as generation {}", applied.generation);
            text
        }
    }
}

/// Describes the nodes of a fleet.
///
/// # Errors
///
/// Returns [`Error::Node`] with the first node that could not be asked, after all were asked, if
/// none could.
pub async fn status(fleet: &Fleet, form: Form) -> Result<String> {
    let reports = fleet.status().await;
    let text = match form {
        Form::Json => {
            let nodes: Vec<_> = reports.iter().map(report_json).collect();
            json!({ "nodes": nodes }).to_string()
        }
        Form::Text => reports.iter().map(report_line).collect::<Vec<_>>().join("\n"),
    };
    let unreached = reports.into_iter().find_map(|report| report.status.err());
    match unreached {
        Some(error) if !text.contains("generation") => Err(error),
        _ => Ok(text),
    }
}

/// Sums the bills by team.
///
/// # Errors
///
/// Returns the error of the platform.
pub async fn bills(store: &dyn ObjectStore, form: Form) -> Result<String> {
    let ledger = read_ledger(store).await?;
    let mut teams = std::collections::BTreeMap::<&str, TeamTotal>::new();
    for bill in ledger.bills.values() {
        let total = teams.entry(&bill.team).or_default();
        total.requests += 1;
        total.input_tokens += bill.usage.input_tokens;
        total.output_tokens += bill.usage.output_tokens;
        total.cost_micros += bill.cost_micros;
    }
    Ok(match form {
        Form::Json => json!({
            "requests": ledger.bills.len(),
            "duplicates": ledger.duplicates,
            "malformed": ledger.malformed,
            "teams": teams,
        })
        .to_string(),
        Form::Text => {
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
                "\n{} requests, {} duplicate records, {} malformed records",
                ledger.bills.len(),
                ledger.duplicates,
                ledger.malformed
            );
            text
        }
    })
}

/// Describes an error.
pub fn describe_error(error: &Error, form: Form) -> String {
    match form {
        Form::Json => {
            let details = match error {
                Error::InvalidRules(problems) => json!(problems),
                Error::Conflict { changes, .. } => json!(changes),
                _ => json!([]),
            };
            json!({ "error": error.to_string(), "details": details }).to_string()
        }
        Form::Text => match error {
            Error::InvalidRules(problems) => format!("{}{error}", list_problems(problems)),
            Error::Conflict { changes, .. } => {
                format!("{error}\nthe other change:\n{}", list_changes(changes))
            }
            _ => error.to_string(),
        },
    }
}

fn list_problems(problems: &[Problem]) -> String {
    problems.iter().map(|problem| format!("{problem}\n")).collect()
}

fn list_changes(changes: &[Change]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}

fn report_json(report: &NodeReport) -> serde_json::Value {
    match &report.status {
        Ok(status) => json!({ "address": report.address, "status": status }),
        Err(error) => json!({ "address": report.address, "error": error.to_string() }),
    }
}

fn report_line(report: &NodeReport) -> String {
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
