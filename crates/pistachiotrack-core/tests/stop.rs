//! Times of a graceful stop.

use std::time::Duration;

use pistachiotrack_core::{stop::StopSchedule, time::Time};
use quickcheck::quickcheck;

const BEGAN_AT: Time = Time::from_millis(20_000);

quickcheck! {
    /// Guards against a step of a stop that the process no longer reaches because its grace is over,
    /// and against cuts long before that.
    fn every_step_is_within_the_grace(grace_ms: u16, entry_drain_ms: u16) -> bool {
        let grace = Duration::from_millis(u64::from(grace_ms) + 1);
        let entry_drain = Duration::from_millis(entry_drain_ms.into());
        let stop = StopSchedule::new(BEGAN_AT, grace, entry_drain);
        let last_sixth = BEGAN_AT + grace * 5 / 6;
        stop.began_at <= stop.accepts_until
            && stop.accepts_until <= stop.answers_until
            && last_sixth <= stop.answers_until
            && stop.answers_until <= stop.exits_at
            && stop.exits_at <= BEGAN_AT + grace
    }
}

/// Guards against a request that is taken in the last moment in which it can be finished at best.
#[test]
fn a_request_is_taken_only_if_its_final_answer_is_due_before_the_exit() {
    let stop = StopSchedule::new(BEGAN_AT, Duration::from_secs(10), Duration::from_secs(3));
    let answers_until = BEGAN_AT + Duration::from_millis(9_500);
    assert_eq!(stop.answers_until, answers_until);
    let is_sent_at = |now, answered_by| now < stop.sends_until(answered_by, None);
    assert!(is_sent_at(BEGAN_AT, answers_until.before(Duration::from_micros(1))));
    assert!(!is_sent_at(BEGAN_AT, answers_until));
}

/// Guards against a stop that refuses what its callers give more time than the grace, but what takes
/// far less.
#[test]
fn a_request_with_a_long_timeout_is_sent_while_its_usual_work_fits() {
    let stop = StopSchedule::new(BEGAN_AT, Duration::from_secs(6), Duration::from_secs(3));
    let sends_until = |work_ms| {
        let work = Duration::from_millis(work_ms);
        stop.sends_until(BEGAN_AT + Duration::from_secs(20), Some(work)).since(BEGAN_AT).as_millis()
    };
    assert_eq!(stop.answers_until, BEGAN_AT + Duration::from_millis(5_500));
    assert_eq!(sends_until(4_000), 1_500);
    assert_eq!(sends_until(500), 3_000, "callers know of the stop by then");
    assert_eq!(sends_until(7_000), 0);
}
