//! Small made-up configurations for experiments.

use std::fmt::Write;
use std::net::SocketAddr;

use bilberry_config::Folder;
use bilberry_config::PieceFile;
use bilberry_config::hash_text;
use bilberry_standins::EngineTraits;

use crate::Arrival;
use crate::FleetPlan;

/// The model of small configurations.
pub(crate) const MODEL: &str = "m";

/// A small made-up configuration.
#[derive(Debug, Clone)]
pub(crate) struct Small {
    /// Customers with their weights.
    pub customers: Vec<(&'static str, u32)>,
    /// How many engines.
    pub engines: usize,
    /// How many servers of a plain service.
    pub services: usize,
    /// How many entries.
    pub entries: usize,
    /// What each engine is like.
    pub traits: EngineTraits,
    /// How many requests an engine runs at once.
    pub max_running: usize,
    /// How long a request may take.
    pub deadline_ms: u64,
    /// Whether entries and sidecars are processes of their own.
    pub processes: bool,
    /// More lines for the settings' table of peers.
    pub peers: String,
}

impl Default for Small {
    fn default() -> Self {
        Self {
            customers: vec![("anna", 1)],
            engines: 1,
            services: 0,
            entries: 1,
            traits: EngineTraits::default(),
            max_running: 16,
            deadline_ms: 60_000,
            processes: true,
            peers: String::new(),
        }
    }
}

impl Small {
    /// Returns the folder.
    pub(crate) fn folder(&self) -> Folder {
        let mut text = "owner = \"load\"\n".to_string();
        for (name, weight) in &self.customers {
            let hash = hash_text(&format!("key-{name}"));
            let _ = write!(
                text,
                "[[customer]]\nname = \"{name}\"\nkey_hashes = [\"{hash}\"]\n\
                 weight = {weight}\nrate_per_s = 100000\nconcurrency = 100000\n\
                 deadline_ms = {}\nmodels = [\"{MODEL}\"]\n",
                self.deadline_ms
            );
        }
        let _ = write!(
            text,
            "[[model]]\nname = \"{MODEL}\"\npool = \"p\"\nweights = \"w1\"\n\
             [[pool]]\nname = \"p\"\n[[pool]]\nname = \"s\"\n"
        );
        for at in 0..self.engines {
            let _ = write!(
                text,
                "[[upstream]]\nname = \"e{at}\"\nkind = \"engine\"\npool = \"p\"\n\
                 place = \"tw-north/hall-a\"\nmax_running = {}\nqueue_limit = 256\n",
                self.max_running
            );
        }
        for at in 0..self.services {
            let _ = write!(
                text,
                "[[upstream]]\nname = \"s{at}\"\nkind = \"service\"\npool = \"s\"\n\
                 place = \"tw-north/hall-a\"\n"
            );
        }
        Folder { files: vec![PieceFile { file: "10-load.toml".into(), text }] }
    }

    /// Returns the plan of the fleet.
    pub(crate) fn plan(&self) -> FleetPlan {
        FleetPlan {
            folders: vec![self.folder()],
            entries: self.entries,
            traits: self.traits.clone(),
            processes: self.processes,
            exact: false,
            peers: self.peers.clone(),
            callers: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// Returns evenly spread arrivals of unique prompts, so that nothing is cached.
pub(crate) fn unique_arrivals(
    customer: &'static str,
    rate_per_s: f64,
    duration_ms: u64,
    prompt_bytes: usize,
    tokens: u32,
) -> Vec<Arrival> {
    let count = (rate_per_s * duration_ms as f64 / 1e3) as u64;
    (0..count)
        .map(|at| {
            let head = format!("{customer} {at} ");
            let prompt = head.repeat(prompt_bytes.div_ceil(head.len()));
            let at_us = (at as f64 / rate_per_s * 1e6) as u64;
            Arrival { at_us, customer, prompt, tokens }
        })
        .collect()
}
