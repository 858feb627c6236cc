//! The error type of this crate.

use fescuelock_core::rules::{Change, Problem};
use thiserror::Error as ThisError;

/// `Error` lists the reasons for which a command can fail.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The rules are invalid; nothing was applied.
    #[error("the rules have errors; nothing was applied")]
    InvalidRules(Vec<Problem>),
    /// The rules changed after the edit's base generation; nothing was applied.
    #[error(
        "the rules have changed from generation {base} to generation {current}; nothing was \
         applied"
    )]
    Conflict {
        /// Generation that the edit was based on.
        base: u64,
        /// Generation that the platform holds.
        current: u64,
        /// Changes between the two generations.
        changes: Vec<Change>,
    },
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Error of the system.
        source: std::io::Error,
    },
    /// A call to the platform failed.
    #[error("platform: {0}")]
    Platform(#[from] fescuelock_store::Error),
    /// A node could not be reached or returned an error.
    #[error("node {address}: {reason}")]
    Node {
        /// Admin address of the node.
        address: String,
        /// Reason for the failure.
        reason: String,
    },
    /// Some nodes did not activate a generation within the time limit.
    #[error("generation {generation} is not active on {nodes:?}")]
    Lagging {
        /// Generation that was waited for.
        generation: u64,
        /// Admin addresses of the nodes that have an older generation or did not respond.
        nodes: Vec<String>,
    },
    /// No log line records the end of a request.
    #[error(
        "none of {line_count} log lines records the end of request {request_id}; nodes dropped \
         {dropped_lines} lines"
    )]
    NoRequest {
        /// Id of the request.
        request_id: String,
        /// Number of lines that were read.
        line_count: u64,
        /// Number of lines that nodes reported as dropped.
        dropped_lines: u64,
    },
    /// The platform holds no rules yet.
    #[error("no rules have been applied yet")]
    NoRules,
}

/// `Result` is the result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code of the command-line client for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::InvalidRules(_) => 3,
            Error::Conflict { .. } => 4,
            Error::Platform(_) => 5,
            Error::Node { .. } | Error::Lagging { .. } => 6,
            Error::File { .. } | Error::NoRules | Error::NoRequest { .. } => 1,
        }
    }
}
