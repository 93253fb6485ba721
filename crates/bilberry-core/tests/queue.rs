//! Tests of weighted fair queueing: shares, limits and displaced items.

use bilberry_core::FairQueue;
use bilberry_core::Name;
use bilberry_core::Pushed;
use proptest::prelude::*;

fn push(queue: &mut FairQueue<u32>, customer: &str, weight: u64, cost: u64, item: u32) {
    let pushed = queue.push(&Name::from(customer), weight, 0, cost, item);
    assert!(matches!(pushed, Pushed::Queued(_)), "{pushed:?}");
}

#[test]
fn a_long_backlog_does_not_delay_another_customer() {
    // One customer has a hundred requests queued when another sends its first one. In
    // order of arrival, the second customer would wait for all of them.
    let mut queue = FairQueue::new(1_000);
    for item in 0..100 {
        push(&mut queue, "hog", 1, 10, item);
    }
    for _ in 0..5 {
        queue.pop();
    }
    push(&mut queue, "victim", 1, 10, 1_000);
    let waited = (0..).take_while(|_| queue.pop() != Some(1_000)).count();
    assert!(waited <= 1, "{waited} items were served before");
}

#[test]
fn an_idle_customer_accrues_no_credit() {
    // One customer is served alone before a second one arrives. If idle time earned
    // credit, the second customer would block the first until both had been served
    // equally.
    let mut queue = FairQueue::new(1_000);
    for item in 0..200 {
        push(&mut queue, "steady", 1, 1, item);
    }
    for _ in 0..100 {
        queue.pop();
    }
    for item in 1_000..1_100 {
        push(&mut queue, "late", 1, 1, item);
    }
    let late = (0..40).filter(|_| queue.pop().is_some_and(|item| item >= 1_000)).count();
    assert!((19..=21).contains(&late), "{late} of 40");
}

#[test]
fn a_full_queue_admits_a_customer_below_its_share() {
    // One customer fills the queue. The first request of another customer displaces the
    // latest request of the first, and the first cannot queue more.
    let mut queue = FairQueue::new(10);
    for item in 0..10 {
        push(&mut queue, "hog", 1, 1, item);
    }
    let victim = Name::from("victim");
    let pushed = queue.push(&victim, 1, 0, 1, 100);
    assert!(matches!(pushed, Pushed::Displaced(_, 9)), "{pushed:?}");
    let hog = Name::from("hog");
    assert_eq!(queue.push(&hog, 1, 0, 1, 11), Pushed::Refused(11));
}

#[test]
fn a_higher_priority_is_served_first() {
    let mut queue = FairQueue::new(10);
    let name = Name::from("anna");
    queue.push(&name, 1, 0, 1, 1);
    queue.push(&name, 1, 5, 1, 2);
    assert_eq!(queue.pop(), Some(2));
}

#[test]
fn accounts_of_idle_customers_are_removed() {
    let mut queue = FairQueue::new(100_000);
    for customer in 0..10_000 {
        push(&mut queue, &format!("customer {customer}"), 1, 1, customer);
    }
    while queue.pop().is_some() {}
    push(&mut queue, "last", 1, 1_000_000, 0);
    push(&mut queue, "last", 1, 1, 0);
    queue.pop();
    queue.pop();
    queue.forget_idle();
    assert!(queue.account_count() <= 1, "{} accounts are kept", queue.account_count());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn backlogged_customers_are_served_in_proportion_to_weight(
        weights in prop::collection::vec(1_u64..8, 2..5),
        costs in prop::collection::vec(1_u64..50, 1..20),
    ) {
        // All customers always have items queued, with the same mix of costs.
        let mut queue = FairQueue::new(100_000);
        for (customer, weight) in weights.iter().enumerate() {
            for cost in costs.iter().cycle().take(600) {
                let item = (customer * 1_000 + *cost as usize) as u32;
                push(&mut queue, &customer.to_string(), *weight, *cost, item);
            }
        }
        let mut served = vec![0_u64; weights.len()];
        for _ in 0..400 {
            let item = queue.pop().expect("the queue is not empty") as usize;
            served[item / 1_000] += (item % 1_000) as u64;
        }
        let total: u64 = served.iter().sum();
        let total_weight: u64 = weights.iter().sum();
        for (served, weight) in served.iter().zip(&weights) {
            let expected = total as f64 * *weight as f64 / total_weight as f64;
            let deviation = (*served as f64 - expected).abs();
            // Start-time fair queueing errs by at most one item per customer.
            prop_assert!(deviation <= 120.0, "served {served}, expected {expected}");
        }
    }
}
