//! One cell of the matrix: a fleet, a step, and the faults that are injected at it.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use serde_json::Value;
use tokio::task::JoinHandle;

use super::{
    caller::{OutcomeCounts, RequestKind},
    fault::{self, Fault},
    oracle,
    step::Step,
    testbed::{self, Testbed},
};
use crate::testenv::client::HANG_LIMIT;

/// Result of a cell.
pub(crate) struct Cell {
    /// The injected faults.
    pub(crate) faults: Vec<Fault>,
    /// The step at which they were injected.
    pub(crate) step: Step,
    /// Violations of the invariants.
    pub(crate) violations: Vec<String>,
    /// Counts of callers' outcomes.
    pub(crate) counts: OutcomeCounts,
}

impl Cell {
    /// Returns the name of the cell.
    pub(crate) fn name(&self) -> String {
        name(&self.faults, self.step)
    }

    /// Returns the result as the table shows it.
    pub(crate) fn mark(&self) -> &'static str {
        if self.violations.is_empty() { "ok" } else { "BROKEN" }
    }
}

fn name(faults: &[Fault], step: Step) -> String {
    let names: Vec<&str> = faults.iter().map(|fault| fault.name()).collect();
    format!("{} / {}", names.join(" + "), step.name())
}

/// Runs a cell.
pub(crate) async fn run(number: u16, faults: Vec<Fault>, step: Step) -> Cell {
    let mut counts = OutcomeCounts::default();
    let violations = violations(number, &faults, step, &mut counts).await;
    Cell { faults, step, violations, counts }
}

async fn violations(
    number: u16,
    faults: &[Fault],
    step: Step,
    counts: &mut OutcomeCounts,
) -> Vec<String> {
    let testbed =
        Arc::new(Testbed::start(&name(faults, step), number, step.entry_drain_ms()).await);
    let status_violations = Arc::new(Mutex::new(Vec::new()));
    let watchers: Vec<JoinHandle<()>> = (0..2)
        .map(|vm| tokio::spawn(watch_vm(Arc::clone(&testbed), vm, Arc::clone(&status_violations))))
        .collect();
    let mut record = step.run(&testbed, faults).await;
    let mut violations = Vec::new();
    for vm in testbed.running_vms() {
        if !testbed.send_until_success(vm, RequestKind::Lookup).await {
            violations.push(format!("1 vm {vm} gets no lookup answered during the fault"));
        }
    }
    if faults.len() == 1 && faults[0].is_config_fault() {
        let missing = testbed.wait_for_config(record.version).await;
        violations.extend(
            missing.iter().map(|vm| format!("7 vm {vm} does not activate the configuration")),
        );
    }
    record.faults_removed_at = Some(Instant::now());
    fault::remove_faults(&testbed);
    if let Some(stopping) = record.stopping.take()
        && !faults.contains(&Fault::OwnerCrash)
        && tokio::time::timeout(HANG_LIMIT, stopping).await.is_err()
    {
        violations.push("6 the VM does not stop".to_owned());
    }
    for vm in testbed.running_vms() {
        for kind in [RequestKind::Lookup, RequestKind::Booking] {
            if !testbed.send_until_success(vm, kind).await {
                violations.push(format!("1 vm {vm} gets no {kind:?} answered after the fault"));
            }
        }
    }
    let missing = testbed.wait_for_config(record.version).await;
    violations
        .extend(missing.iter().map(|vm| format!("7 vm {vm} does not activate the configuration")));
    watchers.iter().for_each(JoinHandle::abort);
    testbed.sent.lock().unwrap().iter().for_each(|sent| counts.add(&sent.outcome));
    violations.extend(oracle::violations(&testbed, faults, &record));
    violations.append(&mut status_violations.lock().unwrap());
    violations.sort();
    violations.dedup();
    violations
}

/// Checks a VM for as long as the cell runs: its configuration version never
/// decreases (7) and its services are never below their floor (1).
async fn watch_vm(testbed: Arc<Testbed>, vm: usize, violations: Arc<Mutex<Vec<String>>>) {
    let mut newest = 0;
    loop {
        if let Some(status) = testbed::admin(&testbed.vms[vm], "/status").await {
            let version = status["config_version"].as_u64().unwrap_or(0);
            if version < newest {
                let violation = format!("7 vm {vm} went back from version {newest} to {version}");
                violations.lock().unwrap().push(violation);
            }
            newest = newest.max(version);
        }
        if let Some(endpoints) = testbed::admin(&testbed.vms[vm], "/endpoints").await {
            violations.lock().unwrap().extend(below_floor(vm, &endpoints));
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}

fn below_floor(vm: usize, endpoints: &Value) -> Vec<String> {
    let lines = endpoints.as_array().cloned().unwrap_or_default();
    let is_out = |state: &Value| ["ejected", "trial"].iter().any(|out| state == out);
    let states_of = |service: &str| -> Vec<Value> {
        let lines = lines.iter().filter(|line| line["service"] == service);
        lines.map(|line| line["state"].clone()).filter(|state| state != "draining").collect()
    };
    let services = [crate::testenv::SEARCH, crate::testenv::BOOKING];
    let below = services.into_iter().filter(|service| {
        let states = states_of(service);
        !states.is_empty() && states.iter().all(is_out)
    });
    below.map(|service| format!("1 vm {vm}: {service} is below its floor: {endpoints}")).collect()
}
