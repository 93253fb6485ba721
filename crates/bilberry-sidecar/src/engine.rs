//! The interface of the sidecar to its engine.

use std::future::Future;

use bilberry_core::CacheEvent;
use bilberry_core::Fingerprint;
use bytes::Bytes;
use thiserror::Error;

/// A completion request for the engine.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// The path of the chat or the text API.
    pub path: String,
    /// The caller's JSON object, without the fields that the sidecar adds.
    pub body: Bytes,
    /// The salt that separates cached blocks by customer and weights.
    pub cache_salt: String,
    /// The priority in the engine's internal queue.
    pub priority: u32,
    /// The text after which the engine continues; empty for a new completion.
    pub resume_text: String,
}

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineInfo {
    /// A random number that the engine chooses at each start.
    pub incarnation: u64,
    /// The loaded weights.
    pub weights: String,
    /// The maximum number of concurrent requests, as last reported.
    pub max_running: usize,
}

/// An item of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOutput {
    /// A piece of text.
    Text(String),
    /// The end of the stream.
    End(StreamEnd),
}

/// The final data of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamEnd {
    /// The finish reason, `stop` or `length`.
    pub reason: String,
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of prompt tokens that were cached.
    pub cached_tokens: u64,
    /// The number of output tokens.
    pub completion_tokens: u64,
}

/// The cached blocks of an engine at one point in its event sequence.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The engine's incarnation.
    pub incarnation: u64,
    /// The sequence number of the first event that is not included.
    pub next_sequence: u64,
    /// The blocks.
    pub blocks: Vec<Fingerprint>,
}

/// An error of an engine request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EngineError {
    /// The engine is unreachable; the request was not sent.
    #[error("the engine can't be reached: {0}; check that it runs")]
    Unreachable(String),
    /// The connection failed; the request may have run.
    #[error("the engine broke off: {0}; the request may have run")]
    Lost(String),
    /// The engine rejected the request.
    #[error("the engine refused the request with status {status}: {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        message: String,
    },
}

/// A language-model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The response to a completion request.
    type Stream: EngineStream;
    /// The cache events.
    type Events: EngineEvents;

    /// Starts a completion; dropping the stream cancels it.
    fn run(
        &self,
        call: EngineCall,
    ) -> impl Future<Output = Result<Self::Stream, EngineError>> + Send;

    /// Queries the state of the engine.
    fn info(&self) -> impl Future<Output = Result<EngineInfo, EngineError>> + Send;

    /// Subscribes to cache events.
    fn events(&self) -> impl Future<Output = Result<Self::Events, EngineError>> + Send;

    /// Queries all cached blocks.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot, EngineError>> + Send;

    /// Orders the engine to load weights, with a fencing token.
    fn load_weights(
        &self,
        weights: &str,
        fencing: u64,
    ) -> impl Future<Output = Result<(), EngineError>> + Send;
}

/// A completion in progress.
pub trait EngineStream: Send + 'static {
    /// Returns the state that the engine reports at the start of the response.
    fn info(&self) -> &EngineInfo;

    /// Waits for the next item.
    fn next(&mut self) -> impl Future<Output = Result<EngineOutput, EngineError>> + Send;
}

/// The cache events of an engine.
pub trait EngineEvents: Send + 'static {
    /// Waits for the next event.
    fn next(&mut self) -> impl Future<Output = Result<CacheEvent, EngineError>> + Send;
}
