//! `fescuelockd`, the router daemon of an entry VM.

use std::process::ExitCode;

use bpaf::Bpaf;
use fescuelock_core::clock::Clock;
use fescuelock_http::net::TcpNetwork;
use fescuelock_router::hosted::LogFilter;
use fescuelock_router::node::{Environment, Node};
use fescuelock_router::settings::{self, Settings};
use fescuelock_router::{Error, Result, hosted, logs};
use slog::{Logger, info};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a node that could not start, or that lost requests or bills at
/// shutdown.
const EXIT_FAILURE: u8 = 1;

/// Routes requests of callers to model engines and plain services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Check the settings and exit
    check: bool,
    /// Settings file
    #[bpaf(long, argument("FILE"))]
    settings: Option<String>,
    /// Run as a node of the hosting platform, with the settings file that the platform provides
    platform: bool,
    /// Rules file with the weights of cost, quality and risk; used with --platform
    #[bpaf(long, argument("FILE"))]
    rules: Option<String>,
    /// Port that serves metrics; used with --platform
    #[bpaf(long, argument("PORT"))]
    metrics_port: Option<u16>,
    /// Log lines to write, all or none; used with --platform
    #[bpaf(long, argument("all|none"), fallback(LogFilter::All), display_fallback)]
    log: LogFilter,
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
        eprintln!("either --settings FILE or --platform is required");
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if arguments.check {
        println!("{file}: the settings are valid");
        return ExitCode::SUCCESS;
    }
    let logger = logs::logger(settings.log_format, &settings.node);
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,

        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    match runtime.block_on(run(settings, logger)) {
        Ok(code) => code,

        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Reads the settings. Prints all errors if they are invalid.
fn load(file: &str) -> std::result::Result<Settings, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("cannot read {file}: {error}");
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })?;
    settings::parse(file, &text).map_err(|error| {
        eprintln!("{error}");
        if let Error::Settings(invalid) = error {
            invalid.iter().for_each(|setting| eprintln!("{setting}"));
        }
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

/// Runs the node until a signal stops it. A second signal aborts the drain.
async fn run(settings: Settings, logger: Logger) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let environment = Environment {
        network: TcpNetwork::shared(),
        clock: Clock::system(),
        seed: rand::random(),
        logger: logger.clone(),
    };
    let node = Node::start(settings, environment).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let draining = node.drain().finish();
    tokio::select! {
        drained = draining => match drained.requests_cut + drained.bills_lost {
            0 => Ok(ExitCode::SUCCESS),
            _ => Ok(ExitCode::from(EXIT_FAILURE)),
        },
        _ = terminate.recv() => Ok(abort(&logger)),
        _ = interrupt.recv() => Ok(abort(&logger)),
    }
}

/// Exits without waiting for requests in flight.
fn abort(logger: &Logger) -> ExitCode {
    info!(logger, "second stop signal received, exiting without waiting for requests in flight");
    ExitCode::from(EXIT_FAILURE)
}
