//! Probing an upstream's cache and load.

/// Whether an upstream accepts new work.
#[derive(
    Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration,
)]
#[repr(i32)]
pub enum Readiness {
    /// It accepts new work.
    Ready = 0,
    /// It is shutting down and accepts no new work.
    Leaving = 1,
    /// Its engine or service does not respond, or fails.
    Down = 2,
}

/// Queries how much of a prompt an upstream has cached.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Probe {
    /// The customer, whose own queue determines the wait.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// The customer's priority.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// The number of blocks in the prompt.
    #[prost(uint32, tag = "4")]
    pub blocks: u32,
    /// Fingerprints of the prompt's block chain at the sampled depths.
    #[prost(fixed32, repeated, packed = "true", tag = "5")]
    pub sample: Vec<u32>,
}

/// Answers a probe.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProbeAnswer {
    /// The number of blocks of the chain that the engine has cached.
    #[prost(uint32, tag = "1")]
    pub held_blocks: u32,
    /// The expected wait before the prefill of a request starts.
    #[prost(uint32, tag = "2")]
    pub wait_ms: u32,
    /// The prefill time per prompt token.
    #[prost(uint32, tag = "3")]
    pub prefill_ns_per_token: u32,
    /// Whether the upstream accepts new work.
    #[prost(enumeration = "Readiness", tag = "4")]
    pub readiness: i32,
    /// The weights that the engine runs.
    #[prost(string, tag = "5")]
    pub weights: String,
    /// The engine's incarnation.
    #[prost(fixed32, tag = "6")]
    pub incarnation: u32,
}
