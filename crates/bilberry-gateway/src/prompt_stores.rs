//! The stores of cached prompts, and which of them keeps what.
//!
//! The load pattern: some hundred subjects of a few thousand tokens each, which one
//! store can't hold, beside several stores with a link each. Every entry decides
//! alone where a subject is kept, and has to look for it where the others put it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bilberry_core::LinkShare;
use bilberry_core::Name;
use bilberry_core::Transfer;
use bilberry_core::UnixMs;
use bilberry_core::home;
use bilberry_wire::StoreChange;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::KeptParts;
use crate::Policy;
use crate::PromptStoreTerms;

/// The stores of cached prompts that the configuration names.
#[derive(Debug, Default)]
pub struct PromptStores {
    by_address: Mutex<BTreeMap<SocketAddr, Arc<PromptStore>>>,
    /// Told whenever the configuration in force has changed.
    pub renamed: Notify,
    /// Notified when a configuration is taken over, or a store starts or stops answering.
    pub(crate) answering_changed: Arc<Notify>,
}

/// One store of cached prompts.
#[derive(Debug)]
pub struct PromptStore {
    /// What the configuration says of it.
    pub terms: PromptStoreTerms,
    /// A hash of its address.
    pub seed: u64,
    /// What it should have.
    pub kept: KeptParts,
    /// How many tokens a second its link carries, if that is told.
    link_tokens_per_s: Option<f64>,
    link: Mutex<LinkShare>,
    answers: AtomicBool,
    answering_changed: Arc<Notify>,
}

impl PromptStores {
    /// Takes over which stores a configuration names; one whose terms stay keeps what
    /// is known of it.
    pub fn name(&self, policy: &Policy) {
        let mut by_address = self.by_address.lock().unwrap();
        let named = policy.prompt_stores().map(|terms| {
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
        let named = named.collect();
        *by_address = named;
        self.renamed.notify_one();
        self.answering_changed.notify_one();
    }

    /// Returns all stores, in the order of their addresses.
    pub fn all(&self) -> Vec<Arc<PromptStore>> {
        self.by_address.lock().unwrap().values().cloned().collect()
    }

    /// Returns the stores that answer, in the order of their addresses.
    pub fn answering(&self) -> Vec<Arc<PromptStore>> {
        let mut stores = self.all();
        stores.retain(|store| store.answers());
        stores
    }

    /// Reports whether any store answers.
    pub fn any_answers(&self) -> bool {
        self.by_address.lock().unwrap().values().any(|store| store.answers())
    }

    /// Returns the store that keeps the prompts of a subject, of those that answer.
    ///
    /// Where each process took whichever store it met first, what one entry had kept
    /// others looked for elsewhere. Ranks by hashing need no agreement and use the room
    /// and the links of all stores; a lost one moves its subjects alone.
    pub fn home(&self, subject: u64) -> Option<Arc<PromptStore>> {
        let mut answering = self.answering();
        let seeds: Vec<u64> = answering.iter().map(|store| store.seed).collect();
        home(subject, &seeds).map(|at| answering.swap_remove(at))
    }

    /// Notes parts that an upstream has read and may have given to a store.
    ///
    /// Of a deep part only its home is ever asked, so it does no harm that the others
    /// count it too until a sidecar tells what they hold.
    pub fn note_read(&self, giver: &Name, keys: &[u64], now: UnixMs) {
        for store in self.all() {
            keys.iter().for_each(|&key| store.kept.note(giver, key, now));
        }
    }

    /// Forgets what an upstream was to give, as it has started again.
    pub fn forget_giver(&self, giver: &str) {
        self.all().iter().for_each(|store| store.kept.forget_giver(giver));
    }

    /// Takes over what a sidecar tells of a store.
    pub fn tell(&self, teller: &Name, told: &StoreChange) {
        let Ok(address) = told.store.parse::<SocketAddr>() else {
            log::warn!(target: "prompt_store", teller = teller.as_str(), address = told.store.as_str(); "a sidecar tells of no address");
            return;
        };
        let store = self.by_address.lock().unwrap().get(&address).cloned();
        if let (Some(store), Some(change)) = (store, &told.change) {
            store.kept.tell(teller, change);
        }
    }

    /// Forgets what a sidecar told of stores, but for those that it still follows.
    pub fn forget_teller(&self, teller: &str, follows: &[String]) {
        for store in self.all() {
            if !follows.contains(&store.terms.address.to_string()) {
                store.kept.forget_teller(teller);
            }
        }
    }
}

impl PromptStore {
    /// Knows nothing of what the store holds, or whether it answers.
    pub fn new(
        terms: PromptStoreTerms,
        link_tokens_per_s: Option<f64>,
        answering_changed: Arc<Notify>,
    ) -> Self {
        Self {
            seed: xxh3_64(terms.address.to_string().as_bytes()),
            terms,
            kept: KeptParts::default(),
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

    /// Notes whether it answers; one that does not comes back empty.
    pub fn set_answers(&self, answers: bool) {
        if !answers {
            self.kept.clear();
        }
        if self.answers.swap(answers, Ordering::Relaxed) != answers {
            self.answering_changed.notify_one();
        }
    }

    /// Asks for a transfer over its link, of which this entry may use a part.
    pub fn may_move(
        &self,
        now: UnixMs,
        tokens: u64,
        place: &Name,
        entries: Option<usize>,
    ) -> bool {
        // Where nobody told how much it carries, nothing bounds its use.
        let Some(tokens_per_s) = self.link_tokens_per_s else { return true };
        let same_place = self.terms.place.as_ref() == Some(place);
        let transfer = Transfer { tokens, same_place };
        self.link.lock().unwrap().take(now, transfer, tokens_per_s, entries)
    }
}
