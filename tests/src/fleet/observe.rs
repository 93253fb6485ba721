//! Queries and wait conditions on a fleet.

use bilberry_standins::EngineCounters;
use bilberry_standins::PlatformCounters;
use bilberry_standins::ServiceCounters;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::ChildProcess;
use crate::Fleet;
use crate::eventually;
use crate::send;

impl Fleet {
    /// Returns the status of all processes as reported by one entry.
    pub async fn status(&self, entry: usize) -> Vec<Value> {
        match self.admin(entry, "GET", "/v1/status", "").await {
            Ok(reply) => reply.json().as_array().cloned().unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }

    /// Returns the routing decisions in the order of the timeline.
    pub async fn decisions(&self) -> Vec<Value> {
        let reply = self.admin(0, "GET", "/v1/timeline", "").await;
        let timeline = reply.map(|reply| reply.json()).unwrap_or_default();
        let events = timeline.as_array().cloned().unwrap_or_default();
        let routed = events.iter().filter(|event| event["what"] == "routed");
        let details = routed.filter_map(|event| event["detail"].as_str());
        details.filter_map(|detail| serde_json::from_str(detail).ok()).collect()
    }

    /// Returns the counters of an engine.
    pub async fn engine_counters(&self, at: usize) -> EngineCounters {
        self.counters(&self.upstreams[at]).await
    }

    /// Returns the total number of runs on all engines.
    pub async fn engine_runs(&self) -> u64 {
        let mut runs = 0;
        for at in 0..self.plan.engines.len() {
            runs += self.engine_counters(at).await.runs;
        }
        runs
    }

    /// Returns how many times the service servers ran the call with an idempotency key.
    pub async fn runs_of(&self, key: &str) -> u64 {
        let mut runs = 0;
        for at in self.plan.engines.len()..self.upstreams.len() {
            let counters: ServiceCounters = self.counters(&self.upstreams[at]).await;
            runs += counters.by_key.get(key).copied().unwrap_or(0);
        }
        runs
    }

    /// Returns the counters of the platform.
    pub async fn platform_counters(&self) -> PlatformCounters {
        self.counters(&self.platform).await
    }

    /// Returns the first metric of a process whose line starts with `name`.
    pub async fn metric(&self, process: &ChildProcess, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", process.address("operations"));
        let reply = send("GET", &url, &[], "").await.ok()?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Waits until all processes are ready and every entry sees every sidecar with
    /// the weights of its engine.
    pub async fn wait_until_ready(&self) {
        for process in self.entries.iter().chain(&self.sidecars) {
            self.wait_ready(process).await;
        }
        let sidecars = self.sidecars.len();
        for at in 0..self.entries.len() {
            eventually("all sidecars answer", || async {
                let status = self.status(at).await;
                let ready = status.iter().filter(|s| {
                    let is_engine =
                        s["upstream"].as_str().is_some_and(|u| u.starts_with('e'));
                    let knows_weights = !is_engine || s["weights"] != "";
                    s["role"] == "sidecar" && s["answers"] == true && knows_weights
                });
                (ready.count() == sidecars).then_some(())
            })
            .await;
        }
    }

    /// Waits until a process reports ready on `/readyz`.
    pub async fn wait_ready(&self, process: &ChildProcess) {
        let url = format!("http://{}/readyz", process.address("operations"));
        eventually("a process gets ready", || async {
            let reply = send("GET", &url, &[], "").await.ok()?;
            (reply.status == 200).then_some(())
        })
        .await;
    }

    /// Waits until a process has applied `revision` or a later one.
    pub async fn wait_revision(&self, process: &ChildProcess, revision: u64) {
        eventually("a revision gets in force", || async {
            let found = self.metric(process, "bilberry_config_revision").await?;
            (found >= revision as f64).then_some(())
        })
        .await;
    }

    async fn counters<T: DeserializeOwned>(&self, standin: &ChildProcess) -> T {
        let url = format!("http://{}/standin/counters", standin.address("address"));
        let reply = send("GET", &url, &[], "").await.expect("a stand-in answers");
        serde_json::from_slice(&reply.body).expect("counters are JSON")
    }
}
