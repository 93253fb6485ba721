//! A fleet of real processes: entries, sidecars, upstreams and the platform.

mod launch;
mod observe;

use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde::Serialize;
use serde_json::json;

use crate::Caller;
use crate::ChildProcess;
use crate::FaultProxy;
use crate::FleetConfig;
use crate::Reply;
use crate::send;

/// The bearer token of the administrator.
const TOKEN: &str = "operator";

/// A fleet of real processes.
///
/// Upstream indices cover the engines first, then the servers of the service.
#[derive(Debug)]
pub struct Fleet {
    /// The entries.
    pub entries: Vec<ChildProcess>,
    /// The sidecars, one beside each upstream.
    pub sidecars: Vec<ChildProcess>,
    /// The upstreams.
    pub upstreams: Vec<ChildProcess>,
    /// The fault proxies in front of the sidecars, if configured.
    pub sidecar_proxies: Vec<FaultProxy>,
    /// The fault proxy in front of the platform, if configured.
    pub platform_proxy: Option<FaultProxy>,
    /// The platform.
    pub platform: ChildProcess,
    /// The configuration of the fleet.
    pub plan: FleetConfig,
    directory: PathBuf,
}

impl Fleet {
    /// Starts the configured processes and waits until the fleet can serve requests.
    pub async fn start(plan: FleetConfig) -> Self {
        let platform =
            ChildProcess::start("bilberry-standin", vec!["platform".to_string()]);
        let mut platform_link = None;
        if plan.proxied_platform {
            platform_link = Some(FaultProxy::start(platform.address("address")).await);
        }
        let mut fleet = Self {
            entries: Vec::new(),
            sidecars: Vec::new(),
            upstreams: Vec::new(),
            sidecar_proxies: Vec::new(),
            platform_proxy: platform_link,
            platform,
            plan,
            directory: create_temp_dir(),
        };
        fleet.start_upstreams().await;
        for at in 0..fleet.plan.entries {
            let entry = fleet.start_entry(at);
            fleet.entries.push(entry);
        }
        let piece = fleet.plan.config_file();
        fleet
            .apply(0, &[("10-tests.toml", &piece)])
            .await
            .expect("the generated configuration is valid");
        fleet.wait_until_ready().await;
        fleet
    }

    /// Returns a client of an entry with the API key of a customer.
    pub fn caller(&self, entry: usize, customer: &str) -> Caller {
        let address = self.entries[entry].address("callers");
        Caller::new(address, &format!("key-{customer}"))
    }

    /// Applies configuration files through the administration API of an entry.
    ///
    /// Returns the new revision, or the body of the error response.
    pub async fn apply(
        &self,
        entry: usize,
        files: &[(&str, &str)],
    ) -> Result<u64, String> {
        let files: Vec<_> = files
            .iter()
            .map(|(file, text)| json!({ "file": file, "text": text }))
            .collect();
        let body = json!({ "files": files }).to_string();
        let reply = self.admin(entry, "POST", "/v1/config/apply", &body).await?;
        match reply.status {
            200 => Ok(reply.json()["revision"].as_u64().unwrap_or(0)),
            _ => Err(String::from_utf8_lossy(&reply.body).into_owned()),
        }
    }

    /// Calls the administration API of an entry as its administrator.
    pub async fn admin(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<Reply, String> {
        let address = self.entries[entry].address("administration");
        let authorization = format!("Bearer {TOKEN}");
        let headers = [("authorization", authorization.as_str())];
        send(method, &format!("http://{address}{path}"), &headers, body.to_string()).await
    }

    /// Sets the injected faults of a stand-in.
    pub async fn set_faults<T: Serialize>(&self, standin: &ChildProcess, faults: &T) {
        let url = format!("http://{}/standin/faults", standin.address("address"));
        let body = serde_json::to_string(faults).expect("faults serialise");
        send("PUT", &url, &[], body).await.expect("a stand-in answers");
    }

    /// Makes the platform take a snapshot of its objects.
    pub async fn snapshot_platform(&self) {
        self.put_platform("copy").await;
    }

    /// Makes the platform restore its objects from the last snapshot.
    pub async fn restore_platform(&self) {
        self.put_platform("return").await;
    }

    async fn put_platform(&self, action: &str) {
        let url = format!("http://{}/standin/{action}", self.platform.address("address"));
        send("PUT", &url, &[], String::new()).await.expect("a stand-in answers");
    }

    /// Sets the host list of the platform, published with a delay of `lag_ms`.
    pub async fn set_hosts(&self, hosts: &[(&str, &str)], lag_ms: u64) {
        let hosts: Vec<_> = hosts
            .iter()
            .map(|(host, state)| json!({ "host": host, "state": state }))
            .collect();
        let body = json!({ "lag_ms": lag_ms, "hosts": hosts }).to_string();
        let url = format!("http://{}/standin/hosts", self.platform.address("address"));
        send("PUT", &url, &[], body).await.expect("the platform answers");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn create_temp_dir() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("bilberry-tests-{}-{count}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the temporary directory can be created");
    directory
}
