//! Fetches the configuration and the members from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_config::Head;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Piece;
use bilberry_wire::PiecesRequest;
use bilberry_wire::StateRequest;
use rand::seq::IndexedRandom;
use tokio::sync::Semaphore;
use xtra::prelude::*;

use crate::Node;
use crate::PeerPool;
use crate::sync_actor::HeadReceived;
use crate::sync_actor::SyncActor;

/// The timeout of one request to a peer.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The maximum number of peers with a higher revision that are asked concurrently.
///
/// If only one were asked and it hung, a change would be delayed by the whole
/// timeout; if all were asked, they would send the same pieces many times.
const MAX_CONCURRENT_FETCHES: usize = 3;

/// The exchange interval at startup, until members are known.
const STARTUP_EXCHANGE_MS: u64 = 20;

/// The number of exchanges at the startup interval.
const STARTUP_EXCHANGES: u32 = 25;

/// Requests updates from peers and passes them to the actor that installs them.
#[derive(Debug)]
pub(crate) struct Exchanger<P> {
    pub(crate) node: Arc<Node>,
    pub(crate) links: PeerPool,
    pub(crate) sync: Address<SyncActor<P>>,
    pub(crate) seeds: Vec<SocketAddr>,
}

impl<P> Clone for Exchanger<P> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            links: self.links.clone(),
            sync: self.sync.clone(),
            seeds: self.seeds.clone(),
        }
    }
}

impl<P: Platform> Exchanger<P> {
    /// Fetches updates from peers whose frames carry a higher revision.
    pub(crate) async fn follow_newer_peers(self) {
        let mut notifications = self.node.take_newer_peers();
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_FETCHES));
        while let Some(notification) = notifications.recv().await {
            let permit = permits.clone().acquire_owned().await;
            // The revision may have been installed after an earlier notification.
            if notification.revision <= self.node.config.revision() {
                continue;
            }
            let Ok(peer) = notification.address.parse() else { continue };
            let exchanger = self.clone();
            tokio::spawn(async move {
                exchanger.exchange_with(peer).await;
                drop(permit);
            });
        }
    }

    /// Exchanges state with one random peer at a time, at short intervals at startup.
    pub(crate) async fn exchange_periodically(self, exchange_ms: u64) {
        for round in 0_u32.. {
            if let Some(peer) = self.random_peer() {
                self.exchange_with(peer).await;
            }
            let delay_ms = match round {
                0..STARTUP_EXCHANGES => STARTUP_EXCHANGE_MS,
                // Jitter prevents synchronized requests from processes that were
                // restarted together.
                _ => exchange_ms / 2 + rand::random_range(0..=exchange_ms),
            };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Chooses a random member; without members or a configuration also a seed.
    ///
    /// A process that restarts while the platform is down knows only the seeds.
    fn random_peer(&self) -> Option<SocketAddr> {
        let mut peers = self.node.members.current().others(&self.node.process());
        if peers.is_empty() || self.node.config.revision() == 0 {
            peers.extend(&self.seeds);
        }
        peers.choose(&mut rand::rng()).copied()
    }

    /// Requests a peer's state and passes it to the actor.
    async fn exchange_with(&self, peer: SocketAddr) {
        let ask = StateRequest {
            have_revision: self.node.config.revision(),
            members_digest: self.node.members.current().digest,
        };
        let asked = self.links.ask(peer, Body::StateRequest(ask), ASK_TIMEOUT).await;
        let Ok(Body::StateResponse(answer)) = asked else { return };
        self.node.merge_members(answer.members);
        if answer.head.is_empty() {
            return;
        }
        let pieces = self.fetch_pieces(peer, &answer.head).await;
        let _ = self.sync.send(HeadReceived { head: answer.head, pieces }).await;
    }

    /// Fetches the pieces of a head that are not installed, from the same peer.
    async fn fetch_pieces(&self, peer: SocketAddr, head_text: &str) -> Vec<Piece> {
        let Ok(head) = serde_json::from_str::<Head>(head_text) else { return Vec::new() };
        let active = self.node.config.active();
        let mut missing: Vec<_> = head
            .pieces
            .into_iter()
            .map(|piece| piece.hash)
            .filter(|hash| !active.pieces.contains_key(hash))
            .collect();
        let mut pieces = Vec::new();
        while !missing.is_empty() {
            let ask = Body::PiecesRequest(PiecesRequest { hashes: missing.clone() });
            let asked = self.links.ask(peer, ask, ASK_TIMEOUT).await;
            let Ok(Body::PiecesResponse(answer)) = asked else { break };
            if answer.pieces.is_empty() {
                break;
            }
            missing.retain(|hash| !answer.pieces.iter().any(|p| p.hash == *hash));
            pieces.extend(answer.pieces);
        }
        pieces
    }
}
