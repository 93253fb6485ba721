//! Tombstones of deregistered servers that a restored store may list again.
//!
//! A store that is restored from a backup some seconds old lists servers that have
//! deregistered since. If these were used again, each of them would use up the limited
//! retries of requests until the store expires its entry, which takes three missed
//! heartbeats.

use std::collections::BTreeMap;

use crate::Incarnation;
use crate::IncarnationOrder;
use crate::Name;
use crate::UnixMs;

/// How long a tombstone is kept; backups are only some seconds old.
const TOMBSTONE_RETENTION_MS: u64 = 60_000;

/// The number of heartbeat intervals after which the store has expired an entry that is
/// not renewed.
///
/// The entry expires after three missed heartbeats; the fourth covers the store's own
/// delay.
const HEARTBEATS_TO_EXPIRE: u64 = 4;

/// The servers that deregistered recently.
#[derive(Debug)]
pub struct Tombstones {
    expiry_ms: u64,
    tombstones: BTreeMap<Name, Tombstone>,
    /// When the restored store has expired all entries of deregistered servers.
    suspect_until: UnixMs,
}

/// The tombstone of one server.
#[derive(Debug)]
struct Tombstone {
    at: UnixMs,
    incarnation: Option<Incarnation>,
}

impl Tombstones {
    /// Creates an empty set for servers that renew their entries every `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            expiry_ms: heartbeat_ms * HEARTBEATS_TO_EXPIRE,
            tombstones: BTreeMap::new(),
            suspect_until: UnixMs(0),
        }
    }

    /// Records that a server deregistered, with its last known incarnation.
    pub fn mark_departed(
        &mut self,
        id: &Name,
        incarnation: Option<Incarnation>,
        now: UnixMs,
    ) {
        self.tombstones
            .retain(|_, tombstone| now.ms_since(tombstone.at) < TOMBSTONE_RETENTION_MS);
        self.tombstones.insert(id.clone(), Tombstone { at: now, incarnation });
    }

    /// Records that the store was restored from an older backup.
    pub fn record_restore(&mut self, now: UnixMs) {
        self.suspect_until = now.plus_ms(self.expiry_ms);
    }

    /// Records that a server's entry was written, which means that the server is running.
    pub fn record_registration(&mut self, id: &str) {
        self.tombstones.remove(id);
    }

    /// Returns whether a listed entry may belong to a server that has deregistered.
    ///
    /// An entry with a later incarnation than the deregistered one was written by the
    /// server after a restart. An entry that is still listed after the expiry time is
    /// being renewed.
    pub fn is_suspect(
        &self,
        id: &str,
        incarnation: Option<Incarnation>,
        now: UnixMs,
    ) -> bool {
        let Some(tombstone) = self.tombstones.get(id) else { return false };
        let order = Incarnation::compare(tombstone.incarnation, incarnation);
        let is_retained = now.ms_since(tombstone.at) < TOMBSTONE_RETENTION_MS;
        is_retained
            && order != IncarnationOrder::Newer
            && !self.suspect_until.has_passed_at(now)
    }

    /// Returns when entries of deregistered servers are no longer doubtful.
    pub fn suspect_until(&self) -> UnixMs {
        self.suspect_until
    }
}
