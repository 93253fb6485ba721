//! The lease for giving orders to engines without a sidecar.
//!
//! A claim in the platform's store names one holder. The store does not expire claims and
//! the clocks of hosts differ, so each process measures by its own clock how long a claim
//! has been unchanged.

use crate::Name;
use crate::Tenure;
use crate::UnixMs;

/// The number of renewals per lease time.
///
/// Two renewals may fail before the holder loses its lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// How long the other processes wait to check a claim again that was renewed since their
/// last check.
const CHECK_INTERVAL_MS: u64 = 5_000;

/// The delay after a failed call.
const RETRY_MS: u64 = 500;

/// The claim as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderClaim {
    /// The host that holds the claim.
    pub holder: Name,
    /// The number of times the claim has changed holders.
    pub term: u64,
    /// The number of renewals in this term; makes each write change the claim.
    pub renewal: u64,
}

/// The claim as reported in a response of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenClaim {
    /// The era of the store at the time of the response.
    pub era: u64,
    /// The revision of the claim's last change; zero if there is no claim.
    pub revision: u64,
    /// The claim, if there is one.
    pub claim: Option<OrderClaim>,
}

/// A conditional write of the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The era to which the claim belongs.
    ///
    /// Each era of the store has its own claim. A delayed write that executes after the
    /// store was restored from an older backup may find its expected revision reused; it
    /// must not replace the claim of the holder in the new era.
    pub era: u64,
    /// The claim to write.
    pub claim: OrderClaim,
    /// The revision to replace; zero if there must be no claim.
    pub expected_revision: u64,
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The claim was written.
    Written(SeenClaim),
    /// The expected revision did not match; this is the stored claim.
    Conflict(SeenClaim),
    /// The write may take effect, now or later.
    Unknown,
}

/// The next action of a process regarding the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseTask {
    /// Do nothing until this time.
    Wait(UnixMs),
    /// Check who holds the claim; the response may be seconds old.
    Check,
    /// Read the claim from the store itself.
    Read,
    /// Write the claim conditionally.
    Write(ClaimWrite),
}

/// The durations of a lease and of an order.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct LeaseDurations {
    /// The minimum time between orders of two holders to the same engine, and the
    /// validity of a lease.
    pub lease_ms: u64,
    /// The maximum time from the last check of the deadline to the arrival of an order.
    pub order_ms: u64,
}

impl LeaseDurations {
    /// Returns how long a claim must be unchanged before another process takes it over.
    ///
    /// The lease of the previous holder lasts one lease time; the second one separates
    /// the orders of the two holders.
    pub fn takeover_ms(self) -> u64 {
        2 * self.lease_ms + self.order_ms
    }
}

/// The state of one process regarding the claim.
#[derive(Debug)]
pub struct OrderLease {
    own_host: Name,
    terms: LeaseDurations,
    state: State,
    /// The highest era and term seen; terms must increase even if the claim is deleted.
    highest: Tenure,
    retry_at: UnixMs,
}

#[derive(Debug)]
enum State {
    /// Another process renews the claim, as far as this process knows.
    Following { last_seen: Option<OrderClaim>, check_at: UnixMs },
    /// The claim appears not to be renewed and must be read from the store itself.
    Unconfirmed,
    /// The claim was read from the store at `since` and is taken over if it stays
    /// unchanged; at once if there has never been one.
    Contending { seen: SeenClaim, since: UnixMs },
    /// This process holds the claim.
    Holding(HeldClaim),
}

/// A claim that this process holds.
#[derive(Debug)]
struct HeldClaim {
    seen: SeenClaim,
    claim: OrderClaim,
    deadline: UnixMs,
    renew_at: UnixMs,
    /// A renewal whose outcome is unknown.
    unconfirmed: Option<OrderClaim>,
}

impl OrderLease {
    /// Creates the state of a process on `own_host` that knows of no claim and checks for
    /// one at `check_at`.
    pub fn new(own_host: Name, terms: LeaseDurations, check_at: UnixMs) -> Self {
        let state = State::Following { last_seen: None, check_at };
        let highest = Tenure::default();
        Self { own_host, terms, state, highest, retry_at: UnixMs(0) }
    }

    /// Returns the next action.
    pub fn task(&self, now: UnixMs) -> LeaseTask {
        if !self.retry_at.has_passed_at(now) {
            return LeaseTask::Wait(self.retry_at);
        }
        match &self.state {
            State::Following { check_at, .. } if check_at.has_passed_at(now) => {
                LeaseTask::Check
            }
            State::Following { check_at, .. } => LeaseTask::Wait(*check_at),
            State::Unconfirmed => LeaseTask::Read,
            State::Contending { seen, since } => {
                let takeover_at = match self.may_have_had_holder(seen) {
                    true => since.plus_ms(self.terms.takeover_ms()),
                    false => *since,
                };
                match takeover_at.has_passed_at(now) {
                    true => LeaseTask::Write(self.takeover(seen)),
                    false => LeaseTask::Wait(takeover_at),
                }
            }
            State::Holding(held) if held.renew_at.has_passed_at(now) => {
                LeaseTask::Write(held.renewal())
            }
            State::Holding(held) => LeaseTask::Wait(held.renew_at),
        }
    }

    /// Returns the tenure under which this process may give orders now, if it holds the
    /// lease.
    pub fn tenure(&self, now: UnixMs) -> Option<Tenure> {
        match &self.state {
            State::Holding(held) if !held.deadline.has_passed_at(now) => {
                Some(Tenure { era: held.seen.era, term: held.claim.term })
            }
            _ => None,
        }
    }

    /// Processes the response to [`LeaseTask::Check`].
    pub fn handle_check(&mut self, seen: &SeenClaim, now: UnixMs) {
        self.record_tenure(seen);
        let State::Following { last_seen, check_at } = &mut self.state else { return };
        if seen.claim.is_none() || seen.claim == *last_seen {
            self.state = State::Unconfirmed;
            return;
        }
        *last_seen = seen.claim.clone();
        *check_at = now.plus_ms(CHECK_INTERVAL_MS);
    }

    /// Processes the response to [`LeaseTask::Read`], received at `now`.
    pub fn handle_read(&mut self, seen: SeenClaim, now: UnixMs) {
        self.record_tenure(&seen);
        if matches!(self.state, State::Unconfirmed) {
            self.state = State::Contending { seen, since: now };
        }
    }

    /// Records that a [`LeaseTask::Check`] or [`LeaseTask::Read`] got no response.
    pub fn handle_failed_call(&mut self, now: UnixMs) {
        self.retry_at = now.plus_ms(RETRY_MS);
    }

    /// Processes the outcome of a write that was requested at `requested_at`.
    pub fn handle_write(
        &mut self,
        write: ClaimWrite,
        requested_at: UnixMs,
        outcome: WriteOutcome,
        now: UnixMs,
    ) {
        match outcome {
            WriteOutcome::Written(seen) => {
                self.record_tenure(&seen);
                self.handle_written(write.claim, seen, requested_at);
            }
            WriteOutcome::Conflict(seen) => {
                self.record_tenure(&seen);
                self.handle_conflict(seen, now);
            }
            WriteOutcome::Unknown => {
                self.retry_at = now.plus_ms(RETRY_MS);
                match &mut self.state {
                    State::Holding(held) => held.unconfirmed = Some(write.claim),
                    _ => self.state = State::Unconfirmed,
                }
            }
        }
    }

    fn handle_written(
        &mut self,
        claim: OrderClaim,
        seen: SeenClaim,
        requested_at: UnixMs,
    ) {
        let known_era = match &self.state {
            State::Holding(held) => Some(held.seen.era),
            State::Contending { seen, .. } => Some(seen.era),
            _ => None,
        };
        // The store was restored from an older backup in the meantime, so the written
        // claim belongs to a past era.
        if known_era != Some(seen.era) {
            self.state = State::Unconfirmed;
            return;
        }
        let renew_ms = self.terms.lease_ms / RENEWALS_PER_LEASE;
        self.state = State::Holding(HeldClaim {
            seen,
            claim,
            deadline: requested_at.plus_ms(self.terms.lease_ms),
            renew_at: requested_at.plus_ms(renew_ms),
            unconfirmed: None,
        });
    }

    fn handle_conflict(&mut self, found: SeenClaim, now: UnixMs) {
        match &mut self.state {
            // This process's own renewal, whose response was lost; no other write
            // intervened.
            State::Holding(held) if held.is_own_renewal(&found) => {
                held.claim = held.unconfirmed.take().unwrap_or(held.claim.clone());
                held.seen = found;
            }
            _ if found.claim.is_some() => {
                let check_at = now.plus_ms(CHECK_INTERVAL_MS);
                self.state = State::Following { last_seen: found.claim, check_at };
            }
            _ => self.state = State::Unconfirmed,
        }
    }

    /// Reports whether another process may have held a claim that was read.
    ///
    /// In the first era the store has lost no claim. Any other may have been held, also if
    /// it is gone.
    fn may_have_had_holder(&self, seen: &SeenClaim) -> bool {
        let is_first = seen.revision == 0 && self.highest == Tenure::default();
        !is_first
    }

    fn takeover(&self, seen: &SeenClaim) -> ClaimWrite {
        let claim = OrderClaim {
            holder: self.own_host.clone(),
            term: self.highest.term + 1,
            renewal: 0,
        };
        ClaimWrite { era: seen.era, claim, expected_revision: seen.revision }
    }

    fn record_tenure(&mut self, seen: &SeenClaim) {
        let term = seen.claim.as_ref().map_or(0, |claim| claim.term);
        self.highest.era = self.highest.era.max(seen.era);
        self.highest.term = self.highest.term.max(term);
    }
}

impl HeldClaim {
    fn renewal(&self) -> ClaimWrite {
        let next =
            || OrderClaim { renewal: self.claim.renewal + 1, ..self.claim.clone() };
        ClaimWrite {
            era: self.seen.era,
            claim: self.unconfirmed.clone().unwrap_or_else(next),
            expected_revision: self.seen.revision,
        }
    }

    /// Returns whether a stored claim is the renewal whose outcome is unknown.
    fn is_own_renewal(&self, found: &SeenClaim) -> bool {
        let is_same = self.unconfirmed.is_some() && found.claim == self.unconfirmed;
        is_same && found.era == self.seen.era
    }
}
