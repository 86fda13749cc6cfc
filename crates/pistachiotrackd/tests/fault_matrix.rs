//! The fault matrix: every fault at every step of a request, on the whole path
//! from the caller to the endpoint. `docs/FAULT-MATRIX.md` explains rows and columns.

mod testenv;

#[path = "fault_matrix/mod.rs"]
mod matrix;

use std::fmt::Write;

use futures_util::{StreamExt, stream};
use matrix::{
    caller::OutcomeCounts,
    cell::{self, Cell},
    endpoint::EndpointFault,
    fault::{FAULTS, Fault},
    step::{STEPS, Step},
};
use quickcheck::{Arbitrary, Gen};

/// Maximum number of cells that run at the same time.
const MAX_CONCURRENT_CELLS: usize = 36;
/// Number of cells with a pair of faults.
const PAIR_CELLS: usize = 20;
/// Seed of the random choice of pairs.
const SEED: u64 = 20_261_202;

/// Returns why a cell is skipped, or `None` if it is run.
fn skip_reason(fault: Fault, step: Step) -> Option<&'static str> {
    match (fault, step) {
        (Fault::Endpoint(EndpointFault::Draining), Step::EndpointDrain) => {
            Some("the step is the fault itself")
        }
        (Fault::OwnerCrash, Step::HandOver) => {
            Some("covered by owner crash / VM shutdown: the same VM both leaves and crashes")
        }
        _ => None,
    }
}

fn run(cells: Vec<(Vec<Fault>, Step)>, first: u16) -> Vec<Cell> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build().unwrap();
    let cells = stream::iter(cells.into_iter().enumerate())
        .map(|(index, (faults, step))| async move {
            tokio::spawn(cell::run(first + index as u16, faults, step)).await.unwrap()
        })
        .buffer_unordered(MAX_CONCURRENT_CELLS);
    runtime.block_on(cells.collect())
}

fn assert_no_violations(cells: &[Cell]) {
    let mut text = String::new();
    for cell in cells.iter().filter(|cell| !cell.violations.is_empty()) {
        writeln!(text, "{}:\n    {}", cell.name(), cell.violations.join("\n    ")).unwrap();
    }
    assert!(text.is_empty(), "\n{text}");
}

fn print_table(cells: &[Cell]) {
    print!("| fault |");
    STEPS.iter().for_each(|(name, _)| print!(" {name} |"));
    println!("\n|---{}|", "|---".repeat(STEPS.len()));
    for (name, fault) in FAULTS {
        print!("| {name} |");
        for (_, step) in STEPS {
            let cell = cells.iter().find(|cell| cell.faults[0] == fault && cell.step == step);
            print!(" {} |", cell.map_or("none", Cell::mark));
        }
        println!();
    }
    for (fault, step) in all_cells() {
        if let Some(reason) = skip_reason(fault, step) {
            println!("none: {} / {}: {reason}", fault.name(), step.name());
        }
    }
}

/// Prints the counts of callers' outcomes, which show that the faults take effect.
fn print_outcomes(cells: &[Cell]) {
    println!("| fault | well | failed | not-run | unknown | broken | nothing |");
    println!("|---|---|---|---|---|---|---|");
    for (name, fault) in FAULTS {
        let cells_of_row = || cells.iter().filter(|cell| cell.faults[0] == fault);
        let sum = |count: fn(&OutcomeCounts) -> usize| {
            cells_of_row().map(|cell| count(&cell.counts)).sum()
        };
        let counts: [usize; 6] = [
            sum(|counts| counts.succeeded),
            sum(|counts| counts.failed),
            sum(|counts| counts.not_run),
            sum(|counts| counts.unknown),
            sum(|counts| counts.broken),
            sum(|counts| counts.timed_out),
        ];
        println!("| {name} | {} |", counts.map(|count| count.to_string()).join(" | "));
    }
}

fn all_cells() -> impl Iterator<Item = (Fault, Step)> {
    FAULTS.iter().flat_map(|(_, fault)| STEPS.iter().map(|(_, step)| (*fault, *step)))
}

/// Guards the seven invariants: every request gets an answer or a refusal in time (1);
/// an answer is complete and belongs to its request (2); `not-run` is true (3); no booking
/// runs twice (4); a draining endpoint gets no new requests (5); a planned stop cuts off no
/// request (6); no VM goes back to an older configuration (7). Each cell injects one fault
/// at one step of requests in flight and removes it afterwards.
#[test]
fn every_fault_at_every_step_keeps_the_invariants() {
    let cells = all_cells().filter(|(fault, step)| skip_reason(*fault, *step).is_none());
    let cells = run(cells.map(|(fault, step)| (vec![fault], step)).collect(), 0);
    print_table(&cells);
    print_outcomes(&cells);
    assert_no_violations(&cells);
}

/// Guards the same invariants with two faults at the same time, for a random choice of pairs.
#[test]
fn pairs_of_faults_keep_the_invariants() {
    let mut random = Gen::from_size_and_seed(10, SEED);
    let mut cells: Vec<(Vec<Fault>, Step)> = Vec::new();
    while cells.len() < PAIR_CELLS {
        let mut draw = |count: usize| usize::arbitrary(&mut random) % count;
        let pair = [FAULTS[draw(FAULTS.len())].1, FAULTS[draw(FAULTS.len())].1];
        let step = STEPS[draw(STEPS.len())].1;
        let is_drawn = cells.iter().any(|(faults, at)| faults[..] == pair && *at == step);
        let is_valid = pair.iter().all(|fault| skip_reason(*fault, step).is_none());
        if pair[0] != pair[1] && is_valid && !is_drawn {
            cells.push((pair.to_vec(), step));
        }
    }
    let cells = run(cells, 1_000);
    cells.iter().for_each(|cell| println!("{}: {}", cell.name(), cell.mark()));
    assert_no_violations(&cells);
}
