//! The ways to enforce a quota.

use std::collections::HashSet;
use std::collections::VecDeque;

use bilberry_core::EntryRoster;
use bilberry_core::IsolatedQuotas;
use bilberry_core::Name;
use bilberry_core::OwnerRanking;
use bilberry_core::QUOTA_OWNERS;
use bilberry_core::Quota;
use bilberry_core::QuotaCharge;
use bilberry_core::QuotaDecision;
use bilberry_core::QuotaLedger;
use bilberry_core::QuotaTolerance;
use bilberry_core::RankedOwner;
use bilberry_core::UnixMs;
use bilberry_core::combine_replies;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::quota_model::Fault;
use crate::quota_model::START_MS;
use crate::quota_model::Way;

/// The interval at which processes do their periodic work.
const STEP_MS: u64 = 50;
const TICK_MS: u64 = 250;

/// How long a process takes to detect that a peer is cut off, and to reconnect.
const DETECTION_MS: u64 = 1_500;
const RECONNECT_MS: u64 = 300;

const SILENT_PAUSE_MS: u64 = 1_500;

/// How many owners an entry asks before it gives up.
const MAX_SILENT: usize = 6;
const CUSTOMER_HASH: u64 = 0x5a17;

/// A token bucket without turns.
#[derive(Debug, Default, Clone)]
struct Bucket {
    level: Option<f64>,
    refilled_at: UnixMs,
}

impl Bucket {
    fn refill(&mut self, rate_per_s: f64, burst: f64, now: UnixMs) {
        let refill = now.ms_since(self.refilled_at) as f64 / 1_000.0 * rate_per_s;
        self.level = Some((self.level.unwrap_or(burst) + refill).min(burst));
        self.refilled_at = now;
    }

    fn charge(
        &mut self,
        part: f64,
        quota: Quota,
        cost: f64,
        now: UnixMs,
    ) -> QuotaDecision {
        let (rate, burst) = (quota.rate_per_s * part, quota.burst * part);
        self.refill(rate, burst, now);
        let level = self.level.unwrap_or_default();
        if level >= cost {
            self.level = Some(level - cost);
            return QuotaDecision::Admitted;
        }
        let wait_ms = match cost <= burst {
            true => ((cost - level) / rate * 1_000.0).ceil() as u64,
            false => u64::MAX,
        };
        QuotaDecision::Denied { wait_ms }
    }
}

/// One bucket that all entries use without delay.
#[derive(Debug, Default)]
pub struct Central(Bucket);

impl Way for Central {
    fn charge(
        &mut self,
        _: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        Some(self.0.charge(1.0, quota, charge.cost, now))
    }
}

/// An even part of the rate for each entry.
#[derive(Debug)]
pub struct EvenSplit(Vec<Bucket>);

impl EvenSplit {
    pub fn new(entries: usize) -> Self {
        Self(vec![Bucket::default(); entries])
    }
}

impl Way for EvenSplit {
    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        let part = 1.0 / self.0.len() as f64;
        Some(self.0[entry].charge(part, quota, charge.cost, now))
    }
}

/// A bucket at each entry, from its own charges and reports about the others.
#[derive(Debug)]
pub struct Reports {
    entries: Vec<(Bucket, VecDeque<(UnixMs, f64)>)>,
    delay_ms: u64,
}

impl Reports {
    pub fn new(entries: usize, delay_ms: u64) -> Self {
        Self { entries: vec![Default::default(); entries], delay_ms }
    }
}

impl Way for Reports {
    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        let (bucket, inbox) = &mut self.entries[entry];
        while let Some((at, cost)) = inbox.pop_front_if(|(at, _)| at.has_passed_at(now)) {
            bucket.refill(quota.rate_per_s, quota.burst, at.max(bucket.refilled_at));
            bucket.level = bucket.level.map(|level| level - cost);
        }
        let decision = bucket.charge(1.0, quota, charge.cost, now);
        if decision == QuotaDecision::Admitted {
            let at = now.plus_ms(self.delay_ms);
            for (other, (_, inbox)) in self.entries.iter_mut().enumerate() {
                if other != entry {
                    inbox.push_back((at, charge.cost));
                }
            }
        }
        Some(decision)
    }
}

/// Batches that one process hands out; what an entry holds can't be used elsewhere.
#[derive(Debug)]
pub struct Batches {
    home: Bucket,
    held: Vec<f64>,
}

impl Batches {
    pub fn new(entries: usize) -> Self {
        Self { home: Bucket::default(), held: vec![0.0; entries] }
    }
}

impl Way for Batches {
    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        let entries = self.held.len() as f64;
        let held = &mut self.held[entry];
        if *held < charge.cost {
            let missing = charge.cost - *held;
            let decision = self.home.charge(1.0, quota, missing, now);
            if decision != QuotaDecision::Admitted {
                return Some(decision);
            }
            *held += missing;
            let ahead = self.home.level.unwrap_or_default() / (2.0 * entries);
            if self.home.charge(1.0, quota, ahead, now) == QuotaDecision::Admitted {
                *held += ahead;
            }
        }
        *held -= charge.cost;
        Some(QuotaDecision::Admitted)
    }
}

/// Two owners that are asked for each request: the product's decisions, without I/O.
#[derive(Debug)]
pub struct Owners {
    tolerance: QuotaTolerance,
    rng: StdRng,
    entries: Vec<Entry>,
    sidecars: Vec<Sidecar>,
    stepped_at: UnixMs,
    handled: HashSet<(usize, bool)>,
}

#[derive(Debug)]
struct Entry {
    ranking: OwnerRanking,
    isolated: IsolatedQuotas,
    silent_until: Vec<(u64, UnixMs)>,
    known_entries: usize,
    is_cut: bool,
    connects_at: UnixMs,
    disconnects_at: Option<UnixMs>,
    down_until: UnixMs,
}

impl Entry {
    fn new(now: UnixMs) -> Self {
        Self {
            ranking: OwnerRanking::default(),
            isolated: IsolatedQuotas::new(now),
            silent_until: Vec::new(),
            known_entries: 0,
            is_cut: false,
            connects_at: UnixMs(0),
            disconnects_at: None,
            down_until: UnixMs(0),
        }
    }
}

#[derive(Debug)]
struct Sidecar {
    ledger: QuotaLedger,
    roster: EntryRoster,
    connected: HashSet<usize>,
    known_entries: usize,
    ticked_at: UnixMs,
    frozen_since: UnixMs,
    frozen_until: UnixMs,
    down_until: UnixMs,
}

impl Sidecar {
    fn new(now: UnixMs) -> Self {
        Self {
            ledger: QuotaLedger::new(now),
            roster: EntryRoster::new(now),
            connected: HashSet::new(),
            known_entries: 0,
            ticked_at: now,
            frozen_since: UnixMs(0),
            frozen_until: UnixMs(0),
            down_until: UnixMs(0),
        }
    }

    fn is_running(&self, now: UnixMs) -> bool {
        self.frozen_until.has_passed_at(now) && self.down_until.has_passed_at(now)
    }

    fn share(&self, now: UnixMs) -> f64 {
        self.roster.share(self.known_entries, now)
    }
}

impl Owners {
    pub fn new(entries: usize, sidecars: usize, tolerance: QuotaTolerance) -> Self {
        let began = UnixMs(START_MS - 12_000);
        let mut way = Self {
            tolerance,
            rng: StdRng::seed_from_u64(1),
            entries: (0..entries).map(|_| Entry::new(began)).collect(),
            sidecars: (0..sidecars).map(|_| Sidecar::new(began)).collect(),
            stepped_at: began,
            handled: HashSet::new(),
        };
        way.advance(&[], UnixMs(START_MS - 1));
        way
    }

    fn apply_faults(&mut self, faults: &[Fault], now: UnixMs) {
        for (number, fault) in faults.iter().enumerate() {
            let mut begins = |from_ms: u64| {
                now.0 >= START_MS + from_ms && self.handled.insert((number, false))
            };
            match *fault {
                Fault::CutOff { entries, from_ms, to_ms } => {
                    let until = UnixMs(START_MS + to_ms);
                    if begins(from_ms) {
                        for entry in &mut self.entries[..entries] {
                            entry.is_cut = true;
                            entry.disconnects_at = Some(now.plus_ms(DETECTION_MS));
                        }
                    }
                    if until.has_passed_at(now) && self.handled.insert((number, true)) {
                        for entry in &mut self.entries[..entries] {
                            entry.is_cut = false;
                            entry.disconnects_at = None;
                            entry.connects_at = now.plus_ms(RECONNECT_MS);
                        }
                    }
                }
                Fault::Kill { entries, sidecars, at_ms, down_ms } => {
                    if begins(at_ms) {
                        let down_until = now.plus_ms(down_ms);
                        (0..entries).for_each(|at| self.kill_entry(at, down_until, now));
                        (0..sidecars)
                            .for_each(|at| self.kill_sidecar(at, down_until, now));
                    }
                }
                Fault::FreezeSidecars { sidecars, from_ms, to_ms } => {
                    if begins(from_ms) {
                        for sidecar in &mut self.sidecars[..sidecars] {
                            sidecar.frozen_since = now;
                            sidecar.frozen_until = UnixMs(START_MS + to_ms);
                        }
                    }
                }
            }
        }
    }

    fn kill_entry(&mut self, at: usize, down_until: UnixMs, now: UnixMs) {
        let is_cut = self.entries[at].is_cut;
        self.entries[at] = Entry {
            is_cut,
            down_until,
            connects_at: down_until.plus_ms(RECONNECT_MS),
            ..Entry::new(down_until)
        };
        for (number, sidecar) in self.sidecars.iter_mut().enumerate() {
            self.entries[at].ranking.expect(number as u64, down_until);
            if sidecar.connected.remove(&at) {
                sidecar.roster.disconnect(&name(at), now);
            }
        }
    }

    fn kill_sidecar(&mut self, at: usize, down_until: UnixMs, now: UnixMs) {
        self.sidecars[at] = Sidecar { down_until, ..Sidecar::new(down_until) };
        self.entries.iter_mut().for_each(|entry| entry.ranking.remove(at as u64, now));
    }

    /// Does the periodic work of all processes.
    fn step(&mut self, now: UnixMs) {
        for (number, sidecar) in self.sidecars.iter_mut().enumerate() {
            if !sidecar.frozen_until.has_passed_at(now) {
                let lost_at = sidecar.frozen_since.plus_ms(DETECTION_MS);
                if lost_at.has_passed_at(now) {
                    let entries = self.entries.iter_mut();
                    entries.for_each(|entry| entry.ranking.remove(number as u64, now));
                }
                continue;
            }
            if !sidecar.is_running(now) {
                continue;
            }
            if std::mem::take(&mut sidecar.frozen_since) != UnixMs(0) {
                // Its late replies arrive, and connections that entries closed end.
                for entry in &mut self.entries {
                    entry.silent_until.retain(|(seed, _)| *seed != number as u64);
                }
                for at in sidecar.connected.drain() {
                    sidecar.roster.disconnect(&name(at), now);
                }
            }
            for (at, entry) in self.entries.iter_mut().enumerate() {
                let is_lost = entry
                    .disconnects_at
                    .is_some_and(|lost_at| lost_at.has_passed_at(now));
                if is_lost && sidecar.connected.remove(&at) {
                    sidecar.roster.disconnect(&name(at), now);
                    entry.ranking.remove(number as u64, now);
                }
                if !entry.is_cut
                    && entry.connects_at.has_passed_at(now)
                    && entry.down_until.has_passed_at(now)
                    && sidecar.connected.insert(at)
                {
                    sidecar.roster.connect(&name(at));
                    entry.ranking.add(number as u64);
                }
            }
            if now.ms_since(sidecar.ticked_at) >= TICK_MS {
                sidecar.ticked_at = now;
                let share = sidecar.share(now);
                sidecar.ledger.tick(share, now);
            }
        }
    }
}

impl Way for Owners {
    fn advance(&mut self, faults: &[Fault], now: UnixMs) {
        while self.stepped_at.plus_ms(STEP_MS) <= now {
            self.stepped_at = self.stepped_at.plus_ms(STEP_MS);
            self.apply_faults(faults, self.stepped_at);
            self.step(self.stepped_at);
        }
    }

    fn is_up(&self, entry: usize) -> bool {
        self.entries[entry].down_until.has_passed_at(self.stepped_at)
    }

    fn charge(
        &mut self,
        entry: usize,
        quota: Quota,
        charge: QuotaCharge,
        now: UnixMs,
    ) -> Option<QuotaDecision> {
        let customer = Name::from("customer");
        let quota = self.tolerance.widen(quota);
        let entry = &mut self.entries[entry];
        let mut replies = Vec::new();
        let mut charged = Vec::new();
        let mut asked = Vec::new();
        let mut silent = 0;
        entry.silent_until.retain(|(_, until)| !until.has_passed_at(now));
        while replies.len() < QUOTA_OWNERS && silent < MAX_SILENT {
            let excluded = entry.silent_until.iter().map(|(seed, _)| *seed);
            let excluded: Vec<u64> = excluded.chain(asked.iter().copied()).collect();
            let owners = entry.ranking.owners(CUSTOMER_HASH, &excluded, now);
            let Some(&RankedOwner { seed, is_takeover }) = owners.first() else { break };
            asked.push(seed);
            let sidecar = &mut self.sidecars[seed as usize];
            if entry.is_cut || !sidecar.is_running(now) {
                entry.silent_until.push((seed, now.plus_ms(SILENT_PAUSE_MS)));
                silent += 1;
                continue;
            }
            sidecar.known_entries = sidecar.known_entries.max(entry.known_entries);
            let share = sidecar.share(now);
            let ledger = &mut sidecar.ledger;
            let reply = ledger.charge(&customer, quota, charge, share, is_takeover, now);
            let total = sidecar.roster.total(sidecar.known_entries, now);
            entry.known_entries = entry.known_entries.max(total);
            entry.isolated.record_contact(now);
            if reply.decision == QuotaDecision::Admitted {
                charged.push(seed);
            }
            replies.push(reply);
        }
        if silent == MAX_SILENT {
            replies.clear();
        }
        let Some(decision) = combine_replies(&replies) else {
            let entries = match entry.known_entries {
                0 => 16,
                entries => entries,
            };
            for seed in charged {
                self.sidecars[seed as usize].ledger.refund(&customer, charge.cost);
            }
            let draw = self.rng.random();
            let is_admitted =
                entry.isolated.charge(&customer, quota, charge, entries, draw, now);
            return is_admitted.then_some(QuotaDecision::Admitted);
        };
        if decision != QuotaDecision::Admitted {
            for seed in charged {
                self.sidecars[seed as usize].ledger.refund(&customer, charge.cost);
            }
        }
        Some(decision)
    }
}

fn name(entry: usize) -> Name {
    Name::from(format!("entry-{entry}"))
}
