//! The platform-independent form of a caller's request, and the trait that decodes it.

use std::net::SocketAddr;

use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::ReportedLimit;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use thiserror::Error;

/// The routing metadata in a caller's headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's identifier of this attempt.
    pub attempt: Name,
    /// The caller's timeout, counted from the arrival of its request.
    pub timeout_ms: Option<u64>,
    /// The API key that identifies the customer.
    pub key: Option<Name>,
    /// The requested model.
    pub model: Option<Name>,
    /// The length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate.
    pub output_tokens: u64,
    /// The prompt's parts in order; the last one is specific to this request.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller received.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event of the stream that the caller takes up.
    pub resumes: Option<Name>,
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identity.
    pub id: u64,
    /// The part's length in tokens.
    pub tokens: u64,
}

impl RequestMetadata {
    /// Returns the prompt parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Reports whether the caller takes up a stream of which it has received events.
    pub fn is_takeup(&self) -> bool {
        self.last_event.is_some() || self.resumes.is_some()
    }

    /// Returns the KV cache capacity that the request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns the length of the prompt parts that other requests may share, in tokens.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

/// A request header that is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{header} is not valid: {reason}")]
pub struct InvalidHeader {
    /// The header.
    pub header: &'static str,
    /// What is wrong with the value and what is expected.
    pub reason: &'static str,
}

/// The routing metadata that the gateway sends to an upstream with a request.
#[derive(Debug, Clone, Default)]
pub struct Dispatch {
    /// The upstream that the request is intended for; any other one must refuse it.
    pub upstream: Name,
    /// The time left until the caller's deadline.
    pub left_ms: u64,
    /// The customer.
    pub customer: Option<Name>,
    /// The cache salt, which separates cached prompts that must not be shared.
    pub salt: Option<String>,
    /// The address from which the upstream may fetch cached parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// The address of the prompt store to which it saves the parts that it computes.
    pub save_to: Option<SocketAddr>,
    /// The scheduling priority, from 0 (first) to 9 (last).
    pub priority: Option<u8>,
    /// The version of the weights that the request must run on.
    pub weights: Option<u64>,
    /// The last event that the caller received.
    pub last_event: Option<u64>,
    /// The address to which the request's KV cache is copied as it grows.
    pub backup_to: Option<SocketAddr>,
    /// The copy of the request's KV cache to resume from.
    pub resume_from: Option<KvCacheCopy>,
}

/// A reference to a copy of a request's KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheCopy {
    /// The upstream that assigned the name.
    pub named_by: SocketAddr,
    /// The copy's name at that upstream; the attempt's name if it was copied during the
    /// run.
    pub name: Name,
}

/// A call that stops a run, so that another upstream can take it over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCall {
    /// The upstream that runs the attempt.
    pub upstream: SocketAddr,
    /// The attempt to stop.
    pub attempt: Name,
    /// The upstream that takes over the run.
    pub successor: SocketAddr,
}

/// An upstream's reply to a call that stops a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReply {
    /// The run has stopped, and the next upstream holds its KV cache under this name.
    Transferred(Name),
    /// The run has stopped and its KV cache was not transferred; its engine keeps it under
    /// this name.
    Stopped(Name),
    /// There is no such run.
    NoSuchRun,
    /// The reply does not contain the state of the run.
    Unknown,
}

/// A call that asks which start of a server answers at an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentityCall {
    /// The upstream that is expected there.
    pub upstream: Name,
    /// The address.
    pub address: SocketAddr,
    /// The path of the service's health checks.
    pub health_path: Name,
}

/// The start of a server that answers at an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerIdentity {
    /// The id of the server.
    pub upstream: Name,
    /// When it started, if it tells.
    pub incarnation: Option<Incarnation>,
}

/// The classification of an upstream's response.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum ResponseClass {
    /// The upstream responded to this request.
    Valid,
    /// The upstream was full or the request arrived too late; the request did not run.
    Busy,
    /// The upstream has other weights than the request requires.
    OtherWeights,
    /// Another upstream now has the address; the intended one is gone.
    Replaced,
    /// The response belongs to another request.
    Mismatched,
    /// A success response without the server's signature.
    Unsigned,
}

/// The load that an upstream reports.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct ServerLoad {
    /// The number of running requests.
    pub running: u64,
    /// The number of queued requests.
    pub waiting: u64,
    /// The number of requests that can run concurrently.
    pub slots: u64,
    /// How long work takes on its host at present, in percent of the usual time, if it
    /// shares the host with others and reports that.
    pub host_percent: Option<u64>,
}

/// The status that an upstream reports with any response.
#[derive(Debug, Copy, Clone, Default, PartialEq)]
pub struct ServerStatus {
    /// The upstream's load, if reported.
    pub load: Option<ServerLoad>,
    /// Whether the upstream is shutting down.
    pub is_shutting_down: bool,
    /// How long this entry should send nothing, if the upstream rejected a request.
    pub retry_after_ms: Option<u64>,
    /// How many requests per second the upstream accepts from all entries together.
    pub limit: ReportedLimit,
}

/// Translates between a platform's headers and the gateway's types.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes a caller's headers.
    fn decode(&self, headers: &HeaderMap) -> Result<RequestMetadata, InvalidHeader>;

    /// Returns the headers of a request to an upstream.
    fn request_headers(&self, inbound: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Returns the headers of the caller's response for those of an upstream's response.
    fn response_headers(&self, outbound: &HeaderMap) -> HeaderMap;

    /// Classifies an upstream's response to the attempt.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: &str,
        upstream: &str,
    ) -> ResponseClass;

    /// Builds the request to an upstream to stop a run.
    fn stop_call(&self, stop: &StopCall) -> Request<Full<Bytes>>;

    /// Decodes the response to a stop request.
    fn stop_reply(&self, status: StatusCode, body: &[u8]) -> StopReply;

    /// Builds the request to an upstream to tell when it started.
    fn start_call(&self, upstream: SocketAddr) -> Request<Full<Bytes>>;

    /// Decodes the response to such a request; `None` if it does not contain the start.
    fn start_reply(&self, status: StatusCode, body: &[u8]) -> Option<Incarnation>;

    /// Builds the request that asks which start of a server answers at an address.
    fn identity_call(&self, call: &IdentityCall) -> Request<Full<Bytes>>;

    /// Decodes the response to such a request; `None` if it names no server.
    fn identity_reply(&self, headers: &HeaderMap, body: &[u8]) -> Option<ServerIdentity>;

    /// Decodes the status that an upstream reports with a response.
    fn server_status(&self, status: StatusCode, headers: &HeaderMap) -> ServerStatus;
}
