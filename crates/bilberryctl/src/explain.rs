//! The timeline of a request, assembled from the logs of several hosts.

use std::path::PathBuf;

use serde::Serialize;

use crate::error::CtlError;
use crate::log_lines::LogLine;
use crate::log_lines::Logs;
use crate::losses::TAKEUP_DETAIL;
use crate::losses::cause;
use crate::table::table;

/// The time before a request's arrival from which lines about its servers are
/// included.
///
/// An entry's information about a server is at most this old.
const BEFORE_MS: u64 = 2_000;

/// An event of the timeline.
#[derive(Debug, Serialize)]
struct TimelineEvent {
    unix_ms: u64,
    process: String,
    what: String,
}

/// Reads log files and returns the timeline of a request and related events.
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
    let mut events: Vec<TimelineEvent> =
        own.iter().flat_map(|line| outcome_events(line)).collect();
    for line in &own {
        events.extend(logs.lines.iter().filter_map(|other| related_event(line, other)));
    }
    events.sort_by(|a, b| {
        (a.unix_ms, &a.process, &a.what).cmp(&(b.unix_ms, &b.process, &b.what))
    });
    events.dedup_by(|a, b| (a.unix_ms, &a.what) == (b.unix_ms, &b.what));
    if json {
        let text = serde_json::to_string(&events);
        return Ok(format!("{}\n", text.unwrap_or_default()));
    }
    let first_ms = events.first().map_or(0, |event| event.unix_ms);
    let row = |event: &TimelineEvent| {
        vec![
            format!("{:+.3}", (event.unix_ms - first_ms) as f64 / 1_000.0),
            event.process.clone(),
            event.what.clone(),
        ]
    };
    let rows: Vec<_> = events.iter().map(row).collect();
    Ok(table(&["SECONDS", "PROCESS", "WHAT"], &rows) + &logs.unreadable_summary())
}

/// Converts the outcome line of a request to timeline events.
fn outcome_events(line: &LogLine) -> Vec<TimelineEvent> {
    let arrived_ms = line.unix_ms - line.number("total_ms").min(line.unix_ms);
    let event = |after_ms: u64, what: String| TimelineEvent {
        unix_ms: arrived_ms + after_ms,
        process: line.process.clone(),
        what,
    };
    let mut events = vec![event(0, format!("arrives on route {}", line.text("route")))];
    let details = line.text("detail").split("; ");
    for found in details.filter_map(|detail| detail.strip_prefix(TAKEUP_DETAIL)) {
        let named = match line.text("resumes") {
            "" => "a stream without naming its attempt".to_string(),
            attempt => format!("the stream that {attempt} began"),
        };
        let last_event = line.number("last_event");
        let what =
            format!("takes up {named} after event {last_event}; its software: {found}");
        events.push(event(0, what));
    }
    let waited_ms = line.number("waited_ms");
    if waited_ms > 0 {
        let for_parts_ms = line.number("waited_for_parts_ms");
        let what = format!(
            "has waited {waited_ms} ms for a server, {for_parts_ms} ms of it for parts that others read"
        );
        events.push(event(waited_ms, what));
    }
    let admissions = line.text("detail").split("; ");
    for admission in admissions.filter(|detail| detail.starts_with("admission: ")) {
        events.push(event(waited_ms, admission.to_string()));
    }
    if !line.text("tried").is_empty() {
        let software = match line.text("software") {
            "" => String::new(),
            versions => format!(" (software {versions})"),
        };
        let what = format!(
            "is sent {} times, to {}{software}; {} of {} shared tokens supplied",
            line.number("sends"),
            line.text("tried"),
            line.number("supplied_tokens"),
            line.number("shared_tokens"),
        );
        events.push(event(waited_ms, what));
    }
    let predicted_first_ms = line.number("predicted_first_ms");
    if predicted_first_ms > 0 {
        let pauses = match line.number("predicted_gap_ms") {
            0 => String::new(),
            gap_ms => format!(", with pauses of up to {gap_ms} ms"),
        };
        let what = format!(
            "is predicted to get its first event {predicted_first_ms} ms after its arrival (target {}){pauses}",
            line.number("target_ms"),
        );
        events.push(event(waited_ms, what));
    }
    let first_byte_ms = line.number("first_byte_ms");
    if first_byte_ms > 0 {
        let target_ms = line.number("target_ms");
        let what = format!(
            "gets its first event, {first_byte_ms} ms after its arrival (target {target_ms})"
        );
        events.push(event(first_byte_ms, what));
    }
    let reason = cause(line).unwrap_or_else(|| "in time".to_string());
    let what = format!("ends: {} ({reason})", line.message);
    events.push(event(line.number("total_ms"), what));
    events
}

/// Converts another line to a timeline event if it concerns the request's servers or
/// its entry process during the request.
fn related_event(own: &LogLine, other: &LogLine) -> Option<TimelineEvent> {
    let arrived_ms = own.unix_ms.saturating_sub(own.number("total_ms"));
    let is_during_request =
        (arrived_ms.saturating_sub(BEFORE_MS)..=own.unix_ms).contains(&other.unix_ms);
    let upstream = other.text("upstream");
    let is_related = match other.target.as_str() {
        "request" => false,
        "stream" => other.text("request") == own.text("request"),
        // Sidecars don't log the name of their engine. Lines about engine state are
        // rare, so include all of them.
        "engine" => true,
        "upstream" | "sidecar" => {
            own.text("tried").split(',').any(|tried| tried == upstream)
        }
        _ => other.process == own.process,
    };
    (is_during_request && is_related).then(|| TimelineEvent {
        unix_ms: other.unix_ms,
        process: other.process.clone(),
        what: format!("{} {} {}", other.target, upstream, other.message)
            .replace("  ", " "),
    })
}
