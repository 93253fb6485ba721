//! Runs of requests whose prompts have suspected parts, one at a time for each part.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::CrashCause;

/// The suspected parts of which a trial is in progress at this entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct Trials {
    in_progress: Arc<Mutex<HashSet<CrashCause>>>,
}

/// A trial of suspected parts; it ends when the last reference is dropped.
#[derive(Debug)]
pub(crate) struct Trial {
    in_progress: Arc<Mutex<HashSet<CrashCause>>>,
    parts: Vec<CrashCause>,
}

impl Trials {
    /// Begins a trial, unless one of any of these parts is in progress.
    pub(crate) fn begin(&self, parts: &[CrashCause]) -> Option<Arc<Trial>> {
        let mut in_progress = self.in_progress.lock().unwrap();
        if parts.iter().any(|part| in_progress.contains(part)) {
            return None;
        }
        in_progress.extend(parts);
        let in_progress = self.in_progress.clone();
        Some(Arc::new(Trial { in_progress, parts: parts.to_vec() }))
    }
}

impl Trial {
    /// Returns the suspected parts, those with the most crashes first.
    pub(crate) fn parts(&self) -> &[CrashCause] {
        &self.parts
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut in_progress = self.in_progress.lock().unwrap();
        self.parts.iter().for_each(|part| {
            in_progress.remove(part);
        });
    }
}
