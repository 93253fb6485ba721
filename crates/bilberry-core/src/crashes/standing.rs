//! Whether and how a request may be sent to a server.

use crate::CrashCause;
use crate::UnixMs;

/// Whether and how a request may be sent to a server, by one of its possible causes of
/// crashes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestStatus {
    /// It is sent like any other request.
    #[default]
    Good,
    /// It is sent only once per attempt.
    Suspect,
    /// It is rejected.
    Quarantined {
        /// When the quarantine ends.
        until: UnixMs,
    },
}

/// Whether and how a request may be sent to a server, by all of its possible causes of
/// crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestStanding {
    /// The most restrictive status by any of its causes.
    pub status: RequestStatus,
    /// The cause for which it is rejected, if it is.
    pub blamed: Option<CrashCause>,
    /// Whether it must wait instead of being rejected, because reports that lift the
    /// quarantine may still arrive.
    pub is_pending: bool,
    /// The parts of its prompt that were present at a crash and have not been shown to be
    /// harmless since. With any, each run of it is a trial: requests with the same parts
    /// run one at a time, on one server. Those with the most crashes come first.
    pub suspected_parts: Vec<CrashCause>,
}

impl RequestStanding {
    /// Reports whether a run of the request is a trial.
    pub fn is_trial(&self) -> bool {
        !self.suspected_parts.is_empty()
    }

    /// Includes the status by one more cause.
    pub(super) fn include(&mut self, cause: CrashCause, status: RequestStatus) {
        match (self.status, status) {
            (RequestStatus::Quarantined { .. }, _) | (_, RequestStatus::Good) => {}
            (_, RequestStatus::Quarantined { .. }) => {
                self.status = status;
                self.blamed = Some(cause);
            }
            (_, RequestStatus::Suspect) => self.status = RequestStatus::Suspect,
        }
    }
}
