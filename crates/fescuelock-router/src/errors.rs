//! The error type of this crate.

use thiserror::Error as ThisError;

use crate::settings::InvalidSetting;

/// `Error` lists the reasons why a node cannot start.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The settings file is invalid.
    #[error("the settings have {} error(s)", .0.len())]
    Settings(Vec<InvalidSetting>),
    /// A listening socket could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics exporter could not be built.
    #[error("cannot set up metrics export: {0}")]
    Metrics(String),
    /// The signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[from] std::io::Error),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
