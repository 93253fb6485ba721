//! The log line of each request.

use std::sync::Mutex;

use bilberry_core::Clock;
use bilberry_core::UnixMs;

use crate::Job;

/// How many lines on plain successes, answered by the first server in time, are written
/// in a second.
///
/// An entry serves some thirty requests a second; a burst of callers must not
/// spend its share of a core on lines that say that all is well.
const SUCCESSES_PER_S: u64 = 10;

/// How many lines on anything else are written in a second.
const OTHERS_PER_S: u64 = 100;

/// How many lines may still be written in this second.
#[derive(Debug, Default)]
pub struct LineBudget {
    used: Mutex<Used>,
}

#[derive(Debug, Default)]
struct Used {
    second: u64,
    successes: u64,
    others: u64,
}

impl LineBudget {
    /// Takes one line out; returns false if there is none left.
    pub fn spend(&self, now: UnixMs, success: bool) -> bool {
        let mut used = self.used.lock().unwrap();
        let second = now.0 / 1_000;
        if used.second != second {
            *used = Used { second, ..Used::default() };
        }
        let (count, most) = match success {
            true => (&mut used.successes, SUCCESSES_PER_S),
            false => (&mut used.others, OTHERS_PER_S),
        };
        *count += 1;
        *count <= most
    }
}

/// Writes the line that says what became of a request.
pub fn write_outcome<C: Clock>(job: &Job, outcome: &str, clock: &C) {
    let now = clock.now();
    let tried: Vec<&str> = job.tried.iter().map(|tried| tried.id.as_str()).collect();
    log::info!(
        target: "request",
        request = job.call.attempt.as_str(),
        key = job.key.to_string().as_str(),
        route = job.route.name.as_str(),
        customer = job.customer.as_ref().map_or("", |customer| customer.name.as_str()),
        config = job.config_version,
        tried = tried.join(",").as_str(),
        sends = job.sends,
        detail = job.detail.as_str(),
        weights = job.weights.unwrap_or_default(),
        lacking_ms = job.lacking_ms.unwrap_or_default(),
        waited_ms = job.waited_ms,
        waited_for_parts_ms = job.waited_for_parts_ms,
        shared_tokens = job.call.shared_tokens(),
        supplied_tokens = job.supplied_tokens,
        target_ms = job.route.target_ms,
        first_byte_ms = job.first_byte_ms.unwrap_or_default(),
        total_ms = now.ms_since(job.arrived_at),
        left_ms = job.deadline.ms_since(now);
        "{outcome}"
    );
}
