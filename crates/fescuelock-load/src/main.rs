//! `fescuelock-load` generates load and runs experiments.

use std::process::ExitCode;

use bpaf::Bpaf;
use fescuelock_load::experiments::{EXPERIMENTS, ExperimentOptions, path};
use fescuelock_load::samples::{SampleOptions, rules};
use fescuelock_load::{Error, Result, demo};

/// Exit code if no experiment has the given name.
const EXIT_UNKNOWN: u8 = 2;

/// Shows and measures what a fescuelock deployment does.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Start a deployment in this process, send mixed traffic and print what happened
    #[bpaf(command)]
    Demo,
    /// Print the rules of a small deployment
    #[bpaf(command("sample-rules"))]
    SampleRules,
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
        /// Nodes, for experiments whose size can be chosen
        #[bpaf(long, argument("N"), fallback(9), display_fallback)]
        nodes: usize,
        /// Upstreams, for experiments whose size can be chosen
        #[bpaf(long, argument("N"), fallback(22), display_fallback)]
        upstreams: usize,
        #[bpaf(external, optional)]
        targets: Option<Targets>,
        /// Print one JSON object as the last line
        json: bool,
        /// Name of the experiment
        #[bpaf(positional("EXPERIMENT"))]
        experiment: String,
    },
}

/// A node and an engine that were started by hand with the rules that `sample-rules` prints
#[derive(Debug, Clone, Bpaf)]
struct Targets {
    /// The node's address for callers
    #[bpaf(long, argument("IP:PORT"))]
    node_callers: String,
    /// The node's address for operators
    #[bpaf(long, argument("IP:PORT"))]
    node_operators: String,
    /// The address of an engine
    #[bpaf(long, argument("IP:PORT"))]
    engine: String,
}

impl From<Targets> for path::Targets {
    fn from(targets: Targets) -> Self {
        path::Targets {
            callers: targets.node_callers,
            operators: targets.node_operators,
            engine: targets.engine,
        }
    }
}

fn main() -> ExitCode {
    let result = match command().run() {
        Command::Demo => run_demo(),

        Command::List => {
            for experiment in EXPERIMENTS {
                println!("{:<12} {}", experiment.name, experiment.about);
            }
            Ok(ExitCode::SUCCESS)
        }

        Command::SampleRules => {
            print!("{}", rules(&SampleOptions::default()));
            Ok(ExitCode::SUCCESS)
        }

        Command::Run { seed, phase_s, nodes, upstreams, targets, json, experiment } => {
            let targets = targets.map(path::Targets::from);
            let options = ExperimentOptions { seed, phase_s, nodes, upstreams, targets };
            run_experiment(&experiment, &options, json)
        }
    };
    match result {
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
        eprintln!("unknown experiment `{name}`; the command `list` prints all names");
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
