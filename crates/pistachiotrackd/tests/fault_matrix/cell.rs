//! One cell of the matrix: a fleet, a step, the faults that strike at it.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use serde_json::Value;
use tokio::task::JoinHandle;

use super::{
    caller::{Kind, Tally},
    fault::{self, Fault},
    oracle,
    step::Step,
    world::{self, World},
};
use crate::testenv::client::HANG_LIMIT;

/// A cell that was run.
pub(crate) struct Cell {
    /// The faults.
    pub(crate) faults: Vec<Fault>,
    /// The step at which they struck.
    pub(crate) step: Step,
    /// The breaches of the invariants.
    pub(crate) breaches: Vec<String>,
    /// What callers got.
    pub(crate) tally: Tally,
}

impl Cell {
    /// Returns the name of the cell.
    pub(crate) fn name(&self) -> String {
        name(&self.faults, self.step)
    }

    /// Returns the verdict in a word.
    pub(crate) fn mark(&self) -> &'static str {
        if self.breaches.is_empty() { "ok" } else { "BROKEN" }
    }
}

fn name(faults: &[Fault], step: Step) -> String {
    let names: Vec<&str> = faults.iter().map(|fault| fault.name()).collect();
    format!("{} / {}", names.join(" + "), step.name())
}

/// Runs a cell.
pub(crate) async fn run(number: u16, faults: Vec<Fault>, step: Step) -> Cell {
    let mut tally = Tally::default();
    let breaches = breaches(number, &faults, step, &mut tally).await;
    Cell { faults, step, breaches, tally }
}

async fn breaches(number: u16, faults: &[Fault], step: Step, tally: &mut Tally) -> Vec<String> {
    let world = Arc::new(World::start(&name(faults, step), number, step.entry_drain_ms()).await);
    let seen = Arc::new(Mutex::new(Vec::new()));
    let watches: Vec<JoinHandle<()>> =
        (0..2).map(|vm| tokio::spawn(watch(Arc::clone(&world), vm, Arc::clone(&seen)))).collect();
    let mut struck = step.strike(&world, faults).await;
    let mut breaches = Vec::new();
    for vm in world.present() {
        if !world.until_well(vm, Kind::Lookup).await {
            breaches.push(format!("1 vm {vm} has nowhere real to go while the fault lasts"));
        }
    }
    if faults.len() == 1 && faults[0].is_of_config() {
        let without = world.until_in_force(struck.version).await;
        breaches.extend(without.iter().map(|vm| format!("7 vm {vm} lacks the configuration")));
    }
    struck.mended_at = Some(Instant::now());
    fault::disarm(&world);
    if let Some(stopping) = struck.stopping.take()
        && !faults.contains(&Fault::OwnerCrash)
        && tokio::time::timeout(HANG_LIMIT, stopping).await.is_err()
    {
        breaches.push("6 the VM does not stop".to_owned());
    }
    for vm in world.present() {
        for kind in [Kind::Lookup, Kind::Booking] {
            if !world.until_well(vm, kind).await {
                breaches.push(format!("1 vm {vm} answers no {kind:?} after the fault"));
            }
        }
    }
    let without = world.until_in_force(struck.version).await;
    breaches.extend(without.iter().map(|vm| format!("7 vm {vm} lacks the configuration")));
    watches.iter().for_each(JoinHandle::abort);
    world.sent.lock().unwrap().iter().for_each(|sent| tally.add(&sent.outcome));
    breaches.extend(oracle::judge(&world, faults, &struck));
    breaches.append(&mut seen.lock().unwrap());
    breaches.sort();
    breaches.dedup();
    breaches
}

/// Looks at a VM for as long as the cell runs: its configuration never goes
/// back (7) and its services are never below their floor (1).
async fn watch(world: Arc<World>, vm: usize, breaches: Arc<Mutex<Vec<String>>>) {
    let mut newest = 0;
    loop {
        if let Some(status) = world::admin(&world.vms[vm], "/status").await {
            let version = status["config_version"].as_u64().unwrap_or(0);
            if version < newest {
                let breach = format!("7 vm {vm} went back from {newest} to {version}");
                breaches.lock().unwrap().push(breach);
            }
            newest = newest.max(version);
        }
        if let Some(endpoints) = world::admin(&world.vms[vm], "/endpoints").await {
            breaches.lock().unwrap().extend(below_floor(vm, &endpoints));
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}

fn below_floor(vm: usize, endpoints: &Value) -> Vec<String> {
    let lines = endpoints.as_array().cloned().unwrap_or_default();
    let out = |state: &Value| ["ejected", "trial"].iter().any(|out| state == out);
    let of = |service: &str| -> Vec<Value> {
        let lines = lines.iter().filter(|line| line["service"] == service);
        lines.map(|line| line["state"].clone()).filter(|state| state != "draining").collect()
    };
    let services = [crate::testenv::SEARCH, crate::testenv::BOOKING];
    let below = services.into_iter().filter(|service| {
        let states = of(service);
        !states.is_empty() && states.iter().all(out)
    });
    below.map(|service| format!("1 vm {vm}: {service} is below its floor: {endpoints}")).collect()
}
