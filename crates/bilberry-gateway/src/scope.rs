//! The scope in which a request shares cached prompt parts.

use std::sync::Arc;

use bilberry_core::CacheScope;
use bilberry_core::Clock;
use bilberry_core::UnixMs;

use crate::Dialect;
use crate::Gateway;
use crate::RequestContext;
use crate::Upstream;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Sets the scope of a request to the allowed one in which most of its prompt is held.
    pub(crate) fn choose_scope(
        &self,
        context: &mut RequestContext,
        upstreams: &[Arc<Upstream>],
        now: UnixMs,
    ) {
        let Some(policy) = self.policy() else { return };
        let scope = policy.scopes.choose(context.customer_name(), |scope| {
            self.held_tokens(context, scope, upstreams, now)
        });
        context.set_scope(scope);
    }

    /// Sets the scope of a request that is about to be sent to one that the configuration in
    /// force allows.
    ///
    /// The configuration may have changed since the request arrived, was placed, or was sent
    /// before. Its customer, or another one, may be isolated now. If it has not been confirmed
    /// for as long as API keys are valid, anyone may be isolated by a newer one.
    pub(crate) fn confirm_scope(&self, context: &mut RequestContext) {
        let Some(policy) = self.policy() else { return };
        let customer = context.customer_name();
        let scope = match customer {
            Some(customer) if !self.are_keys_confirmed() => {
                CacheScope::of_customer(customer)
            }
            _ if policy.scopes.allows(customer, &context.scope) => return,
            _ => policy.scopes.isolated().scope_of(customer),
        };
        context.set_scope(scope);
    }

    /// Returns the largest number of leading shared tokens that any engine or the prompt
    /// store holds in a scope.
    fn held_tokens(
        &self,
        context: &RequestContext,
        scope: &CacheScope,
        upstreams: &[Arc<Upstream>],
        now: UnixMs,
    ) -> u64 {
        let store = self.stores.home(context.affinity());
        let mut versions: Vec<u64> = Vec::new();
        versions
            .extend(upstreams.iter().filter_map(|it| it.weights(context.model(), now)));
        versions.sort_unstable();
        versions.dedup();
        let held = versions.into_iter().map(|version| {
            let keys = context.keys_in(scope, version);
            let engines = upstreams.iter().filter(|upstream| {
                upstream.weights(context.model(), now) == Some(version)
            });
            let cached = engines.map(|engine| keys.cached_tokens(engine, now)).max();
            let stored =
                store.as_ref().map_or(0, |it| keys.stored_tokens(&it.contents, now));
            cached.unwrap_or_default().max(stored)
        });
        held.max().unwrap_or_default()
    }
}
