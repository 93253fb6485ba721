//! Servers that have left, and that an older copy of the store may name again.
//!
//! The load pattern: the store comes back from a copy some seconds old, which has the
//! entries of servers that left since. Used again, each of them costs requests their few
//! repeats until the store drops the entry, which takes three heartbeats of silence.

use std::collections::BTreeMap;

use crate::Incarnation;
use crate::Name;
use crate::Told;
use crate::UnixMs;

/// For how long a server that left is remembered; copies are some seconds old.
const REMEMBERED_MS: u64 = 60_000;

/// After how many heartbeats the store has dropped an entry that nobody renews.
///
/// Three without one, and a fourth for the store's own delay.
const HEARTBEATS_TO_DROP: u64 = 4;

/// The servers that left lately.
#[derive(Debug)]
pub struct Departures {
    drop_ms: u64,
    left: BTreeMap<Name, Left>,
    /// Until when an older copy may name servers that left.
    doubt_until: UnixMs,
}

/// A server that left.
#[derive(Debug)]
struct Left {
    at: UnixMs,
    incarnation: Option<Incarnation>,
}

impl Departures {
    /// Knows of none; servers renew their entries every `heartbeat_ms`.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            drop_ms: heartbeat_ms * HEARTBEATS_TO_DROP,
            left: BTreeMap::new(),
            doubt_until: UnixMs(0),
        }
    }

    /// Notes that a server left, in the start that was known of it.
    pub fn note_left(
        &mut self,
        id: &Name,
        incarnation: Option<Incarnation>,
        now: UnixMs,
    ) {
        self.left.retain(|_, left| now.ms_since(left.at) < REMEMBERED_MS);
        self.left.insert(id.clone(), Left { at: now, incarnation });
    }

    /// Notes that the store came back from an older copy.
    pub fn note_restored(&mut self, now: UnixMs) {
        self.doubt_until = now.plus_ms(self.drop_ms);
    }

    /// Notes that a server's entry was written: it is there.
    pub fn note_written(&mut self, id: &str) {
        self.left.remove(id);
    }

    /// Reports whether an entry that a list names may be of a server that had left.
    ///
    /// A later start than the one that left is told by the server itself. An entry that
    /// is still there once the store must have dropped it is renewed by somebody.
    pub fn is_doubtful(
        &self,
        id: &str,
        incarnation: Option<Incarnation>,
        now: UnixMs,
    ) -> bool {
        let Some(left) = self.left.get(id) else { return false };
        let told = Incarnation::compare(left.incarnation, incarnation);
        let is_remembered = now.ms_since(left.at) < REMEMBERED_MS;
        is_remembered && told != Told::Newer && !self.doubt_until.has_passed_at(now)
    }

    /// Returns until when entries of servers that left are doubtful.
    pub fn doubt_until(&self) -> UnixMs {
        self.doubt_until
    }
}
