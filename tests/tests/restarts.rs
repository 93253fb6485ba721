//! Cache hit ratio across entry restarts and platform outages.

use bilberry_standins::PlatformFaults;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use tokio::time::Instant;

/// Number of distinct prompt prefixes.
const PREFIXES: usize = 12;

/// Sends one prompt per prefix, rotating over all entries; returns the fraction
/// of prompt tokens that were cached.
async fn hit_ratio(fleet: &Fleet, round: &str) -> f64 {
    let before = totals(fleet).await;
    for at in 0..PREFIXES {
        let style = format!("House style of client {at}. ").repeat(150);
        let prompt = format!("{style} {round}?");
        let caller = fleet.caller(at % fleet.entries.len(), "anna");
        let answer = caller.complete(&prompt, 2).await;
        assert!(answer.done, "{round}: {answer:?}");
    }
    let after = totals(fleet).await;
    (after.0 - before.0) as f64 / (after.1 - before.1) as f64
}

/// Prints the routing decisions if the hit ratio is low: which upstreams were
/// probed for each prompt and what they answered.
async fn show_decisions_if(is_low: bool, fleet: &Fleet) {
    for decision in fleet.decisions().await.iter().filter(|_| is_low) {
        println!("{decision}");
    }
}

async fn totals(fleet: &Fleet) -> (u64, u64) {
    let (mut cached, mut prompt) = (0, 0);
    for at in 0..fleet.plan.engines.len() {
        let counters = fleet.engine_counters(at).await;
        cached += counters.cached_tokens;
        prompt += counters.prompt_tokens;
    }
    (cached, prompt)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_herd_of_restarted_entries_finds_prefixes_where_they_are() {
    // All entries are killed and restarted at once while the platform is down, so
    // they start without state. They fetch configuration and membership from their
    // peers; deterministic ranking and probe answers lead to the cached prefixes.
    let mut fleet =
        Fleet::start(FleetConfig { entries: 3, ..FleetConfig::engines(6) }).await;
    hit_ratio(&fleet, "first").await;
    let before = hit_ratio(&fleet, "second").await;
    show_decisions_if(before <= 0.9, &fleet).await;
    let down = PlatformFaults { down: true, ..PlatformFaults::default() };
    fleet.set_faults(&fleet.platform, &down).await;
    for entry in &mut fleet.entries {
        entry.kill();
    }
    let restarted = Instant::now();
    for entry in &mut fleet.entries {
        entry.restart();
    }
    for entry in &fleet.entries {
        fleet.wait_ready(entry).await;
    }
    let ready_after = restarted.elapsed();
    let after = hit_ratio(&fleet, "third").await;
    show_decisions_if(after < before * 0.95, &fleet).await;
    println!("hit ratio {before:.3} before, {after:.3} after, ready in {ready_after:?}");
    assert!(before > 0.9 && after >= before * 0.95, "{before} before, {after} after");
    assert!(ready_after.as_millis() < 2_000, "ready after {ready_after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_leaves_idempotent_traffic_untouched() {
    // The platform first returns errors and then does not respond at all.
    // Completions do not depend on it, so the hit ratio must not drop.
    let fleet = Fleet::start(FleetConfig { entries: 2, ..FleetConfig::engines(4) }).await;
    hit_ratio(&fleet, "first").await;
    let before = hit_ratio(&fleet, "second").await;
    for (what, faults) in [
        ("down", PlatformFaults { down: true, ..PlatformFaults::default() }),
        ("hanging", PlatformFaults { hang: true, ..PlatformFaults::default() }),
    ] {
        fleet.set_faults(&fleet.platform, &faults).await;
        let during = hit_ratio(&fleet, what).await;
        println!("hit ratio {before:.3} before, {during:.3} while {what}");
        assert!(during >= before * 0.95, "{before} before, {during} while {what}");
    }
}
