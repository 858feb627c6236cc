//! Line-based patches between generations of the rules file.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use similar::{DiffTag, TextDiff};

/// `Patch` transforms the rules text of one generation into that of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// Generation of the old text.
    pub base: u64,
    /// Generation of the new text.
    pub generation: u64,
    /// SHA-256 digest of the new text, in hexadecimal digits.
    pub digest: String,
    /// Changed ranges of lines, in ascending order.
    pub hunks: Vec<Hunk>,
}

/// `Hunk` replaces a range of lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hunk {
    /// Index of the first replaced line in the old text, from 0.
    pub start: usize,
    /// Number of lines removed from the old text.
    pub removed: usize,
    /// Lines added in their place, including line endings.
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

    /// Applies the patch to a text.
    ///
    /// Returns `None` if the hunks do not fit the text or if the digest of the result differs.
    pub fn apply(&self, old: &str) -> Option<String> {
        let lines: Vec<&str> = old.split_inclusive('\n').collect();
        let mut text = String::with_capacity(old.len());
        let mut next_line = 0;
        for hunk in &self.hunks {
            lines.get(next_line..hunk.start)?.iter().for_each(|line| text.push_str(line));
            hunk.added.iter().for_each(|line| text.push_str(line));
            next_line = hunk.start.checked_add(hunk.removed)?;
        }
        lines.get(next_line..)?.iter().for_each(|line| text.push_str(line));
        (digest(&text) == self.digest).then_some(text)
    }
}

fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
