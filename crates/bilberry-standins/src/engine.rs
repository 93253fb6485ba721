//! A stand-in for a language-model engine.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberry_core::Chain;
use bilberry_core::TOKENS_PER_BLOCK;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::RwLock;
use tokio::sync::Semaphore;
use tokio::sync::broadcast;

use crate::BlockCache;
use crate::Holders;

/// How many events may wait for one that follows them slowly.
const EVENT_QUEUE: usize = 65_536;

/// What an engine is like.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineTraits {
    /// How many blocks its cache holds.
    pub cache_blocks: usize,
    /// How long one uncached prompt token takes.
    pub prefill_us_per_token: f64,
    /// How long one token of the answer takes.
    pub token_us: u64,
    /// How many requests it runs at once.
    pub max_running: usize,
    /// The weights that it starts with.
    pub weights: String,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// How long cache events are held back.
    pub event_lag_ms: u64,
    /// How long a load takes without a weight store.
    pub load_ms: u64,
    /// The address of the weight store, if there is one.
    pub weight_store: Option<std::net::SocketAddr>,
}

/// The faults of an engine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFaults {
    /// Fails every completion at once.
    pub fail_fast: bool,
    /// Loses every n-th cache event.
    pub lose_every: u64,
    /// Breaks each stream off after so many tokens.
    pub cut_after: u32,
    /// Ends each stream after so many tokens as if it were whole, with no end mark.
    pub end_after: u32,
    /// Multiplies all times.
    pub slowness: f64,
    /// Holds every completion back before it starts.
    pub hold_ms: u64,
}

/// What an engine counts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineCounters {
    /// Completions that were begun.
    pub runs: u64,
    /// Completions that were finished.
    pub finished: u64,
    /// Completions that were cancelled.
    pub cancelled: u64,
    /// Completions that run now.
    pub running: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens computed although a live engine held their block.
    pub wasted_tokens: u64,
    /// Blocks of other weights or another user that went into answers that were sent,
    /// whether or not the sidecar passed them on.
    pub violations: u64,
    /// Orders that were obeyed.
    pub orders: u64,
    /// Orders that were refused for an old fencing number.
    pub fenced: u64,
    /// Orders that were obeyed although a later number was seen.
    pub stale_orders: u64,
    /// The highest fencing number seen.
    pub fencing: u64,
}

/// One cache event as it is published.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct PublishedEvent {
    pub sequence: u64,
    pub incarnation: u64,
    pub kind: &'static str,
    pub block: u64,
}

/// A stand-in for a language-model engine.
#[derive(Debug)]
pub struct EngineStandin {
    pub(crate) traits: EngineTraits,
    pub(crate) state: Mutex<State>,
    pub(crate) events: broadcast::Sender<PublishedEvent>,
    pub(crate) generation: AtomicU64,
    prefill: Semaphore,
    pub(crate) loading: Arc<RwLock<()>>,
    pub(crate) places: Semaphore,
}

#[derive(Debug)]
pub(crate) struct State {
    pub incarnation: u64,
    pub weights: String,
    pub sequence: u64,
    pub cache: BlockCache,
    pub faults: EngineFaults,
    pub counters: EngineCounters,
    pub holders: Holders,
}

/// What a prefill found.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Prefilled {
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub violations: u64,
}

impl Default for EngineTraits {
    fn default() -> Self {
        Self {
            cache_blocks: 4_096,
            prefill_us_per_token: 40.0,
            token_us: 2_000,
            max_running: 16,
            weights: "w1".to_string(),
            checks_fencing: true,
            event_lag_ms: 20,
            load_ms: 300,
            weight_store: None,
        }
    }
}

impl EngineStandin {
    /// Creates an engine; `holders` is shared among all engines of a test.
    pub fn new(traits: EngineTraits, holders: Holders) -> Arc<Self> {
        let state = State {
            incarnation: rand::random::<u32>().into(),
            weights: traits.weights.clone(),
            sequence: 0,
            cache: BlockCache::new(traits.cache_blocks, holders.clone()),
            faults: EngineFaults::default(),
            counters: EngineCounters::default(),
            holders,
        };
        Arc::new(Self {
            events: broadcast::Sender::new(EVENT_QUEUE),
            generation: AtomicU64::new(0),
            prefill: Semaphore::new(1),
            loading: Arc::default(),
            places: Semaphore::new(traits.max_running),
            state: Mutex::new(state),
            traits,
        })
    }

    /// Returns what it counted.
    pub fn counters(&self) -> EngineCounters {
        self.state.lock().unwrap().counters.clone()
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Crashes it: all streams break off and it comes back empty.
    pub fn crash(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        state.incarnation = rand::random::<u32>().into();
        state.sequence = 0;
        state.cache.clear();
        state.counters.running = 0;
    }

    /// Returns how deep a prompt is cached, and how many requests run.
    pub fn look(&self, salt: &str, prompt: &str) -> (usize, u64) {
        let chain = Chain::new(salt, prompt);
        let state = self.state.lock().unwrap();
        (state.cache.depth(chain.hashes()), state.counters.running)
    }

    pub(crate) fn faults(&self) -> EngineFaults {
        self.state.lock().unwrap().faults.clone()
    }

    /// Sleeps as long as the engine would work.
    pub(crate) async fn work(&self, us: f64) {
        if us < 1.0 {
            return;
        }
        let slowness = self.faults().slowness.max(1.0);
        tokio::time::sleep(Duration::from_micros((us * slowness) as u64)).await;
    }

    /// Computes the prompt, one request at a time, and caches its blocks.
    pub(crate) async fn prefill(
        &self,
        salt: &str,
        prompt: &str,
        user: &str,
    ) -> Prefilled {
        let turn = self.prefill.acquire().await;
        let chain = Chain::new(salt, prompt);
        let prompt_tokens = (prompt.len() as u64).div_ceil(4).max(1);
        let (cached_tokens, violations) = self.note_found(&chain, prompt_tokens, user);
        let missing = prompt_tokens - cached_tokens;
        self.work(missing as f64 * self.traits.prefill_us_per_token).await;
        self.publish_use(&chain, user);
        drop(turn);
        Prefilled { prompt_tokens, cached_tokens, violations }
    }

    fn note_found(&self, chain: &Chain, prompt_tokens: u64, user: &str) -> (u64, u64) {
        let mut state = self.state.lock().unwrap();
        let depth = state.cache.depth(chain.hashes());
        let weights = state.weights.clone();
        let violations = state.cache.violations(chain.hashes(), &weights, user);
        let missing = &chain.hashes()[depth..];
        let wasted = missing.iter().filter(|hash| state.holders.any(**hash)).count();
        let cached_tokens = (depth as u64 * TOKENS_PER_BLOCK).min(prompt_tokens);
        state.counters.prompt_tokens += prompt_tokens;
        state.counters.cached_tokens += cached_tokens;
        state.counters.wasted_tokens += wasted as u64 * TOKENS_PER_BLOCK;
        (cached_tokens, violations)
    }

    fn publish_use(&self, chain: &Chain, user: &str) {
        let mut state = self.state.lock().unwrap();
        let weights = state.weights.clone();
        let (stored, evicted) = state.cache.store(chain.hashes(), &weights, user);
        let stored = stored.into_iter().map(|block| ("stored", block));
        let evicted = evicted.into_iter().map(|block| ("evicted", block));
        for (kind, block) in stored.chain(evicted) {
            let sequence = state.sequence;
            state.sequence += 1;
            let every = state.faults.lose_every;
            if every > 0 && sequence % every == every - 1 {
                continue;
            }
            let incarnation = state.incarnation;
            let event = PublishedEvent { sequence, incarnation, kind, block };
            let _ = self.events.send(event);
        }
    }

    /// Obeys an order to load weights, or refuses it.
    pub(crate) async fn load(&self, weights: &str, fencing: u64) -> Result<(), u64> {
        {
            let mut state = self.state.lock().unwrap();
            let highest = state.counters.fencing;
            if fencing < highest && self.traits.checks_fencing {
                state.counters.fenced += 1;
                return Err(highest);
            }
            state.counters.stale_orders += u64::from(fencing < highest);
            state.counters.fencing = highest.max(fencing);
        }
        match self.traits.weight_store {
            Some(store) => crate::weights::fetch(store, weights).await,
            None => tokio::time::sleep(Duration::from_millis(self.traits.load_ms)).await,
        }
        // The change waits for what runs, and what comes meanwhile waits for it.
        let _alone = self.loading.write().await;
        let mut state = self.state.lock().unwrap();
        // The cache is kept on purpose: whoever relied on the engine to empty it
        // would now meet blocks of the older weights.
        state.weights = weights.to_string();
        state.counters.orders += 1;
        Ok(())
    }
}
