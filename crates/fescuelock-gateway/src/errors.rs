//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` is the error of starting a node.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Binding a listening socket failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
}

/// `Result` is a result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
