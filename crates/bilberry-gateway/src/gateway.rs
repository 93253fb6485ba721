//! The state of an entry that forwards, and where requests are placed.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bilberry_core::BudgetTerms;
use bilberry_core::Clock;
use bilberry_core::Demand;
use bilberry_core::EntryCount;
use bilberry_core::Freshness;
use bilberry_core::Name;
use bilberry_core::Offer;
use bilberry_core::Outage;
use bilberry_core::Readings;
use bilberry_core::Repeat;
use bilberry_core::SharedBudget;
use bilberry_core::UnixMs;
use bilberry_core::Weights;
use bilberry_core::place;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;
use tokio::time::timeout;

use crate::Connections;
use crate::Dialect;
use crate::GatewayMetrics;
use crate::Hubs;
use crate::Job;
use crate::KnownWeights;
use crate::LineBudget;
use crate::Listed;
use crate::Pace;
use crate::Policy;
use crate::PromptStore;
use crate::PromptStores;
use crate::Refusal;
use crate::Seat;
use crate::Upstream;
use crate::Upstreams;

/// How long a waiting request sleeps at most before it looks again.
///
/// Room also appears as time passes: a pause ends, a load ends unseen.
const LOOK_AGAIN_MS: u64 = 25;

/// The part of a caller's patience for which its request waits for room.
const WAIT_PART: u64 = 3;

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
    pub(crate) pace: Pace,
    pub(crate) readings: Mutex<Readings>,
    pub(crate) lines: LineBudget,
    policy: ArcSwapOption<Policy>,
    policy_fresh: Mutex<Freshness>,
    store_reached: Mutex<Freshness>,
    budgets: Mutex<HashMap<Name, SharedBudget>>,
    outages: Mutex<HashMap<Name, Outage>>,
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
            pace: Pace::default(),
            readings: Mutex::default(),
            lines: LineBudget::default(),
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
                self.policy_is_fresh(within_ms) && self.has_reached_store(within_ms)
            }
            None => true,
        };
        let knows_all = self.policy().is_some() && self.upstreams.is_listed();
        !self.is_stopping() && knows_all && fresh
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

    fn note_outage(&self, pool: &Name, upstreams: &[Arc<Upstream>], now: UnixMs) {
        let any_lives = upstreams.iter().any(|upstream| upstream.lives(now));
        let mut outages = self.outages.lock().unwrap();
        outages.entry(pool.clone()).or_default().note(now, any_lives);
    }

    /// Waits for an upstream with room and takes a seat there.
    pub(crate) async fn seat(&self, job: &mut Job) -> Result<Seat, Refusal> {
        let began = self.clock.now();
        let patience_ms = job.deadline.ms_since(began) / WAIT_PART;
        let until = began.plus_ms(patience_ms);
        let seat = loop {
            // Asked for before the look, so that no change in between is missed.
            let changed = self.upstreams.changed.notified();
            let looked_at = self.clock.now();
            let mut look_again_ms = LOOK_AGAIN_MS;
            let mut awaits_parts = false;
            if let Some(choice) = self.choose(job) {
                let Some(read_by) = self.awaits_until(job, &choice) else {
                    break Ok(self.take(job, choice));
                };
                look_again_ms = read_by.ms_since(looked_at);
                awaits_parts = true;
            }
            let now = self.clock.now();
            let has_none = self.upstreams.is_listed()
                && self.upstreams.of(&job.pool.name).is_empty();
            if until.has_passed_at(now) || has_none {
                break Err(Refusal::NoRoom);
            }
            if self.lacks_weights(job, until, now) {
                break Err(Refusal::NoWeights);
            }
            let nap_ms = until.ms_since(now).min(look_again_ms).max(1);
            let _ = timeout(Duration::from_millis(nap_ms), changed).await;
            if awaits_parts {
                job.waited_for_parts_ms += self.clock.now().ms_since(looked_at);
            }
        };
        let waited_ms = self.clock.now().ms_since(began);
        job.waited_ms += waited_ms;
        self.metrics.wait_seconds.observe(waited_ms as f64 / 1_000.0);
        seat
    }

    /// Reports whether all upstreams have weights that are too old, and none of them
    /// is known to have others by `until`.
    ///
    /// A request that waited for them would be refused in the end. Where no upstream
    /// is left, or none is listed yet, one may appear at any moment, with any weights.
    fn lacks_weights(&self, job: &Job, until: UnixMs, now: UnixMs) -> bool {
        let Some(model) = &job.call.model else { return false };
        let mut upstreams = self.upstreams.of(&job.pool.name);
        upstreams.retain(|upstream| !upstream.is_leaving());
        let is_barred = |upstream: &Arc<Upstream>| {
            let version = upstream.weights(model, now);
            self.judge_weights(version, model, now) == Weights::Barred
                && !upstream.may_load_by(until, now)
        };
        !upstreams.is_empty() && upstreams.iter().all(is_barred)
    }

    /// Judges whether an upstream with this version of a model's weights may still
    /// serve.
    pub(crate) fn judge_weights(
        &self,
        version: Option<u64>,
        model: &str,
        now: UnixMs,
    ) -> Weights {
        let lacking_ms = self.weights.lacking_ms(model, version, now);
        Weights::lacking(lacking_ms, self.settings.weights_bound_ms)
    }

    /// Chooses an upstream with room, if there is one.
    fn choose(&self, job: &mut Job) -> Option<Choice> {
        let now = self.clock.now();
        let upstreams = self.upstreams.of(&job.pool.name);
        self.note_outage(&job.pool.name, &upstreams, now);
        let model = job.call.model.clone().unwrap_or_default();
        self.note_weights_seen(&job.pool.name, &model, now);
        let needs_weights = job.call.model.is_some() && job.pool.engine.is_some();
        let can_fetch = self.stores.any_answers();
        let demand = job.demand(can_fetch, self.pace.token_us(&job.pool.name));
        let mut versions = Vec::with_capacity(upstreams.len());
        let offers: Vec<Offer> = upstreams
            .iter()
            .map(|upstream| {
                let mut offer =
                    upstream.offer(now, &self.settings.place, job.pool.engine);
                offer.usable &= !job.has_tried(upstream);
                let version = upstream.weights(&model, now);
                offer.weights = self.judge_weights(version, &model, now);
                match version {
                    Some(version) => {
                        offer.held_tokens = job.keys(version).held_tokens(upstream, now);
                    }
                    // Without a version no salt can be named, and the prompt would
                    // be cached where every customer and every version finds it.
                    None => offer.usable &= !needs_weights,
                }
                versions.push(version);
                offer
            })
            .collect();
        let at = place(&demand, &offers)?;
        let version = versions[at].filter(|_| job.call.model.is_some());
        let like = offers.iter().zip(&versions).filter(|(_, other)| **other == version);
        let held_tokens = like.map(|(offer, _)| offer.held_tokens).max();
        Some(Choice {
            upstream: upstreams[at].clone(),
            demand,
            weights: version,
            held_tokens: held_tokens.unwrap_or_default(),
        })
    }

    /// Takes a seat where it was chosen.
    fn take(&self, job: &mut Job, choice: Choice) -> Seat {
        let Choice { upstream, demand, weights, .. } = choice;
        let model = job.call.model.clone().unwrap_or_default();
        job.weights = weights;
        job.lacking_ms = self.weights.lacking_ms(&model, weights, self.clock.now());
        if job.lacking_ms.is_some() {
            self.metrics.placed_on_older_weights.inc();
        }
        let missing = demand.shared_tokens + demand.own_tokens;
        let changed = self.upstreams.changed.clone();
        Seat::take(upstream, demand.memory_tokens(), missing, changed)
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

    /// Notes the newest weights that any upstream runs.
    ///
    /// They have been named, whether or not this entry could hear of it.
    pub(crate) fn note_weights_seen(&self, pool: &Name, model: &Name, now: UnixMs) {
        let Some(version) = self.upstreams.newest_told(pool, model, now) else {
            return;
        };
        if self.weights.note(model, version, now) {
            log::info!(target: "weights", model = model.as_str(), version; "seen at an upstream");
        }
    }
}

/// Where a request is to go.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) demand: Demand,
    /// The weights there.
    pub(crate) weights: Option<u64>,
    /// The most shared tokens that an upstream with these weights holds.
    pub(crate) held_tokens: u64,
}
