//! A prompt's shared parts as engines of one version know them.

use bilberry_core::part_key;

use crate::decide::engine::Engine;
use crate::decide::load::Arrival;
use crate::decide::policy::Policy;

/// A prompt's shared parts under one version of the weights.
pub(crate) struct Keys {
    /// Their keys and tokens, in the order of the prompt.
    pub(crate) parts: Vec<(u64, u64)>,
}

impl Keys {
    /// Computes the keys of a request's shared parts.
    pub(crate) fn new(arrival: &Arrival, version: u64) -> Self {
        let salt = format!("m/{version}");
        let keyed = arrival.parts.map(|(part, tokens)| (part_key(&salt, part), tokens));
        Self { parts: keyed.to_vec() }
    }

    /// Returns how many leading parts an entry believes an engine to hold.
    pub(crate) fn known(
        &self,
        engine: &Engine,
        entry: usize,
        now_ms: f64,
        policy: Policy,
    ) -> usize {
        let is_known = |&&(key, _): &&(u64, u64)| {
            engine.part(key).is_some_and(|held| {
                let seen = held.by_entry == entry && held.seen_at_ms <= now_ms;
                let told = policy == Policy::Ours && held.told_for_ms <= now_ms;
                seen || told || held.since_ms + engine.event_delay_ms <= now_ms
            })
        };
        self.parts.iter().take_while(is_known).count()
    }
}
