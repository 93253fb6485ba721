//! Resumes a request from a backup of its KV cache.
//!
//! This applies to at-most-once streams whose engine crashes. A retry from the start
//! could run the request twice. Another engine that received a copy of the KV cache
//! during the run can instead continue that run, once the run at the first engine has
//! ended.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::RetryKind;
use bilberry_core::WeightsStatus;
use hyper::StatusCode;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::KvCacheCopy;
use crate::RequestContext;
use crate::Reservation;
use crate::Upstream;
use crate::forward::CopySendError;
use crate::forward::NO_RETRY;
use crate::forward::UpstreamResponse;
use crate::retry_permit::RetryPermit;
use crate::run_query::QUERY_INTERVAL;
use crate::run_stop::FirstRunEnd;
use crate::run_stop::RunTakeover;

/// The upper bound of the growing delay between two tries to resume a stopped run.
const MAX_RESUME_DELAY: Duration = Duration::from_secs(2);

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Chooses the engine that keeps a backup of the request's KV cache.
    ///
    /// It must have the same weights and software, as a KV cache computed with others
    /// can't be used. An engine in the same data centre is preferred, as copies between
    /// data centres take twice as long; then the one with the most free memory.
    pub(crate) fn choose_backup(
        &self,
        context: &RequestContext,
        main: &Upstream,
    ) -> Option<Arc<Upstream>> {
        let engine = context.pool.engine.filter(|engine| engine.keeps_backups)?;
        let model = context.call.model.as_deref()?;
        if context.route.kind != CallKind::NonRepeatableStream {
            return None;
        }
        let now = self.clock.now();
        let weights = main.weights(model, now);
        let peers = self.upstreams.of(&context.pool.name);
        let candidates = peers.iter().filter_map(|peer| {
            let candidate = peer.offer(now, &main.data_centre, Some(engine));
            let fits = candidate.free_tokens >= context.call.memory_tokens();
            let suits = peer.id != main.id
                && peer.weights(model, now) == weights
                && peer.software_id() == main.software_id();
            (suits && fits && candidate.usable).then_some((candidate, peer))
        });
        let best = candidates.max_by_key(|(candidate, _)| {
            (candidate.same_data_centre, candidate.free_tokens)
        });
        best.map(|(_, peer)| peer.clone())
    }

    /// Returns the run that the engine with the backup can take over, if there is one.
    pub(crate) fn run_takeover(
        &self,
        context: &RequestContext,
        upstream: &Arc<Upstream>,
    ) -> Option<RunTakeover> {
        let successor = context.backup.clone()?;
        let can_be_stopped = context.pool.engine.is_some_and(|engine| engine.stops_runs);
        let attempt = context.call.attempt.clone();
        Some(RunTakeover {
            attempt,
            upstream: upstream.clone(),
            successor,
            can_be_stopped,
            stream_is_open: AtomicBool::new(true),
            stop_requested: AtomicBool::new(false),
        })
    }

    /// Resumes the run on the engine with the backup, after the last event relayed.
    ///
    /// Returns `None` if that fails or there is no backup, and if the first engine may
    /// still run the request when the caller's deadline passes.
    pub(crate) async fn resume_from_backup(
        self: &Arc<Self>,
        context: &mut RequestContext,
        last_event: Option<u64>,
        upstream: &Arc<Upstream>,
        first_run_end: Option<FirstRunEnd>,
    ) -> Option<UpstreamResponse> {
        let Some(run) = self.run_takeover(context, upstream) else {
            context.add_detail("no engine has a backup of the KV cache");
            return None;
        };
        run.mark_stream_closed();
        let left = context.deadline.remaining(self.clock.now());
        let first_run_end = match first_run_end {
            None => timeout(left, self.ensure_run_ended(&run)).await.ok(),
            known => known,
        };
        let Some(first_run_end) = first_run_end else {
            context.add_detail("the first engine may still run the request");
            return None;
        };
        let backup = context.backup.take()?;
        // An engine that stopped a run keeps its KV cache, whether it was transferred or not.
        let kept = match &first_run_end {
            FirstRunEnd::Moved(copy) | FirstRunEnd::Kept(copy) => Some(copy.clone()),
            FirstRunEnd::Ended(_) => None,
        };
        let copy = match first_run_end {
            FirstRunEnd::Moved(copy) => Some(copy),
            // The KV cache may never have been copied. An engine that hangs does not look
            // for a copy and runs the request from the beginning.
            FirstRunEnd::Ended(_) | FirstRunEnd::Kept(_) if last_event.is_none() => None,
            FirstRunEnd::Ended(_) | FirstRunEnd::Kept(_) => {
                let name = context.call.attempt.clone();
                Some(KvCacheCopy { named_by: backup.address, name })
            }
        };
        let last_event = last_event.or(context.call.last_event);
        if copy.is_none() {
            context.add_detail("no event was received before the run ended");
        }
        let mut copies =
            [copy.map(|copy| (backup, copy)), kept.map(|kept| (upstream.clone(), kept))];
        let mut sent = Err(CopySendError::CopyLost);
        let mut delay = QUERY_INTERVAL;
        // While an engine keeps the KV cache, the stopped run can still go on there.
        loop {
            for found in &mut copies {
                let Some((engine, copy)) = found.clone() else { continue };
                sent = self.resume_at(context, upstream, &engine, last_event, copy).await;
                match sent {
                    Ok(_) | Err(CopySendError::MayHaveRun) => break,
                    Err(CopySendError::CopyLost) => *found = None,
                    Err(CopySendError::NotRun) => {}
                }
            }
            self.release_takeover(context);
            let is_kept =
                copies[1].as_ref().is_some_and(|(engine, _)| !engine.has_ended());
            let may_repeat = !matches!(sent, Ok(_) | Err(CopySendError::MayHaveRun));
            if !may_repeat || !is_kept || !self.has_time(context) {
                break;
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RESUME_DELAY);
        }
        let response = sent.ok();
        self.metrics.count_send(match response {
            Some(_) => "resumed_from_copy",
            None => "no_copy",
        });
        if response.is_none() {
            context.add_detail("the backup engine did not resume the run");
        }
        response.filter(|response| response.http.status() == StatusCode::OK)
    }

    /// Resumes a run on an engine that has its KV cache: the one with the backup, or the one
    /// that has stopped the run.
    async fn resume_at(
        self: &Arc<Self>,
        context: &mut RequestContext,
        stopped_at: &Arc<Upstream>,
        engine: &Arc<Upstream>,
        last_event: Option<u64>,
        copy: KvCacheCopy,
    ) -> Result<UpstreamResponse, CopySendError> {
        let is_backup = !Arc::ptr_eq(stopped_at, engine);
        let obstacle = self.takeover_obstacle(context, engine, stopped_at);
        if let Some(obstacle) = obstacle.filter(|_| is_backup) {
            context.add_detail(obstacle);
            return Err(CopySendError::NotRun);
        }
        let reserved = context.takeover_retry.take_if(|_| is_backup);
        context.retry = match reserved {
            Some(retry) => Some(retry),
            None => self.acquire_takeover(context, engine).await,
        };
        if context.retry.is_none() {
            return Err(CopySendError::NotRun);
        }
        let reservation = self.reserve_memory(context, engine.clone());
        let sent = self.send_to_backup(context, reservation, last_event, copy).await;
        if is_backup && sent.is_err() {
            context.add_detail("the backup engine rejected the run");
        }
        sent
    }

    /// Takes the retry and the permit for the engine with the backup to take a run over;
    /// returns whether the run may be stopped for it.
    pub(crate) async fn reserve_takeover(
        &self,
        context: &mut RequestContext,
        run: &RunTakeover,
    ) -> bool {
        let backup = &run.successor;
        if self.takeover_obstacle(context, backup, &run.upstream).is_some() {
            return false;
        }
        context.takeover_retry = self.acquire_takeover(context, backup).await;
        context.takeover_retry.is_some()
    }

    /// Returns the retry and the permit of a takeover that is not needed.
    pub(crate) fn release_takeover(&self, context: &mut RequestContext) {
        if context.takeover_retry.take().is_some() {
            self.return_permit(context);
        }
    }

    async fn acquire_takeover(
        &self,
        context: &mut RequestContext,
        engine: &Arc<Upstream>,
    ) -> Option<Arc<RetryPermit>> {
        let retry = self.take_retry(&context.pool.name, RetryKind::Resume).await;
        if retry.is_none() {
            context.add_detail(NO_RETRY);
        }
        let retry = retry?;
        self.acquire_permit(context, engine, false).await.then_some(retry)
    }

    fn reserve_memory(
        &self,
        context: &RequestContext,
        engine: Arc<Upstream>,
    ) -> Reservation {
        let changed = self.upstreams.changed.clone();
        Reservation::take(engine, context.call.memory_tokens(), 0, changed)
    }

    /// Returns why the engine with the backup can't take a run over, if it can't.
    fn takeover_obstacle(
        &self,
        context: &RequestContext,
        backup: &Upstream,
        upstream: &Upstream,
    ) -> Option<&'static str> {
        let model = context.model();
        let now = self.clock.now();
        let version = backup.weights(model, now);
        let is_excluded =
            self.classify_weights(version, model, now) == WeightsStatus::Excluded;
        let has_loaded = |engine: &Upstream| {
            context.weights.is_some() && engine.weights(model, now) != context.weights
        };
        match () {
            _ if is_excluded => Some("the backup engine's weights are outdated"),
            // A load discards the KV cache, and what remains of it can't be used.
            _ if has_loaded(backup) || has_loaded(upstream) => {
                Some("an engine has loaded other weights since the run began")
            }
            // Either engine may have started again with other software.
            _ if backup.software_id() != upstream.software_id()
                || !context.start.may_continue_at(backup) =>
            {
                Some("the backup engine has other software")
            }
            _ if backup.is_leaving() => {
                Some("the backup engine is shutting down or has stopped")
            }
            _ if backup.paused_until(now).is_some() => {
                Some("the backup engine asked for a pause")
            }
            _ if self.is_suspect(context) => {
                Some("the request may crash the backup engine as well")
            }
            _ => None,
        }
    }
}
