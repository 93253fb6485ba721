//! One entry or sidecar, as a task or as a process of its own.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;

use bilberry_config::Settings;
use bilberry_standins::EngineStandin;
use bilberryd::Process;

use crate::Exact;

/// How many clock ticks the system counts a second.
const TICKS_PER_S: f64 = 100.0;

/// One entry or sidecar.
pub enum Node {
    /// A task of this process.
    Task(Box<Process>),
    /// A process of its own.
    Child {
        /// The process.
        child: Child,
        /// Its addresses by name.
        addresses: Vec<(String, SocketAddr)>,
    },
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
}

impl Node {
    /// Starts a process of its own from the text of its settings.
    pub fn spawn(settings: &str, folder: &std::path::Path) -> Result<Self, String> {
        let name = format!("{:016x}.toml", rand::random::<u64>());
        let path = folder.join(name);
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(["node", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| error.to_string())?;
        let mut line = String::new();
        if let Some(output) = child.stdout.take() {
            let _ = BufReader::new(output).read_line(&mut line);
        }
        let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
        let addresses: Vec<_> = pairs
            .filter_map(|(name, address)| Some((name.into(), address.parse().ok()?)))
            .collect();
        match addresses.is_empty() {
            true => Err("a process did not start".to_string()),
            false => Ok(Self::Child { child, addresses }),
        }
    }

    /// Starts a task of this process.
    pub async fn start(settings: &str) -> Result<Self, String> {
        let settings = Settings::parse("settings", settings);
        let settings = settings.map_err(|error| error.to_string())?;
        let process = bilberryd::start(settings).await;
        Ok(Self::Task(Box::new(process.map_err(|error| error.to_string())?)))
    }

    /// Starts an entry as a task that reads every engine's cache exactly.
    pub async fn start_exact(
        settings: &str,
        engines: Vec<(String, Arc<EngineStandin>)>,
    ) -> Result<Self, String> {
        let settings = Settings::parse("settings", settings);
        let settings = settings.map_err(|error| error.to_string())?;
        let knowledge = |links| Exact::new(links, engines);
        let process = bilberryd::start_with(settings, knowledge).await;
        Ok(Self::Task(Box::new(process.map_err(|error| error.to_string())?)))
    }

    /// Returns where it listens for `what`.
    pub fn address(&self, what: &str) -> Option<SocketAddr> {
        match self {
            Self::Task(process) => {
                let addresses = process.addresses();
                match what {
                    "callers" => addresses.callers,
                    "administration" => addresses.administration,
                    "operations" => Some(addresses.operations),
                    _ => Some(addresses.peers),
                }
            }
            Self::Child { addresses, .. } => {
                addresses.iter().find(|(name, _)| name == what).map(|(_, at)| *at)
            }
        }
    }

    /// Returns what the process has used; `None` for a task.
    pub fn usage(&self) -> Option<Usage> {
        let Self::Child { child, .. } = self else { return None };
        usage_of(child.id())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Self::Child { child, .. } = self {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Reads what a process has used.
fn usage_of(id: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name in parentheses may hold spaces; fields are counted behind it.
    let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks =
        fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(Usage { cpu_s: ticks / TICKS_PER_S, memory_bytes: kilobytes * 1_024 })
}
