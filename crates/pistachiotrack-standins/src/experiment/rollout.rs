//! Compares the rollout of configurations while datagrams are lost, while the
//! platform's service is unavailable and while it is stale with a rollout without faults.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use pistachiotrack_core::{admin::Status, config::Config};
use serde::Serialize;

use super::{
    options::Options,
    table::{Table, ratio},
    trial::{Trial, TrialSettings},
};
use crate::{daemon::DaemonBinary, link::LinkFaults, platform::Availability, runtime};

/// Number of configurations published in each case.
const CONFIGS_PER_CASE: usize = 8;
/// Fraction of the datagrams lost.
const DROP_SHARE: f64 = 0.2;
/// Time within which a configuration must be active on all VMs.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(30);
/// Time for which VMs are checked for a return to an older configuration.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Time between two polls of the VMs.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Times until configurations were active on all VMs.
#[derive(Debug, Serialize)]
struct ActivationTimes {
    median_ms: u64,
    max_ms: u64,
    platform_calls: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    seed: u64,
    vms: usize,
    /// No faults.
    baseline: ActivationTimes,
    /// Datagrams are lost.
    lossy: ActivationTimes,
    /// The platform's service becomes unavailable once one VM has the configuration.
    #[serde(rename = "away")]
    unavailable: ActivationTimes,
    lossy_ratio: f64,
    #[serde(rename = "away_ratio")]
    unavailable_ratio: f64,
    /// Time until a VM that starts while the service is stale has the newest configuration.
    stale_start_ms: u64,
    /// Number of polls in which a VM had an older configuration than before.
    reverts: u64,
    /// Number of VMs that did not report the error of an invalid configuration.
    #[serde(rename = "silent_about_invalid")]
    vms_without_config_error: usize,
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Returns an error if a configuration does not become active on all VMs in time.
pub(super) fn run(options: Options) -> anyhow::Result<ExitCode> {
    let settings = TrialSettings { seed: options.seed, vms: 12, ..TrialSettings::default() };
    let report = runtime::run(measure(settings, &options))?;
    let mut table = Table::default();
    let cells = |cells: [&str; 3]| cells.map(str::to_owned).to_vec();
    table.add_row("in force everywhere", cells(["median ms", "max ms", "platform calls"]));
    let cases =
        [("baseline", &report.baseline), ("lossy", &report.lossy), ("away", &report.unavailable)];
    for (name, times) in cases {
        let ActivationTimes { median_ms, max_ms, platform_calls } = times;
        table.add_row(name, [median_ms, max_ms, platform_calls].map(u64::to_string).to_vec());
    }
    table.add_note("lossy against baseline", format!("{:.2}", report.lossy_ratio));
    table.add_note("away against baseline", format!("{:.2}", report.unavailable_ratio));
    table.add_note("start while stale ms", report.stale_start_ms.to_string());
    table.add_note("reverts", report.reverts.to_string());
    table.add_note("silent about invalid", report.vms_without_config_error.to_string());
    table.print();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    let is_clean = report.reverts + report.vms_without_config_error as u64 == 0;
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(settings: TrialSettings, options: &Options) -> anyhow::Result<Report> {
    let binary = DaemonBinary::find(options.log_directory.clone())?;
    let mut trial = Trial::start(&binary, settings).await?;
    let mut config = trial.deployment.config.clone();
    let baseline = measure_activation(&mut trial, &mut config, false).await?;
    trial.links.set_all(LinkFaults { drop_share: DROP_SHARE, ..LinkFaults::default() });
    let lossy = measure_activation(&mut trial, &mut config, false).await?;
    trial.links.set_all(LinkFaults::default());
    let unavailable = measure_activation(&mut trial, &mut config, true).await?;
    let (stale_start, reverts) = measure_stale_platform(&mut trial, config.version).await?;
    let vms_without_config_error = measure_invalid_config(&mut trial, config.version).await?;
    Ok(Report {
        experiment: "rollout",
        seed: settings.seed,
        vms: settings.vms,
        lossy_ratio: ratio(lossy.median_ms as f64, baseline.median_ms as f64),
        unavailable_ratio: ratio(unavailable.median_ms as f64, baseline.median_ms as f64),
        baseline,
        lossy,
        unavailable,
        stale_start_ms: millis(stale_start),
        reverts,
        vms_without_config_error,
    })
}

/// Publishes some configurations and measures the times until all VMs have them.
async fn measure_activation(
    trial: &mut Trial,
    config: &mut Config,
    platform_fails: bool,
) -> anyhow::Result<ActivationTimes> {
    let calls_before = trial.deployment.platform.calls();
    let mut times_ms = Vec::new();
    for _ in 0..CONFIGS_PER_CASE {
        config.version += 1;
        config.entry_lifetime_ms = if config.version.is_multiple_of(2) { 4_000 } else { 5_000 };
        let start = Instant::now();
        trial.deployment.platform.publish(config)?;
        if platform_fails {
            wait_for_first(trial, config.version).await?;
            trial.deployment.platform.set_availability(Availability::Refusing);
        }
        wait_for_all(trial, config.version).await?;
        times_ms.push(millis(start.elapsed()));
        trial.deployment.platform.set_availability(Availability::Up);
    }
    times_ms.sort_unstable();
    Ok(ActivationTimes {
        median_ms: times_ms[times_ms.len() / 2],
        max_ms: times_ms[times_ms.len() - 1],
        platform_calls: trial.deployment.platform.calls() - calls_before,
    })
}

async fn wait_for_all(trial: &mut Trial, version: u64) -> anyhow::Result<Duration> {
    let is_active = |status: &Status| status.config_version == Some(version);
    trial.fleet.wait_until(&format!("version {version}"), ACTIVATION_LIMIT, is_active).await
}

async fn wait_for_first(trial: &Trial, version: u64) -> anyhow::Result<()> {
    let start = Instant::now();
    while !trial.fleet.statuses().await.iter().any(|status| status.config_version == Some(version))
    {
        anyhow::ensure!(start.elapsed() < ACTIVATION_LIMIT, "no VM has version {version}");
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Serves the configuration before the newest, restarts a VM meanwhile, and counts the polls in
/// which a VM has returned to an older configuration.
async fn measure_stale_platform(
    trial: &mut Trial,
    version: u64,
) -> anyhow::Result<(Duration, u64)> {
    trial.deployment.platform.set_stale(true);
    let vm = trial.fleet.daemons()[0].settings().vm.clone();
    let mut daemon = trial.fleet.take(&vm)?;
    daemon.kill().await?;
    let start = Instant::now();
    trial.fleet.replace(daemon.settings().clone()).await?;
    let mut reverts = 0;
    let mut up_to_date_after = None;
    while start.elapsed() < OBSERVATION_TIME {
        for status in trial.fleet.statuses().await {
            let has_newest = status.config_version == Some(version);
            match status.vm.as_str() == vm {
                true if has_newest => up_to_date_after = up_to_date_after.or(Some(start.elapsed())),
                true => reverts += u64::from(up_to_date_after.is_some()),
                false => reverts += u64::from(!has_newest),
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    wait_for_all(trial, version).await?;
    let up_to_date_after = up_to_date_after.unwrap_or(start.elapsed());
    trial.deployment.platform.set_stale(false);
    Ok((up_to_date_after, reverts))
}

/// Publishes a value that is not a valid configuration. Returns 0 as soon as one VM reports the
/// error, and the number of VMs if none does in time.
async fn measure_invalid_config(trial: &mut Trial, version: u64) -> anyhow::Result<usize> {
    trial.deployment.platform.publish_bytes(version + 1, b"{\"version\": \"x\"}".to_vec());
    let start = Instant::now();
    while start.elapsed() < OBSERVATION_TIME {
        let statuses = trial.fleet.statuses().await;
        anyhow::ensure!(
            statuses.iter().all(|status| status.config_version == Some(version)),
            "an invalid configuration is active"
        );
        if statuses.iter().any(|status| status.config_error.is_some()) {
            return Ok(0);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(trial.settings.vms)
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
