//! Builds the request for an upstream, including its use of cached prompts.

use std::net::SocketAddr;

use bilberry_core::Clock;
use bilberry_core::PeerCopy;
use bilberry_core::Source;
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

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Builds the request for an upstream.
    pub(crate) fn request(
        &self,
        context: &mut RequestContext,
        reservation: &Reservation,
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
        reservation: &Reservation,
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
            context.supplied_tokens = supply.tokens;
            let own_tokens = context.call.prompt_tokens.saturating_sub(shared_tokens);
            dispatch.save_to = store.and_then(|store| {
                let missing_tokens =
                    shared_tokens - keys.stored_tokens(&store.contents, now);
                should_save(missing_tokens, own_tokens).then_some(store.terms.address)
            });
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
        let (source, tokens) = match chosen {
            Some(Source::Peer(index)) => {
                (Some(others[index].address), copies[index].cached_tokens)
            }
            Some(Source::Store) => {
                (store.map(|store| store.terms.address), kept.unwrap_or_default())
            }
            None => (None, 0),
        };
        PromptSupply { source, tokens: tokens.max(own_tokens) }
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
        self.stores.record_prefilled(&reservation.upstream.id, &keys, now);
    }
}

/// The part of a shared prompt that an upstream need not compute.
struct PromptSupply {
    /// The address from which it may fetch missing parts.
    source: Option<SocketAddr>,
    /// The number of shared tokens that it holds or that the source should hold.
    tokens: u64,
}
