//! The handover of a request between runs, over the order of progress, rejections, permits,
//! crashes and stops.

use bilberry_core::Handover;
use bilberry_core::HandoverEvent;
use bilberry_core::HandoverStep;
use bilberry_core::RunOverlap;
use proptest::prelude::*;

/// What may happen next, if it is possible at that moment.
#[derive(Debug, Clone, Copy)]
enum Happening {
    /// The run is silent for too long, or its engine is reported as stalled or down.
    Silence,
    /// The run makes the next part of the answer.
    Progress,
    /// The engine of the run crashes, or confirms that it has stopped the run.
    End,
    /// The successor gets a retry, a place and a permit.
    Permit,
    /// The successor gets none, or its engine rejects it or crashes.
    Rejection,
    /// The successor begins to answer.
    Beginning,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Run {
    Open,
    Stopping,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Successor {
    None,
    Reserving,
    Reserved,
    Sent,
}

/// A request, its runs and its retries, as the entry drives them.
struct World {
    overlap: RunOverlap,
    handover: Handover,
    run: Run,
    successor: Successor,
    retries: u32,
    used_retries: u32,
    has_ended: bool,
}

impl World {
    fn new(overlap: RunOverlap, retries: u32) -> Self {
        Self {
            overlap,
            handover: Handover::new(overlap),
            run: Run::Open,
            successor: Successor::None,
            retries,
            used_retries: 0,
            has_ended: false,
        }
    }

    fn open_runs(&self) -> u32 {
        u32::from(self.run != Run::Ended) + u32::from(self.successor == Successor::Sent)
    }

    /// Reserves a retry, or fails at once if none is left.
    fn begin(&mut self) {
        assert_eq!(self.successor, Successor::None, "a second successor begins");
        if self.used_retries == self.retries {
            return self.record(HandoverEvent::Failed);
        }
        self.used_retries += 1;
        self.successor = match self.overlap {
            RunOverlap::Allowed => Successor::Sent,
            RunOverlap::Forbidden => Successor::Reserving,
        };
    }

    fn record(&mut self, event: HandoverEvent) {
        match self.handover.record(event) {
            HandoverStep::Wait => {}
            HandoverStep::Begin => self.begin(),
            HandoverStep::Stop => {
                assert_eq!(
                    self.successor,
                    Successor::Reserved,
                    "stopped without a successor"
                );
                self.run = Run::Stopping;
            }
            HandoverStep::Send => {
                assert_eq!(self.run, Run::Ended, "sent while the run is in progress");
                self.successor = Successor::Sent;
            }
            HandoverStep::Cancel => {
                assert_ne!(self.run, Run::Ended, "cancelled the only run");
                self.successor = Successor::None;
            }
            HandoverStep::Adopt => {
                assert_eq!(
                    event,
                    HandoverEvent::Began,
                    "left for a run that has not begun"
                );
                self.run = Run::Open;
                self.successor = Successor::None;
            }
            HandoverStep::Replace => {
                assert_eq!(self.run, Run::Ended, "replaced while the run is in progress");
                assert_ne!(
                    self.successor,
                    Successor::Sent,
                    "replaced beside a successor"
                );
                self.has_ended = true;
            }
        }
    }

    fn apply(&mut self, happening: Happening) {
        match (happening, self.run, self.successor) {
            (Happening::Silence, Run::Open, _) => self.record(HandoverEvent::Suspected),
            (Happening::Progress, Run::Open | Run::Stopping, _) => {
                self.record(HandoverEvent::Progressed);
            }
            (Happening::End, Run::Open | Run::Stopping, _) => {
                self.run = Run::Ended;
                self.record(HandoverEvent::Ended);
            }
            (Happening::Permit, _, Successor::Reserving) => {
                self.successor = Successor::Reserved;
                self.record(HandoverEvent::Reserved);
            }
            (Happening::Rejection, _, Successor::Reserving | Successor::Sent) => {
                self.successor = Successor::None;
                self.record(HandoverEvent::Failed);
            }
            (Happening::Beginning, _, Successor::Sent) => {
                self.record(HandoverEvent::Began)
            }
            _ => {}
        }
    }
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        3 => Just(Happening::Silence),
        2 => Just(Happening::Progress),
        1 => Just(Happening::End),
        2 => Just(Happening::Permit),
        2 => Just(Happening::Rejection),
        2 => Just(Happening::Beginning),
    ]
}

fn overlap() -> impl Strategy<Value = RunOverlap> {
    prop_oneof![Just(RunOverlap::Allowed), Just(RunOverlap::Forbidden)]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn an_answer_goes_on_while_a_run_can_complete_it(
        overlap in overlap(),
        retries in 0_u32..4,
        happenings in prop::collection::vec(happening(), 1..60),
    ) {
        let mut world = World::new(overlap, retries);
        for happening in happenings {
            world.apply(happening);
            if world.has_ended {
                prop_assert_eq!(world.open_runs(), 0, "the answer ends beside a run");
                break;
            }
            prop_assert!(world.open_runs() >= 1, "no run is left and the answer waits");
            prop_assert!(world.open_runs() <= 2, "more than two runs");
            prop_assert!(world.used_retries <= retries, "more retries than the budget has");
            if overlap == RunOverlap::Forbidden {
                prop_assert_eq!(world.open_runs(), 1, "runs of an at-most-once request overlap");
            }
        }
    }

    #[test]
    fn a_run_that_hangs_is_left_once_its_successor_begins(
        rejections in 0_u32..3,
        before in prop::collection::vec(happening(), 0..20),
    ) {
        let mut world = World::new(RunOverlap::Allowed, 100);
        let is_end = |happening: &Happening| matches!(happening, Happening::End);
        let before = before.into_iter().filter(|happening| !is_end(happening));
        before.for_each(|happening| world.apply(happening));
        world.apply(Happening::Rejection);
        for _ in 0..rejections {
            world.apply(Happening::Silence);
            world.apply(Happening::Rejection);
        }
        world.apply(Happening::Silence);
        prop_assert_eq!(world.successor, Successor::Sent);
        world.apply(Happening::Beginning);
        prop_assert_eq!((world.run, world.successor), (Run::Open, Successor::None));
    }
}

#[test]
fn a_run_that_goes_on_beside_its_successor_is_kept() {
    let mut handover = Handover::new(RunOverlap::Allowed);
    assert_eq!(handover.record(HandoverEvent::Suspected), HandoverStep::Begin);
    assert_eq!(handover.record(HandoverEvent::Progressed), HandoverStep::Cancel);
    assert!(!handover.has_successor());
}

#[test]
fn a_run_that_ends_beside_its_successor_waits_for_it() {
    let mut handover = Handover::new(RunOverlap::Allowed);
    handover.record(HandoverEvent::Suspected);
    assert_eq!(handover.record(HandoverEvent::Ended), HandoverStep::Wait);
    assert_eq!(handover.record(HandoverEvent::Failed), HandoverStep::Replace);
}

#[test]
fn a_stop_is_requested_only_for_a_reserved_successor() {
    let mut handover = Handover::new(RunOverlap::Forbidden);
    assert_eq!(handover.record(HandoverEvent::Suspected), HandoverStep::Begin);
    assert_eq!(handover.record(HandoverEvent::Failed), HandoverStep::Wait);
    assert_eq!(handover.record(HandoverEvent::Suspected), HandoverStep::Begin);
    assert_eq!(handover.record(HandoverEvent::Reserved), HandoverStep::Stop);
    assert!(handover.is_stopping());
    assert_eq!(handover.record(HandoverEvent::Progressed), HandoverStep::Wait);
    assert_eq!(handover.record(HandoverEvent::Ended), HandoverStep::Send);
}
