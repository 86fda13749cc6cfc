//! VMs that are killed and replaced under load, against the same load with a
//! quiet fleet.

use std::{process::ExitCode, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::task::JoinSet;

use super::{
    options::Options,
    table::{Table, ratio},
    trial::{Outcome, Trial, TrialSettings},
};
use crate::{
    daemon::{Daemon, DaemonBinary, DaemonSettings},
    fleet::{Fleet, stop_gracefully},
    runtime,
};

/// Time between two VMs that go.
const INTERVAL: Duration = Duration::from_millis(2_500);
/// Time until a killed VM's replacement starts.
const REPLACE_AFTER: Duration = Duration::from_millis(500);
/// VMs that always stay.
const STAYING: usize = 3;
/// Time allowed for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    seed: u64,
    vms: usize,
    baseline: Outcome,
    churned: Outcome,
    goodput_ratio: f64,
    added_p99_ratio: f64,
    /// VMs that were killed.
    killed: u32,
    /// VMs that were stopped gracefully.
    stopped: u32,
    /// Planned stops that did not end with exit code 0.
    unclean_stops: u32,
}

#[derive(Debug, Default)]
struct Churn {
    killed: u32,
    stopped: u32,
    unclean_stops: u32,
}

/// A VM that has gone, and whether its end was clean.
struct Gone {
    settings: DaemonSettings,
    clean: bool,
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Returns an error if the fleet does not serve.
pub(super) fn run(options: Options) -> anyhow::Result<ExitCode> {
    let settings = TrialSettings {
        seed: options.seed,
        vms: 8,
        duration: Duration::from_secs(25),
        ..TrialSettings::default()
    };
    let report = runtime::run(measure(settings, &options))?;
    let mut table =
        Table::of_outcomes(&[("baseline", &report.baseline), ("churned", &report.churned)]);
    table.note("goodput ratio", format!("{:.4}", report.goodput_ratio));
    table.note("added p99 ratio", format!("{:.2}", report.added_p99_ratio));
    table.note("VMs killed", report.killed.to_string());
    table.note("VMs stopped", report.stopped.to_string());
    table.note("unclean stops", report.unclean_stops.to_string());
    table.print();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    // A killed VM takes the requests on its connections with it, so some are
    // lost to their callers whatever the fleet does.
    let counts = &report.churned.counts;
    let harm = counts.doubled + counts.wrong_answer + counts.false_not_run;
    let clean = harm == 0 && report.unclean_stops == 0;
    Ok(if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(settings: TrialSettings, options: &Options) -> anyhow::Result<Report> {
    let binary = DaemonBinary::find(options.log_directory.clone())?;
    let baseline = {
        let mut trial = Trial::start(&binary, settings).await?;
        trial.run(async |_, _, _| Ok(())).await?.0
    };
    let mut trial = Trial::start(&binary, settings).await?;
    let (churned, churn) =
        trial.run(async |_, fleet, _| churn(fleet, settings.duration, settings.seed).await).await?;
    Ok(Report {
        experiment: "churn",
        seed: settings.seed,
        vms: settings.vms,
        goodput_ratio: ratio(churned.goodput, baseline.goodput),
        added_p99_ratio: ratio(churned.added.p99_ms, baseline.added.p99_ms),
        baseline,
        churned,
        killed: churn.killed,
        stopped: churn.stopped,
        unclean_stops: churn.unclean_stops,
    })
}

/// Kills and stops VMs in turn; each comes back with the same addresses.
async fn churn(fleet: &mut Fleet, duration: Duration, seed: u64) -> anyhow::Result<Churn> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut churn = Churn::default();
    let mut going: JoinSet<anyhow::Result<Gone>> = JoinSet::new();
    let end = tokio::time::Instant::now() + duration;
    let mut next = tokio::time::interval_at(tokio::time::Instant::now() + INTERVAL, INTERVAL);
    let mut kill = true;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(end) => break,
            _ = next.tick(), if fleet.daemons().len() > STAYING => {
                let index = random.random_range(0..fleet.daemons().len());
                let vm = fleet.daemons()[index].settings().vm.clone();
                let daemon = fleet.take(&vm)?;
                if kill {
                    churn.killed += 1;
                    going.spawn(killed(daemon));
                } else {
                    churn.stopped += 1;
                    going.spawn(stopped(daemon));
                }
                kill = !kill;
            }
            Some(gone) = going.join_next() => {
                let gone = gone??;
                churn.unclean_stops += u32::from(!gone.clean);
                fleet.replace(gone.settings).await?;
            }
        }
    }
    while let Some(gone) = going.join_next().await {
        churn.unclean_stops += u32::from(!gone??.clean);
    }
    Ok(churn)
}

async fn killed(mut daemon: Daemon) -> anyhow::Result<Gone> {
    daemon.kill().await?;
    tokio::time::sleep(REPLACE_AFTER).await;
    Ok(Gone { settings: daemon.settings().clone(), clean: true })
}

async fn stopped(mut daemon: Daemon) -> anyhow::Result<Gone> {
    let (status, _) = stop_gracefully(&mut daemon, STOP_LIMIT).await?;
    Ok(Gone { settings: daemon.settings().clone(), clean: status.success() })
}
