//! Who gives orders to engines that have no sidecar.
//!
//! A claim in the platform's store names one holder. Nothing there expires by itself and
//! clocks of hosts differ, so each process counts by its own clock from what it saw.

use crate::Name;
use crate::Tenure;
use crate::UnixMs;

/// How often a holder renews its claim within the lease time.
///
/// Two renewals may go unanswered before it has to stand back.
const RENEWALS_PER_LEASE: u64 = 3;

/// How long the others leave a claim alone that was renewed since their last look.
const LOOK_EVERY_MS: u64 = 5_000;

/// How long to wait after a call that failed.
const RETRY_MS: u64 = 500;

/// The claim as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderClaim {
    /// The host that holds it.
    pub holder: Name,
    /// How often it has changed hands.
    pub term: u64,
    /// How often it was renewed in this term; makes each write a change.
    pub renewal: u64,
}

/// What an answer of the store showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenClaim {
    /// The era of the store that answered.
    pub era: u64,
    /// The revision of the claim's last change; zero if there is none.
    pub revision: u64,
    /// The claim, if there is one.
    pub claim: Option<OrderClaim>,
}

/// A claim that is to be written on condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The era whose claim it is.
    ///
    /// Each era of the store has a claim of its own. Carried out late, after the store
    /// came back from an older copy, a write may meet a revision that was given out
    /// again; it must not replace the claim of one who holds it in the new era.
    pub era: u64,
    /// What is to stand there.
    pub claim: OrderClaim,
    /// The revision that it replaces; zero if there must be none.
    pub expected_revision: u64,
}

/// What came of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is in force.
    Written(SeenClaim),
    /// The condition does not hold; this stands there.
    Conflict(SeenClaim),
    /// It may be in force, now or later.
    Unclear,
}

/// What a process has to do about the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseTask {
    /// Nothing until then.
    Wait(UnixMs),
    /// Look who holds it; what the answer says may be seconds old.
    Glance,
    /// Read it from the store itself.
    Read,
    /// Write it on condition.
    Write(ClaimWrite),
}

/// How long a right lasts, and how long an order takes.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The time within which no two holders may order the same engine.
    pub lease_ms: u64,
    /// The longest from the last look at the deadline to an order's arrival.
    pub order_ms: u64,
}

impl LeaseTerms {
    /// Returns how long a claim must stand unchanged before another process takes it.
    ///
    /// A right lasts one lease time; the other one keeps orders of both apart.
    pub fn takeover_ms(self) -> u64 {
        2 * self.lease_ms + self.order_ms
    }
}

/// What one process knows of the claim, and whether it holds it.
#[derive(Debug)]
pub struct OrderLease {
    own: Name,
    terms: LeaseTerms,
    standing: Standing,
    /// The highest term seen, should somebody delete the claim.
    last: Tenure,
    retry_at: UnixMs,
}

#[derive(Debug)]
enum Standing {
    /// Somebody else renews it, as far as this process knows.
    Follows { last: Option<OrderClaim>, look_at: UnixMs },
    /// Nobody seems to renew it; it is to be read.
    Doubts,
    /// It has stood like this since this process read it.
    Contends { seen: SeenClaim, since: UnixMs },
    /// This process holds it.
    Holds(Held),
}

/// A claim that this process holds.
#[derive(Debug)]
struct Held {
    seen: SeenClaim,
    claim: OrderClaim,
    deadline: UnixMs,
    renew_at: UnixMs,
    /// A renewal that may be in force.
    unclear: Option<OrderClaim>,
}

impl OrderLease {
    /// Creates the state of a process on host `own` that knows of no claim; it looks
    /// first at `look_at`.
    pub fn new(own: Name, terms: LeaseTerms, look_at: UnixMs) -> Self {
        let standing = Standing::Follows { last: None, look_at };
        Self { own, terms, standing, last: Tenure::default(), retry_at: UnixMs(0) }
    }

    /// Returns what is to be done now.
    pub fn task(&self, now: UnixMs) -> LeaseTask {
        if !self.retry_at.has_passed_at(now) {
            return LeaseTask::Wait(self.retry_at);
        }
        match &self.standing {
            Standing::Follows { look_at, .. } if look_at.has_passed_at(now) => {
                LeaseTask::Glance
            }
            Standing::Follows { look_at, .. } => LeaseTask::Wait(*look_at),
            Standing::Doubts => LeaseTask::Read,
            Standing::Contends { seen, since } => {
                let take_at = since.plus_ms(self.terms.takeover_ms());
                match take_at.has_passed_at(now) {
                    true => LeaseTask::Write(self.takeover(seen)),
                    false => LeaseTask::Wait(take_at),
                }
            }
            Standing::Holds(held) if held.renew_at.has_passed_at(now) => {
                LeaseTask::Write(held.renewal())
            }
            Standing::Holds(held) => LeaseTask::Wait(held.renew_at),
        }
    }

    /// Returns the right by which this process may give an order now.
    pub fn tenure(&self, now: UnixMs) -> Option<Tenure> {
        match &self.standing {
            Standing::Holds(held) if !held.deadline.has_passed_at(now) => {
                Some(Tenure { era: held.seen.era, term: held.claim.term })
            }
            _ => None,
        }
    }

    /// Takes over what a glance showed.
    pub fn glanced(&mut self, seen: &SeenClaim, now: UnixMs) {
        self.note_tenure(seen);
        let Standing::Follows { last, look_at } = &mut self.standing else { return };
        if seen.claim.is_none() || seen.claim == *last {
            self.standing = Standing::Doubts;
            return;
        }
        *last = seen.claim.clone();
        *look_at = now.plus_ms(LOOK_EVERY_MS);
    }

    /// Takes over what the store itself said, in an answer that came at `now`.
    pub fn read(&mut self, seen: SeenClaim, now: UnixMs) {
        self.note_tenure(&seen);
        if matches!(self.standing, Standing::Doubts) {
            self.standing = Standing::Contends { seen, since: now };
        }
    }

    /// Notes that a glance or a read was not answered.
    pub fn unanswered(&mut self, now: UnixMs) {
        self.retry_at = now.plus_ms(RETRY_MS);
    }

    /// Takes over what came of a write that was asked for at `asked_at`.
    pub fn wrote(
        &mut self,
        write: ClaimWrite,
        asked_at: UnixMs,
        outcome: WriteOutcome,
        now: UnixMs,
    ) {
        match outcome {
            WriteOutcome::Written(seen) => {
                self.note_tenure(&seen);
                self.written(write.claim, seen, asked_at);
            }
            WriteOutcome::Conflict(seen) => {
                self.note_tenure(&seen);
                self.conflicted(seen, now);
            }
            WriteOutcome::Unclear => {
                self.retry_at = now.plus_ms(RETRY_MS);
                match &mut self.standing {
                    Standing::Holds(held) => held.unclear = Some(write.claim),
                    _ => self.standing = Standing::Doubts,
                }
            }
        }
    }

    fn written(&mut self, claim: OrderClaim, seen: SeenClaim, asked_at: UnixMs) {
        let known_era = match &self.standing {
            Standing::Holds(held) => Some(held.seen.era),
            Standing::Contends { seen, .. } => Some(seen.era),
            _ => None,
        };
        // The store came back from an older copy in between: what was written is the
        // claim of an era that is over.
        if known_era != Some(seen.era) {
            self.standing = Standing::Doubts;
            return;
        }
        let renew_ms = self.terms.lease_ms / RENEWALS_PER_LEASE;
        self.standing = Standing::Holds(Held {
            seen,
            claim,
            deadline: asked_at.plus_ms(self.terms.lease_ms),
            renew_at: asked_at.plus_ms(renew_ms),
            unclear: None,
        });
    }

    fn conflicted(&mut self, found: SeenClaim, now: UnixMs) {
        match &mut self.standing {
            // Its own renewal, of which the answer was lost: nobody else's came between.
            Standing::Holds(held) if held.wrote(&found) => {
                held.claim = held.unclear.take().unwrap_or(held.claim.clone());
                held.seen = found;
            }
            _ if found.claim.is_some() => {
                let look_at = now.plus_ms(LOOK_EVERY_MS);
                self.standing = Standing::Follows { last: found.claim, look_at };
            }
            _ => self.standing = Standing::Doubts,
        }
    }

    fn takeover(&self, seen: &SeenClaim) -> ClaimWrite {
        let claim =
            OrderClaim { holder: self.own.clone(), term: self.last.term + 1, renewal: 0 };
        ClaimWrite { era: seen.era, claim, expected_revision: seen.revision }
    }

    fn note_tenure(&mut self, seen: &SeenClaim) {
        let term = seen.claim.as_ref().map_or(0, |claim| claim.term);
        self.last.era = self.last.era.max(seen.era);
        self.last.term = self.last.term.max(term);
    }
}

impl Held {
    fn renewal(&self) -> ClaimWrite {
        let next =
            || OrderClaim { renewal: self.claim.renewal + 1, ..self.claim.clone() };
        ClaimWrite {
            era: self.seen.era,
            claim: self.unclear.clone().unwrap_or_else(next),
            expected_revision: self.seen.revision,
        }
    }

    fn wrote(&self, found: &SeenClaim) -> bool {
        let is_unclear = self.unclear.is_some() && found.claim == self.unclear;
        is_unclear && found.era == self.seen.era
    }
}
