//! The identity of a possible cause of crashes.

use std::fmt;

use crate::RequestKey;

/// What may have caused a crash, as a key that is equal at all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashCause(pub u64);

impl CrashCause {
    /// Returns the cause that a whole request is.
    pub fn request(key: RequestKey) -> Self {
        Self(key.0)
    }

    /// Returns the cause under which those runs of a request are reported as well that
    /// began while the request was suspect already.
    pub fn in_trial(self) -> Self {
        let parts: [&[u8]; 2] = [b"trial", &self.0.to_le_bytes()];
        Self::request(RequestKey::from_parts(&parts))
    }

    /// Returns the cause that a part of prompts is.
    ///
    /// Parts are told apart by the scope in which their ids are shared, so that the
    /// prompts of an isolated customer say nothing of another's. The scope of a cause does
    /// not follow that of the cache, which changes as customers are isolated: a part that
    /// crashes servers does so after the change as well.
    pub fn part(scope: &str, id: u64) -> Self {
        let parts: [&[u8]; 3] = [b"prompt part", scope.as_bytes(), &id.to_le_bytes()];
        Self::request(RequestKey::from_parts(&parts))
    }
}

impl fmt::Display for CrashCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
