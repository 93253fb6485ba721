//! Tests of the record of shared prompt parts being prefilled.

use bilberry_core::PrefillInProgress;
use bilberry_core::PrefillsInProgress;
use bilberry_core::UnixMs;

fn prefill(upstream: &str, expected_end: u64) -> PrefillInProgress {
    PrefillInProgress { upstream: upstream.into(), expected_end: UnixMs(expected_end) }
}

#[test]
fn requests_wait_for_the_first_prefill_of_a_part() {
    // Two entries send requests for the same uncached part at the same time, and each
    // informs the others. If the later message replaced the earlier one, a third request
    // would wait for the prefill that ends last.
    let mut prefills = PrefillsInProgress::default();
    prefills.begin(7, prefill("engine-0", 100), UnixMs(0));
    prefills.begin(7, prefill("engine-1", 160), UnixMs(5));
    assert_eq!(prefills.current(7, UnixMs(50)), Some(&prefill("engine-0", 100)));
    assert_eq!(prefills.current(8, UnixMs(50)), None);
    prefills.end(7);
    assert_eq!(prefills.current(7, UnixMs(50)), None);
}

#[test]
fn requests_do_not_wait_for_an_overdue_prefill() {
    // The engine that prefills a part crashes, so no end of the prefill is reported.
    let mut prefills = PrefillsInProgress::default();
    prefills.begin(7, prefill("engine-0", 100), UnixMs(0));
    assert!(prefills.current(7, UnixMs(99)).is_some());
    assert_eq!(prefills.current(7, UnixMs(100)), None);
    // The next request prefills the part, and later ones wait for it.
    prefills.begin(7, prefill("engine-1", 220), UnixMs(120));
    assert_eq!(prefills.current(7, UnixMs(150)), Some(&prefill("engine-1", 220)));
}

#[test]
fn requests_do_not_wait_behind_a_long_backlog() {
    // The engine that prefills a part has a long backlog. Waiting for it would take the
    // next request longer than a prefill by its own engine.
    let mut prefills = PrefillsInProgress::default();
    prefills.begin(7, prefill("engine-0", 500), UnixMs(0));
    assert_eq!(prefills.prefill_to_await(7, 60, UnixMs(0)), None);
    assert!(prefills.prefill_to_await(7, 60, UnixMs(400)).is_some());
}
