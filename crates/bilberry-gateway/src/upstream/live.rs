//! The mutable state of one incarnation of an upstream.

use std::collections::BTreeMap;

use bilberry_core::HostLife;
use bilberry_core::HostLoadMean;
use bilberry_core::Incarnation;
use bilberry_core::LimitGate;
use bilberry_core::Name;
use bilberry_core::PrefillBacklog;
use bilberry_core::UnixMs;
use bilberry_wire::UpstreamState;

use crate::Listing;
use crate::ServerLoad;

/// How long a state from a sidecar is current; sidecars repeat it three times as often.
const FEED_FRESH_MS: u64 = 1_500;

/// The state of an upstream from the list, its sidecar and its answers, and the requests
/// that this entry has sent to it.
#[derive(Debug)]
pub(super) struct Live {
    pub(super) slots: u64,
    pub(super) leaving: bool,
    /// Whether it has announced its shutdown.
    pub(super) announced_leaving: bool,
    /// Whether a later incarnation has replaced it.
    pub(super) ended: bool,
    pub(super) incarnation: Option<Incarnation>,
    /// Whether the list names this start, or the upstream has answered under its id.
    pub(super) confirmed: bool,
    pub(super) listed_models: Vec<(Name, u64)>,
    pub(super) feed: Option<(UpstreamState, UnixMs)>,
    /// When its sidecar last reported this incarnation.
    pub(super) reported_at: UnixMs,
    pub(super) cache_epoch: u64,
    pub(super) loads_at: Option<UnixMs>,
    pub(super) load: Option<ServerLoad>,
    /// The load of its host according to its answers.
    pub(super) host_load: HostLoadMean,
    pub(super) in_progress: u64,
    pub(super) sent_since_feed: u64,
    pub(super) tokens_since_feed: u64,
    pub(super) pending_tokens: u64,
    /// Prompt tokens of requests that wait for their admission, by priority.
    pub(super) awaiting_tokens: BTreeMap<u8, u64>,
    pub(super) pending_since_feed: u64,
    pub(super) reserved_tokens: u64,
    pub(super) backlog: PrefillBacklog,
    pub(super) failures: u32,
    /// Until when it gets no requests after a failure or a refusal as busy.
    pub(super) backoff_until: UnixMs,
    /// The end of the pause that it has requested; no later answer or state shortens it.
    pub(super) paused_until: UnixMs,
    /// Its request limit, and when this entry may next ask for a request.
    pub(super) limit: LimitGate,
    /// When the limit was last passed on to other entries.
    pub(super) limit_passed_on_at: UnixMs,
    /// Whether its sidecar or the last send indicates that it is down.
    pub(super) seems_down: bool,
    /// The signs of life of its host.
    pub(super) host_life: HostLife,
    /// The number of requests in progress that were sent while it was stalled.
    pub(super) probes: u64,
}

impl Live {
    /// Creates the state of an upstream of which only its listing is known.
    pub(super) fn new(listed: &Listing) -> Self {
        Self {
            slots: listed.slots,
            leaving: listed.leaving,
            announced_leaving: false,
            ended: false,
            incarnation: listed.incarnation,
            confirmed: true,
            listed_models: listed.models.clone(),
            feed: None,
            reported_at: UnixMs(0),
            cache_epoch: 0,
            loads_at: None,
            load: None,
            host_load: HostLoadMean::default(),
            in_progress: 0,
            sent_since_feed: 0,
            tokens_since_feed: 0,
            pending_tokens: 0,
            awaiting_tokens: BTreeMap::new(),
            pending_since_feed: 0,
            reserved_tokens: 0,
            backlog: PrefillBacklog::default(),
            failures: 0,
            backoff_until: UnixMs(0),
            paused_until: UnixMs(0),
            limit: LimitGate::default(),
            limit_passed_on_at: UnixMs(0),
            seems_down: false,
            host_life: HostLife::default(),
            probes: 0,
        }
    }

    /// Returns the latest state from the sidecar while it is current.
    pub(super) fn fresh_feed(&self, now: UnixMs) -> Option<&UpstreamState> {
        let fresh = |at: UnixMs| now.ms_since(at) < FEED_FRESH_MS;
        self.feed.as_ref().filter(|(_, at)| fresh(*at)).map(|(state, _)| state)
    }

    /// Returns the version of a model's weights that the sidecar reports.
    pub(super) fn reported_weights(&self, model: &str, now: UnixMs) -> Option<u64> {
        let models = &self.fresh_feed(now)?.models;
        models.iter().find(|found| found.model == model).map(|found| found.version)
    }

    pub(super) fn is_down(&self, now: UnixMs) -> bool {
        self.leaving || self.fresh_feed(now).is_some_and(|state| !state.up)
    }

    /// Reports whether it gets one request at a time, to detect whether its runs make
    /// progress.
    pub(super) fn is_probed(&self) -> bool {
        self.feed.as_ref().is_some_and(|(state, _)| state.stalled)
    }

    pub(super) fn is_eligible(&self, now: UnixMs) -> bool {
        let is_serving =
            self.fresh_feed(now).is_none_or(|state| state.up && !state.loading);
        let is_free = self.confirmed || self.in_progress == 0;
        let is_free = is_free && (!self.is_probed() || self.probes == 0);
        let is_paused = !self.paused_until.has_passed_at(now);
        let backs_off = !self.backoff_until.has_passed_at(now);
        let is_limited = !self.limit.is_open(now);
        // A request would wait there until its caller leaves.
        let is_silent = self.host_life.is_silent();
        let is_held_back = is_paused || backs_off || is_limited || is_silent;
        is_serving && is_free && !self.leaving && !is_held_back
    }
}
