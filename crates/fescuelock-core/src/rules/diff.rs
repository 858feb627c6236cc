//! The line-based difference between two rules files.

use serde::Serialize;
use similar::{ChangeTag, TextDiff};

/// `Change` is a line that was added or removed between two texts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", content = "text", rename_all = "lowercase")]
pub enum Change {
    /// A line that only the new text has.
    Added(String),
    /// A line that only the old text has.
    Removed(String),
}

/// Returns the lines that differ between two texts.
pub fn diff(old: &str, new: &str) -> Vec<Change> {
    TextDiff::from_lines(old, new)
        .iter_all_changes()
        .filter_map(|change| {
            let text = change.value().trim_end().to_owned();
            match change.tag() {
                ChangeTag::Equal => None,
                ChangeTag::Insert => Some(Change::Added(text)),
                ChangeTag::Delete => Some(Change::Removed(text)),
            }
        })
        .collect()
}

impl std::fmt::Display for Change {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Change::Added(text) => write!(formatter, "+ {text}"),
            Change::Removed(text) => write!(formatter, "- {text}"),
        }
    }
}
