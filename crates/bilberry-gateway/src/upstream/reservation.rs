//! The resources that a request reserves at an upstream.

use std::sync::Arc;

use tokio::sync::Notify;

use crate::AdmissionGuard;
use crate::Upstream;
use crate::part_use::PartUse;

/// A request's reservation of a slot and memory at an upstream, released on drop.
#[derive(Debug)]
pub struct Reservation {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    memory_tokens: u64,
    pending_tokens: u64,
    pending_tokens_ahead: u64,
    is_probe: bool,
    admission: Option<AdmissionGuard>,
    /// The use of another engine's parts, until they are fetched.
    source_use: Option<PartUse>,
    /// The use of the upstream's parts for a prompt store, until the run ends.
    save_use: Option<PartUse>,
    freed: Arc<Notify>,
}

impl Reservation {
    /// Reserves a slot and `memory_tokens` of memory for a request with
    /// `pending_tokens` to prefill.
    pub fn take(
        upstream: Arc<Upstream>,
        memory_tokens: u64,
        pending_tokens: u64,
        freed: Arc<Notify>,
    ) -> Self {
        let mut live = upstream.live.lock().unwrap();
        let pending_tokens_ahead = live.pending_tokens;
        live.in_progress += 1;
        live.sent_since_feed += 1;
        live.tokens_since_feed += memory_tokens;
        live.reserved_tokens += memory_tokens;
        live.pending_tokens += pending_tokens;
        live.pending_since_feed += pending_tokens;
        let is_probe = live.is_probed();
        live.probes += u64::from(is_probe);
        drop(live);
        Self {
            upstream,
            memory_tokens,
            pending_tokens,
            pending_tokens_ahead,
            is_probe,
            admission: None,
            source_use: None,
            save_use: None,
            freed,
        }
    }

    /// Adds the admission by the upstream's sidecar, which ends with the reservation.
    pub(crate) fn with_admission(mut self, admission: Option<AdmissionGuard>) -> Self {
        self.admission = admission;
        self
    }

    /// Adds the uses of prompt parts by the request.
    pub(crate) fn set_part_uses(
        &mut self,
        source: Option<PartUse>,
        save: Option<PartUse>,
    ) {
        self.source_use = source;
        self.save_use = save;
    }

    /// Records that the request is sent, and may run from now on.
    pub(crate) fn mark_sent(&mut self) {
        let uses = self.source_use.iter_mut().chain(&mut self.save_use);
        uses.for_each(PartUse::mark_sent);
    }

    /// Reports whether the request writes its parts to a prompt store.
    pub(crate) fn saves_parts(&self) -> bool {
        self.save_use.is_some()
    }

    /// Ends the uses of prompt parts, as the request does not run, or has run to its end.
    pub(crate) fn settle_part_uses(&mut self) {
        self.source_use.take().into_iter().for_each(PartUse::settle);
        self.save_use.take().into_iter().for_each(PartUse::settle);
    }

    /// Returns how many tokens of this entry's earlier requests its upstream still had to
    /// prefill when the reservation was made.
    pub fn pending_tokens_ahead(&self) -> u64 {
        self.pending_tokens_ahead
    }

    /// Records that the prompt has been prefilled.
    pub fn mark_prefilled(&mut self) {
        self.release_pending();
        self.source_use.take().into_iter().for_each(PartUse::settle);
        if let Some(admission) = &mut self.admission {
            admission.mark_prefilled();
        }
    }

    /// Ends the admission, as the upstream will not prefill the prompt.
    pub(crate) fn end_admission(&mut self) {
        self.admission = None;
    }

    fn release_pending(&mut self) {
        let pending = std::mem::take(&mut self.pending_tokens);
        self.upstream.live.lock().unwrap().pending_tokens -= pending;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release_pending();
        let mut live = self.upstream.live.lock().unwrap();
        live.in_progress -= 1;
        live.reserved_tokens -= self.memory_tokens;
        live.probes -= u64::from(self.is_probe);
        drop(live);
        self.freed.notify_waiters();
    }
}
