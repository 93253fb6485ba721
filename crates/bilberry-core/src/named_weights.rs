//! Which weights of a model were named, and when.
//!
//! The load pattern: new weights are named every few seconds, faster than a service
//! takes them. A server may then be several versions behind, and what counts is for
//! how long it has been behind at all.

use crate::UnixMs;

/// How many versions are remembered.
///
/// Thirty-two namings a second apart reach back further than any bound on older
/// weights in use; a server that is further behind is judged by the oldest of them.
const MOST_VERSIONS: usize = 32;

/// The versions of a model's weights that are known to exist, oldest first.
///
/// Neither versions nor times fall along the list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NamedWeights {
    named: Vec<(u64, UnixMs)>,
}

impl NamedWeights {
    /// Notes that a version had been named by `at`; returns whether it is new.
    ///
    /// Versions only grow, so an older one had been named by then as well.
    pub fn note(&mut self, version: u64, at: UnixMs) -> bool {
        let place = self.named.partition_point(|&(known, _)| known < version);
        let is_new = self.named.get(place).is_none_or(|&(known, _)| known != version);
        if is_new {
            self.named.insert(place, (version, at));
        }
        for (_, known_at) in &mut self.named[..=place] {
            *known_at = (*known_at).min(at);
        }
        if let Some(&(_, later)) = self.named.get(place + 1) {
            self.named[place].1 = self.named[place].1.min(later);
        }
        if self.named.len() > MOST_VERSIONS {
            self.named.remove(0);
        }
        is_new
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
