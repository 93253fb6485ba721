//! `bilberryd`, the daemon that runs one process of the system.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bilberry_adapter::HostSettings;
use bilberry_adapter::settings_path;
use bilberry_config::Settings;
use bilberry_node::LogSink;
use bilberry_node::start_logging;
use bilberryd::run_on_platform;
use bilberryd::wait_for_signal;
use gumdrop::Options;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// The exit code for a failure to start.
const EXIT_START: u8 = 3;

/// The exit code for a shutdown that aborted requests.
const EXIT_ABORTED: u8 = 4;

/// Runs one process of bilberrypaddle, an entry or a sidecar.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// the settings file (TOML)
    #[options(meta = "FILE")]
    settings: Option<PathBuf>,
    /// only check the settings
    #[options(no_short)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    if let (None, Some(path)) = (&arguments.settings, settings_path()) {
        return run_with_node_file(&path, arguments.check);
    }
    let Some(path) = &arguments.settings else {
        eprintln!("--settings is missing; give the path of a TOML file");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: the settings are good", path.display());
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => {
            eprintln!("the runtime can't start: {error}; allow more threads");
            ExitCode::from(EXIT_START)
        }
    }
}

/// Runs with the settings supplied by the users' platform.
fn run_with_node_file(path: &Path, check: bool) -> ExitCode {
    let settings = match HostSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: the settings are good", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logging(settings.host.clone(), "info", LogSink::Output) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_START);
    }
    // Hosts limit a process to a fifth of a core, so several threads would only
    // compete for it.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run_on_platform(settings, path.to_path_buf())),
        Err(error) => {
            eprintln!("the runtime can't start: {error}; allow more threads");
            return ExitCode::from(EXIT_START);
        }
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_ABORTED),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}

async fn run(settings: Settings) -> ExitCode {
    if let Err(error) =
        start_logging(settings.process.clone(), &settings.log.level, LogSink::Error)
    {
        eprintln!("{error}");
        return ExitCode::from(EXIT_START);
    }
    let process = match bilberryd::start(settings).await {
        Ok(process) => process,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_START);
        }
    };
    // Print the addresses, as ports may be chosen by the system, so that the parent
    // process can connect.
    println!("{}", process.addresses());
    wait_for_signal().await;
    match process.stop().await {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_ABORTED),
    }
}
