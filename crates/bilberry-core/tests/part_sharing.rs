//! Parts of prompts that were made under other weights.

mod part_sharing_model;

use bilberry_core::LoadOutlook;
use bilberry_core::LoadPermission;
use bilberry_core::PartUses;
use bilberry_core::SharingGate;
use bilberry_core::UnixMs;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

use crate::part_sharing_model::Figures;
use crate::part_sharing_model::Load;
use crate::part_sharing_model::Way;
use crate::part_sharing_model::play;

const NOW: UnixMs = UnixMs(50_000);

const DISTURBED: Load = Load {
    way: Way::Release,
    length_ms: 60_000,
    named_every_ms: 3_000,
    max_queue_ms: 4_500,
    cuts: 60,
    entry_kills: 60,
    sidecar_kills: 60,
    late_orders: 200,
    moves: 300,
};

const CALM: Load = Load {
    cuts: 0,
    entry_kills: 0,
    sidecar_kills: 0,
    late_orders: 0,
    moves: 0,
    ..DISTURBED
};

fn total(load: Load) -> Figures {
    (0..20).map(|seed| play(load, seed)).fold(Figures::default(), |sum, it| Figures {
        stale: sum.stale + it.stale,
        shared: sum.shared + it.shared,
        requests: sum.requests + it.requests,
        outdated_ms: sum.outdated_ms + it.outdated_ms,
        finishing_ms: sum.finishing_ms + it.finishing_ms,
    })
}

/// A gate past its start, with one entry that has not released its parts.
fn closed_gate() -> (SharingGate, u64) {
    let mut gate = SharingGate::new(UnixMs(0), 2_000);
    let connection = gate.connect();
    gate.release(connection, 7, 0);
    gate.open();
    gate.close(NOW);
    (gate, connection)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against parts of newer weights that late messages, queues and kills let through.
    #[test]
    fn no_part_of_other_weights_is_used(seed in any::<u64>(), queue in 0_u64..4_900) {
        let load = Load { max_queue_ms: queue, ..DISTURBED };
        prop_assert_eq!(play(load, seed).stale, 0);
    }
}

/// Guards against a check at the send alone, which a load during a wait defeats.
#[test]
fn weights_at_the_send_do_not_suffice() {
    let checked = total(Load { way: Way::WeightsAtSend, ..CALM });
    let released = total(CALM);
    println!("weights at the send {checked:?}\nreleased {released:?}");
    println!("finish {:?}", total(Load { way: Way::Finish, ..CALM }));
    println!("no sharing {:?}", total(Load { way: Way::NoSharing, ..CALM }));
    println!("disturbed {:?}", total(DISTURBED));
    assert!(checked.stale > 0);
    assert_eq!(released.stale, 0);
}

#[test]
fn a_load_waits_for_the_releases_of_all_entries() {
    let (mut gate, connection) = closed_gate();
    assert_eq!(gate.permission(NOW), LoadPermission::Wait);
    gate.release(connection, 7, gate.state().term);
    assert_eq!(gate.permission(NOW), LoadPermission::Retain);
}

/// Guards against engines that never load while an entry is out of reach.
#[test]
fn without_a_release_runs_finish_first() {
    let (mut gate, connection) = closed_gate();
    assert_eq!(gate.permission(NOW.plus_ms(2_000)), LoadPermission::Finish);
    gate.disconnect(connection, NOW);
    assert_eq!(gate.permission(NOW), LoadPermission::Finish);
    assert_eq!(gate.permission(NOW.plus_ms(9_999)), LoadPermission::Finish);
    assert_eq!(gate.permission(NOW.plus_ms(10_000)), LoadPermission::Retain);
}

/// Guards against loads that let runs finish after each planned stop of an entry.
#[test]
fn an_entry_that_stops_releases_the_open_term() {
    let mut gate = SharingGate::new(UnixMs(0), 2_000);
    let connection = gate.connect();
    gate.open();
    let mut uses = PartUses::default();
    uses.record(Some(gate.state()), vec![("m".to_string(), 3)], NOW);
    assert_eq!(uses.released_term(NOW), None);
    uses.retire();
    assert!(!uses.try_begin("m", 3, NOW));
    let term = uses.released_term(NOW).expect("nothing is used");
    gate.release(connection, 7, term);
    gate.disconnect(connection, NOW);
    gate.close(NOW);
    assert_eq!(gate.permission(NOW), LoadPermission::Retain);
}

/// Guards against retained runs beside an entry of an earlier release.
#[test]
fn runs_finish_beside_an_entry_that_releases_nothing() {
    let mut gate = SharingGate::new(UnixMs(0), 2_000);
    gate.connect();
    gate.open();
    gate.close(NOW);
    assert_eq!(gate.permission(NOW), LoadPermission::Finish);
}

/// Guards against parts of an engine whose sidecar can't be reached and may order a load.
#[test]
fn parts_of_an_engine_out_of_reach_are_not_used() {
    let mut gate = SharingGate::new(UnixMs(0), 2_000);
    gate.open();
    let mut uses = PartUses::default();
    uses.record(Some(gate.state()), vec![("m".to_string(), 3)], NOW);
    uses.forget_report();
    assert!(!uses.try_begin("m", 3, NOW));
}

/// Guards against a release of an earlier load that counts for the next one.
#[test]
fn a_release_counts_for_one_term() {
    let (mut gate, connection) = closed_gate();
    gate.release(connection, 7, gate.state().term);
    gate.open();
    gate.close(NOW);
    assert_eq!(gate.permission(NOW), LoadPermission::Wait);
}

/// Guards against an entry that comes back after a cut and is counted as lost.
#[test]
fn an_entry_that_comes_back_can_release() {
    let (mut gate, connection) = closed_gate();
    gate.disconnect(connection, NOW);
    let again = gate.connect();
    gate.release(again, 7, gate.state().term);
    assert_eq!(gate.permission(NOW), LoadPermission::Retain);
}

/// Guards against parts that are named for other weights than the engine has.
#[test]
fn parts_are_used_for_the_weights_of_their_engine_only() {
    let mut gate = SharingGate::new(UnixMs(0), 2_000);
    gate.open();
    let mut uses = PartUses::default();
    let models = vec![("m".to_string(), 3)];
    uses.record(Some(gate.state()), models.clone(), NOW);
    assert!(uses.may_use("m", 3, NOW));
    assert!(!uses.may_use("m", 2, NOW));
    assert!(!uses.may_use("m", 3, NOW.plus_ms(3_000)), "the sidecar is silent");
    uses.record(None, models, NOW);
    assert!(!uses.may_use("m", 3, NOW), "the sidecar does not wait for releases");
}

/// Guards against a request whose connection ended, and which still waits at an engine.
#[test]
fn a_use_of_unknown_outcome_counts_for_a_while() {
    let (gate, _) = closed_gate();
    let mut uses = PartUses::default();
    uses.begin();
    uses.abandon();
    uses.record(Some(gate.state()), Vec::new(), NOW);
    assert_eq!(uses.released_term(NOW), None);
    assert_eq!(uses.released_term(NOW.plus_ms(999)), None);
    assert_eq!(uses.released_term(NOW.plus_ms(1_000)), Some(gate.state().term));
}

/// Guards against a load that is scheduled anew while its first order is still on its way.
#[test]
fn parts_are_not_shared_while_an_order_may_be_carried_out() {
    let mut gate = SharingGate::new(UnixMs(0), 2_000);
    let served = |version| [("m".to_string(), version)];
    gate.update(LoadOutlook::Current, &served(2), NOW);
    assert!(gate.state().is_open);
    gate.update(LoadOutlook::Imminent, &served(2), NOW);
    gate.record_retaining_order("m", 3);
    gate.update(LoadOutlook::Planned, &served(2), NOW);
    assert!(!gate.state().is_open);
    gate.update(LoadOutlook::Planned, &served(3), NOW);
    assert!(gate.state().is_open);
}

/// Guards against an order of an earlier process for weights that are not known yet.
#[test]
fn a_new_gate_opens_once_earlier_orders_have_expired() {
    let mut gate = SharingGate::new(UnixMs(0), 2_000);
    let served = [("m".to_string(), 2)];
    gate.update(LoadOutlook::Unconfirmed, &served, UnixMs(9_999));
    assert!(!gate.state().is_open);
    gate.update(LoadOutlook::Unconfirmed, &served, UnixMs(10_000));
    assert!(gate.state().is_open);
}
