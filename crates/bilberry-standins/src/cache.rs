//! The block cache of a stand-in engine.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;

/// One cached block, with what a check of the promises needs.
#[derive(Debug, Clone)]
struct Block {
    used_at: u64,
    weights: String,
    user: String,
}

/// Which blocks are cached on how many live engines.
#[derive(Debug, Clone, Default)]
pub struct Holders {
    counts: Arc<Mutex<HashMap<u64, u32>>>,
}

impl Holders {
    /// Reports whether any live engine holds a block.
    pub fn any(&self, hash: u64) -> bool {
        self.counts.lock().unwrap().contains_key(&hash)
    }

    fn add(&self, hash: u64) {
        *self.counts.lock().unwrap().entry(hash).or_default() += 1;
    }

    fn remove(&self, hash: u64) {
        let mut counts = self.counts.lock().unwrap();
        match counts.get_mut(&hash) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                counts.remove(&hash);
            }
        }
    }
}

/// A least-recently-used cache of blocks.
#[derive(Debug, Default)]
pub struct BlockCache {
    capacity: usize,
    tick: u64,
    blocks: HashMap<u64, Block>,
    by_use: BTreeMap<u64, u64>,
    holders: Holders,
}

impl BlockCache {
    /// Creates a cache for `capacity` blocks.
    pub fn new(capacity: usize, holders: Holders) -> Self {
        Self { capacity, holders, ..Self::default() }
    }

    /// Returns how many leading blocks of a chain are held.
    pub fn depth(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// Returns how many of the held leading blocks break a promise.
    pub fn violations(&self, chain: &[u64], weights: &str, user: &str) -> u64 {
        let held = chain.iter().map_while(|hash| self.blocks.get(hash));
        held.filter(|block| block.weights != weights || block.user != user).count() as u64
    }

    /// Uses a chain: touches what is held and stores the rest.
    ///
    /// Returns the stored and the evicted blocks. Leaves are touched before their
    /// parents, so they are evicted before them.
    pub fn store(
        &mut self,
        chain: &[u64],
        weights: &str,
        user: &str,
    ) -> (Vec<u64>, Vec<u64>) {
        let mut stored = Vec::new();
        for &hash in chain.iter().rev() {
            self.tick += 1;
            match self.blocks.get_mut(&hash) {
                Some(block) => {
                    self.by_use.remove(&block.used_at);
                    block.used_at = self.tick;
                }
                None => {
                    let block = Block {
                        used_at: self.tick,
                        weights: weights.to_string(),
                        user: user.to_string(),
                    };
                    self.blocks.insert(hash, block);
                    self.holders.add(hash);
                    stored.push(hash);
                }
            }
            self.by_use.insert(self.tick, hash);
        }
        (stored, self.evict())
    }

    /// Returns all blocks.
    pub fn all(&self) -> Vec<u64> {
        self.blocks.keys().copied().collect()
    }

    /// Empties the cache.
    pub fn clear(&mut self) {
        for &hash in self.blocks.keys() {
            self.holders.remove(hash);
        }
        self.blocks.clear();
        self.by_use.clear();
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else { break };
            self.blocks.remove(&hash);
            self.holders.remove(hash);
            evicted.push(hash);
        }
        evicted
    }
}
