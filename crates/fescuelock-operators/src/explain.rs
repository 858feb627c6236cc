//! The path of one request, put together from the logs of all nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use serde::Serialize;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::{Error, Result};

/// Beliefs that every request depends on, by the lines that tell of them.
const GENERAL_BELIEFS: [&str; 6] = [
    "configuration adopted",
    "store lost",
    "store regained",
    "zones out",
    "roll-out verdict",
    "started",
];

/// `Step` is one decision about a request.
#[derive(Debug, Clone, Serialize)]
pub struct Step {
    /// Time since the request's arrival at the node, in milliseconds.
    pub at_ms: u64,
    /// What was decided.
    pub what: String,
    /// What decided it.
    pub inputs: String,
}

/// `Belief` is what a node last logged of something that a request depended on.
#[derive(Debug, Clone, Serialize)]
pub struct Belief {
    /// Age at the request's arrival, in milliseconds. Negative for what was learned after it.
    pub age_ms: i64,
    /// The line's message.
    pub line: String,
    /// The line's fields.
    pub fields: BTreeMap<String, Value>,
}

/// `Visit` is a request at one node.
#[derive(Debug, Clone, Serialize)]
pub struct Visit {
    /// The node.
    pub node: String,
    /// Time of the request's arrival.
    pub arrived: String,
    /// The route.
    pub route: String,
    /// Version of the configuration that it was served under.
    pub configuration: Option<u64>,
    /// How it ended.
    pub outcome: String,
    /// Status of the answer.
    pub status: u64,
    /// Time to the first byte of the answer, in milliseconds.
    pub first_ms: u64,
    /// Latency objective, in milliseconds, if a route was found.
    pub target_ms: Option<u64>,
    /// Time to the end of the answer, in milliseconds.
    pub total_ms: u64,
    /// What decided the outcome.
    pub cause: String,
    /// The decisions, or fewer if they were not logged.
    pub steps: Vec<Step>,
    /// Decisions that were taken.
    pub decisions: u64,
    /// What the node believed at the request's arrival and learned until its end, oldest first.
    pub beliefs: Vec<Belief>,
}

/// `Explanation` is the path of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// The request at each node that it reached, in the order of arrival.
    pub visits: Vec<Visit>,
    /// Lines that were read.
    pub lines: u64,
    /// Lines that could not be read.
    pub unreadable: u64,
    /// Lines that nodes say they left out, of all kinds.
    pub left_out: u64,
}

/// `Entry` is one log line.
#[derive(Debug)]
struct Entry {
    node: String,
    message: String,
    at: OffsetDateTime,
    fields: BTreeMap<String, Value>,
}

/// Puts together the path of a request from the lines of logs, in any order.
///
/// What comes before the first brace of a line, such as a collector's prefix, is left.
///
/// # Errors
///
/// Returns [`Error::NoRequest`] if no line tells of the request's end.
pub fn explain(request: &str, lines: impl IntoIterator<Item = String>) -> Result<Explanation> {
    let mut entries = Vec::new();
    let mut explanation = Explanation {
        request: request.to_owned(),
        visits: Vec::new(),
        lines: 0,
        unreadable: 0,
        left_out: 0,
    };
    for line in lines.into_iter().filter(|line| !line.trim().is_empty()) {
        explanation.lines += 1;
        match parse(&line) {
            Some(entry) if entry.is_wanted(request) => entries.push(entry),
            Some(entry) => explanation.left_out += entry.left_out(),
            None => explanation.unreadable += 1,
        }
    }
    entries.sort_by_key(|entry| entry.at);
    let nodes: BTreeSet<&str> = entries
        .iter()
        .filter(|entry| entry.text("request") == request)
        .map(|entry| entry.node.as_str())
        .collect();
    let visits = nodes.into_iter().flat_map(|node| visits(request, node, &entries));
    explanation.visits = visits.collect();
    explanation.visits.sort_by(|a, b| a.arrived.cmp(&b.arrived));
    match explanation.visits.is_empty() {
        true => Err(Error::NoRequest {
            request: request.to_owned(),
            lines: explanation.lines,
            left_out: explanation.left_out,
        }),
        false => Ok(explanation),
    }
}

impl Explanation {
    /// Writes the explanation for a person.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for visit in &self.visits {
            visit.write(&self.request, &mut text);
        }
        // Writing to a string does not fail.
        let _ = write!(
            text,
            "read {} lines, {} unreadable, {} left out by nodes",
            self.lines, self.unreadable, self.left_out
        );
        text
    }
}

impl Visit {
    fn write(&self, request: &str, text: &mut String) {
        let configuration =
            self.configuration.map_or("none".to_owned(), |version| version.to_string());
        let target =
            self.target_ms.map_or("none".to_owned(), |target_ms| format!("{target_ms} ms"));
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "request {request} at {} on {}: {} with {}\n  route {}, configuration {configuration}, \
             objective {target}, first byte after {} ms, end after {} ms\n  cause: {}",
            self.arrived,
            self.node,
            self.outcome,
            self.status,
            if self.route.is_empty() { "none" } else { &self.route },
            self.first_ms,
            self.total_ms,
            self.cause,
        );
        for step in &self.steps {
            let _ = writeln!(text, "  {:>6} ms  {}: {}", step.at_ms, step.what, step.inputs);
        }
        if (self.steps.len() as u64) < self.decisions {
            let missing = self.decisions - self.steps.len() as u64;
            let _ = writeln!(text, "  {missing} decisions were not logged");
        }
        for belief in &self.beliefs {
            let fields = belief.fields.iter().map(|(name, value)| match value {
                Value::String(value) => format!("{name} {value}"),
                value => format!("{name} {value}"),
            });
            let fields = fields.collect::<Vec<_>>().join(", ");
            let side = if belief.age_ms >= 0 { "before" } else { "after" };
            let distance_ms = belief.age_ms.unsigned_abs();
            let _ = writeln!(text, "  {distance_ms:>6} ms {side}  {}: {fields}", belief.line);
        }
    }
}

impl Entry {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Tells whether the line may matter to a request: it names it, or tells what a node believes.
    fn is_wanted(&self, request: &str) -> bool {
        match self.message.as_str() {
            "decision" | "request ended" => self.text("request") == request,
            message => self.fields.contains_key("upstream") || GENERAL_BELIEFS.contains(&message),
        }
    }

    fn left_out(&self) -> u64 {
        match self.message.as_str() {
            "log lines left out" => {
                self.fields.values().filter_map(Value::as_u64).fold(0, u64::saturating_add)
            }
            _ => 0,
        }
    }

    /// Returns what a belief is about, so that only the last line about it is shown.
    fn subject(&self) -> (&str, &str, &str) {
        let message = match self.message.as_str() {
            "store lost" | "store regained" => "store",
            _ if self.fields.contains_key("upstream") => "upstream",
            message => message,
        };
        (message, self.text("upstream"), self.text("collection"))
    }
}

fn parse(line: &str) -> Option<Entry> {
    let start = line.find('{')?;
    let mut fields: BTreeMap<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let mut take = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let (node, message, at) = (take("node")?, take("msg")?, take("ts")?);
    take("level");
    let at = OffsetDateTime::parse(&at, &Rfc3339).ok()?;
    Some(Entry { node, message, at, fields })
}

/// Returns a request's visits of one node. A caller may repeat an id.
fn visits(request: &str, node: &str, entries: &[Entry]) -> Vec<Visit> {
    let mut visits = Vec::new();
    let mut steps = Vec::new();
    for entry in entries.iter().filter(|entry| entry.node == node) {
        match entry.message.as_str() {
            "decision" => steps.push(Step {
                at_ms: entry.number("at_ms").unwrap_or_default(),
                what: entry.text("what").to_owned(),
                inputs: entry.text("inputs").to_owned(),
            }),
            "request ended" if entry.text("request") == request => {
                visits.push(visit(entry, std::mem::take(&mut steps), entries));
            }
            _ => {}
        }
    }
    visits
}

fn visit(ended: &Entry, steps: Vec<Step>, entries: &[Entry]) -> Visit {
    let total_ms = ended.number("total_ms").unwrap_or_default();
    let arrived = ended.at - time::Duration::milliseconds(i64::try_from(total_ms).unwrap_or(0));
    let mut beliefs: BTreeMap<(&str, &str, &str), Belief> = BTreeMap::new();
    let mut news = Vec::new();
    let before = entries.iter().filter(|entry| entry.node == ended.node && entry.at <= ended.at);
    for entry in before.filter(|entry| !matches!(&*entry.message, "decision" | "request ended")) {
        let upstream = entry.text("upstream");
        let is_used = || steps.iter().any(|step| step.inputs.contains(upstream));
        if upstream.is_empty() || is_used() {
            let age = arrived - entry.at;
            let belief = Belief {
                age_ms: i64::try_from(age.whole_milliseconds()).unwrap_or(i64::MAX),
                line: entry.message.clone(),
                fields: entry.fields.clone(),
            };
            match belief.age_ms >= 0 {
                true => drop(beliefs.insert(entry.subject(), belief)),
                false => news.push(belief),
            }
        }
    }
    let mut beliefs: Vec<Belief> = beliefs.into_values().chain(news).collect();
    beliefs.sort_by_key(|belief| std::cmp::Reverse(belief.age_ms));
    let mut visit = Visit {
        node: ended.node.clone(),
        arrived: arrived.format(&Rfc3339).unwrap_or_default(),
        route: ended.text("route").to_owned(),
        configuration: ended.number("configuration").filter(|version| *version > 0),
        outcome: ended.text("outcome").to_owned(),
        status: ended.number("status").unwrap_or_default(),
        first_ms: ended.number("first_ms").unwrap_or_default(),
        target_ms: ended.number("target_ms"),
        total_ms,
        cause: String::new(),
        decisions: ended.number("decisions").unwrap_or_default(),
        steps,
        beliefs,
    };
    visit.cause = cause(&visit);
    visit
}

/// Returns what decided the outcome of a request, in a line.
fn cause(visit: &Visit) -> String {
    let last = |wanted: &[&str]| {
        let step = visit.steps.iter().rev().find(|step| wanted.contains(&step.what.as_str()));
        step.map_or_else(
            || format!("{}; the decision was not logged", visit.outcome),
            |step| format!("{} after {} ms: {}", step.what, step.at_ms, step.inputs),
        )
    };
    let is_late = visit.target_ms.is_some_and(|target_ms| visit.first_ms > target_ms);
    match visit.outcome.as_str() {
        "refused" => last(&["refused", "turned away", "not sent"]),
        "served" if !is_late => "none: it was served in time".to_owned(),
        "served" => slowest(visit),
        _ => last(&["lost", "repeated", "answer cut", "cut", "not resumed"]),
    }
}

/// Names the step that took most of the time to the first byte.
fn slowest(visit: &Visit) -> String {
    let ends = visit.steps.iter().skip(1).map(|step| step.at_ms).chain([visit.first_ms]);
    let spans = visit.steps.iter().zip(ends).filter(|(step, _)| step.at_ms <= visit.first_ms);
    let longest = spans
        .map(|(step, end_ms)| (end_ms.min(visit.first_ms).saturating_sub(step.at_ms), step))
        .max_by_key(|(took_ms, _)| *took_ms);
    match longest {
        Some((took_ms, step)) => {
            format!("{took_ms} of {} ms after `{}`: {}", visit.first_ms, step.what, step.inputs)
        }
        None => "late; the decisions were not logged".to_owned(),
    }
}
