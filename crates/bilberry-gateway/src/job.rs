//! One request on its way through the entry.

use std::sync::Arc;

use bilberry_core::Demand;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header::HOST;
use xxhash_rust::xxh3::xxh3_64;

use crate::Call;
use crate::Customer;
use crate::Pool;
use crate::PromptKeys;
use crate::Route;
use crate::Upstream;

/// What separates the cached prompts of customers that share theirs.
const SHARED_WALL: &str = "shared";

/// One request on its way through the entry.
#[derive(Debug)]
pub struct Job {
    /// What the caller's headers say.
    pub call: Call,
    /// The route.
    pub route: Arc<Route>,
    /// The customer, where requests need a key.
    pub customer: Option<Arc<Customer>>,
    /// The service that the route's split chose.
    pub pool: Arc<Pool>,
    /// The version of the configuration that decided.
    pub config_version: u64,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What each attempt of the request has in common, once the body is read.
    pub key: RequestKey,
    /// When the request's head was read.
    pub arrived_at: UnixMs,
    /// When the caller's patience, or the route's, ends.
    pub deadline: UnixMs,
    /// The upstreams that it was offered to; each is one incarnation.
    pub tried: Vec<Arc<Upstream>>,
    /// How often it was sent.
    pub sends: u32,
    /// When it was last sent.
    pub sent_at: UnixMs,
    /// The upstream that it was last sent to and may run at.
    pub sent_to: Option<Arc<Upstream>>,
    /// How many crashes in that upstream's incarnation were known when it was sent.
    pub earlier_crashes: u64,
    /// How many of these sends may have run.
    pub runs: u32,
    /// The upstream that keeps a copy of its memory.
    pub backup: Option<Arc<Upstream>>,
    /// The weights that it was sent to.
    pub weights: Option<u64>,
    /// For how long these had lacked newer ones when it was placed.
    pub lacking_ms: Option<u64>,
    /// The keys of its shared parts, by the weights that read them.
    pub prompt_keys: Vec<(u64, Arc<PromptKeys>)>,
    /// The shared parts that it has read where it was sent, once that was told.
    pub reads: Option<Reads>,
    /// Until when it waits for shared parts that others read, once it has begun to.
    pub waits_for_parts_until: Option<UnixMs>,
    /// How long it waited for room, and for parts that others read.
    pub waited_ms: u64,
    /// How long of this it waited for parts that others read.
    pub waited_for_parts_ms: u64,
    /// The shared tokens that its upstream had or could fetch when it was last sent.
    pub supplied_tokens: u64,
    /// When the first byte of its answer came, after its arrival.
    pub first_byte_ms: Option<u64>,
    /// Why the last send failed.
    pub detail: String,
}

/// Shared parts that a request has an upstream read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reads {
    /// Their keys.
    pub parts: Vec<u64>,
    /// All tokens that the upstream has to read before the answer begins.
    pub tokens: u64,
    /// When the request was sent.
    pub since: UnixMs,
}

impl Job {
    /// Reports whether it was offered to this incarnation of an upstream.
    pub fn has_tried(&self, upstream: &Arc<Upstream>) -> bool {
        self.tried.iter().any(|tried| Arc::ptr_eq(tried, upstream))
    }

    /// Adds why going on failed to why the last send did.
    pub fn add_detail(&mut self, detail: &str) {
        if !self.detail.is_empty() {
            self.detail.push_str("; ");
        }
        self.detail.push_str(detail);
    }

    /// Reports whether its answer began within the route's target.
    pub fn is_in_time(&self) -> bool {
        self.first_byte_ms.is_some_and(|ms| ms <= self.route.target_ms)
    }

    /// Reports whether another run is allowed after this many.
    pub fn may_run_after(&self, runs: u32) -> bool {
        self.route.kind.is_repeatable() && runs < self.route.max_attempts
    }

    /// Returns the key of its customer, method, host, path, query and body.
    pub fn compute_key(&self) -> RequestKey {
        let customer = self.customer.as_ref().map_or("", |customer| &customer.name);
        let host = self.headers.get(HOST).map_or(&[][..], |host| host.as_bytes());
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        RequestKey::of(&[
            customer.as_bytes(),
            self.method.as_str().as_bytes(),
            host,
            path.as_bytes(),
            &self.body,
        ])
    }

    /// Returns what requests with the same shared prompt have in common.
    pub fn affinity(&self) -> u64 {
        let part = self.call.shared_parts().last().map(|part| part.id);
        // Without a shared prompt any upstream will do; the attempt spreads them.
        part.unwrap_or_else(|| xxh3_64(self.call.attempt.as_bytes()))
    }

    /// Returns what the request asks of an upstream.
    pub fn demand(&self, can_fetch: bool, token_us: u64) -> Demand {
        let shared_tokens = self.call.shared_tokens();
        Demand {
            affinity: self.affinity(),
            shared_tokens,
            own_tokens: self.call.prompt_tokens.saturating_sub(shared_tokens),
            output_tokens: self.call.output_tokens,
            answer_ms: self.call.output_tokens * token_us / 1_000,
            body_bytes: self.body.len() as u64,
            can_fetch,
        }
    }

    /// Returns what its cached prompt is kept apart by.
    ///
    /// The version is part of it, as a store keeps what older weights made. The
    /// wall keeps a customer that shares nothing apart from all others.
    pub fn salt(&self, weights: u64) -> String {
        let model = self.call.model.as_deref().unwrap_or_default();
        match self.customer.as_ref().filter(|customer| customer.isolated) {
            Some(customer) => format!("only-{}/{model}/{weights}", customer.name),
            None => format!("{SHARED_WALL}/{model}/{weights}"),
        }
    }

    /// Returns the keys of its shared parts, computed once for each salt.
    pub fn keys(&mut self, weights: u64) -> Arc<PromptKeys> {
        if let Some((_, keys)) = self.prompt_keys.iter().find(|(at, _)| *at == weights) {
            return keys.clone();
        }
        let keys = PromptKeys::new(self.salt(weights), self.call.shared_parts());
        let keys = Arc::new(keys);
        self.prompt_keys.push((weights, keys.clone()));
        keys
    }

    /// Returns the urgency that upstreams are told, 0 first.
    pub fn urgency(&self) -> u8 {
        let own = self.customer.as_ref().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority).min(9)
    }
}
