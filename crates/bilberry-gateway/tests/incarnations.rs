//! An upstream that starts again under its identity: nothing that was known of the
//! earlier incarnation counts for the next one.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::Offer;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_gateway::EngineTerms;
use bilberry_gateway::KeptParts;
use bilberry_gateway::Listed;
use bilberry_gateway::Seat;
use bilberry_gateway::Upstream;
use bilberry_gateway::Upstreams;
use bilberry_wire::CacheChange;
use bilberry_wire::ModelVersion;
use bilberry_wire::UpstreamState;
use tokio::time::timeout;

const ID: &str = "engine-0";
const MODEL: &str = "model-a";
const NOW: UnixMs = UnixMs(1_000_000);
const TERMS: EngineTerms = EngineTerms {
    memory_tokens: 1_000,
    keeps_backups: true,
    stops_runs: true,
    token_bytes: 0,
};

/// Returns a line of the list, of the incarnation that was born at `born_ms`.
fn listed(born_ms: Option<u64>, version: u64) -> Listed {
    Listed {
        id: ID.into(),
        pool: "llm".into(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        place: "hall-a".into(),
        slots: 2,
        leaving: false,
        models: vec![(MODEL.into(), version)],
        listed_at: StorePosition { era: None, revision: 1 },
        incarnation: born_ms.map(|ms| Incarnation { born_at: UnixMs(ms) }),
    }
}

/// Returns what the sidecar says of the incarnation that was born at `born_ms`.
fn state(born_ms: Option<u64>, version: u64) -> UpstreamState {
    let models = vec![ModelVersion { model: MODEL.to_string(), version }];
    UpstreamState { up: true, models, born_ms, ..UpstreamState::default() }
}

fn change(born_ms: Option<u64>, added: Vec<u64>) -> CacheChange {
    CacheChange { added, born_ms, ..CacheChange::default() }
}

fn present(upstreams: &Upstreams) -> Arc<Upstream> {
    upstreams.get(ID).expect("it is listed")
}

fn offer(upstreams: &Upstreams) -> Offer {
    present(upstreams).offer(NOW, "hall-a", Some(TERMS))
}

fn take_seat(upstreams: &Upstreams) -> Seat {
    Seat::take(present(upstreams), 400, 300, upstreams.changed.clone())
}

/// Tells of the next incarnation by the list, or by the sidecar.
fn restarts(upstreams: &Upstreams, by_list: bool) {
    let ended = match by_list {
        true => upstreams.put(&listed(Some(2), 1)),
        false => upstreams.feed(ID, state(Some(2), 1), NOW),
    };
    assert!(ended.expect("the earlier one is over").has_ended());
}

/// Returns no upstreams yet, of a service that the configuration names.
fn of_one_pool() -> Upstreams {
    let upstreams = Upstreams::default();
    upstreams.name_pools(["llm".into()]);
    upstreams
}

/// Returns upstreams whose one is known by list and sidecar.
fn known() -> Upstreams {
    let upstreams = of_one_pool();
    assert!(upstreams.put(&listed(Some(1), 5)).is_none());
    assert!(upstreams.feed(ID, state(Some(1), 5), NOW).is_none());
    upstreams
}

#[test]
fn weights_may_be_lower_after_a_restart() {
    // A request expects the weights that the engine has now. The higher version is
    // the newer word only within one incarnation; the list still tells the earlier.
    for by_list in [true, false] {
        let upstreams = known();
        assert_eq!(present(&upstreams).weights(MODEL, NOW), Some(5));
        restarts(&upstreams, by_list);
        assert_eq!(present(&upstreams).weights(MODEL, NOW), Some(1));
        present(&upstreams).clear_feed();
        assert_eq!(present(&upstreams).weights(MODEL, NOW), Some(1));
        assert_eq!(upstreams.newest_reported("llm", MODEL, NOW), None);
        upstreams.feed(ID, state(Some(2), 1), NOW);
        assert_eq!(upstreams.newest_reported("llm", MODEL, NOW), Some(1));
    }
}

#[test]
fn a_start_of_which_no_weights_are_told_yet_has_none() {
    // No request is sent there without the weights that it expects, on which it
    // would run and cache prompts whatever they are. The sidecar tells of a restart
    // before the engine tells of its models.
    let upstreams = known();
    let without = UpstreamState { models: Vec::new(), ..state(Some(2), 1) };
    assert!(upstreams.feed(ID, without, NOW).is_some());
    assert_eq!(present(&upstreams).weights(MODEL, NOW), Some(0));
    upstreams.feed(ID, state(Some(2), 1), NOW);
    assert_eq!(present(&upstreams).weights(MODEL, NOW), Some(1));
}

#[test]
fn seats_at_the_earlier_start_take_no_room_at_the_next() {
    // Callers find all slots and memory free. Requests that ran at the earlier start
    // give their seats back later, which must free nothing twice.
    for by_list in [true, false] {
        let upstreams = known();
        let seats = [take_seat(&upstreams), take_seat(&upstreams)];
        assert_eq!(
            (offer(&upstreams).free_slots, offer(&upstreams).free_tokens),
            (0, 200)
        );
        restarts(&upstreams, by_list);
        let new = offer(&upstreams);
        assert!(new.usable);
        assert_eq!((new.free_slots, new.free_tokens, new.pending_tokens), (2, 1_000, 0));
        let seat = take_seat(&upstreams);
        drop(seats);
        let new = offer(&upstreams);
        assert_eq!((new.free_slots, new.free_tokens, new.pending_tokens), (1, 600, 300));
        drop(seat);
    }
}

#[test]
fn failures_and_leaving_of_the_earlier_start_do_not_keep_work_from_the_next() {
    // Callers are served there at once. The earlier start gave no answers and was
    // about to leave; a request that still waits there fails after the restart.
    for by_list in [true, false] {
        let upstreams = known();
        let earlier = present(&upstreams);
        earlier.record_failure(NOW);
        earlier.leave();
        assert!(!offer(&upstreams).usable);
        restarts(&upstreams, by_list);
        assert!(offer(&upstreams).usable);
        earlier.record_failure(NOW);
        assert!(offer(&upstreams).usable);
    }
}

#[test]
fn parts_of_prompts_that_the_earlier_start_held_do_not_count() {
    // No request is placed for, or fetches, what is gone. A change of the earlier
    // start's cache that comes late is passed over, as is one that comes too soon.
    for by_list in [true, false] {
        let upstreams = known();
        assert!(upstreams.cache_change(ID, &change(Some(1), vec![7]), NOW));
        assert!(present(&upstreams).holds(7, NOW));
        restarts(&upstreams, by_list);
        assert!(!present(&upstreams).holds(7, NOW));
        assert!(!upstreams.cache_change(ID, &change(Some(1), vec![8]), NOW));
        assert!(!upstreams.cache_change(ID, &change(Some(3), vec![8]), NOW));
        assert!(!present(&upstreams).holds(8, NOW));
        assert!(upstreams.cache_change(ID, &change(Some(2), vec![8]), NOW));
        assert!(present(&upstreams).holds(8, NOW));
    }
}

#[test]
fn what_an_upstream_was_to_give_to_the_store_is_offered_again_after_its_restart() {
    // Callers' next prompts are given to the store. What the engine had read and not
    // yet sent is lost with it; what another one gave stays.
    let kept = KeptParts::default();
    let [first, second] = ["engine-0", "engine-1"].map(Name::from);
    kept.record_write(&first, 1, NOW);
    kept.record_write(&second, 2, NOW);
    kept.forget_writer(&first);
    assert!(!kept.has(1, NOW));
    assert!(kept.has(2, NOW));
}

#[tokio::test]
async fn runs_at_the_earlier_start_are_told_that_they_are_lost() {
    // A stream goes on from its copy, or elsewhere, without a wait for its silence.
    // Nothing that is said later of the identity takes the word back.
    for by_list in [true, false] {
        let upstreams = known();
        let earlier = present(&upstreams);
        restarts(&upstreams, by_list);
        earlier.feed(state(Some(1), 5), NOW);
        earlier.clear_feed();
        let lost = timeout(Duration::from_millis(100), earlier.lost()).await;
        assert!(lost.is_ok() && earlier.is_leaving());
        let next = timeout(Duration::from_millis(10), present(&upstreams).lost()).await;
        assert!(next.is_err());
    }
}

#[test]
fn a_late_word_of_an_earlier_start_changes_nothing() {
    // Callers are served as before. A slow list, or what a sidecar sent before it
    // stood still, comes after the news of the restart and says that the server
    // leaves, is down and has other weights.
    for by_list in [true, false] {
        let upstreams = known();
        restarts(&upstreams, by_list);
        let next = present(&upstreams);
        let late = Listed { leaving: true, slots: 9, ..listed(Some(1), 5) };
        assert!(upstreams.put(&late).is_none());
        let moved = "127.0.0.2:8080".parse().expect("an address");
        assert!(upstreams.put(&Listed { address: moved, ..late }).is_none());
        let late = UpstreamState { up: false, ..state(Some(1), 5) };
        assert!(upstreams.feed(ID, late, NOW).is_none());
        assert!(Arc::ptr_eq(&next, &present(&upstreams)));
        assert_eq!(present(&upstreams).weights(MODEL, NOW), Some(1));
        let offer = offer(&upstreams);
        assert!(offer.usable && offer.free_slots == 2);
    }
}

#[test]
fn what_list_and_sidecar_say_of_one_start_is_put_together() {
    // Callers keep their seats and prompts. Both tell of the same start, in either
    // order, and the list again and again.
    for by_list in [true, false] {
        let upstreams = known();
        restarts(&upstreams, by_list);
        let next = present(&upstreams);
        assert!(upstreams.put(&listed(Some(2), 1)).is_none());
        assert!(upstreams.feed(ID, state(Some(2), 3), NOW).is_none());
        assert!(upstreams.put(&listed(Some(2), 2)).is_none());
        assert!(Arc::ptr_eq(&next, &present(&upstreams)));
        assert_eq!(next.weights(MODEL, NOW), Some(3));
    }
}

#[test]
fn the_cache_of_a_new_start_that_is_told_late_does_not_make_it_leave() {
    // Callers are served by the next start. The sidecar asks for the cache apart, so
    // its first words of the next start still carry the epoch of the earlier cache.
    let upstreams = known();
    let with_epoch =
        |epoch: u64| UpstreamState { cache_epoch: epoch, ..state(Some(2), 1) };
    upstreams.feed(ID, with_epoch(7), NOW);
    upstreams.feed(ID, with_epoch(8), NOW);
    assert!(offer(&upstreams).usable);
}

#[test]
fn a_start_that_only_the_sidecar_tells_of_is_tried_with_one_request() {
    // Of many callers one is sent there, until it has answered or is listed. What
    // restarted may have another identity now, and refuses all that is meant for the
    // one that is known; each refusal would use up a repeat.
    for by_answer in [true, false] {
        let upstreams = known();
        restarts(&upstreams, false);
        assert!(offer(&upstreams).usable);
        let seat = take_seat(&upstreams);
        upstreams.feed(ID, state(Some(2), 1), NOW);
        upstreams.put(&listed(None, 1));
        assert!(!offer(&upstreams).usable);
        match by_answer {
            true => present(&upstreams).note_answer(),
            false => assert!(upstreams.put(&listed(Some(2), 1)).is_none()),
        }
        assert!(offer(&upstreams).usable);
        drop(seat);
    }
}

#[test]
fn where_no_start_is_told_another_cache_means_that_the_identity_is_gone() {
    // Callers are served elsewhere. In older deployments a restart brings a new
    // identity, and the list keeps the earlier one for some heartbeats.
    let upstreams = of_one_pool();
    upstreams.put(&listed(None, 1));
    let with_epoch = |epoch: u64| UpstreamState { cache_epoch: epoch, ..state(None, 1) };
    upstreams.feed(ID, with_epoch(7), NOW);
    assert!(offer(&upstreams).usable);
    upstreams.feed(ID, with_epoch(8), NOW);
    assert!(!offer(&upstreams).usable);
}

#[test]
fn the_first_word_of_a_start_counts_as_a_restart_on_the_list_alone() {
    // Callers are served by what the list names now. Its first line, without a
    // start, may be anybody's; the sidecar speaks of the very server.
    let upstreams = of_one_pool();
    upstreams.put(&Listed { leaving: true, ..listed(None, 5) });
    assert!(upstreams.put(&listed(Some(1), 1)).is_some());
    assert!(offer(&upstreams).usable);
    assert_eq!(present(&upstreams).weights(MODEL, NOW), Some(1));
    let upstreams = of_one_pool();
    upstreams.put(&listed(None, 1));
    assert!(upstreams.feed(ID, state(Some(1), 1), NOW).is_none());
    assert!(upstreams.feed(ID, state(Some(2), 1), NOW).is_some());
}

#[test]
fn of_two_identities_at_one_address_the_one_that_started_later_counts() {
    // Callers are served by the server that answers there. An identity that was
    // listed long ago starts again at the address of one that is listed since.
    let upstreams = of_one_pool();
    let other = Listed {
        id: "engine-9".into(),
        listed_at: StorePosition { era: None, revision: 2 },
        ..listed(Some(2), 1)
    };
    upstreams.put(&listed(Some(1), 1));
    upstreams.put(&other);
    assert!(!offer(&upstreams).usable);
    upstreams.put(&listed(Some(3), 1));
    assert!(offer(&upstreams).usable);
    assert!(upstreams.get("engine-9").expect("it is listed").is_leaving());
}
