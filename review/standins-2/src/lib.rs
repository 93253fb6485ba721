//! What the cases of this review share: the record of a run, and a small deployment.

pub mod engine;
pub mod process;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use bilberry_adapter_tests::Cluster;

/// The settings of a small deployment, besides those of each machine.
pub const SETTINGS: &str = "Zone=hall-a\nRegion=north\nInternalPorts=7340,7355\n\
    FirstStart=true\nLossCounted=false\nLimits.CpuShare=0.19\n\
    Limits.CpuCores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nDiscovery=platform\n\
    Entry=vip\nHeartbeatMs=1200\nContracts=base,drain,config,cost,retry,recover,kvcache,\
    stream,engine,tenants,platform\nBounds.SeedLagS=3\nBounds.AddrReuseS=2\n\
    Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\n\
    Bounds.GraceS=8\nBounds.RevokeStrict=true\nBounds.RevokeMs=5000\n\
    Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.RetrySlack=58\n\
    Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.DowngradeSlackMs=250\n\
    Bounds.OuterMs=5000\nBounds.RecoveryS=12\nBounds.TransitMs=120\n\
    Bounds.ReuseWindowS=10\nBounds.FenceRequired=false\nBounds.LeaseMs=3000\n\
    Bounds.ThawSlackMs=300\nBounds.VersionMs=8000\nBounds.VersionAllMs=11000\n\
    Platform.form=objects\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n\
    Platform.HistoryS=20\nPlatform.ValueBytes=1048576\n";

/// The record of one run, written to `record.txt` in the folder of its case.
pub struct Record {
    folder: PathBuf,
    begun: Instant,
    lines: Vec<(Instant, String)>,
}

impl Record {
    /// Begins the record of the case whose folder is the first argument.
    pub fn begin() -> Self {
        let folder = std::env::args().nth(1).expect("the folder of the case is named");
        Self { folder: folder.into(), begun: Instant::now(), lines: Vec::new() }
    }

    /// Adds a line.
    pub fn line(&mut self, text: impl Into<String>) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line about something that happened earlier.
    pub fn line_at(&mut self, at: Instant, text: impl Into<String>) {
        self.lines.push((at, text.into()));
    }

    /// Writes the record, and returns 1 if the rule was broken, or else 0.
    pub fn end(mut self, broken: bool) -> ExitCode {
        self.line(if broken { "the rule was broken" } else { "the rule held" });
        self.lines.sort_by_key(|(at, _)| *at);
        let lines = self.lines.iter().map(|(at, text)| {
            let seconds = at.duration_since(self.begun).as_secs_f64();
            format!("{seconds:8.3} s  {text}\n")
        });
        let text: String = lines.collect();
        print!("{text}");
        std::fs::write(self.folder.join("record.txt"), text)
            .expect("the folder of the case is writable");
        ExitCode::from(u8::from(broken))
    }
}

/// Reports whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns a deployment without processes, whose store and servers send only what the
/// users' pages name.
pub async fn deployment(engines: usize, events: usize) -> Cluster {
    let mut cluster = Cluster::new(engines, events).await;
    cluster.store.hide_era();
    cluster.extra_settings = SETTINGS.to_string();
    for (pool, servers) in [("llm", &cluster.engines), ("desk", &cluster.plain)] {
        for server in servers {
            server.set_reports_start_time(false);
            cluster.register(pool, server, "ready");
        }
    }
    cluster
}
