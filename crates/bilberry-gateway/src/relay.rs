//! Relays a stream to the caller and resumes it on another upstream where allowed.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::EventSplitter;
use bilberry_core::Handover;
use bilberry_core::HandoverEvent;
use bilberry_core::HandoverStep;
use bilberry_core::OversizedEvent;
use bilberry_core::RetryKind;
use bilberry_core::RunOverlap;
use bilberry_node::BodyChunk;
use bilberry_node::ResponseBody;
use bilberry_platform::BodyError;
use bilberry_platform::FramedBody;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::Fuse;
use futures_util::future::FusedFuture;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CONTENT_LENGTH;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::Upstream;
use crate::body_relay::BODY_CHANNEL_CAPACITY;
use crate::body_relay::BodyEnd;
use crate::crashes::SOUND_AFTER_MS;
use crate::forward::UpstreamResponse;
use crate::run_query::AwaitedRun;
use crate::run_query::QUERY_INTERVAL;
use crate::run_query::SLOW;
use crate::run_query::Suspicion;
use crate::run_query::wait_until_lost;
use crate::run_stop::FirstRunEnd;
use crate::run_stop::RunTakeover;
use crate::run_stop::STOP_REPLY_TIMEOUT;
use crate::successor::BegunRun;
use crate::successor::RunOutcome;

/// The silence after which a stream is resumed, as a multiple of the route's event gap.
const SILENCE_GAP_FACTOR: u64 = 4;

/// The reason for a silent stream whose run has ended at its upstream.
const SILENT_RUN_ENDED: &str = "silent, run ended at its upstream";

/// The reason for a stream that ends before its caller leaves, as its host is silent.
const HOST_SILENT: &str = "the host of its run shows no sign of life";

/// The detail of a request whose run was given up and not replaced by another.
const NOT_REPLACED: &str = "no other run replaced it";

/// The reason for a response whose length, or the size of a chunk, is wrong.
pub(crate) const SURPLUS_BYTES: &str = "bytes follow its end";

/// The silence after which a stream is resumed if the route states no event gap.
const DEFAULT_SILENCE_MS: u64 = 1_000;

/// How an upstream's part of a stream ended.
enum RelayEnd {
    /// The stream has ended for its caller.
    Finished(BodyEnd),
    /// Another run has begun to continue the stream.
    Replaced(Box<BegunRun>),
    /// The run has ended, and another upstream may resume the stream.
    ///
    /// For an at-most-once stream, `first_run_end` is how the run ended, if known.
    /// `is_silent` means that neither side has closed the stream, so its end says nothing
    /// of a crash.
    Interrupted {
        reason: &'static str,
        first_run_end: Option<FirstRunEnd>,
        is_silent: bool,
    },
}

impl RelayEnd {
    /// An interruption after which the upstream may still run the request.
    fn may_still_run(reason: &'static str) -> Self {
        Self::Interrupted { reason, first_run_end: None, is_silent: false }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Relays a stream as it arrives and resumes it where allowed.
    pub(crate) fn relay(
        self: Arc<Self>,
        mut context: RequestContext,
        response: UpstreamResponse,
    ) -> Response<ResponseBody> {
        let (pieces, body) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let mut head = self.caller_response(
            response.http.status(),
            response.http.headers(),
            ResponseBody::Stream(body),
        );
        // A successor's events may follow, which the length does not cover.
        head.headers_mut().remove(CONTENT_LENGTH);
        tokio::spawn(async move {
            let ended = self.relay_stream(&mut context, response, &pieces).await;
            match ended {
                BodyEnd::CallerLeft => {
                    self.count_left_caller(&context);
                    self.record_abandoned_run(&context);
                }
                BodyEnd::Complete if context.run_first_event_at.is_some() => {
                    self.record_sound_parts(&mut context);
                }
                BodyEnd::Complete | BodyEnd::Broken(_) | BodyEnd::DeadlinePassed => {}
            }
            context.count_unused_successors();
            self.release_takeover(&mut context);
            self.record_outcome(&context, ended.outcome());
            if ended == BodyEnd::Complete {
                self.record_pace(&context);
                // Without this final piece the caller's connection is closed, which
                // shows the caller that its stream is incomplete.
                let _ = pieces.send(BodyChunk::End).await;
            }
        });
        head
    }

    async fn relay_stream(
        self: &Arc<Self>,
        context: &mut RequestContext,
        response: UpstreamResponse,
        pieces: &mpsc::Sender<BodyChunk>,
    ) -> BodyEnd {
        let mut splitter = EventSplitter::new();
        let mut response = response;
        loop {
            let was_slow = AtomicBool::new(false);
            let relayed = self.relay_from_upstream(
                context,
                &mut response,
                &mut splitter,
                pieces,
                &was_slow,
            );
            let relay_end = relayed.await;
            if was_slow.into_inner() {
                context.detail = SLOW.to_string();
            }
            let (reason, first_run_end, is_silent) = match relay_end {
                RelayEnd::Interrupted { reason, first_run_end, is_silent } => {
                    (reason, first_run_end, is_silent)
                }
                RelayEnd::Replaced(begun) => {
                    response = self.adopt_run(context, &mut splitter, response, *begun);
                    continue;
                }
                RelayEnd::Finished(BodyEnd::Complete) => {
                    response.reservation.settle_part_uses();
                    self.keep_connection(response);
                    return BodyEnd::Complete;
                }
                RelayEnd::Finished(ended) => return ended,
            };
            let upstream = response.reservation.upstream.clone();
            upstream.record_failure(self.clock.now());
            if !is_silent {
                self.record_interrupted_run(context, &upstream);
            }
            self.withdraw_uncertain_origin(context);
            context.runs += 1;
            context.detail = reason.to_string();
            context.left_runs += u32::from(is_silent);
            // The run has ended, or was stopped. A closed connection alone does not prove
            // that, as a suspended upstream does not notice the close.
            drop(response);
            splitter.drop_partial();
            let answer_at = context.answer_due_at();
            let resumed = tokio::select! {
                next = self.resume(context, &splitter, &upstream, first_run_end) => next,
                _ = pieces.closed() => return BodyEnd::CallerLeft,
                _ = self.wait_until_answer_is_due(answer_at, &upstream) => {
                    return BodyEnd::Broken(HOST_SILENT);
                }
            };
            if is_silent {
                self.record_left_run(context, resumed.is_some());
            }
            match resumed {
                Some(next) => response = next,
                None => return BodyEnd::Broken(reason),
            }
        }
    }

    /// Leaves the run of a stream for its successor; returns the response of the latter.
    fn adopt_run(
        self: &Arc<Self>,
        context: &mut RequestContext,
        splitter: &mut EventSplitter,
        left: UpstreamResponse,
        begun: BegunRun,
    ) -> UpstreamResponse {
        let BegunRun { context: successor, response, suspicion } = begun;
        if suspicion == Suspicion::Down {
            self.record_interrupted_run(context, &left.reservation.upstream);
        }
        drop(left);
        splitter.drop_partial();
        context.adopt(successor, suspicion);
        self.metrics.resumed.inc();
        self.metrics.count_left_run("replaced");
        response
    }

    /// Resumes a stream on another upstream after the last complete event.
    async fn resume(
        self: &Arc<Self>,
        context: &mut RequestContext,
        splitter: &EventSplitter,
        upstream: &Arc<Upstream>,
        first_run_end: Option<FirstRunEnd>,
    ) -> Option<UpstreamResponse> {
        if context.route.kind == CallKind::NonRepeatableStream {
            let last_event = splitter.last_id();
            return self
                .resume_from_backup(context, last_event, upstream, first_run_end)
                .await;
        }
        if !self.may_run_after(context, context.runs) {
            return None;
        }
        context.retry =
            Some(self.take_retry(&context.pool.name, RetryKind::Resume).await?);
        context.call.last_event = splitter.last_id().or(context.call.last_event);
        let response = self.forward(context).await.ok()?;
        if response.http.status() != StatusCode::OK {
            return None;
        }
        self.metrics.resumed.inc();
        Some(response)
    }

    /// Returns the longest silence of a stream before its run is suspected.
    pub(crate) fn max_stream_silence(&self, context: &RequestContext) -> Duration {
        let silence_ms =
            context.route.gap_ms.map_or(DEFAULT_SILENCE_MS, |g| g * SILENCE_GAP_FACTOR);
        Duration::from_millis(silence_ms.max(context.route.target_ms * 2))
    }

    async fn relay_from_upstream(
        self: &Arc<Self>,
        context: &mut RequestContext,
        response: &mut UpstreamResponse,
        splitter: &mut EventSplitter,
        pieces: &mpsc::Sender<BodyChunk>,
        was_slow: &AtomicBool,
    ) -> RelayEnd {
        let silence = self.max_stream_silence(context);
        let upstream = response.reservation.upstream.clone();
        let is_delimited = response.http.body().framing().is_delimited();
        let run_takeover = self.run_takeover(context, &upstream);
        let run = run_takeover.as_ref();
        let run_end = Fuse::terminated();
        tokio::pin!(run_end);
        let mut handover = Handover::new(RunOverlap::Forbidden);
        let mut unresponsive_after = silence;
        let mut has_started = false;
        let mut has_sound_parts = false;
        let is_observed = self.observes_runs(&context.pool.name);
        loop {
            let awaited = AwaitedRun {
                upstream: &upstream,
                max_silence: silence,
                is_observed,
                was_slow,
                retry: RetryKind::Resume,
                last_event: splitter.last_id(),
            };
            let left = context.deadline.remaining(self.clock.now());
            let answer_at = context.answer_due_at();
            let next = next_frame(response);
            let ends_early = |frame: &Option<Result<Frame<Bytes>, BodyError>>| {
                matches!(frame, Some(Err(_)))
                    || frame.is_none() && !splitter.is_at_boundary()
            };
            let made = tokio::select! {
                made = self.await_run(context, awaited, next, ends_early) => made,
                _ = pieces.closed() => return RelayEnd::Finished(BodyEnd::CallerLeft),
                _ = sleep(left) => return RelayEnd::Finished(BodyEnd::DeadlinePassed),
                _ = self.wait_until_answer_is_due(answer_at, &upstream) => {
                    self.metrics.count_left_run("host_silent");
                    return RelayEnd::Finished(BodyEnd::Broken(HOST_SILENT));
                }
                run = self.wait_until_unresponsive(run, unresponsive_after, is_observed),
                    if !handover.has_successor() =>
                {
                    handover.record(HandoverEvent::Suspected);
                    let event = match self.reserve_takeover(context, run).await {
                        true => HandoverEvent::Reserved,
                        false => HandoverEvent::Failed,
                    };
                    match handover.record(event) {
                        HandoverStep::Stop => {
                            log_stop(run);
                            run_end.set(self.ensure_run_ended(run).fuse());
                        }
                        _ => unresponsive_after = QUERY_INTERVAL,
                    }
                    continue;
                }
                first_run_end = &mut run_end, if !run_end.is_terminated() => {
                    let reason = SILENT_RUN_ENDED;
                    let first_run_end = Some(first_run_end);
                    return RelayEnd::Interrupted {
                        reason,
                        first_run_end,
                        is_silent: true,
                    };
                }
            };
            let frame = match made {
                RunOutcome::Made(frame) => frame,
                RunOutcome::Replaced(begun) => return RelayEnd::Replaced(begun),
            };
            let is_stop_requested = run.is_some_and(RunTakeover::is_stop_requested);
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                end => {
                    let is_clean_end_complete = is_delimited || !is_stop_requested;
                    let relay_end = end_of_stream(end, splitter, is_clean_end_complete);
                    let last_event = splitter.last_id().or(context.call.last_event);
                    let relay_end = match relay_end {
                        RelayEnd::Finished(BodyEnd::Complete)
                            if response.connection.has_surplus_bytes().await =>
                        {
                            RelayEnd::may_still_run(SURPLUS_BYTES)
                        }
                        RelayEnd::Finished(BodyEnd::Complete)
                            if !is_delimited && last_event.is_none() =>
                        {
                            RelayEnd::may_still_run("ended before the first event")
                        }
                        RelayEnd::Finished(BodyEnd::Complete) if !is_delimited => {
                            self.confirm_unframed_end(context, &upstream).await
                        }
                        relay_end => relay_end,
                    };
                    return wait_for_stop(relay_end, run, run_end).await;
                }
            };
            unresponsive_after = silence;
            if !is_stop_requested && handover.has_successor() {
                run_end.set(Fuse::terminated());
                handover = Handover::new(RunOverlap::Forbidden);
                self.release_takeover(context);
            }
            if context.first_byte_ms.is_none() {
                self.note_first_byte(context);
            }
            if !std::mem::replace(&mut has_started, true) {
                context.run_first_event_at = Some(self.clock.now());
                self.record_prompt_read(context, &mut response.reservation);
            }
            let streamed_ms = context.run_streamed_ms(self.clock.now());
            if !has_sound_parts && streamed_ms.is_some_and(|ms| ms >= SOUND_AFTER_MS) {
                has_sound_parts = true;
                self.record_sound_parts(context);
            }
            let events = match splitter.push(&bytes) {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(OversizedEvent) => {
                    // Not the end of the upstream, so not a sign of a crash.
                    return RelayEnd::Interrupted {
                        reason: "an event was too large",
                        first_run_end: None,
                        is_silent: true,
                    };
                }
            };
            self.record_origin(context, &upstream);
            if let Err(end) = self.send_part(context, pieces, events).await {
                return RelayEnd::Finished(end);
            }
            context.progressed_at = self.clock.now();
        }
    }

    /// Waits until the engine of an at-most-once run should get a request to stop it.
    ///
    /// Never returns if no other engine can take the run over. An engine that its sidecar
    /// reports as alive is merely slow, unless none of its runs makes progress. One whose
    /// sidecar is silent too, or reports it as down or as stalled, is only suspected to
    /// have failed, so its stream is still read.
    async fn wait_until_unresponsive<'r>(
        &self,
        run: Option<&'r RunTakeover>,
        silence: Duration,
        is_observed: bool,
    ) -> &'r RunTakeover {
        let Some(run) = run else { return std::future::pending().await };
        let is_followed = || run.upstream.has_current_feed(self.clock.now());
        let is_stalled = || is_observed && run.upstream.is_stalled();
        let mut stalls = run.upstream.subscribe_to_stalls();
        loop {
            tokio::select! {
                _ = sleep(silence) => match is_followed() && !is_stalled() {
                    true => continue,
                    false => break,
                },
                _ = stalls.wait_for_next(), if is_observed => break,
                _ = wait_until_lost(&run.upstream) => break,
            }
        }
        run.upstream.record_failure(self.clock.now());
        run
    }

    /// Returns the end of a stream that its upstream ended between two events by closing
    /// the connection, which a crash does as well.
    async fn confirm_unframed_end(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
    ) -> RelayEnd {
        match self.has_outlived_response(context, upstream).await {
            true => RelayEnd::Finished(BodyEnd::Complete),
            false => RelayEnd::may_still_run("ended by a crash"),
        }
    }

    /// Returns the connection of a complete response to the pool, unless its upstream has
    /// restarted: what is recorded of the new incarnation must not come from the old one.
    ///
    /// A connection that delimits its response by its end is not used again.
    pub(crate) fn keep_connection(&self, response: UpstreamResponse) {
        let UpstreamResponse { http, connection, reservation, .. } = response;
        if http.body().framing().is_delimited() && !reservation.upstream.has_ended() {
            self.connections.put_idle(connection, http.headers());
        }
    }

    /// Counts a run that was given up, and notes in the log whether another replaced it.
    pub(crate) fn record_left_run(
        &self,
        context: &mut RequestContext,
        is_replaced: bool,
    ) {
        match is_replaced {
            true => self.metrics.count_left_run("replaced"),
            false => {
                self.metrics.count_left_run("answer_ended");
                context.add_detail(NOT_REPLACED);
            }
        }
    }

    fn record_pace(&self, context: &RequestContext) {
        let Some(first_byte_ms) = context.first_byte_ms else { return };
        let took_ms = self.clock.now().ms_since(context.arrived_at) - first_byte_ms;
        self.speed.record_response(
            &context.pool.name,
            took_ms,
            context.call.output_tokens,
        );
    }
}

fn log_stop(run: &RunTakeover) {
    log::warn!(
        target: "stream",
        request = run.attempt.as_str(),
        upstream = run.upstream.id.as_str(),
        successor = run.successor.id.as_str(),
        engine_stalled = run.upstream.is_stalled();
        "stream is silent; asking the upstream to stop the run"
    );
}

/// Returns how an upstream's part of a stream ended.
///
/// With `is_clean_end_complete`, a body that ends between two events is taken as
/// complete.
fn end_of_stream(
    end: Option<Result<Frame<Bytes>, BodyError>>,
    splitter: &EventSplitter,
    is_clean_end_complete: bool,
) -> RelayEnd {
    match end {
        None if !splitter.is_at_boundary() => {
            RelayEnd::may_still_run("ended within an event")
        }
        None if is_clean_end_complete => RelayEnd::Finished(BodyEnd::Complete),
        None => RelayEnd::may_still_run("ended after the stop request"),
        Some(_) => RelayEnd::may_still_run("cut off"),
    }
}

/// Waits for the outcome of a stop request if the stream was cut off meanwhile.
///
/// An engine that stops a run closes the stream first and then transfers the KV cache.
async fn wait_for_stop(
    relay_end: RelayEnd,
    run: Option<&RunTakeover>,
    run_end: Pin<&mut Fuse<impl Future<Output = FirstRunEnd>>>,
) -> RelayEnd {
    match relay_end {
        RelayEnd::Interrupted { reason, is_silent, .. } if !run_end.is_terminated() => {
            run.inspect(|run| run.mark_stream_closed());
            let first_run_end = timeout(STOP_REPLY_TIMEOUT, run_end).await.ok();
            RelayEnd::Interrupted { reason, first_run_end, is_silent }
        }
        relay_end => relay_end,
    }
}

/// Reads the next frame of a response, and before that what was received of it already.
async fn next_frame(
    response: &mut UpstreamResponse,
) -> Option<Result<Frame<Bytes>, BodyError>> {
    if !response.received.is_empty() {
        return Some(Ok(Frame::data(std::mem::take(&mut response.received))));
    }
    response.http.body_mut().frame().await
}

/// Reports whether a response is an event stream.
pub(crate) fn is_stream(
    context: &RequestContext,
    response: &Response<FramedBody>,
) -> bool {
    context.route.kind.is_stream() && response.status().is_success()
}
