//! The bound on what clients make a process hold, over random histories.

use std::collections::BTreeMap;

use bilberry_core::ClientBudget;
use bilberry_core::ClientId;
use bilberry_core::ClientLimits;
use bilberry_core::ClientStage;
use bilberry_core::Growth;
use bilberry_core::HostResources;
use bilberry_core::StalledBytes;
use bilberry_core::UnixMs;
use proptest::prelude::*;

/// The smallest host of the users, with its descriptors.
fn smallest_host() -> HostResources {
    HostResources::new(88.0, 4_100).expect("the host is large enough")
}

fn small_limits() -> ClientLimits {
    ClientLimits {
        memory_bytes: 1_000_000,
        reserved_bytes: 125_000,
        connection_bytes: 10_000,
        connections: 20,
        receive_buffer_bytes: 16_384,
    }
}

fn opened(budget: &mut ClientBudget, now: u64) -> ClientId {
    match budget.open(UnixMs(now)) {
        Growth::Granted(id) => id,
        other => panic!("no room for a connection: {other:?}"),
    }
}

/// A step of a history; indices count the open connections.
#[derive(Debug, Clone)]
enum Step {
    Open,
    Grow { at: usize, bytes: u64 },
    Shrink { at: usize, bytes: u64 },
    Stage { at: usize, stage: ClientStage },
    Close { at: usize },
    Obey { at: usize },
    YieldAll,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let at = 0..30_usize;
    let bytes = prop_oneof![1..2_000_u64, 10_000..300_000_u64];
    let stage = prop_oneof![
        Just(ClientStage::Idle),
        Just(ClientStage::Head),
        Just(ClientStage::Body),
        Just(ClientStage::Whole),
        Just(ClientStage::Closing),
    ];
    let step = prop_oneof![
        4 => Just(Step::Open),
        8 => (at.clone(), bytes.clone()).prop_map(|(at, bytes)| Step::Grow { at, bytes }),
        2 => (at.clone(), bytes).prop_map(|(at, bytes)| Step::Shrink { at, bytes }),
        4 => (at.clone(), stage).prop_map(|(at, stage)| Step::Stage { at, stage }),
        1 => at.clone().prop_map(|at| Step::Close { at }),
        6 => at.prop_map(|at| Step::Obey { at }),
        1 => Just(Step::YieldAll),
    ];
    prop::collection::vec((0..50_u64, step), 1..400)
}

/// What the model knows of each connection: its stage and its bytes.
type Model = BTreeMap<ClientId, (ClientStage, u64)>;

fn assert_none_whole(model: &Model, chosen: &[ClientId]) {
    for id in chosen {
        assert_ne!(model[id].0, ClientStage::Whole, "a whole request is given up");
    }
}

fn nth(model: &Model, at: usize) -> Option<ClientId> {
    let at = at.checked_rem(model.len())?;
    model.keys().nth(at).copied()
}

/// Replays a history and checks the bound after each step; returns the budget.
fn replay(history: Vec<(u64, Step)>) -> (ClientBudget, Model, u64) {
    let limits = small_limits();
    let mut budget = ClientBudget::new(limits, StalledBytes);
    let mut model = Model::new();
    let mut now_ms = 0;
    for (wait_ms, step) in history {
        now_ms += wait_ms;
        let now = UnixMs(now_ms);
        match step {
            Step::Open => match budget.open(now) {
                Growth::Granted(id) => {
                    model.insert(id, (ClientStage::Idle, limits.connection_bytes));
                }
                Growth::AwaitsRoom(chosen) => assert_none_whole(&model, &chosen),
                Growth::Refused => {}
            },
            Step::Grow { at, bytes } => {
                let Some(id) = nth(&model, at) else { continue };
                match budget.grow(id, bytes, now) {
                    Growth::Granted(()) => model.get_mut(&id).expect("open").1 += bytes,
                    Growth::AwaitsRoom(chosen) => assert_none_whole(&model, &chosen),
                    Growth::Refused => {}
                }
            }
            Step::Shrink { at, bytes } => {
                let Some(id) = nth(&model, at) else { continue };
                let holder = model.get_mut(&id).expect("open");
                let bytes = bytes.min(holder.1 - limits.connection_bytes);
                holder.1 -= bytes;
                budget.shrink(id, bytes);
            }
            Step::Stage { at, stage } => {
                let Some(id) = nth(&model, at) else { continue };
                model.get_mut(&id).expect("open").0 = stage;
                budget.set_stage(id, stage, now);
            }
            Step::Close { at } => {
                let Some(id) = nth(&model, at) else { continue };
                model.remove(&id);
                budget.close(id);
            }
            Step::Obey { at } => {
                let Some(id) = nth(&model, at) else { continue };
                if budget.is_yielding(id) {
                    assert_ne!(model[&id].0, ClientStage::Whole);
                    model.remove(&id);
                    budget.close(id);
                }
            }
            Step::YieldAll => assert_none_whole(&model, &budget.yield_all()),
        }
        let held: u64 = model.values().map(|holder| holder.1).sum();
        let whole = model.values().filter(|holder| holder.0 == ClientStage::Whole);
        assert_eq!(budget.held_bytes(), held);
        assert_eq!(budget.whole_bytes(), whole.map(|holder| holder.1).sum::<u64>());
        assert_eq!(budget.connections(), model.len());
        assert!(held <= limits.memory_bytes, "{held} bytes are held");
        assert!(model.len() <= limits.connections);
    }
    (budget, model, now_ms)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against sums above the limit, whole requests that yield, and room that is lost.
    #[test]
    fn the_sum_stays_within_the_limit_and_returns(history in steps()) {
        let (mut budget, model, now_ms) = replay(history);
        for id in model.into_keys() {
            budget.close(id);
        }
        prop_assert_eq!((budget.held_bytes(), budget.connections()), (0, 0));
        let id = opened(&mut budget, now_ms);
        for _ in 0..budget.limits().max_request_bytes() / 5_000 {
            prop_assert_eq!(budget.grow(id, 5_000, UnixMs(now_ms)), Growth::Granted(()));
        }
    }

    /// Guards against a small request that waits for ever beside incomplete ones.
    #[test]
    fn a_small_request_gets_room_once_those_chosen_have_yielded(history in steps()) {
        let (mut budget, mut model, now_ms) = replay(history);
        let whole = model.values().filter(|it| it.0 == ClientStage::Whole);
        let limits = *budget.limits();
        let has_room = budget.whole_bytes() + 40_000 <= limits.memory_bytes
            && whole.count() < limits.connections;
        prop_assume!(has_room);
        let now = UnixMs(now_ms);
        let mut id = None;
        for _ in 0..2 {
            if let Growth::Granted(opened) = budget.open(now) {
                id = Some(opened);
                break;
            }
            model.retain(|id, _| {
                let stays = !budget.is_yielding(*id);
                if !stays {
                    budget.close(*id);
                }
                stays
            });
        }
        let id = id.expect("those that were chosen make room for a connection");
        let mut growth = budget.grow(id, 30_000, now);
        if growth != Growth::Granted(()) {
            for other in model.into_keys().filter(|it| budget.is_yielding(*it)).collect::<Vec<_>>() {
                budget.close(other);
            }
            growth = budget.grow(id, 30_000, now);
        }
        prop_assert_eq!(growth, Growth::Granted(()));
    }
}

#[test]
fn the_largest_body_is_served_in_calm_on_the_smallest_host() {
    let limits = ClientLimits::callers(smallest_host());
    let mut budget = ClientBudget::new(limits, StalledBytes);
    let id = opened(&mut budget, 0);
    for _ in 0..256 {
        assert_eq!(budget.grow(id, 16_384, UnixMs(0)), Growth::Granted(()));
    }
}

#[test]
fn a_crowd_that_stops_short_yields_to_a_later_body() {
    let mut budget = ClientBudget::new(small_limits(), StalledBytes);
    let crowd: Vec<_> = (0..8).map(|_| opened(&mut budget, 0)).collect();
    for id in &crowd {
        budget.set_stage(*id, ClientStage::Body, UnixMs(0));
        assert_eq!(budget.grow(*id, 90_000, UnixMs(0)), Growth::Granted(()));
    }
    let late = opened(&mut budget, 100);
    budget.set_stage(late, ClientStage::Body, UnixMs(100));
    let chosen = match budget.grow(late, 70_000, UnixMs(100)) {
        Growth::AwaitsRoom(chosen) => chosen,
        other => panic!("{other:?}"),
    };
    assert_eq!(chosen, [crowd[0]]);
    budget.close(crowd[0]);
    assert_eq!(budget.grow(late, 70_000, UnixMs(100)), Growth::Granted(()));
}

#[test]
fn a_request_that_becomes_whole_need_not_yield_any_more() {
    let mut budget = ClientBudget::new(small_limits(), StalledBytes);
    let first = opened(&mut budget, 0);
    assert_eq!(budget.yield_all(), [first]);
    budget.set_stage(first, ClientStage::Whole, UnixMs(1));
    assert!(!budget.is_yielding(first));
    assert_eq!(budget.yield_all(), []);
}

#[test]
fn large_requests_leave_room_for_small_ones() {
    let mut budget = ClientBudget::new(small_limits(), StalledBytes);
    let large = opened(&mut budget, 0);
    let most = budget.limits().max_request_bytes();
    assert_eq!(budget.grow(large, most, UnixMs(0)), Growth::Granted(()));
    budget.set_stage(large, ClientStage::Whole, UnixMs(0));
    let small = opened(&mut budget, 1);
    assert_eq!(budget.grow(small, 20_000, UnixMs(1)), Growth::Granted(()));
    assert_eq!(budget.grow(small, 20_000, UnixMs(1)), Growth::Refused);
}
