//! A simulation of streams that begin at entries and are taken up at others, under faults.

mod faults;
mod ways;

use std::collections::BTreeMap;

use bilberry_core::OriginAnswer;
use bilberry_core::OriginEvidence;
use bilberry_core::RequestKey;
use bilberry_core::SoftwareHistory;
use bilberry_core::SoftwareId;
use bilberry_core::StreamId;
use bilberry_core::StreamOrigin;
use bilberry_core::UnixMs;
use bilberry_core::decide_origin;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub use faults::Fault;
pub use ways::EngineSidecar;
pub use ways::Owners;
pub use ways::Way;

pub const STEP_MS: u64 = 10;

/// The time limit of a stream, after which neither its entry nor its caller goes on.
pub const STREAM_TIMEOUT_MS: u64 = 5_000;

/// By how much longer a single version must have been listed; as in the product.
const PROOF_MARGIN_MS: u64 = 10_000;

/// How long a caller waits until the list is confirmed; as in the product.
const CONFIRMATION_TIMEOUT_MS: u64 = 1_900;

/// The interval at which an entry reads the changes of the list.
const LIST_INTERVAL_MS: u64 = 1_000;

/// How long a connection without data is kept.
pub const SILENCE_MS: u64 = 1_500;

/// How long a server that left the list goes on serving.
const LINGER_MS: u64 = 2_500;

/// The parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    pub entries: usize,
    pub servers: usize,
    /// How many servers have another version from the start.
    pub second_version: usize,
    pub seconds: u64,
    pub streams_per_s: f64,
    pub faults: Vec<(u64, Fault)>,
    /// The share of messages that arrive up to 300 ms late.
    pub late: f64,
    /// The share of messages that arrive twice.
    pub doubled: f64,
    /// The share of streams that use the attempt of an earlier one again.
    pub reused: f64,
    /// The share of streams whose request is that of an earlier one, in another attempt.
    pub repeated: f64,
    /// The share of callers that do not name the attempt.
    pub unnamed: f64,
    pub seed: u64,
}

/// What became of the streams.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Outcome {
    pub begun: u64,
    pub taken_up: u64,
    /// Taken up at another version than the one that began the stream.
    pub wrong: u64,
    pub unknown: u64,
    /// The version is known, and no server of it is listed.
    pub no_server: u64,
    /// Messages from entries to sidecars.
    pub messages: u64,
}

/// A server and the sidecar beside it.
#[derive(Debug, Clone)]
pub struct Server {
    pub software: SoftwareId,
    pub listed_from: u64,
    pub delisted_at: Option<u64>,
}

/// An entry's view of the list.
#[derive(Debug, Clone)]
pub struct Entry {
    pub up: bool,
    pub cut_from_store: bool,
    pub listed: Vec<usize>,
    pub history: SoftwareHistory,
    read_at: Option<u64>,
}

#[derive(Debug, Clone)]
struct Stream {
    id: StreamId,
    customer: u32,
    software: SoftwareId,
    entry: usize,
    server: usize,
    began_at: u64,
    ends_at: u64,
}

#[derive(Debug, Clone)]
struct TakeUp {
    at: u64,
    came_at: u64,
    entry: usize,
    stream: Stream,
    is_named: bool,
}

/// The simulated system.
pub struct World {
    pub now: u64,
    pub random: StdRng,
    pub entries: Vec<Entry>,
    pub servers: Vec<Server>,
    /// Whether the link between an entry and a sidecar is cut.
    pub cut_links: BTreeMap<(usize, usize), u64>,
    streams: Vec<Stream>,
    takeups: Vec<TakeUp>,
    past_ids: Vec<(StreamId, u32)>,
    next_request: u64,
}

impl World {
    fn new(setup: &Setup) -> Self {
        let servers = (0..setup.servers).map(|number| Server {
            software: SoftwareId(1 + u64::from(number < setup.second_version)),
            listed_from: 0,
            delisted_at: None,
        });
        let entry = Entry {
            up: true,
            cut_from_store: false,
            listed: Vec::new(),
            history: SoftwareHistory::default(),
            read_at: None,
        };
        Self {
            now: 0,
            random: StdRng::seed_from_u64(setup.seed),
            entries: vec![entry; setup.entries],
            servers: servers.collect(),
            cut_links: BTreeMap::new(),
            streams: Vec::new(),
            takeups: Vec::new(),
            past_ids: Vec::new(),
            next_request: 1,
        }
    }

    pub fn at(&self) -> UnixMs {
        UnixMs(1_000_000 + self.now)
    }

    /// Reports whether a server still serves, listed or not.
    fn serves(&self, server: usize) -> bool {
        let server = &self.servers[server];
        let until = server.delisted_at.map(|at| at + LINGER_MS);
        until.is_none_or(|until| self.now < until)
    }

    /// Reports whether a message between an entry and a sidecar gets through.
    pub fn is_linked(&self, entry: usize, sidecar: usize) -> bool {
        let cut = self.cut_links.get(&(entry, sidecar));
        self.serves(sidecar) && cut.is_none_or(|&until| self.now >= until)
    }

    /// Reads the list at entries that are due.
    fn read_lists(&mut self) {
        for entry in &mut self.entries {
            let is_due = entry.read_at.is_none_or(|at| self.now >= at + LIST_INTERVAL_MS);
            if !entry.up || entry.cut_from_store || !is_due {
                continue;
            }
            let at = UnixMs(1_000_000 + self.now);
            let since = entry.read_at.unwrap_or(self.now);
            entry.listed.clear();
            for (number, server) in self.servers.iter().enumerate() {
                let is_gone = server.delisted_at.is_some_and(|at| at <= self.now);
                // Changes since the last read name servers that came and went meanwhile.
                let was_listed = server.delisted_at.is_none_or(|at| at > since);
                if server.listed_from <= self.now && was_listed {
                    entry.history.record(Some(server.software), at);
                }
                if server.listed_from <= self.now && !is_gone {
                    entry.listed.push(number);
                }
            }
            entry.history.confirm(at);
            entry.read_at = Some(self.now);
        }
    }

    pub fn restart_entry(&mut self, entry: usize) {
        self.entries[entry] = Entry {
            up: true,
            cut_from_store: self.entries[entry].cut_from_store,
            listed: Vec::new(),
            history: SoftwareHistory::default(),
            read_at: None,
        };
    }

    /// Makes the callers of the streams that match return to other entries.
    pub fn break_streams(&mut self, broken: impl Fn(usize, usize) -> bool) {
        let (lost, kept) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| broken(stream.entry, stream.server));
        self.streams = kept;
        let lost: Vec<Stream> = lost;
        for stream in lost {
            let up: Vec<usize> =
                (0..self.entries.len()).filter(|&n| self.entries[n].up).collect();
            if up.is_empty() {
                continue;
            }
            let entry = up[self.random.random_range(0..up.len())];
            let at = self.now + self.random.random_range(10..60);
            let came_at = at;
            self.takeups.push(TakeUp { at, came_at, entry, stream, is_named: true });
        }
    }
}

/// Runs a simulation.
pub fn simulate<W: Way>(mut way: W, setup: &Setup) -> Outcome {
    let mut world = World::new(setup);
    let mut outcome = Outcome::default();
    let mut faults = setup.faults.clone();
    faults.sort_by_key(|(at, _)| *at);
    let mut faults = faults.into_iter().peekable();
    let mut due = 0.0;
    while world.now < setup.seconds * 1_000 {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= world.now) {
            fault.apply(&mut world, &mut way);
        }
        let ended: Vec<usize> = (0..world.servers.len())
            .filter(|&n| {
                let gone = world.servers[n].delisted_at.map(|at| at + LINGER_MS);
                gone.is_some_and(|at| at == world.now)
            })
            .collect();
        ended.iter().for_each(|&server| way.lose_sidecar(server));
        world.break_streams(|_, server| ended.contains(&server));
        world.read_lists();
        way.step(&mut world);
        due += setup.streams_per_s * STEP_MS as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            begin_stream(&mut world, &mut way, setup, &mut outcome);
        }
        take_up_streams(&mut world, &mut way, setup, &mut outcome);
        let now = world.now;
        world.streams.retain(|stream| stream.ends_at > now);
        world.now += STEP_MS;
    }
    outcome.messages = way.messages();
    outcome
}

fn begin_stream<W: Way>(
    world: &mut World,
    way: &mut W,
    setup: &Setup,
    outcome: &mut Outcome,
) {
    let entry = world.random.random_range(0..world.entries.len());
    if !world.entries[entry].up || world.entries[entry].listed.is_empty() {
        return;
    }
    let listed = &world.entries[entry].listed;
    let server = listed[world.random.random_range(0..listed.len())];
    if !world.serves(server) {
        return;
    }
    let is_reused = !world.past_ids.is_empty() && world.random.random_bool(setup.reused);
    let is_repeated =
        !world.past_ids.is_empty() && world.random.random_bool(setup.repeated);
    let (id, customer) = match (is_reused, is_repeated) {
        (true, _) => world.past_ids[world.random.random_range(0..world.past_ids.len())],
        (false, true) => {
            let past = world.random.random_range(0..world.past_ids.len());
            let (StreamId { request, .. }, customer) = world.past_ids[past];
            (StreamId { request, attempt: world.random.random() }, customer)
        }
        (false, false) => {
            world.next_request += 1;
            let request = RequestKey(world.next_request);
            (StreamId { request, attempt: world.random.random() }, entry as u32)
        }
    };
    if world.past_ids.len() < 500 {
        world.past_ids.push((id, customer));
    }
    let lasts_ms = world.random.random_range(50..STREAM_TIMEOUT_MS);
    let stream = Stream {
        id,
        customer,
        software: world.servers[server].software,
        entry,
        server,
        began_at: world.now,
        ends_at: world.now + lasts_ms,
    };
    outcome.begun += 1;
    record(world, way, &stream);
    world.streams.push(stream);
}

fn record<W: Way>(world: &mut World, way: &mut W, stream: &Stream) {
    let origin = StreamOrigin {
        stream: stream.id,
        software: Some(stream.software),
        customer: stream.customer,
        expires_at: world.at().plus_ms(STREAM_TIMEOUT_MS + 60_000),
    };
    way.record(world, stream.entry, stream.server, origin);
}

fn take_up_streams<W: Way>(
    world: &mut World,
    way: &mut W,
    setup: &Setup,
    outcome: &mut Outcome,
) {
    let now = world.now;
    let (due, later) = std::mem::take(&mut world.takeups)
        .into_iter()
        .partition(|takeup| takeup.at <= now);
    world.takeups = later;
    let due: Vec<TakeUp> = due;
    for mut takeup in due {
        let entry = &world.entries[takeup.entry];
        let is_over = now >= takeup.stream.began_at + STREAM_TIMEOUT_MS;
        if !entry.up || entry.read_at.is_none() || is_over {
            continue;
        }
        if takeup.is_named && world.random.random_bool(setup.unnamed) {
            takeup.is_named = false;
        }
        let attempt = takeup.is_named.then_some(takeup.stream.id.attempt);
        let request = takeup.stream.id.request;
        let answers: Vec<OriginAnswer> = way.ask(world, takeup.entry, request, attempt);
        let history = &world.entries[takeup.entry].history;
        let max_ms = STREAM_TIMEOUT_MS + PROOF_MARGIN_MS;
        let at = world.at();
        let came_at = UnixMs(1_000_000 + takeup.came_at);
        let evidence = OriginEvidence {
            answers,
            is_named: takeup.is_named,
            seen_alone: history.confirmed_alone(came_at, at),
            proven: history.proven(came_at, max_ms, at),
        };
        let decided = decide_origin(&evidence);
        let is_confirmable = match evidence.agreed() {
            OriginAnswer::Known(software) => history.seen_alone(at) == Some(software),
            OriginAnswer::Unknown => history.provable(came_at, max_ms, at).is_some(),
            OriginAnswer::Conflicting => false,
        };
        if decided.is_none()
            && is_confirmable
            && now < takeup.came_at + CONFIRMATION_TIMEOUT_MS
        {
            world.takeups.push(TakeUp { at: now + STEP_MS, ..takeup });
            continue;
        }
        outcome.taken_up += 1;
        match decided {
            None => outcome.unknown += 1,
            Some(software) if software != takeup.stream.software => outcome.wrong += 1,
            Some(software) => {
                let listed = &world.entries[takeup.entry].listed;
                let suits = |&&server: &&usize| {
                    world.servers[server].software == software && world.serves(server)
                };
                let Some(&server) = listed.iter().find(suits) else {
                    outcome.no_server += 1;
                    continue;
                };
                let stream = Stream { entry: takeup.entry, server, ..takeup.stream };
                record(world, way, &stream);
                world.streams.push(stream);
            }
        }
    }
}
