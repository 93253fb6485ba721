//! Which requests were running at servers when these crashed.
//!
//! The load pattern: a request crashes each server that begins to run it, and comes again at
//! any entry under a new attempt id. Judged by one entry or one attempt alone it takes the
//! servers of a service one after the other, with all that runs there.
//!
//! A crash also cuts requests that have nothing to do with it. A request that has run to its
//! end did not cause the crashes known by then, so these are void for it. And a crash has one
//! cause: those of the request with the most crashes count against no other. If several have
//! equally many, the one with the shortest mean run time is blamed, because the cause
//! runs on a server only until the crash, while others may have run there for longer.
//!
//! Reports form a set that only grows, from unknown over counted to void, so they may be
//! merged in any order, repeated and relayed by anybody.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::RequestKey;
use crate::UnixMs;

/// After how many crashes a request runs alone and is sent once an attempt.
const SUSPECT_AFTER: usize = 2;

/// After how many crashes a request is rejected.
const QUARANTINE_AFTER: usize = 3;

/// How long after the last crash of a request its quarantine takes effect.
///
/// Entries confirm the same crash at different times. The delay lets reports on other requests
/// that ran at the server arrive before a request is rejected for its crash.
const QUARANTINE_DELAY_MS: u64 = 300;

/// How long a request is rejected after its last crash.
///
/// Long enough that a request which still crashes servers costs one of them rarely, short
/// enough that a mended server gets it the same day.
const QUARANTINE_MS: u64 = 600_000;

/// How long after its last crash a request is forgotten.
const FORGET_MS: u64 = 3_600_000;

/// How many crashes of one request are kept.
const MAX_CRASHES: usize = 16;

/// How many requests are kept; those known least long and not in quarantine give way.
const MAX_REQUESTS: usize = 20_000;

/// How many crashed servers are kept. At the limit, those last reported at least `FORGET_MS`
/// ago are dropped; if there are none, the new one is not recorded.
const MAX_CRASHED_SERVERS: usize = 20_000;

/// How long after it ran to its end a request is not blamed for a crash.
const SERVED_MS: u64 = 10_000;

/// A crash of a server during a run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub request: RequestKey,
    /// A hash of the server's identity, its start and its crashes known before the run.
    pub server: u64,
    /// How long the request had run there, in milliseconds; the longest of several runs.
    pub ran_ms: u64,
    /// Whether the request has run to its end since, so that it is not to blame.
    pub is_void: bool,
}

/// Whether and how a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is sent like any other.
    Good,
    /// It is sent once an attempt, where least else runs.
    Suspect,
    /// It is rejected.
    Quarantined {
        /// Until then.
        until: UnixMs,
    },
}

/// The crashes of servers, by the requests that they ran.
#[derive(Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<RequestKey, Crashes>,
    /// The crashed servers, by [`CrashReport::server`], with the time of the last report.
    crashed_servers: HashMap<u64, UnixMs>,
    /// The requests with enough crashes to be rejected.
    candidates: HashSet<RequestKey>,
    /// Those of them that caused crashes, by the present reports.
    blamed: HashSet<RequestKey>,
}

/// The crashes during runs of one request.
#[derive(Debug)]
struct Crashes {
    reports: Vec<CrashReport>,
    last_at: UnixMs,
}

impl Crashes {
    fn servers(&self) -> impl Iterator<Item = u64> {
        let counted = self.reports.iter().filter(|report| !report.is_void);
        counted.map(|report| report.server)
    }

    fn counted(&self) -> usize {
        self.servers().count()
    }

    /// Returns the mean run time over the counted crashes.
    fn mean_ran_ms(&self) -> u64 {
        let counted = self.reports.iter().filter(|report| !report.is_void);
        let total_ms: u64 = counted.map(|report| report.ran_ms).sum();
        total_ms / self.counted().max(1) as u64
    }

    fn standing(&self, is_blamed: bool, now: UnixMs) -> Standing {
        let until = self.last_at.plus_ms(QUARANTINE_MS);
        match self.counted() {
            _ if is_blamed && !until.has_passed_at(now) => {
                Standing::Quarantined { until }
            }
            count if count >= SUSPECT_AFTER => Standing::Suspect,
            _ => Standing::Good,
        }
    }
}

impl CrashLedger {
    /// Merges a report; returns whether it changes anything.
    pub fn merge(&mut self, report: CrashReport, now: UnixMs) -> bool {
        let is_news = self.insert(report, now);
        if is_news {
            self.update_blame(report.request);
        }
        is_news
    }

    fn insert(&mut self, report: CrashReport, now: UnixMs) -> bool {
        self.make_room(report.request, now);
        self.record_crashed_server(report.server, now);
        let fresh = || Crashes { reports: Vec::new(), last_at: now };
        let crashes = self.requests.entry(report.request).or_insert_with(fresh);
        if is_forgotten(crashes, now) {
            *crashes = fresh();
        }
        let known =
            crashes.reports.iter_mut().find(|known| known.server == report.server);
        match known {
            Some(known) => {
                let is_voided = report.is_void && !known.is_void;
                let is_longer = report.ran_ms > known.ran_ms;
                known.is_void |= report.is_void;
                known.ran_ms = known.ran_ms.max(report.ran_ms);
                is_voided || is_longer
            }
            None => {
                if crashes.reports.len() >= MAX_CRASHES {
                    let at = crashes.reports.iter().position(|known| known.is_void);
                    let Some(at) = at else { return false };
                    crashes.reports.remove(at);
                }
                crashes.reports.push(report);
                if !report.is_void {
                    crashes.last_at = now;
                }
                true
            }
        }
    }

    /// Voids the crashes of a request that has run to its end; returns what changed.
    pub fn void_crashes(&mut self, request: RequestKey) -> Vec<CrashReport> {
        let Some(crashes) = self.requests.get_mut(&request) else { return Vec::new() };
        let counted = crashes.reports.iter_mut().filter(|report| !report.is_void);
        let voided = counted.map(|report| {
            report.is_void = true;
            *report
        });
        let voided: Vec<_> = voided.collect();
        if !voided.is_empty() {
            self.update_blame(request);
        }
        voided
    }

    /// Returns how a request stands.
    pub fn standing(&self, request: RequestKey, now: UnixMs) -> Standing {
        let crashes = self.requests.get(&request);
        let crashes = crashes.filter(|crashes| !is_forgotten(crashes, now));
        let is_blamed = self.blamed.contains(&request);
        crashes.map_or(Standing::Good, |crashes| crashes.standing(is_blamed, now))
    }

    /// Returns whether a crash of a server is recorded, from a report on any request, void
    /// or not.
    pub fn has_crashed(&self, server: u64) -> bool {
        self.crashed_servers.contains_key(&server)
    }

    fn record_crashed_server(&mut self, server: u64, now: UnixMs) {
        if self.crashed_servers.len() >= MAX_CRASHED_SERVERS {
            self.crashed_servers.retain(|_, at| now.ms_since(*at) < FORGET_MS);
        }
        if self.crashed_servers.len() < MAX_CRASHED_SERVERS {
            self.crashed_servers.insert(server, now);
        }
    }

    /// Returns whether a request in quarantine must wait instead of being rejected, because
    /// reports that lift its quarantine may still arrive.
    pub fn is_quarantine_pending(&self, request: RequestKey, now: UnixMs) -> bool {
        let crashes = self.requests.get(&request);
        let effective_at =
            crashes.map(|crashes| crashes.last_at.plus_ms(QUARANTINE_DELAY_MS));
        let is_quarantined =
            matches!(self.standing(request, now), Standing::Quarantined { .. });
        is_quarantined && effective_at.is_some_and(|at| !at.has_passed_at(now))
    }

    /// Returns all reports on requests that are not forgotten.
    pub fn reports(&self, now: UnixMs) -> Vec<CrashReport> {
        let crashes = self.requests.values();
        let crashes = crashes.filter(|crashes| !is_forgotten(crashes, now));
        crashes.flat_map(|crashes| &crashes.reports).copied().collect()
    }

    /// Returns the reports on requests that are suspect or in quarantine.
    pub fn reports_on_suspects(&self, now: UnixMs) -> Vec<CrashReport> {
        let suspects = self.requests.iter();
        let suspects = suspects
            .filter(|(request, _)| self.standing(**request, now) != Standing::Good);
        suspects.flat_map(|(_, crashes)| &crashes.reports).copied().collect()
    }

    /// Assigns blame anew if the crashes of a request may change it.
    fn update_blame(&mut self, request: RequestKey) {
        let counted = self.requests.get(&request).map_or(0, Crashes::counted);
        let was_candidate = match counted >= QUARANTINE_AFTER {
            true => !self.candidates.insert(request),
            false => self.candidates.remove(&request),
        };
        if was_candidate || counted >= QUARANTINE_AFTER {
            self.assign_blame();
        }
    }

    /// Holds each crash against one request, that with the most crashes first.
    ///
    /// A request that ran wherever another one crashed servers would else be rejected with
    /// it, and never run again to show that it crashes none. One that is taken for the cause
    /// wrongly crashes no more, while the true cause gets more crashes than it, or three that
    /// are not explained.
    fn assign_blame(&mut self) {
        let requests = &self.requests;
        self.candidates.retain(|request| requests.contains_key(request));
        let counted = |request: &RequestKey| requests[request].counted();
        let mut ranked: Vec<_> = self.candidates.iter().copied().collect();
        let mean_ran_ms = |request: &RequestKey| requests[request].mean_ran_ms();
        ranked.sort_unstable_by_key(|request| {
            (Reverse(counted(request)), mean_ran_ms(request), *request)
        });
        let mut explained = HashSet::new();
        self.blamed.clear();
        for request in ranked {
            let crashes = &requests[&request];
            let unexplained =
                crashes.servers().filter(|server| !explained.contains(server));
            if unexplained.count() >= QUARANTINE_AFTER {
                self.blamed.insert(request);
                explained.extend(crashes.servers());
            }
        }
    }

    /// Drops what is forgotten, and then half of the requests that are not in quarantine,
    /// if another request would exceed the limit.
    fn make_room(&mut self, request: RequestKey, now: UnixMs) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&request) {
            return;
        }
        self.requests.retain(|_, crashes| !is_forgotten(crashes, now));
        if self.requests.len() < MAX_REQUESTS {
            return;
        }
        let blamed = &self.blamed;
        let others = self.requests.iter().filter(|(other, _)| !blamed.contains(*other));
        let mut times: Vec<UnixMs> = others.map(|(_, crashes)| crashes.last_at).collect();
        times.sort_unstable();
        let Some(&median) = times.get(times.len() / 2) else { return };
        self.requests
            .retain(|other, crashes| blamed.contains(other) || crashes.last_at > median);
    }
}

fn is_forgotten(crashes: &Crashes, now: UnixMs) -> bool {
    now.ms_since(crashes.last_at) >= FORGET_MS
}

/// The requests that have run to their end lately.
///
/// Kept in two generations, so that old ones are dropped without a search.
#[derive(Debug, Default)]
pub struct ServedRequests {
    current: HashMap<RequestKey, UnixMs>,
    previous: HashMap<RequestKey, UnixMs>,
    since: UnixMs,
}

impl ServedRequests {
    /// Records that a request has run to its end.
    pub fn record(&mut self, request: RequestKey, now: UnixMs) {
        if now.ms_since(self.since) >= SERVED_MS {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(request, now);
    }

    /// Returns whether a request ran to its end shortly before.
    pub fn contains(&self, request: RequestKey, now: UnixMs) -> bool {
        let served_at = self.current.get(&request).or(self.previous.get(&request));
        served_at.is_some_and(|at| now.ms_since(*at) < SERVED_MS)
    }
}
