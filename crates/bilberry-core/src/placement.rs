//! Placement of requests with shared prompts, based on an entry's local knowledge.
//!
//! Designed for a few hundred prompts, each shared by many requests, on servers whose
//! caches hold only some of them, while servers crash, load weights or fall behind.
//! Every entry decides independently. Rendezvous hashing makes all entries prefer the
//! same server for a prompt, so a restarted entry needs no state.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::WorkPace;
use crate::placement_time::MeanPace;
use crate::placement_time::share_by_rank;
use crate::placement_time::time_cost;
use crate::routing::rank;

/// The cost that each running request adds for a new one, in prefilled prompt tokens.
///
/// Each running request lengthens a decode step by about 0.04 ms. Over the 60 steps of
/// a typical answer, a server could prefill about 250 tokens in the added time.
pub(crate) const RUNNING_COST_TOKENS: u64 = 250;

/// The cost that each queued request adds for a new one, in prompt tokens.
///
/// The entry does not know the prompt of a queued request. The value is the order of
/// magnitude of the uncached part of a long prompt whose shared part is cached.
pub(crate) const QUEUED_COST_TOKENS: u64 = 3_000;

/// The cost of sending to another data centre, in prompt tokens per kilobyte.
///
/// Traffic between data centres is billed. A kilobyte is weighted like about a
/// fiftieth of the prefill of a long prompt.
pub(crate) const CROSS_DATA_CENTRE_COST_TOKENS_PER_KB: u64 = 200;

/// The divisor of the cost of missing shared tokens that can be fetched instead of
/// prefilled.
///
/// Fetching is about 200 times as fast as prefilling, but the fetched tokens are then
/// cached twice and evict other prompts, which must be prefilled again.
pub(crate) const FETCH_COST_DIVISOR: u64 = 2;

/// The cost of serving a request with older weights, in prompt tokens.
///
/// An answer from older weights loses part of its value, a late one nearly all. The
/// cost is about one long prompt: the newest weights win among equally busy servers,
/// without overloading the first few servers that have loaded them.
pub(crate) const OLD_WEIGHTS_COST_TOKENS: u64 = 8_000;

/// The age of newer weights from which older ones incur a cost.
///
/// Answers from older weights lose value after about 1.5 s, and an answer begins some
/// hundred milliseconds after placement. An earlier threshold overloads the first
/// servers that have the new weights.
const OLD_WEIGHTS_COST_AGE_MS: u64 = 1_300;

/// How long before their staleness bound older weights are excluded.
///
/// Covers the delay until an entry learns of an announcement, some milliseconds, and
/// the queueing time of a request at its server.
const OLD_WEIGHTS_MARGIN_MS: u64 = 2_000;

/// The cost of a request that would run entirely after the start of a weights load, in
/// prompt tokens.
///
/// Tokens generated after that are worthless, and the engine's work on them is wasted.
/// The cost is therefore twice that of starting on older weights.
const LOAD_OVERLAP_COST_TOKENS: u64 = 16_000;

/// Whether an upstream's weights may serve a request.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub enum WeightsStatus {
    /// The weights are the newest, or older at no cost.
    #[default]
    Acceptable,
    /// The weights are older and incur a cost.
    Penalized,
    /// The weights are too old to start a request on them.
    Excluded,
}

impl WeightsStatus {
    /// Classifies weights that have been outdated for `lacking_ms`, if no request may
    /// start on older weights after `bound_ms`.
    ///
    /// The time counts from the first announcement that the upstream missed. Counted
    /// from the newest one, older weights would never be excluded while announcements
    /// arrive faster than the bound.
    pub fn classify(lacking_ms: Option<u64>, bound_ms: Option<u64>) -> Self {
        let excluded_from_ms =
            bound_ms.map(|bound_ms| bound_ms.saturating_sub(OLD_WEIGHTS_MARGIN_MS));
        match lacking_ms {
            None => Self::Acceptable,
            Some(ms) if excluded_from_ms.is_some_and(|from_ms| ms >= from_ms) => {
                Self::Excluded
            }
            Some(ms) if ms >= OLD_WEIGHTS_COST_AGE_MS => Self::Penalized,
            Some(_) => Self::Acceptable,
        }
    }

    /// Returns the assumed age of the announcement of weights that a process finds
    /// announced at its start.
    ///
    /// The actual time is unknown. If it were counted from the start of the process,
    /// older weights could serve for the whole bound again. If they were excluded at the
    /// start, a restart during an announcement would leave no server for seconds. They
    /// are therefore excluded after the settling time of the process, before which the
    /// bound does not apply.
    pub fn assumed_outdated_ms(bound_ms: Option<u64>, settle_ms: u64) -> u64 {
        let bound_ms = bound_ms.unwrap_or_default();
        bound_ms.saturating_sub(OLD_WEIGHTS_MARGIN_MS).saturating_sub(settle_ms)
    }
}

/// The known state of an upstream at placement.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// A hash of the upstream's identity.
    pub seed: u64,
    /// Whether it accepts work: it is up, not leaving and not loading weights.
    pub usable: bool,
    /// Whether it is in the entry's data centre.
    pub same_data_centre: bool,
    /// The number of further requests that it can run.
    pub free_slots: u64,
    /// The number of further tokens that fit into its memory.
    pub free_tokens: u64,
    /// Prompt tokens that were sent to it and are not prefilled yet.
    pub pending_tokens: u64,
    /// Requests running on it.
    pub running: u64,
    /// The requests of this entry among those that are running or queued.
    pub own_running: u64,
    /// The prompt tokens not prefilled yet that a request in progress there has on
    /// average.
    pub mean_pending_tokens: u64,
    /// The prompt tokens of all entries' requests there that are not prefilled yet, if its
    /// sidecar reports them; includes what this entry sent since.
    pub reported_pending_tokens: Option<u64>,
    /// Requests queued at it.
    pub queued: u64,
    /// Whether its weights may serve the request.
    pub weights: WeightsStatus,
    /// Shared tokens of the request that it is known to have cached.
    pub cached_tokens: u64,
    /// The time until it starts a planned load of weights, in milliseconds.
    pub loads_in_ms: Option<u64>,
    /// How fast it works, if measured; used for services on shared hosts.
    pub pace: Option<WorkPace>,
    /// How long work takes on its host, in percent of the usual time, if it is a plain
    /// server that reports it.
    pub host_percent: Option<u64>,
}

impl PlacementCandidate {
    /// Returns how much of an answer of `answer_ms` it would generate after the start of
    /// a planned load of weights, in milliseconds.
    pub(crate) fn load_overlap_ms(&self, answer_ms: u64) -> u64 {
        self.loads_in_ms.map_or(0, |loads_in_ms| answer_ms.saturating_sub(loads_in_ms))
    }
}

/// The requirements of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlacementRequest {
    /// A hash of the shared part of the prompt.
    pub affinity: u64,
    /// Prompt tokens that are shared with other requests.
    pub shared_tokens: u64,
    /// Prompt tokens that are specific to this request.
    pub own_tokens: u64,
    /// The maximum number of tokens to generate.
    pub output_tokens: u64,
    /// The expected time to generate the answer, in milliseconds.
    pub answer_ms: u64,
    /// The size of the request body.
    pub body_bytes: u64,
    /// Whether a prompt store can supply shared parts that an upstream lacks.
    pub can_fetch: bool,
    /// The time since its arrival, in milliseconds.
    pub waited_ms: u64,
    /// The target time to its first event, in milliseconds.
    pub target_ms: Option<u64>,
    /// The longest time between two of its events that counts as in time, in
    /// milliseconds.
    pub gap_ms: Option<u64>,
}

impl PlacementRequest {
    /// Returns the memory that the running request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.shared_tokens + self.own_tokens + self.output_tokens
    }
}

/// Returns the index of the best candidate; `None` if no candidate has capacity.
///
/// If the pace of any candidate is known, predicted times decide. Otherwise costs in
/// tokens do, scaled by the load of the hosts if any is known.
pub fn choose_upstream(
    request: &PlacementRequest,
    candidates: &[PlacementCandidate],
) -> Option<usize> {
    let mean_pace = MeanPace::of(candidates);
    let mean_percent = mean_host_percent(candidates);
    let order = |candidate: &PlacementCandidate| match (mean_pace, mean_percent) {
        (Some(mean), _) => time_cost(request, candidate, mean),
        (None, Some(mean)) => (false, host_cost(request, candidate, mean)),
        (None, None) => (false, cost(request, candidate)),
    };
    let scored = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| has_capacity(request, candidate));
    let scored = scored.map(|(at, candidate)| {
        (order(candidate), rank(request.affinity, candidate.seed), at)
    });
    scored.min_by_key(|&(order, rank, _)| (order, !rank)).map(|(_, _, at)| at)
}

fn has_capacity(request: &PlacementRequest, candidate: &PlacementCandidate) -> bool {
    candidate.weights != WeightsStatus::Excluded
        && candidate.usable
        && candidate.free_slots > 0
        && candidate.free_tokens >= request.memory_tokens()
}

fn cost(request: &PlacementRequest, candidate: &PlacementCandidate) -> u64 {
    fixed_cost(request, candidate) + work_cost(candidate)
}

/// Returns the cost if work takes longer on some hosts than on others.
///
/// Besides the work in progress it counts a share, by rank, of this request: the servers
/// without work get requests in inverse proportion to the load of their hosts, instead of
/// one server getting those of all entries.
fn host_cost(
    request: &PlacementRequest,
    candidate: &PlacementCandidate,
    mean_percent: u64,
) -> u64 {
    let percent = candidate.host_percent.unwrap_or(mean_percent);
    let own = share_by_rank(RUNNING_COST_TOKENS, request.affinity, candidate.seed);
    fixed_cost(request, candidate) + (work_cost(candidate) + own) * percent / 100
}

fn mean_host_percent(candidates: &[PlacementCandidate]) -> Option<u64> {
    let known: Vec<u64> =
        candidates.iter().filter_map(|candidate| candidate.host_percent).collect();
    (!known.is_empty()).then(|| known.iter().sum::<u64>() / known.len() as u64)
}

/// Returns the cost of the work in progress at a candidate.
fn work_cost(candidate: &PlacementCandidate) -> u64 {
    candidate.running * RUNNING_COST_TOKENS + candidate.queued * QUEUED_COST_TOKENS
}

/// Returns the cost of what the work in progress does not affect.
fn fixed_cost(request: &PlacementRequest, candidate: &PlacementCandidate) -> u64 {
    let missing = request.shared_tokens.saturating_sub(candidate.cached_tokens);
    let missing = match request.can_fetch {
        true => missing / FETCH_COST_DIVISOR,
        false => missing,
    };
    let cross_data_centre = match candidate.same_data_centre {
        true => 0,
        false => (1 + request.body_bytes / 1_024) * CROSS_DATA_CENTRE_COST_TOKENS_PER_KB,
    };
    let older_weights = match candidate.weights {
        WeightsStatus::Acceptable => 0,
        WeightsStatus::Penalized | WeightsStatus::Excluded => OLD_WEIGHTS_COST_TOKENS,
    };
    missing
        + cross_data_centre
        + older_weights
        + candidate.pending_tokens
        + load_overlap_cost(request, candidate)
}

/// Returns the cost to the request of a weights load planned at an engine.
///
/// New weights are announced every few seconds and the engines load them in turn, so
/// there is nearly always an engine that will not load before a long answer ends. The
/// cost makes such an engine preferred, so that fewer tokens are generated past a load.
pub(crate) fn load_overlap_cost(
    request: &PlacementRequest,
    candidate: &PlacementCandidate,
) -> u64 {
    let overlap_ms = candidate.load_overlap_ms(request.answer_ms);
    LOAD_OVERLAP_COST_TOKENS * overlap_ms / request.answer_ms.max(1)
}

/// Returns the key of a cached part of a prompt.
///
/// Sidecars and entries compute the same key. It includes the salt, so parts computed
/// with other weights or for another customer never match.
pub fn part_key(salt: &str, part: u64) -> u64 {
    xxh3_64_with_seed(salt.as_bytes(), part)
}
