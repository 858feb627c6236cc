//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` lists the failures of parsing text into the types of this crate.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The text does not have the format of the type.
    #[error("`{text}` is not {expected}")]
    Malformed {
        /// The rejected text.
        text: String,
        /// The expected format.
        expected: &'static str,
    },
    /// The session token was modified or signed with an unknown key.
    #[error("the session token's signature does not match")]
    BadSignature,
    /// The session token was issued to another team.
    #[error("the session token was issued to another team")]
    ForeignSession,
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Builds an [`Error::Malformed`] from the rejected text and the expected format.
    pub fn malformed(text: impl Into<String>, expected: &'static str) -> Self {
        Error::Malformed { text: text.into(), expected }
    }
}
