//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` is the reason why an HTTP exchange failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The connection could not be opened. Nothing was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address that was connected to.
        address: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The connection could not be opened in time. Nothing was sent.
    #[error("no connection to {address} within {limit_ms} ms")]
    ConnectTimeout {
        /// Address that was connected to.
        address: String,
        /// The timeout in milliseconds.
        limit_ms: u64,
    },
    /// The connection closed before any part of the request was written.
    #[error("the connection closed before the request was written")]
    NotWritten,
    /// The connection failed after the request was handed to it, so it may have been sent.
    #[error("the connection failed: {0}")]
    ConnectionFailed(String),
    /// The peer did not respond in time.
    #[error("no answer within {limit_ms} ms")]
    AnswerTimeout {
        /// The timeout in milliseconds.
        limit_ms: u64,
    },
    /// The body is larger than the limit.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The byte budget had no room for the body, or another body needed the room.
    #[error("no memory for the body")]
    BudgetShort {
        /// Expected time until the budget has room, in milliseconds.
        retry_after_ms: u64,
    },
    /// The body made no progress.
    #[error("the body made no progress within {limit_ms} ms")]
    BodyStalled {
        /// The timeout in milliseconds.
        limit_ms: u64,
    },
    /// The body ended before it was complete.
    #[error("the body ended early: {0}")]
    IncompleteBody(String),
    /// The request could not be built from its parts.
    #[error("the request is not valid: {0}")]
    InvalidRequest(#[from] http::Error),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
