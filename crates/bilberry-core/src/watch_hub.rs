//! Selection of the process that watches the store for the others.

use crate::Name;
use crate::highest_ranked;

/// The minimum number of entries in a data centre for a shared watch.
///
/// A hub calls the store more often than an entry with its own watch, because other
/// processes must detect its failure in time. With fewer than four entries it saves no
/// calls.
const MIN_ENTRIES_PER_PLACE: usize = 4;

/// A process that can watch the store for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HubCandidate {
    /// The data centre of the process.
    pub place: Name,
    /// A hash of the process's address.
    pub seed: u64,
}

/// Returns the index of the hub for an entry in `place`, or `None` if the entry must
/// watch the store itself.
///
/// The choice needs no coordination: all entries of a data centre that see the same
/// candidates choose the same hub. Two hubs at a time only cost a few extra calls.
pub fn choose_hub(
    place: &Name,
    candidates: &[HubCandidate],
    entries: usize,
) -> Option<usize> {
    let mut places: Vec<&Name> =
        candidates.iter().map(|candidate| &candidate.place).collect();
    places.sort_unstable();
    places.dedup();
    if entries < MIN_ENTRIES_PER_PLACE * places.len() {
        return None;
    }
    let is_local = |at: &usize| candidates[*at].place == *place;
    let local: Vec<usize> = (0..candidates.len()).filter(is_local).collect();
    let seeds: Vec<u64> = local.iter().map(|&at| candidates[at].seed).collect();
    highest_ranked(HUB_RANKING_KEY, &seeds).map(|at| local[at])
}

/// The key for ranking hubs; it must be the same at all entries and is otherwise
/// arbitrary.
const HUB_RANKING_KEY: u64 = 1;
