//! Making sure that a run is over before another engine goes on with it.
//!
//! The load pattern: a stream that runs at most once falls silent or breaks off. Its
//! engine may have ended, be cut off, hang, or stand still with its host, and who closed a
//! connection can't be told. Closing it ends nothing at an engine that does not look; so
//! the engine itself is asked to stop the run, until it says so or can't be reached at all.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::Reach;
use bilberry_core::Reaching;
use bilberry_core::RunEnd;
use http_body_util::BodyExt;
use http_body_util::Limited;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Connection;
use crate::Dialect;
use crate::Gateway;
use crate::MemoryCopy;
use crate::StopCall;
use crate::StopReply;
use crate::Upstream;
use crate::connections::ConnectError;
use crate::connections::connect;

/// How long an answer to the call that stops a run is waited for.
///
/// It comes once the run's memory is moved, some tens of milliseconds.
pub(crate) const STOP_ANSWER: Duration = Duration::from_secs(1);

/// The longest that an answer to such a call is waited for.
const MOST_STOP_ANSWER: Duration = Duration::from_secs(8);

/// How long to wait between two calls.
const PAUSE: Duration = Duration::from_millis(50);

/// The longest wait between two calls.
const MOST_PAUSE: Duration = Duration::from_millis(400);

/// The longest answer to such a call that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// How a run came to its end where it began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FirstRun {
    /// It is over there.
    Over(RunEnd),
    /// It was stopped, and the next engine holds its memory under this name.
    Moved(MemoryCopy),
}

/// A run that another engine is to go on with.
#[derive(Debug)]
pub(crate) struct DoubtfulRun {
    pub(crate) attempt: Name,
    /// The engine that began it.
    pub(crate) upstream: Arc<Upstream>,
    /// The engine that keeps a copy of its memory.
    pub(crate) next: Arc<Upstream>,
    /// Whether engines stop runs when asked to.
    pub(crate) can_be_stopped: bool,
    /// Whether the connection of its stream is open.
    pub(crate) stream_is_open: AtomicBool,
    /// Whether the engine was asked to stop it, and may do so at any time since.
    pub(crate) asked_to_stop: AtomicBool,
}

impl DoubtfulRun {
    /// Reports whether its engine may stop it, as it was asked to.
    pub(crate) fn was_asked_to_stop(&self) -> bool {
        self.asked_to_stop.load(Ordering::Relaxed)
    }

    /// Notes that the connection of its stream is closed, by whomever.
    pub(crate) fn note_stream_closed(&self) {
        self.stream_is_open.store(false, Ordering::Relaxed);
    }
}

/// The growing waits between calls that ask an engine to stop a run.
///
/// Each wait is twice as long after a failed call, so that the calls to an engine that
/// stands still do not fill its queue of connections, nor burden one that does not say
/// what became of the run.
struct Backoff {
    answer_within: Duration,
    pause: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { answer_within: STOP_ANSWER, pause: PAUSE }
    }

    fn after_failed_attempt(&mut self) {
        self.answer_within = (self.answer_within * 2).min(MOST_STOP_ANSWER);
        self.pause = (self.pause * 2).min(MOST_PAUSE);
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Returns once a run is over where it began, however long that takes.
    pub(crate) async fn end_run(&self, run: &DoubtfulRun) -> FirstRun {
        let began_at = self.clock.now();
        let mut reaching = Reaching::default();
        let mut backoff = Backoff::new();
        loop {
            let ended = self.try_to_end(run, &mut reaching, &backoff).await;
            if let Some(first_run) = ended {
                let took_ms = self.clock.now().ms_since(began_at);
                log_end(run, &first_run, took_ms);
                return first_run;
            }
            run.upstream.record_failure(self.clock.now());
            sleep(backoff.pause).await;
            if run.was_asked_to_stop() {
                backoff.after_failed_attempt();
            }
        }
    }

    async fn try_to_end(
        &self,
        run: &DoubtfulRun,
        reaching: &mut Reaching,
        backoff: &Backoff,
    ) -> Option<FirstRun> {
        if run.upstream.has_ended() {
            return Some(FirstRun::Over(RunEnd::StartedAnew));
        }
        let connected = connect(run.upstream.address).await;
        let reach = match &connected {
            Ok(_) => Reach::Taken,
            Err(ConnectError::Refused) => Reach::Refused,
            Err(ConnectError::Silent(_)) => Reach::Silent,
            Err(ConnectError::Failed(_)) => return None,
        };
        let sidecar = run.upstream.sidecar_status(self.clock.now());
        let stream_is_open = run.stream_is_open.load(Ordering::Relaxed);
        match (reaching.note(reach, sidecar, stream_is_open), connected) {
            (Some(end), _) => Some(FirstRun::Over(end)),
            (None, Ok(connection)) if run.can_be_stopped => {
                let stopping = self.stop_run(run, connection);
                timeout(backoff.answer_within, stopping).await.ok()?
            }
            (None, _) => None,
        }
    }

    /// Has an engine stop a run; `None` if it does not say what became of it.
    async fn stop_run(
        &self,
        run: &DoubtfulRun,
        mut connection: Connection,
    ) -> Option<FirstRun> {
        let upstream = run.upstream.address;
        let attempt = run.attempt.clone();
        let stop = StopCall { upstream, attempt, next: run.next.address };
        run.asked_to_stop.store(true, Ordering::Relaxed);
        let answer = connection.send(self.dialect.stop_call(&stop)).await.ok()?;
        let status = answer.status();
        let told = self.dialect.server_status(status, answer.headers());
        run.upstream.record_status(&told, self.clock.now());
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
        let body = body.await.ok()?.to_bytes();
        match self.dialect.stop_reply(status, &body) {
            StopReply::Moved(name) => {
                Some(FirstRun::Moved(MemoryCopy { named_by: upstream, name }))
            }
            StopReply::Stopped => Some(FirstRun::Over(RunEnd::Stopped)),
            StopReply::NoSuchRun => Some(FirstRun::Over(RunEnd::Unknown)),
            StopReply::Unclear => None,
        }
    }
}

fn log_end(run: &DoubtfulRun, first_run: &FirstRun, took_ms: u64) {
    let end = match first_run {
        FirstRun::Over(end) => *end,
        FirstRun::Moved(_) => RunEnd::Stopped,
    };
    log::info!(
        target: "stream",
        request = run.attempt.as_str(),
        upstream = run.upstream.id.as_str(),
        end = end.as_str(),
        took_ms;
        "over there, may go on elsewhere"
    );
}
