//! An engine as it really is.

use std::collections::HashMap;

use crate::decide::load::Engines;

/// An engine: what it holds, reads and runs.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    /// Until when it is down or loads weights.
    pub(crate) away_until_ms: f64,
    /// Whether it loads weights, where it is away; else it is down.
    pub(crate) loads: bool,
    /// When it went away last.
    pub(crate) away_since_ms: f64,
    /// When its turn to load weights comes, until it has loaded them.
    pub(crate) turn_at_ms: Option<f64>,
    /// The version of its weights.
    pub(crate) version: u64,
    /// When it will have read all that it was sent.
    pub(crate) read_all_at_ms: f64,
    /// The requests that it was sent.
    pub(crate) runs: Vec<Run>,
    /// How late its cache events reach entries.
    pub(crate) event_delay_ms: f64,
    parts: HashMap<u64, Held>,
}

/// A request at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: usize,
    pub(crate) entry: usize,
    pub(crate) sent_at_ms: f64,
    pub(crate) first_event_ms: f64,
    pub(crate) ends_at_ms: f64,
    pub(crate) read_tokens: u64,
    pub(crate) memory_tokens: u64,
}

/// A part in an engine's cache.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Held {
    tokens: u64,
    /// From when on it can be used.
    pub(crate) since_ms: f64,
    used_at_ms: f64,
    /// Its position in the prompts that it belongs to.
    depth: usize,
    /// The entry whose request had it read or fetched.
    pub(crate) by_entry: usize,
    /// When that entry saw the request's first event.
    pub(crate) seen_at_ms: f64,
    /// When it should have been read, as all entries were told.
    pub(crate) told_for_ms: f64,
}

/// What a request asks of an engine.
#[derive(Debug)]
pub(crate) struct Work<'a> {
    pub(crate) request: usize,
    pub(crate) entry: usize,
    pub(crate) now_ms: f64,
    /// Its shared parts' keys and tokens.
    pub(crate) parts: &'a [(u64, u64)],
    /// How many of the parts another engine supplies.
    pub(crate) supplied: usize,
    pub(crate) own_tokens: u64,
    pub(crate) output_tokens: u64,
    /// In what time the entry believes that a token is read.
    pub(crate) believed_ms_per_token: f64,
}

/// What came of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Done {
    pub(crate) first_event_ms: f64,
    /// How many of the parts it had to read, from the last one back.
    pub(crate) parts_read: usize,
}

impl Engine {
    /// Creates an engine that holds nothing.
    pub(crate) fn new(event_delay_ms: f64) -> Self {
        Self { event_delay_ms, ..Self::default() }
    }

    /// Returns a part that it holds or reads.
    pub(crate) fn part(&self, key: u64) -> Option<&Held> {
        self.parts.get(&key)
    }

    /// Returns a part that it holds and that can be used by `by_ms`.
    pub(crate) fn held(&self, key: u64, by_ms: f64) -> Option<&Held> {
        self.parts.get(&key).filter(|held| held.since_ms <= by_ms)
    }

    /// Returns when it begins to read a request that is sent now.
    pub(crate) fn begins_at_ms(&self, now_ms: f64, terms: &Engines) -> f64 {
        let mut ends: Vec<f64> = self.active(now_ms).map(|run| run.ends_at_ms).collect();
        let slots = terms.slots as usize;
        let slot_at_ms = match ends.len() < slots {
            true => now_ms,
            false => {
                ends.sort_by(f64::total_cmp);
                ends[ends.len() - slots]
            }
        };
        self.read_all_at_ms.max(slot_at_ms).max(self.away_until_ms).max(now_ms)
    }

    /// Returns the requests there at a moment.
    pub(crate) fn active(&self, at_ms: f64) -> impl Iterator<Item = &Run> {
        self.runs
            .iter()
            .filter(move |run| run.sent_at_ms <= at_ms && run.ends_at_ms > at_ms)
    }

    /// Returns how many leading parts it will have cached when it begins.
    pub(crate) fn leading_held(&self, parts: &[(u64, u64)], by_ms: f64) -> usize {
        parts.iter().take_while(|&&(key, _)| self.held(key, by_ms).is_some()).count()
    }

    /// Takes a request.
    pub(crate) fn take(&mut self, work: &Work<'_>, terms: &Engines) -> Done {
        let begins_ms = self.begins_at_ms(work.now_ms, terms);
        let held = self.leading_held(work.parts, begins_ms);
        let supplied = work.supplied.max(held);
        let tokens = |parts: &[(u64, u64)]| parts.iter().map(|&(_, t)| t).sum::<u64>();
        let fetch_ms =
            tokens(&work.parts[held..supplied]) as f64 / terms.fetch_tokens_per_ms;
        let mut at_ms = begins_ms + fetch_ms;
        let backlog_ms = self.read_all_at_ms.max(work.now_ms) - work.now_ms;
        let mut believed_ms = work.now_ms + backlog_ms;
        let ends: Vec<(f64, f64)> = work
            .parts
            .iter()
            .enumerate()
            .map(|(position, &(_, tokens))| {
                if position >= supplied {
                    at_ms += tokens as f64 / terms.read_tokens_per_ms;
                    believed_ms += tokens as f64 * work.believed_ms_per_token;
                }
                (at_ms, believed_ms)
            })
            .collect();
        let first_event_ms = at_ms + work.own_tokens as f64 / terms.read_tokens_per_ms;
        for (depth, (&(key, tokens), (since_ms, told_for_ms))) in
            work.parts.iter().zip(ends).enumerate()
        {
            let fresh = Held {
                tokens,
                since_ms,
                used_at_ms: first_event_ms,
                depth,
                by_entry: work.entry,
                seen_at_ms: first_event_ms,
                told_for_ms,
            };
            let known = self.parts.entry(key).or_insert(fresh);
            known.used_at_ms = first_event_ms;
        }
        self.read_all_at_ms = first_event_ms;
        let read_tokens = tokens(&work.parts[supplied..]) + work.own_tokens;
        self.runs.push(Run {
            request: work.request,
            entry: work.entry,
            sent_at_ms: work.now_ms,
            first_event_ms,
            ends_at_ms: first_event_ms + work.output_tokens as f64 * terms.step_ms,
            read_tokens,
            memory_tokens: tokens(work.parts) + work.own_tokens + work.output_tokens,
        });
        self.evict(work.now_ms, terms);
        Done { first_event_ms, parts_read: work.parts.len() - supplied }
    }

    /// Drops what was used longest ago, as far as what runs needs the memory; the
    /// request's own part counts as used up with it.
    fn evict(&mut self, now_ms: f64, terms: &Engines) {
        let running: u64 = self.active(now_ms).map(|run| run.memory_tokens).sum();
        let room = terms.memory_tokens.saturating_sub(running);
        let mut cached: u64 = self.parts.values().map(|held| held.tokens).sum();
        while cached > room {
            // Of one prompt's parts the deeper ones go first: they are of no use alone.
            let oldest = self.parts.iter().min_by(|(a_key, a), (b_key, b)| {
                let by_use = a.used_at_ms.total_cmp(&b.used_at_ms);
                by_use.then(b.depth.cmp(&a.depth)).then(a_key.cmp(b_key))
            });
            let Some((&key, held)) = oldest else { break };
            cached -= held.tokens;
            self.parts.remove(&key);
        }
    }

    /// Goes away with all that it holds; returns the requests that end there.
    pub(crate) fn crash(&mut self, now_ms: f64, for_ms: f64) -> Vec<Run> {
        let (ended, over) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.ends_at_ms > now_ms);
        self.runs = over;
        self.parts.clear();
        self.loads = false;
        self.be_away(now_ms, for_ms);
        ended
    }

    /// Returns how many requests wait for their first event at a moment.
    pub(crate) fn waiting(&self, now_ms: f64) -> u64 {
        let waits = |run: &&Run| run.first_event_ms > now_ms;
        self.active(now_ms).filter(waits).count() as u64
    }

    /// Loads weights: what runs goes on, and what waits is thrown back.
    pub(crate) fn load(&mut self, version: u64, now_ms: f64, for_ms: f64) -> Vec<Run> {
        let (thrown_back, begun) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.first_event_ms > now_ms);
        self.runs = begun;
        self.read_all_at_ms = now_ms;
        self.version = version;
        self.loads = true;
        self.turn_at_ms = None;
        self.be_away(now_ms, for_ms);
        thrown_back
    }

    fn be_away(&mut self, now_ms: f64, for_ms: f64) {
        self.away_since_ms = now_ms;
        self.away_until_ms = now_ms + for_ms;
        self.read_all_at_ms = self.read_all_at_ms.max(self.away_until_ms);
    }
}
