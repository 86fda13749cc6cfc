//! Costs of the configuration's spread: changes, watches, time to be in force.

use std::{sync::Arc, time::Duration};

use pistachiotrack_core::config::Config;

use super::{
    fit::Point,
    fleet::{Fleet, FleetSettings},
    members::{LOSS, SETTLE, platform_share},
    meter::median,
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Fleets whose reads are measured.
const FLEETS: [usize; 4] = [12, 24, 48, 96];
/// Changes within the time of one measurement.
const CHANGES: [u64; 3] = [1, 3, 5];
/// Time between two changes.
const BETWEEN: Duration = Duration::from_secs(15);
/// Time over which reads are counted.
const STEADY: Duration = Duration::from_secs(200);
/// Changes of one deployment whose time to be in force is measured.
const TIMED_CHANGES: u64 = 6;

/// Measures all of them.
pub(crate) fn measure(report: &mut Report) {
    reads(report);
    changes(report);
    time_in_force(report);
}

fn fleet(size: Size, seed: u64) -> (Fleet, Config) {
    let config = sample::config(size);
    let settings = FleetSettings {
        vms: size.vms,
        loss: LOSS,
        platform_reads_per_s: platform_share(),
        value: Arc::from(sample::json(&config)),
        seed,
    };
    let mut fleet = Fleet::start(settings);
    fleet.run(SETTLE);
    assert!(fleet.in_force(1), "every VM has the first value after {SETTLE:?}");
    (fleet, config)
}

/// Publishes the next version, in which one contract differs.
fn publish(fleet: &mut Fleet, config: &mut Config) {
    config.version += 1;
    let changed = config.version as usize % config.customers.len();
    config.customers[changed].contracts[0].slots += 1;
    fleet.publish(config.version, Arc::from(sample::json(config)));
}

/// Reads a second and waiting watches of one deployment.
fn reads(report: &mut Report) {
    let mut rates = Vec::new();
    let mut waiting = Vec::new();
    for vms in FLEETS {
        let shape = Size { vms, services: 3, endpoints: 34, routes: 10, customers: 10 };
        let (mut fleet, _) = fleet(shape, 5);
        let before = fleet.platform.reads;
        fleet.run(STEADY);
        let reads = (fleet.platform.reads - before) as f64;
        let size = vms as f64;
        rates.push(Point { size, value: reads / STEADY.as_secs_f64() });
        waiting.push(Point { size, value: fleet.platform.waiting() as f64 });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("spread.reads", "VMs", "1/s", sizes, rates));
    report.costs.push(Cost::new("spread.watches", "VMs", "", sizes, waiting));
}

/// Bytes for each change, by who gets them from where.
fn changes(report: &mut Report) {
    let mut platform = Vec::new();
    let mut pulls = Vec::new();
    let mut worst = Vec::new();
    for count in CHANGES {
        let (mut fleet, mut config) = fleet(scale::deployment(), 5);
        let before: Vec<_> = fleet.nodes.iter().map(|node| node.traffic).collect();
        for _ in 0..count {
            publish(&mut fleet, &mut config);
            fleet.run(BETWEEN);
        }
        assert!(fleet.in_force(config.version), "every change is in force");
        let change = |from: u64, to: u64| (to - from) as f64;
        let read: Vec<f64> = fleet
            .nodes
            .iter()
            .zip(&before)
            .map(|(node, before)| change(before.platform_bytes, node.traffic.platform_bytes))
            .collect();
        let pulled: f64 = fleet
            .nodes
            .iter()
            .zip(&before)
            .map(|(node, before)| change(before.pull_bytes, node.traffic.pull_bytes))
            .sum();
        let size = count as f64;
        platform.push(Point { size, value: read.iter().sum() });
        worst.push(Point { size, value: read.iter().copied().fold(0.0, f64::max) });
        pulls.push(Point { size, value: pulled / fleet.nodes.len() as f64 });
    }
    let sizes = (scale::share(scale::CHANGES_PER_DAY), scale::CHANGES_PER_DAY);
    let mut cost = |name: &str, points: Vec<Point>| {
        report.costs.push(Cost::new(name, "changes", "B", sizes, points));
    };
    cost("spread.platform_bytes.fleet", platform);
    cost("spread.platform_bytes.watcher", worst);
    cost("spread.pull_bytes.vm", pulls);
}

/// Time from publication until a change is in force on every VM.
fn time_in_force(report: &mut Report) {
    let limit = Duration::from_secs_f64(scale::IN_FORCE_BUDGET_S * 6.0);
    let mut times = Vec::new();
    let (mut fleet, mut config) = fleet(scale::deployment(), 23);
    for _ in 0..TIMED_CHANGES {
        publish(&mut fleet, &mut config);
        let version = config.version;
        let time = fleet.run_until(limit, |fleet| fleet.in_force(version)).unwrap_or(limit);
        times.push(time.as_secs_f64());
        fleet.run(BETWEEN);
    }
    let slowest = times.iter().copied().fold(0.0, f64::max);
    report.figures.push(Figure::new("spread.in_force.median", "s", median(&mut times)));
    let figure = Figure::new("spread.in_force.slowest", "s", slowest);
    report.figures.push(figure.within(scale::IN_FORCE_BUDGET_S));
}
