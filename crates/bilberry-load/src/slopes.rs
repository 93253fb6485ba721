//! The slopes from which docs/CAPACITY.md works out the system at full size.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use bilberry_config::PieceFile;
use bilberry_config::hash_text;
use bilberry_standins::EngineTraits;

use crate::Caller;
use crate::Fleet;
use crate::FleetError;
use crate::Node;
use crate::Offered;
use crate::Usage;
use crate::experiment::control_bytes;
use crate::measure;
use crate::small::MODEL;
use crate::small::Small;
use crate::small::unique_arrivals;

/// How long something steady is watched.
const WATCHED: Duration = Duration::from_secs(10);

/// How many customers one piece holds, well below a megabyte.
const CUSTOMERS_PER_PIECE: usize = 4_000;

/// Measures all slopes, or those of one kind.
pub async fn slopes(only: Option<&str>) -> Result<(), FleetError> {
    let wants = |kind| only.is_none_or(|only| only == kind);
    if wants("requests") {
        requests().await?;
    }
    if wants("streams") {
        streams().await?;
    }
    if wants("blocks") {
        blocks().await?;
    }
    if wants("customers") {
        customers().await?;
    }
    if wants("idle") {
        idle().await?;
    }
    Ok(())
}

/// Processor time a request and a probe, control bytes a request, and the time
/// that the router adds.
async fn requests() -> Result<(), FleetError> {
    let traits = EngineTraits {
        prefill_us_per_token: 0.0,
        token_us: 0,
        max_running: 256,
        cache_blocks: 100_000,
        ..EngineTraits::default()
    };
    let small = Small { engines: 8, traits, max_running: 256, ..Small::default() };
    let fleet = Fleet::start(small.plan()).await?;
    let rate = 300.0;
    let arrivals = unique_arrivals("anna", rate, 12_000, 16 * 1024, 1);
    let through =
        Offered { arrivals: arrivals.clone().into(), model: MODEL, warm_ms: 2_000 };
    let before = usages(&fleet);
    let bytes_before = control_bytes(&fleet.entries).await;
    let found = measure(&fleet, &through).await;
    let after = usages(&fleet);
    let bytes = control_bytes(&fleet.entries).await - bytes_before;
    let requests = arrivals.len() as f64;
    let entry_us = (after.0.cpu_s - before.0.cpu_s) * 1e6 / requests;
    let sidecar_us = (after.1.cpu_s - before.1.cpu_s) * 1e6 / requests;
    println!(
        "request of 4,096 tokens, 5 probes: entry {entry_us:.0} us, sidecars {sidecar_us:.0} \
         us of processor time; {:.0} requests a second a core for both; control bytes at \
         the entry {:.0} a request",
        1e6 / (entry_us + sidecar_us),
        bytes / requests
    );
    let direct = direct_ttft(&fleet, &arrivals[..1_000]).await;
    println!(
        "time to the first token through the router: p50 {:.2} ms, p99 {:.2} ms; direct \
         p50 {:.2} ms, p99 {:.2} ms; added p50 {:.2} ms, p99 {:.2} ms",
        found.ttft_p50_ms,
        found.ttft_p99_ms,
        direct.0,
        direct.1,
        found.ttft_p50_ms - direct.0,
        found.ttft_p99_ms - direct.1
    );
    Ok(())
}

/// Asks engines without the router, at the same rate.
async fn direct_ttft(fleet: &Fleet, arrivals: &[crate::Arrival]) -> (f64, f64) {
    let caller = Caller::new();
    let started = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for (at, arrival) in arrivals.iter().enumerate() {
        tokio::time::sleep_until(started + Duration::from_micros(arrival.at_us)).await;
        let engine = fleet.engine_addresses[at % fleet.engine_addresses.len()];
        let (caller, prompt) = (caller.clone(), arrival.prompt.clone());
        tasks.push(tokio::spawn(async move {
            caller.complete(engine, "key", MODEL, &prompt, 1).await.ttft
        }));
    }
    let mut times = Vec::new();
    for task in tasks {
        times.push(task.await.unwrap_or_default().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

/// Memory an open stream, and processor time a token.
async fn streams() -> Result<(), FleetError> {
    let traits = EngineTraits {
        prefill_us_per_token: 0.0,
        token_us: 50_000,
        max_running: 2_000,
        ..EngineTraits::default()
    };
    let small = Small { traits, max_running: 2_000, ..Small::default() };
    let fleet = Fleet::start(small.plan()).await?;
    let address = fleet.callers(0);
    let mut open = Vec::new();
    let mut last = usages(&fleet);
    for count in [250_usize, 500, 1_000] {
        while open.len() < count {
            let caller = Caller::new();
            let prompt = format!("stream {}", open.len());
            open.push(tokio::spawn(async move {
                caller.complete(address, "key-anna", MODEL, &prompt, 60_000).await
            }));
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        let now = usages(&fleet);
        let added = count as f64 / 2.0;
        println!(
            "{count} open streams: entry {:.1} MB, sidecar {:.1} MB; a stream more {:.1} \
             kB and {:.1} kB",
            megabytes(now.0),
            megabytes(now.1),
            (now.0.memory_bytes as f64 - last.0.memory_bytes as f64) / added / 1e3,
            (now.1.memory_bytes as f64 - last.1.memory_bytes as f64) / added / 1e3
        );
        last = now;
    }
    let before = usages(&fleet);
    tokio::time::sleep(WATCHED).await;
    let after = usages(&fleet);
    let tokens = open.len() as f64 * WATCHED.as_secs_f64() / 0.051;
    println!(
        "a token: entry {:.1} us, sidecar {:.1} us of processor time",
        (after.0.cpu_s - before.0.cpu_s) * 1e6 / tokens,
        (after.1.cpu_s - before.1.cpu_s) * 1e6 / tokens
    );
    for task in open {
        task.abort();
    }
    Ok(())
}

/// Memory a cached block, and processor time a cache event.
async fn blocks() -> Result<(), FleetError> {
    let traits = EngineTraits {
        prefill_us_per_token: 0.0,
        token_us: 0,
        cache_blocks: 130_000,
        ..EngineTraits::default()
    };
    let fleet = Fleet::start(Small { traits, ..Small::default() }.plan()).await?;
    let caller = Caller::new();
    let first = usages(&fleet).1;
    let mut before = first;
    for part in 0..10 {
        let prompt = format!("{part} {}", "cached text ".repeat(260_000));
        let outcome =
            caller.complete(fleet.callers(0), "key-anna", MODEL, &prompt, 1).await;
        if !outcome.whole {
            return Err(format!("the cache was not filled: {}", outcome.status));
        }
        let blocks = (part + 1) * prompt.len() / 256;
        wait_metric(&fleet.sidecars, "bilberry_cached_blocks", blocks as f64 * 0.99)
            .await;
        if part == 0 {
            before = usages(&fleet).1;
        }
    }
    let after = usages(&fleet).1;
    let held = Fleet::metric(&fleet.sidecars, "bilberry_cached_blocks").await;
    println!(
        "{held:.0} cached blocks: sidecar {:.1} MB, before {:.1} MB; {:.0} bytes a block; a \
         cache event {:.2} us of processor time",
        megabytes(after),
        megabytes(first),
        (after.memory_bytes as f64 - first.memory_bytes as f64) / held,
        (after.cpu_s - before.cpu_s) * 1e6 / (held * 0.9)
    );
    Ok(())
}

/// Memory a customer, and processor time a change of configuration.
async fn customers() -> Result<(), FleetError> {
    // Changes go through the first entry; the second one is like all others.
    let small = Small { entries: 2, ..Small::default() };
    let fleet = Fleet::start(small.plan()).await?;
    let other = || fleet.entries[1].usage().unwrap_or_default();
    let usages = |fleet: &Fleet| (other(), usages(fleet).1);
    let applier = || fleet.entries[0].usage().unwrap_or_default();
    let first = usages(&fleet);
    let mut folder = small.folder();
    for total in [12_000_usize, 24_000, 48_000] {
        while (folder.files.len() - 1) * CUSTOMERS_PER_PIECE < total {
            let at = folder.files.len() - 1;
            folder.files.push(customer_piece(at));
        }
        let started = Instant::now();
        let revision = fleet.apply(&folder).await?;
        wait_metric(&fleet.sidecars, "bilberry_config_revision", revision as f64).await;
        wait_metric(&fleet.entries[1..], "bilberry_config_revision", revision as f64)
            .await;
        let now = usages(&fleet);
        println!(
            "{total} customers: entry {:.1} MB, sidecar {:.1} MB, {:.0} and {:.0} bytes a \
             customer; in force after {:.0} ms",
            megabytes(now.0),
            megabytes(now.1),
            (now.0.memory_bytes - first.0.memory_bytes) as f64 / total as f64,
            (now.1.memory_bytes - first.1.memory_bytes) as f64 / total as f64,
            started.elapsed().as_secs_f64() * 1e3
        );
    }
    let before = usages(&fleet);
    let applier_before = applier();
    const CHANGES: usize = 10;
    for change in 0..CHANGES {
        folder.files[0].text.push_str(&format!("# change {change}\n"));
        let revision = fleet.apply(&folder).await?;
        wait_metric(&fleet.sidecars, "bilberry_config_revision", revision as f64).await;
        wait_metric(&fleet.entries[1..], "bilberry_config_revision", revision as f64)
            .await;
    }
    let after = usages(&fleet);
    println!(
        "a change with 48,000 customers: entry that applies {:.0} ms, another {:.0} ms, \
         sidecar {:.0} ms of processor time; memory then {:.1}, {:.1} and {:.1} MB",
        (applier().cpu_s - applier_before.cpu_s) * 1e3 / CHANGES as f64,
        (after.0.cpu_s - before.0.cpu_s) * 1e3 / CHANGES as f64,
        (after.1.cpu_s - before.1.cpu_s) * 1e3 / CHANGES as f64,
        megabytes(applier()),
        megabytes(after.0),
        megabytes(after.1)
    );
    Ok(())
}

/// Processor time and control bytes of nodes with nothing to do.
async fn idle() -> Result<(), FleetError> {
    for nodes in [8_usize, 32] {
        let entries = nodes * 3 / 8;
        let small = Small { engines: nodes - entries, entries, ..Small::default() };
        let fleet = Fleet::start(small.plan()).await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let before = usages(&fleet);
        let bytes_before =
            control_bytes(&fleet.entries).await + control_bytes(&fleet.sidecars).await;
        tokio::time::sleep(WATCHED).await;
        let after = usages(&fleet);
        let bytes = control_bytes(&fleet.entries).await
            + control_bytes(&fleet.sidecars).await
            - bytes_before;
        let seconds = WATCHED.as_secs_f64();
        println!(
            "{nodes} idle nodes: an entry {:.3}% and a sidecar {:.3}% of a core; {:.0} \
             control bytes a second a node; memory {:.1} MB and {:.1} MB",
            (after.0.cpu_s - before.0.cpu_s) / entries as f64 / seconds * 100.0,
            (after.1.cpu_s - before.1.cpu_s) / (nodes - entries) as f64 / seconds * 100.0,
            bytes / nodes as f64 / seconds,
            megabytes(after.0) / entries as f64,
            megabytes(after.1) / (nodes - entries) as f64
        );
    }
    Ok(())
}

fn customer_piece(at: usize) -> PieceFile {
    let mut text = "owner = \"load\"\n".to_string();
    for customer in 0..CUSTOMERS_PER_PIECE {
        let name = format!("customer-{at}-{customer}");
        let hash = hash_text(&name);
        let _ = write!(
            text,
            "[[customer]]\nname = \"{name}\"\nkey_hashes = [\"{hash}\"]\n\
             models = [\"{MODEL}\"]\n"
        );
    }
    PieceFile { file: format!("20-customers-{at:02}.toml").into(), text }
}

/// Returns what all entries and all sidecars have used, added up.
fn usages(fleet: &Fleet) -> (Usage, Usage) {
    let sum = |nodes: &[Node]| {
        let mut sum = Usage::default();
        for usage in nodes.iter().filter_map(Node::usage) {
            sum.cpu_s += usage.cpu_s;
            sum.memory_bytes += usage.memory_bytes;
        }
        sum
    };
    (sum(&fleet.entries), sum(&fleet.sidecars))
}

async fn wait_metric(nodes: &[Node], name: &str, least: f64) {
    let until = Instant::now() + Duration::from_secs(30);
    while Fleet::metric(nodes, name).await < least && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn megabytes(usage: Usage) -> f64 {
    usage.memory_bytes as f64 / 1e6
}
