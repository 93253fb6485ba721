//! Replies of a watch that is shared by many processes.

use bilberry_core::HubCandidate;
use bilberry_core::Name;
use bilberry_core::PendingWatch;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WatchReply;
use bilberry_core::WatchResult;
use bilberry_core::choose_hub;
use bilberry_core::confirmed_at;
use proptest::prelude::*;

/// Returns a position in a store that reports no era.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: None, revision }
}

fn quiet(from: u64, to: u64, confirmed_ms: u64) -> WatchResult<Vec<u64>> {
    let (from, to) = (at(from), at(to));
    WatchResult { from, to, changes: None, confirmed_at: UnixMs(confirmed_ms) }
}

fn news(from: u64, changes: &[u64], confirmed_ms: u64) -> WatchResult<Vec<u64>> {
    let to = at(*changes.last().expect("there are changes"));
    let from = at(from);
    WatchResult {
        from,
        to,
        changes: Some(changes.to_vec()),
        confirmed_at: UnixMs(confirmed_ms),
    }
}

fn question(revision: u64, arrived_ms: u64) -> PendingWatch {
    PendingWatch { position: at(revision), arrived_at: UnixMs(arrived_ms) }
}

#[test]
fn a_requester_within_a_batch_must_call_the_store() {
    // The entry has listed at revision 12, and the hub's call from revision 10 returns
    // the changes 11 to 13, of which the entry already has two. Applying all of them
    // would take the entry back to revision 11, so that callers see a removed route
    // again.
    let batch = news(10, &[11, 12, 13], 0);
    assert_eq!(question(12, 0).reply_from(&batch), Some(WatchReply::OutOfSync));
    let all =
        WatchReply::Changes { position: at(13), news: vec![11, 12, 13], confirmed_ms: 0 };
    assert_eq!(question(10, 0).reply_from(&batch), Some(all));
    assert_eq!(question(13, 0).reply_from(&batch), None);
    assert_eq!(question(20, 0).reply_from(&batch), None);
}

#[test]
fn a_quiet_result_from_before_the_request_confirms_nothing() {
    // The hub's call ended without changes, but its response was processed late and the
    // request arrived in between. A reply from it would extend the validity of a key. The
    // request is answered from the next call.
    assert_eq!(question(10, 500).reply_from(&quiet(10, 10, 499)), None);
    let later = WatchReply::Unchanged { position: at(11), confirmed_ms: 100 };
    assert_eq!(question(10, 500).reply_from(&quiet(10, 11, 600)), Some(later));
    assert_eq!(question(12, 500).reply_from(&quiet(10, 11, 600)), None);
}

#[test]
fn clock_offsets_do_not_change_the_time_for_which_a_reply_is_valid() {
    // The reply carries only the time relative to the request's arrival, so the offset of
    // the hub's clock does not matter. A reply for a later time than the requester's own
    // clock shows is valid for the current time.
    assert_eq!(confirmed_at(UnixMs(1_000), 400, UnixMs(2_000)), UnixMs(1_400));
    assert_eq!(confirmed_at(UnixMs(1_000), -300, UnixMs(2_000)), UnixMs(700));
    assert_eq!(confirmed_at(UnixMs(1_000), 9_000, UnixMs(2_000)), UnixMs(2_000));
}

#[test]
fn all_entries_of_a_data_centre_choose_the_same_hub() {
    let candidate = |place: &str, seed| HubCandidate { place: place.into(), seed };
    let a = Name::from("hall-a");
    let mut candidates: Vec<_> = (0..8).map(|seed| candidate("hall-a", seed)).collect();
    candidates.extend((8..16).map(|seed| candidate("hall-b", seed)));
    let chosen = choose_hub(&a, &candidates, 8).expect("eight entries share a watch");
    let seed = candidates[chosen].seed;
    assert_eq!(candidates[chosen].place, a);
    candidates.reverse();
    let again =
        choose_hub(&a, &candidates, 8).expect("eight entries share a watch in any order");
    assert_eq!(candidates[again].seed, seed);
    // If the hub fails, another candidate is chosen. Without a candidate in the data
    // centre, or with too few entries to save calls, each entry watches the store itself.
    candidates.retain(|candidate| candidate.seed != seed);
    let next = choose_hub(&a, &candidates, 8).expect("seven candidates are left");
    assert_eq!(candidates[next].place, a);
    assert_eq!(choose_hub(&a, &candidates, 7), None);
    assert_eq!(choose_hub(&"hall-c".into(), &candidates, 80), None);
    assert_eq!(choose_hub(&a, &[], 80), None);
}

/// One step of a simulation with a store, a hub, and an entry that follows the hub.
#[derive(Debug, Clone)]
enum Step {
    /// The store's revision increases; an object of the watched kind or of another one
    /// changes.
    Write { is_watched_kind: bool },
    /// The hub's call ends; the response is in transit and the hub may pause.
    HubCalls { travel_ms: u64, pause_ms: u64 },
    /// The entry sends a request to the hub, and the hub may pause.
    EntryAsksHub { travel_ms: u64, pause_ms: u64 },
    /// The entry calls the store itself.
    EntryCallsStore,
}

fn step() -> impl Strategy<Value = Step> {
    let ms = || prop_oneof![Just(0), 1_u64..50, 500_u64..9_000];
    prop_oneof![
        any::<bool>().prop_map(|is_watched_kind| Step::Write { is_watched_kind }),
        (ms(), ms())
            .prop_map(|(travel_ms, pause_ms)| Step::HubCalls { travel_ms, pause_ms }),
        (ms(), ms())
            .prop_map(|(travel_ms, pause_ms)| Step::EntryAsksHub { travel_ms, pause_ms }),
        Just(Step::EntryCallsStore),
    ]
}

/// The offset of the hub's clock from the entry's clock.
const HUB_CLOCK_OFFSET_MS: u64 = 777_000;

/// The store, with each change of the watched kind and its time by the entry's clock.
#[derive(Default)]
struct Store {
    revision: u64,
    changes: Vec<(u64, u64)>,
}

impl Store {
    fn since(&self, revision: u64) -> Vec<u64> {
        let revisions = self.changes.iter().map(|(revision, _)| *revision);
        revisions.filter(|found| *found > revision).collect()
    }
}

proptest! {
    #[test]
    fn no_change_is_missed_or_repeated_and_no_reply_confirms_too_late_a_time(
        steps in prop::collection::vec(step(), 1..200),
        hub_from in 0_u64..3,
    ) {
        let (mut now, mut store) = (1_000_000_u64, Store { revision: 3, changes: vec![] });
        let (mut hub_at, mut hub_called_at, mut quiet_from) = (hub_from, now, hub_from);
        let (mut entry_at, mut seen) = (3, Vec::new());
        let mut asked: Option<(u64, PendingWatch)> = None;
        let mut confirmed = 0;
        for step in steps {
            match step {
                Step::Write { is_watched_kind } => {
                    now += 7;
                    store.revision += 1;
                    if is_watched_kind {
                        store.changes.push((store.revision, now));
                    }
                }
                Step::EntryAsksHub { travel_ms, pause_ms } if asked.is_none() => {
                    let asked_ms = now;
                    now += travel_ms + pause_ms;
                    let question = question(entry_at, now + HUB_CLOCK_OFFSET_MS);
                    asked = Some((asked_ms, question));
                    if question.is_behind(at(quiet_from)) {
                        asked = None;
                        seen.extend(store.since(entry_at));
                        entry_at = store.revision;
                    }
                }
                Step::HubCalls { travel_ms, pause_ms } => {
                    // The call was made when the previous response was processed; the
                    // store responds now, at the end of the wait or with the first
                    // change.
                    let changes = store.since(hub_at);
                    let to = store.revision;
                    let answered_ms = now;
                    now += travel_ms + pause_ms;
                    let confirmed_ms = match changes.is_empty() {
                        true => answered_ms.min(now),
                        false => hub_called_at,
                    };
                    let brought = WatchResult {
                        from: at(hub_at),
                        to: at(to),
                        changes: (!changes.is_empty()).then_some(changes),
                        confirmed_at: UnixMs(confirmed_ms + HUB_CLOCK_OFFSET_MS),
                    };
                    (hub_at, hub_called_at) = (to, now);
                    if brought.changes.is_some() {
                        quiet_from = to;
                    }
                    let Some((asked_ms, question)) = asked else { continue };
                    // Only changes not yet reported when the request arrived are
                    // considered.
                    let Some(reply) = question.reply_from(&brought) else { continue };
                    asked = None;
                    now += travel_ms;
                    let known = |confirmed_ms| confirmed_at(UnixMs(asked_ms), confirmed_ms, UnixMs(now)).0;
                    match reply {
                        WatchReply::Changes { position, news, confirmed_ms } => {
                            seen.extend(news);
                            entry_at = position.revision;
                            confirmed = confirmed.max(known(confirmed_ms));
                        }
                        WatchReply::Unchanged { position, confirmed_ms } => {
                            entry_at = entry_at.max(position.revision);
                            confirmed = confirmed.max(known(confirmed_ms));
                        }
                        WatchReply::OutOfSync => {
                            seen.extend(store.since(entry_at));
                            entry_at = store.revision;
                        }
                    }
                }
                Step::EntryCallsStore if asked.is_none() => {
                    seen.extend(store.since(entry_at));
                    entry_at = store.revision;
                }
                Step::EntryAsksHub { .. } | Step::EntryCallsStore => {}
            }
            let written = store.changes.iter().map(|(revision, _)| *revision);
            let written: Vec<u64> = written.collect();
            // Changes arrive in order, exactly once, and without gaps.
            prop_assert_eq!(&written[..seen.len()], &seen[..]);
            // The entry has every change written by its confirmed time, so a revoked key
            // is accepted no longer than after a response of the store itself.
            let changes = store.changes.iter();
            let unseen = changes.filter(|(revision, _)| !seen.contains(revision));
            for (_, written_ms) in unseen {
                prop_assert!(*written_ms > confirmed);
            }
        }
    }
}
