//! Summaries of services, from which the notices to sidecars are built.
//!
//! Several hundred sidecars send a few messages per second each, and all of them send
//! at once after a restart of the fleet. The summary of a service is therefore computed
//! once for all its sidecars, and only when the list, a reported state, the announced
//! weights or the set of answering stores changes. The cost of any other message does
//! not depend on the number of upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_core::highest_ranked;
use bilberry_wire::EntryNotice;
use bilberry_wire::ModelVersion;
use tokio::sync::watch;

use crate::Dialect;
use crate::Gateway;
use crate::PromptStore;
use crate::Upstream;

/// The summaries of all services, by service name.
pub(crate) type PoolSummaries = Arc<HashMap<Name, PoolSummary>>;

/// The state of one service that its sidecars are notified of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PoolSummary {
    /// The seeds of its upstreams, in ascending order.
    seeds: Vec<u64>,
    /// The number of upstreams that are down or leaving.
    down: usize,
    /// The newest known version of the weights of each of its models.
    newest: Vec<ModelVersion>,
    /// For each store address, the seed of the upstream whose sidecar follows the store.
    store_followers: BTreeMap<String, u64>,
    /// Whether this entry uses what the sidecars observe of their engines' runs.
    observes_runs: bool,
}

impl PoolSummary {
    /// Returns the notice of the entry on `host` for the sidecar of an upstream.
    pub(crate) fn notice(&self, host: &Name, upstream: &Upstream) -> EntryNotice {
        // Ordered by hash: in address order, a rollout would take all servers of one data
        // centre out of service at once.
        let position = self.seeds.partition_point(|seed| *seed < upstream.seed);
        let followed = self.store_followers.iter();
        let followed = followed.filter(|(_, follower)| **follower == upstream.seed);
        EntryNotice {
            position: position as u64,
            servers: self.seeds.len() as u64,
            down: self.down as u64,
            newest: self.newest.clone(),
            prompt_stores: followed.map(|(address, _)| address.clone()).collect(),
            entry: host.to_string(),
            observes_runs: self.observes_runs,
            upstream: upstream.id.to_string(),
        }
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Returns a receiver of the summaries and their changes.
    pub(crate) fn subscribe_to_pool_summaries(&self) -> watch::Receiver<PoolSummaries> {
        self.pool_summaries.subscribe()
    }

    /// Recomputes and publishes the summaries whenever one of their inputs changes.
    pub(crate) async fn maintain_pool_summaries(&self) {
        loop {
            // `notify_one` stores a permit, so no change during the computation is lost.
            self.publish_pool_summaries();
            tokio::select! {
                _ = self.upstreams.status_changed.notified() => {}
                _ = self.weights.changed.notified() => {}
                _ = self.stores.answering_changed.notified() => {}
            }
        }
    }

    fn publish_pool_summaries(&self) {
        let now = self.clock.now();
        let by_pool = self.upstreams.by_pool();
        let stores = self.stores.answering();
        let summaries = by_pool.iter().map(|(pool, upstreams)| {
            let models = upstreams.iter().flat_map(|peer| peer.model_names(now));
            let models: BTreeSet<Name> = models.collect();
            models.iter().for_each(|model| self.note_weights_seen(pool, model, now));
            (pool.clone(), self.summarize(pool, upstreams, &models, &stores, now))
        });
        let summaries: PoolSummaries = Arc::new(summaries.collect());
        self.pool_summaries.send_if_modified(|known| {
            let is_changed = *known != summaries;
            *known = summaries;
            is_changed
        });
    }

    fn summarize(
        &self,
        pool: &Name,
        upstreams: &[Arc<Upstream>],
        models: &BTreeSet<Name>,
        stores: &[Arc<PromptStore>],
        now: UnixMs,
    ) -> PoolSummary {
        let mut seeds: Vec<u64> = upstreams.iter().map(|peer| peer.seed).collect();
        seeds.sort_unstable();
        let newest = models.iter().map(|model| {
            let version = self.weights.newest(model).unwrap_or_default();
            ModelVersion { version, model: model.to_string() }
        });
        PoolSummary {
            seeds,
            down: upstreams.iter().filter(|peer| peer.is_down(now)).count(),
            newest: newest.collect(),
            store_followers: store_followers(upstreams, stores, now),
            observes_runs: self.observes_runs(pool),
        }
    }

    /// Records the newest weights that any upstream of a service runs.
    ///
    /// Weights that an upstream runs have been announced, even if this entry has
    /// not received the announcement.
    fn note_weights_seen(&self, pool: &Name, model: &Name, now: UnixMs) {
        let Some(version) = self.upstreams.newest_reported(pool, model, now) else {
            return;
        };
        if self.weights.note(model, version, now) {
            log::info!(target: "weights", model = model.as_str(), version; "seen at an upstream");
        }
    }
}

/// Chooses, for each store, the upstream whose sidecar follows it.
///
/// A store serves only a few followers at once, so all entries choose the same sidecar,
/// by rendezvous hashing over the upstreams that have a current feed and are not leaving.
fn store_followers(
    upstreams: &[Arc<Upstream>],
    stores: &[Arc<PromptStore>],
    now: UnixMs,
) -> BTreeMap<String, u64> {
    let eligible = upstreams.iter();
    let eligible =
        eligible.filter(|peer| peer.has_current_feed(now) && !peer.is_leaving());
    let seeds: Vec<u64> = eligible.map(|peer| peer.seed).collect();
    let followers = stores.iter().filter_map(|store| {
        let at = highest_ranked(store.seed, &seeds)?;
        Some((store.terms.address.to_string(), seeds[at]))
    });
    followers.collect()
}
