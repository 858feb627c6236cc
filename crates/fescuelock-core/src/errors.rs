//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` lists what can go wrong when text is decoded into the types of this crate.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The text is not of the form that the type is written in.
    #[error("`{text}` is not {expected}")]
    Malformed {
        /// The text that was given.
        text: String,
        /// The accepted form.
        expected: &'static str,
    },
    /// The session token was signed with an unknown key or altered.
    #[error("the session token's signature does not match")]
    BadSignature,
    /// The session token belongs to another team.
    #[error("the session token was issued to another team")]
    ForeignSession,
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Builds an [`Error::Malformed`] from the given text and the accepted form.
    pub fn malformed(text: impl Into<String>, expected: &'static str) -> Self {
        Error::Malformed { text: text.into(), expected }
    }
}
