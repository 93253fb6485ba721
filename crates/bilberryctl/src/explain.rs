//! One request's time line, joined from the logs of many hosts.

use std::path::PathBuf;

use serde::Serialize;

use crate::error::CtlError;
use crate::log_lines::LogLine;
use crate::log_lines::Logs;
use crate::losses::cause;
use crate::table::table;

/// How long before a request arrived lines about its servers still matter.
///
/// What an entry believes of a server is at most this old.
const BEFORE_MS: u64 = 2_000;

/// One moment of a request.
#[derive(Debug, Serialize)]
struct Moment {
    unix_ms: u64,
    process: String,
    what: String,
}

/// Reads log files and returns what happened to a request, and around it.
pub(crate) fn explain_logs(
    files: &[PathBuf],
    request: &str,
    json: bool,
) -> Result<String, CtlError> {
    let logs = Logs::read(files)?;
    let own: Vec<&LogLine> = logs
        .lines
        .iter()
        .filter(|line| line.is_outcome() && line.text("request") == request)
        .collect();
    if own.is_empty() {
        return Err(CtlError::NotLogged(request.to_string()));
    }
    let mut moments: Vec<Moment> =
        own.iter().flat_map(|line| own_moments(line)).collect();
    for line in &own {
        moments.extend(logs.lines.iter().filter_map(|other| around(line, other)));
    }
    moments.sort_by(|a, b| {
        (a.unix_ms, &a.process, &a.what).cmp(&(b.unix_ms, &b.process, &b.what))
    });
    moments.dedup_by(|a, b| (a.unix_ms, &a.what) == (b.unix_ms, &b.what));
    if json {
        let text = serde_json::to_string(&moments);
        return Ok(format!("{}\n", text.unwrap_or_default()));
    }
    let first_ms = moments.first().map_or(0, |moment| moment.unix_ms);
    let row = |moment: &Moment| {
        vec![
            format!("{:+.3}", (moment.unix_ms - first_ms) as f64 / 1_000.0),
            moment.process.clone(),
            moment.what.clone(),
        ]
    };
    let rows: Vec<_> = moments.iter().map(row).collect();
    Ok(table(&["SECONDS", "PROCESS", "WHAT"], &rows) + &logs.complaint())
}

/// Returns what a request's own line says, moment by moment.
fn own_moments(line: &LogLine) -> Vec<Moment> {
    let arrived_ms = line.unix_ms - line.number("total_ms").min(line.unix_ms);
    let moment = |after_ms: u64, what: String| Moment {
        unix_ms: arrived_ms + after_ms,
        process: line.process.clone(),
        what,
    };
    let mut moments = vec![moment(0, format!("arrives on route {}", line.text("route")))];
    let waited_ms = line.number("waited_ms");
    if waited_ms > 0 {
        let for_parts_ms = line.number("waited_for_parts_ms");
        let what = format!(
            "has waited {waited_ms} ms for a server, {for_parts_ms} ms of it for parts that others read"
        );
        moments.push(moment(waited_ms, what));
    }
    if !line.text("tried").is_empty() {
        let what = format!(
            "is sent {} times, to {}; {} of {} shared tokens supplied",
            line.number("sends"),
            line.text("tried"),
            line.number("supplied_tokens"),
            line.number("shared_tokens"),
        );
        moments.push(moment(waited_ms, what));
    }
    let first_byte_ms = line.number("first_byte_ms");
    if first_byte_ms > 0 {
        let target_ms = line.number("target_ms");
        let what = format!(
            "gets its first event, {first_byte_ms} ms after its arrival (target {target_ms})"
        );
        moments.push(moment(first_byte_ms, what));
    }
    let reason = cause(line).unwrap_or_else(|| "in time".to_string());
    let what = format!("ends: {} ({reason})", line.message);
    moments.push(moment(line.number("total_ms"), what));
    moments
}

/// Returns what another line says, if it is about the request's servers or its entry
/// at that time.
fn around(own: &LogLine, other: &LogLine) -> Option<Moment> {
    let arrived_ms = own.unix_ms.saturating_sub(own.number("total_ms"));
    let is_then =
        (arrived_ms.saturating_sub(BEFORE_MS)..=own.unix_ms).contains(&other.unix_ms);
    let upstream = other.text("upstream");
    let is_about = match other.target.as_str() {
        "request" => false,
        // A sidecar's lines don't name its engine; those on engines that went down or
        // came back are few, and one of them may be the request's.
        "engine" => true,
        "upstream" | "sidecar" => {
            own.text("tried").split(',').any(|tried| tried == upstream)
        }
        _ => other.process == own.process,
    };
    (is_then && is_about).then(|| Moment {
        unix_ms: other.unix_ms,
        process: other.process.clone(),
        what: format!("{} {} {}", other.target, upstream, other.message)
            .replace("  ", " "),
    })
}
