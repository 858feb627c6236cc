//! The rules file: one rule per line, each with a comment that names who requested it.
//!
//! [`check`] parses a whole file and reports all of its problems at once. A file without errors
//! compiles to the [`ConfigSnapshot`] by which nodes route requests.

mod compile;
mod diff;
mod line;
mod parse;
mod patch;
mod snapshot;

pub use diff::{Change, diff};
pub use line::{Problem, Severity};
pub use parse::{RULE_FORMS, RuleForm};
pub use patch::{Hunk, Patch};
pub use snapshot::{
    CallRule, ConfigSnapshot, FencingSupport, Model, Priority, Protocol, ResponseIdSource, Rollout,
    ScoringWeights, Service, Team, Upstream, Version, Zone,
};

use crate::ids::Generation;

/// `CheckReport` is the result of checking a rules file.
#[derive(Debug)]
pub struct CheckReport {
    /// Errors and warnings, sorted by line.
    pub problems: Vec<Problem>,
    /// The compiled snapshot, if there are no errors.
    pub snapshot: Option<ConfigSnapshot>,
    /// Number of rules that were parsed.
    pub rule_count: usize,
}

impl CheckReport {
    /// Iterates over the problems that prevent the rules from being applied.
    pub fn errors(&self) -> impl Iterator<Item = &Problem> {
        self.problems.iter().filter(|problem| problem.severity == Severity::Error)
    }
}

/// Checks the text of a rules file and compiles it into a snapshot of the given generation.
pub fn check(text: &str, generation: Generation) -> CheckReport {
    let (entries, mut problems) = parse::parse(text);
    let rule_count = entries.len();
    let snapshot = compile::compile(&entries, generation, &mut problems);
    problems.sort_by_key(|problem| (problem.line, problem.severity));
    let failed = problems.iter().any(|problem| problem.severity == Severity::Error);
    CheckReport { problems, snapshot: (!failed).then_some(snapshot), rule_count }
}
