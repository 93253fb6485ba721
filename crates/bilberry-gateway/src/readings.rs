//! Deduplicates prefills of a shared prompt part that several requests need at the same
//! time.

use bilberry_core::Clock;
use bilberry_core::PrefillInProgress;
use bilberry_core::UnixMs;
use bilberry_core::max_part_wait_ms;
use bilberry_wire::Body;
use bilberry_wire::PrefillNotice;
use bilberry_wire::ReadingNotice;

use crate::Dialect;
use crate::Gateway;
use crate::PrefillPlan;
use crate::RequestContext;
use crate::Reservation;
use crate::Upstream;
use crate::placement::Placement;

/// How much longer than predicted a prefill may take, in milliseconds.
///
/// Covers two engine steps and the network round trip.
const READING_SLACK_MS: u64 = 20;

impl<D: Dialect, C: Clock> Gateway<D, C> {
    /// Returns until when a request waits for a shared part that another request
    /// prefills, if waiting is worthwhile.
    pub(crate) fn prefill_wait_deadline(
        &self,
        context: &mut RequestContext,
        choice: &Placement,
    ) -> Option<UnixMs> {
        let weights = choice.weights?;
        let now = self.clock.now();
        let most_ms = max_part_wait_ms(context.route.target_ms);
        let until =
            *context.prefix_wait_until.get_or_insert_with(|| now.plus_ms(most_ms));
        if until.has_passed_at(now) {
            return None;
        }
        let keys = context.keys(weights);
        let store = self.stores.home(context.affinity());
        let stored_tokens =
            store.map_or(0, |store| keys.stored_tokens(&store.contents, now));
        let known_tokens = choice.cached_tokens.max(stored_tokens);
        let (part, end) = keys.parts_after(known_tokens).next()?;
        let prefills = self.readings.lock().unwrap();
        let prefill_ms = self.speed.prefill_ms(&context.pool.name, end - known_tokens);
        let prefill = prefills.prefill_to_await(part, prefill_ms, now)?;
        let upstream = self.upstreams.get(&prefill.upstream)?;
        upstream.is_alive(now).then(|| prefill.expected_end.min(until))
    }

    /// Records the parts beyond `supplied_tokens` that a request prefills at its
    /// upstream, and notifies the other entries through the upstream's sidecar.
    pub(crate) fn begin_prefill(
        &self,
        context: &mut RequestContext,
        reservation: &Reservation,
        supplied_tokens: u64,
    ) {
        let Some(weights) = context.weights else { return };
        let now = self.clock.now();
        let tokens_ahead = reservation.pending_tokens_ahead();
        let keys = context.keys(weights);
        let done_in_ms = |tokens: u64| {
            self.speed.prefill_ms(&context.pool.name, tokens_ahead + tokens)
                + READING_SLACK_MS
        };
        let begun: Vec<PrefillNotice> = keys
            .parts_after(supplied_tokens)
            .map(|(part, end)| PrefillNotice {
                part,
                done_in_ms: done_in_ms(end - supplied_tokens),
            })
            .collect();
        let parts = begun.iter().map(|begun| begun.part).collect();
        let tokens =
            tokens_ahead + context.call.prompt_tokens.saturating_sub(supplied_tokens);
        context.prefill = Some(PrefillPlan { parts, tokens, since: now });
        if begun.is_empty() {
            return;
        }
        self.record_prefills(&reservation.upstream, &begun, now);
        let started_at_ms = incarnation_start_ms(reservation);
        let notice = ReadingNotice { begun, started_at_ms, ..ReadingNotice::default() };
        send_notice(reservation, notice);
    }

    /// Records that the parts which a request prefilled are in its upstream's cache.
    pub(crate) fn end_prefill(
        &self,
        context: &mut RequestContext,
        reservation: &Reservation,
    ) {
        let Some(prefill) = context.prefill.take() else { return };
        let took_ms = self.clock.now().ms_since(prefill.since);
        self.speed.record_prefill(&context.pool.name, prefill.tokens, took_ms);
        if prefill.parts.is_empty() {
            return;
        }
        self.record_prefills_done(&prefill.parts);
        let started_at_ms = incarnation_start_ms(reservation);
        let notice = ReadingNotice {
            read: prefill.parts,
            started_at_ms,
            ..ReadingNotice::default()
        };
        send_notice(reservation, notice);
    }

    /// Records that an upstream did not prefill the parts of a request, as it rejected it.
    pub(crate) fn cancel_prefill(
        &self,
        context: &mut RequestContext,
        upstream: &Upstream,
    ) {
        let Some(prefill) = context.prefill.take() else { return };
        upstream.forget_parts_since(&prefill.parts, prefill.since);
        self.record_prefills_done(&prefill.parts);
    }

    /// Records the parts that an upstream prefills.
    ///
    /// A part counts as held there from its predicted completion on. The start of the
    /// answer would be too late, as the rest of the prompt is prefilled before it.
    pub(crate) fn record_prefills(
        &self,
        upstream: &Upstream,
        begun: &[PrefillNotice],
        now: UnixMs,
    ) {
        let mut prefills = self.readings.lock().unwrap();
        for notice in begun {
            let expected_end = now.plus_ms(notice.done_in_ms);
            upstream.expect_reading(notice.part, expected_end, now);
            let prefill =
                PrefillInProgress { upstream: upstream.id.clone(), expected_end };
            prefills.begin(notice.part, prefill, now);
        }
    }

    /// Records parts whose prefill has ended.
    pub(crate) fn record_prefills_done(&self, parts: &[u64]) {
        if parts.is_empty() {
            return;
        }
        let mut prefills = self.readings.lock().unwrap();
        parts.iter().for_each(|&part| prefills.end(part));
        drop(prefills);
        self.upstreams.changed.notify_waiters();
    }
}

/// Sends a notice to the sidecar; the engine's own events report the same later.
fn send_notice(reservation: &Reservation, notice: ReadingNotice) {
    if !reservation.upstream.send_to_sidecar(Body::ReadingNotice(notice)) {
        log::debug!(
            "cannot report a prefill at {} to its sidecar",
            reservation.upstream.id
        );
    }
}

fn incarnation_start_ms(reservation: &Reservation) -> Option<u64> {
    reservation.upstream.incarnation().map(|incarnation| incarnation.started_at.0)
}
