//! A model of entries that retry requests which engines reject, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::ops::Range;

use bilberry_core::BudgetLimits;
use bilberry_core::Quota;
use bilberry_core::QuotaCharge;
use bilberry_core::QuotaDecision;
use bilberry_core::QuotaTolerance;
use bilberry_core::RequestKey;
use bilberry_core::RetryKind;
use bilberry_core::RetrySource;
use bilberry_core::SharedRetryBudget;
use bilberry_core::UnixMs;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::quota_model::Fault;
use crate::quota_model::Owners;
use crate::quota_model::START_MS;
use crate::quota_model::Way;

/// Requests, what happens to them, and the faults.
#[derive(Debug, Clone)]
pub struct History {
    pub entries: usize,
    pub sidecars: usize,
    pub seconds: u64,
    pub requests_per_s: f64,
    /// The share of requests that arrive at the first entry that is up.
    pub skew: f64,
    /// How many retries each request asks for.
    pub retries_per_request: u32,
    /// The longest time from the grant of a retry to its arrival.
    pub max_wait_ms: u64,
    pub faults: Vec<Fault>,
    pub standstills: Vec<Standstill>,
    pub limits: BudgetLimits,
    pub seed: u64,
}

/// An entry that stands still: what it had granted arrives when it goes on.
#[derive(Debug, Clone, Copy)]
pub struct Standstill {
    pub entry: usize,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// A way to keep a budget.
pub trait Budget {
    fn advance(&mut self, _now: UnixMs) {}
    /// Reports whether an entry runs.
    fn is_up(&self, entry: usize) -> bool;
    fn count_request(&mut self, entry: usize, now: UnixMs);
    /// Takes a retry; returns the fraction taken from the entry's own part.
    fn take(&mut self, entry: usize, now: UnixMs) -> Option<f64>;
    fn record_arrival(&mut self, _entry: usize, _own: f64) {}
}

/// What arrived.
#[derive(Debug, Default)]
pub struct Usage {
    pub granted: usize,
    granted_at: Vec<u64>,
    requests: Vec<u64>,
    arrivals: Vec<u64>,
    limits: Option<BudgetLimits>,
}

impl Usage {
    /// Returns how many retries were granted in this time, in milliseconds since the start.
    pub fn granted_within(&self, times: Range<u64>) -> usize {
        let is_within = |&&at: &&u64| times.contains(&(at - START_MS));
        self.granted_at.iter().filter(is_within).count()
    }

    /// Returns the arrivals of the worst window against its bound.
    ///
    /// Requests are counted in the window, in the one before it or in the one half a window
    /// before it, whichever has most.
    pub fn worst(&self) -> f64 {
        let Some(limits) = self.limits else { return 0.0 };
        let window_ms = limits.window_ms;
        let within = |times: &[u64], from: u64| {
            let end = times.partition_point(|&at| at < from + window_ms);
            end - times.partition_point(|&at| at < from)
        };
        let ratio = |&from: &u64| {
            let starts = [from, from - window_ms / 2, from - window_ms];
            let requests = starts.map(|from| within(&self.requests, from));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = requests as f64 * limits.ratio + limits.slack;
            within(&self.arrivals, from) as f64 / allowed
        };
        self.arrivals.iter().map(ratio).fold(0.0, f64::max)
    }
}

/// What happens next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    /// A retry that an entry granted, from its start with this number on.
    Arrival {
        entry: usize,
        start: usize,
        own_millis: u64,
    },
}

/// Replays a history.
pub fn replay(mut budget: impl Budget, history: &History) -> Usage {
    let mut rng = StdRng::seed_from_u64(history.seed);
    let mut events = BinaryHeap::new();
    let mut at = START_MS as f64;
    while at < (START_MS + history.seconds * 1_000) as f64 {
        at -= (1.0 - rng.random::<f64>()).ln() / history.requests_per_s * 1_000.0;
        events.push(Reverse((at as u64, Event::Request)));
    }
    let mut usage = Usage { limits: Some(history.limits), ..Usage::default() };
    while let Some(Reverse((at, event))) = events.pop() {
        let now = UnixMs(at);
        budget.advance(now);
        match event {
            Event::Request => {
                // Callers send whether an entry is up or not.
                usage.requests.push(at);
                let up: Vec<usize> = (0..history.entries)
                    .filter(|&entry| {
                        budget.is_up(entry) && !stands_still(history, entry, at)
                    })
                    .collect();
                let Some(&first) = up.first() else { continue };
                let entry = match rng.random_bool(history.skew) {
                    true => first,
                    false => up[rng.random_range(0..up.len())],
                };
                budget.count_request(entry, now);
                let start = starts_before(history, entry, at);
                for _ in 0..history.retries_per_request {
                    let Some(own) = budget.take(entry, now) else { break };
                    usage.granted += 1;
                    usage.granted_at.push(at);
                    let wait_ms = rng.random_range(0..=history.max_wait_ms);
                    let arrives_at = delayed(history, entry, at, at + wait_ms);
                    let own_millis = (own * 1_000.0) as u64;
                    let arrival = Event::Arrival { entry, start, own_millis };
                    events.push(Reverse((arrives_at, arrival)));
                }
            }
            // What a killed process had granted does not arrive.
            Event::Arrival { entry, start, own_millis } => {
                if starts_before(history, entry, at) == start {
                    usage.arrivals.push(at);
                    budget.record_arrival(entry, own_millis as f64 / 1_000.0);
                }
            }
        }
    }
    usage
}

fn stands_still(history: &History, entry: usize, at: u64) -> bool {
    let mut standstills = history.standstills.iter();
    standstills.any(|still| {
        still.entry == entry
            && (START_MS + still.from_ms..START_MS + still.to_ms).contains(&at)
    })
}

/// Returns when something arrives that is due at `due` from an entry that may stand still.
fn delayed(history: &History, entry: usize, from: u64, due: u64) -> u64 {
    let still = history.standstills.iter().filter(|still| still.entry == entry);
    let ends = still
        .filter(|still| START_MS + still.from_ms <= due && START_MS + still.to_ms > from)
        .map(|still| START_MS + still.to_ms);
    ends.max().unwrap_or(due).max(due)
}

/// Returns how often an entry was killed before `at`.
fn starts_before(history: &History, entry: usize, at: u64) -> usize {
    let kills = history.faults.iter().filter(|fault| match fault {
        Fault::Kill { entries, at_ms, .. } => entry < *entries && START_MS + at_ms <= at,
        Fault::CutOff { .. } | Fault::FreezeSidecars { .. } => false,
    });
    kills.count()
}

/// The entries that run, and their starts.
#[derive(Debug)]
struct Starts {
    history: History,
    now: UnixMs,
    /// How often each entry was killed, as last asked.
    known: Vec<usize>,
}

impl Starts {
    fn new(history: &History) -> Self {
        let known = vec![0; history.entries];
        Self { history: history.clone(), now: UnixMs(START_MS), known }
    }

    /// Reports whether an entry has started again since this was last asked.
    fn has_restarted(&mut self, entry: usize) -> bool {
        let start = starts_before(&self.history, entry, self.now.0);
        std::mem::replace(&mut self.known[entry], start) != start
    }

    fn is_up(&self, entry: usize) -> bool {
        let now = self.now.0;
        !self.history.faults.iter().any(|fault| match fault {
            Fault::Kill { entries, at_ms, down_ms, .. } => {
                let from = START_MS + at_ms;
                entry < *entries && (from..from + down_ms).contains(&now)
            }
            Fault::CutOff { .. } | Fault::FreezeSidecars { .. } => false,
        })
    }
}

/// The fixed part in one bucket that sidecars keep; each entry spends the rest for itself.
#[derive(Debug)]
pub struct PooledFixedPart {
    starts: Starts,
    entries: Vec<SharedRetryBudget>,
    owners: Owners,
    quota: Quota,
    asked: u64,
}

impl PooledFixedPart {
    pub fn new(history: &History) -> Self {
        let fresh = || SharedRetryBudget::new(history.limits);
        Self {
            starts: Starts::new(history),
            entries: (0..history.entries).map(|_| fresh()).collect(),
            owners: Owners::new(
                history.entries,
                history.sidecars,
                QuotaTolerance::default(),
            ),
            quota: history.limits.shared_quota().expect("there is a fixed part"),
            asked: 0,
        }
    }

    fn budget(&mut self, entry: usize) -> &mut SharedRetryBudget {
        if self.starts.has_restarted(entry) {
            self.entries[entry] = SharedRetryBudget::new(self.starts.history.limits);
        }
        &mut self.entries[entry]
    }
}

impl Budget for PooledFixedPart {
    fn advance(&mut self, now: UnixMs) {
        self.starts.now = now;
        self.owners.advance(&self.starts.history.faults, now);
    }

    fn is_up(&self, entry: usize) -> bool {
        self.starts.is_up(entry)
    }

    fn count_request(&mut self, entry: usize, now: UnixMs) {
        self.budget(entry).count_request(now);
    }

    fn take(&mut self, entry: usize, now: UnixMs) -> Option<f64> {
        let source = self.budget(entry).take(now, RetryKind::Resume);
        let own = source.own();
        match source {
            RetrySource::Own => Some(own),
            RetrySource::Denied => None,
            RetrySource::Shared { .. } => {
                self.asked += 1;
                let charge = QuotaCharge {
                    cost: 1.0 - own,
                    key: RequestKey(self.asked),
                    max_wait_ms: 0,
                    initial: self.starts.history.limits.shared_initial(),
                    is_uniform: true,
                };
                let decision = self.owners.charge(entry, self.quota, charge, now);
                if decision == Some(QuotaDecision::Admitted) {
                    self.budget(entry).record_shared_granted();
                    return Some(own);
                }
                let budget = self.budget(entry);
                budget.cancel(own);
                if let Some(QuotaDecision::Denied { wait_ms }) = decision {
                    budget.record_shared_denied(wait_ms, now);
                }
                None
            }
        }
    }

    fn record_arrival(&mut self, entry: usize, own: f64) {
        self.budget(entry).record_arrival(own);
    }
}

/// The former way: a part of the fixed number for each entry, from its start on.
#[derive(Debug)]
pub struct EvenSplit {
    starts: Starts,
    /// The requests and the retries of each entry.
    entries: Vec<(VecDeque<u64>, VecDeque<u64>)>,
}

impl EvenSplit {
    pub fn new(history: &History) -> Self {
        let entries = vec![Default::default(); history.entries];
        Self { starts: Starts::new(history), entries }
    }

    fn of(&mut self, entry: usize) -> (&mut VecDeque<u64>, &mut VecDeque<u64>) {
        let from = self.starts.now.0 - self.starts.history.limits.window_ms;
        let (requests, retries) = &mut self.entries[entry];
        if self.starts.has_restarted(entry) {
            requests.clear();
            retries.clear();
        }
        requests.retain(|&at| at > from);
        retries.retain(|&at| at > from);
        (requests, retries)
    }
}

impl Budget for EvenSplit {
    fn advance(&mut self, now: UnixMs) {
        self.starts.now = now;
    }

    fn is_up(&self, entry: usize) -> bool {
        self.starts.is_up(entry)
    }

    fn count_request(&mut self, entry: usize, now: UnixMs) {
        self.of(entry).0.push_back(now.0);
    }

    fn take(&mut self, entry: usize, now: UnixMs) -> Option<f64> {
        let History { limits, entries, .. } = self.starts.history;
        let part = limits.slack / entries as f64;
        let (requests, retries) = self.of(entry);
        let allowed = (requests.len() as f64 * limits.ratio + part) * 0.9;
        let is_left = retries.len() as f64 + 1.0 <= allowed;
        is_left.then(|| {
            retries.push_back(now.0);
            0.0
        })
    }
}

/// A part of the fixed number for each entry, in a bucket that begins empty.
#[derive(Debug)]
pub struct EvenParts {
    starts: Starts,
    /// The own part of each entry, and the level of its bucket as of a time.
    entries: Vec<(SharedRetryBudget, f64, u64)>,
}

impl EvenParts {
    pub fn new(history: &History) -> Self {
        let fresh = || (SharedRetryBudget::new(history.limits), 0.0, START_MS);
        let entries = (0..history.entries).map(|_| fresh()).collect();
        Self { starts: Starts::new(history), entries }
    }

    fn of(&mut self, entry: usize) -> (&mut SharedRetryBudget, &mut f64) {
        let History { limits, entries, .. } = self.starts.history;
        let quota = limits.shared_quota().expect("there is a fixed part");
        let now = self.starts.now.0;
        let has_restarted = self.starts.has_restarted(entry);
        let (budget, level, refilled_at) = &mut self.entries[entry];
        if has_restarted {
            *budget = SharedRetryBudget::new(limits);
            *level = 0.0;
            *refilled_at = now;
        }
        let refill = (now - *refilled_at) as f64 / 1_000.0 * quota.rate_per_s;
        *level = (*level + refill / entries as f64).min(quota.burst / entries as f64);
        *refilled_at = now;
        (budget, level)
    }
}

impl Budget for EvenParts {
    fn advance(&mut self, now: UnixMs) {
        self.starts.now = now;
    }

    fn is_up(&self, entry: usize) -> bool {
        self.starts.is_up(entry)
    }

    fn count_request(&mut self, entry: usize, now: UnixMs) {
        self.of(entry).0.count_request(now);
    }

    fn take(&mut self, entry: usize, now: UnixMs) -> Option<f64> {
        let (budget, level) = self.of(entry);
        let source = budget.take(now, RetryKind::Resume);
        let own = source.own();
        match source {
            RetrySource::Own => Some(own),
            RetrySource::Shared { .. } if *level >= 1.0 - own => {
                *level -= 1.0 - own;
                Some(own)
            }
            RetrySource::Shared { .. } | RetrySource::Denied => {
                budget.cancel(own);
                None
            }
        }
    }

    fn record_arrival(&mut self, entry: usize, own: f64) {
        self.of(entry).0.record_arrival(own);
    }
}

/// One that knows all requests and arrivals so far, and grants what keeps the bound.
#[derive(Debug)]
pub struct Omniscient {
    starts: Starts,
    requests: VecDeque<u64>,
    granted: VecDeque<u64>,
}

impl Omniscient {
    pub fn new(history: &History) -> Self {
        let (requests, granted) = Default::default();
        Self { starts: Starts::new(history), requests, granted }
    }
}

impl Budget for Omniscient {
    fn advance(&mut self, now: UnixMs) {
        self.starts.now = now;
    }

    fn is_up(&self, entry: usize) -> bool {
        self.starts.is_up(entry)
    }

    fn count_request(&mut self, _: usize, now: UnixMs) {
        self.requests.push_back(now.0);
    }

    fn take(&mut self, _: usize, now: UnixMs) -> Option<f64> {
        let limits = self.starts.history.limits;
        let from = now.0 - limits.window_ms;
        self.granted.retain(|&at| at > from);
        self.requests.retain(|&at| at > from);
        let allowed = self.requests.len() as f64 * limits.ratio + limits.slack;
        let is_left = self.granted.len() as f64 + 1.0 <= allowed;
        is_left.then(|| {
            self.granted.push_back(now.0);
            0.0
        })
    }
}
