//! Each routing policy on the same arrivals, in one run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use bilberry_config::Folder;
use bilberry_standins::EngineTraits;
use gumdrop::Options;
use serde::Serialize;

use crate::Fleet;
use crate::FleetError;
use crate::FleetPlan;
use crate::Measured;
use crate::Offered;
use crate::Shape;
use crate::measure;
use crate::plot;
use crate::with_pool;

/// The policies, the bound last.
const POLICIES: [&str; 5] =
    ["round_robin", "least_loaded", "rendezvous", "probe", "full_knowledge"];

/// `compare`.
#[derive(Debug, Clone, Options)]
pub struct CompareArguments {
    /// print this help
    pub help: bool,
    /// the user: hsinchu or gezeitenstrom
    #[options(default = "hsinchu", meta = "NAME")]
    pub shape: String,
    /// the seed of the arrivals
    #[options(default = "7")]
    pub seed: u64,
    /// requests a second for each engine
    #[options(no_short, default = "7", meta = "RATE")]
    pub rate_per_engine: f64,
    /// how long arrivals are counted
    #[options(no_short, default = "20", meta = "S")]
    pub seconds: u64,
    /// how long caches are warmed before
    #[options(no_short, default = "10", meta = "S")]
    pub warm_seconds: u64,
    /// blocks that one engine caches
    #[options(no_short, default = "1500", meta = "N")]
    pub cache_blocks: usize,
    /// the pool's recompute_weight
    #[options(no_short, meta = "W")]
    pub weight: Option<f64>,
    /// the pool's probes
    #[options(no_short, meta = "N")]
    pub probes: Option<usize>,
    /// only these policies, comma-separated
    #[options(no_short, meta = "NAMES")]
    pub policies: Option<String>,
    /// how many entries
    #[options(no_short, default = "3", meta = "N")]
    pub entries: usize,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
    /// write a chart
    #[options(no_short, meta = "FILE")]
    pub plot: Option<PathBuf>,
    /// the folder that holds the example configurations
    #[options(no_short, default = "examples", meta = "FOLDER")]
    pub examples: PathBuf,
}

#[derive(Serialize)]
struct Report<'a> {
    policies: &'a BTreeMap<&'static str, Measured>,
}

/// Runs the policies one after the other and prints what they came to.
pub async fn compare(arguments: &CompareArguments) -> Result<(), FleetError> {
    let shape = Shape::named(&arguments.shape);
    let shape = shape.ok_or(format!("`{}` is no shape", arguments.shape))?;
    let wanted = arguments.policies.as_deref().map(|names| names.split(','));
    let wanted: Option<Vec<_>> = wanted.map(Iterator::collect);
    let mut results = BTreeMap::new();
    for policy in POLICIES {
        if wanted.as_ref().is_some_and(|wanted| !wanted.contains(&policy)) {
            continue;
        }
        eprintln!("{policy}: {} s", arguments.warm_seconds + arguments.seconds);
        results.insert(policy, run_policy(arguments, &shape, policy).await?);
    }
    if let Some(file) = &arguments.plot {
        plot(file, &arguments.shape, &results)?;
    }
    match arguments.json {
        true => {
            let report = serde_json::to_string(&Report { policies: &results });
            println!("{}", report.map_err(|error| error.to_string())?);
        }
        false => print_table(&results),
    }
    Ok(())
}

async fn run_policy(
    arguments: &CompareArguments,
    shape: &Shape,
    policy: &str,
) -> Result<Measured, FleetError> {
    let is_bound = policy == "full_knowledge";
    let folder = Folder::read(&arguments.examples.join(shape.name));
    let folder = folder.map_err(|error| error.to_string())?;
    let named = if is_bound { "probe" } else { policy };
    let folder = with_pool(&folder, "probes", &pool_lines(arguments, named));
    let folder = match arguments.weight {
        Some(weight) => {
            let line = format!("recompute_weight = {weight:.3}");
            with_pool(&folder, "recompute_weight", &line)
        }
        // The bound is the greedy one: each request for itself.
        None if is_bound => {
            with_pool(&folder, "recompute_weight", "recompute_weight = 1.0")
        }
        None => folder,
    };
    let traits =
        EngineTraits { cache_blocks: arguments.cache_blocks, ..EngineTraits::default() };
    let fleet = Fleet::start(FleetPlan {
        folders: vec![folder],
        entries: arguments.entries,
        traits,
        processes: true,
        exact: is_bound,
        peers: String::new(),
        callers: SocketAddr::from(([127, 0, 0, 1], 0)),
    })
    .await?;
    let warm_ms = arguments.warm_seconds * 1_000;
    let duration_ms = warm_ms + arguments.seconds * 1_000;
    let rate_per_s = arguments.rate_per_engine * fleet.engines.len() as f64;
    let arrivals = shape.arrivals(arguments.seed, rate_per_s, duration_ms);
    let offered = Offered { arrivals: Arc::new(arrivals), model: shape.model, warm_ms };
    Ok(measure(&fleet, &offered).await)
}

fn pool_lines(arguments: &CompareArguments, policy: &str) -> String {
    let probes = arguments.probes.unwrap_or(5);
    format!("probes = {probes}\npolicy = \"{policy}\"")
}

fn print_table(results: &BTreeMap<&'static str, Measured>) {
    println!(
        "{:16} {:>6} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "policy",
        "hit",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "wasted",
        "refused",
        "calls",
        "requests",
        "ctl B/rq",
        "ev/rq"
    );
    for policy in POLICIES {
        let Some(found) = results.get(policy) else { continue };
        println!(
            "{policy:16} {:6.3} {:9.1} {:9.1} {:9.1} {:8.4} {:8.4} {:8.3} {:8} {:8.0} {:8.1}",
            found.hit_ratio,
            found.ttft_p50_ms,
            found.ttft_p95_ms,
            found.ttft_p99_ms,
            found.wasted_recompute_ratio,
            found.refused_ratio,
            found.upstream_calls_per_request,
            found.requests,
            found.control_bytes_per_request,
            found.cache_events_per_request
        );
    }
}
