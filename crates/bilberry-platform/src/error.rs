//! Errors of calls to the platform.

use thiserror::Error;

/// An error from a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The circuit breaker is open; the call was not made.
    #[error("the platform did not answer lately; the call was not made, try again later")]
    CircuitOpen,
    /// The call failed or timed out; a write may have been applied.
    #[error("the platform gave no answer: {0}; read back before writing again")]
    UnknownOutcome(String),
    /// The object's version differs from the expected one.
    #[error("the object is at version {0}, not at the expected one; read it and retry")]
    Conflict(u64),
    /// The platform rejected the call.
    #[error("the platform refused the call: {0}; check the key and the value's size")]
    Rejected(String),
}
