//! Compares a network partition of the fleet, in which both sides serve, and
//! its healing with the same load without a partition.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use serde::Serialize;

use super::{
    options::Options,
    ownership_monitor::{OwnershipMonitor, OwnershipSample, time_to_convergence},
    table::{Table, ratio},
    trial::{Trial, TrialResult, TrialSettings},
};
use crate::{daemon::DaemonBinary, link::LinkFaults, runtime};

/// Start and duration of the partition as fractions of the trial's duration.
const START_FRACTION: f64 = 0.25;
const DURATION_FRACTION: f64 = 0.375;
/// Time allowed for the fleet to converge after the load.
const CONVERGENCE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    seed: u64,
    vms: usize,
    baseline: TrialResult,
    partitioned: TrialResult,
    goodput_ratio: f64,
    added_p99_ratio: f64,
    /// Length of the partition.
    partition_ms: u64,
    /// Time until a shard had an owner on each side.
    both_sides_own_after_ms: Option<u64>,
    /// Time from the healing until the fleet stays converged.
    #[serde(rename = "whole_after_ms")]
    converged_after_ms: Option<u64>,
}

struct PartitionRun {
    started_at: Instant,
    healed_at: Instant,
    samples: Vec<OwnershipSample>,
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Returns an error if the fleet does not serve requests.
pub(super) fn run(options: Options) -> anyhow::Result<ExitCode> {
    let settings = TrialSettings { seed: options.seed, ..TrialSettings::default() };
    let report = runtime::run(measure(settings, &options))?;
    let columns = [("baseline", &report.baseline), ("partitioned", &report.partitioned)];
    let mut table = Table::from_results(&columns);
    table.add_note("goodput ratio", format!("{:.4}", report.goodput_ratio));
    table.add_note("added p99 ratio", format!("{:.2}", report.added_p99_ratio));
    table.add_note("partition ms", report.partition_ms.to_string());
    table.add_note("both sides own after ms", format_optional(report.both_sides_own_after_ms));
    table.add_note("whole again after ms", format_optional(report.converged_after_ms));
    table.print();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    let is_clean = report.partitioned.counts.is_clean() && report.converged_after_ms.is_some();
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(settings: TrialSettings, options: &Options) -> anyhow::Result<Report> {
    let binary = DaemonBinary::find(options.log_directory.clone())?;
    let baseline = Trial::run_baseline(&binary, settings).await?;
    let mut trial = Trial::start(&binary, settings).await?;
    let (partitioned, partition) = trial
        .run(async |deployment, fleet, links| {
            let shards = deployment.shards();
            let monitor = OwnershipMonitor::start(fleet.admin_addresses(), shards);
            tokio::time::sleep(settings.duration.mul_f64(START_FRACTION)).await;
            let started_at = Instant::now();
            links.partition(settings.vms, settings.vms / 2);
            tokio::time::sleep(settings.duration.mul_f64(DURATION_FRACTION)).await;
            let healed_at = Instant::now();
            links.set_all(LinkFaults::default());
            tokio::time::sleep(
                settings.duration.mul_f64(1.0 - START_FRACTION - DURATION_FRACTION)
                    + CONVERGENCE_TIME,
            )
            .await;
            Ok(PartitionRun { started_at, healed_at, samples: monitor.samples() })
        })
        .await?;
    let during = |sample: &&OwnershipSample| {
        (partition.started_at..partition.healed_at).contains(&sample.at)
    };
    let first_shared =
        partition.samples.iter().filter(during).find(|sample| sample.shared_shards > 0);
    Ok(Report {
        experiment: "partition",
        seed: settings.seed,
        vms: settings.vms,
        goodput_ratio: ratio(partitioned.goodput, baseline.goodput),
        added_p99_ratio: ratio(partitioned.added.p99_ms, baseline.added.p99_ms),
        baseline,
        partitioned,
        partition_ms: millis(partition.healed_at - partition.started_at),
        both_sides_own_after_ms: first_shared
            .map(|sample| millis(sample.at - partition.started_at)),
        converged_after_ms: time_to_convergence(&partition.samples, partition.healed_at)
            .map(millis),
    })
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn format_optional(value: Option<u64>) -> String {
    value.map_or("never".to_owned(), |value| value.to_string())
}
