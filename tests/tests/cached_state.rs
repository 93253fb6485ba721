//! Requests never use prompt cache blocks of other customers or older weights.

use bilberry_standins::EngineFaults;
use bilberry_standins::EngineTraits;
use bilberry_standins::expected_answer;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::eventually;
use bilberry_tests::get;
use bilberry_tests::send;

/// Returns a prompt prefix of about 1,500 tokens.
fn long_prefix() -> String {
    "Our house style notes are long. ".repeat(190)
}

/// Orders an engine to load weights directly, bypassing its sidecar.
async fn load(fleet: &Fleet, engine: usize, weights: &str, fencing: u64) {
    let address = fleet.upstreams[engine].address("address");
    let body = format!("{{\"weights\":\"{weights}\",\"fencing\":{fencing}}}");
    let url = format!("http://{address}/v1/orders/load");
    send("POST", &url, &[], body).await.expect("the engine answers");
}

/// Returns the number of blocks in the cache of an engine.
async fn cached_blocks(fleet: &Fleet, engine: usize) -> usize {
    let address = fleet.upstreams[engine].address("address");
    let reply = get(format!("http://{address}/v1/cache/blocks")).await.expect("told");
    reply.json()["blocks"].as_array().map_or(0, Vec::len)
}

/// Waits until the index of a sidecar has as many blocks as the cache of its
/// engine.
async fn wait_index_synced(fleet: &Fleet, at: usize) -> usize {
    eventually("the index is in step with the engine", || async {
        let known = fleet.metric(&fleet.sidecars[at], "bilberry_cached_blocks").await?;
        let held = cached_blocks(fleet, at).await;
        (held as f64 == known).then_some(held)
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn two_customers_with_one_text_share_nothing() {
    // Two customers send the same long prompt. The second must not hit blocks of the
    // first, because the time to first token would reveal what the first one sent.
    // The engine tags blocks by user and counts violations.
    let fleet = Fleet::start(FleetConfig::default()).await;
    for _ in 0..2 {
        assert!(fleet.caller(0, "anna").complete(&long_prefix(), 2).await.done);
    }
    let before = fleet.engine_counters(0).await;
    assert!(before.cached_tokens > 0);
    assert!(fleet.caller(0, "ben").complete(&long_prefix(), 2).await.done);
    let after = fleet.engine_counters(0).await;
    assert_eq!(after.cached_tokens, before.cached_tokens);
    assert_eq!(after.violations, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_choose_a_salt_or_a_priority() {
    // Ben sends the cache salt of Anna's blocks and fields that raise his priority.
    // The entry removes such fields; otherwise the engine would serve him from her
    // blocks.
    let fleet = Fleet::start(FleetConfig::default()).await;
    let scope = bilberry_core::Scope {
        customer: "anna".into(),
        model: "m".into(),
        adapter: "".into(),
        weights: "w1".into(),
    };
    assert!(fleet.caller(0, "anna").complete(&long_prefix(), 2).await.done);
    let body = serde_json::json!({
        "model": "m", "prompt": long_prefix(), "max_tokens": 2, "user": "key-ben",
        "cache_salt": scope.salt(), "priority": 9, "resume_text": " x",
    });
    let caller = fleet.caller(0, "ben");
    let reply = caller.send("POST", "/v1/completions", &[], body.to_string()).await;
    assert_eq!(reply.expect("an answer").json()["usage"]["completion_tokens"], 2);
    assert_eq!(fleet.engine_counters(0).await.violations, 0);
    assert_eq!(fleet.engine_counters(0).await.cached_tokens, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_weights_in_mid_traffic_uses_no_older_blocks() {
    // The engine loads new weights under traffic and keeps its cache. Requests with
    // a salt for the older weights are restarted before any output is sent, so no
    // answer is computed from older blocks. The engine's own count is not used: it has
    // runs whose output the sidecar discards.
    let traits = EngineTraits { load_ms: 5, ..EngineTraits::default() };
    let fleet =
        Fleet::start(FleetConfig { engines: vec![traits; 2], ..FleetConfig::default() })
            .await;
    let callers: Vec<_> = (0..8)
        .map(|at| {
            let caller = fleet.caller(0, "anna");
            tokio::spawn(async move {
                for round in 0..25 {
                    let prompt = format!("{} {at} {round}", long_prefix());
                    let answer = caller.complete(&prompt, 2).await;
                    assert!(answer.done);
                    let of = |weights| expected_answer(&prompt, weights, 2);
                    let sound = ["w1", "w2", "w3", "w4"].map(of);
                    assert!(sound.contains(&answer.text), "older blocks: {answer:?}");
                }
            })
        })
        .collect();
    for (step, weights) in ["w2", "w3", "w4"].into_iter().enumerate() {
        eventually("some requests have run", || async {
            (fleet.engine_runs().await > 40 * (step as u64 + 1)).then_some(())
        })
        .await;
        for engine in 0..2 {
            load(&fleet, engine, weights, step as u64 + 1).await;
        }
    }
    for running in callers {
        running.await.expect("a caller ends");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_blocks_of_a_crashed_engine_count_for_nothing() {
    // The engine crashes and restarts with an empty cache between two requests. Its
    // sidecar detects the new incarnation and clears its index; otherwise requests
    // would be routed to an engine that recomputes the whole prompt.
    let fleet = Fleet::start(FleetConfig::default()).await;
    assert!(fleet.caller(0, "anna").complete(&long_prefix(), 2).await.done);
    assert!(wait_index_synced(&fleet, 0).await > 0);
    let address = fleet.upstreams[0].address("address");
    let url = format!("http://{address}/standin/crash");
    send("POST", &url, &[], "").await.expect("the engine crashes");
    assert_eq!(wait_index_synced(&fleet, 0).await, 0);
    assert!(fleet.caller(0, "anna").complete(&long_prefix(), 2).await.done);
    assert_eq!(fleet.engine_counters(0).await.cached_tokens, 0);
    assert!(wait_index_synced(&fleet, 0).await > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_in_mid_stream_is_survived_without_old_blocks() {
    // The engine crashes between probe and answer. The stream is interrupted and
    // resumed by the other engine, which has no cached blocks of this prompt.
    let traits = EngineTraits { token_us: 10_000, ..EngineTraits::default() };
    let fleet =
        Fleet::start(FleetConfig { engines: vec![traits; 2], ..FleetConfig::default() })
            .await;
    let mut stream = fleet.caller(0, "anna").start(&long_prefix(), 30).await;
    stream.read_tokens(3).await;
    for engine in 0..2 {
        if fleet.engine_counters(engine).await.running > 0 {
            let address = fleet.upstreams[engine].address("address");
            let url = format!("http://{address}/standin/crash");
            send("POST", &url, &[], "").await.expect("the engine crashes");
        }
    }
    let answer = stream.finish().await;
    assert!(answer.done);
    assert_eq!(answer.text, expected_answer(&long_prefix(), "w1", 30));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_cache_events_are_noticed_and_made_up_for() {
    // Every seventh event is lost. A gap in the sequence numbers marks the index as
    // uncertain, and the sidecar fetches it again. Otherwise lost evictions would
    // leave evicted blocks in the index for the lifetime of the engine.
    let traits = EngineTraits { cache_blocks: 40, ..EngineTraits::default() };
    let fleet =
        Fleet::start(FleetConfig { engines: vec![traits], ..FleetConfig::default() })
            .await;
    let faults = EngineFaults { lose_every: 7, ..EngineFaults::default() };
    fleet.set_faults(&fleet.upstreams[0], &faults).await;
    let caller = fleet.caller(0, "anna");
    for round in 0..6 {
        let prompt = format!("{round} {}", long_prefix());
        assert!(caller.complete(&prompt, 2).await.done);
    }
    // The last events can be lost without a later event that reveals the gap.
    fleet.set_faults(&fleet.upstreams[0], &EngineFaults::default()).await;
    assert!(caller.complete(&format!("last {}", long_prefix()), 2).await.done);
    assert_eq!(wait_index_synced(&fleet, 0).await, 40);
    let gaps = fleet.metric(&fleet.sidecars[0], "bilberry_cache_event_gaps").await;
    assert!(gaps > Some(0.0), "{gaps:?}");
}
