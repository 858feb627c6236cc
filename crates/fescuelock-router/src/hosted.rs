//! The daemon on the users' platform: its settings, its rules, its signals and its end.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use fescuelock_core::counters::Counters;
use fescuelock_core::ids::Generation;
use fescuelock_core::rules::{self, Steering};
use fescuelock_gateway::log::{LogBuffer, TAG_LIFECYCLE};
use fescuelock_gateway::node::{Node, NodeOptions};
use fescuelock_http::net::Tcp;
use fescuelock_platform::settings;
use fescuelock_platform::store::MetadataStore;
use fescuelock_policy::node::NodeSettings;
use slog::{Discard, Logger, error, info, o, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

/// Exit code for settings or rules that are not valid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a node that could not run, or that cut requests at its end.
const EXIT_FAILED: u8 = 1;

/// Interval at which the settings file is looked at, in milliseconds. It may change without a signal,
/// and changes are to be in force within two seconds.
const SETTINGS_INTERVAL_MS: u64 = 1_000;

/// `HostedOptions` is what the command line says.
#[derive(Debug, Clone, Default)]
pub struct HostedOptions {
    /// Whether only to check settings and rules.
    pub check: bool,
    /// Rules file, if any.
    pub rules: Option<String>,
    /// Port of the metrics, if any.
    pub metrics_port: Option<u16>,
    /// Which lines are logged.
    pub log: LogVolume,
}

/// `LogVolume` tells which lines are logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogVolume {
    /// All lines, within the budget of their kind.
    #[default]
    All,
    /// No lines.
    None,
}

impl FromStr for LogVolume {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "all" => Ok(LogVolume::All),
            "none" => Ok(LogVolume::None),
            other => Err(format!("`{other}` is neither `all` nor `none`")),
        }
    }
}

impl Display for LogVolume {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            LogVolume::All => "all",
            LogVolume::None => "none",
        })
    }
}

/// Runs the daemon until a signal ends it.
pub fn main(options: &HostedOptions) -> ExitCode {
    let loaded = read_file().and_then(|text| {
        let settings = parse(&text)?;
        let steering = read_rules(options.rules.as_deref())?;
        Ok((SettingsFile { text, is_unreadable: false }, settings, steering))
    });
    let (file, settings, steering) = match loaded {
        Ok(loaded) => loaded,

        Err(faults) => {
            eprintln!("{faults}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if options.check {
        println!("settings and rules are valid");
        return ExitCode::SUCCESS;
    }
    // One thread: the VMs have a part of a core, and every switch between threads costs.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,

        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    runtime.block_on(run(file, settings, steering, options))
}

/// Reads the settings that the platform gives from their text.
fn parse(text: &str) -> Result<NodeSettings, String> {
    settings::parse(text).map_err(|error| error.to_string())
}

/// Reads the text of the settings file.
fn read_file() -> Result<String, String> {
    let path = std::env::var(settings::PATH_VARIABLE)
        .map_err(|error| format!("{}: {error}", settings::PATH_VARIABLE))?;
    std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))
}

/// Reads the rules file, or takes the defaults without one.
fn read_rules(path: Option<&str>) -> Result<Steering, String> {
    let Some(path) = path else {
        return Ok(Steering::default());
    };
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let report = rules::check(&text, Generation::default());
    match report.view {
        Some(view) => Ok(view.steering),

        None => {
            let faults: Vec<String> =
                report.errors().map(|problem| format!("{path}: {problem}")).collect();
            Err(faults.join("\n"))
        }
    }
}

/// Runs a node until it is told to stop.
async fn run(
    file: SettingsFile,
    settings: NodeSettings,
    steering: Steering,
    hosted: &HostedOptions,
) -> ExitCode {
    let log_buffer = LogBuffer::default();
    let logger = match hosted.log {
        LogVolume::All => log_buffer.logger(&settings.name),
        LogVolume::None => Logger::root(Discard, o!()),
    };
    // Handled before anything is served: a signal must not end a node that holds requests.
    let signals = match Signals::new() {
        Ok(signals) => signals,

        Err(error) => {
            error!(logger, "signals cannot be handled"; "error" => %error);
            eprintln!("signals cannot be handled: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let writer = tokio::spawn(log_buffer.clone().write_out(tokio::io::stdout(), logger.clone()));
    let network = Tcp::shared();
    let counters = Counters::in_memory();
    let store = MetadataStore::new(network.clone(), settings.store_address.clone(), counters);
    let options = NodeOptions {
        metrics_address: hosted.metrics_port.map(|port| format!("{}:{port}", settings.ip)),
        settings,
        steering,
        network,
        store: Arc::new(store),
        logger: logger.clone(),
        log_buffer: log_buffer.clone(),
        seed: rand::random(),
        has_peers: true,
    };
    let code = match Node::start(options).await {
        Ok(node) => serve(node, file, signals, &logger).await,

        Err(failure) => {
            error!(logger, "not started"; "error" => %failure);
            eprintln!("{failure}");
            ExitCode::from(EXIT_FAILED)
        }
    };
    writer.abort();
    let (rest, _) = log_buffer.take();
    // The process ends: there is no one left to tell of a failure.
    let _ = std::io::Write::write_all(&mut std::io::stdout(), &rest);
    code
}

/// `Signals` are the signals that the daemon handles.
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

/// Waits for the signal to stop, and stops.
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
            () = sleep(Duration::from_millis(SETTINGS_INTERVAL_MS)) => {
                file.reload(true, &node, logger);
            }
        }
    }
    match node.stop().await {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_FAILED),
    }
}

/// `SettingsFile` is the settings file as it was last read.
struct SettingsFile {
    text: String,
    is_unreadable: bool,
}

impl SettingsFile {
    /// Reads the settings again, and puts them in force unless only changed ones are wanted and
    /// they are as before. A file that cannot be read is reported once.
    fn reload(&mut self, only_changed: bool, node: &Node, logger: &Logger) {
        let read = read_file();
        let was_unreadable = std::mem::replace(&mut self.is_unreadable, read.is_err());
        let loaded = match read {
            // A file that is being replaced may be empty for a moment.
            Ok(text) if only_changed && (text == self.text || text.is_empty()) => return,
            Err(_) if only_changed && was_unreadable => return,
            Err(faults) => Err(faults),
            Ok(text) => {
                self.text = text;
                parse(&self.text)
            }
        };
        match loaded {
            // Addresses stay as they were until the next start.
            Ok(settings) => {
                let waiting = node.node_state().apply(&settings);
                info!(logger, #TAG_LIFECYCLE, "settings read again"; "bounds" => ?settings.bounds,
                    "for_next_start" => waiting.join(","));
            }
            Err(faults) => {
                warn!(logger, #TAG_LIFECYCLE, "settings unusable, the last ones stay";
                    "faults" => faults);
            }
        }
    }
}
