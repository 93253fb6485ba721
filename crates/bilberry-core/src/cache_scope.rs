//! The scopes in which customers share cached prompt parts.
//!
//! Engines and prompt stores find a part under the salt of the request that made it, and
//! whoever sends the same salt uses it. The scope is what separates customers in a salt. Its
//! name determines whose requests may have made its parts, so a process needs no memory of
//! earlier configurations: all processes derive the same scopes from the same one.

use std::collections::BTreeSet;
use std::fmt;
use std::iter;
use std::sync::Arc;

use crate::Name;

/// The name of the scope that excludes nobody, and the prefix of the names of others.
const SHARED: &str = "shared";

/// The prefix of the names of scopes of one customer.
const PRIVATE: &str = "only-";

/// The number of hexadecimal digits in the name of a scope.
const DIGITS: usize = 32;

/// The maximum number of earlier sets whose scopes are still used.
const MAX_EARLIER: usize = 4;

/// A scope in which prompt parts are shared; its name is visible ASCII without slashes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheScope(Name);

impl CacheScope {
    /// Returns the scope of one customer's requests.
    pub fn of_customer(customer: &str) -> Self {
        Self(ecow::eco_format!("{PRIVATE}{}", digest([customer])))
    }

    /// Returns the scope of the requests of all customers but these.
    fn excluding(customers: &BTreeSet<Name>) -> Self {
        match customers.is_empty() {
            true => Self(SHARED.into()),
            false => {
                let names = customers.iter().map(Name::as_str);
                Self(ecow::eco_format!("{SHARED}-{}", digest(names)))
            }
        }
    }

    /// Reports whether it is the scope of one customer's requests.
    pub fn is_private(&self) -> bool {
        self.0.starts_with(PRIVATE)
    }

    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for CacheScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The customers that a configuration isolates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IsolatedCustomers {
    names: Arc<BTreeSet<Name>>,
    shared_scope: CacheScope,
}

impl IsolatedCustomers {
    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Reports whether nobody is isolated.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Reports whether a request's customer, if it has one, is isolated.
    fn isolates(&self, customer: Option<&str>) -> bool {
        customer.is_some_and(|customer| self.names.contains(customer))
    }

    /// Reports whether all customers of another set are isolated.
    fn includes(&self, other: &Self) -> bool {
        self.names.is_superset(&other.names)
    }

    /// Returns the scope of a customer's requests, or of requests without a customer.
    ///
    /// Only customers outside the set make parts in the shared scope, whatever they were
    /// before. A scope that a customer has used is therefore never one of a set with it.
    pub fn scope_of(&self, customer: Option<&str>) -> CacheScope {
        match customer.filter(|_| self.isolates(customer)) {
            Some(customer) => CacheScope::of_customer(customer),
            None => self.shared_scope.clone(),
        }
    }
}

impl Default for IsolatedCustomers {
    fn default() -> Self {
        Self::from_iter([])
    }
}

impl FromIterator<Name> for IsolatedCustomers {
    fn from_iter<T: IntoIterator<Item = Name>>(customers: T) -> Self {
        let names: BTreeSet<Name> = customers.into_iter().collect();
        let shared_scope = CacheScope::excluding(&names);
        Self { names: Arc::new(names), shared_scope }
    }
}

/// The scopes that requests may use while a configuration is in force.
///
/// Besides the scope of its own set, it allows those of earlier sets that include all
/// customers isolated now. As a customer is isolated no longer, the parts of all others can
/// still be found, and none is read again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheScopes {
    isolated: IsolatedCustomers,
    /// Earlier sets, the latest first.
    earlier: Vec<IsolatedCustomers>,
}

impl CacheScopes {
    /// Creates the scopes of a configuration that isolates these customers.
    pub fn new(isolated: IsolatedCustomers) -> Self {
        Self { isolated, earlier: Vec::new() }
    }

    /// Returns the customers that are isolated.
    pub fn isolated(&self) -> &IsolatedCustomers {
        &self.isolated
    }

    /// Reports whether a customer is isolated that was not under another configuration.
    pub fn isolates_more_than(&self, other: &Self) -> bool {
        !other.isolated.includes(&self.isolated)
    }

    /// Allows the scopes of the configuration before, as far as they may still be used.
    pub fn keep_earlier(&mut self, before: &Self) {
        for set in iter::once(&before.isolated).chain(&before.earlier) {
            let is_kept = set.includes(&self.isolated)
                && *set != self.isolated
                && !self.earlier.contains(set);
            if is_kept && self.earlier.len() < MAX_EARLIER {
                self.earlier.push(set.clone());
            }
        }
    }

    /// Returns the scopes that requests of a customer may use, the preferred one first.
    ///
    /// A customer uses no shared scope of a set that it was in, so what is known of the
    /// makers of that scope's parts stays true.
    pub fn of<'a>(
        &'a self,
        customer: Option<&'a str>,
    ) -> impl Iterator<Item = CacheScope> + 'a {
        let earlier = self.earlier.iter().filter(move |set| !set.isolates(customer));
        let earlier = earlier.map(|set| set.shared_scope.clone());
        iter::once(self.isolated.scope_of(customer)).chain(earlier)
    }

    /// Reports whether requests of a customer may use a scope.
    pub fn allows(&self, customer: Option<&str>, scope: &CacheScope) -> bool {
        self.of(customer).any(|allowed| allowed == *scope)
    }

    /// Chooses the scope with the most tokens of a prompt, by the number that is held in
    /// each.
    pub fn choose(
        &self,
        customer: Option<&str>,
        held_tokens: impl Fn(&CacheScope) -> u64,
    ) -> CacheScope {
        let preferred = self.isolated.scope_of(customer);
        if self.earlier.is_empty() {
            return preferred;
        }
        let by_tokens = self.of(customer).map(|scope| (held_tokens(&scope), scope));
        let most = by_tokens.reduce(|most, other| match other.0 > most.0 {
            true => other,
            false => most,
        });
        most.map_or(preferred, |(_, scope)| scope)
    }
}

/// Hashes names, as not every name can be sent in a header, and one with a slash could make
/// two salts equal.
fn digest<'a>(names: impl IntoIterator<Item = &'a str>) -> String {
    let mut hasher = blake3::Hasher::new();
    for name in names {
        // The length prefix distinguishes names that are equal when concatenated.
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
    }
    hasher.finalize().to_hex()[..DIGITS].to_string()
}
