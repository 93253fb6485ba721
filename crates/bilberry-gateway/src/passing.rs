//! What plain answers and streams share on their way to the caller.

use bilberry_core::Clock;
use bilberry_node::OutBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;

use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::record::write_outcome;

/// How many pieces of a body may wait for a slow caller.
pub(crate) const PIECES_AHEAD: usize = 16;

/// How a body that is passed on piece by piece came to its end.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub(crate) enum Ended {
    Whole,
    Broken(&'static str),
    CallerLeft,
    Expired,
}

impl Ended {
    /// Returns the word for logs and metrics.
    pub(crate) fn outcome(self) -> &'static str {
        match self {
            Self::Whole => "served",
            Self::Broken(_) => "broken",
            Self::CallerLeft => "caller_left",
            Self::Expired => "cut_at_deadline",
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Notes how long the caller waited for the first byte.
    pub(crate) fn note_first_byte(&self, job: &mut Job) {
        let first_byte_ms = self.clock.now().ms_since(job.arrived_at);
        job.first_byte_ms = Some(first_byte_ms);
        self.metrics.first_byte_seconds.observe(first_byte_ms as f64 / 1_000.0);
    }

    /// Returns an upstream's answer as the caller gets it.
    pub(crate) fn caller_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: OutBody,
    ) -> Response<OutBody> {
        let mut answer = Response::new(body);
        *answer.status_mut() = status;
        *answer.headers_mut() = self.dialect.answer_headers(headers);
        answer
    }

    /// Counts and logs what became of a request.
    pub(crate) fn conclude(&self, job: &Job, outcome: &'static str) {
        self.metrics.count_request(outcome);
        if outcome == Ended::Whole.outcome() {
            self.record_served(job);
        }
        let plain_success = outcome == "served" && job.sends == 1 && job.is_in_time();
        if self.lines.spend(self.clock.now(), plain_success) {
            write_outcome(job, outcome, &self.clock);
        } else {
            self.metrics.dropped_lines.inc();
        }
    }
}
