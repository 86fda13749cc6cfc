//! Workloads of the two example deployments.

use pistachiotrack_core::{config::Config, request::Class};

use crate::caller::Operation;

/// Workload of one service.
#[derive(Clone, Debug)]
pub struct ServiceWork {
    /// The service.
    pub service: &'static str,
    /// Median service time.
    pub median_ms: f64,
    /// Operations with their shares of the service's load.
    pub mix: &'static [(f64, Operation)],
}

/// A lookup that is sent outside of the workloads.
pub const CALENDAR_LOOKUP: Operation =
    lookup("timeliten", "centre-calendars", "/calendars/majorstuen", 1_000);

/// Standard deviation of the logarithm of the service time.
pub const SIGMA: f64 = 0.3;

/// Workload of the court interpreters' roster deployment.
pub const TLMOCNIK: &[ServiceWork] = &[
    ServiceWork {
        service: "availability-calendar",
        median_ms: 25.0,
        mix: &[(1.0, lookup("tlmocnik", "availability-calendar", "/availability/kosice", 2_000))],
    },
    ServiceWork {
        service: "hearing-booking",
        median_ms: 35.0,
        mix: &[
            (0.6, lookup("tlmocnik", "hearing-booking", "/hearings/41", 2_500)),
            (0.3, booking("tlmocnik", "hearing-booking", "/hearings/41/interpreter")),
            (0.1, booking("interpreters", "hearing-booking", "/hearings/41/confirmation")),
        ],
    },
    ServiceWork {
        service: "interpreter-register",
        median_ms: 30.0,
        mix: &[
            (0.8, lookup("tlmocnik", "interpreter-register", "/interpreters/sk-uk", 2_500)),
            (0.2, batch_lookup("interpreters", "interpreter-register", "/interpreters/all")),
        ],
    },
];

/// Workload of the job centres' meeting deployment.
pub const TIMELITEN: &[ServiceWork] = &[
    ServiceWork {
        service: "slot-search",
        median_ms: 25.0,
        mix: &[(1.0, lookup("timeliten", "slot-search", "/slots/majorstuen", 1_500))],
    },
    ServiceWork {
        service: "booking",
        median_ms: 35.0,
        mix: &[
            (0.6, lookup("timeliten", "booking", "/bookings/7", 2_000)),
            (0.4, booking("timeliten", "booking", "/bookings")),
        ],
    },
    ServiceWork {
        service: "centre-calendars",
        median_ms: 30.0,
        mix: &[
            (0.6, lookup("timeliten", "centre-calendars", "/calendars/majorstuen", 2_000)),
            (0.4, batch_lookup("job-centres", "centre-calendars", "/calendars/all")),
        ],
    },
];

const fn lookup(
    customer: &'static str,
    service: &'static str,
    path: &'static str,
    deadline_ms: u64,
) -> Operation {
    Operation {
        customer,
        api_key: None,
        service,
        method: "GET",
        path,
        class: Class::Interactive,
        non_idempotent: false,
        deadline_ms,
        rate_per_s: 0.0,
    }
}

const fn booking(customer: &'static str, service: &'static str, path: &'static str) -> Operation {
    let lookup = lookup(customer, service, path, 4_000);
    Operation { method: "POST", non_idempotent: true, ..lookup }
}

const fn batch_lookup(
    customer: &'static str,
    service: &'static str,
    path: &'static str,
) -> Operation {
    let lookup = lookup(customer, service, path, 10_000);
    Operation { class: Class::Batch, ..lookup }
}

/// Returns the operations with rates that occupy the share `load` of the slots, from 0 to 1.
pub fn operations(work: &[ServiceWork], config: &Config, load: f64) -> Vec<Operation> {
    work.iter()
        .flat_map(|work| {
            let rate_per_s = load * capacity_per_s(work, config);
            work.mix.iter().map(move |(share, operation)| Operation {
                rate_per_s: rate_per_s * share,
                ..operation.clone()
            })
        })
        .collect()
}

/// Returns the requests per second that keep all slots of a service busy.
fn capacity_per_s(work: &ServiceWork, config: &Config) -> f64 {
    let slots: u32 = config
        .service(work.service)
        .map(|service| service.endpoints.iter().map(|endpoint| endpoint.slots).sum())
        .unwrap_or(0);
    let mean_ms = work.median_ms * (SIGMA * SIGMA / 2.0).exp();
    f64::from(slots) * 1_000.0 / mean_ms
}
