//! Attributes server crashes to what was running at the time.
//!
//! A request may crash every server that starts to run it, and be retried at any entry
//! under a new attempt id. Requests that differ may also have a part of their prompts in
//! common that crashes every server that begins to answer on it. If each entry or attempt
//! is considered on its own, such causes take down the servers of a service one after the
//! other, along with everything else that runs there.
//!
//! A crash also interrupts unrelated requests. A cause that servers have completed did not
//! cause the crashes known by then, so these are voided for it. Each crash has a single
//! cause: the crashes of the cause with the most crashes count against no other one. Ties
//! are broken by the shortest mean run time, because the cause runs on a server only
//! until the crash, while other requests may have run there for longer. A request comes
//! before the parts of its prompt, which more requests share.
//!
//! A part is blamed only if it was also present in a trial, a run of a request that was
//! known to have a suspected part. Parts in the same trials are alternatives: a request
//! is rejected only if it has all of them, as the others may show which one it is.
//!
//! Reports form a grow-only set in which each report moves from unknown to counted to
//! void. They can therefore be merged in any order, repeated, and relayed by any process.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::CrashCause;
use crate::CrashReport;
use crate::RequestStanding;
use crate::RequestStatus;
use crate::UnixMs;

/// The number of crashes from which requests with a cause are sent only once per attempt.
const SUSPECT_AFTER: usize = 2;

/// The number of crashes from which requests with a cause are rejected.
const QUARANTINE_AFTER: usize = 3;

/// The delay from a request's last crash until its quarantine takes effect.
///
/// Entries confirm the same crash at different times. The delay lets reports on other
/// requests that ran on the server arrive before a request is rejected for the crash.
const QUARANTINE_DELAY_MS: u64 = 300;

/// How long a cause is rejected after its last crash.
///
/// Long enough that a request which still crashes servers rarely takes one down, short
/// enough that a fixed server receives the request on the same day.
const QUARANTINE_MS: u64 = 600_000;

/// How long a cause is kept after its last crash.
const RETENTION_MS: u64 = 3_600_000;

/// The maximum number of parts kept per crash.
const MAX_PARTS_PER_CRASH: usize = 256;

/// How long after its last crash a part that failed a single trial is tried once more, if
/// servers also crash for other reasons.
const SECOND_TRIAL_AFTER_MS: u64 = 10_000;

/// The divisor of the spread of quarantines that gives the spread of second trials.
const SECOND_TRIAL_SPREAD_DIVISOR: u64 = 6;

/// How long before a trial's crash other ones count that no blamed cause explains.
const OTHER_CRASHES_MS: u64 = 10_000;

/// The number of other crashes up to which no more are needed than without any.
///
/// Another cause that is not blamed yet has crashed as many servers.
const FEW_OTHER_CRASHES: usize = 3;

/// The number of other crashes up to which one more crash is needed.
const MANY_OTHER_CRASHES: usize = 8;

/// How long a crash without a blamed cause shows that there are other reasons.
const UNEXPLAINED_MS: u64 = 60_000;

/// The number of crashes that a part must share with another one to be its alternative.
///
/// A part that was present at a single crash does not explain the others.
const ALTERNATIVE_AFTER: usize = 2;

/// The maximum number of crashes kept per cause.
const MAX_CRASHES: usize = 16;

/// The maximum number of causes kept. At the limit, those in quarantine are kept, and
/// of the others the half with the oldest last crashes is dropped.
const MAX_CAUSES: usize = 20_000;

/// The maximum number of crashed servers kept. At the limit, those last reported at least
/// `RETENTION_MS` ago are dropped; if there are none, the new one is not recorded.
const MAX_CRASHED_SERVERS: usize = 20_000;

/// The server crashes, by their possible causes.
#[derive(Debug, Default)]
pub struct CrashLedger {
    causes: HashMap<CrashCause, Crashes>,
    /// The crashed servers, by [`CrashReport::server`].
    crashed_servers: HashMap<u64, CrashedServer>,
    /// The causes with enough crashes to be quarantined.
    candidates: HashSet<CrashCause>,
    /// The parts that were present in trials.
    tried: HashSet<CrashCause>,
    /// The candidates to which crashes are attributed by the current reports, each with
    /// its alternatives.
    blamed: HashMap<CrashCause, Vec<CrashCause>>,
    /// The crashes that blamed causes explain.
    explained: HashSet<u64>,
    /// How much later quarantines end than their nominal duration, in milliseconds.
    quarantine_spread_ms: u64,
}

/// The reports on one crash.
#[derive(Debug)]
struct CrashedServer {
    /// When the first report on it was merged.
    reported_at: UnixMs,
    /// The parts that were present, up to `MAX_PARTS_PER_CRASH`.
    parts: Vec<CrashCause>,
}

/// The crashes at which one cause was present.
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

    /// Returns the counted crashes of trials.
    fn trials(&self) -> impl Iterator<Item = u64> {
        let trials = self.reports.iter().filter(|r| !r.is_void && r.is_trial());
        trials.map(|report| report.server)
    }

    fn is_part(&self) -> bool {
        self.reports.iter().any(CrashReport::is_part)
    }

    fn is_request_trial(&self) -> bool {
        self.reports.iter().any(CrashReport::is_request_trial)
    }

    fn is_tried(&self) -> bool {
        self.trials().next().is_some()
    }

    fn includes(&self, server: u64) -> bool {
        self.servers().any(|known| known == server)
    }

    /// Returns the mean run time over the counted crashes.
    fn mean_run_ms(&self) -> u64 {
        let counted = self.reports.iter().filter(|report| !report.is_void);
        let total_ms: u64 = counted.map(|report| report.ran_ms).sum();
        total_ms / self.counted().max(1) as u64
    }

    fn standing(&self, is_blamed: bool, spread_ms: u64, now: UnixMs) -> RequestStatus {
        let until = self.last_at.plus_ms(QUARANTINE_MS + spread_ms);
        match self.counted() {
            _ if is_blamed && !until.has_passed_at(now) => {
                RequestStatus::Quarantined { until }
            }
            count if count >= SUSPECT_AFTER => RequestStatus::Suspect,
            _ => RequestStatus::Good,
        }
    }
}

impl CrashLedger {
    /// Creates a ledger whose quarantines end `quarantine_spread_ms` later than nominal.
    ///
    /// With another spread at each entry, the first trial after a quarantine is over
    /// before the other entries begin theirs.
    pub fn with_quarantine_spread(quarantine_spread_ms: u64) -> Self {
        Self { quarantine_spread_ms, ..Self::default() }
    }

    /// Merges a report and returns whether it changed the ledger.
    pub fn merge(&mut self, report: CrashReport, now: UnixMs) -> bool {
        let is_changed = self.insert(report, now);
        if is_changed {
            if report.is_trial() {
                self.tried.insert(report.cause);
            }
            self.update_blame(report.cause);
        }
        is_changed
    }

    fn insert(&mut self, report: CrashReport, now: UnixMs) -> bool {
        self.make_room(report.cause, now);
        self.record_crashed_server(report, now);
        let new_entry = || Crashes { reports: Vec::new(), last_at: now };
        let crashes = self.causes.entry(report.cause).or_insert_with(new_entry);
        if is_expired(crashes, now) {
            *crashes = new_entry();
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

    /// Voids the crashes of a cause that a server has completed, and returns the reports
    /// that changed.
    pub fn void_crashes(&mut self, cause: CrashCause) -> Vec<CrashReport> {
        let Some(crashes) = self.causes.get_mut(&cause) else { return Vec::new() };
        let counted = crashes.reports.iter_mut().filter(|report| !report.is_void);
        let voided = counted.map(|report| {
            report.is_void = true;
            *report
        });
        let voided: Vec<_> = voided.collect();
        if !voided.is_empty() {
            self.update_blame(cause);
        }
        voided
    }

    /// Returns whether and how a request may be sent that has no cause but this one.
    pub fn standing(&self, cause: CrashCause, now: UnixMs) -> RequestStatus {
        let crashes = self.causes.get(&cause);
        let crashes = crashes.filter(|crashes| !is_expired(crashes, now));
        let is_blamed = self.blamed.contains_key(&cause);
        crashes.map_or(RequestStatus::Good, |crashes| {
            crashes.standing(is_blamed, self.quarantine_spread_ms, now)
        })
    }

    /// Returns the status by a cause that a trial has confirmed.
    ///
    /// A request that has not crashed a server since it became suspect is not rejected:
    /// servers that fail together interrupt equal requests of many callers.
    pub fn confirmed_status(&self, cause: CrashCause, now: UnixMs) -> RequestStatus {
        let is_tried = |cause| self.causes.get(&cause).is_some_and(Crashes::is_tried);
        match self.standing(cause, now) {
            RequestStatus::Quarantined { .. }
                if !is_tried(cause) && !is_tried(cause.in_trial()) =>
            {
                RequestStatus::Suspect
            }
            status => status,
        }
    }

    /// Returns whether and how a request with these shared parts may be sent.
    pub fn standing_of(
        &self,
        request: CrashCause,
        parts: &[CrashCause],
        now: UnixMs,
    ) -> RequestStanding {
        let mut standing = RequestStanding::default();
        if self.causes.is_empty() {
            return standing;
        }
        for &cause in [request].iter().chain(parts) {
            let status = match self.confirmed_status(cause, now) {
                RequestStatus::Quarantined { .. }
                    if !self.has_all_alternatives(cause, parts)
                        || self.may_try_again(cause, now) =>
                {
                    RequestStatus::Suspect
                }
                status => status,
            };
            standing.include(cause, status);
        }
        let counted = |part: &CrashCause| {
            let crashes = self.causes.get(part);
            let crashes = crashes.filter(|crashes| !is_expired(crashes, now));
            crashes.map_or(0, Crashes::counted)
        };
        let suspected = parts.iter().copied().filter(|part| counted(part) > 0);
        standing.suspected_parts.extend(suspected);
        standing.suspected_parts.sort_by_key(|part| (Reverse(counted(part)), *part));
        standing.is_pending =
            standing.blamed.is_some_and(|cause| self.is_quarantine_pending(cause, now));
        standing
    }

    /// Reports whether these parts include all alternatives to a blamed cause.
    fn has_all_alternatives(&self, cause: CrashCause, parts: &[CrashCause]) -> bool {
        let alternatives = self.blamed.get(&cause);
        alternatives.is_none_or(|all| all.iter().all(|other| parts.contains(other)))
    }

    /// Returns whether a report on any cause, void or not, recorded a crash of a server.
    pub fn has_crashed(&self, server: u64) -> bool {
        self.crashed_servers.contains_key(&server)
    }

    fn record_crashed_server(&mut self, report: CrashReport, now: UnixMs) {
        let servers = &mut self.crashed_servers;
        if servers.len() >= MAX_CRASHED_SERVERS {
            servers.retain(|_, crashed| now.ms_since(crashed.reported_at) < RETENTION_MS);
        }
        if servers.len() >= MAX_CRASHED_SERVERS && !servers.contains_key(&report.server) {
            return;
        }
        let new_entry = || CrashedServer { reported_at: now, parts: Vec::new() };
        let crashed = servers.entry(report.server).or_insert_with(new_entry);
        if report.is_part()
            && crashed.parts.len() < MAX_PARTS_PER_CRASH
            && !crashed.parts.contains(&report.cause)
        {
            crashed.parts.push(report.cause);
        }
    }

    /// Reports whether the crash of a trial confirms that a cause, which was present,
    /// crashes servers.
    ///
    /// While servers crash for other reasons, one may do so during a trial. The cause must
    /// then have been present at more crashes, without any success in between.
    pub fn is_confirming(&self, cause: CrashCause, now: UnixMs) -> bool {
        let Some(crashes) = self.causes.get(&cause) else { return false };
        let others = self.unexplained_crashes(now, OTHER_CRASHES_MS);
        let others = others.filter(|server| !crashes.includes(*server));
        let needed = match others.take(MANY_OTHER_CRASHES + 1).count() {
            count if count <= FEW_OTHER_CRASHES => QUARANTINE_AFTER,
            count if count <= MANY_OTHER_CRASHES => QUARANTINE_AFTER + 1,
            _ => QUARANTINE_AFTER + 3,
        };
        crashes.counted() + 1 >= needed
    }

    /// Returns the crashes of the last `within_ms` that no blamed cause explains.
    fn unexplained_crashes(
        &self,
        now: UnixMs,
        within_ms: u64,
    ) -> impl Iterator<Item = u64> {
        let servers = self.crashed_servers.iter().filter(move |(server, crashed)| {
            now.ms_since(crashed.reported_at) < within_ms
                && !self.explained.contains(*server)
        });
        servers.map(|(server, _)| *server)
    }

    /// Reports whether requests with a blamed part may be tried once more.
    ///
    /// A trial may have failed by a crash for another reason. The blame then holds for a
    /// sound part, and nothing else would show that it is sound.
    fn may_try_again(&self, cause: CrashCause, now: UnixMs) -> bool {
        let crashes = self.causes.get(&cause).filter(|crashes| crashes.is_part());
        let spread_ms = self.quarantine_spread_ms / SECOND_TRIAL_SPREAD_DIVISOR;
        let due_after_ms = SECOND_TRIAL_AFTER_MS + spread_ms;
        crashes.is_some_and(|crashes| {
            crashes.trials().count() == 1
                && now.ms_since(crashes.last_at) >= due_after_ms
                && self.unexplained_crashes(now, UNEXPLAINED_MS).next().is_some()
        })
    }

    /// Returns whether requests with a quarantined cause must wait instead of being
    /// rejected, because reports that lift the quarantine may still arrive.
    pub fn is_quarantine_pending(&self, cause: CrashCause, now: UnixMs) -> bool {
        let crashes = self.causes.get(&cause);
        let effective_at =
            crashes.map(|crashes| crashes.last_at.plus_ms(QUARANTINE_DELAY_MS));
        let is_quarantined =
            matches!(self.standing(cause, now), RequestStatus::Quarantined { .. });
        is_quarantined && effective_at.is_some_and(|at| !at.has_passed_at(now))
    }

    /// Returns the number of reports on a cause, including void ones.
    pub fn report_count(&self, cause: CrashCause) -> usize {
        self.causes.get(&cause).map_or(0, |crashes| crashes.reports.len())
    }

    /// Returns all reports on a cause.
    pub fn reports_on(&self, cause: CrashCause) -> &[CrashReport] {
        self.causes.get(&cause).map_or(&[], |crashes| &crashes.reports)
    }

    /// Returns all reports on causes whose crashes have not expired.
    pub fn reports(&self, now: UnixMs) -> Vec<CrashReport> {
        let crashes = self.causes.values();
        let crashes = crashes.filter(|crashes| !is_expired(crashes, now));
        crashes.flat_map(|crashes| &crashes.reports).copied().collect()
    }

    /// Returns the reports on causes that are suspect or quarantined, and on trials.
    pub fn reports_on_suspects(&self, now: UnixMs) -> Vec<CrashReport> {
        let suspects = self.causes.iter();
        let suspects = suspects.filter(|(cause, crashes)| {
            let is_tried = crashes.is_tried() && !is_expired(crashes, now);
            is_tried || self.standing(**cause, now) != RequestStatus::Good
        });
        suspects.flat_map(|(_, crashes)| &crashes.reports).copied().collect()
    }

    /// Reassigns blame if the crashes of a cause may change it.
    fn update_blame(&mut self, cause: CrashCause) {
        let counted = self.causes.get(&cause).map_or(0, Crashes::counted);
        let was_candidate = match counted >= QUARANTINE_AFTER {
            true => !self.candidates.insert(cause),
            false => self.candidates.remove(&cause),
        };
        // A report on any cause may add an alternative to a blamed one.
        if was_candidate || !self.candidates.is_empty() {
            self.assign_blame();
        }
    }

    /// Attributes each crash to one cause, starting with the one with the most crashes.
    ///
    /// Otherwise a request that ran on the servers which another one crashed would be
    /// rejected too, and could never complete to show that it is harmless. If a cause
    /// is blamed wrongly, it crashes no further servers, while the actual one
    /// accumulates more crashes than it, or `QUARANTINE_AFTER` unexplained ones.
    ///
    /// A part without a trial is not blamed and explains no crash: servers that fail
    /// together for another reason interrupt many requests with the same parts.
    fn assign_blame(&mut self) {
        let causes = &self.causes;
        self.candidates.retain(|cause| causes.contains_key(cause));
        self.tried.retain(|cause| causes.get(cause).is_some_and(Crashes::is_tried));
        let counted = |cause: &CrashCause| causes[cause].counted();
        let may_be_blamed = |cause: &CrashCause| {
            let crashes = &causes[cause];
            !crashes.is_request_trial() && (!crashes.is_part() || crashes.is_tried())
        };
        let ranked = self.candidates.iter().copied().filter(may_be_blamed);
        let mut ranked: Vec<_> = ranked.collect();
        let mean_run_ms = |cause: &CrashCause| causes[cause].mean_run_ms();
        ranked.sort_unstable_by_key(|cause| {
            (Reverse(counted(cause)), mean_run_ms(cause), *cause)
        });
        let mut explained = HashSet::new();
        self.blamed.clear();
        for cause in ranked {
            let crashes = &causes[&cause];
            let unexplained =
                crashes.servers().filter(|server| !explained.contains(server));
            if unexplained.count() >= QUARANTINE_AFTER {
                self.blamed.insert(cause, self.alternatives(cause, crashes));
                explained.extend(crashes.servers());
            }
        }
        self.explained = explained;
    }

    /// Returns the parts that explain the crashes of a blamed cause as well as it does.
    ///
    /// To a part, these are the parts that were present at the crashes of all of its
    /// trials, in any run there, and at several of its crashes. To a request, these are
    /// the parts that were present at all of its crashes.
    fn alternatives(&self, cause: CrashCause, crashes: &Crashes) -> Vec<CrashCause> {
        let is_part = crashes.is_part();
        let explains = |other: &Crashes| match is_part {
            true if !other.is_part() => false,
            true => {
                let shared = crashes.servers().filter(|server| other.includes(*server));
                shared.count() >= ALTERNATIVE_AFTER
                    && crashes.trials().all(|trial| other.includes(trial))
            }
            false => {
                other.is_part() && crashes.servers().all(|server| other.includes(server))
            }
        };
        match is_part {
            true => {
                let present = crashes.trials().next().and_then(|trial| {
                    self.crashed_servers.get(&trial).map(|crashed| &crashed.parts)
                });
                let others = present.into_iter().flatten();
                let others = others.filter(|other| **other != cause);
                let others = others.filter(|other| self.causes.contains_key(*other));
                others.filter(|other| explains(&self.causes[*other])).copied().collect()
            }
            false => {
                let others = self.candidates.iter().filter(|other| **other != cause);
                others.filter(|other| explains(&self.causes[*other])).copied().collect()
            }
        }
    }

    /// Makes room for a cause at the limit: drops expired causes and, if these are
    /// not enough, the older half of those that are not blamed.
    fn make_room(&mut self, cause: CrashCause, now: UnixMs) {
        if self.causes.len() < MAX_CAUSES || self.causes.contains_key(&cause) {
            return;
        }
        self.causes.retain(|_, crashes| !is_expired(crashes, now));
        if self.causes.len() < MAX_CAUSES {
            return;
        }
        let blamed = &self.blamed;
        let others = self.causes.iter().filter(|(other, _)| !blamed.contains_key(*other));
        let mut times: Vec<UnixMs> = others.map(|(_, crashes)| crashes.last_at).collect();
        times.sort_unstable();
        let Some(&median) = times.get(times.len() / 2) else { return };
        self.causes.retain(|other, crashes| {
            blamed.contains_key(other) || crashes.last_at > median
        });
    }
}

fn is_expired(crashes: &Crashes, now: UnixMs) -> bool {
    now.ms_since(crashes.last_at) >= RETENTION_MS
}
