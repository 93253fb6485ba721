//! The operators' configuration as a running entry uses it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bilberry_core::Name;
use bilberry_node::ClientTimes;

/// One configuration, complete and checked.
#[derive(Debug, Default)]
pub struct Policy {
    /// Its version; a higher one replaces it.
    pub version: u64,
    /// The routes of each host, longest prefix first.
    pub routes: HashMap<Name, Vec<Arc<Route>>>,
    /// The services that routes lead to.
    pub pools: HashMap<Name, Arc<Pool>>,
    /// The customer of each key; `None` where requests need no key.
    pub customers: Option<HashMap<Name, Arc<Customer>>>,
    /// The bounds on callers.
    pub limits: CallerLimits,
}

/// How requests under one prefix are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: Name,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Within which time an answer earns its full worth.
    pub target_ms: u64,
    /// Its rank, 0 first.
    pub priority: u8,
    /// The services, with their weights.
    pub targets: Vec<(Name, u32)>,
    /// The most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The longest pause between two events of an answer in time.
    pub gap_ms: Option<u64>,
}

/// What may be repeated.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    Once,
    /// An event stream that another upstream may continue.
    ResumableStream,
    /// An event stream that runs at most once.
    OnceStream,
}

impl CallKind {
    /// Reports whether a second run does no harm.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Reports whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::OnceStream)
    }
}

/// A service: upstreams that serve the same things.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// What its engines can do; `None` for a plain service.
    pub engine: Option<EngineTerms>,
    /// How a store of cached prompts is reached, if the service is one.
    pub prompt_store: Option<PromptStoreTerms>,
}

/// A store of cached prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct PromptStoreTerms {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre, if that is told.
    pub place: Option<Name>,
    /// How much its link carries, if that is told.
    pub link_mbps: Option<f64>,
}

/// What the engines of a service can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineTerms {
    /// The memory of each, in tokens.
    pub memory_tokens: u64,
    /// Whether the memory of a running request can be copied to another engine as
    /// it grows, so that the other one can go on with it.
    pub keeps_backups: bool,
    /// Whether they stop a run when asked to, and hand its memory to another engine.
    pub stops_runs: bool,
    /// The size of one token of a cached prompt; zero if that is not told.
    pub token_bytes: u64,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: Name,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt with others.
    pub isolated: bool,
}

/// The bounds on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub header_bytes: usize,
    /// The largest body of a request.
    pub body_bytes: usize,
    /// How long a caller may take to send a head, and to rest between requests.
    pub times: ClientTimes,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Used only until the operators' own bounds are in force.
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 4 * 1024 * 1024,
            times: ClientTimes { header_ms: 60_000, idle_ms: 60_000 },
        }
    }
}

impl Policy {
    /// Returns the route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the stores of cached prompts.
    pub fn prompt_stores(&self) -> impl Iterator<Item = &PromptStoreTerms> {
        self.pools.values().filter_map(|pool| pool.prompt_store.as_ref())
    }

    /// Returns how many tokens a second a store's link carries, if that is told.
    pub fn store_tokens_per_s(&self, store: &PromptStoreTerms) -> Option<f64> {
        let link_mbps = store.link_mbps?;
        let engines = self.pools.values().filter_map(|pool| pool.engine);
        let token_bytes = engines.map(|engine| engine.token_bytes).max()?;
        let bytes_per_s = link_mbps * 1_000_000.0 / 8.0;
        (token_bytes > 0).then(|| bytes_per_s / token_bytes as f64)
    }
}

impl Route {
    /// Returns the service that `draw`, a random number, falls on.
    pub fn target(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.targets.iter().map(|&(_, weight)| u64::from(weight)).sum();
        let mut left = draw % total.max(1);
        for (pool, weight) in &self.targets {
            match left.checked_sub(u64::from(*weight)) {
                Some(rest) => left = rest,
                None => return Some(pool),
            }
        }
        self.targets.first().map(|(pool, _)| pool)
    }
}
