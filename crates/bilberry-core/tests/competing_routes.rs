//! Which services order the requests that compete for them.

use bilberry_core::Name;
use bilberry_core::pools_with_yielding_routes;

fn ordered(targets: &[(&str, u64)]) -> Vec<Name> {
    let named: Vec<(Name, u64)> =
        targets.iter().map(|&(pool, ms)| (pool.into(), ms)).collect();
    let pairs = named.iter().map(|(pool, ms)| (pool, *ms));
    let mut pools: Vec<Name> = pools_with_yielding_routes(pairs).cloned().collect();
    pools.sort();
    pools
}

#[test]
fn a_service_is_ordered_if_one_target_is_twice_another() {
    assert_eq!(ordered(&[("llm", 500), ("llm", 1_000)]), ["llm"]);
    assert_eq!(ordered(&[("llm", 600), ("llm", 400)]), [""; 0]);
    assert_eq!(ordered(&[("llm", 1_500)]), [""; 0]);
}

#[test]
fn targets_of_other_services_do_not_count() {
    assert_eq!(ordered(&[("llm", 1_500), ("desk", 150)]), [""; 0]);
    assert_eq!(ordered(&[("a", 100), ("b", 300), ("b", 900)]), ["b"]);
}
