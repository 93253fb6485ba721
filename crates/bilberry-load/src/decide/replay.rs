//! The replay itself: arrivals, faults and decisions in the order of their times.

use std::collections::HashSet;

use bilberry_core::Name;
use bilberry_core::PlacementCandidate;
use bilberry_core::PlacementRequest;
use bilberry_core::PrefillInProgress;
use bilberry_core::PrefillsInProgress;
use bilberry_core::Rollout;
use bilberry_core::RolloutPlace;
use bilberry_core::UnixMs;
use bilberry_core::choose_upstream;
use bilberry_core::max_part_wait_ms;
use bilberry_core::may_start_load;
use xxhash_rust::xxh3::xxh3_64;

use crate::decide::agenda::Agenda;
use crate::decide::agenda::Due;
use crate::decide::agenda::What;
use crate::decide::engine::Engine;
use crate::decide::engine::Work;
use crate::decide::keys::Keys;
use crate::decide::load::Arrival;
use crate::decide::load::Fault;
use crate::decide::load::LoadFile;
use crate::decide::policy::Policy;
use crate::decide::report::Answer;
use crate::decide::report::Counts;
use crate::decide::report::Report;

/// How often a sidecar repeats the load of its engine.
const REPORT_EVERY_MS: f64 = 100.0;

/// How late a word of one entry reaches the others by way of a sidecar.
const TELL_MS: f64 = 3.0;

/// How late a crash shows: two questions of the sidecar without an answer.
const DOWN_SEEN_MS: f64 = 80.0;

/// How often a sidecar asks its engine how it fares.
const ASK_EVERY_MS: f64 = 40.0;

/// How long a request that met a dead engine takes to go elsewhere.
const SEND_AGAIN_MS: f64 = 2.0;

/// How often a request is sent at most.
const MOST_SENDS: usize = 3;

/// The moment at which the replay begins, for code that counts Unix time.
const BEGIN: UnixMs = UnixMs(1_000_000);

/// Replays a load under a policy.
pub fn replay(load: &LoadFile, policy: Policy, seed: u64) -> Report {
    let arrivals = load.arrivals(seed);
    let mut world = World::new(load, policy, &arrivals);
    while let Some(due) = world.agenda.pop() {
        world.step(due);
    }
    Report::new(load, &arrivals, &world.answers, world.counts)
}

struct World<'a> {
    load: &'a LoadFile,
    policy: Policy,
    arrivals: &'a [Arrival],
    engines: Vec<Engine>,
    readings: Vec<PrefillsInProgress>,
    turns: Vec<usize>,
    sends: Vec<usize>,
    tried: Vec<Vec<usize>>,
    newest: u64,
    read_once: HashSet<u64>,
    counts: Counts,
    answers: Vec<Answer>,
    agenda: Agenda,
}

impl<'a> World<'a> {
    fn new(load: &'a LoadFile, policy: Policy, arrivals: &'a [Arrival]) -> Self {
        let mut world = Self {
            load,
            policy,
            arrivals,
            engines: (0..load.engines.count)
                .map(|_| Engine::new(load.event_delay_ms as f64))
                .collect(),
            readings: (0..load.entries).map(|_| PrefillsInProgress::default()).collect(),
            turns: vec![0; load.entries],
            sends: vec![0; arrivals.len()],
            tried: vec![Vec::new(); arrivals.len()],
            newest: 0,
            read_once: HashSet::new(),
            counts: Counts::default(),
            answers: vec![Answer::Failed; arrivals.len()],
            agenda: Agenda::default(),
        };
        for (request, arrival) in arrivals.iter().enumerate() {
            world.put(arrival.at_ms, What::Place(request));
        }
        for fault in &load.faults {
            match *fault {
                Fault::Crash { at_s, share, for_s } => {
                    let for_ms = for_s * 1_000.0;
                    world.put(at_s * 1_000.0, What::Crash { share, for_ms });
                }
                Fault::Weights { at_s } => world.put(at_s * 1_000.0, What::Name),
                Fault::Burst { .. } => {}
            }
        }
        world
    }

    fn put(&mut self, at_ms: f64, what: What) {
        self.agenda.put(at_ms, what);
    }

    fn step(&mut self, due: Due) {
        let now_ms = due.at_ms;
        match due.what {
            What::Place(request) => self.place(request, now_ms),
            What::Tell { from, part, reading } => {
                for entry in (0..self.readings.len()).filter(|&entry| entry != from) {
                    self.readings[entry].begin(part, reading.clone(), unix(now_ms));
                }
            }
            What::Crash { share, for_ms } => self.crash(share, for_ms, now_ms),
            What::Name => self.name(now_ms),
            What::Load { engine, version, turn_at } => {
                self.begin_load(engine, version, turn_at, now_ms);
            }
        }
    }

    /// Has a part of the engines crash, another one each time.
    fn crash(&mut self, share: f64, for_ms: f64, now_ms: f64) {
        let count = self.engines.len();
        let crashed = (share * count as f64).ceil() as usize;
        let first = (now_ms / 100.0) as usize % count;
        for engine in (first..first + crashed).map(|engine| engine % count) {
            for run in self.engines[engine].crash(now_ms, for_ms) {
                self.answers[run.request] = Answer::Failed;
                let has_begun = run.first_event_ms <= now_ms;
                if !has_begun && self.sends[run.request] < MOST_SENDS {
                    self.put(now_ms + DOWN_SEEN_MS, What::Place(run.request));
                }
            }
        }
    }

    /// Names new weights, which the engines load in their turns.
    fn name(&mut self, now_ms: f64) {
        self.newest += 1;
        let servers = self.engines.len();
        let rollout = Rollout::new(None);
        for position in 0..servers {
            let place = RolloutPlace { position, servers, down: 0 };
            let starts_at = rollout.starts_at(unix(now_ms), place);
            let at_ms = (starts_at.0 - BEGIN.0) as f64;
            self.engines[position].turn_at_ms = Some(at_ms);
            let what =
                What::Load { engine: position, version: self.newest, turn_at: starts_at };
            self.put(at_ms, what);
        }
    }

    /// Has an engine load weights, once what waits there may be thrown back.
    fn begin_load(&mut self, engine: usize, version: u64, turn_at: UnixMs, now_ms: f64) {
        let waiting = self.engines[engine].waiting(now_ms);
        if !may_start_load(turn_at, waiting, unix(now_ms)) {
            let what = What::Load { engine, version, turn_at };
            return self.put(now_ms + ASK_EVERY_MS, what);
        }
        let load_ms = self.load.engines.load_ms as f64;
        for run in self.engines[engine].load(version, now_ms, load_ms) {
            self.counts.thrown_back += 1;
            self.answers[run.request] = Answer::Failed;
            if self.sends[run.request] < MOST_SENDS {
                self.put(now_ms + SEND_AGAIN_MS, What::Place(run.request));
            }
        }
    }

    fn place(&mut self, request: usize, now_ms: f64) {
        let chosen = match self.policy {
            Policy::InTurn => self.next_in_turn(request, now_ms),
            Policy::AllKnowing => self.first_to_answer(request, now_ms),
            Policy::Ours | Policy::Apart => match self.choose(request, now_ms) {
                Choice::At(engine) => Some(engine),
                Choice::Later(at_ms) => return self.put(at_ms, What::Place(request)),
                Choice::Nowhere => None,
            },
        };
        let Some(engine) = chosen else {
            let arrival = &self.arrivals[request];
            let patience_ms = self.load.requests[arrival.kind].target_ms as f64 * 5.0;
            if now_ms < arrival.at_ms + patience_ms {
                self.put(now_ms + 25.0, What::Place(request));
            }
            return;
        };
        self.sends[request] += 1;
        let is_dead =
            self.engines[engine].away_until_ms > now_ms && !self.engines[engine].loads;
        if is_dead && self.policy != Policy::AllKnowing {
            self.tried[request].push(engine);
            if self.sends[request] < MOST_SENDS {
                self.put(now_ms + SEND_AGAIN_MS, What::Place(request));
            }
            return;
        }
        self.send(request, engine, now_ms);
    }

    fn send(&mut self, request: usize, engine: usize, now_ms: f64) {
        let arrival = &self.arrivals[request];
        let kind = &self.load.requests[arrival.kind];
        let keys = self.keys(request, engine);
        let supplied = self.supplied(request, engine, &keys, now_ms);
        let work = Work {
            request,
            entry: arrival.entry,
            now_ms,
            parts: &keys.parts,
            supplied,
            own_tokens: kind.own_tokens,
            output_tokens: kind.output_tokens,
            believed_ms_per_token: 1.0 / self.load.engines.read_tokens_per_ms,
        };
        let done = self.engines[engine].take(&work, &self.load.engines);
        self.answers[request] = Answer::Begun(done.first_event_ms);
        let read = &keys.parts[keys.parts.len() - done.parts_read..];
        for &(key, tokens) in read {
            if !self.read_once.insert(key) {
                self.counts.tokens_read_again += tokens;
            }
        }
        if self.policy == Policy::Ours {
            self.tell(arrival.entry, engine, read, now_ms);
        }
    }

    /// Tells all entries which parts an engine reads.
    fn tell(&mut self, entry: usize, engine: usize, read: &[(u64, u64)], now_ms: f64) {
        for &(part, _) in read {
            let Some(held) = self.engines[engine].part(part) else { continue };
            let expected_end = unix(held.told_for_ms);
            let reading = PrefillInProgress { upstream: name(engine), expected_end };
            self.readings[entry].begin(part, reading.clone(), unix(now_ms));
            self.put(now_ms + TELL_MS, What::Tell { from: entry, part, reading });
        }
    }

    /// Decides as production does, from what the entry knows.
    fn choose(&mut self, request: usize, now_ms: f64) -> Choice {
        let arrival = &self.arrivals[request];
        let kind = &self.load.requests[arrival.kind];
        let offers: Vec<PlacementCandidate> = (0..self.engines.len())
            .map(|engine| self.offer(request, engine, now_ms))
            .collect();
        let demand = PlacementRequest {
            affinity: arrival.parts[1].0,
            shared_tokens: arrival.parts.iter().map(|&(_, tokens)| tokens).sum(),
            own_tokens: kind.own_tokens,
            output_tokens: kind.output_tokens,
            answer_ms: (kind.output_tokens as f64 * self.load.engines.step_ms) as u64,
            body_bytes: 0,
            can_fetch: true,
            ..PlacementRequest::default()
        };
        let Some(engine) = choose_upstream(&demand, &offers) else {
            return Choice::Nowhere;
        };
        match self.awaits_until(request, engine, &offers, now_ms) {
            Some(at_ms) => Choice::Later(at_ms),
            None => Choice::At(engine),
        }
    }

    fn awaits_until(
        &self,
        request: usize,
        engine: usize,
        offers: &[PlacementCandidate],
        now_ms: f64,
    ) -> Option<f64> {
        if self.policy != Policy::Ours {
            return None;
        }
        let arrival = &self.arrivals[request];
        let target_ms = self.load.requests[arrival.kind].target_ms;
        let until_ms = arrival.at_ms + max_part_wait_ms(target_ms) as f64;
        let version = self.engines[engine].version;
        let like = offers.iter().zip(&self.engines).filter(|(_, e)| e.version == version);
        let known = like.map(|(offer, _)| offer.cached_tokens).max().unwrap_or_default();
        let mut end = 0;
        let parts = self.keys(request, engine).parts;
        let missing = parts.iter().find(|&&(_, tokens)| {
            end += tokens;
            end > known
        });
        let &(part, tokens) = missing?;
        let read_ms = tokens as f64 / self.load.engines.read_tokens_per_ms;
        let readings = &self.readings[arrival.entry];
        let reading = readings.prefill_to_await(part, read_ms as u64, unix(now_ms))?;
        let done_ms = (reading.expected_end.0 - BEGIN.0) as f64;
        (until_ms > now_ms).then(|| done_ms.min(until_ms).max(now_ms + 1.0))
    }

    /// Returns what an entry knows of an engine.
    fn offer(&self, request: usize, at: usize, now_ms: f64) -> PlacementCandidate {
        let arrival = &self.arrivals[request];
        let engine = &self.engines[at];
        let terms = &self.load.engines;
        let told_ms = (now_ms / REPORT_EVERY_MS).floor() * REPORT_EVERY_MS;
        let told = engine.active(told_ms);
        let own_since = engine
            .active(now_ms)
            .filter(|run| run.entry == arrival.entry && run.sent_at_ms > told_ms);
        let seen: Vec<_> = told.chain(own_since).collect();
        let own = engine.active(now_ms).filter(|run| run.entry == arrival.entry);
        let unread = own.filter(|run| run.first_event_ms > now_ms);
        let used: u64 = seen.iter().map(|run| run.memory_tokens).sum();
        let keys = self.keys(request, at);
        let held = keys.known(engine, arrival.entry, now_ms, self.policy);
        PlacementCandidate {
            seed: xxh3_64(name(at).as_bytes()),
            usable: !self.is_known_away(at, now_ms) && !self.tried[request].contains(&at),
            same_data_centre: true,
            free_slots: terms.slots.saturating_sub(seen.len() as u64),
            free_tokens: terms.memory_tokens.saturating_sub(used),
            pending_tokens: unread.map(|run| run.read_tokens).sum(),
            running: seen.len() as u64,
            cached_tokens: keys.parts[..held].iter().map(|&(_, tokens)| tokens).sum(),
            ..PlacementCandidate::default()
        }
    }

    fn is_known_away(&self, at: usize, now_ms: f64) -> bool {
        let engine = &self.engines[at];
        let seen = engine.loads || now_ms - engine.away_since_ms >= DOWN_SEEN_MS;
        let closes = engine.turn_at_ms.is_some_and(|at_ms| at_ms <= now_ms);
        closes || (engine.away_until_ms > now_ms && seen)
    }

    /// Returns how many leading parts another engine supplies, as the entry believes
    /// and as is true when the request begins.
    fn supplied(&self, request: usize, at: usize, keys: &Keys, now_ms: f64) -> usize {
        let begins_ms = self.engines[at].begins_at_ms(now_ms, &self.load.engines);
        let entry = self.arrivals[request].entry;
        let others = self
            .engines
            .iter()
            .enumerate()
            .filter(|&(other, engine)| other != at && engine.away_until_ms <= now_ms);
        let true_of = |engine: &Engine| engine.leading_held(&keys.parts, begins_ms);
        match self.policy {
            Policy::InTurn => 0,
            Policy::AllKnowing => {
                others.map(|(_, engine)| true_of(engine)).max().unwrap_or(0)
            }
            Policy::Ours | Policy::Apart => {
                let known =
                    |engine: &Engine| keys.known(engine, entry, now_ms, self.policy);
                let source = others.max_by_key(|(_, engine)| known(engine));
                source.map_or(0, |(_, engine)| true_of(engine).min(known(engine)))
            }
        }
    }

    fn next_in_turn(&mut self, request: usize, now_ms: f64) -> Option<usize> {
        let entry = self.arrivals[request].entry;
        let count = self.engines.len();
        let from = self.turns[entry];
        let mut turns = (from..from + count).map(|turn| turn % count);
        let found = turns.find(|&engine| !self.is_known_away(engine, now_ms));
        self.turns[entry] = found.unwrap_or(from) + 1;
        found
    }

    fn first_to_answer(&self, request: usize, now_ms: f64) -> Option<usize> {
        let terms = &self.load.engines;
        let first_event_ms = |at: usize| {
            let engine = &self.engines[at];
            let keys = self.keys(request, at);
            let begins_ms = engine.begins_at_ms(now_ms, terms);
            let held = engine.leading_held(&keys.parts, begins_ms);
            let supplied = self.supplied(request, at, &keys, now_ms).max(held);
            let tokens =
                |parts: &[(u64, u64)]| parts.iter().map(|&(_, t)| t).sum::<u64>() as f64;
            begins_ms
                + tokens(&keys.parts[held..supplied]) / terms.fetch_tokens_per_ms
                + tokens(&keys.parts[supplied..]) / terms.read_tokens_per_ms
        };
        (0..self.engines.len())
            .min_by(|&a, &b| first_event_ms(a).total_cmp(&first_event_ms(b)))
    }

    fn keys(&self, request: usize, engine: usize) -> Keys {
        Keys::new(&self.arrivals[request], self.engines[engine].version)
    }
}

/// What is decided about a request.
enum Choice {
    At(usize),
    Later(f64),
    Nowhere,
}

fn unix(at_ms: f64) -> UnixMs {
    BEGIN.plus_ms(at_ms.max(0.0) as u64)
}

fn name(engine: usize) -> Name {
    format!("engine-{engine}").into()
}
