//! What an entry learns from answers and from sidecars.

use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_core::part_key;
use bilberry_gateway::KeptParts;
use bilberry_gateway::Listed;
use bilberry_gateway::Pace;
use bilberry_gateway::PromptKeys;
use bilberry_gateway::PromptPart;
use bilberry_gateway::Upstream;
use bilberry_wire::CacheChange;

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
    let at = |ms: u64| UnixMs(1_000_000 + ms);
    let giver = Name::from("engine-1");
    kept.note(&giver, 1, at(0));
    assert!(kept.has(1, at(10_000)));
    let teller = Name::from("engine-0");
    let held = CacheChange { reset: true, added: vec![2, 3], ..CacheChange::default() };
    kept.tell(&teller, &held);
    assert!(kept.has(2, at(10_000)));
    assert!(kept.has(1, at(100)), "the news may still be on its way");
    assert!(!kept.has(1, at(10_000)));
    kept.tell(&teller, &CacheChange { removed: vec![2], ..CacheChange::default() });
    assert!(!kept.has(2, at(10_000)));
    kept.forget_teller(&teller);
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
    let now = UnixMs(1_000_000);
    let upstream = Upstream::new(&Listed {
        id: "engine-0".into(),
        pool: "llm".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        place: "hall-a".into(),
        slots: 8,
        leaving: false,
        models: Vec::new(),
        listed_at: 1,
        incarnation: None,
    });
    let kept = KeptParts::default();
    assert_eq!(keys.held_tokens(&upstream, now), 0);
    upstream.expect_part(named[0], now);
    upstream.expect_part(named[2], now);
    kept.note(&upstream.id, named[1], now);
    assert_eq!(keys.held_tokens(&upstream, now), 100);
    assert_eq!(keys.kept_tokens(&kept, now), 0);
    upstream.expect_part(named[1], now);
    kept.note(&upstream.id, named[0], now);
    assert_eq!(keys.held_tokens(&upstream, now), 160);
    assert_eq!(keys.kept_tokens(&kept, now), 140);
}
