//! What an entry learns from answers and from sidecars.

use std::sync::Arc;

use bilberry_core::Name;
use bilberry_core::StorePosition;
use bilberry_core::UnixMs;
use bilberry_core::part_key;
use bilberry_gateway::KeptParts;
use bilberry_gateway::Listed;
use bilberry_gateway::Pace;
use bilberry_gateway::PromptKeys;
use bilberry_gateway::PromptPart;
use bilberry_gateway::Seat;
use bilberry_gateway::Upstream;
use bilberry_wire::CacheChange;
use bilberry_wire::UpstreamState;

fn at(ms: u64) -> UnixMs {
    UnixMs(1_000_000 + ms)
}

fn engine() -> Upstream {
    Upstream::new(&Listed {
        id: "engine-0".into(),
        pool: "llm".into(),
        address: "10.0.0.1:8000".parse().unwrap(),
        place: "hall-a".into(),
        slots: 48,
        leaving: false,
        models: vec![("model".into(), 1)],
        listed_at: StorePosition { era: None, revision: 1 },
        incarnation: None,
    })
}

/// What a sidecar says of an engine that is up and idle.
fn idle() -> UpstreamState {
    UpstreamState { up: true, total_tokens: 100_000, entries: 4, ..Default::default() }
}

#[test]
fn the_pace_of_an_engine_follows_its_answers_and_no_single_one() {
    let pace = Pace::default();
    let pool = Name::from("llm");
    let first_us = pace.token_us(&pool);
    // One answer that was held up moves the mean by a sixteenth of the difference.
    pace.note_answer(&pool, 10_000, 100);
    assert_eq!(pace.token_us(&pool), (first_us * 15 + 100_000) / 16);
    (0..200).for_each(|_| pace.note_answer(&pool, 1_200, 100));
    assert!((12_000..12_020).contains(&pace.token_us(&pool)), "{}", pace.token_us(&pool));
    // A request that asks for nothing says nothing of the pace.
    pace.note_answer(&pool, 5, 0);
    assert_eq!(pace.token_us("other"), first_us);
}

#[test]
fn what_a_sidecar_tells_of_the_store_goes_before_what_was_given() {
    // The store drops what was used least. While nobody tells, a part counts as
    // kept for seconds after it was given; once a sidecar tells, it counts for as
    // long as the store has it, and for the moment until the news can have come.
    let kept = KeptParts::default();
    let writer = Name::from("engine-1");
    kept.record_write(&writer, 1, at(0));
    assert!(kept.has(1, at(10_000)));
    let reporter = Name::from("engine-0");
    let held = CacheChange { reset: true, added: vec![2, 3], ..CacheChange::default() };
    kept.apply_report(&reporter, &held);
    assert!(kept.has(2, at(10_000)));
    assert!(kept.has(1, at(100)), "the news may still be on its way");
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
    // Sidecars know parts by the same keys. A part counts only if all parts before
    // it are held: an engine reads anew from the first one that it lacks.
    let parts = [(7, 100), (8, 40), (9, 20)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    let keys = PromptKeys::new("shared/m/1".to_string(), &parts);
    let named: Vec<u64> = parts.map(|part| part_key("shared/m/1", part.id)).to_vec();
    assert_eq!(keys.keys().collect::<Vec<_>>(), named);
    let now = at(0);
    let upstream = engine();
    upstream.feed(idle(), now);
    let kept = KeptParts::default();
    assert_eq!(keys.held_tokens(&upstream, now), 0);
    upstream.expect_part(named[0], now);
    upstream.expect_part(named[2], now);
    kept.record_write(&upstream.id, named[1], now);
    assert_eq!(keys.held_tokens(&upstream, now), 100);
    assert_eq!(keys.kept_tokens(&kept, now), 0);
    upstream.expect_part(named[1], now);
    kept.record_write(&upstream.id, named[0], now);
    assert_eq!(keys.held_tokens(&upstream, now), 160);
    assert_eq!(keys.kept_tokens(&kept, now), 140);
}

#[test]
fn what_an_engine_holds_outlives_its_sidecar_but_no_failed_send() {
    // The sidecar of an engine falls silent while the engine works on. Callers that
    // share a prompt still find it read there. Then the whole host loses power: the
    // first send fails, and nobody is told to fetch from there any more, though the
    // sidecar's last word says that the engine is up.
    let engine = engine();
    engine.feed(idle(), at(0));
    engine.cache_change(
        &CacheChange { reset: true, added: vec![7], ..CacheChange::default() },
        at(0),
    );
    engine.clear_feed();
    assert!(engine.holds(7, at(100)));
    engine.record_failure(at(200));
    assert!(!engine.holds(7, at(200)));
    // An answer says that it was not gone after all.
    engine.note_answer();
    assert!(engine.holds(7, at(300)));
    engine.record_failure(at(400));
    engine.feed(idle(), at(500));
    assert!(engine.holds(7, at(500)));
    // No event says when a part ends while nobody listens, so it runs out.
    assert!(!engine.holds(7, at(60_000)));
}

#[test]
fn an_engine_lives_until_a_send_fails_or_its_sidecar_says_that_it_is_down() {
    // Callers are told to stay away for longer where nothing of a service lives. A
    // silent sidecar alone says nothing of its engine, and neither does an engine that
    // is full for a moment; a failed send counts until the next answer.
    let engine = engine();
    assert!(engine.lives(at(0)));
    engine.feed(idle(), at(0));
    engine.clear_feed();
    engine.record_busy(at(0), 60);
    assert!(engine.lives(at(10)));
    engine.record_failure(at(100));
    assert!(!engine.lives(at(5_000)));
    engine.note_answer();
    assert!(engine.lives(at(5_000)));
    engine.feed(UpstreamState { up: false, ..idle() }, at(6_000));
    assert!(!engine.lives(at(6_000)));
    engine.feed(idle(), at(7_000));
    assert!(engine.lives(at(7_000)));
    engine.leave();
    assert!(!engine.lives(at(7_000)));
}

#[test]
fn an_engine_in_doubt_is_tried_with_one_request_at_a_time() {
    // Callers are served by other engines. A host stands still: its sidecar says nothing
    // on an open connection, and each request sent to its engine waits until its caller
    // leaves. One of them is enough to find out; an answer or a word ends the doubt.
    let engine = Arc::new(engine());
    let usable = |now: u64| engine.offer(at(now), "a", None).usable;
    let seat = || Seat::take(engine.clone(), 10, 10, Arc::default());
    engine.feed(idle(), at(0));
    let before = seat();
    engine.clear_feed();
    engine.mark_unresponsive();
    assert!(usable(2_000), "what was sent before is no trial");
    let trial = seat();
    assert!(!usable(2_000));
    drop(trial);
    assert!(usable(3_000), "the trial's caller has left");
    let _trial = seat();
    engine.note_answer();
    assert!(usable(4_000));
    engine.mark_unresponsive();
    let _trial = seat();
    assert!(!usable(5_000));
    engine.feed(idle(), at(6_000));
    assert!(usable(6_000));
    drop(before);
}

#[test]
fn an_entry_remembers_no_parts_for_ever() {
    // An entry runs for weeks beside an engine whose events are lost now and then, and
    // expects parts whose requests are given up before they are read. No word ever ends
    // these parts; remembered for ever, they fill the host's memory and the entry ends.
    let engine = engine();
    for key in 0..100_000 {
        let now = at(key * 10);
        engine.expect_reading(key, now.plus_ms(50), now);
        let told = CacheChange { added: vec![1_000_000 + key], ..CacheChange::default() };
        engine.cache_change(&told, now);
    }
    assert!(engine.part_count() < 8_000, "{}", engine.part_count());
    // What was told or is expected last is still known.
    assert!(engine.holds(1_099_999, at(1_000_000)));
    assert!(engine.holds(99_999, at(1_000_050)));
}
