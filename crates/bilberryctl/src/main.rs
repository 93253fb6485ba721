//! `bilberryctl`, the command-line tool for operators.

mod arguments;
mod client;
mod commands;
mod error;
mod explain;
mod log_lines;
mod losses;
mod table;

use std::process::ExitCode;

use gumdrop::Options;

use crate::arguments::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return ExitCode::FAILURE };
    match runtime.block_on(commands::run(&arguments)) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("bilberryctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
