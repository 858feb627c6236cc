//! One line of the rules file: its words, its comment and the problems found in it.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

/// `Severity` tells whether a problem keeps the rules from being applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The rules cannot be applied.
    Error,
    /// The rules can be applied, and probably do not do what was meant.
    Warning,
}

/// `Problem` is one fault of a rules text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line number, from 1.
    pub line: usize,
    /// The word that is at fault.
    pub word: String,
    /// Whether the problem is an error or a warning.
    pub severity: Severity,
    /// What is wrong, and what would be accepted.
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

/// `Problems` collects the faults of one text.
pub type Problems = Vec<Problem>;

/// `Line` is one rule, split into words.
#[derive(Debug, Clone)]
pub struct Line {
    /// Line number, from 1.
    pub number: usize,
    /// The words before the comment.
    pub words: Vec<String>,
}

impl Line {
    /// Splits a line into words and comment. Returns `None` for a line without a rule.
    pub fn split(number: usize, text: &str) -> Option<Result<Line, Problem>> {
        let (rule, comment) = split_comment(text);
        if rule.trim().is_empty() {
            return None;
        }
        let fault = |word: &str, message: &str| {
            Some(Err(Problem {
                line: number,
                word: word.to_owned(),
                severity: Severity::Error,
                message: message.to_owned(),
            }))
        };
        let Some(words) = shlex::split(rule) else {
            return fault(rule.trim(), "has an unclosed quote");
        };
        match asker(comment) {
            Some(_) => Some(Ok(Line { number, words })),

            None => fault(
                words.first().map_or("", String::as_str),
                "needs a comment that names who asked for the rule: `# asked by NAME: REASON`",
            ),
        }
    }

    /// Reports an error at a word of this line.
    pub fn error(&self, word: &str, message: impl Into<String>) -> Problem {
        self.problem(Severity::Error, word, message.into())
    }

    /// Reports a warning at a word of this line.
    pub fn warning(&self, word: &str, message: impl Into<String>) -> Problem {
        self.problem(Severity::Warning, word, message.into())
    }

    fn problem(&self, severity: Severity, word: &str, message: String) -> Problem {
        Problem { line: self.number, word: word.to_owned(), severity, message }
    }
}

/// Returns who asked for a rule, from its comment.
pub fn asker(comment: &str) -> Option<&str> {
    let rest = comment.trim().strip_prefix("asked by ")?;
    let name = rest.split_once(':').map_or(rest, |(name, _)| name).trim();
    (!name.is_empty()).then_some(name)
}

/// Splits a line at the first `#` that starts a word outside quotes.
fn split_comment(text: &str) -> (&str, &str) {
    let mut quote = None;
    let mut after_space = true;
    for (index, letter) in text.char_indices() {
        match (quote, letter) {
            (None, '#') if after_space => return (&text[..index], &text[index + 1..]),
            (None, '"' | '\'') => quote = Some(letter),
            (Some(open), _) if open == letter => quote = None,
            _ => {}
        }
        after_space = letter.is_whitespace();
    }
    (text, "")
}

/// `Args` hands out the words of a line and records what is wrong with them.
pub struct Args<'a> {
    line: &'a Line,
    positional: Vec<&'a str>,
    named: Vec<(&'a str, &'a str)>,
    next_positional: usize,
    problems: &'a mut Problems,
    failed: bool,
}

impl<'a> Args<'a> {
    /// Sorts the words after the first into positional and named ones.
    pub fn new(line: &'a Line, problems: &'a mut Problems) -> Self {
        let mut positional = Vec::new();
        let mut named = Vec::new();
        for word in line.words.iter().skip(1) {
            match word.split_once('=') {
                Some((name, value)) => named.push((name, value)),
                None => positional.push(word.as_str()),
            }
        }
        Args { line, positional, named, next_positional: 0, problems, failed: false }
    }

    /// Takes the next positional word.
    pub fn positional(&mut self, what: &str) -> String {
        let word = self.positional.get(self.next_positional).copied();
        self.next_positional += 1;
        match word {
            Some(word) => word.to_owned(),

            None => {
                let head = self.line.words[0].clone();
                self.fail(&head, format!("lacks {what}"));
                String::new()
            }
        }
    }

    /// Takes the remaining positional words.
    pub fn rest(&mut self) -> Vec<String> {
        let taken = self.next_positional.min(self.positional.len());
        let rest = self.positional[taken..].iter().map(|&word| word.to_owned()).collect();
        self.next_positional = self.positional.len().max(self.next_positional);
        rest
    }

    /// Takes a required named value.
    pub fn required<T: FromStr>(&mut self, name: &str, expected: &str) -> Option<T> {
        if !self.named.iter().any(|(found, _)| *found == name) {
            let head = self.line.words[0].clone();
            self.fail(&head, format!("lacks `{name}=`, {expected}"));
            return None;
        }
        self.optional(name, expected)
    }

    /// Takes a named value that may be absent.
    pub fn optional<T: FromStr>(&mut self, name: &str, expected: &str) -> Option<T> {
        let position = self.named.iter().position(|(found, _)| *found == name)?;
        let (_, value) = self.named.remove(position);
        match value.parse() {
            Ok(parsed) => Some(parsed),

            Err(_) => {
                self.fail(&format!("{name}={value}"), format!("must be {expected}"));
                None
            }
        }
    }

    /// Takes a named number and checks its range.
    pub fn number(&mut self, name: &str, expected: &str, range: (f64, f64)) -> Option<f64> {
        let value: f64 = self.required(name, expected)?;
        if value < range.0 || value > range.1 || value.is_nan() {
            self.fail(&format!("{name}={value}"), format!("must be {expected}"));
            return None;
        }
        Some(value)
    }

    /// Reports words that no one took, and returns the rule if nothing was wrong.
    pub fn finish<T>(mut self, accepted: &str, rule: Option<T>) -> Option<T> {
        for (name, value) in std::mem::take(&mut self.named) {
            self.fail(&format!("{name}={value}"), format!("is not known here; use `{accepted}`"));
        }
        for word in self.positional.clone().into_iter().skip(self.next_positional) {
            self.fail(word, format!("is one word too many; use `{accepted}`"));
        }
        if self.failed { None } else { rule }
    }

    fn fail(&mut self, word: &str, message: String) {
        self.failed = true;
        self.problems.push(self.line.error(word, message));
    }
}
