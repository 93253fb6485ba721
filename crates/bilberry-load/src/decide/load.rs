//! What a load file says, and the arrivals that follow from it.

use std::path::Path;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;

/// A load: engines, requests and faults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// The seed of the arrivals.
    pub seed: u64,
    /// How long requests arrive.
    pub duration_s: u64,
    /// How many entries share them.
    pub entries: usize,
    /// How late an engine's cache events reach entries.
    pub event_delay_ms: u64,
    /// The engines.
    pub engines: Engines,
    /// The kinds of requests.
    pub requests: Vec<Kind>,
    /// What goes wrong, and what is changed.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Engines that are all alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    /// How many there are.
    pub count: usize,
    /// Requests that each runs at once.
    pub slots: u64,
    /// The memory of each.
    pub memory_tokens: u64,
    /// Prompt tokens that each reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Tokens that each fetches from another in a millisecond.
    pub fetch_tokens_per_ms: f64,
    /// The time of one generated token.
    pub step_ms: f64,
    /// How long each takes to load weights.
    pub load_ms: u64,
}

/// Requests of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many arrive in a second.
    pub per_s: f64,
    /// Within which time the first event is due.
    pub target_ms: u64,
    /// Tokens of the first shared part, and how many such parts there are.
    pub first_tokens: u64,
    /// How many first parts there are.
    pub first_parts: u64,
    /// Tokens of the part that a subject's requests share.
    pub subject_tokens: u64,
    /// How many subjects there are.
    pub subjects: u64,
    /// Tokens of the request's own part.
    pub own_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
}

/// What goes wrong, or is changed.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Some engines crash and come back empty.
    Crash {
        /// When.
        at_s: f64,
        /// Which part of them.
        share: f64,
        /// For how long they are down.
        for_s: f64,
    },
    /// New weights are named.
    Weights {
        /// When.
        at_s: f64,
    },
    /// More requests arrive.
    Burst {
        /// When.
        at_s: f64,
        /// For how long.
        for_s: f64,
        /// How many times as many.
        times: f64,
    },
}

/// One request as it arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrives.
    pub at_ms: f64,
    /// Its kind's position in the load.
    pub kind: usize,
    /// The entry that it arrives at.
    pub entry: usize,
    /// Its shared parts, as identities with their tokens.
    pub parts: [(u64, u64); 2],
}

impl LoadFile {
    /// Reads a load.
    pub fn read(file: &Path) -> Result<Self, String> {
        let name = file.display();
        let text = std::fs::read_to_string(file);
        let text = text.map_err(|error| format!("{name}: {error}; name a load file"))?;
        toml::from_str(&text).map_err(|error| format!("{name}: {error}"))
    }

    /// Draws the arrivals, in the order of their times.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (kind, requests) in self.requests.iter().enumerate() {
            let mut at_ms: f64 = 0.0;
            loop {
                let mean_ms = 1_000.0 / (requests.per_s * self.times_at(at_ms));
                at_ms -= mean_ms * (1.0 - random.random::<f64>()).ln();
                if at_ms >= self.duration_s as f64 * 1_000.0 {
                    break;
                }
                let subject = random.random_range(0..requests.subjects);
                let first = subject % requests.first_parts;
                let name =
                    |level: u64, number: u64| (kind as u64) << 40 | level << 32 | number;
                let parts = [
                    (name(0, first), requests.first_tokens),
                    (name(1, subject), requests.subject_tokens),
                ];
                let entry = random.random_range(0..self.entries);
                arrivals.push(Arrival { at_ms, kind, entry, parts });
            }
        }
        arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        arrivals
    }

    fn times_at(&self, now_ms: f64) -> f64 {
        let now_s = now_ms / 1_000.0;
        let times = self.faults.iter().map(|fault| match *fault {
            Fault::Burst { at_s, for_s, times }
                if (at_s..at_s + for_s).contains(&now_s) =>
            {
                times
            }
            _ => 1.0,
        });
        times.product()
    }
}
