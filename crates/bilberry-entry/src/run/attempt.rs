//! A single attempt of a completion at one upstream.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::Scope;
use bilberry_core::SystemClock;
use bilberry_node::Call;
use bilberry_platform::Platform;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;
use bilberry_wire::RequestKind;

use crate::ApiError;
use crate::Choice;
use crate::Entry;
use crate::RouteRequest;
use crate::UpstreamProber;
use crate::run::Run;

/// The maximum number of waits per request for lost upstreams to become available.
const MAX_WAITS: u32 = 4;

/// The delay before lost upstreams are tried again.
const LOST_UPSTREAM_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The current attempt.
pub(super) struct Attempt<P: Platform, K: UpstreamProber> {
    pub(super) entry: Arc<Entry<P, K>>,
    pub(super) upstream: Name,
    /// Its number within the request.
    pub(super) number: u32,
    pub(super) call: Call,
}

impl<P: Platform, K: UpstreamProber> Drop for Attempt<P, K> {
    fn drop(&mut self) {
        self.entry.router.record_end(&self.upstream);
    }
}

impl<P: Platform, K: UpstreamProber> Run<P, K> {
    /// Routes the request and dispatches it to a sidecar, whose answer is delivered from now
    /// on.
    pub(super) async fn start_attempt(&mut self) -> Result<Attempt<P, K>, ApiError> {
        loop {
            let choice = self.choose().await?;
            if let Some(attempt) = self.send(choice).await {
                self.cursor.switch_to(attempt.number);
                self.delivered_in_attempt = 0;
                return Ok(attempt);
            }
        }
    }

    /// Dispatches the request to another sidecar while the current attempt is silent.
    pub(super) async fn try_start_successor(&mut self) -> Option<Attempt<P, K>> {
        let request = self.route_request();
        let choice = self.entry.router.route(&self.params.compiled, &request).await?;
        self.send(choice).await
    }

    /// Dispatches the request to a sidecar; `None` if nothing was sent.
    async fn send(&mut self, choice: Choice) -> Option<Attempt<P, K>> {
        let dispatch = self.dispatch(&choice);
        let number = dispatch.attempt;
        let detail = format!("{} attempt {number}", choice.upstream);
        self.entry.node.events.record(&self.params.id, "sent", detail);
        let sent = self.entry.links.call(choice.address, Body::Dispatch(dispatch));
        let Choice { upstream, .. } = choice;
        match sent.await {
            Ok(call) => {
                self.attempts += 1;
                self.entry.node.metrics.upstream_calls.inc();
                self.entry.router.record_start(&upstream);
                let entry = self.entry.clone();
                Some(Attempt { entry, upstream, number, call })
            }
            // Nothing was sent, so this does not count as an attempt.
            Err(_) => {
                self.any_lost = true;
                self.entry.router.record_failure(&upstream);
                self.tried.push(upstream);
                None
            }
        }
    }

    fn route_request(&self) -> RouteRequest {
        let scope = Scope {
            customer: self.params.customer.name.clone(),
            model: self.params.model.name.clone(),
            adapter: self.params.model.adapter.clone(),
            weights: self.params.model.weights.clone(),
        };
        RouteRequest {
            request: self.params.id.clone(),
            pool: self.params.model.pool.clone(),
            customer: self.params.customer.name.clone(),
            priority: self.params.customer.priority,
            scope,
            prompt: self.params.request.prompt.clone(),
            required_weights: self.resumed_weights(),
            tried: self.tried.clone(),
        }
    }

    async fn choose(&mut self) -> Result<Choice, ApiError> {
        let request = self.route_request();
        let first = self.entry.router.route(&self.params.compiled, &request).await;
        if first.is_some() || !self.any_lost || self.waits >= MAX_WAITS {
            return first.ok_or_else(|| self.no_upstream_error());
        }
        // All upstreams were tried and at least one was lost, possibly because its
        // link was interrupted for a moment. Without another try, a stream in a small
        // pool would end although the same upstream could continue it.
        self.waits += 1;
        let left = self.params.deadline.remaining(SystemClock.now());
        tokio::time::sleep(LOST_UPSTREAM_RETRY_DELAY.min(left)).await;
        self.tried.clear();
        let request = RouteRequest { tried: Vec::new(), ..request };
        let again = self.entry.router.route(&self.params.compiled, &request).await;
        again.ok_or_else(|| self.no_upstream_error())
    }

    /// Returns the weights that must continue an answer if part of it was delivered.
    fn resumed_weights(&self) -> Option<Name> {
        self.weights.clone().filter(|_| !self.cursor.text().is_empty())
    }

    fn dispatch(&mut self, choice: &Choice) -> Dispatch {
        let attempt = self.cursor.number_attempt();
        Dispatch {
            request: self.params.id.clone(),
            attempt_token: rand::random(),
            attempt,
            kind: RequestKind::Completion.into(),
            customer: self.params.customer.name.to_string(),
            cache_scope: self.params.customer.name.to_string(),
            weight: self.params.customer.weight,
            priority: u32::from(self.params.customer.priority),
            deadline_unix_ms: self.params.deadline.0,
            model: self.params.model.name.to_string(),
            adapter: self.params.model.adapter.to_string(),
            weights: self.resumed_weights().unwrap_or_default().to_string(),
            path: self.params.request.style.path().to_string(),
            body: self.params.request.body.clone(),
            resume_text: self.cursor.text().to_string(),
            blocks: choice.chain.len() as u32,
            sample: choice.chain.sample(),
            max_tokens: self
                .params
                .request
                .max_tokens
                .unwrap_or(self.params.model.max_tokens),
            handles_silence: true,
            ..Dispatch::default()
        }
    }
}
