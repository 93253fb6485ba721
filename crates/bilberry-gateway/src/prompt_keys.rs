//! Cache keys of a prompt's shared parts.

use bilberry_core::UnixMs;
use bilberry_core::part_key;

use crate::PromptPart;
use crate::StoreContents;
use crate::Upstream;

/// The cache keys of one prompt's shared parts under one salt.
///
/// A request is compared with all upstreams of its service. The salt is hashed once per
/// part, because with hundreds of upstreams hashing it for each of them would take a
/// considerable part of the comparison (see the example `prompt_keys`).
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
    /// Computes the keys of shared parts, in prompt order.
    pub fn new(salt: String, shared_parts: &[PromptPart]) -> Self {
        let keyed = |part: &PromptPart| KeyedPart {
            key: part_key(&salt, part.id),
            tokens: part.tokens,
        };
        let parts = shared_parts.iter().map(keyed).collect();
        Self { salt, parts }
    }

    /// Returns the salt that isolates the cached parts from those under other salts.
    pub fn salt(&self) -> &str {
        &self.salt
    }

    /// Returns the keys in prompt order.
    pub fn keys(&self) -> impl Iterator<Item = u64> {
        self.parts.iter().map(|part| part.key)
    }

    /// Returns how many leading shared tokens an upstream holds.
    pub fn cached_tokens(&self, upstream: &Upstream, now: UnixMs) -> u64 {
        self.leading_tokens(|key| upstream.holds(key, now))
    }

    /// Returns how many leading shared tokens a prompt store is assumed to hold.
    pub fn stored_tokens(&self, kept: &StoreContents, now: UnixMs) -> u64 {
        self.leading_tokens(|key| kept.has(key, now))
    }

    /// Returns the parts that the first `tokens` tokens do not fully cover, as pairs of
    /// the key and the number of tokens up to the part's end.
    pub fn parts_after(&self, tokens: u64) -> impl Iterator<Item = (u64, u64)> {
        let ends = self.parts.iter().scan(0, |end, part| {
            *end += part.tokens;
            Some((part.key, *end))
        });
        ends.filter(move |&(_, end)| end > tokens)
    }

    /// Counts the tokens up to the first missing part, without which later parts cannot
    /// be used.
    fn leading_tokens(&self, has: impl Fn(u64) -> bool) -> u64 {
        let held = self.parts.iter().take_while(|part| has(part.key));
        held.map(|part| part.tokens).sum()
    }
}
