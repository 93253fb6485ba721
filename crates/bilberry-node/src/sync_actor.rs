//! The actor that installs configurations and members.
//!
//! One actor installs what it is told, so that installs come one at a time.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bilberry_config::Head;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Piece;
use rand::seq::IndexedRandom;
use xtra::prelude::*;

use crate::Links;
use crate::Node;
use crate::registration::Registration;

/// Where the head stands.
pub const HEAD_KEY: &str = "config/head";

/// Where pieces stand, by hash.
pub const PIECES_PREFIX: &str = "config/pieces/";

/// How many peers are told of a new revision at once.
///
/// Four reach a thousand processes in five steps. One would take as many steps
/// as the regular exchange, which is slower than a change may be.
const FANOUT: usize = 4;

/// How long telling one peer may take.
const TELL_WAIT: Duration = Duration::from_millis(1_000);

/// Says that a peer showed a higher revision.
#[derive(Debug, Clone)]
pub struct PeerAhead {
    /// The revision.
    pub revision: u64,
    /// Where the peer is reached.
    pub address: String,
}

/// Says that the head was read, with those of its pieces that were at hand.
#[derive(Debug, Clone)]
pub struct HeadSeen {
    /// The head as it is stored.
    pub head: String,
    /// Pieces that came with it.
    pub pieces: Vec<Piece>,
}

/// Says that the platform's registrations were read.
#[derive(Debug, Clone)]
pub(crate) struct NodesSeen {
    /// Registrations with their versions; `None` for one that was deleted.
    pub nodes: Vec<(u64, Option<Registration>)>,
    /// Whether these are all there are.
    pub whole: bool,
}

/// The actor that installs configurations and members.
#[derive(Debug, xtra::Actor)]
pub struct SyncActor<P> {
    node: Arc<Node>,
    links: Links,
    platform: P,
}

impl<P> SyncActor<P> {
    pub(crate) fn new(node: Arc<Node>, links: Links, platform: P) -> Self {
        Self { node, links, platform }
    }
}

impl<P: Platform> SyncActor<P> {
    /// Fetches the pieces of a head that are neither held nor given.
    async fn fetch_missing(&self, head: &Head, pieces: &mut Vec<Piece>) {
        let held = self.node.config.in_force();
        let given: HashSet<_> = pieces.iter().map(|piece| piece.hash.clone()).collect();
        for piece in &head.pieces {
            if given.contains(&piece.hash) || held.pieces.contains_key(&piece.hash) {
                continue;
            }
            let key = format!("{PIECES_PREFIX}{}", piece.hash);
            match self.platform.read(&key).await {
                Ok(object) => {
                    let text = object.and_then(|object| object.value).unwrap_or_default();
                    pieces.push(Piece { hash: piece.hash.clone(), text });
                }
                Err(error) => {
                    log::warn!("revision {} waits for a piece: {error}", head.revision);
                    return;
                }
            }
        }
    }

    /// Tells a few random peers, whose frames then tell others.
    fn tell_peers(&self) {
        let others = self.node.members.current().others(&self.node.process());
        for &peer in others.sample(&mut rand::rng(), FANOUT) {
            let links = self.links.clone();
            tokio::spawn(async move {
                let _ = links.ask(peer, Body::Ping(true), TELL_WAIT).await;
            });
        }
    }
}

impl<P: Platform> Handler<HeadSeen> for SyncActor<P> {
    type Return = ();

    async fn handle(&mut self, seen: HeadSeen, _: &mut Context<Self>) {
        let HeadSeen { head: head_text, mut pieces } = seen;
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
                self.tell_peers();
            }
            Ok(false) => {}
            Err(error) => log::error!("revision {}: {error}", head.revision),
        }
    }
}

impl<P: Platform> Handler<NodesSeen> for SyncActor<P> {
    type Return = ();

    async fn handle(&mut self, seen: NodesSeen, _: &mut Context<Self>) {
        let own = self.node.process();
        let found: Vec<_> = seen
            .nodes
            .into_iter()
            .filter_map(|(version, node)| Some(node?.member(version)))
            .collect();
        if seen.whole {
            let names: HashSet<_> = found.iter().map(|m| m.process.as_str()).collect();
            self.node.members.retain(|known| {
                known.process == own || names.contains(known.process.as_str())
            });
        }
        self.node.members.merge(found.into_iter().filter(|m| m.process != own));
    }
}
