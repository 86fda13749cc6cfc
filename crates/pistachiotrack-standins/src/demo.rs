//! The demo: runs both deployments in their real sizes with a faulty endpoint and a planned
//! stop in each, then rotates an API key and exceeds a rate limit in one, and reports the outcomes
//! that the callers observed.

use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};

use crate::{
    caller::{Caller, Operation},
    daemon::DaemonBinary,
    demo::report::{DeploymentReport, PlannedStop, Report},
    deployment::{Deployment, Kind},
    ejection::EjectionMonitor,
    fault::Faults,
    fleet::{Fleet, stop_gracefully},
    load::{LoadSettings, WorkIds, generate_load},
    runtime,
    workload::operations,
};

mod customers;
mod report;

/// Settings of the demo.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// Number of VMs in each deployment.
    pub vms: usize,
    /// Duration of the load.
    pub duration: Duration,
    /// Share of the slots that the load occupies.
    pub load: f64,
    /// Seed of the load and of the endpoints.
    pub seed: u64,
    /// Directory that the daemons' logs are written to.
    pub log_directory: Option<PathBuf>,
    /// Whether to print the report as JSON in the last line.
    pub json: bool,
}

/// Number of VMs in each deployment of the small demo.
const VMS: usize = 6;
/// Number of VMs in each deployment of the full demo.
const FULL_VMS: usize = 44;
/// Share of the slots that the direct baseline occupies.
const DIRECT_LOAD: f64 = 0.1;
/// Duration of the direct baseline.
const DIRECT_DURATION: Duration = Duration::from_secs(3);
/// Steered callers of each deployment; there is one more that isn't steered.
const CALLERS: usize = 4;
/// Time limit for the daemons to start serving.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Time limit for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);
/// Time after a planned stop at which the platform's list of VMs is updated.
const LIST_LAG: Duration = Duration::from_millis(1_500);

impl Default for DemoSettings {
    fn default() -> DemoSettings {
        DemoSettings {
            vms: VMS,
            duration: Duration::from_secs(20),
            load: 0.6,
            seed: 1,
            log_directory: None,
            json: false,
        }
    }
}

impl DemoSettings {
    /// Parses the settings from the command line.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is unknown or has no valid value.
    pub fn from_arguments(mut arguments: pico_args::Arguments) -> anyhow::Result<DemoSettings> {
        let default = DemoSettings::default();
        let vms = if arguments.contains("--full") { FULL_VMS } else { VMS };
        let settings = DemoSettings {
            vms: arguments.opt_value_from_str("--vms")?.unwrap_or(vms),
            duration: arguments
                .opt_value_from_str("--seconds")?
                .map_or(default.duration, Duration::from_secs),
            load: arguments.opt_value_from_str("--load")?.unwrap_or(default.load),
            seed: arguments.opt_value_from_str("--seed")?.unwrap_or(default.seed),
            log_directory: arguments.opt_value_from_str("--logs")?,
            json: arguments.contains("--json"),
        };
        let rest = arguments.finish();
        anyhow::ensure!(rest.is_empty(), "unexpected arguments {rest:?}");
        anyhow::ensure!(settings.vms >= 2, "--vms must be at least 2");
        anyhow::ensure!(settings.load > 0.0, "--load must be above 0");
        Ok(settings)
    }
}

/// Runs the demo and prints its report.
///
/// # Errors
///
/// Returns an error if a process or server can't be started or a daemon doesn't become ready.
pub fn run(settings: DemoSettings) -> anyhow::Result<ExitCode> {
    let report = runtime::run(measure(&settings))?;
    print!("{report}");
    if settings.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(settings: &DemoSettings) -> anyhow::Result<Report> {
    let binary = DaemonBinary::find(settings.log_directory.clone())?;
    let [left, right] = Kind::ALL;
    let (left, right) = tokio::try_join!(
        measure_deployment(left, &binary, settings),
        measure_deployment(right, &binary, settings)
    )?;
    Ok(Report::new(vec![left, right], settings.vms))
}

async fn measure_deployment(
    kind: Kind,
    binary: &DaemonBinary,
    settings: &DemoSettings,
) -> anyhow::Result<DeploymentReport> {
    let deployment = Deployment::start(kind, settings.seed).await?;
    let mut fleet = Fleet::start(binary, &deployment, settings.vms, None).await?;
    let ready = fleet.wait_until_settled(deployment.shards(), START_LIMIT).await?;
    let load =
        LoadSettings { duration: DIRECT_DURATION, ids: WorkIds::default(), seed: settings.seed };
    let direct = direct_baseline(&deployment, &load).await;

    let mut callers: Vec<Caller> =
        (0..CALLERS).map(|_| Caller::new(fleet.caller_addresses())).collect();
    callers.push(Caller::unsteered(fleet.caller_addresses()));
    let operations = operations(kind.work(), &deployment.config, settings.load);
    let load = LoadSettings { duration: settings.duration, ..load };
    let monitor = EjectionMonitor::start(fleet.admin_addresses());
    let start = Instant::now();
    let (samples, injected) = tokio::join!(
        generate_load(&callers, &operations, load),
        inject_faults(&deployment, &mut fleet, settings.duration)
    );
    let injected = injected?;
    let customers = match kind {
        Kind::Timeliten => Some(customers::demonstrate(&deployment, &mut fleet).await?),
        Kind::Tlmocnik => None,
    };
    Ok(DeploymentReport::new(report::Run {
        deployment: &deployment,
        ready,
        direct,
        samples,
        ejections: monitor.ejections(),
        fault_at: injected.fault_at,
        start,
        end: start + settings.duration,
        stop: injected.stop,
        customers,
    }))
}

/// Sends a small load directly to the endpoints of each service.
async fn direct_baseline(
    deployment: &Deployment,
    load: &LoadSettings,
) -> Vec<crate::caller::Sample> {
    let operations = operations(deployment.kind.work(), &deployment.config, DIRECT_LOAD);
    let mut samples = Vec::new();
    for service in &deployment.config.services {
        let addresses = service.endpoints.iter().map(|endpoint| endpoint.address).collect();
        let service_operations: Vec<Operation> = operations
            .iter()
            .filter(|operation| operation.service == service.name.as_str())
            .cloned()
            .collect();
        let load = LoadSettings {
            duration: load.duration / deployment.config.services.len() as u32,
            ..load.clone()
        };
        samples
            .extend(generate_load(&[Caller::direct(addresses)], &service_operations, load).await);
    }
    samples
}

/// Faults that were injected into a deployment during the load.
struct InjectedFaults {
    fault_at: Instant,
    stop: PlannedStop,
}

/// Injects a gray failure into one endpoint after a quarter of the duration and stops one VM
/// after half of it.
async fn inject_faults(
    deployment: &Deployment,
    fleet: &mut Fleet,
    duration: Duration,
) -> anyhow::Result<InjectedFaults> {
    tokio::time::sleep(duration / 4).await;
    let fault_at = Instant::now();
    deployment.endpoint(faulty_endpoint(deployment.kind))?.set_faults(Faults::gray());
    tokio::time::sleep(duration / 4).await;
    let vm = fleet.busiest().await?;
    let mut daemon = fleet.take(&vm)?;
    let (ended, listed) = tokio::join!(stop_gracefully(&mut daemon, STOP_LIMIT), async {
        tokio::time::sleep(LIST_LAG).await;
        fleet.publish_leaving(deployment, &vm)
    });
    listed?;
    let (status, duration) = ended?;
    let vm = vm.to_string();
    Ok(InjectedFaults { fault_at, stop: PlannedStop { vm, exit_code: status.code(), duration } })
}

/// Returns the endpoint into which the fault is injected.
pub(crate) fn faulty_endpoint(kind: Kind) -> &'static str {
    match kind {
        Kind::Tlmocnik => "availability-calendar-02",
        Kind::Timeliten => "slot-search-03",
    }
}
