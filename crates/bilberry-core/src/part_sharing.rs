//! Keeps prompt parts of one version of the weights from requests for another.
//!
//! A run can outlive a load of weights and be prefilled again, and its parts then lie
//! under the salt of the old version although the new weights made them. A fetch that a
//! request names is carried out when the request leaves its engine's queue, possibly
//! after such a load. The sidecar of an engine therefore ends the sharing of its parts
//! before it orders a load, and waits until each entry has released them.

use std::collections::BTreeMap;

use crate::UnixMs;

/// How long an entry uses the parts of an engine after its sidecar ended.
const MAX_SILENCE_MS: u64 = 3_000;

/// How long requests of an entry that left may still use parts: as long as the entry may
/// begin new ones, and they wait in the queues of engines.
const DEPARTED_MS: u64 = 10_000;

/// How late an order may be carried out.
const MAX_ORDER_DELAY_MS: u64 = 10_000;

/// How long a request may go on at its engine after its connection was closed.
///
/// The close discards what was not delivered, and engines drop the request.
const CLOSED_REQUEST_MS: u64 = 1_000;

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

/// What a sidecar knows of the next load of its engine.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum LoadOutlook {
    /// The engine has the newest weights that have been announced.
    Current,
    /// The same as far as known, but the announcements have not been listed yet.
    Unconfirmed,
    /// A load is scheduled, and is not due soon.
    Planned,
    /// A load is in progress or due soon, or the newest weights are not known.
    Imminent,
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

/// The entries that prevent an engine's runs from being retained.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct UnreleasedEntries {
    /// Connected entries that still use its parts.
    pub connected: usize,
    /// Connected entries of an earlier release, which release nothing.
    pub unidentified: usize,
    /// Entries that left without a release, and whose requests may still go on.
    pub departed: usize,
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
    /// When the last request ends of an entry that left without a release, by process.
    departed_until: BTreeMap<u64, UnixMs>,
    orders: UnconfirmedOrders,
}

/// Orders to retain runs that may still be carried out.
#[derive(Debug)]
struct UnconfirmedOrders {
    /// The newest ordered version of each model that the engine has not loaded.
    own: BTreeMap<String, u64>,
    /// Whether an earlier process of the sidecar may have sent one.
    may_inherit: bool,
    /// When an order of an earlier process has expired.
    inherited_until: UnixMs,
}

/// A connected entry.
#[derive(Debug, Default)]
struct ConnectedEntry {
    /// A random number of the process, once it has identified itself.
    process: Option<u64>,
    released_term: Option<u64>,
}

/// Stands for the processes that never identified themselves.
const UNIDENTIFIED: u64 = 0;

impl SharingGate {
    /// Creates a closed gate. Entries have `max_wait_ms` to release the parts.
    ///
    /// Entries that knew an earlier process of the sidecar count as departed.
    pub fn new(now: UnixMs, max_wait_ms: u64) -> Self {
        Self {
            state: SharingState { term: now.0, is_open: false },
            closed_at: now,
            max_wait_ms,
            entries: BTreeMap::new(),
            last_connection: 0,
            departed_until: BTreeMap::from([(UNIDENTIFIED, now.plus_ms(DEPARTED_MS))]),
            orders: UnconfirmedOrders {
                own: BTreeMap::new(),
                may_inherit: true,
                inherited_until: now.plus_ms(MAX_ORDER_DELAY_MS),
            },
        }
    }

    /// Returns the state to be sent to entries.
    pub fn state(&self) -> SharingState {
        self.state
    }

    /// Opens or closes the gate according to the engine's next load and its weights.
    ///
    /// The gate stays closed while an order may be carried out that retains runs, even if
    /// the load is scheduled anew for later.
    pub fn update(
        &mut self,
        outlook: LoadOutlook,
        served: &[(String, u64)],
        now: UnixMs,
    ) {
        self.orders.update(outlook, served, now);
        match outlook {
            _ if self.orders.are_possible() => self.close(now),
            LoadOutlook::Imminent => self.close(now),
            _ => self.open(),
        }
    }

    /// Records an order that retains runs, before it is sent.
    pub fn record_retaining_order(&mut self, model: &str, version: u64) {
        let newest = self.orders.own.entry(model.to_string()).or_default();
        *newest = version.max(*newest);
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

    /// Records that a process has no use left from `term` or before; zero stands for none.
    ///
    /// A process that comes back releases what it used before as well.
    pub fn release(&mut self, connection: u64, process: u64, term: u64) {
        if let Some(entry) = self.entries.get_mut(&connection) {
            *entry = ConnectedEntry { process: Some(process), released_term: Some(term) };
            self.departed_until.remove(&process);
        }
    }

    /// Removes a connection.
    pub fn disconnect(&mut self, connection: u64, now: UnixMs) {
        if let Some(entry) = self.entries.remove(&connection)
            && entry.released_term != Some(self.state.term)
        {
            let process = entry.process.unwrap_or(UNIDENTIFIED);
            self.departed_until.insert(process, now.plus_ms(DEPARTED_MS));
        }
    }

    /// Returns the entries that have not released the current term.
    pub fn unreleased(&self, now: UnixMs) -> UnreleasedEntries {
        let term = Some(self.state.term);
        let entries = || self.entries.values();
        let connected =
            entries().filter(|it| it.process.is_some() && it.released_term != term);
        let departed = self.departed_until.values();
        UnreleasedEntries {
            connected: connected.count(),
            unidentified: entries().filter(|it| it.process.is_none()).count(),
            departed: departed.filter(|until| !until.has_passed_at(now)).count(),
        }
    }

    /// Returns how a load may begin.
    pub fn permission(&mut self, now: UnixMs) -> LoadPermission {
        self.departed_until.retain(|_, until| !until.has_passed_at(now));
        let has_waited = self.closed_at.plus_ms(self.max_wait_ms).has_passed_at(now);
        match self.unreleased(now) {
            _ if self.state.is_open => LoadPermission::Wait,
            unreleased if unreleased == UnreleasedEntries::default() => {
                LoadPermission::Retain
            }
            unreleased if unreleased.connected == 0 || has_waited => {
                LoadPermission::Finish
            }
            _ => LoadPermission::Wait,
        }
    }
}

impl UnconfirmedOrders {
    /// Discards the orders that can't be carried out any more.
    ///
    /// Each order expects the number of orders before it, so of several at most one is
    /// carried out.
    fn update(&mut self, outlook: LoadOutlook, served: &[(String, u64)], now: UnixMs) {
        let had_orders = !self.own.is_empty();
        self.own.retain(|model, ordered| {
            !served.iter().any(|(name, version)| name == model && version >= ordered)
        });
        let is_loaded = had_orders && self.own.is_empty();
        let has_expired = self.inherited_until.has_passed_at(now);
        self.may_inherit &= match outlook {
            LoadOutlook::Current => false,
            LoadOutlook::Unconfirmed => !has_expired && !is_loaded,
            LoadOutlook::Planned | LoadOutlook::Imminent => !is_loaded,
        };
    }

    fn are_possible(&self) -> bool {
        self.may_inherit || !self.own.is_empty()
    }
}

/// An entry's uses of the parts of one engine.
#[derive(Debug, Default)]
pub struct PartUses {
    state: Option<ReportedSharing>,
    /// Whether no use begins any more.
    is_retired: bool,
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

    /// Discards the report of a sidecar that can't be reached.
    pub fn forget_report(&mut self) {
        self.state = None;
    }

    /// Ends all use, as the process ends; the current term can then be released early.
    pub fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Reports whether parts made under `version` may be used.
    pub fn may_use(&self, model: &str, version: u64, now: UnixMs) -> bool {
        self.state.as_ref().is_some_and(|reported| {
            reported.state.is_open
                && !self.is_retired
                && !reported.reported_at.plus_ms(MAX_SILENCE_MS).has_passed_at(now)
                && reported.models.iter().any(|it| it.0 == model && it.1 == version)
        })
    }

    /// Returns how long ago the sidecar reported, in milliseconds.
    pub fn report_age_ms(&self, now: UnixMs) -> Option<u64> {
        self.state.as_ref().map(|reported| now.ms_since(reported.reported_at))
    }

    /// Begins a use of parts made under `version`; returns whether it may.
    pub fn try_begin(&mut self, model: &str, version: u64, now: UnixMs) -> bool {
        let may_use = self.may_use(model, version, now);
        self.in_progress += usize::from(may_use);
        may_use
    }

    /// Begins a use of the parts of an engine whose runs finish before each load.
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
        let until = now.plus_ms(CLOSED_REQUEST_MS);
        self.abandoned_until.extend(std::iter::repeat_n(until, abandoned));
        self.abandoned_until.retain(|until| !until.has_passed_at(now));
        let state = self.state.as_ref()?.state;
        let is_unused = self.in_progress == 0 && self.abandoned_until.is_empty();
        let has_ended = !state.is_open || self.is_retired;
        (has_ended && is_unused).then_some(state.term)
    }
}
