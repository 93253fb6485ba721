//! The decisions of an entry that forwards, each under the load it is meant for.

use bilberry_core::BootClock;
use bilberry_core::BudgetTerms;
use bilberry_core::Clock;
use bilberry_core::Demand;
use bilberry_core::EntryCount;
use bilberry_core::EventSplitter;
use bilberry_core::Freshness;
use bilberry_core::LinkShare;
use bilberry_core::NamedWeights;
use bilberry_core::Offer;
use bilberry_core::Outage;
use bilberry_core::PeerCopy;
use bilberry_core::Repeat;
use bilberry_core::Rollout;
use bilberry_core::RolloutPlace;
use bilberry_core::SharedBudget;
use bilberry_core::Source;
use bilberry_core::Transfer;
use bilberry_core::UnixMs;
use bilberry_core::Weights;
use bilberry_core::choose_source;
use bilberry_core::may_begin_load;
use bilberry_core::part_key;
use bilberry_core::place;
use proptest::prelude::*;

fn offer(seed: u64) -> Offer {
    Offer {
        seed,
        usable: true,
        same_place: true,
        free_slots: 40,
        free_tokens: 100_000,
        ..Offer::default()
    }
}

fn demand() -> Demand {
    Demand {
        affinity: 77,
        shared_tokens: 6_300,
        own_tokens: 2_900,
        output_tokens: 60,
        answer_ms: 500,
        body_bytes: 18_000,
        can_fetch: true,
    }
}

#[test]
fn a_prompt_goes_where_it_is_held_until_too_much_waits_there() {
    let mut offers = vec![offer(1), offer(2), offer(3)];
    offers[1].held_tokens = 6_300;
    assert_eq!(place(&demand(), &offers), Some(1));
    // A long prompt is still being read there: another server fetches the parts.
    offers[1].pending_tokens = 9_000;
    assert_ne!(place(&demand(), &offers), Some(1));
}

#[test]
fn entries_agree_on_the_home_of_a_prompt_that_nobody_holds() {
    let offers: Vec<Offer> = (0..9).map(offer).collect();
    let mut turned: Vec<Offer> = offers.clone();
    turned.reverse();
    let seed = |offers: &[Offer]| place(&demand(), offers).map(|at| offers[at].seed);
    assert_eq!(seed(&offers), seed(&turned));
    // Different prompts spread over the servers.
    let homes: std::collections::BTreeSet<_> = (0..200)
        .filter_map(|affinity| place(&Demand { affinity, ..demand() }, &offers))
        .collect();
    assert_eq!(homes.len(), 9);
}

#[test]
fn a_lost_server_moves_only_its_own_prompts() {
    let offers: Vec<Offer> = (0..9).map(offer).collect();
    let mut fewer = offers.clone();
    fewer[4].usable = false;
    for affinity in 0..200 {
        let demand = Demand { affinity, ..demand() };
        match place(&demand, &offers) {
            Some(4) => assert_ne!(place(&demand, &fewer), Some(4)),
            home => assert_eq!(place(&demand, &fewer), home),
        }
    }
}

#[test]
fn the_first_servers_with_new_weights_are_preferred_but_not_crowded() {
    // New weights are named while a third of the servers is lost: for seconds few
    // have them. An answer on older ones loses a part of its worth, a late one
    // nearly all, so the newest win only while they are not much busier.
    let mut offers = vec![offer(1), offer(2), offer(3)];
    offers[0].weights = Weights::Penalized;
    offers[1].weights = Weights::Penalized;
    assert_eq!(place(&demand(), &offers), Some(2));
    offers[2].running = 10;
    offers[2].pending_tokens = 4_000;
    assert_eq!(place(&demand(), &offers), Some(2));
    offers[2].pending_tokens = 20_000;
    assert!(place(&demand(), &offers).is_some_and(|at| at < 2));
}

#[test]
fn a_long_answer_goes_where_no_load_of_weights_cuts_it() {
    // New weights are named every few seconds and the engines load in waves. What
    // an answer generates past the load is worth nothing to its caller. Short
    // answers end before it and stay with the engine that holds their prompt; as
    // long as the others have room, long ones go to those that load later, or that
    // have loaded.
    let mut offers = vec![offer(1), offer(2), offer(3)];
    offers[0].held_tokens = 6_300;
    offers[0].loads_in_ms = Some(200);
    offers[1].loads_in_ms = Some(700);
    let short = Demand { answer_ms: 120, ..demand() };
    assert_eq!(place(&short, &offers), Some(0));
    let long = Demand { answer_ms: 1_000, ..demand() };
    assert_eq!(place(&long, &offers), Some(2));
    offers[2].pending_tokens = 20_000;
    assert_eq!(place(&long, &offers), Some(1));
    // Where all others are far behind, late in part is better than late in full.
    offers[1].pending_tokens = 30_000;
    assert_eq!(place(&long, &offers), Some(0));
}

#[test]
fn nothing_begins_on_older_weights_past_their_bound() {
    // A server that does not load, for whatever reason, gets no more work, even
    // where no other has room: what it answers no longer counts.
    let mut offers = vec![offer(1), offer(2)];
    offers[0].weights = Weights::Barred;
    offers[1].free_slots = 0;
    assert_eq!(place(&demand(), &offers), None);
    let ages = [0, 1_200, 1_400, 5_900, 6_100];
    let at_ages = ages.map(|age_ms| Weights::lacking(Some(age_ms), Some(8_000)));
    use Weights::*;
    assert_eq!(at_ages, [Fine, Fine, Penalized, Penalized, Barred]);
    assert_eq!(Weights::lacking(Some(60_000), None), Penalized);
    assert_eq!(Weights::lacking(None, Some(0)), Fine);
}

#[test]
fn nothing_is_placed_where_memory_would_run_out() {
    // Memory binds before slots: a dozen long prompts fill a server. One more
    // would be preempted in the middle of its answer.
    let mut offers = vec![offer(1), offer(2)];
    offers[0].free_tokens = 9_000;
    offers[1].free_tokens = 9_300;
    assert_eq!(place(&demand(), &offers), Some(1));
    offers[1].free_tokens = 9_000;
    assert_eq!(place(&demand(), &offers), None);
}

#[test]
fn a_prompt_is_fetched_from_whoever_supplies_its_deeper_levels() {
    // Every engine holds the style notes, few hold the brief below them. Under
    // load the engine with the brief is full, and the one that is chosen holds
    // neither. Fetched from a peer with the style notes alone, the brief would be
    // read again although the store has it.
    let peer = |held_tokens, same_place| PeerCopy { held_tokens, same_place };
    let notes = [peer(2_520, true), peer(2_520, false)];
    assert_eq!(choose_source(0, &notes, Some(6_300)), Some(Source::Store));
    assert_eq!(choose_source(0, &notes, Some(2_520)), Some(Source::Peer(0)));
    assert_eq!(choose_source(2_520, &notes, Some(0)), Some(Source::Store));
    // A peer with all of it goes before the store, whose link is everybody's.
    let both = [peer(2_520, true), peer(6_300, false)];
    assert_eq!(choose_source(0, &both, Some(6_300)), Some(Source::Peer(1)));
    assert_eq!(choose_source(0, &both, None), Some(Source::Peer(1)));
    assert_eq!(choose_source(6_300, &both, None), None);
}

#[test]
fn entries_together_ask_no_more_of_the_stores_link_than_it_carries() {
    // The prompts in use fill the store, and four entries each ask for 60 prompts
    // of 5,000 tokens a second, between data centres: 2.4 million tokens' worth of a
    // link that carries 234,000. What exceeds the share is read in place of waiting.
    let prompt = Transfer { tokens: 5_000, same_place: false };
    let mut moved_tokens = 0;
    for _ in 0..4 {
        let mut share = LinkShare::default();
        for tick in 0..600 {
            let now = UnixMs(1_000_000 + tick * 1_000 / 60);
            if share.take(now, prompt, 234_000.0, Some(4)) {
                moved_tokens += prompt.tokens * 2;
            }
        }
    }
    let ten_s = 2_340_000.0;
    assert!((0.9..1.15).contains(&(moved_tokens as f64 / ten_s)), "{moved_tokens}");
    // One that moves nothing is never held back, nor the first after a rest.
    let mut share = LinkShare::default();
    let nothing = Transfer { tokens: 0, same_place: true };
    assert!(share.take(UnixMs(5_000), prompt, 1_000.0, None));
    assert!(!share.take(UnixMs(5_001), prompt, 1_000.0, None));
    assert!(share.take(UnixMs(5_001), nothing, 1_000.0, None));
}

#[test]
fn callers_return_later_the_longer_nothing_lives() {
    // All engines of a service lose power for sixteen seconds. A caller that waits
    // fifteen seconds comes back once. Refused in the first second it returns soon, as
    // a crash may be over; refused later it returns as late as callers follow advice,
    // a third of its time, so that those refused in the last seconds are still served.
    let mut outage = Outage::default();
    let at = |ms: u64| UnixMs(1_000_000 + ms);
    assert_eq!(outage.come_back_ms(at(0), 15_000), None);
    outage.note(at(0), false);
    assert_eq!(outage.come_back_ms(at(0), 15_000), Some((80, 100)));
    outage.note(at(500), false);
    assert_eq!(outage.come_back_ms(at(500), 15_000), Some((400, 500)));
    outage.note(at(9_000), false);
    assert_eq!(outage.come_back_ms(at(9_000), 15_000), Some((3_840, 4_800)));
    // A caller with less time, or with none, is not sent past its end.
    assert_eq!(outage.come_back_ms(at(9_000), 5_000), Some((1_280, 1_600)));
    assert_eq!(outage.come_back_ms(at(9_000), 0), Some((80, 100)));
    // The first upstream that lives ends it, and the next outage starts anew.
    outage.note(at(16_000), true);
    assert_eq!(outage.come_back_ms(at(16_000), 15_000), None);
    outage.note(at(20_000), false);
    assert_eq!(outage.come_back_ms(at(20_300), 15_000), Some((240, 300)));
}

#[test]
fn parts_are_kept_apart_by_weights_and_wall() {
    let keys = [
        part_key("shared/m/1", 5),
        part_key("shared/m/2", 5),
        part_key("only-a/m/1", 5),
        part_key("shared/m/1", 6),
    ];
    let distinct: std::collections::BTreeSet<u64> = keys.into_iter().collect();
    assert_eq!(distinct.len(), keys.len());
}

const TERMS: BudgetTerms = BudgetTerms { ratio: 0.2, slack: 50.0, window_ms: 10_000 };

proptest! {
    /// However requests fall on entries, their repeats together stay within the
    /// one budget in every window: each entry knows only its own requests.
    #[test]
    fn entries_together_never_overdraw_the_budget(
        entries in 1_usize..40,
        arrivals in proptest::collection::vec((0_usize..40, 0_u64..40), 1..600),
    ) {
        let mut budgets: Vec<SharedBudget> =
            (0..entries).map(|_| SharedBudget::new(TERMS)).collect();
        let mut now = UnixMs(1_000_000);
        let mut log = Vec::new();
        for (entry, gap_ms) in arrivals {
            now = now.plus_ms(gap_ms);
            let budget = &mut budgets[entry % entries];
            budget.count_request(now);
            let mut repeats = 0;
            while repeats < 3 && budget.spend(now, Some(entries), Repeat::GoOn) {
                repeats += 1;
            }
            log.push((now, repeats));
            let window: Vec<_> =
                log.iter().filter(|(at, _)| now.ms_since(*at) < TERMS.window_ms).collect();
            let spent: u64 = window.iter().map(|(_, repeats)| repeats).sum();
            let allowed = window.len() as f64 * TERMS.ratio + TERMS.slack;
            prop_assert!(spent as f64 <= allowed, "{spent} of {allowed}");
        }
    }

    /// Wherever a connection splits the bytes, the same events come out, whole.
    #[test]
    fn events_come_out_whole_however_the_bytes_are_split(
        cuts in proptest::collection::vec(1_usize..9, 0..80),
    ) {
        let text: String =
            (0..12).map(|id| format!("id: {id}\ndata: word-{id}\n\n")).collect();
        let mut splitter = EventSplitter::new();
        let mut rest = text.as_bytes();
        let mut out = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (piece, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            if let Some(events) = splitter.push(piece) {
                prop_assert!(events.ends_with(b"\n\n"));
                out.extend_from_slice(&events);
            }
        }
        prop_assert_eq!(out, text.as_bytes());
        prop_assert_eq!(splitter.last_id(), Some(11));
        prop_assert!(splitter.is_at_boundary());
    }
}

#[test]
fn a_starting_entry_is_thrifty_until_it_knows_how_many_there_are() {
    // A herd of entries restarts into full load. Each of them would have the
    // whole fixed part to itself if it took itself for the only one.
    let spent = |entries, repeat| {
        let mut budget = SharedBudget::new(TERMS);
        (0..100).filter(|_| budget.spend(UnixMs(5_000), entries, repeat)).count()
    };
    assert_eq!(spent(Some(1), Repeat::GoOn), 45);
    assert_eq!(spent(Some(1), Repeat::Anew), 30);
    assert!(spent(None, Repeat::GoOn) <= 3);
}

#[test]
fn streams_go_on_after_a_third_crash_beside_full_engines() {
    // One entry, ten requests a second. Engines crash at seconds 4, 7.5 and 11, each
    // with ten streams of this entry; in between every request is offered twice, as
    // engines are full. Callers of the later crashes lost their streams, because what
    // had not begun had used up the repeats.
    let terms = BudgetTerms { slack: 20.0, ..TERMS };
    let mut budget = SharedBudget::new(terms);
    let mut went_on = 0;
    for at_ms in (0..11_100).step_by(100) {
        let now = UnixMs(1_000_000 + at_ms);
        budget.count_request(now);
        if matches!(at_ms, 4_000 | 7_500 | 11_000) {
            let spend = |_: &i32| budget.spend(now, Some(1), Repeat::GoOn);
            went_on += (0..10).filter(spend).count();
        }
        if at_ms >= 4_000 {
            budget.spend(now, Some(1), Repeat::Anew);
        }
    }
    assert!(went_on >= 18, "{went_on} of 30 streams went on");
}

#[test]
fn entries_overdraw_nothing_while_sidecars_end_and_start_together() {
    // Four entries share what they may repeat. All sidecars end, and requests fail
    // over: the number of entries is kept. Then all sidecars start, and each has heard
    // of one entry when it first speaks; entries that took themselves for the only one
    // would each spend the whole. Entries that really leave count out after seconds.
    let mut entries = EntryCount::default();
    let hear = |entries: &mut EntryCount, at_ms: u64, told| {
        entries.hear(UnixMs(1_000_000 + at_ms), told);
        entries.get()
    };
    assert_eq!(entries.get(), None);
    assert_eq!(hear(&mut entries, 100, 1), Some(1));
    assert_eq!(hear(&mut entries, 300, 4), Some(4));
    // Twice, sixteen seconds apart, sidecars start together.
    assert_eq!(hear(&mut entries, 21_000, 1), Some(4));
    assert_eq!(hear(&mut entries, 37_000, 1), Some(4));
    assert_eq!(hear(&mut entries, 37_200, 4), Some(4));
    // One sidecar is not reached by all entries; the others tell the whole number.
    for at_ms in (40_000..50_000).step_by(500) {
        assert_eq!(hear(&mut entries, at_ms, 3), Some(4));
        assert_eq!(hear(&mut entries, at_ms + 100, 4), Some(4));
    }
    // An entry leaves.
    for at_ms in (50_000..53_000).step_by(500) {
        assert_eq!(hear(&mut entries, at_ms, 3), Some(4));
    }
    assert_eq!(hear(&mut entries, 53_000, 3), Some(3));
    assert_eq!(hear(&mut entries, 53_100, 5), Some(5));
}

#[test]
fn a_half_event_is_held_back_and_dropped() {
    let mut splitter = EventSplitter::new();
    assert!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").is_some());
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.last_id(), Some(1));
    splitter.drop_partial();
    // The next server starts over with the event that was cut.
    let events = splitter.push(b"id: 2\ndata: b\n\n").expect("a whole event");
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn a_late_answer_confirms_the_moment_of_its_question() {
    // The answer was held up by a cut link for six seconds. It says what was so
    // when it was asked for, not now.
    let mut fresh = Freshness::default();
    fresh.confirm_read(UnixMs(1_000));
    assert!(fresh.holds(UnixMs(5_900), 4_950));
    assert!(!fresh.holds(UnixMs(5_950), 4_950));
    // A watch that brought nothing in its 1.5 s confirms their end, however
    // late the answer arrives; one that came back early, the moment it came.
    fresh.confirm_quiet(UnixMs(10_000), 1_500, UnixMs(16_000));
    assert_eq!(fresh.confirmed_at(), UnixMs(11_500));
    fresh.confirm_quiet(UnixMs(16_000), 1_500, UnixMs(16_200));
    assert_eq!(fresh.confirmed_at(), UnixMs(16_200));
    // An answer that was overtaken takes nothing back.
    fresh.confirm_read(UnixMs(12_000));
    assert_eq!(fresh.confirmed_at(), UnixMs(16_200));
}

#[test]
fn weights_are_taken_in_waves_that_need_no_message() {
    // Nine servers, weights named at 1,000: two at a time, each wave after the
    // last one's load, whatever becomes of a server in between.
    let rollout = Rollout::new(None);
    let starts = |down| -> Vec<u64> {
        let place = |position| RolloutPlace { position, servers: 9, down };
        (0..9)
            .map(|position| rollout.starts_at(UnixMs(1_000), place(position)).0)
            .collect()
    };
    assert_eq!(
        starts(0),
        [1_000, 1_000, 1_530, 1_530, 2_060, 2_060, 2_590, 2_590, 3_120]
    );
    // A third of them is lost: one at a time, so that the rest can bear the load.
    assert_eq!(starts(3)[..3], [1_000, 1_530, 2_060]);
}

#[test]
fn a_server_lacks_weights_since_the_first_naming_that_it_missed() {
    let mut named = NamedWeights::default();
    assert_eq!((named.newest(), named.lacking_since(0)), (None, None));
    for (version, at) in [(7, 100), (8, 4_500), (10, 13_300)] {
        assert!(named.note(version, UnixMs(at)));
    }
    assert_eq!(named.newest(), Some((10, UnixMs(13_300))));
    let since = [6, 7, 8, 9, 10].map(|version| named.lacking_since(version));
    let at = |ms| Some(UnixMs(ms));
    assert_eq!(since, [at(100), at(4_500), at(13_300), at(13_300), None]);
    // Heard again later, or late: a version was named before any newer one.
    assert!(!named.note(8, UnixMs(20_000)));
    assert!(named.note(9, UnixMs(20_000)));
    assert_eq!(named.lacking_since(8), at(13_300));
    // Read anew with an earlier time: when it was first heard of counts.
    assert!(!named.note(10, UnixMs(4_000)));
    assert_eq!(named.lacking_since(9), at(13_300));
}

#[test]
fn the_oldest_of_very_many_versions_lose_no_time() {
    // Weights named five times a second for a quarter of a minute: a server that has
    // none of them has lacked some since the first, and one that is asked about
    // versions older than all that are remembered makes none of them new.
    let mut named = NamedWeights::default();
    for version in 10..90 {
        assert!(named.note(version, UnixMs(version * 200)));
    }
    assert_eq!(named.lacking_since(9), Some(UnixMs(2_000)));
    assert!(!named.note(11, UnixMs(50_000)));
    assert_eq!(named.newest(), Some((89, UnixMs(17_800))));
}

#[test]
fn namings_in_a_row_give_older_weights_no_more_time() {
    // New weights are named every 4.4 s, nothing may begin on older ones after 8 s.
    // A server that has missed one naming is barred in time, however often newer
    // weights are named meanwhile; one that took the last but one is not.
    let mut named = NamedWeights::default();
    for version in 8..=10 {
        named.note(version, UnixMs(58_523 + (version - 8) * 4_400));
    }
    let now = UnixMs(67_842);
    let judged = [7, 8, 9, 10].map(|version| {
        let lacking_ms = named.lacking_since(version).map(|since| now.ms_since(since));
        Weights::lacking(lacking_ms, Some(8_000))
    });
    use Weights::*;
    assert_eq!(judged, [Barred, Penalized, Fine, Fine]);
}

proptest! {
    #[test]
    fn who_is_further_behind_has_lacked_weights_for_longer(
        heard in prop::collection::vec((1_u64..40, 0_u64..100_000), 1..60),
    ) {
        let mut named = NamedWeights::default();
        for &(version, at) in &heard {
            named.note(version, UnixMs(at));
        }
        let since: Vec<_> = (0..40).map(|version| named.lacking_since(version)).collect();
        let known: Vec<_> = since.iter().copied().flatten().collect();
        prop_assert!(known.is_sorted());
        prop_assert!(since.iter().skip_while(|since| since.is_some()).all(Option::is_none));
    }
}

#[test]
fn a_rollout_ends_within_half_the_bound_whoever_is_down() {
    // Callers are refused for seconds: a third of the engines is down as weights are
    // named, the rest took turns one by one, and most were barred for older weights
    // before their turn. 44 servers of which 15 are down, half a second for a load.
    let last = |bound_ms| {
        let rollout = Rollout::new(bound_ms);
        let place = |position| RolloutPlace { position, servers: 44, down: 15 };
        (0..44).map(|position| rollout.starts_at(UnixMs(0), place(position)).0).max()
    };
    assert_eq!(last(None), Some(43 * 530));
    assert_eq!(last(Some(10_000)), Some(8 * 530));
    assert_eq!(last(Some(8_000)), Some(6 * 530));
    assert_eq!(last(Some(100)), Some(0));
}

#[test]
fn a_straggling_load_does_not_delay_all_later_waves() {
    let mut rollout = Rollout::new(None);
    rollout.measure(60_000);
    let place = RolloutPlace { position: 2, servers: 9, down: 0 };
    assert_eq!(rollout.starts_at(UnixMs(0), place), UnixMs(930));
}

#[test]
fn a_load_waits_for_what_waits_at_its_server_but_not_for_ever() {
    // A load throws back what has not begun. What waits is worked off first; a server
    // that never gets done with it would keep older weights past their bound.
    let turn_at = UnixMs(5_000);
    assert!(may_begin_load(turn_at, 0, turn_at));
    assert!(!may_begin_load(turn_at, 1, turn_at));
    assert!(!may_begin_load(turn_at, 40, turn_at.plus_ms(500)));
    assert!(may_begin_load(turn_at, 1, turn_at.plus_ms(2_000)));
}

#[test]
fn the_boot_clock_never_goes_back() {
    let clock = BootClock::new();
    let times: Vec<UnixMs> = (0..1_000).map(|_| clock.now()).collect();
    assert!(times.is_sorted());
    assert!(times[0] > UnixMs(1_500_000_000_000));
}
