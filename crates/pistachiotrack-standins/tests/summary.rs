//! Tests of the counts of a run, which are checked against the recorded executions.

use std::time::{Duration, Instant};

use pistachiotrack_standins::{
    caller::{RequestOutcome, Sample},
    ejection::{MIN_QUIET_TIME, quiet_time, work_stopped_after},
    execution_counter::ExecutionCounter,
    summary::{AddedLatency, Counts, percentile_ms},
    work::WorkId,
};

fn sample(id: u64, outcome: RequestOutcome) -> Sample {
    Sample {
        id: WorkId(id),
        service: "booking",
        non_idempotent: true,
        deadline_ms: 4_000,
        steered: true,
        sent: Instant::now(),
        latency_us: 31_000 + id,
        service_us: Some(30_000),
        outcome,
        reason: None,
        request_id: None,
    }
}

#[test]
fn counts_compare_outcomes_with_executions() {
    let execution_counter = ExecutionCounter::default();
    for id in [1, 2, 2, 4, 6] {
        execution_counter.record(WorkId(id));
    }
    let samples = [
        sample(1, RequestOutcome::Ok),
        sample(2, RequestOutcome::Unknown),
        sample(3, RequestOutcome::Ok),
        sample(4, RequestOutcome::RefusedNotRun),
        sample(5, RequestOutcome::RefusedNotRun),
        Sample { non_idempotent: false, ..sample(6, RequestOutcome::WrongAnswer) },
        sample(7, RequestOutcome::Lost),
    ];
    let counts = Counts::of(&samples, &execution_counter);
    assert_eq!(counts.requests, 7);
    assert_eq!(counts.ok, 1);
    assert_eq!(counts.doubled, 1, "2 ran twice");
    assert_eq!(counts.lost, 2, "3 was never run, 7 has no answer");
    assert_eq!(counts.false_not_run, 1, "4 ran");
    assert_eq!(counts.refused_not_run, 2);
    assert_eq!(counts.wrong_answer, 1);
    assert!(!counts.is_clean());
    assert!(Counts::of(&samples[..1], &execution_counter).is_clean());
}

#[test]
fn idempotent_work_that_ran_twice_is_not_counted_as_doubled() {
    let execution_counter = ExecutionCounter::default();
    execution_counter.record(WorkId(1));
    execution_counter.record(WorkId(1));
    let lookup = Sample { non_idempotent: false, ..sample(1, RequestOutcome::Ok) };
    assert!(Counts::of(&[lookup], &execution_counter).is_clean());
}

#[test]
fn percentiles_are_by_nearest_rank() {
    let sorted_us: Vec<u64> = (1..=100).map(|value| value * 1_000).collect();
    assert_eq!(percentile_ms(&sorted_us, 0.5), 50.0);
    assert_eq!(percentile_ms(&sorted_us, 0.99), 99.0);
    assert_eq!(percentile_ms(&[], 0.99), 0.0);
    let samples: Vec<Sample> = (0..3).map(|id| sample(id, RequestOutcome::Ok)).collect();
    assert_eq!(AddedLatency::of(&samples), AddedLatency { p50_ms: 1.001, p99_ms: 1.002 });
}

#[test]
fn work_stopped_at_the_last_arrival_before_the_first_quiet_time() {
    let fault = Instant::now();
    let at = |ms| fault + Duration::from_millis(ms);
    let quiet_ms = MIN_QUIET_TIME.as_millis() as u64;
    let until_300 = [at(100), at(200), at(300)];
    let stopped = Some(Duration::from_millis(300));
    assert_eq!(work_stopped_after(&until_300, fault, at(300 + quiet_ms), MIN_QUIET_TIME), stopped);
    assert_eq!(work_stopped_after(&until_300, fault, at(299 + quiet_ms), MIN_QUIET_TIME), None);
    let trial_later = [at(100), at(300), at(300 + quiet_ms), at(301 + quiet_ms)];
    assert_eq!(work_stopped_after(&trial_later, fault, at(60_000), MIN_QUIET_TIME), stopped);
    assert_eq!(work_stopped_after(&[], fault, at(60_000), MIN_QUIET_TIME), Some(Duration::ZERO));
}

#[test]
fn a_low_request_rate_needs_a_longer_quiet_time() {
    assert_eq!(quiet_time(400, Duration::from_secs(5)), MIN_QUIET_TIME);
    assert_eq!(quiet_time(10, Duration::from_secs(5)), Duration::from_secs(10));
    assert_eq!(quiet_time(0, Duration::from_secs(5)), Duration::from_secs(100));
}
