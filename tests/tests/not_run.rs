//! Rejections that report `not_run` are correct, wherever the link is cut.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bilberry_standins::EngineTraits;
use bilberry_standins::ServiceFaults;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::Reply;
use bilberry_tests::eventually;

/// Number of bytes after which the link to the sidecar is cut.
const CUT_OFFSETS: [u64; 10] = [1, 40, 80, 120, 160, 200, 240, 280, 400, 100_000];

fn run_state(reply: &Reply) -> String {
    match reply.status {
        200 => "ran".to_string(),
        _ => reply.json()["error"]["run_state"].as_str().unwrap_or("?").to_string(),
    }
}

/// Checks the reported run state against the run counter of the server.
async fn check(fleet: &Fleet, key: &str, reply: &Reply, when: &str) {
    let runs = fleet.runs_of(key).await;
    match run_state(reply).as_str() {
        "not_run" => assert_eq!(runs, 0, "{when}: said not run"),
        "ran" => assert_eq!(runs, 1, "{when}: said ran"),
        _ => assert!(runs <= 1, "{when}: ran {runs} times"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_at_any_step_of_the_dispatch_is_told_truly() {
    // The link refuses connections, or closes after a number of bytes in either
    // direction: during the hello, probe, dispatch or answer. The caller may be told
    // `not_run` only if the server did not run the call.
    let plan = FleetConfig { proxied_sidecars: true, ..FleetConfig::services(1) };
    let mut fleet = Fleet::start(plan).await;
    let caller = fleet.caller(0, "anna");
    fleet.sidecar_proxies[0].disconnect().await;
    let reply = caller.call_with_key("refused", "proof").await.expect("an answer");
    check(&fleet, "refused", &reply, "refused").await;
    let mut run_states = vec![run_state(&reply)];
    for (at, bytes) in CUT_OFFSETS.iter().enumerate() {
        for towards in [true, false] {
            match towards {
                true => fleet.sidecar_proxies[0].cut_after_sent(*bytes).await,
                false => fleet.sidecar_proxies[0].cut_after_received(*bytes).await,
            }
            let what = format!("cut-{at}-{towards}");
            run_states.push(call_until_connected(&fleet, &what).await);
        }
    }
    // The cuts must cover the phases before, during and after the dispatch.
    for state in ["not_run", "may_have_run", "ran"] {
        assert!(
            run_states.iter().any(|word| word == state),
            "no cut led to {state}: {run_states:?}"
        );
    }
}

/// Sends calls until the entry has attempted to reconnect, and checks each reply.
async fn call_until_connected(fleet: &Fleet, what: &str) -> String {
    let tries = AtomicU32::new(0);
    eventually("the entry connects anew", || async {
        let key = format!("{what}-{}", tries.fetch_add(1, Ordering::Relaxed));
        let reply =
            fleet.caller(0, "anna").call_with_key(&key, "proof").await.expect("told");
        check(fleet, &key, &reply, &key).await;
        let is_refused = reply.json()["error"]["code"] == "upstream_unreachable";
        (!is_refused).then(|| run_state(&reply))
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dead_server_and_a_dead_sidecar_are_told_truly() {
    // First the server is killed, then its sidecar as well. A refused connection
    // proves that nothing was sent.
    let mut fleet = Fleet::start(FleetConfig::services(1)).await;
    let caller = fleet.caller(0, "anna");
    fleet.upstreams[0].kill();
    let reply = caller.call_with_key("dead-server", "proof").await.expect("an answer");
    assert_eq!(run_state(&reply), "not_run");
    fleet.sidecars[0].kill();
    let reply = caller.call_with_key("dead-sidecar", "proof").await.expect("an answer");
    assert_ne!(run_state(&reply), "ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_queue_refuses_what_did_not_run() {
    // The only slot and the only queue place are taken; further calls are rejected
    // immediately with `Retry-After`, and the server never receives them.
    let plan = FleetConfig { services: 1, ..FleetConfig::services(1) };
    let piece = |plan: &FleetConfig| {
        let text = plan.config_file();
        text.replace(
            "place = \"r/h\"",
            "place = \"r/h\"\nmax_running = 1\nqueue_limit = 1",
        )
    };
    let fleet = Fleet::start(plan).await;
    fleet.apply(0, &[("10-tests.toml", &piece(&fleet.plan))]).await.expect("applied");
    fleet.wait_revision(&fleet.sidecars[0], 2).await;
    let faults = ServiceFaults { hold_ms: 500, ..ServiceFaults::default() };
    fleet.set_faults(&fleet.upstreams[0], &faults).await;
    let calls: Vec<_> = (0..6)
        .map(|at| {
            let caller = fleet.caller(0, "anna");
            tokio::spawn(async move {
                caller.call_with_key(&format!("q-{at}"), "proof").await
            })
        })
        .collect();
    let mut refused = 0;
    for (at, running) in calls.into_iter().enumerate() {
        let reply = running.await.expect("a call ends").expect("an answer");
        check(&fleet, &format!("q-{at}"), &reply, "full queue").await;
        refused += usize::from(run_state(&reply) == "not_run");
        if run_state(&reply) == "not_run" {
            assert!(reply.header("retry-after").is_some());
        }
    }
    assert_eq!(refused, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_refused_for_its_deadline_did_not_run() {
    // The only slot of the engine is taken by a long request. A request with a short
    // deadline leaves the queue at its deadline, not later, and never reaches the
    // engine.
    let traits =
        EngineTraits { token_us: 100_000, max_running: 1, ..EngineTraits::default() };
    let fleet =
        Fleet::start(FleetConfig { engines: vec![traits], ..FleetConfig::default() })
            .await;
    let mut running = fleet.caller(0, "anna").start("a long answer", 30).await;
    running.read_tokens(1).await;
    let body = r#"{"model":"m","prompt":"short","max_tokens":1}"#;
    let caller = fleet.caller(0, "ben");
    let deadline = [("x-deadline-ms", "200")];
    let reply = caller.send("POST", "/v1/completions", &deadline, body).await;
    let reply = reply.expect("an answer");
    assert!(reply.status >= 500, "{}", reply.status);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(fleet.engine_counters(0).await.runs, 1);
}
