//! The rate of requests that a server accepts from all entries together.

use std::fmt;

use crate::Quota;
use crate::UnixMs;

/// The lowest rate at which a limited server gets requests, in requests per second.
///
/// The end of a limit shows only in a response, so a server that accepts nothing still
/// gets a request now and then.
const MIN_PER_S: f64 = 0.1;

/// The rate from which a limit has no effect, in requests per second.
///
/// No deployment sends that many requests to one server.
const MAX_PER_S: f64 = 10_000.0;

/// The time for which unused requests accumulate.
///
/// Requests come irregularly, and a server that gets none for a moment may catch up.
const BURST_S: f64 = 1.0;

/// The smallest number of accumulated requests.
const MIN_BURST: f64 = 4.0;

/// A limit on the requests that a server accepts per second from all entries together.
#[derive(Debug, Copy, Clone, PartialEq, PartialOrd)]
pub struct RequestLimit {
    per_s: f64,
}

/// What a response says about the limit of its server.
#[derive(Debug, Copy, Clone, Default, PartialEq)]
pub enum ReportedLimit {
    /// The server accepts requests at this limit.
    Limited(RequestLimit),
    /// The server has no limit.
    Unlimited,
    /// The response does not tell, as its value is invalid.
    #[default]
    Unknown,
}

impl RequestLimit {
    /// Returns the limit in requests per second.
    pub fn per_s(self) -> f64 {
        self.per_s
    }

    /// Returns the quota of requests that enforces the limit, as reported at this time.
    pub fn quota(self, reported_at: UnixMs) -> Quota {
        Quota {
            rate_per_s: self.per_s,
            burst: (self.per_s * BURST_S).max(MIN_BURST),
            version: reported_at.0,
        }
    }
}

impl ReportedLimit {
    /// Interprets a reported rate, in requests per second.
    pub fn from_rate(per_s: f64) -> Self {
        match per_s {
            _ if !per_s.is_finite() || per_s < 0.0 => Self::Unknown,
            _ if per_s >= MAX_PER_S => Self::Unlimited,
            _ => Self::Limited(RequestLimit { per_s: per_s.max(MIN_PER_S) }),
        }
    }

    /// Returns the limit, if there is one.
    pub fn limit(self) -> Option<RequestLimit> {
        match self {
            Self::Limited(limit) => Some(limit),
            Self::Unlimited | Self::Unknown => None,
        }
    }
}

impl fmt::Display for RequestLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_s)
    }
}

/// Returns how long the limits of a service take to admit `ahead` requests of one entry.
///
/// `per_s` is the sum of the limits, of which each of `entries` entries gets an even part.
/// An entry that gets over twice as much already, `own_per_s`, has most of the callers and
/// goes on to get as much.
pub fn time_to_admit_ms(ahead: usize, per_s: f64, entries: usize, own_per_s: f64) -> u64 {
    let even_per_s = per_s / entries.max(1) as f64;
    let part_per_s = match own_per_s.min(per_s) {
        own_per_s if own_per_s > 2.0 * even_per_s => own_per_s,
        _ => even_per_s,
    };
    (ahead as f64 / part_per_s * 1_000.0) as u64
}
