//! Orders to engines: leases, fencing tokens and bounded concurrent loads.

use bilberry_standins::EngineTraits;
use bilberry_standins::expected_answer;
use bilberry_tests::ChildProcess;
use bilberry_tests::Fleet;
use bilberry_tests::FleetConfig;
use bilberry_tests::eventually;
use bilberry_tests::get;

/// Returns the fleet configuration with `weights` for the model.
fn piece(fleet: &Fleet, weights: &str) -> String {
    FleetConfig { weights: weights.to_string(), ..fleet.plan.clone() }.config_file()
}

async fn apply(fleet: &Fleet, weights: &str) -> Result<u64, String> {
    fleet.apply(0, &[("10-tests.toml", &piece(fleet, weights))]).await
}

/// Waits until all engines run `weights`.
async fn wait_weights(fleet: &Fleet, weights: &str) {
    eventually("all engines run the weights", || async {
        for engine in &fleet.upstreams {
            let address = engine.address("address");
            let reply = get(format!("http://{address}/v1/engine")).await.ok()?;
            if reply.json()["weights"] != weights {
                return None;
            }
        }
        Some(())
    })
    .await;
}

/// Starts a weight store and a fleet whose engines load from it.
async fn fleet_with_store(engines: usize, max_loads: usize) -> (ChildProcess, Fleet) {
    let store = ChildProcess::start("bilberry-standin", vec!["weights".to_string()]);
    let weight_store = Some(store.address("address"));
    let traits =
        EngineTraits { weight_store, token_us: 5_000, ..EngineTraits::default() };
    let fleet = Fleet::start(FleetConfig {
        entries: 2,
        engines: vec![traits; engines],
        pool: format!("max_loads = {max_loads}"),
        upstream: "checks_fencing = true".to_string(),
        ..FleetConfig::default()
    })
    .await;
    (store, fleet)
}

async fn max_concurrent_loads(store: &ChildProcess) -> u64 {
    let address = store.address("address");
    let reply = get(format!("http://{address}/standin/counters")).await.expect("told");
    reply.json()["most_running"].as_u64().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn loads_stay_within_the_bound_while_operators_race() {
    // Two operators change the weights in quick succession, and six engines must
    // follow. Each sidecar claims one of two slots by conditional update, so the
    // weight store never serves more than two loads at once.
    let (store, fleet) = fleet_with_store(6, 2).await;
    let (first, second) = tokio::join!(apply(&fleet, "w2"), apply(&fleet, "w3"));
    assert!(first.is_ok() || second.is_ok());
    let last = match apply(&fleet, "w4").await {
        Ok(_) => "w4",
        Err(refused) => panic!("{refused}"),
    };
    wait_weights(&fleet, last).await;
    assert!(max_concurrent_loads(&store).await <= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_under_traffic_cuts_no_answer() {
    // The weights change under traffic. Each answer must be complete and computed
    // entirely from the old weights or entirely from the new ones.
    let (_store, fleet) = fleet_with_store(3, 1).await;
    let callers: Vec<_> = (0..6)
        .map(|at| {
            let caller = fleet.caller(at % 2, "anna");
            tokio::spawn(async move {
                for round in 0..20 {
                    let prompt = format!("caller {at} asks {round}");
                    let answer = caller.complete(&prompt, 10).await;
                    let of = |weights| expected_answer(&prompt, weights, 10);
                    assert!(answer.done, "{answer:?}");
                    assert!([of("w1"), of("w2")].contains(&answer.text));
                }
            })
        })
        .collect();
    assert_eq!(apply(&fleet, "w2").await, Ok(2));
    for running in callers {
        running.await.expect("a caller ends");
    }
    wait_weights(&fleet, "w2").await;
    for engine in 0..3 {
        assert_eq!(fleet.engine_counters(engine).await.violations, 0);
    }
}

/// Suspends the only sidecar while it waits to load `w2`, loads `w3` through a
/// second sidecar of the same upstream, and resumes the first.
async fn fleet_after_lease_takeover(checks_fencing: bool) -> Fleet {
    let traits = EngineTraits {
        checks_fencing,
        load_ms: 50,
        token_us: 20_000,
        ..EngineTraits::default()
    };
    let mut fleet = Fleet::start(FleetConfig {
        engines: vec![traits],
        upstream: format!("checks_fencing = {checks_fencing}"),
        ..FleetConfig::default()
    })
    .await;
    // A running request delays the load between the lease and the order.
    let mut stream = fleet.caller(0, "anna").start("a long answer", 30).await;
    stream.read_tokens(1).await;
    assert_eq!(apply(&fleet, "w2").await, Ok(2));
    let holder = eventually("the sidecar holds a lease", || async {
        let address = fleet.platform.address("address");
        let reply = get(format!("http://{address}/v1/objects/leases/e0")).await.ok()?;
        (reply.status == 200).then(|| reply.json()["version"].as_u64())
    })
    .await;
    assert!(holder.is_some());
    fleet.sidecars[0].suspend();
    let second = fleet.start_second_sidecar(0);
    assert_eq!(apply(&fleet, "w3").await, Ok(3));
    wait_weights(&fleet, "w3").await;
    fleet.sidecars[0].resume();
    drop(stream);
    fleet.wait_revision(&fleet.sidecars[0], 3).await;
    fleet.sidecars.push(second);
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_frozen_past_its_lease_cannot_bring_old_weights_back() {
    // The lease holder is suspended between its lease and its order, and a second
    // sidecar takes the lease and loads newer weights. The first resumes with an
    // expired lease: it must renew before its order, and finds another holder.
    for checks_fencing in [true, false] {
        let fleet = fleet_after_lease_takeover(checks_fencing).await;
        wait_weights(&fleet, "w3").await;
        let counters = fleet.engine_counters(0).await;
        assert_eq!(counters.stale_orders, 0, "fencing {checks_fencing}: {counters:?}");
        assert_eq!(counters.orders, 1, "fencing {checks_fencing}: {counters:?}");
    }
}
