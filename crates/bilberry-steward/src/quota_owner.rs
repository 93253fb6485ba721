//! The customer quotas that a sidecar keeps for all entries.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bilberry_core::Clock;
use bilberry_core::EntryRoster;
use bilberry_core::Name;
use bilberry_core::Quota;
use bilberry_core::QuotaDecision;
use bilberry_core::QuotaLedger;
use bilberry_core::UnixMs;
use bilberry_wire::QuotaRefund;
use bilberry_wire::QuotaRequest;
use bilberry_wire::QuotaResponse;
use tokio::time::sleep;

/// The interval at which the ledger checks that the process was not suspended.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The buckets of the customers that this sidecar owns, and the entries in contact.
#[derive(Debug)]
pub struct QuotaOwner<C> {
    state: Mutex<State>,
    clock: C,
}

#[derive(Debug)]
struct State {
    ledger: QuotaLedger,
    roster: EntryRoster,
    /// The number of entries that entries know.
    known_entries: usize,
}

impl<C: Clock> QuotaOwner<C> {
    /// Creates an owner whose buckets begin empty.
    pub fn new(clock: C) -> Self {
        let now = clock.now();
        let state = State {
            ledger: QuotaLedger::new(now),
            roster: EntryRoster::new(now),
            known_entries: 0,
        };
        Self { state: Mutex::new(state), clock }
    }

    /// Keeps the ledger informed that the process runs.
    pub async fn run(self: Arc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            let now = self.clock.now();
            let mut state = self.state.lock().unwrap();
            let share = state.share(now);
            state.ledger.tick(share, now);
        }
    }

    /// Charges a request to its customer's bucket.
    pub fn charge(&self, request: &QuotaRequest) -> QuotaResponse {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        state.known_entries = state.known_entries.max(request.entries as usize);
        let customer = Name::from(request.customer.as_str());
        let quota = Quota {
            rate_per_s: request.rate_per_s,
            burst: request.burst,
            version: request
                .version_age_ms
                .map_or(request.config_version, |age_ms| now.0.saturating_sub(age_ms)),
        };
        let charge = request.charge();
        let share = state.share(now);
        let ledger = &mut state.ledger;
        let reply =
            ledger.charge(&customer, quota, charge, share, request.is_takeover, now);
        let level = ledger.level(&customer).unwrap_or_default();
        let wait_ms = match reply.decision {
            QuotaDecision::Admitted => 0,
            QuotaDecision::Denied { wait_ms } => wait_ms,
        };
        QuotaResponse {
            admitted: reply.decision == QuotaDecision::Admitted,
            wait_ms,
            known_for_ms: reply.known_for_ms,
            entries: state.roster.total(state.known_entries, now) as u64,
            level,
        }
    }

    /// Takes back the charge of a request that did not run.
    pub fn refund(&self, refund: &QuotaRefund) {
        self.state.lock().unwrap().ledger.refund(&refund.customer, refund.cost);
    }
}

impl State {
    fn share(&self, now: UnixMs) -> f64 {
        self.roster.share(self.known_entries, now)
    }
}

/// Counts an entry as present while its connection lasts.
pub(crate) struct EntryPresence<C: Clock> {
    owner: Arc<QuotaOwner<C>>,
    entry: Option<Name>,
}

impl<C: Clock> EntryPresence<C> {
    /// Creates the presence of an entry that has not told its name yet.
    pub(crate) fn new(owner: Arc<QuotaOwner<C>>) -> Self {
        Self { owner, entry: None }
    }

    /// Records the name of the entry, which processes of older releases don't send.
    pub(crate) fn identify(&mut self, entry: &str) {
        if self.entry.is_none() && !entry.is_empty() {
            let entry = Name::from(entry);
            self.owner.state.lock().unwrap().roster.connect(&entry);
            self.entry = Some(entry);
        }
    }
}

impl<C: Clock> Drop for EntryPresence<C> {
    fn drop(&mut self) {
        if let Some(entry) = &self.entry {
            let now = self.owner.clock.now();
            self.owner.state.lock().unwrap().roster.disconnect(entry, now);
        }
    }
}
