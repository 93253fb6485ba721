//! The state of a request while the entry handles it.

use std::sync::Arc;

use bilberry_core::CacheScope;
use bilberry_core::CrashCause;
use bilberry_core::PartCauses;
use bilberry_core::PlacementRequest;
use bilberry_core::PredictedTimes;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use bilberry_node::ClientConnection;
use bilberry_node::RequestBody;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header::HOST;
use xxhash_rust::xxh3::xxh3_64;

use crate::Customer;
use crate::Pool;
use crate::PromptKeys;
use crate::PromptSource;
use crate::RequestMetadata;
use crate::Route;
use crate::Upstream;
use crate::quota_client::ChargedQuota;
use crate::retry_permit::RetryPermit;
use crate::stream_origin::StreamStart;
use crate::successor::UnusedSuccessors;
use crate::trials::Trial;

/// The divisor of the silence that a caller accepts which gives the time that an answer
/// needs to reach it, on an entry without processor time too.
const PATIENCE_MARGIN_DIVISOR: u64 = 8;

/// The state of a request while the entry handles it.
#[derive(Debug, Clone)]
pub struct RequestContext {
    /// The caller's connection, to which what is held for the request is charged.
    pub client: Arc<ClientConnection>,
    /// The decoded headers of the caller.
    pub call: RequestMetadata,
    /// The matching route.
    pub route: Arc<Route>,
    /// The customer, if the route requires an API key.
    pub customer: Option<Arc<Customer>>,
    /// The service chosen by the route's traffic split.
    pub pool: Arc<Pool>,
    /// The scope in which the request shares cached prompt parts.
    pub scope: CacheScope,
    /// The version of the configuration that was used for routing.
    pub config_version: u64,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
    /// The key shared by all attempts of the request; set once the body is read.
    pub key: RequestKey,
    /// The shared parts of the prompt as possible causes of crashes; set with the key.
    pub part_causes: PartCauses,
    /// When the request's head was read.
    pub arrived_at: UnixMs,
    /// The earlier of the caller's and the route's deadline.
    pub deadline: UnixMs,
    /// When the caller last got an event, or else when its request arrived.
    pub progressed_at: UnixMs,
    /// The upstream incarnations that were tried.
    pub tried: Vec<Arc<Upstream>>,
    /// What was charged to the customer's quota.
    pub(crate) quota: Option<ChargedQuota>,
    /// What was charged to the request limit of the chosen upstream, until the request is
    /// sent.
    pub(crate) permit: Option<ChargedQuota>,
    /// The number of sends.
    pub sends: u32,
    /// The time of the last send.
    pub sent_at: UnixMs,
    /// The upstream of the last send, unless the request is known not to have run there.
    pub sent_to: Option<Arc<Upstream>>,
    /// The number of crashes known in that upstream's incarnation at the last send.
    pub earlier_crashes: u64,
    /// The trial that a run of the request is, if its prompt has suspected parts.
    pub(crate) trial: Option<Arc<Trial>>,
    /// Whether the request was suspect at the last send.
    pub was_suspect: bool,
    /// The number of sends that may have run.
    pub runs: u32,
    /// What determines the software version of the stream.
    pub(crate) start: StreamStart,
    /// The upstream that keeps a backup of the request's KV cache.
    pub backup: Option<Arc<Upstream>>,
    /// The retry for this upstream to take the run over, while the run may still be in
    /// progress.
    pub(crate) takeover_retry: Option<Arc<RetryPermit>>,
    /// The retry that the next send uses, until that has arrived.
    pub(crate) retry: Option<Arc<RetryPermit>>,
    /// The version of the weights of the chosen upstream.
    pub weights: Option<u64>,
    /// How long these weights had been outdated when the request was placed.
    pub weights_outdated_ms: Option<u64>,
    /// The times predicted when it was placed, if the pace of its upstreams is known.
    pub predicted: Option<PredictedTimes>,
    /// The keys of the shared prompt parts in its scope, by the version of the weights.
    pub prompt_keys: Vec<(u64, Arc<PromptKeys>)>,
    /// The shared parts that the upstream computes for it, once announced to other
    /// entries.
    pub prefill: Option<PrefillPlan>,
    /// Until when it waits for shared parts that other requests compute, once it has
    /// begun to.
    pub prefix_wait_until: Option<UnixMs>,
    /// How long it waited for capacity and for parts that other requests compute.
    pub waited_ms: u64,
    /// The share of this time spent waiting for parts that other requests compute.
    pub waited_for_parts_ms: u64,
    /// The share of this time spent in the queues of engines' sidecars.
    pub admission_wait_ms: u64,
    /// When the caller should return, if the sidecars of engines rejected the request, in
    /// milliseconds.
    pub admission_retry_ms: Option<u64>,
    /// Where the upstream of the last send fetches parts of the prompt.
    pub source: Option<PromptSource>,
    /// The shared tokens that the upstream of the last send held or could fetch.
    pub supplied_tokens: u64,
    /// The time from the arrival of the request to the first byte of the response.
    pub first_byte_ms: Option<u64>,
    /// Whether the current run has sent the head of its response.
    pub run_has_head: bool,
    /// When the current run sent its first event.
    pub run_first_event_at: Option<UnixMs>,
    /// How many runs the entry gave up while their upstreams were still connected.
    pub left_runs: u32,
    /// The successors of the current run that did not replace it.
    pub(crate) unused_successors: UnusedSuccessors,
    /// Why the last send failed.
    pub detail: String,
}

/// The shared prompt parts that an upstream computes for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillPlan {
    /// The keys of the parts.
    pub parts: Vec<u64>,
    /// The number of tokens that the upstream has to prefill before the response starts.
    pub tokens: u64,
    /// When the request was sent.
    pub since: UnixMs,
}

impl RequestContext {
    /// Returns when the caller of a stream needs an answer if no event comes before it
    /// leaves.
    pub(crate) fn answer_due_at(&self) -> Option<UnixMs> {
        let patience_ms = self.route.patience_ms?;
        let margin_ms = patience_ms / PATIENCE_MARGIN_DIVISOR;
        Some(self.progressed_at.plus_ms(patience_ms - margin_ms))
    }

    /// Records whether the send that uses the retry may have reached its upstream.
    pub(crate) fn set_retry_sent(&self, is_sent: bool) {
        if let Some(retry) = &self.retry {
            retry.set_sent(is_sent);
        }
    }

    /// Reports whether this incarnation of an upstream was already tried.
    pub fn has_tried(&self, upstream: &Arc<Upstream>) -> bool {
        self.tried.iter().any(|tried| Arc::ptr_eq(tried, upstream))
    }

    /// Appends a reason to the failure of the last send.
    pub fn add_detail(&mut self, detail: &str) {
        // A reason that is found again while the request waits is not repeated.
        if self.detail.split("; ").any(|found| found == detail) {
            return;
        }
        if !self.detail.is_empty() {
            self.detail.push_str("; ");
        }
        self.detail.push_str(detail);
    }

    /// Reports whether the first byte came within the route's target latency.
    pub fn met_target(&self) -> bool {
        self.first_byte_ms.is_some_and(|ms| ms <= self.route.target_ms)
    }

    /// Returns the time since the current run sent its first event, if it has sent one.
    pub fn run_streamed_ms(&self, now: UnixMs) -> Option<u64> {
        self.run_first_event_at.map(|at| now.ms_since(at))
    }

    /// Reports whether another run is allowed after `runs` runs.
    pub fn may_run_after(&self, runs: u32) -> bool {
        self.route.kind.is_repeatable() && runs < self.route.max_attempts
    }

    /// Computes the key from the customer, method, host, path, query and body.
    pub fn compute_key(&self) -> RequestKey {
        let customer = self.customer.as_ref().map_or("", |customer| &customer.name);
        let host = self.headers.get(HOST).map_or(&[][..], |host| host.as_bytes());
        let path = self.uri.path_and_query().map_or("", |path| path.as_str());
        let parts =
            [customer.as_bytes(), self.method.as_str().as_bytes(), host, path.as_bytes()];
        RequestKey::from_parts_and_segments(&parts, self.body.segments())
    }

    /// Returns the whole request as a possible cause of crashes.
    pub fn cause(&self) -> CrashCause {
        CrashCause::request(self.key)
    }

    /// Returns the affinity key, which is equal for requests with the same shared prompt.
    pub fn affinity(&self) -> u64 {
        let part = self.call.shared_parts().last().map(|part| part.id);
        // Without a shared prompt any upstream is equally suitable, so the hash of the
        // attempt spreads the requests.
        part.unwrap_or_else(|| xxh3_64(self.call.attempt.as_bytes()))
    }

    /// Returns the resources that the request needs at an upstream.
    pub fn demand(
        &self,
        can_fetch: bool,
        token_us: u64,
        now: UnixMs,
    ) -> PlacementRequest {
        let shared_tokens = self.call.shared_tokens();
        PlacementRequest {
            affinity: self.affinity(),
            shared_tokens,
            own_tokens: self.call.prompt_tokens.saturating_sub(shared_tokens),
            output_tokens: self.call.output_tokens,
            answer_ms: self.call.output_tokens * token_us / 1_000,
            body_bytes: self.body.len() as u64,
            can_fetch,
            waited_ms: now.ms_since(self.arrived_at),
            target_ms: Some(self.route.target_ms),
            gap_ms: self.route.gap_ms,
        }
    }

    /// Computes the causes that the shared parts of the prompt are.
    ///
    /// They depend on no weights, as new weights may crash on a part as well.
    pub fn compute_part_causes(&self) -> PartCauses {
        let ids = self.call.shared_parts().iter().map(|part| part.id);
        PartCauses::new(self.customer_name(), ids)
    }

    /// Returns the causes on which the current run is evidence.
    pub(crate) fn causes_of_run(&self) -> Vec<CrashCause> {
        let mut causes = self.part_causes.of_runs(self.scope.is_private()).to_vec();
        let tried = self.trial.iter().flat_map(|trial| trial.parts());
        for cause in tried {
            if !causes.contains(cause) {
                causes.push(*cause);
            }
        }
        causes
    }

    /// Returns the customer's name, if there is a customer.
    pub(crate) fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|customer| customer.name.as_str())
    }

    /// Returns the model, or an empty string if the request names none.
    pub fn model(&self) -> &str {
        self.call.model.as_deref().unwrap_or_default()
    }

    /// Sets the scope in which the request shares cached prompt parts.
    ///
    /// A customer that was isolated when the request arrived keeps its own scope.
    pub(crate) fn set_scope(&mut self, scope: CacheScope) {
        if scope != self.scope && !self.scope.is_private() {
            self.scope = scope;
            self.prompt_keys.clear();
        }
    }

    /// Returns the cache salt of the request's prompt in a scope.
    ///
    /// It includes the version of the weights, as a prompt store also keeps what older
    /// weights computed.
    fn salt_in(&self, scope: &CacheScope, weights: u64) -> String {
        let model = self.model();
        format!("{scope}/{model}/{weights}")
    }

    /// Returns the keys of the shared prompt parts, computed once per scope and version of
    /// the weights.
    pub fn keys(&mut self, weights: u64) -> Arc<PromptKeys> {
        if let Some((_, keys)) = self.prompt_keys.iter().find(|(at, _)| *at == weights) {
            return keys.clone();
        }
        let keys = Arc::new(self.keys_in(&self.scope, weights));
        self.prompt_keys.push((weights, keys.clone()));
        keys
    }

    /// Computes the keys of the shared prompt parts in a scope.
    pub(crate) fn keys_in(&self, scope: &CacheScope, weights: u64) -> PromptKeys {
        PromptKeys::new(self.salt_in(scope, weights), self.call.shared_parts())
    }

    /// Returns the scheduling priority that is sent to upstreams, 0 being the first.
    pub fn priority(&self) -> u8 {
        let own = self.customer.as_ref().and_then(|customer| customer.priority);
        own.unwrap_or(self.route.priority).min(9)
    }
}
