//! Configuration of a test fleet.

use std::fmt::Write;

use bilberry_standins::EngineTraits;

/// Configuration of a test fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Number of entries.
    pub entries: usize,
    /// The engines, each with a sidecar.
    pub engines: Vec<EngineTraits>,
    /// Number of servers of the plain service, each with a sidecar.
    pub services: usize,
    /// Whether to place a fault proxy in front of each sidecar.
    pub proxied_sidecars: bool,
    /// Whether to place a fault proxy in front of the platform.
    pub proxied_platform: bool,
    /// TOML lines for the engines' `[[pool]]` table.
    pub pool: String,
    /// TOML lines for the `[[upstream]]` table of each engine.
    pub upstream: String,
    /// TOML lines for the `[[service]]` table.
    pub service: String,
    /// Customer names, each with TOML lines for its `[[customer]]` table.
    pub customers: Vec<(String, String)>,
    /// TOML appended to the settings of every process, such as whole tables.
    pub settings: String,
    /// TOML lines for the `[limits]` table.
    pub limits: String,
    /// The weights configured for the model.
    pub weights: String,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: vec![EngineTraits::default()],
            services: 0,
            proxied_sidecars: false,
            proxied_platform: false,
            pool: String::new(),
            upstream: String::new(),
            service: String::new(),
            customers: vec![
                ("anna".to_string(), String::new()),
                ("ben".to_string(), String::new()),
            ],
            settings: String::new(),
            limits: String::new(),
            weights: "w1".to_string(),
        }
    }
}

impl FleetConfig {
    /// Returns a plan with `count` identical engines.
    pub fn engines(count: usize) -> Self {
        Self { engines: vec![EngineTraits::default(); count], ..Self::default() }
    }

    /// Returns a plan with `count` servers of the plain service and no engine.
    pub fn services(count: usize) -> Self {
        Self { engines: Vec::new(), services: count, ..Self::default() }
    }

    /// Renders the configuration file of the fleet as TOML.
    pub fn config_file(&self) -> String {
        let mut text = "owner = \"tests\"\n".to_string();
        for (name, lines) in &self.customers {
            let hash = bilberry_config::hash_text(&format!("key-{name}"));
            let _ = write!(
                text,
                "\n[[customer]]\nname = \"{name}\"\nkey_hashes = [\"{hash}\"]\n\
                 models = [\"m\"]\nservices = [\"s\"]\n{lines}\n"
            );
        }
        let weights = &self.weights;
        let _ = write!(
            text,
            "\n[[model]]\nname = \"m\"\npool = \"engines\"\nweights = \"{weights}\"\n\
             \n[[service]]\nname = \"s\"\npool = \"servers\"\n{}\n\
             \n[[pool]]\nname = \"engines\"\n{}\n\n[[pool]]\nname = \"servers\"\n",
            self.service, self.pool
        );
        for at in 0..self.engines.len() {
            let _ = write!(
                text,
                "\n[[upstream]]\nname = \"e{at}\"\nkind = \"engine\"\npool = \"engines\"\n\
                 place = \"r/h\"\n{}\n",
                self.upstream
            );
        }
        for at in 0..self.services {
            let _ = write!(
                text,
                "\n[[upstream]]\nname = \"s{at}\"\nkind = \"service\"\npool = \"servers\"\n\
                 place = \"r/h\"\n"
            );
        }
        text
    }
}
