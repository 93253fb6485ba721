//! Permits to use the upstream, and pauses.

use std::time::Duration;
use std::time::Instant;

use crate::Admission;
use crate::Work;
use crate::gate::Gate;

/// The time that an engine may send nothing, in addition to its expected prefill.
const BASE_SILENCE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The factor by which a prefill may exceed its expected time.
const PREFILL_TIMEOUT_FACTOR: f64 = 4.0;

/// A permit to run a request at the upstream, released on drop.
#[derive(Debug)]
pub struct Permit {
    admission: Admission,
    work: Work,
    backlog_at_start: u64,
    started: Instant,
    first_token_us: Option<f64>,
}

impl Permit {
    pub(crate) fn start<G>(admission: Admission, gate: &mut Gate<G>, work: Work) -> Self {
        let backlog_at_start = gate.prefill_backlog_tokens();
        gate.start(work.prefill_tokens);
        let started = Instant::now();
        Self { admission, work, backlog_at_start, started, first_token_us: None }
    }

    /// Returns the maximum time to wait for the next output of the engine.
    ///
    /// An engine that hangs keeps its connections open. Without this timeout, its
    /// callers would wait until their deadlines although other engines could serve
    /// them.
    pub fn silence_timeout(&self) -> Duration {
        let tokens = self.backlog_at_start + self.work.prefill_tokens;
        let per_token = self.admission.prefill_us_per_token();
        let expected_us = match self.first_token_us {
            None => tokens as f64 * per_token,
            Some(_) => 0.0,
        };
        BASE_SILENCE_TIMEOUT
            + Duration::from_micros((expected_us * PREFILL_TIMEOUT_FACTOR) as u64)
    }

    /// Records that the first token was received.
    pub fn record_first_token(&mut self) {
        if self.first_token_us.is_some() {
            return;
        }
        self.first_token_us = Some(self.started.elapsed().as_micros() as f64);
        self.admission.gate.lock().unwrap().end_prefill(self.work.prefill_tokens);
        self.admission.start_queued();
    }

    /// Records that the request was served, with its numbers of computed prompt tokens
    /// and output tokens.
    pub fn record_served(&mut self, computed_tokens: u64, answer_tokens: u64) {
        self.record_first_token();
        let elapsed_us = self.started.elapsed().as_micros() as f64;
        let mut gate = self.admission.gate.lock().unwrap();
        if let Some(first_us) = self.first_token_us {
            let tokens = self.backlog_at_start + computed_tokens;
            gate.estimates.record_prefill(tokens, first_us);
            let max_tokens = self.work.output_tokens;
            gate.estimates.record_answer(
                answer_tokens,
                max_tokens,
                elapsed_us - first_us,
            );
        }
        gate.estimates.record_service(self.work.cost(), elapsed_us);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut gate = self.admission.gate.lock().unwrap();
        if self.first_token_us.is_none() {
            gate.end_prefill(self.work.prefill_tokens);
        }
        gate.end();
        drop(gate);
        self.admission.start_queued();
    }
}

/// Prevents new requests from starting until it is dropped.
#[derive(Debug)]
pub struct Pause {
    admission: Admission,
}

impl Pause {
    pub(crate) fn new(admission: Admission) -> Self {
        admission.gate.lock().unwrap().paused = true;
        Self { admission }
    }
}

impl Drop for Pause {
    fn drop(&mut self) {
        self.admission.gate.lock().unwrap().paused = false;
        self.admission.start_queued();
    }
}
