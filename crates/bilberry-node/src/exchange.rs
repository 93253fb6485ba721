//! Asking peers for the configuration and the members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberry_config::Head;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Piece;
use bilberry_wire::PiecesAsk;
use bilberry_wire::StateAsk;
use rand::seq::IndexedRandom;
use tokio::sync::Semaphore;
use xtra::prelude::*;

use crate::Links;
use crate::Node;
use crate::sync_actor::HeadSeen;
use crate::sync_actor::SyncActor;

/// How long one question to a peer may take.
const ASK_WAIT: Duration = Duration::from_millis(1_000);

/// How many peers that are ahead are asked at once.
///
/// One alone would hold up a change for the whole wait if it hangs; all of them
/// would send the same pieces many times.
const AHEAD_AT_ONCE: usize = 3;

/// How often peers are asked at the start, until members are known.
const FIRST_EXCHANGE_MS: u64 = 20;

/// How many quick exchanges are made at the start.
const FIRST_EXCHANGES: u32 = 25;

/// Asks peers and hands their answers to the actor that installs them.
#[derive(Debug)]
pub(crate) struct Exchanger<P> {
    pub(crate) node: Arc<Node>,
    pub(crate) links: Links,
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
    /// Asks each peer whose frames showed a higher revision.
    pub(crate) async fn follow_peers_ahead(self) {
        let mut notes = self.node.take_ahead_notes();
        let places = Arc::new(Semaphore::new(AHEAD_AT_ONCE));
        while let Some(note) = notes.recv().await {
            let place = places.clone().acquire_owned().await;
            // By now an earlier note may have brought the revision.
            if note.revision <= self.node.config.revision() {
                continue;
            }
            let Ok(peer) = note.address.parse() else { continue };
            let exchanger = self.clone();
            tokio::spawn(async move {
                exchanger.exchange_with(peer).await;
                drop(place);
            });
        }
    }

    /// Asks one random peer at a time, quickly at the start.
    pub(crate) async fn exchange_regularly(self, exchange_ms: u64) {
        for round in 0_u32.. {
            if let Some(peer) = self.random_peer() {
                self.exchange_with(peer).await;
            }
            let pause_ms = match round {
                0..FIRST_EXCHANGES => FIRST_EXCHANGE_MS,
                // Jitter keeps a herd of restarted processes from asking in step.
                _ => exchange_ms / 2 + rand::random_range(0..=exchange_ms),
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Chooses a peer among the members; without a configuration also a seed.
    ///
    /// A restart while the platform is down has nobody else to ask.
    fn random_peer(&self) -> Option<SocketAddr> {
        let mut peers = self.node.members.current().others(&self.node.process());
        if peers.is_empty() || self.node.config.revision() == 0 {
            peers.extend(&self.seeds);
        }
        peers.choose(&mut rand::rng()).copied()
    }

    /// Asks a peer for what it knows and hands it to the actor.
    async fn exchange_with(&self, peer: SocketAddr) {
        let ask = StateAsk {
            have_revision: self.node.config.revision(),
            members_digest: self.node.members.current().digest,
        };
        let asked = self.links.ask(peer, Body::StateAsk(ask), ASK_WAIT).await;
        let Ok(Body::StateAnswer(answer)) = asked else { return };
        self.node.merge_members(answer.members);
        if answer.head.is_empty() {
            return;
        }
        let pieces = self.fetch_pieces(peer, &answer.head).await;
        let _ = self.sync.send(HeadSeen { head: answer.head, pieces }).await;
    }

    /// Fetches the pieces of a head that are not held, from the same peer.
    async fn fetch_pieces(&self, peer: SocketAddr, head_text: &str) -> Vec<Piece> {
        let Ok(head) = serde_json::from_str::<Head>(head_text) else { return Vec::new() };
        let held = self.node.config.in_force();
        let mut missing: Vec<_> = head
            .pieces
            .into_iter()
            .map(|piece| piece.hash)
            .filter(|hash| !held.pieces.contains_key(hash))
            .collect();
        let mut pieces = Vec::new();
        while !missing.is_empty() {
            let ask = Body::PiecesAsk(PiecesAsk { hashes: missing.clone() });
            let asked = self.links.ask(peer, ask, ASK_WAIT).await;
            let Ok(Body::PiecesAnswer(answer)) = asked else { break };
            if answer.pieces.is_empty() {
                break;
            }
            missing.retain(|hash| !answer.pieces.iter().any(|p| p.hash == *hash));
            pieces.extend(answer.pieces);
        }
        pieces
    }
}
