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
    assert!(stop.leaves_time_for(answers_until));
    assert!(!stop.leaves_time_for(answers_until + Duration::from_micros(1)));
}
