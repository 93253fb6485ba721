//! Where a request with a shared prompt is placed, from what an entry knows.
//!
//! The load pattern: a few hundred prompts, each shared by many requests, over
//! servers whose cache holds a part of them, while some servers crash, load
//! weights or fall behind. Every entry decides alone. Ranks by hashing make all
//! entries agree on the home of a prompt, so a restarted entry needs no state.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::routing::rank;

/// What a running request costs a new one, in prompt tokens read meanwhile.
///
/// A step grows by about 0.04 ms for each running request and 60 steps go by in
/// the life of a middling answer, in which a server reads some 250 tokens.
const RUNNING_COST_TOKENS: u64 = 250;

/// What one waiting request costs a new one, in prompt tokens.
///
/// The prompt of a waiting request is unknown to the entry; this is the order of
/// size of a long prompt whose shared part is cached.
const QUEUED_COST_TOKENS: u64 = 3_000;

/// What sending to another data centre costs, in prompt tokens per kilobyte.
///
/// Bytes between data centres are paid for. A kilobyte is worth about a
/// fiftieth of a long prompt read anew.
const CROSSING_COST_TOKENS_PER_KB: u64 = 200;

/// The part of a shared prompt's tokens that a fetch costs in place of reading.
///
/// Fetching moves about two hundred times as many tokens a second as reading, but
/// what is fetched stands twice from then on and pushes other prompts out. Half,
/// in place of a quarter: 4% fewer tokens read again and 0.012 more worth, mean of
/// nine days; the whole: no further gain.
const FETCH_COST_DIVISOR: u64 = 2;

/// What older weights cost a request, in prompt tokens.
///
/// An answer on older weights loses a part of its worth, one that is late nearly
/// all. About one long prompt: the newest weights win among servers that are
/// equally busy, and the first few servers that have them are not crowded.
const OLD_WEIGHTS_COST_TOKENS: u64 = 8_000;

/// From which age of newer weights on older ones cost.
///
/// Answers on older weights lose worth after about one and a half seconds, and one
/// begins some hundred milliseconds after it was placed. Earlier, the first servers
/// that have the new weights are crowded.
const OLD_WEIGHTS_COST_FROM_MS: u64 = 1_300;

/// How much sooner than its bound older weights are given up.
///
/// Covers what an entry hears late of a naming, some milliseconds, and the wait of a
/// request at its server.
const OLD_WEIGHTS_MARGIN_MS: u64 = 2_000;

/// What it costs a request to run wholly past a load of weights, in prompt tokens.
///
/// What it generates after the load is worth nothing, and neither is the engine's
/// work on it: twice what a start on older weights costs.
const CUT_BY_LOAD_COST_TOKENS: u64 = 16_000;

/// Whether an upstream's weights may still serve a request.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub enum Weights {
    /// They are the newest, or as good.
    #[default]
    Fine,
    /// They are older, at a cost.
    Costly,
    /// They are older, and nothing may begin on them any more.
    Barred,
}

impl Weights {
    /// Judges weights that have lacked newer ones for `lacking_ms`, where nothing may
    /// begin on older ones after `bound_ms`.
    ///
    /// What counts is the first naming that the upstream missed. Judged by the newest
    /// one, older weights are never barred where namings come faster than the bound.
    pub fn lacking(lacking_ms: Option<u64>, bound_ms: Option<u64>) -> Self {
        let barred_from =
            bound_ms.map(|bound_ms| bound_ms.saturating_sub(OLD_WEIGHTS_MARGIN_MS));
        match lacking_ms {
            None => Self::Fine,
            Some(ms) if barred_from.is_some_and(|from_ms| ms >= from_ms) => Self::Barred,
            Some(ms) if ms >= OLD_WEIGHTS_COST_FROM_MS => Self::Costly,
            Some(_) => Self::Fine,
        }
    }

    /// Returns for how long weights that a process finds named at its start are taken
    /// to have been named.
    ///
    /// Nobody tells when it was. Counted from the start, older weights would serve for
    /// the whole bound once more; barred at the start, a restart amid a naming would
    /// leave no server for seconds. So they are barred once the process has settled,
    /// before which it is not held to the bound.
    pub fn assumed_lacking_ms(bound_ms: Option<u64>, settle_ms: u64) -> u64 {
        let bound_ms = bound_ms.unwrap_or_default();
        bound_ms.saturating_sub(OLD_WEIGHTS_MARGIN_MS).saturating_sub(settle_ms)
    }
}

/// What is known of one upstream when a request is to be placed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Offer {
    /// A hash of the upstream's identity.
    pub seed: u64,
    /// Whether it takes work now: it lives, does not leave, does not load.
    pub usable: bool,
    /// Whether it stands in the entry's own data centre.
    pub same_place: bool,
    /// How many more requests it can run.
    pub free_slots: u64,
    /// How many more tokens fit into its memory.
    pub free_tokens: u64,
    /// Prompt tokens that were sent there and are not read yet.
    pub pending_tokens: u64,
    /// Requests that run there.
    pub running: u64,
    /// Requests that wait there.
    pub queued: u64,
    /// Whether its weights may still serve the request.
    pub weights: Weights,
    /// Shared tokens of the request that it is known to hold.
    pub held_tokens: u64,
    /// In how many milliseconds it begins to load weights, if that is planned.
    pub loads_in_ms: Option<u64>,
}

/// What a request asks of an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// A hash of the prompt's shared part; equal for requests that share it.
    pub affinity: u64,
    /// Prompt tokens that others may have had read.
    pub shared_tokens: u64,
    /// Prompt tokens that belong to this request alone.
    pub own_tokens: u64,
    /// The most tokens that it may generate.
    pub output_tokens: u64,
    /// How long its answer is expected to be generated.
    pub answer_ms: u64,
    /// The size of its body.
    pub body_bytes: u64,
    /// Whether a store can supply shared parts that an upstream lacks.
    pub can_fetch: bool,
}

impl Demand {
    /// Returns the memory that the request needs when it runs.
    pub fn memory_tokens(&self) -> u64 {
        self.shared_tokens + self.own_tokens + self.output_tokens
    }
}

/// Returns the position of the best offer; `None` if none has room.
pub fn place(demand: &Demand, offers: &[Offer]) -> Option<usize> {
    let scored = offers.iter().enumerate().filter(|(_, offer)| fits(demand, offer));
    let scored = scored
        .map(|(at, offer)| (cost(demand, offer), rank(demand.affinity, offer.seed), at));
    scored.min_by_key(|&(cost, rank, _)| (cost, !rank)).map(|(_, _, at)| at)
}

fn fits(demand: &Demand, offer: &Offer) -> bool {
    offer.weights != Weights::Barred
        && offer.usable
        && offer.free_slots > 0
        && offer.free_tokens >= demand.memory_tokens()
}

fn cost(demand: &Demand, offer: &Offer) -> u64 {
    let missing = demand.shared_tokens.saturating_sub(offer.held_tokens);
    let missing = match demand.can_fetch {
        true => missing / FETCH_COST_DIVISOR,
        false => missing,
    };
    let crossing = match offer.same_place {
        true => 0,
        false => (1 + demand.body_bytes / 1_024) * CROSSING_COST_TOKENS_PER_KB,
    };
    let old = match offer.weights {
        Weights::Fine => 0,
        Weights::Costly | Weights::Barred => OLD_WEIGHTS_COST_TOKENS,
    };
    missing
        + crossing
        + old
        + offer.pending_tokens
        + offer.running * RUNNING_COST_TOKENS
        + offer.queued * QUEUED_COST_TOKENS
        + cut_by_load(demand, offer)
}

/// Returns what the load that an engine is about to begin costs the request.
///
/// New weights are named every few seconds and each engine loads in its turn, so
/// there is nearly always one that will not load before a long answer ends. With
/// this, a fifth less was generated past a load, over seven days.
fn cut_by_load(demand: &Demand, offer: &Offer) -> u64 {
    let Some(loads_in_ms) = offer.loads_in_ms else { return 0 };
    let cut_ms = demand.answer_ms.saturating_sub(loads_in_ms);
    CUT_BY_LOAD_COST_TOKENS * cut_ms / demand.answer_ms.max(1)
}

/// Returns the name under which a cached part of a prompt is known.
///
/// Sidecars and entries compute it alike; the salt is part of it, so what other
/// weights or another customer made is never taken for the same.
pub fn part_key(salt: &str, part: u64) -> u64 {
    xxh3_64_with_seed(salt.as_bytes(), part)
}
