//! Retry budget of an owner, latency percentiles and the adaptive concurrency limit.

use std::time::Duration;

use pistachiotrack_core::{
    concurrency_limit::AdaptiveConcurrencyLimit,
    retry::{BudgetSettings, RecentLatency, RetryBudget},
    time::Time,
};

fn taken(budget: &mut RetryBudget, now: Time) -> usize {
    (0..1_000).take_while(|_| budget.take(now)).count()
}

// Retries stay a fixed fraction of the successful requests, and accumulate up to the burst only.
#[test]
fn budget_follows_successful_work() {
    let settings = BudgetSettings { per_success: 0.1, per_second: 0.0, burst: 5.0 };
    let mut budget = RetryBudget::new(Time::ZERO, settings);
    assert_eq!(taken(&mut budget, Time::ZERO), 5);
    (0..35).for_each(|_| budget.on_success());
    assert_eq!(taken(&mut budget, Time::ZERO), 3);
    (0..1_000).for_each(|_| budget.on_success());
    assert_eq!(taken(&mut budget, Time::ZERO), 5);
}

// A service with little traffic earns few retries by its successes. Retries earned over time let
// a single failed request be retried.
#[test]
fn budget_is_refilled_over_time() {
    let settings = BudgetSettings { per_success: 0.1, per_second: 1.0, burst: 5.0 };
    let mut budget = RetryBudget::new(Time::ZERO, settings);
    taken(&mut budget, Time::ZERO);
    assert_eq!(taken(&mut budget, Time::from_millis(2_500)), 2);
}

// There is no percentile before the minimum number of samples, and a change of latency shows
// within two windows.
#[test]
fn percentile_follows_recent_latencies() {
    let mut recent = RecentLatency::default();
    (0..19).for_each(|_| recent.record(Duration::from_millis(10)));
    assert_eq!(recent.p95(), None);
    (0..1_000).for_each(|_| recent.record(Duration::from_millis(10)));
    (0..1_200).for_each(|_| recent.record(Duration::from_millis(50)));
    let p95_ms = recent.p95().unwrap().as_millis();
    assert!((49..=51).contains(&p95_ms), "{p95_ms}");
}

// Requests of one burst, sent under the same limit, are shed. The limit is lowered once for them,
// not once for each.
#[test]
fn sheds_within_one_service_time_count_once() {
    let mut limit = AdaptiveConcurrencyLimit::new(10);
    let service_time = Duration::from_millis(100);
    (0..5).for_each(|_| limit.on_shed(Time::from_millis(1_000), service_time));
    assert_eq!(limit.value(), 7);
    (0..20).for_each(|n| limit.on_shed(Time::from_millis(2_000 + n * 100), service_time));
    assert_eq!(limit.value(), 1);
    (0..100).for_each(|_| limit.on_success());
    assert_eq!(limit.value(), 10);
}
