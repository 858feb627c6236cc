//! Structured logging in text or JSON.

use std::io::stderr;

use slog::{Drain, Logger, o};

use crate::settings::LogFormat;

/// Builds the logger of a node, which writes to standard error.
pub fn logger(log_format: LogFormat, node: &str) -> Logger {
    let drain = match log_format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(stderr());
            let format = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(format).build()
        }

        LogFormat::Json => {
            let format = slog_json::Json::default(stderr()).fuse();
            slog_async::Async::new(format).build()
        }
    };
    Logger::root(drain.fuse(), o!("node" => node.to_owned()))
}

/// Builds a logger that discards all records.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
