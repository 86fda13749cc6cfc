//! Costs of the membership protocol: steady traffic, churn, memory.

use std::{net::UdpSocket, sync::Arc, time::Duration};

use pistachiotrack_core::{
    membership::{Membership, MembershipSettings},
    time::Time,
};

use super::{
    fit::Point,
    fleet::{Fleet, FleetSettings},
    meter::{cpu_us, measure_heap},
    report::{Cost, Figure, Report},
    sample,
    scale::{self, Size},
};

/// Fleet sizes at which steady traffic is measured.
const FLEETS: [usize; 5] = [12, 24, 48, 96, 192];
/// Member counts at which the memory of one VM's membership is measured.
const MEMBERS: [usize; 5] = [48, 192, 768, 2_400, 5_800];
/// Numbers of VMs replaced during one measurement.
const REPLACEMENTS: [usize; 3] = [0, 6, 12];
/// Fleet sizes at which the cost of one replacement is measured.
const CHURN_FLEETS: [usize; 5] = [12, 24, 48, 96, 192];
/// Fraction of datagrams lost.
pub(crate) const LOSS: f64 = 0.01;
/// Time in which a new fleet converges before a measurement begins.
pub(crate) const CONVERGENCE_TIME: Duration = Duration::from_secs(30);
/// VM-seconds (seconds times VMs) over which steady traffic is averaged.
const STEADY_VM_S: f64 = 20_000.0;
/// Time over which traffic with churn is averaged.
const CHURN_TIME: Duration = Duration::from_secs(60);
/// Payload size of the datagram whose system calls are timed.
const DATAGRAM_BYTES: usize = 120;

/// Adds all measurements but churn to the report.
pub(crate) fn measure(report: &mut Report) {
    measure_steady_traffic(report);
    measure_memory(report);
    report.figures.push(Figure::new("udp.send_and_receive", "us", measure_datagram_us()));
}

/// Returns a fleet of one deployment with a small configuration.
pub(crate) fn fleet(vms: usize, platform_reads_per_s: f64, seed: u64) -> Fleet {
    let shape = Size { vms, services: 3, endpoints: 34, routes: 10, customers: 10 };
    let value = Arc::from(sample::json(&sample::config(shape)));
    Fleet::start(FleetSettings { vms, loss: LOSS, platform_reads_per_s, value, seed })
}

/// Returns one deployment's share of the reads per second that the platform serves.
pub(crate) fn platform_reads_per_deployment() -> f64 {
    scale::PLATFORM_READS_PER_S / scale::deployments()
}

fn measure_steady_traffic(report: &mut Report) {
    let mut datagrams = Vec::new();
    let mut bytes = Vec::new();
    let mut datagram_cpu = Vec::new();
    let mut tick_cpu = Vec::new();
    for vms in FLEETS {
        let mut fleet = fleet(vms, platform_reads_per_deployment(), 7);
        fleet.run_for(CONVERGENCE_TIME);
        let before = (fleet.traffic(), fleet.datagram_cpu(), fleet.tick_cpu());
        let duration = Duration::from_secs_f64(STEADY_VM_S / vms as f64);
        fleet.run_for(duration);
        let after = (fleet.traffic(), fleet.datagram_cpu(), fleet.tick_cpu());
        let vm_seconds = vms as f64 * duration.as_secs_f64();
        let size = vms as f64;
        let rate = |from: u64, to: u64| (to - from) as f64 / vm_seconds;
        datagrams.push(Point { size, value: rate(before.0.datagrams, after.0.datagrams) });
        bytes.push(Point { size, value: rate(before.0.datagram_bytes, after.0.datagram_bytes) });
        let us = |time: Duration| time.as_secs_f64() * 1e6 / vm_seconds;
        datagram_cpu.push(Point { size, value: us(after.1 - before.1) });
        tick_cpu.push(Point { size, value: us(after.2 - before.2) });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("members.datagrams", "VMs", "1/s", sizes, datagrams));
    report.costs.push(Cost::new("members.bytes", "VMs", "B/s", sizes, bytes));
    report.costs.push(Cost::new("members.datagram_cpu", "VMs", "us/s", sizes, datagram_cpu));
    report.costs.push(Cost::new("members.tick_cpu", "VMs", "us/s", sizes, tick_cpu));
}

/// Measures each VM's extra traffic per replaced VM.
pub(crate) fn measure_churn(report: &mut Report) {
    let vms = scale::VMS_PER_DEPLOYMENT as usize;
    let points = REPLACEMENTS
        .map(|count| Point { size: count as f64, value: bytes_with_replacements(vms, count) });
    let per_day = scale::REPLACEMENTS_PER_DAY + scale::FAILURES_PER_DAY;
    let sizes = (scale::per_deployment(per_day), per_day);
    let cost = Cost::new("members.bytes.replacement", "replacements", "B", sizes, points.to_vec());
    report.costs.push(cost);
    let max_replacements = REPLACEMENTS[REPLACEMENTS.len() - 1];
    let by_fleet = CHURN_FLEETS.map(|vms| {
        let extra =
            bytes_with_replacements(vms, max_replacements) - bytes_with_replacements(vms, 0);
        Point { size: (vms as f64).log10(), value: extra / max_replacements as f64 }
    });
    let sizes = (scale::VMS_PER_DEPLOYMENT.log10(), scale::VMS.log10());
    let name = "members.bytes.one_replacement";
    report.costs.push(Cost::new(name, "log10 of VMs", "B", sizes, by_fleet.to_vec()));
}

/// Returns the membership bytes per VM over `CHURN_TIME` while `replacements` VMs are replaced.
fn bytes_with_replacements(vms: usize, replacements: usize) -> f64 {
    let mut fleet = fleet(vms, platform_reads_per_deployment(), 11);
    fleet.run_for(CONVERGENCE_TIME);
    let before = fleet.traffic();
    let intervals = replacements.max(1);
    for interval in 0..intervals {
        if replacements > 0 {
            fleet.replace(interval * 2 % vms);
        }
        fleet.run_for(CHURN_TIME / intervals as u32);
    }
    let after = fleet.traffic();
    (after.datagram_bytes - before.datagram_bytes) as f64 / vms as f64
}

/// Measures the heap of one VM's membership and the processor time of its tick.
fn measure_memory(report: &mut Report) {
    let mut heap_points = Vec::new();
    let mut tick_points = Vec::new();
    for members in MEMBERS {
        let list = sample::vm_list(members);
        let (mut membership, heap_bytes) = measure_heap(|| {
            let settings = MembershipSettings::default();
            let mut membership = Membership::new(Time::from_millis(1), sample::vm(0), settings, 3);
            membership.on_vm_list(Time::from_millis(1), &list);
            membership
        });
        let size = members as f64;
        heap_points.push(Point { size, value: heap_bytes });
        let mut now_ms = 1;
        let tick_us = cpu_us(|| {
            now_ms += 1;
            membership.on_tick(Time::from_millis(now_ms))
        });
        tick_points.push(Point { size, value: tick_us });
    }
    let sizes = (scale::VMS_PER_DEPLOYMENT, scale::VMS);
    report.costs.push(Cost::new("members.heap", "members", "B", sizes, heap_points));
    report.costs.push(Cost::new("members.tick.unheard", "members", "us", sizes, tick_points));
}

/// Measures the processor time of the system calls that send and receive one datagram.
fn measure_datagram_us() -> f64 {
    let sender = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let to = receiver.local_addr().expect("a bound socket has an address");
    let payload = [0_u8; DATAGRAM_BYTES];
    let mut buffer = [0_u8; DATAGRAM_BYTES];
    cpu_us(|| {
        sender.send_to(&payload, to).expect("loopback accepts datagrams");
        receiver.recv_from(&mut buffer).expect("loopback delivers datagrams")
    })
}
