//! Following the platform's head, registrations and host list.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Candidate;
use bilberry_core::rendezvous;
use bilberry_platform::HostState;
use bilberry_platform::Listing;
use bilberry_platform::Platform;
use bilberry_platform::PlatformError;
use xtra::prelude::*;

use crate::Node;
use crate::registration::NODES_PREFIX;
use crate::registration::Registration;
use crate::sync_actor::HEAD_KEY;
use crate::sync_actor::HeadSeen;
use crate::sync_actor::NodesSeen;
use crate::sync_actor::SyncActor;

/// How often watchers read the host list.
const HOSTS_EVERY_MS: u64 = 1_000;

/// How often a process that is no watcher looks at the platform itself.
const LOOK_EVERY_MS: u64 = 60_000;

/// The pause after a failed call.
const PAUSE_MS: u64 = 300;

/// The hash by which watchers are ranked.
const WATCHERS_HASH: u64 = 0x5743_4845;

/// Follows the platform until the actor is gone.
pub(crate) async fn watch_platform<P: Platform>(
    node: Arc<Node>,
    platform: P,
    sync: Address<SyncActor<P>>,
    watchers: usize,
) {
    let head = watch_head(node.clone(), platform.clone(), sync.clone(), watchers);
    let nodes = watch_nodes(node.clone(), platform.clone(), sync, watchers);
    let hosts = watch_hosts(node, platform, watchers);
    tokio::join!(head, nodes, hosts);
}

/// Reports whether this process is among those that watch.
///
/// The platform's rates grow more slowly than the fleet: were every process to
/// watch, each change would cost as many reads as there are processes. The
/// members rank themselves alike everywhere, and the others hear from peers.
fn is_watcher(node: &Node, watchers: usize) -> bool {
    let members = node.members.current();
    if members.by_process.len() <= watchers {
        return true;
    }
    let own = node.process();
    let live = members.by_process.values().filter(|member| !member.leaving);
    let all: Vec<_> =
        live.map(|m| Candidate::new(m.process.as_str().into(), 0)).collect();
    let chosen = rendezvous(WATCHERS_HASH, &all, watchers);
    chosen.into_iter().any(|at| all[at].upstream == own)
}

async fn watch_head<P: Platform>(
    node: Arc<Node>,
    platform: P,
    sync: Address<SyncActor<P>>,
    watchers: usize,
) {
    let mut news = News::new(node, platform, HEAD_KEY, watchers);
    loop {
        let listing = news.next().await;
        for head in listing.objects.into_iter().filter_map(|o| o.value) {
            if sync.send(HeadSeen { head, pieces: Vec::new() }).await.is_err() {
                return;
            }
        }
    }
}

async fn watch_nodes<P: Platform>(
    node: Arc<Node>,
    platform: P,
    sync: Address<SyncActor<P>>,
    watchers: usize,
) {
    let mut news = News::new(node, platform, NODES_PREFIX, watchers);
    loop {
        let listing = news.next().await;
        let read = |text: String| serde_json::from_str::<Registration>(&text);
        let nodes = listing
            .objects
            .into_iter()
            .map(|o| (o.version, o.value.and_then(|text| read(text).ok())))
            .collect();
        let whole = news.is_whole;
        if sync.send(NodesSeen { nodes, whole }).await.is_err() {
            return;
        }
    }
}

async fn watch_hosts<P: Platform>(node: Arc<Node>, platform: P, watchers: usize) {
    loop {
        if let Ok(hosts) = platform.hosts().await {
            let leaving: HashSet<_> = hosts
                .into_iter()
                .filter(|host| host.state == HostState::Leaving)
                .map(|host| host.host)
                .collect();
            node.members.mark_leaving(|member| leaving.contains(&member.host));
            if leaving.contains(&node.member().host) {
                node.leave("the host list says so");
            }
        }
        let every_ms = match is_watcher(&node, watchers) {
            true => HOSTS_EVERY_MS,
            false => LOOK_EVERY_MS,
        };
        let pause_ms = every_ms / 2 + rand::random_range(0..=every_ms / 2);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// What is new below a prefix of the platform.
struct News<P> {
    node: Arc<Node>,
    platform: P,
    prefix: &'static str,
    watchers: usize,
    position: u64,
    /// Whether the last listing shows everything, not only changes.
    is_whole: bool,
}

impl<P: Platform> News<P> {
    fn new(node: Arc<Node>, platform: P, prefix: &'static str, watchers: usize) -> Self {
        Self { node, platform, prefix, watchers, position: 0, is_whole: true }
    }

    /// Reads everything at first, and waits for news from then on.
    async fn next(&mut self) -> Listing {
        loop {
            self.rest().await;
            self.is_whole = self.position == 0;
            match self.look().await {
                Ok(listing) => {
                    self.position = listing.position;
                    return listing;
                }
                Err(error) => self.pause_after(error).await,
            }
        }
    }

    async fn look(&self) -> Result<Listing, PlatformError> {
        match self.position {
            0 => self.platform.list(self.prefix).await,
            position => self.platform.watch(self.prefix, position).await,
        }
    }

    /// Lets a process that is no watcher look only now and then.
    async fn rest(&mut self) {
        if self.position != 0 && !is_watcher(&self.node, self.watchers) {
            let pause_ms = LOOK_EVERY_MS / 2 + rand::random_range(0..=LOOK_EVERY_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            // Reads everything at the next turn instead of waiting for news.
            self.position = 0;
        }
    }

    async fn pause_after(&mut self, error: PlatformError) {
        log::debug!("the platform is not followed: {error}");
        // The store may have come back with another history: read all of it again.
        self.position = 0;
        let pause_ms = PAUSE_MS / 2 + rand::random_range(0..=PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}
