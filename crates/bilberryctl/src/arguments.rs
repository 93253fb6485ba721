//! The command-line arguments.

use std::path::PathBuf;

use gumdrop::Options;

/// Operates bilberrypaddle through the administration API of any entry.
///
/// Examples:
///   bilberryctl config check --folder examples/hsinchu
///   bilberryctl config apply --folder examples/hsinchu
///   bilberryctl status
///   bilberryctl drain lm-3
///   bilberryctl timeline --request 5f2c9a
///   bilberryctl explain 5f2c9a
///   bilberryctl explain --logs entry-1.log side-1.log 5f2c9a
///   bilberryctl losses --logs entry-1.log entry-2.log
///
/// Exit codes: 0 done, 1 refused, 2 wrong use, 3 not reached, 4 lost a race.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    /// print this help
    pub help: bool,
    /// the administration address of an entry
    #[options(default = "127.0.0.1:9100", meta = "ADDRESS")]
    pub address: String,
    /// the token; else the environment's BILBERRY_TOKEN
    #[options(meta = "TOKEN")]
    pub token: Option<String>,
    /// print JSON for programs
    #[options(no_short)]
    pub json: bool,
    /// what to do
    #[options(command, required)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub(crate) enum Command {
    /// check, compare, apply and look at the configuration
    Config(ConfigArguments),
    /// show all processes and the revision in force in each
    Status(NoArguments),
    /// let an upstream take no new work
    Drain(DrainArguments),
    /// show the events of all processes in causal order
    Timeline(TimelineArguments),
    /// show why a request went where it went, from an entry or from log files
    Explain(ExplainArguments),
    /// group late, failed and refused requests of log files by cause
    Losses(LossesArguments),
}

/// A command without arguments.
#[derive(Debug, Options)]
pub(crate) struct NoArguments {
    /// print this help
    pub help: bool,
}

/// `config check|diff|apply|status|history|hash-key`.
#[derive(Debug, Options)]
pub(crate) struct ConfigArguments {
    /// print this help
    pub help: bool,
    /// check, diff, apply, status, history or hash-key
    #[options(free, required)]
    pub action: String,
    /// the key for hash-key
    #[options(free)]
    pub key: Option<String>,
    /// the folder of pieces
    #[options(meta = "FOLDER")]
    pub folder: Option<PathBuf>,
}

/// `drain UPSTREAM`.
#[derive(Debug, Options)]
pub(crate) struct DrainArguments {
    /// print this help
    pub help: bool,
    /// the upstream
    #[options(free, required)]
    pub upstream: String,
}

/// `timeline [--request ID]`.
#[derive(Debug, Options)]
pub(crate) struct TimelineArguments {
    /// print this help
    pub help: bool,
    /// only events of this request
    #[options(meta = "ID")]
    pub request: Option<String>,
}

/// `explain [--logs FILE...] REQUEST`.
#[derive(Debug, Options)]
pub(crate) struct ExplainArguments {
    /// print this help
    pub help: bool,
    /// read log files of many hosts instead of asking an entry
    #[options(no_short)]
    pub logs: bool,
    /// the log files, and last the request, as its caller or its answer names it
    #[options(free, required)]
    pub words: Vec<String>,
}

/// `losses --logs FILE...`.
#[derive(Debug, Options)]
pub(crate) struct LossesArguments {
    /// print this help
    pub help: bool,
    /// read log files of many hosts
    #[options(no_short)]
    pub logs: bool,
    /// how many seconds are taken together
    #[options(no_short, default = "2", meta = "SECONDS")]
    pub window: u64,
    /// the log files
    #[options(free)]
    pub files: Vec<PathBuf>,
}
