//! Compares a fleet whose VMs are killed, stopped and paused under load with the
//! same load on an undisturbed fleet.

use std::{process::ExitCode, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use tokio::task::JoinSet;

use super::{
    options::Options,
    table::{Table, ratio},
    trial::{Trial, TrialResult, TrialSettings},
};
use crate::{
    daemon::{Daemon, DaemonBinary, DaemonSettings},
    fleet::{Fleet, stop_gracefully},
    runtime,
};

/// Time between two disruptions.
const DISRUPTION_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time until a killed VM's replacement starts.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(500);
/// Number of VMs that are always left running.
const MIN_RUNNING_VMS: usize = 3;
/// Time for which a VM is paused.
const PAUSE_TIME: Duration = Duration::from_millis(2_000);
/// Time allowed for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    seed: u64,
    vms: usize,
    baseline: TrialResult,
    churned: TrialResult,
    goodput_ratio: f64,
    added_p99_ratio: f64,
    /// Number of VMs that were killed.
    killed: u32,
    /// Number of VMs that were stopped gracefully.
    stopped: u32,
    /// Number of VMs that were paused.
    paused: u32,
    /// Number of planned stops that did not end with exit code 0.
    unclean_stops: u32,
}

#[derive(Debug, Default)]
struct DisruptionCounts {
    killed: u32,
    stopped: u32,
    paused: u32,
    unclean_stops: u32,
}

/// A disruption of a VM; the kinds take turns.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    Kill,
    Stop,
    Pause,
}

/// State of a VM after a disruption.
enum DisruptedVm {
    /// It has exited.
    Exited { settings: DaemonSettings, is_clean: bool },
    /// It is still running.
    Running(Daemon),
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Returns an error if the fleet does not serve requests.
pub(super) fn run(options: Options) -> anyhow::Result<ExitCode> {
    let settings = TrialSettings {
        seed: options.seed,
        vms: 8,
        duration: Duration::from_secs(25),
        ..TrialSettings::default()
    };
    let report = runtime::run(measure(settings, &options))?;
    let mut table =
        Table::from_results(&[("baseline", &report.baseline), ("churned", &report.churned)]);
    table.add_note("goodput ratio", format!("{:.4}", report.goodput_ratio));
    table.add_note("added p99 ratio", format!("{:.2}", report.added_p99_ratio));
    table.add_note("VMs killed", report.killed.to_string());
    table.add_note("VMs stopped", report.stopped.to_string());
    table.add_note("VMs paused", report.paused.to_string());
    table.add_note("unclean stops", report.unclean_stops.to_string());
    table.print();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    // A killed VM closes the connections of its requests in flight, so callers lose some requests
    // whatever the fleet does.
    let counts = &report.churned.counts;
    let violations = counts.doubled + counts.wrong_answer + counts.false_not_run;
    let is_clean = violations == 0 && report.unclean_stops == 0;
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(settings: TrialSettings, options: &Options) -> anyhow::Result<Report> {
    let binary = DaemonBinary::find(options.log_directory.clone())?;
    let baseline = Trial::run_baseline(&binary, settings).await?;
    let mut trial = Trial::start(&binary, settings).await?;
    let (churned, disruptions) = trial
        .run(async |_, fleet, _| disrupt_vms(fleet, settings.duration, settings.seed).await)
        .await?;
    Ok(Report {
        experiment: "churn",
        seed: settings.seed,
        vms: settings.vms,
        goodput_ratio: ratio(churned.goodput, baseline.goodput),
        added_p99_ratio: ratio(churned.added.p99_ms, baseline.added.p99_ms),
        baseline,
        churned,
        killed: disruptions.killed,
        stopped: disruptions.stopped,
        paused: disruptions.paused,
        unclean_stops: disruptions.unclean_stops,
    })
}

/// Disrupts random VMs until `duration` has passed; VMs that exit before are replaced at the same
/// addresses.
async fn disrupt_vms(
    fleet: &mut Fleet,
    duration: Duration,
    seed: u64,
) -> anyhow::Result<DisruptionCounts> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut counts = DisruptionCounts::default();
    let mut disruptions =
        [Disruption::Kill, Disruption::Stop, Disruption::Pause].into_iter().cycle();
    let mut in_progress: JoinSet<anyhow::Result<DisruptedVm>> = JoinSet::new();
    let end = tokio::time::Instant::now() + duration;
    let mut next = tokio::time::interval_at(
        tokio::time::Instant::now() + DISRUPTION_INTERVAL,
        DISRUPTION_INTERVAL,
    );
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(end) => break,
            _ = next.tick(), if fleet.daemons().len() > MIN_RUNNING_VMS => {
                let index = random.random_range(0..fleet.daemons().len());
                let vm = fleet.daemons()[index].settings().vm.clone();
                let daemon = fleet.take(&vm)?;
                let Some(disruption) = disruptions.next() else { break };
                counts.record(disruption);
                in_progress.spawn(disrupt(daemon, disruption));
            }
            Some(vm) = in_progress.join_next() => {
                match vm?? {
                    DisruptedVm::Running(daemon) => fleet.put_back(daemon),
                    DisruptedVm::Exited { settings, is_clean } => {
                        counts.unclean_stops += u32::from(!is_clean);
                        fleet.replace(settings).await?;
                    }
                }
            }
        }
    }
    while let Some(vm) = in_progress.join_next().await {
        if let DisruptedVm::Exited { is_clean: false, .. } = vm?? {
            counts.unclean_stops += 1;
        }
    }
    Ok(counts)
}

impl DisruptionCounts {
    fn record(&mut self, disruption: Disruption) {
        match disruption {
            Disruption::Kill => self.killed += 1,
            Disruption::Stop => self.stopped += 1,
            Disruption::Pause => self.paused += 1,
        }
    }
}

async fn disrupt(mut daemon: Daemon, disruption: Disruption) -> anyhow::Result<DisruptedVm> {
    let settings = daemon.settings().clone();
    match disruption {
        Disruption::Kill => {
            daemon.kill().await?;
            tokio::time::sleep(REPLACEMENT_DELAY).await;
            Ok(DisruptedVm::Exited { settings, is_clean: true })
        }
        Disruption::Stop => {
            let (status, _) = stop_gracefully(&mut daemon, STOP_TIMEOUT).await?;
            Ok(DisruptedVm::Exited { settings, is_clean: status.success() })
        }
        Disruption::Pause => {
            daemon.pause();
            tokio::time::sleep(PAUSE_TIME).await;
            daemon.resume();
            Ok(DisruptedVm::Running(daemon))
        }
    }
}
