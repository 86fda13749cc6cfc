//! Customers, their contracts and the requests that they send.

use std::{f64::consts::TAU, time::Duration};

use pistachiotrack_core::{
    caller_limits::CallerLimits,
    config::Config,
    contract::Contract,
    customer::Customer,
    endpoint::{DEFAULT_CONNECTIONS, Endpoint},
    name::Name,
    request::{Class, DEFAULT_MAX_ATTEMPTS, Request, RequestId},
    service::{
        Contention, DEFAULT_PROBE_PATH, DEFAULT_QUEUE_LIMIT, DEFAULT_SHARD_ENDPOINTS, Service,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Name of the only service.
pub(super) const SERVICE: &str = "booking";
/// Number of endpoints of the service.
pub(super) const ENDPOINTS: u16 = 14;
/// Number of slots of each endpoint.
pub(super) const SLOTS: u32 = 2;
/// Mean service time of a request.
pub(super) const MEAN_WORK_US: f64 = 50_000.0;
/// Standard deviation of the logarithm of the service time.
const WORK_SIGMA: f64 = 0.6;
/// Fraction of the requests that are idempotent and may be retried.
const IDEMPOTENT_FRACTION: f64 = 0.7;
/// Fraction of the requests that may be hedged.
const HEDGE_FRACTION: f64 = 0.2;

/// A customer of the experiment.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimCustomer {
    /// Name.
    pub(super) name: &'static str,
    /// Slots in the contract.
    pub(super) slots: u32,
    /// Fraction of the offered load that it sends.
    pub(super) load_fraction: f64,
}

/// The customers: one that offers less load than its contract up to twice the
/// capacity, two that offer more, and one without a contract.
pub(super) const CUSTOMERS: [SimCustomer; 4] = [
    SimCustomer { name: "modest", slots: 12, load_fraction: 0.2 },
    SimCustomer { name: "even", slots: 8, load_fraction: 0.3 },
    SimCustomer { name: "greedy", slots: 6, load_fraction: 0.4 },
    SimCustomer { name: "none", slots: 0, load_fraction: 0.1 },
];

/// Classes with their fraction of the requests and their timeout.
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
    let customer = |customer: &SimCustomer| {
        let contract = Contract { service: Name::from(SERVICE), slots: customer.slots };
        Customer::new(Name::from(customer.name), vec![contract])
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
            contention: Contention::default(),
            probe_path: Name::from(DEFAULT_PROBE_PATH),
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
        }],
        customers: CUSTOMERS.iter().map(customer).collect(),
        rules: Vec::new(),
        api_keys_required: false,
        caller_limits: CallerLimits::default(),
        operators_version: None,
    }
}

/// A request and the work that it causes at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// The request.
    pub(super) request: Request,
    /// Index of its customer.
    pub(super) customer: usize,
    /// Service time when the request has its own slot.
    pub(super) work_us: f64,
}

/// Generator of requests in the order of their arrival.
pub(super) struct Workload {
    rng: Pcg64Mcg,
    mean_interarrival_us: f64,
    now_us: f64,
    next_id: u64,
}

impl Workload {
    /// Creates a workload that offers `load` times the capacity.
    pub(super) fn new(load: f64, seed: u64) -> Workload {
        let slots = f64::from(ENDPOINTS) * f64::from(SLOTS);
        Workload {
            rng: Pcg64Mcg::seed_from_u64(seed),
            mean_interarrival_us: MEAN_WORK_US / (slots * load),
            now_us: 0.0,
            next_id: 1,
        }
    }

    /// Returns the next request and its time of arrival.
    pub(super) fn next(&mut self) -> (Time, Arrival) {
        self.now_us -= self.mean_interarrival_us * (1.0 - self.rng.random::<f64>()).ln();
        let now = Time::from_micros(self.now_us as u64);
        let customer =
            pick(self.rng.random(), CUSTOMERS.iter().map(|customer| customer.load_fraction));
        let class = pick(self.rng.random(), CLASSES.iter().map(|(_, fraction, _)| *fraction));
        let (class, _, timeout) = CLASSES[class];
        let idempotent = self.rng.random_bool(IDEMPOTENT_FRACTION);
        let request = Request {
            id: RequestId(self.next_id),
            customer: Name::from(CUSTOMERS[customer].name),
            class,
            deadline: now + timeout,
            idempotent,
            hedge: idempotent && self.rng.random_bool(HEDGE_FRACTION / IDEMPOTENT_FRACTION),
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            prior: Default::default(),
            key: None,
            repeat: false,
        };
        self.next_id += 1;
        (now, Arrival { request, customer, work_us: self.work_us() })
    }

    /// Draws from a lognormal distribution with mean `MEAN_WORK_US`.
    fn work_us(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (TAU * self.rng.random::<f64>()).cos();
        MEAN_WORK_US * (WORK_SIGMA * normal - WORK_SIGMA * WORK_SIGMA / 2.0).exp()
    }
}

/// Returns the index of the fraction that `point`, from 0 to 1, falls into.
fn pick(point: f64, fractions: impl Iterator<Item = f64>) -> usize {
    let mut end = 0.0;
    let mut last = 0;
    for (index, fraction) in fractions.enumerate() {
        end += fraction;
        last = index;
        if point < end {
            return index;
        }
    }
    last
}
