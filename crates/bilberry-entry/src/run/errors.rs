//! Errors of completions that cannot be continued.

use bilberry_core::RunState;
use bilberry_core::retry_after_ms;
use bilberry_platform::Platform;

use crate::ApiError;
use crate::ErrorKind;
use crate::UpstreamProber;
use crate::run::Run;

/// The base of the retry delay when no upstream accepts the request.
const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;

impl<P: Platform, K: UpstreamProber> Run<P, K> {
    pub(super) fn lost_error(&self, reason: &str) -> ApiError {
        let message = format!("the answer was lost and could not be resumed: {reason}");
        let error = ApiError::may_have_run("upstream_lost", message)
            .retry_after(retry_after_ms(NO_UPSTREAM_RETRY_AFTER_MS, rand::random()));
        self.with_overall_run_state(error)
    }

    /// Returns the error for when no upstream is left to try.
    ///
    /// This is the last rejection, if any, as its retry delay is more accurate.
    pub(super) fn no_upstream_error(&self) -> ApiError {
        let message = "no upstream takes new work; come back later";
        let none = ApiError::not_run(ErrorKind::Unavailable, "no_upstream", message)
            .retry_after(retry_after_ms(NO_UPSTREAM_RETRY_AFTER_MS, rand::random()));
        self.with_overall_run_state(self.last_rejection.clone().unwrap_or(none))
    }

    pub(super) fn deadline_error(&mut self) -> ApiError {
        self.current = None;
        let message = "the deadline passed; allow more time or ask for fewer tokens";
        let error = ApiError::not_run(ErrorKind::Deadline, "deadline_passed", message)
            .with_run_state(RunState::MayHaveRun)
            .retry_after(retry_after_ms(NO_UPSTREAM_RETRY_AFTER_MS, rand::random()));
        self.with_overall_run_state(error)
    }

    /// Sets the run state of an error from all attempts so far.
    pub(super) fn with_overall_run_state(&self, error: ApiError) -> ApiError {
        match self.cursor.text().is_empty() {
            false => ApiError {
                code: "stream_interrupted".to_string(),
                run_state: RunState::Ran,
                ..error
            },
            true if self.may_have_run => error.with_run_state(RunState::MayHaveRun),
            true => error,
        }
    }
}
