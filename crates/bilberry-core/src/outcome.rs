//! Whether a refused request may have run.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether an upstream executed a request.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was not sent to any upstream.
    NotRun,
    /// The request may have reached an upstream.
    MayHaveRun,
    /// An upstream executed the request.
    Ran,
}

impl RunState {
    /// Returns the name used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
