//! The choice of a customer's owners, and the decision from their replies.

use std::collections::HashMap;

use crate::OwnerReply;
use crate::QuotaDecision;
use crate::UnixMs;
use crate::routing::rank;

/// How many sidecars own a customer's bucket.
pub const QUOTA_OWNERS: usize = 2;

/// How long a sidecar that was lost is remembered.
///
/// Until then other entries may still use it, and its successor begins empty.
const LOST_MEMORY_MS: u64 = 8_000;

/// The sidecars that can own buckets, as known to one entry.
#[derive(Debug, Default)]
pub struct OwnerRanking {
    /// By seed; `None` while in contact, else when contact was lost.
    sidecars: HashMap<u64, Option<UnixMs>>,
}

/// A sidecar that owns a customer's bucket.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct RankedOwner {
    /// The sidecar's seed.
    pub seed: u64,
    /// Whether it takes over from a sidecar that was lost.
    pub is_takeover: bool,
}

impl OwnerRanking {
    /// Records a sidecar that is listed and not in contact yet.
    ///
    /// Other entries may already use it, as may be the case after a restart of this one.
    pub fn expect(&mut self, seed: u64, now: UnixMs) {
        self.sidecars.entry(seed).or_insert(Some(now));
    }

    /// Records contact with a sidecar.
    pub fn add(&mut self, seed: u64) {
        self.sidecars.insert(seed, None);
    }

    /// Records the loss of a sidecar.
    pub fn remove(&mut self, seed: u64, now: UnixMs) {
        if let Some(lost_at) = self.sidecars.get_mut(&seed) {
            lost_at.get_or_insert(now);
        }
        self.sidecars.retain(|_, lost_at| !is_forgotten(*lost_at, now));
    }

    /// Returns the `count` best sidecars in contact for a key, best first.
    pub fn live_owners(&self, key: u64, count: usize, now: UnixMs) -> Vec<u64> {
        let live = self.known(now).filter(|(_, is_live)| *is_live);
        let best = best_ranked(key, count, live);
        best.into_iter().map(|(_, seed, _)| seed).collect()
    }

    /// Reports whether one of the `count` best sidecars for a key is not in contact.
    pub fn lacks_owner(&self, key: u64, count: usize, now: UnixMs) -> bool {
        let best = best_ranked(key, count, self.known(now));
        best.is_empty() || best.iter().any(|(_, _, is_live)| !is_live)
    }

    /// Returns the known sidecars, and whether each is in contact.
    fn known(&self, now: UnixMs) -> impl Iterator<Item = (u64, bool)> {
        let known = self.sidecars.iter();
        let known = known.filter(move |(_, lost_at)| !is_forgotten(**lost_at, now));
        known.map(|(&seed, lost_at)| (seed, lost_at.is_none()))
    }

    /// Returns the owners of the customer with this hash, best first, leaving out those
    /// in `excluded`.
    pub fn owners(
        &self,
        customer: u64,
        excluded: &[u64],
        now: UnixMs,
    ) -> Vec<RankedOwner> {
        let mut ranked: Vec<(u64, u64, bool)> = self
            .known(now)
            .map(|(seed, is_live)| (rank(customer, seed), seed, is_live))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let placed = ranked.iter().enumerate();
        let usable =
            placed.filter(|(_, (_, seed, is_live))| *is_live && !excluded.contains(seed));
        let owners = usable.map(|(place, &(_, seed, _))| RankedOwner {
            seed,
            is_takeover: place >= QUOTA_OWNERS,
        });
        owners.take(QUOTA_OWNERS).collect()
    }
}

/// Returns the `count` best sidecars as rank, seed and whether in contact, best first.
///
/// Keeps only the best ones while it ranks, as there may be hundreds of sidecars.
fn best_ranked(
    key: u64,
    count: usize,
    sidecars: impl Iterator<Item = (u64, bool)>,
) -> Vec<(u64, u64, bool)> {
    let mut best: Vec<(u64, u64, bool)> = Vec::with_capacity(count + 1);
    for (seed, is_live) in sidecars {
        let ranked = (rank(key, seed), seed, is_live);
        let place = best.partition_point(|better| *better > ranked);
        if place < count {
            best.insert(place, ranked);
            best.truncate(count);
        }
    }
    best
}

fn is_forgotten(lost_at: Option<UnixMs>, now: UnixMs) -> bool {
    lost_at.is_some_and(|lost_at| now.ms_since(lost_at) >= LOST_MEMORY_MS)
}

/// Decides from the replies of a customer's owners; `None` without any reply.
///
/// All owners must admit the request that have known the customer's charges for long
/// enough, or for about as long as any other.
pub fn combine_replies(replies: &[OwnerReply]) -> Option<QuotaDecision> {
    let longest_ms = replies.iter().map(|reply| reply.known_for_ms).max()?;
    let enough_ms = (longest_ms / 2).min(LOST_MEMORY_MS);
    let deciding = replies.iter().filter(|reply| reply.known_for_ms >= enough_ms);
    let wait_ms = deciding.map(|reply| match reply.decision {
        QuotaDecision::Admitted => 0,
        QuotaDecision::Denied { wait_ms } => wait_ms.max(1),
    });
    wait_ms.max().map(|wait_ms| match wait_ms {
        0 => QuotaDecision::Admitted,
        wait_ms => QuotaDecision::Denied { wait_ms },
    })
}
