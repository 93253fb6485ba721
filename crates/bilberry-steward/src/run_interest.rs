//! Whether any connected entry uses what the sidecar observes of the engine's runs.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::ReportDetail;

/// The number of connected entries that use the engine's runs.
#[derive(Debug, Clone, Default)]
pub struct RunInterest {
    entries: Arc<AtomicUsize>,
}

/// The interest of one connected entry, which ends on drop.
#[derive(Debug)]
pub(crate) struct EntryInterest {
    interest: RunInterest,
    is_counted: bool,
}

impl RunInterest {
    /// Returns how much of the engine's state has to be queried.
    pub fn detail(&self) -> ReportDetail {
        match self.entries.load(Ordering::Relaxed) {
            0 => ReportDetail::Load,
            _ => ReportDetail::Runs,
        }
    }

    /// Adds a connected entry that has stated no interest yet.
    pub(crate) fn connect(&self) -> EntryInterest {
        EntryInterest { interest: self.clone(), is_counted: false }
    }
}

impl EntryInterest {
    /// Reports whether the entry uses what the sidecar observes.
    pub(crate) fn is_stated(&self) -> bool {
        self.is_counted
    }

    /// Records whether the entry uses the engine's runs; returns whether that has changed.
    pub(crate) fn set(&mut self, observes_runs: bool) -> bool {
        match (self.is_counted, observes_runs) {
            (false, true) => self.interest.entries.fetch_add(1, Ordering::Relaxed),
            (true, false) => self.interest.entries.fetch_sub(1, Ordering::Relaxed),
            _ => return false,
        };
        self.is_counted = observes_runs;
        true
    }
}

impl Drop for EntryInterest {
    fn drop(&mut self) {
        self.set(false);
    }
}
