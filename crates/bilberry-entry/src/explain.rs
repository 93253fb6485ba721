//! Records of routing decisions.

use bilberry_core::Name;
use bilberry_core::ScoreWeights;
use serde::Deserialize;
use serde::Serialize;

use crate::ProbeResult;
use crate::Target;

/// The routing decision for one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explained {
    /// The selected upstream; `None` if no probed upstream accepted new requests.
    pub chosen: Option<Name>,
    /// The number of blocks in the prompt.
    pub prompt_blocks: u64,
    /// The cost of a millisecond of recomputation relative to a millisecond of waiting.
    pub recompute_weight: f64,
    /// The answers of upstreams that accept new requests, with their scores.
    pub answers: Vec<ExplainedAnswer>,
    /// The upstreams that answered but accept no new requests.
    pub unready: Vec<Name>,
    /// The upstreams that did not answer in time.
    pub silent: Vec<Name>,
}

/// The scored answer of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedAnswer {
    /// The upstream.
    pub upstream: Name,
    /// Whether the upstream was ranked by the prompt and is thus probed by every entry.
    pub is_ranked: bool,
    /// The number of prompt blocks cached at the upstream.
    pub held_blocks: u64,
    /// The estimated wait before the prefill.
    pub wait_ms: f64,
    /// The estimated prefill time per prompt token.
    pub prefill_us_per_token: f64,
    /// The score; the lowest one is selected.
    pub score_ms: f64,
}

impl Explained {
    /// Creates the record of a decision among the `probed` upstreams.
    pub fn new(
        probed: &[Target],
        answers: &[ProbeResult],
        prompt_blocks: u64,
        weighing: ScoreWeights,
        chosen: Option<usize>,
    ) -> Self {
        let name = |at: usize| probed[at].upstream.clone();
        let (ready, unready): (Vec<_>, Vec<_>) =
            answers.iter().partition(|answer| answer.is_ready());
        let is_silent = |at: &usize| !answers.iter().any(|answer| answer.target == *at);
        let scored = ready.iter().map(|ProbeResult { view, .. }| ExplainedAnswer {
            upstream: view.upstream.clone(),
            is_ranked: view.is_ranked,
            held_blocks: view.held_blocks,
            wait_ms: view.wait_ms,
            prefill_us_per_token: view.prefill_us_per_token,
            score_ms: weighing.score(view, prompt_blocks),
        });
        Self {
            chosen: chosen.map(name),
            prompt_blocks,
            recompute_weight: weighing.recompute_weight,
            answers: scored.collect(),
            unready: unready.iter().map(|answer| name(answer.target)).collect(),
            silent: (0..probed.len()).filter(is_silent).map(name).collect(),
        }
    }

    /// Serializes the decision for the detail of an event.
    pub fn detail(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
