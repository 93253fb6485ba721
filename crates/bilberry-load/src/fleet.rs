//! A whole system on loopback, with stand-ins for what is outside of it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bilberry_config::Folder;
use bilberry_config::UpstreamKind;
use bilberry_config::compile;
use bilberry_config::hash_text;
use bilberry_standins::EngineStandin;
use bilberry_standins::EngineTraits;
use bilberry_standins::Holders;
use bilberry_standins::PlatformStandin;
use bilberry_standins::Served;
use bilberry_standins::ServiceStandin;
use bilberry_standins::serve;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::Node;

/// The token of the fleet's administrator.
const TOKEN: &str = "operator-token";

/// How long the fleet may take to come up.
const START_WAIT: Duration = Duration::from_secs(20);

/// Why a fleet can't start.
pub type FleetError = String;

/// What a fleet looks like.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// The folders that are applied, in this order.
    pub folders: Vec<Folder>,
    /// How many entries.
    pub entries: usize,
    /// What each engine is like.
    pub traits: EngineTraits,
    /// Whether entries and sidecars are processes of their own.
    pub processes: bool,
    /// Whether entries read every engine's cache exactly, as a bound.
    pub exact: bool,
    /// More lines for the settings' table of peers.
    pub peers: String,
    /// The address of the first entry for callers; port zero for any.
    pub callers: SocketAddr,
}

/// A whole system on loopback.
pub struct Fleet {
    /// The platform.
    pub platform: Arc<PlatformStandin>,
    /// The engines by upstream.
    pub engines: Vec<(String, Arc<EngineStandin>)>,
    /// Where the engines listen, in the same order.
    pub engine_addresses: Vec<SocketAddr>,
    /// The servers of plain services by upstream.
    pub services: Vec<(String, Arc<ServiceStandin>)>,
    /// The entries.
    pub entries: Vec<Node>,
    /// The sidecars.
    pub sidecars: Vec<Node>,
    plan: FleetPlan,
    folder: PathBuf,
    platform_address: SocketAddr,
    _served: Vec<Served>,
}

impl Fleet {
    /// Starts the planned system and waits until it serves.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::new();
        let served = serve(any, platform.clone()).await.map_err(text)?;
        let folder = std::env::temp_dir().join(format!(
            "bilberry-load-{}-{:x}",
            std::process::id(),
            rand::random::<u32>()
        ));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            engine_addresses: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            platform_address: served.address,
            folder,
            _served: vec![served],
            plan,
        };
        fleet.start_upstreams().await?;
        for at in 0..fleet.plan.entries {
            let entry = fleet.start_entry(at).await?;
            fleet.entries.push(entry);
        }
        for folder in fleet.plan.folders.clone() {
            fleet.apply(&folder).await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns where an entry takes callers.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        let at = entry % self.entries.len();
        self.entries[at].address("callers").expect("an entry takes callers")
    }

    /// Returns the address of an entry's administration API.
    pub fn administration(&self) -> SocketAddr {
        self.entries[0].address("administration").expect("an entry is administered")
    }

    /// Starts one more entry.
    pub async fn start_entry(&self, at: usize) -> Result<Node, FleetError> {
        let callers = match at {
            0 => self.plan.callers,
            _ => SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let listen =
            format!("callers = \"{callers}\"\nadministration = \"127.0.0.1:0\"\n");
        let hash = hash_text(TOKEN);
        let tables =
            format!("[[administrator]]\nowner = \"*\"\ntoken_hash = \"{hash}\"\n");
        let name = format!("entry-{at}-{:04x}", rand::random::<u16>());
        match self.plan.exact {
            true => {
                let settings = self.settings(&name, "entry", &listen, &tables);
                Node::start_exact(&settings, self.engines.clone()).await
            }
            false => self.start_node(&name, "entry", &listen, &tables).await,
        }
    }

    /// Kills all entries at once and starts as many anew.
    pub async fn restart_entries(&mut self) -> Result<(), FleetError> {
        self.entries.clear();
        for at in 0..self.plan.entries {
            let entry = self.start_entry(at).await?;
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Applies a folder through the administration API.
    pub async fn apply(&self, folder: &Folder) -> Result<u64, FleetError> {
        let body = serde_json::to_string(folder).map_err(text)?;
        let answer = self.admin("POST", "/v1/config/apply", body).await?;
        answer["revision"].as_u64().ok_or_else(|| answer.to_string())
    }

    /// Calls the administration API of the first entry.
    pub async fn admin(
        &self,
        method: &str,
        path: &str,
        body: String,
    ) -> Result<Value, FleetError> {
        let uri = format!("http://{}{path}", self.administration());
        http(method, &uri, body).await
    }

    /// Returns the sum of a metric over some nodes.
    pub async fn metric(nodes: &[Node], name: &str) -> f64 {
        let mut sum = 0.0;
        for node in nodes {
            let Some(address) = node.address("operations") else { continue };
            let rendered =
                http_text("GET", &format!("http://{address}/metrics"), "").await;
            let lines = rendered.unwrap_or_default();
            let found = lines.lines().filter(|line| line.starts_with(name));
            sum += found
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum::<f64>();
        }
        sum
    }

    async fn start_upstreams(&mut self) -> Result<(), FleetError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let holders = Holders::default();
        let files: Vec<_> =
            self.plan.folders.iter().flat_map(|folder| folder.files.clone()).collect();
        let compiled = compile(0, &files).map_err(text)?;
        for upstream in compiled.upstreams.values() {
            let name = upstream.name.to_string();
            let served = match upstream.kind {
                UpstreamKind::Engine => {
                    let traits = self.plan.traits.clone();
                    let engine = EngineStandin::new(traits, holders.clone());
                    self.engines.push((name.clone(), engine.clone()));
                    serve(any, engine).await
                }
                UpstreamKind::Service => {
                    let service = ServiceStandin::new();
                    self.services.push((name.clone(), service.clone()));
                    serve(any, service).await
                }
            };
            let served = served.map_err(text)?;
            let address = served.address;
            if upstream.kind == UpstreamKind::Engine {
                self.engine_addresses.push(address);
            }
            self._served.push(served);
            let tables =
                format!("[upstream]\nname = \"{name}\"\naddress = \"{address}\"\n");
            let process = format!("sidecar-{name}");
            let sidecar = self.start_node(&process, "sidecar", "", &tables).await?;
            self.sidecars.push(sidecar);
        }
        Ok(())
    }

    async fn start_node(
        &self,
        name: &str,
        role: &str,
        listen: &str,
        tables: &str,
    ) -> Result<Node, FleetError> {
        let settings = self.settings(name, role, listen, tables);
        match self.plan.processes {
            true => Node::spawn(&settings, &self.folder),
            false => Node::start(&settings).await,
        }
    }

    fn settings(&self, name: &str, role: &str, listen: &str, tables: &str) -> String {
        let platform = self.platform_address;
        let seeds: Vec<_> = self
            .sidecars
            .iter()
            .take(4)
            .filter_map(|sidecar| Some(format!("\"{}\"", sidecar.address("peers")?)))
            .collect();
        let seeds = seeds.join(", ");
        format!(
            "process = \"{name}\"\nhost = \"host-{name}\"\nrole = \"{role}\"\n\
             place = \"tw-north/hall-a\"\n[listen]\npeers = \"127.0.0.1:0\"\n\
             operations = \"127.0.0.1:0\"\n{listen}[platform]\naddress = \"{platform}\"\n\
             {tables}[peers]\nseeds = [{seeds}]\n{}\n",
            self.plan.peers
        )
    }

    async fn wait_until_ready(&self) -> Result<(), FleetError> {
        let until = Instant::now() + START_WAIT;
        let is_known = |status: &&Value| {
            let upstream = status["upstream"].as_str().unwrap_or_default();
            let is_engine = self.engines.iter().any(|(name, _)| name == upstream);
            let knows = !is_engine || status["weights"] != "";
            status["answers"] == true && status["revision"].as_u64() > Some(0) && knows
        };
        let wanted = self.sidecars.len() + self.entries.len();
        for entry in &self.entries {
            let Some(address) = entry.address("administration") else { continue };
            loop {
                let uri = format!("http://{address}/v1/status");
                let status = http("GET", &uri, String::new()).await.unwrap_or_default();
                let found =
                    status.as_array().map_or(0, |a| a.iter().filter(is_known).count());
                if found >= wanted {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("only {found} of {wanted} processes came up"));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn http(method: &str, uri: &str, body: String) -> Result<Value, FleetError> {
    let answer = http_text(method, uri, &body).await?;
    serde_json::from_str(&answer).or(Err(answer))
}

async fn http_text(method: &str, uri: &str, body: &str) -> Result<String, FleetError> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(uri)
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(text)?;
    let answer = client.request(request).await.map_err(text)?;
    let body = answer.into_body().collect().await.map_err(text)?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn text(error: impl std::fmt::Display) -> FleetError {
    error.to_string()
}
