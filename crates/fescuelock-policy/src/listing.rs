//! Decides how a listing goes on from page to page, and when it has been read to its end.
//!
//! Handles objects of other writers that fill pages and cannot be decoded, of which the name may be
//! all that can be read, or not even that. What a page holds says nothing about what follows: the
//! listing is complete only when the store says so, and each page has to get it further.

use std::collections::HashSet;

use thiserror::Error as ThisError;

/// Maximum number of pages in one listing. At 500 objects or 1 MB per page, these are 256,000
/// objects or half a gigabyte.
const PAGES_MAX: usize = 512;

/// Shortest and longest delay before a collection is listed again after an answer that could not be
/// read, in milliseconds, without jitter.
///
/// The first delays are short, as the next answer may be readable. What cannot be read stays so until
/// another writer changes it, and each attempt may cost as many calls as the listing has pages.
const REPEAT_DELAY_RANGE_MS: (u64, u64) = (100, 5_000);

/// Returns the delay before a collection is listed again, in milliseconds, after a number of answers in
/// a row that could not be read.
pub fn repeat_delay_ms(unreadable_answers: u32) -> u64 {
    let (min_ms, max_ms) = REPEAT_DELAY_RANGE_MS;
    min_ms.saturating_mul(1 << unreadable_answers.saturating_sub(1).min(16)).min(max_ms)
}

/// `Stuck` is the reason why a listing cannot be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Stuck {
    /// The store says that there is more, but no object on the page has a name to continue after.
    #[error("a page that is not the last one holds no object with a name")]
    NoName,
    /// The page ends with the same object as an earlier one.
    #[error("a page ends with the same object as an earlier page")]
    Repeated,
    /// The listing has more pages than are read.
    #[error("the listing has more than {PAGES_MAX} pages")]
    TooManyPages,
}

/// `Pages` holds what the next page of a listing depends on.
#[derive(Debug, Default)]
pub struct Pages {
    continued_after: HashSet<String>,
}

impl Pages {
    /// Records a page. Returns the name after which the next one begins, or `None` if the listing is
    /// complete.
    ///
    /// `last_name` is the name of the last object on the page that has one, whether or not the object
    /// can be decoded.
    ///
    /// # Errors
    ///
    /// Returns [`Stuck`] if there is more, but no way to get to it. The pages that were read are not
    /// the collection.
    pub fn next_after(
        &mut self,
        last_name: Option<String>,
        is_truncated: bool,
    ) -> Result<Option<String>, Stuck> {
        match (is_truncated, last_name) {
            (false, _) => Ok(None),
            (true, None) => Err(Stuck::NoName),
            (true, Some(name)) if self.continued_after.contains(&name) => Err(Stuck::Repeated),
            (true, Some(_)) if self.continued_after.len() + 1 >= PAGES_MAX => {
                Err(Stuck::TooManyPages)
            }
            (true, Some(name)) => {
                self.continued_after.insert(name.clone());
                Ok(Some(name))
            }
        }
    }
}
