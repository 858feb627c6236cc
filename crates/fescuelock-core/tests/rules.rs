//! The rules file: accepted forms, reported problems and the compiled view.

use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{Change, FORMS, Severity, check, diff};

const SMALL: &str = "\
zone a region=r  # asked by Ann: base
model m  # asked by Ann: base
version m/1 input_cost=10 output_cost=20 quality=0.9  # asked by Ann: base
upstream u zone=a address=127.0.0.1:9000 serves=m/1  # asked by Ann: base
team t quality=0.8  # asked by Ben: quotes
key t sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa  # asked by Ben
allow t m  # asked by Ben: quotes
";

fn messages(text: &str) -> Vec<(usize, String, Severity)> {
    let report = check(text, Generation(1));
    report
        .problems
        .into_iter()
        .map(|problem| (problem.line, problem.word, problem.severity))
        .collect()
}

#[test]
fn small_rules() {
    let report = check(SMALL, Generation(7));
    assert_eq!(report.problems, []);
    let view = report.view.expect("the rules are valid");
    assert_eq!(view.generation, Generation(7));
    let version = view.versions.find("m/1").expect("the version is declared");
    assert!(view.is_in_service(version));
}

#[test]
fn asker_required() {
    let text = SMALL.replace("  # asked by Ann: base", "  # base");
    assert_eq!(messages(&text).iter().filter(|(line, ..)| *line <= 4).count(), 4);
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
    let lines: Vec<usize> = messages(text).iter().map(|(line, ..)| *line).collect();
    for line in 1..=7 {
        assert!(lines.contains(&line), "line {line} is not reported: {lines:?}");
    }
    assert!(check(text, Generation(1)).view.is_none());
}

#[test]
fn unknown_version() {
    let text = format!("{SMALL}allow t m/9  # asked by Ann: typo\n");
    assert_eq!(messages(&text), [(8, "m/9".to_owned(), Severity::Error)]);
}

#[test]
fn dead_team() {
    let text = format!("{SMALL}withdraw m/1  # asked by Ann: bad plans\n");
    assert_eq!(messages(&text), [(5, "t".to_owned(), Severity::Warning)]);
    assert!(check(&text, Generation(1)).view.is_some());
}

#[test]
fn quality_unmet() {
    let text = SMALL.replace("quality=0.8", "quality=0.95");
    assert_eq!(messages(&text), [(5, "t".to_owned(), Severity::Warning)]);
}

#[test]
fn quoted_hash() {
    let text = SMALL.replace("zone a region=r", "zone a region='r #1'");
    let view = check(&text, Generation(1)).view.expect("a quoted # is part of the word");
    let zone = view.zones.find("a").expect("the zone is declared");
    assert_eq!(view.zones.at(zone).region, "r #1");
}

#[test]
fn forms_documented() {
    for form in FORMS {
        let text = format!("{}  # asked by Ann\n", form.word);
        let known = check(&text, Generation(1))
            .problems
            .iter()
            .all(|problem| !problem.message.contains("is no rule"));
        assert!(known, "`{}` is documented and not accepted", form.word);
        assert!(form.usage.starts_with(form.word));
    }
}

#[test]
fn line_changes() {
    let changes = diff("a\nb\n", "a\nc\n");
    assert_eq!(changes, [Change::Removed("b".to_owned()), Change::Added("c".to_owned())]);
}
