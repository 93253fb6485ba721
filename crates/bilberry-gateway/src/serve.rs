//! From a caller's request to its answer.

use std::sync::Arc;

use bilberry_core::Clock;
use bilberry_core::Name;
use bilberry_core::Repeat;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use bilberry_node::ClientTimes;
use bilberry_node::HttpHandler;
use bilberry_node::OutBody;
use bilberry_node::ReadBodyError;
use bilberry_node::read_body;
use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use xxhash_rust::xxh3::xxh3_64;

use crate::Call;
use crate::Dialect;
use crate::Gateway;
use crate::Job;
use crate::Policy;
use crate::Refusal;
use crate::forward::Answer;
use crate::plain_answer::PlainAnswer;
use crate::relay::is_stream;

/// How long a body may take to arrive.
const BODY_MS: u64 = 10_000;

/// The part of a caller's patience after which a refused one may come back.
///
/// Callers follow the advice only up to a third of the time that they have left.
const COME_BACK_PART: u64 = 4;

/// The part of a pause over which callers come back after its end.
const PAUSE_SPREAD_PART: u64 = 4;

/// The earliest and the latest time after which a refused caller comes back.
///
/// Room appears as running answers end, some hundred milliseconds apart.
const COME_BACK_MS: (u64, u64) = (100, 1_000);

impl<D: Dialect, C: Clock> HttpHandler for Gateway<D, C> {
    fn client_times(&self) -> Option<ClientTimes> {
        self.policy().map(|policy| policy.limits.times)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<OutBody> {
        let gateway = self.clone();
        let mut answer = gateway.serve(request).await;
        if self.is_stopping() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

impl<D: Dialect, C: Clock> Gateway<D, C> {
    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Response<OutBody> {
        let arrived_at = self.clock.now();
        let (head, body) = request.into_parts();
        let checked = self.check(head, arrived_at);
        let (policy, mut job) = match checked {
            Ok(checked) => checked,
            Err((attempt, refusal)) => return self.refuse_early(&attempt, &refusal),
        };
        job.body = match self.body(body, &policy, &job).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse_early(&job.call.attempt, &refusal),
        };
        job.key = job.compute_key();
        if let Err(refusal) = self.check_quarantine(&job) {
            return self.refuse(&job, &refusal);
        }
        self.count_request(&job.pool.name);
        let mut caller = CallerGuard { gateway: self.clone(), job: Some(job) };
        let outcome = caller.serve().await;
        let job = caller.job.take();
        match (outcome, job) {
            (Served::Whole(answer), Some(job)) => {
                self.conclude(&job, "served");
                answer
            }
            (Served::Stream(answer), Some(job)) => self.relay(job, answer),
            (Served::Long(answer, begun), Some(job)) => self.pass_on(job, answer, begun),
            (Served::Refused(refusal), Some(job)) => self.refuse(&job, &refusal),
            (_, None) => Refusal::NotReady.answer(COME_BACK_MS.0),
        }
    }

    /// Finds out what the request is and whether it is allowed.
    fn check(
        &self,
        head: Parts,
        arrived_at: UnixMs,
    ) -> Result<(Arc<Policy>, Job), (Name, Refusal)> {
        let call = match self.dialect.decode(&head.headers) {
            Ok(call) => call,
            Err(bad) => return Err((Name::new(), Refusal::Bad(bad))),
        };
        let attempt = call.attempt.clone();
        self.allow(head, call, arrived_at).map_err(|refusal| (attempt, refusal))
    }

    fn allow(
        &self,
        head: Parts,
        call: Call,
        arrived_at: UnixMs,
    ) -> Result<(Arc<Policy>, Job), Refusal> {
        let policy = self.policy().ok_or(Refusal::NotReady)?;
        let most = policy.limits.header_bytes;
        if head_bytes(&head) > most {
            return Err(Refusal::LargeHead(most));
        }
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
        let route = policy.route(host.unwrap_or_default(), head.uri.path());
        let route = route.cloned().ok_or(Refusal::NoRoute)?;
        let customer = match &policy.customers {
            Some(customers) if !route.public => {
                if !self.keys_are_good() {
                    return Err(Refusal::KeysUnsure);
                }
                let key = call.key.as_ref().ok_or(Refusal::UnknownKey)?;
                Some(customers.get(key).cloned().ok_or(Refusal::UnknownKey)?)
            }
            _ => None,
        };
        let target = route.target(xxh3_64(call.attempt.as_bytes()));
        let pool = target.and_then(|pool| policy.pools.get(pool)).cloned();
        let pool = pool.ok_or(Refusal::NoRoom)?;
        let patience_ms = call.patience_ms.unwrap_or(route.timeout_ms);
        let deadline = arrived_at.plus_ms(patience_ms.min(route.timeout_ms));
        let job = Job {
            call,
            route,
            customer,
            pool,
            config_version: policy.version,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: Default::default(),
            key: RequestKey(0),
            arrived_at,
            deadline,
            tried: Vec::new(),
            sends: 0,
            sent_at: arrived_at,
            sent_to: None,
            earlier_crashes: 0,
            runs: 0,
            backup: None,
            weights: None,
            lacking_ms: None,
            prompt_keys: Vec::new(),
            reads: None,
            waits_for_parts_until: None,
            waited_ms: 0,
            waited_for_parts_ms: 0,
            supplied_tokens: 0,
            first_byte_ms: None,
            detail: String::new(),
        };
        Ok((policy, job))
    }

    async fn body(
        &self,
        body: Incoming,
        policy: &Policy,
        job: &Job,
    ) -> Result<Bytes, Refusal> {
        let most = policy.limits.body_bytes;
        let left_ms = job.deadline.ms_since(self.clock.now());
        read_body(body, most, left_ms.min(BODY_MS)).await.map_err(|error| match error {
            ReadBodyError::TooLarge(most) => Refusal::LargeBody(most),
            ReadBodyError::Late(_) => Refusal::TooLate,
            ReadBodyError::Broken => Refusal::BrokenBody,
        })
    }

    fn refuse_early(&self, attempt: &str, refusal: &Refusal) -> Response<OutBody> {
        self.metrics.count_request(refusal.code());
        if self.lines.spend(self.clock.now(), false) {
            log::info!(
                target: "request",
                request = attempt,
                config = self.policy().map_or(0, |policy| policy.version);
                "{}", refusal.code()
            );
        } else {
            self.metrics.dropped_lines.inc();
        }
        refusal.answer(come_back_ms(COME_BACK_MS.1))
    }

    fn refuse(&self, job: &Job, refusal: &Refusal) -> Response<OutBody> {
        self.conclude(job, refusal.code());
        let now = self.clock.now();
        let left_ms = job.deadline.ms_since(now);
        let paused_until = self.all_paused_until(&job.pool.name, now);
        let outage_over_ms = self.outage_over_ms(&job.pool.name, left_ms);
        let pause_ms = paused_until.map(|until| until.ms_since(now));
        refusal.answer(match (refusal, outage_over_ms.or(pause_ms.map(after_pause_ms))) {
            (Refusal::NoWeights, _) => come_back_late_ms(left_ms),
            (Refusal::Quarantined { for_ms }, _) => *for_ms,
            (Refusal::NoRoom, Some((least, most))) => rand::random_range(least..=most),
            _ => come_back_ms(left_ms),
        })
    }
}

/// Returns when a refused caller may come back.
///
/// Spread over a range, so that callers refused together don't return together.
fn come_back_ms(left_ms: u64) -> u64 {
    let (least, most) = COME_BACK_MS;
    let most = (left_ms / COME_BACK_PART).clamp(least, most);
    rand::random_range(least.min(most)..=most)
}

/// Returns the least and the most time after which a caller may come back, if all
/// upstreams have asked for pauses of which the first ends in `pause_ms`.
fn after_pause_ms(pause_ms: u64) -> (u64, u64) {
    (pause_ms, pause_ms + (pause_ms / PAUSE_SPREAD_PART).max(COME_BACK_MS.0))
}

/// Returns when a caller may come back for whom no upstream has the weights.
///
/// Nobody is known to load them, so it comes back as late as callers follow the
/// advice: a caller returns once, and early it would be refused once more.
fn come_back_late_ms(left_ms: u64) -> u64 {
    let most = (left_ms / COME_BACK_PART).max(1);
    rand::random_range(most / 2..=most)
}

fn head_bytes(head: &Parts) -> usize {
    let line = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let headers = head.headers.iter();
    line + headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum::<usize>()
}

/// What serving a request led to.
enum Served {
    Whole(Response<OutBody>),
    Stream(Answer),
    /// A plain answer that is too long to be held back, and what was read of it.
    Long(Answer, Bytes),
    Refused(Refusal),
}

/// Logs a caller that leaves before its answer begins.
///
/// The server drops the work on a request when its caller closes the connection;
/// without this, such a request would end without a line.
struct CallerGuard<D: Dialect, C: Clock> {
    gateway: Arc<Gateway<D, C>>,
    job: Option<Job>,
}

impl<D: Dialect, C: Clock> CallerGuard<D, C> {
    async fn serve(&mut self) -> Served {
        let Some(job) = &mut self.job else {
            return Served::Refused(Refusal::NotReady);
        };
        loop {
            let answer = match self.gateway.forward(job).await {
                Ok(answer) => answer,
                Err(refusal) => return Served::Refused(refusal),
            };
            if is_stream(job, &answer.response) {
                return Served::Stream(answer);
            }
            match self.gateway.read_whole(job, answer).await {
                Ok(PlainAnswer::Whole(answer)) => return Served::Whole(answer),
                Ok(PlainAnswer::Long(answer, begun)) => {
                    return Served::Long(answer, begun);
                }
                Err(Refusal::Unanswered) => {
                    job.runs += 1;
                    let again = self.gateway.may_run_after(job, job.runs)
                        && self.gateway.may_repeat(&job.pool.name, Repeat::Anew);
                    if !again {
                        return Served::Refused(Refusal::Unanswered);
                    }
                }
                Err(refusal) => return Served::Refused(refusal),
            }
        }
    }
}

impl<D: Dialect, C: Clock> Drop for CallerGuard<D, C> {
    fn drop(&mut self) {
        if let Some(job) = &self.job {
            self.gateway.record_abandoned_run(job);
            self.gateway.conclude(job, "caller_left");
        }
    }
}
