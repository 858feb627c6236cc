//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` lists what can go wrong on a connection.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The connection could not be opened, so nothing was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// Address that was dialled.
        address: String,
        /// What the network reported.
        source: std::io::Error,
    },
    /// The connection could not be opened in time, so nothing was sent.
    #[error("no connection to {address} within {limit_ms} ms")]
    ConnectTimeout {
        /// Address that was dialled.
        address: String,
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection gave the request back without having written any of it.
    #[error("the connection closed before the request was written")]
    NotSent,
    /// The connection failed after the request was handed to it.
    #[error("the connection failed: {0}")]
    Broken(String),
    /// The peer did not answer in time.
    #[error("no answer within {limit_ms} ms")]
    AnswerTimeout {
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// The body is larger than the limit.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: usize,
    },
    /// The body ended early.
    #[error("the body ended early: {0}")]
    BodyCut(String),
    /// The request could not be built from its parts.
    #[error("the request is not valid: {0}")]
    InvalidRequest(#[from] http::Error),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
