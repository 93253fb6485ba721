//! Builds the request for an upstream, including its use of cached prompts.

use std::net::SocketAddr;

use bilberry_core::Clock;
use bilberry_core::PeerCopy;
use bilberry_core::Source;
use bilberry_core::UnixMs;
use bilberry_core::choose_source;
use bilberry_core::should_save;
use bilberry_node::RequestBody;
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
use crate::part_use::PartUse;

/// The longest expected answer of a request that writes parts to a prompt store.
const MAX_SAVING_ANSWER_MS: u64 = 1_000;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Builds the request for an upstream by the configuration in force.
    ///
    /// Called when the connection is open, so that no wait comes before the send.
    pub(crate) fn request(
        &self,
        context: &mut RequestContext,
        reservation: &mut Reservation,
        last_event: Option<u64>,
        resume_from: Option<KvCacheCopy>,
    ) -> Request<RequestBody> {
        self.confirm_scope(context);
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
        match context.weights {
            Some(weights) if is_engine => {
                self.set_cache_fields(context, reservation, weights, &mut dispatch);
            }
            // Without a salt, the parts of the prompt would be shared with everybody.
            None if is_engine => dispatch.salt = Some(unshared_salt()),
            _ => {}
        }
        let headers = self.dialect.request_headers(&context.headers, &dispatch);
        let mut request = Request::new(context.body.clone());
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
            dispatch.fetch_from = supply.source.as_ref().map(|source| source.address);
            context.supplied_tokens = supply.tokens;
            let own_tokens = context.call.prompt_tokens.saturating_sub(shared_tokens);
            let lacking = store.filter(|store| {
                let missing_tokens =
                    shared_tokens - keys.stored_tokens(&store.contents, now);
                should_save(missing_tokens, own_tokens)
            });
            let save_use = lacking
                .as_ref()
                .and_then(|_| self.begin_save(context, &reservation.upstream, weights));
            let saved = lacking.filter(|_| save_use.is_some());
            dispatch.save_to = saved.map(|store| store.terms.address);
            reservation.set_part_uses(supply.source_use, save_use);
            context.source = supply.source;
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
        let weights = context.weights.unwrap_or_default();
        let others =
            others.filter(|peer| self.may_use_parts(context, peer, weights, now));
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
        match chosen {
            Some(Source::Peer(index)) => {
                let peer = others[index];
                let source = PromptSource {
                    address: peer.address,
                    weights: peer.weights(context.model(), now),
                    report_age_ms: self.part_uses.of(peer.address).report_age_ms(now),
                };
                let source_use = self.begin_part_use(context, peer, weights, now);
                let cached_tokens = copies[index].cached_tokens;
                PromptSupply {
                    source: source_use.is_some().then_some(source),
                    tokens: source_use.as_ref().map_or(own_tokens, |_| cached_tokens),
                    source_use,
                }
            }
            Some(Source::Store) => PromptSupply {
                source: store.map(|store| PromptSource::store(store.terms.address)),
                source_use: None,
                tokens: kept.unwrap_or_default().max(own_tokens),
            },
            None => PromptSupply { source: None, source_use: None, tokens: own_tokens },
        }
    }

    /// Reports whether others may use parts that an upstream made under a version.
    ///
    /// An engine whose host has no sidecar lets its runs finish before it loads weights.
    fn may_use_parts(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        weights: u64,
        now: UnixMs,
    ) -> bool {
        let address = upstream.address;
        self.sidecars.lacks_sidecar(address.ip(), 0, now)
            || self.part_uses.of(address).may_use(context.model(), weights, now)
    }

    /// Begins the use of an upstream's parts, if others may use them.
    fn begin_part_use(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        weights: u64,
        now: UnixMs,
    ) -> Option<PartUse> {
        let parts = self.part_uses.of(upstream.address);
        match self.sidecars.lacks_sidecar(upstream.address.ip(), 0, now) {
            true => Some(parts.begin()),
            false => parts.try_begin(context.model(), weights, now),
        }
    }

    /// Begins the use of an upstream's parts by a request that writes them to a prompt
    /// store, if it may.
    ///
    /// The upstream's next load waits for the end of the request, which must be near.
    fn begin_save(
        &self,
        context: &RequestContext,
        upstream: &Upstream,
        weights: u64,
    ) -> Option<PartUse> {
        let token_us = self.speed.token_us(&context.pool.name);
        let answer_ms = context.call.output_tokens * token_us / 1_000;
        let is_short = answer_ms <= MAX_SAVING_ANSWER_MS;
        let now = self.clock.now();
        is_short.then(|| self.begin_part_use(context, upstream, weights, now)).flatten()
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

/// Returns a salt that no other request has.
fn unshared_salt() -> String {
    format!("unshared/{:032x}", rand::random::<u128>())
}

/// The part of a shared prompt that an upstream need not compute.
struct PromptSupply {
    /// Where it may fetch missing parts.
    source: Option<PromptSource>,
    /// The use of the source's parts, if it is an engine.
    source_use: Option<PartUse>,
    /// The number of shared tokens that it holds or that the source should hold.
    tokens: u64,
}

/// Where an upstream fetches parts of a prompt, as known when the request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSource {
    /// The address of the engine or the prompt store.
    pub address: SocketAddr,
    /// The weights of the engine.
    pub weights: Option<u64>,
    /// How long before the engine's sidecar had reported, in milliseconds.
    pub report_age_ms: Option<u64>,
}

impl PromptSource {
    fn store(address: SocketAddr) -> Self {
        Self { address, weights: None, report_age_ms: None }
    }
}
