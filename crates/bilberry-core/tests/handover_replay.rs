//! Three ways to leave a suspected run, replayed on the same loads: streams on engines that
//! pause, that hang, or that are full, with a shared retry budget.

mod handover_model;

use handover_model::Load;
use handover_model::Outcome;
use handover_model::Way;
use handover_model::replay;

/// The longest time from the last progress of a hung engine to the next event.
const LEAVE_BOUND_MS: u64 = 2_000;

fn loads() -> Vec<Load> {
    let base = Load {
        streams: 400,
        engines: 20,
        pausing_engines: 0,
        hanging_engines: 0,
        full_percent: 0,
        crash_percent: 0,
        retries: 200,
        seed: 0,
    };
    let mut loads = Vec::new();
    for seed in 0..8 {
        loads.extend([
            Load { pausing_engines: 10, seed, ..base },
            Load { pausing_engines: 20, retries: 20, seed, ..base },
            Load { pausing_engines: 10, full_percent: 60, seed, ..base },
            Load { pausing_engines: 5, hanging_engines: 5, seed, ..base },
            Load { pausing_engines: 10, crash_percent: 30, seed, ..base },
        ]);
    }
    loads
}

fn total(way: Way) -> Outcome {
    let outcomes = loads().into_iter().map(|load| replay(way, load));
    let total = outcomes.fold(Outcome::default(), Outcome::add);
    println!("{way:?}: {total:?}");
    total
}

#[test]
fn keeping_a_run_until_its_successor_begins_ends_no_answer_early() {
    let left = total(Way::LeaveFirst);
    let reserved = total(Way::ReserveFirst);
    let kept = total(Way::KeepUntilBegun);
    assert_eq!(kept.needless_ends, 0);
    assert!(left.needless_ends > reserved.needless_ends, "{left:?} {reserved:?}");
    assert!(reserved.needless_ends > 0, "{reserved:?}");
    assert!(kept.latest_move_ms <= LEAVE_BOUND_MS, "{kept:?}");
}
