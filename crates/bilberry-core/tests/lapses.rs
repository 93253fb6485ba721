//! Which servers are still used that the list no longer names.

use bilberry_core::Lapses;
use bilberry_core::Name;
use bilberry_core::Removal;
use bilberry_core::UnixMs;

const HEARTBEAT_MS: u64 = 1_200;

/// Lapses after an outage from 10,000 to `back_ms`.
fn after_outage(back_ms: u64) -> Lapses {
    let mut lapses = Lapses::new(HEARTBEAT_MS);
    lapses.note_answer(UnixMs(9_000));
    lapses.note_lost(UnixMs(10_000));
    lapses.note_lost(UnixMs(11_000));
    lapses.note_answer(UnixMs(back_ms));
    lapses
}

#[test]
fn a_server_missing_after_an_outage_has_time_to_come_back() {
    // Callers would be crowded onto the few servers that renewed their entries first,
    // if all whose entries lapsed in the outage were given up at once.
    let mut lapses = after_outage(20_000);
    let until = UnixMs(21_900);
    assert_eq!(lapses.remove(&"a".into(), UnixMs(20_010)), Removal::At(until));
    assert_eq!(lapses.remove(&"b".into(), UnixMs(21_500)), Removal::At(until));
    assert_eq!(lapses.next_due(), Some(until));
    assert!(lapses.list("a"));
    assert!(!lapses.list("a"));
    assert_eq!(lapses.take_overdue(UnixMs(21_899)), []);
    assert_eq!(lapses.take_overdue(UnixMs(21_900)), [("b".into(), until)]);
    assert_eq!((lapses.missing(), lapses.next_due()), (0, None));
    assert_eq!(lapses.remove(&"c".into(), UnixMs(21_900)), Removal::Now);
}

#[test]
fn looking_again_gives_a_missing_server_no_more_time() {
    // A server that left would be used for as long as the list is read anew every
    // two seconds: each reading finds it missing once more.
    let mut lapses = after_outage(20_000);
    let left = Name::from("left");
    let first = lapses.remove(&left, UnixMs(20_010));
    assert_eq!(lapses.remove(&left, UnixMs(21_800)), first);
    assert_eq!(lapses.take_overdue(UnixMs(21_950)).len(), 1);
}

#[test]
fn a_call_that_fails_once_makes_no_entry_lapse() {
    // A server that leaves beside one cut watch gets no more work at once: nothing
    // lapses in two seconds, so what is missing has left.
    let mut lapses = after_outage(10_000 + 2 * HEARTBEAT_MS - 1);
    assert_eq!(lapses.remove(&"left".into(), UnixMs(12_500)), Removal::Now);
    // A watch that fell silent takes longer to be given up, and is one call all the same.
    let mut lapses = Lapses::new(HEARTBEAT_MS);
    for round in 0..5 {
        lapses.note_lost(UnixMs(10_000 + round * 2_700));
        lapses.note_answer(UnixMs(12_620 + round * 2_700));
    }
    assert_eq!(lapses.remove(&"left".into(), UnixMs(23_430)), Removal::Now);
}

#[test]
fn another_outage_gives_the_time_anew_and_a_failed_call_does_not() {
    // The store comes back for a second, too short for servers to renew their
    // entries, and goes away again. They have their time from its last return on.
    let mut lapses = after_outage(20_000);
    lapses.remove(&"a".into(), UnixMs(20_010));
    lapses.note_lost(UnixMs(21_000));
    lapses.note_answer(UnixMs(21_100));
    assert_eq!(lapses.next_due(), Some(UnixMs(21_900)));
    lapses.note_lost(UnixMs(21_500));
    lapses.note_lost(UnixMs(22_000));
    lapses.note_answer(UnixMs(30_000));
    assert_eq!(lapses.next_due(), Some(UnixMs(31_900)));
}
