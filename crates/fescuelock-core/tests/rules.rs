//! The rules file: accepted syntax, reported problems and the compiled snapshot.

use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{Change, RULE_FORMS, Severity, check, diff};

const MINIMAL_RULES: &str = "\
zone a region=r  # asked by Ann: base
model m  # asked by Ann: base
version m/1 input_cost=10 output_cost=20 quality=0.9  # asked by Ann: base
upstream u zone=a address=127.0.0.1:9000 serves=m/1  # asked by Ann: base
team t quality=0.8  # asked by Ben: quotes
key t sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa  # asked by Ben
allow t m  # asked by Ben: quotes
";

fn found_problems(text: &str) -> Vec<(usize, String, Severity)> {
    let report = check(text, Generation(1));
    report
        .problems
        .into_iter()
        .map(|problem| (problem.line, problem.word, problem.severity))
        .collect()
}

#[test]
fn minimal_rules() {
    let report = check(MINIMAL_RULES, Generation(7));
    assert_eq!(report.problems, []);
    let snapshot = report.snapshot.expect("the rules are valid");
    assert_eq!(snapshot.generation, Generation(7));
    let version = snapshot.versions.find("m/1").expect("the version is declared");
    assert!(snapshot.is_in_service(version));
}

#[test]
fn requester_required() {
    let text = MINIMAL_RULES.replace("  # asked by Ann: base", "  # base");
    assert_eq!(found_problems(&text).iter().filter(|(line, ..)| *line <= 4).count(), 4);
}

#[test]
fn all_errors() {
    let text = "\
zone a  # asked by Ann
team t quality=2 colour=red  # asked by Ann
frob x  # asked by Ann
allow nobody m  # asked by Ann
upstream u zone=a address=host:1 serves=m/1  # asked by Ann
version m/1 input_cost=-1 output_cost=1 quality=0.5  # asked by Ann
model \"m  # asked by Ann
";
    let lines: Vec<usize> = found_problems(text).iter().map(|(line, ..)| *line).collect();
    for line in 1..=7 {
        assert!(lines.contains(&line), "line {line} is not reported: {lines:?}");
    }
    assert!(check(text, Generation(1)).snapshot.is_none());
}

#[test]
fn unknown_version() {
    let text = format!("{MINIMAL_RULES}allow t m/9  # asked by Ann: typo\n");
    assert_eq!(found_problems(&text), [(8, "m/9".to_owned(), Severity::Error)]);
}

#[test]
fn team_without_version() {
    let text = format!("{MINIMAL_RULES}withdraw m/1  # asked by Ann: bad plans\n");
    assert_eq!(found_problems(&text), [(5, "t".to_owned(), Severity::Warning)]);
    assert!(check(&text, Generation(1)).snapshot.is_some());
}

#[test]
fn quality_unmet() {
    let text = MINIMAL_RULES.replace("quality=0.8", "quality=0.95");
    assert_eq!(found_problems(&text), [(5, "t".to_owned(), Severity::Warning)]);
}

#[test]
fn quoted_number_sign() {
    let text = MINIMAL_RULES.replace("zone a region=r", "zone a region='r #1'");
    let snapshot = check(&text, Generation(1)).snapshot.expect("a quoted # is part of the word");
    let zone = snapshot.zones.find("a").expect("the zone is declared");
    assert_eq!(snapshot.zones.at(zone).region, "r #1");
}

#[test]
fn documented_forms_accepted() {
    for form in RULE_FORMS {
        let text = format!("{}  # asked by Ann\n", form.keyword);
        let known = check(&text, Generation(1))
            .problems
            .iter()
            .all(|problem| !problem.message.contains("is not a known rule"));
        assert!(known, "`{}` is documented but not accepted", form.keyword);
        assert!(form.usage.starts_with(form.keyword));
    }
}

#[test]
fn line_changes() {
    let changes = diff("a\nb\n", "a\nc\n");
    assert_eq!(changes, [Change::Removed("b".to_owned()), Change::Added("c".to_owned())]);
}
