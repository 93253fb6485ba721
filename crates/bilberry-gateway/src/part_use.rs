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

/// The use of an engine's parts by one request, which ends on drop.
///
/// Once the request is sent, it counts until the engine has dropped the request, unless it
/// is settled before.
#[derive(Debug)]
pub(crate) struct PartUse {
    parts: Arc<EngineParts>,
    may_go_on: bool,
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

    /// Ends all use, so that the parts are released before the process ends.
    pub(crate) fn retire(&self) {
        for parts in self.by_address.lock().unwrap().values() {
            parts.uses.lock().unwrap().retire();
            parts.ended.notify_one();
        }
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

    /// Discards the report of a sidecar that can't be reached.
    pub(crate) fn forget_report(&self) {
        self.uses.lock().unwrap().forget_report();
    }

    /// Reports whether parts made under a version of a model's weights may be used.
    pub(crate) fn may_use(&self, model: &str, version: u64, now: UnixMs) -> bool {
        self.uses.lock().unwrap().may_use(model, version, now)
    }

    /// Returns how long ago the engine's sidecar reported.
    pub(crate) fn report_age_ms(&self, now: UnixMs) -> Option<u64> {
        self.uses.lock().unwrap().report_age_ms(now)
    }

    /// Begins a use of parts made under a version of a model's weights, if it may.
    pub(crate) fn try_begin(
        self: &Arc<Self>,
        model: &str,
        version: u64,
        now: UnixMs,
    ) -> Option<PartUse> {
        let may_use = self.uses.lock().unwrap().try_begin(model, version, now);
        may_use.then(|| self.new_use())
    }

    /// Begins a use of the parts of an engine whose runs finish before each load.
    pub(crate) fn begin(self: &Arc<Self>) -> PartUse {
        self.uses.lock().unwrap().begin();
        self.new_use()
    }

    fn new_use(self: &Arc<Self>) -> PartUse {
        PartUse { parts: self.clone(), may_go_on: false }
    }

    /// Returns the term to release, if the sharing and all uses have ended.
    pub(crate) fn released_term(&self, now: UnixMs) -> Option<u64> {
        self.uses.lock().unwrap().released_term(now)
    }
}

impl PartUse {
    /// Records that the request is sent.
    pub(crate) fn mark_sent(&mut self) {
        self.may_go_on = true;
    }

    /// Ends the use, as nothing is fetched or written for the request any more.
    pub(crate) fn settle(mut self) {
        self.may_go_on = false;
    }
}

impl Drop for PartUse {
    fn drop(&mut self) {
        let mut uses = self.parts.uses.lock().unwrap();
        match self.may_go_on {
            true => uses.abandon(),
            false => uses.end(),
        }
        drop(uses);
        self.parts.ended.notify_one();
    }
}
