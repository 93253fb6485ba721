//! The identity that orders to an engine are addressed to.

use bilberry_core::UnixMs;
use bilberry_steward::LatestWeights;
use bilberry_wire::EntryNotice;

fn notice(upstream: &str) -> EntryNotice {
    EntryNotice { upstream: upstream.to_string(), ..EntryNotice::default() }
}

fn current(newest: &LatestWeights) -> String {
    newest.engine_identity().unwrap_or_default().to_string()
}

/// Guards against orders that an entry out of step addresses to an earlier start.
#[test]
fn a_refused_identity_is_not_used_again() {
    let newest = LatestWeights::default();
    assert_eq!(current(&newest), "");
    for (listed, expected) in [("a", "a"), ("b", "b"), ("a", "a"), ("", "a")] {
        newest.record_notice(&notice(listed), UnixMs(1));
        assert_eq!(current(&newest), expected);
    }
    newest.record_refused_identity(&"a".into(), None);
    assert_eq!(current(&newest), "b");
    newest.record_notice(&notice("a"), UnixMs(2));
    assert_eq!(current(&newest), "b");
    newest.record_refused_identity(&"b".into(), None);
    assert_eq!(current(&newest), "");
    newest.record_notice(&notice("c"), UnixMs(3));
    assert_eq!(current(&newest), "c");
    newest.record_refused_identity(&"c".into(), Some("d"));
    assert_eq!(current(&newest), "d");
}

/// Guards against memory that grows with the restarts of an engine.
#[test]
fn the_latest_of_many_identities_is_used() {
    let newest = LatestWeights::default();
    for index in 0..100 {
        let listed = format!("engine-{index}");
        newest.record_notice(&notice(&listed), UnixMs(1));
        assert_eq!(current(&newest), listed);
        newest.record_refused_identity(&listed.as_str().into(), None);
    }
    assert_eq!(current(&newest), "");
}
