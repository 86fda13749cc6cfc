//! Gaps between ticks that show a pause of the process.

use std::time::Duration;

use pistachiotrack_core::{
    pause::{Pause, PauseDetector},
    time::Time,
};

const THRESHOLD: Duration = Duration::from_millis(400);

#[test]
fn pause_is_seen_once_and_before_the_next_tick() {
    // The host stops a VM for five seconds. When it wakes, a message may be handled
    // before the timer's first tick; it has to see that the old time is over.
    let mut detector = PauseDetector::new(Time::ZERO, THRESHOLD);
    assert_eq!(detector.check(Time::from_millis(100)), None);
    let woken = Time::from_millis(5_100);
    assert!(!detector.is_stale(Time::from_millis(499)));
    assert!(detector.is_stale(woken));
    let pause = Pause { began_at: Time::from_millis(100), ended_at: woken };
    assert_eq!(detector.check(woken), Some(pause));
    assert_eq!(pause.gap(), Duration::from_secs(5));
    assert!(!detector.is_stale(woken));
    assert_eq!(detector.check(Time::from_millis(5_200)), None);
    assert_eq!(detector.last_pause(), Some(pause));
}

#[test]
fn pause_covers_what_was_due_in_it() {
    let pause = Pause { began_at: Time::from_millis(10), ended_at: Time::from_millis(20) };
    let covered: Vec<u64> = (8..23).filter(|ms| pause.covers(Time::from_millis(*ms))).collect();
    assert_eq!(covered, (11..=20).collect::<Vec<_>>());
}

#[test]
fn late_tick_of_an_earlier_moment_is_no_pause() {
    // A tick message waited in a queue and is handled after a newer one. It must
    // not set the clock back, which would make the next tick look like a pause.
    let mut detector = PauseDetector::new(Time::ZERO, THRESHOLD);
    assert_eq!(detector.on_tick(Time::from_millis(300)), None);
    assert_eq!(detector.on_tick(Time::from_millis(50)), None);
    assert_eq!(detector.on_tick(Time::from_millis(600)), None);
    assert_eq!(detector.on_tick(Time::from_millis(1_000)), Some(THRESHOLD));
}

#[test]
fn a_pause_is_known_before_the_first_tick_after_it_and_afterwards() {
    let at = Time::from_millis;
    let mut detector = PauseDetector::new(at(1_000), Duration::from_millis(500));
    assert_eq!(detector.pause_at(at(1_400)), None);
    let unnoticed = Pause { began_at: at(1_000), ended_at: at(1_600) };
    assert_eq!(detector.pause_at(at(1_600)), Some(unnoticed));
    detector.on_tick(at(1_610));
    let noticed = Pause { began_at: at(1_000), ended_at: at(1_610) };
    assert_eq!(detector.pause_at(at(1_620)), Some(noticed));
}
