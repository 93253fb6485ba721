//! Tests of planned stops and of the times that decide on requests during them.

use bilberry_core::AnswerTimes;
use bilberry_core::PlannedStop;
use bilberry_core::UnixMs;
use proptest::prelude::*;

const NOW: UnixMs = UnixMs(1_000_000);

#[test]
fn a_stop_accepts_connections_and_answers_before_its_grace_period_ends() {
    let stop = PlannedStop::begin(NOW, 8_000);
    assert_eq!(stop.accepts_until, NOW.plus_ms(2_500));
    assert_eq!(stop.answers_at, NOW.plus_ms(7_100));
    assert_eq!(stop.ends_at, NOW.plus_ms(7_300));
}

#[test]
fn a_request_is_taken_if_its_deadline_or_a_usual_answer_is_in_time() {
    let stop = PlannedStop::begin(NOW, 8_000);
    let (soon, late) = (NOW.plus_ms(1_000), NOW.plus_ms(15_000));
    assert!(stop.can_answer(soon, None, NOW));
    assert!(stop.can_answer(soon, Some(30_000), NOW));
    assert!(!stop.can_answer(late, None, NOW));
    assert!(stop.can_answer(late, Some(7_100), NOW));
    assert!(!stop.can_answer(late, Some(7_101), NOW));
    assert!(!stop.can_answer(late, Some(5_000), NOW.plus_ms(2_101)));
}

#[test]
fn answers_are_forgotten_after_two_windows() {
    let mut times = AnswerTimes::default();
    assert_eq!(times.quantile_ms(1.0, NOW), None);
    times.record(700, NOW);
    times.record(200, NOW.plus_ms(10_000));
    assert_eq!(times.quantile_ms(1.0, NOW.plus_ms(14_999)), Some(725));
    times.record(200, NOW.plus_ms(16_000));
    assert_eq!(times.quantile_ms(1.0, NOW.plus_ms(30_000)), Some(725));
    assert_eq!(times.quantile_ms(1.0, NOW.plus_ms(31_000)), Some(216));
    assert_eq!(times.quantile_ms(1.0, NOW.plus_ms(60_000)), None);
}

#[test]
fn a_few_slow_answers_do_not_count_for_a_share() {
    let mut times = AnswerTimes::default();
    (0..95).for_each(|_| times.record(200, NOW));
    (0..5).for_each(|_| times.record(8_000, NOW));
    assert_eq!(times.quantile_ms(0.9, NOW), Some(216));
    assert_eq!(times.quantile_ms(0.99, NOW), Some(8_192));
}

proptest! {
    /// Guards against a stop whose process is killed before it has answered its callers.
    #[test]
    fn every_stop_ends_within_its_grace_period(grace_ms in 0_u64..600_000) {
        let stop = PlannedStop::begin(NOW, grace_ms);
        prop_assert!(NOW <= stop.accepts_until);
        prop_assert!(stop.accepts_until <= stop.answers_at);
        prop_assert!(stop.answers_at <= stop.ends_at);
        prop_assert!(stop.ends_at <= NOW.plus_ms(grace_ms));
        // Most of the grace period is left for requests in progress.
        prop_assert!(stop.ends_at.ms_since(NOW) * 6 >= grace_ms * 5);
    }

    /// Guards against answers that a window between two records forgets.
    #[test]
    fn an_answer_counts_for_a_window_at_least(
        earlier in prop::collection::vec((0_u64..5_000, 0_u64..40_000), 0..20),
        took_ms in 0_u64..5_000,
        after_ms in 0_u64..15_000,
    ) {
        let mut times = AnswerTimes::default();
        let mut now = NOW;
        for (took_ms, gap_ms) in earlier {
            now = now.plus_ms(gap_ms);
            times.record(took_ms, now);
        }
        times.record(took_ms, now);
        prop_assert!(times.quantile_ms(1.0, now.plus_ms(after_ms)) >= Some(took_ms));
    }
}
