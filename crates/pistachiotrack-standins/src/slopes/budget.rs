//! Sums of the measured costs for one VM, against what a VM may spend.

use super::{
    report::{Cost, Figure, Report},
    scale,
};

/// Ticks of the timer service a second.
const TICKS_PER_S: f64 = 10.0;
/// Versions of the platform's list that a replaced VM causes: gone, new.
const LIST_CHANGES_PER_REPLACEMENT: f64 = 2.0;
/// Changes of state that a replaced VM causes at every other VM: suspect, dead,
/// alive; the owners are worked out anew at each.
const MEMBER_CHANGES_PER_REPLACEMENT: f64 = 3.0;

/// One way to run the letter's size.
#[derive(Clone, Copy)]
struct Plan {
    name: &'static str,
    /// Deployments among which the load is spread.
    deployments: f64,
    /// Chooses a cost's value for this plan.
    at: fn(&Cost) -> f64,
    /// Bytes of the platform's value, and what it costs to take one.
    value_bytes: f64,
    accept_us: f64,
    config_heap_bytes: f64,
    change_heap_bytes: f64,
    list_bytes: f64,
}

/// Adds the sums to the report.
pub(crate) fn add(report: &mut Report) {
    let many = Plan {
        name: "deployment",
        deployments: scale::deployments(),
        at: |cost| cost.at_deployment,
        value_bytes: report.figure("value.deployment"),
        accept_us: report.figure("value.deployment.accept"),
        config_heap_bytes: report.figure("value.deployment.heap"),
        change_heap_bytes: report.figure("value.deployment.accept.more_heap"),
        list_bytes: report.figure("vm_list.deployment"),
    };
    let growth = many.change_heap_bytes / many.config_heap_bytes;
    let one = Plan {
        name: "whole",
        deployments: 1.0,
        at: |cost| cost.at_whole,
        value_bytes: report.figure("value.whole"),
        accept_us: parts(report, "accept"),
        config_heap_bytes: parts(report, "heap"),
        change_heap_bytes: parts(report, "heap") * growth,
        list_bytes: report.figure("vm_list.whole"),
    };
    for plan in [many, one] {
        let mut figures = traffic(report, plan);
        figures.extend(processor(report, plan));
        figures.extend(memory(report, plan));
        figures.extend(platform(report, plan));
        report.figures.extend(figures);
    }
}

/// Cost of the whole's endpoints, routes and customers together.
fn parts(report: &Report, what: &str) -> f64 {
    ["endpoint", "route", "customer"]
        .iter()
        .map(|part| {
            let cost = report.cost(&format!("config.{what}.{part}"));
            cost.fit.slope * cost.whole_size
        })
        .sum()
}

impl Plan {
    /// Returns a deployment's share of a daily count, for each second.
    fn per_s(self, per_day: f64) -> f64 {
        per_day / self.deployments / scale::DAY_S
    }

    fn figure(self, name: &str, unit: &str, value: f64) -> Figure {
        Figure::new(&format!("sum.{}.{name}", self.name), unit, value)
    }
}

fn replacements() -> f64 {
    scale::REPLACEMENTS_PER_DAY + scale::FAILURES_PER_DAY
}

fn traffic(report: &Report, plan: Plan) -> Vec<Figure> {
    let members = (plan.at)(report.cost("members.bytes"));
    let churn =
        report.cost("members.bytes.replacement").fit.slope.max(0.0) * plan.per_s(replacements());
    let changes = plan.per_s(scale::CHANGES_PER_DAY);
    let pulls = report.cost("spread.pull_bytes.vm").fit.slope * changes;
    let reads = plan.value_bytes * changes;
    let list = plan.list_bytes * plan.per_s(replacements()) * LIST_CHANGES_PER_REPLACEMENT;
    let budget = scale::TRAFFIC_BUDGET_BYTES_PER_S;
    vec![
        plan.figure("bytes.membership", "B/s", members),
        plan.figure("bytes.churn", "B/s", churn),
        plan.figure("bytes.pulls", "B/s", pulls),
        plan.figure("bytes.value_reads", "B/s", reads),
        plan.figure("bytes.list_reads", "B/s", list),
        plan.figure("bytes.member", "B/s", members + churn + pulls).within(budget),
        plan.figure("bytes.member_reading_list", "B/s", members + churn + pulls + list)
            .within(budget),
        plan.figure("bytes.watcher", "B/s", members + churn + pulls + reads + list).within(budget),
    ]
}

fn processor(report: &Report, plan: Plan) -> Vec<Figure> {
    let datagrams = (plan.at)(report.cost("members.datagrams"));
    let calls = datagrams * report.figure("udp.send_and_receive") / 2.0;
    let members = (plan.at)(report.cost("members.cpu")) + calls;
    let accept = plan.accept_us * plan.per_s(scale::CHANGES_PER_DAY);
    let updates = plan.per_s(replacements()) * MEMBER_CHANGES_PER_REPLACEMENT
        + plan.per_s(scale::CHANGES_PER_DAY);
    let ownership = (plan.at)(report.cost("ownership.update")) * updates;
    let shards = report.figure("ownership.busiest_vm");
    let ticks = (plan.at)(report.cost("shard.tick")) * TICKS_PER_S * shards;
    let total_us = members + accept + ownership + ticks;
    vec![
        plan.figure("cpu.membership", "us/s", members),
        plan.figure("cpu.accept", "us/s", accept),
        plan.figure("cpu.ownership", "us/s", ownership),
        plan.figure("cpu.shard_ticks", "us/s", ticks),
        plan.figure("cpu.control", "core", total_us / 1e6).within(scale::CORE_BUDGET),
    ]
}

fn memory(report: &Report, plan: Plan) -> Vec<Figure> {
    let members = (plan.at)(report.cost("members.heap"));
    let ownership = (plan.at)(report.cost("ownership.heap"));
    let shards = report.figure("ownership.busiest_vm");
    let owned = (plan.at)(report.cost("shard.heap")) * shards;
    let queued = (plan.at)(report.cost("shard.heap.queued")) * shards;
    let config = plan.config_heap_bytes + plan.change_heap_bytes;
    let total = members + ownership + owned + queued + config;
    vec![
        plan.figure("heap.members", "B", members),
        plan.figure("heap.ownership", "B", ownership),
        plan.figure("heap.shards", "B", owned),
        plan.figure("heap.queues", "B", queued),
        plan.figure("heap.config_at_change", "B", config),
        plan.figure("heap.control", "B", total).within(scale::MEMORY_BUDGET_BYTES),
    ]
}

fn platform(report: &Report, plan: Plan) -> Vec<Figure> {
    let reads = report.cost("spread.reads").at_deployment * plan.deployments;
    let changes =
        scale::CHANGES_PER_DAY / scale::DAY_S * report.cost("spread.watches").at_deployment;
    let standing = report.cost("spread.watches").at_deployment * plan.deployments;
    let budget = scale::PLATFORM_READS_PER_S;
    vec![
        plan.figure("reads.rate", "1/s", reads + changes).within(budget),
        plan.figure("reads.standing_watches", "watches", standing).within(budget),
        plan.figure("reads.standing_with_list_on_every_vm", "watches", standing + scale::VMS)
            .within(budget),
    ]
}
