//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` is an error of starting a deployment or running an experiment.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The stand-ins could not be started.
    #[error(transparent)]
    Standin(#[from] fescuelock_standin::Error),
    /// A node could not be started.
    #[error(transparent)]
    Router(#[from] fescuelock_router::Error),
    /// An operator command failed.
    #[error(transparent)]
    Operators(#[from] fescuelock_operators::Error),
    /// A call to the platform failed.
    #[error(transparent)]
    Platform(#[from] fescuelock_store::Error),
    /// A Tokio runtime could not be started.
    #[error("cannot start a Tokio runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// A node did not become ready in time.
    #[error("node did not become ready in time: {0}")]
    NotReady(String),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
