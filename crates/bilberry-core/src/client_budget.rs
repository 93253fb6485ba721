//! Bounds the memory and the connections that clients make a process hold.
//!
//! The load is a crowd whose clients begin requests and never complete them, beside clients
//! that do. Inputs are the sizes of what each connection holds and the stage of its
//! request. The sum stays within the limits: if something doesn't fit, connections whose
//! requests are incomplete yield in the order of a [`YieldOrder`]. A request that was read
//! whole never yields.

mod limits;
mod order;

use std::collections::BTreeMap;

use crate::UnixMs;
pub use crate::client_budget::limits::ClientLimits;
pub use crate::client_budget::order::HolderView;
pub use crate::client_budget::order::StalledBytes;
pub use crate::client_budget::order::YieldOrder;

/// Identifies a connection for the lifetime of its process.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

/// How far the request of a connection is.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum ClientStage {
    /// No request has begun.
    Idle,
    /// A part of a request head was received.
    Head,
    /// The head and a part of the body were received.
    Body,
    /// The request was read whole, or is answered.
    Whole,
    /// The last response was sent, and what the client still sends is discarded.
    Closing,
}

/// The decision on more memory, or on another connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth<T> {
    /// There is room, which is now taken.
    Granted(T),
    /// There will be room once other connections have yielded; those listed were chosen
    /// for it now.
    AwaitsRoom(Vec<ClientId>),
    /// There is no room that others could yield, or the one that asks has to yield first.
    Refused,
}

/// What all connections hold, and the decision on more.
#[derive(Debug, Clone)]
pub struct ClientBudget<O = StalledBytes> {
    limits: ClientLimits,
    order: O,
    holders: BTreeMap<ClientId, Holder>,
    next_id: u64,
    all: Sum,
    whole: Sum,
    yielding: Sum,
}

/// What one connection holds.
#[derive(Debug, Clone)]
struct Holder {
    stage: ClientStage,
    bytes: u64,
    /// When its request last grew or reached its stage.
    progressed_at: UnixMs,
    /// When its request or its idle time began.
    begun_at: UnixMs,
    is_yielding: bool,
}

/// What a number of connections hold.
#[derive(Debug, Copy, Clone, Default)]
struct Sum {
    connections: usize,
    bytes: u64,
    /// The part of it that large requests hold.
    large_bytes: u64,
}

/// What is asked for.
struct Demand {
    asking: Option<ClientId>,
    /// Bytes besides those that the asking connection holds.
    bytes: u64,
    /// What it would hold as a large request, besides what it holds as one.
    large_bytes: u64,
    connections: usize,
}

impl<O: YieldOrder> ClientBudget<O> {
    /// Creates a budget that nothing is taken from.
    pub fn new(limits: ClientLimits, order: O) -> Self {
        Self {
            limits,
            order,
            holders: BTreeMap::new(),
            next_id: 0,
            all: Sum::default(),
            whole: Sum::default(),
            yielding: Sum::default(),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.all.connections
    }

    /// Returns what all connections hold, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.all.bytes
    }

    /// Returns the part of it that belongs to requests that were read whole.
    pub fn whole_bytes(&self) -> u64 {
        self.whole.bytes
    }

    /// Returns the stage of a connection.
    pub fn stage(&self, id: ClientId) -> Option<ClientStage> {
        self.holders.get(&id).map(|holder| holder.stage)
    }

    /// Returns whether a connection was chosen to yield and has not yielded yet.
    pub fn is_yielding(&self, id: ClientId) -> bool {
        self.holders.get(&id).is_some_and(|holder| holder.is_yielding)
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now: UnixMs) -> Growth<ClientId> {
        let bytes = self.limits.connection_bytes;
        let demand = Demand { asking: None, bytes, large_bytes: 0, connections: 1 };
        match self.make_room(&demand, now) {
            Growth::AwaitsRoom(chosen) => return Growth::AwaitsRoom(chosen),
            Growth::Refused => return Growth::Refused,
            Growth::Granted(()) => {}
        }
        let id = ClientId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            stage: ClientStage::Idle,
            bytes,
            progressed_at: now,
            begun_at: now,
            is_yielding: false,
        };
        self.add(&holder);
        self.holders.insert(id, holder);
        Growth::Granted(id)
    }

    /// Decides on more bytes for a connection.
    pub fn grow(&mut self, id: ClientId, bytes: u64, now: UnixMs) -> Growth<()> {
        let Some(holder) = self.holders.get(&id) else { return Growth::Refused };
        if holder.is_yielding {
            return Growth::Refused;
        }
        let large_bytes = |bytes| self.limits.large_bytes(bytes);
        let large_bytes = large_bytes(holder.bytes + bytes) - large_bytes(holder.bytes);
        let demand = Demand { asking: Some(id), bytes, large_bytes, connections: 0 };
        let decision = self.make_room(&demand, now);
        if decision == Growth::Granted(()) {
            self.change(id, |holder| {
                holder.bytes += bytes;
                holder.progressed_at = now;
            });
        }
        decision
    }

    /// Returns bytes of a connection.
    pub fn shrink(&mut self, id: ClientId, bytes: u64) {
        self.change(id, |holder| holder.bytes -= bytes.min(holder.bytes));
    }

    /// Records the stage of a connection's request.
    ///
    /// A request that was read whole need not yield any more.
    pub fn set_stage(&mut self, id: ClientId, stage: ClientStage, now: UnixMs) {
        self.change(id, |holder| {
            holder.stage = stage;
            holder.progressed_at = now;
            match stage {
                ClientStage::Whole => holder.is_yielding = false,
                ClientStage::Idle | ClientStage::Head => holder.begun_at = now,
                ClientStage::Body | ClientStage::Closing => {}
            }
        });
    }

    /// Records that a connection has yielded the bytes of its request, which is refused.
    ///
    /// The connection stays until its client has read the refusal.
    pub fn settle(&mut self, id: ClientId, now: UnixMs) {
        self.change(id, |holder| {
            holder.stage = ClientStage::Closing;
            holder.progressed_at = now;
            holder.begun_at = now;
            holder.is_yielding = false;
        });
    }

    /// Removes a connection and returns its bytes.
    pub fn close(&mut self, id: ClientId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.remove(&holder);
        }
    }

    /// Chooses all connections without a whole request to yield, and returns them.
    pub fn yield_all(&mut self) -> Vec<ClientId> {
        let chosen: Vec<_> = self.candidates().map(|(id, _)| id).collect();
        chosen.iter().for_each(|id| self.mark_yielding(*id));
        chosen
    }

    /// Decides whether a demand fits, and who has to yield to it.
    fn make_room(&mut self, demand: &Demand, now: UnixMs) -> Growth<()> {
        if self.fits(demand, self.all) {
            return Growth::Granted(());
        }
        if !self.fits(demand, self.remaining(demand.asking)) {
            return Growth::Refused;
        }
        let mut chosen = Vec::new();
        while !self.fits(demand, self.all.without(self.yielding)) {
            let Some(next) = self.next_to_yield(demand, now) else { break };
            self.mark_yielding(next);
            if Some(next) == demand.asking {
                return Growth::Refused;
            }
            chosen.push(next);
        }
        Growth::AwaitsRoom(chosen)
    }

    /// Returns whether a demand fits while others hold `held`.
    fn fits(&self, demand: &Demand, held: Sum) -> bool {
        self.fits_all(demand, held)
            && (demand.large_bytes == 0
                || held.large_bytes + demand.large_bytes
                    <= self.limits.memory_bytes - self.limits.reserved_bytes)
    }

    /// As `fits`, without the limit on large requests.
    fn fits_all(&self, demand: &Demand, held: Sum) -> bool {
        held.bytes + demand.bytes <= self.limits.memory_bytes
            && held.connections + demand.connections <= self.limits.connections
    }

    /// Returns what would be held if all others without a whole request yielded.
    fn remaining(&self, asking: Option<ClientId>) -> Sum {
        let holder = asking.and_then(|id| self.holders.get(&id));
        let own = holder.filter(|holder| holder.stage != ClientStage::Whole);
        let own = own.map(|holder| self.share_of(holder)).unwrap_or_default();
        self.whole.with(own)
    }

    fn candidates(&self) -> impl Iterator<Item = (ClientId, &Holder)> {
        let all = self.holders.iter().map(|(id, holder)| (*id, holder));
        all.filter(|(_, holder)| {
            holder.stage != ClientStage::Whole && !holder.is_yielding
        })
    }

    fn next_to_yield(&self, demand: &Demand, now: UnixMs) -> Option<ClientId> {
        // Small requests make no room within the limit on large ones.
        let only_large = self.fits_all(demand, self.all.without(self.yielding));
        let candidates = self.candidates().filter(|(_, holder)| {
            !only_large || self.limits.large_bytes(holder.bytes) > 0
        });
        let ranked = candidates.filter_map(|(id, holder)| {
            let view = HolderView {
                stage: holder.stage,
                bytes: holder.bytes,
                stalled_ms: now.ms_since(holder.progressed_at),
                age_ms: now.ms_since(holder.begun_at),
            };
            Some((self.order.rank(&view)?, std::cmp::Reverse(id)))
        });
        ranked.max().map(|(_, std::cmp::Reverse(id))| id)
    }

    fn mark_yielding(&mut self, id: ClientId) {
        self.change(id, |holder| holder.is_yielding = true);
    }

    /// Changes a holder and the sums that it belongs to.
    fn change(&mut self, id: ClientId, change: impl FnOnce(&mut Holder)) {
        let Some(mut holder) = self.holders.get(&id).cloned() else { return };
        self.remove(&holder);
        change(&mut holder);
        self.add(&holder);
        self.holders.insert(id, holder);
    }

    fn add(&mut self, holder: &Holder) {
        let share = self.share_of(holder);
        self.sums_of(holder).into_iter().for_each(|sum| *sum = sum.with(share));
    }

    fn remove(&mut self, holder: &Holder) {
        let share = self.share_of(holder);
        self.sums_of(holder).into_iter().for_each(|sum| *sum = sum.without(share));
    }

    fn sums_of(&mut self, holder: &Holder) -> impl IntoIterator<Item = &mut Sum> {
        let is_whole = holder.stage == ClientStage::Whole;
        let whole = is_whole.then_some(&mut self.whole);
        let yielding = holder.is_yielding.then_some(&mut self.yielding);
        [Some(&mut self.all), whole, yielding].into_iter().flatten()
    }

    fn share_of(&self, holder: &Holder) -> Sum {
        let large_bytes = self.limits.large_bytes(holder.bytes);
        Sum { connections: 1, bytes: holder.bytes, large_bytes }
    }
}

impl Sum {
    fn with(self, other: Self) -> Self {
        Self {
            connections: self.connections + other.connections,
            bytes: self.bytes + other.bytes,
            large_bytes: self.large_bytes + other.large_bytes,
        }
    }

    fn without(self, other: Self) -> Self {
        Self {
            connections: self.connections - other.connections,
            bytes: self.bytes - other.bytes,
            large_bytes: self.large_bytes - other.large_bytes,
        }
    }
}
