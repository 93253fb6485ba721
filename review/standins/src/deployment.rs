//! The processes of a small deployment: the platform's store, model servers, and the
//! project's own program in both roles, started as the deploy file says.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use bilberry_adapter_tests::Caller;
use bilberry_adapter_tests::ObjectStoreStandin;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::engine::Peers;
use crate::record::Record;

const PORT: u16 = 8_080;
const READY_PORT: u16 = 8_081;

/// How long processes may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a case may run.
const CASE_TIMEOUT: Duration = Duration::from_secs(112);

/// Plays a case; `None` if it takes too long or this process is told to stop. Its processes
/// end in any case, as they are killed on drop.
pub async fn until_stopped<T>(case: impl Future<Output = T>) -> Option<T> {
    let terminate = tokio::signal::unix::SignalKind::terminate();
    let mut terminate = tokio::signal::unix::signal(terminate).ok()?;
    tokio::select! {
        outcome = case => Some(outcome),
        _ = sleep(CASE_TIMEOUT) => None,
        _ = terminate.recv() => None,
        _ = tokio::signal::ctrl_c() => None,
    }
}

/// A process of the system, which is killed on drop.
pub struct Process {
    /// Its address.
    pub ip: Ipv4Addr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Returns its process id.
    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    /// Returns whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

/// A small deployment.
pub struct Deployment {
    /// The platform's store.
    pub store: Arc<ObjectStoreStandin>,
    /// The model servers.
    pub engines: Vec<Arc<Engine>>,
    /// The entries.
    pub entries: Vec<Process>,
    /// The sidecars, one beside each model server.
    pub sidecars: Vec<Process>,
    repository: PathBuf,
    folder: PathBuf,
    store_address: SocketAddr,
    /// Keeps the store's server running.
    _served: Box<dyn std::any::Any>,
}

/// The figures that differ between deployments.
#[derive(Debug, Clone)]
pub struct Figures {
    /// The number of model servers.
    pub engines: usize,
    /// The number of entries.
    pub entries: usize,
    /// The models that each server has.
    pub models: Vec<String>,
    /// The memory of a server in tokens.
    pub memory_tokens: u64,
    /// How many requests a server runs at once.
    pub slots: usize,
    /// Whether the servers check fencing tokens.
    pub checks_fences: bool,
    /// Whether the store tells how often it has come back from an older copy.
    pub tells_era: bool,
}

impl Deployment {
    /// Starts everything, and waits until the entries are ready and know the sidecars.
    pub async fn start(
        figures: &Figures,
        config: Value,
        network: u8,
        record: &Record,
    ) -> Result<Self, String> {
        let repository = std::env::var("REVIEW_REPOSITORY").map_err(|e| e.to_string())?;
        let repository = PathBuf::from(repository);
        let folder = std::env::temp_dir()
            .join(format!("bilberry-review-{}-{network}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let pid = std::process::id();
        let ip = |host: usize| {
            let second = 64 + (pid >> 8 & 0x1f) as u8 + 32 * (network & 1);
            Ipv4Addr::new(127, second, pid as u8, host as u8)
        };
        let store_address = SocketAddr::from((ip(1), PORT));
        let (store, served) =
            ObjectStoreStandin::start(store_address).await.map_err(|e| e.to_string())?;
        if !figures.tells_era {
            store.hide_era();
        }
        let mut deployment = Self {
            store,
            engines: Vec::new(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            repository,
            folder,
            store_address,
            _served: Box::new(served),
        };
        let peers = Peers::default();
        for number in 0..figures.engines {
            let settings = EngineSettings {
                id: format!("i-engine{number}"),
                address: SocketAddr::from((ip(10 + number), PORT)),
                models: figures.models.clone(),
                memory_tokens: figures.memory_tokens,
                slots: figures.slots,
                checks_fences: figures.checks_fences,
            };
            let engine = Engine::start(settings, record.clone(), peers.clone()).await;
            deployment.engines.push(engine.map_err(|e| e.to_string())?);
        }
        for model in &figures.models {
            deployment.store.put(
                "versions",
                model,
                json!({"Model": model, "Version": 1}),
            );
        }
        deployment.store.put("config", "main", config);
        deployment.register_all();
        deployment.keep_registered();
        for number in 0..figures.engines {
            let address = deployment.engines[number].settings.address;
            let role =
                format!("app={address}\nListen.outbound={}:8082\n", ip(10 + number));
            let sidecar = deployment.spawn(
                ip(10 + number),
                "sidecar",
                &role,
                figures.checks_fences,
            )?;
            deployment.sidecars.push(sidecar);
        }
        for number in 0..figures.entries {
            let own = ip(100 + number);
            let role =
                format!("Listen.Front={own}:{PORT}\nListen.Ready={own}:{READY_PORT}\n");
            let entry = deployment.spawn(own, "entry", &role, figures.checks_fences)?;
            deployment.entries.push(entry);
        }
        deployment.wait_until_ready(figures.engines).await?;
        Ok(deployment)
    }

    /// Returns the address to which callers of an entry connect.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        SocketAddr::from((self.entries[entry].ip, PORT))
    }

    /// Returns a loopback address at which nothing listens.
    pub fn unused_address(&self) -> SocketAddr {
        let octets = self.entries[0].ip.octets();
        SocketAddr::from((Ipv4Addr::new(octets[0], octets[1], octets[2], 200), PORT))
    }

    /// Names a version of a model's weights.
    pub fn name_version(&self, model: &str, version: u64, record: &Record) {
        self.engines.iter().for_each(|engine| engine.name_version(model, version));
        self.store.put("versions", model, json!({"Model": model, "Version": version}));
        record.line(&format!(
            "operator: version {version} of {model} is named and acknowledged"
        ));
    }

    fn register_all(&self) {
        for engine in &self.engines {
            register(&self.store, engine);
        }
    }

    /// Writes the entry of a server again within a heartbeat of a change.
    fn keep_registered(&self) {
        for engine in self.engines.clone() {
            let store = self.store.clone();
            tokio::spawn(async move {
                loop {
                    sleep(Duration::from_millis(1_200)).await;
                    if engine.take_versions_changed() {
                        register(&store, &engine);
                    }
                }
            });
        }
    }

    fn spawn(
        &self,
        ip: Ipv4Addr,
        role: &str,
        role_settings: &str,
        checks_fences: bool,
    ) -> Result<Process, String> {
        let text = format!(
            "NodeName={role}-{ip}\nRole={role}\nZone=hall-a\nRegion=tw-north\nBindIp={ip}\n\
             InternalPorts=7340,7355\nPlatform.Address={}\nPlatform.form=objects\n\
             HeartbeatMs=1200\nBounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\n\
             Bounds.ConfigApplyMs=2000\nBounds.RevokeStrict=true\nBounds.RevokeMs=5000\n\
             Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.RetrySlack=54\n\
             Bounds.FenceRequired={checks_fences}\nBounds.LeaseMs=3000\n\
             Bounds.ThawSlackMs=300\nBounds.VersionMs=8000\nBounds.VersionAllMs=11000\n\
             {role_settings}",
            self.store_address
        );
        let settings = self.folder.join(format!("{role}-{ip}.conf"));
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{role}-{ip}.log"));
        let child = self.start_program(&settings, &log)?;
        Ok(Process { ip, child, settings, log })
    }

    /// Starts the program as the deploy file says.
    fn start_program(&self, settings: &Path, log: &Path) -> Result<Child, String> {
        let log = std::fs::File::create(log).map_err(|e| e.to_string())?;
        let program = self.repository.join("target/release/bilberryd");
        Command::new(program)
            .current_dir(&self.repository)
            .env("BILBERRYPADDLE_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())
    }

    /// Kills all processes of the system at once, and starts them again after `down`.
    pub async fn kill_all(&mut self, down: Duration) -> Result<(), String> {
        for process in self.entries.iter_mut().chain(&mut self.sidecars) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        sleep(down).await;
        let started: Result<Vec<Child>, String> = self
            .entries
            .iter()
            .chain(&self.sidecars)
            .map(|process| self.start_program(&process.settings, &process.log))
            .collect();
        let processes = self.entries.iter_mut().chain(&mut self.sidecars);
        for (process, child) in processes.zip(started?) {
            process.child = child;
        }
        Ok(())
    }

    /// Kills one entry, and starts it again after `down`.
    pub async fn kill_entry(
        &mut self,
        index: usize,
        down: Duration,
    ) -> Result<(), String> {
        let process = &mut self.entries[index];
        let _ = process.child.kill();
        let _ = process.child.wait();
        sleep(down).await;
        let process = &self.entries[index];
        let started = self.start_program(&process.settings, &process.log)?;
        self.entries[index].child = started;
        Ok(())
    }

    async fn wait_until_ready(&self, sidecars: usize) -> Result<(), String> {
        let begun = tokio::time::Instant::now();
        for entry in &self.entries {
            loop {
                let ready = SocketAddr::from((entry.ip, READY_PORT));
                let status = Caller::new("GET", "/bilberrypaddle/readiness", "ready")
                    .send(ready)
                    .await
                    .status;
                let log = self.folder.join(format!("entry-{}.log", entry.ip));
                let text = std::fs::read_to_string(log).unwrap_or_default();
                let heard = text.matches("\"message\":\"heard\"").count();
                if status == 200 && heard >= sidecars {
                    break;
                }
                if begun.elapsed() > READY_TIMEOUT {
                    return Err(format!(
                        "an entry is not ready: {status}, {heard} sidecars"
                    ));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.sidecars.clear();
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn register(store: &ObjectStoreStandin, engine: &Engine) {
    let entry = json!({
        "Service": "lm-pool", "Address": engine.settings.address.to_string(),
        "Zone": "hall-a", "Version": "v1", "Slots": engine.settings.slots,
        "State": "ready", "ColdLeftMs": 0, "Stage": "combined", "Models": engine.models(),
        "Seq": 1,
    });
    store.put("servers", &engine.settings.id, entry);
}
