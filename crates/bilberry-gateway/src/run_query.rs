//! Queries to sidecars about the progress of silent runs.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::LossReason;
use bilberry_core::Name;
use bilberry_core::RetryKind;
use bilberry_core::RunStatus;
use bilberry_core::STALL_MS;
use bilberry_core::SilenceVerdict;
use bilberry_core::StreamTargets;
use bilberry_core::judge_silence;
use bilberry_wire::Body;
use bilberry_wire::Frame;
use bilberry_wire::RunQuery;
use bilberry_wire::RunReply;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::Upstream;

/// The capacity of the queue of run queries to one sidecar.
///
/// When an engine stalls, all its streams are queried at once. Streams whose query does
/// not fit are decided by their timeouts.
pub(crate) const RUN_QUERY_QUEUE_CAPACITY: usize = 256;

/// How long a sidecar may take to reply.
///
/// Callers give up a silent stream after seconds; a sidecar that takes longer than this
/// must not delay the resumption of their streams.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// The interval at which a slow run is queried again.
///
/// A run that is lost later must be resumed before its caller gives up.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// The silence after which a run at a stalled engine is queried about.
///
/// Such a run is a probe; its caller must be served by another engine before it gives up.
const PROBE_SILENCE: Duration = Duration::from_millis(STALL_MS);

/// The detail in the request log of a request whose slow run was waited for.
pub(crate) const SLOW: &str = "slow, waited on";

/// A query about a run and the channel for its reply.
#[derive(Debug)]
pub(crate) struct RunQuestion {
    pub(crate) query: RunQuery,
    pub(crate) reply: oneshot::Sender<RunReply>,
}

/// The queries that a sidecar has not answered yet, by call id.
#[derive(Debug, Default)]
pub(crate) struct PendingRunQueries {
    last_call: u64,
    replies: HashMap<u64, oneshot::Sender<RunReply>>,
}

impl PendingRunQueries {
    /// Registers a query and returns the frame that sends it.
    pub(crate) fn register(&mut self, question: RunQuestion) -> Frame {
        // Queries whose senders have given up are dropped.
        self.replies.retain(|_, reply| !reply.is_closed());
        self.last_call += 1;
        self.replies.insert(self.last_call, question.reply);
        let body = Some(Body::RunQuery(question.query));
        Frame { call: self.last_call, body, ..Frame::default() }
    }

    /// Passes a reply to the sender of its query; a late one is ignored.
    pub(crate) fn resolve(&mut self, call: u64, reply: RunReply) {
        if let Some(waiting) = self.replies.remove(&call) {
            let _ = waiting.send(reply);
        }
    }
}

/// Why a silent run is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GivenUp {
    /// It was silent for the longest time allowed, and its progress is unknown.
    TimedOut,
    /// It counts as lost according to its engine's sidecar.
    Lost(LossReason),
}

/// A run whose progress its entry waits for.
#[derive(Debug)]
pub(crate) struct AwaitedRun<'a> {
    pub(crate) upstream: &'a Upstream,
    /// The silence after which a run of unknown progress is given up.
    pub(crate) max_silence: Duration,
    /// Whether sidecars observe the runs of the service.
    pub(crate) is_observed: bool,
    /// Set once the run was slow and was waited for.
    pub(crate) was_slow: &'a AtomicBool,
    /// How the request would be sent to another upstream.
    pub(crate) retry: RetryKind,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits until a silent run is given up.
    ///
    /// The sidecar is queried once the run has been silent for the longest time allowed,
    /// and at once if it reports that the engine has stalled. A run at an engine that has
    /// stalled already is queried about earlier.
    pub(crate) async fn wait_until_given_up(
        &self,
        context: &RequestContext,
        run: AwaitedRun<'_>,
    ) -> GivenUp {
        let AwaitedRun { upstream, max_silence, is_observed, was_slow, retry } = run;
        if !is_observed {
            sleep(max_silence).await;
            return GivenUp::TimedOut;
        }
        let silent_since = Instant::now();
        let mut stalls = upstream.subscribe_to_stalls();
        let mut next_query_in = match upstream.is_stalled() {
            true => max_silence.min(PROBE_SILENCE),
            false => max_silence,
        };
        loop {
            tokio::select! {
                _ = sleep(next_query_in) => {}
                _ = stalls.wait_for_next() => {}
            }
            let silent = silent_since.elapsed();
            let verdict = self.judge_run(context, upstream, silent).await;
            let is_overdue = silent >= max_silence;
            match verdict {
                Some(SilenceVerdict::Lost(reason))
                    if (is_overdue || reason == LossReason::EngineStalled)
                        && self.can_send_elsewhere(context, retry) =>
                {
                    log_lost_run(&context.call.attempt, upstream, silent, reason);
                    return GivenUp::Lost(reason);
                }
                // The engine may go on, and no other could take the run.
                Some(SilenceVerdict::Lost(_)) => next_query_in = QUERY_INTERVAL,
                Some(SilenceVerdict::KeepWaiting) if is_overdue => {
                    if !was_slow.swap(true, Ordering::Relaxed) {
                        log_slow_run(&context.call.attempt, upstream, silent);
                    }
                    next_query_in = QUERY_INTERVAL;
                }
                None if is_overdue => return GivenUp::TimedOut,
                _ if upstream.is_stalled() => next_query_in = QUERY_INTERVAL,
                _ => next_query_in = max_silence.saturating_sub(silent),
            }
        }
    }

    /// Judges a silent run; `None` if its progress is unknown.
    async fn judge_run(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        silent: Duration,
    ) -> Option<SilenceVerdict> {
        let status = query_run(upstream, &context.call.attempt).await;
        let targets = StreamTargets {
            target_ms: context.route.target_ms,
            gap_ms: context.route.gap_ms,
        };
        let verdict = judge_silence(status, silent.as_millis() as u64, targets);
        self.metrics.count_run_query(match verdict {
            Some(SilenceVerdict::KeepWaiting) => "slow",
            Some(SilenceVerdict::Lost(reason)) => reason.label(),
            None => "unknown",
        });
        verdict
    }
}

fn log_lost_run(
    attempt: &Name,
    upstream: &Upstream,
    silent: Duration,
    reason: LossReason,
) {
    log::warn!(
        target: "stream",
        request = attempt.as_str(),
        upstream = upstream.id.as_str(),
        silent_ms = silent.as_millis() as u64,
        reason = reason.label();
        "silent run is lost"
    );
}

/// Queries the sidecar of an upstream about a run; `None` if its progress is unknown.
async fn query_run(upstream: &Upstream, attempt: &Name) -> Option<RunStatus> {
    let (reply, replied) = oneshot::channel();
    let query = RunQuery { attempt: attempt.to_string() };
    if !upstream.send_run_query(RunQuestion { query, reply }) {
        return None;
    }
    let reply = timeout(REPLY_TIMEOUT, replied).await.ok()?.ok()?;
    reply.is_known.then_some(RunStatus {
        run_idle_ms: reply.run_idle_ms,
        engine_idle_ms: reply.engine_idle_ms,
        queued: reply.queued,
    })
}

fn log_slow_run(attempt: &Name, upstream: &Upstream, silent: Duration) {
    log::info!(
        target: "stream",
        request = attempt.as_str(),
        upstream = upstream.id.as_str(),
        silent_ms = silent.as_millis() as u64;
        "stream is silent; its engine is slow and is waited for"
    );
}
