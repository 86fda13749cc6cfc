//! A customer's rate limit over the whole fleet: what is admitted in any window, and how much of
//! what the limit allows.

use std::{collections::VecDeque, time::Duration};

use pistachiotrack_core::{
    customer::CustomerRateLimit,
    customer_limit::{CustomerLimitSettings, CustomerLimiter, LimitGroup, UsageReport},
    name::Name,
    time::Time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL_MS: u64 = 20;
const WINDOW: Duration = Duration::from_secs(5);
/// Excess of a window that operators tolerate: a fraction, and a number of requests.
const TOLERATED: (f64, f64) = (0.25, 20.0);
const LIMIT: CustomerRateLimit =
    CustomerRateLimit { requests_per_second: 160.0, burst_requests: 160.0 };

/// Bytes of reports that may be sent for a request, for each VM of the group.
const MAX_REPORT_BYTES: f64 = 40.0;

/// How a fleet of the model keeps the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// As the product does.
    Reports,
    /// Each VM keeps to an equal part, without messages.
    EqualParts,
}

/// Bucket of one VM with an equal part of the limit.
#[derive(Clone, Copy)]
struct Part {
    tokens: f64,
    refilled_at: Time,
}

impl Part {
    fn admit(&mut self, now: Time, limit: CustomerRateLimit, parts: usize) -> bool {
        let parts = parts as f64;
        let new = now.since(self.refilled_at).as_secs_f64() * limit.requests_per_second / parts;
        self.refilled_at = now;
        self.tokens = (self.tokens + new).min(limit.burst_requests / parts);
        let is_admitted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(is_admitted));
        is_admitted
    }
}

struct Fleet {
    way: Way,
    now: Time,
    limiters: Vec<CustomerLimiter>,
    parts: Vec<Part>,
    /// Limit that each VM knows.
    limits: Vec<CustomerRateLimit>,
    /// Part of the fleet that each VM belongs to; VMs hear those of their own part.
    sides: Vec<u8>,
    loss: f64,
    on_the_way: VecDeque<(Time, usize, usize, UsageReport)>,
    /// A single bucket that sees all requests at once.
    exact: Part,
    exact_admitted: usize,
    admitted: Vec<Time>,
    asked: usize,
    report_bytes: usize,
    rng: Pcg64Mcg,
}

fn name(vm: usize) -> Name {
    Name::from(format!("vm-{vm:02}"))
}

fn customer() -> Name {
    Name::from("timeliten")
}

impl Fleet {
    fn new(way: Way, vms: usize, seed: u64) -> Fleet {
        let now = Time::from_millis(60_000);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let limiters = (0..vms).map(|vm| limiter(vm, vms, rng.random())).collect();
        let parts = vec![Part { tokens: 0.0, refilled_at: now }; vms];
        Fleet {
            way,
            now,
            limiters,
            parts,
            limits: vec![LIMIT; vms],
            sides: vec![0; vms],
            loss: 0.0,
            on_the_way: VecDeque::new(),
            exact: Part { tokens: 0.0, refilled_at: now },
            exact_admitted: 0,
            admitted: Vec::new(),
            asked: 0,
            report_bytes: 0,
            rng,
        }
    }

    /// Restarts a VM without its counts.
    fn restart(&mut self, vm: usize) {
        let vms = self.limiters.len();
        self.limiters[vm] = limiter(vm, vms, self.rng.random());
        self.parts[vm] = Part { tokens: 0.0, refilled_at: self.now };
    }

    /// Sends `per_second` requests for `time`, each to a VM that `choose` returns.
    fn run(&mut self, time: Duration, per_second: f64, mut choose: impl FnMut(f64) -> usize) {
        let until = self.now + time;
        let mut due = 0.0;
        while self.now < until {
            due += per_second * STEP.as_secs_f64();
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                let vm = choose(self.rng.random());
                self.ask(vm);
            }
            self.exchange_reports();
            self.now += STEP;
        }
    }

    fn ask(&mut self, vm: usize) {
        let (now, limit) = (self.now, self.limits[vm]);
        self.asked += 1;
        self.exact_admitted += usize::from(self.exact.admit(now, LIMIT, 1));
        let is_admitted = match self.way {
            Way::Reports => {
                let random = self.rng.random();
                self.limiters[vm].admit(now, &customer(), limit, random).is_ok()
            }
            Way::EqualParts => self.parts[vm].admit(now, limit, self.limits.len()),
        };
        if is_admitted {
            self.admitted.push(now);
        }
    }

    fn exchange_reports(&mut self) {
        let vms = self.limiters.len();
        if self.now.as_millis().is_multiple_of(REPORT_INTERVAL_MS) {
            for from in 0..vms {
                let Some(report) = self.limiters[from].report(self.now) else { continue };
                for to in (0..vms).filter(|to| *to != from) {
                    self.report_bytes += postcard::to_stdvec(&report).unwrap().len();
                    let is_lost = self.rng.random::<f64>() < self.loss;
                    if !is_lost && self.sides[from] == self.sides[to] {
                        let delay = Duration::from_millis(self.rng.random_range(1..40));
                        self.on_the_way.push_back((self.now + delay, from, to, report.clone()));
                    }
                }
            }
        }
        let now = self.now;
        let limits = &self.limits;
        let limiters = &mut self.limiters;
        self.on_the_way.retain(|(at, from, to, report)| {
            if *at <= now {
                limiters[*to].on_report(now, &name(*from), report, |_| Some(limits[*to]));
            }
            *at > now
        });
    }

    /// Returns the largest number of requests that were admitted within a window from `start` on.
    fn largest_window(&self, start: Time) -> f64 {
        let admitted: Vec<Time> = self.admitted.iter().copied().filter(|at| *at >= start).collect();
        let mut first = 0;
        let mut largest = 0;
        for (index, at) in admitted.iter().enumerate() {
            while at.since(admitted[first]) >= WINDOW {
                first += 1;
            }
            largest = largest.max(index + 1 - first);
        }
        largest as f64
    }

    fn served_share(&self) -> f64 {
        self.admitted.len() as f64 / self.exact_admitted as f64
    }
}

fn limiter(vm: usize, vms: usize, count_id: u32) -> CustomerLimiter {
    let settings = CustomerLimitSettings { slack_requests: TOLERATED.1 };
    let mut limiter = CustomerLimiter::new(settings, count_id);
    let others = (0..vms).filter(|other| *other != vm).map(name).collect();
    limiter.set_group(LimitGroup { expected: vms, is_member: true, others });
    limiter
}

fn tolerated(limit: CustomerRateLimit) -> f64 {
    let allowed = limit.requests_per_second * WINDOW.as_secs_f64() + limit.burst_requests;
    allowed * (1.0 + TOLERATED.0) + TOLERATED.1
}

fn evenly(vms: usize) -> impl FnMut(f64) -> usize {
    move |random| (random * vms as f64) as usize
}

/// Guards against refusals below the limit: callers of a customer that stays below it are all
/// served, whichever VMs they use.
#[test]
fn demand_below_the_limit_is_served() {
    for vms in [3, 6, 30] {
        let mut fleet = Fleet::new(Way::Reports, vms, 3);
        fleet.run(Duration::from_secs(5), 60.0, evenly(vms));
        fleet.admitted.clear();
        fleet.exact_admitted = 0;
        fleet.run(Duration::from_secs(30), 140.0, evenly(vms));
        assert!(fleet.served_share() >= 0.98, "{vms} VMs: {}", fleet.served_share());
        let bytes_per_request = fleet.report_bytes as f64 / fleet.asked as f64;
        assert!(
            bytes_per_request <= MAX_REPORT_BYTES * vms as f64,
            "{vms} VMs: {bytes_per_request}"
        );
    }
}

/// Guards against a share of the limit that stays where the demand was: callers move from VM to
/// VM each two seconds. Equal parts serve a fraction of it.
#[test]
fn demand_that_moves_from_vm_to_vm_is_served() {
    let shares = [Way::Reports, Way::EqualParts].map(|way| {
        let mut fleet = Fleet::new(way, 6, 5);
        for second in 0..15 {
            fleet.run(Duration::from_secs(2), 140.0, |_| second % 6);
        }
        fleet.served_share()
    });
    assert!(shares[0] >= 0.95, "{shares:?}");
    assert!(shares[1] < 0.5, "{shares:?}");
}

/// Guards against a flood that enters through all VMs at once: a customer sends 7.5 times its
/// usual requests.
#[test]
fn a_flood_stays_within_the_limit_and_uses_it() {
    for vms in [3, 6, 30] {
        for loss in [0.0, 0.1] {
            let mut fleet = Fleet::new(Way::Reports, vms, 7);
            fleet.loss = loss;
            fleet.run(Duration::from_secs(5), 100.0, evenly(vms));
            fleet.run(Duration::from_secs(20), 750.0, evenly(vms));
            let largest = fleet.largest_window(Time::ZERO);
            let share = fleet.served_share();
            assert!(largest <= tolerated(LIMIT), "{vms} VMs, loss {loss}: {largest}");
            assert!(share >= 0.98, "{vms} VMs, loss {loss}: {share}");
        }
    }
}

/// Guards against two halves that each admit the whole limit while neither hears the other.
#[test]
fn a_flood_at_a_divided_fleet_stays_within_the_limit() {
    for cut in [1, 2, 3] {
        let mut fleet = Fleet::new(Way::Reports, 6, 11);
        fleet.run(Duration::from_secs(5), 100.0, evenly(6));
        fleet.run(Duration::from_secs(3), 750.0, evenly(6));
        fleet.sides[..cut].fill(1);
        fleet.run(Duration::from_secs(12), 750.0, evenly(6));
        fleet.sides.fill(0);
        fleet.run(Duration::from_secs(8), 750.0, evenly(6));
        let largest = fleet.largest_window(Time::ZERO);
        assert!(largest <= tolerated(LIMIT), "{cut} cut off: {largest}");
    }
}

/// Guards against a restart that gives the customer a new burst: all VMs restart twice within a
/// window, during a flood.
#[test]
fn restarts_of_all_vms_during_a_flood_stay_within_the_limit() {
    let mut fleet = Fleet::new(Way::Reports, 6, 13);
    fleet.run(Duration::from_secs(8), 750.0, evenly(6));
    for _ in 0..2 {
        (0..6).for_each(|vm| fleet.restart(vm));
        fleet.run(Duration::from_secs(2), 750.0, evenly(6));
    }
    fleet.run(Duration::from_secs(6), 750.0, evenly(6));
    let largest = fleet.largest_window(Time::ZERO);
    assert!(largest <= tolerated(LIMIT), "{largest}");
}

/// A limit is lowered while a part of the fleet gets neither the change nor any report; it binds
/// one window after all VMs know it.
#[test]
fn a_lower_limit_binds_one_window_after_all_vms_know_it() {
    let lower = CustomerRateLimit { requests_per_second: 60.0, burst_requests: 60.0 };
    let mut fleet = Fleet::new(Way::Reports, 6, 17);
    fleet.run(Duration::from_secs(8), 750.0, evenly(6));
    fleet.sides[..2].fill(1);
    fleet.limits[2..].fill(lower);
    fleet.run(Duration::from_secs(6), 750.0, evenly(6));
    fleet.sides.fill(0);
    fleet.limits.fill(lower);
    fleet.run(WINDOW, 750.0, evenly(6));
    let bound_from = fleet.now;
    fleet.run(Duration::from_secs(12), 750.0, evenly(6));
    let largest = fleet.largest_window(bound_from);
    assert!(largest <= tolerated(lower), "{largest}");
}

/// Guards against callers that all return at once: each is asked to return after those that were
/// refused before it, at the rate at which tokens come back.
#[test]
fn refused_callers_are_asked_to_return_one_after_the_other() {
    let mut limiter = limiter(0, 1, 1);
    let now = Time::from_millis(5_000);
    let mut returns: Vec<Duration> = (0..400)
        .filter_map(|_| limiter.admit(now, &customer(), LIMIT, 0.5).err())
        .map(|refused| refused.retry_after)
        .collect();
    returns.sort();
    let within_a_second =
        returns.iter().filter(|after| **after <= Duration::from_secs(1)).count() as f64;
    assert!(returns[0] > Duration::ZERO && returns.len() > 300);
    assert!(within_a_second <= 2.0 * LIMIT.requests_per_second, "{within_a_second}");
}

/// A step of a random run; VM numbers wrap around.
#[derive(Clone, Copy, Debug)]
enum Step {
    Run { half_seconds: u8, per_second: u16, vms: u8 },
    Cut { vms: u8 },
    Heal,
    Restart { vm: u8 },
    Loss { percent: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 10 {
            0 => Step::Cut { vms: a },
            1 => Step::Heal,
            2 => Step::Restart { vm: a },
            3 => Step::Loss { percent: a % 20 },
            _ => {
                Step::Run { half_seconds: 1 + a % 6, per_second: u16::from(b) * 4, vms: 1 + a % 6 }
            }
        }
    }
}

/// Returns the largest window of a history.
fn largest_window_of(seed: u64, steps: &[Step]) -> f64 {
    let mut fleet = Fleet::new(Way::Reports, 6, seed);
    for step in steps {
        match *step {
            Step::Run { half_seconds, per_second, vms } => {
                let time = Duration::from_millis(500) * u32::from(half_seconds);
                fleet.run(time, f64::from(per_second), evenly(vms.into()));
            }
            Step::Cut { vms } => fleet.sides[..usize::from(vms) % 6].fill(1),
            Step::Heal => fleet.sides.fill(0),
            Step::Restart { vm } => fleet.restart(usize::from(vm) % 6),
            Step::Loss { percent } => fleet.loss = f64::from(percent) / 100.0,
        }
    }
    fleet.largest_window(Time::ZERO)
}

/// Whatever is cut off, lost and restarted (each VM alone): no window exceeds what is tolerated.
#[test]
fn no_window_exceeds_the_limit() {
    fn check(seed: u64, steps: Vec<Step>) -> bool {
        largest_window_of(seed, &steps) <= tolerated(LIMIT)
    }
    let generator = Gen::new(20);
    QuickCheck::new().rng(generator).tests(60).quickcheck(check as fn(u64, Vec<Step>) -> bool);
}

/// Guards against a flood of which the two sides of a cut together admit more than is tolerated.
#[test]
fn a_flood_after_a_cut_stays_within_the_limit() {
    let steps = [
        Step::Run { half_seconds: 5, per_second: 68, vms: 5 },
        Step::Cut { vms: 141 },
        Step::Run { half_seconds: 6, per_second: 764, vms: 6 },
        Step::Run { half_seconds: 6, per_second: 892, vms: 6 },
    ];
    let largest = largest_window_of(0, &steps);
    assert!(largest <= tolerated(LIMIT), "{largest}, {} tolerated", tolerated(LIMIT));
}
