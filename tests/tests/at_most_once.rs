//! A non-idempotent call runs at most once, whatever fails and whoever repeats it.

use std::time::Duration;

use bilberry_node::Links;
use bilberry_node::Node;
use bilberry_standins::PlatformFaults;
use bilberry_standins::ServiceFaults;
use bilberry_tests::Caller;
use bilberry_tests::Fleet;
use bilberry_tests::Plan;
use bilberry_tests::Reply;
use bilberry_tests::eventually;
use bilberry_wire::Body;
use bilberry_wire::Dispatch;
use bilberry_wire::Kind;
use bilberry_wire::Member;

/// The key of most tests.
const KEY: &str = "schedule-42";

/// Starts two entries before two servers of one service, links proxied.
async fn fleet() -> Fleet {
    Fleet::start(Plan { entries: 2, proxied_sidecars: true, ..Plan::services(2) }).await
}

/// Returns what an answer says of the run.
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
    caller.call_once(KEY, "the schedule").await.expect("an answer")
}

/// Sends the call with a deadline.
async fn call_within(caller: &Caller, deadline_ms: u64) -> Result<Reply, String> {
    let deadline = deadline_ms.to_string();
    let headers = [("idempotency-key", KEY), ("x-deadline-ms", deadline.as_str())];
    caller.send("POST", "/services/s/run", &headers, "the schedule").await
}

async fn hold(fleet: &Fleet, faults: ServiceFaults) {
    for server in &fleet.upstreams {
        fleet.set_faults(server, &faults).await;
    }
}

/// Waits until some server has begun a call (its sidecar runs one).
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

/// Repeats the call behind an entry until it is answered.
async fn answered_in_the_end(fleet: &Fleet, entry: usize, what: &str) {
    eventually(what, || async {
        (call(&fleet.caller(entry, "anna")).await.status == 200).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_the_recorded_answer_behind_any_entry() {
    // The caller did not see its answer and asks again behind another entry. Two
    // entries share nothing but the claim, so only the claim can hold the second.
    let fleet = fleet().await;
    let first = call(&fleet.caller(0, "anna")).await;
    let again = call(&fleet.caller(1, "anna")).await;
    assert_eq!((first.status, again.status), (200, 200));
    assert_eq!(first.body, again.body);
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn of_many_that_repeat_a_key_at_once_one_runs() {
    // Forty callers send one key at the same moment behind two entries. Each
    // entry finds no claim at first; the conditional create lets one win.
    let fleet = fleet().await;
    hold(&fleet, ServiceFaults { hold_ms: 50, ..ServiceFaults::default() }).await;
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
    // Two customers choose the same key, and one uses its key for another body.
    // The first must not see each other's answers, the second is told (422).
    let fleet = fleet().await;
    let anna = fleet.caller(0, "anna");
    assert_eq!(call(&anna).await.status, 200);
    assert_eq!(call(&fleet.caller(0, "ben")).await.status, 200);
    let other = anna.call_once(KEY, "another schedule").await.expect("an answer");
    assert_eq!((other.status, code(&other).as_str()), (422, "key_reused"));
    assert_eq!(fleet.runs_of(KEY).await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_in_mid_call_leaves_its_key_closed() {
    // The caller loses its connection while the call runs and repeats the key
    // behind the other entry. The claim still says running; after its deadline
    // it says that nobody knows. It is never taken over.
    let mut fleet = fleet().await;
    hold(&fleet, ServiceFaults { hold_ms: 300, ..ServiceFaults::default() }).await;
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
    // The sidecar dies while its server works on the call. The entry can't tell
    // whether it ran, says so, and closes the key with that.
    let mut fleet = fleet().await;
    hold(&fleet, ServiceFaults { hold_ms: 300, ..ServiceFaults::default() }).await;
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
    // The platform writes the claim but its answer is lost, once for the claim
    // and once for the outcome. The writer reads back and knows its own token;
    // otherwise it would refuse its own caller, or leave the outcome unknown.
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
    // The platform is down when the call comes: it is refused as not run, which
    // is true. Once the platform is back the same key runs.
    let fleet = fleet().await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    let refused = call(&fleet.caller(0, "anna")).await;
    assert_eq!((refused.status, run_state(&refused).as_str()), (503, "not_run"));
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fleet.runs_of(KEY).await, 0);
    fleet.set_faults(&fleet.platform, &PlatformFaults::default()).await;
    answered_in_the_end(&fleet, 0, "the key runs").await;
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_lost_in_mid_call_gets_the_outcome_later() {
    // The platform goes down between the claim and the outcome. The caller gets
    // its answer all the same; the outcome is recorded once the platform is
    // back, and until then a repeated key is told that the call runs.
    let fleet = fleet().await;
    hold(&fleet, ServiceFaults { hold_ms: 200, ..ServiceFaults::default() }).await;
    let caller = fleet.caller(0, "anna");
    let running = tokio::spawn(async move { call(&caller).await });
    wait_running(&fleet).await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    assert_eq!(running.await.expect("the call ends").status, 200);
    fleet.set_faults(&fleet.platform, &PlatformFaults::default()).await;
    answered_in_the_end(&fleet, 1, "the outcome is recorded").await;
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_frozen_past_the_deadline_does_not_run_the_call() {
    // Both sidecars are frozen when the call is handed over. Its caller is told
    // at its deadline that it may have run. When they thaw, they find the call
    // in their sockets; the stored deadline keeps them from running it then.
    let fleet = fleet().await;
    for sidecar in &fleet.sidecars {
        sidecar.freeze();
    }
    let lost = call_within(&fleet.caller(0, "anna"), 400).await.expect("an answer");
    assert_ne!(run_state(&lost), "ran");
    tokio::time::sleep(Duration::from_millis(100)).await;
    for sidecar in &fleet.sidecars {
        sidecar.thaw();
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
    // The entry freezes after it handed the call over and thaws long after its
    // caller asked elsewhere. Its claim was not taken over meanwhile, so nothing
    // ran twice, and its late outcome is what a repeated key gets.
    let fleet = fleet().await;
    hold(&fleet, ServiceFaults { hold_ms: 200, ..ServiceFaults::default() }).await;
    let caller = fleet.caller(0, "anna");
    let frozen = tokio::spawn(async move { call(&caller).await });
    wait_running(&fleet).await;
    fleet.entries[0].freeze();
    eventually("the server has run the call", || async {
        (fleet.runs_of(KEY).await == 1).then_some(())
    })
    .await;
    let other = fleet.caller(1, "anna");
    assert_eq!(call(&other).await.status, 409);
    fleet.entries[0].thaw();
    assert_eq!(frozen.await.expect("the call ends").status, 200);
    assert_eq!(call(&other).await.status, 200);
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_breaks_off_after_the_run_closes_the_key() {
    // The server runs the call and its answer is cut. Nobody in between can know
    // that it ran, so the caller is told that it may have, and so is a repeat.
    let fleet = fleet().await;
    hold(&fleet, ServiceFaults { cut_after_run: true, ..ServiceFaults::default() }).await;
    let lost = call(&fleet.caller(0, "anna")).await;
    assert_eq!((lost.status, run_state(&lost).as_str()), (502, "may_have_run"));
    hold(&fleet, ServiceFaults::default()).await;
    assert_eq!(code(&call(&fleet.caller(1, "anna")).await), "outcome_unknown");
    assert_eq!(fleet.runs_of(KEY).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_refused_before_it_ran_frees_its_key() {
    // Both servers are gone: a connection that never opened proves that nothing
    // ran. The key must then be free, or the caller could never send its proof.
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
    // The caller sends no key, and the server breaks off after the run. Trying
    // another server would run the call twice, so nobody tries.
    let fleet = fleet().await;
    hold(&fleet, ServiceFaults { cut_after_run: true, ..ServiceFaults::default() }).await;
    let caller = fleet.caller(0, "anna");
    let lost = caller.send("POST", "/services/s/run", &[], "x").await.expect("an answer");
    assert_eq!((lost.status, run_state(&lost).as_str()), (502, "may_have_run"));
    assert_eq!(fleet.runs_of("/run").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dispatch_that_comes_twice_runs_once() {
    // A network element repeats the frame that hands a call over, on the same
    // connection and on another. Both bear one attempt's token, by which the
    // sidecar knows them; otherwise the call would run once for each.
    let fleet = fleet().await;
    let peer = fleet.sidecars[0].address("peers");
    let dispatch = Dispatch {
        attempt_token: 77,
        kind: Kind::Plain.into(),
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
        let links = Links::new(Node::new(Member::default(), false));
        for _ in 0..2 {
            let body = Body::Dispatch(dispatch.clone());
            calls.push(links.call(peer, body).await.expect("the sidecar is there"));
        }
    }
    eventually("the call has run", || async {
        (fleet.runs_of(KEY).await >= 1).then_some(())
    })
    .await;
    // Two later calls give the repeats the time to run, were they to.
    assert_eq!(call(&fleet.caller(0, "ben")).await.status, 200);
    assert_eq!(call(&fleet.caller(1, "ben")).await.status, 200);
    assert_eq!(fleet.runs_of(KEY).await, 2);
}
