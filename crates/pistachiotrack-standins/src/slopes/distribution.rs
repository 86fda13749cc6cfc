//! Costs of configuration distribution: changes, watches, time to activation.

use std::{sync::Arc, time::Duration};

use pistachiotrack_core::config::Config;

use super::{
    fit::Point,
    fleet::{Fleet, FleetSettings},
    members::{CONVERGENCE_TIME, LOSS, platform_reads_per_deployment},
    meter::median,
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Fleet sizes at which reads are measured.
const FLEETS: [usize; 4] = [12, 24, 48, 96];
/// Numbers of changes published during one measurement.
const CHANGES: [u64; 3] = [1, 3, 5];
/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(15);
/// Time over which reads are counted.
const READ_COUNT_TIME: Duration = Duration::from_secs(200);
/// Number of changes whose time to activation is measured.
const TIMED_CHANGES: u64 = 6;

/// Adds all measurements of this module to the report.
pub(crate) fn measure(report: &mut Report) {
    measure_reads(report);
    measure_change_bytes(report);
    measure_activation_time(report);
}

fn fleet(size: Size, seed: u64) -> (Fleet, Config) {
    let config = sample::config(size);
    let settings = FleetSettings {
        vms: size.vms,
        loss: LOSS,
        platform_reads_per_s: platform_reads_per_deployment(),
        value: Arc::from(sample::json(&config)),
        seed,
    };
    let mut fleet = Fleet::start(settings);
    fleet.run_for(CONVERGENCE_TIME);
    assert!(fleet.has_active_version(1), "every VM has the first value after {CONVERGENCE_TIME:?}");
    (fleet, config)
}

/// Publishes the next version, in which one contract differs.
fn publish(fleet: &mut Fleet, config: &mut Config) {
    config.version += 1;
    let changed = config.version as usize % config.customers.len();
    config.customers[changed].contracts[0].slots += 1;
    fleet.publish(config.version, Arc::from(sample::json(config)));
}

/// Measures the reads per second and the pending watches of one deployment.
fn measure_reads(report: &mut Report) {
    let mut rates = Vec::new();
    let mut watches = Vec::new();
    for vms in FLEETS {
        let shape = Size { vms, services: 3, endpoints: 34, routes: 10, customers: 10 };
        let (mut fleet, _) = fleet(shape, 5);
        let before = fleet.platform.reads;
        fleet.run_for(READ_COUNT_TIME);
        let reads = (fleet.platform.reads - before) as f64;
        let size = vms as f64;
        rates.push(Point { size, value: reads / READ_COUNT_TIME.as_secs_f64() });
        watches.push(Point { size, value: fleet.platform.pending_watches() as f64 });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("spread.reads", "VMs", "1/s", sizes, rates));
    report.costs.push(Cost::new("spread.watches", "VMs", "", sizes, watches));
}

/// Measures the bytes per change: read from the platform and pulled from peers.
fn measure_change_bytes(report: &mut Report) {
    let mut platform = Vec::new();
    let mut pulls = Vec::new();
    let mut watcher = Vec::new();
    for count in CHANGES {
        let (mut fleet, mut config) = fleet(scale::deployment(), 5);
        let before: Vec<_> = fleet.nodes.iter().map(|node| node.traffic).collect();
        for _ in 0..count {
            publish(&mut fleet, &mut config);
            fleet.run_for(CHANGE_INTERVAL);
        }
        assert!(fleet.has_active_version(config.version), "every change is active");
        let difference = |from: u64, to: u64| (to - from) as f64;
        let read: Vec<f64> = fleet
            .nodes
            .iter()
            .zip(&before)
            .map(|(node, before)| difference(before.platform_bytes, node.traffic.platform_bytes))
            .collect();
        let pulled: f64 = fleet
            .nodes
            .iter()
            .zip(&before)
            .map(|(node, before)| difference(before.pull_bytes, node.traffic.pull_bytes))
            .sum();
        let size = count as f64;
        platform.push(Point { size, value: read.iter().sum() });
        watcher.push(Point { size, value: read.iter().copied().fold(0.0, f64::max) });
        pulls.push(Point { size, value: pulled / fleet.nodes.len() as f64 });
    }
    let sizes = (scale::per_deployment(scale::CHANGES_PER_DAY), scale::CHANGES_PER_DAY);
    let mut cost = |name: &str, points: Vec<Point>| {
        report.costs.push(Cost::new(name, "changes", "B", sizes, points));
    };
    cost("spread.platform_bytes.fleet", platform);
    cost("spread.platform_bytes.watcher", watcher);
    cost("spread.pull_bytes.vm", pulls);
}

/// Measures the time from publication until a change is active on every VM.
fn measure_activation_time(report: &mut Report) {
    let limit = Duration::from_secs_f64(scale::ACTIVATION_BUDGET_S * 6.0);
    let mut times = Vec::new();
    let (mut fleet, mut config) = fleet(scale::deployment(), 23);
    for _ in 0..TIMED_CHANGES {
        publish(&mut fleet, &mut config);
        let version = config.version;
        let time =
            fleet.run_until(limit, |fleet| fleet.has_active_version(version)).unwrap_or(limit);
        times.push(time.as_secs_f64());
        fleet.run_for(CHANGE_INTERVAL);
    }
    let slowest = times.iter().copied().fold(0.0, f64::max);
    report.figures.push(Figure::new("spread.in_force.median", "s", median(&mut times)));
    let figure = Figure::new("spread.in_force.slowest", "s", slowest);
    report.figures.push(figure.with_budget(scale::ACTIVATION_BUDGET_S));
}
