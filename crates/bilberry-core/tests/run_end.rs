//! Tests of when an unresponsive run is considered ended.

use bilberry_core::ConnectAttempts;
use bilberry_core::ConnectOutcome;
use bilberry_core::RunEndReason;
use bilberry_core::SidecarStatus;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::proptest;

fn reaches() -> impl Strategy<Value = Vec<(ConnectOutcome, SidecarStatus)>> {
    let reach =
        prop_oneof![Just(ConnectOutcome::Accepted), Just(ConnectOutcome::TimedOut)];
    let status = prop_oneof![
        Just(SidecarStatus::Up),
        Just(SidecarStatus::Down),
        Just(SidecarStatus::Silent)
    ];
    proptest::collection::vec((reach, status), 0..40)
}

proptest! {
    // A paused host still accepts connections, and the sidecar reports may be arbitrary.
    // No period of silence ends a run as long as one of any three consecutive connection
    // attempts is accepted.
    #[test]
    fn a_host_that_accepts_connections_never_ends_a_run(reaches in reaches()) {
        let mut attempts = ConnectAttempts::default();
        let mut last_accepted = 0;
        for (at, (reach, status)) in reaches.into_iter().enumerate() {
            if reach == ConnectOutcome::Accepted {
                last_accepted = at + 1;
            }
            if let Some(end) = attempts.record(reach, status, false) {
                assert_eq!(end, RunEndReason::Unreachable);
                assert!(at + 1 - last_accepted >= 3);
                assert!(status != SidecarStatus::Up);
            }
        }
    }
}

#[test]
fn a_host_without_any_response_is_unreachable() {
    // The host lost power: the stream's connection timed out without acknowledgements,
    // new connections get no response and the sidecar is silent.
    let mut attempts = ConnectAttempts::default();
    let ends: Vec<_> = (0..3)
        .map(|_| attempts.record(ConnectOutcome::TimedOut, SidecarStatus::Silent, false))
        .collect();
    assert_eq!(ends, [None, None, Some(RunEndReason::Unreachable)]);
}

#[test]
fn a_refused_connection_ends_a_run_immediately() {
    let mut attempts = ConnectAttempts::default();
    let end = attempts.record(ConnectOutcome::Refused, SidecarStatus::Silent, false);
    assert_eq!(end, Some(RunEndReason::Refused));
}

#[test]
fn no_connection_attempt_ends_a_run_whose_stream_is_open() {
    // A network device refuses connections, the engine accepts no new ones while leaving,
    // or its accept queue is full, but the engine keeps working. The open connection of
    // the stream shows that the host is up, whatever the sidecar reports.
    let mut attempts = ConnectAttempts::default();
    for status in [SidecarStatus::Up, SidecarStatus::Down, SidecarStatus::Silent] {
        assert_eq!(attempts.record(ConnectOutcome::Refused, status, true), None);
        let silent = (0..9)
            .filter_map(|_| attempts.record(ConnectOutcome::TimedOut, status, true));
        assert_eq!(silent.count(), 0);
    }
}

#[test]
fn an_engine_reported_up_by_its_sidecar_is_not_unreachable() {
    // The link between entry and engine failed, so new connections get no response
    // either.
    let mut attempts = ConnectAttempts::default();
    let ends = (0..9).filter_map(|_| {
        attempts.record(ConnectOutcome::TimedOut, SidecarStatus::Up, false)
    });
    assert_eq!(ends.count(), 0);
}
