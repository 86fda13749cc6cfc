//! Detection of process pauses by gaps between ticks.

use std::time::Duration;

use pistachiotrack_core::{
    pause::{Pause, PauseDetector},
    time::Time,
};

const THRESHOLD: Duration = Duration::from_millis(400);

#[test]
fn pause_is_detected_once_and_before_the_next_tick() {
    // The host suspends a VM for five seconds. After it a message may be handled before
    // the timer's first tick; it must already see the pause.
    let mut detector = PauseDetector::new(Time::ZERO, THRESHOLD);
    assert_eq!(detector.detect(Time::from_millis(100)), None);
    let resumed = Time::from_millis(5_100);
    assert!(!detector.is_stale(Time::from_millis(499)));
    assert!(detector.is_stale(resumed));
    let pause = Pause { began_at: Time::from_millis(100), ended_at: resumed };
    assert_eq!(detector.detect(resumed), Some(pause));
    assert_eq!(pause.gap(), Duration::from_secs(5));
    assert!(!detector.is_stale(resumed));
    assert_eq!(detector.detect(Time::from_millis(5_200)), None);
    assert_eq!(detector.last_pause(), Some(pause));
}

#[test]
fn pause_contains_times_after_its_begin_up_to_its_end() {
    let pause = Pause { began_at: Time::from_millis(10), ended_at: Time::from_millis(20) };
    let contained: Vec<u64> = (8..23).filter(|ms| pause.contains(Time::from_millis(*ms))).collect();
    assert_eq!(contained, (11..=20).collect::<Vec<_>>());
}

#[test]
fn delayed_tick_does_not_cause_a_pause() {
    // A tick message was delayed in a queue and is handled after a newer one. It must
    // not set the last tick back, which would make the next tick look like a pause.
    let mut detector = PauseDetector::new(Time::ZERO, THRESHOLD);
    assert_eq!(detector.on_tick(Time::from_millis(300)), None);
    assert_eq!(detector.on_tick(Time::from_millis(50)), None);
    assert_eq!(detector.on_tick(Time::from_millis(600)), None);
    assert_eq!(detector.on_tick(Time::from_millis(1_000)), Some(THRESHOLD));
}

#[test]
fn pause_at_returns_a_pause_before_and_after_the_tick_that_ends_it() {
    let at = Time::from_millis;
    let mut detector = PauseDetector::new(at(1_000), Duration::from_millis(500));
    assert_eq!(detector.pause_at(at(1_400)), None);
    let undetected = Pause { began_at: at(1_000), ended_at: at(1_600) };
    assert_eq!(detector.pause_at(at(1_600)), Some(undetected));
    detector.on_tick(at(1_610));
    let detected = Pause { began_at: at(1_000), ended_at: at(1_610) };
    assert_eq!(detector.pause_at(at(1_620)), Some(detected));
}
