//! Replays of requests to a server that limits what it accepts from all entries together,
//! in virtual time, under faults.

#[allow(dead_code, unused_imports)]
mod quota_model;

use bilberry_core::LimitGate;
use bilberry_core::LimitReport;
use bilberry_core::Quota;
use bilberry_core::QuotaCharge;
use bilberry_core::QuotaDecision;
use bilberry_core::QuotaTolerance;
use bilberry_core::ReportedLimit;
use bilberry_core::RequestLimit;
use bilberry_core::UnixMs;
use proptest::prelude::*;
use quota_model::Central;
use quota_model::EvenSplit;
use quota_model::Fault;
use quota_model::Load;
use quota_model::Owners;
use quota_model::Reports;
use quota_model::Usage;
use quota_model::Way;
use quota_model::replay;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The length of the sliding window of the bound.
const WINDOW_MS: u64 = 4_000;

/// The bound on the requests of a window, as a factor of the limit and an addition.
const BOUND_FACTOR: f64 = 1.5;
const BOUND_SLACK: f64 = 5.0;

/// The share of the limit that is used while there is demand.
const MIN_USE: f64 = 0.95;

/// The size of a charge and its reply with their headers, and what all control may take.
const CHARGE_BYTES: f64 = 204.0;
const CONTROL_BYTES_PER_S: f64 = 11_000.0;

fn limit(per_s: f64) -> RequestLimit {
    ReportedLimit::from_rate(per_s).limit().expect("the rate is a limit")
}

fn load(entries: usize, asked_per_s: f64, limit_per_s: f64, seed: u64) -> Load {
    Load {
        entries,
        sidecars: 18,
        seconds: 60,
        asked_per_s,
        costs: vec![1.0],
        skew: 0.3,
        quota: limit(limit_per_s).quota(UnixMs(1)),
        lowered: None,
        faults: Vec::new(),
        returns_early: 0.0,
        never_returns: 1.0,
        seed,
    }
}

/// The product's way: a gate at each entry, and two owners that all entries ask.
struct GatedOwners {
    owners: Owners,
    gates: Vec<LimitGate>,
    rng: StdRng,
    /// The number of charges that owners were asked for.
    asked: u32,
}

impl GatedOwners {
    fn new(load: &Load) -> Self {
        Self {
            owners: Owners::new(load.entries, load.sidecars, QuotaTolerance::default()),
            gates: vec![LimitGate::default(); load.entries],
            rng: StdRng::seed_from_u64(load.seed),
            asked: 0,
        }
    }
}

impl Way for &mut GatedOwners {
    fn advance(&mut self, faults: &[Fault], now: UnixMs) {
        self.owners.advance(faults, now);
    }

    fn is_up(&self, entry: usize) -> bool {
        self.owners.is_up(entry)
    }

    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        let entries = self.gates.len();
        let gate = &mut self.gates[entry];
        let limit = ReportedLimit::from_rate(quota.rate_per_s).limit();
        gate.record(LimitReport { limit, at: UnixMs(quota.version) });
        if !gate.is_open(now) {
            return None;
        }
        self.asked += 1;
        let charge = QuotaCharge { max_wait_ms: 0, ..charge };
        let decision = self.owners.charge(entry, quota, charge, now);
        let gate = &mut self.gates[entry];
        match decision {
            Some(QuotaDecision::Admitted) => gate.record_admitted(),
            Some(QuotaDecision::Denied { wait_ms }) => {
                gate.record_denied(wait_ms, entries, self.rng.random(), now);
            }
            None => gate.record_denied(500, entries, self.rng.random(), now),
        }
        decision
    }
}

/// The whole limit at each entry, as if no other sent requests.
struct Alone(Vec<EvenSplit>);

impl Way for Alone {
    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        self.0[entry].charge(0, quota, charge, now)
    }
}

/// An even part of the rate for each entry, and at least one whole request as burst.
struct EvenParts {
    entries: usize,
    parts: EvenSplit,
}

impl EvenParts {
    fn new(entries: usize) -> Self {
        Self { entries, parts: EvenSplit::new(entries) }
    }
}

impl Way for EvenParts {
    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        let burst = quota.burst.max(self.entries as f64);
        self.parts.charge(entry, Quota { burst, ..quota }, charge, now)
    }
}

/// Returns the busiest window as a fraction of the bound, and the used share of the limit
/// that there was demand for.
fn figures(usage: &Usage, load: &Load) -> (f64, f64) {
    let bound = BOUND_FACTOR * load.quota.rate_per_s * WINDOW_MS as f64 / 1_000.0;
    let (used, _) = usage.worst_window(load, WINDOW_MS);
    let wanted = load.quota.rate_per_s.min(load.asked_per_s) * load.seconds as f64;
    (used / (bound + BOUND_SLACK), usage.admitted() / wanted)
}

fn replay_owners(load: &Load) -> (f64, f64) {
    figures(&replay(&mut GatedOwners::new(load), load), load)
}

/// The loads of the comparison: entries, requests per second and the limit.
const LOADS: [(usize, f64, f64); 7] = [
    (5, 5.0, 1.6),
    (5, 5.0, 2.5),
    (5, 50.0, 1.6),
    (22, 50.0, 1.6),
    (22, 200.0, 50.0),
    (370, 50.0, 1.6),
    (370, 600.0, 200.0),
];

#[test]
fn a_limit_holds_over_all_entries_and_is_used() {
    for (entries, asked, limit) in LOADS {
        let seeds = if entries > 100 { 1 } else { 4 };
        for seed in 0..seeds {
            let load = load(entries, asked, limit, seed);
            let (worst, used) = replay_owners(&load);
            assert!(worst <= 1.0, "{entries} entries, {asked}/s of {limit}/s: {worst}");
            assert!(used >= MIN_USE, "{entries} entries, {asked}/s of {limit}/s: {used}");
        }
    }
}

#[test]
fn many_entries_ask_little_more_often_than_a_limit_admits() {
    // Guards against sidecars that are kept busy by hundreds of entries that are denied.
    let load = Load { seconds: 120, ..load(370, 600.0, 1.6, 0) };
    let mut way = GatedOwners::new(&load);
    replay(&mut way, &load);
    let bytes_per_s = f64::from(way.asked) / load.seconds as f64 * CHARGE_BYTES;
    assert!(bytes_per_s <= CONTROL_BYTES_PER_S, "{bytes_per_s} bytes per second");
}

#[test]
fn a_lowered_limit_holds() {
    for seed in 0..4 {
        let lowered = Some((20_000, limit(1.6).quota(UnixMs(2))));
        let load = Load { lowered, ..load(5, 50.0, 20.0, seed) };
        let usage = replay(&mut GatedOwners::new(&load), &load);
        let (used, allowed) = usage.worst_window(&load, WINDOW_MS);
        assert!(used <= allowed * BOUND_FACTOR + BOUND_SLACK, "{used} of {allowed}");
    }
}

#[test]
#[ignore = "prints figures for the design note and asserts nothing"]
fn print_the_ways() {
    for (entries, asked, limit) in LOADS {
        let load = load(entries, asked, limit, 1);
        let each = || (0..entries).map(|_| EvenSplit::new(1)).collect();
        let ways = [
            ("alone", figures(&replay(Alone(each()), &load), &load)),
            ("even parts", figures(&replay(EvenParts::new(entries), &load), &load)),
            ("reports 0.1 s", figures(&replay(Reports::new(entries, 100), &load), &load)),
            ("reports 0.5 s", figures(&replay(Reports::new(entries, 500), &load), &load)),
            ("owners", replay_owners(&load)),
            ("one bucket", figures(&replay(Central::default(), &load), &load)),
        ];
        println!("{entries} entries, {asked}/s of {limit}/s: {ways:.2?}");
    }
    let load = load(370, 600.0, 1.6, 0);
    let mut way = GatedOwners::new(&load);
    replay(&mut way, &load);
    println!("charges asked for per second: {}", way.asked / load.seconds as u32);
}

fn fault() -> impl Strategy<Value = Fault> {
    let at = 0u64..30_000;
    let cut = (1usize..5, at.clone(), 500u64..12_000).prop_map(|(entries, from, len)| {
        Fault::CutOff { entries, from_ms: from, to_ms: from + len }
    });
    let kill = (0usize..6, 0usize..7, at.clone(), 100u64..3_000).prop_map(
        |(entries, sidecars, at_ms, down_ms)| Fault::Kill {
            entries,
            sidecars,
            at_ms,
            down_ms,
        },
    );
    let freeze = (1usize..7, at, 300u64..8_000).prop_map(|(sidecars, from, len)| {
        Fault::FreezeSidecars { sidecars, from_ms: from, to_ms: from + len }
    });
    prop_oneof![cut, kill, freeze]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn no_fault_exceeds_the_bound(
        faults in prop::collection::vec(fault(), 0..5),
        limit_per_s in 0.5f64..40.0,
        asked_factor in 0.5f64..20.0,
        seed in any::<u64>(),
    ) {
        let asked = limit_per_s * asked_factor;
        let load = Load { faults, seconds: 40, sidecars: 6, ..load(5, asked, limit_per_s, seed) };
        let (worst, _) = replay_owners(&load);
        prop_assert!(worst <= 1.0, "{worst} of the bound");
    }
}
