//! Property of coverage: sound endpoints get requests while others can't serve all.

mod coverage_support;

use coverage_support::{Fleet, History};
use quickcheck::{Arbitrary, Gen};

const HISTORIES: usize = 40;

/// Some dispatchers can't reach some endpoints, and their attempts keep the others from trying these.
#[test]
fn no_history_leaves_sound_endpoints_idle() {
    let mut random = Gen::from_size_and_seed(40, 61);
    let mut judged = 0;
    let mut broken = Vec::new();
    for _ in 0..HISTORIES {
        let history = History::arbitrary(&mut random);
        let fleet = Fleet::new(history.clone()).run();
        judged += fleet.judged;
        if let Some(first) = fleet.too_few.first() {
            broken.push((fleet.too_few.len(), *first, history));
        }
    }
    assert!(judged > 1_000, "{judged} moments judged");
    broken.sort_by_key(|(count, ..)| *count);
    let worst = broken.last();
    assert!(broken.is_empty(), "{} histories of {HISTORIES}, worst: {worst:?}", broken.len());
}
