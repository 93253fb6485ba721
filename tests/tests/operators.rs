//! Operator interface: command-line tool, administration API, health and metrics.

use std::process::Command;

use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::eventually;
use bilberry_tests::get;
use insta::assert_snapshot;

/// Runs the command-line tool against the first entry.
fn ctl(fleet: &Fleet, arguments: &[&str]) -> (i32, String) {
    let tool = std::env::current_exe().expect("a test has a path");
    let tool = tool.ancestors().nth(2).expect("tests stand below").join("bilberryctl");
    let address = fleet.entries[0].address("administration").to_string();
    let output = Command::new(tool)
        .args(["--token", "operator", "--address", &address])
        .args(arguments)
        .output()
        .expect("the tool starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn the_time_line_is_in_causal_order_over_all_processes() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let caller = fleet.caller(0, "anna");
    let body = r#"{"model":"m","prompt":"Is this mark good?","max_tokens":2}"#;
    let headers = [("x-request-id", "my-request")];
    let reply = caller.send("POST", "/v1/completions", &headers, body).await;
    assert_eq!(reply.expect("an answer").header("x-request-id"), Some("my-request"));
    let (code, text) = ctl(&fleet, &["timeline", "--request", "my-request"]);
    assert_eq!(code, 0);
    let order: Vec<_> =
        text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(3)).collect();
    assert_snapshot!(order.join(" "), @"routed sent dispatched engine_started finished");
    let (_, text) = ctl(&fleet, &["explain", "my-request"]);
    assert_snapshot!(text, @r#"
        entry-0 chose e0 for 0 blocks, recompute weight 1.5
        UPSTREAM  RANKED  HELD_BLOCKS  WAIT_MS  PREFILL_US_PER_TOKEN  SCORE_MS
        e0        false   0            0.0      50.0                  0.0
        "#);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_goes_through_diff_apply_status_and_history() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let folder =
        std::env::temp_dir().join(format!("bilberry-ops-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("10-tests.toml");
    let piece = fleet.plan.config_file();
    std::fs::write(&path, &piece).expect("a file");
    let folder_text = folder.display().to_string();
    let at = ["--folder", folder_text.as_str()];

    let (_, text) = ctl(&fleet, &[&["config", "diff"], &at[..]].concat());
    assert_snapshot!(text, @r#"
        against revision 1
        FILE  CHANGE
        "#);
    std::fs::write(&path, piece.replace("weights = \"w1\"", "weights = \"w1\" # new"))
        .expect("a file");
    let (_, text) = ctl(&fleet, &[&["config", "diff"], &at[..]].concat());
    assert_snapshot!(text, @r#"
        against revision 1
        FILE           CHANGE
        10-tests.toml  changed
        "#);
    let (_, text) = ctl(&fleet, &[&["config", "apply"], &at[..]].concat());
    assert_snapshot!(text, @"revision 2 is accepted");
    fleet.wait_revision(&fleet.sidecars[0], 2).await;
    let (_, text) = ctl(&fleet, &["config", "status"]);
    assert_snapshot!(text, @r#"
        PROCESS     REVISION
        entry-0     2
        sidecar-e0  2
        "#);
    let (_, text) = ctl(&fleet, &["config", "history"]);
    let columns =
        |line: &str| line.split_whitespace().take(2).collect::<Vec<_>>().join(" ");
    let rows: Vec<_> = text.lines().map(columns).collect();
    assert_snapshot!(rows.join("\n"), @r"
        REVISION AUTHOR
        1 *
        2 *
        ");
    std::fs::remove_dir_all(&folder).expect("the folder goes");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_piece_that_defines_what_another_defines_is_refused_with_both_files() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let other = "owner = \"others\"\n[[pool]]\nname = \"engines\"\n";
    let refused =
        fleet.apply(0, &[("20-others.toml", other)]).await.expect_err("refused");
    let refused: serde_json::Value = serde_json::from_str(&refused).expect("JSON");
    assert_snapshot!(refused["error"]["message"], @r#""pool `engines` is defined in both 10-tests.toml and 20-others.toml; remove it from one of them""#);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_administration_api_wants_a_token() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let address = fleet.entries[0].address("administration");
    let reply = get(format!("http://{address}/v1/status"));
    let reply = reply.await.expect("an answer");
    assert_eq!(reply.status, 401);
    assert_snapshot!(reply.json()["error"], @r#"{"code":"invalid_token","message":"the token is missing or unknown; send `Authorization: Bearer TOKEN`","param":null,"run_state":"not_run","type":"authentication_error"}"#);
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_metrics_are_shown() {
    let mut fleet = Fleet::start(FleetConfig::default()).await;
    assert!(fleet.caller(0, "anna").complete("?", 2).await.done);
    let entry = &fleet.entries[0];
    assert_eq!(fleet.metric(entry, "bilberry_requests_total").await, Some(1.0));
    let operations = entry.address("operations");
    let live = get(format!("http://{operations}/livez"));
    assert_eq!(live.await.expect("an answer").status, 200);
    // A sidecar becomes unready after calls to its killed engine have failed.
    fleet.upstreams[0].kill();
    for _ in 0..3 {
        fleet.caller(0, "anna").complete("?", 2).await;
    }
    let operations = fleet.sidecars[0].address("operations");
    eventually("the sidecar is unready", || async {
        let reply = get(format!("http://{operations}/readyz")).await.ok()?;
        (reply.status == 503).then_some(())
    })
    .await;
}
