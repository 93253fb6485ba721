//! The sidecar's index of the blocks that its engine has cached.

use std::collections::HashSet;

use crate::Fingerprint;
use crate::sample_depths;

/// What happened to a cached block.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One cache event as an engine publishes it.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The engine's event counter, reset when the engine starts.
    pub sequence: u64,
    /// The random identifier that the engine chose at its start.
    pub incarnation: u64,
    /// What happened.
    pub kind: EventKind,
    /// The low half of the block's hash.
    pub block: Fingerprint,
}

/// Whether the index is complete.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
pub enum IndexState {
    /// Every event since the start or the last snapshot was applied.
    Synced,
    /// Events were lost; a snapshot must be fetched.
    Incomplete,
}

/// The cached blocks of one incarnation of one engine.
#[derive(Debug)]
pub struct CacheIndex {
    incarnation: u64,
    next_sequence: u64,
    state: IndexState,
    blocks: HashSet<Fingerprint>,
}

impl CacheIndex {
    /// Creates an empty index that needs a snapshot.
    pub fn new() -> Self {
        Self {
            incarnation: 0,
            next_sequence: 0,
            state: IndexState::Incomplete,
            blocks: HashSet::new(),
        }
    }

    /// Applies an event and returns the state after it.
    pub fn apply(&mut self, event: CacheEvent) -> IndexState {
        if event.incarnation != self.incarnation {
            self.reset(event.incarnation);
        }
        match event.sequence {
            // The snapshot already includes events that precede it.
            n if n < self.next_sequence => return self.state,
            n if n > self.next_sequence => self.state = IndexState::Incomplete,
            _ => {}
        }
        self.next_sequence = event.sequence + 1;
        match event.kind {
            EventKind::Stored => self.blocks.insert(event.block),
            EventKind::Evicted => self.blocks.remove(&event.block),
        };
        self.state
    }

    /// Replaces the index with a snapshot taken before event `next_sequence`.
    pub fn load_snapshot(
        &mut self,
        incarnation: u64,
        next_sequence: u64,
        blocks: impl IntoIterator<Item = Fingerprint>,
    ) {
        self.incarnation = incarnation;
        self.next_sequence = next_sequence;
        self.state = IndexState::Synced;
        self.blocks = blocks.into_iter().collect();
    }

    /// Clears the index for a new incarnation of the engine.
    ///
    /// A crashed engine restarts with an empty cache. If its old blocks stayed
    /// listed, requests would be routed to it and recompute their whole prompts.
    pub fn reset(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.next_sequence = 0;
        self.state = IndexState::Synced;
        self.blocks.clear();
    }

    /// Returns the engine incarnation that the index describes.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether the index is complete.
    pub fn state(&self) -> IndexState {
        self.state
    }

    /// Marks the index as incomplete because events were lost.
    pub fn mark_incomplete(&mut self) {
        self.state = IndexState::Incomplete;
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Reports whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the depth, in blocks, to which a chain of `len` blocks is cached.
    ///
    /// `sample` contains the fingerprints at the depths of [`sample_depths`]. An
    /// engine evicts leaves before their parents, so a cached sample implies that
    /// all blocks above it are cached as well.
    pub fn depth(&self, len: usize, sample: &[Fingerprint]) -> usize {
        sample_depths(len)
            .into_iter()
            .zip(sample)
            .rev()
            .find(|(_, block)| self.blocks.contains(block))
            .map_or(0, |(depth, _)| depth)
    }
}

impl Default for CacheIndex {
    fn default() -> Self {
        Self::new()
    }
}
