//! The sidecars that could watch the platform's store for this entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::HubCandidate;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_core::choose_hub;
use bilberry_wire::WatchAnswer;
use bilberry_wire::WatchAsk;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::Dialect;
use crate::Gateway;
use crate::Upstream;

/// How many questions for one sidecar may wait to be sent; an entry follows three kinds.
pub(crate) const QUESTIONS_AHEAD: usize = 8;

/// The sidecars that are heard, each with the way to ask it.
#[derive(Debug, Default)]
pub struct Hubs {
    links: Mutex<HashMap<SocketAddr, HubLink>>,
}

/// A sidecar that is heard.
#[derive(Debug)]
struct HubLink {
    candidate: HubCandidate,
    questions: mpsc::Sender<HubQuestion>,
}

/// A question on its way to a sidecar.
#[derive(Debug)]
pub(crate) struct HubQuestion {
    pub(crate) ask: WatchAsk,
    pub(crate) reply: oneshot::Sender<WatchAnswer>,
}

/// Keeps a sidecar among those that could be asked, for as long as it is heard.
pub(crate) struct Joined<'a> {
    hubs: &'a Hubs,
    address: SocketAddr,
}

/// What came of asking a hub.
#[derive(Debug, Clone, PartialEq)]
pub enum HubReply {
    /// The hub's answer.
    Answer(WatchAnswer),
    /// It did not answer in time, or was lost.
    Silent,
    /// Nobody watches for this entry.
    NoHub,
}

impl Hubs {
    /// Notes that the sidecar at `address` is heard.
    pub(crate) fn join(
        &self,
        address: SocketAddr,
        upstream: &Upstream,
        questions: mpsc::Sender<HubQuestion>,
    ) -> Joined<'_> {
        let candidate =
            HubCandidate { place: upstream.place.clone(), seed: upstream.seed };
        self.links.lock().unwrap().insert(address, HubLink { candidate, questions });
        Joined { hubs: self, address }
    }

    fn choose(&self, place: &Name, entries: usize) -> Option<mpsc::Sender<HubQuestion>> {
        let links = self.links.lock().unwrap();
        let (candidates, questions): (Vec<_>, Vec<_>) =
            links.values().map(|link| (link.candidate.clone(), &link.questions)).unzip();
        choose_hub(place, &candidates, entries).map(|at| questions[at].clone())
    }
}

impl Drop for Joined<'_> {
    fn drop(&mut self) {
        self.hubs.links.lock().unwrap().remove(&self.address);
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Asks the sidecar that watches the store for this data centre's entries.
    pub async fn ask_hub(&self, ask: WatchAsk, until: UnixMs) -> HubReply {
        let entries = self.entries.lock().unwrap().get().unwrap_or_default();
        let Some(questions) = self.hubs.choose(&self.settings.place, entries) else {
            return HubReply::NoHub;
        };
        let (reply, answered) = oneshot::channel();
        if questions.try_send(HubQuestion { ask, reply }).is_err() {
            return HubReply::Silent;
        }
        match timeout(until.left(self.clock.now()), answered).await {
            Ok(Ok(answer)) => HubReply::Answer(answer),
            _ => HubReply::Silent,
        }
    }
}
