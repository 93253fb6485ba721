//! Which services order the requests that compete for them.
//!
//! Designed for a service whose callers have different targets, in a surge of the
//! requests with the longer one: these fill the service, and the others wait behind them.

use crate::Name;

/// How many times the shortest target of a service a route's target must be for its
/// requests to yield.
///
/// A request that yields may wait as long as the shortest target, and half of its own
/// target is then left for its prefill.
const YIELDING_FACTOR: u64 = 2;

/// Returns whether a request yields to those with the shortest target of its service.
pub fn yields(target_ms: u64, shortest_target_ms: u64) -> bool {
    target_ms >= shortest_target_ms.saturating_mul(YIELDING_FACTOR)
}

/// Returns the services some of whose requests can yield to others and still be in time,
/// with the shortest target latency of each.
///
/// Each item of `targets` is a service and the target latency of a route to it, in
/// milliseconds.
pub fn pools_with_yielding_routes<'a>(
    targets: impl Iterator<Item = (&'a Name, u64)> + Clone,
) -> impl Iterator<Item = (&'a Name, u64)> {
    let all = targets.clone();
    targets.filter_map(move |(pool, target_ms)| {
        let same_pool = all.clone().filter(|(other, _)| *other == pool);
        let shortest_ms = same_pool.map(|(_, other_ms)| other_ms).min()?;
        yields(target_ms, shortest_ms).then_some((pool, shortest_ms))
    })
}
