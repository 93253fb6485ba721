//! The report of a crash at which a possible cause was present.

use crate::CrashCause;

/// The run time in reports on parts of prompts, beyond any actual run time.
///
/// Reports keep the longest run time when they are merged, also by processes of the
/// previous release, which know of no parts. Such processes therefore rank parts behind
/// requests and preserve what the run time stands for.
const PART_RUN_MS: u64 = 1 << 32;

/// The run time in reports on parts that were present in a trial.
const PART_TRIAL_RUN_MS: u64 = PART_RUN_MS + 1;

/// The run time in reports on requests that were suspect already when they were sent.
const REQUEST_TRIAL_RUN_MS: u64 = PART_RUN_MS + 2;

/// A crash of a server at which a possible cause was present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// The possible cause that was present.
    pub cause: CrashCause,
    /// A hash of the server's identity, its incarnation and the crashes known before the
    /// run.
    pub server: u64,
    /// How long the request had run there; the longest of several runs. For parts of
    /// prompts, whether the run was a trial.
    pub ran_ms: u64,
    /// Whether the cause has completed since, so that it is not to blame.
    pub is_void: bool,
}

impl CrashReport {
    /// Creates a report on a part of the prompt of a run that a crash interrupted.
    pub fn of_part(cause: CrashCause, server: u64, is_trial: bool) -> Self {
        let ran_ms = if is_trial { PART_TRIAL_RUN_MS } else { PART_RUN_MS };
        Self { cause, server, ran_ms, is_void: false }
    }

    /// Creates a report on a request that was suspect already when it was sent, under the
    /// cause for its trials.
    pub fn of_request_trial(request: CrashCause, server: u64) -> Self {
        let cause = request.in_trial();
        Self { cause, server, ran_ms: REQUEST_TRIAL_RUN_MS, is_void: false }
    }

    /// Reports whether the cause is a part of prompts.
    pub fn is_part(&self) -> bool {
        (PART_RUN_MS..=PART_TRIAL_RUN_MS).contains(&self.ran_ms)
    }

    /// Reports whether the cause was present in a trial.
    pub fn is_trial(&self) -> bool {
        self.ran_ms >= PART_TRIAL_RUN_MS
    }

    /// Reports whether the report is on a trial of a request.
    pub(super) fn is_request_trial(&self) -> bool {
        self.ran_ms >= REQUEST_TRIAL_RUN_MS
    }
}
