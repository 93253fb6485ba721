//! The text that a stand-in engine generates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the whole answer of `tokens` tokens to a prompt.
///
/// It depends on the prompt and the weights only, so a test can tell whether a
/// caller got its own answer, whole and in order. An engine that uses blocks of other
/// weights or another user generates another text.
pub fn expected_answer(prompt: &str, weights: &str, tokens: u32) -> String {
    (0..tokens).map(|at| token(prompt_seed(prompt, weights), at)).collect()
}

/// Returns the seed of an answer.
pub(crate) fn prompt_seed(prompt: &str, weights: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(weights.as_bytes(), 0))
}

/// Returns the token at a position.
pub(crate) fn token(seed: u64, at: u32) -> String {
    format!(" {:x}", xxh3_64_with_seed(&at.to_le_bytes(), seed) & 0xfff)
}

/// Returns how many tokens a text of an earlier attempt has.
pub(crate) fn count_tokens(text: &str) -> u32 {
    text.split_whitespace().count() as u32
}
