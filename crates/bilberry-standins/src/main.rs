//! `bilberry-standin`: one stand-in as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use bilberry_standins::EngineStandin;
use bilberry_standins::EngineTraits;
use bilberry_standins::Holders;
use bilberry_standins::PlatformStandin;
use bilberry_standins::Served;
use bilberry_standins::ServiceStandin;
use bilberry_standins::WeightsStandin;
use bilberry_standins::serve;
use gumdrop::Options;

/// Runs a stand-in for an outside system, for tests and demonstrations.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// the kind: engine, service, platform or weights
    #[options(free)]
    kind: String,
    /// the address to listen on
    #[options(default = "127.0.0.1:0", meta = "ADDRESS")]
    listen: String,
    /// the traits of an engine, as JSON
    #[options(default = "{}", meta = "JSON")]
    traits: String,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Ok(address) = arguments.listen.parse() else {
        eprintln!("--listen: write it as IP:PORT");
        return ExitCode::FAILURE;
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::FAILURE };
    runtime.block_on(run(&arguments, address))
}

async fn run(arguments: &Arguments, address: SocketAddr) -> ExitCode {
    let served = match start(arguments, address).await {
        Ok(served) => served,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::FAILURE;
        }
    };
    println!("address={}", served.address);
    std::future::pending::<()>().await;
    ExitCode::SUCCESS
}

async fn start(arguments: &Arguments, address: SocketAddr) -> Result<Served, String> {
    let served = match arguments.kind.as_str() {
        "engine" => {
            let traits: EngineTraits = serde_json::from_str(&arguments.traits)
                .map_err(|error| format!("--traits: {error}"))?;
            serve(address, EngineStandin::new(traits, Holders::default())).await
        }
        "service" => serve(address, ServiceStandin::new()).await,
        "platform" => serve(address, PlatformStandin::new()).await,
        "weights" => serve(address, WeightsStandin::new(400, 2)).await,
        other => return Err(format!("`{other}` is no kind; see --help")),
    };
    served.map_err(|error| format!("can't listen on {address}: {error}"))
}
