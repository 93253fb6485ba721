//! Tests of the commands that read log files of several hosts.

use std::path::Path;
use std::process::Command;

/// Runs the tool in the directory of test logs and returns its output.
fn run(arguments: &[&str]) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/logs");
    let output = Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
        .args(arguments)
        .current_dir(folder)
        .output()
        .expect("the tool starts");
    String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
}

#[test]
fn a_request_is_followed_through_the_logs_of_many_hosts() {
    // The request's stream was interrupted: the outcome is in one entry's log, the
    // engine failure in the log of another host. One line is truncated.
    let files = ["explain", "--logs", "entry-1.log", "entry-2.log", "side-1.log"];
    insta::assert_snapshot!(run(&[&files[..], &["a1"]].concat()));
}

#[test]
fn late_failed_and_refused_requests_are_grouped_by_cause() {
    // Requests are late for several causes, such as waiting for capacity or for an
    // engine that reads a shared part. Requests served in time must not appear.
    insta::assert_snapshot!(run(&["losses", "--logs", "entry-1.log", "entry-2.log"]));
}

#[test]
fn requests_rejected_or_delayed_by_admission_are_grouped() {
    // The engines and times in the details differ from request to request.
    insta::assert_snapshot!(run(&["losses", "--logs", "entry-3.log"]));
}

#[test]
fn the_timeline_names_the_admissions_of_a_request() {
    insta::assert_snapshot!(run(&["explain", "--logs", "entry-3.log", "d3"]));
}

#[test]
fn requests_of_slow_and_stalled_engines_are_grouped_by_cause() {
    // A request that was waited for and still in time must not appear.
    insta::assert_snapshot!(run(&["losses", "--logs", "entry-4.log"]), @"
    FROM_S  REQUESTS  ROUTE   CAUSE                                   SERVER  SUCH AS
    0       1         checks  late, sent again: lost: engine stalled  e1      s2
    0       1         checks  late, slow at its server, waited on     e1      s1
    2       1         checks  broken: lost: run idle at its engine    e1      s4
    ");
}

#[test]
fn a_request_is_followed_from_a_stalled_engine_to_another() {
    // Lines about streams of other requests must not appear.
    let files = ["explain", "--logs", "entry-4.log", "side-2.log"];
    insta::assert_snapshot!(run(&[&files[..], &["s2"]].concat()), @"
    SECONDS  PROCESS  WHAT
    +0.000   entry-4  arrives on route checks
    +0.000   entry-4  is sent 2 times, to e2,e1; 0 of 0 shared tokens supplied
    +0.990   side-2   engine runs make no progress
    +1.000   entry-4  stream e2 silent run is lost
    +1.500   entry-4  gets its first event, 1500 ms after its arrival (target 400)
    +2.600   entry-4  ends: served (late, sent again: lost: engine stalled)
    ");
}

#[test]
fn programs_get_json() {
    let text = run(&["--json", "losses", "--logs", "entry-2.log", "--window", "10"]);
    insta::assert_snapshot!(text);
}

#[test]
fn the_times_predicted_at_placement_are_shown_if_there_are_any() {
    insta::assert_snapshot!(run(&["explain", "--logs", "entry-5.log", "d1"]), @"
    SECONDS  PROCESS  WHAT
    +0.000   entry-5  arrives on route checks
    +0.030   entry-5  has waited 30 ms for a server, 0 ms of it for parts that others read
    +0.030   entry-5  is predicted to get its first event 180 ms after its arrival (target 400), with pauses of up to 44 ms
    +0.030   entry-5  is sent 1 times, to e1; 9000 of 9000 shared tokens supplied
    +0.210   entry-5  gets its first event, 210 ms after its arrival (target 400)
    +0.700   entry-5  ends: served (in time)
    ");
    assert!(!run(&["explain", "--logs", "entry-5.log", "d2"]).contains("predicted"));
}

#[test]
fn a_request_missing_from_the_logs_is_reported() {
    insta::assert_snapshot!(run(&["explain", "--logs", "entry-1.log", "b9"]), @"bilberryctl: no line names the request b9; give the logs of all entries, and the id that the caller sent");
}

#[test]
fn a_missing_log_file_is_reported() {
    insta::assert_snapshot!(run(&["losses", "--logs", "none.log"]), @"bilberryctl: none.log: can't be read: No such file or directory (os error 2); name log files that exist");
}

#[test]
fn the_timeline_names_the_software_of_a_stream_that_is_taken_up() {
    let timeline = run(&["explain", "--logs", "entry-7.log", "t2"]);
    let takeup = "takes up the stream that t1 began after event 7; its software: recorded after 3 ms";
    assert!(timeline.contains(takeup), "{timeline}");
    assert!(timeline.contains("to e1 (software v1.1)"), "{timeline}");
}

#[test]
fn refused_takeups_are_one_group_whatever_their_times() {
    let losses = run(&["losses", "--logs", "entry-7.log"]);
    let group = losses.lines().find(|line| line.contains("stream_unknown"));
    assert!(group.is_some_and(|group| group.contains("t4 t6")), "{losses}");
}
