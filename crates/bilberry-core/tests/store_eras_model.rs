//! A simulation of a store that may be restored at any time, and a hub and an entry that
//! follow it.
//!
//! The model has one watched kind, the configuration. Responses are delayed in transit
//! and at paused processes, and the operators repeat lost writes soon after a restore.
//! The entry has read the store once before, because an entry that starts between a
//! restore and the repeated writes cannot distinguish the backup from the newest state.

use bilberry_core::EraOrder;
use bilberry_core::Freshness;
use bilberry_core::PendingWatch;
use bilberry_core::StoreCursor;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WatchReply;
use bilberry_core::WatchResult;
use bilberry_core::confirmed_at;
use proptest::prelude::*;

/// The offset of the hub's clock from the entry's clock.
const HUB_CLOCK_OFFSET_MS: u64 = 777_000;

/// The maximum time from a restore until the operators have repeated lost writes.
const MAX_REWRITE_MS: u64 = 1_900;

/// The same if the restored version is older than the one known to the entry.
const MAX_LATE_REWRITE_MS: u64 = 9_000;

/// The wait of a watch.
const WAIT_MS: u64 = 500;

/// The number of calls after which an entry that reaches the store is up to date: one
/// that shows the new era or that the revision no longer exists, and a list.
const MAX_CATCH_UP_CALLS: usize = 2;

/// One step of the simulation; times are those that pass before the next step.
#[derive(Debug, Clone)]
enum Step {
    Pass {
        ms: u64,
    },
    /// A configuration or an object of another kind is written.
    Write {
        is_config: bool,
    },
    /// The store is restored from a backup.
    Restore {
        age_ms: u64,
        rewrite_delay_ms: u64,
    },
    /// The store responds to the entry's own call; the response is in transit.
    StoreRespondsToEntry,
    /// The response reaches the entry.
    EntryReceives,
    /// Another call of the entry's process receives the current era.
    OtherCallReceivesEra,
    EntryAsksHub {
        travel_ms: u64,
    },
    EntryTimesOut,
    /// Another entry, which has just listed, sends a request to the hub.
    OtherEntryAsksHub,
    /// The store responds to the hub; the response is in transit.
    StoreRespondsToHub,
    /// The response reaches the hub, which may pause before it replies.
    HubReceives {
        pause_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let ms = || prop_oneof![Just(0), 1_u64..50, 500_u64..3_000];
    prop_oneof![
        3 => ms().prop_map(|ms| Step::Pass { ms }),
        3 => any::<bool>().prop_map(|is_config| Step::Write { is_config }),
        1 => (0_u64..6_000, 0..MAX_LATE_REWRITE_MS).prop_map(|(age_ms, rewrite_delay_ms)| {
            Step::Restore { age_ms, rewrite_delay_ms }
        }),
        3 => Just(Step::StoreRespondsToEntry),
        3 => Just(Step::EntryReceives),
        1 => Just(Step::OtherCallReceivesEra),
        3 => ms().prop_map(|travel_ms| Step::EntryAsksHub { travel_ms }),
        1 => Just(Step::EntryTimesOut),
        1 => Just(Step::OtherEntryAsksHub),
        3 => Just(Step::StoreRespondsToHub),
        3 => ms().prop_map(|pause_ms| Step::HubReceives { pause_ms }),
    ]
}

/// A write, with its version if it is a configuration.
#[derive(Debug, Clone, Copy)]
struct Written {
    revision: u64,
    at_ms: u64,
    version: Option<u64>,
}

/// The store and the operators who write to it.
struct Store {
    era: u64,
    history: Vec<Written>,
    /// All acknowledged configuration versions, each with the time of its first write.
    acknowledged: Vec<(u64, u64)>,
    rewrite_at_ms: Option<u64>,
}

/// A response of the store.
#[derive(Debug, Clone)]
enum Response {
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

    fn write(&mut self, is_config: bool, now_ms: u64) {
        let version = is_config.then(|| self.newest() + 1);
        self.push(version, now_ms);
        self.acknowledged.extend(version.map(|version| (version, now_ms)));
    }

    fn restore(&mut self, age_ms: u64, now_ms: u64) {
        let backup_ms = now_ms.saturating_sub(age_ms);
        self.history.retain(|written| written.at_ms <= backup_ms);
        self.era += 1;
    }

    /// Lets the operators repeat a due write; an existing version is not written again.
    fn rewrite(&mut self, now_ms: u64) {
        if self.rewrite_at_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.rewrite_at_ms = None;
            if self.version() < self.newest() {
                self.push(Some(self.newest()), now_ms);
            }
        }
    }

    fn list(&self) -> Response {
        Response::List { position: self.position(), version: self.version() }
    }

    fn watch(&self, from: StorePosition) -> Response {
        let to = self.position();
        if from.revision > to.revision {
            return Response::Gone;
        }
        let news = self.history.iter().filter(|written| written.revision > from.revision);
        let versions = news.filter_map(|written| written.version).collect();
        Response::Watch { from, to, versions }
    }

    fn respond(&self, position: Option<StorePosition>) -> Response {
        position.map_or_else(|| self.list(), |from| self.watch(from))
    }
}

/// An entry that follows the configuration.
#[derive(Default)]
struct Entry {
    cursor: StoreCursor,
    freshness: Freshness,
    version: u64,
    /// The response to the entry's own call, and when the call was made and answered.
    in_transit: Option<(Response, u64, u64)>,
    pending_request: Option<(u64, PendingWatch)>,
}

impl Entry {
    /// Updates the era from a response and returns how it compares with the known one.
    fn update_era(&mut self, era: Option<u64>, now_ms: u64) -> EraOrder {
        let told = self.cursor.update_era(era, UnixMs(now_ms));
        if let EraOrder::Entered(entered) = told
            && entered.previous.is_some()
        {
            self.freshness.record_restore(entered.detected_at);
        }
        told
    }

    fn install(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    fn receive(&mut self, now_ms: u64) {
        let Some((response, asked_ms, answered_ms)) = self.in_transit.take() else {
            return;
        };
        match response {
            Response::List { position, version } => {
                if self.update_era(position.era, now_ms) != EraOrder::Past {
                    self.install(version);
                    self.freshness.record_restored_state(version < self.version);
                    self.freshness.confirm_read(UnixMs(asked_ms));
                    self.cursor.advance(position.revision);
                }
            }
            Response::Gone => self.cursor.require_list(),
            Response::Watch { from, to, versions } => {
                let told = self.update_era(to.era, now_ms);
                // The response to a watch from a discarded position is ignored.
                let is_at = self.cursor.position() == Some(from);
                if told == EraOrder::Current && is_at {
                    self.apply(&versions);
                    let confirmed_ms =
                        if versions.is_empty() { answered_ms } else { asked_ms };
                    self.freshness.confirm_read(UnixMs(confirmed_ms));
                    self.cursor.advance(to.revision);
                }
            }
        }
    }

    fn apply(&mut self, versions: &[u64]) {
        for &version in versions {
            self.install(version);
            if version >= self.version {
                self.freshness.record_rewrite();
            }
        }
    }

    fn receive_from_hub(
        &mut self,
        reply: WatchReply<Vec<u64>>,
        asked_ms: u64,
        now_ms: u64,
    ) {
        let known =
            |confirmed_ms| confirmed_at(UnixMs(asked_ms), confirmed_ms, UnixMs(now_ms));
        match reply {
            WatchReply::Changes { position, news, confirmed_ms } => {
                self.apply(&news);
                self.freshness.confirm_read(known(confirmed_ms));
                self.cursor.advance(position.revision);
            }
            WatchReply::Unchanged { position, confirmed_ms } => {
                self.freshness.confirm_read(known(confirmed_ms));
                self.cursor.advance(position.revision);
            }
            WatchReply::OutOfSync => {}
        }
    }
}

/// A hub, which has no state until the first request.
#[derive(Default)]
struct Hub {
    position: Option<StorePosition>,
    quiet_from: StorePosition,
    /// The response to the hub's call, and when the call was made and answered.
    in_transit: Option<(Response, u64, u64)>,
}

impl Hub {
    /// Starts the watch at the position of the first request.
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
        model.entry_calls_and_receives();
        model
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.store.rewrite(self.now_ms);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass { ms } => self.pass(ms),
            Step::Write { is_config } => {
                self.pass(7);
                self.store.write(is_config, self.now_ms);
            }
            Step::Restore { age_ms, rewrite_delay_ms } => {
                self.pass(1);
                self.store.restore(age_ms, self.now_ms);
                // The restored version shows that writes are missing only if it is older
                // than the entry's own.
                let is_seen = self.store.version() < self.entry.version;
                let max_ms = if is_seen { MAX_LATE_REWRITE_MS } else { MAX_REWRITE_MS };
                let rewrite_at_ms = self.now_ms + rewrite_delay_ms.min(max_ms);
                self.store.rewrite_at_ms = Some(rewrite_at_ms);
                self.store.rewrite(self.now_ms);
            }
            Step::StoreRespondsToEntry => self.entry_calls(),
            Step::EntryReceives => self.entry.receive(self.now_ms),
            Step::OtherCallReceivesEra => {
                self.entry.update_era(Some(self.store.era), self.now_ms);
            }
            Step::EntryAsksHub { travel_ms } => self.entry_asks_hub(travel_ms),
            Step::EntryTimesOut => self.entry.pending_request = None,
            Step::OtherEntryAsksHub => self.hub.join(self.store.position()),
            Step::StoreRespondsToHub => self.hub_calls(),
            Step::HubReceives { pause_ms } => self.hub_receives(pause_ms),
        }
    }

    fn entry_calls(&mut self) {
        if self.entry.in_transit.is_none() && self.entry.pending_request.is_none() {
            let asked_ms = self.now_ms;
            let position = self.entry.cursor.position();
            let response = self.store.respond(position);
            self.entry.in_transit = Some((response, asked_ms, self.now_ms));
        }
    }

    fn entry_asks_hub(&mut self, travel_ms: u64) {
        let Some(position) = self.entry.cursor.position() else { return };
        if self.entry.in_transit.is_some() || self.entry.pending_request.is_some() {
            return;
        }
        let asked_ms = self.now_ms;
        self.pass(travel_ms);
        let arrived_at = UnixMs(self.now_ms + HUB_CLOCK_OFFSET_MS);
        let question = PendingWatch { position, arrived_at };
        self.hub.join(position);
        if !question.is_behind(self.hub.quiet_from) {
            self.entry.pending_request = Some((asked_ms, question));
        }
    }

    fn hub_calls(&mut self) {
        if let (Some(from), None) = (self.hub.position, &self.hub.in_transit) {
            // The call waits for a change, or until the end of its wait.
            let asked_ms = self.now_ms;
            let is_quiet = |response: &Response| match response {
                Response::Watch { versions, .. } => versions.is_empty(),
                _ => false,
            };
            let mut response = self.store.watch(from);
            if is_quiet(&response) {
                self.pass(WAIT_MS);
                response = self.store.watch(from);
            }
            self.hub.in_transit = Some((response, asked_ms, self.now_ms));
        }
    }

    fn hub_receives(&mut self, pause_ms: u64) {
        let Some((response, asked_ms, answered_ms)) = self.hub.in_transit.take() else {
            return;
        };
        self.pass(pause_ms);
        let Response::Watch { from, to, versions } = response else {
            return self.reset_hub();
        };
        let confirmed_ms = if versions.is_empty() { answered_ms } else { asked_ms };
        let brought = WatchResult {
            from,
            to,
            changes: (!versions.is_empty()).then_some(versions),
            confirmed_at: UnixMs(confirmed_ms + HUB_CLOCK_OFFSET_MS),
        };
        if !brought.is_single_era() {
            return self.reset_hub();
        }
        self.hub.position = Some(to);
        if brought.changes.is_some() {
            self.hub.quiet_from = to;
        }
        let Some((asked_ms, question)) = self.entry.pending_request else { return };
        let Some(reply) = question.reply_from(&brought) else { return };
        self.entry.pending_request = None;
        if self.entry.cursor.position() == Some(question.position) {
            self.entry.receive_from_hub(reply, asked_ms, self.now_ms);
        }
    }

    fn reset_hub(&mut self) {
        self.hub = Hub::default();
        self.entry.pending_request = None;
    }

    /// Returns whether the entry has every configuration acknowledged by its confirmed
    /// time.
    fn confirms_no_missing_version(&self) -> bool {
        let confirmed_ms = self.entry.freshness.confirmed_at().0;
        let missing = |&&(version, _): &&(u64, u64)| version > self.entry.version;
        let mut missing = self.store.acknowledged.iter().filter(missing);
        missing.all(|&(_, written_ms)| written_ms >= confirmed_ms)
    }

    /// Delivers all responses in transit.
    fn settle(&mut self) {
        self.pass(MAX_LATE_REWRITE_MS);
        self.hub_receives(0);
        self.entry.receive(self.now_ms);
        self.entry.pending_request = None;
    }

    fn entry_calls_and_receives(&mut self) {
        self.entry_calls();
        self.entry.receive(self.now_ms);
    }
}

proptest! {
    #[test]
    fn no_change_is_missed_and_no_key_is_valid_past_its_bound(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new();
        let mut version = 0;
        for step in steps {
            model.step(step);
            prop_assert!(model.confirms_no_missing_version());
            let is_monotonic = model.entry.version >= version;
            prop_assert!(is_monotonic, "the entry went back to an older version");
            version = model.entry.version;
        }
        // Once the store is stable, the entry catches up within a limited number of
        // calls.
        model.settle();
        for _ in 0..MAX_CATCH_UP_CALLS {
            model.entry_calls_and_receives();
        }
        prop_assert_eq!(model.entry.version, model.store.newest());
        // After the unverified period the state is confirmed, so callers are served
        // again.
        model.pass(MAX_REWRITE_MS);
        let before_ms = model.now_ms;
        model.entry_calls_and_receives();
        prop_assert!(model.entry.freshness.confirmed_at().0 >= before_ms);
        // The hub reports the next change or makes the entry call the store itself.
        model.store.write(true, model.now_ms);
        for _ in 0..MAX_CATCH_UP_CALLS {
            model.entry_asks_hub(0);
            model.hub_calls();
            model.hub_receives(0);
            model.entry.pending_request = None;
        }
        model.entry_calls_and_receives();
        prop_assert_eq!(model.entry.version, model.store.newest());
        prop_assert!(model.confirms_no_missing_version());
    }
}
