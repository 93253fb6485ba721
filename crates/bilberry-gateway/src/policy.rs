//! The operators' configuration in the form that a running entry uses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bilberry_core::CacheScopes;
use bilberry_core::Name;
use bilberry_core::pools_with_yielding_routes;
use bilberry_node::ClientTimeouts;

/// A complete and validated configuration.
#[derive(Debug, Default)]
pub struct Policy {
    /// Its version; a configuration with a higher version replaces it.
    pub version: u64,
    /// The routes of each host, longest prefix first.
    pub routes: HashMap<Name, Vec<Arc<Route>>>,
    /// The services that routes refer to.
    pub pools: HashMap<Name, Arc<Pool>>,
    /// The services that order the requests which compete for them, with the shortest
    /// target latency of each, in milliseconds.
    pub ordered_pools: HashMap<Name, u64>,
    /// The customer of each API key; `None` if requests need no key.
    pub customers: Option<HashMap<Name, Arc<Customer>>>,
    /// The scopes in which customers share cached prompts; customers are isolated with or
    /// without keys.
    pub scopes: CacheScopes,
    /// The limits on callers.
    pub limits: CallerLimits,
}

/// The rules for requests under one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Name,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may be repeated, and whether answers are streams.
    pub kind: CallKind,
    /// The latest deadline of a request, measured from its arrival.
    pub timeout_ms: u64,
    /// The target time to the first byte; a later answer is worth less to its caller.
    pub target_ms: u64,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The services, with their traffic weights.
    pub targets: Vec<(Name, u32)>,
    /// The largest number of times that one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The longest time between two events for a stream to count as in time.
    pub gap_ms: Option<u64>,
    /// The silence after which callers of a stream leave, if known.
    pub patience_ms: Option<u64>,
}

/// Whether requests may be repeated, and whether answers are event streams.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonRepeatable,
    /// An event stream that another upstream may continue.
    ResumableStream,
    /// An event stream that runs at most once.
    NonRepeatableStream,
}

impl CallKind {
    /// Reports whether a request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Reports whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonRepeatableStream)
    }
}

/// A service: a pool of equivalent upstreams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: Name,
    /// The properties of its engines; `None` for a plain service.
    pub engine: Option<EngineConfig>,
    /// The settings of the prompt store, if the service is one.
    pub prompt_store: Option<PromptStoreConfig>,
    /// The path at which its servers answer health checks, if configured.
    pub health_path: Option<Name>,
}

/// The settings of a store of cached prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct PromptStoreConfig {
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre, if configured.
    pub data_centre: Option<Name>,
    /// The capacity of its link, if configured.
    pub link_mbps: Option<f64>,
}

/// The properties of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineConfig {
    /// The cache memory of one engine, in tokens.
    pub memory_tokens: u64,
    /// Whether the memory of a running request can be copied to another engine as it
    /// grows, so that the other engine can continue the request.
    pub keeps_backups: bool,
    /// Whether they can stop a run on request and transfer its memory to another engine.
    pub stops_runs: bool,
    /// The size of one cached prompt token in bytes; zero if not configured.
    pub token_bytes: u64,
}

/// A customer.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: Name,
    /// Its priority, which overrides the route's.
    pub priority: Option<u8>,
    /// The limit on its use, over all entries.
    pub quota: Option<CustomerQuota>,
}

/// A customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerQuota {
    /// The average rate, in units per second.
    pub rate_per_s: f64,
    /// What may be used beyond the rate at one time, in units.
    pub burst: f64,
    /// What a request is counted in.
    pub unit: QuotaUnit,
}

/// What a request is counted in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt and output tokens.
    Tokens {
        /// The cost of a request that states no tokens.
        plain_tokens: f64,
    },
}

/// The limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request header section.
    pub header_bytes: usize,
    /// The largest request body.
    pub body_bytes: usize,
    /// The timeouts for sending the headers of a request and between requests.
    pub times: ClientTimeouts,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // In force only until the operators' configuration is loaded.
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 4 * 1024 * 1024,
            times: ClientTimeouts { header_ms: 60_000, idle_ms: 60_000 },
        }
    }
}

impl QuotaUnit {
    /// Returns the cost of a request with this many tokens.
    pub fn cost(self, tokens: u64) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { plain_tokens } if tokens == 0 => plain_tokens,
            Self::Tokens { .. } => tokens as f64,
        }
    }
}

impl Policy {
    /// Returns the services of engines some of whose streams can yield to others and
    /// still be in time, with the shortest target latency of each.
    pub fn ordered_pools(
        routes: &HashMap<Name, Vec<Arc<Route>>>,
        pools: &HashMap<Name, Arc<Pool>>,
    ) -> HashMap<Name, u64> {
        let streams = || routes.values().flatten().filter(|route| route.kind.is_stream());
        let targets = streams().flat_map(|route| {
            route.targets.iter().map(|(pool, _)| (pool, route.target_ms))
        });
        let is_engine =
            |pool: &Name| pools.get(pool).is_some_and(|pool| pool.engine.is_some());
        let ordered = pools_with_yielding_routes(targets);
        let ordered = ordered.filter(|(pool, _)| is_engine(pool));
        ordered.map(|(pool, shortest_ms)| (pool.clone(), shortest_ms)).collect()
    }

    /// Returns the route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the stores of cached prompts.
    pub fn prompt_stores(&self) -> impl Iterator<Item = &PromptStoreConfig> {
        self.pools.values().filter_map(|pool| pool.prompt_store.as_ref())
    }

    /// Returns the capacity of a store's link in tokens per second, if configured.
    pub fn store_tokens_per_s(&self, store: &PromptStoreConfig) -> Option<f64> {
        let link_mbps = store.link_mbps?;
        let engines = self.pools.values().filter_map(|pool| pool.engine);
        let token_bytes = engines.map(|engine| engine.token_bytes).max()?;
        let bytes_per_s = link_mbps * 1_000_000.0 / 8.0;
        (token_bytes > 0).then(|| bytes_per_s / token_bytes as f64)
    }
}

impl Route {
    /// Chooses a service by weight, with `draw` as the random number.
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
