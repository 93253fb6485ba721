//! From log files of many hosts to causes.

use std::path::Path;
use std::process::Command;

/// Runs the tool on the logs beside this file and returns what it prints.
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
    // A caller complains of a stream that broke off. One entry has its line; another
    // host's line says that the engine went down, and a line is torn.
    let files = ["explain", "--logs", "entry-1.log", "entry-2.log", "side-1.log"];
    insta::assert_snapshot!(run(&[&files[..], &["a1"]].concat()));
}

#[test]
fn late_failed_and_refused_requests_are_grouped_by_cause() {
    // Callers of one route wait for room, of another for an engine that reads; what
    // was served in time is in no group.
    insta::assert_snapshot!(run(&["losses", "--logs", "entry-1.log", "entry-2.log"]));
}

#[test]
fn programs_get_json() {
    let text = run(&["--json", "losses", "--logs", "entry-2.log", "--window", "10"]);
    insta::assert_snapshot!(text);
}

#[test]
fn a_request_that_no_line_names_is_said_so() {
    insta::assert_snapshot!(run(&["explain", "--logs", "entry-1.log", "b9"]), @"bilberryctl: no line names the request b9; give the logs of all entries, and the id that the caller sent");
}

#[test]
fn a_file_that_is_not_there_is_named() {
    insta::assert_snapshot!(run(&["losses", "--logs", "none.log"]), @"bilberryctl: none.log: can't be read: No such file or directory (os error 2); name log files that exist");
}
