//! The admission of requests to an upstream, as known to this entry.

use std::sync::Arc;

use bilberry_core::PlacementCandidate;
use bilberry_core::UnixMs;

use crate::EngineConfig;
use crate::Upstream;
use crate::admission::AdmissionQueue;

/// The prompt tokens of a request that waits for its admission, counted until dropped.
#[derive(Debug)]
pub(crate) struct AwaitedAdmission {
    upstream: Arc<Upstream>,
    priority: u8,
    tokens: u64,
}

impl Upstream {
    /// Sets the queue of admission messages to its sidecar.
    pub(crate) fn set_admission_queue(&self, queue: AdmissionQueue) {
        *self.admissions.lock().unwrap() = Some(queue);
    }

    /// Returns the queue of admission messages to its sidecar.
    pub(crate) fn admission_queue(&self) -> Option<AdmissionQueue> {
        self.admissions.lock().unwrap().clone()
    }

    /// Counts the prompt tokens of a request that waits for its admission.
    pub(crate) fn count_awaiting(
        self: &Arc<Self>,
        priority: u8,
        tokens: u64,
    ) -> AwaitedAdmission {
        *self.live.lock().unwrap().awaiting_tokens.entry(priority).or_default() += tokens;
        AwaitedAdmission { upstream: self.clone(), priority, tokens }
    }

    /// Returns the number of requests that it can run.
    pub(crate) fn slots(&self) -> u64 {
        self.live.lock().unwrap().slots
    }

    /// Reports whether its sidecar reports it as up and not loading, and it has neither
    /// asked for a pause nor is leaving.
    pub(crate) fn is_serving(&self, now: UnixMs) -> bool {
        let live = self.live.lock().unwrap();
        let is_up = live.fresh_feed(now).is_some_and(|state| state.up && !state.loading);
        is_up && !live.leaving && live.paused_until.has_passed_at(now)
    }

    /// Returns the offer to a request that its sidecar decides on; `None` if the sidecar
    /// does not decide on admissions.
    ///
    /// Neither slots nor memory in use matter, as the sidecar queues the request.
    pub(crate) fn admission_offer(
        &self,
        offer: &PlacementCandidate,
        engine: Option<EngineConfig>,
        priority: u8,
        now: UnixMs,
    ) -> Option<PlacementCandidate> {
        let live = self.live.lock().unwrap();
        let state = live.fresh_feed(now)?;
        let load = state.admission.as_ref()?;
        let waiting = load.waiting.iter();
        let waiting = waiting.filter(|waiting| waiting.priority <= priority.into());
        let reported =
            load.admitted_tokens + waiting.map(|waiting| waiting.tokens).sum::<u64>();
        let awaiting = live.awaiting_tokens.range(..=priority);
        let own = live.pending_tokens + awaiting.map(|(_, tokens)| tokens).sum::<u64>();
        let total_tokens = match state.total_tokens {
            0 => engine.map_or(u64::MAX, |engine| engine.memory_tokens),
            total => total,
        };
        Some(PlacementCandidate {
            free_slots: live.slots.max(1),
            free_tokens: total_tokens,
            pending_tokens: own.max(reported),
            ..offer.clone()
        })
    }
}

impl Drop for AwaitedAdmission {
    fn drop(&mut self) {
        let mut live = self.upstream.live.lock().unwrap();
        if let Some(tokens) = live.awaiting_tokens.get_mut(&self.priority) {
            *tokens -= self.tokens;
        }
    }
}
