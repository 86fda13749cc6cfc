//! The runs of the experiment and their results.

use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use super::{
    Method, Plan, THREADS,
    environment::{Environment, Fault},
    run::{self, Measurements, PROBE_TIME},
};

/// Time after which an undetected fault counts as missed.
pub(super) const DETECTION_LIMIT: Duration = Duration::from_secs(60);
/// Longest time until a fault begins.
const MAX_FAULT_START: Duration = Duration::from_secs(30);
/// Number of runs between two progress messages on standard error.
const PROGRESS_INTERVAL: usize = 100;

/// One run to execute.
#[derive(Clone, Copy, Debug)]
struct Job {
    customer: usize,
    service: usize,
    method: Method,
    fault: Fault,
    seed: u64,
    run: u64,
}

/// Result of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunResult {
    pub(super) customer: usize,
    pub(super) method: Method,
    pub(super) fault: Fault,
    pub(super) seed: u64,
    /// Time from the fault to the ejection of its endpoint.
    pub(super) detected_after: Option<Duration>,
    /// Ejections of healthy endpoints, per VM that could eject.
    pub(super) false_ejections: f64,
    pub(super) hours: f64,
    /// Slot time of health checks as a fraction of all slot time.
    pub(super) probe_share: f64,
    pub(super) failed_share: f64,
}

/// Executes all runs of a plan; the results don't depend on the number of threads.
pub(super) fn run_all(plan: &Plan) -> Vec<RunResult> {
    let jobs = jobs(plan);
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![None; jobs.len()]);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { return };
                    if index.is_multiple_of(PROGRESS_INTERVAL) {
                        eprintln!("detect: run {} of {}", index + 1, jobs.len());
                    }
                    let result = run_job(plan, job);
                    if let Ok(mut results) = results.lock() {
                        results[index] = Some(result);
                    }
                }
            });
        }
    });
    results.into_inner().unwrap_or_default().into_iter().flatten().collect()
}

fn jobs(plan: &Plan) -> Vec<Job> {
    let mut jobs = Vec::new();
    for &seed in &plan.seeds {
        for (customer, config) in plan.customers.iter().enumerate() {
            for service in 0..config.services.len() {
                for &method in &plan.methods {
                    let job = Job { customer, service, method, fault: Fault::None, seed, run: 0 };
                    jobs.push(job);
                    for (_, fault) in Fault::EJECTABLE.into_iter().chain(Fault::NOT_EJECTABLE) {
                        jobs.extend((0..plan.fault_runs).map(|run| Job { fault, run, ..job }));
                    }
                }
            }
        }
    }
    jobs
}

fn run_job(plan: &Plan, job: &Job) -> RunResult {
    let customer = &plan.customers[job.customer];
    let service = &customer.services[job.service];
    let seed = job.seed * 1_000_003 + job.service as u64 * 10_007 + job.run * 101;
    let length = match job.fault {
        Fault::None => plan.background_time,
        _ => MAX_FAULT_START + DETECTION_LIMIT,
    };
    let environment = Environment::new(service, job.fault, seed, length);
    let detectors = job.method.detectors(service, customer.sensitivity, seed);
    let majority = job.method.vms().div_ceil(2);
    let is_ejectable = Fault::EJECTABLE.iter().any(|(_, fault)| *fault == job.fault);
    let stop_after_vms = is_ejectable.then_some(majority);
    let measurements = run::run(service, &environment, detectors, length, seed, stop_after_vms);
    let slot_time = measurements.length.as_secs_f64() * (service.endpoints * service.slots) as f64;
    RunResult {
        customer: job.customer,
        method: job.method,
        fault: job.fault,
        seed: job.seed,
        detected_after: measurements.detected_at.map(|at| at.since(environment.fault_start)),
        false_ejections: false_ejections(&measurements, &environment, is_ejectable)
            / job.method.vms() as f64,
        hours: measurements.length.as_secs_f64() / 3_600.0,
        probe_share: measurements.probes as f64 * PROBE_TIME.as_secs_f64() / slot_time,
        failed_share: measurements.failed as f64 / measurements.requests.max(1) as f64,
    }
}

/// Counts ejections of endpoints that had no fault at that time.
fn false_ejections(
    measurements: &Measurements,
    environment: &Environment,
    is_ejectable: bool,
) -> f64 {
    let healthy = measurements.ejections.iter().filter(|ejection| {
        !is_ejectable
            || ejection.endpoint != environment.target
            || ejection.at < environment.fault_start
    });
    healthy.count() as f64
}
