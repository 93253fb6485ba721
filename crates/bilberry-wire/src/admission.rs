//! Admission of requests to an engine, decided by the engine's sidecar for all entries.

/// Asks the sidecar of an engine to admit a request.
///
/// The call number of the frame identifies the request on its connection until a
/// [`AdmissionUpdate`] ends it. The end of the connection ends all its requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AdmissionRequest {
    /// The customer; empty if the route requires none.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The priority; 0 is the highest.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// The time left until the first event would be late, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub target_in_ms: u64,
    /// The longest wait after which the answer is still of use, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub max_wait_ms: u64,
    /// The prompt tokens that the engine has to prefill.
    #[prost(uint64, tag = "5")]
    pub prefill_tokens: u64,
    /// The memory that the request needs, in tokens.
    #[prost(uint64, tag = "6")]
    pub memory_tokens: u64,
    /// The number of requests that the engine can run.
    #[prost(uint64, tag = "7")]
    pub slots: u64,
    /// The key shared by all attempts of the request.
    #[prost(fixed64, tag = "8")]
    pub key: u64,
    /// The target latency of the route.
    #[prost(uint64, tag = "9")]
    pub target_ms: u64,
    /// The shortest target latency of the routes to the engine's service.
    #[prost(uint64, tag = "10")]
    pub shortest_target_ms: u64,
    /// The longest time after which the caller returns if it is told to, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub max_return_ms: u64,
}

/// The decision on an [`AdmissionRequest`]; a queued request gets a second one later.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AdmissionResponse {
    /// The decision.
    #[prost(enumeration = "AdmissionOutcome", tag = "1")]
    pub outcome: i32,
    /// The predicted time until a queued request is admitted, or after which the caller of
    /// a rejected request should return, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
}

/// A decision on an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AdmissionOutcome {
    /// The request can't be served in time and will not be admitted.
    Rejected = 0,
    /// The request may be sent to the engine.
    Admitted = 1,
    /// The request waits for its turn.
    Queued = 2,
    /// The engine serves no requests; another may take the request at once.
    Withdrawn = 3,
}

/// Reports the progress of a request to the sidecar that admitted or queued it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AdmissionUpdate {
    /// The progress.
    #[prost(enumeration = "AdmissionStage", tag = "1")]
    pub stage: i32,
}

/// How far a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AdmissionStage {
    /// The request has ended, or no longer waits.
    Ended = 0,
    /// The engine has prefilled the prompt and started to respond.
    Prefilled = 1,
}

/// The prefill work ahead at an engine, over all entries.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AdmissionLoad {
    /// Prompt tokens of admitted requests that are not prefilled yet.
    #[prost(uint64, tag = "1")]
    pub admitted_tokens: u64,
    /// Prompt tokens of the requests that wait, by priority.
    #[prost(message, repeated, tag = "2")]
    pub waiting: Vec<PriorityLoad>,
}

/// The prompt tokens of the waiting requests of one priority.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct PriorityLoad {
    /// The priority; 0 is the highest.
    #[prost(uint32, tag = "1")]
    pub priority: u32,
    /// The prompt tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}
