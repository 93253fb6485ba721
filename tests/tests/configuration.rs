//! Accepted configurations reach every process within seconds and persist.

use std::time::Duration;

use bilberry_standins::PlatformFaults;
use bilberry_tests::ChildProcess;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::eventually;
use serde_json::Value;
use tokio::time::Instant;

/// Maximum time until an accepted change is in force in every process.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Returns the fleet configuration with a comment that makes it unique.
fn piece(fleet: &Fleet, comment: &str) -> String {
    format!("{}\n# {comment}\n", fleet.plan.config_file())
}

async fn apply(fleet: &Fleet, entry: usize, comment: &str) -> Result<u64, String> {
    fleet.apply(entry, &[("10-tests.toml", &piece(fleet, comment))]).await
}

async fn revision(fleet: &Fleet, process: &ChildProcess) -> u64 {
    fleet.metric(process, "bilberry_config_revision").await.unwrap_or(0.0) as u64
}

async fn assert_in_force(fleet: &Fleet, revision: u64, since: Instant) {
    for process in fleet.entries.iter().chain(&fleet.sidecars) {
        fleet.wait_revision(process, revision).await;
    }
    assert!(since.elapsed() < IN_FORCE_WITHIN, "took {:?}", since.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn of_operators_that_race_one_wins_and_the_others_are_told() {
    // Ten operators apply concurrently through two entries. The head is moved by a
    // conditional update, so each revision has one author; the others receive the
    // winner's revision and retry.
    let fleet = Fleet::start(FleetConfig { entries: 2, ..FleetConfig::default() }).await;
    let applies = (0..10).map(|at| async move { (at, at % 2) });
    let mut running = Vec::new();
    for apply_of in applies {
        let (at, entry) = apply_of.await;
        let address = fleet.entries[entry].address("administration");
        let text = piece(&fleet, &format!("operator {at}"));
        running.push(tokio::spawn(async move {
            let files = serde_json::json!([{ "file": "10-tests.toml", "text": text }]);
            let body = serde_json::json!({ "files": files }).to_string();
            let headers = [("authorization", "Bearer operator")];
            let url = format!("http://{address}/v1/config/apply");
            bilberry_tests::send("POST", &url, &headers, body).await.expect("an answer")
        }));
    }
    let mut revisions = Vec::new();
    let mut conflicts = 0;
    for reply in running {
        let reply = reply.await.expect("an apply ends");
        let body: Value = reply.json();
        match reply.status {
            200 => revisions.push(body["revision"].as_u64().expect("a revision")),
            409 => {
                let message = body["error"]["message"].as_str().unwrap_or_default();
                assert!(message.starts_with("revision "), "{message}");
                conflicts += 1;
            }
            other => panic!("status {other}: {body}"),
        }
    }
    let won = revisions.len();
    revisions.sort_unstable();
    revisions.dedup();
    assert_eq!((revisions.len(), won + conflicts), (won, 10));
    let last = *revisions.last().expect("one operator wins");
    assert_eq!(last, 1 + won as u64, "revisions have no holes");
    assert_in_force(&fleet, last, Instant::now()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_answer_was_lost_is_applied_once() {
    // The platform moves the head, but its response is lost. The entry reads the head
    // back, finds its own token and reports success. If it reported a conflict, the
    // operator would apply the same change again.
    let fleet = Fleet::start(FleetConfig::default()).await;
    let faults = PlatformFaults {
        lose_answers: 1,
        lose_prefix: "config/head".to_string(),
        ..PlatformFaults::default()
    };
    fleet.set_faults(&fleet.platform, &faults).await;
    assert_eq!(apply(&fleet, 0, "lost").await, Ok(2));
    assert_eq!(apply(&fleet, 0, "lost").await, Ok(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_accepted_just_before_an_outage_reaches_everyone() {
    // The platform fails right after it accepted the change. One entry has the
    // change; the other processes fetch it from their peers.
    let fleet = Fleet::start(FleetConfig { entries: 3, ..FleetConfig::engines(3) }).await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    let accepted = apply(&fleet, 0, "before the outage").await;
    fleet.set_faults(&fleet.platform, &down).await;
    assert_eq!(accepted, Ok(2));
    assert_in_force(&fleet, 2, Instant::now()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_frozen_during_a_change_catches_up_and_never_goes_back() {
    // An entry is suspended, two changes are accepted, and the platform fails. The
    // entry resumes with stale watches and responses in its sockets. It must reach
    // the last change and never report a lower revision than before.
    let fleet = Fleet::start(FleetConfig { entries: 2, ..FleetConfig::engines(2) }).await;
    fleet.entries[1].suspend();
    assert_eq!(apply(&fleet, 0, "one").await, Ok(2));
    assert_eq!(apply(&fleet, 0, "two").await, Ok(3));
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    fleet.entries[1].resume();
    let thawed = Instant::now();
    let mut highest = 0;
    while highest < 3 {
        let seen = revision(&fleet, &fleet.entries[1]).await;
        assert!(seen >= highest, "went back from {highest} to {seen}");
        highest = seen;
        assert!(thawed.elapsed() < IN_FORCE_WITHIN, "still at {highest}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_during_an_outage_starts_from_peers() {
    // An entry is replaced while the platform is down. It starts without state,
    // fetches the current revision from its peers and serves callers immediately.
    let mut fleet =
        Fleet::start(FleetConfig { entries: 2, ..FleetConfig::engines(2) }).await;
    assert_eq!(apply(&fleet, 0, "two").await, Ok(2));
    assert_in_force(&fleet, 2, Instant::now()).await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    fleet.restart_entry(1).await;
    assert_eq!(revision(&fleet, &fleet.entries[1]).await, 2);
    assert!(fleet.caller(1, "anna").complete("?", 4).await.done);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_during_an_outage_changes_nothing_and_says_so() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    let refused = apply(&fleet, 0, "outage").await.expect_err("refused");
    assert!(refused.contains("nothing was changed"), "{refused}");
    fleet.set_faults(&fleet.platform, &PlatformFaults::default()).await;
    let applied = eventually("the platform is back", || async {
        apply(&fleet, 0, "after").await.ok()
    })
    .await;
    assert_eq!(applied, 2);
}
