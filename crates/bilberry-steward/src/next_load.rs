//! The next load of newer weights by an engine.

use bilberry_core::UnixMs;
use bilberry_wire::ModelVersion;

use crate::SwapMode;

/// How long before a load the engine stops receiving new work.
///
/// Short requests complete in this time. Requests that still run afterwards continue on
/// the new weights, and what they generate from then on is of no value.
const DRAIN_MS: u64 = 250;

/// How long before a load entries stop using the engine's prompt parts.
const SHARING_MARGIN_MS: u64 = 400;

/// The next load of newer weights.
#[derive(Debug)]
pub(crate) struct NextLoad {
    pub(crate) weights: ModelVersion,
    /// When the rollout schedules the load.
    pub(crate) planned_at: UnixMs,
    /// When the engine starts to drain its queue for the load.
    pub(crate) drains_from: UnixMs,
    /// `planned_at`, or later if no order may be sent yet.
    pub(crate) starts_at: UnixMs,
    /// When the first version that the engine lacks was announced.
    pub(crate) outdated_since: UnixMs,
    /// How the engine handles its runs.
    pub(crate) mode: SwapMode,
}

impl NextLoad {
    /// Reports whether the engine receives no new work before the load.
    pub(crate) fn is_imminent(&self, now: UnixMs) -> bool {
        self.starts_at <= now.plus_ms(DRAIN_MS)
    }

    /// Reports whether entries stop using the engine's parts before the load.
    pub(crate) fn ends_sharing(&self, now: UnixMs) -> bool {
        self.planned_at <= now.plus_ms(SHARING_MARGIN_MS)
    }

    /// Returns the load while entries still use the engine's parts, and it serves on.
    pub(crate) fn postponed(self, now: UnixMs) -> Self {
        let starts_at = self.starts_at.max(now.plus_ms(DRAIN_MS + 1));
        Self { starts_at, ..self }
    }

    /// Returns the load after the engine's parts have been released.
    pub(crate) fn released(self, released_at: UnixMs, mode: SwapMode) -> Self {
        Self {
            drains_from: self.planned_at.max(released_at),
            starts_at: self.starts_at.max(released_at),
            mode,
            ..self
        }
    }
}
