//! The tags of start-time fair queueing, for an order that also depends on time.

use std::collections::HashMap;

use crate::Name;

/// The number of accounts above which idle ones are removed.
///
/// Callers of 48,000 customers share the sidecar's memory.
const CLEANUP_THRESHOLD: usize = 256;

/// The virtual time and the finish tags of customers.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    virtual_now: u64,
    finish_tags: HashMap<Name, u64>,
    cleanup_at: usize,
}

impl FairShares {
    /// Returns the start tag of a customer's new request of `cost`.
    pub(super) fn charge(&mut self, customer: &Name, cost: u64) -> u64 {
        self.remove_idle();
        let finish_tag = self.finish_tags.entry(customer.clone()).or_default();
        let start_tag = (*finish_tag).max(self.virtual_now);
        *finish_tag = start_tag + cost;
        start_tag
    }

    /// Takes back the charge of a request that wasn't served.
    pub(super) fn refund(&mut self, customer: &Name, cost: u64) {
        if let Some(finish_tag) = self.finish_tags.get_mut(customer) {
            *finish_tag = finish_tag.saturating_sub(cost);
        }
    }

    /// Advances the virtual time to the lowest start tag of the requests that are served
    /// or wait.
    ///
    /// Requests can be served ahead of lower tags. With their tags as the virtual time, a
    /// customer's first request would go behind the backlogs of all others.
    pub(super) fn advance(&mut self, lowest_tag: u64) {
        self.virtual_now = self.virtual_now.max(lowest_tag);
    }

    /// Removes accounts that would be created in the same state.
    fn remove_idle(&mut self) {
        if self.finish_tags.len() < self.cleanup_at.max(CLEANUP_THRESHOLD) {
            return;
        }
        let now = self.virtual_now;
        self.finish_tags.retain(|_, finish_tag| *finish_tag > now);
        self.cleanup_at = self.finish_tags.len() * 2;
    }
}
