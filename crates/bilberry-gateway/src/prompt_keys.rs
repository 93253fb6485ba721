//! The keys of a prompt's shared parts.

use bilberry_core::UnixMs;
use bilberry_core::part_key;

use crate::KeptParts;
use crate::PromptPart;
use crate::Upstream;

/// The keys by which the shared parts of one prompt are known under one salt.
///
/// A request is compared with all upstreams of its service. Hashing the salt once
/// for each part, not once more for each upstream, takes a comparison from 1.7 to
/// 1.5 us with 20 upstreams, and from 17 to 11 us with 200 (median of the example
/// `prompt_keys`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptKeys {
    salt: String,
    parts: Vec<KeyedPart>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KeyedPart {
    key: u64,
    tokens: u64,
}

impl PromptKeys {
    /// Computes the keys of shared parts, in the order of the prompt.
    pub fn new(salt: String, shared_parts: &[PromptPart]) -> Self {
        let keyed = |part: &PromptPart| KeyedPart {
            key: part_key(&salt, part.id),
            tokens: part.tokens,
        };
        let parts = shared_parts.iter().map(keyed).collect();
        Self { salt, parts }
    }

    /// Returns what keeps the cached parts apart.
    pub fn salt(&self) -> &str {
        &self.salt
    }

    /// Returns the keys in the order of the prompt.
    pub fn keys(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().map(|part| part.key)
    }

    /// Returns how many shared tokens an upstream holds.
    pub fn held_tokens(&self, upstream: &Upstream, now: UnixMs) -> u64 {
        self.leading_tokens(|key| upstream.holds(key, now))
    }

    /// Returns how many shared tokens the store of kept prompts should have.
    pub fn kept_tokens(&self, kept: &KeptParts, now: UnixMs) -> u64 {
        self.leading_tokens(|key| kept.has(key, now))
    }

    /// Returns the parts that the first `tokens` tokens don't cover, as their keys and
    /// the counts of tokens up to their ends.
    pub fn after(&self, tokens: u64) -> impl Iterator<Item = (u64, u64)> {
        let ends = self.parts.iter().scan(0, |end, part| {
            *end += part.tokens;
            Some((part.key, *end))
        });
        ends.filter(move |&(_, end)| end > tokens)
    }

    /// Counts tokens up to the first part that is missing: later ones can't be used
    /// without it.
    fn leading_tokens(&self, has: impl Fn(u64) -> bool) -> u64 {
        let held = self.parts.iter().take_while(|part| has(part.key));
        held.map(|part| part.tokens).sum()
    }
}
