//! VMs that are killed, stopped and paused under load, against the same load with a
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
/// Time for which a VM is paused.
const PAUSE: Duration = Duration::from_millis(2_000);
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
    /// VMs that were paused.
    paused: u32,
    /// Planned stops that did not end with exit code 0.
    unclean_stops: u32,
}

#[derive(Debug, Default)]
struct Churn {
    killed: u32,
    stopped: u32,
    paused: u32,
    unclean_stops: u32,
}

/// What is done to a VM, in turn.
#[derive(Clone, Copy, Debug)]
enum Blow {
    Kill,
    Stop,
    Pause,
}

/// A VM after the blow.
enum After {
    /// It ended; the end may have been clean.
    Gone { settings: DaemonSettings, clean: bool },
    /// It runs on.
    Back(Daemon),
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
    table.note("VMs paused", report.paused.to_string());
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
    let baseline = Trial::undisturbed(&binary, settings).await?;
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
        paused: churn.paused,
        unclean_stops: churn.unclean_stops,
    })
}

/// Strikes VMs in turn; those that end come back with the same addresses.
async fn churn(fleet: &mut Fleet, duration: Duration, seed: u64) -> anyhow::Result<Churn> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut churn = Churn::default();
    let mut blows = [Blow::Kill, Blow::Stop, Blow::Pause].into_iter().cycle();
    let mut going: JoinSet<anyhow::Result<After>> = JoinSet::new();
    let end = tokio::time::Instant::now() + duration;
    let mut next = tokio::time::interval_at(tokio::time::Instant::now() + INTERVAL, INTERVAL);
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(end) => break,
            _ = next.tick(), if fleet.daemons().len() > STAYING => {
                let index = random.random_range(0..fleet.daemons().len());
                let vm = fleet.daemons()[index].settings().vm.clone();
                let daemon = fleet.take(&vm)?;
                let Some(blow) = blows.next() else { break };
                churn.count(blow);
                going.spawn(strike(daemon, blow));
            }
            Some(after) = going.join_next() => {
                match after?? {
                    After::Back(daemon) => fleet.put_back(daemon),
                    After::Gone { settings, clean } => {
                        churn.unclean_stops += u32::from(!clean);
                        fleet.replace(settings).await?;
                    }
                }
            }
        }
    }
    while let Some(after) = going.join_next().await {
        if let After::Gone { clean: false, .. } = after?? {
            churn.unclean_stops += 1;
        }
    }
    Ok(churn)
}

impl Churn {
    fn count(&mut self, blow: Blow) {
        match blow {
            Blow::Kill => self.killed += 1,
            Blow::Stop => self.stopped += 1,
            Blow::Pause => self.paused += 1,
        }
    }
}

async fn strike(mut daemon: Daemon, blow: Blow) -> anyhow::Result<After> {
    let settings = daemon.settings().clone();
    match blow {
        Blow::Kill => {
            daemon.kill().await?;
            tokio::time::sleep(REPLACE_AFTER).await;
            Ok(After::Gone { settings, clean: true })
        }
        Blow::Stop => {
            let (status, _) = stop_gracefully(&mut daemon, STOP_LIMIT).await?;
            Ok(After::Gone { settings, clean: status.success() })
        }
        Blow::Pause => {
            daemon.pause();
            tokio::time::sleep(PAUSE).await;
            daemon.resume();
            Ok(After::Back(daemon))
        }
    }
}
