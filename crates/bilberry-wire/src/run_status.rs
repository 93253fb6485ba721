//! Queries about the progress of a run, from entries to the engine's sidecar.

/// Asks a sidecar whether its engine still works on a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunQuery {
    /// The attempt that was sent to the engine.
    #[prost(string, tag = "1")]
    pub attempt: String,
}

/// The reply to a [`RunQuery`].
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RunReply {
    /// How long ago the run made progress, in milliseconds, if the engine lists it.
    #[prost(uint64, optional, tag = "1")]
    pub run_idle_ms: Option<u64>,
    /// How long ago any run of the engine made progress, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub engine_idle_ms: u64,
    /// The number of requests queued at the engine.
    #[prost(uint64, tag = "3")]
    pub queued: u64,
    /// Whether the sidecar follows the runs of its engine.
    #[prost(bool, tag = "4")]
    pub is_known: bool,
}
