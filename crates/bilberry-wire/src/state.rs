//! Exchange of configuration, members, events and status between processes.

/// The role of a process.
#[derive(
    Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration,
)]
#[repr(i32)]
pub enum Role {
    /// Accepts callers' requests.
    Entry = 0,
    /// Runs next to an upstream.
    Sidecar = 1,
}

/// Requests the configuration and the members known to a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateRequest {
    /// The revision in force at the requester, whose pieces need not be sent.
    #[prost(uint64, tag = "1")]
    pub have_revision: u64,
    /// A hash of the members known to the requester.
    #[prost(fixed64, tag = "2")]
    pub members_digest: u64,
}

/// The configuration and the members known to a peer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateResponse {
    /// The value of the head object; empty if the requester has this revision.
    #[prost(string, tag = "1")]
    pub head: String,
    /// The members; empty if the requester's digest matches.
    #[prost(message, repeated, tag = "3")]
    pub members: Vec<Member>,
}

/// Requests pieces of the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PiecesRequest {
    /// The hashes of the pieces.
    #[prost(string, repeated, tag = "1")]
    pub hashes: Vec<String>,
}

/// As many of the requested pieces as fit into a frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PiecesResponse {
    /// The pieces.
    #[prost(message, repeated, tag = "1")]
    pub pieces: Vec<Piece>,
}

/// One file of the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Piece {
    /// The hash of the text.
    #[prost(string, tag = "1")]
    pub hash: String,
    /// The text.
    #[prost(string, tag = "2")]
    pub text: String,
}

/// A process of the system.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Member {
    /// The name of the process.
    #[prost(string, tag = "1")]
    pub process: String,
    /// The host that it runs on.
    #[prost(string, tag = "2")]
    pub host: String,
    /// The role.
    #[prost(enumeration = "Role", tag = "3")]
    pub role: i32,
    /// The upstream that it runs next to; empty for an entry.
    #[prost(string, tag = "4")]
    pub upstream: String,
    /// The address at which peers connect to it.
    #[prost(string, tag = "5")]
    pub address: String,
    /// A random number chosen at its start.
    #[prost(fixed64, tag = "6")]
    pub incarnation: u64,
    /// The version of its registration; a higher version replaces a lower one.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// Whether it has stopped accepting new work.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
}

/// Requests recorded events.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventsRequest {
    /// Return only events of this request; empty for all requests.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The maximum number of events; the most recent are returned.
    #[prost(uint32, tag = "2")]
    pub limit: u32,
}

/// Recorded events.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EventsResponse {
    /// The events, earliest first.
    #[prost(message, repeated, tag = "1")]
    pub events: Vec<Event>,
}

/// An event of the timeline.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Event {
    /// The hybrid logical clock timestamp.
    #[prost(fixed64, tag = "1")]
    pub hlc: u64,
    /// The process.
    #[prost(string, tag = "2")]
    pub process: String,
    /// The request; empty for an event of the process itself.
    #[prost(string, tag = "3")]
    pub request: String,
    /// A stable, machine-readable name for what happened.
    #[prost(string, tag = "4")]
    pub what: String,
    /// Human-readable details.
    #[prost(string, tag = "5")]
    pub detail: String,
}

/// The state of a process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusResponse {
    /// The process.
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    /// The configuration revision in force.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The number of requests in progress.
    #[prost(uint64, tag = "3")]
    pub in_progress: u64,
    /// The number of queued requests.
    #[prost(uint64, tag = "4")]
    pub queued: u64,
    /// The number of blocks in the sidecar's index.
    #[prost(uint64, tag = "5")]
    pub cached_blocks: u64,
    /// The weights that the engine runs.
    #[prost(string, tag = "6")]
    pub weights: String,
    /// The fencing token of the lease; zero without a lease.
    #[prost(uint64, tag = "7")]
    pub fencing: u64,
    /// Whether the platform responds.
    #[prost(bool, tag = "8")]
    pub platform_ok: bool,
}

/// Requests that a sidecar stop accepting new work.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DrainRequest {
    /// The upstream to drain.
    #[prost(string, tag = "1")]
    pub upstream: String,
}

/// Answers a drain.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DrainResponse {
    /// The number of requests still in progress.
    #[prost(uint64, tag = "1")]
    pub in_progress: u64,
}
