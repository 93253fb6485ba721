//! Non-idempotent calls run at most once, despite failures and retries.

use std::time::Duration;

use bilberry_node::Node;
use bilberry_node::PeerPool;
use bilberry_standins::PlatformFaults;
use bilberry_standins::ServiceFaults;
use bilberry_tests::Caller;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::Reply;
use bilberry_tests::eventually;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;
use bilberry_wire::Member;
use bilberry_wire::RequestKind;

/// Default idempotency key.
const KEY: &str = "schedule-42";

/// Starts two entries and two servers of one service, with fault proxies in front
/// of the sidecars.
async fn fleet() -> Fleet {
    Fleet::start(FleetConfig {
        entries: 2,
        proxied_sidecars: true,
        ..FleetConfig::services(2)
    })
    .await
}

/// Returns the run state that a response reports.
fn run_state(reply: &Reply) -> String {
    match reply.status {
        200 => "ran".to_string(),
        _ => reply.json()["error"]["run_state"].as_str().unwrap_or("?").to_string(),
    }
}

fn code(reply: &Reply) -> String {
    reply.json()["error"]["code"].as_str().unwrap_or("").to_string()
}

async fn call(caller: &Caller) -> Reply {
    caller.call_with_key(KEY, "the schedule").await.expect("an answer")
}

/// Sends the call with a deadline.
async fn call_within(caller: &Caller, deadline_ms: u64) -> Result<Reply, String> {
    let deadline = deadline_ms.to_string();
    let headers = [("idempotency-key", KEY), ("x-deadline-ms", deadline.as_str())];
    caller.send("POST", "/services/s/run", &headers, "the schedule").await
}

async fn set_server_faults(fleet: &Fleet, faults: ServiceFaults) {
    for server in &fleet.upstreams {
        fleet.set_faults(server, &faults).await;
    }
}

/// Waits until a sidecar reports a call in progress; returns its index.
async fn wait_running(fleet: &Fleet) -> usize {
    eventually("a server runs the call", || async {
        for (at, sidecar) in fleet.sidecars.iter().enumerate() {
            if fleet.metric(sidecar, "bilberry_in_progress").await > Some(0.0) {
                return Some(at);
            }
        }
        None
    })
    .await
}

/// Retries the call through an entry until it succeeds.
async fn retry_until_ok(fleet: &Fleet, entry: usize, what: &str) {
    eventually(what, || async {
        (call(&fleet.caller(entry, "anna")).await.status == 200).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_the_recorded_answer_behind_any_entry() {
    // The caller lost the response and retries through another entry. The entries
    // share only the claim, so only the claim can prevent a second run.
    let fleet = fleet().await;
    let first = call(&fleet.caller(0, "anna")).await;
    let again = call(&fleet.caller(1, "anna")).await;
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_many_that_repeat_a_key_at_once_one_runs() {
    // Forty callers send the same key concurrently through two entries. Neither
    // entry finds a claim at first; the conditional create admits one caller.
    let fleet = fleet().await;
    set_server_faults(&fleet, ServiceFaults { hold_ms: 50, ..ServiceFaults::default() })
        .await;
    let calls = (0..40).map(|at| {
        let caller = fleet.caller(at % 2, "anna");
        tokio::spawn(async move { call(&caller).await })
    });
    let mut statuses = Vec::new();
    for running in calls.collect::<Vec<_>>() {
        statuses.push(running.await.expect("a call ends").status);
    }
    assert!(statuses.iter().all(|status| [200, 409].contains(status)), "{statuses:?}");
    assert!(statuses.contains(&200));
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_its_customers_own_and_bound_to_its_request() {
    // Two customers choose the same key, and one reuses its key with another body.
    // Customers must not see each other's responses; reuse is rejected with 422.
    let fleet = fleet().await;
    let anna = fleet.caller(0, "anna");
    assert_eq!(call(&anna).await.status, 200);
    assert_eq!(call(&fleet.caller(0, "ben")).await.status, 200);
    let other = anna.call_with_key(KEY, "another schedule").await.expect("an answer");
    assert_eq!((other.status, code(&other).as_str()), (422, "key_reused"));
    assert_eq!(fleet.runs_of(KEY).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_in_mid_call_leaves_its_key_closed() {
    // The caller loses its connection during the call and retries the key through
    // the other entry. The claim is still in the running state, and its outcome is
    // unknown after its deadline. Another entry never takes the claim over.
    let mut fleet = fleet().await;
    set_server_faults(&fleet, ServiceFaults { hold_ms: 300, ..ServiceFaults::default() })
        .await;
    let caller = fleet.caller(0, "anna");
    let lost = tokio::spawn(async move { call_within(&caller, 1_500).await });
    wait_running(&fleet).await;
    fleet.entries[0].kill();
    assert!(lost.await.expect("the call ends").is_err());
    let other = fleet.caller(1, "anna");
    let again = call(&other).await;
    assert_eq!((again.status, run_state(&again).as_str()), (409, "may_have_run"));
    eventually("the claim's deadline passes", || async {
        (code(&call(&other).await) == "outcome_unknown").then_some(())
    })
    .await;
    assert!(fleet.runs_of(KEY).await <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_killed_in_mid_call_says_may_have_run() {
    // The sidecar is killed while its server processes the call. The entry cannot
    // know whether the call ran; it reports that and records it for the key.
    let mut fleet = fleet().await;
    set_server_faults(&fleet, ServiceFaults { hold_ms: 300, ..ServiceFaults::default() })
        .await;
    let caller = fleet.caller(0, "anna");
    let lost = tokio::spawn(async move { call(&caller).await });
    let at = wait_running(&fleet).await;
    fleet.sidecars[at].kill();
    let lost = lost.await.expect("the call ends");
    assert_eq!((lost.status, run_state(&lost).as_str()), (502, "may_have_run"));
    let again = call(&fleet.caller(1, "anna")).await;
    assert_eq!(code(&again), "outcome_unknown");
    assert!(fleet.runs_of(KEY).await <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_answer_was_lost_is_known_again() {
    // The platform performs the write but its response is lost, once for the claim
    // and once for the outcome. The entry reads the claim back and recognizes its
    // own token; otherwise it would reject its own caller or leave the outcome
    // unknown.
    let fleet = fleet().await;
    let lose = |lose_answers| PlatformFaults {
        lose_answers,
        lose_prefix: "claims/".to_string(),
        ..PlatformFaults::default()
    };
    fleet.set_faults(&fleet.platform, &lose(2)).await;
    assert_eq!(call(&fleet.caller(0, "anna")).await.status, 200);
    assert_eq!(call(&fleet.caller(1, "anna")).await.status, 200);
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_a_call_is_refused_and_the_key_stays_free() {
    // The platform is down when the call arrives, so the call is correctly rejected
    // as not run. The same key runs once the platform is available again.
    let fleet = fleet().await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    let refused = call(&fleet.caller(0, "anna")).await;
    assert_eq!((refused.status, run_state(&refused).as_str()), (503, "not_run"));
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fleet.runs_of(KEY).await, 0);
    fleet.set_faults(&fleet.platform, &PlatformFaults::default()).await;
    retry_until_ok(&fleet, 0, "the key runs").await;
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_lost_in_mid_call_gets_the_outcome_later() {
    // The platform fails between the claim and the outcome. The caller still gets
    // its response; the outcome is recorded once the platform is available again.
    // Until then a retry of the key is told that the call is running.
    let fleet = fleet().await;
    set_server_faults(&fleet, ServiceFaults { hold_ms: 200, ..ServiceFaults::default() })
        .await;
    let caller = fleet.caller(0, "anna");
    let running = tokio::spawn(async move { call(&caller).await });
    wait_running(&fleet).await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    assert_eq!(running.await.expect("the call ends").status, 200);
    fleet.set_faults(&fleet.platform, &PlatformFaults::default()).await;
    retry_until_ok(&fleet, 1, "the outcome is recorded").await;
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_frozen_past_the_deadline_does_not_run_the_call() {
    // Both sidecars are suspended when the call is dispatched. At the deadline the
    // caller is told that the call may have run. After resuming, the sidecars read
    // the dispatch from their sockets; its deadline prevents them from running it.
    let fleet = fleet().await;
    for sidecar in &fleet.sidecars {
        sidecar.suspend();
    }
    let lost = call_within(&fleet.caller(0, "anna"), 400).await.expect("an answer");
    assert_ne!(run_state(&lost), "ran");
    tokio::time::sleep(Duration::from_millis(100)).await;
    for sidecar in &fleet.sidecars {
        sidecar.resume();
    }
    for at in 0..2 {
        fleet.wait_ready(&fleet.sidecars[at]).await;
    }
    let again = call(&fleet.caller(1, "anna")).await;
    assert!(fleet.runs_of(KEY).await <= 1);
    if run_state(&lost) == "may_have_run" {
        assert_eq!(code(&again), "outcome_unknown");
        assert_eq!(fleet.runs_of(KEY).await, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_frozen_in_mid_call_does_not_run_it_again() {
    // The entry is suspended after the dispatch and resumes after the caller has
    // retried through another entry. The claim was not taken over, so the call
    // ran once, and a later retry of the key gets the late outcome.
    let fleet = fleet().await;
    set_server_faults(&fleet, ServiceFaults { hold_ms: 200, ..ServiceFaults::default() })
        .await;
    let caller = fleet.caller(0, "anna");
    let frozen = tokio::spawn(async move { call(&caller).await });
    wait_running(&fleet).await;
    fleet.entries[0].suspend();
    eventually("the server has run the call", || async {
        (fleet.runs_of(KEY).await == 1).then_some(())
    })
    .await;
    let other = fleet.caller(1, "anna");
    assert_eq!(call(&other).await.status, 409);
    fleet.entries[0].resume();
    assert_eq!(frozen.await.expect("the call ends").status, 200);
    assert_eq!(call(&other).await.status, 200);
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_breaks_off_after_the_run_closes_the_key() {
    // The server runs the call and closes the connection before responding. No
    // intermediary can know that it ran, so the caller is told that it may have
    // run, and so is a retry.
    let fleet = fleet().await;
    set_server_faults(
        &fleet,
        ServiceFaults { cut_after_run: true, ..ServiceFaults::default() },
    )
    .await;
    let lost = call(&fleet.caller(0, "anna")).await;
    assert_eq!((lost.status, run_state(&lost).as_str()), (502, "may_have_run"));
    set_server_faults(&fleet, ServiceFaults::default()).await;
    assert_eq!(code(&call(&fleet.caller(1, "anna")).await), "outcome_unknown");
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_refused_before_it_ran_frees_its_key() {
    // Both servers are down: a connection that was never established proves that
    // nothing ran. The key must be released, or the caller could never retry.
    let mut fleet = fleet().await;
    for server in &mut fleet.upstreams {
        server.kill();
    }
    let refused = call(&fleet.caller(0, "anna")).await;
    assert_eq!((refused.status, run_state(&refused).as_str()), (503, "not_run"));
    let again = call(&fleet.caller(1, "anna")).await;
    assert_eq!((again.status, run_state(&again).as_str()), (503, "not_run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_key_a_call_is_dispatched_once() {
    // The call has no key, and the server closes the connection after the run. A
    // retry on another server would run the call twice, so there is none.
    let fleet = fleet().await;
    set_server_faults(
        &fleet,
        ServiceFaults { cut_after_run: true, ..ServiceFaults::default() },
    )
    .await;
    let caller = fleet.caller(0, "anna");
    let lost = caller.send("POST", "/services/s/run", &[], "x").await.expect("an answer");
    assert_eq!((lost.status, run_state(&lost).as_str()), (502, "may_have_run"));
    assert_eq!(fleet.runs_of("/run").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dispatch_that_comes_twice_runs_once() {
    // The network duplicates the dispatch frame on the same connection and on
    // others. The sidecar deduplicates the copies by their attempt token; otherwise
    // the call would run once for each copy.
    let fleet = fleet().await;
    let peer = fleet.sidecars[0].address("peers");
    let dispatch = Dispatch {
        attempt_token: 77,
        kind: RequestKind::Plain.into(),
        customer: "anna".to_string(),
        weight: 1,
        deadline_unix_ms: u64::MAX,
        method: "POST".to_string(),
        path: "/run".to_string(),
        idempotency_key: KEY.to_string(),
        ..Dispatch::default()
    };
    let mut calls = Vec::new();
    for _ in 0..3 {
        let links = PeerPool::new(Node::new(Member::default(), false));
        for _ in 0..2 {
            let body = Body::Dispatch(dispatch.clone());
            calls.push(links.call(peer, body).await.expect("the sidecar is there"));
        }
    }
    eventually("the call has run", || async {
        (fleet.runs_of(KEY).await >= 1).then_some(())
    })
    .await;
    // Two later calls leave time for the duplicates to run, if they would.
    assert_eq!(call(&fleet.caller(0, "ben")).await.status, 200);
    assert_eq!(call(&fleet.caller(1, "ben")).await.status, 200);
    assert_eq!(fleet.runs_of(KEY).await, 2);
}
