//! The lease for giving orders to engines without a sidecar.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use bilberry_core::ClaimWrite;
use bilberry_core::LeaseDurations;
use bilberry_core::LeaseTask;
use bilberry_core::OrderClaim;
use bilberry_core::OrderLease;
use bilberry_core::SeenClaim;
use bilberry_core::Tenure;
use bilberry_core::UnixMs;
use bilberry_core::WriteOutcome;
use bilberry_core::sidecar_fencing_token;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TERMS: LeaseDurations = LeaseDurations { lease_ms: 3_000, order_ms: 500 };

/// The timeout of a call to the store.
const CALL_TIMEOUT_MS: u64 = 500;

/// The duration of a simulation.
const SIMULATION_MS: u64 = 120_000;

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
    /// A process without a pending call checks its next task.
    Wake { process: usize },
    /// The store executes a call.
    Execute {
        process: usize,
        call_number: u64,
        call: Call,
        response_delay_ms: Option<u64>,
    },
    /// A response reaches its process.
    Response { process: usize, call_number: u64, reply: Reply },
    /// A call times out at its process.
    Timeout { process: usize, call_number: u64, call: Call },
    /// The store is restored from a backup some seconds old.
    Restore { age_ms: u64 },
}

struct Process {
    lease: OrderLease,
    /// The offset of the process's clock from the true time.
    clock_offset_ms: u64,
    paused_until_ms: u64,
    call_number: u64,
    asked_at: UnixMs,
    has_pending_call: bool,
}

#[derive(Debug, Copy, Clone)]
struct Order {
    arrives_ms: u64,
    process: usize,
    fence: u64,
}

/// The injected faults, with their probabilities in percent.
#[derive(Debug, Copy, Clone)]
struct Faults {
    pause_percent: u32,
    lost_response_percent: u32,
    late_call_percent: u32,
    restore_interval_ms: Option<u64>,
}

struct Simulation {
    random: StdRng,
    faults: Faults,
    now_ms: u64,
    store: Store,
    snapshots: Vec<(u64, Store)>,
    processes: Vec<Process>,
    orders: Vec<Order>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
}

impl Simulation {
    fn new(seed: u64, processes: usize, faults: Faults) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let process = |number: usize| {
            let clock_offset_ms = random.random_range(0..10_000_000);
            let own = format!("entry-{number}").into();
            let check_at = UnixMs(clock_offset_ms + random.random_range(0..1_000));
            Process {
                lease: OrderLease::new(own, TERMS, check_at),
                clock_offset_ms,
                paused_until_ms: 0,
                call_number: 0,
                asked_at: UnixMs(0),
                has_pending_call: false,
            }
        };
        let processes: Vec<Process> = (0..processes).map(process).collect();
        let mut simulation = Self {
            random,
            faults,
            now_ms: 0,
            store: Store { revision: 7, ..Store::default() },
            snapshots: Vec::new(),
            processes,
            orders: Vec::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
        };
        (0..simulation.processes.len())
            .for_each(|process| simulation.push(0, Event::Wake { process }));
        if let Some(every_ms) = faults.restore_interval_ms {
            for number in 1..=SIMULATION_MS / every_ms {
                let age_ms = simulation.random.random_range(0..8_000);
                simulation.push(number * every_ms, Event::Restore { age_ms });
            }
        }
        simulation
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.queue.push(Reverse((at_ms, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > SIMULATION_MS {
                return;
            }
            self.now_ms = at_ms;
            let event = self.events.remove(&number).expect("each event is queued once");
            self.snapshots.push((at_ms, self.store.clone()));
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let acting = match &event {
            Event::Wake { process }
            | Event::Response { process, .. }
            | Event::Timeout { process, .. } => Some(*process),
            Event::Execute { .. } | Event::Restore { .. } => None,
        };
        if let Some(process) = acting {
            if self.chance(self.faults.pause_percent) {
                let pause_ms = self.random.random_range(0..12_000);
                self.processes[process].paused_until_ms = self.now_ms + pause_ms;
            }
            let until = self.processes[process].paused_until_ms;
            if until > self.now_ms {
                return self.push(until, event);
            }
        }
        match event {
            Event::Wake { process } => self.wake(process),
            Event::Execute { process, call_number, call, response_delay_ms } => {
                self.execute(process, call_number, call, response_delay_ms);
            }
            Event::Response { process, call_number, reply } => {
                if self.is_pending(process, call_number) {
                    self.handle_reply(process, reply);
                }
            }
            Event::Timeout { process, call_number, call } => {
                if self.is_pending(process, call_number) {
                    self.handle_timeout(process, call);
                }
            }
            Event::Restore { age_ms } => self.restore(age_ms),
        }
        if let Some(process) = acting {
            self.give_order(process);
        }
    }

    fn clock(&self, process: usize) -> UnixMs {
        UnixMs(self.now_ms + self.processes[process].clock_offset_ms)
    }

    fn is_pending(&self, process: usize, call_number: u64) -> bool {
        let process = &self.processes[process];
        process.has_pending_call && process.call_number == call_number
    }

    fn wake(&mut self, process: usize) {
        let now = self.clock(process);
        let next_wake_ms = self.now_ms + self.random.random_range(1..200);
        let call = match self.processes[process].lease.task(now) {
            _ if self.processes[process].has_pending_call => return,
            LeaseTask::Wait(_) => {
                return self.push(next_wake_ms, Event::Wake { process });
            }
            LeaseTask::Check => Call::Glance,
            LeaseTask::Read => Call::Read,
            LeaseTask::Write(write) => Call::Write(write),
        };
        self.call_store(process, call, now);
    }

    fn call_store(&mut self, process: usize, call: Call, now: UnixMs) {
        let client = &mut self.processes[process];
        client.call_number += 1;
        client.asked_at = now;
        client.has_pending_call = true;
        let call_number = client.call_number;
        let is_late = self.chance(self.faults.late_call_percent);
        let request_delay_ms = match is_late {
            true => self.random.random_range(0..9_000),
            false => self.random.random_range(0..30),
        };
        let is_response_lost = self.chance(self.faults.lost_response_percent);
        let response_delay_ms =
            (!is_response_lost).then(|| self.random.random_range(0..300));
        let timeout = Event::Timeout { process, call_number, call: call.clone() };
        let execution = Event::Execute { process, call_number, call, response_delay_ms };
        self.push(self.now_ms + request_delay_ms, execution);
        self.push(self.now_ms + CALL_TIMEOUT_MS, timeout);
    }

    fn execute(
        &mut self,
        process: usize,
        call_number: u64,
        call: Call,
        response_delay_ms: Option<u64>,
    ) {
        let reply = match call {
            Call::Glance => Reply::Seen(self.stale_read()),
            Call::Read => Reply::Seen(self.store.seen()),
            Call::Write(write) => {
                let outcome = self.store.write(&write);
                Reply::Wrote(write, outcome)
            }
        };
        if let Some(delay_ms) = response_delay_ms {
            let response = Event::Response { process, call_number, reply };
            self.push(self.now_ms + delay_ms, response);
        }
    }

    /// Returns the claim as of some seconds ago, as a glance may show it.
    fn stale_read(&mut self) -> SeenClaim {
        let age_ms = self.random.random_range(0..4_000);
        let until = self.now_ms.saturating_sub(age_ms);
        let copy = self.snapshots.iter().rev().find(|(at_ms, _)| *at_ms <= until);
        copy.map_or(self.store.seen(), |(_, store)| store.seen())
    }

    fn handle_reply(&mut self, process: usize, reply: Reply) {
        let now = self.clock(process);
        let client = &mut self.processes[process];
        client.has_pending_call = false;
        match (client.lease.task(now), reply) {
            (_, Reply::Wrote(write, outcome)) => {
                client.lease.handle_write(write, client.asked_at, outcome, now);
            }
            (LeaseTask::Read, Reply::Seen(seen)) => client.lease.handle_read(seen, now),
            (_, Reply::Seen(seen)) => client.lease.handle_check(&seen, now),
        }
        self.push(self.now_ms, Event::Wake { process });
    }

    fn handle_timeout(&mut self, process: usize, call: Call) {
        let now = self.clock(process);
        let client = &mut self.processes[process];
        client.has_pending_call = false;
        match call {
            Call::Write(write) => {
                let outcome = WriteOutcome::Unknown;
                client.lease.handle_write(write, client.asked_at, outcome, now);
            }
            _ => client.lease.handle_failed_call(now),
        }
        self.push(self.now_ms, Event::Wake { process });
    }

    fn restore(&mut self, age_ms: u64) {
        let until = self.now_ms.saturating_sub(age_ms);
        let copy = self.snapshots.iter().rev().find(|(at_ms, _)| *at_ms <= until);
        let Some((_, copy)) = copy else { return };
        let era = self.store.era + 1;
        self.store = Store { era, ..copy.clone() };
        self.snapshots.push((self.now_ms, self.store.clone()));
    }

    fn give_order(&mut self, process: usize) {
        let now = self.clock(process);
        let Some(tenure) = self.processes[process].lease.tenure(now) else { return };
        let delay_ms = self.random.random_range(0..=TERMS.order_ms);
        let arrives_ms = self.now_ms + delay_ms;
        self.orders.push(Order { arrives_ms, process, fence: tenure.fencing_token(1) });
    }

    /// Checks the intervals and the fencing tokens of orders from different processes.
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
            prop_assert!(order.fence < sidecar_fencing_token(1));
        }
        Ok(())
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    let percent = || prop_oneof![Just(0_u32), 1_u32..10, 10_u32..40];
    let restore_interval_ms = prop::option::of(2_000_u64..40_000);
    (percent(), percent(), percent(), restore_interval_ms).prop_map(
        |(
            pause_percent,
            lost_response_percent,
            late_call_percent,
            restore_interval_ms,
        )| Faults {
            pause_percent,
            lost_response_percent,
            late_call_percent,
            restore_interval_ms,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn no_two_holders_give_orders_within_a_lease_time(
        seed in any::<u64>(),
        processes in 2_usize..5,
        faults in faults(),
    ) {
        let mut simulation = Simulation::new(seed, processes, faults);
        simulation.run();
        simulation.check()?;
    }
}

const NO_FAULTS: Faults = Faults {
    pause_percent: 0,
    lost_response_percent: 0,
    late_call_percent: 0,
    restore_interval_ms: None,
};

#[test]
fn without_faults_one_process_gives_orders_after_the_takeover_wait() {
    let mut simulation = Simulation::new(1, 4, NO_FAULTS);
    simulation.run();
    simulation.check().expect("one holder gives orders");
    let first = simulation.orders.first().expect("a process gives orders");
    // The bound covers the first glance, the read, the takeover wait, and some calls.
    assert!(first.arrives_ms < 1_000 + TERMS.takeover_ms() + 1_000, "{first:?}");
    assert!(simulation.orders.iter().all(|order| order.process == first.process));
    let gaps =
        simulation.orders.windows(2).map(|two| two[1].arrives_ms - two[0].arrives_ms);
    assert!(gaps.max().expect("several orders") < 1_000, "the lease never expires");
}

/// Guards against engines whose first orders wait for a holder that there never was.
#[test]
fn the_first_holder_gives_orders_at_once() {
    let mut simulation = Simulation::new(1, 4, NO_FAULTS);
    simulation.run();
    let first = simulation.orders.first().expect("a process gives orders");
    // The first glance, the read, and some calls.
    assert!(first.arrives_ms < 1_000 + 1_000, "{first:?}");
}

/// Guards against two holders within a lease time if the claim or the store was replaced.
#[test]
fn a_claim_that_may_have_been_lost_is_waited_for() {
    let now = UnixMs(50_000);
    let missing = |era| SeenClaim { era, revision: 0, claim: None };
    let claim = OrderClaim { holder: "entry-b".into(), term: 2, renewal: 1 };
    let known = SeenClaim { era: 0, revision: 8, claim: Some(claim) };
    for (seen_before, era) in [(Some(known), 0), (None, 1)] {
        let mut lease = OrderLease::new("entry-a".into(), TERMS, now);
        if let Some(seen) = seen_before {
            lease.handle_check(&seen, now);
        }
        lease.handle_check(&missing(era), now);
        lease.handle_read(missing(era), now);
        let wait = LeaseTask::Wait(now.plus_ms(TERMS.takeover_ms()));
        assert_eq!(lease.task(now), wait);
    }
}

#[test]
fn a_holder_that_fails_permanently_is_replaced() {
    // The host of the holder fails permanently. Without a takeover, engines without a
    // sidecar would never change their weights again. The other processes detect at their
    // next two checks that the claim is not renewed.
    let mut simulation = Simulation::new(2, 3, NO_FAULTS);
    let mut failed_at = None;
    while let Some(Reverse((at_ms, number))) = simulation.queue.pop() {
        simulation.now_ms = at_ms;
        let event = simulation.events.remove(&number).expect("each event is queued once");
        if let (None, Some(order), true) =
            (failed_at, simulation.orders.last().copied(), at_ms > 20_000)
        {
            simulation.processes[order.process].paused_until_ms = u64::MAX;
            failed_at = Some((order.process, at_ms));
        }
        if at_ms > 40_000 {
            break;
        }
        simulation.snapshots.push((at_ms, simulation.store.clone()));
        simulation.handle(event);
    }
    let (failed, failed_at) = failed_at.expect("a process held the claim");
    let next = simulation.orders.iter().find(|order| order.process != failed);
    let next = next.expect("another process gives orders");
    assert!(next.arrives_ms - failed_at < 17_000, "{next:?} after {failed_at}");
}

#[test]
fn a_write_that_matches_a_reused_revision_grants_no_lease() {
    // An entry reads the claim at revision 8. The store is restored from an older backup
    // and then executes the entry's conditional write, which writes the claim of the
    // previous era. If this granted the lease, two holders could give orders within a
    // lease time.
    let now = UnixMs(50_000);
    let mut lease = OrderLease::new("entry-a".into(), TERMS, now);
    let none = SeenClaim { era: 3, revision: 0, claim: None };
    lease.handle_check(&none, now);
    let claim =
        |holder: &str, term| OrderClaim { holder: holder.into(), term, renewal: 0 };
    let theirs = SeenClaim { era: 3, revision: 8, claim: Some(claim("entry-b", 4)) };
    lease.handle_read(theirs, now);
    let takeover_at = now.plus_ms(TERMS.takeover_ms());
    let LeaseTask::Write(write) = lease.task(takeover_at) else {
        panic!("expected a takeover")
    };
    let expected =
        ClaimWrite { era: 3, claim: claim("entry-a", 5), expected_revision: 8 };
    assert_eq!(write, expected);
    let ours = SeenClaim { era: 4, revision: 9, claim: Some(write.claim.clone()) };
    lease.handle_write(write, takeover_at, WriteOutcome::Written(ours), takeover_at);
    assert_eq!(lease.tenure(takeover_at), None);
    // The entry reads the claim of the new era and waits like any other process.
    assert_eq!(lease.task(takeover_at), LeaseTask::Read);
    lease.handle_read(SeenClaim { era: 4, revision: 0, claim: None }, takeover_at);
    let wait = LeaseTask::Wait(takeover_at.plus_ms(TERMS.takeover_ms()));
    assert_eq!(lease.task(takeover_at), wait);
}

#[test]
fn tokens_are_ordered_by_version_era_and_term_with_the_sidecar_last() {
    let tokens = [
        sidecar_fencing_token(6),
        Tenure { era: 0, term: 1 }.fencing_token(7),
        Tenure { era: 0, term: 2 }.fencing_token(7),
        Tenure { era: 1, term: 1 }.fencing_token(7),
        Tenure { era: u64::MAX, term: u64::MAX }.fencing_token(7),
        sidecar_fencing_token(7),
        Tenure { era: 0, term: 1 }.fencing_token(8),
    ];
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    // Tokens are exact in any JSON implementation for versions below a hundred million.
    assert!(sidecar_fencing_token(100_000_000) < 1 << 53);
}

/// Guards against tokens of a version too large for them, which fall or panic.
#[test]
fn tokens_of_huge_versions_stay_in_range() {
    let largest_exact = (1_u64 << 53) - 1;
    let tenure = Tenure { era: 3, term: 4 };
    for version in [(1 << 27) - 1, 1 << 27, 1 << 38, largest_exact, u64::MAX] {
        let tokens = [tenure.fencing_token(version), sidecar_fencing_token(version)];
        assert!(
            tokens[0] < tokens[1] && tokens[1] <= largest_exact,
            "{version}: {tokens:?}"
        );
        assert!(tokens[0] > sidecar_fencing_token(1_000), "{version}: {tokens:?}");
    }
}
