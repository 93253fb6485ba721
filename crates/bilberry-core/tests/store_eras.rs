//! Handling of a store that is restored from an older backup.

use bilberry_core::AnnouncedWeights;
use bilberry_core::EraChange;
use bilberry_core::EraOrder;
use bilberry_core::ExpiredEntries;
use bilberry_core::Freshness;
use bilberry_core::Incarnation;
use bilberry_core::PendingWatch;
use bilberry_core::Removal;
use bilberry_core::StoreCursor;
use bilberry_core::StorePosition;
use bilberry_core::Tombstones;
use bilberry_core::UnixMs;
use bilberry_core::WatchReply;
use bilberry_core::WatchResult;

const HEARTBEAT_MS: u64 = 1_200;

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: Some(era), revision }
}

fn question(era: u64, revision: u64) -> PendingWatch {
    PendingWatch { position: at(era, revision), arrived_at: UnixMs(0) }
}

fn brought(
    from: StorePosition,
    to: StorePosition,
    news: Option<u64>,
) -> WatchResult<u64> {
    WatchResult { from, to, changes: news, confirmed_at: UnixMs(100) }
}

/// Returns the cursor of a follower that has listed at a position.
fn cursor(era: u64, revision: u64) -> StoreCursor {
    let mut cursor = StoreCursor::default();
    cursor.update_era(Some(era), UnixMs(0));
    cursor.advance(revision);
    cursor
}

#[test]
fn a_later_era_is_later_whatever_its_revision() {
    assert!(at(2, 3) > at(1, 900));
    assert!(at(2, 3) < at(2, 4));
    // A store that starts to report eras may be in any era.
    assert!(at(0, 0) > StorePosition { era: None, revision: 900 });
}

#[test]
fn a_change_of_era_discards_the_position_whatever_the_revision() {
    // The revision from which the follower watches now denotes another change or none
    // yet, and the store does not respond with 410. Without a new list, the follower
    // would miss changes and callers of a removed route would still be served.
    for revision in [3, 10, 900] {
        let mut cursor = cursor(1, 10);
        let entered = EraChange {
            era: Some(2),
            previous: Some(at(1, 10)),
            detected_at: UnixMs(70),
        };
        assert_eq!(cursor.update_era(Some(2), UnixMs(70)), EraOrder::Entered(entered));
        assert_eq!(cursor.position(), None);
        cursor.advance(revision);
        assert_eq!(cursor.position(), Some(at(2, revision)));
    }
}

#[test]
fn a_response_from_a_past_era_is_ignored() {
    let mut cursor = cursor(2, 10);
    assert_eq!(cursor.update_era(Some(1), UnixMs(70)), EraOrder::Past);
    assert_eq!(cursor.position(), Some(at(2, 10)));
    // A response without an era is accepted. A cursor that was reset requires a new list.
    assert_eq!(cursor.update_era(None, UnixMs(80)), EraOrder::Current);
    cursor.require_list();
    assert_eq!(
        (cursor.position(), cursor.update_era(Some(2), UnixMs(90))),
        (None, EraOrder::Current)
    );
}

#[test]
fn the_first_response_discards_no_position() {
    // A starting process must not treat its first read as a restore. Otherwise it would
    // reject callers for two seconds after each start.
    let mut cursor = StoreCursor::default();
    let EraOrder::Entered(entered) = cursor.update_era(Some(7), UnixMs(5)) else {
        panic!("expected a new era");
    };
    assert_eq!((entered.era, entered.previous), (Some(7), None));
    // A store that reports no era is followed by revision only.
    let mut cursor = StoreCursor::default();
    assert_eq!(cursor.update_era(None, UnixMs(5)), EraOrder::Current);
    cursor.advance(12);
    assert_eq!(cursor.position(), Some(StorePosition { era: None, revision: 12 }));
}

#[test]
fn a_hub_reports_no_changes_across_eras() {
    // The hub reports no changes after revision 10 of a different era than the one the
    // entry has read. If the entry accepted this, a revoked key would remain valid.
    let quiet = brought(at(1, 10), at(1, 10), None);
    let news = brought(at(1, 10), at(1, 12), Some(1));
    let across = brought(at(1, 10), at(2, 12), Some(1));
    // A requester in a later era waits for a call made in that era.
    for revision in [3, 10, 12, 900] {
        assert_eq!(question(2, revision).reply_from(&quiet), None);
        assert_eq!(question(2, revision).reply_from(&news), None);
    }
    // A requester in an earlier era learns of the new era from the store.
    let later = brought(at(2, 10), at(2, 10), None);
    for revision in [3, 10, 900] {
        assert_eq!(question(1, revision).reply_from(&later), Some(WatchReply::OutOfSync));
        assert!(question(1, revision).is_behind(at(2, 3)));
    }
    // A call that began in one era and ended in the next confirms nothing.
    for requester in [question(1, 10), question(2, 12), question(2, 10)] {
        assert_eq!(requester.reply_from(&across), Some(WatchReply::OutOfSync));
    }
    let in_step = WatchReply::Unchanged { position: at(2, 10), confirmed_ms: 100 };
    assert_eq!(question(2, 10).reply_from(&later), Some(in_step));
}

#[test]
fn a_restored_store_confirms_nothing_until_lost_writes_are_repeated() {
    // A key revoked in the lost interval must not be accepted after its bound. The entry
    // has not received the revocation, and the restored store has the version known to
    // the entry, so nothing appears to be missing.
    let mut freshness = Freshness::default();
    freshness.confirm_read(UnixMs(10_000));
    freshness.record_restore(UnixMs(11_000));
    freshness.record_restored_state(false);
    freshness.confirm_read(UnixMs(11_000));
    freshness.confirm_quiet(UnixMs(11_000), 1_800, UnixMs(12_850));
    assert_eq!(freshness.confirmed_at(), UnixMs(10_000));
    // If nothing was lost, nothing is written again and the restore counts as verified
    // after some time.
    freshness.confirm_quiet(UnixMs(11_500), 1_500, UnixMs(13_010));
    assert_eq!(freshness.confirmed_at(), UnixMs(13_000));
}

#[test]
fn a_store_restored_to_an_older_version_confirms_nothing_until_a_write() {
    let mut freshness = Freshness::default();
    freshness.confirm_read(UnixMs(10_000));
    freshness.record_restore(UnixMs(11_000));
    freshness.record_restored_state(true);
    freshness.confirm_read(UnixMs(19_000));
    assert_eq!(freshness.confirmed_at(), UnixMs(10_000));
    // A write by the operators verifies the restore, however late it comes.
    freshness.record_rewrite();
    freshness.confirm_read(UnixMs(19_100));
    assert_eq!(freshness.confirmed_at(), UnixMs(19_100));
    // A second restore has to be verified again.
    freshness.record_restore(UnixMs(19_500));
    freshness.record_restored_state(false);
    freshness.confirm_read(UnixMs(20_000));
    assert_eq!(freshness.confirmed_at(), UnixMs(19_100));
}

#[test]
fn an_outage_after_a_restore_extends_the_unverified_period() {
    // The restored store is available only briefly before the next outage, so the
    // operators could not repeat the lost writes. Its next response still shows the
    // backup.
    let mut freshness = Freshness::default();
    freshness.confirm_read(UnixMs(10_000));
    freshness.record_restore(UnixMs(11_000));
    freshness.record_restored_state(false);
    freshness.record_failed_call();
    freshness.record_failed_call();
    freshness.confirm_read(UnixMs(14_000));
    freshness.confirm_read(UnixMs(15_899));
    assert_eq!(freshness.confirmed_at(), UnixMs(10_000));
    freshness.confirm_read(UnixMs(15_900));
    assert_eq!(freshness.confirmed_at(), UnixMs(15_900));
    // A single failed call does not extend the unverified period.
    freshness.record_restore(UnixMs(20_000));
    freshness.record_restored_state(false);
    freshness.record_failed_call();
    freshness.confirm_read(UnixMs(21_900));
    assert_eq!(freshness.confirmed_at(), UnixMs(21_900));
}

#[test]
fn servers_missing_after_a_restore_have_a_grace_period() {
    // The store was unavailable for less time than any entry takes to expire, so no
    // outage was detected. Without a grace period, all load would move to the servers in
    // the backup.
    let mut expired_entries = ExpiredEntries::new(HEARTBEAT_MS);
    expired_entries.record_response(UnixMs(9_000));
    expired_entries.record_restore(UnixMs(10_000));
    let until = UnixMs(11_900);
    assert_eq!(
        expired_entries.mark_missing(&"a".into(), UnixMs(10_000)),
        Removal::Deferred(until)
    );
    assert_eq!(
        expired_entries.mark_missing(&"b".into(), UnixMs(10_000)),
        Removal::Deferred(until)
    );
    assert!(expired_entries.mark_listed("a"));
    assert_eq!(expired_entries.take_expired(UnixMs(11_900)), [("b".into(), until)]);
    assert_eq!(
        expired_entries.mark_missing(&"c".into(), UnixMs(11_900)),
        Removal::Immediate
    );
    // A second restore restarts the grace period of the servers that are still missing.
    expired_entries.record_restore(UnixMs(20_000));
    expired_entries.mark_missing(&"d".into(), UnixMs(20_000));
    expired_entries.record_restore(UnixMs(21_500));
    assert_eq!(expired_entries.next_expiry(), Some(UnixMs(23_400)));
}

#[test]
fn a_deregistered_server_is_not_used_again_after_a_restore() {
    // Otherwise requests would use up their limited retries on a server that is not
    // running, until the store expires its entry.
    let born = |started_at_ms| Some(Incarnation { started_at: UnixMs(started_at_ms) });
    let mut tombstones = Tombstones::new(HEARTBEAT_MS);
    tombstones.mark_departed(&"left".into(), born(500), UnixMs(9_000));
    // Without a restore, a listed server is running.
    assert!(!tombstones.is_suspect("left", born(500), UnixMs(9_500)));
    tombstones.record_restore(UnixMs(10_000));
    assert!(tombstones.is_suspect("left", born(500), UnixMs(10_000)));
    assert!(tombstones.is_suspect("left", born(400), UnixMs(10_000)));
    assert!(tombstones.is_suspect("left", None, UnixMs(14_799)));
    assert!(!tombstones.is_suspect("other", born(500), UnixMs(10_000)));
    // The server has restarted, or its entry is being renewed.
    assert!(!tombstones.is_suspect("left", born(501), UnixMs(10_000)));
    assert!(!tombstones.is_suspect("left", born(500), UnixMs(14_800)));
    tombstones.record_registration("left");
    assert!(!tombstones.is_suspect("left", born(500), UnixMs(10_000)));
}

#[test]
fn weights_that_are_written_again_keep_their_age() {
    // If the repeated write after a restore counted as a new version, an engine without
    // these weights would be used past the bound.
    let mut named = AnnouncedWeights::default();
    named.record(4, UnixMs(8_000));
    named.record(5, UnixMs(9_000));
    // The backup has the older version; then the newer one is written again.
    assert!(!named.record(4, UnixMs(12_000)));
    assert!(!named.record(5, UnixMs(13_000)));
    assert_eq!(named.newest(), Some((5, UnixMs(9_000))));
    assert_eq!(named.outdated_since(4), Some(UnixMs(9_000)));
}
