//! Patches: what turns one rules text into another, line by line.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use similar::{DiffTag, TextDiff};

/// `Patch` turns the text of one generation into that of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Generation of the old text.
    pub base: u64,
    /// Generation of the new text.
    pub generation: u64,
    /// SHA-256 digest of the new text, in hexadecimal digits.
    pub digest: String,
    /// Changed places, from the first line to the last.
    pub hunks: Vec<Hunk>,
}

/// `Hunk` replaces some lines by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hunk {
    /// Index of the first old line, from 0.
    pub start: usize,
    /// Number of old lines that go.
    pub removed: usize,
    /// New lines, with their ends.
    pub added: Vec<String>,
}

impl Patch {
    /// Computes the patch between two texts.
    pub fn between(base: u64, old: &str, generation: u64, new: &str) -> Self {
        let diff = TextDiff::from_lines(old, new);
        let new_lines: Vec<&str> = new.split_inclusive('\n').collect();
        let hunks = diff
            .ops()
            .iter()
            .filter(|op| op.tag() != DiffTag::Equal)
            .map(|op| Hunk {
                start: op.old_range().start,
                removed: op.old_range().len(),
                added: new_lines[op.new_range()].iter().map(|&line| line.to_owned()).collect(),
            })
            .collect();
        Patch { base, generation, digest: digest(new), hunks }
    }

    /// Applies the patch. Returns `None` if the result is not the text that was meant.
    pub fn apply(&self, old: &str) -> Option<String> {
        let lines: Vec<&str> = old.split_inclusive('\n').collect();
        let mut text = String::with_capacity(old.len());
        let mut next = 0;
        for hunk in &self.hunks {
            lines.get(next..hunk.start)?.iter().for_each(|line| text.push_str(line));
            hunk.added.iter().for_each(|line| text.push_str(line));
            next = hunk.start.checked_add(hunk.removed)?;
        }
        lines.get(next..)?.iter().for_each(|line| text.push_str(line));
        (digest(&text) == self.digest).then_some(text)
    }
}

fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
