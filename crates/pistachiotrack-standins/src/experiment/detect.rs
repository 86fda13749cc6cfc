//! Measures detection time and false ejections of the core's health decisions
//! and of baselines under the same load.

use std::{process::ExitCode, time::Duration};

use anyhow::bail;

mod detector;
mod environment;
mod jobs;
mod report;
mod run;

use detector::{Baseline, CoreDetector, Detector};
use environment::Service;

/// Number of VMs for the method in which every VM detects on its own.
const FLEET_VMS: usize = 48;
/// Number of threads that execute runs.
const THREADS: usize = 3;

/// A customer's services and detection sensitivity.
#[derive(Clone, Copy, Debug)]
struct Customer {
    name: &'static str,
    sensitivity: f64,
    services: [Service; 3],
}

const CUSTOMERS: [Customer; 2] = [
    Customer {
        name: "timeliten",
        sensitivity: 0.6,
        services: [
            Service { endpoints: 6, slots: 2, floor: 4 },
            Service { endpoints: 14, slots: 2, floor: 10 },
            Service { endpoints: 14, slots: 2, floor: 10 },
        ],
    },
    Customer {
        name: "tlmocnik",
        sensitivity: 0.2,
        services: [
            Service { endpoints: 6, slots: 3, floor: 4 },
            Service { endpoints: 14, slots: 3, floor: 10 },
            Service { endpoints: 16, slots: 3, floor: 12 },
        ],
    },
];

/// A detection method.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Method {
    /// The core's health decisions at the owner.
    Core,
    /// Five consecutive failures, counted by one VM.
    Consecutive,
    /// Success-rate outliers at fixed intervals, and five consecutive failures.
    Outlier,
    /// The core's health decisions on every VM, each of which has only its own requests.
    EveryVm,
}

impl Method {
    const ALL: [Method; 4] = [Method::Core, Method::Consecutive, Method::Outlier, Method::EveryVm];

    fn as_str(self) -> &'static str {
        match self {
            Method::Core => "core",
            Method::Consecutive => "5 consecutive",
            Method::Outlier => "10 s outlier",
            Method::EveryVm => "every vm",
        }
    }

    fn detectors(self, service: &Service, sensitivity: f64, seed: u64) -> Vec<Box<dyn Detector>> {
        let (endpoints, floor) = (service.endpoints, service.floor);
        match self {
            Method::Core => vec![Box::new(CoreDetector::new(endpoints, floor, sensitivity, seed))],
            Method::Consecutive => vec![Box::new(Baseline::consecutive(endpoints, floor))],
            Method::Outlier => vec![Box::new(Baseline::outlier(endpoints))],
            Method::EveryVm => (0..FLEET_VMS)
                .map(|vm| {
                    let core = CoreDetector::new(endpoints, floor, sensitivity, seed + vm as u64);
                    Box::new(core) as Box<dyn Detector>
                })
                .collect(),
        }
    }

    fn vms(self) -> usize {
        if self == Method::EveryVm { FLEET_VMS } else { 1 }
    }
}

/// The runs to execute.
#[derive(Clone, Debug)]
struct Plan {
    seeds: Vec<u64>,
    methods: Vec<Method>,
    customers: Vec<Customer>,
    /// Duration of the run without a fault per seed and service.
    background_time: Duration,
    /// Number of runs per seed, service and fault.
    fault_runs: u64,
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Returns an error if an argument is invalid.
pub(super) fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<ExitCode> {
    let json = arguments.contains("--json");
    let first_seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let seed_count: u64 = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    let hours: f64 = arguments.opt_value_from_str("--hours")?.unwrap_or(0.25);
    let fault_runs = arguments.opt_value_from_str("--fault-runs")?.unwrap_or(2);
    let customer: Option<String> = arguments.opt_value_from_str("--customer")?;
    let sensitivity: Option<f64> = arguments.opt_value_from_str("--sensitivity")?;
    let core_only = arguments.contains("--core-only");
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments {rest:?}");
    }
    let mut customers = CUSTOMERS.to_vec();
    customers.retain(|candidate| customer.as_ref().is_none_or(|name| candidate.name == name));
    for customer in &mut customers {
        customer.sensitivity = sensitivity.unwrap_or(customer.sensitivity);
    }
    let methods = if core_only { vec![Method::Core] } else { Method::ALL.to_vec() };
    let plan = Plan {
        seeds: (first_seed..first_seed + seed_count).collect(),
        methods,
        customers,
        background_time: Duration::from_secs_f64(hours * 3_600.0),
        fault_runs,
    };
    let results = jobs::run_all(&plan);
    report::print(&plan, &results, json)?;
    Ok(ExitCode::SUCCESS)
}
