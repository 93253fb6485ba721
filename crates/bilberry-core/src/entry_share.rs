//! One entry's share of a limit for all entries.

/// The number of entries assumed until the count is known.
///
/// Too high a value restricts a starting entry for about a second; too low a value
/// would let many entries that restart together exceed the limit.
const ASSUMED_ENTRIES: usize = 16;

/// Divides `total` evenly by the number of entries.
pub(crate) fn entry_share(total: f64, entries: Option<usize>) -> f64 {
    total / entries.unwrap_or(ASSUMED_ENTRIES).max(1) as f64
}
