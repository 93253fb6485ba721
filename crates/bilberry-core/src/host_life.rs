//! Whether a host shows any sign of life.
//!
//! A host that stands still or is cut off closes no connection, and its engine looks free,
//! as nothing that is sent there ends. Its last report therefore counts only for a short
//! time: once no further one comes, an entry asks the engine itself with a call that needs
//! no slot, and sends it no caller's request until the engine or its sidecar answers.

use crate::UnixMs;

/// The time without a report after which the host is checked.
///
/// Sidecars report every 500 ms.
const DOUBT_AFTER_MS: u64 = 650;

/// The time that a check may take; after a longer one, this process stood still itself.
const MAX_CHECK_MS: u64 = 600;

/// The first interval between two checks of a silent host.
const SILENT_INTERVAL_MS: u64 = 500;

/// The upper bounds of the growing intervals between checks of a silent host, and of one
/// whose engine answers without its sidecar.
const MAX_SILENT_INTERVAL_MS: u64 = 2_000;
const MAX_ANSWERED_INTERVAL_MS: u64 = 5_200;

/// The signs of life of a host with an engine and a sidecar, as seen by one entry.
#[derive(Debug, Clone, Default)]
pub struct HostLife {
    /// When a sidecar's report or an engine's answer last came, or the connection to the
    /// sidecar was accepted; `None` before that, as a host without a sidecar is never
    /// checked.
    sign_at: Option<UnixMs>,
    /// Whether the sidecar has ever reported.
    has_reported: bool,
    /// When the next check is due.
    check_at: UnixMs,
    /// The checks with the same result since the last report.
    checks: u32,
    is_silent: bool,
}

impl HostLife {
    /// Records that the host has accepted the connection to its sidecar, from which a report
    /// is due.
    ///
    /// Hosts that stand still accept connections as well.
    pub fn expect_report(&mut self, now: UnixMs) {
        if self.sign_at.is_none() {
            self.sign_at = Some(now);
            self.check_at = now.plus_ms(DOUBT_AFTER_MS);
        }
    }

    /// Records a report of the sidecar.
    pub fn record_report(&mut self, now: UnixMs) {
        self.sign_at = Some(now);
        self.has_reported = true;
        self.check_at = now.plus_ms(DOUBT_AFTER_MS);
        self.checks = 0;
        self.is_silent = false;
    }

    /// Records an answer of the engine.
    pub fn record_answer(&mut self, now: UnixMs) {
        if self.sign_at.is_none() {
            return;
        }
        self.set_silent(false);
        self.sign_at = Some(now);
        self.check_at = self.check_at.max(now.plus_ms(DOUBT_AFTER_MS));
    }

    /// Reports whether the host is to be checked; the check counts as begun then.
    pub fn begin_check(&mut self, now: UnixMs) -> bool {
        let is_due = self.sign_at.is_some() && self.check_at.has_passed_at(now);
        if is_due {
            self.check_at = now.plus_ms(MAX_CHECK_MS);
        }
        is_due
    }

    /// Records the result of a check that began at `began_at`.
    pub fn record_check(&mut self, is_answered: bool, began_at: UnixMs, now: UnixMs) {
        let has_sign_since = self.sign_at.is_some_and(|sign_at| sign_at > began_at);
        let is_late = now.ms_since(began_at) > MAX_CHECK_MS;
        match is_answered {
            true => {
                self.set_silent(false);
                self.sign_at = Some(now);
                self.schedule_check(DOUBT_AFTER_MS, MAX_ANSWERED_INTERVAL_MS, now);
            }
            false if has_sign_since || is_late => {}
            false => {
                self.set_silent(true);
                self.schedule_check(SILENT_INTERVAL_MS, MAX_SILENT_INTERVAL_MS, now);
            }
        }
    }

    fn set_silent(&mut self, is_silent: bool) {
        if std::mem::replace(&mut self.is_silent, is_silent) != is_silent {
            self.checks = 0;
        }
    }

    /// Schedules the next check, later after each one with the same result.
    fn schedule_check(
        &mut self,
        first_interval_ms: u64,
        max_interval_ms: u64,
        now: UnixMs,
    ) {
        let interval_ms = first_interval_ms << self.checks.min(8);
        self.check_at = now.plus_ms(interval_ms.min(max_interval_ms));
        self.checks += 1;
    }

    /// Reports whether neither the sidecar nor the engine answers.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Reports whether the host is silent, or its next report is overdue, or its first one has
    /// not come yet.
    pub fn is_doubtful(&self, now: UnixMs) -> bool {
        let Some(sign_at) = self.sign_at else { return false };
        let is_overdue = now.ms_since(sign_at) >= DOUBT_AFTER_MS || !self.has_reported;
        // An engine that answers without its sidecar is in no doubt.
        self.is_silent || self.checks == 0 && is_overdue
    }
}
