//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` lists what can be wrong with an engine's answer.
#[derive(Debug, ThisError, PartialEq, Eq)]
pub enum Error {
    /// The answer carries the id of another request.
    #[error("the answer belongs to another request")]
    Crossed,
    /// The answer is not of the published form.
    #[error("the answer is malformed: {0}")]
    Malformed(String),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
