//! When a silent run may be taken for over.

use bilberry_core::Reach;
use bilberry_core::Reaching;
use bilberry_core::RunEnd;
use bilberry_core::SidecarStatus;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::prop_oneof;
use proptest::proptest;

fn reaches() -> impl Strategy<Value = Vec<(Reach, SidecarStatus)>> {
    let reach = prop_oneof![Just(Reach::Taken), Just(Reach::Silent)];
    let word = prop_oneof![
        Just(SidecarStatus::Up),
        Just(SidecarStatus::Down),
        Just(SidecarStatus::Silent)
    ];
    proptest::collection::vec((reach, word), 0..40)
}

proptest! {
    // A host that stands still takes connections, and whoever stood beside it may say
    // anything. Whatever is silent for however long, a run there is never over as long as
    // one of any three connections in a row is taken.
    #[test]
    fn a_host_that_takes_connections_never_ends_a_run(reaches in reaches()) {
        let mut reaching = Reaching::default();
        let mut last_taken = 0;
        for (at, (reach, word)) in reaches.into_iter().enumerate() {
            if reach == Reach::Taken {
                last_taken = at + 1;
            }
            if let Some(end) = reaching.note(reach, word, false) {
                assert_eq!(end, RunEnd::Unreachable);
                assert!(at + 1 - last_taken >= 3);
                assert!(word != SidecarStatus::Up);
            }
        }
    }
}

#[test]
fn an_engine_that_nobody_reaches_is_out_of_reach() {
    // The host lost its power: the stream's connection was given up as nothing was
    // acknowledged, no new one is answered and its sidecar is silent.
    let mut reaching = Reaching::default();
    let ends: Vec<_> = (0..3)
        .map(|_| reaching.note(Reach::Silent, SidecarStatus::Silent, false))
        .collect();
    assert_eq!(ends, [None, None, Some(RunEnd::Unreachable)]);
}

#[test]
fn a_port_on_which_nothing_listens_ends_a_run_at_once() {
    let mut reaching = Reaching::default();
    let end = reaching.note(Reach::Refused, SidecarStatus::Silent, false);
    assert_eq!(end, Some(RunEnd::Refused));
}

#[test]
fn no_new_connection_ends_a_run_whose_stream_is_open() {
    // Something on the way refuses connections, the engine takes no new ones as it
    // leaves, or its queue of them is full, and it works on. The stream's connection is
    // open, so its host is there, whatever is heard of the sidecar.
    let mut reaching = Reaching::default();
    for word in [SidecarStatus::Up, SidecarStatus::Down, SidecarStatus::Silent] {
        assert_eq!(reaching.note(Reach::Refused, word, true), None);
        let silent = (0..9).filter_map(|_| reaching.note(Reach::Silent, word, true));
        assert_eq!(silent.count(), 0);
    }
}

#[test]
fn an_engine_that_its_sidecar_hears_is_not_out_of_reach() {
    // The connection was lost between entry and engine, and new ones get no sign either.
    let mut reaching = Reaching::default();
    let ends =
        (0..9).filter_map(|_| reaching.note(Reach::Silent, SidecarStatus::Up, false));
    assert_eq!(ends.count(), 0);
}
