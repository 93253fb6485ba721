//! Keeps a suspected run connected until its successor has begun to answer.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

use bilberry_core::Clock;
use bilberry_core::EventSplitter;
use bilberry_core::Handover;
use bilberry_core::HandoverEvent;
use bilberry_core::HandoverStep;
use bilberry_core::RetryKind;
use bilberry_core::RunOverlap;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::future::Fuse;
use futures_util::future::FusedFuture;
use http_body_util::BodyExt;
use hyper::StatusCode;
use tokio::time::Instant;

use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::forward::UpstreamResponse;
use crate::run_query::AwaitedRun;
use crate::run_query::QUERY_INTERVAL;
use crate::run_query::Suspicion;

/// The detail of a request whose run went on while a successor was in progress.
const RECOVERED: &str = "suspected run went on";

/// A run that has begun to answer.
#[derive(Debug)]
pub(crate) struct BegunRun {
    pub(crate) context: RequestContext,
    pub(crate) response: UpstreamResponse,
    /// Why it was begun.
    pub(crate) suspicion: Suspicion,
}

/// The outcome of waiting for a run.
#[derive(Debug)]
pub(crate) enum RunOutcome<T> {
    /// The run has made this, or has ended so.
    Made(T),
    /// Its successor has begun to answer.
    Replaced(Box<BegunRun>),
}

/// The contexts of successors that did not replace the run of their request.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnusedSuccessors {
    contexts: Arc<Mutex<Vec<RequestContext>>>,
}

/// The context of a successor in progress, which is recorded as unused on drop.
struct SuccessorGuard<D: Dialect, C: Clock> {
    gateway: Arc<Gateway<D, C>>,
    unused: UnusedSuccessors,
    context: Option<RequestContext>,
    /// The number of sends before it.
    earlier_sends: u32,
}

impl<D: Dialect, C: Clock> Drop for SuccessorGuard<D, C> {
    fn drop(&mut self) {
        let Some(mut context) = self.context.take() else { return };
        if context.sends == self.earlier_sends {
            self.gateway.return_permit(&mut context);
        }
        context.retry = None;
        self.gateway.record_abandoned_run(&context);
        self.unused.contexts.lock().unwrap().push(context);
    }
}

impl RequestContext {
    /// Returns the context of a successor of the current run.
    fn successor(&self, last_event: Option<u64>) -> Self {
        let mut successor = Self {
            quota: None,
            permit: None,
            retry: None,
            takeover_retry: None,
            trial: None,
            backup: None,
            prefill: None,
            sent_to: None,
            run_has_head: false,
            run_first_event_at: None,
            runs: self.runs + 1,
            detail: String::new(),
            unused_successors: UnusedSuccessors::default(),
            ..self.clone()
        };
        successor.call.last_event = last_event.or(self.call.last_event);
        successor
    }

    /// Replaces the current run by its successor.
    pub(crate) fn adopt(&mut self, successor: Self, suspicion: Suspicion) {
        let mut detail = suspicion.as_str().to_string();
        if !successor.detail.is_empty() {
            detail.push_str("; ");
            detail.push_str(&successor.detail);
        }
        let first_byte_ms = self.first_byte_ms.or(successor.first_byte_ms);
        *self = Self {
            quota: self.quota.take(),
            unused_successors: self.unused_successors.clone(),
            left_runs: successor.left_runs + 1,
            first_byte_ms,
            detail,
            ..successor
        };
    }

    /// Adds the sends and runs of successors that did not replace the current run.
    pub(crate) fn count_unused_successors(&mut self) {
        let unused =
            std::mem::take(&mut *self.unused_successors.contexts.lock().unwrap());
        for successor in unused {
            let was_sent = u32::from(successor.sent_to.is_some());
            // A successor counts the current run as one before it.
            self.runs = self.runs.max(successor.runs + was_sent - 1);
            self.sends = self.sends.max(successor.sends);
            for upstream in successor.tried {
                if !self.has_tried(&upstream) {
                    self.tried.push(upstream);
                }
            }
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits for the next part of an answer, and begins a successor while the run counts as
    /// lost.
    ///
    /// The run stays connected until the successor has begun to answer. If the run goes on
    /// before that, the successor is cancelled. `has_ended` tells whether what the run has
    /// made is its end before the answer was complete.
    pub(crate) async fn await_run<T>(
        self: &Arc<Self>,
        context: &mut RequestContext,
        run: AwaitedRun<'_>,
        made: impl Future<Output = T>,
        has_ended: impl Fn(&T) -> bool,
    ) -> RunOutcome<T> {
        let silent_since = Instant::now();
        let mut not_before = silent_since;
        let mut handover = Handover::new(RunOverlap::Allowed);
        let mut end = None;
        let mut suspicion = Suspicion::Silent;
        let unused = context.unused_successors.clone();
        let successor = Fuse::terminated();
        tokio::pin!(made, successor);
        let outcome = loop {
            let may_begin = !handover.has_successor()
                && self.may_run_after(context, context.runs + 1);
            let suspected =
                self.wait_until_suspected(context, &run, silent_since, not_before);
            tokio::select! {
                biased;
                made = &mut made, if !handover.has_ended() => {
                    let event = match has_ended(&made) {
                        true => HandoverEvent::Ended,
                        false => HandoverEvent::Progressed,
                    };
                    match handover.record(event) {
                        HandoverStep::Wait if handover.has_ended() => end = Some(made),
                        step => {
                            if step == HandoverStep::Cancel {
                                successor.set(Fuse::terminated());
                                self.record_recovered_run(context, suspicion);
                            }
                            break RunOutcome::Made(made);
                        }
                    }
                }
                begun = &mut successor, if !successor.is_terminated() => {
                    let begun: Option<Box<BegunRun>> = begun;
                    let event = match begun {
                        Some(_) => HandoverEvent::Began,
                        None => HandoverEvent::Failed,
                    };
                    match (handover.record(event), begun, end.take()) {
                        (HandoverStep::Adopt, Some(begun), _) => {
                            break RunOutcome::Replaced(begun);
                        }
                        (HandoverStep::Replace, _, Some(end)) => {
                            break RunOutcome::Made(end);
                        }
                        _ => {
                            context.count_unused_successors();
                            not_before = Instant::now() + QUERY_INTERVAL;
                        }
                    }
                }
                found = suspected, if may_begin => {
                    suspicion = found;
                    run.upstream.record_failure(self.clock.now());
                    if handover.record(HandoverEvent::Suspected) == HandoverStep::Begin {
                        let next = context.successor(run.last_event);
                        let begun = self.clone().begin_successor(
                            next, run.retry, suspicion, unused.clone(),
                        );
                        successor.set(Box::pin(begun).fuse());
                    }
                }
            }
        };
        context.count_unused_successors();
        outcome
    }

    /// Begins a successor and waits until it has begun to answer; `None` if that fails.
    async fn begin_successor(
        self: Arc<Self>,
        mut context: RequestContext,
        retry: RetryKind,
        suspicion: Suspicion,
        unused: UnusedSuccessors,
    ) -> Option<Box<BegunRun>> {
        context.retry = Some(self.take_retry(&context.pool.name, retry).await?);
        let mut guard = SuccessorGuard {
            gateway: self.clone(),
            unused,
            earlier_sends: context.sends,
            context: Some(context),
        };
        let context = guard.context.as_mut()?;
        let mut response = self.forward(context).await.ok()?;
        let is_usable = match retry {
            RetryKind::Resume => response.http.status() == StatusCode::OK,
            RetryKind::Resend => !response.http.status().is_server_error(),
        };
        if !is_usable {
            return None;
        }
        if context.route.kind.is_stream() && response.http.status().is_success() {
            self.await_first_event(context, &mut response).await?;
        }
        let context = guard.context.take()?;
        Some(Box::new(BegunRun { context, response, suspicion }))
    }

    /// Waits for the first event of a response, or of a successor that replaces it.
    async fn await_first_event(
        self: &Arc<Self>,
        context: &mut RequestContext,
        response: &mut UpstreamResponse,
    ) -> Option<()> {
        let upstream = response.reservation.upstream.clone();
        let was_slow = AtomicBool::new(false);
        let run = AwaitedRun {
            upstream: &upstream,
            max_silence: self.max_stream_silence(context),
            is_observed: self.observes_runs(&context.pool.name),
            was_slow: &was_slow,
            retry: RetryKind::Resume,
            last_event: None,
        };
        let first = read_first_event(response);
        match self.await_run(context, run, first, Option::is_none).await {
            RunOutcome::Made(Some(received)) => response.received = received,
            RunOutcome::Made(None) => {
                self.record_interrupted_run(context, &upstream);
                return None;
            }
            RunOutcome::Replaced(begun) => {
                let BegunRun { context: next, response: begun, suspicion } = *begun;
                context.adopt(next, suspicion);
                *response = begun;
            }
        }
        Some(())
    }

    fn record_recovered_run(&self, context: &RequestContext, suspicion: Suspicion) {
        self.metrics.count_left_run("recovered");
        log::info!(
            target: "stream",
            request = context.call.attempt.as_str(),
            suspicion = suspicion.as_str();
            "{RECOVERED}"
        );
    }
}

/// Reads a response up to the end of its first event; `None` if it ends before that.
async fn read_first_event(response: &mut UpstreamResponse) -> Option<Bytes> {
    if !response.received.is_empty() {
        return Some(std::mem::take(&mut response.received));
    }
    let mut splitter = EventSplitter::new();
    let mut received = BytesMut::new();
    while let Some(Ok(frame)) = response.http.body_mut().frame().await {
        let Ok(data) = frame.into_data() else { continue };
        received.extend_from_slice(&data);
        if splitter.push(&data).ok()?.is_some() {
            return Some(received.freeze());
        }
    }
    None
}
