//! What changes about one incarnation of an upstream.

use bilberry_core::Incarnation;
use bilberry_core::Name;
use bilberry_core::UnixMs;
use bilberry_wire::UpstreamState;

use crate::Listed;
use crate::ServerLoad;

/// How long a sidecar's word counts; it repeats itself three times as often.
const FEED_FRESH_MS: u64 = 1_500;

/// What the list, the sidecar and answers say of an upstream, and what this entry has
/// sent to it.
#[derive(Debug)]
pub(super) struct Live {
    pub(super) slots: u64,
    pub(super) leaving: bool,
    /// Whether one of its answers says that it leaves.
    pub(super) announced_leaving: bool,
    /// Whether it has started again since, so that this is over.
    pub(super) ended: bool,
    pub(super) incarnation: Option<Incarnation>,
    /// Whether the list names this start, or it has answered under its identity.
    pub(super) confirmed: bool,
    pub(super) listed_models: Vec<(Name, u64)>,
    pub(super) feed: Option<(UpstreamState, UnixMs)>,
    pub(super) cache_epoch: u64,
    pub(super) loads_at: Option<UnixMs>,
    pub(super) load: Option<ServerLoad>,
    pub(super) in_progress: u64,
    pub(super) sent_since_feed: u64,
    pub(super) tokens_since_feed: u64,
    pub(super) pending_tokens: u64,
    pub(super) reserved_tokens: u64,
    pub(super) failures: u32,
    pub(super) suspect_until: UnixMs,
    /// Until when it has asked for no requests; only time ends that.
    pub(super) paused_until: UnixMs,
    /// Whether its sidecar or the last send says that it is gone.
    pub(super) seems_gone: bool,
    /// Whether its sidecar fell silent on an open connection, and neither was heard
    /// since.
    pub(super) doubtful: bool,
    /// The requests in progress that were sent there in doubt.
    pub(super) trials: u64,
}

impl Live {
    /// Knows what the list says, and nothing else.
    pub(super) fn new(listed: &Listed) -> Self {
        Self {
            slots: listed.slots,
            leaving: listed.leaving,
            announced_leaving: false,
            ended: false,
            incarnation: listed.incarnation,
            confirmed: true,
            listed_models: listed.models.clone(),
            feed: None,
            cache_epoch: 0,
            loads_at: None,
            load: None,
            in_progress: 0,
            sent_since_feed: 0,
            tokens_since_feed: 0,
            pending_tokens: 0,
            reserved_tokens: 0,
            failures: 0,
            suspect_until: UnixMs(0),
            paused_until: UnixMs(0),
            seems_gone: false,
            doubtful: false,
            trials: 0,
        }
    }

    pub(super) fn fresh_feed(&self, now: UnixMs) -> Option<&UpstreamState> {
        let fresh = |at: UnixMs| now.ms_since(at) < FEED_FRESH_MS;
        self.feed.as_ref().filter(|(_, at)| fresh(*at)).map(|(state, _)| state)
    }

    pub(super) fn told_weights(&self, model: &str, now: UnixMs) -> Option<u64> {
        let models = &self.fresh_feed(now)?.models;
        models.iter().find(|found| found.model == model).map(|found| found.version)
    }

    pub(super) fn is_down(&self, now: UnixMs) -> bool {
        self.leaving || self.fresh_feed(now).is_some_and(|state| !state.up)
    }

    pub(super) fn is_eligible(&self, now: UnixMs) -> bool {
        let fed = self.fresh_feed(now).is_none_or(|state| state.up && !state.loading);
        let is_free = self.confirmed || self.in_progress == 0;
        let is_free = is_free && (!self.doubtful || self.trials == 0);
        let is_paused = !self.paused_until.has_passed_at(now);
        let is_suspect = !self.suspect_until.has_passed_at(now);
        fed && is_free && !self.leaving && !is_paused && !is_suspect
    }
}
