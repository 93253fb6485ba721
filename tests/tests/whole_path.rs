//! End-to-end requests through separate processes.

use bilberry_standins::expected_answer;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_comes_in_order_and_whole() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let answer = fleet.caller(0, "anna").complete("Is this mark good?", 32).await;
    assert_eq!(answer.text, expected_answer("Is this mark good?", "w1", 32));
    assert!(answer.done);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_prefix_is_found_cached() {
    let fleet = Fleet::start(FleetConfig::engines(3)).await;
    let style = "Our house style notes are long. ".repeat(200);
    let caller = fleet.caller(0, "anna");
    for question in 0..6 {
        let answer = caller.complete(&format!("{style} Question {question}?"), 4).await;
        assert!(answer.done);
    }
    let mut cached = 0;
    let mut prompt = 0;
    for at in 0..3 {
        cached += fleet.engine_counters(at).await.cached_tokens;
        prompt += fleet.engine_counters(at).await.prompt_tokens;
    }
    assert!(cached * 10 >= prompt * 8, "{cached} of {prompt} tokens were cached");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_reaches_its_service() {
    let fleet = Fleet::start(FleetConfig::services(1)).await;
    let caller = fleet.caller(0, "anna");
    let reply = caller.call_with_key("proof-7", "the proof").await.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.json()["key"], "proof-7");
    assert_eq!(fleet.runs_of("proof-7").await, 1);
}
