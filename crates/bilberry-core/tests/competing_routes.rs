//! Which services order the requests that compete for them.

use bilberry_core::Name;
use bilberry_core::pools_with_yielding_routes;

fn ordered(targets: &[(&str, u64)]) -> Vec<(Name, u64)> {
    let named: Vec<(Name, u64)> =
        targets.iter().map(|&(pool, ms)| (pool.into(), ms)).collect();
    let pairs = named.iter().map(|(pool, ms)| (pool, *ms));
    let pools = pools_with_yielding_routes(pairs);
    let mut pools: Vec<_> = pools.map(|(pool, ms)| (pool.clone(), ms)).collect();
    pools.sort();
    pools
}

#[test]
fn a_service_is_ordered_if_one_target_is_twice_another() {
    assert_eq!(ordered(&[("llm", 500), ("llm", 1_000)]), [("llm".into(), 500)]);
    assert_eq!(ordered(&[("llm", 600), ("llm", 400)]), []);
    assert_eq!(ordered(&[("llm", 1_500)]), []);
}

#[test]
fn targets_of_other_services_do_not_count() {
    assert_eq!(ordered(&[("llm", 1_500), ("desk", 150)]), []);
    assert_eq!(ordered(&[("a", 100), ("b", 300), ("b", 900)]), [("b".into(), 300)]);
}
