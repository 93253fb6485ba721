//! Keeps the configuration and the members up to date.
//!
//! The [`SyncActor`] receives updates from two tasks: the platform watches, and
//! [`Exchanger`], which asks peers with a higher revision and, periodically, one
//! random peer.

use std::net::SocketAddr;
use std::sync::Arc;

use bilberry_platform::Platform;
use xtra::prelude::*;

use crate::Node;
use crate::PeerPool;
use crate::SyncActor;
use crate::exchange::Exchanger;
use crate::watch::watch_platform;

/// The parameters of [`start_sync`].
#[derive(Debug, Clone)]
pub struct SyncParameters<P> {
    /// The node of this process.
    pub node: Arc<Node>,
    /// The connections to peers.
    pub links: PeerPool,
    /// The platform.
    pub platform: P,
    /// The peers to ask if no member or configuration is known.
    pub seeds: Vec<SocketAddr>,
    /// The interval at which one random peer is asked.
    pub exchange_ms: u64,
    /// The number of processes that watch the platform.
    pub head_watchers: usize,
}

/// Starts the actor and the tasks that send it updates.
pub fn start_sync<P: Platform>(start: SyncParameters<P>) -> Address<SyncActor<P>> {
    let SyncParameters { node, links, platform, seeds, exchange_ms, head_watchers } =
        start;
    let actor = SyncActor::new(node.clone(), links.clone(), platform.clone());
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let exchanger = Exchanger { node: node.clone(), links, sync: address.clone(), seeds };
    tokio::spawn(exchanger.clone().follow_newer_peers());
    tokio::spawn(exchanger.exchange_periodically(exchange_ms));
    tokio::spawn(watch_platform(node, platform, address.clone(), head_watchers));
    address
}
