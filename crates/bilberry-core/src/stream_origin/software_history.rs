//! The software versions that the servers of a service have had lately.

use std::collections::BTreeMap;

use super::SoftwareId;
use crate::UnixMs;

/// How long a version is remembered after it was last listed.
///
/// Servers go on serving after they have left the list, and entries that are cut off from
/// the list go on using them.
const MEMORY_MS: u64 = 600_000;

/// The largest number of versions remembered; any two rule out a single version.
const MAX_VERSIONS: usize = 2;

/// The software versions of a service's servers that one entry has seen in the list.
///
/// Every server that can begin a stream was listed before it began. An entry that has
/// followed the list without a gap for as long as a stream can last, and has confirmed the
/// list after a caller took a stream up, has therefore seen the version that began it.
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    /// By version, when it was last listed.
    versions: BTreeMap<SoftwareId, UnixMs>,
    /// When a server of unknown version was last in use.
    unknown_at: Option<UnixMs>,
    /// Since when the list has been followed without a gap.
    followed_since: Option<UnixMs>,
    /// The time as of which the list is complete.
    confirmed_at: UnixMs,
}

impl SoftwareHistory {
    /// Records that a server in the list has this version, or an unknown one.
    pub fn record(&mut self, software: Option<SoftwareId>, now: UnixMs) {
        let Some(software) = software else {
            self.unknown_at = Some(now);
            return;
        };
        self.versions.retain(|_, listed_at| now.ms_since(*listed_at) < MEMORY_MS);
        self.versions.insert(software, now);
        if self.versions.len() > MAX_VERSIONS {
            let oldest = self.versions.iter().min_by_key(|(_, listed_at)| **listed_at);
            let oldest = oldest.map(|(&software, _)| software);
            oldest.and_then(|oldest| self.versions.remove(&oldest));
        }
    }

    /// Records that the list is complete as of `at`.
    pub fn confirm(&mut self, at: UnixMs) {
        self.followed_since.get_or_insert(at);
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records that the list was read anew at `at`, so that servers that were listed only
    /// since the last confirmation may have been missed.
    ///
    /// A server is listed for `min_listed_ms` at least, so a shorter gap hides none.
    pub fn record_gap(&mut self, at: UnixMs, min_listed_ms: u64) {
        if at.ms_since(self.confirmed_at) >= min_listed_ms {
            self.followed_since = None;
        }
    }

    /// Returns the only version seen, if there is just one.
    pub fn seen_alone(&self, now: UnixMs) -> Option<SoftwareId> {
        let recent = |listed_at: &UnixMs| now.ms_since(*listed_at) < MEMORY_MS;
        let mut seen = self.versions.iter().filter(|(_, listed_at)| recent(listed_at));
        let (&software, _) = seen.next()?;
        seen.next().is_none().then_some(software)
    }

    /// Returns the only version seen, if the list was confirmed after `taken_up_at`.
    ///
    /// An entry that is out of step with the list has seen one version for as long as it
    /// misses another.
    pub fn confirmed_alone(
        &self,
        taken_up_at: UnixMs,
        now: UnixMs,
    ) -> Option<SoftwareId> {
        self.seen_alone(now).filter(|_| self.confirmed_at >= taken_up_at)
    }

    /// Returns the only version at which a stream can have begun that lasts for
    /// `max_stream_ms` at most and was taken up at `taken_up_at`.
    pub fn proven(
        &self,
        taken_up_at: UnixMs,
        max_stream_ms: u64,
        now: UnixMs,
    ) -> Option<SoftwareId> {
        let is_confirmed = self.confirmed_at >= taken_up_at;
        self.provable(taken_up_at, max_stream_ms, now).filter(|_| is_confirmed)
    }

    /// Returns the version that a confirmation of the list would prove.
    pub fn provable(
        &self,
        taken_up_at: UnixMs,
        max_stream_ms: u64,
        now: UnixMs,
    ) -> Option<SoftwareId> {
        let covers = |since: UnixMs| taken_up_at.ms_since(since) >= max_stream_ms;
        let is_followed = self.followed_since.is_some_and(covers);
        let is_known = self.unknown_at.is_none_or(covers);
        self.seen_alone(now).filter(|_| is_followed && is_known)
    }
}
