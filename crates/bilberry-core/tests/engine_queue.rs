//! The order of admissions to an engine.

use std::collections::BTreeMap;

use bilberry_core::Admission;
use bilberry_core::AdmissionTerms;
use bilberry_core::CallId;
use bilberry_core::EngineCapacity;
use bilberry_core::EngineQueue;
use bilberry_core::Name;
use bilberry_core::RequestKey;
use bilberry_core::UnixMs;
use proptest::prelude::*;

const SHORT_TARGET_MS: u64 = 400;
const LONG_TARGET_MS: u64 = 4_000;

/// The prompt tokens that the initial prefill speed allows within half the short target.
const ALLOWANCE: u64 = 8_000;

fn id(call: u64) -> CallId {
    CallId { connection: 1, call }
}

fn at(ms: u64) -> UnixMs {
    UnixMs(1_000_000 + ms)
}

/// A request with a long target that arrives at `ms`.
fn long(tokens: u64, ms: u64) -> AdmissionTerms {
    AdmissionTerms {
        customer: Name::from("customer-a"),
        priority: 0,
        target_at: at(ms + LONG_TARGET_MS),
        start_by: at(ms + 2 * LONG_TARGET_MS),
        prefill_tokens: tokens,
        memory_tokens: tokens,
        key: RequestKey(0),
        max_return_ms: 60_000,
        target_ms: LONG_TARGET_MS,
        shortest_target_ms: SHORT_TARGET_MS,
    }
}

/// A request with a short target that arrives at `ms`.
fn short(tokens: u64, ms: u64) -> AdmissionTerms {
    let target_at = at(ms + SHORT_TARGET_MS);
    AdmissionTerms {
        target_at,
        start_by: at(ms + 2_000),
        target_ms: SHORT_TARGET_MS,
        ..long(tokens, ms)
    }
}

fn of(customer: &str, terms: AdmissionTerms) -> AdmissionTerms {
    AdmissionTerms { customer: Name::from(customer), ..terms }
}

fn is_queued(admission: Admission) -> bool {
    matches!(admission, Admission::Queued { .. })
}

fn is_rejected(admission: Admission) -> bool {
    matches!(admission, Admission::Rejected { .. })
}

fn retry_after_ms(admission: Admission) -> u64 {
    match admission {
        Admission::Rejected { retry_after_ms } => retry_after_ms,
        other => panic!("not rejected: {other:?}"),
    }
}

/// Returns the calls that are admitted now, in order.
fn admitted(queue: &mut EngineQueue, ms: u64) -> Vec<u64> {
    let decided = queue.next_decisions(at(ms)).into_iter();
    decided.filter(|(_, d)| *d == Admission::Admitted).map(|(id, _)| id.call).collect()
}

fn rejected(queue: &mut EngineQueue, ms: u64) -> Vec<u64> {
    let decided = queue.next_decisions(at(ms)).into_iter();
    decided.filter(|(_, d)| is_rejected(*d)).map(|(id, _)| id.call).collect()
}

/// A queue whose short target is known and at whose engine nothing runs.
fn queue() -> EngineQueue {
    let mut queue = EngineQueue::new();
    assert_eq!(queue.request(id(0), short(1, 0), at(0)), Admission::Admitted);
    queue.end(id(0), at(0));
    queue
}

/// A queue with one prompt outstanding that is as long as the allowance.
fn busy_queue() -> EngineQueue {
    let mut queue = queue();
    assert_eq!(queue.request(id(1), long(ALLOWANCE, 0), at(0)), Admission::Admitted);
    queue
}

fn prefill(queue: &mut EngineQueue, call: u64, ms: u64) {
    queue.mark_prefilled(id(call), at(ms));
}

#[test]
fn outstanding_prefill_stays_within_half_the_shortest_target() {
    let mut queue = queue();
    assert_eq!(queue.request(id(1), long(4_000, 0), at(0)), Admission::Admitted);
    assert_eq!(queue.request(id(2), long(4_000, 0), at(0)), Admission::Admitted);
    assert!(is_queued(queue.request(id(3), long(1_000, 0), at(0))));
    prefill(&mut queue, 1, 100);
    assert_eq!(admitted(&mut queue, 100), [3]);
}

#[test]
fn a_request_with_the_shortest_target_needs_no_allowance_of_its_own() {
    let mut queue = busy_queue();
    assert_eq!(queue.request(id(2), short(2_000, 0), at(0)), Admission::Admitted);
    assert!(is_queued(queue.request(id(3), short(100, 0), at(0))));
}

#[test]
fn an_engine_without_work_gets_any_prompt() {
    // Guards against an idle engine that waits for room for a prompt above the allowance.
    let mut queue = busy_queue();
    assert!(is_queued(queue.request(id(2), long(5 * ALLOWANCE, 0), at(0))));
    prefill(&mut queue, 1, 200);
    assert_eq!(admitted(&mut queue, 200), [2]);
}

#[test]
fn the_allowance_follows_the_measured_prefill_speed() {
    let mut queue = queue();
    let mut ms = 0;
    for call in 1..40 {
        let decision = queue.request(id(call), long(8_000, ms), at(ms));
        assert_eq!(decision, Admission::Admitted, "{call}");
        ms += 800;
        prefill(&mut queue, call, ms);
        queue.end(id(call), at(ms));
        queue.request(id(1_000), short(1, ms), at(ms));
        queue.end(id(1_000), at(ms));
    }
    assert!((90.0..=110.0).contains(&queue.us_per_token()), "{}", queue.us_per_token());
    assert_eq!(queue.request(id(50), long(1_500, ms), at(ms)), Admission::Admitted);
    assert!(is_queued(queue.request(id(51), long(1_500, ms), at(ms))));
}

#[test]
fn prompts_that_are_mostly_cached_do_not_count_as_a_slow_engine() {
    // Guards against the fixed time of a request being taken for that of its few tokens.
    let mut queue = queue();
    for call in 1..200 {
        queue.request(id(call), short(16, call * 20), at(call * 20));
        prefill(&mut queue, call, call * 20 + 10);
        queue.end(id(call), at(call * 20 + 15));
    }
    assert_eq!(queue.us_per_token(), 25.0);
}

#[test]
fn memory_and_slots_are_not_exceeded() {
    let capacity =
        EngineCapacity { slots: 3, total_tokens: 1_000, used_tokens: 300, running: 1 };
    let terms = |tokens: u64| AdmissionTerms { memory_tokens: tokens, ..long(10, 0) };
    let mut queue = queue();
    queue.record_engine(capacity);
    assert!(is_rejected(queue.request(id(1), terms(1_001), at(0))));
    assert!(is_queued(queue.request(id(2), terms(701), at(0))));
    assert_eq!(queue.request(id(3), terms(300), at(0)), Admission::Admitted);
    assert_eq!(queue.request(id(4), terms(300), at(0)), Admission::Admitted);
    assert_eq!(queue.request(id(5), terms(300), at(0)), Admission::Admitted);
    assert!(is_queued(queue.request(id(6), terms(1), at(0))));
    queue.end(id(5), at(10));
    assert_eq!(admitted(&mut queue, 10), [6]);
    assert_eq!(queue.admitted_memory_tokens(), 601);
}

#[test]
fn an_idle_engine_admits_one_request_whatever_it_reports() {
    // Guards against a report of used memory that is never freed and stops everything.
    let mut queue = queue();
    let capacity = EngineCapacity {
        slots: 4,
        total_tokens: 1_000,
        used_tokens: 990,
        ..EngineCapacity::default()
    };
    queue.record_engine(capacity);
    assert_eq!(queue.request(id(1), long(100, 0), at(0)), Admission::Admitted);
    assert!(is_queued(queue.request(id(2), long(100, 0), at(0))));
    queue.end(id(1), at(10));
    assert_eq!(admitted(&mut queue, 10), [2]);
}

#[test]
fn higher_priorities_go_first() {
    let mut queue = busy_queue();
    for (call, priority) in [(2, 2), (3, 0), (4, 1)] {
        let terms = AdmissionTerms { priority, ..long(ALLOWANCE, 0) };
        assert!(is_queued(queue.request(id(call), terms, at(0))));
    }
    for call in [1, 3, 4] {
        prefill(&mut queue, call, 10);
        let next = [(1, 3), (3, 4), (4, 2)].into_iter().find(|(c, _)| *c == call);
        assert_eq!(admitted(&mut queue, 10), [next.unwrap().1]);
    }
}

#[test]
fn requests_that_can_be_in_time_go_before_late_ones() {
    let mut queue = busy_queue();
    // Its target is twice the shortest, so it isn't urgent, and shorter than its prefill.
    let late = AdmissionTerms { target_at: at(900), ..long(40_000, 0) };
    assert!(is_queued(queue.request(id(2), late, at(0))));
    assert!(is_queued(queue.request(id(3), long(ALLOWANCE, 0), at(0))));
    prefill(&mut queue, 1, 200);
    assert_eq!(admitted(&mut queue, 200), [3]);
}

#[test]
fn customers_get_equal_shares_and_keep_their_own_order() {
    let mut queue = busy_queue();
    for call in 10..20 {
        let terms = of("heavy", long(ALLOWANCE / 2 + 1, 0));
        assert!(!is_rejected(queue.request(id(call), terms, at(0))), "{call}");
    }
    for call in 20..23 {
        let terms = of("light", long(ALLOWANCE / 2 + 1, 0));
        assert!(!is_rejected(queue.request(id(call), terms, at(0))), "{call}");
    }
    let mut order = Vec::new();
    let mut outstanding = vec![1];
    while let Some(call) = outstanding.pop() {
        prefill(&mut queue, call, 10);
        outstanding = admitted(&mut queue, 10);
        order.extend(outstanding.iter().copied());
    }
    assert_eq!(order[..6], [10, 20, 11, 21, 12, 22]);
    assert_eq!(order[6..], [13, 14, 15, 16, 17, 18, 19]);
}

#[test]
fn a_small_request_passes_a_large_one_that_lacks_memory_and_does_not_starve_it() {
    // Guards against both halves: one large request that stops all others, and small ones
    // that take each freed piece of memory for ever.
    let mut queue = queue();
    let capacity =
        EngineCapacity { total_tokens: 1_000, running: 1, ..EngineCapacity::default() };
    queue.record_engine(capacity);
    let small = |ms| AdmissionTerms { memory_tokens: 200, ..long(10, ms) };
    let large = AdmissionTerms { memory_tokens: 900, ..long(10, 0) };
    for call in 1..=3 {
        assert_eq!(queue.request(id(call), small(0), at(0)), Admission::Admitted);
    }
    assert!(is_queued(queue.request(id(50), large, at(0))));
    assert_eq!(queue.request(id(4), small(0), at(0)), Admission::Admitted);
    // A small request replaces each that ends, until the large one is admitted.
    let mut running = vec![1, 2, 3, 4];
    for (next_call, ms) in (100..).zip((500..8_000).step_by(500)) {
        let Some(ended) = (!running.is_empty()).then(|| running.remove(0)) else { break };
        prefill(&mut queue, ended, ms);
        queue.end(id(ended), at(ms));
        let before = admitted(&mut queue, ms);
        if before.contains(&50) {
            return;
        }
        running.extend(before);
        if queue.request(id(next_call), small(ms), at(ms)) == Admission::Admitted {
            running.push(next_call);
        }
    }
    panic!("the large request was not admitted");
}

#[test]
fn low_priorities_get_a_part_of_the_admissions() {
    // Guards against low priorities that starve while higher ones never pause.
    let mut queue = busy_queue();
    let low = AdmissionTerms {
        priority: 5,
        start_by: at(600_000),
        target_at: at(500_000),
        ..long(2_000, 0)
    };
    assert!(is_queued(queue.request(id(2), low, at(0))));
    let mut outstanding = vec![1];
    for call in 10..40 {
        // The time in which a prompt of this length is prefilled.
        let ms = (call - 9) * 200;
        queue.request(id(call), long(ALLOWANCE, ms), at(ms));
        for done in std::mem::take(&mut outstanding) {
            prefill(&mut queue, done, ms);
        }
        outstanding = admitted(&mut queue, ms);
        if outstanding.contains(&2) {
            return;
        }
    }
    panic!("the request of low priority was not admitted");
}

#[test]
fn a_long_prompt_is_admitted_although_short_ones_never_pause() {
    // Guards against a prompt above the allowance that waits for an engine without work.
    let mut queue = queue();
    let mut outstanding = Vec::from_iter(1..=3);
    for call in 1..=3 {
        let decision = queue.request(id(call), short(800, 0), at(0));
        assert_eq!(decision, Admission::Admitted);
    }
    assert!(is_queued(queue.request(id(9), long(2 * ALLOWANCE, 0), at(0))));
    for ms in (20..8_000).step_by(20) {
        // One of three short prompts has been prefilled, and the next one arrives.
        prefill(&mut queue, outstanding.remove(0), ms);
        let call = 100 + ms;
        let decision = queue.request(id(call), short(800, ms), at(ms));
        let others = admitted(&mut queue, ms);
        if others.contains(&9) {
            assert!(ms >= 1_000, "{ms}");
            return;
        }
        assert_eq!(decision, Admission::Admitted, "{ms}");
        outstanding.push(call);
    }
    panic!("the long prompt was not admitted");
}

#[test]
fn a_customer_is_not_charged_for_what_was_rejected_or_left() {
    let mut queue = busy_queue();
    for call in 10..20 {
        let terms = of("customer-b", long(ALLOWANCE, 0));
        queue.request(id(call), AdmissionTerms { start_by: at(0), ..terms }, at(0));
        let terms = of("customer-b", long(ALLOWANCE, 0));
        assert!(is_queued(queue.request(id(call), terms, at(0))));
        queue.end(id(call), at(0));
    }
    for (call, customer) in [(30, "customer-c"), (31, "customer-b"), (32, "customer-c")] {
        let terms = of(customer, long(ALLOWANCE, 0));
        assert!(is_queued(queue.request(id(call), terms, at(0))));
    }
    let mut order = vec![1];
    for (ms, index) in [(200, 0), (400, 1), (600, 2)] {
        prefill(&mut queue, order[index], ms);
        order.extend(admitted(&mut queue, ms));
    }
    assert_eq!(order, [1, 30, 31, 32]);
}

#[test]
fn a_request_served_ahead_of_its_order_does_not_put_newcomers_behind_others() {
    // Guards against a virtual time that jumps with small requests that fit earlier.
    let mut queue = busy_queue();
    for call in 10..13 {
        let terms = of("customer-b", long(ALLOWANCE, 0));
        assert!(is_queued(queue.request(id(call), terms, at(0))));
    }
    // It has the highest tag, and fits as soon as the prompt in front is shorter.
    assert!(is_queued(queue.request(id(13), of("customer-b", long(100, 0)), at(0))));
    prefill(&mut queue, 1, 200);
    assert_eq!(admitted(&mut queue, 200), [10]);
    prefill(&mut queue, 10, 400);
    let urgent = of("customer-c", short(2_000, 400));
    assert_eq!(queue.request(id(14), urgent, at(400)), Admission::Admitted);
    assert_eq!(admitted(&mut queue, 400), [13]);
    let newcomer = of("customer-d", long(ALLOWANCE, 400));
    assert!(is_queued(queue.request(id(15), newcomer, at(400))));
    prefill(&mut queue, 14, 450);
    prefill(&mut queue, 13, 455);
    assert_eq!(admitted(&mut queue, 455), [11]);
    prefill(&mut queue, 11, 655);
    assert_eq!(admitted(&mut queue, 655), [15]);
}

#[test]
fn a_request_that_can_not_be_admitted_in_time_is_rejected_at_once() {
    let mut queue = busy_queue();
    assert!(is_queued(queue.request(id(2), long(40_000, 0), at(0))));
    // 48,000 tokens ahead take 1.2 seconds.
    let early = AdmissionTerms { start_by: at(1_100), ..long(40_000, 0) };
    let wait_ms = retry_after_ms(queue.request(id(3), early, at(0)));
    assert!((1_150..=1_300).contains(&wait_ms), "{wait_ms}");
    let in_time = AdmissionTerms { start_by: at(1_300), ..long(40_000, 0) };
    let admission = queue.request(id(4), in_time, at(0));
    assert!(is_queued(admission), "{admission:?}");
    let no_wait = AdmissionTerms { start_by: at(0), ..long(10, 0) };
    assert!(retry_after_ms(queue.request(id(5), no_wait, at(0))) >= 100);
}

#[test]
fn a_waiting_request_is_rejected_when_its_time_has_passed() {
    let mut queue = busy_queue();
    let terms = AdmissionTerms { start_by: at(1_000), ..long(ALLOWANCE, 0) };
    assert!(is_queued(queue.request(id(2), terms, at(0))));
    assert_eq!(queue.next_deadline(at(0)), Some(at(250)));
    assert_eq!(queue.next_deadline(at(250)), Some(at(500)));
    assert_eq!(queue.next_deadline(at(500)), Some(at(1_000)));
    assert_eq!(rejected(&mut queue, 700), []);
    assert_eq!(rejected(&mut queue, 1_000), [2]);
    assert_eq!(queue.next_deadline(at(1_000)), None);
    prefill(&mut queue, 1, 1_100);
    assert_eq!(admitted(&mut queue, 1_100), []);
}

#[test]
fn the_number_of_waiting_requests_is_bounded_and_each_customer_keeps_its_share() {
    let mut queue = busy_queue();
    let slow_target = |customer: &str| {
        let terms = of(customer, long(1, 0));
        AdmissionTerms { target_at: at(50_000), start_by: at(100_000), ..terms }
    };
    let waiting = (2..2_000).take_while(|call| {
        is_queued(queue.request(id(*call), slow_target("heavy"), at(0)))
    });
    let count = waiting.count();
    assert!(count <= 256, "{count}");
    assert_eq!(queue.waiting_count(), count);
    assert!(is_queued(queue.request(id(5_000), slow_target("light"), at(0))));
    assert_eq!(rejected(&mut queue, 0), [count as u64 + 1]);
    let low = AdmissionTerms { priority: 1, ..slow_target("other") };
    assert!(is_rejected(queue.request(id(5_001), low, at(0))));
    assert_eq!(queue.waiting_count(), count);
}

/// Rejects a request of `key` and returns when its caller should return.
fn reject(queue: &mut EngineQueue, key: u64) -> u64 {
    let key = RequestKey(key);
    let terms = AdmissionTerms { start_by: at(0), key, ..long(ALLOWANCE, 0) };
    retry_after_ms(queue.request(id(500), terms, at(0)))
}

/// Returns whether a caller with a key that asks at `ms` goes before a newcomer.
fn goes_first(queue: &mut EngineQueue, key: u64, ms: u64) -> bool {
    let terms = |key| AdmissionTerms { key: RequestKey(key), ..long(ALLOWANCE, ms) };
    let newcomer = of("customer-b", terms(1_000 + key));
    assert!(is_queued(queue.request(id(600), newcomer, at(ms))));
    assert!(is_queued(queue.request(id(601), of("customer-c", terms(key)), at(ms))));
    prefill(queue, 1, ms);
    let first = admitted(queue, ms);
    assert_eq!(first.len(), 1);
    first == [601]
}

#[test]
fn a_caller_that_returns_when_told_goes_before_newcomers() {
    let mut queue = busy_queue();
    let back_at = reject(&mut queue, 7);
    assert!(goes_first(&mut queue, 7, back_at));
    assert_eq!(queue.ticket_count(), 0);
}

#[test]
fn a_caller_that_returns_early_or_much_too_late_has_no_advantage() {
    for (early_ms, late_ms) in [(20, 0), (0, 1_500)] {
        let mut queue = busy_queue();
        let back_at = reject(&mut queue, 7) + late_ms - early_ms;
        assert!(!goes_first(&mut queue, 7, back_at));
    }
}

#[test]
fn callers_are_told_to_return_one_after_the_other() {
    // Guards against a wave of returning callers that compete again and are rejected.
    let mut queue = busy_queue();
    let times = [7, 8, 9].map(|key| reject(&mut queue, key));
    assert!(times[1] >= times[0] + 200, "{times:?}");
    assert!(times[2] >= times[1] + 200, "{times:?}");
}

#[test]
fn the_number_of_tickets_is_bounded() {
    let mut queue = busy_queue();
    for key in 0..10_000 {
        reject(&mut queue, key);
    }
    assert!(queue.ticket_count() <= 1_024, "{}", queue.ticket_count());
}

#[test]
fn the_end_of_a_connection_ends_its_requests_alone() {
    let mut queue = busy_queue();
    let other = CallId { connection: 2, call: 1 };
    assert!(is_queued(queue.request(other, long(ALLOWANCE, 0), at(0))));
    assert!(is_queued(queue.request(id(2), long(ALLOWANCE, 0), at(0))));
    queue.end_connection(1, at(10));
    let decided = queue.next_decisions(at(10));
    assert_eq!(decided, [(other, Admission::Admitted)]);
    assert_eq!((queue.admitted_count(), queue.waiting_count()), (1, 0));
    queue.end_connection(2, at(20));
    assert_eq!(queue.work_ahead().admitted_tokens, 0);
    assert_eq!(queue.admitted_memory_tokens(), 0);
}

#[test]
fn a_request_that_left_is_neither_admitted_nor_charged() {
    let mut queue = busy_queue();
    for call in [2, 3] {
        let terms = of("customer-b", long(ALLOWANCE, 0));
        assert!(is_queued(queue.request(id(call), terms, at(0))));
    }
    queue.end(id(2), at(5));
    prefill(&mut queue, 1, 10);
    assert_eq!(admitted(&mut queue, 10), [3]);
    assert_eq!(queue.waiting_count(), 0);
}

#[test]
fn a_new_incarnation_of_the_engine_begins_empty() {
    // Guards against late updates of requests at the earlier incarnation.
    let mut queue = busy_queue();
    assert!(is_queued(queue.request(id(2), long(ALLOWANCE, 0), at(0))));
    queue.reset();
    assert_eq!(queue.next_decisions(at(10)), [(id(2), Admission::Withdrawn)]);
    assert_eq!((queue.admitted_count(), queue.waiting_count()), (0, 0));
    assert_eq!(queue.request(id(3), long(ALLOWANCE, 10), at(10)), Admission::Admitted);
    prefill(&mut queue, 1, 20);
    queue.end(id(1), at(20));
    assert_eq!(queue.work_ahead().admitted_tokens, ALLOWANCE);
}

#[test]
fn the_work_ahead_is_told_by_priority() {
    let mut queue = busy_queue();
    for (call, priority, tokens) in [(2, 1, 500), (3, 1, 600), (4, 0, 700)] {
        let terms = AdmissionTerms { priority, ..long(tokens, 0) };
        assert!(is_queued(queue.request(id(call), terms, at(0))));
    }
    let work = queue.work_ahead();
    assert_eq!(work.admitted_tokens, ALLOWANCE);
    assert_eq!(work.waiting_tokens, BTreeMap::from([(0, 700), (1, 1_100)]));
}

#[test]
fn a_call_number_that_is_used_again_replaces_the_earlier_request() {
    let mut queue = busy_queue();
    assert_eq!(queue.request(id(1), long(ALLOWANCE, 0), at(5)), Admission::Admitted);
    assert_eq!(queue.work_ahead().admitted_tokens, ALLOWANCE);
    assert_eq!(queue.admitted_count(), 1);
}

/// A step of a random sequence.
#[derive(Debug, Clone)]
enum Step {
    Request { connection: u64, tokens: u64, short: bool, priority: u32, wait_ms: u64 },
    Prefilled(usize),
    End(usize),
    EndConnection(u64),
    Engine { used_tokens: u64, running: u64 },
    Reset,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let request = (1..4_u64, 0..9_000_u64, any::<bool>(), 0..3_u32, 0..3_000_u64);
    prop_oneof![
        8 => request.prop_map(|(connection, tokens, short, priority, wait_ms)| {
            Step::Request { connection, tokens, short, priority, wait_ms }
        }),
        5 => any::<usize>().prop_map(Step::Prefilled),
        5 => any::<usize>().prop_map(Step::End),
        1 => (1..4_u64).prop_map(Step::EndConnection),
        2 => (0..20_000_u64, 0..3_u64)
            .prop_map(|(used_tokens, running)| Step::Engine { used_tokens, running }),
        1 => Just(Step::Reset),
        4 => (0..700_u64).prop_map(Step::Wait),
    ]
}

const MODEL_TOTAL_TOKENS: u64 = 20_000;
const MODEL_SLOTS: u64 = 4;

/// What callers see of their requests.
#[derive(Debug, Default)]
struct Model {
    waiting: BTreeMap<CallId, AdmissionTerms>,
    admitted: BTreeMap<CallId, (u64, u64)>,
}

impl Model {
    fn decide(&mut self, id: CallId, decision: Admission, now: UnixMs) {
        let terms = self.waiting.get(&id).cloned().expect("decided, but not waiting");
        match decision {
            Admission::Queued { .. } => return,
            Admission::Admitted => {
                assert!(now <= terms.start_by, "admitted late");
                let held = (terms.prefill_tokens, terms.memory_tokens);
                self.admitted.insert(id, held);
            }
            Admission::Rejected { retry_after_ms } => assert!(retry_after_ms >= 100),
            Admission::Withdrawn => {}
        }
        self.waiting.remove(&id);
    }

    fn check(&self, queue: &EngineQueue, now: UnixMs) {
        assert_eq!(queue.waiting_count(), self.waiting.len());
        assert_eq!(queue.admitted_count(), self.admitted.len());
        let memory: u64 = self.admitted.values().map(|(_, memory)| memory).sum();
        assert_eq!(queue.admitted_memory_tokens(), memory);
        assert!(memory <= MODEL_TOTAL_TOKENS);
        assert!(self.admitted.len() as u64 <= MODEL_SLOTS);
        let outstanding: u64 = self.admitted.values().map(|(tokens, _)| tokens).sum();
        assert_eq!(queue.work_ahead().admitted_tokens, outstanding);
        let waiting: u64 = self.waiting.values().map(|terms| terms.prefill_tokens).sum();
        assert_eq!(queue.work_ahead().waiting_tokens.values().sum::<u64>(), waiting);
        let is_overdue = |terms: &AdmissionTerms| terms.start_by <= now;
        assert!(!self.waiting.values().any(is_overdue), "waits past its time");
        let is_idle = self.admitted.is_empty();
        assert!(
            !is_idle || self.waiting.is_empty() || queue.next_deadline(now).is_some()
        );
    }
}

proptest! {
    #[test]
    fn the_bookkeeping_matches_the_decisions(steps in prop::collection::vec(step(), 1..150)) {
        let mut queue = EngineQueue::new();
        let mut model = Model::default();
        let mut now = at(0);
        let engine = |used_tokens, running| EngineCapacity {
            slots: MODEL_SLOTS,
            total_tokens: MODEL_TOTAL_TOKENS,
            used_tokens,
            running,
        };
        queue.record_engine(engine(0, 0));
        for (call, step) in steps.into_iter().enumerate() {
            let nth = |index: usize| {
                let all = model.admitted.keys().chain(model.waiting.keys());
                let all: Vec<CallId> = all.copied().collect();
                all.get(index % all.len().max(1)).copied()
            };
            match step {
                Step::Request { connection, tokens, short: is_short, priority, wait_ms } => {
                    let id = CallId { connection, call: call as u64 };
                    let ms = now.0 - at(0).0;
                    let terms = if is_short { short(tokens, ms) } else { long(tokens, ms) };
                    let start_by = now.plus_ms(wait_ms);
                    let customer = Name::from(format!("customer-{}", tokens % 3));
                    let key = RequestKey(tokens % 50);
                    let terms = AdmissionTerms { priority, start_by, customer, key, ..terms };
                    model.waiting.insert(id, terms.clone());
                    let decision = queue.request(id, terms, now);
                    model.decide(id, decision, now);
                }
                Step::Prefilled(index) => if let Some(id) = nth(index) {
                    queue.mark_prefilled(id, now);
                    model.admitted.entry(id).and_modify(|held| held.0 = 0);
                },
                Step::End(index) => if let Some(id) = nth(index) {
                    queue.end(id, now);
                    model.admitted.remove(&id);
                    model.waiting.remove(&id);
                },
                Step::EndConnection(connection) => {
                    queue.end_connection(connection, now);
                    model.admitted.retain(|id, _| id.connection != connection);
                    model.waiting.retain(|id, _| id.connection != connection);
                }
                Step::Engine { used_tokens, running } => {
                    queue.record_engine(engine(used_tokens, running));
                }
                Step::Reset => {
                    queue.reset();
                    model.admitted.clear();
                    queue.record_engine(engine(0, 0));
                }
                Step::Wait(ms) => now = now.plus_ms(ms),
            }
            for (id, decision) in queue.next_decisions(now) {
                prop_assert!(!is_queued(decision));
                model.decide(id, decision, now);
            }
            model.check(&queue, now);
        }
        for connection in 1..4 {
            queue.end_connection(connection, now);
        }
        prop_assert!(queue.next_decisions(now).is_empty());
        model = Model::default();
        model.check(&queue, now);
    }
}
