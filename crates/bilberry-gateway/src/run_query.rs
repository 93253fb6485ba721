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
use tokio::time::sleep_until;
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

/// How long a stream may be silent after its upstream is reported lost.
///
/// This is ten times the usual gap between two events. A stream that is resumed then is
/// still within the gap that most routes allow.
const LOST_GRACE: Duration = Duration::from_millis(200);

/// The interval at which a silent run is checked for an alternative upstream.
const ALTERNATIVE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How long a sidecar may take to reply.
///
/// Callers give up a silent stream after seconds; a sidecar that takes longer than this
/// must not delay the resumption of their streams.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// The interval at which a slow run is queried again.
///
/// A run that is lost later must be resumed before its caller gives up.
pub(crate) const QUERY_INTERVAL: Duration = Duration::from_millis(250);

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

/// Why a run counts as lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Suspicion {
    /// It was silent for the longest time allowed, and its progress is unknown.
    Silent,
    /// It counts as lost according to its engine's sidecar.
    Lost(LossReason),
    /// Its upstream is reported as down, or another incarnation has replaced it.
    Down,
    /// Neither its upstream nor the sidecar there answers.
    HostSilent,
}

impl Suspicion {
    /// The name in the request log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Lost(reason) => reason.as_str(),
            Self::Down => "lost",
            Self::HostSilent => "host silent",
        }
    }

    /// The name in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Lost(reason) => reason.label(),
            Self::Down => "no_answer",
            Self::HostSilent => "host_silent",
        }
    }
}

/// A run whose progress its entry waits for.
#[derive(Debug)]
pub(crate) struct AwaitedRun<'a> {
    pub(crate) upstream: &'a Upstream,
    /// The silence after which a run of unknown progress counts as lost.
    pub(crate) max_silence: Duration,
    /// Whether sidecars observe the runs of the service.
    pub(crate) is_observed: bool,
    /// Set once the run was slow and was waited for.
    pub(crate) was_slow: &'a AtomicBool,
    /// How the request would be sent to another upstream.
    pub(crate) retry: RetryKind,
    /// The last event that the caller has, if the run has made any.
    pub(crate) last_event: Option<u64>,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits until a run counts as lost and another upstream could take the request.
    ///
    /// Returns at `not_before` at the earliest.
    pub(crate) async fn wait_until_suspected(
        &self,
        context: &RequestContext,
        run: &AwaitedRun<'_>,
        silent_since: Instant,
        not_before: Instant,
    ) -> Suspicion {
        let suspicion = tokio::select! {
            suspicion = self.wait_until_silent(context, run, silent_since, not_before) => {
                return suspicion;
            }
            _ = wait_until_down(run) => Suspicion::Down,
            _ = run.upstream.wait_until_host_silent() => Suspicion::HostSilent,
        };
        sleep_until(not_before).await;
        self.wait_for_alternative(context, run.retry).await;
        suspicion
    }

    /// Waits until another upstream could take the request.
    async fn wait_for_alternative(&self, context: &RequestContext, retry: RetryKind) {
        while !self.can_send_elsewhere(context, retry) {
            sleep(ALTERNATIVE_POLL_INTERVAL).await;
        }
    }

    /// Waits until a run counts as lost because it is silent.
    ///
    /// The sidecar is queried once the run has been silent for the longest time allowed,
    /// and at once if it reports that the engine has stalled. A run at an engine that has
    /// stalled already is queried about earlier.
    async fn wait_until_silent(
        &self,
        context: &RequestContext,
        run: &AwaitedRun<'_>,
        silent_since: Instant,
        not_before: Instant,
    ) -> Suspicion {
        let AwaitedRun { upstream, max_silence, is_observed, was_slow, retry, .. } = *run;
        let overdue_at = silent_since + max_silence;
        if !is_observed {
            sleep_until(overdue_at.max(not_before)).await;
            self.wait_for_alternative(context, retry).await;
            return Suspicion::Silent;
        }
        let mut stalls = upstream.subscribe_to_stalls();
        let first_query_at = match upstream.is_stalled() {
            true => silent_since + max_silence.min(PROBE_SILENCE),
            false => overdue_at,
        };
        let mut query_at = first_query_at.max(not_before);
        loop {
            tokio::select! {
                _ = sleep_until(query_at) => {}
                _ = stalls.wait_for_next() => sleep_until(not_before).await,
            }
            let silent = silent_since.elapsed();
            let verdict = self.judge_run(context, upstream, silent).await;
            let is_overdue = silent >= max_silence;
            let next_query_at = Instant::now() + QUERY_INTERVAL;
            match verdict {
                Some(SilenceVerdict::Lost(reason))
                    if (is_overdue || reason == LossReason::EngineStalled)
                        && self.can_send_elsewhere(context, retry) =>
                {
                    log_lost_run(&context.call.attempt, upstream, silent, reason);
                    return Suspicion::Lost(reason);
                }
                // The engine may go on, and no other could take the run.
                Some(SilenceVerdict::Lost(_)) => query_at = next_query_at,
                Some(SilenceVerdict::KeepWaiting) if is_overdue => {
                    if !was_slow.swap(true, Ordering::Relaxed) {
                        log_slow_run(&context.call.attempt, upstream, silent);
                    }
                    query_at = next_query_at;
                }
                None if is_overdue && self.can_send_elsewhere(context, retry) => {
                    return Suspicion::Silent;
                }
                None if is_overdue => query_at = next_query_at,
                _ if upstream.is_stalled() => query_at = next_query_at,
                _ => query_at = overdue_at,
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

/// Waits until the sidecar reports the upstream of a run as lost, and [`LOST_GRACE`] longer
/// if the caller has a part of the stream.
async fn wait_until_down(run: &AwaitedRun<'_>) {
    run.upstream.wait_until_lost().await;
    if run.retry == RetryKind::Resume {
        sleep(LOST_GRACE).await;
    }
}

/// As `wait_until_down`, for a stream that its caller receives.
///
/// Each event restarts this wait. An upstream that shuts down answers no health checks
/// but still finishes its runs.
pub(crate) async fn wait_until_lost(upstream: &Upstream) {
    upstream.wait_until_lost().await;
    sleep(LOST_GRACE).await;
}

/// Waits until another incarnation has replaced an upstream.
pub(crate) async fn wait_until_replaced(upstream: &Upstream) {
    upstream.wait_until_lost().await;
    while !upstream.has_ended() {
        sleep(QUERY_INTERVAL).await;
    }
}
