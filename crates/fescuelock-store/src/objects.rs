//! The interface to the platform's object API: versioned values with conditional writes.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use fescuelock_http::net::BoxFuture;

use crate::Result;

/// `ObjectVersion` is the version that the platform assigned to an object's value.
///
/// The version of an object increases with each change, also when the object is deleted and created
/// again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectVersion(pub u64);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// `Object` is a value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The value.
    pub body: Bytes,
    /// The version of the value.
    pub version: ObjectVersion,
}

/// `Condition` is the precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must be at the given version.
    Matches(ObjectVersion),
}

impl Condition {
    /// Returns the condition that an object has not changed since it was read.
    pub fn unchanged(object: Option<&Object>) -> Self {
        Condition::at(object.map(|object| object.version))
    }

    /// Returns the condition that an object is at the version, or absent for `None`.
    pub fn at(version: Option<ObjectVersion>) -> Self {
        version.map_or(Condition::Absent, Condition::Matches)
    }
}

/// `ObjectStore` is the platform's object API. Other APIs can be supported by implementing it.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>>>;

    /// Waits until an object's version is above `after`, for at most `wait_ms` milliseconds.
    ///
    /// Returns `None` if the object does not exist or has not changed.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: Option<ObjectVersion>,
        wait_ms: u64,
    ) -> BoxFuture<'a, Result<Option<Object>>>;

    /// Writes an object if the condition holds, and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        body: Bytes,
        condition: Condition,
    ) -> BoxFuture<'a, Result<ObjectVersion>>;

    /// Lists the keys that start with a prefix, in ascending order.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>>;
}

/// `SharedStore` is an object store shared between components.
pub type SharedStore = Arc<dyn ObjectStore>;

/// Key of the rules object. Its version is the generation of the configuration.
pub const RULES_KEY: &str = "config/rules";

/// Key of the patch from the previous rules to the newest. Nodes watch it instead of the rules,
/// because it is small.
pub const PATCH_KEY: &str = "config/patch";

/// Returns the key of the archived copy of a generation of the rules.
pub fn history_key(generation: u64) -> String {
    format!("config/history/{generation:020}")
}
