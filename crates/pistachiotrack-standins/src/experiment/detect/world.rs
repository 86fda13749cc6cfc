//! The endpoints of the experiment: service times, background and faults.

use std::time::Duration;

use pistachiotrack_core::time::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Median service time of a healthy endpoint.
const MEDIAN_SERVICE: Duration = Duration::from_millis(20);
/// Spread of the logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.5;
/// Part of the requests that are long, with a power-law tail.
const LONG_PART: f64 = 0.02;
const LONG_EXPONENT: f64 = 1.5;
/// Shortest of the long ones, in medians.
const LONG_FACTOR: f64 = 3.0;
/// Mean service time that follows from the above, in medians.
const MEAN_FACTOR: f64 = 1.29;
/// Period and length of what happens to healthy endpoints.
const STALL_EVERY_S: f64 = 120.0;
const STALL_MS: (f64, f64) = (30.0, 150.0);
const BLIP_EVERY_S: f64 = 600.0;
const BLIP_MS: (f64, f64) = (40.0, 80.0);
const BURST_EVERY_S: f64 = 300.0;
const BURST_MS: (f64, f64) = (500.0, 1_500.0);
const BURST_ERRORS: f64 = 0.2;
const BURST_SLOWDOWN: f64 = 3.0;
const SILENCE_EVERY_S: f64 = 600.0;
/// Length of one period of flapping, and of its sick part.
const FLAP: Duration = Duration::from_secs(9);
const FLAP_SICK: Duration = Duration::from_secs(3);
/// Time in which a leak makes an endpoint slower by another service time.
const LEAK_STEP_S: f64 = 10.0;

/// A fault that the experiment switches on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Nothing but the background.
    None,
    /// A part of the real work fails.
    Errors(f64),
    /// Real work is slower by a factor.
    Straggler(f64),
    /// Real work is never answered; health checks are.
    Hang,
    /// Nothing is answered.
    Stopped,
    /// Real work gets slower and slower.
    Leak,
    /// Real work fails for some seconds in each period.
    Flapping,
    /// All open connections go silent, once; new ones work.
    SilentConnections,
    /// All endpoints are slower.
    WholeServiceSlow,
    /// A part of the work is refused unrun.
    Shedding,
    /// Reports of load and health are wrong.
    LyingReports,
}

impl Fault {
    /// Faults that must lead to an ejection.
    pub(super) const SICK: [(&'static str, Fault); 9] = [
        ("errors 30%", Fault::Errors(0.3)),
        ("errors 50%", Fault::Errors(0.5)),
        ("errors 100%", Fault::Errors(1.0)),
        ("straggler x3", Fault::Straggler(3.0)),
        ("straggler x10", Fault::Straggler(10.0)),
        ("hang", Fault::Hang),
        ("stopped", Fault::Stopped),
        ("slow leak", Fault::Leak),
        ("flapping", Fault::Flapping),
    ];
    /// Faults that must not lead to an ejection.
    pub(super) const NOT_SICK: [(&'static str, Fault); 4] = [
        ("silent connections", Fault::SilentConnections),
        ("whole service slow", Fault::WholeServiceSlow),
        ("shedding", Fault::Shedding),
        ("lying reports", Fault::LyingReports),
    ];
}

/// Sizes of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Service {
    pub(super) endpoints: usize,
    pub(super) slots: usize,
    pub(super) floor: u32,
}

impl Service {
    /// Returns the time between two requests at a load from 0 to 1.
    pub(super) fn mean_gap(&self, load: f64) -> Duration {
        let slots = (self.endpoints * self.slots) as f64;
        MEDIAN_SERVICE.mul_f64(MEAN_FACTOR / (load * slots))
    }
}

/// Times at which something short happens, in order.
#[derive(Clone, Debug, Default)]
struct Episodes(Vec<(Time, Time)>);

impl Episodes {
    fn draw(rng: &mut Pcg64Mcg, length: Duration, every_s: f64, ms: (f64, f64)) -> Episodes {
        let mut episodes = Vec::new();
        let mut at_s = exponential(rng) * every_s;
        while at_s < length.as_secs_f64() {
            let from = Time::ZERO + Duration::from_secs_f64(at_s);
            let length_ms = ms.0 + (ms.1 - ms.0) * rng.random::<f64>();
            episodes.push((from, from + Duration::from_secs_f64(length_ms / 1_000.0)));
            at_s += exponential(rng) * every_s;
        }
        Episodes(episodes)
    }

    /// Returns the end of the episode that covers `now`.
    fn end_at(&self, now: Time) -> Option<Time> {
        let next = self.0.partition_point(|(from, _)| *from <= now);
        let (_, to) = *self.0[..next].last()?;
        (now < to).then_some(to)
    }

    /// Returns how many episodes began in `(from, to]`.
    fn begun(&self, from: Time, to: Time) -> usize {
        let index = |at: Time| self.0.partition_point(|(begin, _)| *begin <= at);
        index(to) - index(from)
    }
}

/// Draws from the exponential distribution with mean one.
pub(super) fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

#[derive(Clone, Debug)]
struct EndpointWorld {
    speed: f64,
    error_rate: f64,
    stalls: Episodes,
    blips: Episodes,
    silences: Episodes,
}

/// What happens to the endpoints in one run.
#[derive(Clone, Debug)]
pub(super) struct World {
    endpoints: Vec<EndpointWorld>,
    error_bursts: Episodes,
    slow_bursts: Episodes,
    seed: u64,
    pub(super) fault: Fault,
    pub(super) target: usize,
    pub(super) fault_start: Time,
}

impl World {
    pub(super) fn new(service: &Service, fault: Fault, seed: u64, length: Duration) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let endpoints = (0..service.endpoints)
            .map(|_| EndpointWorld {
                speed: 0.85 + 0.35 * rng.random::<f64>(),
                error_rate: 0.001 * 10.0_f64.powf(rng.random()),
                stalls: Episodes::draw(&mut rng, length, STALL_EVERY_S, STALL_MS),
                blips: Episodes::draw(&mut rng, length, BLIP_EVERY_S, BLIP_MS),
                silences: Episodes::draw(&mut rng, length, SILENCE_EVERY_S, (1.0, 1.0)),
            })
            .collect();
        let target = rng.random_range(0..service.endpoints);
        let start_s = 20.0 + 10.0 * rng.random::<f64>();
        World {
            endpoints,
            error_bursts: Episodes::draw(&mut rng, length, BURST_EVERY_S, BURST_MS),
            slow_bursts: Episodes::draw(&mut rng, length, BURST_EVERY_S, BURST_MS),
            seed,
            fault,
            target,
            fault_start: Time::ZERO + Duration::from_secs_f64(start_s),
        }
    }

    fn fault_age(&self, endpoint: usize, now: Time) -> Option<Duration> {
        let everywhere = matches!(self.fault, Fault::WholeServiceSlow);
        let hit = everywhere || endpoint == self.target;
        (hit && now >= self.fault_start).then(|| now.since(self.fault_start))
    }

    /// Returns the service time of a request that begins now.
    pub(super) fn service_time(&self, endpoint: usize, request: u64, now: Time) -> Duration {
        let mut rng = self.request_rng(request);
        let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut factor = (SERVICE_SIGMA * normal).exp();
        if rng.random::<f64>() < LONG_PART {
            let uniform = 1.0 - rng.random::<f64>();
            factor = LONG_FACTOR * uniform.powf(-1.0 / LONG_EXPONENT);
        }
        factor *= self.endpoints[endpoint].speed;
        if self.slow_bursts.end_at(now).is_some() {
            factor *= BURST_SLOWDOWN;
        }
        if let Some(age) = self.fault_age(endpoint, now) {
            factor *= match self.fault {
                Fault::Straggler(slowdown) => slowdown,
                Fault::WholeServiceSlow => 4.0,
                Fault::Leak => 1.0 + age.as_secs_f64() / LEAK_STEP_S,
                _ => 1.0,
            };
        }
        MEDIAN_SERVICE.mul_f64(factor)
    }

    /// Returns the end of a stall, if the endpoint stands still now.
    pub(super) fn stall_end(&self, endpoint: usize, now: Time) -> Option<Time> {
        self.endpoints[endpoint].stalls.end_at(now)
    }

    /// Returns whether a request that ends now fails.
    pub(super) fn fails(&self, endpoint: usize, request: u64, now: Time) -> bool {
        let dice = self.request_rng(!request).random::<f64>();
        let mut rate = self.endpoints[endpoint].error_rate;
        if self.error_bursts.end_at(now).is_some() {
            rate = BURST_ERRORS;
        }
        if self.endpoints[endpoint].blips.end_at(now).is_some() {
            rate = 1.0;
        }
        if let Some(age) = self.fault_age(endpoint, now) {
            let flap_us = age.as_micros() % FLAP.as_micros();
            match self.fault {
                Fault::Errors(part) => rate = rate.max(part),
                Fault::Flapping if flap_us < FLAP_SICK.as_micros() => rate = 1.0,
                _ => {}
            }
        }
        dice < rate
    }

    /// Returns whether real work, or a health check, is stuck now.
    pub(super) fn hangs(&self, endpoint: usize, now: Time, is_probe: bool) -> bool {
        let is_hit = self.fault_age(endpoint, now).is_some();
        is_hit && (self.fault == Fault::Stopped || (self.fault == Fault::Hang && !is_probe))
    }

    /// Returns whether a request is refused unrun.
    pub(super) fn sheds(&self, endpoint: usize, request: u64, now: Time) -> bool {
        let is_hit = self.fault_age(endpoint, now).is_some();
        let dice = || self.request_rng(request ^ 0x5ed).random::<f64>();
        is_hit && self.fault == Fault::Shedding && dice() < 0.4
    }

    /// Returns how many idle connections go silent in `(from, to]`.
    pub(super) fn silenced(&self, endpoint: usize, from: Time, to: Time) -> usize {
        let all = self.fault == Fault::SilentConnections && endpoint == self.target;
        if all && from < self.fault_start && self.fault_start <= to {
            return usize::MAX;
        }
        self.endpoints[endpoint].silences.begun(from, to)
    }

    fn request_rng(&self, request: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed ^ request.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}
