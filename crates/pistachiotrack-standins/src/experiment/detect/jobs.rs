//! The runs that the experiment consists of, and what each showed.

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
    run::{self, PROBE, Record},
    world::{Fault, World},
};

/// Time after which a fault that was not found counts as missed.
pub(super) const MISSED_AFTER: Duration = Duration::from_secs(60);
/// Longest time until a fault begins.
const WARM_UP: Duration = Duration::from_secs(30);

/// Runs after which the experiment shows on the standard error that it goes on.
const PROGRESS_EVERY: usize = 100;

/// One run to be done.
#[derive(Clone, Copy, Debug)]
struct Job {
    customer: usize,
    service: usize,
    method: Method,
    fault: Fault,
    seed: u64,
    run: u64,
}

/// What one run showed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Finding {
    pub(super) customer: usize,
    pub(super) method: Method,
    pub(super) fault: Fault,
    pub(super) seed: u64,
    /// Time from the fault to the ejection of its endpoint.
    pub(super) detected_after: Option<Duration>,
    /// Ejections of healthy endpoints, per VM that could eject.
    pub(super) false_ejections: f64,
    pub(super) hours: f64,
    /// Slot time of health checks in parts of all slot time.
    pub(super) probe_share: f64,
    pub(super) failed_share: f64,
}

/// Does all runs of a plan; the result does not depend on the threads.
pub(super) fn run_all(plan: &Plan) -> Vec<Finding> {
    let jobs = jobs(plan);
    let next = AtomicUsize::new(0);
    let findings = Mutex::new(vec![None; jobs.len()]);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { return };
                    if index.is_multiple_of(PROGRESS_EVERY) {
                        eprintln!("detect: run {} of {}", index + 1, jobs.len());
                    }
                    let finding = run_job(plan, job);
                    if let Ok(mut findings) = findings.lock() {
                        findings[index] = Some(finding);
                    }
                }
            });
        }
    });
    findings.into_inner().unwrap_or_default().into_iter().flatten().collect()
}

fn jobs(plan: &Plan) -> Vec<Job> {
    let mut jobs = Vec::new();
    for &seed in &plan.seeds {
        for (customer, known) in plan.customers.iter().enumerate() {
            for service in 0..known.services.len() {
                for &method in &plan.methods {
                    let job = Job { customer, service, method, fault: Fault::None, seed, run: 0 };
                    jobs.push(job);
                    for (_, fault) in Fault::SICK.into_iter().chain(Fault::NOT_SICK) {
                        jobs.extend((0..plan.fault_runs).map(|run| Job { fault, run, ..job }));
                    }
                }
            }
        }
    }
    jobs
}

fn run_job(plan: &Plan, job: &Job) -> Finding {
    let customer = &plan.customers[job.customer];
    let service = &customer.services[job.service];
    let seed = job.seed * 1_000_003 + job.service as u64 * 10_007 + job.run * 101;
    let length = match job.fault {
        Fault::None => plan.background,
        _ => WARM_UP + MISSED_AFTER,
    };
    let world = World::new(service, job.fault, seed, length);
    let detectors = job.method.detectors(service, customer.sensitivity, seed);
    let needed = job.method.vms().div_ceil(2);
    let is_sick = Fault::SICK.iter().any(|(_, fault)| *fault == job.fault);
    let stop = is_sick.then_some(needed);
    let record = run::run(service, &world, detectors, length, seed, stop);
    let slot_time = record.length.as_secs_f64() * (service.endpoints * service.slots) as f64;
    Finding {
        customer: job.customer,
        method: job.method,
        fault: job.fault,
        seed: job.seed,
        detected_after: record.found_at.map(|at| at.since(world.fault_start)),
        false_ejections: false_ejections(&record, &world, is_sick) / job.method.vms() as f64,
        hours: record.length.as_secs_f64() / 3_600.0,
        probe_share: record.probes as f64 * PROBE.as_secs_f64() / slot_time,
        failed_share: record.failed as f64 / record.requests.max(1) as f64,
    }
}

/// Counts ejections of endpoints that had no fault at that time.
fn false_ejections(record: &Record, world: &World, is_sick: bool) -> f64 {
    let healthy = record.ejections.iter().filter(|ejection| {
        !is_sick || ejection.endpoint != world.target || ejection.at < world.fault_start
    });
    healthy.count() as f64
}
