//! Who gives orders to engines that have no sidecar.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use bilberry_core::ClaimWrite;
use bilberry_core::LeaseTask;
use bilberry_core::LeaseTerms;
use bilberry_core::OrderClaim;
use bilberry_core::OrderLease;
use bilberry_core::SeenClaim;
use bilberry_core::Tenure;
use bilberry_core::UnixMs;
use bilberry_core::WriteOutcome;
use bilberry_core::sidecar_fence;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TERMS: LeaseTerms = LeaseTerms { lease_ms: 3_000, order_ms: 500 };

/// How long a process waits for an answer of the store.
const CALL_MS: u64 = 500;

/// How long one run lasts.
const RUN_MS: u64 = 120_000;

/// A store with one claim for each era.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    claims: HashMap<u64, (u64, OrderClaim)>,
}

impl Store {
    fn seen(&self) -> SeenClaim {
        self.seen_of(self.era)
    }

    fn seen_of(&self, era: u64) -> SeenClaim {
        let (revision, claim) = match self.claims.get(&era) {
            Some((revision, claim)) => (*revision, Some(claim.clone())),
            None => (0, None),
        };
        SeenClaim { era: self.era, revision, claim }
    }

    fn write(&mut self, write: &ClaimWrite) -> WriteOutcome {
        let seen = self.seen_of(write.era);
        if seen.revision != write.expected_revision {
            return WriteOutcome::Conflict(seen);
        }
        self.revision += 1;
        self.claims.insert(write.era, (self.revision, write.claim.clone()));
        WriteOutcome::Written(self.seen_of(write.era))
    }
}

#[derive(Debug, Clone)]
enum Call {
    Glance,
    Read,
    Write(ClaimWrite),
}

#[derive(Debug, Clone)]
enum Reply {
    Seen(SeenClaim),
    Wrote(ClaimWrite, WriteOutcome),
}

#[derive(Debug, Clone)]
enum Event {
    /// A process has nothing under way and looks what to do.
    Wakes { process: usize },
    /// A call is carried out at the store.
    Runs { process: usize, call_number: u64, call: Call, answer_in_ms: Option<u64> },
    /// An answer reaches its process.
    Answered { process: usize, call_number: u64, reply: Reply },
    /// A process gives a call up.
    GivenUp { process: usize, call_number: u64, call: Call },
    /// The store comes back from a copy of some seconds ago.
    GoesBack { age_ms: u64 },
}

struct Process {
    lease: OrderLease,
    /// How far its clock is from the true time.
    ahead_ms: u64,
    stands_still_until: u64,
    call_number: u64,
    asked_at: UnixMs,
    is_asking: bool,
}

#[derive(Debug, Copy, Clone)]
struct Order {
    arrives_ms: u64,
    process: usize,
    fence: u64,
}

/// What goes wrong, each with how often in a hundred.
#[derive(Debug, Copy, Clone)]
struct Troubles {
    stand_still: u32,
    lost_answers: u32,
    late_writes: u32,
    goes_back_every_ms: Option<u64>,
}

struct World {
    random: StdRng,
    troubles: Troubles,
    now_ms: u64,
    store: Store,
    copies: Vec<(u64, Store)>,
    processes: Vec<Process>,
    orders: Vec<Order>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
}

impl World {
    fn new(seed: u64, processes: usize, troubles: Troubles) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let process = |number: usize| {
            let ahead_ms = random.random_range(0..10_000_000);
            let own = format!("entry-{number}").into();
            let look_at = UnixMs(ahead_ms + random.random_range(0..1_000));
            Process {
                lease: OrderLease::new(own, TERMS, look_at),
                ahead_ms,
                stands_still_until: 0,
                call_number: 0,
                asked_at: UnixMs(0),
                is_asking: false,
            }
        };
        let processes: Vec<Process> = (0..processes).map(process).collect();
        let mut world = Self {
            random,
            troubles,
            now_ms: 0,
            store: Store { revision: 7, ..Store::default() },
            copies: Vec::new(),
            processes,
            orders: Vec::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
        };
        (0..world.processes.len())
            .for_each(|process| world.push(0, Event::Wakes { process }));
        if let Some(every_ms) = troubles.goes_back_every_ms {
            for number in 1..=RUN_MS / every_ms {
                let age_ms = world.random.random_range(0..8_000);
                world.push(number * every_ms, Event::GoesBack { age_ms });
            }
        }
        world
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.queue.push(Reverse((at_ms, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn chance(&mut self, in_a_hundred: u32) -> bool {
        self.random.random_range(0..100) < in_a_hundred
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > RUN_MS {
                return;
            }
            self.now_ms = at_ms;
            let event = self.events.remove(&number).expect("each comes once");
            self.copies.push((at_ms, self.store.clone()));
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        let acting = match &event {
            Event::Wakes { process }
            | Event::Answered { process, .. }
            | Event::GivenUp { process, .. } => Some(*process),
            Event::Runs { .. } | Event::GoesBack { .. } => None,
        };
        if let Some(process) = acting {
            if self.chance(self.troubles.stand_still) {
                let still_ms = self.random.random_range(0..12_000);
                self.processes[process].stands_still_until = self.now_ms + still_ms;
            }
            let until = self.processes[process].stands_still_until;
            if until > self.now_ms {
                return self.push(until, event);
            }
        }
        match event {
            Event::Wakes { process } => self.wake(process),
            Event::Runs { process, call_number, call, answer_in_ms } => {
                self.carry_out(process, call_number, call, answer_in_ms);
            }
            Event::Answered { process, call_number, reply } => {
                if self.is_awaited(process, call_number) {
                    self.take_reply(process, reply);
                }
            }
            Event::GivenUp { process, call_number, call } => {
                if self.is_awaited(process, call_number) {
                    self.give_up(process, call);
                }
            }
            Event::GoesBack { age_ms } => self.go_back(age_ms),
        }
        if let Some(process) = acting {
            self.order(process);
        }
    }

    fn clock(&self, process: usize) -> UnixMs {
        UnixMs(self.now_ms + self.processes[process].ahead_ms)
    }

    fn is_awaited(&self, process: usize, call_number: u64) -> bool {
        let process = &self.processes[process];
        process.is_asking && process.call_number == call_number
    }

    fn wake(&mut self, process: usize) {
        let now = self.clock(process);
        let soon_ms = self.now_ms + self.random.random_range(1..200);
        let call = match self.processes[process].lease.task(now) {
            _ if self.processes[process].is_asking => return,
            LeaseTask::Wait(_) => return self.push(soon_ms, Event::Wakes { process }),
            LeaseTask::Glance => Call::Glance,
            LeaseTask::Read => Call::Read,
            LeaseTask::Write(write) => Call::Write(write),
        };
        self.ask(process, call, now);
    }

    fn ask(&mut self, process: usize, call: Call, now: UnixMs) {
        let asking = &mut self.processes[process];
        asking.call_number += 1;
        asking.asked_at = now;
        asking.is_asking = true;
        let call_number = asking.call_number;
        let is_late = self.chance(self.troubles.late_writes);
        let way_ms = match is_late {
            true => self.random.random_range(0..9_000),
            false => self.random.random_range(0..30),
        };
        let is_lost = self.chance(self.troubles.lost_answers);
        let answer_in_ms = (!is_lost).then(|| self.random.random_range(0..300));
        let given_up = Event::GivenUp { process, call_number, call: call.clone() };
        let runs = Event::Runs { process, call_number, call, answer_in_ms };
        self.push(self.now_ms + way_ms, runs);
        self.push(self.now_ms + CALL_MS, given_up);
    }

    fn carry_out(
        &mut self,
        process: usize,
        call_number: u64,
        call: Call,
        answer_in_ms: Option<u64>,
    ) {
        let reply = match call {
            Call::Glance => Reply::Seen(self.older_sight()),
            Call::Read => Reply::Seen(self.store.seen()),
            Call::Write(write) => {
                let outcome = self.store.write(&write);
                Reply::Wrote(write, outcome)
            }
        };
        if let Some(in_ms) = answer_in_ms {
            let answered = Event::Answered { process, call_number, reply };
            self.push(self.now_ms + in_ms, answered);
        }
    }

    /// What a glance shows may be seconds old.
    fn older_sight(&mut self) -> SeenClaim {
        let age_ms = self.random.random_range(0..4_000);
        let until = self.now_ms.saturating_sub(age_ms);
        let copy = self.copies.iter().rev().find(|(at_ms, _)| *at_ms <= until);
        copy.map_or(self.store.seen(), |(_, store)| store.seen())
    }

    fn take_reply(&mut self, process: usize, reply: Reply) {
        let now = self.clock(process);
        let asking = &mut self.processes[process];
        asking.is_asking = false;
        match (asking.lease.task(now), reply) {
            (_, Reply::Wrote(write, outcome)) => {
                asking.lease.wrote(write, asking.asked_at, outcome, now);
            }
            (LeaseTask::Read, Reply::Seen(seen)) => asking.lease.read(seen, now),
            (_, Reply::Seen(seen)) => asking.lease.glanced(&seen, now),
        }
        self.push(self.now_ms, Event::Wakes { process });
    }

    fn give_up(&mut self, process: usize, call: Call) {
        let now = self.clock(process);
        let asking = &mut self.processes[process];
        asking.is_asking = false;
        match call {
            Call::Write(write) => {
                let outcome = WriteOutcome::Unclear;
                asking.lease.wrote(write, asking.asked_at, outcome, now);
            }
            _ => asking.lease.unanswered(now),
        }
        self.push(self.now_ms, Event::Wakes { process });
    }

    fn go_back(&mut self, age_ms: u64) {
        let until = self.now_ms.saturating_sub(age_ms);
        let copy = self.copies.iter().rev().find(|(at_ms, _)| *at_ms <= until);
        let Some((_, copy)) = copy else { return };
        let era = self.store.era + 1;
        self.store = Store { era, ..copy.clone() };
        self.copies.push((self.now_ms, self.store.clone()));
    }

    fn order(&mut self, process: usize) {
        let now = self.clock(process);
        let Some(tenure) = self.processes[process].lease.tenure(now) else { return };
        let way_ms = self.random.random_range(0..=TERMS.order_ms);
        let arrives_ms = self.now_ms + way_ms;
        self.orders.push(Order { arrives_ms, process, fence: tenure.fence(1) });
    }

    /// Checks the orders of each two processes against each other.
    fn check(&mut self) -> Result<(), TestCaseError> {
        self.orders.sort_by_key(|order| order.arrives_ms);
        for (at, order) in self.orders.iter().enumerate() {
            let other = |before: &&Order| before.process != order.process;
            let Some(before) = self.orders[..at].iter().rev().find(other) else {
                continue;
            };
            let apart_ms = order.arrives_ms - before.arrives_ms;
            prop_assert!(apart_ms >= TERMS.lease_ms, "{before:?}, then {order:?}");
            prop_assert!(order.fence > before.fence, "{before:?}, then {order:?}");
            prop_assert!(order.fence < sidecar_fence(1));
        }
        Ok(())
    }
}

fn troubles() -> impl Strategy<Value = Troubles> {
    let often = || prop_oneof![Just(0_u32), 1_u32..10, 10_u32..40];
    let goes_back_every_ms = prop::option::of(2_000_u64..40_000);
    (often(), often(), often(), goes_back_every_ms).prop_map(
        |(stand_still, lost_answers, late_writes, goes_back_every_ms)| Troubles {
            stand_still,
            lost_answers,
            late_writes,
            goes_back_every_ms,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_two_holders_order_within_a_lease_time(
        seed in any::<u64>(),
        processes in 2_usize..5,
        troubles in troubles(),
    ) {
        let mut world = World::new(seed, processes, troubles);
        world.run();
        world.check()?;
    }
}

const CALM: Troubles = Troubles {
    stand_still: 0,
    lost_answers: 0,
    late_writes: 0,
    goes_back_every_ms: None,
};

#[test]
fn where_nothing_is_amiss_one_process_orders_from_the_wait_on() {
    let mut world = World::new(1, 4, CALM);
    world.run();
    world.check().expect("one holder orders");
    let first = world.orders.first().expect("somebody orders");
    // The first look, the read, the wait, and some calls.
    assert!(first.arrives_ms < 1_000 + TERMS.takeover_ms() + 1_000, "{first:?}");
    assert!(world.orders.iter().all(|order| order.process == first.process));
    let gaps = world.orders.windows(2).map(|two| two[1].arrives_ms - two[0].arrives_ms);
    assert!(gaps.max().expect("several orders") < 1_000, "the right never lapses");
}

#[test]
fn a_holder_that_is_gone_for_good_is_replaced() {
    // Engines without a sidecar would keep their weights for ever: the holder's host is
    // taken away. The others see at their next two looks that nobody renews the claim.
    let mut world = World::new(2, 3, CALM);
    let mut gone_at = None;
    while let Some(Reverse((at_ms, number))) = world.queue.pop() {
        world.now_ms = at_ms;
        let event = world.events.remove(&number).expect("each comes once");
        if let (None, Some(order), true) =
            (gone_at, world.orders.last().copied(), at_ms > 20_000)
        {
            world.processes[order.process].stands_still_until = u64::MAX;
            gone_at = Some((order.process, at_ms));
        }
        if at_ms > 40_000 {
            break;
        }
        world.copies.push((at_ms, world.store.clone()));
        world.happen(event);
    }
    let (gone, gone_at) = gone_at.expect("somebody held");
    let next = world.orders.iter().find(|order| order.process != gone);
    let next = next.expect("another one orders");
    assert!(next.arrives_ms - gone_at < 17_000, "{next:?} after {gone_at}");
}

#[test]
fn a_write_that_meets_a_revision_given_out_twice_gives_no_right() {
    // Two holders would order within a lease time. An entry reads the claim at revision
    // 8; the store comes back from an older copy, and the entry's conditional write is
    // carried out there. What it wrote is the claim of the era that is over.
    let now = UnixMs(50_000);
    let mut lease = OrderLease::new("entry-a".into(), TERMS, now);
    let none = SeenClaim { era: 3, revision: 0, claim: None };
    lease.glanced(&none, now);
    let claim =
        |holder: &str, term| OrderClaim { holder: holder.into(), term, renewal: 0 };
    let theirs = SeenClaim { era: 3, revision: 8, claim: Some(claim("entry-b", 4)) };
    lease.read(theirs, now);
    let take_at = now.plus_ms(TERMS.takeover_ms());
    let LeaseTask::Write(write) = lease.task(take_at) else { panic!("it takes over") };
    let expected =
        ClaimWrite { era: 3, claim: claim("entry-a", 5), expected_revision: 8 };
    assert_eq!(write, expected);
    let ours = SeenClaim { era: 4, revision: 9, claim: Some(write.claim.clone()) };
    lease.wrote(write, take_at, WriteOutcome::Written(ours), take_at);
    assert_eq!(lease.tenure(take_at), None);
    // It reads the claim of the new era, and waits as anybody does.
    assert_eq!(lease.task(take_at), LeaseTask::Read);
    lease.read(SeenClaim { era: 4, revision: 0, claim: None }, take_at);
    let wait = LeaseTask::Wait(take_at.plus_ms(TERMS.takeover_ms()));
    assert_eq!(lease.task(take_at), wait);
}

#[test]
fn tokens_rise_with_versions_then_eras_then_terms_then_to_the_sidecar() {
    let tokens = [
        sidecar_fence(6),
        Tenure { era: 0, term: 1 }.fence(7),
        Tenure { era: 0, term: 2 }.fence(7),
        Tenure { era: 1, term: 1 }.fence(7),
        Tenure { era: u64::MAX, term: u64::MAX }.fence(7),
        sidecar_fence(7),
        Tenure { era: 0, term: 1 }.fence(8),
    ];
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    // Exact in every writer's JSON for any version below a hundred million.
    assert!(sidecar_fence(100_000_000) < 1 << 53);
}
