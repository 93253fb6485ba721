//! Five ways to make room for clients, replayed on the same loads: a crowd that never ends
//! its requests beside ordinary clients, on the smallest host.

mod client_model;

use bilberry_core::HolderView;
use bilberry_core::StalledBytes;
use bilberry_core::YieldOrder;
use client_model::Crowd;
use client_model::Load;
use client_model::Served;
use client_model::replay;

/// Nobody yields, so that newcomers are refused.
struct NewcomersRefused;

impl YieldOrder for NewcomersRefused {
    fn rank(&self, _: &HolderView) -> Option<u64> {
        None
    }
}

/// Those yield first from which nothing was received for the longest time.
struct LongestSilent;

impl YieldOrder for LongestSilent {
    fn rank(&self, holder: &HolderView) -> Option<u64> {
        Some(holder.stalled_ms)
    }
}

/// Those yield first that hold the most bytes times the age of their requests.
struct ByteAge;

impl YieldOrder for ByteAge {
    fn rank(&self, holder: &HolderView) -> Option<u64> {
        Some(holder.bytes * holder.age_ms)
    }
}

/// Those yield first that hold the most bytes.
struct Largest;

impl YieldOrder for Largest {
    fn rank(&self, holder: &HolderView) -> Option<u64> {
        Some(holder.bytes)
    }
}

fn loads() -> Vec<Load> {
    let mut loads = Vec::new();
    for crowd in [Crowd::Stall, Crowd::Trickle, Crowd::Churn] {
        loads.push(Load { crowd, clients: 20, body_bytes: 2_000_000 });
        loads.push(Load { crowd, clients: 60, body_bytes: 300_000 });
        loads.push(Load { crowd, clients: 200, body_bytes: 30_000 });
    }
    loads
}

fn all<O: YieldOrder>(name: &str, order: impl Fn() -> O) -> Vec<Served> {
    let loads = loads().into_iter();
    loads
        .map(|load| {
            let served = replay(order(), load);
            println!("{name} {load:?}: {served:?}");
            served
        })
        .collect()
}

#[test]
fn small_requests_are_served_beside_every_crowd() {
    let stalled = all("stalled bytes", || StalledBytes);
    let age = all("bytes times age", || ByteAge);
    let silent = all("longest silent", || LongestSilent);
    let largest = all("largest", || Largest);
    let refused = all("newcomers refused", || NewcomersRefused);
    for (at, load) in loads().iter().enumerate() {
        assert_eq!(stalled[at].small, 100.0, "{load:?}");
    }
    let mean = |all: &[Served]| {
        let served = all.iter().map(|it| it.large + it.slow).sum::<f64>();
        served / (2 * all.len()) as f64
    };
    for other in [&age, &silent, &largest, &refused] {
        println!("{:.1} and {:.1}", mean(&stalled), mean(other));
        assert!(mean(&stalled) >= mean(other));
    }
}
