//! An estimate of the prefill work that other entries have sent to an engine.
//!
//! Designed for services whose entries decide alike: the state of an engine counts its
//! requests, but not how much of their prompts is prefilled.

use crate::UnixMs;

/// The time over which requests are averaged.
///
/// The mix of long prompts and short questions changes with the callers' day, not within
/// seconds, and an entry has few requests in progress at a time.
const WINDOW_MS: f64 = 10_000.0;

/// The time for which a request has to be in progress at an engine until it counts as
/// much as the mean of the service.
///
/// A single long prompt must not keep all others away from an engine that they need.
const SERVICE_WEIGHT_MS: f64 = 1_000.0;

/// How many tokens a request in progress at an engine still has to prefill on average,
/// according to the requests of this entry.
#[derive(Debug, Copy, Clone, Default)]
pub struct PrefillBacklog {
    token_ms: f64,
    run_ms: f64,
    pending_tokens: u64,
    running: u64,
    changed_at: UnixMs,
}

impl PrefillBacklog {
    /// Records a change of this entry's requests at the engine.
    pub fn change(&mut self, pending_tokens: u64, running: u64, now: UnixMs) {
        *self = Self { pending_tokens, running, ..self.at(now) };
    }

    /// Returns the mean per request at an engine of the service.
    ///
    /// Where this entry has had few requests, those at the other engines count too.
    pub fn mean_pending_tokens(&self, service: &ServiceBacklog, now: UnixMs) -> u64 {
        let own = self.at(now);
        let run_ms = own.run_ms + SERVICE_WEIGHT_MS;
        let token_ms = own.token_ms + SERVICE_WEIGHT_MS * service.mean_tokens();
        (token_ms / run_ms) as u64
    }

    fn at(&self, now: UnixMs) -> Self {
        let passed_ms = now.ms_since(self.changed_at) as f64;
        let kept = (-passed_ms / WINDOW_MS).exp();
        Self {
            token_ms: self.token_ms * kept + self.pending_tokens as f64 * passed_ms,
            run_ms: self.run_ms * kept + self.running as f64 * passed_ms,
            changed_at: now,
            ..*self
        }
    }
}

/// The sum of the backlogs at the engines of a service.
#[derive(Debug, Copy, Clone, Default)]
pub struct ServiceBacklog {
    token_ms: f64,
    run_ms: f64,
}

impl ServiceBacklog {
    /// Adds up the backlogs at the engines.
    pub fn sum(engines: impl Iterator<Item = PrefillBacklog>, now: UnixMs) -> Self {
        engines.map(|engine| engine.at(now)).fold(Self::default(), |sum, engine| Self {
            token_ms: sum.token_ms + engine.token_ms,
            run_ms: sum.run_ms + engine.run_ms,
        })
    }

    fn mean_tokens(&self) -> f64 {
        match self.run_ms > 0.0 {
            true => self.token_ms / self.run_ms,
            false => 0.0,
        }
    }
}
