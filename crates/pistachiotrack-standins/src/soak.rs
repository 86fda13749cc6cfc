//! Soak test: runs real daemon processes, injects random and overlapping faults from outside,
//! and checks invariants against what callers and endpoints observed.

mod caller;
mod clock;
mod config_changes;
mod customers;
mod environment;
pub mod oracle;
pub mod plan;
mod vms;
mod wire_caller;

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use pistachiotrack_core::{
    request::DEFAULT_MAX_ATTEMPTS,
    rule::RuleAction,
    service::{RetryLimit, Service},
};
use rustc_hash::FxHashMap;
use tokio::{sync::watch, task::JoinSet};

use self::{
    caller::{FAILURE_INTERVAL, PersistentCaller, REQUEST_INTERVAL},
    clock::{RunClock, Stalls},
    environment::Environment,
    oracle::{
        EndpointWork, LoggedRefusals, ObservedVersion, RequestRecord, RunRecord, ServiceArrivals,
        Violation, violations,
    },
    plan::{Event, MAX_PROXIED_VMS, Plan, PlatformFault, Stops},
    vms::VmProcesses,
    wire_caller::{WireCaller, WireForm},
};
use crate::{
    caller::{Caller, Operation, RequestOutcome, Sample},
    daemon::DaemonBinary,
    deployment::{Deployment, Kind},
    endpoint::Endpoint,
    fleet::Fleet,
    link::Links,
    load::{LoadSettings, WorkIds, generate_load},
    runtime,
    work::WorkId,
    work_log::WorkSpan,
    workload::operations,
};

/// Default number of VMs.
const VMS: usize = 6;
/// Default duration of the load, in seconds.
const SECONDS: u64 = 60;
/// Share of the slots that the load uses; low because all processes share one machine.
const LOAD: f64 = 0.04;
/// Retry limit of each service.
const RETRY_LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 8, window_ms: 10_000 };
/// Callers that use the first entry address that a VM returns; one more caller uses the last.
const STEERED_CALLERS: usize = 3;
/// VMs that have a caller with a persistent connection.
const PERSISTENT_CALLERS: usize = 24;
/// Time limit for all VMs to start serving.
const START_LIMIT: Duration = Duration::from_secs(120);
/// Wait after the load for requests that an endpoint would begin to run late.
const LATE_EXECUTION_WAIT: Duration = Duration::from_secs(3);
/// Largest number of violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 10;
/// Time in which a VM gets its lease back after it couldn't reach the platform.
const LEASE_RETURN_MS: u64 = 3_000;
/// Time that the daemon has for a stop by default.
const DEFAULT_STOP_GRACE_MS: u64 = 36_000;
/// Callers that only send requests which must not be repeated, for each VM that has a caller with a
/// persistent connection.
const BOOKING_CALLERS: usize = 2;
/// Reason of a refusal by a VM that is stopping.
const STOPPING: &str = "stopping";
/// Default directory for plans and logs.
const DIRECTORY: &str = "target/soak";

/// Settings of a soak test.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// First seed.
    pub seed: u64,
    /// Number of seeds, one after the other.
    pub seeds: u64,
    /// Number of VMs.
    pub vms: usize,
    /// Duration of each run's load.
    pub seconds: u64,
    /// Whether plans have stops in series and no faults.
    pub stops: bool,
    /// Daemon to run instead of the one of this build.
    pub daemon: Option<PathBuf>,
    /// Plan file to run instead of a plan generated from the seed.
    pub plan: Option<PathBuf>,
    /// Directory for plans and logs.
    pub directory: PathBuf,
    /// Whether to print the plans without running them.
    pub show: bool,
}

impl SoakSettings {
    /// Parses the settings from the command line.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is unknown or has no valid value.
    pub fn from_arguments(mut arguments: pico_args::Arguments) -> anyhow::Result<SoakSettings> {
        let settings = SoakSettings {
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
            seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(1),
            vms: arguments.opt_value_from_str("--vms")?.unwrap_or(VMS),
            seconds: arguments.opt_value_from_str("--seconds")?.unwrap_or(SECONDS),
            stops: arguments.contains("--stops"),
            daemon: arguments.opt_value_from_str("--daemon")?,
            plan: arguments.opt_value_from_str("--plan")?,
            directory: arguments
                .opt_value_from_str("--logs")?
                .unwrap_or_else(|| PathBuf::from(DIRECTORY)),
            show: arguments.contains("--show"),
        };
        let rest = arguments.finish();
        anyhow::ensure!(rest.is_empty(), "unknown option {:?}", rest[0]);
        anyhow::ensure!(settings.vms > 0, "--vms must be above 0");
        anyhow::ensure!(settings.seconds > 0, "--seconds must be above 0");
        Ok(settings)
    }
}

/// Result of a run.
struct RunResult {
    requests: usize,
    served: usize,
    /// Requests that were refused as not run since their VM was stopping.
    refused_by_stops: usize,
    starts: usize,
    descriptors: (usize, usize),
    /// Time for which this process was held up.
    stalled_ms: u64,
    violations: Vec<Violation>,
}

/// Runs the requested seeds and prints one line for each; the exit code is 1 if an invariant
/// was violated.
///
/// # Errors
///
/// Returns an error if a run can't be set up.
pub fn run(settings: &SoakSettings) -> anyhow::Result<ExitCode> {
    let mut failed = 0;
    for seed in settings.seed..settings.seed + settings.seeds {
        let plan = plan(settings, seed)?;
        if settings.show {
            println!("{}", serde_json::to_string_pretty(&plan)?);
            continue;
        }
        let directory = settings.directory.join(format!("seed-{}", plan.seed));
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(&directory)?;
        fs::write(directory.join("plan.json"), serde_json::to_vec_pretty(&plan)?)?;
        let binary = match &settings.daemon {
            Some(daemon) => DaemonBinary::at(daemon.clone(), Some(directory.clone()))?,
            None => DaemonBinary::find(Some(directory.clone()))?,
        };
        let result = runtime::run(run_plan(&plan, binary, &directory))?;
        print(&plan, &result, &directory);
        failed += u64::from(!result.violations.is_empty());
    }
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

fn plan(settings: &SoakSettings, seed: u64) -> anyhow::Result<Plan> {
    let services = Kind::Timeliten.config()?.services;
    let endpoints = services.iter().map(|service| service.endpoints.len()).sum();
    match &settings.plan {
        Some(file) => Plan::read(file, endpoints),
        None if settings.stops => Ok(Plan::of_stops(seed, settings.vms, settings.seconds)),
        None => Ok(Plan::new(seed, settings.vms, settings.seconds, endpoints)),
    }
}

fn print(plan: &Plan, result: &RunResult, directory: &Path) {
    let RunResult {
        requests,
        served,
        refused_by_stops,
        starts,
        descriptors,
        stalled_ms,
        violations,
    } = result;
    println!(
        "seed={} vms={} dispatchers={} steps={} requests={requests} served={served} \
         refused_by_stops={refused_by_stops} starts={starts} \
         descriptors_before={} descriptors_after={} stalled_ms={stalled_ms} broken={}",
        plan.seed,
        plan.vms,
        plan.dispatchers_per_data_centre,
        plan.steps.len(),
        descriptors.0,
        descriptors.1,
        violations.len()
    );
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
    if violations.len() > MAX_PRINTED_VIOLATIONS {
        println!("  and {} more", violations.len() - MAX_PRINTED_VIOLATIONS);
    }
    if !violations.is_empty() {
        println!("  plan and logs: {}", directory.display());
    }
}

async fn run_plan(
    plan: &Plan,
    binary: DaemonBinary,
    directory: &Path,
) -> anyhow::Result<RunResult> {
    let mut deployment = Deployment::start(Kind::Timeliten, plan.seed).await?;
    for service in &mut deployment.config.services {
        service.dispatchers_per_data_centre = plan.dispatchers_per_data_centre;
        // Lets several endpoints leave at the same time.
        service.floor = service.floor.min(1);
        service.retry_limit = Some(RETRY_LIMIT);
    }
    for rule in &mut deployment.config.rules {
        if let RuleAction::Route(route) = &mut rule.then {
            route.attempts = Some(max_attempts(plan));
        }
    }
    customers::require_api_keys(&mut deployment.config)?;
    deployment.key_max_age_s = Some(customers::KEY_MAX_AGE_S);
    if let Some(Stops { grace_s, entry_lifetime_ms, entry_drain_ms }) = plan.stops {
        deployment.stop_grace_s = Some(f64::from(grace_s));
        deployment.entry_drain_ms = Some(entry_drain_ms);
        deployment.config.entry_lifetime_ms = entry_lifetime_ms;
    }
    deployment.config.version += 1;
    deployment.platform.publish(&deployment.config)?;
    let links = Links::new(plan.seed);
    let proxied_links = (plan.vms <= MAX_PROXIED_VMS).then_some(&links);
    let mut fleet = Fleet::start(&binary, &deployment, plan.vms, proxied_links).await?;
    let serves = |status: &pistachiotrack_core::admin::Status| {
        status.state.as_str() == "serving" && status.config_version.is_some()
    };
    fleet.wait_until("all VMs serve", START_LIMIT, serves).await?;
    let addresses = fleet.caller_addresses();
    let clock = RunClock::start();
    let names: Vec<String> =
        fleet.daemons().iter().map(|daemon| daemon.settings().vm.clone()).collect();
    let daemons = names.iter().map(|vm| fleet.take(vm)).collect::<anyhow::Result<_>>()?;
    let vms = VmProcesses::new(daemons, binary, clock, stop_grace_ms(plan));
    let descriptors_before = vms.descriptors().into_iter().max().unwrap_or(0);
    let ids = WorkIds::default();
    let environment =
        Environment::new(deployment, vms.clone(), links, clock, addresses.clone(), ids.clone());
    let environment = Arc::new(environment);

    let versions: Arc<Mutex<Vec<ObservedVersion>>> = Arc::default();
    let stalls: Arc<Stalls> = Arc::default();
    let mut watchers = JoinSet::new();
    watchers.spawn(clock.watch_stalls(Arc::clone(&stalls)));
    for vm in 0..plan.vms {
        watchers.spawn(vms.clone().supervise(vm));
        watchers.spawn(vms.clone().watch_version(vm, Arc::clone(&versions)));
    }
    let mut steps = JoinSet::new();
    for step in plan.steps.clone() {
        let (environment, vms) = (Arc::clone(&environment), plan.vms);
        steps.spawn(async move { environment.run_step(&step, vms).await });
    }
    let mut requests = load(plan, &environment, addresses, clock, ids).await;
    let end_ms = clock.now_ms();
    while steps.join_next().await.is_some() {}
    tokio::time::sleep(LATE_EXECUTION_WAIT).await;
    let descriptors_after = vms.descriptors().into_iter().max().unwrap_or(0);
    watchers.shutdown().await;

    requests.sort_by_key(|request| request.sent_ms);
    let (published, leaving_periods) = environment.operator_actions();
    let (taken_keys, flood) = environment.customer_observations();
    let (rate_limit_periods, crash_runs_ms) = environment.endpoint_observations();
    let execution_counter = &environment.deployment.execution_counter;
    let logged_refusals = read_logged_refusals(directory, names)?;
    let record = RunRecord {
        executions: requests
            .iter()
            .map(|it| it.id)
            .chain(taken_keys.iter().flat_map(|key| &key.requests).map(|(id, _)| *id))
            .chain(flood.iter().map(|(id, _)| *id))
            .map(|id| (id, execution_counter.executions(id)))
            .collect(),
        service_arrivals: service_arrivals(&environment.deployment, clock),
        endpoint_work: endpoint_work(&environment.deployment, clock),
        stop_grace_ms: stop_grace_ms(plan),
        scaled_timeouts: environment.scaled_timeouts(),
        max_attempts: max_attempts(plan),
        taken_keys,
        key_limit_ms: (customers::KEY_MAX_AGE_S * 1_000.0) as u64,
        stale_platform: faults(plan, |event| {
            matches!(event, Event::PlatformFault { fault: PlatformFault::Stale, .. })
        }),
        flood,
        flood_window_limit: customers::flood_window_limit(),
        versions: versions.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        published,
        leaving_periods,
        rate_limit_periods,
        notice_periods: environment.notice_periods(),
        endpoint_cuts: environment.endpoint_cuts(),
        platform_cuts: platform_cuts(plan),
        crash_runs_ms,
        processes: vms.processes(),
        faults: faults(plan, |_| true),
        stalls: stalls.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        vm_faults: faults(plan, |event| !matches!(event, Event::CrashingRequest { .. })),
        logged_refusals,
        end_ms,
        requests,
    };
    Ok(RunResult {
        requests: record.requests.len(),
        served: record
            .requests
            .iter()
            .filter(|request| request.outcome == RequestOutcome::Ok)
            .count(),
        refused_by_stops: record
            .requests
            .iter()
            .filter(|request| {
                request.outcome == RequestOutcome::RefusedNotRun
                    && request.reason.as_deref() == Some(STOPPING)
            })
            .count(),
        starts: record.processes.len(),
        descriptors: (descriptors_before, descriptors_after),
        stalled_ms: record.stalls.iter().map(|(from_ms, until_ms)| until_ms - from_ms).sum(),
        violations: violations(&record),
    })
}

/// Returns the attempts that a request may have: as many as an owner's requests have by default, and
/// the fewest that allow a retry elsewhere.
fn max_attempts(plan: &Plan) -> u32 {
    match plan.dispatchers_per_data_centre {
        0 => DEFAULT_MAX_ATTEMPTS,
        _ => 2,
    }
}

/// Returns the arrivals at the endpoints of each service.
fn service_arrivals(deployment: &Deployment, clock: RunClock) -> Vec<ServiceArrivals> {
    let of_service = |service: &Service| {
        let is_of_service = |endpoint: &&Endpoint| {
            service.endpoints.iter().any(|it| it.address == endpoint.address())
        };
        let endpoints = deployment.endpoints.iter().filter(is_of_service);
        let mut arrivals_ms: Vec<(u64, WorkId)> = endpoints
            .flat_map(Endpoint::work_arrivals)
            .map(|(at, id)| (clock.ms(at), id))
            .collect();
        arrivals_ms.sort_unstable_by_key(|(at_ms, _)| *at_ms);
        let service = service.name.to_string();
        ServiceArrivals { service, limit: RETRY_LIMIT, arrivals_ms }
    };
    deployment.config.services.iter().map(of_service).collect()
}

/// Returns the time that each request spent at endpoints.
fn endpoint_work(deployment: &Deployment, clock: RunClock) -> FxHashMap<WorkId, Vec<EndpointWork>> {
    let mut work: FxHashMap<WorkId, Vec<EndpointWork>> = FxHashMap::default();
    for span in deployment.endpoints.iter().flat_map(Endpoint::work_spans) {
        let WorkSpan { id, arrived, ended, is_answered } = span;
        let (from_ms, until_ms) = (clock.ms(arrived), ended.map(|ended| clock.ms(ended)));
        work.entry(id).or_default().push(EndpointWork { from_ms, until_ms, is_answered });
    }
    work
}

fn stop_grace_ms(plan: &Plan) -> u64 {
    plan.stops.map_or(DEFAULT_STOP_GRACE_MS, |stops| u64::from(stops.grace_s) * 1_000)
}

fn read_logged_refusals(directory: &Path, vms: Vec<String>) -> anyhow::Result<LoggedRefusals> {
    let mut logged = LoggedRefusals { vms, ..LoggedRefusals::default() };
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            logged.read(&String::from_utf8_lossy(&fs::read(path)?));
        }
    }
    Ok(logged)
}

/// Returns the start and end times of the plan's faults whose event matches `counts`.
fn faults(plan: &Plan, counts: impl Fn(&Event) -> bool) -> Vec<(u64, u64)> {
    let fault = |step: &plan::Step| Some((step.at_ms, step.at_ms + step.event.fault_ms()?));
    plan.steps.iter().filter(|step| counts(&step.event)).filter_map(fault).collect()
}

/// Returns the periods in which VMs can't reach the platform, with the time after them in which
/// they may still have no lease.
fn platform_cuts(plan: &Plan) -> Vec<(u64, u64)> {
    let cut = |step: &plan::Step| match step.event {
        Event::CutOffPlatform { for_ms, .. } => {
            Some((step.at_ms, step.at_ms + for_ms + LEASE_RETURN_MS))
        }
        _ => None,
    };
    plan.steps.iter().filter_map(cut).collect()
}

/// Sends requests for the plan's duration and returns their records.
async fn load(
    plan: &Plan,
    environment: &Environment,
    addresses: Vec<std::net::SocketAddr>,
    clock: RunClock,
    ids: WorkIds,
) -> Vec<RequestRecord> {
    let operations = operations(Kind::Timeliten.work(), &environment.deployment.config, LOAD);
    let open_loop = operations.clone();
    let operations = Arc::new(operations);
    let (stop, stopped) = watch::channel(false);
    let mut persistent = JoinSet::new();
    for (vm, address) in addresses.iter().copied().enumerate().take(PERSISTENT_CALLERS) {
        let caller = PersistentCaller {
            vm,
            address,
            operations: Arc::clone(&operations),
            ids: ids.clone(),
            clock,
            failure_interval: REQUEST_INTERVAL,
        };
        persistent.spawn(caller.run(stopped.clone()));
        spawn_late_callers((vm, address), &operations, (&ids, clock), &stopped, &mut persistent);
    }
    let mut callers: Vec<Caller> =
        (0..STEERED_CALLERS).map(|_| Caller::new(addresses.clone())).collect();
    callers.push(Caller::unsteered(addresses));
    let duration = Duration::from_secs(plan.seconds);
    let settings = LoadSettings { duration, ids, seed: plan.seed };
    let samples = generate_load(&callers, &open_loop, settings).await;
    stop.send_replace(true);
    let mut requests: Vec<RequestRecord> =
        samples.iter().map(|sample| request_record(sample, clock)).collect();
    requests.extend(persistent.join_all().await.into_iter().flatten());
    requests
}

/// Starts callers whose requests are late on their connections: behind others, with bodies that
/// arrive slowly, or such that must not be repeated.
fn spawn_late_callers(
    (vm, address): (usize, std::net::SocketAddr),
    operations: &Arc<Vec<Operation>>,
    (ids, clock): (&WorkIds, RunClock),
    stopped: &watch::Receiver<bool>,
    callers: &mut JoinSet<Vec<RequestRecord>>,
) {
    let bookings = operations.iter().filter(|operation| operation.non_idempotent);
    let bookings: Arc<Vec<Operation>> = Arc::new(bookings.cloned().collect());
    for (form, operations) in [(WireForm::Pipelined, operations), (WireForm::SlowBody, &bookings)] {
        let (operations, ids) = (Arc::clone(operations), ids.clone());
        let caller = WireCaller { vm, address, form, operations, ids, clock };
        callers.spawn(caller.run(stopped.clone()));
    }
    for _ in 0..BOOKING_CALLERS {
        let (operations, ids) = (Arc::clone(&bookings), ids.clone());
        let failure_interval = FAILURE_INTERVAL;
        let caller = PersistentCaller { vm, address, operations, ids, clock, failure_interval };
        callers.spawn(caller.run(stopped.clone()));
    }
}

fn request_record(sample: &Sample, clock: RunClock) -> RequestRecord {
    let sent_ms = clock.ms(sample.sent);
    RequestRecord {
        id: sample.id,
        service: sample.service,
        non_idempotent: sample.non_idempotent,
        vm: None,
        deadline_ms: sample.deadline_ms,
        sent_ms,
        whole_ms: Some(sent_ms),
        behind_until_ms: None,
        ended_ms: sent_ms + sample.latency_us / 1_000,
        outcome: sample.outcome,
        reason: sample.reason.clone(),
        request_id: sample.request_id.clone(),
    }
}
