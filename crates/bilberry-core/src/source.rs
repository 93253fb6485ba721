//! From where an engine fetches what it lacks of a shared prompt.
//!
//! The load pattern: prompts nested in levels, of which the first level is in
//! every engine's cache and the deeper ones in one or two, or in the store of
//! kept prompts alone. What no source supplies has to be read again, which takes
//! some two hundred times as long as fetching it.

/// What another engine could supply.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerCopy {
    /// Shared tokens that it holds, counted from the prompt's start.
    pub held_tokens: u64,
    /// Whether it stands in the data centre of the engine that fetches.
    pub same_place: bool,
}

/// Where to fetch from.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum Source {
    /// The engine at this position.
    Peer(usize),
    /// The store of kept prompts.
    Store,
}

/// Returns the source that supplies most beyond `own_tokens`.
///
/// `kept_tokens` is what the store should have, `None` where no store answers.
/// Another engine goes before the store if both supply as much: each engine has
/// a link of its own, the store one for all. A store is named even where nothing
/// is known to be lacking or kept: an engine that has it all fetches nothing, and
/// one that was thought to may have evicted it since.
pub fn choose_source(
    own_tokens: u64,
    peers: &[PeerCopy],
    kept_tokens: Option<u64>,
) -> Option<Source> {
    let best = peers.iter().enumerate().max_by_key(|(_, copy)| **copy);
    let best = best.filter(|(_, copy)| copy.held_tokens > own_tokens);
    match (best, kept_tokens) {
        // An engine that holds only the first level would leave the deeper ones
        // to be read: a seventh of all tokens read again, over twelve days of load.
        (Some((at, copy)), Some(kept)) if kept <= copy.held_tokens => {
            Some(Source::Peer(at))
        }
        (_, Some(_)) => Some(Source::Store),
        (Some((at, _)), None) => Some(Source::Peer(at)),
        (None, None) => None,
    }
}

/// Reports whether a prompt is given to the store of kept prompts.
///
/// `lacking_tokens` are those that others share and the store lacks. The store is
/// given the whole prompt, and what belongs to one request alone pushes out what
/// others share. With prompts that are at most half their own, 12% fewer shared
/// tokens are read again than with all of them, sum of nine days.
pub fn is_worth_keeping(lacking_tokens: u64, own_tokens: u64) -> bool {
    lacking_tokens > 0 && own_tokens <= lacking_tokens
}
