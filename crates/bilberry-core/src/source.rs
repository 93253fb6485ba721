//! The source from which an engine fetches the uncached part of a shared prompt.
//!
//! Prompts are nested in levels. The first level is in every engine's cache, the deeper
//! ones in one or two caches or only in the prompt store. Tokens that no source supplies
//! must be prefilled again, which takes about 200 times as long as fetching them.

/// The part of a prompt that another engine can supply.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerCopy {
    /// Shared tokens that the engine has cached, counted from the start of the prompt.
    pub cached_tokens: u64,
    /// Whether it is in the same data centre as the fetching engine.
    pub same_data_centre: bool,
}

/// The source of a fetch.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Source {
    /// The engine at this index.
    Peer(usize),
    /// The prompt store.
    Store,
}

/// Returns the source that supplies the most tokens beyond `own_tokens`.
///
/// `stored_tokens` are the tokens that the store should have, `None` if no store responds.
/// Another engine is preferred if it supplies as many tokens as the store, because each
/// engine has its own link and the store has a single one. The store is returned even if
/// nothing is known to be missing or stored: an engine with all tokens fetches nothing,
/// and an engine expected to have them may have evicted them.
pub fn choose_source(
    own_tokens: u64,
    peers: &[PeerCopy],
    stored_tokens: Option<u64>,
) -> Option<Source> {
    let best = peers.iter().enumerate().max_by_key(|(_, copy)| **copy);
    let best = best.filter(|(_, copy)| copy.cached_tokens > own_tokens);
    match (best, stored_tokens) {
        // An engine with only the first level would leave the deeper levels to be
        // prefilled, which recomputes a seventh of all tokens.
        (Some((at, copy)), Some(kept)) if kept <= copy.cached_tokens => {
            Some(Source::Peer(at))
        }
        (_, Some(_)) => Some(Source::Store),
        (Some((at, _)), None) => Some(Source::Peer(at)),
        (None, None) => None,
    }
}

/// Reports whether a prompt should be saved in the prompt store.
///
/// `lacking_tokens` are the shared tokens that the store lacks. The store receives the
/// whole prompt, and tokens specific to one request evict shared ones, which must then
/// be recomputed. A prompt is therefore saved only if it has at most as many own tokens
/// as missing shared ones.
pub fn should_save(lacking_tokens: u64, own_tokens: u64) -> bool {
    lacking_tokens > 0 && own_tokens <= lacking_tokens
}
