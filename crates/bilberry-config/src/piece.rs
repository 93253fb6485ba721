//! The schema of the configuration files in the operators' folder.

use std::sync::Arc;

use bilberry_core::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::ConfigError;
use crate::PieceFile;
use crate::error::describe_toml_error;

/// The content of one file, parsed once and shared by all revisions that contain it.
///
/// With 48,000 customers, parsing all files again when one changes would cost too
/// much time, and the memory of a second copy.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Piece {
    /// The business that owns the file.
    pub owner: Name,
    /// Customers.
    #[serde(default)]
    pub(crate) customer: Vec<Arc<Customer>>,
    /// Models.
    #[serde(default)]
    pub(crate) model: Vec<Arc<Model>>,
    /// Pools of upstreams.
    #[serde(default)]
    pub(crate) pool: Vec<Arc<Pool>>,
    /// Upstreams.
    #[serde(default)]
    pub(crate) upstream: Vec<Arc<Upstream>>,
    /// Plain services.
    #[serde(default)]
    pub(crate) service: Vec<Arc<Service>>,
}

impl Piece {
    /// Parses a file.
    pub fn parse(file: &PieceFile) -> Result<Self, ConfigError> {
        toml::from_str(&file.text).map_err(|error| {
            let (line, problem, remedy) = describe_toml_error(&file.text, &error);
            ConfigError::Malformed { file: file.file.to_string(), line, problem, remedy }
        })
    }

    /// Removes the customers, for a process that learns of them from requests.
    pub fn without_customers(mut self) -> Self {
        self.customer = Vec::new();
        self
    }
}

/// The BLAKE3 hash of an API key, serialized in hexadecimal.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash(blake3::Hash);

impl KeyHash {
    /// Hashes an API key.
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, &'static str> {
        let problem = "a value is no BLAKE3 hash; put the output of `bilberryctl config \
                       hash-key` there";
        blake3::Hash::from_hex(text).map(Self).map_err(|_| problem)
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.0.to_hex().to_string()
    }
}

/// A customer, with its API keys and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// The name.
    pub name: Name,
    /// The BLAKE3 hashes of the customer's API keys.
    pub key_hashes: Vec<KeyHash>,
    /// The share of a busy upstream, relative to the weights of other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The priority; requests of a higher priority are served before all others.
    #[serde(default)]
    pub priority: u8,
    /// The maximum rate of accepted requests per second.
    #[serde(default = "default_rate_per_s")]
    pub rate_per_s: f64,
    /// The maximum number of requests in progress.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// The deadline of requests that don't specify one.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The models that the customer may use.
    #[serde(default)]
    pub models: Vec<Name>,
    /// The plain services that the customer may use.
    #[serde(default)]
    pub services: Vec<Name>,
}

/// A language model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use.
    pub name: Name,
    /// The pool that serves it.
    pub pool: Name,
    /// The version of the weights that its engines should run.
    pub weights: Name,
    /// The adapter; empty for the base model.
    #[serde(default)]
    pub adapter: Name,
    /// The maximum number of output tokens if the request does not specify one.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

/// A pool of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name.
    pub name: Name,
    /// The cost of a millisecond of recomputation relative to one of waiting; see
    /// the operators' page on routing.
    #[serde(default = "default_recompute_weight")]
    pub recompute_weight: f64,
    /// The number of upstreams probed for each request.
    #[serde(default = "default_probes")]
    pub probes: usize,
    /// The routing policy: `probe`, `rendezvous`, `least_loaded`, `round_robin`.
    #[serde(default = "default_policy")]
    pub policy: Name,
    /// The maximum number of engines that load weights at the same time.
    #[serde(default = "default_max_loads")]
    pub max_loads: usize,
}

/// The kind of an upstream.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamKind {
    /// A language-model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An engine or a plain HTTP server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The name.
    pub name: Name,
    /// The kind.
    pub kind: UpstreamKind,
    /// The pool to which it belongs.
    pub pool: Name,
    /// The data centre, as `region/hall`.
    pub place: Name,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The maximum number of requests that it runs concurrently.
    #[serde(default = "default_max_running")]
    pub max_running: usize,
    /// The maximum length of its queue.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name in the request path.
    pub name: Name,
    /// The pool that serves it.
    pub pool: Name,
    /// The HTTP methods whose calls must run at most once.
    #[serde(default = "default_non_repeatable")]
    pub non_repeatable_methods: Vec<Name>,
    /// Whether such calls run without a claim while the platform is unavailable.
    #[serde(default)]
    pub run_without_claim: bool,
}

fn default_weight() -> u32 {
    1
}

fn default_rate_per_s() -> f64 {
    1_000.0
}

fn default_concurrency() -> u32 {
    1_000
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_max_tokens() -> u32 {
    256
}

fn default_recompute_weight() -> f64 {
    1.5
}

fn default_probes() -> usize {
    5
}

fn default_policy() -> Name {
    "probe".into()
}

fn default_max_loads() -> usize {
    2
}

fn default_max_running() -> usize {
    16
}

fn default_queue_limit() -> usize {
    256
}

fn default_non_repeatable() -> Vec<Name> {
    vec!["POST".into()]
}
