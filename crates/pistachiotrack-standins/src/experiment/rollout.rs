//! Configurations published while datagrams are lost, while the service goes
//! away and while it is stale, against the same with a whole network.

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

/// Configurations published in each case.
const ROUNDS: usize = 8;
/// Share of the datagrams lost.
const DROP_SHARE: f64 = 0.2;
/// Time allowed for a configuration to be in force everywhere.
const LIMIT: Duration = Duration::from_secs(30);
/// Time for which VMs are watched for going back to an older configuration.
const WATCH: Duration = Duration::from_secs(5);
/// Time between two looks at the VMs.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Times until configurations were in force on all VMs.
#[derive(Debug, Serialize)]
struct Spread {
    median_ms: u64,
    max_ms: u64,
    platform_calls: u64,
}

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    seed: u64,
    vms: usize,
    /// Nothing goes wrong.
    baseline: Spread,
    /// Datagrams are lost.
    lossy: Spread,
    /// The service goes away once one VM has the configuration.
    away: Spread,
    lossy_ratio: f64,
    away_ratio: f64,
    /// Time until a VM that starts while the service is stale has the newest.
    stale_start_ms: u64,
    /// Looks at which a VM held an older configuration than before.
    reverts: u64,
    /// VMs that did not say what is wrong with an invalid configuration.
    silent_about_invalid: usize,
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Returns an error if a configuration is not in force everywhere in time.
pub(super) fn run(options: Options) -> anyhow::Result<ExitCode> {
    let settings = TrialSettings { seed: options.seed, vms: 12, ..TrialSettings::default() };
    let report = runtime::run(measure(settings, &options))?;
    let mut table = Table::default();
    let cells = |cells: [&str; 3]| cells.map(str::to_owned).to_vec();
    table.row("in force everywhere", cells(["median ms", "max ms", "platform calls"]));
    let cases = [("baseline", &report.baseline), ("lossy", &report.lossy), ("away", &report.away)];
    for (name, spread) in cases {
        let Spread { median_ms, max_ms, platform_calls } = spread;
        table.row(name, [median_ms, max_ms, platform_calls].map(u64::to_string).to_vec());
    }
    table.note("lossy against baseline", format!("{:.2}", report.lossy_ratio));
    table.note("away against baseline", format!("{:.2}", report.away_ratio));
    table.note("start while stale ms", report.stale_start_ms.to_string());
    table.note("reverts", report.reverts.to_string());
    table.note("silent about invalid", report.silent_about_invalid.to_string());
    table.print();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    let clean = report.reverts + report.silent_about_invalid as u64 == 0;
    Ok(if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(settings: TrialSettings, options: &Options) -> anyhow::Result<Report> {
    let binary = DaemonBinary::find(options.log_directory.clone())?;
    let mut trial = Trial::start(&binary, settings).await?;
    let mut config = trial.deployment.config.clone();
    let baseline = spread(&mut trial, &mut config, false).await?;
    trial.links.set_all(LinkFaults { drop_share: DROP_SHARE, ..LinkFaults::default() });
    let lossy = spread(&mut trial, &mut config, false).await?;
    trial.links.set_all(LinkFaults::default());
    let away = spread(&mut trial, &mut config, true).await?;
    let (stale_start, reverts) = stale(&mut trial, config.version).await?;
    let silent_about_invalid = invalid(&mut trial, config.version).await?;
    Ok(Report {
        experiment: "rollout",
        seed: settings.seed,
        vms: settings.vms,
        lossy_ratio: ratio(lossy.median_ms as f64, baseline.median_ms as f64),
        away_ratio: ratio(away.median_ms as f64, baseline.median_ms as f64),
        baseline,
        lossy,
        away,
        stale_start_ms: millis(stale_start),
        reverts,
        silent_about_invalid,
    })
}

/// Publishes some configurations and takes the times until all VMs have them.
async fn spread(trial: &mut Trial, config: &mut Config, away: bool) -> anyhow::Result<Spread> {
    let calls = trial.deployment.platform.calls();
    let mut times_ms = Vec::new();
    for _ in 0..ROUNDS {
        config.version += 1;
        config.entry_lifetime_ms = if config.version.is_multiple_of(2) { 4_000 } else { 5_000 };
        let start = Instant::now();
        trial.deployment.platform.publish(config)?;
        if away {
            wait_for_first(trial, config.version).await?;
            trial.deployment.platform.set_availability(Availability::Refusing);
        }
        wait_for_all(trial, config.version).await?;
        times_ms.push(millis(start.elapsed()));
        trial.deployment.platform.set_availability(Availability::Up);
    }
    times_ms.sort_unstable();
    Ok(Spread {
        median_ms: times_ms[times_ms.len() / 2],
        max_ms: times_ms[times_ms.len() - 1],
        platform_calls: trial.deployment.platform.calls() - calls,
    })
}

async fn wait_for_all(trial: &mut Trial, version: u64) -> anyhow::Result<Duration> {
    let holds = |status: &Status| status.config_version == Some(version);
    trial.fleet.wait_until(&format!("version {version}"), LIMIT, holds).await
}

async fn wait_for_first(trial: &Trial, version: u64) -> anyhow::Result<()> {
    let start = Instant::now();
    while !trial.fleet.statuses().await.iter().any(|it| it.config_version == Some(version)) {
        anyhow::ensure!(start.elapsed() < LIMIT, "no VM has version {version}");
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Serves the configuration before the newest, starts a VM anew meanwhile, and
/// counts the looks at which a VM has gone back.
async fn stale(trial: &mut Trial, version: u64) -> anyhow::Result<(Duration, u64)> {
    trial.deployment.platform.set_stale(true);
    let vm = trial.fleet.daemons()[0].settings().vm.clone();
    let mut daemon = trial.fleet.take(&vm)?;
    daemon.kill().await?;
    let start = Instant::now();
    trial.fleet.replace(daemon.settings().clone()).await?;
    let mut reverts = 0;
    let mut started = None;
    while start.elapsed() < WATCH {
        for status in trial.fleet.statuses().await {
            let newest = status.config_version == Some(version);
            match status.vm.as_str() == vm {
                true if newest => started = started.or(Some(start.elapsed())),
                true => reverts += u64::from(started.is_some()),
                false => reverts += u64::from(!newest),
            }
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    wait_for_all(trial, version).await?;
    let started = started.unwrap_or(start.elapsed());
    trial.deployment.platform.set_stale(false);
    Ok((started, reverts))
}

/// Publishes a value that is no configuration; returns how many of the VMs that
/// watch the service don't show it, 0 as soon as one does.
async fn invalid(trial: &mut Trial, version: u64) -> anyhow::Result<usize> {
    trial.deployment.platform.publish_bytes(version + 1, b"{\"version\": \"x\"}".to_vec());
    let start = Instant::now();
    while start.elapsed() < WATCH {
        let statuses = trial.fleet.statuses().await;
        anyhow::ensure!(
            statuses.iter().all(|status| status.config_version == Some(version)),
            "an invalid configuration is in force"
        );
        if statuses.iter().any(|status| status.config_error.is_some()) {
            return Ok(0);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Ok(trial.settings.vms)
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
