//! `fescuelock-standin` runs all stand-ins of a deployment in one process.

use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use fescuelock_http::net::TcpNetwork;
use fescuelock_standin::Result;
use fescuelock_standin::control::ControlApi;
use fescuelock_standin::deployment::{Deployment, DeploymentOptions};
use fescuelock_standin::engine::EngineOptions;
use fescuelock_standin::platform::ListedVm;

/// Serves stand-ins for the platform and for every upstream that a rules file names.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Rules file that names the upstreams
    #[bpaf(long, argument("FILE"))]
    rules: String,
    /// Address of the platform
    #[bpaf(long, argument("IP:PORT"), fallback("127.0.0.1:7400".to_owned()), display_fallback)]
    platform: String,
    /// Address of the control interface
    #[bpaf(long, argument("IP:PORT"), fallback("127.0.0.1:7499".to_owned()), display_fallback)]
    control: String,
    /// Address of the rating service
    #[bpaf(long, argument("IP:PORT"), fallback("127.0.0.1:7498".to_owned()), display_fallback)]
    rating: String,
    /// Time to an engine's first token, in milliseconds
    #[bpaf(long, argument("MS"), fallback(20), display_fallback)]
    first_token_ms: u64,
    /// Time between an engine's tokens, in milliseconds
    #[bpaf(long, argument("MS"), fallback(5), display_fallback)]
    token_gap_ms: u64,
    /// Entry VM for the platform's list, by its addresses for operators and for other nodes
    #[bpaf(long("vm"), argument("NAME=IP:PORT[,IP:PORT]"))]
    vms: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = runtime
        .map_err(|error| error.to_string())
        .and_then(|runtime| runtime.block_on(run(arguments)).map_err(|error| error.to_string()));
    match result {
        Ok(()) => ExitCode::SUCCESS,

        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<()> {
    let rules = std::fs::read_to_string(&arguments.rules)
        .map_err(|error| fescuelock_standin::Error::Rules(error.to_string()))?;
    let options = DeploymentOptions {
        platform_address: arguments.platform.clone(),
        engine: EngineOptions {
            first_token_us: arguments.first_token_ms * 1_000,
            token_gap_us: arguments.token_gap_ms * 1_000,
            ..EngineOptions::default()
        },
        ..DeploymentOptions::default()
    };
    let deployment = Arc::new(Deployment::start(TcpNetwork::shared(), &rules, options).await?);
    deployment.platform.set_vms(arguments.vms.iter().filter_map(|text| parse_vm(text)).collect());
    let control = Arc::new(ControlApi { deployment: Arc::clone(&deployment) });
    let control_address = deployment.serve(&arguments.control, control).await?;
    let rating_address =
        deployment.serve(&arguments.rating, Arc::clone(&deployment.rating)).await?;
    println!(
        "platform {}, control {control_address}, rating {rating_address}, {} engines, {} services",
        deployment.platform_address,
        deployment.engines.len(),
        deployment.services.len(),
    );
    // If the signal handler cannot be installed, the process exits as it would on Ctrl-C.
    let _ = tokio::signal::ctrl_c().await;
    Ok(())
}

/// Parses an entry VM of the form `NAME=IP:PORT[,IP:PORT]`, or returns `None` if it has no `=`.
fn parse_vm(text: &str) -> Option<ListedVm> {
    let (name, addresses) = text.split_once('=')?;
    let (address, nodes_address) = match addresses.split_once(',') {
        Some((address, nodes_address)) => (address, Some(nodes_address.to_owned())),
        None => (addresses, None),
    };
    Some(ListedVm {
        name: name.to_owned(),
        address: address.to_owned(),
        role: "entry".to_owned(),
        state: "live".to_owned(),
        nodes_address,
    })
}
