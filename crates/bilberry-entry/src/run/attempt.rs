//! One attempt of a completion at one upstream.

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
use bilberry_wire::Kind;

use crate::ApiError;
use crate::Choice;
use crate::Entry;
use crate::Knowledge;
use crate::RouteRequest;
use crate::run::Run;

/// How often a request waits for a lost upstream to come back.
const MOST_PAUSES: u32 = 4;

/// How long a request waits before it tries a lost upstream again.
const LOST_PAUSE: Duration = Duration::from_millis(250);

/// The live attempt.
pub(super) struct Attempt<P: Platform, K: Knowledge> {
    pub(super) entry: Arc<Entry<P, K>>,
    pub(super) upstream: Name,
    pub(super) call: Call,
}

impl<P: Platform, K: Knowledge> Drop for Attempt<P, K> {
    fn drop(&mut self) {
        self.entry.router.record_end(&self.upstream);
    }
}

impl<P: Platform, K: Knowledge> Run<P, K> {
    /// Routes the request and hands it to a sidecar.
    pub(super) async fn start_attempt(&mut self) -> Result<(), ApiError> {
        loop {
            let choice = self.choose().await?;
            let dispatch = self.dispatch(&choice);
            let detail = format!("{} attempt {}", choice.upstream, dispatch.attempt);
            self.entry.node.events.record(&self.start.id, "sent", detail);
            let sent = self.entry.links.call(choice.address, Body::Dispatch(dispatch));
            match sent.await {
                Ok(call) => {
                    self.attempts += 1;
                    self.entry.node.metrics.upstream_calls.inc();
                    self.entry.router.record_start(&choice.upstream);
                    let entry = self.entry.clone();
                    let upstream = choice.upstream;
                    self.live = Some(Attempt { entry, upstream, call });
                    return Ok(());
                }
                // Nothing was sent, so this was no attempt; another upstream may do.
                Err(_) => {
                    self.lost_any = true;
                    self.entry.router.record_failure(&choice.upstream);
                    self.tried.push(choice.upstream);
                }
            }
        }
    }

    async fn choose(&mut self) -> Result<Choice, ApiError> {
        let scope = Scope {
            customer: self.start.customer.name.clone(),
            model: self.start.model.name.clone(),
            adapter: self.start.model.adapter.clone(),
            weights: self.start.model.weights.clone(),
        };
        let ask = RouteRequest {
            request: self.start.id.clone(),
            pool: self.start.model.pool.clone(),
            customer: self.start.customer.name.clone(),
            priority: self.start.customer.priority,
            scope,
            prompt: self.start.request.prompt.clone(),
            required_weights: self.resumed_weights(),
            tried: self.tried.clone(),
        };
        let first = self.entry.router.route(&self.start.compiled, &ask).await;
        if first.is_some() || !self.lost_any || self.pauses >= MOST_PAUSES {
            return first.ok_or_else(|| self.no_upstream());
        }
        // All upstreams were tried and one was lost, perhaps only by a link that
        // broke for a moment. With few upstreams a stream would end here that
        // the same upstream could carry on.
        self.pauses += 1;
        let left = self.start.deadline.left(SystemClock.now());
        tokio::time::sleep(LOST_PAUSE.min(left)).await;
        self.tried.clear();
        let ask = RouteRequest { tried: Vec::new(), ..ask };
        let again = self.entry.router.route(&self.start.compiled, &ask).await;
        again.ok_or_else(|| self.no_upstream())
    }

    /// Returns the weights that the rest of a begun answer must come from.
    fn resumed_weights(&self) -> Option<Name> {
        self.weights.clone().filter(|_| !self.cursor.text().is_empty())
    }

    fn dispatch(&mut self, choice: &Choice) -> Dispatch {
        let attempt = self.cursor.start_attempt();
        self.delivered_in_attempt = 0;
        Dispatch {
            request: self.start.id.clone(),
            attempt_token: rand::random(),
            attempt,
            kind: Kind::Completion.into(),
            customer: self.start.customer.name.to_string(),
            cache_scope: self.start.customer.name.to_string(),
            weight: self.start.customer.weight,
            priority: u32::from(self.start.customer.priority),
            deadline_unix_ms: self.start.deadline.0,
            model: self.start.model.name.to_string(),
            adapter: self.start.model.adapter.to_string(),
            weights: self.resumed_weights().unwrap_or_default().to_string(),
            path: self.start.request.style.path().to_string(),
            body: self.start.request.body.clone(),
            resume_text: self.cursor.text().to_string(),
            blocks: choice.chain.len() as u32,
            sample: choice.chain.sample(),
            max_tokens: self
                .start
                .request
                .max_tokens
                .unwrap_or(self.start.model.max_tokens),
            ..Dispatch::default()
        }
    }
}
