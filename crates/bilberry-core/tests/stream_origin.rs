//! The origins of streams, and what proves a single software version.

use std::time::Instant;

use bilberry_core::OriginAnswer;
use bilberry_core::OriginEvidence;
use bilberry_core::OriginLedger;
use bilberry_core::OriginRecords;
use bilberry_core::OwnerRanking;
use bilberry_core::RequestKey;
use bilberry_core::SoftwareHistory;
use bilberry_core::SoftwareId;
use bilberry_core::StreamId;
use bilberry_core::StreamOrigin;
use bilberry_core::UnixMs;
use bilberry_core::decide_origin;

const V1: SoftwareId = SoftwareId(1);
const V2: SoftwareId = SoftwareId(2);
const MAX_STREAM_MS: u64 = 15_000;

fn origin(request: u64, customer: u32, expires_at_ms: u64) -> StreamOrigin {
    StreamOrigin {
        stream: StreamId { request: RequestKey(request), attempt: 7 },
        software: Some(V1),
        customer,
        expires_at: UnixMs(expires_at_ms),
    }
}

/// Returns the history of an entry that has followed the list from 100 s on.
fn followed() -> SoftwareHistory {
    let mut history = SoftwareHistory::default();
    history.record(Some(V1), UnixMs(100_000));
    history.confirm(UnixMs(100_000));
    history
}

#[test]
fn an_entry_that_has_just_started_proves_nothing() {
    let mut history = followed();
    history.confirm(UnixMs(114_000));
    assert_eq!(history.proven(UnixMs(114_000), MAX_STREAM_MS, UnixMs(114_000)), None);
    history.confirm(UnixMs(115_000));
    let proven = history.proven(UnixMs(115_000), MAX_STREAM_MS, UnixMs(115_000));
    assert_eq!(proven, Some(V1));
}

#[test]
fn a_list_that_is_not_confirmed_since_the_caller_arrived_proves_nothing() {
    let mut history = followed();
    history.confirm(UnixMs(199_999));
    assert_eq!(history.proven(UnixMs(200_000), MAX_STREAM_MS, UnixMs(200_000)), None);
    let provable = history.provable(UnixMs(200_000), MAX_STREAM_MS, UnixMs(200_000));
    assert_eq!(provable, Some(V1));
}

#[test]
fn a_gap_in_which_a_server_may_have_come_and_gone_ends_the_proof() {
    let mut history = followed();
    history.confirm(UnixMs(200_000));
    let mut short_gap = history.clone();
    short_gap.record_gap(UnixMs(203_000), 3_600);
    short_gap.confirm(UnixMs(203_000));
    let proven =
        |it: &SoftwareHistory, at| it.proven(UnixMs(at), MAX_STREAM_MS, UnixMs(at));
    assert_eq!(proven(&short_gap, 203_000), Some(V1));
    history.record_gap(UnixMs(204_000), 3_600);
    history.confirm(UnixMs(204_000));
    assert_eq!(proven(&history, 204_000), None);
}

#[test]
fn a_version_that_left_the_list_still_rules_out_a_single_one() {
    let mut history = followed();
    history.record(Some(V2), UnixMs(110_000));
    history.record(Some(V1), UnixMs(400_000));
    history.confirm(UnixMs(400_000));
    assert_eq!(history.seen_alone(UnixMs(400_000)), None);
    assert_eq!(history.proven(UnixMs(400_000), MAX_STREAM_MS, UnixMs(400_000)), None);
}

#[test]
fn a_server_of_unknown_version_rules_out_a_single_one() {
    let mut history = followed();
    history.record(None, UnixMs(190_000));
    history.confirm(UnixMs(200_000));
    assert_eq!(history.proven(UnixMs(200_000), MAX_STREAM_MS, UnixMs(200_000)), None);
}

#[test]
fn a_caller_that_names_no_attempt_is_not_trusted_with_one_of_two_versions() {
    let evidence = |is_named, seen_alone| OriginEvidence {
        answers: vec![OriginAnswer::Unknown, OriginAnswer::Known(V1)],
        is_named,
        seen_alone,
        proven: None,
    };
    assert_eq!(decide_origin(&evidence(true, None)), Some(V1));
    assert_eq!(decide_origin(&evidence(false, None)), None);
    assert_eq!(decide_origin(&evidence(false, Some(V2))), None);
    assert_eq!(decide_origin(&evidence(false, Some(V1))), Some(V1));
}

#[test]
fn owners_that_disagree_prove_nothing() {
    let evidence = OriginEvidence {
        answers: vec![OriginAnswer::Known(V1), OriginAnswer::Known(V2)],
        is_named: true,
        seen_alone: None,
        proven: Some(V1),
    };
    assert_eq!(decide_origin(&evidence), None);
}

#[test]
fn a_flood_of_one_customers_streams_displaces_no_other_customers() {
    let mut ledger = OriginLedger::new(100);
    for request in 0..10 {
        ledger.record(origin(request, 1, 50_000), UnixMs(1));
    }
    for request in 1_000..100_000 {
        ledger.record(origin(request, 2, 60_000), UnixMs(2));
    }
    assert_eq!(ledger.len(), 100);
    for request in 0..10 {
        let answer = ledger.look_up(RequestKey(request), Some(7), UnixMs(3));
        assert_eq!(answer, OriginAnswer::Known(V1));
    }
}

#[test]
fn questions_about_invented_streams_leave_nothing_behind() {
    let mut ledger = OriginLedger::new(100);
    ledger.record(origin(1, 1, 50_000), UnixMs(1));
    for attempt in 0..10_000 {
        let answer = ledger.look_up(RequestKey(attempt), Some(attempt), UnixMs(2));
        assert_eq!(answer, OriginAnswer::Unknown);
    }
    assert_eq!(ledger.len(), 1);
}

#[test]
fn origins_expire() {
    let mut ledger = OriginLedger::new(100);
    ledger.record(origin(1, 1, 50_000), UnixMs(1));
    let answer = ledger.look_up(RequestKey(1), Some(7), UnixMs(50_000));
    assert_eq!((answer, ledger.is_empty()), (OriginAnswer::Unknown, true));
}

#[test]
#[ignore = "prints figures and asserts nothing"]
fn print_the_cost_of_a_stream() {
    let mut ranking = OwnerRanking::default();
    (0..600_u64).for_each(|seed| ranking.add(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    let mut records = OriginRecords::new(8_192);
    let streams = 20_000_u64;
    let began = Instant::now();
    for number in 0..streams {
        let now = UnixMs(number * 82);
        let origin = origin(number, number as u32 % 128, now.0 + 65_000);
        records.record(origin, now);
        for (seed, origin) in records.missing(origin.stream, &ranking, now) {
            records.mark_told(origin.stream, seed);
        }
    }
    println!(
        "entry: {:?} a stream, {} held",
        began.elapsed() / streams as u32,
        records.ledger().len()
    );
    let at = UnixMs(streams * 82);
    let began = Instant::now();
    let lost = ranking.live_owners(streams - 1, 1, at)[0];
    ranking.remove(lost, at);
    records.forget_sidecar(lost);
    let missing = records.all_missing(&ranking, &[], at).len();
    println!("entry: {:?} for a lost sidecar, {missing} messages", began.elapsed());
    let began = Instant::now();
    ranking.add(1);
    let missing = records.all_missing(&ranking, &[1], at).len();
    println!("entry: {:?} for a new sidecar, {missing} messages", began.elapsed());
    let mut ledger = OriginLedger::new(8_192);
    let began = Instant::now();
    for number in 0..streams {
        let now = UnixMs(number * 67);
        ledger.record(origin(number, number as u32 % 128, now.0 + 65_000), now);
    }
    println!(
        "sidecar: {:?} a record, {} held",
        began.elapsed() / streams as u32,
        ledger.len()
    );
    let began = Instant::now();
    for number in 0..streams {
        ledger.look_up(RequestKey(number), Some(7), UnixMs(streams * 67));
    }
    println!("sidecar: {:?} a question", began.elapsed() / streams as u32);
}
