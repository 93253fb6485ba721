//! Blame of prompt parts of customers that are isolated by turns.

use bilberry_core::CrashCause;
use bilberry_core::CrashLedger;
use bilberry_core::CrashReport;
use bilberry_core::PartCauses;
use bilberry_core::RequestStatus;
use bilberry_core::UnixMs;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::proptest;

/// The part that crashes servers.
const CRASHING: u64 = 1;

/// A part that stands beside it in all prompts.
const SOUND: u64 = 2;

/// How many servers a part may crash if its requests arrive one after the other.
const MAX_CRASHES: usize = 3;

/// The time between two requests, after which reports have settled.
const INTERVAL_MS: u64 = 1_000;

/// One entry that sends requests one after the other.
struct History {
    ledger: CrashLedger,
    now: UnixMs,
    crashes: usize,
}

impl History {
    fn new() -> Self {
        Self { ledger: CrashLedger::default(), now: UnixMs(1_000_000), crashes: 0 }
    }

    /// Sends a request with the part that crashes servers; returns whether it was sent.
    fn send(&mut self, customer: &str, is_isolated: bool) -> bool {
        self.now = self.now.plus_ms(INTERVAL_MS);
        let parts = PartCauses::new(Some(customer), [CRASHING, SOUND]);
        let request = CrashCause(self.now.0);
        let standing = self.ledger.standing_of(request, parts.all(), self.now);
        if matches!(standing.status, RequestStatus::Quarantined { .. }) {
            return false;
        }
        let mut causes = parts.of_runs(is_isolated).to_vec();
        causes.extend(&standing.suspected_parts);
        causes.sort_unstable();
        causes.dedup();
        self.crashes += 1;
        let is_trial = !standing.suspected_parts.is_empty();
        for cause in causes {
            let is_trial = is_trial && self.ledger.is_confirming(cause, self.now);
            let report = CrashReport::of_part(cause, self.crashes as u64, is_trial);
            self.ledger.merge(report, self.now);
        }
        true
    }
}

proptest! {
    /// Guards against a part that crashes servers anew after each change of isolation.
    #[test]
    fn changes_of_isolation_lift_no_blame(
        series in vec(any::<bool>(), 1..40),
    ) {
        let mut history = History::new();
        for is_isolated in series {
            history.send("first", is_isolated);
        }
        prop_assert!(history.crashes <= MAX_CRASHES);
    }

    /// Guards against crashes in the runs of an isolated customer that get others' prompts
    /// rejected.
    #[test]
    fn runs_of_an_isolated_customer_accuse_nobody_else(count in 1..20_u64) {
        let mut history = History::new();
        for _ in 0..count {
            history.send("first", true);
        }
        let others = PartCauses::new(Some("second"), [CRASHING, SOUND]);
        let standing =
            history.ledger.standing_of(CrashCause(0), others.all(), history.now);
        prop_assert!(standing.suspected_parts.is_empty());
        prop_assert!(history.send("second", false));
    }
}

/// Guards against a log that names no part or another one.
#[test]
fn both_causes_of_a_part_have_its_id() {
    let parts = PartCauses::new(Some("first"), [CRASHING, SOUND]);
    let ids = |is_isolated| -> Vec<_> {
        let causes = parts.of_runs(is_isolated).iter();
        causes.map(|cause| parts.id_of(*cause)).collect()
    };
    assert_eq!(ids(true), [Some(CRASHING), Some(SOUND)]);
    assert_eq!(ids(false), ids(true));
    assert_eq!(parts.id_of(CrashCause(7)), None);
    let without_customer = PartCauses::new(None, [CRASHING]);
    assert_eq!(without_customer.all(), without_customer.of_runs(false));
}
