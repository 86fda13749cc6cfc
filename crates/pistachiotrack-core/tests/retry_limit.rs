//! Property of the retry limit: it holds over all histories.

mod retry_limit_support;

use quickcheck::{Arbitrary, Gen};
use retry_limit_support::{Fleet, history::History};

const HISTORIES: usize = 200;

/// VMs are cut off, paused, restarted and replaced while endpoints fail, and datagrams are lost or
/// late. The VMs would send more retries together than the limit allows.
#[test]
fn no_history_exceeds_the_retry_limit() {
    let mut random = Gen::from_size_and_seed(40, 55);
    let histories = (0..HISTORIES).map(|_| History::arbitrary(&mut random));
    let excess = |history: History| (Fleet::new(history.clone()).run().sent.excess(), history);
    let mut exceeded: Vec<_> = histories.map(excess).filter(|(excess, _)| *excess > 0.0).collect();
    exceeded.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    assert!(exceeded.is_empty(), "{} exceed it, most: {:?}", exceeded.len(), exceeded[0]);
}
