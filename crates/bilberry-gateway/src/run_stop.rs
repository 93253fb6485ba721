//! Ensures that a run has ended before another engine resumes it.
//!
//! This applies to at-most-once streams that stop sending events or are cut off. The
//! engine may have exited, be partitioned or hang, or its host may be suspended, and the
//! entry can't tell which side closed a connection. Closing the connection does not end
//! the run at an engine that does not check it. The entry therefore requests a stop
//! from the engine, until the engine confirms it or is entirely unreachable.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::ConnectAttempts;
use bilberry_core::ConnectOutcome;
use bilberry_core::Name;
use bilberry_core::RunEndReason;
use bilberry_node::RequestBody;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Connection;
use crate::Dialect;
use crate::Gateway;
use crate::KvCacheCopy;
use crate::StopCall;
use crate::StopReply;
use crate::Upstream;
use crate::connections::ConnectError;
use crate::connections::connect;

/// The initial timeout for the response to a stop call.
///
/// The engine responds once the run's KV cache is transferred, which takes some tens of
/// milliseconds.
pub(crate) const STOP_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The upper bound of the growing response timeout.
const MAX_STOP_REPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// The initial delay between two stop calls.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The upper bound of the growing delay.
const MAX_STOP_RETRY_DELAY: Duration = Duration::from_millis(400);

/// The largest response body to a stop call that is read.
const MAX_STOP_REPLY_BYTES: usize = 64 * 1_024;

/// How a run ended at the engine that started it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FirstRunEnd {
    /// It has ended without a transfer of its KV cache.
    Ended(RunEndReason),
    /// It was stopped, and the successor holds this copy of its KV cache.
    Moved(KvCacheCopy),
    /// It was stopped, and its engine alone holds its KV cache.
    Kept(KvCacheCopy),
}

/// An at-most-once run that another engine can take over.
#[derive(Debug)]
pub(crate) struct RunTakeover {
    pub(crate) attempt: Name,
    /// The engine that started it.
    pub(crate) upstream: Arc<Upstream>,
    /// The engine that holds a copy of its KV cache and takes it over.
    pub(crate) successor: Arc<Upstream>,
    /// Whether the service's engines support stop calls.
    pub(crate) can_be_stopped: bool,
    /// Whether the connection that carries its stream is open.
    pub(crate) stream_is_open: AtomicBool,
    /// Whether a stop was requested; the engine may end the run at any time from then on.
    pub(crate) stop_requested: AtomicBool,
}

impl RunTakeover {
    /// Reports whether a stop was requested from its engine.
    pub(crate) fn is_stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }

    /// Records that the connection of its stream was closed by either side.
    pub(crate) fn mark_stream_closed(&self) {
        self.stream_is_open.store(false, Ordering::Relaxed);
    }
}

/// The exponential backoff between the calls that request a stop from an engine.
///
/// Timeout and delay double after each failed call. The calls then neither fill the
/// accept queue of a suspended engine nor load one that does not report the state of the
/// run.
struct Backoff {
    reply_timeout: Duration,
    delay: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { reply_timeout: STOP_REPLY_TIMEOUT, delay: STOP_RETRY_DELAY }
    }

    fn increase(&mut self) {
        self.reply_timeout = (self.reply_timeout * 2).min(MAX_STOP_REPLY_TIMEOUT);
        self.delay = (self.delay * 2).min(MAX_STOP_RETRY_DELAY);
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits, without a time limit, until a run has ended at the engine that started it.
    pub(crate) async fn ensure_run_ended(&self, run: &RunTakeover) -> FirstRunEnd {
        let began_at = self.clock.now();
        let mut attempts = ConnectAttempts::default();
        let mut backoff = Backoff::new();
        loop {
            let ended = self.try_end_run(run, &mut attempts, &backoff).await;
            if let Some(first_run_end) = ended {
                let took_ms = self.clock.now().ms_since(began_at);
                log_run_end(run, &first_run_end, took_ms);
                return first_run_end;
            }
            run.upstream.record_failure(self.clock.now());
            sleep(backoff.delay).await;
            if run.is_stop_requested() {
                backoff.increase();
            }
        }
    }

    async fn try_end_run(
        &self,
        run: &RunTakeover,
        attempts: &mut ConnectAttempts,
        backoff: &Backoff,
    ) -> Option<FirstRunEnd> {
        if run.upstream.has_ended() {
            return Some(FirstRunEnd::Ended(RunEndReason::Restarted));
        }
        let connected = connect(run.upstream.address).await;
        let outcome = match &connected {
            Ok(_) => ConnectOutcome::Accepted,
            Err(ConnectError::Refused) => ConnectOutcome::Refused,
            Err(ConnectError::Unreachable(_)) => ConnectOutcome::TimedOut,
            Err(ConnectError::Failed(_)) => return None,
        };
        let sidecar = run.upstream.sidecar_status(self.clock.now());
        let stream_is_open = run.stream_is_open.load(Ordering::Relaxed);
        match (attempts.record(outcome, sidecar, stream_is_open), connected) {
            (Some(end), _) => Some(FirstRunEnd::Ended(end)),
            (None, Ok(connection)) if run.can_be_stopped => {
                let stopping = self.stop_run(run, connection);
                timeout(backoff.reply_timeout, stopping).await.ok()?
            }
            (None, _) => None,
        }
    }

    /// Requests the stop of a run from its engine; `None` if the engine does not report
    /// the state of the run.
    async fn stop_run(
        &self,
        run: &RunTakeover,
        mut connection: Connection,
    ) -> Option<FirstRunEnd> {
        let upstream = run.upstream.address;
        let attempt = run.attempt.clone();
        let stop = StopCall { upstream, attempt, successor: run.successor.address };
        let was_requested = run.stop_requested.swap(true, Ordering::Relaxed);
        let call = self.dialect.stop_call(&stop).map(RequestBody::from);
        let response = connection.send(call).await.ok()?;
        let status = response.status();
        self.record_control_status(&run.upstream, status, response.headers());
        let body = Limited::new(response.into_body(), MAX_STOP_REPLY_BYTES).collect();
        let body = body.await.ok()?.to_bytes();
        match self.dialect.stop_reply(status, &body) {
            StopReply::Transferred(name) => {
                Some(FirstRunEnd::Moved(KvCacheCopy { named_by: upstream, name }))
            }
            StopReply::Stopped(name) => {
                Some(FirstRunEnd::Kept(KvCacheCopy { named_by: upstream, name }))
            }
            // An engine does not list a run that it has preempted and will continue.
            StopReply::NoSuchRun if run.stream_is_open.load(Ordering::Relaxed) => {
                run.stop_requested.store(was_requested, Ordering::Relaxed);
                None
            }
            StopReply::NoSuchRun => Some(FirstRunEnd::Ended(RunEndReason::NoSuchRun)),
            StopReply::Unknown => None,
        }
    }
}

fn log_run_end(run: &RunTakeover, first_run_end: &FirstRunEnd, took_ms: u64) {
    let end = match first_run_end {
        FirstRunEnd::Ended(end) => *end,
        FirstRunEnd::Moved(_) | FirstRunEnd::Kept(_) => RunEndReason::Stopped,
    };
    log::info!(
        target: "stream",
        request = run.attempt.as_str(),
        upstream = run.upstream.id.as_str(),
        end = end.as_str(),
        took_ms;
        "run ended at its first upstream; another may resume it"
    );
}
