//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` is the reason for rejecting an engine's answer.
#[derive(Debug, ThisError, PartialEq, Eq)]
pub enum Error {
    /// The answer carries the id of another request.
    #[error("the answer belongs to another request")]
    IdMismatch,
    /// The answer does not follow the chat-completions API.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
