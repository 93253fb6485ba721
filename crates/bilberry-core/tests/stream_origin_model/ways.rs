//! The ways to hold the origins of streams that were weighed.

use std::collections::HashMap;

use bilberry_core::ORIGIN_OWNERS;
use bilberry_core::OriginAnswer;
use bilberry_core::OriginLedger;
use bilberry_core::OriginRecords;
use bilberry_core::OwnerRanking;
use bilberry_core::RequestKey;
use bilberry_core::StreamId;
use bilberry_core::StreamOrigin;
use bilberry_core::UnixMs;
use rand::RngExt;

use super::SILENCE_MS;
use super::Setup;
use super::World;

const CAPACITY: usize = 100_000;

/// A way to hold the origins of streams.
pub trait Way {
    /// Records the origin of a stream at an entry.
    fn record(
        &mut self,
        world: &mut World,
        entry: usize,
        server: usize,
        origin: StreamOrigin,
    );

    /// Returns the answers to an entry that looks for the origin of a stream.
    fn ask(
        &mut self,
        world: &mut World,
        entry: usize,
        request: RequestKey,
        attempt: Option<u64>,
    ) -> Vec<OriginAnswer>;

    /// Delivers messages and notices which sidecars are in contact.
    fn step(&mut self, world: &mut World);

    /// Restarts an entry, which loses all that it knew.
    fn lose_entry(&mut self, entry: usize);

    /// Restarts a sidecar, which loses all that it knew.
    fn lose_sidecar(&mut self, sidecar: usize);

    /// Returns the number of messages from entries to sidecars.
    fn messages(&self) -> u64;
}

/// Two sidecars, chosen by the request, hold the origin of each stream.
pub struct Owners {
    entries: Vec<EntryState>,
    sidecars: HashMap<usize, OriginLedger>,
    in_transit: Vec<(u64, usize, StreamOrigin)>,
    late: f64,
    doubled: f64,
    messages: u64,
}

struct EntryState {
    records: OriginRecords,
    ranking: OwnerRanking,
    /// The sidecars in contact, and when the last data came from each.
    contacts: HashMap<usize, u64>,
}

impl EntryState {
    fn new() -> Self {
        Self {
            records: OriginRecords::new(CAPACITY),
            ranking: OwnerRanking::default(),
            contacts: HashMap::new(),
        }
    }
}

impl Owners {
    pub fn new(setup: &Setup) -> Self {
        Self {
            entries: (0..setup.entries).map(|_| EntryState::new()).collect(),
            sidecars: HashMap::new(),
            in_transit: Vec::new(),
            late: setup.late,
            doubled: setup.doubled,
            messages: 0,
        }
    }

    fn send(
        &mut self,
        world: &mut World,
        entry: usize,
        missing: Vec<(u64, StreamOrigin)>,
    ) {
        for (seed, origin) in missing {
            let sidecar = seed as usize;
            self.entries[entry].records.mark_told(origin.stream, seed);
            self.messages += 1;
            if !world.is_linked(entry, sidecar) {
                continue;
            }
            let copies = 1 + usize::from(world.random.random_bool(self.doubled));
            for _ in 0..copies {
                let delay_ms = match world.random.random_bool(self.late) {
                    true => world.random.random_range(5..300),
                    false => world.random.random_range(1..5),
                };
                self.in_transit.push((world.now + delay_ms, sidecar, origin));
            }
        }
    }
}

impl Way for Owners {
    fn record(
        &mut self,
        world: &mut World,
        entry: usize,
        _: usize,
        origin: StreamOrigin,
    ) {
        let now = world.at();
        let EntryState { records, ranking, .. } = &mut self.entries[entry];
        records.record(origin, now);
        let missing = records.missing(origin.stream, ranking, now);
        self.send(world, entry, missing);
    }

    fn ask(
        &mut self,
        world: &mut World,
        entry: usize,
        request: RequestKey,
        attempt: Option<u64>,
    ) -> Vec<OriginAnswer> {
        let now = world.at();
        let state = &mut self.entries[entry];
        let mut answers = vec![state.records.ledger().look_up(request, attempt, now)];
        let asked = state.ranking.live_owners(request.0, 2 * ORIGIN_OWNERS, now);
        for sidecar in asked.into_iter().map(|seed| seed as usize) {
            self.messages += 1;
            if world.is_linked(entry, sidecar) {
                let ledger = self.sidecars.get_mut(&sidecar);
                answers.extend(ledger.map(|it| it.look_up(request, attempt, now)));
            }
        }
        answers
    }

    fn step(&mut self, world: &mut World) {
        let now = world.now;
        let at = world.at();
        let (arrived, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(due, _, _)| *due <= now);
        self.in_transit = later;
        let arrived: Vec<(u64, usize, StreamOrigin)> = arrived;
        for (_, sidecar, origin) in arrived {
            let ledger = self.sidecars.entry(sidecar);
            let ledger = ledger.or_insert_with(|| OriginLedger::new(CAPACITY));
            ledger.record(origin, at);
        }
        for entry in 0..self.entries.len() {
            let listed = world.entries[entry].listed.clone();
            let state = &mut self.entries[entry];
            let mut is_changed = false;
            let mut added = Vec::new();
            for &sidecar in &listed {
                if world.is_linked(entry, sidecar) {
                    if state.contacts.insert(sidecar, now).is_none() {
                        state.ranking.add(sidecar as u64);
                        added.push(sidecar as u64);
                        is_changed = true;
                    }
                } else {
                    state.ranking.expect(sidecar as u64, at);
                }
            }
            let lost: Vec<usize> = state
                .contacts
                .iter()
                .filter(|(sidecar, heard_at)| {
                    now >= **heard_at + SILENCE_MS || !listed.contains(sidecar)
                })
                .map(|(&sidecar, _)| sidecar)
                .collect();
            for sidecar in lost {
                state.contacts.remove(&sidecar);
                state.ranking.remove(sidecar as u64, at);
                state.records.forget_sidecar(sidecar as u64);
                is_changed = true;
            }
            if is_changed {
                let missing = state.records.all_missing(&state.ranking, &added, at);
                self.send(world, entry, missing);
            }
        }
    }

    fn lose_entry(&mut self, entry: usize) {
        self.entries[entry] = EntryState::new();
    }

    fn lose_sidecar(&mut self, sidecar: usize) {
        self.sidecars.remove(&sidecar);
        // Its connections are closed, so that entries notice at once.
        for state in &mut self.entries {
            if state.contacts.remove(&sidecar).is_some() {
                state.ranking.remove(sidecar as u64, UnixMs(0));
                state.records.forget_sidecar(sidecar as u64);
            }
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The sidecar of the engine that runs a stream holds its origin; all are asked.
#[derive(Default)]
pub struct EngineSidecar {
    held: HashMap<usize, HashMap<StreamId, StreamOrigin>>,
    messages: u64,
}

impl Way for EngineSidecar {
    fn record(&mut self, _: &mut World, _: usize, server: usize, origin: StreamOrigin) {
        self.held.entry(server).or_default().insert(origin.stream, origin);
    }

    fn ask(
        &mut self,
        world: &mut World,
        entry: usize,
        request: RequestKey,
        attempt: Option<u64>,
    ) -> Vec<OriginAnswer> {
        let listed = world.entries[entry].listed.clone();
        let mut answers = Vec::new();
        for sidecar in listed {
            self.messages += 1;
            if !world.is_linked(entry, sidecar) {
                continue;
            }
            let held = self.held.get(&sidecar).into_iter().flatten();
            let found = held.filter(|(stream, _)| {
                stream.request == request
                    && attempt.is_none_or(|attempt| attempt == stream.attempt)
            });
            answers.extend(found.map(|(_, origin)| match origin.software {
                Some(software) => OriginAnswer::Known(software),
                None => OriginAnswer::Conflicting,
            }));
        }
        answers
    }

    fn step(&mut self, _: &mut World) {}

    fn lose_entry(&mut self, _: usize) {}

    fn lose_sidecar(&mut self, sidecar: usize) {
        self.held.remove(&sidecar);
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
