//! The caches of engines that evict the least recently used parts and fetch from each other.

use std::collections::BTreeMap;
use std::iter;

/// A part of a prompt under a scope.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part {
    pub scope: String,
    pub id: usize,
    pub tokens: u64,
}

/// What a request finds of its prompt.
#[derive(Debug, Default)]
pub struct Supply {
    /// The customers whose requests made the parts that it uses.
    pub makers: Vec<usize>,
    /// The tokens that its engine fetches from another one.
    pub fetched_tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Cached {
    maker: usize,
    used_at: u64,
}

/// The caches of all engines.
pub struct Caches {
    engines: Vec<BTreeMap<Part, Cached>>,
    capacity_tokens: u64,
}

impl Caches {
    pub fn new(engines: usize, capacity_tokens: u64) -> Self {
        Self { engines: vec![BTreeMap::new(); engines], capacity_tokens }
    }

    /// Returns how many leading tokens any engine holds.
    pub fn held_tokens(&self, parts: &[Part]) -> u64 {
        let held = (0..self.engines.len()).map(|engine| self.tokens_at(engine, parts));
        held.max().unwrap_or_default()
    }

    /// Chooses an engine that holds all shared parts of a prompt, or else one by the last.
    pub fn choose_engine(&self, parts: &[Part]) -> usize {
        let tokens: u64 = parts.iter().map(|part| part.tokens).sum();
        let home = parts.last().map_or(0, |part| part.id % self.engines.len());
        let holds_all = |engine: &usize| self.tokens_at(*engine, parts) == tokens;
        iter::once(home).chain(0..self.engines.len()).find(holds_all).unwrap_or(home)
    }

    /// Returns what a request that begins at an engine finds there and at another one.
    pub fn supply(&self, engine: usize, parts: &[Part]) -> Supply {
        let own = self.tokens_at(engine, parts);
        let engines = 0..self.engines.len();
        let source = engines.max_by_key(|&other| self.tokens_at(other, parts));
        let source = source.filter(|&other| self.tokens_at(other, parts) > own);
        let held = |at: usize| -> Vec<usize> {
            let cached = parts.iter().map_while(|part| self.engines[at].get(part));
            cached.map(|cached| cached.maker).collect()
        };
        match source {
            Some(other) => Supply {
                makers: held(other),
                fetched_tokens: self.tokens_at(other, parts) - own,
            },
            None => Supply { makers: held(engine), fetched_tokens: 0 },
        }
    }

    /// Runs a request of a customer at an engine; returns the shared tokens that it reads.
    pub fn run(
        &mut self,
        engine: usize,
        parts: &[Part],
        customer: usize,
        now: u64,
    ) -> u64 {
        let found = self.supply(engine, parts).makers;
        let mut read_tokens = 0;
        for (at, part) in parts.iter().enumerate() {
            let maker = match found.get(at) {
                Some(maker) => *maker,
                None => {
                    read_tokens += part.tokens;
                    customer
                }
            };
            self.engines[engine].insert(part.clone(), Cached { maker, used_at: now });
        }
        self.evict(engine);
        read_tokens
    }

    fn tokens_at(&self, engine: usize, parts: &[Part]) -> u64 {
        let cache = &self.engines[engine];
        let held = parts.iter().take_while(|part| cache.contains_key(part));
        held.map(|part| part.tokens).sum()
    }

    fn evict(&mut self, engine: usize) {
        let cache = &mut self.engines[engine];
        let mut tokens: u64 = cache.keys().map(|part| part.tokens).sum();
        while tokens > self.capacity_tokens {
            let oldest = cache.iter().min_by_key(|(part, it)| (it.used_at, part.id));
            let Some(oldest) = oldest.map(|(part, _)| part.clone()) else { return };
            tokens -= oldest.tokens;
            cache.remove(&oldest);
        }
    }
}
