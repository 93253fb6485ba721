//! The errors of the tool.

use bilberry_config::ConfigError;
use thiserror::Error;

/// An error of the tool.
#[derive(Debug, Error)]
pub(crate) enum CtlError {
    /// The arguments are invalid.
    #[error("{0}; see --help")]
    Usage(String),
    /// The configuration folder is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A log file can't be read.
    #[error("{file}: can't be read: {reason}; name log files that exist")]
    Logs {
        /// The file.
        file: String,
        /// The error of the operating system.
        reason: String,
    },
    /// The logs contain no line about the request.
    #[error(
        "no line names the request {0}; give the logs of all entries, and the id that the caller sent"
    )]
    NotLogged(String),
    /// The entry can't be reached.
    #[error("{address} can't be reached: {reason}; check --address or try another entry")]
    Unreachable {
        /// The address.
        address: String,
        /// The error of the HTTP client.
        reason: String,
    },
    /// The entry rejected the call.
    #[error("{message} ({code})")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The error code.
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
