//! One completion over all its attempts.

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
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Finished;
use bilberry_wire::Refused;
use tokio::time::timeout;

use self::attempt::Attempt;
use crate::ApiError;
use crate::CompletionRequest;
use crate::Entry;
use crate::Knowledge;

/// How many attempts one request may have.
const MOST_ATTEMPTS: u32 = 4;

/// What a run yields.
#[derive(Debug)]
pub(crate) enum Output {
    /// The next text.
    Text(String),
    /// The end.
    End(Finished),
}

/// One completion in progress.
///
/// Dropping it cancels the live attempt down to the engine.
pub(crate) struct Run<P: Platform, K: Knowledge> {
    entry: Arc<Entry<P, K>>,
    start: RunStart,
    cursor: StreamCursor,
    attempts: u32,
    delivered_in_attempt: u64,
    /// The weights that began the answer.
    weights: Option<Name>,
    /// Upstreams that lost or refused the request since the last pause.
    tried: Vec<Name>,
    /// Whether an upstream was lost, so that waiting for it may help.
    lost_any: bool,
    /// Whether an attempt that was lost may have run.
    may_have_run: bool,
    /// What the last upstream said that refused.
    refusal: Option<ApiError>,
    pauses: u32,
    live: Option<Attempt<P, K>>,
}

/// Who asks, for what, until when.
#[derive(Debug)]
pub(crate) struct RunStart {
    pub(crate) compiled: Arc<Compiled>,
    pub(crate) customer: Arc<Customer>,
    pub(crate) model: Arc<Model>,
    pub(crate) request: CompletionRequest,
    pub(crate) id: String,
    pub(crate) deadline: UnixMs,
}

impl<P: Platform, K: Knowledge> Run<P, K> {
    pub(crate) fn new(entry: Arc<Entry<P, K>>, start: RunStart) -> Self {
        entry.node.metrics.requests.inc();
        entry.retry_budget.lock().unwrap().earn();
        Self {
            entry,
            start,
            cursor: StreamCursor::new(),
            attempts: 0,
            delivered_in_attempt: 0,
            weights: None,
            tried: Vec::new(),
            lost_any: false,
            may_have_run: false,
            refusal: None,
            pauses: 0,
            live: None,
        }
    }

    pub(crate) fn id(&self) -> &str {
        &self.start.id
    }

    pub(crate) fn request(&self) -> &CompletionRequest {
        &self.start.request
    }

    /// Waits for the next output, trying again where that is safe.
    pub(crate) async fn next(&mut self) -> Result<Output, ApiError> {
        loop {
            if self.live.is_none() {
                self.start_attempt().await?;
            }
            let Some(live) = &mut self.live else { continue };
            let left = self.start.deadline.left(SystemClock.now());
            let message = match timeout(left, live.call.next()).await {
                Ok(message) => message,
                Err(_) => return Err(self.deadline_error()),
            };
            match message {
                Ok(Body::Chunk(chunk)) => {
                    if !chunk.weights.is_empty() {
                        self.weights = Some(chunk.weights.as_str().into());
                    }
                    match self.cursor.accept(chunk.attempt, chunk.number, &chunk.text) {
                        Accept::Deliver => {
                            self.delivered_in_attempt += 1;
                            return Ok(Output::Text(chunk.text));
                        }
                        Accept::Drop => {}
                        Accept::Gap => self.recover("a frame is missing")?,
                    }
                }
                // An end that does not match what came is no end: the missing
                // frames would leave the caller with a shortened answer.
                Ok(Body::Finished(end)) if end.chunks != self.delivered_in_attempt => {
                    self.recover("the end does not match the frames")?;
                }
                Ok(Body::Finished(end)) => return Ok(self.finish(end)),
                Ok(Body::Refused(refused)) if refused.may_have_run => {
                    self.recover(&refused.message)?;
                }
                Ok(Body::Refused(refused)) => self.try_another(&refused)?,
                Ok(_) => {}
                Err(error) => self.recover(&error.to_string())?,
            }
        }
    }

    /// Goes on with another attempt after the live one was lost.
    ///
    /// Completions are idempotent, so a lost one may run again. Attempts are
    /// bounded, as a request that kills its engine would otherwise kill them all.
    fn recover(&mut self, why: &str) -> Result<(), ApiError> {
        if let Some(live) = self.live.take() {
            self.entry.router.record_failure(&live.upstream);
            self.tried.push(live.upstream.clone());
        }
        self.lost_any = true;
        self.may_have_run = true;
        self.entry.node.events.record(&self.start.id, "attempt_lost", why);
        match self.attempts {
            MOST_ATTEMPTS.. => Err(self.give_up(why)),
            _ => Ok(()),
        }
    }

    /// Goes on with another upstream after one refused, within the budget.
    fn try_another(&mut self, refused: &Refused) -> Result<(), ApiError> {
        let Some(live) = self.live.take() else { return Ok(()) };
        self.tried.push(live.upstream.clone());
        // The upstream's own judgement of the request would be the same elsewhere.
        let is_final = refused.upstream_status != 0 || self.attempts >= MOST_ATTEMPTS;
        // An upstream that leaves is no overload, and must cost no caller a refusal.
        let is_free = refused.code == "upstream_leaving";
        let error = self.as_known(ApiError::of_refusal(refused));
        if is_final || !(is_free || self.entry.retry_budget.lock().unwrap().spend()) {
            return Err(error);
        }
        self.refusal = Some(error);
        Ok(())
    }

    fn finish(&mut self, end: Finished) -> Output {
        let metrics = &self.entry.node.metrics;
        metrics.prompt_tokens.inc_by(end.prompt_tokens);
        metrics.cached_tokens.inc_by(end.cached_tokens);
        self.entry.node.events.record(&self.start.id, "finished", end.reason.clone());
        self.live = None;
        Output::End(end)
    }
}
