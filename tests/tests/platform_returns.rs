//! The platform is restored from an older snapshot of its objects.

use std::time::Duration;

use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::send;
use serde_json::Value;
use tokio::time::Instant;

/// Maximum time until an accepted change is in force in every process.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

async fn apply(fleet: &Fleet, comment: &str) -> u64 {
    let piece = format!("{}\n# {comment}\n", fleet.plan.config_file());
    fleet.apply(0, &[("10-tests.toml", &piece)]).await.expect("it is accepted")
}

async fn assert_in_force(fleet: &Fleet, revision: u64) {
    let since = Instant::now();
    for process in fleet.entries.iter().chain(&fleet.sidecars) {
        fleet.wait_revision(process, revision).await;
    }
    assert!(since.elapsed() < IN_FORCE_WITHIN, "took {:?}", since.elapsed());
}

/// Starts a fleet whose platform has lost the latest configuration; returns the
/// revision of the lost configuration.
async fn fleet_with_lost_configuration() -> (Fleet, u64) {
    let fleet =
        Fleet::start(FleetConfig { entries: 3, ..FleetConfig::services(2) }).await;
    apply(&fleet, "kept").await;
    fleet.snapshot_platform().await;
    let lost = apply(&fleet, "lost").await;
    assert_in_force(&fleet, lost).await;
    fleet.restore_platform().await;
    (fleet, lost)
}

/// Returns the value of a platform object, if it exists.
async fn stored(fleet: &Fleet, key: &str) -> Option<String> {
    let url = format!("http://{}/v1/objects/{key}", fleet.platform.address("address"));
    let reply =
        send("GET", &url, &[], String::new()).await.expect("the platform answers");
    let object = (reply.status == 200).then(|| reply.json());
    object.and_then(|object| Some(object["value"].as_str()?.to_string()))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_after_the_return_is_in_force_everywhere() {
    // The platform lost a configuration that every process has applied. The next change
    // was assigned the same revision as the lost one. Processes accept only higher
    // revisions, so the operator was told that it was in force while none applied it.
    let (fleet, lost) = fleet_with_lost_configuration().await;
    let revision = apply(&fleet, "new").await;
    assert!(revision > lost, "{revision} after {lost}");
    assert_in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn going_back_to_what_the_copy_has_is_a_change() {
    // The operator reverts the lost change. The platform already has the earlier
    // configuration, so the apply was reported as no change, although every process
    // still runs the lost one.
    let (fleet, lost) = fleet_with_lost_configuration().await;
    let revision = apply(&fleet, "kept").await;
    assert!(revision > lost, "{revision} after {lost}");
    assert_in_force(&fleet, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_piece_is_stored_when_it_is_applied_again() {
    // The operator applies the lost configuration again. Its piece is in force, so it
    // was assumed to be stored, and the head referenced a missing piece. Processes
    // that start then have no configuration.
    let (fleet, _) = fleet_with_lost_configuration().await;
    apply(&fleet, "lost").await;
    let head = stored(&fleet, "config/head").await.expect("a head is stored");
    let head: Value = serde_json::from_str(&head).expect("the head can be read");
    for piece in head["pieces"].as_array().expect("it names pieces") {
        let hash = piece["hash"].as_str().expect("a piece has a hash");
        let piece = stored(&fleet, &format!("config/pieces/{hash}")).await;
        assert!(piece.is_some(), "{hash} is not stored");
    }
}
