//! Watches the platform's configuration head, registrations and host list.

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
use crate::sync_actor::HeadReceived;
use crate::sync_actor::RegistrationsReceived;
use crate::sync_actor::SyncActor;

/// The interval at which watchers read the host list.
const HOSTS_INTERVAL_MS: u64 = 1_000;

/// The interval at which a process that is not a watcher polls the platform.
const POLL_INTERVAL_MS: u64 = 60_000;

/// The delay after a failed call.
const RETRY_DELAY_MS: u64 = 300;

/// The rendezvous hash key that ranks watchers.
const WATCHERS_HASH_KEY: u64 = 0x5743_4845;

/// Runs the watches; those of the head and registrations end with the actor.
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

/// Returns whether this process is one of the watchers.
///
/// If every process watched, each change would cost one read per process, and the
/// platform's rate limits grow more slowly than the number of processes. All
/// processes compute the same ranking of members; those that are not watchers
/// receive changes from peers.
fn is_watcher(node: &Node, watchers: usize) -> bool {
    let members = node.members.current();
    if members.by_process.len() <= watchers {
        return true;
    }
    let own = node.process();
    let live = members.by_process.values().filter(|member| !member.leaving);
    let all: Vec<_> =
        live.map(|m| Candidate::new(m.process.as_str().into(), 0)).collect();
    let chosen = rendezvous(WATCHERS_HASH_KEY, &all, watchers);
    chosen.into_iter().any(|at| all[at].upstream == own)
}

async fn watch_head<P: Platform>(
    node: Arc<Node>,
    platform: P,
    sync: Address<SyncActor<P>>,
    watchers: usize,
) {
    let mut watch = PrefixWatch::new(node, platform, HEAD_KEY, watchers);
    loop {
        let listing = watch.next().await;
        for head in listing.objects.into_iter().filter_map(|o| o.value) {
            if sync.send(HeadReceived { head, pieces: Vec::new() }).await.is_err() {
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
    let mut watch = PrefixWatch::new(node, platform, NODES_PREFIX, watchers);
    loop {
        let listing = watch.next().await;
        let read = |text: String| serde_json::from_str::<Registration>(&text);
        let nodes = listing
            .objects
            .into_iter()
            .map(|o| (o.version, o.value.and_then(|text| read(text).ok())))
            .collect();
        let is_complete = watch.is_complete;
        if sync.send(RegistrationsReceived { nodes, is_complete }).await.is_err() {
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
                node.start_leaving("the host list says so");
            }
        }
        let interval_ms = match is_watcher(&node, watchers) {
            true => HOSTS_INTERVAL_MS,
            false => POLL_INTERVAL_MS,
        };
        let delay_ms = interval_ms / 2 + rand::random_range(0..=interval_ms / 2);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// A watch on the objects under a prefix.
struct PrefixWatch<P> {
    node: Arc<Node>,
    platform: P,
    prefix: &'static str,
    watchers: usize,
    position: u64,
    /// Whether the last listing is complete rather than a set of changes.
    is_complete: bool,
}

impl<P: Platform> PrefixWatch<P> {
    fn new(node: Arc<Node>, platform: P, prefix: &'static str, watchers: usize) -> Self {
        Self { node, platform, prefix, watchers, position: 0, is_complete: true }
    }

    /// Returns a complete listing first, and changes from then on.
    async fn next(&mut self) -> Listing {
        loop {
            self.wait_for_turn().await;
            self.is_complete = self.position == 0;
            match self.fetch().await {
                Ok(listing) => {
                    self.position = listing.position;
                    return listing;
                }
                Err(error) => self.delay_after(error).await,
            }
        }
    }

    async fn fetch(&self) -> Result<Listing, PlatformError> {
        match self.position {
            0 => self.platform.list(self.prefix).await,
            position => self.platform.watch(self.prefix, position).await,
        }
    }

    /// Waits for the polling interval if this process is not a watcher.
    async fn wait_for_turn(&mut self) {
        if self.position != 0 && !is_watcher(&self.node, self.watchers) {
            let delay_ms =
                POLL_INTERVAL_MS / 2 + rand::random_range(0..=POLL_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            // Request a complete listing next instead of waiting for changes.
            self.position = 0;
        }
    }

    async fn delay_after(&mut self, error: PlatformError) {
        log::debug!("platform watch failed, retrying: {error}");
        // The store may have been restored with a different history, so request a
        // complete listing next.
        self.position = 0;
        let delay_ms = RETRY_DELAY_MS / 2 + rand::random_range(0..=RETRY_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
