//! A model of entries and relays that crash, restart and receive late.

use bilberry_core::CrashLedger;
use bilberry_core::CrashReport;
use bilberry_core::RequestKey;
use bilberry_core::Standing;
use bilberry_core::UnixMs;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::proptest;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The request that crashes servers.
const CRASHING: RequestKey = RequestKey(1);

const ENTRIES: usize = 4;
const RELAYS: usize = 3;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 60_000;

/// The time between two arrivals of the request, each at any entry.
const ARRIVES_EVERY_MS: u64 = 150;

/// How long after a send its server's crash is confirmed, at most.
const CONFIRMED_WITHIN_MS: u64 = 200;

/// How long a notice takes, or a new connection until it has replayed all reports.
const MOST_DELAY_MS: u64 = 500;

/// From when after the third crash, or its own start, an entry is in touch.
const CONTACT_MS: u64 = 3_000;

/// How many sends are allowed later than that.
const MOST_LATER: usize = 3;

/// Something that takes effect at a certain time.
#[derive(Debug, Clone)]
enum Event {
    /// The crash of a server that an entry sent the request to is confirmed there.
    Crash { entry: usize, start: u64, server: u64 },
    /// Reports reach a relay.
    AtRelay { relay: usize, reports: Vec<CrashReport> },
    /// Reports reach an entry.
    AtEntry { entry: usize, start: u64, reports: Vec<CrashReport> },
}

#[derive(Debug, Default)]
struct Entry {
    ledger: CrashLedger,
    started_ms: u64,
    /// Its starts so far; what is meant for an earlier one is lost.
    start: u64,
}

struct Model {
    random: StdRng,
    now_ms: u64,
    entries: Vec<Entry>,
    relays: Vec<CrashLedger>,
    events: Vec<(u64, Event)>,
    crashes_ms: Vec<u64>,
    later: usize,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now_ms: 10_000,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            relays: (0..RELAYS).map(|_| CrashLedger::default()).collect(),
            events: Vec::new(),
            crashes_ms: Vec::new(),
            later: 0,
        }
    }

    fn now(&self) -> UnixMs {
        UnixMs(self.now_ms)
    }

    fn later(&mut self, most_ms: u64, event: Event) {
        let at_ms = self.now_ms + self.random.random_range(STEP_MS..=most_ms);
        self.events.push((at_ms, event));
    }

    fn run(mut self) -> usize {
        let end_ms = self.now_ms + RUN_MS;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let now_ms = self.now_ms;
            let due: Vec<_> =
                self.events.extract_if(.., |(at_ms, _)| *at_ms <= now_ms).collect();
            due.into_iter().for_each(|(_, event)| self.handle(event));
            if now_ms.is_multiple_of(ARRIVES_EVERY_MS) {
                self.arrive();
            }
            // One process at a time loses its memory, as those that last replay it.
            if self.random.random_ratio(1, 400) {
                self.restart_entry();
            }
            if now_ms.is_multiple_of(4 * CONTACT_MS) {
                self.restart_relay();
            }
        }
        self.later
    }

    /// The request arrives at an entry, which sends it unless it is in quarantine.
    fn arrive(&mut self) {
        let entry = self.random.random_range(0..ENTRIES);
        let now = self.now();
        let Entry { ledger, started_ms, start } = &self.entries[entry];
        let start = *start;
        if matches!(ledger.standing(CRASHING, now), Standing::Quarantined { .. }) {
            return;
        }
        let third_ms = self.crashes_ms.get(2).copied().unwrap_or(u64::MAX);
        let in_touch_from_ms = third_ms.max(*started_ms).saturating_add(CONTACT_MS);
        self.later += usize::from(self.now_ms > in_touch_from_ms);
        let server = self.random.random();
        self.crashes_ms.push(self.now_ms);
        self.later(CONFIRMED_WITHIN_MS, Event::Crash { entry, start, server });
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Crash { entry, start, server } => {
                if self.entries[entry].start != start {
                    return;
                }
                let report =
                    CrashReport { request: CRASHING, server, ran_ms: 0, is_void: false };
                self.entries[entry].ledger.merge(report, now);
                for relay in 0..RELAYS {
                    let reports = vec![report];
                    self.later(MOST_DELAY_MS, Event::AtRelay { relay, reports });
                }
            }
            Event::AtRelay { relay, mut reports } => {
                reports.retain(|report| self.relays[relay].merge(*report, now));
                for entry in 0..ENTRIES {
                    let start = self.entries[entry].start;
                    let reports = reports.clone();
                    self.later(MOST_DELAY_MS, Event::AtEntry { entry, start, reports });
                }
            }
            Event::AtEntry { entry, start, reports } => {
                let entry = &mut self.entries[entry];
                if entry.start == start {
                    reports.into_iter().for_each(|report| {
                        entry.ledger.merge(report, now);
                    });
                }
            }
        }
    }

    /// An entry loses its memory; relays replay what they know as it connects.
    fn restart_entry(&mut self) {
        let entry = self.random.random_range(0..ENTRIES);
        let start = self.entries[entry].start + 1;
        let ledger = CrashLedger::default();
        self.entries[entry] = Entry { ledger, started_ms: self.now_ms, start };
        for relay in 0..RELAYS {
            let reports = self.relays[relay].reports(self.now());
            self.later(MOST_DELAY_MS, Event::AtEntry { entry, start, reports });
        }
    }

    /// A relay loses its memory; entries repeat what they know of suspects.
    fn restart_relay(&mut self) {
        let relay = self.random.random_range(0..RELAYS);
        self.relays[relay] = CrashLedger::default();
        for entry in 0..ENTRIES {
            let reports = self.entries[entry].ledger.reports_on_suspects(self.now());
            self.later(MOST_DELAY_MS, Event::AtRelay { relay, reports });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn a_crashing_request_is_sent_three_times_at_most_by_entries_in_touch(seed in any::<u64>()) {
        let later = Model::new(seed).run();
        prop_assert!(later <= MOST_LATER, "{} sends later", later);
    }
}
