//! `bilberry-load`: load and experiments on loopback.

use std::path::PathBuf;
use std::process::ExitCode;

use bilberry_config::Settings;
use bilberry_load::CompareArguments;
use bilberry_load::DecideArguments;
use bilberry_load::compare;
use bilberry_load::decide;
use bilberry_load::fair;
use bilberry_load::hot;
use bilberry_load::overload;
use bilberry_load::propagation;
use bilberry_load::restart;
use bilberry_load::slopes;
use gumdrop::Options;

/// Offers load to bilberrypaddle on loopback and measures what comes of it.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// what to do
    #[options(command, required)]
    command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
enum Command {
    /// run each routing policy on the same arrivals
    Compare(CompareArguments),
    /// replay a load in virtual time under each policy of placement
    Decide(DecideArguments),
    /// one customer at ten times its share, and shares by weight
    Fair(NoArguments),
    /// half, once, twice and four times the capacity
    Overload(NoArguments),
    /// all entries restarted at once under load
    Restart(ExamplesArguments),
    /// a hot prefix appears
    Hot(ExamplesArguments),
    /// how long a change takes to be in force everywhere
    Propagation(PropagationArguments),
    /// the slopes from which docs/CAPACITY.md is worked out
    Slopes(SlopesArguments),
    /// run one entry or sidecar; experiments start themselves this way
    Node(NodeArguments),
}

/// A command without arguments.
#[derive(Debug, Options)]
struct NoArguments {
    /// print this help
    help: bool,
}

/// A command that reads the examples.
#[derive(Debug, Options)]
struct ExamplesArguments {
    /// print this help
    help: bool,
    /// the folder that holds the example configurations
    #[options(no_short, default = "examples", meta = "FOLDER")]
    examples: PathBuf,
}

/// `slopes`.
#[derive(Debug, Options)]
struct SlopesArguments {
    /// print this help
    help: bool,
    /// only requests, streams, blocks, customers or idle
    #[options(no_short, meta = "KIND")]
    only: Option<String>,
}

/// `propagation`.
#[derive(Debug, Options)]
struct PropagationArguments {
    /// print this help
    help: bool,
    /// the sizes of the fleets, comma-separated
    #[options(default = "2,8,32", meta = "SIZES")]
    nodes: String,
}

/// `node --settings FILE`.
#[derive(Debug, Options)]
struct NodeArguments {
    /// print this help
    help: bool,
    /// the settings file
    #[options(required, meta = "FILE")]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let done = match arguments.command {
        Some(Command::Compare(arguments)) => compare(&arguments).await,
        Some(Command::Decide(arguments)) => decide(&arguments),
        Some(Command::Fair(_)) => fair().await,
        Some(Command::Overload(_)) => overload().await,
        Some(Command::Restart(arguments)) => restart(&arguments.examples).await,
        Some(Command::Hot(arguments)) => hot(&arguments.examples).await,
        Some(Command::Propagation(arguments)) => {
            let sizes: Vec<_> =
                arguments.nodes.split(',').filter_map(|size| size.parse().ok()).collect();
            propagation(&sizes).await
        }
        Some(Command::Slopes(arguments)) => slopes(arguments.only.as_deref()).await,
        Some(Command::Node(node)) => run_node(&node).await,
        None => Err("no command was given; see --help".to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bilberry-load: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_node(arguments: &NodeArguments) -> Result<(), String> {
    let settings = Settings::load(&arguments.settings);
    let settings = settings.map_err(|error| error.to_string())?;
    let process = bilberryd::start(settings).await.map_err(|error| error.to_string())?;
    println!("{}", process.addresses());
    std::future::pending().await
}
