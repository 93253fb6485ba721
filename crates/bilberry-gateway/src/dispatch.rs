//! Builds the request for an upstream, including its use of cached prompts.

use std::net::SocketAddr;
use std::sync::Arc;

use bilberry_core::Clock;
use bilberry_core::PeerCopy;
use bilberry_core::Source;
use bilberry_core::UnixMs;
use bilberry_core::choose_source;
use bilberry_core::should_save;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Version;

use crate::Dialect;
use crate::Dispatch;
use crate::Gateway;
use crate::KvCacheCopy;
use crate::PromptKeys;
use crate::PromptStore;
use crate::RequestContext;
use crate::Reservation;
use crate::Upstream;
use crate::part_use::EngineParts;

/// The longest expected answer of a request that writes parts to a prompt store.
const MAX_SAVING_ANSWER_MS: u64 = 1_000;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Builds the request for an upstream.
    pub(crate) fn request(
        &self,
        context: &mut RequestContext,
        reservation: &mut Reservation,
        last_event: Option<u64>,
        resume_from: Option<KvCacheCopy>,
    ) -> Request<Full<Bytes>> {
        let now = self.clock.now();
        let is_engine = context.pool.engine.is_some();
        let mut dispatch = Dispatch {
            upstream: reservation.upstream.id.clone(),
            left_ms: context.deadline.ms_since(now),
            customer: context.customer.as_ref().map(|customer| customer.name.clone()),
            priority: is_engine.then(|| context.priority()),
            last_event,
            backup_to: context.backup.as_ref().map(|backup| backup.address),
            resume_from,
            ..Dispatch::default()
        };
        if let Some(weights) = context.weights.filter(|_| is_engine) {
            self.set_cache_fields(context, reservation, weights, &mut dispatch);
        }
        let headers = self.dialect.request_headers(&context.headers, &dispatch);
        let mut request = Request::new(Full::new(context.body.clone()));
        *request.method_mut() = context.method.clone();
        *request.uri_mut() = context.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        *request.headers_mut() = headers;
        request
    }

    /// Sets the cache salt, and where cached prompt parts are fetched from and saved to.
    fn set_cache_fields(
        &self,
        context: &mut RequestContext,
        reservation: &mut Reservation,
        weights: u64,
        dispatch: &mut Dispatch,
    ) {
        let now = self.clock.now();
        let keys = context.keys(weights);
        let shared_tokens = context.call.shared_tokens();
        if shared_tokens > 0 {
            let store = self.stores.home(context.affinity());
            let supply =
                self.prompt_supply(context, reservation, &keys, store.as_deref());
            dispatch.fetch_from = supply.source;
            let source_use = supply.peer.map(|peer| peer.begin());
            context.fetch_from = supply.source;
            context.supplied_tokens = supply.tokens;
            let own_tokens = context.call.prompt_tokens.saturating_sub(shared_tokens);
            let own_parts = self.savable_parts(context, reservation, weights);
            let store = store.filter(|_| own_parts.is_some());
            dispatch.save_to = store.and_then(|store| {
                let missing_tokens =
                    shared_tokens - keys.stored_tokens(&store.contents, now);
                should_save(missing_tokens, own_tokens).then_some(store.terms.address)
            });
            let save_use = own_parts.filter(|_| dispatch.save_to.is_some());
            let save_use = save_use.map(|parts| parts.begin());
            reservation.set_part_uses(source_use, save_use);
            if dispatch.resume_from.is_none() {
                self.begin_prefill(context, reservation, supply.tokens);
            }
        }
        dispatch.weights = Some(weights);
        dispatch.salt = Some(keys.salt().to_string());
    }

    /// Returns how much of the shared prompt an upstream holds or can fetch, and from
    /// where.
    fn prompt_supply(
        &self,
        context: &RequestContext,
        reservation: &Reservation,
        keys: &PromptKeys,
        store: Option<&PromptStore>,
    ) -> PromptSupply {
        let now = self.clock.now();
        let own_tokens = keys.cached_tokens(&reservation.upstream, now);
        let peers = self.upstreams.of(&context.pool.name);
        let others = peers.iter().filter(|peer| peer.id != reservation.upstream.id);
        let model = context.call.model.as_deref().unwrap_or_default();
        let weights = context.weights.unwrap_or_default();
        let others = others.filter(|peer| self.may_use_parts(peer, model, weights, now));
        let others: Vec<_> = others.collect();
        let copies = others.iter().map(|peer| PeerCopy {
            cached_tokens: keys.cached_tokens(peer, now),
            same_data_centre: peer.data_centre == reservation.upstream.data_centre,
        });
        let copies: Vec<_> = copies.collect();
        let kept = store.map(|store| keys.stored_tokens(&store.contents, now));
        let chosen = match choose_source(own_tokens, &copies, kept) {
            Some(Source::Store) => {
                let tokens = kept.unwrap_or_default().saturating_sub(own_tokens);
                let may_move =
                    |store| self.may_use_link(store, tokens, &reservation.upstream);
                match store.is_some_and(may_move) {
                    true => Some(Source::Store),
                    false => choose_source(own_tokens, &copies, None),
                }
            }
            chosen => chosen,
        };
        let (source, peer, tokens) = match chosen {
            Some(Source::Peer(index)) => {
                let address = others[index].address;
                let parts = self.part_uses.of(address);
                (Some(address), Some(parts), copies[index].cached_tokens)
            }
            Some(Source::Store) => {
                let address = store.map(|store| store.terms.address);
                (address, None, kept.unwrap_or_default())
            }
            None => (None, None, 0),
        };
        PromptSupply { source, peer, tokens: tokens.max(own_tokens) }
    }

    /// Reports whether parts that an upstream made under a version may be used by others.
    ///
    /// An engine whose host has no sidecar lets its runs finish before it loads weights.
    fn may_use_parts(
        &self,
        upstream: &Upstream,
        model: &str,
        weights: u64,
        now: UnixMs,
    ) -> bool {
        let address = upstream.address;
        self.sidecars.lacks_sidecar(address.ip(), 0, now)
            || self.part_uses.of(address).may_use(model, weights, now)
    }

    /// Returns the parts of an upstream if a request may write them to a prompt store.
    ///
    /// Its load of weights waits for the end of the request, which must therefore be near.
    fn savable_parts(
        &self,
        context: &RequestContext,
        reservation: &Reservation,
        weights: u64,
    ) -> Option<Arc<EngineParts>> {
        let token_us = self.speed.token_us(&context.pool.name);
        let answer_ms = context.call.output_tokens * token_us / 1_000;
        let parts = self.part_uses.of(reservation.upstream.address);
        let model = context.call.model.as_deref().unwrap_or_default();
        let may_save = answer_ms <= MAX_SAVING_ANSWER_MS
            && self.may_use_parts(
                &reservation.upstream,
                model,
                weights,
                self.clock.now(),
            );
        may_save.then_some(parts)
    }

    /// Returns how many shared tokens an upstream holds or may fetch.
    ///
    /// Unlike `prompt_supply`, this reserves no transfer.
    pub(crate) fn available_tokens(
        &self,
        context: &mut RequestContext,
        weights: u64,
    ) -> u64 {
        let now = self.clock.now();
        let keys = context.keys(weights);
        let peers = self.upstreams.of(&context.pool.name);
        let held = peers.iter().map(|peer| keys.cached_tokens(peer, now)).max();
        let store = self.stores.home(context.affinity());
        let stored = store.map_or(0, |store| keys.stored_tokens(&store.contents, now));
        held.unwrap_or_default().max(stored)
    }

    /// Records that the response has started, which means that the prefill is done.
    pub(crate) fn record_prompt_read(
        &self,
        context: &mut RequestContext,
        reservation: &mut Reservation,
    ) {
        reservation.mark_prefilled();
        self.end_prefill(context, reservation);
        let Some(weights) = context.weights.filter(|_| !reservation.upstream.has_ended())
        else {
            return;
        };
        let now = self.clock.now();
        let keys: Vec<u64> = context.keys(weights).keys().collect();
        keys.iter().for_each(|&key| reservation.upstream.expect_part(key, now));
        if reservation.saves_parts() {
            self.stores.record_prefilled(&reservation.upstream.id, &keys, now);
        }
    }
}

/// The part of a shared prompt that an upstream need not compute.
struct PromptSupply {
    /// The address from which it may fetch missing parts.
    source: Option<SocketAddr>,
    /// The parts of the source, if it is an engine.
    peer: Option<Arc<EngineParts>>,
    /// The number of shared tokens that it holds or that the source should hold.
    tokens: u64,
}
