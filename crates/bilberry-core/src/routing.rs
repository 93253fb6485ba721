//! Which upstream a request goes to.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Chain;
use crate::Name;
use crate::TOKENS_PER_BLOCK;

/// Which part of the time to recompute a prompt is worth waiting.
const PATIENCE_PART: f64 = 3.0;

/// How often a prompt is computed that goes where no rank leads.
///
/// The next entry asks others and computes it again. Counted once, an idle upstream
/// that looked a little faster drew prompts away from all that are asked for them.
const COMPUTED_OFF_RANK: f64 = 2.0;

/// A data centre within a region.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Place {
    /// The region, such as `tw-north`.
    pub region: Name,
    /// The data centre, such as `hall-a`.
    pub hall: Name,
}

impl Place {
    /// Parses `region/hall`.
    pub fn parse(text: &str) -> Option<Self> {
        let (region, hall) = text.split_once('/')?;
        Some(Self { region: region.into(), hall: hall.into() })
    }

    /// Returns an estimate of the round trip to another place.
    pub fn distance_ms(&self, other: &Self) -> u64 {
        match self {
            _ if self == other => 0,
            _ if self.region == other.region => 2,
            _ => 60,
        }
    }
}

/// One upstream that could serve a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Name,
    /// A hash of the name, computed once when the configuration is compiled.
    pub seed: u64,
    /// The least load known lately, in milliseconds of waiting.
    pub wait_ms: u64,
}

impl Candidate {
    /// Creates a candidate with its seed.
    pub fn new(upstream: Name, wait_ms: u64) -> Self {
        let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
        Self { upstream, seed, wait_ms }
    }
}

/// One upstream worth asking.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct Seat {
    /// The position of the upstream.
    pub at: usize,
    /// Whether the prompt's ranks lead to it, so that every entry asks it.
    pub is_ranked: bool,
}

/// Returns the position of a hash's home among `seeds`; `None` where there are none.
///
/// All who see the same seeds agree, and one that goes moves only what it was home to.
pub fn home(hash: u64, seeds: &[u64]) -> Option<usize> {
    (0..seeds.len()).max_by_key(|&at| rank(hash, seeds[at]))
}

/// Returns the rank of an upstream for a hash; the highest is the hash's home.
pub(crate) fn rank(hash: u64, upstream_seed: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), upstream_seed)
}

/// Returns the `count` upstreams that rank highest for `hash`, as positions.
///
/// Every entry computes the same order with no communication, and the loss of
/// one upstream moves only the prefixes that it ranked highest for.
pub fn rendezvous(hash: u64, upstreams: &[Candidate], count: usize) -> Vec<usize> {
    let mut ranked: Vec<_> =
        upstreams.iter().enumerate().map(|(at, c)| (rank(hash, c.seed), at)).collect();
    let count = count.min(ranked.len());
    if count == 0 {
        return Vec::new();
    }
    ranked.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, at)| at).collect()
}

/// Returns the upstreams worth asking, best guess first.
///
/// For depths 1, 2, 4, 8 ... blocks the `per_depth` highest ranks are taken,
/// deepest first, then the least loaded; `most` bounds the whole. `random` breaks
/// ties between idle upstreams, so that they are not all asked in one order.
pub fn candidates(
    chain: &Chain,
    upstreams: &[Candidate],
    per_depth: usize,
    most: usize,
    random: u64,
) -> Vec<Seat> {
    let mut seats: Vec<Seat> = Vec::with_capacity(most);
    let mut add = |at: usize, is_ranked: bool, room: usize| {
        if seats.len() < room && seats.iter().all(|seat| seat.at != at) {
            seats.push(Seat { at, is_ranked });
        }
    };
    // The last seat is kept for the least loaded: where all holders of a prefix
    // are busy, someone idle must be among those asked.
    let room = most.saturating_sub(1).max(1);
    for depth in geometric_depths(chain.len()) {
        let hash = chain.hashes()[depth - 1];
        for at in rendezvous(hash, upstreams, per_depth) {
            add(at, true, room);
        }
    }
    // Where the ranks of several depths fall on one upstream, seats stay free.
    // They go on down the ranks of the root, so that a busy few have company.
    if let Some(root) = chain.hashes().first() {
        for at in rendezvous(*root, upstreams, room) {
            add(at, true, room);
        }
    }
    let tie = |c: &Candidate| rank(random, c.seed);
    let idle = upstreams.iter().enumerate().min_by_key(|(_, c)| (c.wait_ms, tie(c)));
    if let Some((at, _)) = idle {
        add(at, false, most);
    }
    seats
}

/// Returns the powers of two up to `len`, deepest first.
fn geometric_depths(len: usize) -> impl Iterator<Item = usize> {
    let deepest = len.checked_ilog2().map_or(0, |bits| bits + 1);
    (0..deepest).rev().map(|bits| 1 << bits)
}

/// What a probe, or a lagging report in its place, says of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeView {
    /// The upstream.
    pub upstream: Name,
    /// How many blocks of the chain it holds.
    pub held_blocks: u64,
    /// How long a request would wait there before its prefill starts.
    pub wait_ms: f64,
    /// How long one prompt token takes to compute, in microseconds.
    pub prefill_us_per_token: f64,
    /// The round trip to the upstream.
    pub distance_ms: f64,
    /// Whether the prompt's ranks lead to it, so that every entry asks it.
    pub is_ranked: bool,
}

impl ProbeView {
    /// Returns how long it takes to compute what is missing of a prompt.
    fn recompute_ms(&self, prompt_blocks: u64) -> f64 {
        let missing_blocks = prompt_blocks.saturating_sub(self.held_blocks);
        let missing_tokens = missing_blocks * TOKENS_PER_BLOCK;
        missing_tokens as f64 * self.prefill_us_per_token / 1_000.0
    }
}

/// How the operators weigh recomputed tokens against waiting.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Weighing {
    /// The worth of a recomputed millisecond, in milliseconds of waiting.
    ///
    /// One minimises the caller's own time to first token. Above one, blocks of
    /// others are spared, which later requests would otherwise recompute.
    pub recompute_weight: f64,
}

impl Weighing {
    /// Returns the score of an upstream; the smallest is best.
    pub fn score(self, view: &ProbeView, prompt_blocks: u64) -> f64 {
        let computed = if view.is_ranked { 1.0 } else { COMPUTED_OFF_RANK };
        let recompute_ms = computed * view.recompute_ms(prompt_blocks);
        view.wait_ms + view.distance_ms + self.recompute_weight * recompute_ms
    }
}

/// Returns the position of the best view; equal scores keep the given order.
pub fn choose(
    views: &[ProbeView],
    prompt_blocks: u64,
    weighing: Weighing,
) -> Option<usize> {
    let scores = views.iter().map(|view| weighing.score(view, prompt_blocks));
    scores.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Returns how much longer late answers are worth waiting for.
///
/// A part of what recomputing would take at the best of those that answered, so
/// that the wait costs little even if nobody holds more; `most_ms` if none has.
pub fn patience_ms(views: &[ProbeView], prompt_blocks: u64, most_ms: f64) -> f64 {
    let part_ms = |view: &ProbeView| view.recompute_ms(prompt_blocks) / PATIENCE_PART;
    views.iter().map(part_ms).reduce(f64::min).unwrap_or(most_ms).min(most_ms)
}
