//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` lists why a link between nodes ends.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed.
    #[error("the link failed: {0}")]
    Broken(String),
    /// The other end did not prove that it holds a node key.
    #[error("the other end did not prove that it holds a node key")]
    NotAuthentic,
    /// A message was not of the expected form.
    #[error("a message is malformed: {0}")]
    Malformed(String),
    /// Nothing was heard for too long.
    #[error("nothing was heard for {limit_ms} ms")]
    Silent {
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// The other end closed the link.
    #[error("the other end closed the link")]
    Closed,
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
