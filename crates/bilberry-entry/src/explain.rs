//! Why a request went where it went.

use bilberry_core::Name;
use bilberry_core::Weighing;
use serde::Deserialize;
use serde::Serialize;

use crate::Answered;
use crate::Target;

/// The decision on one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explained {
    /// The upstream that was chosen; none if no asked one took new work.
    pub chosen: Option<Name>,
    /// The blocks of the prompt.
    pub prompt_blocks: u64,
    /// The worth of a recomputed against a waited millisecond.
    pub recompute_weight: f64,
    /// Those that answered and take new work, with their scores.
    pub answers: Vec<ExplainedAnswer>,
    /// Those that answered that they take no new work.
    pub unready: Vec<Name>,
    /// Those that were asked and did not answer in time.
    pub silent: Vec<Name>,
}

/// One answer that was weighed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedAnswer {
    /// The upstream.
    pub upstream: Name,
    /// Whether the prompt's ranks lead to it, so that every entry asks it.
    pub is_ranked: bool,
    /// The blocks that it held.
    pub held_blocks: u64,
    /// The wait before the prefill.
    pub wait_ms: f64,
    /// How long one prompt token takes there.
    pub prefill_us_per_token: f64,
    /// The score; the smallest wins.
    pub score_ms: f64,
}

impl Explained {
    /// Notes a decision among those that were `asked`.
    pub fn new(
        asked: &[Target],
        answers: &[Answered],
        prompt_blocks: u64,
        weighing: Weighing,
        chosen: Option<usize>,
    ) -> Self {
        let name = |at: usize| asked[at].upstream.clone();
        let (ready, unready): (Vec<_>, Vec<_>) =
            answers.iter().partition(|answer| answer.is_ready());
        let is_silent = |at: &usize| !answers.iter().any(|answer| answer.target == *at);
        let weighed = ready.iter().map(|Answered { view, .. }| ExplainedAnswer {
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
            answers: weighed.collect(),
            unready: unready.iter().map(|answer| name(answer.target)).collect(),
            silent: (0..asked.len()).filter(is_silent).map(name).collect(),
        }
    }

    /// Returns the decision as the detail of an event.
    pub fn detail(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
