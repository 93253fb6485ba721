//! Tests of the decisions of a forwarding entry under their intended loads.

use bilberry_core::AnnouncedWeights;
use bilberry_core::BootClock;
use bilberry_core::Clock;
use bilberry_core::EntryCount;
use bilberry_core::EventSplitter;
use bilberry_core::Freshness;
use bilberry_core::LinkBudget;
use bilberry_core::Outage;
use bilberry_core::PeerCopy;
use bilberry_core::PlacementCandidate;
use bilberry_core::PlacementRequest;
use bilberry_core::Rollout;
use bilberry_core::RolloutPlace;
use bilberry_core::Source;
use bilberry_core::Transfer;
use bilberry_core::UnixMs;
use bilberry_core::WeightsStatus;
use bilberry_core::choose_source;
use bilberry_core::choose_upstream;
use bilberry_core::may_start_load;
use bilberry_core::part_key;
use proptest::prelude::*;

fn candidate(seed: u64) -> PlacementCandidate {
    PlacementCandidate {
        seed,
        usable: true,
        same_data_centre: true,
        free_slots: 40,
        free_tokens: 100_000,
        ..PlacementCandidate::default()
    }
}

fn request() -> PlacementRequest {
    PlacementRequest {
        affinity: 77,
        shared_tokens: 6_300,
        own_tokens: 2_900,
        output_tokens: 60,
        answer_ms: 500,
        body_bytes: 18_000,
        can_fetch: true,
        ..PlacementRequest::default()
    }
}

#[test]
fn a_prompt_goes_to_its_holder_until_the_backlog_is_too_long() {
    let mut candidates = vec![candidate(1), candidate(2), candidate(3)];
    candidates[1].cached_tokens = 6_300;
    assert_eq!(choose_upstream(&request(), &candidates), Some(1));
    // A long prompt is still being prefilled there, so another server fetches the parts.
    candidates[1].pending_tokens = 9_000;
    assert_ne!(choose_upstream(&request(), &candidates), Some(1));
}

#[test]
fn entries_agree_on_the_server_for_an_uncached_prompt() {
    let candidates: Vec<PlacementCandidate> = (0..9).map(candidate).collect();
    let mut reversed: Vec<PlacementCandidate> = candidates.clone();
    reversed.reverse();
    let seed = |candidates: &[PlacementCandidate]| {
        choose_upstream(&request(), candidates).map(|at| candidates[at].seed)
    };
    assert_eq!(seed(&candidates), seed(&reversed));
    // Different prompts are spread over all servers.
    let chosen: std::collections::BTreeSet<_> = (0..200)
        .filter_map(|affinity| {
            choose_upstream(&PlacementRequest { affinity, ..request() }, &candidates)
        })
        .collect();
    assert_eq!(chosen.len(), 9);
}

#[test]
fn a_lost_server_moves_only_its_own_prompts() {
    let candidates: Vec<PlacementCandidate> = (0..9).map(candidate).collect();
    let mut fewer = candidates.clone();
    fewer[4].usable = false;
    for affinity in 0..200 {
        let request = PlacementRequest { affinity, ..request() };
        match choose_upstream(&request, &candidates) {
            Some(4) => assert_ne!(choose_upstream(&request, &fewer), Some(4)),
            server => assert_eq!(choose_upstream(&request, &fewer), server),
        }
    }
}

#[test]
fn the_first_servers_with_new_weights_are_preferred_but_not_overloaded() {
    // New weights are announced while a third of the servers is down, so for seconds
    // only few servers have them. An answer from older weights loses part of its value, a
    // late one nearly all, so servers with the newest weights win only while they are not
    // much busier.
    let mut candidates = vec![candidate(1), candidate(2), candidate(3)];
    candidates[0].weights = WeightsStatus::Penalized;
    candidates[1].weights = WeightsStatus::Penalized;
    assert_eq!(choose_upstream(&request(), &candidates), Some(2));
    candidates[2].running = 10;
    candidates[2].pending_tokens = 4_000;
    assert_eq!(choose_upstream(&request(), &candidates), Some(2));
    candidates[2].pending_tokens = 20_000;
    assert!(choose_upstream(&request(), &candidates).is_some_and(|at| at < 2));
}

#[test]
fn a_long_answer_avoids_servers_about_to_load_weights() {
    // New weights are announced every few seconds and the engines load them in waves.
    // Tokens generated past the load are worthless to the caller. Short answers end
    // before the load and stay on the engine that has their prompt cached. While other
    // engines have capacity, long answers go to those that load later or have loaded.
    let mut candidates = vec![candidate(1), candidate(2), candidate(3)];
    candidates[0].cached_tokens = 6_300;
    candidates[0].loads_in_ms = Some(200);
    candidates[1].loads_in_ms = Some(700);
    let short = PlacementRequest { answer_ms: 120, ..request() };
    assert_eq!(choose_upstream(&short, &candidates), Some(0));
    let long = PlacementRequest { answer_ms: 1_000, ..request() };
    assert_eq!(choose_upstream(&long, &candidates), Some(2));
    candidates[2].pending_tokens = 20_000;
    assert_eq!(choose_upstream(&long, &candidates), Some(1));
    // If all others have long backlogs, a partly late answer beats an entirely late one.
    candidates[1].pending_tokens = 30_000;
    assert_eq!(choose_upstream(&long, &candidates), Some(0));
}

#[test]
fn no_request_starts_on_older_weights_past_their_bound() {
    // A server that fails to load new weights gets no more work, even if no other server
    // has capacity, because its answers have no value.
    let mut candidates = vec![candidate(1), candidate(2)];
    candidates[0].weights = WeightsStatus::Excluded;
    candidates[1].free_slots = 0;
    assert_eq!(choose_upstream(&request(), &candidates), None);
    let ages = [0, 1_200, 1_400, 5_900, 6_100];
    let at_ages = ages.map(|age_ms| WeightsStatus::classify(Some(age_ms), Some(8_000)));
    use WeightsStatus::*;
    assert_eq!(at_ages, [Acceptable, Acceptable, Penalized, Penalized, Excluded]);
    assert_eq!(WeightsStatus::classify(Some(60_000), None), Penalized);
    assert_eq!(WeightsStatus::classify(None, Some(0)), Acceptable);
}

#[test]
fn no_request_is_placed_where_memory_would_run_out() {
    // Memory runs out before slots: a dozen long prompts fill a server. Another request
    // would be preempted during its answer.
    let mut candidates = vec![candidate(1), candidate(2)];
    candidates[0].free_tokens = 9_000;
    candidates[1].free_tokens = 9_300;
    assert_eq!(choose_upstream(&request(), &candidates), Some(1));
    candidates[1].free_tokens = 9_000;
    assert_eq!(choose_upstream(&request(), &candidates), None);
}

#[test]
fn a_prompt_is_fetched_from_a_source_of_its_deeper_levels() {
    // Every engine has cached the first prompt level, the style notes, and few the second
    // one, the brief. Under load the engine with the brief is full, and the chosen engine
    // has neither. If it fetched from a peer with only the style notes, the brief would
    // be prefilled again although the store has it.
    let peer =
        |cached_tokens, same_data_centre| PeerCopy { cached_tokens, same_data_centre };
    let notes = [peer(2_520, true), peer(2_520, false)];
    assert_eq!(choose_source(0, &notes, Some(6_300)), Some(Source::Store));
    assert_eq!(choose_source(0, &notes, Some(2_520)), Some(Source::Peer(0)));
    assert_eq!(choose_source(2_520, &notes, Some(0)), Some(Source::Store));
    // A peer with the whole prompt is preferred to the store, whose link is shared.
    let both = [peer(2_520, true), peer(6_300, false)];
    assert_eq!(choose_source(0, &both, Some(6_300)), Some(Source::Peer(1)));
    assert_eq!(choose_source(0, &both, None), Some(Source::Peer(1)));
    assert_eq!(choose_source(6_300, &both, None), None);
}

#[test]
fn entries_together_stay_within_the_bandwidth_of_the_store_link() {
    // The active prompts fill the store, and four entries each request 60 prompts of
    // 5,000 tokens per second between data centres. That costs 2.4 million tokens per
    // second on a link that carries 234,000. Prompts beyond the share are prefilled
    // instead of waiting.
    let prompt = Transfer { tokens: 5_000, same_data_centre: false };
    let mut moved_tokens = 0;
    for _ in 0..4 {
        let mut share = LinkBudget::default();
        for tick in 0..600 {
            let now = UnixMs(1_000_000 + tick * 1_000 / 60);
            if share.try_take(now, prompt, 234_000.0, Some(4)) {
                moved_tokens += prompt.tokens * 2;
            }
        }
    }
    let ten_s = 2_340_000.0;
    assert!((0.9..1.15).contains(&(moved_tokens as f64 / ten_s)), "{moved_tokens}");
    // Empty transfers are never refused, nor is the first transfer after an idle period.
    let mut share = LinkBudget::default();
    let nothing = Transfer { tokens: 0, same_data_centre: true };
    assert!(share.try_take(UnixMs(5_000), prompt, 1_000.0, None));
    assert!(!share.try_take(UnixMs(5_001), prompt, 1_000.0, None));
    assert!(share.try_take(UnixMs(5_001), nothing, 1_000.0, None));
}

#[test]
fn retry_advice_grows_with_the_length_of_an_outage() {
    // All engines of a service lose power for sixteen seconds. A caller that waits
    // fifteen seconds retries once. Callers refused in the first second are told to retry
    // soon, because a crash may be over quickly. Callers refused later are told to retry
    // after a third of their time, the longest advice that callers follow, so that those
    // refused in the last seconds are still served.
    let mut outage = Outage::default();
    let at = |ms: u64| UnixMs(1_000_000 + ms);
    assert_eq!(outage.retry_delay_ms(at(0), 15_000), None);
    outage.record(at(0), false);
    assert_eq!(outage.retry_delay_ms(at(0), 15_000), Some((80, 100)));
    outage.record(at(500), false);
    assert_eq!(outage.retry_delay_ms(at(500), 15_000), Some((400, 500)));
    outage.record(at(9_000), false);
    assert_eq!(outage.retry_delay_ms(at(9_000), 15_000), Some((3_840, 4_800)));
    // A caller with little or no time left is not told to retry after its deadline.
    assert_eq!(outage.retry_delay_ms(at(9_000), 5_000), Some((1_280, 1_600)));
    assert_eq!(outage.retry_delay_ms(at(9_000), 0), Some((80, 100)));
    // The first live upstream ends the outage; a later outage starts from zero.
    outage.record(at(16_000), true);
    assert_eq!(outage.retry_delay_ms(at(16_000), 15_000), None);
    outage.record(at(20_000), false);
    assert_eq!(outage.retry_delay_ms(at(20_300), 15_000), Some((240, 300)));
}

#[test]
fn part_keys_differ_by_weights_and_scope() {
    let keys = [
        part_key("shared/m/1", 5),
        part_key("shared/m/2", 5),
        part_key("only-a/m/1", 5),
        part_key("shared/m/1", 6),
    ];
    let distinct: std::collections::BTreeSet<u64> = keys.into_iter().collect();
    assert_eq!(distinct.len(), keys.len());
}

proptest! {
    /// The same complete events result wherever the connection splits the bytes.
    #[test]
    fn events_are_complete_however_the_bytes_are_split(
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
            if let Some(events) = splitter.push(piece).unwrap() {
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
fn the_entry_count_is_kept_while_all_sidecars_restart() {
    // Four entries share limits. All sidecars stop, while the entry count is kept. Then all
    // sidecars start, and each knows only one entry when it first reports. If entries
    // adopted that count, each would take the whole of what they share. Entries that really
    // leave stop counting after some seconds.
    let mut entries = EntryCount::default();
    let report = |entries: &mut EntryCount, at_ms: u64, count| {
        entries.record_report(UnixMs(1_000_000 + at_ms), count);
        entries.current()
    };
    assert_eq!(entries.current(), None);
    assert_eq!(report(&mut entries, 100, 1), Some(1));
    assert_eq!(report(&mut entries, 300, 4), Some(4));
    // All sidecars start together twice, sixteen seconds apart.
    assert_eq!(report(&mut entries, 21_000, 1), Some(4));
    assert_eq!(report(&mut entries, 37_000, 1), Some(4));
    assert_eq!(report(&mut entries, 37_200, 4), Some(4));
    // One sidecar is not reached by all entries, while the others report the full count.
    for at_ms in (40_000..50_000).step_by(500) {
        assert_eq!(report(&mut entries, at_ms, 3), Some(4));
        assert_eq!(report(&mut entries, at_ms + 100, 4), Some(4));
    }
    // An entry leaves.
    for at_ms in (50_000..53_000).step_by(500) {
        assert_eq!(report(&mut entries, at_ms, 3), Some(4));
    }
    assert_eq!(report(&mut entries, 53_000, 3), Some(3));
    assert_eq!(report(&mut entries, 53_100, 5), Some(5));
}

#[test]
fn a_partial_event_is_buffered_and_dropped() {
    let mut splitter = EventSplitter::new();
    assert!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().is_some());
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.last_id(), Some(1));
    splitter.drop_partial();
    // The replacement server repeats the event that was cut off.
    let events = splitter.push(b"id: 2\ndata: b\n\n").unwrap();
    let events = events.expect("the event is complete");
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
}

#[test]
fn a_late_response_confirms_the_state_at_its_request() {
    // A link failure delayed the response by six seconds. It confirms the state at the
    // time of the request, not the current state.
    let mut fresh = Freshness::default();
    fresh.confirm_read(UnixMs(1_000));
    assert!(fresh.holds(UnixMs(5_900), 4_950));
    assert!(!fresh.holds(UnixMs(5_950), 4_950));
    // A watch without changes confirms the state at the end of its 1.5 s, however late
    // the response arrives, or at its arrival if it returned early.
    fresh.confirm_quiet(UnixMs(10_000), 1_500, UnixMs(16_000));
    assert_eq!(fresh.confirmed_at(), UnixMs(11_500));
    fresh.confirm_quiet(UnixMs(16_000), 1_500, UnixMs(16_200));
    assert_eq!(fresh.confirmed_at(), UnixMs(16_200));
    // A response that arrives out of order does not move the confirmed time back.
    fresh.confirm_read(UnixMs(12_000));
    assert_eq!(fresh.confirmed_at(), UnixMs(16_200));
}

#[test]
fn weights_are_loaded_in_waves_without_messages() {
    // Nine servers load weights announced at 1,000 ms, two at a time. Each wave starts
    // after the load time of the previous one, whatever happens to individual servers.
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
    // With a third of the servers down, they load one at a time to keep enough capacity.
    assert_eq!(starts(3)[..3], [1_000, 1_530, 2_060]);
}

#[test]
fn a_server_is_outdated_since_the_first_announcement_it_missed() {
    let mut named = AnnouncedWeights::default();
    assert_eq!((named.newest(), named.outdated_since(0)), (None, None));
    for (version, at) in [(7, 100), (8, 4_500), (10, 13_300)] {
        assert!(named.record(version, UnixMs(at)));
    }
    assert_eq!(named.newest(), Some((10, UnixMs(13_300))));
    let since = [6, 7, 8, 9, 10].map(|version| named.outdated_since(version));
    let at = |ms| Some(UnixMs(ms));
    assert_eq!(since, [at(100), at(4_500), at(13_300), at(13_300), None]);
    // Repeated or late reports: a version was announced before any newer one.
    assert!(!named.record(8, UnixMs(20_000)));
    assert!(named.record(9, UnixMs(20_000)));
    assert_eq!(named.outdated_since(8), at(13_300));
    // A repeated report with an earlier time does not replace the first one.
    assert!(!named.record(10, UnixMs(4_000)));
    assert_eq!(named.outdated_since(9), at(13_300));
}

#[test]
fn merging_the_oldest_versions_keeps_the_earliest_time() {
    // Weights are announced five times a second for about 15 s. A server with none of
    // them has been outdated since the first announcement, and a version older than all
    // remembered ones is not recorded again as new.
    let mut named = AnnouncedWeights::default();
    for version in 10..90 {
        assert!(named.record(version, UnixMs(version * 200)));
    }
    assert_eq!(named.outdated_since(9), Some(UnixMs(2_000)));
    assert!(!named.record(11, UnixMs(50_000)));
    assert_eq!(named.newest(), Some((89, UnixMs(17_800))));
}

#[test]
fn repeated_announcements_do_not_extend_the_use_of_older_weights() {
    // New weights are announced every 4.4 s and no request may start on older ones after
    // 8 s. A server that has missed an announcement is excluded in time, however many
    // announcements follow; a server with the second newest weights is not excluded.
    let mut named = AnnouncedWeights::default();
    for version in 8..=10 {
        named.record(version, UnixMs(58_523 + (version - 8) * 4_400));
    }
    let now = UnixMs(67_842);
    let judged = [7, 8, 9, 10].map(|version| {
        let lacking_ms = named.outdated_since(version).map(|since| now.ms_since(since));
        WeightsStatus::classify(lacking_ms, Some(8_000))
    });
    use WeightsStatus::*;
    assert_eq!(judged, [Excluded, Penalized, Acceptable, Acceptable]);
}

proptest! {
    #[test]
    fn older_versions_have_been_outdated_for_longer(
        heard in prop::collection::vec((1_u64..40, 0_u64..100_000), 1..60),
    ) {
        let mut named = AnnouncedWeights::default();
        for &(version, at) in &heard {
            named.record(version, UnixMs(at));
        }
        let since: Vec<_> = (0..40).map(|version| named.outdated_since(version)).collect();
        let known: Vec<_> = since.iter().copied().flatten().collect();
        prop_assert!(known.is_sorted());
        prop_assert!(since.iter().skip_while(|since| since.is_some()).all(Option::is_none));
    }
}

#[test]
fn the_last_wave_starts_within_half_the_bound_if_servers_are_down() {
    // A third of the engines is down when weights are announced. The others loaded one
    // at a time, and most were excluded for older weights before their turn, so callers
    // were refused for seconds. 15 of 44 servers are down and a load takes half a second.
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
fn a_slow_load_does_not_delay_all_later_waves() {
    let mut rollout = Rollout::new(None);
    rollout.record_load(60_000);
    let place = RolloutPlace { position: 2, servers: 9, down: 0 };
    assert_eq!(rollout.starts_at(UnixMs(0), place), UnixMs(930));
}

#[test]
fn a_load_waits_for_the_queue_to_drain_for_a_limited_time() {
    // A load rejects queued requests, so the queue is drained first. The drain time is
    // limited, because a server with a queue that never empties would keep older weights
    // past their bound.
    let turn_at = UnixMs(5_000);
    assert!(may_start_load(turn_at, 0, turn_at));
    assert!(!may_start_load(turn_at, 1, turn_at));
    assert!(!may_start_load(turn_at, 40, turn_at.plus_ms(500)));
    assert!(may_start_load(turn_at, 1, turn_at.plus_ms(2_000)));
}

#[test]
fn the_boot_clock_is_monotonic() {
    let clock = BootClock::new();
    let times: Vec<UnixMs> = (0..1_000).map(|_| clock.now()).collect();
    assert!(times.is_sorted());
    assert!(times[0] > UnixMs(1_500_000_000_000));
}
