//! A key that identifies a request across its attempts.

use std::fmt;

/// A key that is the same for all attempts of a request.
///
/// The key must be collision resistant, because requests with equal keys share one
/// record in the crash ledger: a caller able to construct the key of another customer's
/// request could get that request rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

impl RequestKey {
    /// Computes the key from the parts that identify a request, in a fixed order.
    pub fn from_parts(parts: &[&[u8]]) -> Self {
        Self::from_hasher(&hash_parts(parts))
    }

    /// Computes the same key from parts of which the last one is in segments.
    pub fn from_parts_and_segments<'a>(
        parts: &[&[u8]],
        segments: impl Iterator<Item = &'a [u8]> + Clone,
    ) -> Self {
        let mut hasher = hash_parts(parts);
        let length: usize = segments.clone().map(<[u8]>::len).sum();
        hasher.update(&(length as u64).to_le_bytes());
        segments.for_each(|segment| {
            hasher.update(segment);
        });
        Self::from_hasher(&hasher)
    }

    fn from_hasher(hasher: &blake3::Hasher) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}

fn hash_parts(parts: &[&[u8]]) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        // The length prefix distinguishes parts that are equal when concatenated.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
