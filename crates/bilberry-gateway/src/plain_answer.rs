//! Passing a plain answer on to the caller, whole where it is short.

use std::sync::Arc;

use bilberry_core::Clock;
use bilberry_node::BodyPiece;
use bilberry_node::OutBody;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::Response;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Refusal;
use crate::forward::Answer;
use crate::passing::Ended;
use crate::passing::PIECES_AHEAD;

/// The largest plain answer that is read whole before it is passed on.
///
/// Read whole, an answer that breaks off can still be had from another upstream.
const WHOLE_ANSWER_BYTES: usize = 256 * 1024;

/// A plain answer, or as much of it as is held back.
pub(crate) enum PlainAnswer {
    Whole(Response<OutBody>),
    Long(Answer, Bytes),
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Reads a plain answer whole, unless it is long; an error if it breaks off.
    pub(crate) async fn read_whole(
        self: &Arc<Self>,
        job: &mut Job,
        mut answer: Answer,
    ) -> Result<PlainAnswer, Refusal> {
        self.note_prompt_read(job, &mut answer.seat);
        let left = job.deadline.left(self.clock.now());
        let mut read = BytesMut::new();
        let reading = read_up_to(&mut answer, &mut read);
        let is_whole = match timeout(left, reading).await {
            Ok(Ok(is_whole)) => is_whole,
            Ok(Err(error)) => {
                self.record_interrupted_run(job, &answer.seat.upstream);
                job.detail = format!("the answer broke off: {error}");
                return Err(Refusal::Unanswered);
            }
            Err(_) => return Err(Refusal::Expired),
        };
        self.note_first_byte(job);
        let begun = read.freeze();
        if !is_whole {
            return Ok(PlainAnswer::Long(answer, begun));
        }
        let body = OutBody::whole(begun);
        let head = answer.response.headers();
        let whole = self.caller_answer(answer.response.status(), head, body);
        self.keep_connection(answer);
        Ok(PlainAnswer::Whole(whole))
    }

    /// Passes a long plain answer on, of which `begun` has been read.
    ///
    /// It is not held back until it is whole, so one that breaks off is cut.
    pub(crate) fn pass_on(
        self: Arc<Self>,
        job: Job,
        mut answer: Answer,
        begun: Bytes,
    ) -> Response<OutBody> {
        let (pieces, body) = mpsc::channel(PIECES_AHEAD);
        let head = answer.response.headers();
        let body = OutBody::Stream(body);
        let started = self.caller_answer(answer.response.status(), head, body);
        tokio::spawn(async move {
            let ended = self.pass_all(&job, &mut answer, begun, &pieces).await;
            if ended == Ended::CallerLeft {
                self.record_abandoned_run(&job);
            }
            self.conclude(&job, ended.outcome());
            if ended == Ended::Whole {
                self.keep_connection(answer);
                let _ = pieces.send(BodyPiece::End).await;
            }
        });
        started
    }

    async fn pass_all(
        self: &Arc<Self>,
        job: &Job,
        answer: &mut Answer,
        begun: Bytes,
        pieces: &mpsc::Sender<BodyPiece>,
    ) -> Ended {
        let mut next = begun;
        loop {
            if pieces.send(BodyPiece::Data(next)).await.is_err() {
                return Ended::CallerLeft;
            }
            let left = job.deadline.left(self.clock.now());
            let frame = tokio::select! {
                frame = answer.response.body_mut().frame() => frame,
                _ = pieces.closed() => return Ended::CallerLeft,
                _ = sleep(left) => return Ended::Expired,
            };
            next = match frame {
                None => return Ended::Whole,
                Some(Err(_)) => {
                    self.record_interrupted_run(job, &answer.seat.upstream);
                    return Ended::Broken("broke off");
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
        }
    }
}

/// Reads a body up to the size that is held back; false if there is more.
async fn read_up_to(
    answer: &mut Answer,
    read: &mut BytesMut,
) -> Result<bool, hyper::Error> {
    while let Some(frame) = answer.response.body_mut().frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() > WHOLE_ANSWER_BYTES {
            return Ok(false);
        }
    }
    Ok(true)
}
