//! Until when what was read from the platform may be relied on.

use crate::UnixMs;
use crate::lapses::BACK_WITHIN_MS;
use crate::lapses::CALLS_TO_LAPSE;

/// How recently something was confirmed to be the newest there is.
///
/// An answer that is late proves nothing about the moment it arrives: the
/// platform may have changed since. What it proves is the state when the question
/// was asked, or when a wait that brought nothing ended.
#[derive(Debug, Copy, Clone, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: UnixMs,
    doubt: Option<Doubt>,
}

/// What a store that came back from an older copy may still lack.
#[derive(Debug, Copy, Clone, PartialEq, Eq)]
struct Doubt {
    /// By when what was lost has been written again.
    until: UnixMs,
    /// Whether it shows an older state than one that it had.
    is_behind: bool,
    /// How many calls in a row were not answered.
    lost_calls: u32,
}

impl Freshness {
    /// Notes an answer with news, or to a plain read, to a question of `asked_at`.
    pub fn confirm_read(&mut self, asked_at: UnixMs) {
        if let Some(doubt) = &mut self.doubt {
            doubt.note_answer(asked_at);
        }
        if !self.is_doubted(asked_at) {
            self.doubt = None;
            self.confirmed_at = self.confirmed_at.max(asked_at);
        }
    }

    /// Notes that a watch of `wait_ms` ended at `now` with nothing new.
    ///
    /// The platform answered no sooner than the wait allows, unless it cut the
    /// watch short, so the earlier of both times is taken.
    pub fn confirm_quiet(&mut self, asked_at: UnixMs, wait_ms: u64, now: UnixMs) {
        self.confirm_read(asked_at.plus_ms(wait_ms).min(now));
    }

    /// Notes that the store came back from an older copy, as noticed at `now`.
    ///
    /// It may lack what it had acknowledged, also what nobody here ever heard of, and
    /// nothing in the copy tells. If the copy confirmed what is known, a key that was
    /// taken away in the seconds lost would open until that is written again. So what
    /// was confirmed before runs out as if the store were away until then.
    pub fn doubt(&mut self, now: UnixMs) {
        let until = now.plus_ms(BACK_WITHIN_MS);
        self.doubt = Some(Doubt { until, is_behind: true, lost_calls: 0 });
    }

    /// Notes that a call to the store was not answered.
    ///
    /// Nobody can write again what was lost while the store is away once more, so after
    /// an outage the doubt has its time anew. A single call that failed is no outage.
    pub fn note_lost(&mut self) {
        if let Some(doubt) = &mut self.doubt {
            doubt.lost_calls += 1;
        }
    }

    /// Notes what the copy shows: whether its state is older than the one known.
    pub fn note_copy(&mut self, is_behind: bool) {
        if let Some(doubt) = &mut self.doubt {
            doubt.is_behind = is_behind;
        }
    }

    /// Notes that a state no older than the one known was written after the return.
    ///
    /// Whoever writes again writes the newest, so nothing is lacking any more.
    pub fn note_written_again(&mut self) {
        self.doubt = None;
    }

    /// Reports whether an answer of `at` confirms nothing, as the store may lack what it
    /// had before.
    pub fn is_doubted(&self, at: UnixMs) -> bool {
        self.doubt.is_some_and(|doubt| doubt.is_behind || at < doubt.until)
    }

    /// Reports whether the store may lack what it had before, as far as is confirmed.
    pub fn has_doubt(&self) -> bool {
        self.doubt.is_some()
    }

    /// Returns when what was lost has been written again, while that is in doubt.
    pub fn doubted_until(&self) -> Option<UnixMs> {
        self.doubt.map(|doubt| doubt.until)
    }

    /// Returns when the knowledge was last known to be the newest.
    pub fn confirmed_at(&self) -> UnixMs {
        self.confirmed_at
    }

    /// Reports whether it was the newest at most `within_ms` before `now`.
    pub fn holds(&self, now: UnixMs, within_ms: u64) -> bool {
        now.ms_since(self.confirmed_at) < within_ms
    }
}

impl Doubt {
    /// Notes that a call made at `asked_at` was answered.
    fn note_answer(&mut self, asked_at: UnixMs) {
        if std::mem::take(&mut self.lost_calls) >= CALLS_TO_LAPSE {
            self.until = self.until.max(asked_at.plus_ms(BACK_WITHIN_MS));
        }
    }
}
