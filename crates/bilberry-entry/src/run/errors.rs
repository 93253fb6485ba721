//! How a completion that can't go on is told to its caller.

use bilberry_core::RunState;
use bilberry_core::retry_after_ms;
use bilberry_platform::Platform;

use crate::ApiError;
use crate::ErrorKind;
use crate::Knowledge;
use crate::run::Run;

/// When callers are asked back while no upstream takes work.
const NO_UPSTREAM_WAIT_MS: u64 = 1_000;

impl<P: Platform, K: Knowledge> Run<P, K> {
    pub(super) fn give_up(&self, why: &str) -> ApiError {
        let message = format!("the answer was lost and could not be resumed: {why}");
        let error = ApiError::may_have_run("upstream_lost", message)
            .retry_after(retry_after_ms(NO_UPSTREAM_WAIT_MS, rand::random()));
        self.as_known(error)
    }

    /// Says that nobody is left to ask, in the words of the last refusal if there
    /// was one: it knows better when to come back.
    pub(super) fn no_upstream(&self) -> ApiError {
        let message = "no upstream takes new work; come back later";
        let none = ApiError::not_run(ErrorKind::Unavailable, "no_upstream", message)
            .retry_after(retry_after_ms(NO_UPSTREAM_WAIT_MS, rand::random()));
        self.as_known(self.refusal.clone().unwrap_or(none))
    }

    pub(super) fn deadline_error(&mut self) -> ApiError {
        self.live = None;
        let message = "the deadline passed; allow more time or ask for fewer tokens";
        let error = ApiError::not_run(ErrorKind::Deadline, "deadline_passed", message)
            .with_run_state(RunState::MayHaveRun)
            .retry_after(retry_after_ms(NO_UPSTREAM_WAIT_MS, rand::random()));
        self.as_known(error)
    }

    /// Says what is known of the run over all attempts.
    pub(super) fn as_known(&self, error: ApiError) -> ApiError {
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
