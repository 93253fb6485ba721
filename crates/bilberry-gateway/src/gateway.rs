//! The shared state of an entry that forwards requests to upstreams.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bilberry_core::BudgetLimits;
use bilberry_core::Clock;
use bilberry_core::EntryCount;
use bilberry_core::Freshness;
use bilberry_core::Name;
use bilberry_core::Outage;
use bilberry_core::OverloadGate;
use bilberry_core::PlannedStop;
use bilberry_core::PrefillsInProgress;
use bilberry_core::QuotaTolerance;
use bilberry_core::SoftwareHistory;
use bilberry_core::SoftwareId;
use bilberry_core::UnixMs;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::ConnectionPool;
use crate::Dialect;
use crate::GatewayMetrics;
use crate::Hubs;
use crate::KnownWeights;
use crate::Listing;
use crate::LogLineBudget;
use crate::Policy;
use crate::PromptStore;
use crate::PromptStores;
use crate::SidecarPresenceMap;
use crate::SpeedEstimates;
use crate::Upstream;
use crate::Upstreams;
use crate::held_back::WaitingRequests;
use crate::known_crashes::KnownCrashes;
use crate::metrics::ServerLabels;
use crate::part_use::PartUseRegistry;
use crate::planned_stop::RouteTimes;
use crate::pool_summary::PoolSummaries;
use crate::quota_client::QuotaClient;
use crate::retry_permit::RetryBudgets;
use crate::run_observation::SharedHosts;
use crate::stream_origin::OriginClient;
use crate::trials::Trials;

/// The interval at which the delay of due tasks is measured.
const OVERLOAD_INTERVAL: Duration = Duration::from_millis(20);

/// The number of services above which those without upstreams are forgotten.
const MAX_SOFTWARE_HISTORIES: usize = 1_024;

/// The startup settings of an entry.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of the entry's host.
    pub host: Name,
    /// The entry's data centre.
    pub data_centre: Name,
    /// How long API keys stay valid after the last confirmation, if bounded.
    pub key_max_age_ms: Option<u64>,
    /// How long requests may still start on outdated weights, if bounded.
    pub outdated_weights_max_ms: Option<u64>,
    /// The retry budget.
    pub budget: BudgetLimits,
    /// By how much customers may exceed their quotas.
    pub quota_tolerance: QuotaTolerance,
}

/// An entry that forwards requests to upstreams.
#[derive(Debug)]
pub struct Gateway<D, C> {
    /// The translation of the platform's headers.
    pub dialect: D,
    /// The clock.
    pub clock: C,
    /// The startup settings.
    pub settings: GatewaySettings,
    /// All known upstreams.
    pub upstreams: Upstreams,
    /// The pool of connections to upstreams.
    pub connections: ConnectionPool<C>,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// The prompt stores.
    pub stores: PromptStores,
    /// The announced versions of each model's weights.
    pub weights: KnownWeights,
    /// The sidecars that can relay the platform store's changes to this entry.
    pub hubs: Hubs,
    /// Which engine hosts have shown that they run a sidecar.
    pub sidecars: SidecarPresenceMap,
    pub(crate) crashes: KnownCrashes,
    pub(crate) trials: Trials,
    pub(crate) overload: Mutex<OverloadGate>,
    pub(crate) quotas: Arc<QuotaClient>,
    pub(crate) origins: OriginClient,
    software_histories: Mutex<HashMap<Name, SoftwareHistory>>,
    pub(crate) waiting: WaitingRequests,
    pub(crate) part_uses: PartUseRegistry,
    pub(crate) speed: SpeedEstimates,
    pub(crate) shared_hosts: SharedHosts,
    pub(crate) readings: Mutex<PrefillsInProgress>,
    pub(crate) log_budget: LogLineBudget,
    pub(crate) pool_summaries: watch::Sender<PoolSummaries>,
    policy: ArcSwapOption<Policy>,
    policy_freshness: Mutex<Freshness>,
    store_freshness: Mutex<Freshness>,
    pub(crate) retries: Arc<RetryBudgets>,
    pub(crate) outages: Mutex<HashMap<Name, Outage>>,
    pub(crate) entries: Mutex<EntryCount>,
    pub(crate) planned_stop: watch::Sender<Option<PlannedStop>>,
    pub(crate) route_times: RouteTimes,
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Creates an entry without configuration or upstreams.
    pub fn new(dialect: D, clock: C, settings: GatewaySettings) -> Self {
        let metrics = GatewayMetrics::new();
        Self {
            dialect,
            connections: ConnectionPool::new(clock.clone()),
            quotas: Arc::new(QuotaClient::new(clock.now())),
            origins: OriginClient::new(),
            software_histories: Mutex::default(),
            clock,
            upstreams: Upstreams::default(),
            retries: Arc::new(RetryBudgets::new(
                settings.budget,
                metrics.retries.clone(),
            )),
            metrics,
            stores: PromptStores::default(),
            weights: KnownWeights::default(),
            hubs: Hubs::default(),
            sidecars: SidecarPresenceMap::default(),
            crashes: KnownCrashes::new(&settings.host),
            trials: Trials::default(),
            overload: Mutex::default(),
            settings,
            waiting: WaitingRequests::default(),
            part_uses: PartUseRegistry::new(),
            speed: SpeedEstimates::default(),
            shared_hosts: SharedHosts::default(),
            readings: Mutex::default(),
            log_budget: LogLineBudget::default(),
            pool_summaries: watch::Sender::default(),
            policy: ArcSwapOption::empty(),
            policy_freshness: Mutex::default(),
            store_freshness: Mutex::default(),
            outages: Mutex::default(),
            entries: Mutex::default(),
            planned_stop: watch::Sender::default(),
            route_times: RouteTimes::default(),
        }
    }

    /// Returns the active configuration.
    pub fn policy(&self) -> Option<Arc<Policy>> {
        self.policy.load_full()
    }

    /// Activates a configuration, unless the active one is as new or newer.
    pub fn apply_policy(&self, mut policy: Policy) {
        if let Some(known) = self.policy.load().as_ref() {
            if known.version >= policy.version {
                return;
            }
            policy.scopes.keep_earlier(&known.scopes);
            if policy.scopes.isolates_more_than(&known.scopes) {
                self.metrics.isolations.inc();
            }
        }
        let isolated = policy.scopes.isolated();
        log::info!(
            target: "config",
            version = policy.version,
            hosts = policy.routes.len(),
            pools = policy.pools.len(),
            isolated = isolated.len(),
            cache_scope = isolated.scope_of(None).as_str();
            "in force"
        );
        self.metrics.config_version.set(policy.version as i64);
        self.metrics.isolated_customers.set(isolated.len() as i64);
        self.upstreams.set_configured_pools(policy.pools.keys().cloned());
        self.stores.configure(&policy);
        self.policy.store(Some(Arc::new(policy)));
        self.upstreams.status_changed.notify_one();
    }

    /// Updates the record of when the configuration was last confirmed.
    pub fn confirm(&self, change: impl FnOnce(&mut Freshness)) {
        change(&mut self.policy_freshness.lock().unwrap());
    }

    /// Returns when the configuration may confirm keys again after the store was restored
    /// from an older copy; `None` if it confirms them.
    pub fn policy_unconfirmed_until(&self) -> Option<UnixMs> {
        self.policy_freshness.lock().unwrap().unverified_until()
    }

    /// Reports whether the configuration was confirmed within the last `within_ms`.
    pub fn policy_is_fresh(&self, within_ms: u64) -> bool {
        self.policy_freshness.lock().unwrap().holds(self.clock.now(), within_ms)
    }

    /// Records that the platform store answered a request that this entry sent directly.
    pub fn record_store_contact(&self, requested_at: UnixMs) {
        self.store_freshness.lock().unwrap().confirm_read(requested_at);
    }

    /// Reports whether the store answered this entry directly within the last
    /// `within_ms`.
    pub fn has_reached_store(&self, within_ms: u64) -> bool {
        self.store_freshness.lock().unwrap().holds(self.clock.now(), within_ms)
    }

    /// Reports whether API keys were confirmed recently enough to be accepted.
    ///
    /// A key may have been revoked while the store is unreachable. Once the bound
    /// has passed, the entry refuses all callers that need a key.
    pub fn are_keys_confirmed(&self) -> bool {
        self.settings.key_max_age_ms.is_none_or(|good_ms| self.policy_is_fresh(good_ms))
    }

    /// Reports whether this entry should receive new callers.
    pub fn is_ready(&self) -> bool {
        let fresh = match self.settings.key_max_age_ms {
            // Half the bound, so that callers move before they are refused. Confirmations
            // through a hub keep the keys of existing callers valid; new callers are
            // better served by an entry that doesn't depend on a hub.
            Some(good_ms) => {
                let within_ms = good_ms / 2;
                self.is_fresh_enough(within_ms) && self.has_reached_store(within_ms)
            }
            None => true,
        };
        let knows_all = self.policy().is_some() && self.upstreams.is_list_complete();
        !self.is_stopping() && knows_all && fresh
    }

    /// Reports whether the configuration is fresh enough for new callers.
    ///
    /// After the store was restored from an older copy, no entry can confirm the
    /// configuration. Were all of them unready, callers would have no entry left although
    /// their keys are still valid at each.
    fn is_fresh_enough(&self, within_ms: u64) -> bool {
        let is_unverified =
            self.policy_freshness.lock().unwrap().has_unverified_restore();
        match is_unverified {
            true => self.are_keys_confirmed(),
            false => self.policy_is_fresh(within_ms),
        }
    }

    /// Measures how late due tasks run, which decides on new connections.
    pub async fn measure_overload(&self) {
        loop {
            let due_at = Instant::now() + OVERLOAD_INTERVAL;
            sleep_until(due_at).await;
            let delay = due_at.elapsed().as_millis() as u64;
            self.overload.lock().unwrap().record_delay(delay);
        }
    }

    /// Releases the prompt parts of all engines, once no requests are in progress.
    pub fn release_parts(&self) {
        self.part_uses.retire();
    }

    /// Takes a transfer between a prompt store and an upstream from the link's budget.
    pub(crate) fn may_use_link(
        &self,
        store: &PromptStore,
        tokens: u64,
        upstream: &Upstream,
    ) -> bool {
        let now = self.clock.now();
        // Unlike for retries, the last known count is not used while no sidecar reports
        // one: the same sidecars report what the store holds, and speculative fetches
        // would overload its link.
        store.try_reserve_transfer(
            now,
            tokens,
            &upstream.data_centre,
            self.entries_seen(now),
        )
    }

    /// Returns the number of entries, if any sidecar reports it.
    fn entries_seen(&self, now: UnixMs) -> Option<usize> {
        let seen = |upstream: &Arc<Upstream>| upstream.entries_seen(now);
        self.upstreams.all().iter().filter_map(seen).max()
    }

    /// Returns the range of retry delays for callers if no upstream of the service is
    /// alive.
    pub(crate) fn outage_retry_range_ms(
        &self,
        pool: &Name,
        left_ms: u64,
    ) -> Option<(u64, u64)> {
        let outages = self.outages.lock().unwrap();
        outages.get(pool)?.retry_delay_ms(self.clock.now(), left_ms)
    }

    /// Applies one record of the list of upstreams.
    pub fn apply_listing(&self, listed: &Listing) {
        let software = listed.software.as_ref();
        let software = software.map(|version| SoftwareId::new(&listed.pool, version));
        self.record_software(&listed.pool, software);
        let ended = self.upstreams.apply_listing(listed);
        ended.iter().for_each(|ended| self.on_incarnation_end(ended));
    }

    /// Records that the list of upstreams is complete as of `at`.
    pub fn confirm_list(&self, at: UnixMs) {
        let now = self.clock.now();
        let by_pool = self.upstreams.by_pool();
        let mut histories = self.software_histories.lock().unwrap();
        if histories.len() > MAX_SOFTWARE_HISTORIES {
            histories.retain(|pool, _| by_pool.contains_key(pool));
        }
        self.metrics.servers.clear();
        for (pool, upstreams) in by_pool.iter() {
            for upstream in upstreams.iter().filter(|upstream| !upstream.is_leaving()) {
                let software = upstream.software().map_or("", |version| version.as_str());
                let labels = ServerLabels {
                    pool: pool.to_string(),
                    software: software.to_string(),
                };
                self.metrics.servers.get_or_create(&labels).inc();
            }
            let history = histories.entry(pool.clone()).or_default();
            let versions = upstreams.iter().map(|upstream| upstream.software_id());
            versions.for_each(|software| history.record(software, now));
        }
        histories.values_mut().for_each(|history| history.confirm(at));
    }

    /// Records that the list of upstreams was read anew at `at`.
    ///
    /// Upstreams that were listed for less than `min_listed_ms` may have been missed.
    pub fn record_list_gap(&self, at: UnixMs, min_listed_ms: u64) {
        let mut histories = self.software_histories.lock().unwrap();
        histories.values_mut().for_each(|history| history.record_gap(at, min_listed_ms));
    }

    fn record_software(&self, pool: &Name, software: Option<SoftwareId>) {
        let now = self.clock.now();
        let mut histories = self.software_histories.lock().unwrap();
        histories.entry(pool.clone()).or_default().record(software, now);
    }

    /// Returns the software versions that a service has had lately.
    pub(crate) fn software_history(&self, pool: &Name) -> SoftwareHistory {
        let histories = self.software_histories.lock().unwrap();
        histories.get(pool).cloned().unwrap_or_default()
    }

    /// Applies a state update from the sidecar of an upstream.
    pub fn apply_sidecar_state(&self, id: &Name, state: UpstreamState) {
        let now = self.clock.now();
        self.entries.lock().unwrap().record_report(now, state.entries as usize);
        if let Some(upstream) = self.upstreams.get(id) {
            self.part_uses.of(upstream.address).record(&state, now);
        }
        let ended = self.upstreams.apply_state(id, state, now);
        ended.iter().for_each(|ended| self.on_incarnation_end(ended));
    }

    /// Applies a change of an upstream's cache, if it is from the current incarnation.
    pub fn apply_cache_change(&self, id: &Name, change: &CacheChange) {
        let now = self.clock.now();
        if self.upstreams.apply_cache_change(id, change, now) {
            if let Some(upstream) = self.upstreams.get(id) {
                self.record_prefills(&upstream, &change.reading, now);
            }
            self.record_prefills_done(&change.added);
            self.stores.record_prefilled(id, &change.added, now);
        }
    }

    /// Discards the state of an incarnation that has ended.
    fn on_incarnation_end(&self, ended: &Upstream) {
        // Parts that it was to save to the prompt store may never have been sent.
        self.stores.forget_writer(&ended.id);
        self.connections.close_idle_to(ended.address);
        log::info!(target: "upstream", upstream = ended.id.as_str(); "started again");
    }
}
