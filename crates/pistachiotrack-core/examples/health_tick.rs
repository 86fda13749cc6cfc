//! Measures the time of a tick of the outlier detection with attempts in flight.
//!
//! `cargo run --release -p pistachiotrack-core --example health_tick`

use std::time::{Duration, Instant};

use pistachiotrack_core::{
    health::{AttemptKind, ConfiguredEndpoint, Health, HealthSettings},
    name::Name,
    request::{AttemptId, BodyEnd, Class, Outcome},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(20);
const TICKS: usize = 4_000;
const WARM_UP: usize = 500;
const ROUNDS: usize = 5;

/// Returns the mean time of a tick in microseconds, as the median over the rounds.
fn tick_us(endpoints: usize, in_flight: usize) -> f64 {
    let mut rounds: Vec<f64> =
        (0..ROUNDS).map(|round| one_round(endpoints, in_flight, round as u64)).collect();
    rounds.sort_by(f64::total_cmp);
    rounds[ROUNDS / 2]
}

fn one_round(endpoints: usize, in_flight: usize, seed: u64) -> f64 {
    let names: Vec<Name> = (0..endpoints).map(|index| Name::from(format!("e{index}"))).collect();
    let configured_endpoints: Vec<ConfiguredEndpoint> = names
        .iter()
        .map(|name| ConfiguredEndpoint { name: name.clone(), leaving: false })
        .collect();
    let mut health = Health::new(
        Time::ZERO,
        HealthSettings::default(),
        &configured_endpoints,
        endpoints as u32,
        1,
    );
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut now = Time::ZERO;
    let mut next_attempt = 0;
    let mut slots: Vec<(usize, AttemptId, Time)> = Vec::new();
    let mut send = |health: &mut Health, rng: &mut Pcg64Mcg, endpoint: usize, now: Time| {
        let attempt = AttemptId(next_attempt);
        next_attempt += 1;
        health.on_dispatch(now, attempt, &names[endpoint], Class::Standard, AttemptKind::Request);
        let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        (endpoint, attempt, now + Duration::from_millis(20).mul_f64((0.5 * normal).exp()))
    };
    for endpoint in (0..endpoints).flat_map(|endpoint| vec![endpoint; in_flight]) {
        slots.push(send(&mut health, &mut rng, endpoint, now));
    }
    let mut spent = Duration::ZERO;
    for tick in 0..TICKS {
        let due = now + TICK;
        while let Some(slot) = (0..slots.len()).min_by_key(|&slot| slots[slot].2) {
            let (endpoint, attempt, ends) = slots[slot];
            if ends > due {
                break;
            }
            now = ends;
            let outcome = Outcome::Answered { status: 200, fresh_connection: false };
            health.on_outcome(now, attempt, outcome);
            health.on_body_end(now, attempt, BodyEnd::Complete);
            slots[slot] = send(&mut health, &mut rng, endpoint, now);
        }
        now = due;
        let start = Instant::now();
        health.on_tick(now);
        if tick >= WARM_UP {
            spent += start.elapsed();
        }
    }
    spent.as_secs_f64() * 1e6 / (TICKS - WARM_UP) as f64
}

fn main() {
    println!("| endpoints | in flight at each | tick, us |");
    println!("|---|---|---|");
    for (endpoints, in_flight) in [(6, 2), (14, 2), (16, 3), (64, 2), (64, 8)] {
        println!("| {endpoints} | {in_flight} | {:.1} |", tick_us(endpoints, in_flight));
    }
}
