//! The daemon as a node of the hosting platform: settings, rules, signal handling and shutdown.

use std::fmt::{self, Display, Formatter};
use std::io::{self, Write};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::counters::Counters;
use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{self, ScoringWeights};
use fescuelock_gateway::log::{LogBuffer, TAG_LIFECYCLE};
use fescuelock_gateway::node::{Node, NodeOptions};
use fescuelock_http::net::TcpNetwork;
use fescuelock_platform::settings;
use fescuelock_platform::store::MetadataStoreClient;
use fescuelock_policy::node::NodeSettings;
use slog::{Discard, Logger, error, info, o, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};

/// Exit code for invalid settings or rules.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a node that could not start, or that cut off requests at shutdown.
const EXIT_FAILURE: u8 = 1;

/// Interval at which the settings file is polled, in milliseconds. The file may change without a
/// signal, and a change must be in force within two seconds.
const SETTINGS_POLL_INTERVAL_MS: u64 = 1_000;

/// Timeout for writing the last log lines, in milliseconds. The node keeps about as much time between its
/// stop and the end of the grace period.
const LAST_WRITE_TIMEOUT_MS: u64 = 150;

/// `HostedOptions` holds the command-line options.
#[derive(Debug, Clone, Default)]
pub struct HostedOptions {
    /// Whether to only check the settings and rules.
    pub check: bool,
    /// Rules file, if any.
    pub rules: Option<String>,
    /// Port that serves metrics, if any.
    pub metrics_port: Option<u16>,
    /// Log lines that are written.
    pub log: LogFilter,
}

/// `LogFilter` selects the log lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFilter {
    /// All lines, within the rate limit of each kind of line.
    #[default]
    All,
    /// No lines.
    None,
}

impl FromStr for LogFilter {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "all" => Ok(LogFilter::All),
            "none" => Ok(LogFilter::None),
            other => Err(format!("`{other}` is neither `all` nor `none`")),
        }
    }
}

impl Display for LogFilter {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            LogFilter::All => "all",
            LogFilter::None => "none",
        })
    }
}

/// Runs the daemon until a signal stops it.
pub fn main(options: &HostedOptions) -> ExitCode {
    let loaded = read_file().and_then(|text| {
        let settings = parse(&text)?;
        let scoring_weights = read_rules(options.rules.as_deref())?;
        Ok((SettingsFile { text, is_unreadable: false }, settings, scoring_weights))
    });
    let (file, settings, scoring_weights) = match loaded {
        Ok(loaded) => loaded,

        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        println!("settings and rules are valid");
        return ExitCode::SUCCESS;
    }
    // Single-threaded: the VMs have a fraction of a core, so more threads would only add context
    // switches.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,

        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let code = runtime.block_on(run(file, settings, scoring_weights, options));
    // A write of the log that does not return would hold up the exit.
    runtime.shutdown_background();
    code
}

/// Parses the settings file of the platform.
fn parse(text: &str) -> Result<NodeSettings, String> {
    settings::parse(text).map_err(|error| error.to_string())
}

/// Reads the text of the settings file, whose path is in an environment variable.
fn read_file() -> Result<String, String> {
    let path = std::env::var(settings::PATH_VARIABLE)
        .map_err(|error| format!("{}: {error}", settings::PATH_VARIABLE))?;
    std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
}

/// Reads the rules file. Returns the defaults if there is none.
fn read_rules(path: Option<&str>) -> Result<ScoringWeights, String> {
    let Some(path) = path else {
        return Ok(ScoringWeights::default());
    };
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let report = rules::check(&text, Generation::default());
    match report.snapshot {
        Some(snapshot) => Ok(snapshot.scoring_weights),

        None => {
            let problems: Vec<String> =
                report.errors().map(|problem| format!("{path}: {problem}")).collect();
            Err(problems.join("\n"))
        }
    }
}

/// Runs a node until a signal stops it.
async fn run(
    file: SettingsFile,
    settings: NodeSettings,
    scoring_weights: ScoringWeights,
    hosted: &HostedOptions,
) -> ExitCode {
    let log_buffer = LogBuffer::default();
    let logger = match hosted.log {
        LogFilter::All => log_buffer.logger(&settings.name),
        LogFilter::None => Logger::root(Discard, o!()),
    };
    // Installed before the node serves anything: by default a signal would kill a node that has
    // requests in flight.
    let signals = match Signals::new() {
        Ok(signals) => signals,

        Err(error) => {
            error!(logger, "cannot install signal handlers, exiting"; "error" => %error);
            eprintln!("cannot install signal handlers: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let writer = tokio::spawn(log_buffer.clone().write_out(tokio::io::stdout(), logger.clone()));
    let network = TcpNetwork::shared();
    let counters = Counters::in_memory();
    let store = MetadataStoreClient::new(network.clone(), settings.store_address.clone(), counters);
    let options = NodeOptions {
        metrics_address: hosted.metrics_port.map(|port| format!("{}:{port}", settings.ip)),
        settings,
        scoring_weights,
        network,
        store: Arc::new(store),
        logger: logger.clone(),
        log_buffer: log_buffer.clone(),
        seed: rand::random(),
        exchanges_reports: true,
    };
    let code = match Node::start(options).await {
        Ok(node) => serve(node, file, signals, &logger).await,

        Err(failure) => {
            error!(logger, "node failed to start, exiting"; "error" => %failure);
            eprintln!("{failure}");
            ExitCode::from(EXIT_FAILURE)
        }
    };
    writer.abort();
    let (remaining, _) = log_buffer.drain_lines();
    let writing = spawn_blocking(move || std::io::stdout().write_all(&remaining));
    // The process exits, so a failure to write can no longer be reported.
    let _ = timeout(Duration::from_millis(LAST_WRITE_TIMEOUT_MS), writing).await;
    code
}

/// `Signals` receives the signals that the daemon handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Reloads changed settings until a stop signal arrives, then stops the node.
async fn serve(
    node: Node,
    mut file: SettingsFile,
    mut signals: Signals,
    logger: &Logger,
) -> ExitCode {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => file.reload(false, &node, logger),
            () = sleep(Duration::from_millis(SETTINGS_POLL_INTERVAL_MS)) => {
                file.reload(true, &node, logger);
            }
        }
    }
    match node.stop().await {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_FAILURE),
    }
}

/// `SettingsFile` is the last read state of the settings file.
struct SettingsFile {
    text: String,
    is_unreadable: bool,
}

impl SettingsFile {
    /// Reads the settings file and applies it. With `only_if_changed`, does nothing if the text is
    /// the same as before, and reports a file that cannot be read only once.
    fn reload(&mut self, only_if_changed: bool, node: &Node, logger: &Logger) {
        let read = read_file();
        let was_unreadable = std::mem::replace(&mut self.is_unreadable, read.is_err());
        let loaded = match read {
            // The file may be empty while it is being replaced.
            Ok(text) if only_if_changed && (text == self.text || text.is_empty()) => return,
            Err(_) if only_if_changed && was_unreadable => return,
            Err(message) => Err(message),
            Ok(text) => {
                self.text = text;
                parse(&self.text)
            }
        };
        match loaded {
            // Addresses take effect only at the next start.
            Ok(settings) => {
                let deferred = node.node_state().apply_settings(&settings);
                info!(logger, #TAG_LIFECYCLE, "settings reloaded"; "bounds" => ?settings.bounds,
                    "for_next_start" => deferred.join(","));
            }
            Err(message) => {
                warn!(logger, #TAG_LIFECYCLE, "settings invalid, keeping the previous ones";
                    "faults" => message);
            }
        }
    }
}
