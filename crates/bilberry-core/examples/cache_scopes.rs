//! Measures the cost of cache scopes with many customers.
//!
//! Run it with `cargo run --release --example cache_scopes -p bilberry-core`.

use std::hint::black_box;
use std::time::Instant;

use bilberry_core::CacheScopes;
use bilberry_core::IsolatedCustomers;
use bilberry_core::Name;

/// The numbers of isolated customers: a few, and all that are expected.
const ISOLATED: [usize; 2] = [480, 48_000];

/// The number of requests that are measured.
const REQUESTS: usize = 100_000;

/// The number of configurations that are measured.
const CONFIGURATIONS: usize = 20;

fn main() {
    for count in ISOLATED {
        let names: Vec<Name> =
            (0..=count).map(|n| ecow::eco_format!("customer-{n}")).collect();
        let before = CacheScopes::new(names.iter().cloned().collect());
        let began = Instant::now();
        let mut scopes = CacheScopes::default();
        for _ in 0..CONFIGURATIONS {
            let isolated: IsolatedCustomers = names[..count].iter().cloned().collect();
            scopes = CacheScopes::new(isolated);
            scopes.keep_earlier(black_box(&before));
        }
        let configuration_us = began.elapsed().as_micros() as f64 / CONFIGURATIONS as f64;
        let shared_ns = ns_a_request(&scopes, "other");
        let private_ns = ns_a_request(&scopes, &names[count / 2]);
        println!(
            "{count} isolated customers: {configuration_us:.0} us a configuration, a request \
             {shared_ns:.0} ns in the shared scope, {private_ns:.0} ns in its own"
        );
    }
}

fn ns_a_request(scopes: &CacheScopes, customer: &str) -> f64 {
    let began = Instant::now();
    for _ in 0..REQUESTS {
        let scope = scopes.choose(Some(black_box(customer)), |_| 0);
        black_box(scopes.allows(Some(customer), &scope));
    }
    began.elapsed().as_nanos() as f64 / REQUESTS as f64
}
