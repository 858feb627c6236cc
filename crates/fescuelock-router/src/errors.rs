//! The error type of this crate.

use thiserror::Error as ThisError;

use crate::settings::Fault;

/// `Error` lists why a node cannot start.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings have faults.
    #[error("the settings have {} fault(s)", .0.len())]
    Settings(Vec<Fault>),
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// What the system reported.
        source: std::io::Error,
    },
    /// The sender of metrics could not be built.
    #[error("cannot send metrics: {0}")]
    Metrics(String),
    /// The signals of the process could not be watched.
    #[error("cannot watch signals: {0}")]
    Signals(#[from] std::io::Error),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
