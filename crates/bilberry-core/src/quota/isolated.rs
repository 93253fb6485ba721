//! The quotas of an entry that reaches no owner.

use std::collections::HashMap;

use crate::ABSENCE_LIMIT_MS;
use crate::Name;
use crate::Quota;
use crate::QuotaCharge;
use crate::UnixMs;

/// The time after the last contact until owners reserve the entry's part of the rate.
const DETECTION_MS: u64 = 2_000;

/// The most that a part holds at first.
const ISOLATED_INITIAL: f64 = 1.0;

/// The time after its start in which an entry gets in contact with an owner if there is one.
///
/// Until then its part holds nothing, as it would be used in addition to what owners grant.
pub const FIRST_CONTACT_MS: u64 = 1_500;

/// An even part of each customer's rate, which an entry may use while it reaches no
/// owner.
///
/// The parts begin empty at each loss of contact, so that what was used before counts.
/// They end when the owners no longer reserve them. An entry that never had contact, as
/// where no sidecar keeps quotas, keeps its parts.
#[derive(Debug)]
pub struct IsolatedQuotas {
    started_at: UnixMs,
    contact_at: Option<UnixMs>,
    buckets: HashMap<Name, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    refilled_at: UnixMs,
}

impl IsolatedQuotas {
    /// Creates empty parts of an entry that starts at `now`.
    pub fn new(now: UnixMs) -> Self {
        Self { started_at: now, contact_at: None, buckets: HashMap::new() }
    }

    /// Returns when the entry started.
    pub fn started_at(&self) -> UnixMs {
        self.started_at
    }

    /// Records a message from a sidecar that keeps quotas.
    pub fn record_contact(&mut self, now: UnixMs) {
        self.contact_at = self.contact_at.max(Some(now));
        self.buckets.clear();
    }

    /// Charges a request to this entry's part of the rate; returns false if the part does
    /// not suffice, or if the entry lost contact too long ago.
    ///
    /// `entries` is the number of entries that share the rate. A request that is larger
    /// than what the part holds is admitted with a probability that keeps the average use
    /// within the rate; `draw` is a random number from 0 to 1. The part of an entry that
    /// never had contact holds up to one of the initial units of the bucket, from the time
    /// on at which an owner should have been found.
    pub fn charge(
        &mut self,
        customer: &Name,
        quota: Quota,
        charge: QuotaCharge,
        entries: usize,
        draw: f64,
        now: UnixMs,
    ) -> bool {
        let starts_at = self.contact_at.unwrap_or(self.started_at).plus_ms(DETECTION_MS);
        let ends_at = self.contact_at.map(|at| at.plus_ms(ABSENCE_LIMIT_MS));
        if ends_at.is_some_and(|ends_at| ends_at.has_passed_at(now)) {
            return false;
        }
        let part = 1.0 / entries.max(1) as f64;
        let found_by = self.started_at.plus_ms(FIRST_CONTACT_MS);
        if self.contact_at.is_none() && !found_by.has_passed_at(now) {
            return false;
        }
        let QuotaCharge { cost, initial, .. } = charge;
        let initial = match self.contact_at {
            None => initial.min(ISOLATED_INITIAL),
            Some(_) => 0.0,
        };
        let (rate, burst) = (quota.rate_per_s * part, (quota.burst * part).max(initial));
        let fresh = || Bucket { level: initial, refilled_at: starts_at };
        let bucket = self.buckets.entry(customer.clone()).or_insert_with(fresh);
        let refill = now.ms_since(bucket.refilled_at) as f64 / 1_000.0 * rate;
        bucket.level = (bucket.level + refill).min(burst);
        bucket.refilled_at = bucket.refilled_at.max(now);
        let is_admitted = bucket.level > draw * cost;
        bucket.level = (bucket.level - cost).max(0.0);
        is_admitted
    }
}
