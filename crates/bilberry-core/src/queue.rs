//! Weighted fair queueing of customers' requests to one upstream.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::Name;

/// The advance of virtual time per unit of cost at weight one.
const VIRTUAL_TIME_PER_COST: u64 = 1 << 10;

/// The position of an item in the queue: priority, virtual start, arrival.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    rank: Reverse<u8>,
    virtual_start: u64,
    arrival: u64,
}

/// The result of [`FairQueue::push`].
#[derive(Debug, PartialEq, Eq)]
pub enum Pushed<T> {
    /// The item was queued under this key.
    Queued(QueueKey),
    /// The item was queued and displaced another customer's latest item.
    Displaced(QueueKey, T),
    /// The queue is full and the customer already holds its share of it.
    Refused(T),
}

/// A queued item.
#[derive(Debug)]
struct Waiting<T> {
    customer: Name,
    cost: u64,
    item: T,
}

/// The state of a customer that has, or recently had, items in the queue.
#[derive(Debug, Default)]
struct Account {
    virtual_finish: u64,
    weight: u64,
    keys: BTreeMap<u64, QueueKey>,
}

/// A bounded queue that serves customers in proportion to their weights.
///
/// Implements start-time fair queueing: an item's start tag is the later of the
/// virtual time and its customer's last finish tag, and the smallest start tag is
/// served first. Idle customers accrue no credit, and a customer that sends ten times
/// its share only lengthens its own backlog.
#[derive(Debug)]
pub struct FairQueue<T> {
    limit: usize,
    virtual_now: u64,
    arrivals: u64,
    cost: u64,
    waiting: BTreeMap<QueueKey, Waiting<T>>,
    accounts: HashMap<Name, Account>,
}

impl<T> FairQueue<T> {
    /// Creates a queue for at most `limit` items.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            virtual_now: 0,
            arrivals: 0,
            cost: 0,
            waiting: BTreeMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Changes the limit; items already queued stay.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Reports whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the total cost of the queued items.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the total cost of the items served before a new item of this customer.
    pub fn cost_ahead(&self, customer: &Name, priority: u8) -> u64 {
        let tag = self.virtual_start(customer);
        let rank = Reverse(priority);
        self.waiting
            .iter()
            .take_while(|(key, _)| (key.rank, key.virtual_start) <= (rank, tag))
            .map(|(_, waiting)| waiting.cost)
            .sum()
    }

    /// Adds an item of `cost` for a customer of `weight`.
    pub fn push(
        &mut self,
        customer: &Name,
        weight: u64,
        priority: u8,
        cost: u64,
        item: T,
    ) -> Pushed<T> {
        let displaced = match self.waiting.len() < self.limit {
            true => None,
            false => match self.displace_for(customer, weight) {
                Some(other) => Some(other),
                None => return Pushed::Refused(item),
            },
        };
        let key = self.insert(customer, weight, priority, cost, item);
        match displaced {
            Some(other) => Pushed::Displaced(key, other),
            None => Pushed::Queued(key),
        }
    }

    /// Removes and returns the next item to serve.
    pub fn pop(&mut self) -> Option<T> {
        let (&key, _) = self.waiting.first_key_value()?;
        self.virtual_now = self.virtual_now.max(key.virtual_start);
        self.remove(key)
    }

    /// Removes an item, such as one whose caller disconnected.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        let waiting = self.waiting.remove(&key)?;
        self.cost -= waiting.cost;
        if let Some(account) = self.accounts.get_mut(&waiting.customer) {
            account.keys.remove(&key.arrival);
        }
        Some(waiting.item)
    }

    /// Removes the accounts of customers that have been served and have nothing queued.
    ///
    /// With 48,000 customers, keeping every account would exceed the sidecar's
    /// memory. An account whose finish tag is not after the virtual time can be
    /// recreated without loss.
    pub fn forget_idle(&mut self) {
        let now = self.virtual_now;
        self.accounts.retain(|_, account| {
            !account.keys.is_empty() || account.virtual_finish > now
        });
    }

    /// Returns the number of customer accounts.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }

    fn virtual_start(&self, customer: &Name) -> u64 {
        let finish = self.accounts.get(customer).map_or(0, |a| a.virtual_finish);
        finish.max(self.virtual_now)
    }

    fn insert(
        &mut self,
        customer: &Name,
        weight: u64,
        priority: u8,
        cost: u64,
        item: T,
    ) -> QueueKey {
        let virtual_start = self.virtual_start(customer);
        let arrival = self.arrivals;
        self.arrivals += 1;
        let key = QueueKey { rank: Reverse(priority), virtual_start, arrival };
        let account = self.accounts.entry(customer.clone()).or_default();
        account.weight = weight.max(1);
        account.virtual_finish =
            virtual_start + cost * VIRTUAL_TIME_PER_COST / account.weight;
        account.keys.insert(arrival, key);
        self.cost += cost;
        let waiting = Waiting { customer: customer.clone(), cost, item };
        self.waiting.insert(key, waiting);
        key
    }

    /// Removes the latest item of the customer that most exceeds its share.
    ///
    /// Without displacement one customer could fill the queue, and all others would
    /// be refused even though they have nothing queued.
    fn displace_for(&mut self, customer: &Name, weight: u64) -> Option<T> {
        let own_items = self.accounts.get(customer).map_or(0, |a| a.keys.len() as u64);
        let own_load = (own_items + 1) * 1_000 / weight.max(1);
        let (name, load) = self
            .accounts
            .iter()
            .filter(|(_, account)| !account.keys.is_empty())
            .map(|(name, a)| (name, a.keys.len() as u64 * 1_000 / a.weight))
            .max_by(|a, b| a.1.cmp(&b.1).then_with(|| b.0.cmp(a.0)))?;
        if load <= own_load || name == customer {
            return None;
        }
        let key = *self.accounts.get(name)?.keys.last_key_value()?.1;
        // The displaced item was never served, so its cost is refunded.
        let name = name.clone();
        let account = self.accounts.get_mut(&name)?;
        account.virtual_finish = key.virtual_start;
        self.remove(key)
    }
}
