//! Decisions under load, replayed in virtual time.
//!
//! Entries that know late what engines do place arrivals with the code that production
//! runs; beside them, in the same run, requests go round robin, and go where one who
//! knows everything sends them. No process, socket or clock is involved, so a minute of
//! load takes a second or two and a seed repeats exactly.

mod agenda;
mod engine;
mod keys;
mod load;
mod policy;
mod replay;
mod report;

use std::path::PathBuf;

use gumdrop::Options;

pub use crate::decide::load::LoadFile;
pub use crate::decide::policy::Policy;
pub use crate::decide::replay::replay;
pub use crate::decide::report::Report;
use crate::decide::report::plot;
use crate::decide::report::table;

/// `decide`.
#[derive(Debug, Clone, Options)]
pub struct DecideArguments {
    /// print this help
    pub help: bool,
    /// the load (TOML)
    #[options(required, no_short, meta = "FILE")]
    pub load: PathBuf,
    /// the seed of the arrivals; else the load's own
    #[options(no_short)]
    pub seed: Option<u64>,
    /// write a chart of the share served in time, by window
    #[options(no_short, meta = "FILE")]
    pub plot: Option<PathBuf>,
}

/// Replays a load under each policy and prints what came of it.
pub fn decide(arguments: &DecideArguments) -> Result<(), String> {
    let load = LoadFile::read(&arguments.load)?;
    let seed = arguments.seed.unwrap_or(load.seed);
    let reports = Policy::ALL.map(|policy| (policy, replay(&load, policy, seed)));
    print!("{}", table(&reports));
    match &arguments.plot {
        Some(file) => plot(file, &reports),
        None => Ok(()),
    }
}
