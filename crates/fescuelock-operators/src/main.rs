//! `fescuelock`, the operators' command-line client.

use std::io::Write as _;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use fescuelock_core::counters::Counters;
use fescuelock_core::ids::KeyHash;
use fescuelock_http::net::TcpNetwork;
use fescuelock_operators::commands::{self, OutputFormat};
use fescuelock_operators::fleet::Fleet;
use fescuelock_operators::{Error, Result, edit};
use fescuelock_store::http_store::{HttpStore, HttpStoreOptions};
use fescuelock_store::vms::{VmRole, read_vms};

/// Operates a fescuelock deployment.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Print one JSON object
    json: bool,
    /// Address of the platform
    #[bpaf(
        long, env("FESCUELOCK_PLATFORM"), argument("IP:PORT"),
        fallback("127.0.0.1:7400".to_owned()), display_fallback
    )]
    platform: String,
    /// Admin address of a node; can be repeated. Default: all nodes in the platform's list of VMs
    #[bpaf(long("node"), argument("IP:PORT"))]
    nodes: Vec<String>,
    /// Operator key, if the nodes require one
    #[bpaf(long, env("FESCUELOCK_OPERATOR_KEY"), argument("KEY"))]
    key: Option<String>,
    #[bpaf(external)]
    command: Command,
}

#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Check, compare, apply and show the rules
    #[bpaf(command)]
    Rules {
        #[bpaf(external)]
        rules_command: RulesCommand,
    },
    /// Show the status of every node
    #[bpaf(command)]
    Status,
    /// Sum the bills by team
    #[bpaf(command)]
    Bills,
    /// Explain from the nodes' logs what happened to a request, and why
    #[bpaf(command)]
    Explain {
        /// Id of the request
        #[bpaf(positional("ID"))]
        request: String,
        /// Log files. Default: standard input
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
    /// Aggregate the metrics of several nodes
    #[bpaf(command)]
    Metrics {
        /// Metrics addresses of nodes, or files that hold their metrics
        #[bpaf(positional("IP:PORT|FILE"), some("name at least one node or file"))]
        sources: Vec<String>,
    },
    /// Print the hash of a secret key, for a `key` rule. The key is read from standard input
    #[bpaf(command("hash-key"))]
    HashKey,
}

#[derive(Debug, Clone, Bpaf)]
enum RulesCommand {
    /// Check a rules file; exit code 3 if it has errors
    #[bpaf(command)]
    Check {
        /// Rules file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Compare a rules file with the active rules
    #[bpaf(command)]
    Diff {
        /// Rules file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Apply a rules file; exit code 4 if the rules have changed since the base generation
    #[bpaf(command)]
    Apply {
        /// Generation that the edit is based on. Default: the one that `rules show` wrote into the
        /// file, or 0 for the first rules of a deployment
        #[bpaf(long, argument("GENERATION"))]
        base: Option<u64>,
        /// Wait until the rules are active on every node
        wait: bool,
        /// Longest time to wait, in milliseconds
        #[bpaf(long, argument("MS"), fallback(7_000), display_fallback)]
        wait_ms: u64,
        /// Rules file
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Show the active rules
    #[bpaf(command)]
    Show,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let format = if arguments.json { OutputFormat::Json } else { OutputFormat::Text };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,

        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(arguments, format)) {
        Ok(text) => {
            // A closed pipe, such as after `head`, is not a failure of the command.
            let _ = writeln!(std::io::stdout(), "{text}");
            ExitCode::SUCCESS
        }

        Err(error) => {
            eprintln!("{}", commands::describe_error(&error, format));
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(arguments: Arguments, format: OutputFormat) -> Result<String> {
    let store = store(&arguments.platform);
    match &arguments.command {
        Command::Rules { rules_command } => {
            rules(&arguments, rules_command.clone(), store, format).await
        }
        Command::Status => commands::status(&fleet(&arguments, &store).await?, format).await,
        Command::Bills => commands::bills(store.as_ref(), format).await,
        Command::Explain { request, files } => commands::explain(request, files, format),
        Command::Metrics { sources } => {
            commands::metrics(&TcpNetwork::shared(), sources, format).await
        }
        Command::HashKey => hash_key(),
    }
}

async fn rules(
    arguments: &Arguments,
    command: RulesCommand,
    store: Arc<HttpStore>,
    format: OutputFormat,
) -> Result<String> {
    match command {
        RulesCommand::Check { file } => commands::check(&commands::read_file(&file)?, format),

        RulesCommand::Diff { file } => {
            commands::diff(store.as_ref(), &commands::read_file(&file)?, format).await
        }

        RulesCommand::Show => commands::show(store.as_ref(), format).await,

        RulesCommand::Apply { base, wait, wait_ms, file } => {
            let text = commands::read_file(&file)?;
            let applied = edit::apply(store.as_ref(), &text, base).await?;
            if wait {
                let fleet = fleet(arguments, &store).await?;
                fleet.wait_until_active(applied.generation, wait_ms).await?;
            }
            Ok(commands::describe_applied(&applied, format))
        }
    }
}

fn store(address: &str) -> Arc<HttpStore> {
    let options = HttpStoreOptions { address: address.to_owned(), ..HttpStoreOptions::default() };
    Arc::new(HttpStore::new(TcpNetwork::shared(), options, Counters::in_memory()))
}

/// Returns the nodes given in the arguments, or else those that the platform lists.
async fn fleet(arguments: &Arguments, store: &HttpStore) -> Result<Fleet> {
    let mut addresses = arguments.nodes.clone();
    if addresses.is_empty() {
        let vms = read_vms(store).await?;
        let entries = vms.into_iter().filter(|vm| vm.role == VmRole::Entry);
        addresses = entries.map(|vm| vm.address).collect();
    }
    Ok(Fleet { network: TcpNetwork::shared(), addresses, key: arguments.key.clone() })
}

/// Hashes the key read from standard input.
fn hash_key() -> Result<String> {
    let secret = std::io::read_to_string(std::io::stdin())
        .map_err(|source| Error::File { path: "standard input".to_owned(), source })?;
    Ok(KeyHash::of(secret.trim()).to_string())
}
