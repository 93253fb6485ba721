//! The entry and the state shared by its request handlers.

use std::sync::Arc;
use std::sync::Mutex;

use bilberry_config::Compiled;
use bilberry_config::Customer;
use bilberry_core::Allowance;
use bilberry_core::Clock;
use bilberry_core::CustomerLimits;
use bilberry_core::DataCentre;
use bilberry_core::LimitExceeded;
use bilberry_core::RetryBudget;
use bilberry_core::SystemClock;
use bilberry_core::UnixMs;
use bilberry_core::retry_after_ms;
use bilberry_node::ClientBody;
use bilberry_node::ClientCharge;
use bilberry_node::ClientConnection;
use bilberry_node::Node;
use bilberry_node::PeerHandler;
use bilberry_node::PeerPool;
use bilberry_node::Readiness;
use bilberry_node::Reply;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Role;
use bilberry_wire::StatusResponse;
use hyper::HeaderMap;
use hyper::Request;
use tokio_util::task::TaskTracker;

use crate::ApiError;
use crate::Claims;
use crate::ErrorKind;
use crate::Router;
use crate::UpstreamProber;
use crate::auth::authenticate;

/// The header that sets the deadline of a request, in milliseconds from its arrival.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// The maximum value of the deadline header.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// The base of the retry delay for a customer that exceeds its concurrency limit.
const CONCURRENCY_RETRY_AFTER_MS: u64 = 1_000;

/// The limits that an entry enforces on callers, and its probe timeout.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The maximum time for receiving a request body.
    pub body_timeout_ms: u64,
    /// The maximum time that a write to a stream may block on a slow caller.
    pub write_timeout_ms: u64,
    /// The time to wait for probe answers.
    pub probe_timeout_ms: u64,
}

/// Accepts requests from callers and dispatches them to sidecars.
#[derive(Debug)]
pub struct Entry<P, K> {
    pub(crate) node: Arc<Node>,
    pub(crate) links: PeerPool,
    pub(crate) platform: P,
    pub(crate) router: Router<K>,
    pub(crate) claims: Claims<P>,
    pub(crate) limits: EntryLimits,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) tasks: TaskTracker,
    customers: Mutex<CustomerLimits>,
}

impl<P: Platform, K: UpstreamProber> Entry<P, K> {
    /// Creates an entry located at `place`.
    pub fn new(
        node: Arc<Node>,
        links: PeerPool,
        platform: P,
        place: DataCentre,
        knowledge: K,
        limits: EntryLimits,
    ) -> Arc<Self> {
        let router = Router::new(node.clone(), place, knowledge, limits.probe_timeout_ms);
        Arc::new(Self {
            claims: Claims::new(platform.clone()),
            node,
            links,
            platform,
            router,
            limits,
            retry_budget: Mutex::new(RetryBudget::new()),
            tasks: TaskTracker::new(),
            customers: Mutex::default(),
        })
    }

    /// Waits for background tasks, which can outlive the response to their caller.
    pub async fn finish_tasks(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Authenticates a request and applies the limits of its customer.
    pub(crate) fn admit(
        self: &Arc<Self>,
        request: &Request<ClientBody>,
        id: &str,
    ) -> Result<Admitted<P, K>, ApiError> {
        let headers = request.headers();
        let compiled = self.node.config.compiled();
        if compiled.revision == 0 {
            let message = "this entry has no configuration yet; come back shortly";
            let kind = ErrorKind::Unavailable;
            let error = ApiError::not_run(kind, "not_ready", message);
            return Err(error.retry_after(retry_after_ms(0, rand::random())));
        }
        let customer = authenticate(&compiled, headers)?;
        let now = SystemClock.now();
        let deadline = deadline(headers, &customer, now)?;
        let members = self.node.members.current();
        let roles = members.by_process.values().map(|member| member.role());
        let entries = roles.filter(|role| *role == Role::Entry).count();
        let allowance =
            Allowance::share(customer.rate_per_s, customer.concurrency, entries);
        let admission =
            self.customers.lock().unwrap().try_acquire(&customer.name, allowance, now);
        admission.map_err(limit_error)?;
        Ok(Admitted {
            entry: self.clone(),
            compiled,
            customer,
            deadline,
            id: id.to_string(),
            client: request.body().client().clone(),
            charge: None,
        })
    }
}

/// An admitted request; dropping it releases the customer's concurrency slot.
#[derive(Debug)]
pub(crate) struct Admitted<P: Platform, K: UpstreamProber> {
    entry: Arc<Entry<P, K>>,
    pub(crate) compiled: Arc<Compiled>,
    pub(crate) customer: Arc<Customer>,
    pub(crate) deadline: UnixMs,
    pub(crate) id: String,
    /// The caller's connection, to which what is held for the request is charged.
    pub(crate) client: Arc<ClientConnection>,
    /// The charge for the body and its copies.
    pub(crate) charge: Option<Arc<ClientCharge>>,
}

impl<P: Platform, K: UpstreamProber> Drop for Admitted<P, K> {
    fn drop(&mut self) {
        self.entry.customers.lock().unwrap().release(&self.customer.name);
    }
}

impl<P: Platform, K: UpstreamProber> PeerHandler for Entry<P, K> {
    async fn handle(&self, body: Body, reply: Reply) {
        let answer = match body {
            Body::StatusRequest(_) => Some(Body::StatusResponse(StatusResponse {
                member: Some(self.node.member()),
                revision: self.node.config.revision(),
                in_progress: self.tasks.len() as u64,
                platform_ok: self.platform.is_up(),
                ..StatusResponse::default()
            })),
            body => self.node.handle_common_call(body),
        };
        if let Some(answer) = answer {
            reply.send(answer).await;
        }
    }
}

impl<P: Platform, K: UpstreamProber> Readiness for Entry<P, K> {
    fn not_ready_reason(&self) -> Option<&'static str> {
        match self.node.config.revision() {
            0 => Some("no configuration is in force yet\n"),
            _ => None,
        }
    }

    fn refresh(&self) {
        self.node.metrics.in_progress.set(self.tasks.len() as i64);
    }
}

fn deadline(
    headers: &HeaderMap,
    customer: &Customer,
    now: UnixMs,
) -> Result<UnixMs, ApiError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(now.plus_ms(customer.deadline_ms));
    };
    let deadline_ms = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match deadline_ms {
        Some(ms @ 1..=MAX_DEADLINE_MS) => Ok(now.plus_ms(ms)),
        _ => {
            let message = format!(
                "`{DEADLINE_HEADER}` must be a whole number in 1 to {MAX_DEADLINE_MS}"
            );
            Err(ApiError::not_run(ErrorKind::Invalid, "invalid_deadline", message))
        }
    }
}

fn limit_error(overrun: LimitExceeded) -> ApiError {
    let (code, message, wait_ms) = match overrun {
        LimitExceeded::Rate { wait_ms } => (
            "rate_limited",
            "your request rate is used up; come back after the time in Retry-After",
            wait_ms,
        ),
        LimitExceeded::Concurrency => (
            "too_many_in_progress",
            "too many of your requests are in progress; wait for one to end",
            CONCURRENCY_RETRY_AFTER_MS,
        ),
    };
    ApiError::not_run(ErrorKind::RateLimited, code, message)
        .retry_after(retry_after_ms(wait_ms, rand::random()))
}
