//! A partition of the fleet while both sides serve, and its healing, against
//! the same load without one.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use serde::Serialize;

use super::{
    options::Options,
    owners::{Look, OwnerWatch, whole_after},
    table::{Table, ratio},
    trial::{Outcome, Trial, TrialSettings},
};
use crate::{daemon::DaemonBinary, link::LinkFaults, runtime};

/// Part of the time at which the partition begins, and that for which it lasts.
const BEGIN: f64 = 0.25;
const LAST: f64 = 0.375;
/// Time allowed for the fleet to come together after the load.
const REST: Duration = Duration::from_secs(10);

#[derive(Debug, Serialize)]
struct Report {
    experiment: &'static str,
    seed: u64,
    vms: usize,
    baseline: Outcome,
    partitioned: Outcome,
    goodput_ratio: f64,
    added_p99_ratio: f64,
    /// Length of the partition.
    partition_ms: u64,
    /// Time until a shard had an owner on each side.
    both_sides_own_after_ms: Option<u64>,
    /// Time from the healing until all agree for good.
    whole_after_ms: Option<u64>,
}

struct Partition {
    begin: Instant,
    heal: Instant,
    looks: Vec<Look>,
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Returns an error if the fleet does not serve.
pub(super) fn run(options: Options) -> anyhow::Result<ExitCode> {
    let settings = TrialSettings { seed: options.seed, ..TrialSettings::default() };
    let report = runtime::run(measure(settings, &options))?;
    let columns = [("baseline", &report.baseline), ("partitioned", &report.partitioned)];
    let mut table = Table::of_outcomes(&columns);
    table.note("goodput ratio", format!("{:.4}", report.goodput_ratio));
    table.note("added p99 ratio", format!("{:.2}", report.added_p99_ratio));
    table.note("partition ms", report.partition_ms.to_string());
    table.note("both sides own after ms", optional(report.both_sides_own_after_ms));
    table.note("whole again after ms", optional(report.whole_after_ms));
    table.print();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    let clean = report.partitioned.counts.is_clean() && report.whole_after_ms.is_some();
    Ok(if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure(settings: TrialSettings, options: &Options) -> anyhow::Result<Report> {
    let binary = DaemonBinary::find(options.log_directory.clone())?;
    let baseline = Trial::undisturbed(&binary, settings).await?;
    let mut trial = Trial::start(&binary, settings).await?;
    let (partitioned, partition) = trial
        .run(async |deployment, fleet, links| {
            let shards = deployment.shards();
            let watch = OwnerWatch::start(fleet.admin_addresses(), shards);
            tokio::time::sleep(settings.duration.mul_f64(BEGIN)).await;
            let begin = Instant::now();
            links.partition(settings.vms, settings.vms / 2);
            tokio::time::sleep(settings.duration.mul_f64(LAST)).await;
            let heal = Instant::now();
            links.set_all(LinkFaults::default());
            tokio::time::sleep(settings.duration.mul_f64(1.0 - BEGIN - LAST) + REST).await;
            Ok(Partition { begin, heal, looks: watch.looks() })
        })
        .await?;
    let during = |look: &&Look| (partition.begin..partition.heal).contains(&look.at);
    let shared = partition.looks.iter().filter(during).find(|look| look.shared > 0);
    Ok(Report {
        experiment: "partition",
        seed: settings.seed,
        vms: settings.vms,
        goodput_ratio: ratio(partitioned.goodput, baseline.goodput),
        added_p99_ratio: ratio(partitioned.added.p99_ms, baseline.added.p99_ms),
        baseline,
        partitioned,
        partition_ms: millis(partition.heal - partition.begin),
        both_sides_own_after_ms: shared.map(|look| millis(look.at - partition.begin)),
        whole_after_ms: whole_after(&partition.looks, partition.heal).map(millis),
    })
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn optional(value: Option<u64>) -> String {
    value.map_or("never".to_owned(), |value| value.to_string())
}
