//! The state of an entry that forwards, and where requests are placed.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwapOption;
use bilberry_core::BudgetTerms;
use bilberry_core::Clock;
use bilberry_core::EntryCount;
use bilberry_core::Freshness;
use bilberry_core::Name;
use bilberry_core::Outage;
use bilberry_core::Readings;
use bilberry_core::Repeat;
use bilberry_core::SharedBudget;
use bilberry_core::UnixMs;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::sync::watch;

use crate::Connections;
use crate::Dialect;
use crate::GatewayMetrics;
use crate::Hubs;
use crate::KnownWeights;
use crate::LineBudget;
use crate::Listed;
use crate::Pace;
use crate::Policy;
use crate::PromptStore;
use crate::PromptStores;
use crate::SidecarSigns;
use crate::Upstream;
use crate::Upstreams;
use crate::known_crashes::KnownCrashes;
use crate::pool_summary::PoolSummaries;

/// The bounds and identity that an entry is started with.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The entry's data centre.
    pub place: Name,
    /// For how long a key counts after it was last confirmed, if that is bounded.
    pub keys_good_ms: Option<u64>,
    /// After which time nothing may begin on older weights, if that is bounded.
    pub weights_bound_ms: Option<u64>,
    /// The limits on repeats.
    pub budget: BudgetTerms,
}

/// An entry that forwards requests to upstreams.
#[derive(Debug)]
pub struct Gateway<D, C> {
    /// The platform's headers.
    pub dialect: D,
    /// The clock.
    pub clock: C,
    /// What it was started with.
    pub settings: GatewaySettings,
    /// All upstreams.
    pub upstreams: Upstreams,
    /// Connections to upstreams.
    pub connections: Connections<C>,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// The stores of kept prompts.
    pub stores: PromptStores,
    /// The weights that were named.
    pub weights: KnownWeights,
    /// The sidecars that could watch the store for this entry.
    pub hubs: Hubs,
    /// Which hosts of engines have shown a sidecar.
    pub sidecars: SidecarSigns,
    pub(crate) crashes: KnownCrashes,
    pub(crate) pace: Pace,
    pub(crate) readings: Mutex<Readings>,
    pub(crate) lines: LineBudget,
    pub(crate) pool_summaries: watch::Sender<PoolSummaries>,
    policy: ArcSwapOption<Policy>,
    policy_fresh: Mutex<Freshness>,
    store_reached: Mutex<Freshness>,
    budgets: Mutex<HashMap<Name, SharedBudget>>,
    pub(crate) outages: Mutex<HashMap<Name, Outage>>,
    pub(crate) entries: Mutex<EntryCount>,
    stopping: AtomicBool,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Creates an entry that knows nothing yet.
    pub fn new(dialect: D, clock: C, settings: GatewaySettings) -> Self {
        Self {
            dialect,
            connections: Connections::new(clock.clone()),
            clock,
            settings,
            upstreams: Upstreams::default(),
            metrics: GatewayMetrics::new(),
            stores: PromptStores::default(),
            weights: KnownWeights::default(),
            hubs: Hubs::default(),
            sidecars: SidecarSigns::default(),
            crashes: KnownCrashes::default(),
            pace: Pace::default(),
            readings: Mutex::default(),
            lines: LineBudget::default(),
            pool_summaries: watch::Sender::default(),
            policy: ArcSwapOption::empty(),
            policy_fresh: Mutex::default(),
            store_reached: Mutex::default(),
            budgets: Mutex::default(),
            outages: Mutex::default(),
            entries: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Returns the configuration in force.
    pub fn policy(&self) -> Option<Arc<Policy>> {
        self.policy.load_full()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn install(&self, policy: Policy) {
        let newer = |known: &Arc<Policy>| known.version >= policy.version;
        if self.policy.load().as_ref().is_some_and(newer) {
            return;
        }
        log::info!(
            target: "config",
            version = policy.version,
            hosts = policy.routes.len(),
            pools = policy.pools.len();
            "in force"
        );
        self.metrics.config_version.set(policy.version as i64);
        self.upstreams.name_pools(policy.pools.keys().cloned());
        self.stores.name(&policy);
        self.policy.store(Some(Arc::new(policy)));
    }

    /// Changes how fresh the configuration is known to be.
    pub fn confirm(&self, change: impl FnOnce(&mut Freshness)) {
        change(&mut self.policy_fresh.lock().unwrap());
    }

    /// Returns when an older copy of the configuration may confirm keys again, while it
    /// confirms none.
    pub fn policy_doubted_until(&self) -> Option<UnixMs> {
        self.policy_fresh.lock().unwrap().doubted_until()
    }

    /// Reports whether the configuration was confirmed within a time.
    pub fn policy_is_fresh(&self, within_ms: u64) -> bool {
        self.policy_fresh.lock().unwrap().holds(self.clock.now(), within_ms)
    }

    /// Notes that the platform's store answered a question of this entry's own.
    pub fn note_store_reached(&self, asked_at: UnixMs) {
        self.store_reached.lock().unwrap().confirm_read(asked_at);
    }

    /// Reports whether the store answered this entry itself within a time.
    pub fn has_reached_store(&self, within_ms: u64) -> bool {
        self.store_reached.lock().unwrap().holds(self.clock.now(), within_ms)
    }

    /// Reports whether a key may still be relied on.
    ///
    /// A key that was revoked while this entry can't hear of it must not open
    /// the door once the bound has passed; from then on callers are refused.
    pub fn keys_are_good(&self) -> bool {
        self.settings.keys_good_ms.is_none_or(|good_ms| self.policy_is_fresh(good_ms))
    }

    /// Reports whether new callers should come here.
    pub fn is_ready(&self) -> bool {
        let fresh = match self.settings.keys_good_ms {
            // Left in good time, so that callers move before they are refused. What a
            // hub confirms keeps keys good for those who are here already; new ones are
            // better off at an entry that doesn't depend on one.
            Some(good_ms) => {
                let within_ms = good_ms / 2;
                self.is_fresh_enough(within_ms) && self.has_reached_store(within_ms)
            }
            None => true,
        };
        let knows_all = self.policy().is_some() && self.upstreams.is_listed();
        !self.is_stopping() && knows_all && fresh
    }

    /// Reports whether the configuration is fresh enough for new callers.
    ///
    /// After the store's return from an older copy all entries are in the same doubt:
    /// callers who were sent away had nowhere to go while their keys are good everywhere.
    fn is_fresh_enough(&self, within_ms: u64) -> bool {
        let has_doubt = self.policy_fresh.lock().unwrap().has_doubt();
        match has_doubt {
            true => self.keys_are_good(),
            false => self.policy_is_fresh(within_ms),
        }
    }

    /// Takes no new callers from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Reports whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Counts a request towards its service's budget of repeats.
    pub(crate) fn count_request(&self, pool: &Name) {
        let now = self.clock.now();
        self.with_budget(pool, |budget| budget.count_request(now));
    }

    /// Asks for one repeat.
    pub(crate) fn may_repeat(&self, pool: &Name, repeat: Repeat) -> bool {
        let now = self.clock.now();
        let entries = self.entries.lock().unwrap().get();
        self.with_budget(pool, |budget| budget.spend(now, entries, repeat))
    }

    /// Asks for a transfer between a store of kept prompts and an upstream.
    pub(crate) fn may_use_link(
        &self,
        store: &PromptStore,
        tokens: u64,
        upstream: &Upstream,
    ) -> bool {
        let now = self.clock.now();
        // Not kept while nobody tells, unlike for repeats: the same sidecars tell what
        // the store holds, and fetches on a guess would crowd its link.
        store.may_move(now, tokens, &upstream.place, self.entries_seen(now))
    }

    /// Returns how many entries there are, if any sidecar tells.
    fn entries_seen(&self, now: UnixMs) -> Option<usize> {
        let seen = |upstream: &Arc<Upstream>| upstream.entries_seen(now);
        self.upstreams.all().iter().filter_map(seen).max()
    }

    fn with_budget<T>(&self, pool: &Name, act: impl FnOnce(&mut SharedBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap();
        let fresh = || SharedBudget::new(self.settings.budget);
        act(budgets.entry(pool.clone()).or_insert_with(fresh))
    }

    /// Returns the least and the most time after which a caller may come back, if
    /// nothing of the service lives.
    pub(crate) fn outage_over_ms(&self, pool: &Name, left_ms: u64) -> Option<(u64, u64)> {
        let outages = self.outages.lock().unwrap();
        outages.get(pool)?.come_back_ms(self.clock.now(), left_ms)
    }

    /// Takes over one line of the list of upstreams.
    pub fn list(&self, listed: &Listed) {
        let ended = self.upstreams.put(listed);
        ended.iter().for_each(|ended| self.note_end(ended));
    }

    /// Takes over what the sidecar of an upstream says.
    pub fn hear(&self, id: &Name, state: UpstreamState) {
        let now = self.clock.now();
        self.entries.lock().unwrap().hear(now, state.entries as usize);
        let ended = self.upstreams.feed(id, state, now);
        ended.iter().for_each(|ended| self.note_end(ended));
    }

    /// Takes over a change of an upstream's cache, if it is the present one's.
    pub fn note_cache(&self, id: &Name, change: &CacheChange) {
        let now = self.clock.now();
        if self.upstreams.cache_change(id, change, now) {
            if let Some(upstream) = self.upstreams.get(id) {
                self.note_readings(&upstream, &change.reading, now);
            }
            self.note_read(&change.added);
            self.stores.note_read(id, &change.added, now);
        }
    }

    /// Forgets what was known of an incarnation that is over.
    fn note_end(&self, ended: &Upstream) {
        // What it was to give to the store of kept prompts may never have left it.
        self.stores.forget_giver(&ended.id);
        self.connections.drop_idle(ended.address);
        log::info!(target: "upstream", upstream = ended.id.as_str(); "started again");
    }
}
