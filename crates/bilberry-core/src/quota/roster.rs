//! The entries in contact with an owner, and those that are absent.

use std::collections::HashMap;

use crate::ABSENCE_LIMIT_MS;
use crate::Name;
use crate::UnixMs;

/// The entries that are or were connected to a sidecar.
///
/// An entry that loses contact may be cut off and still admit its part of each
/// customer's rate. This part stays reserved until the entry returns, possibly as a new
/// process, or until the entry has stopped on its own.
#[derive(Debug)]
pub struct EntryRoster {
    entries: HashMap<Name, Presence>,
    started_at: UnixMs,
}

#[derive(Debug, Default)]
struct Presence {
    connections: u32,
    absent_since: UnixMs,
}

impl EntryRoster {
    /// Creates a roster without entries.
    pub fn new(now: UnixMs) -> Self {
        Self { entries: HashMap::new(), started_at: now }
    }

    /// Records a connection of an entry, by the name of its host.
    pub fn connect(&mut self, entry: &Name) {
        self.entries.entry(entry.clone()).or_default().connections += 1;
    }

    /// Records the end of a connection.
    pub fn disconnect(&mut self, entry: &Name, now: UnixMs) {
        if let Some(presence) = self.entries.get_mut(entry) {
            presence.connections = presence.connections.saturating_sub(1);
            presence.absent_since = now;
        }
        self.entries.retain(|_, presence| !presence.is_gone(now));
    }

    /// Returns the number of entries that may admit requests.
    ///
    /// `known` is the number that an entry knows. It counts until this process has run
    /// for long enough to have seen every entry that may be cut off.
    pub fn total(&self, known: usize, now: UnixMs) -> usize {
        let listed = self.entries.values().filter(|presence| !presence.is_gone(now));
        let is_recent = now.ms_since(self.started_at) < ABSENCE_LIMIT_MS;
        listed.count().max(if is_recent { known } else { 0 })
    }

    /// Returns the part of each rate that the entries in contact may use.
    pub fn share(&self, known: usize, now: UnixMs) -> f64 {
        let present = self.entries.values().filter(|presence| presence.connections > 0);
        present.count() as f64 / self.total(known, now).max(1) as f64
    }
}

impl Presence {
    fn is_gone(&self, now: UnixMs) -> bool {
        self.connections == 0 && now.ms_since(self.absent_since) >= ABSENCE_LIMIT_MS
    }
}
