//! The demo's report.

use std::{
    fmt,
    time::{Duration, Instant},
};

use serde::Serialize;

use super::{customers::CustomerReport, faulty_endpoint};
use crate::{
    caller::Sample,
    deployment::Deployment,
    ejection::{Ejection, quiet_time, work_stopped_after},
    summary::{AddedLatency, Counts},
};

/// A planned stop.
#[derive(Clone, Debug)]
pub(super) struct PlannedStop {
    pub(super) vm: String,
    pub(super) exit_code: Option<i32>,
    pub(super) duration: Duration,
}

/// Observations of one deployment's run.
pub(super) struct Run<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) ready: Duration,
    pub(super) direct: Vec<Sample>,
    pub(super) samples: Vec<Sample>,
    pub(super) ejections: Vec<Ejection>,
    pub(super) fault_at: Instant,
    pub(super) start: Instant,
    pub(super) end: Instant,
    pub(super) stop: PlannedStop,
    pub(super) customers: Option<CustomerReport>,
}

/// Results of one deployment.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DeploymentReport {
    deployment: String,
    ready_ms: u64,
    #[serde(flatten)]
    counts: Counts,
    /// Time from the fault to the last request that the faulty endpoint received.
    detect_ms: Option<u64>,
    /// Time from the fault until an admin port reported the ejection.
    ejection_seen_ms: Option<u64>,
    /// Ejections of healthy endpoints.
    false_ejections: u64,
    /// Latency added by the fleet for steered callers, before the fault.
    steady: AddedLatency,
    /// Latency added for steered callers over the whole run.
    added: AddedLatency,
    /// Latency added for unsteered callers over the whole run.
    unsteered: AddedLatency,
    /// Latency added by a direct connection to the endpoint.
    direct: AddedLatency,
    /// Largest number of requests, probes included, beyond an endpoint's slots.
    slot_overshoot: u32,
    shed: u64,
    probes: u64,
    platform_calls: u64,
    stopped_vm: String,
    stop_ms: u64,
    stop_exit_code: Option<i32>,
    /// API keys and rate limits, if the deployment shows them.
    customers: Option<CustomerReport>,
}

impl DeploymentReport {
    pub(super) fn new(run: Run<'_>) -> DeploymentReport {
        let deployment = run.deployment;
        let faulty = faulty_endpoint(deployment.kind);
        let arrivals = deployment.arrivals_since(faulty, run.start).unwrap_or_default();
        let (before, after): (Vec<_>, Vec<_>) =
            arrivals.into_iter().partition(|arrival| *arrival < run.fault_at);
        let quiet = quiet_time(before.len(), run.fault_at - run.start);
        let seen = run.ejections.iter().find(|ejection| {
            ejection.endpoint.as_str() == faulty && ejection.observed_at >= run.fault_at
        });
        let false_ejections = run
            .ejections
            .iter()
            .filter(|ejection| {
                ejection.endpoint.as_str() != faulty || ejection.observed_at < run.fault_at
            })
            .count();
        let counts: Vec<_> =
            deployment.endpoints.iter().map(|endpoint| endpoint.counts()).collect();
        let steered = || run.samples.iter().filter(|sample| sample.steered);
        DeploymentReport {
            deployment: deployment.config.deployment.to_string(),
            ready_ms: millis(run.ready),
            counts: Counts::of(&run.samples, &deployment.execution_counter),
            detect_ms: work_stopped_after(&after, run.fault_at, run.end, quiet).map(millis),
            ejection_seen_ms: seen.map(|ejection| millis(ejection.observed_at - run.fault_at)),
            false_ejections: false_ejections as u64,
            steady: AddedLatency::of(steered().filter(|sample| sample.sent < run.fault_at)),
            added: AddedLatency::of(steered()),
            unsteered: AddedLatency::of(run.samples.iter().filter(|sample| !sample.steered)),
            direct: AddedLatency::of(&run.direct),
            slot_overshoot: deployment.slot_overshoot(),
            shed: counts.iter().map(|counts| counts.shed).sum(),
            probes: counts.iter().map(|counts| counts.probes).sum(),
            platform_calls: deployment.platform.calls(),
            stopped_vm: run.stop.vm,
            stop_ms: millis(run.stop.duration),
            stop_exit_code: run.stop.exit_code,
            customers: run.customers,
        }
    }
}

/// Results of the demo.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    vms_per_deployment: usize,
    #[serde(flatten)]
    counts: Counts,
    detect_ms: Option<u64>,
    false_ejections: u64,
    added_p50_ms: f64,
    added_p99_ms: f64,
    direct_p50_ms: f64,
    direct_p99_ms: f64,
    deployments: Vec<DeploymentReport>,
}

impl Report {
    /// Combines the deployments: adds the counts and takes the worst of the times.
    pub(super) fn new(deployments: Vec<DeploymentReport>, vms_per_deployment: usize) -> Report {
        let mut counts = Counts::default();
        deployments.iter().for_each(|report| counts.merge(&report.counts));
        let worst =
            |value: fn(&DeploymentReport) -> f64| deployments.iter().map(value).fold(0.0, f64::max);
        let detected: Option<Vec<u64>> =
            deployments.iter().map(|report| report.detect_ms).collect();
        Report {
            vms_per_deployment,
            counts,
            detect_ms: detected.and_then(|times| times.into_iter().max()),
            false_ejections: deployments.iter().map(|report| report.false_ejections).sum(),
            added_p50_ms: worst(|report| report.added.p50_ms),
            added_p99_ms: worst(|report| report.added.p99_ms),
            direct_p50_ms: worst(|report| report.direct.p50_ms),
            direct_p99_ms: worst(|report| report.direct.p99_ms),
            deployments,
        }
    }

    /// Returns whether the counts are clean, all planned stops exited with code 0, and API keys and
    /// rate limits held.
    pub(super) fn is_clean(&self) -> bool {
        let mut customers = self.deployments.iter().filter_map(|report| report.customers.as_ref());
        let are_customers_clean = customers.all(CustomerReport::is_clean);
        let stopped = self.deployments.iter().all(|report| report.stop_exit_code == Some(0));
        self.counts.is_clean() && self.counts.ok > 0 && stopped && are_customers_clean
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = self.deployments.iter().map(|report| report.deployment.as_str());
        row(f, "", names)?;
        let rows: &[(&str, Cell)] = &[
            ("ready after ms", |report| report.ready_ms.to_string()),
            ("requests", |report| report.counts.requests.to_string()),
            ("ok", |report| report.counts.ok.to_string()),
            ("endpoint failed", |report| report.counts.endpoint_failed.to_string()),
            ("refused, not run", |report| report.counts.refused_not_run.to_string()),
            ("refused, unknown", |report| report.counts.unknown.to_string()),
            ("no VM reached", |report| report.counts.no_vm.to_string()),
            ("lost", |report| report.counts.lost.to_string()),
            ("doubled", |report| report.counts.doubled.to_string()),
            ("wrong answer", |report| report.counts.wrong_answer.to_string()),
            ("false not-run", |report| report.counts.false_not_run.to_string()),
            ("detected after ms", |report| optional(report.detect_ms)),
            ("ejection seen after ms", |report| optional(report.ejection_seen_ms)),
            ("false ejections", |report| report.false_ejections.to_string()),
            ("added p50/p99 ms, steady", |report| added(report.steady)),
            ("added p50/p99 ms, all", |report| added(report.added)),
            ("unsteered p50/p99 ms", |report| added(report.unsteered)),
            ("direct p50/p99 ms", |report| added(report.direct)),
            ("slots overshot by at most", |report| report.slot_overshoot.to_string()),
            ("shed by endpoints", |report| report.shed.to_string()),
            ("health checks", |report| report.probes.to_string()),
            ("platform calls", |report| report.platform_calls.to_string()),
            ("stopped VM, ms", |report| format!("{}, {}", report.stopped_vm, report.stop_ms)),
            ("exit code of the stop", |report| optional(report.stop_exit_code)),
            ("unknown API key", |report| customers(report, |it| reason(&it.unknown_key))),
            ("failed while a key rotated", |report| {
                customers(report, |it| it.failed_in_rotation.to_string())
            }),
            ("key that was taken away", |report| customers(report, |it| reason(&it.old_key))),
            ("flood, served", |report| customers(report, |it| it.served.to_string())),
            ("flood, rate-limited", |report| customers(report, |it| it.rate_limited.to_string())),
        ];
        for (name, value) in rows {
            row(f, name, self.deployments.iter().map(*value))?;
        }
        for report in &self.deployments {
            writeln!(f, "reasons, {}: {:?}", report.deployment, report.counts.reasons)?;
        }
        writeln!(f, "VMs: {} per deployment", self.vms_per_deployment)
    }
}

/// Formats a deployment's value in a row of the table.
type Cell = fn(&DeploymentReport) -> String;

fn row<T: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    values: impl Iterator<Item = T>,
) -> fmt::Result {
    write!(f, "{name:<28}")?;
    for value in values {
        write!(f, "{:>18}", value.to_string())?;
    }
    writeln!(f)
}

fn customers(report: &DeploymentReport, value: fn(&CustomerReport) -> String) -> String {
    report.customers.as_ref().map_or("-".to_owned(), value)
}

fn reason(reason: &Option<String>) -> String {
    reason.clone().unwrap_or("served".to_owned())
}

fn added(added: AddedLatency) -> String {
    format!("{:.2} / {:.2}", added.p50_ms, added.p99_ms)
}

fn optional<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or("never".to_owned(), |value| value.to_string())
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
