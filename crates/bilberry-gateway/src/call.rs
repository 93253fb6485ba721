//! A caller's request in the project's own terms, and the port that decodes it.

use std::net::SocketAddr;

use bilberry_core::Name;
use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::StatusCode;
use thiserror::Error;

/// What a caller's headers say of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Call {
    /// The caller's name for this attempt.
    pub attempt: Name,
    /// How long the caller waits, from the moment its request arrived.
    pub patience_ms: Option<u64>,
    /// The key that names the customer.
    pub key: Option<Name>,
    /// The model.
    pub model: Option<Name>,
    /// The tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// The most tokens to generate.
    pub output_tokens: u64,
    /// The prompt's parts in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The part's identity.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

impl Call {
    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let shared = self.parts.len().saturating_sub(1);
        &self.parts[..shared]
    }

    /// Returns the memory that the request needs when it runs.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns the tokens that other requests may share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

/// Why a request can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{header} is not valid: {reason}")]
pub struct BadCall {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it, and what would be right.
    pub reason: &'static str,
}

/// What the router tells an upstream about a request.
#[derive(Debug, Clone, Default)]
pub struct Dispatch {
    /// The upstream that the request is meant for; another one must refuse it.
    pub upstream: Name,
    /// How long the caller still waits.
    pub left_ms: u64,
    /// The customer.
    pub customer: Option<Name>,
    /// What separates cached prompts that must not be shared.
    pub salt: Option<String>,
    /// Where the upstream may fetch cached parts that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Where it is to keep the parts that it reads.
    pub save_to: Option<SocketAddr>,
    /// Its urgency, 0 first and 9 last.
    pub urgency: Option<u8>,
    /// The version of the weights that it must run on.
    pub weights: Option<u64>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Where the request's memory is copied to as it grows.
    pub backup_to: Option<SocketAddr>,
    /// Where a copy of the request's memory stands, and under which name.
    pub resume_from: Option<MemoryCopy>,
}

/// A copy of a request's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryCopy {
    /// The upstream that named it.
    pub named_by: SocketAddr,
    /// Its name there; that of the attempt where it grew as the request ran.
    pub name: Name,
}

/// A run that is to be stopped, so that another upstream can go on with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopCall {
    /// The upstream that runs it.
    pub upstream: SocketAddr,
    /// The attempt.
    pub attempt: Name,
    /// The upstream that is to go on.
    pub next: SocketAddr,
}

/// What an upstream says of a run that it is to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StopReply {
    /// It has stopped, and the next upstream holds its memory under this name.
    Moved(Name),
    /// It has stopped; its memory could not be handed over.
    Stopped,
    /// There is no such run.
    NoSuchRun,
    /// It does not say.
    Unclear,
}

/// What an upstream's answer is worth.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream answered this request.
    Answered,
    /// It was full or too late; the request did not run there.
    Busy,
    /// It has other weights than the request was meant for.
    OtherWeights,
    /// Another upstream has the address; the one that was meant is gone.
    Replaced,
    /// The answer belongs to another request.
    Crossed,
    /// A success that bears no signature of its server.
    Unsigned,
}

/// How loaded an upstream says it is.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests that it runs at once.
    pub slots: u64,
}

/// What an upstream says of itself in an answer, whatever it answers.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct ServerStatus {
    /// How loaded it is, if it says so.
    pub load: Option<ServerLoad>,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// For how long it asks this entry to send nothing, if it turned a request away.
    pub retry_after_ms: Option<u64>,
}

/// Translates between a platform's headers and the router's terms.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a caller's headers.
    fn decode(&self, headers: &HeaderMap) -> Result<Call, BadCall>;

    /// Returns the headers of a request to an upstream.
    fn request_headers(&self, inbound: &HeaderMap, dispatch: &Dispatch) -> HeaderMap;

    /// Returns the headers of an upstream's answer as the caller gets them.
    fn answer_headers(&self, outbound: &HeaderMap) -> HeaderMap;

    /// Judges an upstream's answer to the attempt.
    fn judge(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: &str,
        upstream: &str,
    ) -> Verdict;

    /// Returns the call that has an upstream stop a run.
    fn stop_call(&self, stop: &StopCall) -> Request<Full<Bytes>>;

    /// Reads the answer to it.
    fn stop_reply(&self, status: StatusCode, body: &[u8]) -> StopReply;

    /// Reads what an upstream says of itself.
    fn server_status(&self, status: StatusCode, headers: &HeaderMap) -> ServerStatus;
}
