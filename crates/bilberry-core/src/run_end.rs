//! Detection of the end of an unresponsive run, so that another engine may continue it.
//!
//! A host may pause for seconds and then resume, together with its engine and sidecar.
//! No period of silence proves that the run has ended, no matter how many processes are
//! silent. Neither does a closed connection, because it is unknown who closed it.
//! Treating either as proof could let two engines execute a run that may execute only
//! once.

/// The number of consecutive connection attempts without any response after which a
/// host is considered unreachable.
///
/// A lost packet can hide the response to one attempt. Three in a row take a failure of
/// the link from this process, which others may not share.
const UNREACHABLE_AFTER_SILENT: u32 = 3;

/// The result of a connection attempt to a host.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The host accepted the connection, so it is up, even if its processes are paused.
    Accepted,
    /// The host refused the connection, so nothing listens on the port.
    Refused,
    /// The host did not respond within the connection timeout.
    TimedOut,
}

/// The engine's state as reported by the sidecar on its host.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum SidecarStatus {
    /// The engine responds to the sidecar.
    Up,
    /// The engine does not respond to the sidecar.
    Down,
    /// The sidecar has sent no recent update.
    Silent,
}

/// Why a run is considered ended at its engine.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Hash)]
pub enum RunEndReason {
    /// The engine stopped the run on request.
    Stopped,
    /// The engine does not know the run.
    NoSuchRun,
    /// The engine has restarted since the run began.
    Restarted,
    /// Nothing listens on the engine's port.
    Refused,
    /// The engine's host is unreachable.
    Unreachable,
}

impl RunEndReason {
    /// Returns the description used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopped => "stopped",
            Self::NoSuchRun => "no such run",
            Self::Restarted => "started again",
            Self::Refused => "refused",
            Self::Unreachable => "out of reach",
        }
    }
}

/// The connection attempts to the engine of an unresponsive run.
#[derive(Debug, Clone, Default)]
pub struct ConnectAttempts {
    consecutive_silent: u32,
}

impl ConnectAttempts {
    /// Records an attempt; returns the reason if it proves that the run has ended.
    ///
    /// While the stream's connection is open, its host acknowledges packets and is up,
    /// although it may refuse new connections or leave them in a full accept queue. A
    /// sidecar that reports its engine as up shows the same.
    pub fn record(
        &mut self,
        reach: ConnectOutcome,
        sidecar: SidecarStatus,
        stream_is_open: bool,
    ) -> Option<RunEndReason> {
        self.consecutive_silent = match reach {
            ConnectOutcome::TimedOut => self.consecutive_silent + 1,
            ConnectOutcome::Accepted | ConnectOutcome::Refused => 0,
        };
        match reach {
            _ if stream_is_open => None,
            ConnectOutcome::Refused => Some(RunEndReason::Refused),
            ConnectOutcome::TimedOut
                if self.consecutive_silent >= UNREACHABLE_AFTER_SILENT
                    && sidecar != SidecarStatus::Up =>
            {
                Some(RunEndReason::Unreachable)
            }
            ConnectOutcome::TimedOut | ConnectOutcome::Accepted => None,
        }
    }
}
