//! The settings file of a process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use bilberry_core::ClientLimits;
use bilberry_core::DataCentre;
use bilberry_core::HostResources;
use bilberry_core::Name;
use serde::Deserialize;

use crate::SettingsError;
use crate::error::describe_toml_error;

/// How many times its size a completion request holds at an entry: its body as received,
/// the prompt, the request to the engine and the frame that carries it.
pub const BODY_COPIES: u64 = 4;

/// The settings of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the process, unique in the system.
    pub process: Name,
    /// The name of the host in the platform's host list.
    pub host: Name,
    /// The role of the process.
    pub role: ProcessRole,
    /// The data centre, as `region/hall`.
    pub place: Name,
    /// The addresses on which the process listens.
    pub listen: Listen,
    /// Access to the platform's object API.
    pub platform: PlatformSettings,
    /// The upstream of a sidecar.
    pub upstream: Option<UpstreamSettings>,
    /// Peer discovery.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Limits on callers and on shutdown.
    #[serde(default)]
    pub limits: Limits,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// The owners that may use the administration API, with their tokens.
    #[serde(default)]
    pub administrator: Vec<Administrator>,
}

/// The role of a process.
#[derive(Debug, Copy, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessRole {
    /// Accepts callers' requests.
    Entry,
    /// Runs next to an upstream.
    Sidecar,
}

/// The addresses on which a process listens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers; an entry only.
    pub callers: Option<SocketAddr>,
    /// For the system's other processes.
    pub peers: SocketAddr,
    /// For metrics and health.
    pub operations: SocketAddr,
    /// For the administration API; an entry only.
    pub administration: Option<SocketAddr>,
    /// The address advertised to peers, if it differs from `peers`.
    pub advertise: Option<SocketAddr>,
}

/// Access to the platform's object API.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address.
    pub address: SocketAddr,
    /// The timeout of one call.
    #[serde(default = "default_platform_call_ms")]
    pub call_ms: u64,
    /// The long-polling time of a watch.
    #[serde(default = "default_watch_ms")]
    pub watch_ms: u64,
}

/// The upstream of a sidecar.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Its name in the configuration.
    pub name: Name,
    /// Its HTTP address.
    pub address: SocketAddr,
}

/// Peer discovery.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Peers to contact if the platform is unavailable at startup.
    pub seeds: Vec<SocketAddr>,
    /// Whether frames carry the sender's revision, so that receivers fetch newer ones.
    pub piggyback_revision: bool,
    /// The interval at which one random peer is asked for its revision.
    pub exchange_ms: u64,
    /// The number of processes that watch the configuration head; the others learn
    /// of changes from peers.
    pub head_watchers: usize,
}

/// Limits on callers and on shutdown.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a request body.
    pub body_bytes: usize,
    /// The maximum size of a request head.
    pub header_bytes: usize,
    /// The timeout for receiving a request head.
    pub header_ms: u64,
    /// The timeout for receiving a request body.
    pub body_ms: u64,
    /// The time after which a stream that the caller does not read is aborted.
    pub unread_ms: u64,
    /// The time that a graceful shutdown waits for requests in progress.
    pub stop_ms: u64,
    /// The timeout for answers to a probe.
    pub probe_ms: u64,
    /// The maximum number of callers' connections.
    pub connections: usize,
    /// The memory that the process may use, in MB of 10^6 bytes.
    pub memory_mb: f64,
    /// The maximum number of open descriptors.
    pub descriptors: usize,
}

/// Logging.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The minimum level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Name,
}

/// An owner that may use the administration API.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Administrator {
    /// The owner whose pieces the token may change; `*` for all owners.
    pub owner: Name,
    /// The BLAKE3 hash of the token, in hexadecimal.
    pub token_hash: String,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            SettingsError::Unreadable { file: file.clone(), reason: error.to_string() }
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and validates the text of a settings file.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let (line, problem, remedy) = describe_toml_error(text, &error);
            SettingsError::Malformed { file: file.to_string(), line, problem, remedy }
        })?;
        settings.check().map_err(|(key, problem, remedy)| SettingsError::Key {
            file: file.to_string(),
            key: key.to_string(),
            problem,
            remedy: remedy.to_string(),
        })?;
        Ok(settings)
    }

    /// Returns what the process may use on its host.
    pub fn resources(&self) -> HostResources {
        HostResources::new(self.limits.memory_mb, self.limits.descriptors)
            .expect("the limits are validated when the settings are parsed")
    }

    /// Returns the data centre.
    pub fn parsed_place(&self) -> DataCentre {
        DataCentre::parse(&self.place)
            .expect("the place is validated when the settings are parsed")
    }

    fn check(&self) -> Result<(), (&'static str, String, &'static str)> {
        self.check_names()?;
        self.check_role()?;
        self.check_addresses()?;
        self.check_resources()?;
        self.check_log()
    }

    fn check_names(&self) -> Result<(), (&'static str, String, &'static str)> {
        if self.process.is_empty() {
            return Err(("process", "is empty".into(), "give the process a name"));
        }
        match DataCentre::parse(&self.place) {
            Some(_) => Ok(()),
            None => Err((
                "place",
                format!("`{}` is no place", self.place),
                "write it as `region/hall`, such as `tw-north/hall-a`",
            )),
        }
    }

    fn check_role(&self) -> Result<(), (&'static str, String, &'static str)> {
        match self.role {
            ProcessRole::Entry if self.listen.callers.is_none() => Err((
                "listen.callers",
                "is missing".into(),
                "give the address at which an entry takes requests",
            )),
            ProcessRole::Entry if self.upstream.is_some() => Err((
                "upstream",
                "has no meaning for an entry".into(),
                "remove the table, or set `role = \"sidecar\"`",
            )),
            ProcessRole::Sidecar if self.upstream.is_none() => Err((
                "upstream",
                "is missing".into(),
                "add a table with the `name` and `address` of the upstream",
            )),
            ProcessRole::Sidecar if self.listen.callers.is_some() => Err((
                "listen.callers",
                "has no meaning for a sidecar".into(),
                "remove the key, or set `role = \"entry\"`",
            )),
            _ => Ok(()),
        }
    }

    fn check_addresses(&self) -> Result<(), (&'static str, String, &'static str)> {
        let mut seen = BTreeMap::new();
        let own = [
            ("listen.callers", self.listen.callers),
            ("listen.peers", Some(self.listen.peers)),
            ("listen.operations", Some(self.listen.operations)),
            ("listen.administration", self.listen.administration),
            ("platform.address", Some(self.platform.address)),
            ("upstream.address", self.upstream.as_ref().map(|u| u.address)),
        ];
        for (key, address) in own {
            // With port zero the system chooses a free port, so duplicates don't conflict.
            let Some(address) = address.filter(|address| address.port() != 0) else {
                continue;
            };
            if let Some(other) = seen.insert(address, key) {
                let problem = format!("clashes with `{other}`: both are {address}");
                return Err((key, problem, "give each its own port"));
            }
        }
        Ok(())
    }

    fn check_resources(&self) -> Result<(), (&'static str, String, &'static str)> {
        let Limits { memory_mb, descriptors, body_bytes, .. } = self.limits;
        match HostResources::new(memory_mb, descriptors) {
            Some(resources) => check_body(body_bytes, resources),
            None if descriptors < HostResources::MIN_DESCRIPTORS => Err((
                "limits.descriptors",
                format!("is {descriptors}, which is too few"),
                "allow 64 or more",
            )),
            None => Err((
                "limits.memory_mb",
                format!("is {memory_mb}, which is too little"),
                "allow 8 or more",
            )),
        }
    }

    fn check_log(&self) -> Result<(), (&'static str, String, &'static str)> {
        match self.log.level.as_str() {
            "error" | "warn" | "info" | "debug" | "trace" => Ok(()),
            other => Err((
                "log.level",
                format!("`{other}` is no level"),
                "use `error`, `warn`, `info`, `debug` or `trace`",
            )),
        }
    }
}

/// Checks that the largest body fits into the memory for callers.
fn check_body(
    body_bytes: usize,
    resources: HostResources,
) -> Result<(), (&'static str, String, &'static str)> {
    let most_bytes = ClientLimits::callers(resources).max_request_bytes() / BODY_COPIES;
    match body_bytes as u64 <= most_bytes {
        true => Ok(()),
        false => Err((
            "limits.body_bytes",
            format!("is {body_bytes}, and the memory holds bodies of {most_bytes}"),
            "lower it, or raise `limits.memory_mb`",
        )),
    }
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            piggyback_revision: true,
            exchange_ms: 1_000,
            head_watchers: 16,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            header_bytes: 16 * 1024,
            header_ms: 5_000,
            body_ms: 30_000,
            unread_ms: 30_000,
            stop_ms: 60_000,
            probe_ms: 10,
            connections: 10_000,
            memory_mb: HostResources::DEFAULT_MEMORY_MB,
            descriptors: HostResources::DEFAULT_DESCRIPTORS,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".into() }
    }
}

fn default_platform_call_ms() -> u64 {
    1_000
}

fn default_watch_ms() -> u64 {
    25_000
}
