//! Clients that send more than a process can hold, or that never end what they begin.
//!
//! One test at a time, as the crowds need descriptors and memory themselves.

use std::time::Duration;

use bilberry_standins::ServiceFaults;
use bilberry_tests::ChildProcess;
use bilberry_tests::Crowd;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::ResourceWatch;
use bilberry_tests::eventually;
use bilberry_tests::get;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// The memory of each process, in MB of 10^6 bytes, as the settings name it.
const MEMORY_MB: u64 = 96;

/// The descriptors of each process, as the settings name them.
const MAX_DESCRIPTORS: usize = 500;

/// The largest body, as the settings name it.
const MAX_BODY_BYTES: usize = 1_048_576;

/// The largest head, as the settings name it.
const MAX_HEAD_BYTES: usize = 16_384;

/// The time without a byte after which an answer is not waited for.
const SILENCE: Duration = Duration::from_secs(30);

/// Held by the running test.
static SERIES: Mutex<()> = Mutex::const_new(());

/// Starts an entry, an engine and a server of the service, with small limits.
async fn small_fleet() -> Fleet {
    let limits = format!(
        "memory_mb = {MEMORY_MB}\ndescriptors = {MAX_DESCRIPTORS}\n\
         body_bytes = {MAX_BODY_BYTES}\nheader_bytes = {MAX_HEAD_BYTES}\n\
         header_ms = 30000\nbody_ms = 30000\nstop_ms = 3000\n"
    );
    let plan = FleetConfig { services: 1, limits, ..FleetConfig::default() };
    Fleet::start(plan).await
}

fn head(framing: &str) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nHost: api.example\r\nConnection: close\r\n\
         Authorization: Bearer key-anna\r\n{framing}\r\n\r\n"
    )
}

fn head_with_length(length: usize) -> String {
    head(&format!("Content-Length: {length}"))
}

fn assert_bounded(process: &mut ChildProcess, watch: &ResourceWatch) {
    let peak = watch.peak();
    eprintln!("{} bytes, {} descriptors", peak.memory_bytes, peak.descriptors);
    assert!(!process.has_ended(), "the process has ended");
    assert!(
        peak.memory_bytes < MEMORY_MB * 1_000_000,
        "{} bytes of memory of {MEMORY_MB} MB",
        peak.memory_bytes
    );
    assert!(peak.descriptors < MAX_DESCRIPTORS, "{} descriptors", peak.descriptors);
}

/// Waits until an ordinary request is answered; it is sent again while it is refused.
async fn assert_serves(fleet: &Fleet) {
    let caller = fleet.caller(0, "ben");
    eventually("an ordinary request is answered", async || {
        let answer = caller.complete("a short prompt", 3).await;
        (answer.status == 200 && answer.done).then_some(())
    })
    .await;
}

/// Checks the entry while the crowd is connected, and that it serves.
async fn check_entry(fleet: &mut Fleet, watch: ResourceWatch, crowd: Vec<Crowd>) {
    assert_serves(fleet).await;
    assert_bounded(&mut fleet.entries[0], &watch);
    drop(crowd);
    assert_serves(fleet).await;
    assert_bounded(&mut fleet.entries[0], &watch);
}

/// Guards against heads and empty lines that fill an entry.
#[tokio::test(flavor = "multi_thread")]
async fn heads_and_empty_lines_without_end_fit_into_memory() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let address = fleet.entries[0].address("callers");
    let mut crowds = Vec::new();
    for bytes in [
        b"GET / HTTP/1.1\r\nX-Filler: ".repeat(1_000).as_slice(),
        b"\r\n".repeat(60_000).as_slice(),
    ] {
        let mut kept = Crowd::connect(address, 200).await;
        kept.send(&bytes[..MAX_HEAD_BYTES - 1]).await;
        let mut endless = Crowd::connect(address, 100).await;
        endless.send_repeatedly(bytes, 5).await;
        crowds.extend([kept, endless]);
    }
    check_entry(&mut fleet, watch, crowds).await;
}

/// Guards against an entry that holds all bodies of legal size that arrive at once.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_one_byte_short_fit_into_memory() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let mut crowd = Crowd::connect(fleet.entries[0].address("callers"), 160).await;
    let body = "x".repeat(MAX_BODY_BYTES - 1);
    crowd.send((head_with_length(MAX_BODY_BYTES) + &body).as_bytes()).await;
    check_entry(&mut fleet, watch, vec![crowd]).await;
}

/// Guards against pieces of bodies that keep the buffers into which they were read.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_pieces_fit_into_memory() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let mut crowd = Crowd::connect(fleet.entries[0].address("callers"), 30).await;
    crowd.send(head_with_length(1_000 * 50 + 1).as_bytes()).await;
    crowd.send_in_pieces(&[b'x'; 50], 1_000).await;
    check_entry(&mut fleet, watch, vec![crowd]).await;
}

/// Guards against bodies without a declared length that never end.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_one_piece_short_fit_into_memory() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let mut crowd = Crowd::connect(fleet.entries[0].address("callers"), 160).await;
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(65_536));
    let chunks = chunk.repeat(MAX_BODY_BYTES / 65_536);
    crowd.send((head("Transfer-Encoding: chunked") + &chunks).as_bytes()).await;
    check_entry(&mut fleet, watch, vec![crowd]).await;
}

/// Guards against chunks that cost much more than their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn very_small_chunks_fit_into_memory() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let address = fleet.entries[0].address("callers");
    let mut alone = Crowd::connect(address, 30).await;
    alone.send(head("Transfer-Encoding: chunked").as_bytes()).await;
    alone.send_in_pieces(b"1\r\nx\r\n", 1_000).await;
    let mut together = Crowd::connect(address, 20).await;
    let chunks = "1\r\nx\r\n".repeat(20_000);
    together.send((head("Transfer-Encoding: chunked") + &chunks).as_bytes()).await;
    check_entry(&mut fleet, watch, vec![alone, together]).await;
}

/// Guards against whole bodies that are all held at once.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_at_once_fit_into_memory() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let address = fleet.entries[0].address("callers");
    let prompt = "x".repeat(MAX_BODY_BYTES - 1_000);
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": 2}).to_string();
    let text = head_with_length(body.len()) + &body;
    let mut sending = JoinSet::new();
    for _ in 0..60 {
        let text = text.clone();
        sending.spawn(async move {
            let mut one = Crowd::connect(address, 1).await;
            one.send(text.as_bytes()).await;
            one.read(SILENCE).await.concat()
        });
    }
    for answer in sending.join_all().await {
        let lower = answer.to_ascii_lowercase();
        match answer.get(9..12) {
            Some("200") => {}
            Some("503" | "429") => {
                assert!(lower.contains("\"run_state\":\"not_run\""), "{answer}");
                assert!(lower.contains("\r\nretry-after: "), "{answer}");
            }
            _ => panic!("neither served nor refused: {answer:?}"),
        }
    }
    check_entry(&mut fleet, watch, Vec::new()).await;
}

/// Guards against answers that pile up for callers that do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_nobody_reads_fit_into_the_memory_of_an_entry() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let large = ServiceFaults { padding_bytes: 3_000_000, ..ServiceFaults::default() };
    fleet.set_faults(&fleet.upstreams[1], &large).await;
    let watch = fleet.entries[0].watch_resources();
    let mut crowd = Crowd::connect(fleet.entries[0].address("callers"), 60).await;
    let call = "GET /services/s/large HTTP/1.1\r\nHost: api.example\r\n\
                Authorization: Bearer key-anna\r\n\r\n";
    crowd.send(call.as_bytes()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    check_entry(&mut fleet, watch, vec![crowd]).await;
    let small = ServiceFaults::default();
    fleet.set_faults(&fleet.upstreams[1], &small).await;
    let caller = fleet.caller(0, "ben");
    eventually("a call to the service is answered", async || {
        let reply = caller.send("GET", "/services/s/small", &[], "").await;
        reply.is_ok_and(|reply| reply.status == 200).then_some(())
    })
    .await;
}

/// Guards against silent clients that take all descriptors, at each listener.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_leave_descriptors_for_others() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let mut crowds = Vec::new();
    for (listener, count) in
        [("callers", 900), ("peers", 300), ("operations", 100), ("administration", 100)]
    {
        crowds.push(Crowd::connect(fleet.entries[0].address(listener), count).await);
    }
    let operations = fleet.entries[0].address("operations");
    let ready = get(format!("http://{operations}/readyz")).await;
    assert_eq!(ready.expect("the readiness check is answered").status, 200);
    let status = fleet.admin(0, "GET", "/v1/status", "").await;
    assert_eq!(status.expect("the administration API answers").status, 200);
    check_entry(&mut fleet, watch, crowds).await;
}

/// Guards against frames that a process reads before it knows who sends them.
#[tokio::test(flavor = "multi_thread")]
async fn frames_one_byte_short_fit_into_memory() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let entry = fleet.entries[0].watch_resources();
    let sidecar = fleet.sidecars[0].watch_resources();
    let length = 4 * MAX_BODY_BYTES;
    let mut frame = length.to_be_bytes()[5..].to_vec();
    frame.resize(frame.len() + length - 1, 0);
    let mut crowds = Vec::new();
    for process in [&fleet.entries[0], &fleet.sidecars[0]] {
        let mut crowd = Crowd::connect(process.address("peers"), 60).await;
        crowd.send(&frame).await;
        crowds.push(crowd);
    }
    assert_serves(&fleet).await;
    assert_bounded(&mut fleet.sidecars[0], &sidecar);
    check_entry(&mut fleet, entry, crowds).await;
    assert_bounded(&mut fleet.sidecars[0], &sidecar);
}

/// Guards against a stop that waits for clients which never end their requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_ends_beside_unfinished_requests() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let address = fleet.entries[0].address("callers");
    let mut bodies = Crowd::connect(address, 60).await;
    let body = "x".repeat(MAX_BODY_BYTES - 1);
    bodies.send((head_with_length(MAX_BODY_BYTES) + &body).as_bytes()).await;
    let mut heads = Crowd::connect(address, 60).await;
    heads.send(b"GET / HTTP/1.1\r\nX-Filler: ").await;
    fleet.entries[0].terminate();
    fleet.entries[0].wait_exit().await;
}

/// Guards against limits that a client within the settings' limits meets.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_request_at_each_limit_is_served() {
    let _alone = SERIES.lock().await;
    let mut fleet = small_fleet().await;
    let watch = fleet.entries[0].watch_resources();
    let address = fleet.entries[0].address("callers");
    let body_of = |length: usize| {
        let body = json!({"model": "m", "prompt": "", "max_tokens": 2}).to_string();
        let prompt = "x".repeat(length - body.len());
        json!({"model": "m", "prompt": prompt, "max_tokens": 2}).to_string()
    };
    let mut requests = Vec::new();
    let largest = head_with_length(MAX_BODY_BYTES) + &body_of(MAX_BODY_BYTES);
    requests.push(("a body of the limit", vec![largest]));
    let chunks: String =
        body_of(20_000).chars().map(|it| format!("1\r\n{it}\r\n")).collect();
    let chunked = head("Transfer-Encoding: chunked") + &chunks + "0\r\n\r\n";
    requests.push(("chunks of one byte", vec![chunked]));
    let small = body_of(80);
    let framing = format!("Content-Length: {}\r\nX-Filler: ", small.len());
    let filler = "x".repeat(MAX_HEAD_BYTES - 1 - head(&framing).len());
    requests.push(("a head of the limit", vec![head(&(framing + &filler)) + &small]));
    let slow = head_with_length(small.len()) + &small;
    requests.push(("a slow sender", slow.chars().map(String::from).collect()));
    for (what, pieces) in requests {
        let mut one = Crowd::connect(address, 1).await;
        for piece in pieces {
            one.send(piece.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let answer = one.read(SILENCE).await.concat();
        assert_eq!(answer.get(9..12), Some("200"), "{what}: {answer}");
    }
    check_entry(&mut fleet, watch, Vec::new()).await;
}
