//! A replay of competing requests against the order of admissions, in virtual time.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bilberry_core::Admission;
use bilberry_core::AdmissionTerms;
use bilberry_core::CallId;
use bilberry_core::EngineCapacity;
use bilberry_core::EngineQueue;
use bilberry_core::Name;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SECONDS: u64 = 30;
const SHORT_TARGET_MS: u64 = 500;
const LONG_TARGET_MS: u64 = 4_000;
const MAX_WAIT_FACTOR: u64 = 2;
const SLOTS: u64 = 48;
const TOTAL_TOKENS: u64 = 95_000;
const DECODE_MS: u64 = 1_500;
const LONG_SIZES: [u64; 4] = [2_000, 4_000, 8_000, 12_000];
const SHORT_TOKENS: u64 = 400;
const ENTRIES: u64 = 8;

/// The decisions that a replay compares.
trait Decisions {
    fn request(&mut self, id: CallId, terms: AdmissionTerms, now: UnixMs) -> Admission;
    fn mark_prefilled(&mut self, id: CallId, now: UnixMs);
    fn end(&mut self, id: CallId, now: UnixMs);
    fn record_engine(&mut self, capacity: EngineCapacity);
    fn next_decisions(&mut self, now: UnixMs) -> Vec<(CallId, Admission)>;
}

impl Decisions for EngineQueue {
    fn request(&mut self, id: CallId, terms: AdmissionTerms, now: UnixMs) -> Admission {
        self.request(id, terms, now)
    }

    fn mark_prefilled(&mut self, id: CallId, now: UnixMs) {
        self.mark_prefilled(id, now);
    }

    fn end(&mut self, id: CallId, now: UnixMs) {
        self.end(id, now);
    }

    fn record_engine(&mut self, capacity: EngineCapacity) {
        self.record_engine(capacity);
    }

    fn next_decisions(&mut self, now: UnixMs) -> Vec<(CallId, Admission)> {
        self.next_decisions(now)
    }
}

/// Admits in order of arrival whatever has memory and a slot.
struct FirstCome {
    total_tokens: u64,
    waiting: VecDeque<(CallId, AdmissionTerms)>,
    admitted: BTreeMap<CallId, u64>,
}

impl FirstCome {
    fn new(load: &Load) -> Self {
        let total_tokens = load.total_tokens;
        Self { total_tokens, waiting: VecDeque::new(), admitted: BTreeMap::new() }
    }

    fn admits(&mut self, id: CallId, memory_tokens: u64) -> bool {
        let used: u64 = self.admitted.values().sum();
        let fits = used + memory_tokens <= self.total_tokens
            && (self.admitted.len() as u64) < SLOTS;
        if fits {
            self.admitted.insert(id, memory_tokens);
        }
        fits
    }
}

impl Decisions for FirstCome {
    fn request(&mut self, id: CallId, terms: AdmissionTerms, _: UnixMs) -> Admission {
        if self.waiting.is_empty() && self.admits(id, terms.memory_tokens) {
            return Admission::Admitted;
        }
        self.waiting.push_back((id, terms));
        Admission::Queued { wait_ms: 0 }
    }

    fn mark_prefilled(&mut self, _: CallId, _: UnixMs) {}

    fn end(&mut self, id: CallId, _: UnixMs) {
        self.admitted.remove(&id);
    }

    fn record_engine(&mut self, _: EngineCapacity) {}

    fn next_decisions(&mut self, now: UnixMs) -> Vec<(CallId, Admission)> {
        let mut decided = Vec::new();
        while let Some((id, terms)) = self.waiting.pop_front() {
            if terms.start_by < now {
                decided.push((id, Admission::Rejected { retry_after_ms: 1_000 }));
            } else if self.admits(id, terms.memory_tokens) {
                decided.push((id, Admission::Admitted));
            } else {
                self.waiting.push_front((id, terms));
                break;
            }
        }
        decided
    }
}

/// One attempt of a request.
#[derive(Debug, Clone)]
struct Attempt {
    terms: AdmissionTerms,
    is_short: bool,
    asked_at: UnixMs,
    /// Whether the caller was rejected before and returned when told.
    is_return: bool,
    admitted_at: Option<UnixMs>,
    prefilled_at: Option<UnixMs>,
    rejected_at: Option<UnixMs>,
}

/// The load on an engine.
#[derive(Debug, Clone, Copy)]
struct Load {
    tokens_per_ms: u64,
    /// The asked prefill of long and of short requests, in parts of the engine's speed.
    long_load: f64,
    short_load: f64,
    /// Whether rejected callers return.
    returns: bool,
    /// The part of the requests that has the lower priority.
    low_priority: f64,
    total_tokens: u64,
    /// How long a request holds its memory and slot after its prefill.
    decode_ms: u64,
    seed: u64,
}

impl Load {
    fn surge(seed: u64) -> Self {
        Self {
            tokens_per_ms: 40,
            long_load: 1.5,
            short_load: 0.15,
            returns: true,
            low_priority: 0.0,
            total_tokens: TOTAL_TOKENS,
            decode_ms: DECODE_MS,
            seed,
        }
    }
}

/// A fake engine: prefills in order of arrival, then holds the memory for some time.
#[derive(Default)]
struct FakeEngine {
    prefilling: VecDeque<(CallId, u64, u64)>,
    running: BTreeMap<CallId, (UnixMs, u64)>,
}

impl FakeEngine {
    /// Advances by a millisecond; returns the completed prefills and the ended runs.
    fn step(&mut self, load: &Load, now: UnixMs) -> (Vec<CallId>, Vec<CallId>) {
        let mut left = load.tokens_per_ms;
        let mut prefilled = Vec::new();
        while let Some((id, tokens, memory)) = self.prefilling.front_mut() {
            let done = left.min(*tokens);
            *tokens -= done;
            left -= done;
            if *tokens > 0 {
                break;
            }
            prefilled.push(*id);
            self.running.insert(*id, (now.plus_ms(load.decode_ms), *memory));
            self.prefilling.pop_front();
        }
        let is_ended = |(ends_at, _): &(UnixMs, u64)| ends_at.has_passed_at(now);
        let ended = self.running.iter().filter(|(_, run)| is_ended(run));
        let ended: Vec<CallId> = ended.map(|(id, _)| *id).collect();
        self.running.retain(|_, run| !is_ended(run));
        (prefilled, ended)
    }

    fn capacity(&self, load: &Load) -> EngineCapacity {
        let prefilling = self.prefilling.iter().map(|(_, _, memory)| memory);
        let running = self.running.values().map(|(_, memory)| memory);
        EngineCapacity {
            slots: SLOTS,
            total_tokens: load.total_tokens,
            used_tokens: prefilling.chain(running).sum(),
            running: (self.prefilling.len() + self.running.len()) as u64,
        }
    }
}

/// The customers of long requests and their parts of the long load.
const LONG_CUSTOMERS: [(&str, f64); 4] =
    [("heavy", 0.7), ("medium", 0.2), ("light", 0.08), ("rare", 0.02)];

fn arrivals(load: &Load) -> BTreeMap<u64, Vec<Attempt>> {
    let mut random = StdRng::seed_from_u64(load.seed);
    let mut arrivals: BTreeMap<u64, Vec<Attempt>> = BTreeMap::new();
    let mean_long = LONG_SIZES.iter().sum::<u64>() as f64 / LONG_SIZES.len() as f64;
    let mut key = 0;
    for ms in 1..SECONDS * 1_000 {
        let speed = load.tokens_per_ms as f64;
        let mean_long = mean_long * speed / 40.0;
        let kinds = [
            (true, speed * load.short_load / SHORT_TOKENS as f64),
            (false, speed * load.long_load / mean_long),
        ];
        for (is_short, rate) in kinds {
            if random.random::<f64>() >= rate {
                continue;
            }
            key += 1;
            let mut pick = random.random::<f64>();
            let customer = LONG_CUSTOMERS.iter().find(|(_, part)| {
                pick -= part;
                pick < 0.0
            });
            let customer = customer.map_or("rare", |(name, _)| *name);
            let size = LONG_SIZES[random.random_range(0..LONG_SIZES.len())];
            let size = size * load.tokens_per_ms / 40;
            let (customer, tokens, target_ms) = match is_short {
                true => ("short", SHORT_TOKENS, SHORT_TARGET_MS),
                false => (customer, size, LONG_TARGET_MS),
            };
            let is_low = !is_short && random.random::<f64>() < load.low_priority;
            let now = UnixMs(ms);
            let terms = AdmissionTerms {
                customer: Name::from(customer),
                priority: is_low.into(),
                target_at: now.plus_ms(target_ms),
                start_by: now.plus_ms(target_ms * MAX_WAIT_FACTOR),
                prefill_tokens: tokens,
                memory_tokens: tokens + 400,
                key: RequestKey(key),
                max_return_ms: 60_000,
                target_ms,
                shortest_target_ms: SHORT_TARGET_MS,
            };
            arrivals.entry(ms).or_default().push(Attempt {
                terms,
                is_short,
                asked_at: now,
                is_return: false,
                admitted_at: None,
                prefilled_at: None,
                rejected_at: None,
            });
        }
    }
    arrivals
}

/// Runs a load and returns all attempts.
fn replay(mut decisions: impl Decisions, load: &Load) -> Vec<Attempt> {
    let mut arrivals = arrivals(load);
    let mut engine = FakeEngine::default();
    let mut attempts: Vec<Attempt> = Vec::new();
    for ms in 1..SECONDS * 1_000 {
        let now = UnixMs(ms);
        let (prefilled, ended) = engine.step(load, now);
        let has_changed = !prefilled.is_empty() || !ended.is_empty() || ms % 20 == 1;
        for id in prefilled {
            attempts[id.call as usize].prefilled_at = Some(now);
            decisions.mark_prefilled(id, now);
        }
        for id in ended {
            decisions.end(id, now);
        }
        if ms % 40 == 1 {
            decisions.record_engine(engine.capacity(load));
        }
        let mut decided = match has_changed {
            true => decisions.next_decisions(now),
            false => Vec::new(),
        };
        for attempt in arrivals.remove(&ms).unwrap_or_default() {
            let call = attempts.len() as u64;
            let id = CallId { connection: call % ENTRIES, call };
            let decision = decisions.request(id, attempt.terms.clone(), now);
            attempts.push(attempt);
            decided.push((id, decision));
            decided.extend(decisions.next_decisions(now));
        }
        for (id, decision) in decided {
            let attempt = &mut attempts[id.call as usize];
            assert!(attempt.admitted_at.is_none() && attempt.rejected_at.is_none());
            match decision {
                Admission::Queued { .. } => {}
                Admission::Admitted => {
                    assert!(now <= attempt.terms.start_by, "late: {attempt:?}");
                    attempt.admitted_at = Some(now);
                    let AdmissionTerms { prefill_tokens, memory_tokens, .. } =
                        attempt.terms;
                    engine.prefilling.push_back((id, prefill_tokens, memory_tokens));
                    let capacity = engine.capacity(load);
                    assert!(capacity.used_tokens <= load.total_tokens, "{capacity:?}");
                    assert!(capacity.running <= SLOTS, "{capacity:?}");
                }
                Admission::Withdrawn => panic!("the engine is up: {attempt:?}"),
                Admission::Rejected { retry_after_ms } => {
                    attempt.rejected_at = Some(now);
                    if load.returns {
                        let back_at = now.plus_ms(retry_after_ms);
                        let again = returned(attempt, back_at);
                        arrivals.entry(back_at.0).or_default().push(again);
                    }
                }
            }
        }
    }
    attempts
}

fn returned(attempt: &Attempt, now: UnixMs) -> Attempt {
    let target_ms = attempt.terms.target_at.ms_since(attempt.asked_at);
    let mut terms = attempt.terms.clone();
    terms.target_at = now.plus_ms(target_ms);
    terms.start_by = now.plus_ms(target_ms * MAX_WAIT_FACTOR);
    Attempt {
        terms,
        asked_at: now,
        is_return: true,
        rejected_at: None,
        ..attempt.clone()
    }
}

/// What a replay gave.
#[derive(Debug)]
struct Summary {
    /// The part of short requests whose first event was in time.
    short_in_time: f64,
    /// The prefilled tokens of long requests, in parts of the speed left by short ones.
    long_part: f64,
    /// The memory of the prefilled requests, in tokens.
    used_memory: f64,
    /// The prefilled tokens of long requests, in parts of the engine's speed.
    long_of_engine: f64,
    /// The least prefill of a customer with long prompts, in parts of its fair share.
    least_share: f64,
    /// The least part of the requests of one size that was served.
    least_size: f64,
    /// The part of the long callers that were admitted, of newcomers and of those back.
    newcomers_admitted: f64,
    returns_admitted: f64,
    low_priority_admitted: f64,
}

fn part(attempts: &[&Attempt], is_counted: impl Fn(&Attempt) -> bool) -> f64 {
    let counted = attempts.iter().filter(|attempt| is_counted(attempt)).count();
    counted as f64 / attempts.len().max(1) as f64
}

/// Returns the max-min fair share of each demand.
fn fair_shares(demands: &[f64], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut left = capacity;
    for (done, index) in order.iter().enumerate() {
        shares[*index] = demands[*index].min(left / (demands.len() - done) as f64);
        left -= shares[*index];
    }
    shares
}

fn summarize(attempts: &[Attempt], load: &Load) -> Summary {
    // Requests that were asked for just before the end have no chance to complete.
    let last = UnixMs((SECONDS * 1_000).saturating_sub(2 * LONG_TARGET_MS));
    let decided: Vec<&Attempt> = attempts.iter().filter(|a| a.asked_at < last).collect();
    let (short, long): (Vec<&Attempt>, Vec<&Attempt>) =
        decided.iter().copied().partition(|attempt| attempt.is_short);
    let prefilled = |is_counted: &dyn Fn(&Attempt) -> bool| -> f64 {
        let is_done = |a: &Attempt| a.prefilled_at.is_some_and(|at| at < last);
        let done = attempts.iter().filter(|a| is_done(a) && is_counted(a));
        done.map(|attempt| attempt.terms.prefill_tokens as f64).sum()
    };
    let speed = (load.tokens_per_ms * last.0) as f64;
    let left = speed - prefilled(&|attempt| attempt.is_short);
    let is_of = |name: &str, a: &Attempt| !a.is_short && a.terms.customer == name;
    let demands: Vec<f64> = LONG_CUSTOMERS
        .iter()
        .map(|(name, _)| {
            let first = decided.iter().filter(|a| is_of(name, a) && !a.is_return);
            first.map(|attempt| attempt.terms.prefill_tokens as f64).sum()
        })
        .collect();
    let shares = fair_shares(&demands, left);
    // Counts what was asked for before `last` also if it was prefilled after it.
    // A seed in which a customer asked for nothing tells nothing about its share.
    let asked = LONG_CUSTOMERS.iter().zip(&shares).filter(|(_, share)| **share > 0.0);
    let received = asked.map(|((name, _), share)| {
        let done = long.iter().filter(|a| a.prefilled_at.is_some() && is_of(name, a));
        let tokens = done.map(|attempt| attempt.terms.prefill_tokens as f64);
        tokens.sum::<f64>() / share
    });
    let sizes = LONG_SIZES.iter().map(|size| {
        let size = &(size * load.tokens_per_ms / 40);
        let same: Vec<&Attempt> =
            long.iter().copied().filter(|a| a.terms.prefill_tokens == *size).collect();
        part(&same, |attempt| attempt.prefilled_at.is_some())
    });
    let is_admitted = |attempt: &Attempt| attempt.admitted_at.is_some();
    let (back, new): (Vec<&Attempt>, Vec<&Attempt>) =
        long.iter().copied().partition(|attempt| attempt.is_return);
    let low: Vec<&Attempt> =
        new.iter().copied().filter(|attempt| attempt.terms.priority > 0).collect();
    let is_in_time = |attempt: &Attempt| {
        attempt.prefilled_at.is_some_and(|at| at <= attempt.terms.target_at)
    };
    Summary {
        short_in_time: part(&short, is_in_time),
        used_memory: {
            let is_done = |a: &&Attempt| a.prefilled_at.is_some_and(|at| at < last);
            let done = attempts.iter().filter(is_done);
            done.map(|attempt| attempt.terms.memory_tokens as f64).sum()
        },
        long_of_engine: prefilled(&|attempt| !attempt.is_short) / speed,
        long_part: prefilled(&|attempt| !attempt.is_short) / left,
        least_share: received.fold(f64::MAX, f64::min),
        least_size: sizes.fold(f64::MAX, f64::min),
        newcomers_admitted: part(&new, is_admitted),
        returns_admitted: part(&back, is_admitted),
        low_priority_admitted: part(&low, is_admitted),
    }
}

const SEEDS: u64 = 4;

fn assert_served(ordered: &Summary, load: &Load) {
    assert!(ordered.short_in_time >= 0.95, "{load:?}: {ordered:?}");
    assert!(ordered.long_part >= 0.8, "{load:?}: {ordered:?}");
    assert!(ordered.least_share >= 0.25, "{load:?}: {ordered:?}");
    assert!(ordered.least_size >= 0.25, "{load:?}: {ordered:?}");
}

#[test]
fn short_requests_are_in_time_and_long_ones_still_served_in_a_surge() {
    // Guards against prefill inside the engine that nobody can order, and against longs,
    // customers or sizes that starve once it is ordered.
    for seed in 0..SEEDS {
        for tokens_per_ms in [40, 20] {
            let load = Load { tokens_per_ms, returns: false, ..Load::surge(seed) };
            let ordered = summarize(&replay(EngineQueue::new(), &load), &load);
            assert_served(&ordered, &load);
            let first_come = summarize(&replay(FirstCome::new(&load), &load), &load);
            assert!(first_come.short_in_time <= 0.5, "{load:?}: {first_come:?}");
            assert!(ordered.long_part >= first_come.long_part - 0.1, "{load:?}");
        }
    }
}

#[test]
fn callers_that_return_when_told_are_admitted() {
    // Guards against callers that are sent away again although they waited as told.
    for seed in 0..SEEDS {
        for tokens_per_ms in [40, 20] {
            let load = Load { tokens_per_ms, ..Load::surge(seed) };
            let ordered = summarize(&replay(EngineQueue::new(), &load), &load);
            assert_served(&ordered, &load);
            assert!(ordered.returns_admitted >= 0.95, "{load:?}: {ordered:?}");
            let gain = ordered.returns_admitted - ordered.newcomers_admitted;
            assert!(gain >= 0.1, "{load:?}: {ordered:?}");
        }
    }
}

#[test]
fn requests_of_low_priority_are_not_starved() {
    // Guards against low priorities that get nothing while higher ones keep coming.
    for seed in 0..SEEDS {
        let load = Load { low_priority: 0.5, returns: false, ..Load::surge(seed) };
        let ordered = summarize(&replay(EngineQueue::new(), &load), &load);
        assert_served(&ordered, &load);
        assert!(ordered.low_priority_admitted >= 0.1, "{load:?}: {ordered:?}");
    }
}

#[test]
fn long_prompts_get_a_part_of_an_engine_flooded_with_short_ones() {
    // Guards against short requests above the engine's speed that keep the outstanding
    // prefill too high for any long prompt.
    for seed in 0..2 {
        let surge = Load { returns: false, decode_ms: 100, ..Load::surge(seed) };
        let load = Load { short_load: 1.3, long_load: 0.7, ..surge };
        let ordered = summarize(&replay(EngineQueue::new(), &load), &load);
        assert!(ordered.long_of_engine >= 0.2, "{load:?}: {ordered:?}");
        assert!(ordered.short_in_time >= 0.4, "{load:?}: {ordered:?}");
        assert!(ordered.least_size >= 0.1, "{load:?}: {ordered:?}");
    }
}

#[test]
fn short_requests_are_in_time_at_an_engine_without_enough_memory() {
    // Guards against memory that long requests take as soon as it is freed.
    for seed in 0..SEEDS {
        let load = Load { total_tokens: 60_000, returns: false, ..Load::surge(seed) };
        let ordered = summarize(&replay(EngineQueue::new(), &load), &load);
        assert!(ordered.short_in_time >= 0.95, "{load:?}: {ordered:?}");
        assert!(ordered.least_size >= 0.05, "{load:?}: {ordered:?}");
        assert!(ordered.least_share >= 0.25, "{load:?}: {ordered:?}");
        let first_come = summarize(&replay(FirstCome::new(&load), &load), &load);
        assert!(first_come.short_in_time <= 0.5, "{load:?}: {first_come:?}");
        // First-come-first-served leaves the memory of short requests to long ones.
        let used = ordered.used_memory / first_come.used_memory;
        assert!(used >= 1.0, "{load:?}: {used}");
    }
}
