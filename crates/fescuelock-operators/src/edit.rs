//! Edits of the rules with optimistic concurrency: an edit names the generation it is based on and
//! is rejected if the stored rules have a newer one, so that it overwrites no other operator's
//! change.

use bytes::Bytes;
use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{self, Change, Patch, Problem};
use fescuelock_store::Error as PlatformError;
use fescuelock_store::objects::{
    Condition, Object, ObjectStore, PATCH_KEY, RULES_KEY, history_key,
};

use crate::{Error, Result};

/// Prefix of the first line of a shown rules text, which names its generation.
const GENERATION_LINE_PREFIX: &str = "#! generation ";
/// Number of attempts for a call that fails.
const MAX_ATTEMPTS: u32 = 5;

/// `StoredRules` is the rules text that the platform holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRules {
    /// Generation of the text.
    pub generation: u64,
    /// The text.
    pub text: String,
}

/// `Applied` is the result of a successful edit.
#[derive(Debug, Clone)]
pub struct Applied {
    /// The new generation.
    pub generation: u64,
    /// Changes against the previous rules.
    pub changes: Vec<Change>,
    /// Warnings about the new rules.
    pub warnings: Vec<Problem>,
}

/// Reads the rules from the platform, or `None` if there are none.
///
/// # Errors
///
/// Returns the error of the call.
pub async fn read_stored_rules(store: &dyn ObjectStore) -> Result<Option<StoredRules>> {
    Ok(read_rules(store).await?.as_ref().map(stored_rules))
}

/// Formats a rules text, preceded by a line that names its generation.
pub fn with_generation_line(current: &StoredRules) -> String {
    format!("{GENERATION_LINE_PREFIX}{}\n{}", current.generation, current.text)
}

/// Splits a shown rules text into the generation in its first line, if any, and the rules.
pub fn split_generation_line(text: &str) -> (Option<u64>, &str) {
    let Some(rest) = text.strip_prefix(GENERATION_LINE_PREFIX) else {
        return (None, text);
    };
    let (number, rules) = rest.split_once('\n').unwrap_or((rest, ""));
    (number.trim().parse().ok(), rules)
}

/// Applies a rules text if the platform still holds the generation that the edit is based on.
///
/// # Errors
///
/// Returns [`Error::InvalidRules`] for a text with errors, [`Error::Conflict`] with the changes
/// since the base generation if there are any, and [`Error::Platform`] if a call to the platform
/// fails.
pub async fn apply(store: &dyn ObjectStore, text: &str, base: Option<u64>) -> Result<Applied> {
    let (text_base, rules_text) = split_generation_line(text);
    let base = base.or(text_base).unwrap_or(0);
    let report = rules::check(rules_text, Generation(base));
    if report.snapshot.is_none() {
        return Err(Error::InvalidRules(report.problems));
    }
    let previous = read_rules(store).await?;
    let stored_generation = previous.as_ref().map_or(0, |object| object.version.0);
    if stored_generation != base {
        return Err(conflict(store, base, previous.as_ref()).await);
    }
    let previous_patch = store.get(PATCH_KEY).await.ok().flatten();
    let generation = write_rules(store, rules_text, base, previous.as_ref()).await?;
    let old = previous.as_ref().map(stored_rules).map_or_else(String::new, |current| current.text);
    let patch = Patch::between(base, &old, generation, rules_text);
    write_patch(store, &patch, previous_patch.as_ref()).await;
    // The history copy is only needed to describe conflicts; the rules are active without it.
    let body = Bytes::from(rules_text.to_owned());
    let _ = store.put(&history_key(generation), body, Condition::Absent).await;
    Ok(Applied { generation, changes: rules::diff(&old, rules_text), warnings: report.problems })
}

/// Reads the rules object. A failed call is retried over another connection.
async fn read_rules(store: &dyn ObjectStore) -> Result<Option<Object>> {
    let mut read = store.get(RULES_KEY).await;
    for _ in 1..MAX_ATTEMPTS {
        if read.is_ok() {
            break;
        }
        read = store.get(RULES_KEY).await;
    }
    Ok(read?)
}

/// Writes the patch that nodes watch. A failure is ignored: nodes that miss the patch read the
/// whole rules a little later.
async fn write_patch(store: &dyn ObjectStore, patch: &Patch, previous: Option<&Object>) {
    if let Ok(body) = serde_json::to_vec(patch) {
        let condition = Condition::unchanged(previous);
        let _ = store.put(PATCH_KEY, Bytes::from(body), condition).await;
    }
}

/// Writes the rules. After a failed write, reads the rules to see whether it took effect before it
/// retries.
async fn write_rules(
    store: &dyn ObjectStore,
    text: &str,
    base: u64,
    previous: Option<&Object>,
) -> Result<u64> {
    let body = Bytes::from(text.to_owned());
    let condition = Condition::unchanged(previous);
    let mut last_error = PlatformError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        match store.put(RULES_KEY, body.clone(), condition).await {
            Ok(version) => return Ok(version.0),
            Err(error) => last_error = error,
        }
        let found = match store.get(RULES_KEY).await {
            Ok(found) => found,

            Err(error) => {
                last_error = error;
                continue;
            }
        };
        match &found {
            // The write took effect, but its response was lost.
            Some(object) if object.version.0 != base && object.body == body => {
                return Ok(object.version.0);
            }

            Some(object) if object.version.0 != base => {
                return Err(conflict(store, base, Some(object)).await);
            }

            _ => {}
        }
    }
    Err(Error::Platform(last_error))
}

/// Builds the error with the changes that were made since the base generation.
async fn conflict(store: &dyn ObjectStore, base: u64, found: Option<&Object>) -> Error {
    let copy = store.get(&history_key(base)).await.ok().flatten();
    let base_text = copy.map_or_else(String::new, |object| rules_text_of(&object));
    let current = found.map(stored_rules);
    let current_text = current.as_ref().map_or("", |current| current.text.as_str());
    Error::Conflict {
        base,
        current: current.as_ref().map_or(0, |current| current.generation),
        changes: rules::diff(&base_text, current_text),
    }
}

fn stored_rules(object: &Object) -> StoredRules {
    StoredRules { generation: object.version.0, text: rules_text_of(object) }
}

fn rules_text_of(object: &Object) -> String {
    String::from_utf8_lossy(&object.body).into_owned()
}
