//! Collection of probe answers while the process is stalled.

use std::collections::HashMap;
use std::thread;
use std::time::Duration;

use bilberry_core::Chain;
use bilberry_core::Name;
use bilberry_core::ProbeView;
use bilberry_core::Scope;
use bilberry_entry::ProbeQuery;
use bilberry_entry::ProbeResult;
use bilberry_entry::collect_answers;
use bilberry_wire::Readiness;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

const WAIT: Duration = Duration::from_millis(10);

const FIRST_WAIT: Duration = Duration::from_millis(500);

/// The time from the start of the collection to the stall, and the length of the stall.
const STALL_DELAY: Duration = Duration::from_millis(3);
const STALL_DURATION: Duration = Duration::from_millis(60);

/// Returns the answer of an upstream that holds `held_blocks` blocks of the prompt.
fn answer(target: usize, held_blocks: u64) -> ProbeResult {
    ProbeResult {
        target,
        view: ProbeView {
            upstream: format!("engine-{target}").into(),
            held_blocks,
            wait_ms: 0.0,
            prefill_us_per_token: 50.0,
            distance_ms: 0.0,
            is_ranked: true,
        },
        readiness: Readiness::Ready,
        weights: "w1".into(),
    }
}

/// Collects answers that arrive at the given times, blocking the runtime thread
/// meanwhile, and returns their targets.
async fn collect_during_stall(arrivals_ms: &[u64]) -> Vec<usize> {
    tokio::spawn(async {
        sleep(STALL_DELAY).await;
        thread::sleep(STALL_DURATION);
    });
    collect(arrivals_ms, Duration::ZERO).await
}

/// Collects answers that arrive at the given times, and returns their targets.
async fn collect(arrivals_ms: &[u64], first_wait: Duration) -> Vec<usize> {
    let began = Instant::now();
    let answers = arrivals_ms.iter().enumerate().map(|(target, arrival_ms)| async move {
        sleep_until(began + Duration::from_millis(*arrival_ms)).await;
        Some(answer(target, target as u64))
    });
    let answers: FuturesUnordered<_> = answers.map(Box::pin).collect();
    let scope = Scope {
        customer: "anna".into(),
        model: "m".into(),
        adapter: "".into(),
        weights: "w1".into(),
    };
    let chain = Chain::new(&scope.salt(), &"a long prompt ".repeat(300));
    let question = ProbeQuery {
        customer: &Name::from("anna"),
        priority: 0,
        prompt: "",
        chains: &HashMap::from([(Name::from("w1"), chain)]),
        scope: &scope,
        wait: WAIT,
        first_wait,
    };
    let collected = collect_answers(answers, &question).await;
    collected.into_iter().map(|answer| answer.target).collect()
}

#[tokio::test]
async fn an_answer_received_during_a_stall_does_not_end_the_wait_for_others() {
    assert_eq!(collect_during_stall(&[20, 72]).await, [0, 1]);
}

#[tokio::test]
async fn probes_sent_after_a_stall_are_given_the_full_wait() {
    assert_eq!(collect_during_stall(&[80, 82]).await, [0, 1]);
}

#[tokio::test]
async fn a_silent_upstream_is_waited_for_at_most_twice() {
    let began = Instant::now();
    assert_eq!(collect_during_stall(&[20, 5_000]).await, [0]);
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_first_answer_is_waited_for_while_all_are_late() {
    assert_eq!(collect(&[5_000, 200, 210], FIRST_WAIT).await, [1]);
}

#[tokio::test]
async fn silent_upstreams_are_not_waited_for_without_end() {
    let began = Instant::now();
    assert!(collect(&[5_000, 5_000], FIRST_WAIT).await.is_empty());
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}
