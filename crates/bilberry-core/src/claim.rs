//! Claims: the records that limit a non-idempotent call to a single execution.

use serde::Deserialize;
use serde::Serialize;

use crate::UnixMs;

/// The response to a call, stored for callers that repeat its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body in base64; absent if it exceeded the size limit.
    pub body_base64: Option<String>,
}

/// The progress of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may be executing the call.
    Running,
    /// The call completed with this response.
    Done(RecordedAnswer),
    /// The call was refused before execution; the key may be claimed again.
    NotRun,
    /// The holder does not know the outcome of the call.
    Unclear,
}

/// A claim on one idempotency key of one customer at one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The random token of the attempt that holds the claim.
    pub attempt: String,
    /// A hash of the method, path and body.
    pub request_hash: String,
    /// The time by which the holder has given up.
    pub deadline: UnixMs,
    /// The progress of the call.
    pub state: ClaimState,
}

/// How to respond to a request that repeats a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepeatVerdict {
    /// The claim belongs to this attempt: the reply to its own write was lost.
    Own,
    /// The call completed; return the recorded response.
    Answer(RecordedAnswer),
    /// The call is in progress.
    Running,
    /// The call may have run, and its outcome can no longer be determined.
    Unclear,
    /// The key was used for a different request.
    Mismatch,
    /// The call did not run; the key may be claimed with a conditional update.
    Reclaim,
}

impl Claim {
    /// Decides how to respond to a request whose key has this claim.
    pub fn verdict_for(
        &self,
        attempt: &str,
        request_hash: &str,
        now: UnixMs,
    ) -> RepeatVerdict {
        match &self.state {
            _ if self.request_hash != request_hash => RepeatVerdict::Mismatch,
            ClaimState::Running if self.attempt == attempt => RepeatVerdict::Own,
            ClaimState::Done(answer) => RepeatVerdict::Answer(answer.clone()),
            ClaimState::NotRun => RepeatVerdict::Reclaim,
            ClaimState::Unclear => RepeatVerdict::Unclear,
            // A killed holder leaves its claim in the running state forever, so
            // the outcome is reported as unclear after the deadline. The claim
            // is never taken over, because a holder that was merely paused may
            // have dispatched the call.
            ClaimState::Running if self.deadline.has_passed_at(now) => {
                RepeatVerdict::Unclear
            }
            ClaimState::Running => RepeatVerdict::Running,
        }
    }
}
