//! A place at the upstream, and a pause of all places.

use std::time::Duration;
use std::time::Instant;

use crate::Admission;
use crate::Work;
use crate::gate::Gate;

/// How long an engine may stay silent beside its expected prefill.
const MOST_SILENCE: Duration = Duration::from_millis(4_000);

/// How many times the expected prefill may take.
const SILENCE_FACTOR: f64 = 4.0;

/// A place at the upstream, given back when dropped.
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

    /// Returns how long the engine may stay silent now.
    ///
    /// An engine that hangs keeps its connections open. Its callers would wait
    /// until their deadlines although other engines could serve them.
    pub fn silence_bound(&self) -> Duration {
        let tokens = self.backlog_at_start + self.work.prefill_tokens;
        let per_token = self.admission.prefill_us_per_token();
        let expected_us = match self.first_token_us {
            None => tokens as f64 * per_token,
            Some(_) => 0.0,
        };
        MOST_SILENCE + Duration::from_micros((expected_us * SILENCE_FACTOR) as u64)
    }

    /// Notes that the first token came.
    pub fn note_first_token(&mut self) {
        if self.first_token_us.is_some() {
            return;
        }
        self.first_token_us = Some(self.started.elapsed().as_micros() as f64);
        self.admission.gate.lock().unwrap().end_prefill(self.work.prefill_tokens);
        self.admission.start_waiting();
    }

    /// Notes that the request was served, with the prompt tokens it computed and
    /// the tokens of its answer.
    pub fn note_served(&mut self, computed_tokens: u64, answer_tokens: u64) {
        self.note_first_token();
        let elapsed_us = self.started.elapsed().as_micros() as f64;
        let mut gate = self.admission.gate.lock().unwrap();
        if let Some(first_us) = self.first_token_us {
            let tokens = self.backlog_at_start + computed_tokens;
            gate.learned.note_prefill(tokens, first_us);
            let most = self.work.output_tokens;
            gate.learned.note_answer(answer_tokens, most, elapsed_us - first_us);
        }
        gate.learned.note_service(self.work.cost(), elapsed_us);
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
        self.admission.start_waiting();
    }
}

/// Keeps new work from starting until it is dropped.
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
        self.admission.start_waiting();
    }
}
