//! The fault matrix: every fault at every step, over the whole path from the
//! caller to the endpoint. `docs/FAULT-MATRIX.md` explains rows and columns.

mod testenv;

#[path = "fault_matrix/mod.rs"]
mod matrix;

use std::fmt::Write;

use futures_util::{StreamExt, stream};
use matrix::{
    caller::Tally,
    cell::{self, Cell},
    endpoint::Sickness,
    fault::{FAULTS, Fault},
    step::{STEPS, Step},
};
use quickcheck::{Arbitrary, Gen};

/// Cells that run at the same time.
const CELLS_AT_ONCE: usize = 36;
/// Pairs of faults.
const PAIRS: usize = 20;
/// Seed of the choice of pairs.
const SEED: u64 = 20_261_202;

/// Returns why a cell has no meaning of its own.
fn without_meaning(fault: Fault, step: Step) -> Option<&'static str> {
    match (fault, step) {
        (Fault::Sick(Sickness::Draining), Step::EndpointDrain) => {
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
        .buffer_unordered(CELLS_AT_ONCE);
    runtime.block_on(cells.collect())
}

fn assert_unbroken(cells: &[Cell]) {
    let mut text = String::new();
    for cell in cells.iter().filter(|cell| !cell.breaches.is_empty()) {
        writeln!(text, "{}:\n    {}", cell.name(), cell.breaches.join("\n    ")).unwrap();
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
        if let Some(reason) = without_meaning(fault, step) {
            println!("none: {} / {}: {reason}", fault.name(), step.name());
        }
    }
}

/// Prints what callers got, which shows that the faults strike.
fn print_outcomes(cells: &[Cell]) {
    println!("| fault | well | failed | not-run | unknown | broken | nothing |");
    println!("|---|---|---|---|---|---|---|");
    for (name, fault) in FAULTS {
        let of_row = || cells.iter().filter(|cell| cell.faults[0] == fault);
        let sum = |count: fn(&Tally) -> usize| of_row().map(|cell| count(&cell.tally)).sum();
        let counts: [usize; 6] = [
            sum(|tally| tally.well),
            sum(|tally| tally.failed),
            sum(|tally| tally.not_run),
            sum(|tally| tally.unknown),
            sum(|tally| tally.broken),
            sum(|tally| tally.nothing),
        ];
        println!("| {name} | {} |", counts.map(|count| count.to_string()).join(" | "));
    }
}

fn all_cells() -> impl Iterator<Item = (Fault, Step)> {
    FAULTS.iter().flat_map(|(_, fault)| STEPS.iter().map(|(_, step)| (*fault, *step)))
}

/// Any of seven promises is broken for a caller: no answer or refusal in time,
/// another's or half an answer, a false `not-run`, a doubled booking, work to a
/// leaving endpoint, a request cut by a planned stop, an older configuration.
/// One fault strikes at one step of requests in flight; afterwards it is mended.
#[test]
fn every_fault_at_every_step_keeps_the_invariants() {
    let cells = all_cells().filter(|(fault, step)| without_meaning(*fault, *step).is_none());
    let cells = run(cells.map(|(fault, step)| (vec![fault], step)).collect(), 0);
    print_table(&cells);
    print_outcomes(&cells);
    assert_unbroken(&cells);
}

/// The same with two faults at once, since any of them may come together.
#[test]
fn pairs_of_faults_keep_the_invariants() {
    let mut random = Gen::from_size_and_seed(10, SEED);
    let mut cells: Vec<(Vec<Fault>, Step)> = Vec::new();
    while cells.len() < PAIRS {
        let mut draw = |count: usize| usize::arbitrary(&mut random) % count;
        let pair = [FAULTS[draw(FAULTS.len())].1, FAULTS[draw(FAULTS.len())].1];
        let step = STEPS[draw(STEPS.len())].1;
        let known = cells.iter().any(|(faults, at)| faults[..] == pair && *at == step);
        let meaning = pair.iter().all(|fault| without_meaning(*fault, step).is_none());
        if pair[0] != pair[1] && meaning && !known {
            cells.push((pair.to_vec(), step));
        }
    }
    let cells = run(cells, 1_000);
    cells.iter().for_each(|cell| println!("{}: {}", cell.name(), cell.mark()));
    assert_unbroken(&cells);
}
