//! Tests of the tool's messages and exit codes.

use std::path::Path;
use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
        .args(arguments)
        .current_dir(root)
        .output()
        .expect("the tool starts")
}

#[test]
fn the_examples_are_valid() {
    for folder in ["examples/hsinchu", "examples/gezeitenstrom"] {
        let output = run(&["config", "check", "--folder", folder]);
        assert!(output.status.success(), "{folder}: {output:?}");
    }
}

#[test]
fn a_missing_folder_exits_with_code_one() {
    let output = run(&["config", "check", "--folder", "nowhere"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @"bilberryctl: nowhere: can't be read: No such file or directory (os error 2); give a folder that holds .toml files");
}

#[test]
fn an_unknown_action_exits_with_code_two() {
    let output = run(&["config", "undo"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @"bilberryctl: `config undo` is unknown; see --help");
}

#[test]
fn an_unreachable_entry_exits_with_code_three() {
    let output = run(&["--address", "127.0.0.1:1", "status"]);
    assert_eq!(output.status.code(), Some(3));
}
