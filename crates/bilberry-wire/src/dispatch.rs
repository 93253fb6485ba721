//! Dispatching a request to a sidecar, and the responses to it.

use bytes::Bytes;

/// The type of a dispatched request.
#[derive(
    Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration,
)]
#[repr(i32)]
pub enum RequestKind {
    /// A completion that an engine streams.
    Completion = 0,
    /// A call to a plain service.
    Plain = 1,
}

/// Dispatches a request to a sidecar.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Dispatch {
    /// The request ID that the caller and the timeline use.
    #[prost(string, tag = "1")]
    pub request: String,
    /// A number unique to this attempt.
    #[prost(fixed64, tag = "2")]
    pub attempt_token: u64,
    /// The number of the attempt within its request.
    #[prost(uint32, tag = "3")]
    pub attempt: u32,
    /// The type of the request.
    #[prost(enumeration = "RequestKind", tag = "4")]
    pub kind: i32,
    /// The customer.
    #[prost(string, tag = "5")]
    pub customer: String,
    /// The scope whose members may share cached state.
    #[prost(string, tag = "6")]
    pub cache_scope: String,
    /// The customer's weight.
    #[prost(uint32, tag = "7")]
    pub weight: u32,
    /// The customer's priority.
    #[prost(uint32, tag = "8")]
    pub priority: u32,
    /// The caller's deadline, in Unix milliseconds.
    #[prost(uint64, tag = "9")]
    pub deadline_unix_ms: u64,
    /// The model.
    #[prost(string, tag = "10")]
    pub model: String,
    /// The adapter; empty for the base model.
    #[prost(string, tag = "11")]
    pub adapter: String,
    /// The weights that a resumed stream started with; empty for a new stream.
    #[prost(string, tag = "12")]
    pub weights: String,
    /// The HTTP method of a plain call.
    #[prost(string, tag = "13")]
    pub method: String,
    /// The path and query.
    #[prost(string, tag = "14")]
    pub path: String,
    /// The content type of a plain call.
    #[prost(string, tag = "15")]
    pub content_type: String,
    /// The unmodified request body.
    #[prost(bytes = "bytes", tag = "16")]
    pub body: Bytes,
    /// The text that earlier attempts have already delivered.
    #[prost(string, tag = "17")]
    pub resume_text: String,
    /// The number of blocks in the prompt.
    #[prost(uint32, tag = "18")]
    pub blocks: u32,
    /// Fingerprints of the prompt's block chain at the sampled depths.
    #[prost(fixed32, repeated, packed = "true", tag = "19")]
    pub sample: Vec<u32>,
    /// The maximum number of tokens to generate.
    #[prost(uint32, tag = "20")]
    pub max_tokens: u32,
    /// The key by which the service can detect a repeated call.
    #[prost(string, tag = "21")]
    pub idempotency_key: String,
    /// Whether the sender handles reports that the upstream is silent. Otherwise a silent
    /// upstream ends the call.
    #[prost(bool, tag = "22")]
    pub handles_silence: bool,
}

/// One chunk of a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// The attempt within the request.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// The zero-based index of the chunk within the attempt.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The text.
    #[prost(string, tag = "3")]
    pub text: String,
    /// The weights that generated the text; set on the first chunk only.
    #[prost(string, tag = "4")]
    pub weights: String,
}

/// The end of a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Finished {
    /// The attempt within the request.
    #[prost(uint32, tag = "1")]
    pub attempt: u32,
    /// The number of chunks in the attempt.
    #[prost(uint64, tag = "2")]
    pub chunks: u64,
    /// Why the engine stopped generating: `stop` or `length`.
    #[prost(string, tag = "3")]
    pub reason: String,
    /// The number of prompt tokens.
    #[prost(uint64, tag = "4")]
    pub prompt_tokens: u64,
    /// The number of prompt tokens that were cached.
    #[prost(uint64, tag = "5")]
    pub cached_tokens: u64,
    /// The number of generated tokens.
    #[prost(uint64, tag = "6")]
    pub completion_tokens: u64,
}

/// The response of a plain service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PlainAnswer {
    /// The HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The content type.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// The body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// Rejects a request, or the rest of a stream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// A stable, machine-readable code for the reason.
    #[prost(string, tag = "1")]
    pub code: String,
    /// A human-readable reason and remedy.
    #[prost(string, tag = "2")]
    pub message: String,
    /// Whether the request may have been sent to the upstream.
    #[prost(bool, tag = "3")]
    pub may_have_run: bool,
    /// The delay after which to retry, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
    /// The status code with which the upstream itself refused the request; zero if the
    /// router refused it.
    #[prost(uint32, tag = "5")]
    pub upstream_status: u32,
}
