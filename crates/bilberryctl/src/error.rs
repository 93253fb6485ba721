//! Why the tool failed.

use bilberry_config::ConfigError;
use thiserror::Error;

/// Why the tool failed.
#[derive(Debug, Error)]
pub(crate) enum CtlError {
    /// The arguments are wrong.
    #[error("{0}; see --help")]
    Usage(String),
    /// The folder is wrong.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A log file can't be read.
    #[error("{file}: can't be read: {reason}; name log files that exist")]
    Logs {
        /// The file.
        file: String,
        /// What the system said.
        reason: String,
    },
    /// No line of the logs names the request.
    #[error(
        "no line names the request {0}; give the logs of all entries, and the id that the caller sent"
    )]
    NotLogged(String),
    /// The entry can't be reached.
    #[error("{address} can't be reached: {reason}; check --address or try another entry")]
    Unreachable {
        /// The address.
        address: String,
        /// What the system said.
        reason: String,
    },
    /// The entry refused.
    #[error("{message} ({code})")]
    Refused {
        /// The status.
        status: u16,
        /// The stable word for the reason.
        code: String,
        /// The reason and the remedy.
        message: String,
    },
}

impl CtlError {
    /// Returns the exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { status: 409, .. } => 4,
            Self::Refused { .. }
            | Self::Config(_)
            | Self::Logs { .. }
            | Self::NotLogged(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable { .. } => 3,
        }
    }
}
