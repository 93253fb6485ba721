//! The actor that installs configurations and member updates.
//!
//! A single actor handles all updates, so that they are installed sequentially.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bilberry_config::Head;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Piece;
use rand::seq::IndexedRandom;
use xtra::prelude::*;

use crate::Node;
use crate::PeerPool;
use crate::registration::Registration;

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";

/// The key prefix of pieces, which is followed by the hash.
pub const PIECES_PREFIX: &str = "config/pieces/";

/// The number of peers that are notified of a new revision.
///
/// A fan-out of four reaches a thousand processes in five rounds. With one it
/// would take as many rounds as the periodic exchange, which is too slow for a
/// configuration change.
const FANOUT: usize = 4;

/// The timeout for notifying one peer.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reports that a peer has a higher revision.
#[derive(Debug, Clone)]
pub struct NewerPeer {
    /// The peer's revision.
    pub revision: u64,
    /// The peer's address.
    pub address: String,
}

/// Message with a head and those of its pieces that were received with it.
#[derive(Debug, Clone)]
pub struct HeadReceived {
    /// The head in its stored form.
    pub head: String,
    /// The pieces received with it.
    pub pieces: Vec<Piece>,
}

/// Message with registrations read from the platform.
#[derive(Debug, Clone)]
pub(crate) struct RegistrationsReceived {
    /// The registrations with their versions; `None` if deleted or unreadable.
    pub nodes: Vec<(u64, Option<Registration>)>,
    /// Whether the list is complete rather than a set of changes.
    pub is_complete: bool,
}

/// The actor that installs configurations and member updates.
#[derive(Debug, xtra::Actor)]
pub struct SyncActor<P> {
    node: Arc<Node>,
    links: PeerPool,
    platform: P,
}

impl<P> SyncActor<P> {
    pub(crate) fn new(node: Arc<Node>, links: PeerPool, platform: P) -> Self {
        Self { node, links, platform }
    }
}

impl<P: Platform> SyncActor<P> {
    /// Fetches the pieces of a head that are neither installed nor in `pieces`.
    async fn fetch_missing(&self, head: &Head, pieces: &mut Vec<Piece>) {
        let active = self.node.config.active();
        let received: HashSet<_> =
            pieces.iter().map(|piece| piece.hash.clone()).collect();
        for piece in &head.pieces {
            if received.contains(&piece.hash) || active.pieces.contains_key(&piece.hash) {
                continue;
            }
            let key = format!("{PIECES_PREFIX}{}", piece.hash);
            match self.platform.read(&key).await {
                Ok(object) => {
                    let text = object.and_then(|object| object.value).unwrap_or_default();
                    pieces.push(Piece { hash: piece.hash.clone(), text });
                }
                Err(error) => {
                    log::warn!(
                        "revision {} is delayed, a piece could not be read: {error}",
                        head.revision
                    );
                    return;
                }
            }
        }
    }

    /// Notifies a few random peers, which notify others in turn.
    fn notify_peers(&self) {
        let others = self.node.members.current().others(&self.node.process());
        for &peer in others.sample(&mut rand::rng(), FANOUT) {
            let links = self.links.clone();
            tokio::spawn(async move {
                let _ = links.ask(peer, Body::Ping(true), NOTIFY_TIMEOUT).await;
            });
        }
    }
}

impl<P: Platform> Handler<HeadReceived> for SyncActor<P> {
    type Return = ();

    async fn handle(&mut self, seen: HeadReceived, _: &mut Context<Self>) {
        let HeadReceived { head: head_text, mut pieces } = seen;
        let Ok(head) = serde_json::from_str::<Head>(&head_text) else { return };
        if head.revision <= self.node.config.revision() {
            return;
        }
        self.fetch_missing(&head, &mut pieces).await;
        match self.node.config.install(&head_text, pieces) {
            Ok(true) => {
                let detail = format!("revision {}", head.revision);
                self.node.events.record("", "config_in_force", detail);
                log::info!("revision {} is in force", head.revision);
                self.notify_peers();
            }
            Ok(false) => {}
            Err(error) => log::error!("revision {}: {error}", head.revision),
        }
    }
}

impl<P: Platform> Handler<RegistrationsReceived> for SyncActor<P> {
    type Return = ();

    async fn handle(&mut self, seen: RegistrationsReceived, _: &mut Context<Self>) {
        let own = self.node.process();
        let found: Vec<_> = seen
            .nodes
            .into_iter()
            .filter_map(|(version, node)| Some(node?.member(version)))
            .collect();
        if seen.is_complete {
            let names: HashSet<_> = found.iter().map(|m| m.process.as_str()).collect();
            self.node.members.retain(|known| {
                known.process == own || names.contains(known.process.as_str())
            });
        }
        self.node.members.merge(found.into_iter().filter(|m| m.process != own));
    }
}
