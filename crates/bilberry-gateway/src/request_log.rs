//! The log line of each request, and the rate limit on such lines.

use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::UnixMs;

use crate::RequestContext;

/// The maximum number of lines per second for plain successes, which the first upstream
/// served within the target latency.
///
/// An entry serves some thirty requests per second. In a burst, its share of a CPU core
/// must not be spent on logging successes.
const MAX_SUCCESS_LINES_PER_S: u64 = 10;

/// The maximum number of lines per second for all other outcomes.
const MAX_OTHER_LINES_PER_S: u64 = 100;

/// A limit on the request log lines per second.
#[derive(Debug, Default)]
pub struct LogLineBudget {
    used: Mutex<Used>,
}

#[derive(Debug, Default)]
struct Used {
    second: u64,
    successes: u64,
    others: u64,
}

impl LogLineBudget {
    /// Takes one line from the budget; returns false if none is left.
    pub fn spend(&self, now: UnixMs, success: bool) -> bool {
        let mut used = self.used.lock().unwrap();
        let second = now.0 / 1_000;
        if used.second != second {
            *used = Used { second, ..Used::default() };
        }
        let (count, max) = match success {
            true => (&mut used.successes, MAX_SUCCESS_LINES_PER_S),
            false => (&mut used.others, MAX_OTHER_LINES_PER_S),
        };
        *count += 1;
        *count <= max
    }
}

/// Writes the log line for the outcome of a request.
pub fn log_outcome<C: Clock>(context: &RequestContext, outcome: &str, clock: &C) {
    let now = clock.now();
    let tried: Vec<&str> = context.tried.iter().map(|tried| tried.id.as_str()).collect();
    let softwares = context.tried.iter().map(|tried| tried.software());
    let softwares: Vec<&str> =
        softwares.map(|it| it.map_or("", |it| it.as_str())).collect();
    let source = context.source;
    let fetch_from = source.map_or_else(String::new, |it| it.address.to_string());
    let source_weights = source.and_then(|it| it.weights).unwrap_or_default();
    let source_age_ms = source.and_then(|it| it.report_age_ms);
    log::info!(
        target: "request",
        request = context.call.attempt.as_str(),
        key = context.key.to_string().as_str(),
        route = context.route.name.as_str(),
        customer = context.customer.as_ref().map_or("", |customer| customer.name.as_str()),
        config = context.config_version,
        tried = tried.join(",").as_str(),
        sends = context.sends,
        left_runs = context.left_runs,
        detail = context.detail.as_str(),
        last_event = context.call.last_event.map_or(-1, |event| event as i64),
        resumes = context.call.resumes.as_ref().map_or("", |attempt| attempt.as_str()),
        software = softwares.join(",").as_str(),
        weights = context.weights.unwrap_or_default(),
        lacking_ms = context.weights_outdated_ms.unwrap_or_default(),
        waited_ms = context.waited_ms,
        waited_for_parts_ms = context.waited_for_parts_ms,
        admission_wait_ms = context.admission_wait_ms,
        cache_scope = context.scope.as_str(),
        shared_tokens = context.call.shared_tokens(),
        fetch_from = fetch_from.as_str(),
        source_weights,
        source_age_ms = source_age_ms.map_or(-1, |ms| ms as i64),
        supplied_tokens = context.supplied_tokens,
        predicted_first_ms = context.predicted.map_or(0, |times| times.first_ms),
        predicted_gap_ms = context.predicted.map_or(0, |times| times.gap_ms),
        target_ms = context.route.target_ms,
        first_byte_ms = context.first_byte_ms.map_or(-1, |ms| ms as i64),
        host_silent_ms = host_silent_ms(context, now),
        total_ms = now.ms_since(context.arrived_at),
        left_ms = context.deadline.ms_since(now);
        "{outcome}"
    );
}

/// Returns how long nothing has come from the host of the last send; -1 if it has no sidecar
/// that reported.
fn host_silent_ms(context: &RequestContext, now: UnixMs) -> i64 {
    let heard_at = context.sent_to.as_ref().and_then(|upstream| upstream.heard_at());
    heard_at.map_or(-1, |heard_at| now.ms_since(heard_at) as i64)
}
