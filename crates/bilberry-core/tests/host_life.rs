//! When a host counts as silent.

use bilberry_core::HostLife;
use bilberry_core::UnixMs;
use proptest::prelude::*;

fn at(ms: u64) -> UnixMs {
    UnixMs(1_000_000 + ms)
}

#[test]
fn a_host_without_reports_is_silent_once_its_engine_does_not_answer() {
    let mut life = HostLife::default();
    life.record_report(at(0));
    assert!(!life.is_doubtful(at(600)) && !life.begin_check(at(600)));
    assert!(life.is_doubtful(at(700)) && life.begin_check(at(700)));
    assert!(!life.begin_check(at(800)), "one check at a time");
    life.record_check(false, at(700), at(950));
    assert!(life.is_silent());
    assert!(!life.begin_check(at(1_400)) && life.begin_check(at(1_450)));
    life.record_check(true, at(1_450), at(1_460));
    assert!(!life.is_silent() && !life.is_doubtful(at(9_000)));
}

#[test]
fn a_host_that_was_never_heard_is_not_checked() {
    let mut life = HostLife::default();
    assert!(!life.begin_check(at(60_000)) && !life.is_doubtful(at(60_000)));
    life.record_answer(at(60_000));
    assert!(!life.begin_check(at(90_000)));
}

/// Guards against requests of an entry that starts while a host stands still.
#[test]
fn a_host_whose_first_report_does_not_come_is_checked() {
    let mut life = HostLife::default();
    life.expect_report(at(0));
    assert!(life.is_doubtful(at(10)) && !life.begin_check(at(600)));
    assert!(life.begin_check(at(700)));
    life.record_check(false, at(700), at(950));
    assert!(life.is_silent());
    life.expect_report(at(1_000));
    assert!(life.is_silent());
    life.record_report(at(1_100));
    assert!(!life.is_silent() && !life.is_doubtful(at(1_100)));
}

#[test]
fn a_standstill_of_the_entry_does_not_count_as_that_of_the_host() {
    let mut life = HostLife::default();
    life.record_report(at(0));
    assert!(life.begin_check(at(700)));
    life.record_check(false, at(700), at(5_000));
    assert!(!life.is_silent());
}

/// What an entry sees of a host, at times in steps of 50 ms.
#[derive(Debug, Clone, Copy)]
struct Phase {
    steps: u64,
    sidecar_reports: bool,
    engine_answers: bool,
    /// How long the entry stands still at the end of the phase, in steps.
    entry_stands_still: u64,
}

fn phase() -> impl Strategy<Value = Phase> {
    (1..80_u64, any::<bool>(), any::<bool>(), prop_oneof![Just(0), 1..80_u64]).prop_map(
        |(steps, sidecar_reports, engine_answers, entry_stands_still)| Phase {
            steps,
            sidecar_reports,
            engine_answers,
            entry_stands_still,
        },
    )
}

proptest! {
    /// A host counts as silent only while its engine did not answer since its last sign of
    /// life, and it does so within the bound once neither process lives.
    #[test]
    fn silence_is_found_in_time_and_only_then(
        phases in proptest::collection::vec(phase(), 1..12),
    ) {
        let mut life = HostLife::default();
        let mut now = at(0);
        life.record_report(now);
        let mut check: Option<UnixMs> = None;
        let mut last_sign = now;
        let mut both_dead_since: Option<UnixMs> = None;
        for phase in phases {
            for step in 0..phase.steps {
                now = now.plus_ms(50);
                let Phase { sidecar_reports, engine_answers, .. } = phase;
                if sidecar_reports && step % 10 == 0 {
                    life.record_report(now);
                    last_sign = now;
                }
                if life.begin_check(now) {
                    check = Some(now);
                }
                if let Some(began_at) = check
                    && (engine_answers || now.ms_since(began_at) >= 250)
                {
                    check = None;
                    life.record_check(engine_answers, began_at, now);
                    if engine_answers {
                        last_sign = now;
                    }
                }
                let is_dead = !sidecar_reports && !engine_answers;
                both_dead_since = is_dead.then(|| both_dead_since.unwrap_or(now));
                if life.is_silent() {
                    prop_assert!(now.ms_since(last_sign) >= 250, "{now} {last_sign}");
                }
                if let Some(since) = both_dead_since
                    && now.ms_since(since) >= 6_500
                {
                    prop_assert!(life.is_silent());
                }
            }
            if phase.entry_stands_still > 0 {
                now = now.plus_ms(phase.entry_stands_still * 50);
                both_dead_since = both_dead_since.map(|_| now);
            }
        }
    }
}
