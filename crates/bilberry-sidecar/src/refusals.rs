//! Construction of refusal messages.

use bilberry_core::retry_after_ms;
use bilberry_wire::Body;
use bilberry_wire::Refused;

use crate::Refusal;

/// The base of the retry delay if there is no estimate.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Creates a refusal for a request that was not sent to the upstream.
pub(crate) fn not_run(code: &str, message: &str, wait_ms: Option<u64>) -> Body {
    refusal(code, message, false, wait_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS))
}

/// Creates a refusal for a request that the upstream may have executed.
pub(crate) fn may_have_run(code: &str, message: &str) -> Body {
    refusal(code, message, true, DEFAULT_RETRY_AFTER_MS)
}

/// Creates the refusal for a request that was not admitted.
pub(crate) fn not_admitted(reason: Refusal) -> Body {
    match reason {
        Refusal::Busy { wait_ms } => {
            let message = "the upstream is busy; come back after the time in Retry-After";
            not_run("overloaded", message, Some(wait_ms))
        }
        Refusal::Expired => {
            let message =
                "the deadline passed in the queue; allow more time or come back later";
            not_run("deadline_passed", message, None)
        }
    }
}

fn refusal(code: &str, message: &str, may_have_run: bool, wait_ms: u64) -> Body {
    Body::Refused(Refused {
        code: code.to_string(),
        message: message.to_string(),
        may_have_run,
        retry_after_ms: retry_after_ms(wait_ms, rand::random()),
        upstream_status: 0,
    })
}
