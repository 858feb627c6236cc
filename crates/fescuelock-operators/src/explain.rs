//! Reconstructs the path of one request from the logs of all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use serde::Serialize;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::{Error, Result};

/// Messages of log lines about node state that affects every request.
const NODE_STATE_MESSAGES: [&str; 6] = [
    "configuration adopted",
    "store lost",
    "store regained",
    "zones out",
    "roll-out verdict",
    "started",
];

/// Message of the log line about the rest of a request that was answered before it was read.
const UNREAD_MESSAGE: &str = "request answered unread";

/// `Decision` is one logged decision about a request.
#[derive(Debug, Clone, Serialize)]
pub struct Decision {
    /// Time since the request's arrival at the node, in milliseconds.
    pub at_ms: u64,
    /// Kind of the decision, such as `sent` or `refused`.
    #[serde(rename = "what")]
    pub kind: String,
    /// Values that the decision was based on.
    pub inputs: String,
}

/// `StateChange` is a logged change of a node's state that may have affected a request.
#[derive(Debug, Clone, Serialize)]
pub struct StateChange {
    /// Age at the request's arrival, in milliseconds. Negative if it was logged after the arrival.
    pub age_ms: i64,
    /// Message of the log line.
    #[serde(rename = "line")]
    pub message: String,
    /// Other fields of the log line.
    pub fields: BTreeMap<String, Value>,
}

/// `Hop` describes how one node handled a request.
#[derive(Debug, Clone, Serialize)]
pub struct Hop {
    /// Id of the node.
    pub node: String,
    /// Time of the request's arrival, in RFC 3339.
    pub arrived: String,
    /// Name of the route, or empty if none matched.
    pub route: String,
    /// Version of the configuration that applied to the request.
    pub configuration: Option<u64>,
    /// Outcome of the request.
    pub outcome: String,
    /// HTTP status of the response.
    pub status: u64,
    /// Time to the first byte of the response, in milliseconds.
    #[serde(rename = "first_ms")]
    pub first_byte_ms: u64,
    /// Latency target, in milliseconds, if a route matched.
    pub target_ms: Option<u64>,
    /// Time to the end of the response, in milliseconds.
    pub total_ms: u64,
    /// Summary of what caused the outcome.
    pub cause: String,
    /// Logged decisions. Can be fewer than `decision_count`.
    #[serde(rename = "steps")]
    pub decisions: Vec<Decision>,
    /// Number of decisions that the node made.
    #[serde(rename = "decisions")]
    pub decision_count: u64,
    /// Latest state of the node at the request's arrival and its changes until the request's end,
    /// oldest first.
    #[serde(rename = "beliefs")]
    pub state_changes: Vec<StateChange>,
}

/// `Explanation` describes the path of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// Id of the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Nodes that received the request, in the order of arrival.
    #[serde(rename = "visits")]
    pub hops: Vec<Hop>,
    /// Number of lines that were read.
    #[serde(rename = "lines")]
    pub line_count: u64,
    /// Number of lines that could not be parsed.
    #[serde(rename = "unreadable")]
    pub unreadable_lines: u64,
    /// Number of lines of any kind that nodes reported as dropped.
    #[serde(rename = "left_out")]
    pub dropped_lines: u64,
}

/// `LogEntry` is one parsed log line.
#[derive(Debug)]
struct LogEntry {
    node: String,
    message: String,
    at: OffsetDateTime,
    fields: BTreeMap<String, Value>,
}

/// Reconstructs the path of a request from log lines in any order.
///
/// Text before the first brace of a line, such as a log collector's prefix, is ignored.
///
/// # Errors
///
/// Returns [`Error::NoRequest`] if no line records the end of the request.
pub fn explain(request_id: &str, lines: impl IntoIterator<Item = String>) -> Result<Explanation> {
    let mut entries = Vec::new();
    let mut explanation = Explanation {
        request_id: request_id.to_owned(),
        hops: Vec::new(),
        line_count: 0,
        unreadable_lines: 0,
        dropped_lines: 0,
    };
    for line in lines.into_iter().filter(|line| !line.trim().is_empty()) {
        explanation.line_count += 1;
        match parse(&line) {
            Some(entry) if entry.is_relevant(request_id) => entries.push(entry),
            Some(entry) => explanation.dropped_lines += entry.dropped_lines(),
            None => explanation.unreadable_lines += 1,
        }
    }
    entries.sort_by_key(|entry| entry.at);
    let nodes: BTreeSet<&str> = entries
        .iter()
        .filter(|entry| entry.text("request") == request_id)
        .map(|entry| entry.node.as_str())
        .collect();
    let hops = nodes.into_iter().flat_map(|node| hops_on_node(request_id, node, &entries));
    explanation.hops = hops.collect();
    explanation.hops.sort_by(|a, b| a.arrived.cmp(&b.arrived));
    match explanation.hops.is_empty() {
        true => Err(Error::NoRequest {
            request_id: request_id.to_owned(),
            line_count: explanation.line_count,
            dropped_lines: explanation.dropped_lines,
        }),
        false => Ok(explanation),
    }
}

impl Explanation {
    /// Formats the explanation as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for hop in &self.hops {
            hop.write(&self.request_id, &mut text);
        }
        // Writing to a `String` is infallible.
        let _ = write!(
            text,
            "read {} lines, {} unreadable, {} dropped by nodes",
            self.line_count, self.unreadable_lines, self.dropped_lines
        );
        text
    }
}

impl Hop {
    fn write(&self, request_id: &str, text: &mut String) {
        let configuration_version =
            self.configuration.map_or("none".to_owned(), |version| version.to_string());
        let target =
            self.target_ms.map_or("none".to_owned(), |target_ms| format!("{target_ms} ms"));
        // Writing to a `String` is infallible.
        let _ = writeln!(
            text,
            "request {request_id} at {} on {}: {} with {}\n  route {}, \
             configuration {configuration_version}, target {target}, first byte after {} ms, \
             end after {} ms\n  cause: {}",
            self.arrived,
            self.node,
            self.outcome,
            self.status,
            if self.route.is_empty() { "none" } else { &self.route },
            self.first_byte_ms,
            self.total_ms,
            self.cause,
        );
        for decision in &self.decisions {
            let _ = writeln!(
                text,
                "  {:>6} ms  {}: {}",
                decision.at_ms, decision.kind, decision.inputs
            );
        }
        if (self.decisions.len() as u64) < self.decision_count {
            let missing = self.decision_count - self.decisions.len() as u64;
            let _ = writeln!(text, "  {missing} decisions were not logged");
        }
        for state_change in &self.state_changes {
            let fields = state_change.fields.iter().map(|(name, value)| match value {
                Value::String(value) => format!("{name} {value}"),
                value => format!("{name} {value}"),
            });
            let fields = fields.collect::<Vec<_>>().join(", ");
            let relation = if state_change.age_ms >= 0 { "before" } else { "after" };
            let distance_ms = state_change.age_ms.unsigned_abs();
            let _ = writeln!(
                text,
                "  {distance_ms:>6} ms {relation}  {}: {fields}",
                state_change.message
            );
        }
    }
}

impl LogEntry {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Returns whether the line is about the request or about node state that may affect it.
    fn is_relevant(&self, request_id: &str) -> bool {
        match self.message.as_str() {
            "decision" | "request ended" | UNREAD_MESSAGE => self.text("request") == request_id,
            message => !self.subject().is_empty() || NODE_STATE_MESSAGES.contains(&message),
        }
    }

    /// Returns the upstream or prompt segment that a line about the node's state concerns, or an
    /// empty text if it concerns every request.
    fn subject(&self) -> &str {
        match self.text("upstream") {
            "" => self.text("segment"),
            upstream => upstream,
        }
    }

    fn dropped_lines(&self) -> u64 {
        match self.message.as_str() {
            "log lines left out" => {
                self.fields.values().filter_map(Value::as_u64).fold(0, u64::saturating_add)
            }
            _ => 0,
        }
    }

    /// Returns the key of the state that the line describes. Only the latest line per key before
    /// the request's arrival is kept.
    fn state_key(&self) -> (&str, &str, &str) {
        let message = match self.message.as_str() {
            "store lost" | "store regained" => "store",
            _ if self.fields.contains_key("upstream") => "upstream",
            _ if self.fields.contains_key("segment") => "segment",
            message => message,
        };
        (message, self.subject(), self.text("collection"))
    }
}

fn parse(line: &str) -> Option<LogEntry> {
    let start = line.find('{')?;
    let mut fields: BTreeMap<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let mut take_text = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let (node, message, at) = (take_text("node")?, take_text("msg")?, take_text("ts")?);
    take_text("level");
    let at = OffsetDateTime::parse(&at, &Rfc3339).ok()?;
    Some(LogEntry { node, message, at, fields })
}

/// Returns the hops of a request at one node. There can be several, as callers may reuse an id.
fn hops_on_node(request_id: &str, node: &str, entries: &[LogEntry]) -> Vec<Hop> {
    let mut hops = Vec::new();
    let mut decisions = Vec::new();
    for entry in entries.iter().filter(|entry| entry.node == node) {
        match entry.message.as_str() {
            "decision" => decisions.push(Decision {
                at_ms: entry.number("at_ms").unwrap_or_default(),
                kind: entry.text("what").to_owned(),
                inputs: entry.text("inputs").to_owned(),
            }),
            "request ended" if entry.text("request") == request_id => {
                hops.push(build_hop(entry, std::mem::take(&mut decisions), entries));
            }
            // Comes after the end of the request, when its rest has been discarded.
            UNREAD_MESSAGE => {
                if let Some(hop) = hops.last_mut() {
                    add_unread(hop, entry);
                }
            }

            _ => {}
        }
    }
    hops
}

/// Adds how the rest of a request ended that was answered before it was read.
fn add_unread(hop: &mut Hop, entry: &LogEntry) {
    let arrived = OffsetDateTime::parse(&hop.arrived, &Rfc3339).unwrap_or(entry.at);
    hop.decisions.push(Decision {
        at_ms: u64::try_from((entry.at - arrived).whole_milliseconds()).unwrap_or_default(),
        kind: "answered unread".to_owned(),
        inputs: format!("rest {}, connection {}", entry.text("rest"), entry.text("connection")),
    });
    hop.decision_count += 1;
}

fn build_hop(end_entry: &LogEntry, decisions: Vec<Decision>, entries: &[LogEntry]) -> Hop {
    let total_ms = end_entry.number("total_ms").unwrap_or_default();
    let arrived = end_entry.at - time::Duration::milliseconds(i64::try_from(total_ms).unwrap_or(0));
    let mut state_changes: BTreeMap<(&str, &str, &str), StateChange> = BTreeMap::new();
    let mut later_changes = Vec::new();
    let before =
        entries.iter().filter(|entry| entry.node == end_entry.node && entry.at <= end_entry.at);
    for entry in before
        .filter(|entry| !matches!(&*entry.message, "decision" | "request ended" | UNREAD_MESSAGE))
    {
        let subject = entry.subject();
        let is_used = || decisions.iter().any(|decision| decision.inputs.contains(subject));
        if subject.is_empty() || is_used() {
            let age = arrived - entry.at;
            let state_change = StateChange {
                age_ms: i64::try_from(age.whole_milliseconds()).unwrap_or(i64::MAX),
                message: entry.message.clone(),
                fields: entry.fields.clone(),
            };
            match state_change.age_ms >= 0 {
                true => drop(state_changes.insert(entry.state_key(), state_change)),
                false => later_changes.push(state_change),
            }
        }
    }
    let mut state_changes: Vec<StateChange> =
        state_changes.into_values().chain(later_changes).collect();
    state_changes.sort_by_key(|state_change| std::cmp::Reverse(state_change.age_ms));
    let mut hop = Hop {
        node: end_entry.node.clone(),
        arrived: arrived.format(&Rfc3339).unwrap_or_default(),
        route: end_entry.text("route").to_owned(),
        configuration: end_entry.number("configuration").filter(|version| *version > 0),
        outcome: end_entry.text("outcome").to_owned(),
        status: end_entry.number("status").unwrap_or_default(),
        first_byte_ms: end_entry.number("first_ms").unwrap_or_default(),
        target_ms: end_entry.number("target_ms"),
        total_ms,
        cause: String::new(),
        decision_count: end_entry.number("decisions").unwrap_or_default(),
        decisions,
        state_changes,
    };
    hop.cause = cause(&hop);
    hop
}

/// Summarizes the cause of a request's outcome in one line.
fn cause(hop: &Hop) -> String {
    let last_decision = |wanted: &[&str]| {
        let decision =
            hop.decisions.iter().rev().find(|decision| wanted.contains(&decision.kind.as_str()));
        decision.map_or_else(
            || format!("{}; the decision was not logged", hop.outcome),
            |decision| {
                format!("{} after {} ms: {}", decision.kind, decision.at_ms, decision.inputs)
            },
        )
    };
    let is_late = hop.target_ms.is_some_and(|target_ms| hop.first_byte_ms > target_ms);
    match hop.outcome.as_str() {
        "refused" => last_decision(&["refused", "turned away", "not sent"]),
        "served" if !is_late => "none: served within the latency target".to_owned(),
        "served" => slowest_decision(hop),
        _ => last_decision(&[
            "lost",
            "repeated",
            "answer cut",
            "cut",
            "not resumed",
            "aborted",
            "refused",
        ]),
    }
}

/// Describes the decision that was followed by the longest part of the time to the first byte.
fn slowest_decision(hop: &Hop) -> String {
    let ends =
        hop.decisions.iter().skip(1).map(|decision| decision.at_ms).chain([hop.first_byte_ms]);
    let spans =
        hop.decisions.iter().zip(ends).filter(|(decision, _)| decision.at_ms <= hop.first_byte_ms);
    let longest = spans
        .map(|(decision, end_ms)| {
            (end_ms.min(hop.first_byte_ms).saturating_sub(decision.at_ms), decision)
        })
        .max_by_key(|(took_ms, _)| *took_ms);
    match longest {
        Some((took_ms, decision)) => {
            format!(
                "{took_ms} of {} ms after `{}`: {}",
                hop.first_byte_ms, decision.kind, decision.inputs
            )
        }
        None => "late; the decisions were not logged".to_owned(),
    }
}
