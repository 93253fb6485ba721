//! The uses of engines' prompt parts by this entry's requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bilberry_core::PartUses;
use bilberry_core::UnixMs;
use bilberry_wire::UpstreamState;
use tokio::sync::Notify;

/// The uses of prompt parts by the address of the engine.
///
/// Requests name their source by its address, so the uses outlive the incarnation and the
/// listing of an upstream.
#[derive(Debug)]
pub(crate) struct PartUseRegistry {
    by_address: Mutex<HashMap<SocketAddr, Arc<EngineParts>>>,
    /// Identifies this process to sidecars.
    pub(crate) process: u64,
}

/// The uses of one engine's parts.
#[derive(Debug, Default)]
pub(crate) struct EngineParts {
    uses: Mutex<PartUses>,
    /// Notified when a use ends.
    pub(crate) ended: Notify,
}

/// The use of an engine's parts by one request.
///
/// Dropped without `settle`, it counts until the engine has dropped the request.
#[derive(Debug)]
pub(crate) struct PartUse {
    parts: Arc<EngineParts>,
    is_settled: bool,
}

impl PartUseRegistry {
    /// Creates a registry without uses.
    pub(crate) fn new() -> Self {
        Self { by_address: Mutex::default(), process: rand::random::<u64>().max(1) }
    }

    /// Returns the uses of the engine at an address.
    pub(crate) fn of(&self, address: SocketAddr) -> Arc<EngineParts> {
        self.by_address.lock().unwrap().entry(address).or_default().clone()
    }
}

impl EngineParts {
    /// Records what the engine's sidecar reports.
    pub(crate) fn record(&self, state: &UpstreamState, now: UnixMs) {
        let models = state.models.iter();
        let models = models.map(|it| (it.model.clone(), it.version)).collect();
        let sharing = state.sharing.map(Into::into);
        self.uses.lock().unwrap().record(sharing, models, now);
    }

    /// Reports whether parts made under a version of a model's weights may be used.
    pub(crate) fn may_use(&self, model: &str, version: u64, now: UnixMs) -> bool {
        self.uses.lock().unwrap().may_use(model, version, now)
    }

    /// Begins a use.
    pub(crate) fn begin(self: &Arc<Self>) -> PartUse {
        self.uses.lock().unwrap().begin();
        PartUse { parts: self.clone(), is_settled: false }
    }

    /// Returns the term to release, if the sharing and all uses have ended.
    pub(crate) fn released_term(&self, now: UnixMs) -> Option<u64> {
        self.uses.lock().unwrap().released_term(now)
    }
}

impl PartUse {
    /// Ends the use, as nothing is fetched or written for the request any more.
    pub(crate) fn settle(mut self) {
        self.is_settled = true;
    }
}

impl Drop for PartUse {
    fn drop(&mut self) {
        let mut uses = self.parts.uses.lock().unwrap();
        match self.is_settled {
            true => uses.end(),
            false => uses.abandon(),
        }
        drop(uses);
        self.parts.ended.notify_one();
    }
}
