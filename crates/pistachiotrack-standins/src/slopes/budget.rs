//! Sums of the measured costs for one VM, against what a VM may spend.

use super::{
    report::{Cost, Figure, Report},
    scale,
};

/// Ticks of a shard a second, as in the daemon.
const SHARD_TICKS_PER_S: f64 = 50.0;
/// Ticks of the configuration's spread a second, as in the daemon.
const SPREAD_TICKS_PER_S: f64 = 10.0;
/// Updates of the owners a second without any news, as in the daemon.
const OWNER_UPDATES_PER_S: f64 = 2.0;
/// Time for which a watch waits.
const WATCH_S: f64 = 30.0;
/// Reads a second of a deployment's list by the VMs that don't watch it.
const LIST_TURNS_PER_S: f64 = 1.0;
/// Versions of the platform's list that a replaced VM causes: gone, new.
const LIST_CHANGES_PER_REPLACEMENT: f64 = 2.0;
/// Changes of state that a replaced VM causes at every other VM: suspect, dead,
/// alive; the owners are worked out anew at each.
const MEMBER_CHANGES_PER_REPLACEMENT: f64 = 3.0;

/// One way to run the size to design for.
#[derive(Clone, Copy)]
struct Plan {
    name: &'static str,
    /// Deployments among which the load is spread.
    deployments: f64,
    /// Chooses a cost's value for this plan.
    at: fn(&Cost) -> f64,
    /// Bytes of a read of the value, compressed.
    read_bytes: f64,
    accept_us: f64,
    config_heap_bytes: f64,
    change_heap_bytes: f64,
    list_bytes: f64,
    ownership_heap_bytes: f64,
    vm_lost_us: f64,
    idle_us: f64,
}

/// Adds the sums to the report.
pub(crate) fn add(report: &mut Report) {
    let many = Plan {
        name: "deployment",
        deployments: scale::deployments(),
        at: |cost| cost.at_deployment,
        read_bytes: report.figure("value.deployment.gzip.irregular_names"),
        accept_us: report.figure("value.deployment.accept"),
        config_heap_bytes: report.figure("value.deployment.heap"),
        change_heap_bytes: report.figure("value.deployment.accept.more_heap"),
        list_bytes: report.figure("vm_list.deployment"),
        ownership_heap_bytes: report.cost("ownership.heap").at_deployment,
        vm_lost_us: report.cost("ownership.vm_lost").at_deployment,
        idle_us: report.cost("ownership.idle").at_deployment,
    };
    let growth = many.change_heap_bytes / many.config_heap_bytes;
    let one = Plan {
        name: "whole",
        deployments: 1.0,
        at: |cost| cost.at_whole,
        read_bytes: report.figure("value.whole") * many.read_bytes
            / report.figure("value.deployment"),
        accept_us: parts(report, "accept"),
        config_heap_bytes: parts(report, "heap"),
        change_heap_bytes: parts(report, "heap") * growth,
        list_bytes: report.figure("vm_list.whole"),
        ownership_heap_bytes: report.figure("ownership.whole.heap"),
        vm_lost_us: report.figure("ownership.whole.vm_lost"),
        idle_us: report.figure("ownership.whole.idle"),
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
    let replacement = (plan.at)(report.cost("members.bytes.one_replacement"));
    let churn = replacement * plan.per_s(replacements());
    let changes = plan.per_s(scale::CHANGES_PER_DAY);
    let pulls = report.cost("spread.pull_bytes.vm").fit.slope * changes;
    let reads = plan.read_bytes * changes;
    let list_changes = plan.per_s(replacements()) * LIST_CHANGES_PER_REPLACEMENT;
    // The others read the list by turns, which is less.
    let list = plan.list_bytes * list_changes;
    let member = members + churn + pulls;
    let budget = scale::TRAFFIC_BUDGET_BYTES_PER_S;
    vec![
        plan.figure("bytes.membership", "B/s", members),
        plan.figure("bytes.churn", "B/s", churn),
        plan.figure("bytes.pulls", "B/s", pulls),
        plan.figure("bytes.value_reads", "B/s", reads),
        plan.figure("bytes.list_reads", "B/s", list),
        plan.figure("bytes.member", "B/s", member).within(budget),
        plan.figure("bytes.member_with_list", "B/s", member + list).within(budget),
        plan.figure("bytes.watcher_with_list", "B/s", member + reads + list).within(budget),
    ]
}

fn processor(report: &Report, plan: Plan) -> Vec<Figure> {
    let at = |name: &str| (plan.at)(report.cost(name));
    let calls = at("members.datagrams") * report.figure("udp.send_and_receive") / 2.0;
    let members = at("members.datagram_cpu") + at("members.tick_cpu") + calls;
    let changes = plan.per_s(scale::CHANGES_PER_DAY);
    let watcher = plan.accept_us * changes;
    let spread = at("spread.tick") * SPREAD_TICKS_PER_S;
    let member_changes = plan.per_s(replacements()) * MEMBER_CHANGES_PER_REPLACEMENT;
    let ownership = plan.idle_us * OWNER_UPDATES_PER_S + plan.vm_lost_us * member_changes;
    let publish = at("view.publish") * (OWNER_UPDATES_PER_S + member_changes + changes);
    let shards = report.figure("ownership.busiest_vm");
    let ticks = at("shard.tick") * SHARD_TICKS_PER_S * shards;
    let total_us = members + watcher + spread + ownership + publish + ticks;
    vec![
        plan.figure("cpu.membership", "us/s", members),
        plan.figure("cpu.accept", "us/s", watcher),
        plan.figure("cpu.spread_ticks", "us/s", spread),
        plan.figure("cpu.ownership", "us/s", ownership),
        plan.figure("cpu.publish", "us/s", publish),
        plan.figure("cpu.shard_ticks", "us/s", ticks),
        plan.figure("cpu.control", "core", total_us / 1e6).within(scale::CORE_BUDGET),
    ]
}

fn memory(report: &Report, plan: Plan) -> Vec<Figure> {
    let members = (plan.at)(report.cost("members.heap"));
    let shards = report.figure("ownership.busiest_vm");
    let owned = (plan.at)(report.cost("shard.heap")) * shards;
    let queued = (plan.at)(report.cost("shard.heap.queued")) * shards;
    let config = plan.config_heap_bytes + plan.change_heap_bytes;
    // The daemon publishes members and owners as a copy.
    let view = 2.0 * (members + plan.ownership_heap_bytes);
    let total = view + owned + queued + config;
    vec![
        plan.figure("heap.members", "B", members),
        plan.figure("heap.ownership", "B", plan.ownership_heap_bytes),
        plan.figure("heap.shards", "B", owned),
        plan.figure("heap.queues", "B", queued),
        plan.figure("heap.config", "B", plan.config_heap_bytes),
        plan.figure("heap.config_at_change", "B", config),
        plan.figure("heap.control", "B", total).within(scale::MEMORY_BUDGET_BYTES),
    ]
}

fn platform(report: &Report, plan: Plan) -> Vec<Figure> {
    let at_one = |name: &str| {
        let cost = report.cost(name);
        if plan.deployments > 1.0 { cost.at_deployment } else { cost.at_whole }
    };
    let changes = plan.per_s(scale::CHANGES_PER_DAY) * plan.deployments;
    let watches = at_one("spread.watches");
    let config = at_one("spread.reads") * plan.deployments + watches * changes;
    let list_changes = plan.per_s(replacements()) * LIST_CHANGES_PER_REPLACEMENT;
    let watched_lists = (1.0 / WATCH_S + list_changes) * watches;
    let list = (watched_lists + LIST_TURNS_PER_S) * plan.deployments;
    let standing = watches * plan.deployments;
    let budget = scale::PLATFORM_READS_PER_S;
    vec![
        plan.figure("reads.config", "1/s", config).within(budget),
        plan.figure("reads.lists", "1/s", list).within(budget),
        plan.figure("reads.all", "1/s", config + list).within(budget),
        plan.figure("watches.config", "watches", standing).within(budget),
        plan.figure("watches.config_and_lists", "watches", 2.0 * standing).within(budget),
    ]
}
