//! Keeps prompt parts of one version of the weights from requests for another.
//!
//! A run can outlive a load of weights and be prefilled again, and its parts then lie
//! under the salt of the old version although the new weights made them. A fetch that a
//! request names is carried out when the request leaves its engine's queue, possibly
//! after such a load. The sidecar of an engine therefore ends the sharing of its parts
//! before it orders a load, and waits until each entry has released them.

use std::collections::BTreeMap;

use crate::UnixMs;

/// How long an entry uses the parts of an engine whose sidecar sends nothing.
const MAX_SILENCE_MS: u64 = 3_000;

/// How long the requests of an entry that is gone may still use parts: as long as the
/// entry keeps using the parts of a silent engine, and a request then waits.
const DEPARTED_MS: u64 = 10_000;

/// How long a request may go on at its engine after its connection was closed.
///
/// The close discards what was not delivered, and engines drop the request.
const CLOSED_MS: u64 = 1_000;

/// Whether entries may use the parts of an engine.
///
/// Use means that another engine fetches parts from it, or that it writes parts to a
/// prompt store.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct SharingState {
    /// Identifies the period up to the next load; differs between sidecar processes.
    pub term: u64,
    /// Whether new uses may begin.
    pub is_open: bool,
}

/// How an engine may begin a load of weights.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum LoadPermission {
    /// Entries still have to release its parts.
    Wait,
    /// Runs may go on, as nobody uses its parts.
    Retain,
    /// Runs have to finish first, as an entry may still use its parts.
    Finish,
}

/// The sidecar's record of the entries that may use the parts of its engine.
#[derive(Debug)]
pub struct SharingGate {
    state: SharingState,
    closed_at: UnixMs,
    max_wait_ms: u64,
    /// The connected entries by connection.
    entries: BTreeMap<u64, ConnectedEntry>,
    last_connection: u64,
    /// When the last request of an entry ends that left without a release.
    departed_until: BTreeMap<u64, UnixMs>,
}

/// A connected entry.
#[derive(Debug, Default)]
struct ConnectedEntry {
    /// The process, once it has identified itself.
    process: u64,
    released_term: Option<u64>,
}

impl SharingGate {
    /// Creates a closed gate. Entries have `max_wait_ms` to release the parts.
    ///
    /// Entries that knew an earlier process count as departed.
    pub fn new(now: UnixMs, max_wait_ms: u64) -> Self {
        Self {
            state: SharingState { term: now.0, is_open: false },
            closed_at: now,
            max_wait_ms,
            entries: BTreeMap::new(),
            last_connection: 0,
            departed_until: BTreeMap::from([(0, now.plus_ms(DEPARTED_MS))]),
        }
    }

    /// Returns the state to be sent to entries.
    pub fn state(&self) -> SharingState {
        self.state
    }

    /// Lets entries use the parts in a new term.
    pub fn open(&mut self) {
        if !self.state.is_open {
            self.state = SharingState { term: self.state.term + 1, is_open: true };
        }
    }

    /// Ends the sharing before a load.
    pub fn close(&mut self, now: UnixMs) {
        if std::mem::replace(&mut self.state.is_open, false) {
            self.closed_at = now;
        }
    }

    /// Adds a connection and returns its number.
    pub fn connect(&mut self) -> u64 {
        self.last_connection += 1;
        self.entries.insert(self.last_connection, ConnectedEntry::default());
        self.last_connection
    }

    /// Records which process connected; `process` is a random number.
    ///
    /// A process that comes back releases what it used before as well.
    pub fn identify(&mut self, connection: u64, process: u64) {
        if let Some(entry) = self.entries.get_mut(&connection).filter(|_| process != 0) {
            entry.process = process;
            self.departed_until.remove(&process);
        }
    }

    /// Records that an entry has no use left from `term` or before.
    pub fn release(&mut self, connection: u64, term: u64) {
        if let Some(entry) = self.entries.get_mut(&connection) {
            entry.released_term = Some(term);
        }
    }

    /// Removes a connection.
    pub fn disconnect(&mut self, connection: u64, now: UnixMs) {
        let term = self.released_term();
        if let Some(entry) = self.entries.remove(&connection)
            && entry.released_term != term
        {
            self.departed_until.insert(entry.process, now.plus_ms(DEPARTED_MS));
        }
    }

    /// Returns how a load may begin.
    pub fn permission(&mut self, now: UnixMs) -> LoadPermission {
        let term = self.released_term();
        let has_waited = self.closed_at.plus_ms(self.max_wait_ms).has_passed_at(now);
        let has_released = |entry: &ConnectedEntry| entry.released_term == term;
        let all_released = self.entries.values().all(has_released);
        self.departed_until.retain(|_, until| !until.has_passed_at(now));
        match all_released && self.departed_until.is_empty() {
            _ if term.is_none() => LoadPermission::Wait,
            true => LoadPermission::Retain,
            false if all_released || has_waited => LoadPermission::Finish,
            false => LoadPermission::Wait,
        }
    }

    /// Returns the term that entries have to release, if the gate is closed.
    fn released_term(&self) -> Option<u64> {
        (!self.state.is_open).then_some(self.state.term)
    }
}

/// An entry's uses of the parts of one engine.
#[derive(Debug, Default)]
pub struct PartUses {
    state: Option<ReportedSharing>,
    in_progress: usize,
    /// The number of requests whose connections have been closed since the last query.
    abandoned: usize,
    /// Until when the earlier ones may go on.
    abandoned_until: Vec<UnixMs>,
}

/// The last report of an engine's sidecar.
#[derive(Debug, Clone)]
struct ReportedSharing {
    state: SharingState,
    models: Vec<(String, u64)>,
    reported_at: UnixMs,
}

impl PartUses {
    /// Records a report of the engine's sidecar and the weights of its models.
    pub fn record(
        &mut self,
        state: Option<SharingState>,
        models: Vec<(String, u64)>,
        now: UnixMs,
    ) {
        self.state =
            state.map(|state| ReportedSharing { state, models, reported_at: now });
    }

    /// Reports whether parts made under `version` may be used.
    pub fn may_use(&self, model: &str, version: u64, now: UnixMs) -> bool {
        self.state.as_ref().is_some_and(|reported| {
            reported.state.is_open
                && !reported.reported_at.plus_ms(MAX_SILENCE_MS).has_passed_at(now)
                && reported.models.iter().any(|it| it.0 == model && it.1 == version)
        })
    }

    /// Begins a use.
    pub fn begin(&mut self) {
        self.in_progress += 1;
    }

    /// Ends a use: nothing can be fetched or written for it any more.
    pub fn end(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Ends a use whose request may go on for a while, as its connection was closed.
    pub fn abandon(&mut self) {
        self.end();
        self.abandoned += 1;
    }

    /// Returns the term to release, if the sharing has ended and so have all uses.
    pub fn released_term(&mut self, now: UnixMs) -> Option<u64> {
        let abandoned = std::mem::take(&mut self.abandoned);
        let until = now.plus_ms(CLOSED_MS);
        self.abandoned_until.extend(std::iter::repeat_n(until, abandoned));
        self.abandoned_until.retain(|until| !until.has_passed_at(now));
        let state = self.state.as_ref()?.state;
        let is_unused = self.in_progress == 0 && self.abandoned_until.is_empty();
        (!state.is_open && is_unused).then_some(state.term)
    }
}
