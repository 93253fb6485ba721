//! Tests that no state of an earlier incarnation of an upstream carries over to the next
//! one after a restart under the same id.

use std::sync::Arc;
use std::time::Duration;

use bilberry_core::Incarnation;
use bilberry_core::LimitReport;
use bilberry_core::Name;
use bilberry_core::PlacementCandidate;
use bilberry_core::ReportedLimit;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WorkPace;
use bilberry_gateway::EngineConfig;
use bilberry_gateway::Listing;
use bilberry_gateway::Reservation;
use bilberry_gateway::ServerLoad;
use bilberry_gateway::ServerStatus;
use bilberry_gateway::StoreContents;
use bilberry_gateway::Upstream;
use bilberry_gateway::Upstreams;
use bilberry_wire::CacheChange;
use bilberry_wire::ModelVersion;
use bilberry_wire::UpstreamState;
use tokio::time::timeout;

const ID: &str = "engine-0";
const MODEL: &str = "model-a";
const NOW: UnixMs = UnixMs(1_000_000);
const TERMS: EngineConfig = EngineConfig {
    memory_tokens: 1_000,
    keeps_backups: true,
    stops_runs: true,
    token_bytes: 0,
};

/// Returns a listing of the incarnation that started at `started_at_ms`.
fn listed(started_at_ms: Option<u64>, version: u64) -> Listing {
    Listing {
        id: ID.into(),
        pool: "llm".into(),
        address: "127.0.0.1:8080".parse().expect("an address"),
        data_centre: "hall-a".into(),
        slots: 2,
        leaving: false,
        models: vec![(MODEL.into(), version)],
        listed_at: StorePosition { era: None, revision: 1 },
        software: None,
        incarnation: started_at_ms.map(|ms| Incarnation { started_at: UnixMs(ms) }),
    }
}

/// Returns a sidecar's state of the incarnation that started at `started_at_ms`.
fn state(started_at_ms: Option<u64>, version: u64) -> UpstreamState {
    let models = vec![ModelVersion { model: MODEL.to_string(), version }];
    UpstreamState { up: true, models, started_at_ms, ..UpstreamState::default() }
}

/// Returns a cache change of the incarnation that started at `started_at_ms`.
fn change(started_at_ms: Option<u64>, added: Vec<u64>) -> CacheChange {
    CacheChange { added, started_at_ms, ..CacheChange::default() }
}

fn current(upstreams: &Upstreams) -> Arc<Upstream> {
    upstreams.get(ID).expect("it is listed")
}

fn offer(upstreams: &Upstreams) -> PlacementCandidate {
    current(upstreams).offer(NOW, "hall-a", Some(TERMS))
}

fn reserve(upstreams: &Upstreams) -> Reservation {
    Reservation::take(current(upstreams), 400, 300, upstreams.changed.clone())
}

/// Announces the next incarnation through the list or the sidecar.
fn restart(upstreams: &Upstreams, by_list: bool) {
    let ended = match by_list {
        true => upstreams.apply_listing(&listed(Some(2), 1)),
        false => upstreams.apply_state(ID, state(Some(2), 1), NOW),
    };
    assert!(ended.expect("the earlier one is over").has_ended());
}

/// Returns an empty set of upstreams with one service that the configuration names.
fn no_upstreams() -> Upstreams {
    let upstreams = Upstreams::default();
    upstreams.set_configured_pools(["llm".into()]);
    upstreams
}

/// Returns one upstream that is known from the list and its sidecar.
fn one_upstream() -> Upstreams {
    let upstreams = no_upstreams();
    assert!(upstreams.apply_listing(&listed(Some(1), 5)).is_none());
    assert!(upstreams.apply_state(ID, state(Some(1), 5), NOW).is_none());
    upstreams
}

#[test]
fn weights_may_be_lower_after_a_restart() {
    // Guards against requests that expect the weights of the earlier incarnation. The
    // higher version is the more recent one only within one incarnation, and the list
    // still shows the earlier incarnation after a restart.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        assert_eq!(current(&upstreams).weights(MODEL, NOW), Some(5));
        restart(&upstreams, by_list);
        assert_eq!(current(&upstreams).weights(MODEL, NOW), Some(1));
        current(&upstreams).clear_feed();
        assert_eq!(current(&upstreams).weights(MODEL, NOW), Some(1));
        assert_eq!(upstreams.newest_reported("llm", MODEL, NOW), None);
        upstreams.apply_state(ID, state(Some(2), 1), NOW);
        assert_eq!(upstreams.newest_reported("llm", MODEL, NOW), Some(1));
    }
}

#[test]
fn an_incarnation_without_reported_weights_has_none() {
    // Guards against requests that run and cache prompts on other weights than they
    // expect. The sidecar reports a restart before the engine reports its models.
    let upstreams = one_upstream();
    let without = UpstreamState { models: Vec::new(), ..state(Some(2), 1) };
    assert!(upstreams.apply_state(ID, without, NOW).is_some());
    assert_eq!(current(&upstreams).weights(MODEL, NOW), Some(0));
    upstreams.apply_state(ID, state(Some(2), 1), NOW);
    assert_eq!(current(&upstreams).weights(MODEL, NOW), Some(1));
}

#[test]
fn seats_of_an_earlier_incarnation_take_no_capacity_of_the_next() {
    // All slots and memory are free after a restart. Requests of the earlier incarnation
    // release their seats later, which must not free capacity of the next one.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        let seats = [reserve(&upstreams), reserve(&upstreams)];
        assert_eq!(
            (offer(&upstreams).free_slots, offer(&upstreams).free_tokens),
            (0, 200)
        );
        restart(&upstreams, by_list);
        let new = offer(&upstreams);
        assert!(new.usable);
        assert_eq!((new.free_slots, new.free_tokens, new.pending_tokens), (2, 1_000, 0));
        let reservation = reserve(&upstreams);
        drop(seats);
        let new = offer(&upstreams);
        assert_eq!((new.free_slots, new.free_tokens, new.pending_tokens), (1, 600, 300));
        drop(reservation);
    }
}

#[test]
fn the_pace_of_an_earlier_incarnation_does_not_count() {
    // Guards against predictions from what another process did on the host.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        let pace = WorkPace { prefill_token_ns: Some(40_000), event_us: Some(9_000) };
        let known = UpstreamState { pace: Some(pace.into()), ..state(Some(1), 5) };
        upstreams.apply_state(ID, known, NOW);
        let load =
            ServerLoad { running: 0, waiting: 0, slots: 2, host_percent: Some(150) };
        let status = ServerStatus { load: Some(load), ..ServerStatus::default() };
        current(&upstreams).record_status(&status, NOW);
        let host_percent = || current(&upstreams).offer(NOW, "hall-a", None).host_percent;
        assert_eq!((offer(&upstreams).pace, host_percent()), (Some(pace), Some(150)));
        restart(&upstreams, by_list);
        assert_eq!((offer(&upstreams).pace, host_percent()), (None, None));
    }
}

#[test]
fn failures_and_leaving_of_an_earlier_incarnation_do_not_affect_the_next() {
    // The next incarnation gets work immediately, although the earlier one failed and
    // was leaving, and a request that still waits for the earlier one fails after the
    // restart.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        let earlier = current(&upstreams);
        earlier.record_failure(NOW);
        earlier.leave();
        assert!(!offer(&upstreams).usable);
        restart(&upstreams, by_list);
        assert!(offer(&upstreams).usable);
        earlier.record_failure(NOW);
        assert!(offer(&upstreams).usable);
    }
}

#[test]
fn cached_parts_of_an_earlier_incarnation_do_not_count() {
    // Guards against requests that are placed for, or fetch, parts lost in a restart.
    // Cache changes of an earlier or a not yet known incarnation are ignored.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        assert!(upstreams.apply_cache_change(ID, &change(Some(1), vec![7]), NOW));
        assert!(current(&upstreams).holds(7, NOW));
        restart(&upstreams, by_list);
        assert!(!current(&upstreams).holds(7, NOW));
        assert!(!upstreams.apply_cache_change(ID, &change(Some(1), vec![8]), NOW));
        assert!(!upstreams.apply_cache_change(ID, &change(Some(3), vec![8]), NOW));
        assert!(!current(&upstreams).holds(8, NOW));
        assert!(upstreams.apply_cache_change(ID, &change(Some(2), vec![8]), NOW));
        assert!(current(&upstreams).holds(8, NOW));
    }
}

#[test]
fn writes_of_a_restarted_upstream_no_longer_count_as_kept() {
    // Parts that the engine had prefilled but not sent to the store are lost in the
    // restart, so they are offered to the store again. Writes of other upstreams still
    // count.
    let kept = StoreContents::default();
    let [first, second] = ["engine-0", "engine-1"].map(Name::from);
    kept.record_write(&first, 1, NOW);
    kept.record_write(&second, 2, NOW);
    kept.forget_writer(&first);
    assert!(!kept.has(1, NOW));
    assert!(kept.has(2, NOW));
}

#[tokio::test]
async fn runs_of_an_earlier_incarnation_are_notified_of_their_loss() {
    // A stream can then resume from its copy, or at another upstream, without waiting
    // for a timeout. Later reports under the same id do not revert the loss.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        let earlier = current(&upstreams);
        restart(&upstreams, by_list);
        earlier.apply_state(state(Some(1), 5), NOW);
        earlier.clear_feed();
        let lost = timeout(Duration::from_millis(100), earlier.wait_until_lost()).await;
        assert!(lost.is_ok() && earlier.is_leaving());
        let next =
            timeout(Duration::from_millis(10), current(&upstreams).wait_until_lost())
                .await;
        assert!(next.is_err());
    }
}

#[test]
fn late_reports_of_an_earlier_incarnation_are_ignored() {
    // A slow list, or a state that a sidecar sent before it was suspended, arrives
    // after the restart is known and shows the server as leaving, down and with other
    // weights.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        restart(&upstreams, by_list);
        let next = current(&upstreams);
        let late = Listing { leaving: true, slots: 9, ..listed(Some(1), 5) };
        assert!(upstreams.apply_listing(&late).is_none());
        let moved = "127.0.0.2:8080".parse().expect("an address");
        assert!(upstreams.apply_listing(&Listing { address: moved, ..late }).is_none());
        let late = UpstreamState { up: false, ..state(Some(1), 5) };
        assert!(upstreams.apply_state(ID, late, NOW).is_none());
        assert!(Arc::ptr_eq(&next, &current(&upstreams)));
        assert_eq!(current(&upstreams).weights(MODEL, NOW), Some(1));
        let offer = offer(&upstreams);
        assert!(offer.usable && offer.free_slots == 2);
    }
}

#[test]
fn list_and_sidecar_update_the_same_incarnation() {
    // Seats and cached prompts are kept when the list and the sidecar report the same
    // incarnation, in either order and repeatedly.
    for by_list in [true, false] {
        let upstreams = one_upstream();
        restart(&upstreams, by_list);
        let next = current(&upstreams);
        assert!(upstreams.apply_listing(&listed(Some(2), 1)).is_none());
        assert!(upstreams.apply_state(ID, state(Some(2), 3), NOW).is_none());
        assert!(upstreams.apply_listing(&listed(Some(2), 2)).is_none());
        assert!(Arc::ptr_eq(&next, &current(&upstreams)));
        assert_eq!(next.weights(MODEL, NOW), Some(3));
    }
}

#[test]
fn a_late_cache_epoch_of_a_new_incarnation_does_not_make_it_leave() {
    // The sidecar queries the cache separately, so its first states of a new incarnation
    // still contain the epoch of the earlier cache.
    let upstreams = one_upstream();
    let with_epoch =
        |epoch: u64| UpstreamState { cache_epoch: epoch, ..state(Some(2), 1) };
    upstreams.apply_state(ID, with_epoch(7), NOW);
    upstreams.apply_state(ID, with_epoch(8), NOW);
    assert!(offer(&upstreams).usable);
}

#[test]
fn an_incarnation_known_only_from_the_sidecar_gets_one_request() {
    // It gets one request at a time until it has answered or is listed. The restarted
    // server may have another id and refuse all requests meant for the known one; each
    // refusal would use up a retry.
    for by_answer in [true, false] {
        let upstreams = one_upstream();
        restart(&upstreams, false);
        assert!(offer(&upstreams).usable);
        let reservation = reserve(&upstreams);
        upstreams.apply_state(ID, state(Some(2), 1), NOW);
        upstreams.apply_listing(&listed(None, 1));
        assert!(!offer(&upstreams).usable);
        match by_answer {
            true => current(&upstreams).record_answer(NOW),
            false => assert!(upstreams.apply_listing(&listed(Some(2), 1)).is_none()),
        }
        assert!(offer(&upstreams).usable);
        drop(reservation);
    }
}

#[test]
fn without_a_start_time_a_new_cache_epoch_marks_the_upstream_as_leaving() {
    // In older deployments a server gets a new id when it restarts, and the list keeps
    // the earlier id for some heartbeats. Requests must go to other upstreams
    // meanwhile.
    let upstreams = no_upstreams();
    upstreams.apply_listing(&listed(None, 1));
    let with_epoch = |epoch: u64| UpstreamState { cache_epoch: epoch, ..state(None, 1) };
    upstreams.apply_state(ID, with_epoch(7), NOW);
    assert!(offer(&upstreams).usable);
    upstreams.apply_state(ID, with_epoch(8), NOW);
    assert!(!offer(&upstreams).usable);
}

#[test]
fn the_first_start_time_counts_as_a_restart_only_on_the_list() {
    // The first listing, without a start time, may have been written by anyone, so a
    // listing with a start time replaces it. A sidecar always reports the server that
    // it runs beside.
    let upstreams = no_upstreams();
    upstreams.apply_listing(&Listing { leaving: true, ..listed(None, 5) });
    assert!(upstreams.apply_listing(&listed(Some(1), 1)).is_some());
    assert!(offer(&upstreams).usable);
    assert_eq!(current(&upstreams).weights(MODEL, NOW), Some(1));
    let upstreams = no_upstreams();
    upstreams.apply_listing(&listed(None, 1));
    assert!(upstreams.apply_state(ID, state(Some(1), 1), NOW).is_none());
    assert!(upstreams.apply_state(ID, state(Some(2), 1), NOW).is_some());
}

#[test]
fn of_two_upstreams_at_one_address_the_one_that_started_later_counts() {
    // An upstream that was listed first restarts at the address of one that was listed
    // later. Requests must go to the server that answers there now.
    let upstreams = no_upstreams();
    let other = Listing {
        id: "engine-9".into(),
        listed_at: StorePosition { era: None, revision: 2 },
        ..listed(Some(2), 1)
    };
    upstreams.apply_listing(&listed(Some(1), 1));
    upstreams.apply_listing(&other);
    assert!(!offer(&upstreams).usable);
    upstreams.apply_listing(&listed(Some(3), 1));
    assert!(offer(&upstreams).usable);
    assert!(upstreams.get("engine-9").expect("it is listed").is_leaving());
}

/// Records a request limit that the upstream has reported.
fn report_limit(upstreams: &Upstreams) {
    let limit = ReportedLimit::from_rate(1.6).limit();
    current(upstreams).record_limit(LimitReport { limit, at: NOW }, NOW);
    assert!(current(upstreams).request_limit().is_some());
}

#[test]
fn a_request_limit_does_not_outlive_a_restart() {
    for by_list in [true, false] {
        let upstreams = one_upstream();
        report_limit(&upstreams);
        restart(&upstreams, by_list);
        assert_eq!(current(&upstreams).request_limit(), None);
    }
}

#[test]
fn a_request_limit_outlives_a_removal_from_the_list() {
    let upstreams = one_upstream();
    report_limit(&upstreams);
    upstreams.remove(ID);
    upstreams.apply_listing(&listed(Some(1), 5));
    assert!(current(&upstreams).request_limit().is_some());
    upstreams.remove(ID);
    upstreams.apply_listing(&listed(Some(2), 5));
    assert_eq!(current(&upstreams).request_limit(), None);
}

#[test]
fn the_software_is_uncertain_just_before_a_start_under_the_same_id() {
    // A server that has started again may have answered before its sidecar reports it.
    let upstreams = Upstreams::default();
    upstreams.set_configured_pools(["llm".into()]);
    let listed = |started_at_ms, version: &str| Listing {
        software: Some(version.into()),
        ..listed(Some(started_at_ms), 5)
    };
    upstreams.apply_listing(&listed(1, "v1"));
    let first = current(&upstreams);
    upstreams.apply_state(ID, state(Some(1), 5), NOW);
    upstreams.apply_listing(&listed(2, "v2"));
    assert!(first.has_ended());
    assert_eq!(first.software_at(UnixMs(NOW.0 - 500)), first.software_id());
    assert_eq!(first.software_at(UnixMs(NOW.0 - 499)), None);
    let second = current(&upstreams);
    assert_ne!(second.software_id(), first.software_id());
    assert_eq!(second.software_at(UnixMs(NOW.0 + 1)), second.software_id());
}

#[test]
fn a_listing_with_other_software_counts_as_a_restart() {
    // Servers that don't report their start may still change their software.
    let upstreams = Upstreams::default();
    upstreams.set_configured_pools(["llm".into()]);
    let listed =
        |version: &str| Listing { software: Some(version.into()), ..listed(None, 5) };
    upstreams.apply_listing(&listed("v1"));
    let first = current(&upstreams);
    let ended = upstreams.apply_listing(&listed("v2")).expect("the first one ends");
    assert!(Arc::ptr_eq(&ended, &first));
    assert!(first.has_ended());
}
