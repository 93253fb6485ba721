//! Scopes in which customers share cached prompt parts.

use std::collections::HashSet;

use bilberry_core::CacheScope;
use bilberry_core::IsolatedCustomers;
use bilberry_core::Name;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

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
