//! Keeping the configuration and the members up to date.
//!
//! What feeds the [`SyncActor`] runs beside it: the platform's watches, and
//! [`Exchanger`], which asks peers that are ahead and, regularly, one random peer.

use std::net::SocketAddr;
use std::sync::Arc;

use bilberry_platform::Platform;
use xtra::prelude::*;

use crate::Links;
use crate::Node;
use crate::SyncActor;
use crate::exchange::Exchanger;
use crate::watch::watch_platform;

/// What the actor needs to start.
#[derive(Debug, Clone)]
pub struct SyncStart<P> {
    /// The process.
    pub node: Arc<Node>,
    /// Its connections.
    pub links: Links,
    /// The platform.
    pub platform: P,
    /// Peers that are asked when no member is known.
    pub seeds: Vec<SocketAddr>,
    /// How often one random peer is asked.
    pub exchange_ms: u64,
    /// How many processes watch the platform.
    pub head_watchers: usize,
}

/// Starts the actor and everything that feeds it.
pub fn start_sync<P: Platform>(start: SyncStart<P>) -> Address<SyncActor<P>> {
    let SyncStart { node, links, platform, seeds, exchange_ms, head_watchers } = start;
    let actor = SyncActor::new(node.clone(), links.clone(), platform.clone());
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let exchanger = Exchanger { node: node.clone(), links, sync: address.clone(), seeds };
    tokio::spawn(exchanger.clone().follow_peers_ahead());
    tokio::spawn(exchanger.exchange_regularly(exchange_ms));
    tokio::spawn(watch_platform(node, platform, address.clone(), head_watchers));
    address
}
