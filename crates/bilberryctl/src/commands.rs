//! The implementation of the commands.

use std::path::PathBuf;

use bilberry_config::Folder;
use bilberry_config::compile;
use serde_json::Value;
use serde_json::json;

use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::arguments::ConfigArguments;
use crate::client::Client;
use crate::error::CtlError;
use crate::explain::explain_logs;
use crate::losses::group_losses;
use crate::table::table;

/// Runs the command and returns its output.
pub(crate) async fn run(arguments: &Arguments) -> Result<String, CtlError> {
    let client = Client::new(arguments);
    let Some(command) = &arguments.command else {
        return Err(CtlError::Usage("no command was given".to_string()));
    };
    let (value, render): (Value, fn(&Value) -> String) = match command {
        Command::Config(config) => return run_config(&client, config, arguments).await,
        Command::Status(_) => (client.get("/v1/status").await?, status_table),
        Command::Drain(drain) => {
            let path = format!("/v1/upstreams/{}/drain", drain.upstream);
            (client.post(&path, &json!({})).await?, format_drained)
        }
        Command::Timeline(timeline) => {
            let path = match &timeline.request {
                Some(request) => format!("/v1/timeline/{request}"),
                None => "/v1/timeline".to_string(),
            };
            (client.get(&path).await?, timeline_table)
        }
        Command::Explain(explain) => {
            let Some((request, files)) = explain.words.split_last() else {
                return Err(CtlError::Usage("explain needs a request".to_string()));
            };
            if explain.logs {
                let files: Vec<PathBuf> = files.iter().map(PathBuf::from).collect();
                return explain_logs(&files, request, arguments.json);
            }
            let path = format!("/v1/explain/{request}");
            (client.get(&path).await?, format_decisions)
        }
        Command::Losses(losses) => {
            if !losses.logs || losses.files.is_empty() {
                let message = "losses needs --logs and the files".to_string();
                return Err(CtlError::Usage(message));
            }
            return group_losses(&losses.files, losses.window, arguments.json);
        }
    };
    Ok(format_output(arguments, &value, render))
}

async fn run_config(
    client: &Client,
    config: &ConfigArguments,
    arguments: &Arguments,
) -> Result<String, CtlError> {
    let (value, render): (Value, fn(&Value) -> String) = match config.action.as_str() {
        "hash-key" => {
            let key = config.key.as_deref();
            let key = key.ok_or(CtlError::Usage("hash-key needs the key".to_string()))?;
            return Ok(format!("{}\n", bilberry_config::hash_text(key)));
        }
        "check" => {
            let folder = read_folder(&config.folder)?;
            compile(0, &folder.files)?;
            let count = folder.files.len();
            return Ok(format!("{count} files are good by themselves\n"));
        }
        "diff" => {
            let folder = folder_json(&config.folder)?;
            (client.post("/v1/config/diff", &folder).await?, changes_table)
        }
        "apply" => {
            let folder = folder_json(&config.folder)?;
            (client.post("/v1/config/apply", &folder).await?, format_applied)
        }
        "status" => (client.get("/v1/status").await?, revisions_table),
        "history" => (client.get("/v1/config/history").await?, history_table),
        other => {
            let message = format!("`config {other}` is unknown");
            return Err(CtlError::Usage(message));
        }
    };
    Ok(format_output(arguments, &value, render))
}

fn format_output(
    arguments: &Arguments,
    value: &Value,
    render: fn(&Value) -> String,
) -> String {
    match arguments.json {
        true => format!("{value}\n"),
        false => render(value),
    }
}

fn read_folder(folder: &Option<PathBuf>) -> Result<Folder, CtlError> {
    let path = folder.as_ref();
    let path = path.ok_or(CtlError::Usage("--folder is missing".to_string()))?;
    Ok(Folder::read(path)?)
}

fn folder_json(folder: &Option<PathBuf>) -> Result<Value, CtlError> {
    let folder = read_folder(folder)?;
    serde_json::to_value(folder).map_err(|error| CtlError::Usage(error.to_string()))
}

fn status_table(value: &Value) -> String {
    let columns = [
        ("PROCESS", "process"),
        ("ROLE", "role"),
        ("UPSTREAM", "upstream"),
        ("ANSWERS", "answers"),
        ("LEAVING", "leaving"),
        ("REVISION", "revision"),
        ("RUNNING", "in_progress"),
        ("QUEUED", "queued"),
        ("BLOCKS", "cached_blocks"),
        ("WEIGHTS", "weights"),
        ("PLATFORM", "platform_ok"),
    ];
    columns_table(value, &columns)
}

fn revisions_table(value: &Value) -> String {
    let columns = [("PROCESS", "process"), ("REVISION", "revision")];
    columns_table(value, &columns)
}

fn timeline_table(value: &Value) -> String {
    let columns = [
        ("UNIX_MS", "unix_ms"),
        ("PROCESS", "process"),
        ("REQUEST", "request"),
        ("WHAT", "what"),
        ("DETAIL", "detail"),
    ];
    columns_table(value, &columns)
}

fn history_table(value: &Value) -> String {
    let columns = [("REVISION", "revision"), ("AUTHOR", "author"), ("UNIX_MS", "at")];
    columns_table(value, &columns)
}

fn changes_table(value: &Value) -> String {
    let revision = &value["revision"];
    let columns = [("FILE", "file"), ("CHANGE", "what")];
    let changes = columns_table(&value["changes"], &columns);
    format!("against revision {revision}\n{changes}")
}

fn format_applied(value: &Value) -> String {
    let revision = &value["revision"];
    match value["changes"].as_array().is_some_and(|changes| !changes.is_empty()) {
        true => format!("revision {revision} is accepted\n"),
        false => format!("nothing changes; revision {revision} stays\n"),
    }
}

fn format_drained(value: &Value) -> String {
    let upstream = cell(&value["upstream"]);
    format!("{upstream} takes no new work; {} in progress\n", value["in_progress"])
}

/// Formats each routing decision on a request as a table of the candidates.
fn format_decisions(value: &Value) -> String {
    let events = value.as_array().map_or(&[][..], Vec::as_slice);
    let routed = events.iter().filter(|event| event["what"] == "routed");
    let mut text = String::new();
    for event in routed {
        let detail = event["detail"].as_str().unwrap_or_default();
        let detail: Value = serde_json::from_str(detail).unwrap_or_default();
        let columns = [
            ("UPSTREAM", "upstream"),
            ("RANKED", "is_ranked"),
            ("HELD_BLOCKS", "held_blocks"),
            ("WAIT_MS", "wait_ms"),
            ("PREFILL_US_PER_TOKEN", "prefill_us_per_token"),
            ("SCORE_MS", "score_ms"),
        ];
        text.push_str(&format!(
            "{} chose {} for {} blocks, recompute weight {}\n{}{}{}",
            cell(&event["process"]),
            cell(&detail["chosen"]),
            detail["prompt_blocks"],
            detail["recompute_weight"],
            columns_table(&detail["answers"], &columns),
            format_names("take no new work", &detail["unready"]),
            format_names("did not answer in time", &detail["silent"]),
        ));
    }
    match text.is_empty() {
        true => "no decision on this request is remembered\n".to_string(),
        false => text,
    }
}

/// Returns a line that lists upstreams; empty if there are none.
fn format_names(what: &str, names: &Value) -> String {
    let names: Vec<_> = names.as_array().into_iter().flatten().map(cell).collect();
    match names.is_empty() {
        true => String::new(),
        false => format!("{what}: {}\n", names.join(", ")),
    }
}

fn columns_table(value: &Value, columns: &[(&str, &str)]) -> String {
    let rows: Vec<Vec<String>> = value
        .as_array()
        .map_or(&[][..], Vec::as_slice)
        .iter()
        .map(|row| columns.iter().map(|(_, field)| cell(&row[*field])).collect())
        .collect();
    let head: Vec<_> = columns.iter().map(|(title, _)| *title).collect();
    table(&head, &rows)
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) if text.is_empty() => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.1}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
