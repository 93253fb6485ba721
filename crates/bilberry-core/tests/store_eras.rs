//! What is believed of a store that comes back from an older copy.

use bilberry_core::Brought;
use bilberry_core::Departures;
use bilberry_core::EraEntered;
use bilberry_core::EraTold;
use bilberry_core::Freshness;
use bilberry_core::Incarnation;
use bilberry_core::Lapses;
use bilberry_core::NamedWeights;
use bilberry_core::Removal;
use bilberry_core::StoreCursor;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WatchQuestion;
use bilberry_core::WatchReply;

const HEARTBEAT_MS: u64 = 1_200;

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: Some(era), revision }
}

fn question(era: u64, revision: u64) -> WatchQuestion {
    WatchQuestion { position: at(era, revision), arrived_at: UnixMs(0) }
}

fn brought(from: StorePosition, to: StorePosition, news: Option<u64>) -> Brought<u64> {
    Brought { from, to, news, known_at: UnixMs(100) }
}

/// A follower that has listed at a position.
fn cursor(era: u64, revision: u64) -> StoreCursor {
    let mut cursor = StoreCursor::default();
    cursor.hear(Some(era), UnixMs(0));
    cursor.advance(revision);
    cursor
}

#[test]
fn a_later_era_is_later_whatever_its_revision() {
    assert!(at(2, 3) > at(1, 900));
    assert!(at(2, 3) < at(2, 4));
    // A store that begins to tell its era may be at any of them.
    assert!(at(0, 0) > StorePosition { era: None, revision: 900 });
}

#[test]
fn a_change_of_era_forgets_the_position_below_equal_and_above() {
    // Callers of a removed route would be served on. The number that the follower waits
    // from stands for another change now, or for none yet: there is no 410 to tell it.
    for revision in [3, 10, 900] {
        let mut cursor = cursor(1, 10);
        let entered =
            EraEntered { era: Some(2), left: Some(at(1, 10)), noticed_at: UnixMs(70) };
        assert_eq!(cursor.hear(Some(2), UnixMs(70)), EraTold::Entered(entered));
        assert_eq!(cursor.position(), None);
        cursor.advance(revision);
        assert_eq!(cursor.position(), Some(at(2, revision)));
    }
}

#[test]
fn an_answer_of_an_era_that_is_over_counts_for_nothing() {
    let mut cursor = cursor(2, 10);
    assert_eq!(cursor.hear(Some(1), UnixMs(70)), EraTold::Over);
    assert_eq!(cursor.position(), Some(at(2, 10)));
    // One that names no era can't be told apart, and one that is lost is listed anew.
    assert_eq!(cursor.hear(None, UnixMs(80)), EraTold::Present);
    cursor.lose();
    assert_eq!(
        (cursor.position(), cursor.hear(Some(2), UnixMs(90))),
        (None, EraTold::Present)
    );
}

#[test]
fn the_first_answer_of_all_gives_nothing_up() {
    // A process that starts is not in doubt of what it reads: it would refuse callers
    // for two seconds at each start.
    let mut cursor = StoreCursor::default();
    let EraTold::Entered(entered) = cursor.hear(Some(7), UnixMs(5)) else {
        panic!("an era is entered");
    };
    assert_eq!((entered.era, entered.left), (Some(7), None));
    // A store that tells no era is followed by its revisions alone.
    let mut cursor = StoreCursor::default();
    assert_eq!(cursor.hear(None, UnixMs(5)), EraTold::Present);
    cursor.advance(12);
    assert_eq!(cursor.position(), Some(StorePosition { era: None, revision: 12 }));
}

#[test]
fn a_hub_tells_nothing_across_eras() {
    // A revoked key would open on: the hub says that nothing changed after revision 10,
    // and means another history than the one that the entry has read.
    let quiet = brought(at(1, 10), at(1, 10), None);
    let news = brought(at(1, 10), at(1, 12), Some(1));
    let across = brought(at(1, 10), at(2, 12), Some(1));
    // An asker of a later era waits for a call that is made in it.
    for revision in [3, 10, 12, 900] {
        assert_eq!(question(2, revision).hear(&quiet), None);
        assert_eq!(question(2, revision).hear(&news), None);
    }
    // One of an earlier era asks the store, which tells it.
    let later = brought(at(2, 10), at(2, 10), None);
    for revision in [3, 10, 900] {
        assert_eq!(question(1, revision).hear(&later), Some(WatchReply::OutOfStep));
        assert!(question(1, revision).is_behind(at(2, 3)));
    }
    // A call that began in one era and was answered in the next proves nothing.
    for asker in [question(1, 10), question(2, 12), question(2, 10)] {
        assert_eq!(asker.hear(&across), Some(WatchReply::OutOfStep));
    }
    let in_step = WatchReply::Quiet { position: at(2, 10), known_ms: 100 };
    assert_eq!(question(2, 10).hear(&later), Some(in_step));
}

#[test]
fn a_copy_confirms_nothing_until_what_was_lost_is_written_again() {
    // A key that was taken away in the seconds lost opens nothing after its bound. The
    // entry had not heard of it, and the copy shows the version in force: it looks as if
    // nothing were missing.
    let mut freshness = Freshness::default();
    freshness.confirm_read(UnixMs(10_000));
    freshness.doubt(UnixMs(11_000));
    freshness.note_copy(false);
    freshness.confirm_read(UnixMs(11_000));
    freshness.confirm_quiet(UnixMs(11_000), 1_800, UnixMs(12_850));
    assert_eq!(freshness.confirmed_at(), UnixMs(10_000));
    // Where nothing was lost nothing is written, and time ends the doubt.
    freshness.confirm_quiet(UnixMs(11_500), 1_500, UnixMs(13_010));
    assert_eq!(freshness.confirmed_at(), UnixMs(13_000));
}

#[test]
fn a_copy_below_the_version_in_force_confirms_nothing_however_long() {
    let mut freshness = Freshness::default();
    freshness.confirm_read(UnixMs(10_000));
    freshness.doubt(UnixMs(11_000));
    freshness.note_copy(true);
    freshness.confirm_read(UnixMs(19_000));
    assert_eq!(freshness.confirmed_at(), UnixMs(10_000));
    // The operators' writing is the proof, whenever it comes.
    freshness.note_written_again();
    freshness.confirm_read(UnixMs(19_100));
    assert_eq!(freshness.confirmed_at(), UnixMs(19_100));
    // A second return is a doubt of its own.
    freshness.doubt(UnixMs(19_500));
    freshness.note_copy(false);
    freshness.confirm_read(UnixMs(20_000));
    assert_eq!(freshness.confirmed_at(), UnixMs(19_100));
}

#[test]
fn an_outage_after_the_return_gives_the_doubt_its_time_anew() {
    // The store is back for a moment and away again, so the operators could not write
    // again what was lost. Its next answer shows the copy still.
    let mut freshness = Freshness::default();
    freshness.confirm_read(UnixMs(10_000));
    freshness.doubt(UnixMs(11_000));
    freshness.note_copy(false);
    freshness.note_lost();
    freshness.note_lost();
    freshness.confirm_read(UnixMs(14_000));
    freshness.confirm_read(UnixMs(15_899));
    assert_eq!(freshness.confirmed_at(), UnixMs(10_000));
    freshness.confirm_read(UnixMs(15_900));
    assert_eq!(freshness.confirmed_at(), UnixMs(15_900));
    // One call that failed takes no time from callers.
    freshness.doubt(UnixMs(20_000));
    freshness.note_copy(false);
    freshness.note_lost();
    freshness.confirm_read(UnixMs(21_900));
    assert_eq!(freshness.confirmed_at(), UnixMs(21_900));
}

#[test]
fn servers_that_the_copy_lacks_have_time_to_write_again() {
    // Callers would be crowded onto the servers that the copy has. The store was away for
    // less than any entry takes to lapse, so no outage was noticed.
    let mut lapses = Lapses::new(HEARTBEAT_MS);
    lapses.note_answer(UnixMs(9_000));
    lapses.note_restored(UnixMs(10_000));
    let until = UnixMs(11_900);
    assert_eq!(lapses.remove(&"a".into(), UnixMs(10_000)), Removal::At(until));
    assert_eq!(lapses.remove(&"b".into(), UnixMs(10_000)), Removal::At(until));
    assert!(lapses.list("a"));
    assert_eq!(lapses.take_overdue(UnixMs(11_900)), [("b".into(), until)]);
    assert_eq!(lapses.remove(&"c".into(), UnixMs(11_900)), Removal::Now);
    // Twice in a row: those that still miss have their time from the second return on.
    lapses.note_restored(UnixMs(20_000));
    lapses.remove(&"d".into(), UnixMs(20_000));
    lapses.note_restored(UnixMs(21_500));
    assert_eq!(lapses.next_due(), Some(UnixMs(23_400)));
}

#[test]
fn a_server_that_left_is_not_brought_back_by_an_older_copy() {
    // Requests would use up their few repeats on a server that is gone, for as long as
    // the store takes to drop what nobody renews.
    let born = |born_ms| Some(Incarnation { born_at: UnixMs(born_ms) });
    let mut departures = Departures::new(HEARTBEAT_MS);
    departures.note_left(&"left".into(), born(500), UnixMs(9_000));
    // Without a return, what the list names is there.
    assert!(!departures.is_doubtful("left", born(500), UnixMs(9_500)));
    departures.note_restored(UnixMs(10_000));
    assert!(departures.is_doubtful("left", born(500), UnixMs(10_000)));
    assert!(departures.is_doubtful("left", born(400), UnixMs(10_000)));
    assert!(departures.is_doubtful("left", None, UnixMs(14_799)));
    assert!(!departures.is_doubtful("other", born(500), UnixMs(10_000)));
    // It has started again, or its entry is renewed by somebody.
    assert!(!departures.is_doubtful("left", born(501), UnixMs(10_000)));
    assert!(!departures.is_doubtful("left", born(500), UnixMs(14_800)));
    departures.note_written("left");
    assert!(!departures.is_doubtful("left", born(500), UnixMs(10_000)));
}

#[test]
fn weights_that_are_named_again_keep_their_age() {
    // An engine that lacks them would be used past the bound, if the writing again after
    // a return counted as the naming.
    let mut named = NamedWeights::default();
    named.note(4, UnixMs(8_000));
    named.note(5, UnixMs(9_000));
    // The copy has the older version; then the newer one is written again.
    assert!(!named.note(4, UnixMs(12_000)));
    assert!(!named.note(5, UnixMs(13_000)));
    assert_eq!(named.newest(), Some((5, UnixMs(9_000))));
    assert_eq!(named.lacking_since(4), Some(UnixMs(9_000)));
}
