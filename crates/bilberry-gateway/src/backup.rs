//! Going on from a copy of a request's memory.
//!
//! The load pattern: a stream that runs at most once, cut by the crash of its
//! engine. Sent anew it might run twice. From a copy that another engine was
//! given as the request ran, it goes on as the same run, once the first one is over.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bilberry_core::Clock;
use bilberry_core::Repeat;
use bilberry_core::Weights;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::CallKind;
use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::MemoryCopy;
use crate::Seat;
use crate::Upstream;
use crate::forward::Answer;
use crate::stopping::DoubtfulRun;
use crate::stopping::FirstRun;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Chooses the engine that keeps a copy of the request's memory.
    ///
    /// One with the same weights, as memory made by others can't be gone on from;
    /// near, as copies between data centres take twice as long; and with most room.
    pub(crate) fn choose_backup(
        &self,
        job: &Job,
        main: &Upstream,
    ) -> Option<Arc<Upstream>> {
        let engine = job.pool.engine.filter(|engine| engine.keeps_backups)?;
        let model = job.call.model.as_deref()?;
        if job.route.kind != CallKind::OnceStream {
            return None;
        }
        let now = self.clock.now();
        let weights = main.weights(model, now);
        let peers = self.upstreams.of(&job.pool.name);
        let candidates = peers.iter().filter_map(|peer| {
            let offer = peer.offer(now, &main.place, Some(engine));
            let fits = offer.free_tokens >= job.call.memory_tokens();
            let suits = peer.id != main.id && peer.weights(model, now) == weights;
            (suits && fits && offer.usable).then_some((offer, peer))
        });
        let best =
            candidates.max_by_key(|(offer, _)| (offer.same_place, offer.free_tokens));
        best.map(|(_, peer)| peer.clone())
    }

    /// Returns the run that the engine with the copy is to go on with.
    pub(crate) fn doubtful_run(
        &self,
        job: &Job,
        upstream: &Arc<Upstream>,
    ) -> Option<DoubtfulRun> {
        let next = job.backup.clone()?;
        let can_be_stopped = job.pool.engine.is_some_and(|engine| engine.stops_runs);
        let attempt = job.call.attempt.clone();
        Some(DoubtfulRun {
            attempt,
            upstream: upstream.clone(),
            next,
            can_be_stopped,
            stream_is_open: AtomicBool::new(true),
            asked_to_stop: AtomicBool::new(false),
        })
    }

    /// Has the engine with the copy go on after the last event that was passed on.
    ///
    /// `None` if there is no copy, and if the run may still go on at the first engine when
    /// the caller's time is over.
    pub(crate) async fn resume_from_backup(
        self: &Arc<Self>,
        job: &mut Job,
        last_event: Option<u64>,
        upstream: &Arc<Upstream>,
        first_run: Option<FirstRun>,
    ) -> Option<Answer> {
        let Some(run) = self.doubtful_run(job, upstream) else {
            job.add_detail("no engine kept a copy");
            return None;
        };
        run.note_stream_closed();
        let left = job.deadline.left(self.clock.now());
        let first_run = match first_run {
            None => timeout(left, self.end_run(&run)).await.ok(),
            known => known,
        };
        let Some(first_run) = first_run else {
            job.add_detail("its engine may still run it");
            return None;
        };
        let backup = job.backup.take()?;
        let copy = match first_run {
            FirstRun::Moved(copy) => copy,
            // Its memory may never have been copied; an engine that hangs looks for no
            // copy and runs what reaches it, from the beginning.
            FirstRun::Over(_) if last_event.is_none() => {
                job.add_detail("nothing had come of it");
                return None;
            }
            FirstRun::Over(_) => {
                let name = job.call.attempt.clone();
                MemoryCopy { named_by: backup.address, name }
            }
        };
        let model = job.call.model.as_deref().unwrap_or_default();
        let now = self.clock.now();
        let version = backup.weights(model, now);
        let barred = self.judge_weights(version, model, now) == Weights::Barred;
        let obstacle = match () {
            _ if barred => Some("the copy's engine has older weights"),
            _ if backup.is_leaving() => Some("the copy's engine leaves or is gone"),
            _ if backup.paused_until(now).is_some() => {
                Some("the copy's engine asked for a pause")
            }
            _ if self.is_suspect(job) => Some("it may crash the next engine as well"),
            _ if !self.may_repeat(&job.pool.name, Repeat::GoOn) => {
                Some("no repeats are left")
            }
            _ => None,
        };
        if let Some(obstacle) = obstacle {
            job.add_detail(obstacle);
            return None;
        }
        let changed = self.upstreams.changed.clone();
        let seat = Seat::take(backup, job.call.memory_tokens(), 0, changed);
        let last_event = last_event.or(job.call.last_event);
        let answer = self.send_to_copy(job, seat, last_event, copy).await;
        self.metrics.count_send(match answer {
            Some(_) => "resumed_from_copy",
            None => "no_copy",
        });
        if answer.is_none() {
            job.add_detail("the copy was not there");
        }
        answer.filter(|answer| answer.response.status() == StatusCode::OK)
    }
}
