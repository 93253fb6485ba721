//! Which requests were running at servers when these crashed.
//!
//! The load pattern: a request crashes each server that begins to run it, and comes again at
//! any entry under a new attempt id. Judged by one entry or one attempt alone it takes the
//! servers of a service one after the other, with all that runs there.
//!
//! A crash also cuts requests that have nothing to do with it. A request that has run to its
//! end did not cause the crashes known by then, so these are void for it.
//!
//! Reports form a set that only grows, from unknown over counted to void, so they may be
//! merged in any order, repeated and relayed by anybody.

use std::collections::HashMap;

use crate::RequestKey;
use crate::UnixMs;

/// After how many crashes a request runs alone and is sent once an attempt.
const SUSPECT_AFTER: usize = 2;

/// After how many crashes a request is rejected.
const QUARANTINE_AFTER: usize = 3;

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

/// How long after it ran to its end a request is not blamed for a crash.
const SERVED_MS: u64 = 10_000;

/// A crash of a server during a run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub request: RequestKey,
    /// A hash of the server's identity and start.
    pub server: u64,
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
}

/// The crashes during runs of one request.
#[derive(Debug)]
struct Crashes {
    reports: Vec<CrashReport>,
    last_at: UnixMs,
}

impl Crashes {
    fn counted(&self) -> usize {
        self.reports.iter().filter(|report| !report.is_void).count()
    }

    fn standing(&self, now: UnixMs) -> Standing {
        let until = self.last_at.plus_ms(QUARANTINE_MS);
        match self.counted() {
            count if count >= QUARANTINE_AFTER && !until.has_passed_at(now) => {
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
        self.make_room(report.request, now);
        let fresh = || Crashes { reports: Vec::new(), last_at: now };
        let crashes = self.requests.entry(report.request).or_insert_with(fresh);
        if is_forgotten(crashes, now) {
            *crashes = fresh();
        }
        let known =
            crashes.reports.iter_mut().find(|known| known.server == report.server);
        match known {
            Some(known) if known.is_void || !report.is_void => false,
            Some(known) => {
                known.is_void = true;
                true
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
        voided.collect()
    }

    /// Returns how a request stands.
    pub fn standing(&self, request: RequestKey, now: UnixMs) -> Standing {
        let crashes = self.requests.get(&request);
        let crashes = crashes.filter(|crashes| !is_forgotten(crashes, now));
        crashes.map_or(Standing::Good, |crashes| crashes.standing(now))
    }

    /// Returns all reports on requests that are not forgotten.
    pub fn reports(&self, now: UnixMs) -> Vec<CrashReport> {
        let crashes = self.requests.values();
        let crashes = crashes.filter(|crashes| !is_forgotten(crashes, now));
        crashes.flat_map(|crashes| &crashes.reports).copied().collect()
    }

    /// Returns the reports on requests that are suspect or in quarantine.
    pub fn reports_on_suspects(&self, now: UnixMs) -> Vec<CrashReport> {
        let crashes = self.requests.values();
        let crashes = crashes.filter(|crashes| {
            !is_forgotten(crashes, now) && crashes.standing(now) != Standing::Good
        });
        crashes.flat_map(|crashes| &crashes.reports).copied().collect()
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
        let is_kept = |crashes: &Crashes| {
            matches!(crashes.standing(now), Standing::Quarantined { .. })
        };
        let others = self.requests.values().filter(|crashes| !is_kept(crashes));
        let mut times: Vec<UnixMs> = others.map(|crashes| crashes.last_at).collect();
        times.sort_unstable();
        let Some(&median) = times.get(times.len() / 2) else { return };
        self.requests.retain(|_, crashes| is_kept(crashes) || crashes.last_at > median);
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
