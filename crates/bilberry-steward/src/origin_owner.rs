//! The origins of streams that a sidecar holds for all entries.

use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::OriginLedger;
use bilberry_core::RequestKey;
use bilberry_wire::OriginNotice;
use bilberry_wire::OriginQuery;
use bilberry_wire::OriginReply;
use prometheus_client::metrics::gauge::Gauge;

/// The largest number of streams whose origins are held, at about 250 bytes each.
///
/// An owner receives the streams that begin in a minute at two engines.
const CAPACITY: usize = 8_192;

/// The longest lifetime of a record.
pub const MAX_ORIGIN_LIFETIME_MS: u64 = 600_000;

/// The software versions that began streams, as recorded by entries.
#[derive(Debug)]
pub struct OriginOwner<C> {
    ledger: Mutex<OriginLedger>,
    held: Gauge,
    clock: C,
}

impl<C: Clock> OriginOwner<C> {
    /// Creates an owner without records; `held` shows their number.
    pub fn new(clock: C, held: Gauge) -> Self {
        Self { ledger: Mutex::new(OriginLedger::new(CAPACITY)), held, clock }
    }

    /// Records the origin of a stream.
    pub fn record(&self, notice: &OriginNotice) {
        let now = self.clock.now();
        let mut ledger = self.ledger.lock().unwrap();
        ledger.record(notice.origin(MAX_ORIGIN_LIFETIME_MS, now), now);
        self.held.set(ledger.len() as i64);
    }

    /// Returns what is known of a stream.
    pub fn answer(&self, query: &OriginQuery) -> OriginReply {
        let now = self.clock.now();
        let mut ledger = self.ledger.lock().unwrap();
        ledger.look_up(RequestKey(query.request), query.attempt, now).into()
    }
}
