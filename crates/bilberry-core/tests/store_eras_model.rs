//! A store that goes back at any moment, a hub, and an entry that follow it.
//!
//! The model has one kind, the configuration. Its answers travel, stand still and come
//! late; what the store lost, the operators write again soon after its return. The entry
//! has read the store once: one that starts between a return and the writing again can't
//! tell the copy from the newest.

use bilberry_core::Brought;
use bilberry_core::EraTold;
use bilberry_core::Freshness;
use bilberry_core::StoreCursor;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WatchQuestion;
use bilberry_core::WatchReply;
use bilberry_core::known_at;
use proptest::prelude::*;

/// How far the hub's clock is from the entry's.
const HUB_AHEAD_MS: u64 = 777_000;

/// By when the operators have written again what was lost.
const REWRITTEN_MS: u64 = 1_900;

/// The same where the copy shows an older version than the one that the entry has.
const REWRITTEN_LATE_MS: u64 = 9_000;

/// How long a watch waits.
const WAIT_MS: u64 = 500;

/// Within how many calls of its own an entry that reaches the store is up to date: one
/// that hears of the era or of lost history, and a list.
const MOST_CALLS: usize = 2;

/// One step; times are those that pass before the next.
#[derive(Debug, Clone)]
enum Step {
    Pass {
        ms: u64,
    },
    /// A configuration is written, or an object of another kind.
    Write {
        ours: bool,
    },
    /// The store comes back from a copy.
    GoBack {
        age_ms: u64,
        rewritten_in_ms: u64,
    },
    /// The store answers the entry's own call; the answer is under way.
    EntryCalls,
    /// The answer reaches the entry.
    EntryHears,
    /// Another call of the entry's process hears which era it is.
    OtherHears,
    EntryAsksHub {
        travel_ms: u64,
    },
    EntryGivesUp,
    /// Another entry, which has just listed, asks the hub.
    OtherAsksHub,
    /// The store answers the hub; the answer is under way.
    HubCalls,
    /// The answer reaches the hub, which may stand still before it tells.
    HubHears {
        frozen_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let ms = || prop_oneof![Just(0), 1_u64..50, 500_u64..3_000];
    prop_oneof![
        3 => ms().prop_map(|ms| Step::Pass { ms }),
        3 => any::<bool>().prop_map(|ours| Step::Write { ours }),
        1 => (0_u64..6_000, 0..REWRITTEN_LATE_MS).prop_map(|(age_ms, rewritten_in_ms)| {
            Step::GoBack { age_ms, rewritten_in_ms }
        }),
        3 => Just(Step::EntryCalls),
        3 => Just(Step::EntryHears),
        1 => Just(Step::OtherHears),
        3 => ms().prop_map(|travel_ms| Step::EntryAsksHub { travel_ms }),
        1 => Just(Step::EntryGivesUp),
        1 => Just(Step::OtherAsksHub),
        3 => Just(Step::HubCalls),
        3 => ms().prop_map(|frozen_ms| Step::HubHears { frozen_ms }),
    ]
}

/// A write: its revision, when it was made, and the version if it is a configuration.
#[derive(Debug, Clone, Copy)]
struct Written {
    revision: u64,
    at_ms: u64,
    version: Option<u64>,
}

/// The store and those who write to it.
struct Store {
    era: u64,
    history: Vec<Written>,
    /// All configurations that were ever acknowledged, with the first time of each.
    acknowledged: Vec<(u64, u64)>,
    rewrite_at_ms: Option<u64>,
}

/// An answer of the store.
#[derive(Debug, Clone)]
enum Answer {
    List { position: StorePosition, version: u64 },
    Watch { from: StorePosition, to: StorePosition, versions: Vec<u64> },
    Gone,
}

impl Store {
    fn new() -> Self {
        let first = Written { revision: 1, at_ms: 0, version: Some(1) };
        let acknowledged = vec![(1, 0)];
        Self { era: 1, history: vec![first], acknowledged, rewrite_at_ms: None }
    }

    fn position(&self) -> StorePosition {
        let revision = self.history.last().map_or(0, |written| written.revision);
        StorePosition { era: Some(self.era), revision }
    }

    fn version(&self) -> u64 {
        let versions = self.history.iter().filter_map(|written| written.version);
        versions.max().unwrap_or_default()
    }

    fn newest(&self) -> u64 {
        self.acknowledged.last().map_or(0, |&(version, _)| version)
    }

    fn push(&mut self, version: Option<u64>, at_ms: u64) {
        let revision = self.position().revision + 1;
        self.history.push(Written { revision, at_ms, version });
    }

    fn write(&mut self, ours: bool, now_ms: u64) {
        let version = ours.then(|| self.newest() + 1);
        self.push(version, now_ms);
        self.acknowledged.extend(version.map(|version| (version, now_ms)));
    }

    fn go_back(&mut self, age_ms: u64, now_ms: u64) {
        let copied_ms = now_ms.saturating_sub(age_ms);
        self.history.retain(|written| written.at_ms <= copied_ms);
        self.era += 1;
    }

    /// Has the operators write again what is due; what is there already is no change.
    fn rewrite(&mut self, now_ms: u64) {
        if self.rewrite_at_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.rewrite_at_ms = None;
            if self.version() < self.newest() {
                self.push(Some(self.newest()), now_ms);
            }
        }
    }

    fn list(&self) -> Answer {
        Answer::List { position: self.position(), version: self.version() }
    }

    fn watch(&self, from: StorePosition) -> Answer {
        let to = self.position();
        if from.revision > to.revision {
            return Answer::Gone;
        }
        let news = self.history.iter().filter(|written| written.revision > from.revision);
        let versions = news.filter_map(|written| written.version).collect();
        Answer::Watch { from, to, versions }
    }

    fn answer(&self, position: Option<StorePosition>) -> Answer {
        position.map_or_else(|| self.list(), |from| self.watch(from))
    }
}

/// An entry that follows the configuration.
#[derive(Default)]
struct Entry {
    cursor: StoreCursor,
    freshness: Freshness,
    version: u64,
    /// The answer to a call of its own, and when the call was made and answered.
    coming: Option<(Answer, u64, u64)>,
    asked: Option<(u64, WatchQuestion)>,
}

impl Entry {
    /// Returns whether an answer of `era` counts as one from the known position.
    fn hear_era(&mut self, era: Option<u64>, now_ms: u64) -> EraTold {
        let told = self.cursor.hear(era, UnixMs(now_ms));
        if let EraTold::Entered(entered) = told
            && entered.left.is_some()
        {
            self.freshness.doubt(entered.noticed_at);
        }
        told
    }

    fn install(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    fn hear(&mut self, now_ms: u64) {
        let Some((answer, asked_ms, answered_ms)) = self.coming.take() else { return };
        match answer {
            Answer::List { position, version } => {
                if self.hear_era(position.era, now_ms) != EraTold::Over {
                    self.install(version);
                    self.freshness.note_copy(version < self.version);
                    self.freshness.confirm_read(UnixMs(asked_ms));
                    self.cursor.advance(position.revision);
                }
            }
            Answer::Gone => self.cursor.lose(),
            Answer::Watch { from, to, versions } => {
                let told = self.hear_era(to.era, now_ms);
                // What was asked from a position that is given up is passed over.
                let is_at = self.cursor.position() == Some(from);
                if told == EraTold::Present && is_at {
                    self.take(&versions);
                    let proven_ms =
                        if versions.is_empty() { answered_ms } else { asked_ms };
                    self.freshness.confirm_read(UnixMs(proven_ms));
                    self.cursor.advance(to.revision);
                }
            }
        }
    }

    fn take(&mut self, versions: &[u64]) {
        for &version in versions {
            self.install(version);
            if version >= self.version {
                self.freshness.note_written_again();
            }
        }
    }

    fn hear_hub(&mut self, reply: WatchReply<Vec<u64>>, asked_ms: u64, now_ms: u64) {
        let known = |known_ms| known_at(UnixMs(asked_ms), known_ms, UnixMs(now_ms));
        match reply {
            WatchReply::News { position, news, known_ms } => {
                self.take(&news);
                self.freshness.confirm_read(known(known_ms));
                self.cursor.advance(position.revision);
            }
            WatchReply::Quiet { position, known_ms } => {
                self.freshness.confirm_read(known(known_ms));
                self.cursor.advance(position.revision);
            }
            WatchReply::OutOfStep => {}
        }
    }
}

/// A hub; it knows nothing while nobody has asked.
#[derive(Default)]
struct Hub {
    position: Option<StorePosition>,
    quiet_from: StorePosition,
    /// The answer to its call, and when the call was made and answered.
    coming: Option<(Answer, u64, u64)>,
}

impl Hub {
    /// Has it watch; who asks first says from where.
    fn join(&mut self, position: StorePosition) {
        if self.position.is_none() {
            self.position = Some(position);
            self.quiet_from = position;
        }
    }
}

struct Model {
    now_ms: u64,
    store: Store,
    entry: Entry,
    hub: Hub,
}

impl Model {
    fn new() -> Self {
        let (now_ms, store) = (10_000, Store::new());
        let mut model =
            Self { now_ms, store, entry: Entry::default(), hub: Hub::default() };
        model.entry_calls_and_hears();
        model
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.store.rewrite(self.now_ms);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass { ms } => self.pass(ms),
            Step::Write { ours } => {
                self.pass(7);
                self.store.write(ours, self.now_ms);
            }
            Step::GoBack { age_ms, rewritten_in_ms } => {
                self.pass(1);
                self.store.go_back(age_ms, self.now_ms);
                // What the copy shows tells the entry only then that something is missing.
                let is_seen = self.store.version() < self.entry.version;
                let most_ms = if is_seen { REWRITTEN_LATE_MS } else { REWRITTEN_MS };
                let rewrite_at_ms = self.now_ms + rewritten_in_ms.min(most_ms);
                self.store.rewrite_at_ms = Some(rewrite_at_ms);
                self.store.rewrite(self.now_ms);
            }
            Step::EntryCalls => self.entry_calls(),
            Step::EntryHears => self.entry.hear(self.now_ms),
            Step::OtherHears => {
                self.entry.hear_era(Some(self.store.era), self.now_ms);
            }
            Step::EntryAsksHub { travel_ms } => self.entry_asks_hub(travel_ms),
            Step::EntryGivesUp => self.entry.asked = None,
            Step::OtherAsksHub => self.hub.join(self.store.position()),
            Step::HubCalls => self.hub_calls(),
            Step::HubHears { frozen_ms } => self.hub_hears(frozen_ms),
        }
    }

    fn entry_calls(&mut self) {
        if self.entry.coming.is_none() && self.entry.asked.is_none() {
            let asked_ms = self.now_ms;
            let position = self.entry.cursor.position();
            let answer = self.store.answer(position);
            self.entry.coming = Some((answer, asked_ms, self.now_ms));
        }
    }

    fn entry_asks_hub(&mut self, travel_ms: u64) {
        let Some(position) = self.entry.cursor.position() else { return };
        if self.entry.coming.is_some() || self.entry.asked.is_some() {
            return;
        }
        let asked_ms = self.now_ms;
        self.pass(travel_ms);
        let arrived_at = UnixMs(self.now_ms + HUB_AHEAD_MS);
        let question = WatchQuestion { position, arrived_at };
        self.hub.join(position);
        if !question.is_behind(self.hub.quiet_from) {
            self.entry.asked = Some((asked_ms, question));
        }
    }

    fn hub_calls(&mut self) {
        if let (Some(from), None) = (self.hub.position, &self.hub.coming) {
            // The call waits until something is new, or for as long as it may.
            let asked_ms = self.now_ms;
            let is_quiet = |answer: &Answer| matches!(answer, Answer::Watch { versions, .. } if versions.is_empty());
            let mut answer = self.store.watch(from);
            if is_quiet(&answer) {
                self.pass(WAIT_MS);
                answer = self.store.watch(from);
            }
            self.hub.coming = Some((answer, asked_ms, self.now_ms));
        }
    }

    fn hub_hears(&mut self, frozen_ms: u64) {
        let Some((answer, asked_ms, answered_ms)) = self.hub.coming.take() else {
            return;
        };
        self.pass(frozen_ms);
        let Answer::Watch { from, to, versions } = answer else {
            return self.reset_hub();
        };
        let known_ms = if versions.is_empty() { answered_ms } else { asked_ms };
        let brought = Brought {
            from,
            to,
            news: (!versions.is_empty()).then_some(versions),
            known_at: UnixMs(known_ms + HUB_AHEAD_MS),
        };
        if !brought.is_of_one_era() {
            return self.reset_hub();
        }
        self.hub.position = Some(to);
        if brought.news.is_some() {
            self.hub.quiet_from = to;
        }
        let Some((asked_ms, question)) = self.entry.asked else { return };
        let Some(reply) = question.hear(&brought) else { return };
        self.entry.asked = None;
        if self.entry.cursor.position() == Some(question.position) {
            self.entry.hear_hub(reply, asked_ms, self.now_ms);
        }
    }

    fn reset_hub(&mut self) {
        self.hub = Hub::default();
        self.entry.asked = None;
    }

    /// Whatever was acknowledged by the moment that the entry counts as confirmed, it has.
    fn holds_no_key_too_long(&self) -> bool {
        let confirmed_ms = self.entry.freshness.confirmed_at().0;
        let unheard = |&&(version, _): &&(u64, u64)| version > self.entry.version;
        let mut unheard = self.store.acknowledged.iter().filter(unheard);
        unheard.all(|&(_, written_ms)| written_ms >= confirmed_ms)
    }

    /// Lets all that is under way arrive.
    fn settle(&mut self) {
        self.pass(REWRITTEN_LATE_MS);
        self.hub_hears(0);
        self.entry.hear(self.now_ms);
        self.entry.asked = None;
    }

    fn entry_calls_and_hears(&mut self) {
        self.entry_calls();
        self.entry.hear(self.now_ms);
    }
}

proptest! {
    #[test]
    fn nothing_is_missed_and_no_key_counts_past_its_bound(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new();
        let mut version = 0;
        for step in steps {
            model.step(step);
            prop_assert!(model.holds_no_key_too_long());
            prop_assert!(model.entry.version >= version, "it went back");
            version = model.entry.version;
        }
        // Once the store stays as it is, a follower waits for nothing that never comes.
        model.settle();
        for _ in 0..MOST_CALLS {
            model.entry_calls_and_hears();
        }
        prop_assert_eq!(model.entry.version, model.store.newest());
        // Callers are served again: what is there is proved once the doubt is over.
        model.pass(REWRITTEN_MS);
        let before_ms = model.now_ms;
        model.entry_calls_and_hears();
        prop_assert!(model.entry.freshness.confirmed_at().0 >= before_ms);
        // And the hub tells of the next change, or has the entry ask the store itself.
        model.store.write(true, model.now_ms);
        for _ in 0..MOST_CALLS {
            model.entry_asks_hub(0);
            model.hub_calls();
            model.hub_hears(0);
            model.entry.asked = None;
        }
        model.entry_calls_and_hears();
        prop_assert_eq!(model.entry.version, model.store.newest());
        prop_assert!(model.holds_no_key_too_long());
    }
}
