//! How long a change of configuration takes to be in force everywhere, and what
//! that costs the platform.

use std::time::Duration;

use bilberry_config::Folder;
use bilberry_standins::PlatformCounters;
use bilberry_standins::PlatformFaults;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::Fleet;
use crate::FleetError;
use crate::Node;
use crate::small::Small;

/// How many changes are measured.
const CHANGES: usize = 15;

/// How many are measured where the platform goes down after each.
const CHANGES_WITH_OUTAGE: usize = 3;

/// The longest time that is waited for one change.
const MOST_WAIT: Duration = Duration::from_secs(30);

/// How long the idle fleet is watched.
const IDLE: Duration = Duration::from_secs(6);

/// Measures changes on fleets of several sizes, with and without the revision on
/// frames, with the platform up and down right after it accepted the change.
pub async fn propagation(sizes: &[usize]) -> Result<(), FleetError> {
    println!(
        "{:>5} {:>10} {:>9} {:>8} {:>8} {:>8} {:>12} {:>12}",
        "nodes",
        "on frames",
        "platform",
        "p50 ms",
        "p99 ms",
        "max ms",
        "reads/change",
        "idle calls/s"
    );
    for &nodes in sizes {
        for piggyback in [true, false] {
            for down in [false, true] {
                measure_size(nodes, piggyback, down).await?;
            }
        }
    }
    Ok(())
}

async fn measure_size(
    nodes: usize,
    piggyback: bool,
    down: bool,
) -> Result<(), FleetError> {
    let entries = (nodes * 3 / 8).max(1);
    let small = Small {
        engines: 0,
        services: nodes - entries,
        entries,
        processes: false,
        peers: format!("piggyback_revision = {piggyback}"),
        ..Small::default()
    };
    let fleet = Fleet::start(small.plan()).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let idle = idle_calls_per_s(&fleet).await;
    let before = fleet.platform.counters();
    let mut times = Histogram::<u64>::new(3).map_err(|error| error.to_string())?;
    let changes = if down { CHANGES_WITH_OUTAGE } else { CHANGES };
    for change in 0..changes {
        let took = change_once(&fleet, &small.folder(), change, down).await?;
        times.saturating_record(took.as_micros() as u64);
    }
    let reads = fleet.platform.counters();
    let reads = (reads.reads - before.reads) as f64 / changes as f64;
    let ms = |q| times.value_at_quantile(q) as f64 / 1e3;
    println!(
        "{nodes:5} {:>10} {:>9} {:8.1} {:8.1} {:8.1} {reads:12.1} {idle:12.1}",
        if piggyback { "yes" } else { "no" },
        if down { "down" } else { "up" },
        ms(0.5),
        ms(0.99),
        ms(1.0),
    );
    Ok(())
}

/// Applies one change and waits until it is in force in every process.
async fn change_once(
    fleet: &Fleet,
    folder: &Folder,
    change: usize,
    down: bool,
) -> Result<Duration, FleetError> {
    let mut folder = folder.clone();
    folder.files[0].text.push_str(&format!("# change {change}\n"));
    let mut waiting = Vec::new();
    for node in fleet.entries.iter().chain(&fleet.sidecars) {
        if let Node::Task(process) = node {
            waiting.push(process.node().config.subscribe());
        }
    }
    let revision = fleet.apply(&folder).await?;
    let accepted = Instant::now();
    let faults = PlatformFaults { down, ..PlatformFaults::default() };
    fleet.platform.set_faults(faults);
    for mut revisions in waiting {
        let reached = revisions.wait_for(|found| *found >= revision);
        match tokio::time::timeout(MOST_WAIT, reached).await {
            Ok(Ok(_)) => {}
            _ => return Err(format!("revision {revision} is not in force everywhere")),
        }
    }
    let took = accepted.elapsed();
    fleet.platform.set_faults(PlatformFaults::default());
    // Breakers that opened in the outage close again before the next change.
    if down {
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    Ok(took)
}

async fn idle_calls_per_s(fleet: &Fleet) -> f64 {
    let before = calls(&fleet.platform.counters());
    tokio::time::sleep(IDLE).await;
    let after = calls(&fleet.platform.counters());
    (after - before) as f64 / IDLE.as_secs_f64()
}

fn calls(counters: &PlatformCounters) -> u64 {
    let PlatformCounters { reads, writes, lists, watches, hosts } = counters;
    reads + writes + lists + watches + hosts
}
