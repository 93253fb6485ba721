//! What is told by one watch that many share.

use bilberry_core::Brought;
use bilberry_core::HubCandidate;
use bilberry_core::Name;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WatchQuestion;
use bilberry_core::WatchReply;
use bilberry_core::choose_hub;
use bilberry_core::known_at;
use proptest::prelude::*;

/// A position in a store that tells no era.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: None, revision }
}

fn quiet(from: u64, to: u64, known_ms: u64) -> Brought<Vec<u64>> {
    let (from, to) = (at(from), at(to));
    Brought { from, to, news: None, known_at: UnixMs(known_ms) }
}

fn news(from: u64, changes: &[u64], known_ms: u64) -> Brought<Vec<u64>> {
    let to = at(*changes.last().expect("there are changes"));
    let from = at(from);
    Brought { from, to, news: Some(changes.to_vec()), known_at: UnixMs(known_ms) }
}

fn question(revision: u64, arrived_ms: u64) -> WatchQuestion {
    WatchQuestion { position: at(revision), arrived_at: UnixMs(arrived_ms) }
}

#[test]
fn an_asker_inside_a_batch_is_sent_to_the_store() {
    // The caller would see a route that was removed come back. The entry has listed at
    // revision 12; the hub's call from 10 brings the changes 11 to 13, of which the
    // entry has two: told all, it goes back to 11 for a moment.
    let batch = news(10, &[11, 12, 13], 0);
    assert_eq!(question(12, 0).hear(&batch), Some(WatchReply::OutOfStep));
    let all = WatchReply::News { position: at(13), news: vec![11, 12, 13], known_ms: 0 };
    assert_eq!(question(10, 0).hear(&batch), Some(all));
    assert_eq!(question(13, 0).hear(&batch), None);
    assert_eq!(question(20, 0).hear(&batch), None);
}

#[test]
fn a_quiet_moment_before_the_question_confirms_nothing() {
    // A key could count too long: the hub's call ended with nothing new, was read late,
    // and the question arrived in between. The next call answers it.
    assert_eq!(question(10, 500).hear(&quiet(10, 10, 499)), None);
    let later = WatchReply::Quiet { position: at(11), known_ms: 100 };
    assert_eq!(question(10, 500).hear(&quiet(10, 11, 600)), Some(later));
    assert_eq!(question(12, 500).hear(&quiet(10, 11, 600)), None);
}

#[test]
fn clocks_that_differ_change_nothing_about_when_a_reply_counts() {
    // The hub's clock is years ahead; only what passed between arrival and proof is
    // told. A reply that says more than has passed at the asker counts as of now.
    assert_eq!(known_at(UnixMs(1_000), 400, UnixMs(2_000)), UnixMs(1_400));
    assert_eq!(known_at(UnixMs(1_000), -300, UnixMs(2_000)), UnixMs(700));
    assert_eq!(known_at(UnixMs(1_000), 9_000, UnixMs(2_000)), UnixMs(2_000));
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
    let again = choose_hub(&a, &candidates, 8).expect("the order changes nothing");
    assert_eq!(candidates[again].seed, seed);
    // Without it another takes its place; with none in the data centre, or too few
    // entries for it to be worth while, each watches for itself.
    candidates.retain(|candidate| candidate.seed != seed);
    let next = choose_hub(&a, &candidates, 8).expect("seven are left");
    assert_eq!(candidates[next].place, a);
    assert_eq!(choose_hub(&a, &candidates, 7), None);
    assert_eq!(choose_hub(&"hall-c".into(), &candidates, 80), None);
    assert_eq!(choose_hub(&a, &[], 80), None);
}

/// One step of a store, a hub and an entry that lives by the hub's word.
#[derive(Debug, Clone)]
enum Step {
    /// The store's revision grows; the kind changes or another one does.
    Write { ours: bool },
    /// The hub's call ends; its answer takes a while, and the hub may stand still.
    HubCalls { travel_ms: u64, frozen_ms: u64 },
    /// The entry's question travels to the hub, and the hub may stand still.
    EntryAsks { travel_ms: u64, frozen_ms: u64 },
    /// The entry asks the store itself.
    EntryCalls,
}

fn step() -> impl Strategy<Value = Step> {
    let ms = || prop_oneof![Just(0), 1_u64..50, 500_u64..9_000];
    prop_oneof![
        any::<bool>().prop_map(|ours| Step::Write { ours }),
        (ms(), ms())
            .prop_map(|(travel_ms, frozen_ms)| Step::HubCalls { travel_ms, frozen_ms }),
        (ms(), ms())
            .prop_map(|(travel_ms, frozen_ms)| Step::EntryAsks { travel_ms, frozen_ms }),
        Just(Step::EntryCalls),
    ]
}

/// How far the hub's clock is from the entry's.
const HUB_AHEAD_MS: u64 = 777_000;

/// The store, with each change and when it was written by the entry's clock.
#[derive(Default)]
struct Store {
    revision: u64,
    ours: Vec<(u64, u64)>,
}

impl Store {
    fn since(&self, revision: u64) -> Vec<u64> {
        let ours = self.ours.iter().map(|(revision, _)| *revision);
        ours.filter(|found| *found > revision).collect()
    }
}

proptest! {
    #[test]
    fn nothing_is_missed_or_repeated_and_no_reply_counts_longer_than_it_is_true(
        steps in prop::collection::vec(step(), 1..200),
        hub_from in 0_u64..3,
    ) {
        let (mut now, mut store) = (1_000_000_u64, Store { revision: 3, ours: vec![] });
        let (mut hub_at, mut hub_called_at, mut quiet_from) = (hub_from, now, hub_from);
        let (mut entry_at, mut seen) = (3, Vec::new());
        let mut asked: Option<(u64, WatchQuestion)> = None;
        let mut confirmed = 0;
        for step in steps {
            match step {
                Step::Write { ours } => {
                    now += 7;
                    store.revision += 1;
                    if ours {
                        store.ours.push((store.revision, now));
                    }
                }
                Step::EntryAsks { travel_ms, frozen_ms } if asked.is_none() => {
                    let asked_ms = now;
                    now += travel_ms + frozen_ms;
                    let question = question(entry_at, now + HUB_AHEAD_MS);
                    asked = Some((asked_ms, question));
                    if question.is_behind(at(quiet_from)) {
                        asked = None;
                        seen.extend(store.since(entry_at));
                        entry_at = store.revision;
                    }
                }
                Step::HubCalls { travel_ms, frozen_ms } => {
                    // The call was made when the one before was read; the store answers
                    // now, at the end of the wait or with the first news.
                    let changes = store.since(hub_at);
                    let to = store.revision;
                    let answered_ms = now;
                    now += travel_ms + frozen_ms;
                    let known_ms = match changes.is_empty() {
                        true => answered_ms.min(now),
                        false => hub_called_at,
                    };
                    let brought = Brought {
                        from: at(hub_at),
                        to: at(to),
                        news: (!changes.is_empty()).then_some(changes),
                        known_at: UnixMs(known_ms + HUB_AHEAD_MS),
                    };
                    (hub_at, hub_called_at) = (to, now);
                    if brought.news.is_some() {
                        quiet_from = to;
                    }
                    let Some((asked_ms, question)) = asked else { continue };
                    // Only what was not yet told when the question arrived is heard.
                    let Some(reply) = question.hear(&brought) else { continue };
                    asked = None;
                    now += travel_ms;
                    let known = |known_ms| known_at(UnixMs(asked_ms), known_ms, UnixMs(now)).0;
                    match reply {
                        WatchReply::News { position, news, known_ms } => {
                            seen.extend(news);
                            entry_at = position.revision;
                            confirmed = confirmed.max(known(known_ms));
                        }
                        WatchReply::Quiet { position, known_ms } => {
                            entry_at = entry_at.max(position.revision);
                            confirmed = confirmed.max(known(known_ms));
                        }
                        WatchReply::OutOfStep => {
                            seen.extend(store.since(entry_at));
                            entry_at = store.revision;
                        }
                    }
                }
                Step::EntryCalls if asked.is_none() => {
                    seen.extend(store.since(entry_at));
                    entry_at = store.revision;
                }
                Step::EntryAsks { .. } | Step::EntryCalls => {}
            }
            let told: Vec<u64> = store.ours.iter().map(|(revision, _)| *revision).collect();
            // In order, each once, none left out.
            prop_assert_eq!(&told[..seen.len()], &seen[..]);
            // Whatever was written by the moment that the entry counts as confirmed, it
            // has: no revoked key counts for longer than after an answer of the store's.
            let unseen = store.ours.iter().filter(|(revision, _)| !seen.contains(revision));
            for (_, written_ms) in unseen {
                prop_assert!(*written_ms > confirmed);
            }
        }
    }
}
