//! Draining upstreams get no new requests, and graceful shutdown interrupts none.

use std::time::Duration;

use bilberry_standins::EngineTraits;
use bilberry_standins::expected_answer;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::Streaming;
use bilberry_tests::eventually;
use tokio::time::Instant;

/// Maximum time until a leaving upstream receives no new requests.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Starts two entries and three engines that generate a token every 5 ms.
async fn fleet(plan: FleetConfig) -> Fleet {
    let traits = EngineTraits { token_us: 5_000, ..EngineTraits::default() };
    Fleet::start(FleetConfig { entries: 2, engines: vec![traits; 3], ..plan }).await
}

/// Sends one request through each entry and asserts that each answer is complete.
async fn ask_once(fleet: &Fleet, what: &str) {
    for entry in 0..2 {
        let prompt = format!("{what} {entry}");
        let answer = fleet.caller(entry, "anna").complete(&prompt, 3).await;
        assert_eq!(answer.text, expected_answer(&prompt, "w1", 3), "{answer:?}");
    }
}

/// Sends requests until a sidecar reports that it is leaving, and asserts that
/// this took less than [`MAX_DRAIN_DELAY`] since `since`.
async fn ask_until_leaving(fleet: &Fleet, at: usize, since: Instant) {
    let name = format!("sidecar-e{at}");
    eventually("the sidecar leaves", || async {
        ask_once(fleet, "until leaving").await;
        let status = fleet.status(0).await;
        let found = status.iter().find(|s| s["process"] == name.as_str())?;
        (found["leaving"] == true).then_some(())
    })
    .await;
    assert!(since.elapsed() < MAX_DRAIN_DELAY, "took {:?}", since.elapsed());
}

/// Sends requests and asserts that an engine receives none of them.
async fn assert_no_new_work(fleet: &Fleet, at: usize) {
    let before = fleet.engine_counters(at).await.runs;
    for round in 0..20 {
        ask_once(fleet, &format!("after {round}")).await;
    }
    assert_eq!(fleet.engine_counters(at).await.runs, before);
}

/// Starts `count` streams, rotating over the first `entries` entries, and reads the
/// first token of each.
async fn start_streams(
    fleet: &Fleet,
    count: usize,
    entries: usize,
) -> Vec<(String, Streaming)> {
    let mut streams = Vec::new();
    for at in 0..count {
        let prompt = format!("stop {at}");
        let mut stream = fleet.caller(at % entries, "anna").start(&prompt, 60).await;
        stream.read_tokens(1).await;
        streams.push((prompt, stream));
    }
    streams
}

async fn assert_all_complete(streams: Vec<(String, Streaming)>) {
    for (prompt, stream) in streams {
        let answer = stream.finish().await;
        assert_eq!(answer.text, expected_answer(&prompt, "w1", 60));
        assert!(answer.done);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_upstream_gets_no_new_work_and_ends_what_it_has() {
    // An operator drains an engine that is generating an answer. The engine finishes
    // that answer, and new requests are routed elsewhere.
    let fleet = fleet(FleetConfig::default()).await;
    let mut stream = fleet.caller(0, "anna").start("a long answer", 100).await;
    stream.read_tokens(3).await;
    let mut at = 0;
    while fleet.engine_counters(at).await.running == 0 {
        at += 1;
    }
    let path = format!("/v1/upstreams/e{at}/drain");
    let reply = fleet.admin(0, "POST", &path, "").await.expect("an answer");
    assert_eq!(reply.json()["in_progress"], 1);
    assert_no_new_work(&fleet, at).await;
    let answer = stream.finish().await;
    assert_eq!(answer.text, expected_answer("a long answer", "w1", 100));
    assert_eq!(fleet.engine_counters(at).await.cancelled, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_leaves_by_a_lagging_list_gets_no_new_work() {
    // The platform's list reports a leaving host with a delay of half a second. The
    // sidecar on it reads the list itself and rejects requests, even if entries are
    // not up to date.
    let fleet = fleet(FleetConfig::default()).await;
    let since = Instant::now();
    fleet.set_hosts(&[("host-e1", "leaving")], 500).await;
    ask_until_leaving(&fleet, 1, since).await;
    assert_no_new_work(&fleet, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_holds_while_links_are_cut() {
    // The links to the drained sidecar fail right after the drain, so entries have
    // stale state. Once the links are restored, the sidecar itself rejects requests
    // from entries with stale state.
    let mut fleet =
        fleet(FleetConfig { proxied_sidecars: true, ..FleetConfig::default() }).await;
    ask_once(&fleet, "before").await;
    let reply = fleet.admin(0, "POST", "/v1/upstreams/e2/drain", "").await;
    assert_eq!(reply.expect("an answer").status, 200);
    let before = fleet.engine_counters(2).await.runs;
    fleet.sidecar_proxies[2].disconnect().await;
    ask_once(&fleet, "while cut").await;
    fleet.sidecar_proxies[2].restore().await;
    assert_no_new_work(&fleet, 2).await;
    assert_eq!(fleet.engine_counters(2).await.runs, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_an_entry_cuts_no_request() {
    // The entry receives `SIGTERM` in mid-stream. It finishes its requests, accepts no
    // new ones, and exits successfully.
    let mut fleet = fleet(FleetConfig::default()).await;
    let streams = start_streams(&fleet, 10, 1).await;
    fleet.entries[0].terminate();
    assert_all_complete(streams).await;
    assert_eq!(fleet.entries[0].wait_exit().await.code(), Some(0));
    let answer = fleet.caller(1, "anna").complete("elsewhere", 2).await;
    assert!(answer.done);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_a_sidecar_cuts_no_request() {
    // The sidecar receives `SIGTERM` while it serves streams. They finish on the same
    // upstream instead of resuming elsewhere: no engine run is cancelled.
    let mut fleet = fleet(FleetConfig::default()).await;
    let streams = start_streams(&fleet, 12, 2).await;
    for at in 0..2 {
        fleet.sidecars[at].terminate();
    }
    ask_once(&fleet, "during the stop").await;
    assert_all_complete(streams).await;
    for at in 0..2 {
        assert_eq!(fleet.sidecars[at].wait_exit().await.code(), Some(0));
        assert_eq!(fleet.engine_counters(at).await.cancelled, 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_is_bounded_by_the_settings() {
    // A stream would run for minutes, but the settings limit shutdown to 300 ms. The
    // entry then interrupts the stream and reports that by its exit code.
    let limits = "stop_ms = 300".to_string();
    let mut fleet = fleet(FleetConfig { limits, ..FleetConfig::default() }).await;
    let mut stream = fleet.caller(0, "anna").start("a very long answer", 30_000).await;
    stream.read_tokens(1).await;
    let asked = Instant::now();
    fleet.entries[0].terminate();
    assert_eq!(fleet.entries[0].wait_exit().await.code(), Some(4));
    assert!(asked.elapsed() < Duration::from_secs(3), "took {:?}", asked.elapsed());
    let answer = stream.finish().await;
    assert!(!answer.done);
}
