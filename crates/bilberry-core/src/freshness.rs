//! How long data read from the platform may be relied on.

use crate::UnixMs;
use crate::expired_entries::MIN_OUTAGE_CALLS;
use crate::expired_entries::RECOVERY_GRACE_MS;

/// Tracks when data was last confirmed to be current.
///
/// A response does not confirm the state at the time of its arrival, because the platform
/// may have changed in between. It confirms the state at the time of the request or, for
/// a watch that ended without changes, at the end of its wait.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: UnixMs,
    restore: Option<UnverifiedRestore>,
}

/// A restore of the store from an older backup that may still lack earlier writes.
///
/// While the restore is unverified, responses of the store confirm nothing.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
struct UnverifiedRestore {
    /// When the lost writes have been repeated.
    until: UnixMs,
    /// Whether the restored state is older than the known one.
    is_behind: bool,
    /// The number of consecutive calls without a response.
    failed_calls: u32,
}

impl Freshness {
    /// Records the response to a plain read, or a response with changes, for a request
    /// made at `requested_at`.
    pub fn confirm_read(&mut self, requested_at: UnixMs) {
        if let Some(restore) = &mut self.restore {
            restore.record_response(requested_at);
        }
        if !self.is_unverified_at(requested_at) {
            self.restore = None;
            self.confirmed_at = self.confirmed_at.max(requested_at);
        }
    }

    /// Records that a watch with a wait of `wait_ms` ended at `now` without changes.
    ///
    /// The platform responds at the end of the wait unless it cuts the watch short, so
    /// the earlier of the two times is used.
    pub fn confirm_quiet(&mut self, requested_at: UnixMs, wait_ms: u64, now: UnixMs) {
        self.confirm_read(requested_at.plus_ms(wait_ms).min(now));
    }

    /// Records that the store was restored from an older backup, as detected at `now`.
    ///
    /// The restored store may lack acknowledged writes, including ones this process never
    /// received, and its content does not show which. If reads of it counted as
    /// confirmation, a key revoked in the lost interval would be accepted until the
    /// revocation is written again. Until then, earlier confirmations expire as if the
    /// store were unreachable.
    pub fn record_restore(&mut self, now: UnixMs) {
        let until = now.plus_ms(RECOVERY_GRACE_MS);
        self.restore =
            Some(UnverifiedRestore { until, is_behind: true, failed_calls: 0 });
    }

    /// Records that a call to the store got no response.
    ///
    /// Lost writes cannot be repeated while the store is unreachable, so an outage
    /// restarts the time until the restore counts as verified. A single failed call does
    /// not count as an outage.
    pub fn record_failed_call(&mut self) {
        if let Some(restore) = &mut self.restore {
            restore.failed_calls += 1;
        }
    }

    /// Records whether the restored state is older than the known one.
    pub fn record_restored_state(&mut self, is_behind: bool) {
        if let Some(restore) = &mut self.restore {
            restore.is_behind = is_behind;
        }
    }

    /// Records a write after the restore of a state no older than the known one.
    ///
    /// Repeated writes carry the newest state, so nothing is missing any more.
    pub fn record_rewrite(&mut self) {
        self.restore = None;
    }

    /// Returns whether a response for the time `at` confirms nothing, because the store
    /// may lack earlier writes.
    pub fn is_unverified_at(&self, at: UnixMs) -> bool {
        self.restore.is_some_and(|restore| restore.is_behind || at < restore.until)
    }

    /// Returns whether a restore is unverified, that is, not yet cleared by a response or
    /// a write.
    pub fn has_unverified_restore(&self) -> bool {
        self.restore.is_some()
    }

    /// Returns when lost writes will have been repeated; `None` without an
    /// unverified restore.
    pub fn unverified_until(&self) -> Option<UnixMs> {
        self.restore.map(|restore| restore.until)
    }

    /// Returns the time at which the data was last confirmed to be current.
    pub fn confirmed_at(&self) -> UnixMs {
        self.confirmed_at
    }

    /// Returns whether the data was confirmed to be current less than `within_ms` before
    /// `now`.
    pub fn holds(&self, now: UnixMs, within_ms: u64) -> bool {
        now.ms_since(self.confirmed_at) < within_ms
    }
}

impl UnverifiedRestore {
    /// Records a response to a call made at `requested_at`.
    fn record_response(&mut self, requested_at: UnixMs) {
        if std::mem::take(&mut self.failed_calls) >= MIN_OUTAGE_CALLS {
            self.until = self.until.max(requested_at.plus_ms(RECOVERY_GRACE_MS));
        }
    }
}
