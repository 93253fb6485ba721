//! The announced weights versions of a model and their announcement times.
//!
//! New weights may be announced every few seconds, faster than a service loads them. A
//! server can then be several versions behind; its staleness is measured from the first
//! announcement that it missed.

use crate::UnixMs;

/// The maximum number of versions kept.
///
/// With one announcement per second, 32 versions reach back further than any bound on
/// older weights in use. At higher rates, the two oldest are merged under the earlier
/// announcement time, so older weights are excluded too early rather than too late.
const MAX_VERSIONS: usize = 32;

/// The known weights versions of a model, oldest first.
///
/// Versions increase along the list and announcement times never decrease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnnouncedWeights {
    versions: Vec<(u64, UnixMs)>,
}

impl AnnouncedWeights {
    /// Records a version that may have been announced as early as `since`; returns
    /// whether it is new.
    ///
    /// Only the first report of a version sets its time, because later reports do not
    /// show when it was announced. Versions only increase, so a version was
    /// announced before any newer one and after any older one.
    pub fn record(&mut self, version: u64, since: UnixMs) -> bool {
        let index = self.versions.partition_point(|&(known, _)| known < version);
        let is_known =
            self.versions.get(index).is_some_and(|&(known, _)| known == version);
        let is_evicted = index == 0 && self.versions.len() == MAX_VERSIONS;
        if is_known || is_evicted {
            return false;
        }
        let newer_at = self.versions.get(index).map_or(since, |&(_, at)| at);
        let since = since.min(newer_at);
        for (_, known_at) in &mut self.versions[..index] {
            *known_at = (*known_at).min(since);
        }
        self.versions.insert(index, (version, since));
        if self.versions.len() > MAX_VERSIONS {
            let (_, oldest_at) = self.versions.remove(0);
            self.versions[0].1 = oldest_at;
        }
        true
    }

    /// Returns the newest version and its announcement time.
    pub fn newest(&self) -> Option<(u64, UnixMs)> {
        self.versions.last().copied()
    }

    /// Returns the time since which a server with this version lacks newer weights.
    pub fn outdated_since(&self, version: u64) -> Option<UnixMs> {
        let newer = self.versions.partition_point(|&(known, _)| known <= version);
        self.versions.get(newer).map(|&(_, at)| at)
    }
}
