//! Points in time, as milliseconds since the Unix epoch.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A point in time. Deadlines are stored as points in time, never as durations.
#[derive(
    Debug,
    Copy,
    Clone,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Returns the point in time `ms` later.
    pub fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time from `now` until this deadline, or zero if it has passed.
    pub fn remaining(self, now: Self) -> Duration {
        Duration::from_millis(self.ms_since(now))
    }

    /// Returns whether this deadline has passed at `now`.
    pub fn has_passed_at(self, now: Self) -> bool {
        now >= self
    }
}

impl fmt::Display for UnixMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A source of the current time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current time.
    fn now(&self) -> UnixMs;
}

/// A clock that neither jumps nor stops while the host is suspended.
///
/// It starts at the wall-clock time and then advances with the kernel's boot-time clock,
/// which includes time in suspend. With the wall clock, a forward step would expire every
/// lease at once and a backward step would extend it. With the monotonic clock, a resumed
/// host would still trust data that it read before the suspend.
#[derive(Debug, Copy, Clone)]
pub struct BootClock {
    unix_at_boot_ms: u64,
}

impl BootClock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        let unix_at_boot_ms = SystemClock.now().0.saturating_sub(since_boot_ms());
        Self { unix_at_boot_ms }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> UnixMs {
        UnixMs(self.unix_at_boot_ms + since_boot_ms())
    }
}

fn since_boot_ms() -> u64 {
    // The call fails only on kernels without this clock, none of which are supported. The
    // fallback of zero would stop the clock.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    time.unwrap_or_default().as_millis() as u64
}

/// The wall clock of the operating system.
#[derive(Debug, Copy, Clone, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> UnixMs {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMs(elapsed.as_millis() as u64)
    }
}
