//! Offering a request to upstreams until one answers it.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Repeat;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CallKind;
use crate::Connection;
use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::MemoryCopy;
use crate::Refusal;
use crate::Seat;
use crate::SendError;
use crate::Verdict;

/// How many sends that did not run are allowed beyond the route's attempts.
///
/// An upstream that is full or has other weights costs a round trip; three of
/// them in a row mean that this entry's view is wrong altogether.
const EXTRA_SENDS: u32 = 2;

/// How long an upstream that said it is full is left alone.
const BUSY_PAUSE_MS: u64 = 60;

/// The part of its target after which a silent plain call is sent elsewhere.
const PLAIN_SILENCE_PART: f64 = 0.7;

/// How many times its target a silent stream is waited for.
///
/// A stream's first event waits for its prompt to be read, so silence within
/// the target says nothing.
const STREAM_SILENCE_PART: f64 = 2.0;

/// How many times its target a silent stream is waited for at a live engine.
///
/// An engine that its sidecar sees alive is slow because it has much to do. A
/// second send would add to that: in an overload by lost engines, a sixth of all
/// streams were sent twice with the shorter time.
const LIVE_STREAM_SILENCE_PART: f64 = 5.0;

/// An upstream's answer whose body is still to come.
#[derive(Debug)]
pub(crate) struct Answer {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub seat: Seat,
}

/// What came of one send.
enum Sent {
    Answered(Box<Answer>),
    /// It did not run there and another upstream may take it.
    NotRun(&'static str),
    /// It may have run, and may still run.
    Unclear(&'static str),
    /// The time is over.
    Expired,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Offers the request to upstreams until one answers.
    ///
    /// A failure that a server answered is kept while others are asked, and passed
    /// on if none of them does better. Once a send may have run, no refusal says
    /// that the request did not: what a later upstream says speaks for itself only.
    pub(crate) async fn forward(
        self: &Arc<Self>,
        job: &mut Job,
    ) -> Result<Answer, Refusal> {
        let mut failed = None;
        match (self.offer(job, &mut failed).await, failed) {
            (Ok(answer), _) => Ok(answer),
            (Err(_), Some(answer)) => Ok(answer),
            (Err(refusal), None) if job.runs > 0 && refusal.says_not_run() => {
                Err(Refusal::Unanswered)
            }
            (Err(refusal), None) => Err(refusal),
        }
    }

    async fn offer(
        self: &Arc<Self>,
        job: &mut Job,
        failed: &mut Option<Answer>,
    ) -> Result<Answer, Refusal> {
        loop {
            let seat = self.seat(job).await?;
            self.check_quarantine(job)?;
            let upstream = seat.upstream.clone();
            match self.send(job, seat).await {
                Sent::Answered(answer) if self.wants_other_answer(job, &answer) => {
                    self.metrics.count_send("failed_there");
                    job.detail = format!("status {}", answer.response.status().as_u16());
                    if !self.may_repeat(&job.pool.name, Repeat::Anew) {
                        return Ok(*answer);
                    }
                    *failed = Some(*answer);
                }
                Sent::Answered(answer) => {
                    self.metrics.count_send("answered");
                    return Ok(*answer);
                }
                Sent::NotRun(reason) => {
                    job.sent_to = None;
                    self.metrics.count_send(reason);
                    job.detail = reason.to_string();
                    self.check_another_send(job)?;
                }
                Sent::Unclear(reason) => {
                    self.metrics.count_send(reason);
                    job.detail = reason.to_string();
                    job.runs += 1;
                    let resumed = self.resume_from_backup(job, None, &upstream, None);
                    if let Some(answer) = resumed.await {
                        return Ok(answer);
                    }
                    self.check_another_run(job)?;
                }
                Sent::Expired => {
                    self.metrics.count_send("expired");
                    return Err(Refusal::Expired);
                }
            }
        }
    }

    /// Reports whether a failure that a server answered is worth another try.
    fn wants_other_answer(&self, job: &mut Job, answer: &Answer) -> bool {
        let failed = answer.response.status().is_server_error();
        if !failed || !job.route.kind.is_repeatable() {
            return false;
        }
        job.runs += 1;
        self.may_run_after(job, job.runs) && self.has_time(job)
    }

    fn check_another_send(&self, job: &Job) -> Result<(), Refusal> {
        let spent = job.sends >= job.route.max_attempts + EXTRA_SENDS;
        // A connection that was never made put no load on anyone.
        let free = job.detail == NOT_CONNECTED;
        match !spent
            && self.has_time(job)
            && (free || self.may_repeat(&job.pool.name, Repeat::Anew))
        {
            true => Ok(()),
            false => Err(Refusal::NoRoom),
        }
    }

    fn check_another_run(&self, job: &Job) -> Result<(), Refusal> {
        let allowed = self.may_run_after(job, job.runs) && self.has_time(job);
        match allowed && self.may_repeat(&job.pool.name, Repeat::Anew) {
            true => Ok(()),
            false => Err(Refusal::Unanswered),
        }
    }

    fn has_time(&self, job: &Job) -> bool {
        !job.deadline.has_passed_at(self.clock.now())
    }

    async fn send(self: &Arc<Self>, job: &mut Job, seat: Seat) -> Sent {
        let upstream = seat.upstream.clone();
        job.tried.push(upstream.clone());
        job.backup = self.choose_backup(job, &upstream);
        let last_event = job.call.last_event;
        let request = self.request(job, &seat, last_event, None);
        // A call that runs once gets a connection of its own. On a kept one, an
        // answer that crosses over from another call, or a close at the moment of
        // sending, would leave it unknown whether the call ran.
        let reuse = job.route.kind != CallKind::Once;
        let connected = self.connections.get(upstream.address, reuse).await;
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(_) => {
                upstream.record_failure(self.clock.now());
                self.connections.drop_idle(upstream.address);
                return Sent::NotRun(NOT_CONNECTED);
            }
        };
        job.sends += 1;
        let now = self.clock.now();
        job.sent_at = now;
        job.sent_to = Some(upstream.clone());
        job.earlier_crashes = self.earlier_crashes(job, &upstream);
        let repeatable = job.route.kind.is_repeatable();
        let may_repeat = self.may_run_after(job, job.runs + 1);
        let left = job.deadline.left(now);
        let sent = tokio::select! {
            sent = connection.send(request) => sent,
            _ = upstream.lost(), if repeatable => {
                Err(SendError::Unanswered("the upstream is down".to_string()))
            }
            _ = sleep(silence(job, upstream.is_followed(now))), if may_repeat => {
                upstream.record_failure(self.clock.now());
                return Sent::Unclear("silent");
            }
            _ = sleep(left) => return Sent::Expired,
        };
        match sent {
            Ok(response) => self.judge(job, response, connection, seat),
            Err(SendError::NotSent(_)) => {
                upstream.record_failure(self.clock.now());
                Sent::NotRun(NOT_CONNECTED)
            }
            Err(SendError::Unanswered(_)) => {
                upstream.record_failure(self.clock.now());
                self.record_interrupted_run(job, &upstream);
                self.connections.drop_idle(upstream.address);
                Sent::Unclear("no_answer")
            }
        }
    }

    /// Sends the request to the engine that keeps a copy of its memory.
    pub(crate) async fn send_to_copy(
        self: &Arc<Self>,
        job: &mut Job,
        seat: Seat,
        last_event: Option<u64>,
        copy: MemoryCopy,
    ) -> Option<Answer> {
        let upstream = seat.upstream.clone();
        job.tried.push(upstream.clone());
        let request = self.request(job, &seat, last_event, Some(copy));
        let mut connection = self.connections.get(upstream.address, true).await.ok()?;
        job.sends += 1;
        job.sent_at = self.clock.now();
        job.sent_to = Some(upstream.clone());
        job.earlier_crashes = self.earlier_crashes(job, &upstream);
        let left = job.deadline.left(job.sent_at);
        let sent = timeout(left, connection.send(request)).await.ok()?;
        let response = match sent {
            Ok(response) => response,
            Err(_) => {
                self.record_interrupted_run(job, &upstream);
                return None;
            }
        };
        match self.judge(job, response, connection, seat) {
            Sent::Answered(answer) => Some(*answer),
            _ => None,
        }
    }

    fn judge(
        &self,
        job: &Job,
        response: Response<Incoming>,
        connection: Connection,
        seat: Seat,
    ) -> Sent {
        let verdict = self.dialect.judge(
            response.status(),
            response.headers(),
            &job.call.attempt,
            &seat.upstream.id,
        );
        if !matches!(verdict, Verdict::Replaced | Verdict::Crossed) {
            let status =
                self.dialect.server_status(response.status(), response.headers());
            seat.upstream.record_status(&status, self.clock.now());
        }
        match verdict {
            Verdict::Answered => {
                seat.upstream.note_answer();
                Sent::Answered(Box::new(Answer { response, connection, seat }))
            }
            Verdict::Busy => {
                seat.upstream.record_busy(self.clock.now(), BUSY_PAUSE_MS);
                Sent::NotRun("busy")
            }
            Verdict::OtherWeights => {
                seat.upstream.record_busy(self.clock.now(), BUSY_PAUSE_MS);
                Sent::NotRun("other_weights")
            }
            Verdict::Replaced => {
                seat.upstream.leave();
                log::info!(target: "upstream", upstream = seat.upstream.id.as_str(); "replaced at its address");
                Sent::NotRun("replaced")
            }
            Verdict::Crossed => Sent::Unclear("crossed"),
            Verdict::Unsigned => Sent::Unclear("unsigned"),
        }
    }
}

/// The word for a send of which no byte left.
const NOT_CONNECTED: &str = "not_connected";

/// Returns how long the head of an answer is waited for before another try.
fn silence(job: &Job, is_followed: bool) -> Duration {
    let part = match job.route.kind.is_stream() {
        true if is_followed => LIVE_STREAM_SILENCE_PART,
        true => STREAM_SILENCE_PART,
        false => PLAIN_SILENCE_PART,
    };
    Duration::from_millis((job.route.target_ms as f64 * part) as u64)
}
