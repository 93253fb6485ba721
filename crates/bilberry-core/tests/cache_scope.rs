//! Scopes in which customers share cached prompt parts.

use std::collections::HashSet;

use bilberry_core::CacheScope;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

/// Reports whether a scope can be sent in a header, as a field of a salt.
fn is_field(scope: &CacheScope) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
    !scope.as_str().is_empty() && scope.as_str().bytes().all(is_allowed)
}

proptest! {
    /// Guards against names that are lost in a header or make two salts equal.
    #[test]
    fn customers_have_scopes_of_their_own(names in any::<HashSet<String>>()) {
        let mut scopes: HashSet<_> =
            names.iter().map(|name| CacheScope::of_customer(name)).collect();
        scopes.insert(CacheScope::default());
        prop_assert_eq!(scopes.len(), names.len() + 1);
        prop_assert!(scopes.iter().all(is_field));
    }
}
