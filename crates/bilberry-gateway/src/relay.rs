//! Passing an upstream's answer on to the caller.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::EventSplitter;
use bilberry_node::BodyPiece;
use bilberry_node::OutBody;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Refusal;
use crate::forward::Answer;
use crate::record::write_outcome;

/// The largest plain answer that is read whole before it is passed on.
///
/// Read whole, an answer that breaks off can still be had from another upstream.
const WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// How many pieces of a stream may wait for a slow caller.
const PIECES_AHEAD: usize = 16;

/// How many times its longest pause a stream may be silent before it is resumed.
const SILENT_PAUSES: u64 = 4;

/// The silence after which a stream without a stated pause is resumed.
const DEFAULT_SILENCE_MS: u64 = 1_000;

/// How a stream came to its end.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
enum Ended {
    Whole,
    Broken(&'static str),
    CallerLeft,
    Expired,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reads a plain answer whole; an error if it breaks off.
    pub(crate) async fn read_whole(
        &self,
        job: &mut Job,
        mut answer: Answer,
    ) -> Result<Response<OutBody>, Refusal> {
        self.note_prompt_read(job, &mut answer.seat);
        let left = job.deadline.left(self.clock.now());
        let (head, body) = answer.response.into_parts();
        let limited = http_body_util::Limited::new(body, WHOLE_ANSWER_BYTES);
        let whole = match timeout(left, limited.collect()).await {
            Ok(Ok(whole)) => whole.to_bytes(),
            Ok(Err(error)) => {
                job.detail = format!("the answer broke off: {error}");
                return Err(Refusal::Unanswered);
            }
            Err(_) => return Err(Refusal::Expired),
        };
        self.connections.keep(answer.connection, &head.headers);
        self.note_first_byte(job);
        Ok(self.caller_answer(head.status, &head.headers, OutBody::whole(whole)))
    }

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
            let outcome = match ended {
                Ended::Whole => "served",
                Ended::Broken(_) => "broken",
                Ended::CallerLeft => "caller_left",
                Ended::Expired => "cut_at_deadline",
            };
            if let Ended::Broken(reason) = ended {
                job.detail = format!("{}; {reason}", job.detail);
            }
            self.conclude(&job, outcome);
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
                    let headers = answer.response.headers().clone();
                    self.connections.keep(answer.connection, &headers);
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
        if !job.may_run_after(job.runs) || !self.may_repeat(&job.pool.name) {
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
                        false => return Ended::Broken("out of reach"),
                    }
                }
                _ = upstream.lost(), if may_resume || may_move => return Ended::Broken("lost"),
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

    fn note_pace(&self, job: &Job) {
        let Some(first_byte_ms) = job.first_byte_ms else { return };
        let took_ms = self.clock.now().ms_since(job.arrived_at) - first_byte_ms;
        self.pace.note_answer(&job.pool.name, took_ms, job.call.output_tokens);
    }

    fn note_first_byte(&self, job: &mut Job) {
        let first_byte_ms = self.clock.now().ms_since(job.arrived_at);
        job.first_byte_ms = Some(first_byte_ms);
        self.metrics.first_byte_seconds.observe(first_byte_ms as f64 / 1_000.0);
    }

    fn caller_answer(
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
        let plain_success = outcome == "served" && job.sends == 1;
        if self.lines.spend(self.clock.now(), plain_success) {
            write_outcome(job, outcome, &self.clock);
        } else {
            self.metrics.dropped_lines.inc();
        }
    }
}

/// Reports whether an answer is read whole before it is passed on.
pub(crate) fn is_read_whole(job: &Job, response: &Response<Incoming>) -> bool {
    let length = hyper::body::Body::size_hint(response.body()).exact();
    let small = length.is_none_or(|length| length <= WHOLE_ANSWER_BYTES as u64);
    let stream = job.route.kind.is_stream() && response.status().is_success();
    small && !stream
}
