//! Customers, their contracts and the work that they send.

use std::{f64::consts::TAU, time::Duration};

use pistachiotrack_core::{
    config::Config,
    contract::Contract,
    customer::Customer,
    endpoint::{DEFAULT_CONNECTIONS, Endpoint},
    name::Name,
    request::{Class, DEFAULT_MAX_ATTEMPTS, Request, RequestId},
    service::{DEFAULT_PROBE_PATH, DEFAULT_QUEUE_LIMIT, DEFAULT_SHARD_ENDPOINTS, Service},
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Name of the only service.
pub(super) const SERVICE: &str = "booking";
/// Endpoints of the service.
pub(super) const ENDPOINTS: u16 = 14;
/// Slots of each endpoint.
pub(super) const SLOTS: u32 = 2;
/// Mean time that an endpoint works on a request.
pub(super) const MEAN_WORK_US: f64 = 50_000.0;
/// Spread of that time: standard deviation of its logarithm.
const WORK_SIGMA: f64 = 0.6;
/// Part of the requests that may be repeated.
const IDEMPOTENT_PART: f64 = 0.7;
/// Part of the requests that may be hedged.
const HEDGE_PART: f64 = 0.2;

/// A customer of the experiment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Buyer {
    /// Name.
    pub(super) name: &'static str,
    /// Slots bought.
    pub(super) slots: u32,
    /// Part of the offered load that it sends.
    pub(super) part: f64,
}

/// The customers: one that asks for less than it bought up to twice the
/// capacity, two that ask for more, and one without a contract.
pub(super) const BUYERS: [Buyer; 4] = [
    Buyer { name: "modest", slots: 12, part: 0.2 },
    Buyer { name: "even", slots: 8, part: 0.3 },
    Buyer { name: "greedy", slots: 6, part: 0.4 },
    Buyer { name: "none", slots: 0, part: 0.1 },
];

/// Classes with their part of the requests and their time allowed.
const CLASSES: [(Class, f64, Duration); 3] = [
    (Class::Interactive, 0.6, Duration::from_millis(500)),
    (Class::Standard, 0.3, Duration::from_millis(1_000)),
    (Class::Batch, 0.1, Duration::from_millis(5_000)),
];

/// Returns the configuration of the experiment.
pub(super) fn config() -> Config {
    let endpoint = |number: u16| Endpoint {
        name: Name::from(format!("endpoint-{number:02}")),
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        data_centre: Name::from("oslo-1"),
        slots: SLOTS,
        connections: DEFAULT_CONNECTIONS,
        leaving: false,
    };
    let customer = |buyer: &Buyer| Customer {
        name: Name::from(buyer.name),
        contracts: vec![Contract { service: Name::from(SERVICE), slots: buyer.slots }],
    };
    Config {
        version: 1,
        deployment: Name::from("overload"),
        entry_lifetime_ms: 5_000,
        data_centres: Vec::new(),
        services: vec![Service {
            name: Name::from(SERVICE),
            floor: 7,
            sensitivity: 0.5,
            timeout_ms: 1_000,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            shard_endpoints: DEFAULT_SHARD_ENDPOINTS,
            dispatchers_per_data_centre: 0,
            retry_limit: None,
            probe_path: Name::from(DEFAULT_PROBE_PATH),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
        }],
        customers: BUYERS.iter().map(customer).collect(),
        rules: Vec::new(),
    }
}

/// A request and the work it makes at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// The request.
    pub(super) request: Request,
    /// Index of its customer.
    pub(super) buyer: usize,
    /// Time that an endpoint needs for it when it has a slot of its own.
    pub(super) work_us: f64,
}

/// Requests as they come, one after the other.
pub(super) struct Workload {
    rng: Pcg64Mcg,
    mean_gap_us: f64,
    now_us: f64,
    next_id: u64,
}

impl Workload {
    /// Creates the workload that offers `load` times the capacity.
    pub(super) fn new(load: f64, seed: u64) -> Workload {
        let slots = f64::from(ENDPOINTS) * f64::from(SLOTS);
        Workload {
            rng: Pcg64Mcg::seed_from_u64(seed),
            mean_gap_us: MEAN_WORK_US / (slots * load),
            now_us: 0.0,
            next_id: 1,
        }
    }

    /// Returns the next request and the moment it comes.
    pub(super) fn next(&mut self) -> (Time, Arrival) {
        self.now_us -= self.mean_gap_us * (1.0 - self.rng.random::<f64>()).ln();
        let now = Time::from_micros(self.now_us as u64);
        let buyer = pick(self.rng.random(), BUYERS.iter().map(|buyer| buyer.part));
        let class = pick(self.rng.random(), CLASSES.iter().map(|(_, part, _)| *part));
        let (class, _, allowed) = CLASSES[class];
        let idempotent = self.rng.random_bool(IDEMPOTENT_PART);
        let request = Request {
            id: RequestId(self.next_id),
            customer: Name::from(BUYERS[buyer].name),
            class,
            deadline: now + allowed,
            idempotent,
            hedge: idempotent && self.rng.random_bool(HEDGE_PART / IDEMPOTENT_PART),
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            key: None,
            repeat: false,
        };
        self.next_id += 1;
        (now, Arrival { request, buyer, work_us: self.work_us() })
    }

    /// Draws from a lognormal distribution with the wanted mean.
    fn work_us(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * self.rng.random::<f64>()).cos();
        MEAN_WORK_US * (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp()
    }
}

/// Returns the index of the part that `point`, from 0 to 1, falls into.
fn pick(point: f64, parts: impl Iterator<Item = f64>) -> usize {
    let mut end = 0.0;
    let mut last = 0;
    for (index, part) in parts.enumerate() {
        end += part;
        last = index;
        if point < end {
            return index;
        }
    }
    last
}
