//! Collection of probe answers from upstreams.
//!
//! On a busy host, the entry may get no processor time for tens of milliseconds.
//! When it resumes, the wait has expired, but answers are still queued locally or
//! probes have not been sent yet. A second wait makes up for the lost time, so that
//! upstreams are not taken to be unresponsive because the entry itself was stalled.
//! A sidecar of a busy host is late as well. Where no other upstream is left to ask, a first
//! answer is waited for longer.

use std::time::Duration;

use bilberry_core::Chain;
use bilberry_core::late_probe_wait_ms;
use futures_util::Stream;
use futures_util::StreamExt;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::ProbeQuery;
use crate::ProbeResult;

/// The maximum extension of a wait for late answers.
const MAX_EXTENSION: Duration = Duration::from_millis(50);

/// The maximum overrun attributed to timers (resolution: 1 ms) rather than to a stall.
const TIMER_TOLERANCE: Duration = Duration::from_millis(4);

/// Collects answers until all have arrived or the wait has expired.
///
/// If the wait overruns, there is a second and last one, as long as the overrun but
/// at most `question.wait`. Each is extended for late answers. If there is no answer by
/// then, a first one is waited for, for `question.first_wait`.
pub async fn collect_answers<S>(answers: S, question: &ProbeQuery<'_>) -> Vec<ProbeResult>
where
    S: Stream<Item = Option<ProbeResult>> + Unpin,
{
    let mut collector = AnswerCollector { pending: answers, answers: Vec::new() };
    let until = Instant::now() + question.wait;
    let overrun = collector.collect_until(until, question).await;
    if overrun > TIMER_TOLERANCE {
        let until = Instant::now() + overrun.min(question.wait);
        collector.collect_until(until, question).await;
    }
    collector.wait_for_first(Instant::now() + question.first_wait).await;
    // Ties between scores are broken by position, which must not depend on arrival order.
    collector.answers.sort_by_key(|answer| answer.target);
    collector.answers
}

/// The answers received so far and the stream of outstanding ones.
struct AnswerCollector<S> {
    pending: S,
    answers: Vec<ProbeResult>,
}

impl<S: Stream<Item = Option<ProbeResult>> + Unpin> AnswerCollector<S> {
    /// Collects answers until `until`, then late ones for up to `patience`, and returns
    /// the overrun of the wait.
    ///
    /// The overrun is measured on every exit: after a stall, the wait may end with an
    /// answer and not with a timeout.
    async fn collect_until(
        &mut self,
        until: Instant,
        question: &ProbeQuery<'_>,
    ) -> Duration {
        while self.receive_next(until).await {}
        let overrun = until.elapsed();
        // Any answer is better than an estimate, and waiting for a slow holder, for
        // example while its link is being opened after a restart, costs less than
        // recomputing a long prompt.
        let extension_start = Instant::now();
        loop {
            let extension_end = until + patience(&self.answers, question);
            if !self.receive_next(extension_end).await {
                // Time before `extension_start` is already part of `overrun`.
                return overrun + extension_end.max(extension_start).elapsed();
            }
        }
    }

    /// Waits until there is an answer, or none is outstanding, or `until`.
    async fn wait_for_first(&mut self, until: Instant) {
        while self.answers.is_empty() && self.receive_next(until).await {}
    }

    /// Receives the next answer; returns false if none is outstanding or none arrives by
    /// `until`. An answer that is already available is received even after `until`.
    async fn receive_next(&mut self, until: Instant) -> bool {
        match timeout_at(until, self.pending.next()).await {
            Ok(Some(answer)) => {
                self.answers.extend(answer);
                true
            }
            Ok(None) | Err(_) => false,
        }
    }
}

/// Returns how long a wait is extended for late answers.
fn patience(answers: &[ProbeResult], question: &ProbeQuery<'_>) -> Duration {
    let blocks = question.chains.values().map(Chain::len).max().unwrap_or(0) as u64;
    let views: Vec<_> = answers.iter().map(|answer| answer.view.clone()).collect();
    let max_ms = MAX_EXTENSION.as_secs_f64() * 1e3;
    Duration::from_secs_f64(late_probe_wait_ms(&views, blocks, max_ms) / 1e3)
}
