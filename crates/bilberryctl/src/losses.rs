//! Groups late, failed and refused requests by cause.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::Serialize;

use crate::error::CtlError;
use crate::log_lines::LogLine;
use crate::log_lines::Logs;
use crate::table::table;

/// The beginning of the detail that tells how the version of a stream was found.
pub(crate) const TAKEUP_DETAIL: &str = "take-up: ";

/// The maximum number of example requests per group.
const MAX_EXAMPLES: usize = 2;

/// The maximum number of groups in a table.
const MAX_ROWS: usize = 40;

/// The detail of a request whose slow run the entry waited for.
const SLOW: &str = "slow, waited on";

/// Requests of one time window with the same route, cause and server.
#[derive(Debug, Serialize)]
struct Group {
    /// The start of the window, in seconds after the first log line.
    from_s: u64,
    route: String,
    cause: String,
    server: String,
    requests: u64,
    examples: Vec<String>,
}

/// Reads log files and groups the late, failed and refused requests.
pub(crate) fn group_losses(
    files: &[PathBuf],
    window_s: u64,
    json: bool,
) -> Result<String, CtlError> {
    let logs = Logs::read(files)?;
    let groups = groups(&logs.lines, window_s.max(1));
    if json {
        let text = serde_json::to_string(&groups);
        return Ok(format!("{}\n", text.unwrap_or_default()));
    }
    let row = |group: &Group| {
        vec![
            group.from_s.to_string(),
            group.requests.to_string(),
            group.route.clone(),
            group.cause.clone(),
            group.server.clone(),
            group.examples.join(" "),
        ]
    };
    let rows: Vec<_> = groups.iter().take(MAX_ROWS).map(row).collect();
    let head = ["FROM_S", "REQUESTS", "ROUTE", "CAUSE", "SERVER", "SUCH AS"];
    let mut text = table(&head, &rows);
    if groups.len() > MAX_ROWS {
        text.push_str(&format!(
            "{} more groups; --json has all\n",
            groups.len() - MAX_ROWS
        ));
    }
    Ok(text + &logs.unreadable_summary())
}

/// Groups late, failed and refused requests; the largest group comes first.
fn groups(lines: &[LogLine], window_s: u64) -> Vec<Group> {
    let first_ms = lines.first().map_or(0, |line| line.unix_ms);
    let mut groups: BTreeMap<(u64, String, String, String), Group> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.is_outcome()) {
        let Some(cause) = cause(line) else { continue };
        let from_s = (line.unix_ms - first_ms) / 1_000 / window_s * window_s;
        let route = line.text("route").to_string();
        let server =
            line.text("tried").rsplit(',').next().unwrap_or_default().to_string();
        let key = (from_s, route.clone(), cause.clone(), server.clone());
        let new_group =
            || Group { from_s, route, cause, server, requests: 0, examples: Vec::new() };
        let group = groups.entry(key).or_insert_with(new_group);
        group.requests += 1;
        if group.examples.len() < MAX_EXAMPLES {
            group.examples.push(line.text("request").to_string());
        }
    }
    let mut groups: Vec<Group> = groups.into_values().collect();
    groups.sort_by_key(|group| std::cmp::Reverse(group.requests));
    groups
}

/// Returns the cause of a late, failed or refused request; `None` if it was served
/// in time.
pub(crate) fn cause(line: &LogLine) -> Option<String> {
    let details = line.text("detail").split("; ");
    let details: Vec<&str> =
        details.filter(|detail| !detail.starts_with(TAKEUP_DETAIL)).collect();
    let detail = details.join("; ");
    let detail = detail.as_str();
    let why = match detail {
        "" => String::new(),
        detail => format!(": {detail}"),
    };
    // Without the times and engines that differ from request to request.
    if line.message == "no_room" && detail.contains("admission: rejected by ") {
        return Some("no_room, rejected by admission".to_string());
    }
    if line.message == "no_room" && line.number("admission_wait_ms") > 0 {
        return Some("no_room, waited for admission".to_string());
    }
    if line.message != "served" {
        let left = match line.number("left_runs") {
            0 => "",
            _ => ", left its run",
        };
        return Some(format!("{}{left}{why}", line.message));
    }
    let first_byte_ms = line.number("first_byte_ms");
    let target_ms = line.number("target_ms");
    if target_ms == 0 || first_byte_ms <= target_ms {
        return None;
    }
    let waited_ms = line.number("waited_ms");
    let for_parts_ms = line.number("waited_for_parts_ms");
    let for_admission_ms = line.number("admission_wait_ms");
    let read_tokens =
        line.number("shared_tokens").saturating_sub(line.number("supplied_tokens"));
    let late = match () {
        _ if line.number("sends") > 1 => format!("sent again{why}"),
        _ if detail == SLOW => "slow at its server, waited on".to_string(),
        _ if waited_ms * 2 >= first_byte_ms && for_parts_ms * 2 >= waited_ms => {
            "waited for parts that others read".to_string()
        }
        _ if for_admission_ms * 2 >= first_byte_ms => "waited for admission".to_string(),
        _ if waited_ms * 2 >= first_byte_ms => "waited for room".to_string(),
        _ if read_tokens > 0 => "its server read a shared part".to_string(),
        _ => "slow at its server".to_string(),
    };
    Some(format!("late, {late}"))
}
