//! What a request needs of an engine, and what is decided on it.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::Name;
use crate::RequestKey;
use crate::UnixMs;

/// Identifies a request by its connection and its call number on it.
#[derive(Debug, Copy, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The number of the connection.
    pub connection: u64,
    /// The call number.
    pub call: u64,
}

impl CallId {
    /// Returns the range of all requests of a connection.
    pub fn all_of(connection: u64) -> RangeInclusive<Self> {
        Self { connection, call: 0 }..=Self { connection, call: u64::MAX }
    }
}

/// What a request needs, and by when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionTerms {
    /// The customer; empty if there is none.
    pub customer: Name,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// When the first event is late.
    pub target_at: UnixMs,
    /// The latest admission after which the answer is still of use.
    pub start_by: UnixMs,
    /// The prompt tokens that the engine has to prefill.
    pub prefill_tokens: u64,
    /// The memory that the request needs, in tokens.
    pub memory_tokens: u64,
    /// The key shared by all attempts of the request.
    pub key: RequestKey,
    /// The longest time after which its caller returns if it is told to.
    pub max_return_ms: u64,
    /// The target latency of its route.
    pub target_ms: u64,
    /// The shortest target latency of the routes to the engine's service.
    pub shortest_target_ms: u64,
}

/// A decision on a request.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent to the engine.
    Admitted,
    /// It waits, and another decision follows.
    Queued {
        /// The predicted time until it is admitted.
        wait_ms: u64,
    },
    /// The engine serves no requests; another may take it at once.
    Withdrawn,
    /// It can't be served in time and will not be admitted.
    Rejected {
        /// The time after which its caller should return.
        retry_after_ms: u64,
    },
}

/// The prefill work ahead at an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkAhead {
    /// The prompt tokens of admitted requests that are not prefilled yet.
    pub admitted_tokens: u64,
    /// The prompt tokens of waiting requests, by priority.
    pub waiting_tokens: BTreeMap<u32, u64>,
}
