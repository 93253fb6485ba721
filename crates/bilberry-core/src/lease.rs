//! Leases and load slots, as stored in the platform's object API.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::UnixMs;

/// The exclusive right to give orders to one upstream until a stored deadline.
///
/// The version of the object that stores the lease is the fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The process that holds the lease, with its incarnation.
    pub holder: Name,
    /// When the lease expires.
    pub deadline: UnixMs,
    /// The time before which the holder gives no orders.
    ///
    /// An upstream that ignores fencing tokens would still execute an order of the
    /// previous holder that is in transit. A new holder waits until no such order can
    /// arrive.
    pub quiet_until: UnixMs,
}

/// The next step for acquiring or keeping a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// The lease is held and lasts long enough.
    Held,
    /// Write this lease conditionally.
    Write(Lease),
    /// Another process holds the lease until this time.
    Wait(UnixMs),
}

impl Lease {
    /// Decides how `holder` acquires a lease that lasts until `until`.
    ///
    /// `margin_ms` is the delay from another holder's deadline to the first order, for an
    /// upstream that ignores fencing tokens.
    pub fn step(
        found: Option<&Self>,
        holder: &Name,
        now: UnixMs,
        until: UnixMs,
        margin_ms: u64,
    ) -> LeaseStep {
        let write = |quiet_until| {
            LeaseStep::Write(Self {
                holder: holder.clone(),
                deadline: until,
                quiet_until,
            })
        };
        match found {
            None => write(UnixMs(0)),
            Some(own) if own.holder == *holder => {
                // Renew once no more than half of the requested time is left.
                let renew_at = UnixMs(now.0 + until.ms_since(now) / 2);
                match own.deadline > renew_at {
                    true => LeaseStep::Held,
                    false => write(own.quiet_until),
                }
            }
            Some(other) if other.deadline.has_passed_at(now) => {
                write(other.deadline.plus_ms(margin_ms))
            }
            Some(other) => LeaseStep::Wait(other.deadline),
        }
    }

    /// Returns whether an order that arrives within `order_ms` may be given now.
    pub fn allows_order(&self, now: UnixMs, order_ms: u64) -> bool {
        self.quiet_until.has_passed_at(now)
            && !self.deadline.has_passed_at(now.plus_ms(order_ms))
    }
}

/// One occupied load slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The upstream that is loading weights.
    pub upstream: Name,
    /// When the slot is freed if its holder fails to release it.
    pub deadline: UnixMs,
}

/// The load slots of one pool, each occupied by an upstream that is loading weights.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    /// The occupied slots.
    pub taken: Vec<Slot>,
}

impl Slots {
    /// Returns the slots with one occupied by `upstream`, or `None` if `max_slots` are
    /// occupied.
    pub fn take(
        &self,
        upstream: &Name,
        max_slots: usize,
        now: UnixMs,
        until: UnixMs,
    ) -> Option<Self> {
        let mut taken = self.others(upstream, now);
        if taken.len() >= max_slots {
            return None;
        }
        taken.push(Slot { upstream: upstream.clone(), deadline: until });
        Some(Self { taken })
    }

    /// Returns the slots without that of `upstream`.
    pub fn release(&self, upstream: &Name, now: UnixMs) -> Self {
        Self { taken: self.others(upstream, now) }
    }

    /// Returns whether `upstream` occupies a slot.
    pub fn holds(&self, upstream: &Name, now: UnixMs) -> bool {
        let is_own = |slot: &&Slot| slot.upstream == *upstream;
        self.taken
            .iter()
            .find(is_own)
            .is_some_and(|slot| !slot.deadline.has_passed_at(now))
    }

    fn others(&self, upstream: &Name, now: UnixMs) -> Vec<Slot> {
        let unexpired = |slot: &&Slot| !slot.deadline.has_passed_at(now);
        let others = self.taken.iter().filter(|slot| slot.upstream != *upstream);
        others.filter(unexpired).cloned().collect()
    }
}
