//! The sharing of the engine's prompt parts with entries.

use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::LoadOutlook;
use bilberry_core::LoadPermission;
use bilberry_core::SharingGate;
use bilberry_core::SharingState;
use bilberry_core::UnreleasedEntries;
use bilberry_wire::ModelVersion;
use bilberry_wire::SharingRelease;

/// The time that entries have to release the parts, as a divisor of the bound on older
/// weights.
const WAIT_DIVISOR: u64 = 4;

/// The same time if older weights are not bounded.
const DEFAULT_WAIT_MS: u64 = 2_000;

/// Tracks which entries may use the parts of the engine.
#[derive(Debug)]
pub struct PartSharing<C> {
    gate: Mutex<SharingGate>,
    clock: C,
}

/// The connection of one entry.
#[derive(Debug)]
pub(crate) struct SharingConnection<C: Clock> {
    sharing: Arc<PartSharing<C>>,
    connection: u64,
}

impl<C: Clock> PartSharing<C> {
    /// Creates a closed gate; no request may start on older weights after
    /// `outdated_weights_max_ms`.
    pub fn new(clock: C, outdated_weights_max_ms: Option<u64>) -> Self {
        let max_wait_ms =
            outdated_weights_max_ms.map_or(DEFAULT_WAIT_MS, |ms| ms / WAIT_DIVISOR);
        let gate = Mutex::new(SharingGate::new(clock.now(), max_wait_ms));
        Self { gate, clock }
    }

    /// Opens or closes the gate and returns its state.
    pub(crate) fn update(
        &self,
        outlook: LoadOutlook,
        served: &[ModelVersion],
    ) -> SharingState {
        let served = served.iter().map(|it| (it.model.clone(), it.version));
        let served: Vec<_> = served.collect();
        let mut gate = self.gate.lock().unwrap();
        gate.update(outlook, &served, self.clock.now());
        gate.state()
    }

    /// Records an order that retains runs, before it is sent.
    pub(crate) fn record_retaining_order(&self, weights: &ModelVersion) {
        let mut gate = self.gate.lock().unwrap();
        gate.record_retaining_order(&weights.model, weights.version);
    }

    /// Returns how a load of weights may begin.
    pub(crate) fn permission(&self) -> LoadPermission {
        self.gate.lock().unwrap().permission(self.clock.now())
    }

    /// Returns the entries that have not released the parts.
    pub(crate) fn unreleased(&self) -> UnreleasedEntries {
        self.gate.lock().unwrap().unreleased(self.clock.now())
    }

    /// Adds the connection of an entry, which ends on drop.
    pub(crate) fn connect(self: &Arc<Self>) -> SharingConnection<C> {
        let connection = self.gate.lock().unwrap().connect();
        SharingConnection { sharing: self.clone(), connection }
    }
}

impl<C: Clock> SharingConnection<C> {
    /// Records a message of the entry.
    pub(crate) fn record(&self, release: &SharingRelease) {
        let SharingRelease { process, term } = *release;
        self.sharing.gate.lock().unwrap().release(self.connection, process, term);
    }
}

impl<C: Clock> Drop for SharingConnection<C> {
    fn drop(&mut self) {
        let now = self.sharing.clock.now();
        self.sharing.gate.lock().unwrap().disconnect(self.connection, now);
    }
}
