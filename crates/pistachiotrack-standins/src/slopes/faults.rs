//! Costs of faults in one deployment: messages, reads, time to converge.

use std::{sync::Arc, time::Duration};

use pistachiotrack_core::time::Time;

use super::{
    fleet::{Fleet, FleetSettings, Traffic},
    members::{self, CONVERGENCE_TIME, LOSS, platform_reads_per_deployment},
    report::{Figure, Report},
    sample, scale,
};

/// Number of VMs that share a switch.
const RACK_VMS: usize = 8;
/// Duration of a network partition.
const PARTITION_TIME: Duration = Duration::from_secs(180);
const MINUTE: Duration = Duration::from_secs(60);
/// Time after which waiting for a fleet to converge ends.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(300);

/// Adds all measurements of this module to the report.
pub(crate) fn measure(report: &mut Report) {
    measure_vm_loss(report, "one_vm", |index| index == 5);
    measure_vm_loss(report, "rack", |index| index < RACK_VMS);
    measure_vm_loss(report, "data_centre", |index| index % scale::DATA_CENTRES_PER_DEPLOYMENT == 0);
    measure_partition(report);
    measure_cold_start(report);
}

fn fleet() -> Fleet {
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let mut fleet = members::fleet(vms, platform_reads_per_deployment(), 31);
    fleet.run_for(CONVERGENCE_TIME);
    fleet
}

fn seconds(time: Option<Duration>) -> f64 {
    time.unwrap_or(CONVERGENCE_LIMIT).as_secs_f64()
}

/// Returns the bytes per second of one VM between two traffic totals.
fn rate(before: Traffic, after: Traffic, vms: usize, time_s: f64) -> f64 {
    (after.datagram_bytes - before.datagram_bytes) as f64 / vms as f64 / time_s
}

fn add_figure(report: &mut Report, name: &str, unit: &str, value: f64) {
    report.figures.push(Figure::new(name, unit, value));
}

/// Runs until a minute after `start` and adds the mean rate of that minute.
fn add_minute(
    report: &mut Report,
    name: &str,
    fleet: &mut Fleet,
    start: TrafficSnapshot,
    vms: usize,
) {
    let passed = fleet.now.since(start.now);
    fleet.run_for(MINUTE.saturating_sub(passed));
    let time_s = fleet.now.since(start.now).as_secs_f64();
    let bytes = rate(start.traffic, fleet.traffic(), vms, time_s);
    let figure = Figure::new(&format!("fault.{name}.bytes_per_vm.minute"), "B/s", bytes);
    report.figures.push(figure.with_budget(scale::TRAFFIC_BUDGET_BYTES_PER_S));
}

/// A point in time and the traffic until then.
#[derive(Clone, Copy)]
struct TrafficSnapshot {
    now: Time,
    traffic: Traffic,
}

impl TrafficSnapshot {
    fn of(fleet: &Fleet) -> TrafficSnapshot {
        TrafficSnapshot { now: fleet.now, traffic: fleet.traffic() }
    }
}

/// Measures VMs that stop at the same time and are replaced together.
fn measure_vm_loss(report: &mut Report, name: &str, chosen: impl Fn(usize) -> bool) {
    let mut fleet = fleet();
    let vms = fleet.nodes.len();
    let lost: Vec<usize> = (0..vms).filter(|index| chosen(*index)).collect();
    let before = TrafficSnapshot::of(&fleet);
    for index in &lost {
        fleet.nodes[*index].is_running = false;
    }
    let detected_s = seconds(fleet.run_until(CONVERGENCE_LIMIT, Fleet::has_converged));
    let bytes = rate(before.traffic, fleet.traffic(), vms - lost.len(), detected_s);
    add_figure(report, &format!("fault.{name}.settled"), "s", detected_s);
    add_figure(report, &format!("fault.{name}.bytes_per_vm"), "B/s", bytes);
    add_minute(report, name, &mut fleet, before, vms - lost.len());
    let before = TrafficSnapshot::of(&fleet);
    let reads = fleet.platform.reads;
    for index in &lost {
        fleet.replace(*index);
    }
    let replaced_s = seconds(fleet.run_until(CONVERGENCE_LIMIT, |fleet| {
        fleet.has_converged() && fleet.has_active_version(1)
    }));
    let bytes = rate(before.traffic, fleet.traffic(), vms, replaced_s);
    add_figure(report, &format!("fault.{name}.replaced.settled"), "s", replaced_s);
    add_figure(report, &format!("fault.{name}.replaced.bytes_per_vm"), "B/s", bytes);
    add_minute(report, &format!("{name}.replaced"), &mut fleet, before, vms);
    let reads = (fleet.platform.reads - reads) as f64;
    add_figure(report, &format!("fault.{name}.replaced.reads"), "reads", reads);
}

/// Measures a data centre that is partitioned from the others for minutes, then reconnected.
fn measure_partition(report: &mut Report) {
    let mut fleet = fleet();
    let vms = fleet.nodes.len();
    let before = fleet.traffic();
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.partition = u8::from(index % scale::DATA_CENTRES_PER_DEPLOYMENT == 0);
    }
    let detected = fleet.run_until(CONVERGENCE_LIMIT, Fleet::has_converged);
    add_figure(report, "fault.cut.settled", "s", seconds(detected));
    fleet.run_for(PARTITION_TIME.saturating_sub(detected.unwrap_or(PARTITION_TIME)));
    let bytes = rate(before, fleet.traffic(), vms, PARTITION_TIME.as_secs_f64());
    add_figure(report, "fault.cut.bytes_per_vm", "B/s", bytes);
    let before = TrafficSnapshot::of(&fleet);
    for node in &mut fleet.nodes {
        node.partition = 0;
    }
    let healed_s = seconds(fleet.run_until(CONVERGENCE_LIMIT, Fleet::has_converged));
    add_figure(report, "fault.cut.healed", "s", healed_s);
    let bytes = rate(before.traffic, fleet.traffic(), vms, healed_s);
    add_figure(report, "fault.cut.healed.bytes_per_vm", "B/s", bytes);
    add_minute(report, "cut.healed", &mut fleet, before, vms);
}

/// Measures all VMs of a deployment starting at once, with the deployment's share of the platform's
/// reads and a full-size value.
fn measure_cold_start(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let mut fleet = Fleet::start(FleetSettings {
        vms,
        loss: LOSS,
        platform_reads_per_s: platform_reads_per_deployment(),
        value: Arc::from(sample::json(&config)),
        seed: 37,
    });
    let activated = fleet.run_until(CONVERGENCE_LIMIT, |fleet| fleet.has_active_version(1));
    add_figure(report, "fault.cold_start.in_force", "s", seconds(activated));
    add_figure(report, "fault.cold_start.reads", "reads", fleet.platform.reads as f64);
    add_figure(report, "fault.cold_start.list_reads", "reads", fleet.platform.list_reads as f64);
    let peak = fleet.platform.busiest_second() as f64 * scale::deployments();
    let peak = Figure::new("fault.cold_start.all.busiest_second", "reads", peak);
    report.figures.push(peak.with_budget(scale::PLATFORM_READS_PER_S));
    let traffic = fleet.traffic();
    let per_vm = traffic.pull_bytes as f64 / vms as f64;
    add_figure(report, "fault.cold_start.pull_bytes_per_vm", "B", per_vm);
    let converged = fleet.run_until(CONVERGENCE_LIMIT, Fleet::has_converged);
    let converged_s = seconds(activated) + seconds(converged);
    add_figure(report, "fault.cold_start.settled", "s", converged_s);
}
