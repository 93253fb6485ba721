//! Experiments on the policy under load: shares, overload, herds, hot prefixes.

use std::path::Path;
use std::sync::Arc;

use bilberry_config::Folder;
use bilberry_standins::EngineTraits;

use crate::Arrival;
use crate::Fleet;
use crate::FleetError;
use crate::FleetPlan;
use crate::Measured;
use crate::Offered;
use crate::Shape;
use crate::measure;
use crate::small::MODEL;
use crate::small::Small;
use crate::small::unique_arrivals;

/// The bytes of a prompt of 2,000 tokens: 80 ms of prefill.
const PROMPT_BYTES: usize = 8_000;

/// How long an experiment offers load.
const DURATION_MS: u64 = 15_000;

/// How long it warms up before.
const WARM_MS: u64 = 3_000;

/// How many requests a second one engine serves of such prompts.
const CAPACITY_PER_ENGINE: f64 = 12.0;

/// Measures whether a customer at ten times its share harms another one, and
/// whether a saturated system is shared by weights.
pub async fn fair() -> Result<(), FleetError> {
    let customers = vec![("hog", 1), ("victim", 1)];
    let small = Small { customers, engines: 4, entries: 2, ..Small::default() };
    // The victim asks for a tenth of the capacity; the hog's share is a half.
    let capacity = CAPACITY_PER_ENGINE * 4.0;
    let victim =
        || unique_arrivals("victim", capacity / 10.0, DURATION_MS, PROMPT_BYTES, 4);
    let alone = offer(&small, victim()).await?;
    let hog = unique_arrivals("hog", capacity / 2.0 * 10.0, DURATION_MS, PROMPT_BYTES, 4);
    let beside = offer(&small, merged([victim(), hog])).await?;
    let alone_ms = alone.by_customer["victim"].ttft_p99_ms;
    let beside_ms = beside.by_customer["victim"].ttft_p99_ms;
    println!(
        "victim alone: p99 {alone_ms:.1} ms; beside a hog at ten times its share: \
         {beside_ms:.1} ms, {:.2} times; whole answers {} of {}; refused {:?}",
        beside_ms / alone_ms,
        beside.by_customer["victim"].whole,
        alone.by_customer["victim"].whole,
        beside.refused_by_code,
    );
    shares().await
}

/// Measures the shares of three customers that all ask for more than theirs.
async fn shares() -> Result<(), FleetError> {
    let customers = vec![("four", 4), ("two", 2), ("one", 1)];
    let weights: u32 = customers.iter().map(|(_, weight)| weight).sum();
    let small = Small { customers, engines: 4, entries: 2, ..Small::default() };
    let rate = CAPACITY_PER_ENGINE * 4.0;
    let each = |name| unique_arrivals(name, rate, DURATION_MS, PROMPT_BYTES, 4);
    let found = offer(&small, merged([each("four"), each("two"), each("one")])).await?;
    let total: u64 = found.tokens_under_load.values().sum();
    for (name, weight) in &small.customers {
        let served = found.tokens_under_load.get(name).copied().unwrap_or(0);
        let share = served as f64 / total as f64;
        let wanted = f64::from(*weight) / f64::from(weights);
        println!(
            "share of {name}: {share:.3}, by weight {wanted:.3}, off by {:.1}%",
            (share / wanted - 1.0) * 100.0
        );
    }
    Ok(())
}

/// Measures useful answers at half, once and twice the capacity.
pub async fn overload() -> Result<(), FleetError> {
    let traits = EngineTraits::default();
    let small =
        Small { engines: 4, entries: 2, traits, deadline_ms: 5_000, ..Small::default() };
    for times in [0.5, 1.0, 2.0, 4.0] {
        let rate = CAPACITY_PER_ENGINE * 4.0 * times;
        let arrivals = unique_arrivals("anna", rate, DURATION_MS, PROMPT_BYTES, 4);
        let found = offer(&small, arrivals).await?;
        println!(
            "offered {times} of capacity: {:.1} whole answers a second, p50 {:.0} ms, \
             p99 {:.0} ms, refused {:.3} {:?}, calls a request {:.3}, slowest refusal {:.1} \
             ms",
            found.answers_per_s,
            found.ttft_p50_ms,
            found.ttft_p99_ms,
            found.refused_ratio,
            found.refused_by_code,
            found.upstream_calls_per_request,
            found.refusal_max_ms
        );
    }
    Ok(())
}

/// Measures the hit ratio of the two seconds after all entries were restarted.
pub async fn restart(examples: &Path) -> Result<(), FleetError> {
    let shape = Shape::named("hsinchu").ok_or("no shape")?;
    let mut fleet = start_example(examples, &shape).await?;
    let rate = 63.0;
    let arrivals = shape.arrivals(7, rate, 22_000);
    let (earlier, later): (Vec<_>, Vec<_>) =
        arrivals.into_iter().partition(|arrival| arrival.at_us < 20_000_000);
    let before = measure(&fleet, &offered(earlier, shape.model, 12_000)).await;
    fleet.restart_entries().await?;
    let later = later
        .into_iter()
        .map(|arrival| Arrival { at_us: arrival.at_us - 20_000_000, ..arrival })
        .collect();
    let after = measure(&fleet, &offered(later, shape.model, 0)).await;
    println!(
        "all entries restarted: hit ratio {:.3} before, {:.3} in the 2 s after \
         ({:.3} of before), refused {:.3}, p99 {:.0} ms before, {:.0} ms after",
        before.hit_ratio,
        after.hit_ratio,
        after.hit_ratio / before.hit_ratio,
        after.refused_ratio,
        before.ttft_p99_ms,
        after.ttft_p99_ms
    );
    Ok(())
}

/// Measures the tail while a prefix that nobody knew becomes very hot.
pub async fn hot(examples: &Path) -> Result<(), FleetError> {
    let shape = Shape::named("hsinchu").ok_or("no shape")?;
    let fleet = start_example(examples, &shape).await?;
    let mut arrivals = shape.arrivals(7, 45.0, 24_000);
    // From second 14 on, as many requests again ask about one new document.
    for at in 0..450_u64 {
        let question = format!("hot question {at}");
        let prompt = shape.prompt("tea-houses", 1_000, &question);
        let at_us = 14_000_000 + at * 1_000_000 / 45;
        arrivals.push(Arrival { at_us, customer: "tea-houses", prompt, tokens: 12 });
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    let found = measure(&fleet, &offered(arrivals, shape.model, 10_000)).await;
    let seconds: Vec<_> =
        found.p99_ms_by_second.iter().map(|ms| format!("{ms:.0}")).collect();
    println!(
        "a hot prefix appears in second 4: p99 by second {} ms; most requests at one \
         upstream {:.2} of the mean; hit ratio {:.3}",
        seconds.join(" "),
        found.hottest_upstream,
        found.hit_ratio
    );
    Ok(())
}

async fn start_example(examples: &Path, shape: &Shape) -> Result<Fleet, FleetError> {
    let folder = Folder::read(&examples.join(shape.name));
    let traits = EngineTraits { cache_blocks: 1_500, ..EngineTraits::default() };
    Fleet::start(FleetPlan {
        folders: vec![folder.map_err(|error| error.to_string())?],
        entries: 3,
        traits,
        ..Small::default().plan()
    })
    .await
}

async fn offer(small: &Small, arrivals: Vec<Arrival>) -> Result<Measured, FleetError> {
    let fleet = Fleet::start(small.plan()).await?;
    Ok(measure(&fleet, &offered(arrivals, MODEL, WARM_MS)).await)
}

fn offered(arrivals: Vec<Arrival>, model: &'static str, warm_ms: u64) -> Offered {
    Offered { arrivals: Arc::new(arrivals), model, warm_ms }
}

fn merged<const N: usize>(parts: [Vec<Arrival>; N]) -> Vec<Arrival> {
    let mut all: Vec<_> = parts.into_iter().flatten().collect();
    all.sort_by_key(|arrival| arrival.at_us);
    all
}
