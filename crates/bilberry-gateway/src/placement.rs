//! Chooses an upstream for a request and waits for capacity.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::PlacementCandidate;
use bilberry_core::PlacementRequest;
use bilberry_core::PredictedTimes;
use bilberry_core::RequestStatus;
use bilberry_core::ServiceBacklog;
use bilberry_core::UnixMs;
use bilberry_core::WeightsStatus;
use bilberry_core::choose_upstream;
use bilberry_core::predict_times;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Dialect;
use crate::Gateway;
use crate::Refusal;
use crate::RequestContext;
use crate::Reservation;
use crate::Upstream;
use crate::admission::AdmissionAttempts;
use crate::admission::AdmissionGuard;
use crate::admission::AdmissionResult;
use crate::trials::Trial;

/// The longest sleep of a waiting request between two placement attempts.
///
/// Capacity may also appear without a notification, as when a pause ends or an upstream
/// finishes loading weights unnoticed.
const PLACEMENT_RETRY_MS: u64 = 25;

/// The divisor of the time left to the deadline that gives the longest wait for capacity.
const WAIT_DIVISOR: u64 = 3;

/// The longest wait while all upstreams limit their requests, in multiples of the target
/// latency.
///
/// The limits admit the same number of requests whoever waits, so those that would be
/// late leave the place to others.
const LIMITED_WAIT_TARGETS: u64 = 2;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Waits for an upstream with capacity and reserves it.
    pub(crate) async fn acquire_reservation(
        &self,
        context: &mut RequestContext,
    ) -> Result<Reservation, Refusal> {
        let began = self.clock.now();
        let max_wait_ms = context.deadline.ms_since(began) / WAIT_DIVISOR;
        let until = began.plus_ms(max_wait_ms);
        let limited_wait_ms = context.route.target_ms * LIMITED_WAIT_TARGETS;
        let limited_until = began.plus_ms(max_wait_ms.min(limited_wait_ms));
        let waiting = self.waiting.enter(&context.pool.name);
        let mut attempts = AdmissionAttempts::default();
        context.admission_retry_ms = None;
        let reservation = loop {
            // Created before the check, so that no change in between is missed.
            let changed = self.upstreams.changed.notified();
            // The causes of crashes may become known while the request waits, and the time
            // until the end of a stop may become too short.
            let checked = self.check_quarantine(context);
            if let Err(refusal) = checked.and_then(|()| self.check_stop(context)) {
                break Err(refusal);
            }
            let checked_at = self.clock.now();
            let mut retry_ms = PLACEMENT_RETRY_MS;
            let mut waits_for_parts = false;
            let choice = self.choose(context, &attempts);
            // The sidecars reject a request at once, so that its caller can return.
            let is_rejected =
                attempts.is_rejected() && (choice.is_none() || attempts.is_exhausted());
            if is_rejected {
                context.admission_retry_ms = attempts.retry_after_ms;
                break Err(Refusal::NoCapacity);
            }
            if let Some(choice) = choice {
                let Some(wait_until) = self.prefill_wait_deadline(context, &choice)
                else {
                    let admission =
                        match self.request_admission(context, &choice, until).await {
                            AdmissionResult::Unneeded => None,
                            AdmissionResult::Admitted(guard) => Some(guard),
                            other => {
                                attempts.record(&choice.upstream, &other);
                                if until.has_passed_at(self.clock.now()) {
                                    break Err(Refusal::NoCapacity);
                                }
                                continue;
                            }
                        };
                    let upstream = &choice.upstream;
                    let is_admitted = admission.is_some();
                    if self.acquire_permit(context, upstream, is_admitted).await {
                        break Ok(self.reserve(context, choice, admission));
                    }
                    continue;
                };
                retry_ms = wait_until.ms_since(checked_at);
                waits_for_parts = true;
            }
            let now = self.clock.now();
            let has_none = self.upstreams.is_list_complete()
                && self.upstreams.of(&context.pool.name).is_empty();
            let held_back = self.held_back(&context.pool.name, waiting.ahead, now);
            let is_hopeless = held_back.is_some_and(|held_back| {
                held_back.is_hopeless(began, until, limited_until, now)
            });
            if until.has_passed_at(now) || has_none || is_hopeless {
                break Err(Refusal::NoCapacity);
            }
            if self.lacks_required_software(context) {
                break Err(Refusal::StreamSoftwareGone);
            }
            if self.all_weights_barred(context, until, now) {
                break Err(Refusal::NoWeights);
            }
            let wait_ms = until.ms_since(now).min(retry_ms).max(1);
            let _ = timeout(Duration::from_millis(wait_ms), changed).await;
            if waits_for_parts {
                context.waited_for_parts_ms += self.clock.now().ms_since(checked_at);
            }
        };
        let waited_ms = self.clock.now().ms_since(began);
        context.waited_ms += waited_ms;
        self.metrics.wait_seconds.observe(waited_ms as f64 / 1_000.0);
        reservation
    }

    /// Reports whether all upstreams have weights that are too old, and none of them may
    /// load others by `until`.
    ///
    /// A request that waited for them would be refused in the end. If no upstream is left
    /// or listed yet, the result is false, as one may appear at any time with any
    /// weights.
    fn all_weights_barred(
        &self,
        context: &RequestContext,
        until: UnixMs,
        now: UnixMs,
    ) -> bool {
        let Some(model) = &context.call.model else { return false };
        let upstreams = self.upstreams.of(&context.pool.name);
        let mut not_leaving = upstreams.iter().filter(|upstream| !upstream.is_leaving());
        let is_excluded = |upstream: &Arc<Upstream>| {
            let version = upstream.weights(model, now);
            self.classify_weights(version, model, now) == WeightsStatus::Excluded
                && !upstream.may_load_by(until, now)
        };
        not_leaving.next().is_some_and(is_excluded) && not_leaving.all(is_excluded)
    }

    /// Classifies whether an upstream with this version of a model's weights may still
    /// serve requests.
    pub(crate) fn classify_weights(
        &self,
        version: Option<u64>,
        model: &str,
        now: UnixMs,
    ) -> WeightsStatus {
        let lacking_ms = self.weights.lacking_ms(model, version, now);
        WeightsStatus::classify(lacking_ms, self.settings.outdated_weights_max_ms)
    }

    /// Chooses an upstream with capacity, if there is one.
    fn choose(
        &self,
        context: &mut RequestContext,
        attempts: &AdmissionAttempts,
    ) -> Option<Placement> {
        let now = self.clock.now();
        let standing = self.standing(context);
        // The request waits until its quarantine takes effect or is lifted, and for the
        // end of another trial of its parts.
        if standing.is_pending || !self.begin_trial(context, &standing) {
            return None;
        }
        let upstreams = self.upstreams.of(&context.pool.name);
        self.choose_scope(context, &upstreams, now);
        self.update_outage(&context.pool.name, &upstreams, now);
        let model = context.call.model.clone().unwrap_or_default();
        let needs_weights = context.call.model.is_some() && context.pool.engine.is_some();
        let can_fetch = self.stores.any_reachable();
        let token_us = self.speed.token_us(&context.pool.name);
        let request = context.demand(can_fetch, token_us, now);
        // The end of the prefill shows only in streams.
        let is_ordered = context.route.kind.is_stream()
            && self.is_ordered(&context.pool.name)
            && !attempts.is_exhausted();
        let priority = u32::from(context.priority());
        let backlogs = || upstreams.iter().map(|upstream| upstream.prefill_backlog(now));
        let backlog = self
            .has_shared_hosts(&context.pool.name)
            .then(|| ServiceBacklog::sum(backlogs(), now));
        let required = context.start.required();
        let mut versions = Vec::with_capacity(upstreams.len());
        let mut asks_admission = Vec::with_capacity(upstreams.len());
        let mut candidates: Vec<PlacementCandidate> = upstreams
            .iter()
            .map(|upstream| {
                let mut candidate =
                    upstream.offer(now, &self.settings.data_centre, context.pool.engine);
                let admission = match is_ordered && !attempts.is_unavailable(upstream) {
                    true => {
                        let priority = context.priority();
                        let engine = context.pool.engine;
                        upstream.admission_offer(&candidate, engine, priority, now)
                    }
                    false => None,
                };
                asks_admission.push(admission.is_some());
                candidate = admission.unwrap_or(candidate);
                candidate.usable &=
                    !context.has_tried(upstream) && !attempts.has_rejected(upstream);
                candidate.usable &= required.allows(upstream);
                match &backlog {
                    Some(backlog) => {
                        candidate.reported_pending_tokens =
                            upstream.reported_pending_tokens(priority, now);
                        candidate.mean_pending_tokens = upstream
                            .prefill_backlog(now)
                            .mean_pending_tokens(backlog, now);
                    }
                    None => candidate.pace = None,
                }
                let version = upstream.weights(&model, now);
                candidate.weights = self.classify_weights(version, &model, now);
                match version {
                    Some(version) => {
                        candidate.cached_tokens =
                            context.keys(version).cached_tokens(upstream, now);
                    }
                    // Without a version there is no salt, and the cached prompt would be
                    // shared between all customers and all versions.
                    None => candidate.usable &= !needs_weights,
                }
                versions.push(version);
                candidate
            })
            .collect();
        match &context.trial {
            Some(trial) => keep_trial_target(&mut candidates, trial),
            None if standing.status != RequestStatus::Good => {
                keep_least_loaded(&mut candidates);
            }
            None => {
                let runs_once = !context.route.kind.is_repeatable();
                avoid_if_possible(&mut candidates, |index| {
                    let upstream = &upstreams[index];
                    upstream.is_host_doubtful(now) || runs_once && upstream.is_stalled()
                });
            }
        }
        let index = choose_with_last(&request, &candidates, |index| {
            attempts.is_unavailable(&upstreams[index])
        })?;
        let version = versions[index].filter(|_| context.call.model.is_some());
        let same_weights =
            candidates.iter().zip(&versions).filter(|(_, other)| **other == version);
        let cached_tokens =
            same_weights.map(|(candidate, _)| candidate.cached_tokens).max();
        let predicted = predict_times(&request, &candidates, index);
        let available_tokens = match (version, predicted) {
            (Some(version), _) if asks_admission[index] => {
                self.available_tokens(context, version)
            }
            // Predictions count the work ahead, which excludes what is cached.
            (_, Some(_)) => candidates[index].cached_tokens,
            (_, None) => 0,
        };
        let prompt_tokens = request.shared_tokens + request.own_tokens;
        Some(Placement {
            upstream: upstreams[index].clone(),
            prefill_tokens: prompt_tokens.saturating_sub(available_tokens),
            predicted,
            demand: request,
            weights: version,
            asks_admission: asks_admission[index],
            cached_tokens: cached_tokens.unwrap_or_default(),
        })
    }

    fn update_outage(&self, pool: &Name, upstreams: &[Arc<Upstream>], now: UnixMs) {
        let any_alive = upstreams.iter().any(|upstream| upstream.is_alive(now));
        let mut outages = self.outages.lock().unwrap();
        outages.entry(pool.clone()).or_default().record(now, any_alive);
    }

    /// Reserves capacity at the chosen upstream.
    fn reserve(
        &self,
        context: &mut RequestContext,
        choice: Placement,
        admission: Option<AdmissionGuard>,
    ) -> Reservation {
        let Placement { upstream, demand, prefill_tokens, predicted, weights, .. } =
            choice;
        let model = context.call.model.clone().unwrap_or_default();
        context.weights = weights;
        context.weights_outdated_ms =
            self.weights.lacking_ms(&model, weights, self.clock.now());
        if context.weights_outdated_ms.is_some() {
            self.metrics.placed_on_older_weights.inc();
        }
        context.predicted = predicted;
        if predicted.is_some_and(|times| times.is_late) {
            self.metrics.predicted_late.inc();
        }
        let changed = self.upstreams.changed.clone();
        let memory_tokens = demand.memory_tokens();
        Reservation::take(upstream, memory_tokens, prefill_tokens, changed)
            .with_admission(admission)
    }
}

/// The upstream chosen for a request.
#[derive(Debug)]
pub(crate) struct Placement {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) demand: PlacementRequest,
    /// The predicted times, if the pace of any upstream is known.
    pub(crate) predicted: Option<PredictedTimes>,
    /// The version of the upstream's weights.
    pub(crate) weights: Option<u64>,
    /// The prompt tokens that the upstream has to prefill; all of them if its sidecar does
    /// not decide on admissions.
    pub(crate) prefill_tokens: u64,
    /// Whether the upstream's sidecar decides on the admission of the request.
    pub(crate) asks_admission: bool,
    /// The largest number of shared tokens that any upstream with these weights holds.
    pub(crate) cached_tokens: u64,
}

/// Makes the candidates that are to be avoided unusable if there are others.
fn avoid_if_possible(
    candidates: &mut [PlacementCandidate],
    is_avoided: impl Fn(usize) -> bool,
) {
    let mut usable = (0..candidates.len()).filter(|&index| candidates[index].usable);
    if usable.any(|index| !is_avoided(index)) {
        for (index, candidate) in candidates.iter_mut().enumerate() {
            candidate.usable &= !is_avoided(index);
        }
    }
}

/// Chooses among the candidates, and takes one of those that are `last` only if no other
/// has capacity.
fn choose_with_last(
    request: &PlacementRequest,
    candidates: &[PlacementCandidate],
    is_last: impl Fn(usize) -> bool,
) -> Option<usize> {
    if !(0..candidates.len()).any(&is_last) {
        return choose_upstream(request, candidates);
    }
    let mut preferred = candidates.to_vec();
    for (index, candidate) in preferred.iter_mut().enumerate() {
        candidate.usable &= !is_last(index);
    }
    choose_upstream(request, &preferred).or_else(|| choose_upstream(request, candidates))
}

/// Keeps only one upstream usable, which all entries choose for trials of the same part, so
/// that trials in progress at the same time crash one server.
fn keep_trial_target(candidates: &mut [PlacementCandidate], trial: &Trial) {
    let Some(part) = trial.parts().first() else { return };
    let rank = |seed: u64| xxh3_64_with_seed(&part.0.to_le_bytes(), seed);
    let has_capacity = |candidate: &&PlacementCandidate| {
        candidate.usable
            && candidate.free_slots > 0
            && candidate.weights != WeightsStatus::Excluded
    };
    let with_capacity = candidates.iter().filter(has_capacity);
    let target = with_capacity.map(|candidate| candidate.seed).max_by_key(|s| rank(*s));
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.usable &= Some(candidate.seed) == target);
}

/// Keeps only the least loaded upstreams usable, so that a crash affects the fewest runs.
fn keep_least_loaded(candidates: &mut [PlacementCandidate]) {
    let usable = candidates.iter().filter(|candidate| candidate.usable);
    let least = usable.map(|candidate| candidate.running).min().unwrap_or_default();
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.usable &= candidate.running == least);
}
