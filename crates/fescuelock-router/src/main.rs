//! `fescuelockd`, the router daemon of an entry VM.

use std::process::ExitCode;

use bpaf::Bpaf;
use fescuelock_core::clock::Clock;
use fescuelock_http::net::Tcp;
use fescuelock_router::hosted::LogVolume;
use fescuelock_router::node::{Environment, Node};
use fescuelock_router::settings::{self, Settings};
use fescuelock_router::{Error, Result, hosted, logs};
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a node that could not run.
const EXIT_FAILED: u8 = 1;

/// Routes requests of callers to model engines and plain services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Check the settings and exit
    check: bool,
    /// Settings file
    #[bpaf(long, argument("FILE"))]
    settings: Option<String>,
    /// Run on the users' platform, with the settings that it gives
    platform: bool,
    /// Rules file that weighs cost, quality and risk on the platform
    #[bpaf(long, argument("FILE"))]
    rules: Option<String>,
    /// Port that metrics are served on on the platform
    #[bpaf(long, argument("PORT"))]
    metrics_port: Option<u16>,
    /// Lines that are logged on the platform: all, or none
    #[bpaf(long, argument("all|none"), fallback(LogVolume::All), display_fallback)]
    log: LogVolume,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    if arguments.platform {
        return hosted::main(&hosted::HostedOptions {
            check: arguments.check,
            rules: arguments.rules,
            metrics_port: arguments.metrics_port,
            log: arguments.log,
        });
    }
    let Some(file) = &arguments.settings else {
        eprintln!("either --settings FILE or --platform is needed");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if arguments.check {
        println!("{file}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    let logger = logs::logger(settings.log_form, &settings.node);
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,

        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    match runtime.block_on(run(settings, logger)) {
        Ok(code) => code,

        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Reads the settings, or prints all their faults.
fn load(file: &str) -> std::result::Result<Settings, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("cannot read {file}: {error}");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    settings::parse(file, &text).map_err(|error| {
        eprintln!("{error}");
        if let Error::Settings(faults) = error {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Runs the node until a signal ends it. A second signal ends it at once.
async fn run(settings: Settings, logger: Logger) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let environment = Environment {
        network: Tcp::shared(),
        clock: Clock::system(),
        seed: rand::random(),
        logger: logger.clone(),
    };
    let node = Node::start(settings, environment).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let finishing = node.drain().finish();
    tokio::select! {
        drained = finishing => match drained.requests_cut + drained.bills_lost {
            0 => Ok(ExitCode::SUCCESS),
            _ => Ok(ExitCode::from(EXIT_FAILED)),
        },
        _ = terminate.recv() => Ok(abort(&logger)),
        _ = interrupt.recv() => Ok(abort(&logger)),
    }
}

/// Ends without waiting for requests in flight.
fn abort(logger: &Logger) -> ExitCode {
    info!(logger, "second signal, stopping at once");
    ExitCode::from(EXIT_FAILED)
}
