//! The scopes in which customers share cached prompt parts.
//!
//! Engines and prompt stores find a part under the salt of the request that made it, and
//! whoever sends the same salt uses it. The scope is what separates customers in a salt.

use std::fmt;

use crate::Name;

/// The scope of the customers that are not isolated.
const SHARED: &str = "shared";

/// The number of hexadecimal digits in the name of a scope.
const DIGITS: usize = 32;

/// A scope in which prompt parts are shared; its name is visible ASCII without slashes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheScope(Name);

impl CacheScope {
    /// Returns the scope of one customer's requests.
    pub fn of_customer(customer: &str) -> Self {
        Self(ecow::eco_format!("only-{}", digest(customer)))
    }

    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for CacheScope {
    fn default() -> Self {
        Self(SHARED.into())
    }
}

impl fmt::Display for CacheScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Hashes a name, as not every name can be sent in a header, and one with a slash could make
/// two salts equal.
fn digest(name: &str) -> String {
    blake3::hash(name.as_bytes()).to_hex()[..DIGITS].to_string()
}
