//! The memory and the slots of an engine, and what is admitted to them.

use std::collections::BTreeMap;

use crate::CallId;
use crate::UnixMs;
use crate::engine_queue::urgent_demand::Headroom;

/// The weight of one request in the mean time that requests hold their memory.
///
/// Callers are told a wait that follows a change of the load within a few requests.
const HOLD_WEIGHT: f64 = 0.1;

/// What an engine reports of its slots and its memory; zero where it is not known.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct EngineCapacity {
    /// The number of requests that it can run.
    pub slots: u64,
    /// Its memory, in tokens.
    pub total_tokens: u64,
    /// The memory that can't be freed at present, in tokens.
    pub used_tokens: u64,
    /// The number of running requests.
    pub running: u64,
}

/// The admitted requests of an engine.
#[derive(Debug, Default)]
pub(super) struct EngineRoom {
    pub(super) capacity: EngineCapacity,
    admitted: BTreeMap<CallId, Held>,
    /// The prompt tokens that are not prefilled yet.
    outstanding_tokens: u64,
    memory_tokens: u64,
    mean_hold_ms: f64,
    reservation: Option<Reservation>,
}

/// What an admitted request holds.
#[derive(Debug)]
struct Held {
    /// The prompt tokens; none once they are prefilled.
    outstanding_tokens: Option<u64>,
    memory_tokens: u64,
    admitted_at: UnixMs,
    /// Whether it was admitted while the current reservation was in force.
    is_after_reservation: bool,
}

/// Memory and a slot that are kept for a waiting request.
#[derive(Debug)]
struct Reservation {
    id: CallId,
    memory_tokens: u64,
}

impl EngineRoom {
    pub(super) fn outstanding_tokens(&self) -> u64 {
        self.outstanding_tokens
    }

    pub(super) fn memory_tokens(&self) -> u64 {
        self.memory_tokens
    }

    pub(super) fn count(&self) -> usize {
        self.admitted.len()
    }

    pub(super) fn contains(&self, id: CallId) -> bool {
        self.admitted.contains_key(&id)
    }

    /// Returns the admitted requests of a connection.
    pub(super) fn of_connection(&self, connection: u64) -> Vec<CallId> {
        let ids = self.admitted.range(CallId::all_of(connection));
        ids.map(|(id, _)| *id).collect()
    }

    /// Returns whether a request can never be admitted.
    pub(super) fn is_too_large(&self, memory_tokens: u64) -> bool {
        let total_tokens = self.capacity.total_tokens;
        total_tokens > 0 && memory_tokens > total_tokens
    }

    /// Returns whether a request has memory and a slot now and leaves some of them free.
    pub(super) fn has_room(
        &self,
        id: CallId,
        memory_tokens: u64,
        headroom: Headroom,
    ) -> bool {
        if self.admitted.is_empty() && self.capacity.running == 0 {
            return !self.is_too_large(memory_tokens);
        }
        let EngineCapacity { slots, total_tokens, .. } = self.capacity;
        let needed_slots = self.admitted.len() as u64 + 1 + headroom.slots;
        let has_slot = slots == 0 || needed_slots <= slots;
        let needed_tokens = self.used_tokens() + memory_tokens + headroom.memory_tokens;
        let has_memory = total_tokens == 0 || needed_tokens <= total_tokens;
        has_slot && has_memory && self.leaves_reservation(id, memory_tokens)
    }

    /// Returns whether the reserved request still gets its room once those admitted
    /// before the reservation have ended.
    fn leaves_reservation(&self, id: CallId, memory_tokens: u64) -> bool {
        let Some(reserved) = self.reservation.as_ref().filter(|r| r.id != id) else {
            return true;
        };
        let EngineCapacity { slots, total_tokens, .. } = self.capacity;
        let later = || self.admitted.values().filter(|held| held.is_after_reservation);
        let later_tokens: u64 = later().map(|held| held.memory_tokens).sum();
        let needed_tokens = later_tokens + memory_tokens + reserved.memory_tokens;
        (slots == 0 || later().count() as u64 + 1 < slots)
            && (total_tokens == 0 || needed_tokens <= total_tokens)
    }

    /// Keeps memory and a slot for a waiting request, or for none.
    pub(super) fn reserve(&mut self, wanted: Option<(CallId, u64)>) {
        let is_same = self.reservation.as_ref().map(|r| r.id) == wanted.map(|(id, _)| id);
        if !is_same {
            self.admitted.values_mut().for_each(|held| held.is_after_reservation = false);
        }
        self.reservation =
            wanted.map(|(id, memory_tokens)| Reservation { id, memory_tokens });
    }

    /// Returns the request for which memory and a slot are kept.
    pub(super) fn reserved(&self) -> Option<CallId> {
        self.reservation.as_ref().map(|reserved| reserved.id)
    }

    pub(super) fn admit(
        &mut self,
        id: CallId,
        prefill_tokens: u64,
        memory_tokens: u64,
        now: UnixMs,
    ) {
        self.reservation.take_if(|reserved| reserved.id == id);
        let held = Held {
            outstanding_tokens: Some(prefill_tokens),
            memory_tokens,
            admitted_at: now,
            is_after_reservation: self.reservation.is_some(),
        };
        self.outstanding_tokens += prefill_tokens;
        self.memory_tokens += memory_tokens;
        self.admitted.insert(id, held);
    }

    /// Records a completed prefill; returns its tokens unless it was recorded before.
    pub(super) fn mark_prefilled(&mut self, id: CallId) -> Option<u64> {
        let tokens = self.admitted.get_mut(&id)?.outstanding_tokens.take()?;
        self.outstanding_tokens -= tokens;
        Some(tokens)
    }

    /// Ends a request; returns whether it was prefilled, if it was admitted.
    pub(super) fn end(&mut self, id: CallId, now: UnixMs) -> Option<bool> {
        let held = self.admitted.remove(&id)?;
        self.memory_tokens -= held.memory_tokens;
        self.outstanding_tokens -= held.outstanding_tokens.unwrap_or_default();
        let hold_ms = now.ms_since(held.admitted_at) as f64;
        self.mean_hold_ms = match self.mean_hold_ms {
            0.0 => hold_ms,
            mean_ms => mean_ms + (hold_ms - mean_ms) * HOLD_WEIGHT,
        };
        Some(held.outstanding_tokens.is_none())
    }

    /// Returns the predicted time until there are memory and slots for `requests` that
    /// need `memory_tokens` together.
    pub(super) fn predicted_wait_ms(&self, requests: u64, memory_tokens: u64) -> u64 {
        let EngineCapacity { slots, total_tokens, .. } = self.capacity;
        let lacking = |capacity: u64, used: u64, wanted: u64| match capacity {
            0 => 0.0,
            _ => (used + wanted).saturating_sub(capacity) as f64 / capacity as f64,
        };
        let slots_part = lacking(slots, self.admitted.len() as u64, requests);
        let memory_part = lacking(total_tokens, self.used_tokens(), memory_tokens);
        (slots_part.max(memory_part) * self.mean_hold_ms).ceil() as u64
    }

    fn used_tokens(&self) -> u64 {
        self.capacity.used_tokens.max(self.memory_tokens)
    }
}
