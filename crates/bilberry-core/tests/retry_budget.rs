//! The retry budget that entries share, in virtual time and under faults.

#[allow(dead_code, unused_imports, reason = "only owners are replayed here")]
mod quota_model;
mod retry_model;

use bilberry_core::BudgetLimits;
use bilberry_core::Name;
use bilberry_core::QuotaCharge;
use bilberry_core::QuotaDecision;
use bilberry_core::QuotaLedger;
use bilberry_core::RequestKey;
use bilberry_core::RetryKind;
use bilberry_core::RetrySource;
use bilberry_core::SharedRetryBudget;
use bilberry_core::UnixMs;
use proptest::prelude::*;
use quota_model::Fault;
use retry_model::EvenParts;
use retry_model::EvenSplit;
use retry_model::History;
use retry_model::Omniscient;
use retry_model::PooledFixedPart;
use retry_model::Standstill;
use retry_model::replay;

const LIMITS: BudgetLimits = BudgetLimits { ratio: 0.2, slack: 56.0, window_ms: 10_000 };

fn history(seed: u64) -> History {
    History {
        entries: 5,
        sidecars: 9,
        seconds: 30,
        requests_per_s: 60.0,
        skew: 0.0,
        retries_per_request: 3,
        max_wait_ms: 0,
        faults: Vec::new(),
        standstills: Vec::new(),
        limits: LIMITS,
        seed,
    }
}

fn kill(entries: usize, sidecars: usize, at_ms: u64) -> Fault {
    Fault::Kill { entries, sidecars, at_ms, down_ms: 500 }
}

#[test]
fn own_retries_count_until_a_window_after_they_have_arrived() {
    let limits = BudgetLimits { slack: 0.0, ..LIMITS };
    let mut budget = SharedRetryBudget::new(limits);
    let at = |ms: u64| UnixMs(1_000_000 + ms);
    (0..20).for_each(|_| budget.count_request(at(0)));
    let take =
        |budget: &mut SharedRetryBudget, ms| budget.take(at(ms), RetryKind::Resume);
    for _ in 0..3 {
        assert_eq!(take(&mut budget, 10), RetrySource::Own);
    }
    assert_eq!(take(&mut budget, 10), RetrySource::Denied);
    budget.cancel(1.0);
    assert_eq!(take(&mut budget, 20), RetrySource::Own);
    // They arrive only after later requests have paid for others.
    (0..20).for_each(|_| budget.count_request(at(11_000)));
    assert!(!budget.has_left(at(11_000), RetryKind::Resume));
    (0..3).for_each(|_| budget.record_arrival(1.0));
    assert!(!budget.has_left(at(12_000), RetryKind::Resume));
    (0..20).for_each(|_| budget.count_request(at(15_000)));
    assert!(!budget.has_left(at(21_900), RetryKind::Resume));
    assert!(budget.has_left(at(22_600), RetryKind::Resume));
}

#[test]
fn an_entry_pays_with_its_own_part_first() {
    let mut budget = SharedRetryBudget::new(LIMITS);
    let now = UnixMs(1_000_000);
    assert_eq!(budget.take(now, RetryKind::Resume), RetrySource::Shared { own: 0.0 });
    (0..3).for_each(|_| budget.count_request(now));
    let RetrySource::Shared { own } = budget.take(now, RetryKind::Resume) else {
        panic!("three requests pay for no whole retry");
    };
    assert!((own - 0.54).abs() < 1e-9, "{own}");
    budget.cancel(own);
    budget.record_shared_denied(100, now);
    assert_eq!(budget.take(now, RetryKind::Resume), RetrySource::Denied);
    assert!(budget.has_left(now.plus_ms(100), RetryKind::Resume));
}

/// The budget of the only entry, with the bucket at the only owner, which is full at first.
struct OnlyEntry {
    limits: BudgetLimits,
    budget: SharedRetryBudget,
    ledger: QuotaLedger,
}

impl OnlyEntry {
    fn new(limits: BudgetLimits) -> Self {
        let budget = SharedRetryBudget::new(limits);
        Self { limits, budget, ledger: QuotaLedger::new(UnixMs(0)) }
    }

    /// Spends a retry, which arrives at once.
    fn spend(&mut self, now: UnixMs, kind: RetryKind) -> bool {
        let source = self.budget.take(now, kind);
        let own = source.own();
        let is_granted = match source {
            RetrySource::Own => true,
            RetrySource::Denied => false,
            RetrySource::Shared { .. } => self.charge(now, 1.0 - own),
        };
        match is_granted {
            true => self.budget.record_arrival(own),
            false => self.budget.cancel(own),
        }
        is_granted
    }

    fn charge(&mut self, now: UnixMs, cost: f64) -> bool {
        let quota = self.limits.shared_quota().expect("there is a fixed part");
        let charge = QuotaCharge {
            cost,
            key: RequestKey(now.0),
            max_wait_ms: 0,
            initial: self.limits.shared_initial(),
            is_uniform: true,
        };
        let bucket = Name::from("retries");
        match self.ledger.charge(&bucket, quota, charge, 1.0, false, now).decision {
            QuotaDecision::Admitted => {
                self.budget.record_shared_granted();
                true
            }
            QuotaDecision::Denied { wait_ms } => {
                self.budget.record_shared_denied(wait_ms, now);
                false
            }
        }
    }
}

#[test]
fn streams_resume_after_a_third_crash_while_engines_are_full() {
    // One entry gets ten requests per second. Engines crash at 4, 7.5 and 11 s, each with
    // ten streams of this entry. After the first crash, every request needs a second
    // attempt because engines are full. Callers affected by the later crashes lost their
    // streams, because requests that had not started had used up the retries.
    let mut entry = OnlyEntry::new(BudgetLimits { slack: 20.0, ..LIMITS });
    let mut resumed = 0;
    for at_ms in (0..11_100).step_by(100) {
        let now = UnixMs(1_000_000 + at_ms);
        entry.ledger.tick(1.0, now);
        entry.budget.count_request(now);
        if matches!(at_ms, 4_000 | 7_500 | 11_000) {
            resumed += (0..10).filter(|_| entry.spend(now, RetryKind::Resume)).count();
        }
        if at_ms >= 4_000 {
            entry.spend(now, RetryKind::Resend);
        }
    }
    assert!(resumed >= 18, "{resumed} of 30 streams resumed");
}

/// Guards against a new fixed part with each start of an entry.
#[test]
fn kills_in_series_add_no_retries() {
    let faults: Vec<_> = (0..16).map(|at| kill(3, 0, 2_000 + at * 1_500)).collect();
    for seed in 0..8 {
        let history = History { faults: faults.clone(), ..history(seed) };
        let pooled = replay(PooledFixedPart::new(&history), &history);
        assert!(pooled.worst() <= 1.0, "{pooled:?}");
        let split = replay(EvenSplit::new(&history), &history);
        assert!(split.worst() > pooled.worst());
    }
}

/// Guards against denying what the budget has where most callers meet one entry.
#[test]
fn one_entry_can_use_the_whole_fixed_part() {
    for seed in 0..8 {
        let history = History { skew: 1.0, requests_per_s: 5.0, ..history(seed) };
        let pooled = replay(PooledFixedPart::new(&history), &history);
        let split = replay(EvenSplit::new(&history), &history);
        assert!(pooled.granted > split.granted * 3 / 2, "{pooled:?} {split:?}");
    }
}

/// Guards against denying what the bound allows in the seconds after a loss of all.
#[test]
fn retries_are_granted_after_a_loss_of_all() {
    for (entries, sidecars, requests_per_s) in [(5, 9, 60.0), (68, 78, 300.0)] {
        for seed in 0..4 {
            let faults = vec![kill(entries, sidecars, 12_000)];
            let history =
                History { entries, sidecars, requests_per_s, faults, ..history(seed) };
            let pooled = replay(PooledFixedPart::new(&history), &history);
            let most = replay(Omniscient::new(&history), &history);
            for times in [12_500..14_500, 12_500..22_500] {
                let granted = pooled.granted_within(times.clone());
                let allowed = most.granted_within(times.clone());
                assert!(granted * 2 >= allowed, "{granted} of {allowed} in {times:?}");
            }
        }
    }
}

/// Guards against what buckets hold at first, where all processes are lost again and again.
#[test]
fn losses_of_all_in_series_add_no_retries() {
    for gap_ms in [700, 1_000, 1_500, 2_000, 3_000, 5_000] {
        let times = (2_000..28_000).step_by(gap_ms);
        let faults = times.map(|at_ms| Fault::Kill {
            entries: 5,
            sidecars: 9,
            at_ms,
            down_ms: 300,
        });
        let history = History { faults: faults.collect(), ..history(gap_ms as u64) };
        let pooled = replay(PooledFixedPart::new(&history), &history);
        assert!(pooled.worst() <= 1.0, "every {gap_ms} ms: {pooled:?}");
    }
}

/// Guards against what each of many entries takes at its start, before it meets owners.
#[test]
fn a_loss_of_all_in_a_large_fleet_adds_no_retries() {
    for seed in 0..4 {
        let faults = [4_000, 10_000, 16_000].map(|at_ms| kill(68, 78, at_ms)).to_vec();
        let history = History {
            entries: 68,
            sidecars: 78,
            requests_per_s: 300.0,
            faults,
            ..history(seed)
        };
        let pooled = replay(PooledFixedPart::new(&history), &history);
        assert!(pooled.worst() <= 1.0, "{pooled:?}");
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    let time = 500..28_000_u64;
    prop_oneof![
        (0..=5_usize, 0..=9_usize, time.clone(), 100..3_000_u64).prop_map(
            |(entries, sidecars, at_ms, down_ms)| Fault::Kill {
                entries,
                sidecars,
                at_ms,
                down_ms
            }
        ),
        (0..=5_usize, time.clone(), 100..9_000_u64).prop_map(
            |(entries, from_ms, for_ms)| Fault::CutOff {
                entries,
                from_ms,
                to_ms: from_ms + for_ms
            }
        ),
        (0..=9_usize, time, 100..6_000_u64).prop_map(|(sidecars, from_ms, for_ms)| {
            Fault::FreezeSidecars { sidecars, from_ms, to_ms: from_ms + for_ms }
        }),
    ]
}

fn standstill() -> impl Strategy<Value = Standstill> {
    (0..5_usize, 500..28_000_u64, 100..6_000_u64).prop_map(|(entry, from_ms, for_ms)| {
        Standstill { entry, from_ms, to_ms: from_ms + for_ms }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// In no window more retries arrive than the bound, whatever starts, is killed, stands
    /// still, is cut off or waits.
    #[test]
    fn no_window_exceeds_the_bound(
        seed in any::<u64>(),
        requests_per_s in 1.0..200.0_f64,
        skew in 0.0..1.0_f64,
        max_wait_ms in 0..4_000_u64,
        faults in proptest::collection::vec(fault(), 0..8),
        standstills in proptest::collection::vec(standstill(), 0..4),
    ) {
        let history = History {
            requests_per_s,
            skew,
            max_wait_ms,
            faults,
            standstills,
            ..history(seed)
        };
        let pooled = replay(PooledFixedPart::new(&history), &history);
        prop_assert!(pooled.worst() <= 1.0, "{pooled:?}");
    }
}

#[test]
#[ignore = "prints the table of docs/design/retry-budget.md"]
fn print_the_ways() {
    let series: Vec<_> = (0..16).map(|at| kill(3, 0, 2_000 + at * 1_500)).collect();
    let all: Vec<_> = (0..4).map(|at| kill(5, 9, 4_000 + at * 6_000)).collect();
    let quiet = || history(1);
    let grown =
        || History { entries: 68, sidecars: 78, requests_per_s: 300.0, ..quiet() };
    let cases = [
        ("5 entries, no fault", quiet()),
        ("3 of 5 killed every 1.5 s", History { faults: series.clone(), ..quiet() }),
        (
            "the same, waits of up to 4 s",
            History { faults: series, max_wait_ms: 4_000, ..quiet() },
        ),
        ("a loss of all every 6 s", History { faults: all.clone(), ..quiet() }),
        ("one loss of all", History { faults: vec![kill(5, 9, 12_000)], ..quiet() }),
        (
            "all callers at one entry, 5 requests/s",
            History { skew: 1.0, requests_per_s: 5.0, ..quiet() },
        ),
        ("68 entries, no fault", grown()),
        (
            "68 entries, a loss of all every 6 s",
            History {
                faults: vec![
                    kill(68, 78, 4_000),
                    kill(68, 78, 10_000),
                    kill(68, 78, 16_000),
                ],
                ..grown()
            },
        ),
        (
            "370 entries, no fault",
            History {
                entries: 370,
                sidecars: 600,
                requests_per_s: 4_500.0,
                seconds: 14,
                ..quiet()
            },
        ),
    ];
    for (name, history) in cases {
        let split = replay(EvenSplit::new(&history), &history);
        let parts = replay(EvenParts::new(&history), &history);
        let pooled = replay(PooledFixedPart::new(&history), &history);
        let omniscient = replay(Omniscient::new(&history), &history);
        let row = [split, parts, pooled, omniscient]
            .map(|usage| format!("{:.2} / {}", usage.worst(), usage.granted));
        println!("| {name} | {} |", row.join(" | "));
    }
}
