//! Tests of the state that an entry derives from answers and from sidecars.

use std::sync::Arc;

use bilberry_core::Name;
use bilberry_core::ServiceBacklog;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::WorkPace;
use bilberry_core::part_key;
use bilberry_gateway::EngineConfig;
use bilberry_gateway::Listing;
use bilberry_gateway::PromptKeys;
use bilberry_gateway::PromptPart;
use bilberry_gateway::Reservation;
use bilberry_gateway::ServerLoad;
use bilberry_gateway::ServerStatus;
use bilberry_gateway::SpeedEstimates;
use bilberry_gateway::StoreContents;
use bilberry_gateway::Upstream;
use bilberry_wire::AdmissionLoad;
use bilberry_wire::CacheChange;
use bilberry_wire::EnginePace;
use bilberry_wire::PriorityLoad;
use bilberry_wire::UpstreamState;

fn at(ms: u64) -> UnixMs {
    UnixMs(1_000_000 + ms)
}

fn engine() -> Upstream {
    Upstream::new(&Listing {
        id: "engine-0".into(),
        pool: "llm".into(),
        address: "10.0.0.1:8000".parse().unwrap(),
        data_centre: "hall-a".into(),
        slots: 48,
        leaving: false,
        models: vec![("model".into(), 1)],
        listed_at: StorePosition { era: None, revision: 1 },
        software: None,
        incarnation: None,
    })
}

/// Returns a sidecar's state of an engine that is up and idle.
fn idle() -> UpstreamState {
    UpstreamState { up: true, total_tokens: 100_000, entries: 4, ..Default::default() }
}

#[test]
fn the_pace_of_an_engine_is_a_moving_average_of_its_answers() {
    let speed = SpeedEstimates::default();
    let pool = Name::from("llm");
    let first_us = speed.token_us(&pool);
    // One delayed answer moves the mean by a sixteenth of the difference.
    speed.record_response(&pool, 10_000, 100);
    assert_eq!(speed.token_us(&pool), (first_us * 15 + 100_000) / 16);
    (0..200).for_each(|_| speed.record_response(&pool, 1_200, 100));
    assert!(
        (12_000..12_020).contains(&speed.token_us(&pool)),
        "{}",
        speed.token_us(&pool)
    );
    // An answer without tokens does not count.
    speed.record_response(&pool, 5, 0);
    assert_eq!(speed.token_us("other"), first_us);
}

#[test]
fn reports_of_a_prompt_store_override_recorded_writes() {
    // The store evicts the least recently used parts. Without a reporting sidecar, a part
    // counts as kept for some seconds after it was written. With one, it counts while the
    // store holds it, and for the short time until the report of a write can arrive.
    let kept = StoreContents::default();
    let writer = Name::from("engine-1");
    kept.record_write(&writer, 1, at(0));
    assert!(kept.has(1, at(10_000)));
    let reporter = Name::from("engine-0");
    let held = CacheChange { reset: true, added: vec![2, 3], ..CacheChange::default() };
    kept.apply_report(&reporter, &held);
    assert!(kept.has(2, at(10_000)));
    assert!(kept.has(1, at(100)), "the report may still be in transit");
    assert!(!kept.has(1, at(10_000)));
    kept.apply_report(
        &reporter,
        &CacheChange { removed: vec![2], ..CacheChange::default() },
    );
    assert!(!kept.has(2, at(10_000)));
    kept.forget_reporter(&reporter);
    assert!(kept.has(1, at(10_000)));
    assert!(!kept.has(3, at(10_000)));
}

#[test]
fn a_prompt_is_held_up_to_its_first_missing_part() {
    // Sidecars use the same keys for parts. A part counts only if all parts before it are
    // held, as an engine prefills again from the first missing part.
    let parts = [(7, 100), (8, 40), (9, 20)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    let keys = PromptKeys::new("shared/m/1".to_string(), &parts);
    let part_keys: Vec<u64> = parts.map(|part| part_key("shared/m/1", part.id)).to_vec();
    assert_eq!(keys.keys().collect::<Vec<_>>(), part_keys);
    let now = at(0);
    let upstream = engine();
    upstream.apply_state(idle(), now);
    let kept = StoreContents::default();
    assert_eq!(keys.cached_tokens(&upstream, now), 0);
    upstream.expect_part(part_keys[0], now);
    upstream.expect_part(part_keys[2], now);
    kept.record_write(&upstream.id, part_keys[1], now);
    assert_eq!(keys.cached_tokens(&upstream, now), 100);
    assert_eq!(keys.stored_tokens(&kept, now), 0);
    upstream.expect_part(part_keys[1], now);
    kept.record_write(&upstream.id, part_keys[0], now);
    assert_eq!(keys.cached_tokens(&upstream, now), 160);
    assert_eq!(keys.stored_tokens(&kept, now), 140);
}

#[test]
fn cached_parts_count_after_the_loss_of_a_sidecar_until_a_send_fails() {
    // The connection to an engine's sidecar is lost while the engine keeps running, so
    // its cached parts still count. Then the host loses power and the first send fails:
    // no request may fetch from there any more, although the sidecar's last state shows
    // the engine as up.
    let engine = engine();
    engine.apply_state(idle(), at(0));
    engine.apply_cache_change(
        &CacheChange { reset: true, added: vec![7], ..CacheChange::default() },
        at(0),
    );
    engine.clear_feed();
    assert!(engine.holds(7, at(100)));
    engine.record_failure(at(200));
    assert!(!engine.holds(7, at(200)));
    // A later answer shows that the engine is up.
    engine.record_answer(at(5_000));
    assert!(engine.holds(7, at(300)));
    engine.record_failure(at(400));
    engine.apply_state(idle(), at(500));
    assert!(engine.holds(7, at(500)));
    // Evictions are not reported without a connection, so parts expire.
    assert!(!engine.holds(7, at(60_000)));
}

#[test]
fn an_engine_is_alive_until_a_send_fails_or_its_sidecar_reports_it_as_down() {
    // Callers get a longer retry delay if no upstream of a service is alive. The loss
    // of a sidecar's connection alone does not mean that its engine is down, and
    // neither does a refusal of a busy engine; a failed send counts until the next
    // answer.
    let engine = engine();
    assert!(engine.is_alive(at(0)));
    engine.apply_state(idle(), at(0));
    engine.clear_feed();
    engine.record_busy(at(0), 60);
    assert!(engine.is_alive(at(10)));
    engine.record_failure(at(100));
    assert!(!engine.is_alive(at(5_000)));
    engine.record_answer(at(5_000));
    assert!(engine.is_alive(at(5_000)));
    engine.apply_state(UpstreamState { up: false, ..idle() }, at(6_000));
    assert!(!engine.is_alive(at(6_000)));
    engine.apply_state(idle(), at(7_000));
    assert!(engine.is_alive(at(7_000)));
    engine.leave();
    assert!(!engine.is_alive(at(7_000)));
}

#[test]
fn an_engine_on_a_silent_host_gets_no_request() {
    // Guards against callers' requests at a host that stands still, which wait there until
    // their callers leave.
    let engine = engine();
    let usable = |now: u64| engine.offer(at(now), "a", None).usable;
    let check = |from: u64, is_answered| {
        assert!(engine.with_host_life(|life| life.begin_check(at(from))));
        let until = from + 250;
        engine.with_host_life(|life| life.record_check(is_answered, at(from), at(until)));
    };
    engine.apply_state(idle(), at(0));
    assert!(!engine.is_host_doubtful(at(500)));
    assert!(engine.is_host_doubtful(at(700)) && usable(700));
    check(700, false);
    assert!(!usable(1_000) && engine.is_host_silent());
    engine.clear_feed();
    assert!(!usable(2_000));
    check(2_000, true);
    assert!(usable(2_300), "its engine answers without its sidecar");
    check(3_000, false);
    assert!(!usable(3_300));
    engine.record_answer(at(3_400));
    assert!(usable(3_400));
    check(5_000, false);
    engine.apply_state(idle(), at(6_000));
    assert!(usable(6_000));
}

#[test]
fn a_stalled_engine_gets_one_request_at_a_time() {
    // Guards against requests that wait at an engine that hangs behind a live sidecar.
    let engine = Arc::new(engine());
    let usable = |now: u64| engine.offer(at(now), "a", None).usable;
    let reservation = || Reservation::take(engine.clone(), 10, 10, Arc::default());
    let stalled = || UpstreamState { stalled: true, ..idle() };
    engine.apply_state(idle(), at(0));
    let before = reservation();
    engine.apply_state(stalled(), at(100));
    assert!(usable(100), "requests sent before are not probes");
    let probe = reservation();
    assert!(!usable(100));
    engine.record_answer(at(5_000));
    engine.apply_state(stalled(), at(600));
    assert!(!usable(600), "an answer does not show that runs make progress");
    drop(probe);
    assert!(usable(600));
    let _probe = reservation();
    assert!(!usable(600));
    engine.apply_state(idle(), at(1_100));
    assert!(usable(1_100));
    drop(before);
}

#[test]
fn recorded_parts_are_pruned() {
    // Guards against unbounded memory use in an entry that runs for weeks. Parts whose
    // eviction events are lost, and expected parts whose requests are cancelled before
    // the prefill, are never removed by an event.
    let engine = engine();
    for key in 0..100_000 {
        let now = at(key * 10);
        engine.expect_reading(key, now.plus_ms(50), now);
        let reported =
            CacheChange { added: vec![1_000_000 + key], ..CacheChange::default() };
        engine.apply_cache_change(&reported, now);
    }
    assert!(engine.part_count() < 8_000, "{}", engine.part_count());
    // The parts that were reported or expected last are still recorded.
    assert!(engine.holds(1_099_999, at(1_000_000)));
    assert!(engine.holds(99_999, at(1_000_050)));
}

#[test]
fn the_pace_of_an_engine_counts_while_its_sidecar_reports_it() {
    // Guards against predictions from the pace of an engine whose sidecar is silent.
    let engine = engine();
    let pace = |now: u64| engine.offer(at(now), "hall-a", None).pace;
    let report =
        |pace, now| engine.apply_state(UpstreamState { pace, ..idle() }, at(now));
    report(Some(EnginePace { prefill_token_ns: 40_000, output_token_us: 0 }), 0);
    let known = WorkPace { prefill_token_ns: Some(40_000), event_us: None };
    assert_eq!(pace(1_000), Some(known));
    assert_eq!(pace(2_000), None);
    report(Some(known.into()), 3_000);
    assert_eq!(pace(3_000), Some(known));
    report(None, 3_100);
    assert_eq!(pace(3_100), None);
    report(Some(known.into()), 3_200);
    engine.clear_feed();
    assert_eq!(pace(3_200), None);
}

#[test]
fn the_load_of_a_plain_servers_host_is_forgotten_after_seconds() {
    // Guards against a server that gets no requests because of an old load.
    let server = engine();
    let percent = |now: u64| server.offer(at(now), "hall-a", None).host_percent;
    let answer = |host_percent, now: u64| {
        let load = ServerLoad { running: 1, waiting: 0, slots: 8, host_percent };
        let status = ServerStatus { load: Some(load), ..ServerStatus::default() };
        server.record_status(&status, at(now));
    };
    answer(None, 0);
    assert_eq!(percent(0), None);
    answer(Some(100), 100);
    answer(Some(300), 100);
    assert_eq!(percent(1_000), Some(200));
    answer(None, 5_000);
    assert_eq!(percent(20_000), None);
    answer(Some(100), 20_000);
    assert_eq!(percent(20_000), Some(100), "the old load counts no longer");
    let engine = EngineConfig {
        memory_tokens: 1_000,
        keeps_backups: false,
        stops_runs: false,
        token_bytes: 0,
    };
    // Sidecars measure the pace of engines.
    assert_eq!(server.offer(at(20_000), "hall-a", Some(engine)).host_percent, None);
}

#[test]
fn the_backlog_per_request_is_that_of_this_entrys_requests_over_time() {
    let engine = Arc::new(engine());
    let freed = Arc::default();
    let reserve = |pending_tokens| {
        Reservation::take(engine.clone(), 10_000, pending_tokens, Arc::clone(&freed))
    };
    let mean = |now: u64| {
        let backlog = engine.prefill_backlog(at(now));
        let service = ServiceBacklog::sum([backlog].into_iter(), at(now));
        backlog.mean_pending_tokens(&service, at(now))
    };
    assert_eq!(mean(0), 0);
    let mut reservation = reserve(9_000);
    mean(0);
    assert_eq!(mean(300), 9_000);
    reservation.mark_prefilled();
    mean(300);
    let mean_tokens = mean(900);
    // A third of the time, of which the earlier part counts a little less.
    assert!((2_850..3_000).contains(&mean_tokens), "{mean_tokens}");
}

#[test]
fn the_reported_work_ahead_includes_what_was_sent_since_but_not_lower_priorities() {
    let engine = Arc::new(engine());
    let ahead = |priority, now: u64| engine.reported_pending_tokens(priority, at(now));
    engine.apply_state(idle(), at(0));
    assert_eq!(ahead(9, 0), None);
    let waiting = [(1, 500), (4, 2_000)];
    let waiting = waiting.map(|(priority, tokens)| PriorityLoad { priority, tokens });
    let load = AdmissionLoad { admitted_tokens: 7_000, waiting: waiting.to_vec() };
    let state = || UpstreamState { admission: Some(load.clone()), ..idle() };
    engine.apply_state(state(), at(0));
    assert_eq!([ahead(0, 0), ahead(1, 0)], [Some(7_000), Some(7_500)]);
    let reservation = Reservation::take(engine.clone(), 10_000, 9_000, Arc::default());
    assert_eq!(ahead(4, 50), Some(18_500));
    engine.apply_state(state(), at(100));
    assert_eq!(ahead(4, 100), Some(9_500), "the report includes the request");
    drop(reservation);
    assert_eq!(ahead(4, 2_000), None, "the report is too old");
}
