//! Which weights of a model were named, and when.
//!
//! The load pattern: new weights are named every few seconds, faster than a service
//! takes them. A server may then be several versions behind, and what counts is for
//! how long it has been behind at all.

use crate::UnixMs;

/// How many versions are remembered.
///
/// Thirty-two namings a second apart reach back further than any bound on older
/// weights in use. Where they come faster, the oldest two count as one that was named
/// when the first of them was, so older weights are barred too early, never too late.
const MOST_VERSIONS: usize = 32;

/// The versions of a model's weights that are known to exist, oldest first.
///
/// Neither versions nor times fall along the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NamedWeights {
    named: Vec<(u64, UnixMs)>,
}

impl NamedWeights {
    /// Notes a version that may have been named from `since` on; returns whether it
    /// is new.
    ///
    /// The first word counts: what is heard again later, or read anew, tells nothing
    /// more of when it was. Versions only grow, so it was named before any newer one
    /// and after any older one.
    pub fn note(&mut self, version: u64, since: UnixMs) -> bool {
        let place = self.named.partition_point(|&(known, _)| known < version);
        let is_known = self.named.get(place).is_some_and(|&(known, _)| known == version);
        let is_forgotten = place == 0 && self.named.len() == MOST_VERSIONS;
        if is_known || is_forgotten {
            return false;
        }
        let newer_at = self.named.get(place).map_or(since, |&(_, at)| at);
        let since = since.min(newer_at);
        for (_, known_at) in &mut self.named[..place] {
            *known_at = (*known_at).min(since);
        }
        self.named.insert(place, (version, since));
        if self.named.len() > MOST_VERSIONS {
            let (_, oldest_at) = self.named.remove(0);
            self.named[0].1 = oldest_at;
        }
        true
    }

    /// Returns the newest version, and since when it is known.
    pub fn newest(&self) -> Option<(u64, UnixMs)> {
        self.named.last().copied()
    }

    /// Returns since when a server with this version lacks newer weights.
    pub fn lacking_since(&self, version: u64) -> Option<UnixMs> {
        let newer = self.named.partition_point(|&(known, _)| known <= version);
        self.named.get(newer).map(|&(_, at)| at)
    }
}
