//! Notifications between sidecars and entries.

use bilberry_core::Incarnation;
use bilberry_core::SharingState;
use bilberry_core::UnixMs;
use bilberry_core::WorkPace;

use crate::AdmissionLoad;

/// A model and the version of its weights.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ModelVersion {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version of its weights.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// The state of an upstream as observed by its sidecar.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpstreamState {
    /// Whether it responds to its sidecar.
    #[prost(bool, tag = "1")]
    pub up: bool,
    /// Whether it is loading weights or is about to.
    #[prost(bool, tag = "2")]
    pub loading: bool,
    /// The weights that it serves.
    #[prost(message, repeated, tag = "3")]
    pub models: Vec<ModelVersion>,
    /// The number of running requests.
    #[prost(uint64, tag = "4")]
    pub running: u64,
    /// The number of queued requests.
    #[prost(uint64, tag = "5")]
    pub queued: u64,
    /// Memory that cannot be freed at present, in tokens.
    #[prost(uint64, tag = "6")]
    pub used_tokens: u64,
    /// Total memory, in tokens.
    #[prost(uint64, tag = "7")]
    pub total_tokens: u64,
    /// The number of entries connected to the sidecar.
    #[prost(uint64, tag = "8")]
    pub entries: u64,
    /// A value that the engine's cache chooses at each start; zero while unknown.
    #[prost(fixed64, tag = "9")]
    pub cache_epoch: u64,
    /// The time until it starts to load weights, in milliseconds, if a load is planned.
    ///
    /// Relative, because the receiving host's clock may differ.
    #[prost(uint64, optional, tag = "10")]
    pub loads_in_ms: Option<u64>,
    /// When the upstream started, in Unix milliseconds, if it reports that.
    #[prost(fixed64, optional, tag = "11")]
    pub started_at_ms: Option<u64>,
    /// Whether it has announced its shutdown in a response.
    #[prost(bool, tag = "12")]
    pub leaving: bool,
    /// Whether the sidecar keeps customers' quotas.
    #[prost(bool, tag = "13")]
    pub keeps_quotas: bool,
    /// The work ahead at the engine, if the sidecar decides on admissions.
    #[prost(message, optional, tag = "14")]
    pub admission: Option<AdmissionLoad>,
    /// How fast the engine works, if the sidecar has measured it lately.
    #[prost(message, optional, tag = "15")]
    pub pace: Option<EnginePace>,
    /// Whether the engine responds to its sidecar while its runs make no progress.
    #[prost(bool, tag = "16")]
    pub stalled: bool,
    /// Whether the sidecar records which software versions began streams.
    #[prost(bool, tag = "17")]
    pub keeps_origins: bool,
    /// Whether entries may use the parts of the engine, if the sidecar decides on that.
    #[prost(message, optional, tag = "18")]
    pub sharing: Option<PartSharing>,
}

/// Whether other engines and prompt stores may take the parts of an engine.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PartSharing {
    /// Identifies the period up to the engine's next load.
    #[prost(fixed64, tag = "1")]
    pub term: u64,
    /// Whether new uses may begin.
    #[prost(bool, tag = "2")]
    pub is_open: bool,
}

/// Tells a sidecar that an entry has no use of the engine's parts left.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SharingRelease {
    /// The term that has ended for the entry; zero if it only identifies itself.
    #[prost(fixed64, tag = "1")]
    pub term: u64,
    /// A random number that identifies the process.
    #[prost(fixed64, tag = "2")]
    pub process: u64,
}

impl From<SharingState> for PartSharing {
    fn from(state: SharingState) -> Self {
        let SharingState { term, is_open } = state;
        Self { term, is_open }
    }
}

impl From<PartSharing> for SharingState {
    fn from(state: PartSharing) -> Self {
        let PartSharing { term, is_open } = state;
        Self { term, is_open }
    }
}

/// How fast an engine works, as measured by its sidecar.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct EnginePace {
    /// The time to prefill a prompt token, in nanoseconds; zero while unknown.
    #[prost(uint64, tag = "1")]
    pub prefill_token_ns: u64,
    /// The time between two events of a run, in microseconds; zero while unknown.
    ///
    /// An event may carry several tokens.
    #[prost(uint64, tag = "2")]
    pub output_token_us: u64,
}

impl From<WorkPace> for EnginePace {
    fn from(pace: WorkPace) -> Self {
        Self {
            prefill_token_ns: pace.prefill_token_ns.unwrap_or_default(),
            output_token_us: pace.event_us.unwrap_or_default(),
        }
    }
}

impl From<EnginePace> for WorkPace {
    fn from(pace: EnginePace) -> Self {
        let known = |value: u64| (value > 0).then_some(value);
        Self {
            prefill_token_ns: known(pace.prefill_token_ns),
            event_us: known(pace.output_token_us),
        }
    }
}

/// An entry's view of the service, sent to a sidecar.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EntryNotice {
    /// The upstream's index among those of its service, in an order that all entries
    /// share.
    #[prost(uint64, tag = "1")]
    pub position: u64,
    /// The number of upstreams of the service.
    #[prost(uint64, tag = "2")]
    pub servers: u64,
    /// The newest weights of the service's models known to the entry.
    #[prost(message, repeated, tag = "3")]
    pub newest: Vec<ModelVersion>,
    /// The number of upstreams of the service that are down.
    #[prost(uint64, tag = "4")]
    pub down: u64,
    /// The addresses of the prompt stores that the sidecar follows for this entry; other
    /// sidecars follow the rest.
    #[prost(string, repeated, tag = "5")]
    pub prompt_stores: Vec<String>,
    /// The name of the entry's host.
    #[prost(string, tag = "6")]
    pub entry: String,
    /// Whether the entry uses what the sidecar observes of the engine's runs.
    #[prost(bool, tag = "7")]
    pub observes_runs: bool,
    /// The identity under which the entry lists the upstream; entries of earlier releases
    /// leave it empty.
    #[prost(string, tag = "8")]
    pub upstream: String,
}

/// Shared prompt parts that an entry's requests prefill at an upstream.
///
/// The sidecar forwards the notice to the other entries immediately, as the engine's
/// cache events report the same parts only some hundred milliseconds later.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReadingNotice {
    /// Parts that the upstream starts to prefill.
    #[prost(message, repeated, tag = "1")]
    pub begun: Vec<PrefillNotice>,
    /// Parts that have been prefilled, as hashes of salt and part.
    #[prost(fixed64, repeated, tag = "2")]
    pub read: Vec<u64>,
    /// When the upstream that prefills them started, in Unix milliseconds, if known.
    #[prost(fixed64, optional, tag = "3")]
    pub started_at_ms: Option<u64>,
}

/// A prompt part that is being prefilled.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PrefillNotice {
    /// The part, as a hash of salt and part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// The expected time until the prefill completes, in milliseconds.
    ///
    /// Relative, because the receiving host's clock may differ.
    #[prost(uint64, tag = "2")]
    pub done_in_ms: u64,
}

/// A change of the contents of a prompt store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoreChange {
    /// The address of the store.
    #[prost(string, tag = "1")]
    pub store: String,
    /// The added and removed parts.
    #[prost(message, optional, tag = "2")]
    pub change: Option<CacheChange>,
}

/// A change of the prompt parts held by an upstream or a prompt store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CacheChange {
    /// Whether this replaces everything sent before.
    #[prost(bool, tag = "1")]
    pub reset: bool,
    /// Parts that are now held, as hashes of salt and part.
    #[prost(fixed64, repeated, tag = "2")]
    pub added: Vec<u64>,
    /// Parts that are no longer held, as hashes of salt and part.
    #[prost(fixed64, repeated, tag = "3")]
    pub removed: Vec<u64>,
    /// When the holder of the parts started, in Unix milliseconds, if known.
    #[prost(fixed64, optional, tag = "4")]
    pub started_at_ms: Option<u64>,
    /// Parts that the upstream has started to prefill.
    #[prost(message, repeated, tag = "5")]
    pub reading: Vec<PrefillNotice>,
}

impl UpstreamState {
    /// Returns the incarnation that this message describes, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.started_at_ms.map(|ms| Incarnation { started_at: UnixMs(ms) })
    }
}

impl CacheChange {
    /// Returns the incarnation that this message describes, if known.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.started_at_ms.map(|ms| Incarnation { started_at: UnixMs(ms) })
    }
}
