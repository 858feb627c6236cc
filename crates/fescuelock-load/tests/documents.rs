//! The operations manual lists every setting, rule form, counter, metric, log line and decision.

use std::collections::BTreeSet;

use fescuelock_core::counters::Counter;
use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{RULE_FORMS, check};
use fescuelock_gateway::metrics::{Gauge, LabelledCounter, LatencyHistogram};
use fescuelock_router::settings;

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the first column of the tables below a heading of the manual, without backticks.
fn first_cells(heading: &str) -> BTreeSet<String> {
    let section = OPERATIONS.split("\n## ").find(|section| section.starts_with(heading));
    section
        .expect("the section exists")
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split_once("` |"))
        .map(|(cell, _)| cell.replace("\\|", "|"))
        .collect()
}

#[test]
fn settings_documented() {
    let keys: BTreeSet<String> = settings::keys().into_iter().collect();
    assert_eq!(first_cells("Settings"), keys);
}

#[test]
fn rules_documented() {
    let forms: BTreeSet<String> = RULE_FORMS.iter().map(|form| form.usage.to_owned()).collect();
    assert_eq!(first_cells("Rules"), forms);
}

#[test]
fn counters_documented() {
    let counters: BTreeSet<String> =
        Counter::ALL.iter().map(|counter| counter.name().to_owned()).collect();
    assert_eq!(first_cells("What a node serves"), counters);
}

#[test]
fn metrics_documented() {
    let names = LatencyHistogram::ALL.iter().map(|timing| timing.name());
    let names =
        names.chain(LabelledCounter::ALL.iter().map(|labelled_counter| labelled_counter.name()));
    let names = names.chain(Gauge::ALL.iter().map(|gauge| gauge.name()));
    assert_eq!(first_cells("Metrics on the platform"), names.map(str::to_owned).collect());
}

/// Returns the string literals that follow a marker and optional white space in a source file.
fn quoted_after(source: &str, marker: &str) -> Vec<String> {
    let after = source.split(marker).skip(1);
    let quoted = after.filter_map(|text| text.trim_start().strip_prefix('"'));
    quoted.filter_map(|text| text.split('"').next()).map(str::to_owned).collect()
}

/// Returns the source text of the modules that write log lines on the platform.
fn logging_sources() -> String {
    let crates = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    let files = std::fs::read_dir(format!("{crates}/fescuelock-gateway/src"))
        .expect("the sources are there");
    let mut paths: Vec<_> = files.map(|file| file.expect("the entry is readable").path()).collect();
    paths.push(format!("{crates}/fescuelock-router/src/hosted.rs").into());
    paths.iter().map(|path| std::fs::read_to_string(path).expect("the source is text")).collect()
}

#[test]
fn log_lines_documented() {
    let sources = logging_sources();
    let mut found = BTreeSet::new();
    for call in ["info!(", "warn!(", "error!("] {
        for text in sources.split(call).skip(1) {
            // The message is the first string literal before the fields.
            let head = text.split(';').next().unwrap_or_default();
            found.extend(head.split('"').nth(1).map(str::to_owned));
        }
    }
    assert_eq!(first_cells("Log lines on the platform"), found);
}

#[test]
fn decisions_documented() {
    let found: BTreeSet<String> = ["trace.add(", "trace\n                        .add("]
        .iter()
        .flat_map(|marker| quoted_after(&logging_sources(), marker))
        .chain(["escalated".to_owned(), "kept".to_owned()])
        .collect();
    assert_eq!(first_cells("Decisions on the platform"), found);
}

#[test]
fn examples_valid() {
    for rules in [
        include_str!("../../../examples/pinehollow.rules"),
        include_str!("../../../examples/blue-mahoe.rules"),
        include_str!("../../../deploy/site.rules"),
    ] {
        assert_eq!(check(rules, Generation(1)).problems, []);
    }
    for text in [
        include_str!("../../../examples/settings/node-1.ini"),
        include_str!("../../../examples/settings/node-2.ini"),
        include_str!("../../../examples/settings/node-3.ini"),
    ] {
        assert!(settings::parse("node.ini", text).is_ok());
    }
}

#[test]
fn faults_listed() {
    let text =
        "[node]\nid = a b\ncolour = red\n[callers]\nlisten = host\nheaders_max = 1\n[x]\ny = 1\n";
    let Err(fescuelock_router::Error::Settings(faults)) = settings::parse("f.ini", text) else {
        panic!("the settings have faults");
    };
    let found: BTreeSet<(&str, &str)> =
        faults.iter().map(|fault| (fault.section.as_str(), fault.key.as_str())).collect();
    let expected = BTreeSet::from([
        ("node", "id"),
        ("node", "zone"),
        ("node", "colour"),
        ("callers", "listen"),
        ("callers", "headers_max"),
        ("sessions", "keys"),
        ("x", "y"),
    ]);
    assert_eq!(found, expected);
    assert!(faults.iter().all(|fault| fault.file == "f.ini" && !fault.message.is_empty()));
}
