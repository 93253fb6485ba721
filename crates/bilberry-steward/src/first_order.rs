//! From when on a sidecar that has just started may order its engine.

use std::sync::Mutex;

use bilberry_core::UnixMs;

/// The moment before which a sidecar gives no order.
///
/// Until its start an entry may have ordered the engine. Engines that check no fencing
/// tokens would obey both, so the orders of both are kept a lease time apart.
#[derive(Debug, Default)]
pub struct FirstOrder {
    allowed_at: Mutex<UnixMs>,
}

impl FirstOrder {
    /// Allows orders from `allowed_at` on.
    pub fn at(allowed_at: UnixMs) -> Self {
        Self { allowed_at: Mutex::new(allowed_at) }
    }

    /// Returns from when on orders are allowed.
    pub fn allowed_at(&self) -> UnixMs {
        *self.allowed_at.lock().unwrap()
    }

    /// Allows orders from now on, as nobody else gives any.
    pub fn allow(&self) {
        *self.allowed_at.lock().unwrap() = UnixMs(0);
    }
}
