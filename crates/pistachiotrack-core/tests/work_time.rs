//! How long attempts are expected to take.

use std::time::Duration;

use pistachiotrack_core::{time::Time, work_time::WorkTime};

const MS: Duration = Duration::from_millis(1);

fn record(work_time: &mut WorkTime, now_ms: u64, attempts: u32, took: Duration) {
    let now = Time::from_millis(now_ms);
    for _ in 0..attempts {
        let attempt = work_time.begin(now.before(took));
        work_time.complete(now, attempt);
    }
}

fn abandon(work_time: &mut WorkTime, now_ms: u64, attempts: u32, took: Duration) {
    let now = Time::from_millis(now_ms);
    for _ in 0..attempts {
        let attempt = work_time.begin(now.before(took));
        work_time.end(now, attempt);
    }
}

/// Guards against an expectation that the slow ones among a service's requests exceed.
#[test]
fn the_longest_attempt_counts() {
    let mut work_time = WorkTime::new(Time::ZERO);
    record(&mut work_time, 1_000, 99, 20 * MS);
    record(&mut work_time, 1_100, 1, 700 * MS);
    record(&mut work_time, 1_200, 99, 20 * MS);
    assert_eq!(work_time.expected(Time::from_millis(1_200)), Some(1_400 * MS));
}

/// Guards against an expectation from a few attempts, which may all have been quick by chance.
#[test]
fn a_few_attempts_say_nothing() {
    let mut work_time = WorkTime::new(Time::ZERO);
    record(&mut work_time, 1_000, 29, 20 * MS);
    assert_eq!(work_time.expected(Time::from_millis(1_000)), None);
}

/// Guards against attempts that were never sent, refused or given up, and that count as if endpoints had
/// finished them as quickly.
#[test]
fn attempts_without_an_answer_are_no_quick_ones() {
    let mut work_time = WorkTime::new(Time::ZERO);
    let now = Time::from_millis(1_000);
    abandon(&mut work_time, 1_000, 99, 20 * MS);
    record(&mut work_time, 1_000, 29, 20 * MS);
    assert_eq!(work_time.expected(now), None);
    record(&mut work_time, 1_000, 1, 20 * MS);
    assert_eq!(work_time.expected(now), Some(40 * MS));
    abandon(&mut work_time, 1_000, 1, 700 * MS);
    assert_eq!(work_time.expected(now), Some(1_400 * MS));
}

/// Guards against attempts that hang, and that count only once they have ended.
#[test]
fn an_attempt_counts_while_it_runs() {
    let mut work_time = WorkTime::new(Time::ZERO);
    let first = work_time.begin(Time::from_millis(1_000));
    work_time.begin(Time::from_millis(1_500));
    record(&mut work_time, 1_900, 30, 20 * MS);
    assert_eq!(work_time.expected(Time::from_millis(2_000)), Some(2_000 * MS));
    work_time.complete(Time::from_millis(2_000), first);
    assert_eq!(work_time.expected(Time::from_millis(3_000)), Some(3_000 * MS));
}

/// Guards against an expectation that an endpoint's past fault keeps high for ever, or that is made of
/// requests long ago.
#[test]
fn attempts_count_for_half_a_minute_at_least_and_a_minute_at_most() {
    let mut work_time = WorkTime::new(Time::ZERO);
    record(&mut work_time, 29_000, 30, 700 * MS);
    record(&mut work_time, 31_000, 30, 20 * MS);
    assert_eq!(work_time.expected(Time::from_millis(59_000)), Some(1_400 * MS));
    record(&mut work_time, 62_000, 30, 20 * MS);
    assert_eq!(work_time.expected(Time::from_millis(62_000)), Some(40 * MS));
    assert_eq!(work_time.expected(Time::from_millis(123_000)), None);
}

/// Guards against attempts of a service with few requests that count for longer, because nothing is
/// recorded at the end of their window.
#[test]
fn attempts_count_for_a_minute_at_most_if_few_follow() {
    let mut work_time = WorkTime::new(Time::ZERO);
    record(&mut work_time, 1_000, 30, 20 * MS);
    assert_eq!(work_time.expected(Time::from_millis(59_000)), Some(40 * MS));
    assert_eq!(work_time.expected(Time::from_millis(62_000)), None);
}
