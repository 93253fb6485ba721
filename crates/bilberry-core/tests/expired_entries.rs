//! Continued use of servers that are missing from the list after an outage.

use bilberry_core::ExpiredEntries;
use bilberry_core::Name;
use bilberry_core::Removal;
use bilberry_core::UnixMs;

const HEARTBEAT_MS: u64 = 1_200;

/// Returns the state after an outage from 10,000 to `recovered_ms`.
fn after_outage(recovered_ms: u64) -> ExpiredEntries {
    let mut expired_entries = ExpiredEntries::new(HEARTBEAT_MS);
    expired_entries.record_response(UnixMs(9_000));
    expired_entries.record_failed_call(UnixMs(10_000));
    expired_entries.record_failed_call(UnixMs(11_000));
    expired_entries.record_response(UnixMs(recovered_ms));
    expired_entries
}

#[test]
fn a_server_missing_after_an_outage_has_a_grace_period() {
    // If all servers whose entries expired in the outage were removed at once, the load
    // would move to the few servers that re-registered first.
    let mut expired_entries = after_outage(20_000);
    let until = UnixMs(21_900);
    assert_eq!(
        expired_entries.mark_missing(&"a".into(), UnixMs(20_010)),
        Removal::Deferred(until)
    );
    assert_eq!(
        expired_entries.mark_missing(&"b".into(), UnixMs(21_500)),
        Removal::Deferred(until)
    );
    assert_eq!(expired_entries.next_expiry(), Some(until));
    assert!(expired_entries.mark_listed("a"));
    assert!(!expired_entries.mark_listed("a"));
    assert_eq!(expired_entries.take_expired(UnixMs(21_899)), []);
    assert_eq!(expired_entries.take_expired(UnixMs(21_900)), [("b".into(), until)]);
    assert_eq!(
        (expired_entries.missing_count(), expired_entries.next_expiry()),
        (0, None)
    );
    assert_eq!(
        expired_entries.mark_missing(&"c".into(), UnixMs(21_900)),
        Removal::Immediate
    );
}

#[test]
fn listing_again_does_not_extend_the_grace_period() {
    // The list is read again every two seconds and lacks the server each time. If each
    // read restarted the grace period, a server that shut down would be used
    // indefinitely.
    let mut expired_entries = after_outage(20_000);
    let left = Name::from("left");
    let first = expired_entries.mark_missing(&left, UnixMs(20_010));
    assert_eq!(expired_entries.mark_missing(&left, UnixMs(21_800)), first);
    assert_eq!(expired_entries.take_expired(UnixMs(21_950)).len(), 1);
}

#[test]
fn a_single_failed_call_does_not_count_as_an_outage() {
    // A server that shuts down while one watch is interrupted must be removed at once. No
    // entry expires within two seconds, so a missing server has deregistered.
    let mut expired_entries = after_outage(10_000 + 2 * HEARTBEAT_MS - 1);
    assert_eq!(
        expired_entries.mark_missing(&"left".into(), UnixMs(12_500)),
        Removal::Immediate
    );
    // A stalled watch takes longer to time out, but still counts as one call.
    let mut expired_entries = ExpiredEntries::new(HEARTBEAT_MS);
    for round in 0..5 {
        expired_entries.record_failed_call(UnixMs(10_000 + round * 2_700));
        expired_entries.record_response(UnixMs(12_620 + round * 2_700));
    }
    assert_eq!(
        expired_entries.mark_missing(&"left".into(), UnixMs(23_430)),
        Removal::Immediate
    );
}

#[test]
fn only_another_outage_restarts_the_grace_period() {
    // The store recovers for a second, too short for servers to renew their entries, and
    // fails again. The grace period starts at the last recovery.
    let mut expired_entries = after_outage(20_000);
    expired_entries.mark_missing(&"a".into(), UnixMs(20_010));
    expired_entries.record_failed_call(UnixMs(21_000));
    expired_entries.record_response(UnixMs(21_100));
    assert_eq!(expired_entries.next_expiry(), Some(UnixMs(21_900)));
    expired_entries.record_failed_call(UnixMs(21_500));
    expired_entries.record_failed_call(UnixMs(22_000));
    expired_entries.record_response(UnixMs(30_000));
    assert_eq!(expired_entries.next_expiry(), Some(UnixMs(31_900)));
}
