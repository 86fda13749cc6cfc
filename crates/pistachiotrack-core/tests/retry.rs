//! Budgets of retries and what latencies they are judged by.

use std::time::Duration;

use pistachiotrack_core::{
    concurrency_limit::AdaptiveConcurrencyLimit,
    retry::{BudgetSettings, RecentLatency, RetryBudget},
    time::Time,
};

fn taken(budget: &mut RetryBudget, now: Time) -> usize {
    (0..1_000).take_while(|_| budget.take(now)).count()
}

// A service fails for a while and recovers. Retries stay a fixed part of the
// answers, whatever was saved up before.
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

// A quiet service has few answers to earn retries with. A small allowance by
// time lets its one failed lookup go elsewhere.
#[test]
fn budget_has_a_floor_by_time() {
    let settings = BudgetSettings { per_success: 0.1, per_second: 1.0, burst: 5.0 };
    let mut budget = RetryBudget::new(Time::ZERO, settings);
    taken(&mut budget, Time::ZERO);
    assert_eq!(taken(&mut budget, Time::from_millis(2_500)), 2);
}

// Latencies change. The percentile says nothing before there are samples to
// rest on, and follows within two windows.
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

// An endpoint sheds a burst that was sent under one limit. The limit falls
// once for it, not to the bottom.
#[test]
fn sheds_of_one_round_count_once() {
    let mut limit = AdaptiveConcurrencyLimit::new(10);
    let round = Duration::from_millis(100);
    (0..5).for_each(|_| limit.on_shed(Time::from_millis(1_000), round));
    assert_eq!(limit.value(), 7);
    (0..20).for_each(|n| limit.on_shed(Time::from_millis(2_000 + n * 100), round));
    assert_eq!(limit.value(), 1);
    (0..100).for_each(|_| limit.on_success());
    assert_eq!(limit.value(), 10);
}
