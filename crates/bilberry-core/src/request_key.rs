//! A key of what a request asks for, whatever attempt carries it.

use std::fmt;

/// A key that is equal for each attempt of one request.
///
/// Collision resistant, as requests with equal keys share their standing: a caller that
/// could construct the key of another customer's request could have it rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

impl RequestKey {
    /// Computes the key from the parts that name a request, in a fixed order.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            // The length keeps apart parts that are equal once joined.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
