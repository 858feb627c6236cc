//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` is the reason why a link between nodes was not opened or has ended.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The TCP connection could not be opened.
    #[error("cannot connect to the node: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection or its WebSocket protocol failed.
    #[error("the link's connection failed: {0}")]
    ConnectionFailed(String),
    /// The peer's handshake proof does not match any shared node key.
    #[error("the peer failed to authenticate with a shared node key")]
    Unauthenticated,
    /// A message could not be encoded or decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The peer did not connect, complete the handshake, send or receive in time.
    #[error("the peer did not respond within {limit_ms} ms")]
    TimedOut {
        /// The timeout in milliseconds.
        limit_ms: u64,
    },
    /// The peer closed the link, or a newer link to the same node replaced it.
    #[error("the link was closed")]
    Closed,
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
