//! Sidecars that can watch the platform's store on behalf of this entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::HubCandidate;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_core::choose_hub;
use bilberry_wire::WatchRequest;
use bilberry_wire::WatchResponse;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::Upstream;

/// The capacity of the queue of watch requests to one sidecar; an entry watches three
/// kinds of objects.
pub(crate) const QUESTION_QUEUE_CAPACITY: usize = 8;

/// The connected sidecars, each with its queue of watch requests.
#[derive(Debug, Default)]
pub struct Hubs {
    links: Mutex<HashMap<SocketAddr, HubLink>>,
}

/// A connected sidecar.
#[derive(Debug)]
struct HubLink {
    candidate: HubCandidate,
    questions: mpsc::Sender<HubQuestion>,
}

/// A watch request to a sidecar and the channel for its response.
#[derive(Debug)]
pub(crate) struct HubQuestion {
    pub(crate) ask: WatchRequest,
    pub(crate) reply: oneshot::Sender<WatchResponse>,
}

/// The registration of a connected sidecar, which is removed on drop.
pub(crate) struct HubRegistration<'a> {
    hubs: &'a Hubs,
    address: SocketAddr,
}

/// The outcome of a watch request to a hub.
#[derive(Debug, Clone, PartialEq)]
pub enum HubReply {
    /// The hub's response.
    Answer(WatchResponse),
    /// The hub did not respond in time, or its connection was lost.
    Silent,
    /// No sidecar is chosen to watch for this entry.
    NoHub,
}

impl Hubs {
    /// Registers the connected sidecar at `address`.
    pub(crate) fn register(
        &self,
        address: SocketAddr,
        upstream: &Upstream,
        requests: mpsc::Sender<HubQuestion>,
    ) -> HubRegistration<'_> {
        let candidate =
            HubCandidate { place: upstream.data_centre.clone(), seed: upstream.seed };
        self.links
            .lock()
            .unwrap()
            .insert(address, HubLink { candidate, questions: requests });
        HubRegistration { hubs: self, address }
    }

    fn choose(
        &self,
        data_centre: &Name,
        entries: usize,
    ) -> Option<mpsc::Sender<HubQuestion>> {
        let links = self.links.lock().unwrap();
        let (candidates, queues): (Vec<_>, Vec<_>) =
            links.values().map(|link| (link.candidate.clone(), &link.questions)).unzip();
        choose_hub(data_centre, &candidates, entries).map(|at| queues[at].clone())
    }
}

impl Drop for HubRegistration<'_> {
    fn drop(&mut self) {
        self.hubs.links.lock().unwrap().remove(&self.address);
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Sends a request to the sidecar that watches the store for this data centre's
    /// entries.
    pub async fn ask_hub(&self, request: WatchRequest, until: UnixMs) -> HubReply {
        let entries = self.entries.lock().unwrap().current().unwrap_or_default();
        let Some(queue) = self.hubs.choose(&self.settings.data_centre, entries) else {
            return HubReply::NoHub;
        };
        let (reply, response) = oneshot::channel();
        if queue.try_send(HubQuestion { ask: request, reply }).is_err() {
            return HubReply::Silent;
        }
        match timeout(until.remaining(self.clock.now()), response).await {
            Ok(Ok(response)) => HubReply::Answer(response),
            _ => HubReply::Silent,
        }
    }
}
