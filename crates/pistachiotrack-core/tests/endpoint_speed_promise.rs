//! The promise of `endpoint_speed`: results close to those of a scheduler that knows the speeds.

mod shared_support;
mod speed_support;

use std::time::Duration;

use shared_support::START;
use speed_support::{Simulation, Speed, mean_service_s, oracle, p99, workload};

const VMS: usize = 6;
const LOAD: f64 = 0.8;
const WARM_UP: Duration = Duration::from_secs(20);
const LENGTH: Duration = Duration::from_secs(60);
/// Time after the last arrival in which all requests end.
const DRAIN: Duration = Duration::from_secs(10);
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Endpoints of speeds 1, 2 and 4 in equal numbers, one in four of each of which slows by half at
/// over two thirds of its slots.
fn speeds(count: usize) -> Vec<Speed> {
    let speed = |index: usize| Speed {
        time_factor: [1.0, 2.0, 4.0][index % 3],
        slows_when_nearly_full: index.is_multiple_of(4),
    };
    (0..count).map(speed).collect()
}

/// Compares the 99th percentile of the time and the share served after the warm-up, over all
/// seeds together, with those of the scheduler that knows the speeds.
fn assert_close_to_the_oracle(slots: u32, ejection: bool) {
    let speeds = speeds(24);
    let capacity: f64 = speeds.iter().map(|speed| speed.capacity(slots)).sum();
    let (mut requests, mut with, mut known) = (0, Vec::new(), Vec::new());
    for seed in SEEDS {
        let jobs = workload(seed, LOAD * capacity / mean_service_s(), LENGTH);
        let first = jobs.partition_point(|job| job.at < START + WARM_UP);
        requests += jobs.len() - first;
        known.extend(oracle::served_times(&speeds, slots, &jobs).split_off(&first).into_values());
        let mut simulation = Simulation::new(VMS, &speeds, slots, jobs, ejection);
        simulation.run_until(START + LENGTH + DRAIN);
        with.extend(simulation.times.split_off(&first).into_values());
    }
    let share = |times: &[Duration]| times.len() as f64 / requests as f64;
    let (with_share, known_share) = (share(&with), share(&known));
    let (with_p99, known_p99) = (p99(with), p99(known));
    let ratio = with_p99.as_secs_f64() / known_p99.as_secs_f64();
    println!(
        "{slots} slots, {requests} requests: 99th percentile {with_p99:?}, {ratio:.3} times \
         {known_p99:?}; served {with_share:.4}, oracle {known_share:.4}"
    );
    assert!(ratio <= 1.1, "99th percentile {ratio:.3} times that of the oracle");
    assert!(with_share >= 0.9 * known_share, "{with_share} of {known_share} served");
}

/// Slow endpoints get requests while faster ones have free slots, or endpoints are filled beyond
/// their best throughput. Ejection is off here: it takes slow endpoints out, whose capacity is
/// needed.
#[test]
fn endpoints_of_three_slots_are_used_as_if_their_speeds_were_known() {
    assert_close_to_the_oracle(3, false);
}

/// The same on endpoints of six slots.
#[test]
fn endpoints_of_six_slots_are_used_as_if_their_speeds_were_known() {
    assert_close_to_the_oracle(6, false);
}

/// The same on endpoints of three slots while health ejects those that are slow, at the highest
/// sensitivity.
#[test]
fn endpoints_are_used_as_if_their_speeds_were_known_while_slow_ones_are_ejected() {
    assert_close_to_the_oracle(3, true);
}
