//! Passing a stream on to the caller, and resuming it where that is allowed.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::EventSplitter;
use bilberry_core::Repeat;
use bilberry_node::BodyPiece;
use bilberry_node::OutBody;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::Fuse;
use futures_util::future::FusedFuture;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Upstream;
use crate::forward::Answer;
use crate::passing::Ended;
use crate::passing::PIECES_AHEAD;
use crate::stopping::DoubtfulRun;
use crate::stopping::FirstRun;
use crate::stopping::STOP_ANSWER;

/// How many times its longest pause a stream may be silent before it is resumed.
const SILENT_PAUSES: u64 = 4;

/// How long an upstream that is said to be gone may still be silent.
///
/// Ten times the usual time between two events; a stream that is gone on with then
/// is still within the pause that most routes allow.
const LOST_SILENCE: Duration = Duration::from_millis(200);

/// The word for a stream that fell silent and whose run is over where it began.
const SILENT: &str = "silent, over there";

/// The word for a stream that fell silent and whose run may go on where it began.
const NO_EVENT: &str = "silent";

/// The silence after which a stream without a stated pause is resumed.
const DEFAULT_SILENCE_MS: u64 = 1_000;

/// Returns once the sidecar says that the upstream is gone and nothing has come from
/// it for a while since.
///
/// An upstream that leaves answers no more questions and still finishes its runs.
/// Streams that may run once were cut on the sidecar's word alone, and lost.
async fn lost_and_silent(upstream: &Upstream) {
    upstream.lost().await;
    sleep(LOST_SILENCE).await;
}

/// How an upstream's part of a stream came to its end.
enum Passed {
    /// The stream is over for its caller.
    Done(Ended),
    /// Another upstream may go on with it.
    ///
    /// Where it may be run once, `first_run` says how the run ended, if that is known.
    Broken { reason: &'static str, first_run: Option<FirstRun> },
}

impl Passed {
    /// The upstream may still work on it.
    fn unclear(reason: &'static str) -> Self {
        Self::Broken { reason, first_run: None }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Passes a stream on as it comes, and resumes it where that is allowed.
    pub(crate) fn relay(
        self: Arc<Self>,
        mut job: Job,
        answer: Answer,
    ) -> Response<OutBody> {
        let (pieces, body) = mpsc::channel(PIECES_AHEAD);
        let head = self.caller_answer(
            answer.response.status(),
            answer.response.headers(),
            OutBody::Stream(body),
        );
        tokio::spawn(async move {
            let ended = self.relay_all(&mut job, answer, &pieces).await;
            if ended == Ended::CallerLeft {
                self.record_abandoned_run(&job);
            }
            self.conclude(&job, ended.outcome());
            if ended == Ended::Whole {
                self.note_pace(&job);
                // Without this last piece the caller's connection is cut, which
                // is how it learns that its stream is not whole.
                let _ = pieces.send(BodyPiece::End).await;
            }
        });
        head
    }

    async fn relay_all(
        self: &Arc<Self>,
        job: &mut Job,
        answer: Answer,
        pieces: &mpsc::Sender<BodyPiece>,
    ) -> Ended {
        let mut splitter = EventSplitter::new();
        let mut answer = answer;
        loop {
            let passed = self.relay_one(job, &mut answer, &mut splitter, pieces).await;
            let (reason, first_run) = match passed {
                Passed::Broken { reason, first_run } => (reason, first_run),
                Passed::Done(Ended::Whole) => {
                    self.keep_connection(answer);
                    return Ended::Whole;
                }
                Passed::Done(ended) => return ended,
            };
            let upstream = answer.seat.upstream.clone();
            upstream.record_failure(self.clock.now());
            if reason != SILENT && reason != NO_EVENT {
                self.record_interrupted_run(job, &upstream);
            }
            job.runs += 1;
            job.detail = reason.to_string();
            // Closed before another upstream goes on: a run that can be repeated ends
            // there. It proves nothing, as one that stands still does not look.
            drop(answer);
            splitter.drop_partial();
            let resumed = tokio::select! {
                resumed = self.resume(job, &splitter, &upstream, first_run) => resumed,
                _ = pieces.closed() => return Ended::CallerLeft,
            };
            match resumed {
                Some(next) => answer = next,
                None => return Ended::Broken(reason),
            }
        }
    }

    /// Has another upstream continue a stream after its last whole event.
    async fn resume(
        self: &Arc<Self>,
        job: &mut Job,
        splitter: &EventSplitter,
        upstream: &Arc<Upstream>,
        first_run: Option<FirstRun>,
    ) -> Option<Answer> {
        if job.route.kind == CallKind::OnceStream {
            let last_event = splitter.last_id();
            return self.resume_from_backup(job, last_event, upstream, first_run).await;
        }
        if !self.may_run_after(job, job.runs)
            || !self.may_repeat(&job.pool.name, Repeat::GoOn)
        {
            return None;
        }
        job.call.last_event = splitter.last_id().or(job.call.last_event);
        let answer = self.forward(job).await.ok()?;
        if answer.response.status() != StatusCode::OK {
            return None;
        }
        self.metrics.resumed.inc();
        Some(answer)
    }

    async fn relay_one(
        &self,
        job: &mut Job,
        answer: &mut Answer,
        splitter: &mut EventSplitter,
        pieces: &mpsc::Sender<BodyPiece>,
    ) -> Passed {
        let silence_ms =
            job.route.gap_ms.map_or(DEFAULT_SILENCE_MS, |g| g * SILENT_PAUSES);
        let silence = Duration::from_millis(silence_ms.max(job.route.target_ms * 2));
        let upstream = answer.seat.upstream.clone();
        let is_framed = is_framed(answer.response.headers());
        let doubtful_run = self.doubtful_run(job, &upstream);
        let run = doubtful_run.as_ref();
        let ending = Fuse::terminated();
        tokio::pin!(ending);
        let mut begun = false;
        loop {
            let may_resume = self.may_run_after(job, job.runs + 1);
            let left = job.deadline.left(self.clock.now());
            let frame = tokio::select! {
                frame = answer.response.body_mut().frame() => frame,
                _ = pieces.closed() => return Passed::Done(Ended::CallerLeft),
                _ = sleep(left) => return Passed::Done(Ended::Expired),
                _ = sleep(silence), if may_resume => return Passed::unclear(NO_EVENT),
                _ = lost_and_silent(&upstream), if may_resume => {
                    return Passed::unclear("lost");
                }
                run = self.is_doubtful(run, silence), if ending.is_terminated() => {
                    ending.set(self.end_run(run).fuse());
                    continue;
                }
                first_run = &mut ending, if !ending.is_terminated() => {
                    let first_run = Some(first_run);
                    return Passed::Broken { reason: SILENT, first_run };
                }
            };
            let was_asked = run.is_some_and(DoubtfulRun::was_asked_to_stop);
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                end => {
                    let passed = end_of_stream(end, splitter, is_framed || !was_asked);
                    return wait_for_stop(passed, run, ending).await;
                }
            };
            if !was_asked {
                ending.set(Fuse::terminated());
            }
            if job.first_byte_ms.is_none() {
                self.note_first_byte(job);
            }
            if !std::mem::replace(&mut begun, true) {
                self.note_prompt_read(job, &mut answer.seat);
            }
            let Some(events) = splitter.push(&bytes) else { continue };
            if pieces.send(BodyPiece::Data(events)).await.is_err() {
                return Passed::Done(Ended::CallerLeft);
            }
        }
    }

    /// Returns a run that may not be repeated once its engine is to be asked to stop it.
    ///
    /// Never if it can't be gone on with. An engine that its sidecar sees alive is slow;
    /// one whose sidecar is silent as well, or calls it down, is doubtful and no more:
    /// its stream is still listened to.
    async fn is_doubtful<'r>(
        &self,
        run: Option<&'r DoubtfulRun>,
        silence: Duration,
    ) -> &'r DoubtfulRun {
        let Some(run) = run else { return std::future::pending().await };
        let is_followed = || run.upstream.is_followed(self.clock.now());
        loop {
            tokio::select! {
                _ = sleep(silence) => match is_followed() {
                    true => continue,
                    false => break,
                },
                _ = lost_and_silent(&run.upstream) => break,
            }
        }
        log::warn!(
            target: "stream",
            request = run.attempt.as_str(),
            upstream = run.upstream.id.as_str(),
            sidecar_heard = is_followed();
            "silent, to be stopped"
        );
        run.upstream.record_failure(self.clock.now());
        run
    }

    /// Keeps the connection of a whole answer for later requests, unless its upstream
    /// has started again: what is known of the new start must not come from the old.
    pub(crate) fn keep_connection(&self, answer: Answer) {
        let Answer { response, connection, seat } = answer;
        if !seat.upstream.has_ended() {
            self.connections.keep(connection, response.headers());
        }
    }

    fn note_pace(&self, job: &Job) {
        let Some(first_byte_ms) = job.first_byte_ms else { return };
        let took_ms = self.clock.now().ms_since(job.arrived_at) - first_byte_ms;
        self.pace.note_answer(&job.pool.name, took_ms, job.call.output_tokens);
    }
}

/// Reports whether the end of a body shows by itself, so that it is not taken for one
/// whose connection was closed.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH)
}

/// Returns how an upstream's part of a stream ended; `is_sure` if a body that ends
/// between two events is whole.
fn end_of_stream(
    end: Option<Result<Frame<Bytes>, hyper::Error>>,
    splitter: &EventSplitter,
    is_sure: bool,
) -> Passed {
    match end {
        None if !splitter.is_at_boundary() => Passed::unclear("ended within an event"),
        None if is_sure => Passed::Done(Ended::Whole),
        None => Passed::unclear("ended as it was to be stopped"),
        Some(_) => Passed::unclear("broke off"),
    }
}

/// Waits for what becomes of a run that is being stopped and whose stream broke off.
///
/// A run that stops closes its stream first; its memory is moved after that.
async fn wait_for_stop(
    passed: Passed,
    run: Option<&DoubtfulRun>,
    ending: Pin<&mut Fuse<impl Future<Output = FirstRun>>>,
) -> Passed {
    match passed {
        Passed::Broken { reason, .. } if !ending.is_terminated() => {
            run.inspect(|run| run.note_stream_closed());
            let first_run = timeout(STOP_ANSWER, ending).await.ok();
            Passed::Broken { reason, first_run }
        }
        passed => passed,
    }
}

/// Reports whether an answer is an event stream.
pub(crate) fn is_stream(job: &Job, response: &Response<Incoming>) -> bool {
    job.route.kind.is_stream() && response.status().is_success()
}
