//! Passing a stream on to the caller, and resuming it where that is allowed.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::EventSplitter;
use bilberry_core::Repeat;
use bilberry_node::BodyPiece;
use bilberry_node::OutBody;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Upstream;
use crate::connections::reach;
use crate::forward::Answer;
use crate::passing::Ended;
use crate::passing::PIECES_AHEAD;

/// How many times its longest pause a stream may be silent before it is resumed.
const SILENT_PAUSES: u64 = 4;

/// How long an upstream that is said to be gone may still be silent.
///
/// Ten times the usual time between two events; a stream that is gone on with then
/// is still within the pause that most routes allow.
const LOST_SILENCE: Duration = Duration::from_millis(200);

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
        &self,
        job: &mut Job,
        answer: Answer,
        pieces: &mpsc::Sender<BodyPiece>,
    ) -> Ended {
        let mut splitter = EventSplitter::new();
        let mut answer = answer;
        loop {
            let ended = self.relay_one(job, &mut answer, &mut splitter, pieces).await;
            let reason = match ended {
                Ended::Broken(reason) => reason,
                Ended::Whole => {
                    self.keep_connection(answer);
                    return Ended::Whole;
                }
                _ => return ended,
            };
            answer.seat.upstream.note_failure(self.clock.now());
            job.runs += 1;
            job.detail = reason.to_string();
            // The connection is closed before another upstream goes on, so that
            // two never work on one request.
            drop(answer);
            splitter.drop_partial();
            match self.resume(job, &splitter).await {
                Some(next) => answer = next,
                None => return Ended::Broken(reason),
            }
        }
    }

    /// Has another upstream continue a stream after its last whole event.
    async fn resume(&self, job: &mut Job, splitter: &EventSplitter) -> Option<Answer> {
        if job.route.kind == CallKind::OnceStream {
            return self.resume_from_backup(job, splitter.last_id()).await;
        }
        if !job.may_run_after(job.runs) || !self.may_repeat(&job.pool.name, Repeat::GoOn)
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
    ) -> Ended {
        let silence_ms =
            job.route.gap_ms.map_or(DEFAULT_SILENCE_MS, |g| g * SILENT_PAUSES);
        let silence = Duration::from_millis(silence_ms.max(job.route.target_ms * 2));
        let upstream = answer.seat.upstream.clone();
        let mut begun = false;
        loop {
            let may_resume = job.may_run_after(job.runs + 1);
            let may_move = job.backup.is_some();
            let left = job.deadline.left(self.clock.now());
            let frame = tokio::select! {
                frame = answer.response.body_mut().frame() => frame,
                _ = pieces.closed() => return Ended::CallerLeft,
                _ = sleep(left) => return Ended::Expired,
                _ = sleep(silence), if may_resume => return Ended::Broken("silent"),
                _ = sleep(silence), if may_move => {
                    // An engine that still works must not be overtaken; one whose
                    // sidecar is silent as well is gone or cut off.
                    match upstream.is_followed(self.clock.now()) {
                        true => continue,
                        false => {
                            self.log_silence(job, &upstream, silence);
                            return Ended::Broken("out of reach");
                        }
                    }
                }
                _ = lost_and_silent(&upstream), if may_resume || may_move => {
                    self.log_silence(job, &upstream, LOST_SILENCE);
                    return Ended::Broken("lost");
                }
            };
            let bytes = match frame {
                None if splitter.is_at_boundary() => return Ended::Whole,
                None => return Ended::Broken("ended within an event"),
                Some(Err(_)) => return Ended::Broken("broke off"),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if job.first_byte_ms.is_none() {
                self.note_first_byte(job);
            }
            if !std::mem::replace(&mut begun, true) {
                self.note_prompt_read(job, &mut answer.seat);
            }
            let Some(events) = splitter.push(&bytes) else { continue };
            if pieces.send(BodyPiece::Data(events)).await.is_err() {
                return Ended::CallerLeft;
            }
        }
    }

    /// Logs whether the host of a silent stream still takes connections.
    ///
    /// A host that stands still takes them, one without power or behind a cut does not;
    /// nothing else tells them apart.
    fn log_silence(&self, job: &Job, upstream: &Upstream, silence: Duration) {
        let attempt = job.call.attempt.clone();
        let id = upstream.id.clone();
        let address = upstream.address;
        let sidecar_heard = upstream.is_followed(self.clock.now());
        tokio::spawn(async move {
            let reach = format!("{:?}", reach(address).await);
            log::warn!(
                target: "stream",
                request = attempt.as_str(),
                upstream = id.as_str(),
                silent_ms = silence.as_millis() as u64,
                sidecar_heard,
                new_connection = reach.as_str();
                "silent, goes on elsewhere"
            );
        });
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

/// Reports whether an answer is an event stream.
pub(crate) fn is_stream(job: &Job, response: &Response<Incoming>) -> bool {
    job.route.kind.is_stream() && response.status().is_success()
}
