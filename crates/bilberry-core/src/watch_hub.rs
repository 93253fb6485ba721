//! Which process watches the store for the others.

use crate::Name;
use crate::home;

/// How many entries a data centre has to have before they share a watch.
///
/// A hub watches more often than an entry that watches for itself, as its failure has
/// to be noticed in time by others; with fewer than four askers it saves no calls.
const FEWEST_ENTRIES: usize = 4;

/// One process that could watch for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HubCandidate {
    /// Its data centre.
    pub place: Name,
    /// A hash of its address.
    pub seed: u64,
}

/// Returns the position of the hub for an entry in `place`; `None` to watch alone.
///
/// Nothing is agreed: all entries of a data centre that reach the same candidates
/// choose the same one, and two hubs for a while cost a few calls and nothing else.
pub fn choose_hub(
    place: &Name,
    candidates: &[HubCandidate],
    entries: usize,
) -> Option<usize> {
    let mut places: Vec<&Name> = candidates.iter().map(|found| &found.place).collect();
    places.sort_unstable();
    places.dedup();
    if entries < FEWEST_ENTRIES * places.len() {
        return None;
    }
    let near = |at: &usize| candidates[*at].place == *place;
    let near: Vec<usize> = (0..candidates.len()).filter(near).collect();
    let seeds: Vec<u64> = near.iter().map(|&at| candidates[at].seed).collect();
    home(HUB_HASH, &seeds).map(|at| near[at])
}

/// What hubs are ranked by; any number does that all entries agree on.
const HUB_HASH: u64 = 1;
