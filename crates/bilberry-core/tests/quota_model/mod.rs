//! A model of callers, entries and sidecars in virtual time.

mod ways;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bilberry_core::Quota;
use bilberry_core::QuotaCharge;
use bilberry_core::QuotaDecision;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub use crate::quota_model::ways::Batches;
pub use crate::quota_model::ways::Central;
pub use crate::quota_model::ways::EvenSplit;
pub use crate::quota_model::ways::Owners;
pub use crate::quota_model::ways::Reports;

/// The start of each replay; fresh processes then count as complete.
pub const START_MS: u64 = 100_000;

/// The longest `Retry-After` that callers follow.
const MAX_WAIT_MS: u64 = 1_600;

/// The delay with which impatient callers return, and how often they do.
const EARLY_RETURN_MS: u64 = 30;
const EARLY_RETURNS: u32 = 4;

/// The requests of one customer, its quota and the faults.
#[derive(Debug, Clone)]
pub struct Load {
    pub entries: usize,
    pub sidecars: usize,
    pub seconds: u64,
    pub asked_per_s: f64,
    /// The costs of requests, drawn evenly.
    pub costs: Vec<f64>,
    /// The share of requests that arrive at the first entry; the rest is spread evenly.
    pub skew: f64,
    pub quota: Quota,
    /// A later quota and the time at which it takes effect.
    pub lowered: Option<(u64, Quota)>,
    pub faults: Vec<Fault>,
    /// The share of denied callers that return early and often.
    pub returns_early: f64,
    /// The share of denied callers that never return.
    pub never_returns: f64,
    pub seed: u64,
}

/// A fault of the first entries or sidecars; times are since the start.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Entries reach no sidecar.
    CutOff { entries: usize, from_ms: u64, to_ms: u64 },
    /// Processes are killed and start again.
    Kill { entries: usize, sidecars: usize, at_ms: u64, down_ms: u64 },
    /// Sidecars stand still.
    FreezeSidecars { sidecars: usize, from_ms: u64, to_ms: u64 },
}

/// A way to enforce a quota.
pub trait Way {
    /// Advances to `now`; `faults` are those of the load.
    fn advance(&mut self, _faults: &[Fault], _now: UnixMs) {}

    /// Reports whether an entry accepts callers.
    fn is_up(&self, _entry: usize) -> bool {
        true
    }

    /// Charges a request at an entry; `None` if the quota can't be checked.
    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision>;
}

/// What was admitted.
#[derive(Debug, Default)]
pub struct Usage {
    admitted: Vec<(u64, f64)>,
    /// The costs of all first attempts, and whether they were admitted.
    first_attempts: Vec<(f64, bool)>,
    /// The callers that returned as told, and how many of them were admitted.
    pub patient_returns: u32,
    pub patient_returns_admitted: u32,
}

impl Usage {
    /// Returns the sum of the costs of all admitted requests.
    pub fn admitted(&self) -> f64 {
        self.admitted.iter().map(|(_, cost)| cost).sum()
    }

    /// Returns the share of the requests of this cost that was admitted at once.
    pub fn admitted_at_once(&self, cost: f64) -> f64 {
        let asked = self.first_attempts.iter().filter(|(asked, _)| *asked == cost);
        let admitted = asked.clone().filter(|(_, is_admitted)| *is_admitted);
        admitted.count() as f64 / asked.count() as f64
    }

    /// Returns what was used in the window that comes closest to its limit, and the limit.
    pub fn worst_window(&self, load: &Load, window_ms: u64) -> (f64, f64) {
        let mut first = 0;
        let mut used = 0.0;
        let mut worst = (0.0, 1.0);
        for &(at, cost) in &self.admitted {
            used += cost;
            while self.admitted[first].0 + window_ms <= at {
                used -= self.admitted[first].1;
                first += 1;
            }
            let began = self.admitted[first].0 - START_MS;
            let quota = match load.lowered {
                Some((from, quota)) if began >= from => quota,
                _ => load.quota,
            };
            let allowed = quota.rate_per_s * window_ms as f64 / 1_000.0 + quota.burst;
            if used * worst.1 > worst.0 * allowed {
                worst = (used, allowed);
            }
        }
        worst
    }
}

/// A request on its way to an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Arrival {
    at: u64,
    number: u64,
    cost: f64,
    early_returns_left: u32,
    is_patient_return: bool,
}

impl Eq for Arrival {}

impl PartialOrd for Arrival {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Arrival {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Replays a load.
pub fn replay(mut way: impl Way, load: &Load) -> Usage {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let mut arrivals = arrivals(load, &mut rng);
    // Drawn apart from the load, so that all ways see the same arrivals.
    let mut rng = StdRng::seed_from_u64(!load.seed);
    let mut usage = Usage::default();
    while let Some(Reverse(arrival)) = arrivals.pop() {
        let now = UnixMs(arrival.at);
        way.advance(&load.faults, now);
        let Some(entry) = choose_entry(&way, load, &mut rng) else { continue };
        let quota = match load.lowered {
            Some((from, quota)) if arrival.at >= START_MS + from => {
                Quota { version: 2, ..quota }
            }
            _ => load.quota,
        };
        let charge = QuotaCharge {
            cost: arrival.cost,
            key: RequestKey(arrival.number),
            max_wait_ms: MAX_WAIT_MS,
            initial: 0.0,
            is_uniform: false,
        };
        let decision = way.charge(entry, quota, charge, now);
        if !arrival.is_patient_return && arrival.early_returns_left == EARLY_RETURNS {
            let is_admitted = decision == Some(QuotaDecision::Admitted);
            usage.first_attempts.push((arrival.cost, is_admitted));
        }
        if decision == Some(QuotaDecision::Admitted) {
            usage.admitted.push((arrival.at, arrival.cost));
        }
        if arrival.is_patient_return {
            usage.patient_returns += 1;
            if decision == Some(QuotaDecision::Admitted) {
                usage.patient_returns_admitted += 1;
            }
            continue;
        }
        let Some(QuotaDecision::Denied { wait_ms }) = decision else { continue };
        if rng.random_bool(load.never_returns) {
            continue;
        }
        let is_early = arrival.early_returns_left < EARLY_RETURNS
            || rng.random_bool(load.returns_early);
        if is_early && arrival.early_returns_left > 0 {
            arrivals.push(Reverse(Arrival {
                at: arrival.at + EARLY_RETURN_MS,
                early_returns_left: arrival.early_returns_left - 1,
                ..arrival
            }));
        } else if !is_early && wait_ms <= MAX_WAIT_MS {
            let at = arrival.at + wait_ms;
            arrivals.push(Reverse(Arrival { at, is_patient_return: true, ..arrival }));
        }
    }
    usage
}

fn arrivals(load: &Load, rng: &mut impl Rng) -> BinaryHeap<Reverse<Arrival>> {
    let mean = load.costs.iter().sum::<f64>() / load.costs.len() as f64;
    let per_ms = load.asked_per_s / mean / 1_000.0;
    let mut at = START_MS as f64;
    let mut arrivals = BinaryHeap::new();
    for number in 0.. {
        at -= (1.0 - rng.random::<f64>()).ln() / per_ms;
        if at >= (START_MS + load.seconds * 1_000) as f64 {
            break;
        }
        arrivals.push(Reverse(Arrival {
            at: at as u64,
            number,
            cost: load.costs[rng.random_range(0..load.costs.len())],
            early_returns_left: EARLY_RETURNS,
            is_patient_return: false,
        }));
    }
    arrivals
}

/// Chooses an entry that is up, as the load balancer does.
fn choose_entry(way: &impl Way, load: &Load, rng: &mut impl Rng) -> Option<usize> {
    let up: Vec<usize> = (0..load.entries).filter(|&entry| way.is_up(entry)).collect();
    let first = *up.first()?;
    match rng.random_bool(load.skew) {
        true => Some(first),
        false => Some(up[rng.random_range(0..up.len())]),
    }
}
