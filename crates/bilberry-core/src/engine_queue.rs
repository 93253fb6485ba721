//! Which of the requests that compete for an engine is sent to it next.
//!
//! Designed for a surge of long prompts with a long target, while short requests with a
//! short target keep coming, over many entries, at an engine whose memory is nearly full.

use std::collections::BTreeMap;

use crate::Name;
use crate::UnixMs;

mod engine_room;
mod fair_shares;
mod order;
mod predicted_waits;
mod prefill_pace;
mod terms;
mod tickets;
mod urgent_demand;
mod waiting;

pub use self::engine_room::EngineCapacity;
use self::engine_room::EngineRoom;
use self::fair_shares::FairShares;
use self::prefill_pace::PrefillPace;
pub use self::terms::Admission;
pub use self::terms::AdmissionTerms;
pub use self::terms::CallId;
pub use self::terms::WorkAhead;
use self::tickets::Tickets;
use self::urgent_demand::UrgentDemand;
use self::waiting::Waiting;

/// The smallest cost of a request, in tokens.
///
/// Each request takes a slot of the engine from others, also with a cached prompt.
const MIN_COST_TOKENS: u64 = 64;

/// The largest number of tokens that a request can state.
///
/// A caller with a wrong number must not disturb the sums for all others.
const MAX_TOKENS: u64 = 1 << 32;

/// The largest number of waiting requests.
///
/// Callers behind more of them would wait longer than any answer is of use.
const MAX_WAITING: usize = 256;

/// The shortest target that is respected.
///
/// A route with a target that no engine can meet must not stop the prompts of all others.
const MIN_TARGET_MS: u64 = 100;

/// The shortest time after which a rejected caller should return.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// The longest time after which a rejected caller should return.
///
/// A caller that is told a wait from one stalled moment must not stay away for minutes.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// The requests that are admitted to an engine or wait for it.
#[derive(Debug)]
pub struct EngineQueue {
    room: EngineRoom,
    pace: PrefillPace,
    /// The shortest target latency of the routes to the service, as last stated.
    shortest_target_ms: Option<u64>,
    urgent_demand: UrgentDemand,
    shares: FairShares,
    tickets: Tickets,
    waiting: BTreeMap<CallId, Waiting>,
    arrivals: u64,
    /// The tokens that those passed over may get ahead of the order.
    passed_over_tokens: u64,
    /// Whether room was last kept for one of those passed over.
    last_reserved_passed_over: bool,
    /// Decisions on waiting requests that were not returned yet, in order.
    decided: Vec<(CallId, Admission)>,
}

impl Default for EngineQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            room: EngineRoom::default(),
            pace: PrefillPace::new(),
            shortest_target_ms: None,
            urgent_demand: UrgentDemand::default(),
            shares: FairShares::default(),
            tickets: Tickets::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            passed_over_tokens: 0,
            last_reserved_passed_over: false,
            decided: Vec::new(),
        }
    }

    /// Decides on a new request.
    ///
    /// This can decide on waiting requests, too; [`EngineQueue::next_decisions`] returns
    /// them.
    pub fn request(
        &mut self,
        id: CallId,
        mut terms: AdmissionTerms,
        now: UnixMs,
    ) -> Admission {
        if self.room.contains(id) || self.waiting.contains_key(&id) {
            self.end(id, now);
        }
        if self.room.is_too_large(terms.memory_tokens) {
            return Admission::Rejected { retry_after_ms: MIN_RETRY_AFTER_MS };
        }
        terms.prefill_tokens = terms.prefill_tokens.min(MAX_TOKENS);
        terms.memory_tokens = terms.memory_tokens.min(MAX_TOKENS);
        self.shortest_target_ms = Some(terms.shortest_target_ms.max(MIN_TARGET_MS));
        if self.has_urgent_target(terms.target_ms) {
            self.urgent_demand.record(terms.memory_tokens, now);
        }
        self.tickets.expire(now);
        if self.waiting.len() >= MAX_WAITING && !self.displace_for(&terms, now) {
            let is_urgent = self.has_urgent_target(terms.target_ms);
            return self.issue_ticket(&terms, is_urgent, self.predicted_drain_ms(), now);
        }
        self.enqueue(id, terms, now);
        self.schedule(Some(id), now);
        match self.decided.iter().position(|(other, _)| *other == id) {
            Some(index) => self.decided.remove(index).1,
            None => Admission::Queued { wait_ms: self.wait_ms(id, now) },
        }
    }

    /// Records that the engine has prefilled a request's prompt.
    pub fn mark_prefilled(&mut self, id: CallId, now: UnixMs) {
        if let Some(tokens) = self.room.mark_prefilled(id) {
            let is_idle = self.room.outstanding_tokens() == 0;
            self.pace.complete(tokens, is_idle, now);
        }
    }

    /// Ends a request that was admitted or waits.
    pub fn end(&mut self, id: CallId, now: UnixMs) {
        self.decided.retain(|(other, _)| *other != id);
        self.remove_unserved(id);
        if self.room.end(id, now) == Some(false) {
            self.pace.interrupt(self.room.outstanding_tokens() == 0, now);
        }
    }

    /// Ends all requests of a connection.
    pub fn end_connection(&mut self, connection: u64, now: UnixMs) {
        let waiting = self.waiting.range(CallId::all_of(connection)).map(|(id, _)| *id);
        let waiting: Vec<CallId> = waiting.collect();
        self.decided.retain(|(id, _)| id.connection != connection);
        for id in waiting.into_iter().chain(self.room.of_connection(connection)) {
            self.end(id, now);
        }
    }

    /// Records what the engine reports.
    pub fn record_engine(&mut self, capacity: EngineCapacity) {
        self.room.capacity = capacity;
    }

    /// Returns the decisions on waiting requests since the last call, in the order in which
    /// the admitted ones should reach the engine.
    pub fn next_decisions(&mut self, now: UnixMs) -> Vec<(CallId, Admission)> {
        self.schedule(None, now);
        std::mem::take(&mut self.decided)
    }

    /// Returns when the next decision can depend on time alone.
    pub fn next_deadline(&self, now: UnixMs) -> Option<UnixMs> {
        let deadlines = self.waiting.values().flat_map(|waiting| {
            let stages = [waiting.reserves_at(), waiting.presses_at()];
            let stages = stages.into_iter().filter(|at| !at.has_passed_at(now));
            stages.chain([waiting.terms.start_by])
        });
        deadlines.min()
    }

    /// Returns the prefill work ahead.
    pub fn work_ahead(&self) -> WorkAhead {
        let mut waiting_tokens = BTreeMap::new();
        for waiting in self.waiting.values() {
            let tokens = waiting_tokens.entry(waiting.terms.priority).or_default();
            *tokens += waiting.terms.prefill_tokens;
        }
        let admitted_tokens = self.room.outstanding_tokens();
        WorkAhead { admitted_tokens, waiting_tokens }
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of admitted requests.
    pub fn admitted_count(&self) -> usize {
        self.room.count()
    }

    /// Returns the memory of admitted requests, in tokens.
    pub fn admitted_memory_tokens(&self) -> u64 {
        self.room.memory_tokens()
    }

    /// Returns the number of tickets, valid or not.
    pub fn ticket_count(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the measured time per prompt token, in microseconds.
    pub fn us_per_token(&self) -> f64 {
        self.pace.us_per_token()
    }

    /// Forgets the admitted requests and withdraws the waiting ones, as the engine was
    /// started again.
    pub fn reset(&mut self) {
        self.withdraw_waiting();
        let slots = self.room.capacity.slots;
        self.room = EngineRoom::default();
        self.room.capacity.slots = slots;
        self.pace = PrefillPace::new();
        self.passed_over_tokens = 0;
    }

    /// Withdraws all waiting requests, as the engine can't serve them.
    pub fn withdraw_waiting(&mut self) {
        while let Some((&id, _)) = self.waiting.first_key_value() {
            self.remove_unserved(id);
            self.decided.push((id, Admission::Withdrawn));
        }
    }

    fn enqueue(&mut self, id: CallId, terms: AdmissionTerms, now: UnixMs) {
        let arrival = self.arrivals;
        self.arrivals += 1;
        let cost = cost_tokens(&terms);
        let start_tag = self.shares.charge(&terms.customer, cost);
        let has_ticket = self.tickets.redeem(terms.key, now);
        let waiting =
            Waiting { id, terms, arrived_at: now, arrival, start_tag, has_ticket };
        self.waiting.insert(id, waiting);
    }

    /// Removes a waiting request and takes back its charge.
    fn remove_unserved(&mut self, id: CallId) -> Option<Waiting> {
        if self.room.reserved() == Some(id) {
            self.room.reserve(None);
        }
        let waiting = self.waiting.remove(&id)?;
        self.shares.refund(&waiting.terms.customer, waiting.cost());
        Some(waiting)
    }

    fn admit(&mut self, id: CallId, now: UnixMs) {
        let Some(waiting) = self.waiting.remove(&id) else { return };
        let AdmissionTerms { prefill_tokens, memory_tokens, .. } = waiting.terms;
        let tags = self.waiting.values().map(|other| other.start_tag);
        let lowest_tag = tags.fold(waiting.start_tag, u64::min);
        self.shares.advance(lowest_tag);
        self.room.admit(id, prefill_tokens, memory_tokens, now);
        self.pace.start(now);
        self.pace.record_admission(prefill_tokens, self.is_urgent(&waiting));
        self.decided.push((id, Admission::Admitted));
    }

    fn reject(&mut self, id: CallId, retry_after_ms: u64, now: UnixMs) {
        let Some(waiting) = self.remove_unserved(id) else { return };
        let is_urgent = self.is_urgent(&waiting);
        let rejected = self.issue_ticket(&waiting.terms, is_urgent, retry_after_ms, now);
        self.decided.push((id, rejected));
    }

    fn issue_ticket(
        &mut self,
        terms: &AdmissionTerms,
        is_urgent: bool,
        retry_after_ms: u64,
        now: UnixMs,
    ) -> Admission {
        let longest_ms =
            terms.max_return_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, longest_ms);
        let earliest = now.plus_ms(retry_after_ms);
        let tokens = terms.prefill_tokens;
        let return_at = match is_urgent {
            true => self.tickets.issue(terms.key, tokens, earliest),
            false => {
                let prefill_ms = self.pace.yielding_time_ms(tokens);
                let latest = now.plus_ms(longest_ms);
                let return_at = self.tickets.book(prefill_ms, earliest, latest);
                self.tickets.issue(terms.key, tokens, return_at)
            }
        };
        Admission::Rejected { retry_after_ms: return_at.ms_since(now) }
    }

    /// Makes room for a waiting request by rejecting one of a lower priority, or of the
    /// customer with the most of them.
    fn displace_for(&mut self, terms: &AdmissionTerms, now: UnixMs) -> bool {
        let may_yield = |w: &&Waiting| w.terms.priority >= terms.priority;
        let mut counts: BTreeMap<&Name, usize> = BTreeMap::new();
        for waiting in self.waiting.values() {
            *counts.entry(&waiting.terms.customer).or_default() += 1;
        }
        let count = |customer: &Name| counts.get(customer).copied().unwrap_or_default();
        let rank = |w: &&Waiting| (w.terms.priority, count(&w.terms.customer), w.arrival);
        let Some(last) = self.waiting.values().filter(may_yield).max_by_key(rank) else {
            return false;
        };
        let is_over_share = count(&last.terms.customer) > count(&terms.customer) + 1;
        let id = last.id;
        let may_displace = is_over_share || last.terms.priority > terms.priority;
        if may_displace {
            self.reject(id, self.predicted_drain_ms(), now);
        }
        may_displace
    }

    /// Returns the predicted time until everything that waits has been prefilled.
    fn predicted_drain_ms(&self) -> u64 {
        let waiting = self.waiting.values().map(|waiting| waiting.terms.prefill_tokens);
        self.pace.time_ms(self.room.outstanding_tokens() + waiting.sum::<u64>())
    }
}

impl Waiting {
    /// Returns the cost that is charged to the customer.
    fn cost(&self) -> u64 {
        cost_tokens(&self.terms)
    }
}

fn cost_tokens(terms: &AdmissionTerms) -> u64 {
    terms.prefill_tokens.max(MIN_COST_TOKENS)
}
