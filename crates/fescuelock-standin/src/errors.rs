//! The error type of this crate.

use thiserror::Error as ThisError;

/// `Error` is an error of starting or controlling stand-ins.
#[derive(Debug, ThisError)]
pub enum Error {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The rules that describe the deployment are not valid.
    #[error("the rules are not valid: {0}")]
    Rules(String),
    /// No stand-in has the name.
    #[error("no stand-in is called `{0}`")]
    UnknownTarget(String),
    /// A request to the control interface could not be decoded.
    #[error("the faults are malformed: {0}")]
    Faults(String),
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;
