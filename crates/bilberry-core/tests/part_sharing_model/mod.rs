//! Engines that load weights while requests fetch parts from one another.

use bilberry_core::LoadOutlook;
use bilberry_core::LoadPermission;
use bilberry_core::PartUses;
use bilberry_core::SharingGate;
use bilberry_core::SharingState;
use bilberry_core::UnixMs;

const MODEL: &str = "m";
const TICK_MS: u64 = 10;
const SILENCE_MS: u64 = 1_500;
const MAX_WAIT_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 5_000;

/// How long engines go on with a request whose connection was closed.
const DROP_MS: u64 = 900;

/// The way in which stale parts are prevented.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Way {
    /// A source has the request's weights when the request is sent.
    WeightsAtSend,
    /// Runs finish before a load; nothing else is checked.
    Finish,
    /// Nothing is fetched or saved.
    NoSharing,
    /// Entries release the parts before a load.
    Release,
}

/// The figures of a history.
#[derive(Debug, Default, Copy, Clone, PartialEq, Eq)]
pub struct Figures {
    /// Fetches of parts that were made under other weights, and saves of such parts.
    pub stale: usize,
    /// Requests that named a source or a store.
    pub shared: usize,
    /// All requests.
    pub requests: usize,
    /// The time from the naming of weights to the end of their loads, summed, in ms.
    pub outdated_ms: u64,
    /// The time in which engines let runs finish before a load, summed, in ms.
    pub finishing_ms: u64,
}

/// How disturbed a history is.
#[derive(Debug, Copy, Clone)]
pub struct Load {
    pub way: Way,
    pub length_ms: u64,
    pub named_every_ms: u64,
    /// The longest time that a request waits at its engine.
    pub max_queue_ms: u64,
    /// Of 1,000 seconds: cuts between an entry and a sidecar, and kills of each process.
    pub cuts: u64,
    pub entry_kills: u64,
    pub sidecar_kills: u64,
    /// Of 1,000 orders: carried out up to 3 s later.
    pub late_orders: u64,
    /// Of 1,000 seconds: changes of an engine's position in rollouts.
    pub moves: u64,
}

pub struct Rng(pub u64);

impl Rng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        ((self.0 >> 33) * limit) >> 31
    }

    fn happens(&mut self, per_1000: u64) -> bool {
        self.below(1_000) < per_1000
    }

    fn in_a_tick(&mut self, per_1000_seconds: u64) -> bool {
        self.below(100_000) < per_1000_seconds
    }
}

struct Engine {
    version: u64,
    loading: Option<(u64, LoadPermission)>,
    /// Versions under whose salt a retained run may have been prefilled again.
    mixed: Vec<u64>,
    orders: u64,
    late_orders: Vec<LateOrder>,
    gate: SharingGate,
    /// When its turn comes after a naming.
    turn_ms: u64,
    /// The newest version that its sidecar knows.
    known: u64,
    listed_at: u64,
    next_order_at: u64,
}

#[derive(Clone, Copy)]
struct LateOrder {
    arrives_at: u64,
    expected: u64,
    version: u64,
    permission: LoadPermission,
}

impl Engine {
    /// Restarts the sidecar, which may know an older version until it has listed all.
    fn restart_sidecar(&mut self, now: u64, named: u64, rng: &mut Rng) {
        self.gate = SharingGate::new(UnixMs(now), MAX_WAIT_MS);
        self.known = named.saturating_sub(rng.below(3)).max(1);
        self.listed_at = now + rng.below(4_000);
        self.next_order_at = now;
    }

    fn outlook(&self, turn_at: u64, now: u64) -> LoadOutlook {
        match self.version < self.known {
            _ if self.loading.is_some() => LoadOutlook::Imminent,
            true if now + 400 >= turn_at => LoadOutlook::Imminent,
            true => LoadOutlook::Planned,
            false if now < self.listed_at => LoadOutlook::Unconfirmed,
            false => LoadOutlook::Current,
        }
    }

    /// Carries out at most one of the orders that expect the same number of orders.
    fn receive_orders(&mut self, now: u64) {
        let (arrived, late) =
            self.late_orders.iter().partition(|it| it.arrives_at <= now);
        self.late_orders = late;
        for order in Vec::<LateOrder>::into_iter(arrived) {
            let is_expected = order.expected == self.orders && self.loading.is_none();
            if is_expected && order.version > self.version {
                self.orders += 1;
                self.loading = Some((order.version, order.permission));
            }
        }
    }
}

struct Link {
    connection: Option<u64>,
    cut_until: u64,
    heard_at: u64,
    next_state_at: u64,
    uses: PartUses,
    sent_release: Option<u64>,
    /// Messages under way: when they arrive, and the content.
    states: Vec<(u64, SharingState, u64)>,
    releases: Vec<(u64, u64)>,
}

struct Entry {
    process: u64,
    links: Vec<Link>,
}

struct Request {
    entry: usize,
    process: u64,
    target: usize,
    source: Option<usize>,
    saves: bool,
    version: u64,
    begins_at: u64,
    ends_at: u64,
    deadline: u64,
    has_begun: bool,
    /// When its caller leaves.
    left_at: u64,
}

/// Plays a random history.
pub fn play(load: Load, seed: u64) -> Figures {
    let mut rng = Rng(seed);
    let mut figures = Figures::default();
    let new_gate = |now: u64| SharingGate::new(UnixMs(now), MAX_WAIT_MS);
    let mut engines: Vec<Engine> = (0..4)
        .map(|at| Engine {
            version: 1,
            loading: None,
            mixed: Vec::new(),
            orders: 0,
            late_orders: Vec::new(),
            gate: new_gate(1_000),
            turn_ms: 300 * at,
            known: 1,
            listed_at: 0,
            next_order_at: 0,
        })
        .collect();
    let new_link = || Link {
        connection: None,
        cut_until: 0,
        heard_at: 0,
        next_state_at: 0,
        uses: PartUses::default(),
        sent_release: None,
        states: Vec::new(),
        releases: Vec::new(),
    };
    let new_links = || (0..4).map(|_| new_link()).collect::<Vec<_>>();
    let mut entries: Vec<Entry> =
        (0..3).map(|at| Entry { process: at + 1, links: new_links() }).collect();
    let mut last_process = 10;
    let mut requests: Vec<Request> = Vec::new();
    let mut named = 1;
    let mut named_at = 1_000;
    for now in (1_000..1_000 + load.length_ms).step_by(TICK_MS as usize) {
        let time = UnixMs(now);
        if now - named_at >= load.named_every_ms {
            (named, named_at) = (named + 1, now);
        }
        // Sidecars and engines.
        for (at, engine) in engines.iter_mut().enumerate() {
            if rng.in_a_tick(load.sidecar_kills) {
                engine.restart_sidecar(now, named, &mut rng);
                entries.iter_mut().for_each(|entry| entry.links[at].connection = None);
            }
            if rng.in_a_tick(load.moves) {
                engine.turn_ms = rng.below(2_500);
            }
            if now >= engine.listed_at {
                engine.known = named;
            }
            figures.outdated_ms += if engine.version < named { TICK_MS } else { 0 };
            let turn_at = named_at + engine.turn_ms;
            let served = [(MODEL.to_string(), engine.version)];
            engine.gate.update(engine.outlook(turn_at, now), &served, time);
            let is_outdated = engine.version < engine.known && engine.loading.is_none();
            if is_outdated && now >= turn_at.max(engine.next_order_at) {
                let permission = match load.way {
                    Way::Release => engine.gate.permission(time),
                    Way::Finish => LoadPermission::Finish,
                    Way::WeightsAtSend | Way::NoSharing => LoadPermission::Retain,
                };
                if permission != LoadPermission::Wait {
                    let is_late = rng.happens(load.late_orders);
                    let delay_ms = if is_late { 1 + rng.below(3_000) } else { 0 };
                    engine.late_orders.push(LateOrder {
                        arrives_at: now + delay_ms,
                        expected: engine.orders,
                        version: engine.known,
                        permission,
                    });
                    engine.next_order_at = now + 500;
                }
                if permission == LoadPermission::Retain {
                    engine.gate.record_retaining_order(MODEL, engine.known);
                }
            }
            engine.receive_orders(now);
            let Some((version, permission)) = engine.loading else { continue };
            let is_running = |it: &Request| it.target == at && it.has_begun;
            let has_runs = requests.iter().any(is_running);
            if permission == LoadPermission::Finish && has_runs {
                figures.finishing_ms += TICK_MS;
                continue;
            }
            if has_runs {
                let old = engine.version;
                engine.mixed.push(old);
                let saved = requests.iter().filter(|it| is_running(it) && it.saves);
                figures.stale += saved.count();
            }
            // Requests that have not begun are rejected.
            requests.retain(|it| {
                let rejected = it.target == at && !it.has_begun;
                if rejected && entries[it.entry].process == it.process {
                    settle(&mut entries[it.entry], it, it.source.is_some());
                }
                !rejected
            });
            engine.version = version;
            engine.loading = None;
            engine.mixed.dedup();
        }
        // Connections.
        for (number, entry) in entries.iter_mut().enumerate() {
            if rng.in_a_tick(load.entry_kills) {
                for (at, link) in entry.links.iter_mut().enumerate() {
                    if let Some(connection) = link.connection {
                        engines[at].gate.disconnect(connection, time);
                    }
                }
                last_process += 1;
                *entry = Entry { process: last_process, links: new_links() };
            }
            for (at, link) in entry.links.iter_mut().enumerate() {
                let engine = &mut engines[at];
                if now >= link.cut_until && rng.in_a_tick(load.cuts) {
                    link.cut_until = now + rng.below(6_000);
                }
                let is_cut = now < link.cut_until;
                match link.connection {
                    None if !is_cut => {
                        link.connection = Some(engine.gate.connect());
                        link.heard_at = now;
                        link.next_state_at = now;
                        link.sent_release = None;
                        link.states.clear();
                        link.releases.clear();
                    }
                    Some(connection) if is_cut && now - link.heard_at > SILENCE_MS => {
                        engine.gate.disconnect(connection, time);
                        link.uses.forget_report();
                        link.connection = None;
                    }
                    _ => {}
                }
                let Some(connection) = link.connection.filter(|_| !is_cut) else {
                    continue;
                };
                if now >= link.next_state_at {
                    let delay = rng.below(60);
                    link.states.push((now + delay, engine.gate.state(), engine.version));
                    link.next_state_at = now + 100;
                }
                link.states.sort_by_key(|state| state.0);
                while link.states.first().is_some_and(|state| state.0 <= now) {
                    let (_, state, version) = link.states.remove(0);
                    link.heard_at = now;
                    link.uses.record(
                        Some(state),
                        vec![(MODEL.to_string(), version)],
                        time,
                    );
                }
                let term = link.uses.released_term(time).unwrap_or_default();
                if link.sent_release != Some(term) {
                    link.sent_release = Some(term);
                    link.releases.push((now + rng.below(60), term));
                }
                while link.releases.first().is_some_and(|release| release.0 <= now) {
                    let (_, term) = link.releases.remove(0);
                    engine.gate.release(connection, entry.process, term);
                }
            }
            // Requests.
            if !rng.happens(300) {
                continue;
            }
            let target = rng.below(4) as usize;
            let version = engines[target].version;
            let is_loading = engines[target].loading.is_some();
            if is_loading || !engines[target].gate.state().is_open && rng.happens(500) {
                continue;
            }
            figures.requests += 1;
            let source = (target + 1 + rng.below(3) as usize) % 4;
            let may_use = |entry: &Entry, of: usize| match load.way {
                Way::NoSharing => false,
                Way::Release => entry.links[of].uses.may_use(MODEL, version, time),
                Way::WeightsAtSend | Way::Finish => engines[of].version == version,
            };
            let source = Some(source).filter(|&source| may_use(entry, source));
            let run_ms = 50 + rng.below(900);
            let saves = rng.happens(200) && may_use(entry, target);
            let queue_ms = match rng.below(4) {
                0 => rng.below(load.max_queue_ms + 1),
                _ => rng.below(30),
            };
            figures.shared += usize::from(source.is_some() || saves);
            source.into_iter().for_each(|at| entry.links[at].uses.begin());
            if saves {
                entry.links[target].uses.begin();
            }
            requests.push(Request {
                entry: number,
                process: entry.process,
                target,
                source,
                saves,
                version,
                begins_at: now + queue_ms,
                ends_at: now + queue_ms + run_ms,
                deadline: now + DEADLINE_MS,
                has_begun: false,
                left_at: match rng.below(10) {
                    0 => now + rng.below(100) * TICK_MS,
                    _ => u64::MAX,
                },
            });
        }
        // Runs.
        for it in requests.iter_mut() {
            let is_loading = engines[it.target].loading.is_some();
            if !it.has_begun && it.begins_at <= now && !is_loading {
                it.has_begun = true;
                let is_stale =
                    |source: usize| engines[source].mixed.contains(&it.version);
                figures.stale += usize::from(it.source.is_some_and(is_stale));
                let entry = &mut entries[it.entry];
                if let Some(source) = it.source.take_if(|_| entry.process == it.process) {
                    entry.links[source].uses.end();
                }
            }
        }
        // The entry closes the connection at once, and the engine drops the request later.
        for it in requests.iter_mut().filter(|it| it.left_at == now) {
            let entry = &mut entries[it.entry];
            if entry.process == it.process {
                let source = it.source.filter(|_| !it.has_begun);
                let saved = it.saves.then_some(it.target);
                for engine in source.into_iter().chain(saved) {
                    entry.links[engine].uses.abandon();
                }
                it.process = 0;
                it.deadline = it.deadline.min(now + DROP_MS);
            }
        }
        requests.retain(|it| {
            let ends = it.has_begun && it.ends_at <= now || it.deadline <= now;
            if ends && entries[it.entry].process == it.process {
                settle(&mut entries[it.entry], it, it.source.is_some());
            }
            !ends
        });
    }
    figures
}

fn settle(entry: &mut Entry, request: &Request, has_source: bool) {
    if let Some(source) = request.source.filter(|_| has_source) {
        entry.links[source].uses.end();
    }
    if request.saves {
        entry.links[request.target].uses.end();
    }
}
