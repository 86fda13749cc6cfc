//! The experiment `overload`: compares balancers at loads of 0.6 to 4 times the service's capacity.
//!
//! Runs in logical time with seeded randomness, so that a run can be repeated.

mod alternatives;
mod balancer;
mod endpoint;
mod report;
mod simulation;
mod workload;

use std::process::ExitCode;

use pistachiotrack_core::shard::ShardMode;

use self::{
    alternatives::{Leases, TwoChoices},
    balancer::{Balancer, Fifo, FleetBalancer},
    report::{Row, print_table},
    simulation::Simulation,
    workload::{Workload, config},
};

/// Offered load relative to the endpoints' capacity.
const LOADS: [f64; 5] = [0.6, 1.0, 1.5, 2.0, 4.0];
/// Number of entry VMs, as in today's deployments.
const VMS: usize = 48;
/// Seed if the command line gives none.
const DEFAULT_SEED: u64 = 1;

/// Runs the experiment and prints its rows.
///
/// # Errors
///
/// Returns an error if the arguments are invalid.
pub(super) fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<ExitCode> {
    let as_json = arguments.contains("--json");
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unexpected arguments {rest:?}");
    let rows: Vec<Row> = LOADS
        .into_iter()
        .flat_map(|load| balancers(seed).map(|(name, balancer)| (load, name, balancer)))
        .map(|(load, name, balancer)| measure(load, seed, name, balancer))
        .collect();
    if as_json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    } else {
        print_table(seed, &rows);
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the fleet's balancers and the baselines.
fn balancers(seed: u64) -> [(&'static str, Box<dyn Balancer>); 6] {
    let config = config();
    [
        ("owner", Box::new(FleetBalancer::new(&config, 1, ShardMode::Owner, seed))),
        ("alone", Box::new(FleetBalancer::new(&config, VMS, ShardMode::Owner, seed))),
        ("careful", Box::new(FleetBalancer::new(&config, VMS, ShardMode::Careful, seed))),
        ("leases", Box::new(Leases::new(&config, VMS))),
        ("two-choices", Box::new(TwoChoices::new(&config, VMS, seed))),
        ("fifo", Box::new(Fifo::new(&config))),
    ]
}

fn measure(load: f64, seed: u64, name: &str, balancer: Box<dyn Balancer>) -> Row {
    let simulation = Simulation::new(Workload::new(load, seed), balancer);
    Row::new(name, load, &simulation.run())
}
