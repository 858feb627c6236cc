//! `fescuelock-load`, the load and experiment tool.

use std::process::ExitCode;

use bpaf::Bpaf;
use fescuelock_load::experiments::{EXPERIMENTS, ExperimentOptions};
use fescuelock_load::{Error, Result, demo};

/// Exit code for an experiment that is not known.
const EXIT_UNKNOWN: u8 = 2;

/// Shows and measures what a fescuelock deployment does.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Start a deployment in this process, send mixed traffic and print what happened
    #[bpaf(command)]
    Demo,
    /// List the experiments
    #[bpaf(command)]
    List,
    /// Run an experiment and print its figures
    #[bpaf(command)]
    Run {
        /// Seed of all random choices
        #[bpaf(long, argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Length of a measured phase, in seconds
        #[bpaf(long, argument("S"), fallback(5), display_fallback)]
        phase_s: u64,
        /// Print one JSON object as the last line
        json: bool,
        /// Name of the experiment
        #[bpaf(positional("EXPERIMENT"))]
        experiment: String,
    },
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Demo => run_demo(),

        Command::List => {
            for experiment in EXPERIMENTS {
                println!("{:<12} {}", experiment.name, experiment.about);
            }
            Ok(ExitCode::SUCCESS)
        }

        Command::Run { seed, phase_s, json, experiment } => {
            run_experiment(&experiment, &ExperimentOptions { seed, phase_s }, json)
        }
    };
    match done {
        Ok(code) => code,

        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run_demo() -> Result<ExitCode> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(Error::Runtime)?;
    runtime.block_on(demo::run())?;
    Ok(ExitCode::SUCCESS)
}

fn run_experiment(name: &str, options: &ExperimentOptions, json: bool) -> Result<ExitCode> {
    let Some(experiment) = EXPERIMENTS.iter().find(|experiment| experiment.name == name) else {
        eprintln!("no experiment is called `{name}`; `list` shows them");
        return Ok(ExitCode::from(EXIT_UNKNOWN));
    };
    let figures = (experiment.run)(options)?;
    if json {
        println!("{figures}");
        return Ok(ExitCode::SUCCESS);
    }
    for (name, value) in figures.as_object().into_iter().flatten() {
        println!("{name:<28} {value}");
    }
    Ok(ExitCode::SUCCESS)
}
