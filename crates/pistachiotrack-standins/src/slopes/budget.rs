//! Sums the measured costs of one VM and compares them with the budgets of a VM.

use super::{
    report::{Cost, Figure, Report},
    scale,
};

/// Ticks of a shard per second, as in the daemon.
const SHARD_TICKS_PER_S: f64 = 50.0;
/// Ticks of the configuration distribution per second, as in the daemon.
const DISTRIBUTION_TICKS_PER_S: f64 = 10.0;
/// Updates of the ownership per second without any change, as in the daemon.
const OWNERSHIP_UPDATES_PER_S: f64 = 2.0;
/// Timeout of a watch.
const WATCH_TIMEOUT_S: f64 = 30.0;
/// Reads per second of a deployment's VM list by the VMs that don't watch it.
const LIST_POLLS_PER_S: f64 = 1.0;
/// Versions of the platform's VM list per replaced VM: the old VM removed, the new one added.
const LIST_CHANGES_PER_REPLACEMENT: f64 = 2.0;
/// State changes that every other VM records per replaced VM: suspect, dead, alive. Each one
/// recomputes the ownership.
const MEMBER_CHANGES_PER_REPLACEMENT: f64 = 3.0;

/// A layout of the target size into deployments.
#[derive(Clone, Copy)]
struct Layout {
    name: &'static str,
    /// Number of deployments that share the load.
    deployments: f64,
    /// Returns a cost's value for this layout.
    cost_value: fn(&Cost) -> f64,
    /// Bytes of one read of the compressed value.
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
pub(crate) fn add_sums(report: &mut Report) {
    let many_deployments = Layout {
        name: "deployment",
        deployments: scale::deployments(),
        cost_value: |cost| cost.at_deployment,
        read_bytes: report.figure("value.deployment.gzip.irregular_names"),
        accept_us: report.figure("value.deployment.accept"),
        config_heap_bytes: report.figure("value.deployment.heap"),
        change_heap_bytes: report.figure("value.deployment.accept.more_heap"),
        list_bytes: report.figure("vm_list.deployment"),
        ownership_heap_bytes: report.cost("ownership.heap").at_deployment,
        vm_lost_us: report.cost("ownership.vm_lost").at_deployment,
        idle_us: report.cost("ownership.idle").at_deployment,
    };
    let change_heap_ratio = many_deployments.change_heap_bytes / many_deployments.config_heap_bytes;
    let single_deployment = Layout {
        name: "whole",
        deployments: 1.0,
        cost_value: |cost| cost.at_whole,
        read_bytes: report.figure("value.whole") * many_deployments.read_bytes
            / report.figure("value.deployment"),
        accept_us: summed_part_costs(report, "accept"),
        config_heap_bytes: summed_part_costs(report, "heap"),
        change_heap_bytes: summed_part_costs(report, "heap") * change_heap_ratio,
        list_bytes: report.figure("vm_list.whole"),
        ownership_heap_bytes: report.figure("ownership.whole.heap"),
        vm_lost_us: report.figure("ownership.whole.vm_lost"),
        idle_us: report.figure("ownership.whole.idle"),
    };
    for layout in [many_deployments, single_deployment] {
        let mut figures = traffic_figures(report, layout);
        figures.extend(cpu_figures(report, layout));
        figures.extend(memory_figures(report, layout));
        figures.extend(platform_figures(report, layout));
        report.figures.extend(figures);
    }
}

/// Returns the cost of all endpoints, routes and customers in a single deployment.
fn summed_part_costs(report: &Report, what: &str) -> f64 {
    ["endpoint", "route", "customer"]
        .iter()
        .map(|part| {
            let cost = report.cost(&format!("config.{what}.{part}"));
            cost.fit.slope * cost.whole_size
        })
        .sum()
}

impl Layout {
    /// Converts a daily count of the fleet into a rate per second of one deployment.
    fn per_s(self, per_day: f64) -> f64 {
        per_day / self.deployments / scale::DAY_S
    }

    fn figure(self, name: &str, unit: &str, value: f64) -> Figure {
        Figure::new(&format!("sum.{}.{name}", self.name), unit, value)
    }
}

fn replacements_per_day() -> f64 {
    scale::REPLACEMENTS_PER_DAY + scale::FAILURES_PER_DAY
}

fn traffic_figures(report: &Report, layout: Layout) -> Vec<Figure> {
    let members = (layout.cost_value)(report.cost("members.bytes"));
    let replacement = (layout.cost_value)(report.cost("members.bytes.one_replacement"));
    let churn = replacement * layout.per_s(replacements_per_day());
    let changes = layout.per_s(scale::CHANGES_PER_DAY);
    let pulls = report.cost("spread.pull_bytes.vm").fit.slope * changes;
    let reads = layout.read_bytes * changes;
    let list_changes = layout.per_s(replacements_per_day()) * LIST_CHANGES_PER_REPLACEMENT;
    // The cost of a watcher; the other VMs poll the list, which costs less.
    let list = layout.list_bytes * list_changes;
    let member = members + churn + pulls;
    let budget = scale::TRAFFIC_BUDGET_BYTES_PER_S;
    vec![
        layout.figure("bytes.membership", "B/s", members),
        layout.figure("bytes.churn", "B/s", churn),
        layout.figure("bytes.pulls", "B/s", pulls),
        layout.figure("bytes.value_reads", "B/s", reads),
        layout.figure("bytes.list_reads", "B/s", list),
        layout.figure("bytes.member", "B/s", member).with_budget(budget),
        layout.figure("bytes.member_with_list", "B/s", member + list).with_budget(budget),
        layout.figure("bytes.watcher_with_list", "B/s", member + reads + list).with_budget(budget),
    ]
}

fn cpu_figures(report: &Report, layout: Layout) -> Vec<Figure> {
    let value = |name: &str| (layout.cost_value)(report.cost(name));
    let system_calls = value("members.datagrams") * report.figure("udp.send_and_receive") / 2.0;
    let members = value("members.datagram_cpu") + value("members.tick_cpu") + system_calls;
    let changes = layout.per_s(scale::CHANGES_PER_DAY);
    let watcher = layout.accept_us * changes;
    let spread = value("spread.tick") * DISTRIBUTION_TICKS_PER_S;
    let member_changes = layout.per_s(replacements_per_day()) * MEMBER_CHANGES_PER_REPLACEMENT;
    let ownership = layout.idle_us * OWNERSHIP_UPDATES_PER_S + layout.vm_lost_us * member_changes;
    let publish = value("view.publish") * (OWNERSHIP_UPDATES_PER_S + member_changes + changes);
    let shards = report.figure("ownership.busiest_vm");
    let ticks = value("shard.tick") * SHARD_TICKS_PER_S * shards;
    let total_us = members + watcher + spread + ownership + publish + ticks;
    vec![
        layout.figure("cpu.membership", "us/s", members),
        layout.figure("cpu.accept", "us/s", watcher),
        layout.figure("cpu.spread_ticks", "us/s", spread),
        layout.figure("cpu.ownership", "us/s", ownership),
        layout.figure("cpu.publish", "us/s", publish),
        layout.figure("cpu.shard_ticks", "us/s", ticks),
        layout.figure("cpu.control", "core", total_us / 1e6).with_budget(scale::CORE_BUDGET),
    ]
}

fn memory_figures(report: &Report, layout: Layout) -> Vec<Figure> {
    let members = (layout.cost_value)(report.cost("members.heap"));
    let shards = report.figure("ownership.busiest_vm");
    let owned = (layout.cost_value)(report.cost("shard.heap")) * shards;
    let queued = (layout.cost_value)(report.cost("shard.heap.queued")) * shards;
    let config = layout.config_heap_bytes + layout.change_heap_bytes;
    // The daemon publishes members and ownership as a copy, so both exist twice.
    let view = 2.0 * (members + layout.ownership_heap_bytes);
    let total = view + owned + queued + config;
    vec![
        layout.figure("heap.members", "B", members),
        layout.figure("heap.ownership", "B", layout.ownership_heap_bytes),
        layout.figure("heap.shards", "B", owned),
        layout.figure("heap.queues", "B", queued),
        layout.figure("heap.config", "B", layout.config_heap_bytes),
        layout.figure("heap.config_at_change", "B", config),
        layout.figure("heap.control", "B", total).with_budget(scale::MEMORY_BUDGET_BYTES),
    ]
}

fn platform_figures(report: &Report, layout: Layout) -> Vec<Figure> {
    let value_per_deployment = |name: &str| {
        let cost = report.cost(name);
        if layout.deployments > 1.0 { cost.at_deployment } else { cost.at_whole }
    };
    let changes = layout.per_s(scale::CHANGES_PER_DAY) * layout.deployments;
    let watches = value_per_deployment("spread.watches");
    let config = value_per_deployment("spread.reads") * layout.deployments + watches * changes;
    let list_changes = layout.per_s(replacements_per_day()) * LIST_CHANGES_PER_REPLACEMENT;
    let watched_lists = (1.0 / WATCH_TIMEOUT_S + list_changes) * watches;
    let list = (watched_lists + LIST_POLLS_PER_S) * layout.deployments;
    let pending_watches = watches * layout.deployments;
    let budget = scale::PLATFORM_READS_PER_S;
    vec![
        layout.figure("reads.config", "1/s", config).with_budget(budget),
        layout.figure("reads.lists", "1/s", list).with_budget(budget),
        layout.figure("reads.all", "1/s", config + list).with_budget(budget),
        layout.figure("watches.config", "watches", pending_watches).with_budget(budget),
        layout
            .figure("watches.config_and_lists", "watches", 2.0 * pending_watches)
            .with_budget(budget),
    ]
}
