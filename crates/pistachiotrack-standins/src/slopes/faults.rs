//! What faults cost one deployment: messages, reads, time to settle.

use std::{sync::Arc, time::Duration};

use pistachiotrack_core::time::Time;

use super::{
    fleet::{Fleet, FleetSettings, Traffic},
    members::{self, LOSS, SETTLE, platform_share},
    report::{Figure, Report},
    sample, scale,
};

/// VMs that share a switch.
const RACK_VMS: usize = 8;
/// Time that a part of the network is cut off.
const CUT: Duration = Duration::from_secs(180);
const MINUTE: Duration = Duration::from_secs(60);
/// Time after which a fleet that has not settled is given up.
const LIMIT: Duration = Duration::from_secs(300);

/// Measures all of them.
pub(crate) fn measure(report: &mut Report) {
    lost(report, "one_vm", |index| index == 5);
    lost(report, "rack", |index| index < RACK_VMS);
    lost(report, "data_centre", |index| index % scale::DATA_CENTRES_PER_DEPLOYMENT == 0);
    cut(report);
    cold_start(report);
}

fn fleet() -> Fleet {
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let mut fleet = members::fleet(vms, platform_share(), 31);
    fleet.run(SETTLE);
    fleet
}

fn seconds(time: Option<Duration>) -> f64 {
    time.unwrap_or(LIMIT).as_secs_f64()
}

/// Bytes a second of one VM between two sums of traffic.
fn rate(before: Traffic, after: Traffic, vms: usize, time_s: f64) -> f64 {
    (after.datagram_bytes - before.datagram_bytes) as f64 / vms as f64 / time_s
}

fn push(report: &mut Report, name: &str, unit: &str, value: f64) {
    report.figures.push(Figure::new(name, unit, value));
}

/// Runs on until a minute after `start` and adds the mean of that minute.
fn add_minute(report: &mut Report, name: &str, fleet: &mut Fleet, start: Mark, vms: usize) {
    let passed = fleet.now.since(start.now);
    fleet.run(MINUTE.saturating_sub(passed));
    let time_s = fleet.now.since(start.now).as_secs_f64();
    let bytes = rate(start.traffic, fleet.traffic(), vms, time_s);
    let figure = Figure::new(&format!("fault.{name}.bytes_per_vm.minute"), "B/s", bytes);
    report.figures.push(figure.within(scale::TRAFFIC_BUDGET_BYTES_PER_S));
}

/// A moment and the traffic until then.
#[derive(Clone, Copy)]
struct Mark {
    now: Time,
    traffic: Traffic,
}

impl Mark {
    fn of(fleet: &Fleet) -> Mark {
        Mark { now: fleet.now, traffic: fleet.traffic() }
    }
}

/// VMs stop at once and come back together, replaced.
fn lost(report: &mut Report, name: &str, chosen: impl Fn(usize) -> bool) {
    let mut fleet = fleet();
    let vms = fleet.nodes.len();
    let gone: Vec<usize> = (0..vms).filter(|index| chosen(*index)).collect();
    let before = Mark::of(&fleet);
    for index in &gone {
        fleet.nodes[*index].up = false;
    }
    let noticed_s = seconds(fleet.run_until(LIMIT, Fleet::settled));
    let bytes = rate(before.traffic, fleet.traffic(), vms - gone.len(), noticed_s);
    push(report, &format!("fault.{name}.settled"), "s", noticed_s);
    push(report, &format!("fault.{name}.bytes_per_vm"), "B/s", bytes);
    add_minute(report, name, &mut fleet, before, vms - gone.len());
    let before = Mark::of(&fleet);
    let reads = fleet.platform.reads;
    for index in &gone {
        fleet.replace(*index);
    }
    let back_s = seconds(fleet.run_until(LIMIT, |fleet| fleet.settled() && fleet.in_force(1)));
    let bytes = rate(before.traffic, fleet.traffic(), vms, back_s);
    push(report, &format!("fault.{name}.replaced.settled"), "s", back_s);
    push(report, &format!("fault.{name}.replaced.bytes_per_vm"), "B/s", bytes);
    add_minute(report, &format!("{name}.replaced"), &mut fleet, before, vms);
    let reads = (fleet.platform.reads - reads) as f64;
    push(report, &format!("fault.{name}.replaced.reads"), "reads", reads);
}

/// One data centre is cut off from the others for minutes, then comes back.
fn cut(report: &mut Report) {
    let mut fleet = fleet();
    let vms = fleet.nodes.len();
    let before = fleet.traffic();
    for (index, node) in fleet.nodes.iter_mut().enumerate() {
        node.part = u8::from(index % scale::DATA_CENTRES_PER_DEPLOYMENT == 0);
    }
    let noticed = fleet.run_until(LIMIT, Fleet::settled);
    push(report, "fault.cut.settled", "s", seconds(noticed));
    fleet.run(CUT.saturating_sub(noticed.unwrap_or(CUT)));
    let bytes = rate(before, fleet.traffic(), vms, CUT.as_secs_f64());
    push(report, "fault.cut.bytes_per_vm", "B/s", bytes);
    let before = Mark::of(&fleet);
    for node in &mut fleet.nodes {
        node.part = 0;
    }
    let healed_s = seconds(fleet.run_until(LIMIT, Fleet::settled));
    push(report, "fault.cut.healed", "s", healed_s);
    let bytes = rate(before.traffic, fleet.traffic(), vms, healed_s);
    push(report, "fault.cut.healed.bytes_per_vm", "B/s", bytes);
    add_minute(report, "cut.healed", &mut fleet, before, vms);
}

/// All VMs of a deployment start at once, with its share of the platform's
/// reads and a value of full size.
fn cold_start(report: &mut Report) {
    let config = sample::config(scale::deployment());
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let mut fleet = Fleet::start(FleetSettings {
        vms,
        loss: LOSS,
        platform_reads_per_s: platform_share(),
        value: Arc::from(sample::json(&config)),
        seed: 37,
    });
    let served = fleet.run_until(LIMIT, |fleet| fleet.in_force(1));
    push(report, "fault.cold_start.in_force", "s", seconds(served));
    push(report, "fault.cold_start.reads", "reads", fleet.platform.reads as f64);
    push(report, "fault.cold_start.list_reads", "reads", fleet.platform.list_reads as f64);
    let peak = fleet.platform.busiest_second() as f64 * scale::deployments();
    let peak = Figure::new("fault.cold_start.all.busiest_second", "reads", peak);
    report.figures.push(peak.within(scale::PLATFORM_READS_PER_S));
    let traffic = fleet.traffic();
    let per_vm = traffic.pull_bytes as f64 / vms as f64;
    push(report, "fault.cold_start.pull_bytes_per_vm", "B", per_vm);
    let settled = fleet.run_until(LIMIT, Fleet::settled);
    let settled_s = seconds(served) + seconds(settled);
    push(report, "fault.cold_start.settled", "s", settled_s);
}
