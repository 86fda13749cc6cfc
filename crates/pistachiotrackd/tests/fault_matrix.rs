//! The fault matrix: every fault at every step, over the whole path from the
//! caller to the endpoint. `docs/FAULT-MATRIX.md` explains rows and columns.

mod testenv;

#[path = "fault_matrix/mod.rs"]
mod matrix;

use std::fmt::Write;

use futures_util::{StreamExt, stream};
use matrix::{
    cell,
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

type Verdict = (Vec<Fault>, Step, Vec<String>);

fn run(cells: Vec<(Vec<Fault>, Step)>, first: u16) -> Vec<Verdict> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build().unwrap();
    let verdicts = stream::iter(cells.into_iter().enumerate())
        .map(|(index, (faults, step))| async move {
            let cell = async move {
                let breaches = cell::run(first + index as u16, &faults, step).await;
                (faults, step, breaches)
            };
            tokio::spawn(cell).await.unwrap()
        })
        .buffer_unordered(CELLS_AT_ONCE);
    runtime.block_on(verdicts.collect())
}

fn breaches(verdicts: &[Verdict]) -> String {
    let mut text = String::new();
    for (faults, step, breaches) in verdicts.iter().filter(|(_, _, breaches)| !breaches.is_empty())
    {
        let names: Vec<&str> = faults.iter().map(|fault| fault.name()).collect();
        writeln!(text, "{} / {}:", names.join(" + "), step.name()).unwrap();
        for breach in breaches {
            writeln!(text, "    {breach}").unwrap();
        }
    }
    text
}

/// Any of seven promises is broken for a caller: no answer or refusal in time,
/// another's or half an answer, a false `not-run`, a doubled booking, work to a
/// leaving endpoint, a request cut by a planned stop, an older configuration.
/// One fault strikes at one step of requests in flight; afterwards it is mended.
#[test]
fn every_fault_at_every_step_keeps_the_invariants() {
    let all = FAULTS.iter().flat_map(|(_, fault)| STEPS.iter().map(|(_, step)| (*fault, *step)));
    let cells = all.filter(|(fault, step)| without_meaning(*fault, *step).is_none());
    let verdicts = run(cells.map(|(fault, step)| (vec![fault], step)).collect(), 0);
    print!("| fault |");
    STEPS.iter().for_each(|(name, _)| print!(" {name} |"));
    println!("\n|---{}|", "|---".repeat(STEPS.len()));
    for (name, fault) in FAULTS {
        print!("| {name} |");
        for (_, step) in STEPS {
            let verdict = verdicts.iter().find(|(faults, at, _)| faults[0] == fault && *at == step);
            let mark = match verdict {
                None => "none",
                Some((_, _, breaches)) if breaches.is_empty() => "ok",
                Some(_) => "BROKEN",
            };
            print!(" {mark} |");
        }
        println!();
    }
    for (name, fault) in FAULTS {
        for (step_name, step) in STEPS {
            if let Some(reason) = without_meaning(fault, step) {
                println!("none: {name} / {step_name}: {reason}");
            }
        }
    }
    let breaches = breaches(&verdicts);
    assert!(breaches.is_empty(), "\n{breaches}");
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
    let verdicts = run(cells, 1_000);
    for (faults, step, breaches) in &verdicts {
        let mark = if breaches.is_empty() { "ok" } else { "BROKEN" };
        println!("| {} + {} | {} | {mark} |", faults[0].name(), faults[1].name(), step.name());
    }
    let breaches = breaches(&verdicts);
    assert!(breaches.is_empty(), "\n{breaches}");
}
