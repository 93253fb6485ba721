//! Where a request is placed, and how long it waits for room.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Demand;
use bilberry_core::Name;
use bilberry_core::Offer;
use bilberry_core::UnixMs;
use bilberry_core::Weights;
use bilberry_core::place;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Refusal;
use crate::Seat;
use crate::Upstream;

/// How long a waiting request sleeps at most before it looks again.
///
/// Room also appears as time passes: a pause ends, a load ends unseen.
const LOOK_AGAIN_MS: u64 = 25;

/// The part of a caller's patience for which its request waits for room.
const WAIT_PART: u64 = 3;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits for an upstream with room and takes a seat there.
    pub(crate) async fn seat(&self, job: &mut Job) -> Result<Seat, Refusal> {
        let began = self.clock.now();
        let patience_ms = job.deadline.ms_since(began) / WAIT_PART;
        let until = began.plus_ms(patience_ms);
        let seat = loop {
            // Asked for before the look, so that no change in between is missed.
            let changed = self.upstreams.changed.notified();
            let looked_at = self.clock.now();
            let mut look_again_ms = LOOK_AGAIN_MS;
            let mut awaits_parts = false;
            if let Some(choice) = self.choose(job) {
                let Some(read_by) = self.awaits_until(job, &choice) else {
                    break Ok(self.take(job, choice));
                };
                look_again_ms = read_by.ms_since(looked_at);
                awaits_parts = true;
            }
            let now = self.clock.now();
            let has_none = self.upstreams.is_listed()
                && self.upstreams.of(&job.pool.name).is_empty();
            let is_paused = self.all_paused_until(&job.pool.name, now);
            let is_paused = is_paused.is_some_and(|paused_until| paused_until > until);
            if until.has_passed_at(now) || has_none || is_paused {
                break Err(Refusal::NoRoom);
            }
            if self.lacks_weights(job, until, now) {
                break Err(Refusal::NoWeights);
            }
            let nap_ms = until.ms_since(now).min(look_again_ms).max(1);
            let _ = timeout(Duration::from_millis(nap_ms), changed).await;
            if awaits_parts {
                job.waited_for_parts_ms += self.clock.now().ms_since(looked_at);
            }
        };
        let waited_ms = self.clock.now().ms_since(began);
        job.waited_ms += waited_ms;
        self.metrics.wait_seconds.observe(waited_ms as f64 / 1_000.0);
        seat
    }

    /// Returns the earliest end of the pauses that all upstreams of a service have asked
    /// for, those that leave aside; `None` if one of them has asked for none.
    pub(crate) fn all_paused_until(&self, pool: &Name, now: UnixMs) -> Option<UnixMs> {
        let upstreams = self.upstreams.of(pool);
        let not_leaving = upstreams.iter().filter(|upstream| !upstream.is_leaving());
        let ends: Option<Vec<UnixMs>> =
            not_leaving.map(|upstream| upstream.paused_until(now)).collect();
        ends?.into_iter().min()
    }

    /// Reports whether all upstreams have weights that are too old, and none of them
    /// is known to have others by `until`.
    ///
    /// A request that waited for them would be refused in the end. Where no upstream
    /// is left, or none is listed yet, one may appear at any moment, with any weights.
    fn lacks_weights(&self, job: &Job, until: UnixMs, now: UnixMs) -> bool {
        let Some(model) = &job.call.model else { return false };
        let upstreams = self.upstreams.of(&job.pool.name);
        let mut not_leaving = upstreams.iter().filter(|upstream| !upstream.is_leaving());
        let is_barred = |upstream: &Arc<Upstream>| {
            let version = upstream.weights(model, now);
            self.judge_weights(version, model, now) == Weights::Barred
                && !upstream.may_load_by(until, now)
        };
        not_leaving.next().is_some_and(is_barred) && not_leaving.all(is_barred)
    }

    /// Judges whether an upstream with this version of a model's weights may still
    /// serve.
    pub(crate) fn judge_weights(
        &self,
        version: Option<u64>,
        model: &str,
        now: UnixMs,
    ) -> Weights {
        let lacking_ms = self.weights.lacking_ms(model, version, now);
        Weights::lacking(lacking_ms, self.settings.weights_bound_ms)
    }

    /// Chooses an upstream with room, if there is one.
    fn choose(&self, job: &mut Job) -> Option<Choice> {
        let now = self.clock.now();
        // The request waits until its quarantine takes effect or is lifted.
        if self.crashes.is_quarantine_pending(job.key, now) {
            return None;
        }
        let upstreams = self.upstreams.of(&job.pool.name);
        self.note_outage(&job.pool.name, &upstreams, now);
        let model = job.call.model.clone().unwrap_or_default();
        let needs_weights = job.call.model.is_some() && job.pool.engine.is_some();
        let can_fetch = self.stores.any_answers();
        let demand = job.demand(can_fetch, self.pace.token_us(&job.pool.name));
        let mut versions = Vec::with_capacity(upstreams.len());
        let mut offers: Vec<Offer> = upstreams
            .iter()
            .map(|upstream| {
                let mut offer =
                    upstream.offer(now, &self.settings.place, job.pool.engine);
                offer.usable &= !job.has_tried(upstream);
                let version = upstream.weights(&model, now);
                offer.weights = self.judge_weights(version, &model, now);
                match version {
                    Some(version) => {
                        offer.held_tokens = job.keys(version).held_tokens(upstream, now);
                    }
                    // Without a version no salt can be named, and the prompt would
                    // be cached where every customer and every version finds it.
                    None => offer.usable &= !needs_weights,
                }
                versions.push(version);
                offer
            })
            .collect();
        if self.is_suspect(job) {
            keep_least_loaded(&mut offers);
        }
        let at = place(&demand, &offers)?;
        let version = versions[at].filter(|_| job.call.model.is_some());
        let like = offers.iter().zip(&versions).filter(|(_, other)| **other == version);
        let held_tokens = like.map(|(offer, _)| offer.held_tokens).max();
        Some(Choice {
            upstream: upstreams[at].clone(),
            demand,
            weights: version,
            held_tokens: held_tokens.unwrap_or_default(),
        })
    }

    fn note_outage(&self, pool: &Name, upstreams: &[Arc<Upstream>], now: UnixMs) {
        let any_lives = upstreams.iter().any(|upstream| upstream.lives(now));
        let mut outages = self.outages.lock().unwrap();
        outages.entry(pool.clone()).or_default().note(now, any_lives);
    }

    /// Takes a seat where it was chosen.
    fn take(&self, job: &mut Job, choice: Choice) -> Seat {
        let Choice { upstream, demand, weights, .. } = choice;
        let model = job.call.model.clone().unwrap_or_default();
        job.weights = weights;
        job.lacking_ms = self.weights.lacking_ms(&model, weights, self.clock.now());
        if job.lacking_ms.is_some() {
            self.metrics.placed_on_older_weights.inc();
        }
        let missing = demand.shared_tokens + demand.own_tokens;
        let changed = self.upstreams.changed.clone();
        Seat::take(upstream, demand.memory_tokens(), missing, changed)
    }
}

/// Where a request is to go.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) demand: Demand,
    /// The weights there.
    pub(crate) weights: Option<u64>,
    /// The most shared tokens that an upstream with these weights holds.
    pub(crate) held_tokens: u64,
}

/// Leaves only the upstreams at which least runs, so that a crash cuts the fewest others.
fn keep_least_loaded(offers: &mut [Offer]) {
    let usable = offers.iter().filter(|offer| offer.usable);
    let least = usable.map(|offer| offer.running).min().unwrap_or_default();
    offers.iter_mut().for_each(|offer| offer.usable &= offer.running == least);
}
