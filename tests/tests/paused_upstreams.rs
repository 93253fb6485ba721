//! Answers outlast pauses of the only sidecar or engine that can complete them.

use std::time::Duration;

use bilberry_standins::EngineFaults;
use bilberry_standins::EngineTraits;
use bilberry_standins::ServiceFaults;
use bilberry_standins::expected_answer;
use bilberry_tests::Answer;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::eventually;
use tokio::time::Instant;
use tokio::time::sleep;

const PROMPT: &str = "Draw a mark for a tea house.";

const TOKENS: u32 = 60;

/// A pause longer than all attempts at a sidecar that doesn't respond.
const SIDECAR_PAUSE: Duration = Duration::from_secs(12);

/// The time in which an entry finds that a sidecar is silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// A pause of a sidecar that is late to answer whether it has room.
const SHORT_PAUSE: Duration = Duration::from_millis(200);

/// How many requests are sent meanwhile.
const LATE_REQUESTS: u32 = 6;

/// How long such a request may take: the pause, its 60 tokens of 10 ms, and no more than the
/// same again, as a silent host is not waited for.
const MAX_LATE_TIME: Duration = Duration::from_millis(1_600);

/// A pause longer than all attempts at an engine that doesn't respond.
const ENGINE_PAUSE: Duration = Duration::from_secs(20);

async fn fleet(engines: usize) -> Fleet {
    let engine = EngineTraits { token_us: 10_000, ..EngineTraits::default() };
    let engines = vec![engine; engines];
    Fleet::start(FleetConfig { engines, ..FleetConfig::default() }).await
}

/// Returns the index of the engine that is running a request.
async fn running_engine(fleet: &Fleet) -> usize {
    eventually("an engine runs the request", || async {
        for at in 0..fleet.plan.engines.len() {
            if fleet.engine_counters(at).await.running > 0 {
                return Some(at);
            }
        }
        None
    })
    .await
}

fn assert_complete(answer: &Answer) {
    assert_eq!(answer.error, None);
    assert_eq!(answer.text, expected_answer(PROMPT, "w1", TOKENS));
    assert!(answer.done, "the end mark is missing");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_outlasts_a_pause_of_the_only_sidecar() {
    let fleet = fleet(1).await;
    let mut stream = fleet.caller(0, "anna").start(PROMPT, TOKENS).await;
    stream.read_tokens(5).await;
    fleet.sidecars[0].suspend();
    sleep(SIDECAR_PAUSE).await;
    fleet.sidecars[0].resume();
    assert_complete(&stream.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_outlasts_a_pause_of_the_only_engine() {
    let fleet = fleet(1).await;
    let mut stream = fleet.caller(0, "anna").start(PROMPT, TOKENS).await;
    stream.read_tokens(5).await;
    fleet.upstreams[0].suspend();
    sleep(ENGINE_PAUSE).await;
    fleet.upstreams[0].resume();
    assert_complete(&stream.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_outlasts_a_pause_of_its_sidecar_while_the_other_engine_fails() {
    let fleet = fleet(2).await;
    let mut stream = fleet.caller(0, "anna").start(PROMPT, TOKENS).await;
    stream.read_tokens(5).await;
    let first = running_engine(&fleet).await;
    let faults = EngineFaults { fail_fast: true, ..EngineFaults::default() };
    fleet.set_faults(&fleet.upstreams[1 - first], &faults).await;
    fleet.sidecars[first].suspend();
    sleep(Duration::from_secs(4)).await;
    fleet.sidecars[first].resume();
    assert_complete(&stream.finish().await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_outlasts_a_pause_of_its_sidecar() {
    let fleet = Fleet::start(FleetConfig::services(1)).await;
    let faults = ServiceFaults { answer_after_ms: 500, ..ServiceFaults::default() };
    fleet.set_faults(&fleet.upstreams[0], &faults).await;
    let caller = fleet.caller(0, "anna");
    let calling = tokio::spawn(async move { caller.call_with_key("k", "order").await });
    eventually("the service runs the call", || async {
        (fleet.runs_of("k").await > 0).then_some(())
    })
    .await;
    fleet.sidecars[0].suspend();
    sleep(Duration::from_secs(4)).await;
    fleet.sidecars[0].resume();
    let reply = calling.await.expect("the caller panicked").expect("an answer");
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(fleet.runs_of("k").await, 1);
}

/// Guards against requests that wait at a host that stands still, with its sidecar and engine.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_sent_to_a_silent_sidecar() {
    let fleet = fleet(2).await;
    let first = fleet.caller(0, "anna").complete(PROMPT, TOKENS).await;
    assert_complete(&first);
    fleet.sidecars[0].suspend();
    fleet.upstreams[0].suspend();
    sleep(SILENCE_TIMEOUT).await;
    let began = Instant::now();
    for _ in 0..4 {
        assert_complete(&fleet.caller(0, "anna").complete(PROMPT, TOKENS).await);
    }
    assert!(began.elapsed() < SIDECAR_PAUSE, "{:?}", began.elapsed());
    fleet.upstreams[0].resume();
    fleet.sidecars[0].resume();
    let runs = fleet.engine_counters(0).await.runs + fleet.engine_counters(1).await.runs;
    assert_eq!(runs, 5, "a request was sent to both");
}

/// Guards against requests that wait at a silent host because the other sidecar is late.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_sent_to_a_silent_sidecar_while_the_other_is_late() {
    let fleet = fleet(2).await;
    assert_complete(&fleet.caller(0, "anna").complete(PROMPT, TOKENS).await);
    fleet.sidecars[0].suspend();
    fleet.upstreams[0].suspend();
    sleep(SILENCE_TIMEOUT).await;
    let began = Instant::now();
    for number in 0..LATE_REQUESTS {
        let caller = fleet.caller(0, "anna");
        let prompt = format!("Draw mark {number} for a tea house.");
        fleet.sidecars[1].suspend();
        let asking = tokio::spawn(async move { caller.complete(&prompt, TOKENS).await });
        sleep(SHORT_PAUSE).await;
        fleet.sidecars[1].resume();
        let answer = asking.await.expect("the caller panicked");
        assert!(answer.done && answer.error.is_none(), "{answer:?}");
    }
    let mean_time = began.elapsed() / LATE_REQUESTS;
    assert!(mean_time <= MAX_LATE_TIME, "{mean_time:?} a request");
    fleet.upstreams[0].resume();
    fleet.sidecars[0].resume();
    let runs = fleet.engine_counters(0).await.runs + fleet.engine_counters(1).await.runs;
    assert_eq!(runs, 1 + u64::from(LATE_REQUESTS), "a request was sent to both");
}
