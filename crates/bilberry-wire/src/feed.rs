//! What sidecars and entries tell each other while both run.

use bilberry_core::Incarnation;
use bilberry_core::UnixMs;

/// One model and the version of its weights.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ModelVersion {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version of its weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// How an upstream fares, as its sidecar sees it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpstreamState {
    /// Whether it answers its sidecar.
    #[prost(bool, tag = "1")]
    pub up: bool,
    /// Whether it is about to load weights, or loads them.
    #[prost(bool, tag = "2")]
    pub loading: bool,
    /// The weights that it serves.
    #[prost(message, repeated, tag = "3")]
    pub models: Vec<ModelVersion>,
    /// Requests that run.
    #[prost(uint64, tag = "4")]
    pub running: u64,
    /// Requests that wait.
    #[prost(uint64, tag = "5")]
    pub queued: u64,
    /// Tokens of memory that can't be freed now.
    #[prost(uint64, tag = "6")]
    pub used_tokens: u64,
    /// Tokens of memory in all.
    #[prost(uint64, tag = "7")]
    pub total_tokens: u64,
    /// How many entries are connected to the sidecar.
    #[prost(uint64, tag = "8")]
    pub entries: u64,
    /// Chosen anew by the engine's cache at each start; zero while it is unknown.
    #[prost(fixed64, tag = "9")]
    pub cache_epoch: u64,
    /// In how many milliseconds it begins to load weights, if that is planned.
    ///
    /// A time of day would be read by another host's clock.
    #[prost(uint64, optional, tag = "10")]
    pub loads_in_ms: Option<u64>,
    /// When the upstream started, in Unix milliseconds, if it tells it.
    #[prost(fixed64, optional, tag = "11")]
    pub born_ms: Option<u64>,
    /// Whether it has announced its shutdown in an answer.
    #[prost(bool, tag = "12")]
    pub leaving: bool,
}

/// What an entry tells a sidecar.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EntryNotice {
    /// The upstream's position among those of its service, in an agreed order.
    #[prost(uint64, tag = "1")]
    pub position: u64,
    /// How many upstreams the service has.
    #[prost(uint64, tag = "2")]
    pub servers: u64,
    /// The newest weights of the service's models that the entry knows of.
    #[prost(message, repeated, tag = "3")]
    pub newest: Vec<ModelVersion>,
    /// How many upstreams of the service are down.
    #[prost(uint64, tag = "4")]
    pub down: u64,
    /// The addresses of the stores of kept prompts that the sidecar is to follow for
    /// this entry; others follow the rest.
    #[prost(string, repeated, tag = "5")]
    pub prompt_stores: Vec<String>,
}

/// What an entry tells a sidecar of shared parts that its requests read there.
///
/// The sidecar passes it on to the other entries at once. The engine tells the same
/// in its cache events, some hundred milliseconds later.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReadingNotice {
    /// Parts whose reading begins.
    #[prost(message, repeated, tag = "1")]
    pub begun: Vec<PartReading>,
    /// Parts that have been read, as hashes of salt and part.
    #[prost(fixed64, repeated, tag = "2")]
    pub read: Vec<u64>,
    /// When the upstream that reads them started, in Unix milliseconds, if known.
    #[prost(fixed64, optional, tag = "3")]
    pub born_ms: Option<u64>,
}

/// A part of a prompt that is read.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PartReading {
    /// The part, as a hash of salt and part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// In how many milliseconds it should have been read.
    ///
    /// A time of day would be read by another host's clock.
    #[prost(uint64, tag = "2")]
    pub done_in_ms: u64,
}

/// What changed in one store of kept prompts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoreChange {
    /// The address of the store.
    #[prost(string, tag = "1")]
    pub store: String,
    /// The parts.
    #[prost(message, optional, tag = "2")]
    pub change: Option<CacheChange>,
}

/// Parts of prompts that an upstream or a store began or ceased to hold.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CacheChange {
    /// Whether all that was told before no longer counts.
    #[prost(bool, tag = "1")]
    pub reset: bool,
    /// Parts that it holds now, as hashes of salt and part.
    #[prost(fixed64, repeated, tag = "2")]
    pub added: Vec<u64>,
    /// Parts that it dropped.
    #[prost(fixed64, repeated, tag = "3")]
    pub removed: Vec<u64>,
    /// When the upstream that held them started, in Unix milliseconds, if known.
    #[prost(fixed64, optional, tag = "4")]
    pub born_ms: Option<u64>,
    /// Parts that it has begun to read.
    #[prost(message, repeated, tag = "5")]
    pub reading: Vec<PartReading>,
}

impl UpstreamState {
    /// Returns the incarnation that this tells of, if it is known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.born_ms.map(|ms| Incarnation { born_at: UnixMs(ms) })
    }
}

impl CacheChange {
    /// Returns the incarnation that this tells of, if it is known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.born_ms.map(|ms| Incarnation { born_at: UnixMs(ms) })
    }
}
