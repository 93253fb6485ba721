//! Scopes in which customers share cached prompt parts.

mod cache_scope_model;

use std::collections::HashSet;

use bilberry_core::CacheScope;
use bilberry_core::IsolatedCustomers;
use bilberry_core::Name;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

use crate::cache_scope_model::Changes;
use crate::cache_scope_model::Figures;
use crate::cache_scope_model::Load;
use crate::cache_scope_model::Way;
use crate::cache_scope_model::play;

/// Reports whether a scope can be sent in a header, as a field of a salt.
fn is_field(scope: &CacheScope) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    !scope.as_str().is_empty() && scope.as_str().bytes().all(is_allowed)
}

fn isolated<'a>(names: impl IntoIterator<Item = &'a String>) -> IsolatedCustomers {
    names.into_iter().map(|name| Name::from(name.as_str())).collect()
}

proptest! {
    /// Guards against names that are lost in a header or make two salts equal.
    #[test]
    fn customers_have_scopes_of_their_own(names in any::<HashSet<String>>()) {
        let mut scopes: HashSet<_> =
            names.iter().map(|name| CacheScope::of_customer(name)).collect();
        scopes.insert(IsolatedCustomers::default().scope_of(None));
        prop_assert_eq!(scopes.len(), names.len() + 1);
        prop_assert!(scopes.iter().all(is_field));
    }

    /// Guards against processes that derive different scopes from the same configuration, and
    /// against equal ones for different sets of isolated customers.
    #[test]
    fn a_shared_scope_is_that_of_one_set(
        names in any::<Vec<String>>(),
        others in any::<Vec<String>>(),
    ) {
        let scope = isolated(&names).scope_of(None);
        prop_assert!(is_field(&scope) && !scope.is_private());
        prop_assert_eq!(&isolated(names.iter().rev()).scope_of(None), &scope);
        let is_same =
            names.iter().collect::<HashSet<_>>() == others.iter().collect::<HashSet<_>>();
        prop_assert_eq!(isolated(&others).scope_of(None) == scope, is_same);
    }
}

/// Guards against names that are equal when concatenated.
#[test]
fn sets_of_adjacent_names_differ() {
    let scope = |names: &[&str]| {
        let names = names.iter().map(|name| Name::from(*name));
        names.collect::<IsolatedCustomers>().scope_of(None)
    };
    assert_ne!(scope(&["ab", "c"]), scope(&["a", "bc"]));
    assert_ne!(scope(&[""]), scope(&[]));
}

/// Guards against prompts that are read again by a software update without isolation.
#[test]
fn the_scope_without_isolation_is_that_of_earlier_releases() {
    assert_eq!(IsolatedCustomers::default().scope_of(Some("a")).as_str(), "shared");
}

const HISTORY: Load = Load {
    way: Way::SetsStillAllowed,
    changes: Changes::Any,
    isolated: 0,
    seconds: 60,
    requests_per_s: 60,
    change_every_ms: 2_000,
    restart_every_ms: 3_000,
    max_wait_ms: 3_000,
    max_queue_ms: 0,
    engine_tokens: 40_000,
    seed: 0,
};

fn total(load: Load) -> Figures {
    (0..10).map(|seed| play(Load { seed, ..load })).fold(Figures::default(), |sum, it| {
        Figures {
            requests: sum.requests + it.requests,
            foreign: sum.foreign + it.foreign,
            foreign_at_start: sum.foreign_at_start + it.foreign_at_start,
            read_tokens: sum.read_tokens + it.read_tokens,
            others_read_tokens: sum.others_read_tokens + it.others_read_tokens,
            fetched_tokens: sum.fetched_tokens + it.fetched_tokens,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against parts of isolated customers in any series of changes, beside entries that
    /// miss some of them, start anew, or keep requests waiting.
    #[test]
    fn no_request_uses_a_part_across_an_isolation(
        seed in any::<u64>(),
        change_every_ms in 100..5_000_u64,
        restart_every_ms in 0..5_000_u64,
        max_wait_ms in 0..5_000_u64,
        max_queue_ms in 0..3_000_u64,
        isolated in 0..8_usize,
    ) {
        let load = Load {
            seed,
            change_every_ms,
            restart_every_ms,
            max_wait_ms,
            max_queue_ms,
            isolated,
            ..HISTORY
        };
        prop_assert_eq!(play(load).foreign, 0);
        let without_queues = play(Load { max_queue_ms: 0, ..load });
        prop_assert_eq!(without_queues.foreign_at_start, 0);
    }
}

/// Guards against a check at the arrival alone, which a change during a wait defeats.
#[test]
fn the_configuration_at_the_arrival_does_not_suffice() {
    assert!(total(Load { way: Way::Constant, ..HISTORY }).foreign > 0);
    assert!(total(Load { way: Way::SetAtArrival, ..HISTORY }).foreign > 0);
    assert_eq!(total(Load { way: Way::Set, ..HISTORY }).foreign, 0);
    assert_eq!(total(HISTORY).foreign, 0);
}

/// Guards against prompts that are read again though nobody has been isolated, and against
/// those of others that are as an isolation ends.
#[test]
fn changes_that_isolate_nobody_read_nothing_again() {
    let calm = Load {
        isolated: 4,
        change_every_ms: 0,
        restart_every_ms: 0,
        max_wait_ms: 0,
        engine_tokens: u64::MAX,
        ..HISTORY
    };
    let changed = Load { change_every_ms: 10_000, ..calm };
    let other = total(Load { changes: Changes::Other, ..changed });
    let ended = total(Load { changes: Changes::EndIsolations, ..changed });
    let calm = total(calm);
    assert_eq!(other, calm);
    assert!(ended.others_read_tokens <= calm.others_read_tokens, "{calm:?} {ended:?}");
}

#[test]
#[ignore = "prints the figures of the design note"]
fn print_the_ways() {
    let loads = [
        ("no changes", Load { change_every_ms: 0, ..HISTORY }),
        ("any changes, 2 s apart", HISTORY),
        ("any changes, 20 s apart", Load { change_every_ms: 20_000, ..HISTORY }),
        (
            "isolated one by one, 10 s apart",
            Load { changes: Changes::Isolate, change_every_ms: 10_000, ..HISTORY },
        ),
        (
            "isolations end, 10 s apart",
            Load {
                changes: Changes::EndIsolations,
                change_every_ms: 10_000,
                isolated: 6,
                ..HISTORY
            },
        ),
    ];
    let ways = [
        Way::Constant,
        Way::OwnScope,
        Way::ConfigVersion,
        Way::SetAtArrival,
        Way::Set,
        Way::SetsStillAllowed,
    ];
    for (what, load) in loads {
        println!("{what}");
        for way in ways {
            let queued = Load { way, max_queue_ms: 2_000, ..load };
            println!("  {way:?} {:?}", total(Load { way, ..load }));
            println!("    queued {:?}", total(queued).foreign_at_start);
        }
    }
}
