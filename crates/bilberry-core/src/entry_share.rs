//! One entry's part of what all entries share.

/// How many entries are assumed until the number is known.
///
/// Too many makes a starting entry thrifty for a second, too few would let a
/// herd of restarted entries overdraw together.
const UNKNOWN_ENTRIES: usize = 16;

/// Divides `total` evenly by the number of entries.
pub(crate) fn entry_share(total: f64, entries: Option<usize>) -> f64 {
    total / entries.unwrap_or(UNKNOWN_ENTRIES).max(1) as f64
}
