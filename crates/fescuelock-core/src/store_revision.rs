//! Points in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// `StoreRevision` is a point in the history of the store.
///
/// After the store came back from an older copy, it gives out again the numbers of the changes that
/// it has lost. A number alone therefore names no point. Points of a later era come after all points
/// of an earlier one, since whatever was known before has to be read again.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// Number of times that the store came back from an older copy, as it counts them. 0 for a store
    /// that does not count them.
    pub era: u64,
    /// Number of the change within the era.
    pub number: u64,
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StoreRevision { era, number } = self;
        write!(f, "{number} of era {era}")
    }
}
