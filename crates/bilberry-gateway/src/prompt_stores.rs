//! The stores of cached prompts and the assignment of prompts to them.
//!
//! The expected load has a few hundred subjects of a few thousand tokens each, more
//! than one store can hold, and several stores with one link each. Every entry chooses
//! the store of a subject independently, and must find subjects where other entries
//! stored them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberry_core::LinkBudget;
use bilberry_core::Name;
use bilberry_core::Transfer;
use bilberry_core::UnixMs;
use bilberry_core::highest_ranked;
use bilberry_wire::StoreChange;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::Policy;
use crate::PromptStoreConfig;
use crate::StoreContents;

/// The stores of cached prompts that the configuration names.
#[derive(Debug, Default)]
pub struct PromptStores {
    by_address: Mutex<BTreeMap<SocketAddr, Arc<PromptStore>>>,
    /// Notified when the configuration in force changes.
    pub config_changed: Notify,
    /// Notified when a configuration is applied, or a store starts or stops answering.
    pub(crate) answering_changed: Arc<Notify>,
}

/// One store of cached prompts.
#[derive(Debug)]
pub struct PromptStore {
    /// Its settings in the configuration.
    pub terms: PromptStoreConfig,
    /// A hash of its address.
    pub seed: u64,
    /// The parts that it is assumed to hold.
    pub contents: StoreContents,
    /// The capacity of its link in tokens per second, if configured.
    link_tokens_per_s: Option<f64>,
    link: Mutex<LinkBudget>,
    answers: AtomicBool,
    answering_changed: Arc<Notify>,
}

impl PromptStores {
    /// Replaces the stores by those of a configuration; a store with unchanged settings
    /// keeps its state.
    pub fn configure(&self, policy: &Policy) {
        let mut by_address = self.by_address.lock().unwrap();
        let configured = policy.prompt_stores().map(|terms| {
            let link_tokens_per_s = policy.store_tokens_per_s(terms);
            let known = by_address.get(&terms.address).filter(|known| {
                known.terms == *terms && known.link_tokens_per_s == link_tokens_per_s
            });
            let store = known.cloned();
            let store = store.unwrap_or_else(|| {
                let answering_changed = self.answering_changed.clone();
                let terms = terms.clone();
                Arc::new(PromptStore::new(terms, link_tokens_per_s, answering_changed))
            });
            (terms.address, store)
        });
        let configured = configured.collect();
        *by_address = configured;
        self.config_changed.notify_one();
        self.answering_changed.notify_one();
    }

    /// Returns all stores, ordered by address.
    pub fn all(&self) -> Vec<Arc<PromptStore>> {
        self.by_address.lock().unwrap().values().cloned().collect()
    }

    /// Returns the stores that answer, ordered by address.
    pub fn answering(&self) -> Vec<Arc<PromptStore>> {
        let mut stores = self.all();
        stores.retain(|store| store.answers());
        stores
    }

    /// Reports whether any store answers.
    pub fn any_reachable(&self) -> bool {
        self.by_address.lock().unwrap().values().any(|store| store.answers())
    }

    /// Returns the answering store that keeps the prompts of a subject.
    ///
    /// Chosen by rendezvous hashing, which needs no coordination, uses the capacity and
    /// the links of all stores, and moves only the subjects of a store that fails. When
    /// each process used the first store that it found, entries looked for prompts in
    /// other stores than those that held them.
    pub fn home(&self, subject: u64) -> Option<Arc<PromptStore>> {
        let mut answering = self.answering();
        let seeds: Vec<u64> = answering.iter().map(|store| store.seed).collect();
        highest_ranked(subject, &seeds).map(|at| answering.swap_remove(at))
    }

    /// Records parts that an upstream has prefilled and may have written to a store.
    ///
    /// Recorded for all stores, until a sidecar reports their contents. This is harmless,
    /// as a part that is deep in a prompt is only requested from its home store.
    pub fn record_prefilled(&self, writer: &Name, keys: &[u64], now: UnixMs) {
        for store in self.all() {
            keys.iter().for_each(|&key| store.contents.record_write(writer, key, now));
        }
    }

    /// Discards the writes of an upstream that has restarted.
    pub fn forget_writer(&self, writer: &str) {
        self.all().iter().for_each(|store| store.contents.forget_writer(writer));
    }

    /// Applies a change of a store's contents that a sidecar reports.
    pub fn apply_report(&self, reporter: &Name, report: &StoreChange) {
        let Ok(address) = report.store.parse::<SocketAddr>() else {
            log::warn!(target: "prompt_store", teller = reporter.as_str(), address = report.store.as_str(); "a sidecar reported a prompt store with an invalid address");
            return;
        };
        let store = self.by_address.lock().unwrap().get(&address).cloned();
        if let (Some(store), Some(change)) = (store, &report.change) {
            store.contents.apply_report(reporter, change);
        }
    }

    /// Discards the reports of a sidecar on stores that it no longer follows.
    pub fn forget_reporter(&self, reporter: &str, followed: &[String]) {
        for store in self.all() {
            if !followed.contains(&store.terms.address.to_string()) {
                store.contents.forget_reporter(reporter);
            }
        }
    }
}

impl PromptStore {
    /// Creates a store with unknown contents that does not answer yet.
    pub fn new(
        terms: PromptStoreConfig,
        link_tokens_per_s: Option<f64>,
        answering_changed: Arc<Notify>,
    ) -> Self {
        Self {
            seed: xxh3_64(terms.address.to_string().as_bytes()),
            terms,
            contents: StoreContents::default(),
            link_tokens_per_s,
            link: Mutex::default(),
            answers: AtomicBool::new(false),
            answering_changed,
        }
    }

    /// Reports whether it answers.
    pub fn answers(&self) -> bool {
        self.answers.load(Ordering::Relaxed)
    }

    /// Sets whether it answers; a store that does not is assumed to come back empty.
    pub fn set_reachable(&self, answers: bool) {
        if !answers {
            self.contents.clear();
        }
        if self.answers.swap(answers, Ordering::Relaxed) != answers {
            self.answering_changed.notify_one();
        }
    }

    /// Claims a transfer in this entry's share of the store's link; returns whether it
    /// fits.
    pub fn try_reserve_transfer(
        &self,
        now: UnixMs,
        tokens: u64,
        place: &Name,
        entries: Option<usize>,
    ) -> bool {
        // A link without a configured capacity is not limited.
        let Some(tokens_per_s) = self.link_tokens_per_s else { return true };
        let same_data_centre = self.terms.data_centre.as_ref() == Some(place);
        let transfer = Transfer { tokens, same_data_centre };
        self.link.lock().unwrap().try_take(now, transfer, tokens_per_s, entries)
    }
}
