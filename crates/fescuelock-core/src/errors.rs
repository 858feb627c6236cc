//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` lists the failures of parsing values and of verifying session tokens.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The text does not have the format of the type.
    #[error("`{text}` is not {expected}")]
    Malformed {
        /// The rejected text, or a label in its place if the text is secret.
        text: String,
        /// The expected format.
        expected: &'static str,
    },
    /// The session token was modified or signed with an unknown key.
    #[error("the session token was modified or signed with an unknown key")]
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
