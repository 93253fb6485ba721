//! The platform comes back from an older copy of its objects.

use std::time::Duration;

use bilberry_tests::Fleet;
use bilberry_tests::Plan;
use bilberry_tests::send;
use serde_json::Value;
use tokio::time::Instant;

/// Within which an accepted change must be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

async fn apply(fleet: &Fleet, mark: &str) -> u64 {
    let piece = format!("{}\n# {mark}\n", fleet.plan.piece());
    fleet.apply(0, &[("10-tests.toml", &piece)]).await.expect("it is accepted")
}

async fn assert_in_force(fleet: &Fleet, revision: u64) {
    let since = Instant::now();
    for process in fleet.entries.iter().chain(&fleet.sidecars) {
        fleet.wait_revision(process, revision).await;
    }
    assert!(since.elapsed() < IN_FORCE_WITHIN, "took {:?}", since.elapsed());
}

/// Starts a fleet whose platform has lost the last configuration; returns its revision.
async fn after_a_lost_configuration() -> (Fleet, u64) {
    let fleet = Fleet::start(Plan { entries: 3, ..Plan::services(2) }).await;
    apply(&fleet, "kept").await;
    fleet.copy_platform().await;
    let lost = apply(&fleet, "lost").await;
    assert_in_force(&fleet, lost).await;
    fleet.return_platform().await;
    (fleet, lost)
}

/// Reads an object of the platform.
async fn stored(fleet: &Fleet, key: &str) -> Option<String> {
    let url = format!("http://{}/v1/objects/{key}", fleet.platform.address("address"));
    let reply =
        send("GET", &url, &[], String::new()).await.expect("the platform answers");
    let object = (reply.status == 200).then(|| reply.json());
    object.and_then(|object| Some(object["value"].as_str()?.to_string()))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_the_return_is_in_force_everywhere() {
    // The operator is told that the change is in force, and nobody has it. The platform
    // lost a configuration that every process has. The next one was given the lost
    // one's revision again, and processes take only a higher one.
    let (fleet, lost) = after_a_lost_configuration().await;
    let revision = apply(&fleet, "new").await;
    assert!(revision > lost, "{revision} after {lost}");
    assert_in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn going_back_to_what_the_copy_has_is_a_change() {
    // The operator takes the lost change back, and is told that nothing changes. The
    // platform has the earlier configuration, but every process runs the lost one.
    let (fleet, lost) = after_a_lost_configuration().await;
    let revision = apply(&fleet, "kept").await;
    assert!(revision > lost, "{revision} after {lost}");
    assert_in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_piece_is_stored_when_it_is_applied_again() {
    // Processes that start have no configuration. The operator applies the lost one
    // again; its piece is in force, so it was taken for stored, and the head names a
    // piece that nobody can read.
    let (fleet, _) = after_a_lost_configuration().await;
    apply(&fleet, "lost").await;
    let head = stored(&fleet, "config/head").await.expect("a head is stored");
    let head: Value = serde_json::from_str(&head).expect("the head can be read");
    for piece in head["pieces"].as_array().expect("it names pieces") {
        let hash = piece["hash"].as_str().expect("a piece has a hash");
        let piece = stored(&fleet, &format!("config/pieces/{hash}")).await;
        assert!(piece.is_some(), "{hash} is not stored");
    }
}
