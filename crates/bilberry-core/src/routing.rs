//! Selection of the upstream for a request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Chain;
use crate::Name;
use crate::TOKENS_PER_BLOCK;

/// The divisor of a prompt's recompute time that gives the wait for late probes.
const PROBE_WAIT_DIVISOR: f64 = 3.0;

/// The number of times a prompt is assumed to be computed if it is sent to an upstream
/// that was not chosen by rank.
///
/// The next entry probes other upstreams, so the prompt is computed again. With a
/// factor of one, an idle upstream that appears slightly faster draws prompts away from
/// the upstreams that all entries probe for them.
const UNRANKED_COMPUTE_FACTOR: f64 = 2.0;

/// A data centre within a region.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DataCentre {
    /// The region, such as `tw-north`.
    pub region: Name,
    /// The data centre, such as `hall-a`.
    pub hall: Name,
}

impl DataCentre {
    /// Parses `region/hall`.
    pub fn parse(text: &str) -> Option<Self> {
        let (region, hall) = text.split_once('/')?;
        Some(Self { region: region.into(), hall: hall.into() })
    }

    /// Returns an estimate of the round-trip time to another data centre.
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
    /// A hash of the name, computed once when the configuration is compiled, for ranking.
    pub seed: u64,
    /// The lowest recently known load, in milliseconds of waiting.
    pub wait_ms: u64,
}

impl Candidate {
    /// Creates a candidate with its seed.
    pub fn new(upstream: Name, wait_ms: u64) -> Self {
        let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
        Self { upstream, seed, wait_ms }
    }
}

/// An upstream to probe.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The index of the upstream.
    pub index: usize,
    /// Whether it was chosen by rank, so that every entry probes it for this prompt.
    pub is_ranked: bool,
}

/// Returns the index of the seed that ranks highest for a hash; `None` if there are none.
///
/// All callers with the same seeds agree. Removing a seed only moves the hashes for
/// which it ranked highest.
pub fn highest_ranked(hash: u64, seeds: &[u64]) -> Option<usize> {
    (0..seeds.len()).max_by_key(|&at| rank(hash, seeds[at]))
}

/// Returns the rank of an upstream for a hash; the highest rank is preferred.
pub(crate) fn rank(hash: u64, upstream_seed: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), upstream_seed)
}

/// Returns the indices of the `count` upstreams that rank highest for `hash`.
///
/// Every entry computes the same order without communication, and the loss of an
/// upstream moves only the prefixes for which it ranked highest.
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

/// Returns up to `limit` upstreams to probe, most promising first.
///
/// For prefixes of 1, 2, 4, 8 ... blocks, deepest first, the `per_depth` highest ranked
/// upstreams are selected, then the least loaded one. `random` breaks ties between idle
/// upstreams, so that entries do not all probe the same one.
pub fn candidates(
    chain: &Chain,
    upstreams: &[Candidate],
    per_depth: usize,
    limit: usize,
    random: u64,
) -> Vec<ProbeTarget> {
    let mut targets: Vec<ProbeTarget> = Vec::with_capacity(limit);
    let mut add = |at: usize, is_ranked: bool, max_len: usize| {
        if targets.len() < max_len && targets.iter().all(|target| target.index != at) {
            targets.push(ProbeTarget { index: at, is_ranked });
        }
    };
    // One probe is reserved for the least loaded upstream, so that an idle upstream is
    // probed even if all holders of the prefix are busy.
    let ranked_limit = limit.saturating_sub(1).max(1);
    for depth in geometric_depths(chain.len()) {
        let hash = chain.hashes()[depth - 1];
        for at in rendezvous(hash, upstreams, per_depth) {
            add(at, true, ranked_limit);
        }
    }
    // If several depths rank the same upstreams highest, the remaining probes go to
    // lower ranks for the root block, which provides alternatives to busy upstreams.
    if let Some(root) = chain.hashes().first() {
        for at in rendezvous(*root, upstreams, ranked_limit) {
            add(at, true, ranked_limit);
        }
    }
    let tie_break = |c: &Candidate| rank(random, c.seed);
    let idle =
        upstreams.iter().enumerate().min_by_key(|(_, c)| (c.wait_ms, tie_break(c)));
    if let Some((at, _)) = idle {
        add(at, false, limit);
    }
    targets
}

/// Returns the powers of two up to `len`, deepest first.
fn geometric_depths(len: usize) -> impl Iterator<Item = usize> {
    let deepest = len.checked_ilog2().map_or(0, |bits| bits + 1);
    (0..deepest).rev().map(|bits| 1 << bits)
}

/// The state of an upstream according to a probe or, failing that, an older report.
#[derive(Debug, Clone, PartialEq)]
pub struct ProbeView {
    /// The upstream.
    pub upstream: Name,
    /// The number of blocks of the chain that it has cached.
    pub held_blocks: u64,
    /// The time that a request would wait before its prefill starts.
    pub wait_ms: f64,
    /// The prefill time per prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// The round-trip time to the upstream.
    pub distance_ms: f64,
    /// Whether it was chosen by rank, so that every entry probes it for this prompt.
    pub is_ranked: bool,
}

impl ProbeView {
    /// Returns the time to compute the uncached blocks of a prompt.
    fn recompute_ms(&self, prompt_blocks: u64) -> f64 {
        let missing_blocks = prompt_blocks.saturating_sub(self.held_blocks);
        let missing_tokens = missing_blocks * TOKENS_PER_BLOCK;
        missing_tokens as f64 * self.prefill_us_per_token / 1_000.0
    }
}

/// The configured weighting of recomputation against waiting.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct ScoreWeights {
    /// The cost of a millisecond of recomputation, in milliseconds of waiting.
    ///
    /// A weight of one minimizes the caller's own time to first token. A higher weight
    /// evicts fewer blocks of other prompts, which later requests would recompute.
    pub recompute_weight: f64,
}

impl ScoreWeights {
    /// Returns the score of an upstream; lower is better.
    pub fn score(self, view: &ProbeView, prompt_blocks: u64) -> f64 {
        let compute_factor = if view.is_ranked { 1.0 } else { UNRANKED_COMPUTE_FACTOR };
        let recompute_ms = compute_factor * view.recompute_ms(prompt_blocks);
        view.wait_ms + view.distance_ms + self.recompute_weight * recompute_ms
    }
}

/// Returns the index of the view with the lowest score; ties go to the earliest view.
pub fn choose(
    views: &[ProbeView],
    prompt_blocks: u64,
    score_weights: ScoreWeights,
) -> Option<usize> {
    let scores = views.iter().map(|view| score_weights.score(view, prompt_blocks));
    scores.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Returns how much longer to wait for late probe responses, at most `max_ms`.
///
/// The wait is a fraction of the shortest recompute time among the upstreams that have
/// responded, so it costs little even if no other upstream has more cached. If none has
/// responded, the wait is `max_ms`.
pub fn late_probe_wait_ms(views: &[ProbeView], prompt_blocks: u64, max_ms: f64) -> f64 {
    let wait_ms_for =
        |view: &ProbeView| view.recompute_ms(prompt_blocks) / PROBE_WAIT_DIVISOR;
    views.iter().map(wait_ms_for).reduce(f64::min).unwrap_or(max_ms).min(max_ms)
}
