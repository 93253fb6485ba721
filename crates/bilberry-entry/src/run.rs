//! Execution of a completion over one or more attempts.

mod attempt;
mod errors;

use std::sync::Arc;

use bilberry_config::Compiled;
use bilberry_config::Customer;
use bilberry_config::Model;
use bilberry_core::Accept;
use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::StreamCursor;
use bilberry_core::SystemClock;
use bilberry_core::UnixMs;
use bilberry_node::PeerError;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Finished;
use bilberry_wire::Refused;
use tokio::time::timeout;

use self::attempt::Attempt;
use crate::ApiError;
use crate::CompletionRequest;
use crate::Entry;
use crate::UpstreamProber;

/// The maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 4;

/// An output of a run.
#[derive(Debug)]
pub(crate) enum RunOutput {
    /// A piece of text.
    Text(String),
    /// The end of the completion.
    End(Finished),
}

/// The attempt that a message belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Current,
    Successor,
}

/// A completion in progress.
///
/// Dropping it cancels the current attempt, including its request at the engine.
pub(crate) struct Run<P: Platform, K: UpstreamProber> {
    entry: Arc<Entry<P, K>>,
    params: RunParams,
    cursor: StreamCursor,
    attempts: u32,
    delivered_in_attempt: u64,
    /// The weights last reported for the answer.
    weights: Option<Name>,
    /// The upstreams that lost or rejected the request since the last wait.
    tried: Vec<Name>,
    /// Whether an upstream was lost, in which case it may become available again.
    any_lost: bool,
    /// Whether a lost attempt may have run.
    may_have_run: bool,
    /// The error of the last rejection.
    last_rejection: Option<ApiError>,
    waits: u32,
    current: Option<Attempt<P, K>>,
    /// The attempt that replaces the current one once it has begun to answer, as the current
    /// one is silent.
    successor: Option<Attempt<P, K>>,
}

/// The parameters of a run.
#[derive(Debug)]
pub(crate) struct RunParams {
    pub(crate) compiled: Arc<Compiled>,
    pub(crate) customer: Arc<Customer>,
    pub(crate) model: Arc<Model>,
    pub(crate) request: CompletionRequest,
    pub(crate) id: String,
    pub(crate) deadline: UnixMs,
}

impl<P: Platform, K: UpstreamProber> Run<P, K> {
    pub(crate) fn new(entry: Arc<Entry<P, K>>, params: RunParams) -> Self {
        entry.node.metrics.requests.inc();
        entry.retry_budget.lock().unwrap().add_credit();
        Self {
            entry,
            params,
            cursor: StreamCursor::new(),
            attempts: 0,
            delivered_in_attempt: 0,
            weights: None,
            tried: Vec::new(),
            any_lost: false,
            may_have_run: false,
            last_rejection: None,
            waits: 0,
            current: None,
            successor: None,
        }
    }

    pub(crate) fn id(&self) -> &str {
        &self.params.id
    }

    pub(crate) fn request(&self) -> &CompletionRequest {
        &self.params.request
    }

    /// Waits for the next output and starts further attempts where this is safe.
    pub(crate) async fn next(&mut self) -> Result<RunOutput, ApiError> {
        loop {
            if self.current.is_none() {
                self.current = Some(self.start_attempt().await?);
            }
            let left = self.params.deadline.remaining(SystemClock.now());
            let Ok((source, message)) = timeout(left, self.next_message()).await else {
                return Err(self.deadline_error());
            };
            if source == Source::Successor && !self.adopt_successor(&message) {
                continue;
            }
            match message {
                Ok(Body::Chunk(chunk)) => {
                    if !chunk.weights.is_empty() {
                        self.weights = Some(chunk.weights.as_str().into());
                    }
                    match self.cursor.accept(chunk.attempt, chunk.number, &chunk.text) {
                        Accept::Deliver => {
                            self.successor = None;
                            self.delivered_in_attempt += 1;
                            return Ok(RunOutput::Text(chunk.text));
                        }
                        Accept::Drop => {}
                        Accept::Gap => self.recover("a frame is missing")?,
                    }
                }
                // If the number of chunks differs, frames were lost, and the caller
                // would get a truncated answer.
                Ok(Body::Finished(end)) if end.chunks != self.delivered_in_attempt => {
                    self.recover("the end does not match the frames")?;
                }
                Ok(Body::Finished(end)) => return Ok(self.finish(end)),
                Ok(Body::Refused(refused)) if refused.may_have_run => {
                    self.recover(&refused.message)?;
                }
                Ok(Body::Refused(refused)) => self.try_another(&refused)?,
                Ok(_) => {}
                Err(PeerError::Silent(_)) => self.start_successor().await,
                Err(error) => self.recover(&error.to_string())?,
            }
        }
    }

    /// Waits for the next message of the current attempt or of its successor.
    async fn next_message(&mut self) -> (Source, Result<Body, PeerError>) {
        let (Some(current), successor) = (&mut self.current, &mut self.successor) else {
            return std::future::pending().await;
        };
        match successor {
            Some(successor) => tokio::select! {
                biased;
                message = current.call.next() => (Source::Current, message),
                message = successor.call.next() => (Source::Successor, message),
            },
            None => (Source::Current, current.call.next().await),
        }
    }

    /// Starts a successor of the silent current attempt, which may still go on.
    async fn start_successor(&mut self) {
        let Some(current) = &self.current else { return };
        self.entry.router.record_failure(&current.upstream);
        if !self.tried.contains(&current.upstream) {
            self.tried.push(current.upstream.clone());
        }
        if self.successor.is_some() || self.attempts >= MAX_ATTEMPTS {
            return;
        }
        self.successor = self.try_start_successor().await;
    }

    /// Replaces the current attempt if its successor has begun to answer; returns whether it
    /// has.
    fn adopt_successor(&mut self, message: &Result<Body, PeerError>) -> bool {
        match message {
            Ok(Body::Chunk(_) | Body::Finished(_)) => {
                self.promote_successor("the successor of the silent attempt answers");
                true
            }
            Ok(Body::Refused(_)) => {
                self.end_successor();
                false
            }
            Ok(_) | Err(PeerError::Silent(_)) => false,
            Err(_) => {
                self.end_successor();
                false
            }
        }
    }

    fn end_successor(&mut self) {
        if let Some(successor) = self.successor.take() {
            self.tried.push(successor.upstream.clone());
        }
    }

    /// Makes the successor the current attempt.
    fn promote_successor(&mut self, reason: &str) {
        let Some(successor) = self.successor.take() else { return };
        self.entry.node.events.record(&self.params.id, "attempt_left", reason);
        self.cursor.switch_to(successor.number);
        self.delivered_in_attempt = 0;
        self.may_have_run = true;
        self.current = Some(successor);
    }

    /// Prepares another attempt after the current one was lost.
    ///
    /// Completions are idempotent, so a lost one may run again. The number of attempts
    /// is limited, as a request that crashes its engine would otherwise crash all.
    fn recover(&mut self, reason: &str) -> Result<(), ApiError> {
        if let Some(current) = self.current.take() {
            self.entry.router.record_failure(&current.upstream);
            self.tried.push(current.upstream.clone());
        }
        self.any_lost = true;
        self.may_have_run = true;
        self.entry.node.events.record(&self.params.id, "attempt_lost", reason);
        if self.successor.is_some() {
            self.promote_successor(reason);
            return Ok(());
        }
        match self.attempts {
            MAX_ATTEMPTS.. => Err(self.lost_error(reason)),
            _ => Ok(()),
        }
    }

    /// Prepares another attempt after a rejection, within the retry budget.
    fn try_another(&mut self, refused: &Refused) -> Result<(), ApiError> {
        let Some(current) = self.current.take() else { return Ok(()) };
        self.tried.push(current.upstream.clone());
        if self.successor.is_some() {
            self.promote_successor(&refused.message);
            return Ok(());
        }
        // Other upstreams would reject the request for the same reason.
        let is_final = refused.upstream_status != 0 || self.attempts >= MAX_ATTEMPTS;
        // A draining upstream is not a sign of overload and must not cause a rejection,
        // so this retry does not count against the budget.
        let is_draining = refused.code == "upstream_leaving";
        let error = self.with_overall_run_state(ApiError::from_refusal(refused));
        if is_final || !(is_draining || self.entry.retry_budget.lock().unwrap().spend()) {
            return Err(error);
        }
        self.last_rejection = Some(error);
        Ok(())
    }

    fn finish(&mut self, end: Finished) -> RunOutput {
        let metrics = &self.entry.node.metrics;
        metrics.prompt_tokens.inc_by(end.prompt_tokens);
        metrics.cached_tokens.inc_by(end.cached_tokens);
        self.entry.node.events.record(&self.params.id, "finished", end.reason.clone());
        self.current = None;
        self.successor = None;
        RunOutput::End(end)
    }
}
