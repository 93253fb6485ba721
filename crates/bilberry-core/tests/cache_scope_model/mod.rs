//! A model of engines whose cached prompt parts customers share, in virtual time.

mod caches;

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use bilberry_core::CacheScope;
use bilberry_core::CacheScopes;
use bilberry_core::IsolatedCustomers;
use bilberry_core::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cache_scope_model::caches::Caches;
use crate::cache_scope_model::caches::Part;

/// The number of customers, of which some exist in a configuration.
const CUSTOMERS: usize = 8;

/// The time after its acceptance within which each entry applies a configuration.
const APPLY_MS: u64 = 1_500;

/// The first part of all prompts, and its length.
const NOTES: usize = 0;
const NOTES_TOKENS: u64 = 2_000;

/// The number of second parts, and their length.
const SUBJECTS: usize = 60;
const SUBJECT_TOKENS: u64 = 3_000;

/// How the scopes of prompt parts are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// All customers that are not isolated share one scope.
    Constant,
    /// Each customer has its own.
    OwnScope,
    /// The version of the configuration is part of the scope.
    ConfigVersion,
    /// The set of isolated customers names the scope, by the configuration at the arrival.
    SetAtArrival,
    /// The same, by the configuration at the send.
    Set,
    /// The same, and earlier sets that include all who are isolated are used as well.
    SetsStillAllowed,
}

/// What changes a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Changes {
    /// Customers are isolated and shared, added and removed.
    Any,
    /// Isolations end, one after the other.
    EndIsolations,
    /// Something else than isolation.
    Other,
    /// One customer after the other is isolated.
    Isolate,
}

/// Requests and what happens beside them.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub way: Way,
    pub changes: Changes,
    /// The number of customers that are isolated at the start.
    pub isolated: usize,
    pub seconds: u64,
    pub requests_per_s: u64,
    /// The mean time between two changes; zero for none.
    pub change_every_ms: u64,
    /// The mean time between two restarts of an entry; zero for none.
    pub restart_every_ms: u64,
    /// The longest time that a request waits at its entry.
    pub max_wait_ms: u64,
    /// The longest time that it waits at its engine.
    pub max_queue_ms: u64,
    /// How many tokens each engine keeps.
    pub engine_tokens: u64,
    pub seed: u64,
}

/// The figures of a history.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Figures {
    pub requests: usize,
    /// Parts used that another customer's request made while one of the two was isolated, by
    /// the configuration that the entry had in force when it sent the request.
    pub foreign: usize,
    /// The same, by all configurations that may be in force when the engine begins the
    /// request.
    pub foreign_at_start: usize,
    /// Tokens of shared parts that engines read.
    pub read_tokens: u64,
    /// Those of customers that are never isolated.
    pub others_read_tokens: u64,
    /// Tokens of shared parts that engines fetched.
    pub fetched_tokens: u64,
}

#[derive(Debug, Clone)]
struct Configuration {
    version: u64,
    present: BTreeSet<usize>,
    isolated: BTreeSet<usize>,
}

impl Configuration {
    fn scopes(&self) -> CacheScopes {
        let isolated = self.isolated.iter().map(|&customer| name(customer));
        CacheScopes::new(isolated.collect())
    }

    fn separates(&self, customer: usize, other: usize) -> bool {
        let is_isolated = |customer| self.isolated.contains(&customer);
        customer != other && (is_isolated(customer) || is_isolated(other))
    }
}

/// An entry, which may miss configurations.
struct Entry {
    configuration: Configuration,
    scopes: CacheScopes,
    applies_at: u64,
}

impl Entry {
    fn start(configuration: &Configuration) -> Self {
        let scopes = configuration.scopes();
        Self { configuration: configuration.clone(), scopes, applies_at: u64::MAX }
    }

    fn apply(&mut self, configuration: &Configuration) {
        let mut scopes = configuration.scopes();
        scopes.keep_earlier(&self.scopes);
        self.scopes = scopes;
        self.configuration = configuration.clone();
        self.applies_at = u64::MAX;
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Send { entry: usize, customer: usize, subject: usize, arrival_scope: CacheScope },
    Start { sent: Sent },
}

/// A request at its engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    at: u64,
    engine: usize,
    customer: usize,
    parts: [Part; 2],
    /// The isolated customers by the configuration of its entry.
    isolated: BTreeSet<usize>,
}

struct Model {
    load: Load,
    rng: StdRng,
    /// Draws requests, which are therefore the same beside any changes.
    request_rng: StdRng,
    now: u64,
    newest: Configuration,
    accepted_at: u64,
    /// The configurations that entries may have, the newest last.
    in_force: Vec<Configuration>,
    entries: Vec<Entry>,
    caches: Caches,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    figures: Figures,
}

/// Plays a history and returns its figures.
pub fn play(load: Load) -> Figures {
    let mut model = Model::new(load);
    for now in 0..load.seconds * 1_000 {
        model.now = now;
        model.advance();
    }
    model.figures
}

fn name(customer: usize) -> Name {
    ecow::eco_format!("customer-{customer}")
}

impl Model {
    fn new(load: Load) -> Self {
        let newest = Configuration {
            version: 1,
            present: (0..CUSTOMERS).collect(),
            isolated: (0..load.isolated).collect(),
        };
        Self {
            load,
            rng: StdRng::seed_from_u64(load.seed),
            request_rng: StdRng::seed_from_u64(!load.seed),
            now: 0,
            in_force: vec![newest.clone()],
            accepted_at: 0,
            entries: (0..4).map(|_| Entry::start(&newest)).collect(),
            newest,
            caches: Caches::new(6, load.engine_tokens),
            events: BinaryHeap::new(),
            event_count: 0,
            figures: Figures::default(),
        }
    }

    fn advance(&mut self) {
        if self.occurs_every(self.load.change_every_ms) {
            self.change();
        }
        for entry in &mut self.entries {
            if entry.applies_at <= self.now {
                entry.apply(&self.newest);
            }
        }
        if self.now >= self.accepted_at + APPLY_MS {
            self.in_force = vec![self.newest.clone()];
        }
        if self.occurs_every(self.load.restart_every_ms) {
            let entry = self.rng.random_range(0..self.entries.len());
            self.entries[entry] = Entry::start(&self.newest);
        }
        if self.request_rng.random_range(0..1_000) < self.load.requests_per_s {
            self.arrive();
        }
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= self.now
        {
            let Some(Reverse((_, _, event))) = self.events.pop() else { return };
            match event {
                Event::Send { entry, customer, subject, arrival_scope } => {
                    self.send(entry, customer, subject, arrival_scope);
                }
                Event::Start { sent } => self.start(&sent),
            }
        }
    }

    fn occurs_every(&mut self, mean_ms: u64) -> bool {
        mean_ms > 0 && self.rng.random_range(0..mean_ms) == 0
    }

    fn schedule(&mut self, max_wait_ms: u64, event: Event) {
        let at = self.now + self.request_rng.random_range(0..=max_wait_ms);
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    /// Accepts a configuration, which entries apply later, in place of those that they have
    /// not applied yet.
    fn change(&mut self) {
        let customer = self.rng.random_range(0..CUSTOMERS);
        let Configuration { version, present, isolated } = &mut self.newest;
        *version += 1;
        match self.load.changes {
            Changes::Any => {
                let is_removed = !present.insert(customer) || self.rng.random_bool(0.1);
                if is_removed && self.rng.random_bool(0.2) {
                    present.remove(&customer);
                    isolated.remove(&customer);
                } else if !isolated.remove(&customer) {
                    isolated.insert(customer);
                }
            }
            Changes::EndIsolations => drop(isolated.pop_first()),
            Changes::Other => {}
            Changes::Isolate => drop(isolated.insert(customer)),
        }
        self.accepted_at = self.now;
        self.in_force.push(self.newest.clone());
        for entry in &mut self.entries {
            let applies_at = self.now + self.rng.random_range(1..APPLY_MS);
            entry.applies_at = entry.applies_at.min(applies_at);
        }
    }

    fn arrive(&mut self) {
        let entry = self.request_rng.random_range(0..self.entries.len());
        let customer = self.request_rng.random_range(0..CUSTOMERS);
        // Subjects with low numbers are asked for most.
        let [first, second] = [0; 2].map(|_| self.request_rng.random_range(0..SUBJECTS));
        let subject = first.min(second);
        let Entry { configuration, scopes, .. } = &self.entries[entry];
        if !configuration.present.contains(&customer) {
            return;
        }
        let arrival_scope = scopes.isolated().scope_of(Some(&name(customer)));
        self.figures.requests += 1;
        let event = Event::Send { entry, customer, subject, arrival_scope };
        self.schedule(self.load.max_wait_ms, event);
    }

    fn send(
        &mut self,
        entry: usize,
        customer: usize,
        subject: usize,
        arrival_scope: CacheScope,
    ) {
        let Entry { configuration, scopes, .. } = &self.entries[entry];
        let customer_name = name(customer);
        let nobody = IsolatedCustomers::default();
        let scope = match self.load.way {
            Way::Constant
                if scopes.isolated().scope_of(Some(&customer_name)).is_private() =>
            {
                CacheScope::of_customer(&customer_name)
            }
            Way::Constant => nobody.scope_of(None),
            Way::OwnScope => CacheScope::of_customer(&customer_name),
            Way::SetAtArrival => arrival_scope,
            Way::ConfigVersion | Way::Set => {
                scopes.isolated().scope_of(Some(&customer_name))
            }
            Way::SetsStillAllowed => scopes.choose(Some(&customer_name), |scope| {
                self.caches.held_tokens(&parts(scope.as_str(), subject))
            }),
        };
        let scope = match self.load.way {
            Way::ConfigVersion => format!("{scope}/{}", configuration.version),
            _ => scope.to_string(),
        };
        let parts = parts(&scope, subject);
        let sent = Sent {
            at: self.now,
            engine: self.caches.choose_engine(&parts),
            customer,
            parts,
            isolated: configuration.isolated.clone(),
        };
        self.schedule(self.load.max_queue_ms, Event::Start { sent });
    }

    fn start(&mut self, sent: &Sent) {
        let is_other = sent.customer + 1 == CUSTOMERS;
        let supply = self.caches.supply(sent.engine, &sent.parts);
        for &maker in &supply.makers {
            let by_entry =
                Configuration { isolated: sent.isolated.clone(), ..self.newest.clone() };
            self.figures.foreign += usize::from(by_entry.separates(sent.customer, maker));
            let separates = |it: &Configuration| it.separates(sent.customer, maker);
            self.figures.foreign_at_start +=
                usize::from(self.in_force.iter().all(separates));
        }
        let read = self.caches.run(sent.engine, &sent.parts, sent.customer, self.now);
        self.figures.read_tokens += read;
        self.figures.others_read_tokens += if is_other { read } else { 0 };
        self.figures.fetched_tokens += supply.fetched_tokens;
    }
}

/// Returns the shared parts of a prompt under a scope.
fn parts(scope: &str, subject: usize) -> [Part; 2] {
    let part = |id, tokens| Part { scope: scope.to_string(), id, tokens };
    [part(NOTES, NOTES_TOKENS), part(1 + subject, SUBJECT_TOKENS)]
}
