//! The delay before a newly started sidecar may send orders to its engine.

use std::sync::Mutex;

use bilberry_core::UnixMs;

/// The time before which a sidecar sends no order.
///
/// Before the sidecar started, an entry may have sent orders to the engine. Engines that
/// do not check fencing tokens would obey both, so their orders are kept a lease duration
/// apart.
#[derive(Debug, Default)]
pub struct OrderGate {
    allowed_at: Mutex<UnixMs>,
}

impl OrderGate {
    /// Allows orders from `allowed_at` onwards.
    pub fn at(allowed_at: UnixMs) -> Self {
        Self { allowed_at: Mutex::new(allowed_at) }
    }

    /// Returns the time from which orders are allowed.
    pub fn allowed_at(&self) -> UnixMs {
        *self.allowed_at.lock().unwrap()
    }

    /// Allows orders immediately, as no other process sends any.
    pub fn allow(&self) {
        *self.allowed_at.lock().unwrap() = UnixMs(0);
    }
}
