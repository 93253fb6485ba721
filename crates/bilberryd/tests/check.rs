//! Validation of settings by `bilberryd`.

use std::process::Command;

use bilberry_config::Settings;

/// Valid settings.
const VALID_SETTINGS: &str = r#"
process = "entry-1"
host = "host-1"
role = "entry"
place = "tw-north/hall-a"

[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7001"
operations = "127.0.0.1:9001"

[platform]
address = "127.0.0.1:6000"
call_ms = 500
"#;

fn error_message(text: &str) -> String {
    Settings::parse("entry.toml", text)
        .expect_err("the settings should be invalid")
        .to_string()
}

#[test]
fn valid_settings_are_accepted() {
    Settings::parse("entry.toml", VALID_SETTINGS).expect("the settings should be valid");
}

#[test]
fn an_unknown_key_is_rejected_with_its_line() {
    let text = VALID_SETTINGS.replace("call_ms = 500", "cal_ms = 500");
    insta::assert_snapshot!(error_message(&text), @"entry.toml:14: unknown field `cal_ms`, expected one of `address`, `call_ms`, `watch_ms`; remove the key or correct its spelling");
}

#[test]
fn a_wrong_unit_is_rejected_with_the_correct_key() {
    let text = VALID_SETTINGS.replace("call_ms = 500", "call_s = 1");
    insta::assert_snapshot!(error_message(&text), @"entry.toml:14: unknown field `call_s`, expected one of `address`, `call_ms`, `watch_ms`; the unit is part of the name: use `call_ms`");
}

#[test]
fn a_value_with_a_unit_is_rejected() {
    let text = VALID_SETTINGS.replace("call_ms = 500", "call_ms = \"1s\"");
    insta::assert_snapshot!(error_message(&text), @r#"entry.toml:14: invalid type: string "1s", expected u64; write the value in the key's own type; units are in the key's name"#);
}

#[test]
fn duplicate_addresses_are_rejected_with_both_keys() {
    let text = VALID_SETTINGS.replace("127.0.0.1:7001", "127.0.0.1:8080");
    insta::assert_snapshot!(error_message(&text), @"entry.toml: key `listen.peers`: clashes with `listen.callers`: both are 127.0.0.1:8080; give each its own port");
}

#[test]
fn a_missing_key_is_rejected() {
    let text = VALID_SETTINGS.replace("callers = \"127.0.0.1:8080\"", "");
    insta::assert_snapshot!(error_message(&text), @"entry.toml: key `listen.callers`: is missing; give the address at which an entry takes requests");
}

#[test]
fn a_sidecar_without_an_upstream_is_rejected() {
    let text = VALID_SETTINGS
        .replace("callers = \"127.0.0.1:8080\"", "")
        .replace("role = \"entry\"", "role = \"sidecar\"");
    insta::assert_snapshot!(error_message(&text), @"entry.toml: key `upstream`: is missing; add a table with the `name` and `address` of the upstream");
}

#[test]
fn too_little_memory_or_descriptors_are_rejected() {
    let with =
        |limit: &str| error_message(&format!("{VALID_SETTINGS}[limits]\n{limit}\n"));
    insta::assert_snapshot!(with("memory_mb = 6.0"), @"entry.toml: key `limits.memory_mb`: is 6, which is too little; allow 8 or more");
    insta::assert_snapshot!(with("memory_mb = nan"), @"entry.toml: key `limits.memory_mb`: is NaN, which is too little; allow 8 or more");
    insta::assert_snapshot!(with("memory_mb = 40"), @"entry.toml: key `limits.body_bytes`: is 4194304, and the memory holds bodies of 2177260; lower it, or raise `limits.memory_mb`");
    insta::assert_snapshot!(with("descriptors = 40"), @"entry.toml: key `limits.descriptors`: is 40, which is too few; allow 64 or more");
}

#[test]
fn a_missing_file_exits_with_code_two() {
    let output = Command::new(env!("CARGO_BIN_EXE_bilberryd"))
        .args(["--settings", "nowhere.toml"])
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @"nowhere.toml: can't be read: No such file or directory (os error 2); give the path of an existing TOML file");
}
