//! Offering arrivals to a fleet and measuring what comes of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_config::Folder;
use bilberry_standins::EngineCounters;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::Instant;

use crate::Arrival;
use crate::Caller;
use crate::Fleet;
use crate::Node;
use crate::Outcome;

/// The longest time to a first token that is told apart, in microseconds.
const MOST_TTFT_US: u64 = 600_000_000;

/// What came of the offered arrivals.
#[derive(Debug, Clone, Serialize)]
pub struct Measured {
    /// The share of prompt tokens that engines had cached.
    pub hit_ratio: f64,
    /// The median time to the first token.
    pub ttft_p50_ms: f64,
    /// The time to the first token of 95 in 100.
    pub ttft_p95_ms: f64,
    /// The time to the first token of 99 in 100.
    pub ttft_p99_ms: f64,
    /// The share of prompt tokens computed although a live engine held them.
    pub wasted_recompute_ratio: f64,
    /// The share of requests that got no whole answer.
    pub refused_ratio: f64,
    /// Calls to upstreams for each request, retries included.
    pub upstream_calls_per_request: f64,
    /// Control bytes that an entry sends and receives for each request.
    pub control_bytes_per_request: f64,
    /// Cache events that sidecars take in for each request.
    pub cache_events_per_request: f64,
    /// Whole answers a second that ended while load was offered.
    pub answers_per_s: f64,
    /// The slowest refusal.
    pub refusal_max_ms: f64,
    /// The requests that were counted.
    pub requests: u64,
    /// Requests without a whole answer, by the code of their error.
    pub refused_by_code: BTreeMap<String, u64>,
    /// What each customer got.
    #[serde(skip)]
    pub by_customer: BTreeMap<&'static str, CustomerMeasured>,
    /// Prompt and answer tokens by customer of whole answers that ended while load
    /// was offered, whenever they arrived.
    #[serde(skip)]
    pub tokens_under_load: BTreeMap<&'static str, u64>,
    /// The time to the first token of 99 in 100, for each second of arrivals.
    #[serde(skip)]
    pub p99_ms_by_second: Vec<f64>,
    /// The most requests that one upstream began, over the mean.
    #[serde(skip)]
    pub hottest_upstream: f64,
}

/// What one customer got.
#[derive(Debug, Clone, Default)]
pub struct CustomerMeasured {
    /// Whole answers.
    pub whole: u64,
    /// The time to the first token of 99 in 100.
    pub ttft_p99_ms: f64,
}

/// Arrivals and how they are offered.
#[derive(Debug, Clone)]
pub struct Offered {
    /// The arrivals.
    pub arrivals: Arc<Vec<Arrival>>,
    /// The model.
    pub model: &'static str,
    /// Arrivals before this time warm the caches and are not counted.
    pub warm_ms: u64,
}

/// One counted request.
struct Sample {
    is_warm_up: bool,
    ended_us: u64,
    at_s: u64,
    customer: &'static str,
    outcome: Outcome,
    tokens: u32,
}

impl Sample {
    /// Reports whether a whole answer ended in a span of time.
    fn ended_in(&self, from_us: u64, until_us: u64) -> bool {
        self.outcome.whole && (from_us..until_us).contains(&self.ended_us)
    }
}

/// Offers arrivals at their times, whatever becomes of those before them.
pub async fn measure(fleet: &Fleet, offered: &Offered) -> Measured {
    let samples = Arc::new(Mutex::new(Vec::new()));
    let caller = Caller::new();
    let started = Instant::now();
    let warm_us = offered.warm_ms * 1_000;
    let mut tasks = Vec::with_capacity(offered.arrivals.len());
    let mut before = None;
    let mut counted_before = Counted::default();
    for (at, arrival) in offered.arrivals.iter().enumerate() {
        tokio::time::sleep_until(started + Duration::from_micros(arrival.at_us)).await;
        if arrival.at_us >= warm_us && before.is_none() {
            before = Some(totals(fleet));
            counted_before = Counted::read(fleet).await;
        }
        let entry = fleet.callers(at);
        let samples = samples.clone();
        let caller = caller.clone();
        let arrivals = offered.arrivals.clone();
        let model = offered.model;
        tasks.push(tokio::spawn(async move {
            let arrival = &arrivals[at];
            let key = format!("key-{}", arrival.customer);
            let (prompt, tokens) = (&arrival.prompt, arrival.tokens);
            let outcome = caller.complete(entry, &key, model, prompt, tokens).await;
            let sample = Sample {
                is_warm_up: arrival.at_us < warm_us,
                ended_us: started.elapsed().as_micros() as u64,
                at_s: arrival.at_us.saturating_sub(warm_us) / 1_000_000,
                customer: arrival.customer,
                outcome,
                tokens,
            };
            samples.lock().unwrap().push(sample);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let after = totals(fleet);
    let counted = Counted::read(fleet).await.since(&counted_before);
    let samples = std::mem::take(&mut *samples.lock().unwrap());
    let before = before.unwrap_or_default();
    let last_us = offered.arrivals.last().map_or(0, |arrival| arrival.at_us);
    let under_load = tokens_under_load(&samples, warm_us, last_us);
    let ended = samples.iter().filter(|s| s.ended_in(warm_us, last_us)).count();
    let window_s = last_us.saturating_sub(warm_us).max(1) as f64 / 1e6;
    let samples: Vec<_> = samples.into_iter().filter(|s| !s.is_warm_up).collect();
    Measured {
        hottest_upstream: hottest(&before, &after),
        tokens_under_load: under_load,
        answers_per_s: ended as f64 / window_s,
        ..summarise(&samples, &sum(&before), &sum(&after), &counted)
    }
}

/// Returns a folder whose pools of engines have other lines.
pub fn with_pool(folder: &Folder, from: &str, lines: &str) -> Folder {
    let mut folder = folder.clone();
    for file in &mut folder.files {
        let changed = file.text.lines().map(|line| match line.starts_with(from) {
            true => lines,
            false => line,
        });
        file.text = changed.collect::<Vec<_>>().join("\n");
    }
    folder
}

fn summarise(
    samples: &[Sample],
    before: &EngineCounters,
    after: &EngineCounters,
    counted: &Counted,
) -> Measured {
    let whole: Vec<_> = samples.iter().filter(|s| s.outcome.whole).collect();
    let ttft = histogram(whole.iter().map(|sample| sample.outcome.ttft));
    let refused = samples.iter().filter(|sample| sample.outcome.status != 200);
    let refusal_max = refused.map(|sample| sample.outcome.total).max();
    let mut refused_by_code: BTreeMap<String, u64> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| !sample.outcome.whole) {
        *refused_by_code.entry(sample.outcome.code.clone()).or_default() += 1;
    }
    let prompt = (after.prompt_tokens - before.prompt_tokens).max(1) as f64;
    let mut by_customer: BTreeMap<&'static str, CustomerMeasured> = BTreeMap::new();
    for sample in &whole {
        let customer = by_customer.entry(sample.customer).or_default();
        customer.whole += 1;
    }
    for (name, customer) in &mut by_customer {
        let own = whole.iter().filter(|sample| sample.customer == *name);
        let ttft = histogram(own.map(|sample| sample.outcome.ttft));
        customer.ttft_p99_ms = quantile_ms(&ttft, 0.99);
    }
    Measured {
        hit_ratio: (after.cached_tokens - before.cached_tokens) as f64 / prompt,
        ttft_p50_ms: quantile_ms(&ttft, 0.50),
        ttft_p95_ms: quantile_ms(&ttft, 0.95),
        ttft_p99_ms: quantile_ms(&ttft, 0.99),
        wasted_recompute_ratio: (after.wasted_tokens - before.wasted_tokens) as f64
            / prompt,
        refused_ratio: 1.0 - whole.len() as f64 / samples.len().max(1) as f64,
        upstream_calls_per_request: counted.calls / counted.requests.max(1.0),
        control_bytes_per_request: counted.control_bytes / counted.requests.max(1.0),
        cache_events_per_request: counted.cache_events / counted.requests.max(1.0),
        answers_per_s: 0.0,
        refusal_max_ms: refusal_max.unwrap_or_default().as_secs_f64() * 1e3,
        requests: samples.len() as u64,
        refused_by_code,
        by_customer,
        p99_ms_by_second: by_second(&whole),
        hottest_upstream: 0.0,
        tokens_under_load: BTreeMap::new(),
    }
}

fn histogram(times: impl Iterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MOST_TTFT_US, 3)
        .expect("the bounds are constants that go together");
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

/// Adds up by customer what was served while load was offered.
fn tokens_under_load(
    samples: &[Sample],
    from_us: u64,
    until_us: u64,
) -> BTreeMap<&'static str, u64> {
    let mut tokens = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.ended_in(from_us, until_us)) {
        let served = sample.outcome.prompt_tokens + u64::from(sample.tokens);
        *tokens.entry(sample.customer).or_default() += served;
    }
    tokens
}

/// Returns what each engine counted.
fn totals(fleet: &Fleet) -> Vec<EngineCounters> {
    fleet.engines.iter().map(|(_, engine)| engine.counters()).collect()
}

/// Adds up what all engines counted.
fn sum(engines: &[EngineCounters]) -> EngineCounters {
    let mut sum = EngineCounters::default();
    for counters in engines {
        sum.prompt_tokens += counters.prompt_tokens;
        sum.cached_tokens += counters.cached_tokens;
        sum.wasted_tokens += counters.wasted_tokens;
    }
    sum
}

/// Returns the most runs of one engine over the mean.
fn hottest(before: &[EngineCounters], after: &[EngineCounters]) -> f64 {
    let earlier = before.iter().map(|counters| counters.runs).chain(std::iter::repeat(0));
    let runs: Vec<_> = after.iter().zip(earlier).map(|(a, b)| a.runs - b).collect();
    let mean = runs.iter().sum::<u64>() as f64 / runs.len().max(1) as f64;
    runs.iter().copied().max().unwrap_or(0) as f64 / mean.max(1.0)
}

/// Returns the tail of each second of arrivals.
fn by_second(whole: &[&Sample]) -> Vec<f64> {
    let last = whole.iter().map(|sample| sample.at_s).max().unwrap_or(0);
    let tail = |second| {
        let of_second = whole.iter().filter(|sample| sample.at_s == second);
        quantile_ms(&histogram(of_second.map(|sample| sample.outcome.ttft)), 0.99)
    };
    (0..=last).map(tail).collect()
}

/// What the processes' own metrics counted.
#[derive(Debug, Clone, Copy, Default)]
struct Counted {
    calls: f64,
    requests: f64,
    control_bytes: f64,
    cache_events: f64,
}

impl Counted {
    async fn read(fleet: &Fleet) -> Self {
        let of_entries = |name| Fleet::metric(&fleet.entries, name);
        Self {
            calls: of_entries("bilberry_upstream_calls_total").await,
            requests: of_entries("bilberry_requests_total").await,
            control_bytes: control_bytes(&fleet.entries).await,
            cache_events: Fleet::metric(&fleet.sidecars, "bilberry_cache_events_total")
                .await,
        }
    }

    fn since(&self, before: &Self) -> Self {
        Self {
            calls: self.calls - before.calls,
            requests: self.requests - before.requests,
            control_bytes: self.control_bytes - before.control_bytes,
            cache_events: self.cache_events - before.cache_events,
        }
    }
}

/// Returns the control bytes that nodes have sent and received.
pub(crate) async fn control_bytes(nodes: &[Node]) -> f64 {
    let mut sum = 0.0;
    for direction in ["sent", "received"] {
        let name = format!(
            "bilberry_peer_bytes_total{{direction=\"{direction}\",class=\"control\"}}"
        );
        sum += Fleet::metric(nodes, &name).await;
    }
    sum
}
