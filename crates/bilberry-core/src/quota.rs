//! Customer quotas that hold over all entries.
//!
//! A customer's token bucket is kept by two sidecars, its owners, which every entry
//! chooses by the same ranking. An entry asks both before it admits a request, and admits
//! it only if both do. With two owners, the loss of one loses no state, and entries that
//! reach different owners still share one of them.
//!
//! - [`QuotaLedger`] holds the buckets at an owner.
//! - [`EntryRoster`] tells an owner which part of the rate absent entries may still use.
//! - [`IsolatedQuotas`] are the buckets of an entry that reaches no owner.

mod isolated;
mod ledger;
mod owners;
mod roster;
mod turns;

pub use isolated::FIRST_CONTACT_MS;
pub use isolated::IsolatedQuotas;
pub use ledger::QuotaLedger;
pub use owners::OwnerRanking;
pub use owners::QUOTA_OWNERS;
pub use owners::RankedOwner;
pub use owners::combine_replies;
pub use roster::EntryRoster;

use crate::RequestKey;

/// How long a part of the rate stays reserved for an entry that has lost contact.
///
/// The entry stops admitting requests of limited customers after this time.
pub const ABSENCE_LIMIT_MS: u64 = 30_000;

/// The part of the tolerance that customers get.
///
/// The rest covers charges that are missed while several owners fail.
const GRANTED_TOLERANCE: f64 = 0.5;

/// The limit on what a customer may use, over all entries.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Quota {
    /// The rate at which the bucket is refilled, in units per second.
    pub rate_per_s: f64,
    /// The capacity of the bucket, in units.
    pub burst: f64,
    /// The version of the configuration that sets the limit.
    pub version: u64,
}

/// By how much the operators let a customer exceed its quota in any window.
///
/// The tolerance covers the inaccuracy of an enforcement by several processes. Owners
/// decide exactly while they are in contact, so customers get a part of it.
#[derive(Debug, Copy, Clone, Default, PartialEq)]
pub struct QuotaTolerance {
    /// The overrun, as a fraction of the quota.
    pub overrun: f64,
    /// The additional overrun, in units.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Returns the quota that is enforced.
    pub fn widen(self, quota: Quota) -> Quota {
        let factor = 1.0 + self.overrun * GRANTED_TOLERANCE;
        Quota {
            rate_per_s: quota.rate_per_s * factor,
            burst: quota.burst * factor + self.slack * GRANTED_TOLERANCE,
            ..quota
        }
    }
}

/// A request that is to be charged to its customer's quota.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct QuotaCharge {
    /// The cost, in units.
    pub cost: f64,
    /// The key shared by all attempts of the request.
    pub key: RequestKey,
    /// The longest `Retry-After` that the caller can follow.
    pub max_wait_ms: u64,
    /// What the bucket holds when its owner first hears of it, in units.
    ///
    /// A bucket that was lost with all of its owners may exceed its rate by this.
    pub initial: f64,
    /// Whether all charges of the bucket cost about the same, so that nothing is reserved
    /// for small ones.
    pub is_uniform: bool,
}

/// The decision on a charge.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is charged and may run.
    Admitted,
    /// The quota is exhausted.
    Denied {
        /// The time until the request can be admitted.
        wait_ms: u64,
    },
}

/// The reply of one owner.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct OwnerReply {
    /// The decision.
    pub decision: QuotaDecision,
    /// For how long the owner has received all charges of the customer.
    ///
    /// An owner starts with an empty bucket, so at first it denies more than necessary.
    pub known_for_ms: u64,
}
