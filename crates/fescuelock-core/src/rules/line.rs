//! Tokenizes a line of the rules file, decodes its arguments and reports its problems.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

/// `Severity` tells whether a problem prevents the rules from being applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The rules cannot be applied.
    Error,
    /// The rules can be applied but are probably not what was intended.
    Warning,
}

/// `Problem` is an error or a warning about one line of a rules file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line number, from 1.
    pub line: usize,
    /// The word that caused the problem.
    pub word: String,
    /// Whether the problem is an error or a warning.
    pub severity: Severity,
    /// What is wrong and what is accepted instead.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(formatter, "line {}: {severity}: `{}`: {}", self.line, self.word, self.message)
    }
}

/// `Problems` collects the problems of one rules file.
pub type Problems = Vec<Problem>;

/// `RuleLine` is a line with a rule, split into words.
#[derive(Debug, Clone)]
pub struct RuleLine {
    /// Line number, from 1.
    pub number: usize,
    /// The words before the comment, with quotes removed.
    pub words: Vec<String>,
}

impl RuleLine {
    /// Splits a line into words and checks its comment. Returns `None` for a line without a rule.
    pub fn split(number: usize, text: &str) -> Option<Result<RuleLine, Problem>> {
        let (rule, comment) = split_comment(text);
        if rule.trim().is_empty() {
            return None;
        }
        let error_at = |word: &str, message: &str| {
            Some(Err(Problem {
                line: number,
                word: word.to_owned(),
                severity: Severity::Error,
                message: message.to_owned(),
            }))
        };
        let Some(words) = shlex::split(rule) else {
            return error_at(rule.trim(), "has an unclosed quote");
        };
        match requester(comment) {
            Some(_) => Some(Ok(RuleLine { number, words })),

            None => error_at(
                words.first().map_or("", String::as_str),
                "needs a comment that names who requested the rule: `# asked by NAME: REASON`",
            ),
        }
    }

    /// Builds an error about a word of this line.
    pub fn error(&self, word: &str, message: impl Into<String>) -> Problem {
        self.problem(Severity::Error, word, message.into())
    }

    /// Builds a warning about a word of this line.
    pub fn warning(&self, word: &str, message: impl Into<String>) -> Problem {
        self.problem(Severity::Warning, word, message.into())
    }

    fn problem(&self, severity: Severity, word: &str, message: String) -> Problem {
        Problem { line: self.number, word: word.to_owned(), severity, message }
    }
}

/// Returns the name of the person who requested a rule, from its `asked by` comment.
pub fn requester(comment: &str) -> Option<&str> {
    let rest = comment.trim().strip_prefix("asked by ")?;
    let name = rest.split_once(':').map_or(rest, |(name, _)| name).trim();
    (!name.is_empty()).then_some(name)
}

/// Splits a line into rule and comment at the first unquoted `#` that starts a word.
fn split_comment(text: &str) -> (&str, &str) {
    let mut quote = None;
    let mut after_space = true;
    for (index, character) in text.char_indices() {
        match (quote, character) {
            (None, '#') if after_space => return (&text[..index], &text[index + 1..]),
            (None, '"' | '\'') => quote = Some(character),
            (Some(opening), _) if opening == character => quote = None,
            _ => {}
        }
        after_space = character.is_whitespace();
    }
    (text, "")
}

/// `RuleArgs` decodes the arguments of a rule and collects the problems with them.
pub struct RuleArgs<'a> {
    line: &'a RuleLine,
    positional: Vec<&'a str>,
    named: Vec<(&'a str, &'a str)>,
    next_positional: usize,
    problems: &'a mut Problems,
    failed: bool,
}

impl<'a> RuleArgs<'a> {
    /// Separates the words after the keyword into positional and `name=value` arguments.
    pub fn new(line: &'a RuleLine, problems: &'a mut Problems) -> Self {
        let mut positional = Vec::new();
        let mut named = Vec::new();
        for word in line.words.iter().skip(1) {
            match word.split_once('=') {
                Some((name, value)) => named.push((name, value)),
                None => positional.push(word.as_str()),
            }
        }
        RuleArgs { line, positional, named, next_positional: 0, problems, failed: false }
    }

    /// Takes the next positional argument. Reports an error and returns an empty string if there is
    /// none.
    pub fn positional(&mut self, expected_argument: &str) -> String {
        let word = self.positional.get(self.next_positional).copied();
        self.next_positional += 1;
        match word {
            Some(word) => word.to_owned(),

            None => {
                let keyword = self.line.words[0].clone();
                self.report_error(&keyword, format!("is missing {expected_argument}"));
                String::new()
            }
        }
    }

    /// Takes the remaining positional arguments.
    pub fn rest(&mut self) -> Vec<String> {
        let start = self.next_positional.min(self.positional.len());
        let rest = self.positional[start..].iter().map(|&word| word.to_owned()).collect();
        self.next_positional = self.positional.len().max(self.next_positional);
        rest
    }

    /// Takes a required named argument.
    pub fn required<T: FromStr>(&mut self, name: &str, expected: &str) -> Option<T> {
        if !self.named.iter().any(|(found, _)| *found == name) {
            let keyword = self.line.words[0].clone();
            self.report_error(&keyword, format!("is missing `{name}=`, {expected}"));
            return None;
        }
        self.optional(name, expected)
    }

    /// Takes an optional named argument.
    pub fn optional<T: FromStr>(&mut self, name: &str, expected: &str) -> Option<T> {
        let position = self.named.iter().position(|(found, _)| *found == name)?;
        let (_, value) = self.named.remove(position);
        match value.parse() {
            Ok(parsed) => Some(parsed),

            Err(_) => {
                self.report_error(&format!("{name}={value}"), format!("must be {expected}"));
                None
            }
        }
    }

    /// Takes a required named number and checks that it is within an inclusive range.
    pub fn number(&mut self, name: &str, expected: &str, range: (f64, f64)) -> Option<f64> {
        let value: f64 = self.required(name, expected)?;
        if value < range.0 || value > range.1 || value.is_nan() {
            self.report_error(&format!("{name}={value}"), format!("must be {expected}"));
            return None;
        }
        Some(value)
    }

    /// Reports arguments that were not taken, and returns the rule if there was no error.
    pub fn finish<T>(mut self, accepted: &str, rule: Option<T>) -> Option<T> {
        for (name, value) in std::mem::take(&mut self.named) {
            self.report_error(
                &format!("{name}={value}"),
                format!("is not a known argument; use `{accepted}`"),
            );
        }
        for word in self.positional.clone().into_iter().skip(self.next_positional) {
            self.report_error(word, format!("is an unexpected argument; use `{accepted}`"));
        }
        if self.failed { None } else { rule }
    }

    fn report_error(&mut self, word: &str, message: String) {
        self.failed = true;
        self.problems.push(self.line.error(word, message));
    }
}
