//! The sidecars at which an entry records the origins of its streams.

use std::collections::HashMap;

use super::OriginLedger;
use super::StreamId;
use super::StreamOrigin;
use crate::OwnerRanking;
use crate::UnixMs;
use crate::routing::rank;

/// How many sidecars hold the origin of a stream.
pub const ORIGIN_OWNERS: usize = 2;

/// The origins that an entry has recorded, and at which sidecars.
///
/// The entry holds a copy as well, and passes it on when an owner is lost or replaced, so
/// that any two processes may be lost at once.
#[derive(Debug)]
pub struct OriginRecords {
    ledger: OriginLedger,
    told: HashMap<StreamId, Told>,
}

/// The sidecars that have received an origin.
#[derive(Debug, Default)]
struct Told {
    /// By seed.
    sidecars: Vec<u64>,
    /// Whether the owners may have changed since, or one of them was not reached.
    may_lack: bool,
}

impl OriginRecords {
    /// Creates an empty set for at most `capacity` streams.
    pub fn new(capacity: usize) -> Self {
        Self { ledger: OriginLedger::new(capacity), told: HashMap::new() }
    }

    /// Returns the ledger.
    pub fn ledger(&mut self) -> &mut OriginLedger {
        &mut self.ledger
    }

    /// Adds an origin; it is to be sent to its owners again if it has changed.
    pub fn record(&mut self, origin: StreamOrigin, now: UnixMs) {
        if self.ledger.record(origin, now) {
            self.told.insert(origin.stream, Told::default());
        }
    }

    /// Returns the owners that lack an origin, with the present form of the origin.
    ///
    /// Each of them is to be marked as told or as missed.
    pub fn missing(
        &mut self,
        stream: StreamId,
        ranking: &OwnerRanking,
        now: UnixMs,
    ) -> Vec<(u64, StreamOrigin)> {
        let mut origins = self.ledger.origins_of(stream.request);
        let origin = origins.find(|origin| origin.stream == stream).copied();
        let Some(origin) = origin else { return Vec::new() };
        let told = self.told.entry(stream).or_default();
        told.may_lack = false;
        let owners = ranking.live_owners(stream.request.0, ORIGIN_OWNERS, now);
        let missing = owners.into_iter().filter(|seed| !told.sidecars.contains(seed));
        missing.map(|seed| (seed, origin)).collect()
    }

    /// Returns all owners that lack an origin after sidecars were lost or `added`.
    pub fn all_missing(
        &mut self,
        ranking: &OwnerRanking,
        added: &[u64],
        now: UnixMs,
    ) -> Vec<(u64, StreamOrigin)> {
        let streams: Vec<StreamId> =
            self.ledger.origins(now).map(|origin| origin.stream).collect();
        self.told.retain(|stream, _| self.ledger.contains(*stream));
        let affected: Vec<StreamId> = streams
            .into_iter()
            .filter(|stream| {
                let told = self.told.get(stream);
                told.is_none_or(|told| told.may_change(stream.request.0, added))
            })
            .collect();
        affected.into_iter().flat_map(|it| self.missing(it, ranking, now)).collect()
    }

    /// Records that a sidecar has received the origin of a stream.
    pub fn mark_told(&mut self, stream: StreamId, seed: u64) {
        self.told.entry(stream).or_default().sidecars.push(seed);
    }

    /// Records that an owner could not be told the origin of a stream.
    pub fn mark_missed(&mut self, stream: StreamId) {
        self.told.entry(stream).or_default().may_lack = true;
    }

    /// Records that a sidecar was lost with all that it held.
    pub fn forget_sidecar(&mut self, seed: u64) {
        for told in self.told.values_mut() {
            let held = told.sidecars.len();
            told.sidecars.retain(|other| *other != seed);
            told.may_lack |= told.sidecars.len() < held;
        }
    }
}

impl Told {
    /// Reports whether the owners of a key may be others once sidecars were `added`.
    ///
    /// Ranks only the sidecars concerned, as there may be hundreds of others.
    fn may_change(&self, key: u64, added: &[u64]) -> bool {
        let ranks = self.sidecars.iter().map(|&seed| rank(key, seed));
        let lowest = ranks.min().filter(|_| self.sidecars.len() >= ORIGIN_OWNERS);
        let is_better =
            |&seed: &u64| lowest.is_none_or(|lowest| rank(key, seed) > lowest);
        let mut unknown = added.iter().filter(|seed| !self.sidecars.contains(seed));
        self.may_lack || unknown.any(is_better)
    }
}
