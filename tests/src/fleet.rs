//! A whole fleet of real processes.

mod launch;
mod observe;

use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde::Serialize;
use serde_json::json;

use crate::Caller;
use crate::FaultProxy;
use crate::Plan;
use crate::Reply;
use crate::Running;
use crate::send;

/// The token of the test's administrator.
const TOKEN: &str = "operator";

/// A whole fleet of real processes.
///
/// Upstreams are numbered, engines first, then the servers of the service.
#[derive(Debug)]
pub struct Fleet {
    /// The entries.
    pub entries: Vec<Running>,
    /// The sidecars, one beside each upstream.
    pub sidecars: Vec<Running>,
    /// The upstreams.
    pub upstreams: Vec<Running>,
    /// The proxies before the sidecars, if planned.
    pub links: Vec<FaultProxy>,
    /// The proxy before the platform, if planned.
    pub platform_link: Option<FaultProxy>,
    /// The platform.
    pub platform: Running,
    /// The plan.
    pub plan: Plan,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the planned processes and waits until requests can be served.
    pub async fn start(plan: Plan) -> Self {
        let platform = Running::start("bilberry-standin", vec!["platform".to_string()]);
        let mut platform_link = None;
        if plan.proxied_platform {
            platform_link = Some(FaultProxy::start(platform.address("address")).await);
        }
        let mut fleet = Self {
            entries: Vec::new(),
            sidecars: Vec::new(),
            upstreams: Vec::new(),
            links: Vec::new(),
            platform_link,
            platform,
            plan,
            folder: new_folder(),
        };
        fleet.start_upstreams().await;
        for at in 0..fleet.plan.entries {
            let entry = fleet.start_entry(at);
            fleet.entries.push(entry);
        }
        let piece = fleet.plan.piece();
        fleet
            .apply(0, &[("10-tests.toml", &piece)])
            .await
            .expect("a planned piece is good");
        fleet.wait_until_ready().await;
        fleet
    }

    /// Returns a caller of an entry.
    pub fn caller(&self, entry: usize, customer: &str) -> Caller {
        let address = self.entries[entry].address("callers");
        Caller::new(address, &format!("key-{customer}"))
    }

    /// Applies files through the administration API of an entry.
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

    /// Calls the administration API of an entry.
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

    /// Sets the faults of a stand-in.
    pub async fn set_faults<T: Serialize>(&self, standin: &Running, faults: &T) {
        let url = format!("http://{}/standin/faults", standin.address("address"));
        let body = serde_json::to_string(faults).expect("faults serialise");
        send("PUT", &url, &[], body).await.expect("a stand-in answers");
    }

    /// Has the platform keep a copy of its objects.
    pub async fn copy_platform(&self) {
        self.set_standin("copy").await;
    }

    /// Has the platform come back from the copy that it kept.
    pub async fn return_platform(&self) {
        self.set_standin("return").await;
    }

    async fn set_standin(&self, what: &str) {
        let url = format!("http://{}/standin/{what}", self.platform.address("address"));
        send("PUT", &url, &[], String::new()).await.expect("a stand-in answers");
    }

    /// Sets the host list.
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
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn new_folder() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("bilberry-tests-{}-{count}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    folder
}
