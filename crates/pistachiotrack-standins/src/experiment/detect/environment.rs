//! The simulated endpoints: service times, background disturbances and faults.

use std::time::Duration;

use pistachiotrack_core::time::Time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Median service time of a healthy endpoint.
const MEDIAN_SERVICE: Duration = Duration::from_millis(20);
/// Standard deviation of the logarithm of the service time.
const SERVICE_SIGMA: f64 = 0.5;
/// Fraction of long requests, whose service time has a power-law tail.
const LONG_FRACTION: f64 = 0.02;
const LONG_EXPONENT: f64 = 1.5;
/// Shortest service time of a long request, in medians.
const LONG_FACTOR: f64 = 3.0;
/// Mean service time that results from the constants above, in medians.
const MEAN_FACTOR: f64 = 1.29;
/// Mean interval and duration range of the background disturbances of healthy endpoints.
const STALL_INTERVAL_S: f64 = 120.0;
const STALL_MS: (f64, f64) = (30.0, 150.0);
const BLIP_INTERVAL_S: f64 = 600.0;
const BLIP_MS: (f64, f64) = (40.0, 80.0);
const BURST_INTERVAL_S: f64 = 300.0;
const BURST_MS: (f64, f64) = (500.0, 1_500.0);
const BURST_ERROR_RATE: f64 = 0.2;
const BURST_SLOWDOWN: f64 = 3.0;
const SILENCE_INTERVAL_S: f64 = 600.0;
/// Period of flapping, and the time in each period in which requests fail.
const FLAP_PERIOD: Duration = Duration::from_secs(9);
const FLAP_FAILING_TIME: Duration = Duration::from_secs(3);
/// Time in which a leak increases the service time by its initial value.
const LEAK_STEP_S: f64 = 10.0;

/// A fault that the experiment injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    /// Only background disturbances.
    None,
    /// A fraction of the requests fails; health checks don't.
    Errors(f64),
    /// Requests are slower by a factor; health checks aren't.
    Straggler(f64),
    /// Requests are never answered; health checks are.
    Hang,
    /// Neither requests nor health checks are answered.
    Stopped,
    /// Requests become increasingly slower.
    Leak,
    /// Requests fail for some seconds in each period.
    Flapping,
    /// All open connections stop responding once; new connections work.
    SilentConnections,
    /// All endpoints are slower.
    WholeServiceSlow,
    /// A fraction of the requests is shed.
    Shedding,
    /// Reports of load and health are incorrect.
    IncorrectReports,
}

impl Fault {
    /// Faults that must lead to an ejection.
    pub(super) const EJECTABLE: [(&'static str, Fault); 9] = [
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
    pub(super) const NOT_EJECTABLE: [(&'static str, Fault); 4] = [
        ("silent connections", Fault::SilentConnections),
        ("whole service slow", Fault::WholeServiceSlow),
        ("shedding", Fault::Shedding),
        ("lying reports", Fault::IncorrectReports),
    ];
}

/// Size of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Service {
    pub(super) endpoints: usize,
    pub(super) slots: usize,
    pub(super) floor: u32,
}

impl Service {
    /// Returns the mean time between two requests at a load from 0 to 1.
    pub(super) fn mean_interarrival_time(&self, load: f64) -> Duration {
        let slots = (self.endpoints * self.slots) as f64;
        MEDIAN_SERVICE.mul_f64(MEAN_FACTOR / (load * slots))
    }
}

/// Start and end times of short disturbances, in ascending order.
#[derive(Clone, Debug, Default)]
struct Disturbances(Vec<(Time, Time)>);

impl Disturbances {
    fn draw(
        rng: &mut Pcg64Mcg,
        length: Duration,
        mean_interval_s: f64,
        duration_ms: (f64, f64),
    ) -> Disturbances {
        let mut disturbances = Vec::new();
        let mut at_s = exponential(rng) * mean_interval_s;
        while at_s < length.as_secs_f64() {
            let from = Time::ZERO + Duration::from_secs_f64(at_s);
            let length_ms = duration_ms.0 + (duration_ms.1 - duration_ms.0) * rng.random::<f64>();
            disturbances.push((from, from + Duration::from_secs_f64(length_ms / 1_000.0)));
            at_s += exponential(rng) * mean_interval_s;
        }
        Disturbances(disturbances)
    }

    /// Returns the end of the disturbance that contains `now`.
    fn end_at(&self, now: Time) -> Option<Time> {
        let next = self.0.partition_point(|(from, _)| *from <= now);
        let (_, to) = *self.0[..next].last()?;
        (now < to).then_some(to)
    }

    /// Returns the number of disturbances that began in `(from, to]`.
    fn count_begun(&self, from: Time, to: Time) -> usize {
        let index = |at: Time| self.0.partition_point(|(begin, _)| *begin <= at);
        index(to) - index(from)
    }
}

/// Samples the exponential distribution with mean one.
pub(super) fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

#[derive(Clone, Debug)]
struct EndpointConditions {
    service_time_factor: f64,
    error_rate: f64,
    stalls: Disturbances,
    blips: Disturbances,
    silences: Disturbances,
}

/// Conditions of the endpoints in one run.
#[derive(Clone, Debug)]
pub(super) struct Environment {
    endpoints: Vec<EndpointConditions>,
    error_bursts: Disturbances,
    slow_bursts: Disturbances,
    seed: u64,
    pub(super) fault: Fault,
    pub(super) target: usize,
    pub(super) fault_start: Time,
}

impl Environment {
    pub(super) fn new(service: &Service, fault: Fault, seed: u64, length: Duration) -> Environment {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let endpoints = (0..service.endpoints)
            .map(|_| EndpointConditions {
                service_time_factor: 0.85 + 0.35 * rng.random::<f64>(),
                error_rate: 0.001 * 10.0_f64.powf(rng.random()),
                stalls: Disturbances::draw(&mut rng, length, STALL_INTERVAL_S, STALL_MS),
                blips: Disturbances::draw(&mut rng, length, BLIP_INTERVAL_S, BLIP_MS),
                silences: Disturbances::draw(&mut rng, length, SILENCE_INTERVAL_S, (1.0, 1.0)),
            })
            .collect();
        let target = rng.random_range(0..service.endpoints);
        let start_s = 20.0 + 10.0 * rng.random::<f64>();
        Environment {
            endpoints,
            error_bursts: Disturbances::draw(&mut rng, length, BURST_INTERVAL_S, BURST_MS),
            slow_bursts: Disturbances::draw(&mut rng, length, BURST_INTERVAL_S, BURST_MS),
            seed,
            fault,
            target,
            fault_start: Time::ZERO + Duration::from_secs_f64(start_s),
        }
    }

    fn fault_age(&self, endpoint: usize, now: Time) -> Option<Duration> {
        let affects_all = matches!(self.fault, Fault::WholeServiceSlow);
        let is_affected = affects_all || endpoint == self.target;
        (is_affected && now >= self.fault_start).then(|| now.since(self.fault_start))
    }

    /// Returns the service time of a request that begins now.
    pub(super) fn service_time(&self, endpoint: usize, request: u64, now: Time) -> Duration {
        let mut rng = self.request_rng(request);
        let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut factor = (SERVICE_SIGMA * normal).exp();
        if rng.random::<f64>() < LONG_FRACTION {
            let uniform = 1.0 - rng.random::<f64>();
            factor = LONG_FACTOR * uniform.powf(-1.0 / LONG_EXPONENT);
        }
        factor *= self.endpoints[endpoint].service_time_factor;
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

    /// Returns the end of the endpoint's current stall, if there is one.
    pub(super) fn stall_end(&self, endpoint: usize, now: Time) -> Option<Time> {
        self.endpoints[endpoint].stalls.end_at(now)
    }

    /// Returns whether a request that ends now fails.
    pub(super) fn fails(&self, endpoint: usize, request: u64, now: Time) -> bool {
        let sample = self.request_rng(!request).random::<f64>();
        let mut rate = self.endpoints[endpoint].error_rate;
        if self.error_bursts.end_at(now).is_some() {
            rate = BURST_ERROR_RATE;
        }
        if self.endpoints[endpoint].blips.end_at(now).is_some() {
            rate = 1.0;
        }
        if let Some(age) = self.fault_age(endpoint, now) {
            let flap_us = age.as_micros() % FLAP_PERIOD.as_micros();
            match self.fault {
                Fault::Errors(fraction) => rate = rate.max(fraction),
                Fault::Flapping if flap_us < FLAP_FAILING_TIME.as_micros() => rate = 1.0,
                _ => {}
            }
        }
        sample < rate
    }

    /// Returns whether a request, or a health check, hangs at this time.
    pub(super) fn hangs(&self, endpoint: usize, now: Time, is_probe: bool) -> bool {
        let is_affected = self.fault_age(endpoint, now).is_some();
        is_affected && (self.fault == Fault::Stopped || (self.fault == Fault::Hang && !is_probe))
    }

    /// Returns whether a request is shed.
    pub(super) fn sheds(&self, endpoint: usize, request: u64, now: Time) -> bool {
        let is_affected = self.fault_age(endpoint, now).is_some();
        let sample = || self.request_rng(request ^ 0x5ed).random::<f64>();
        is_affected && self.fault == Fault::Shedding && sample() < 0.4
    }

    /// Returns the number of idle connections that stop responding in `(from, to]`.
    pub(super) fn silenced_connections(&self, endpoint: usize, from: Time, to: Time) -> usize {
        let affects_all = self.fault == Fault::SilentConnections && endpoint == self.target;
        if affects_all && from < self.fault_start && self.fault_start <= to {
            return usize::MAX;
        }
        self.endpoints[endpoint].silences.count_begun(from, to)
    }

    fn request_rng(&self, request: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed ^ request.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}
