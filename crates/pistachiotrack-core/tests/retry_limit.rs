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
    assert_none_exceeds((0..HISTORIES).map(|_| History::arbitrary(&mut random)));
}

/// VMs are restarted again and again while endpoints fail. Each process would use what its requests earn,
/// while what the one before it used still counts.
#[test]
fn no_series_of_restarts_exceeds_the_retry_limit() {
    assert_none_exceeds(histories_with_restarts_in_series().map(History::without_cuts));
}

/// The same beside partitions. VMs on both sides of one would see most of the expected dispatchers after a
/// window, and use the slack twice.
#[test]
fn no_partition_beside_restarts_exceeds_the_retry_limit() {
    assert_none_exceeds(histories_with_restarts_in_series());
}

/// VMs are restarted in a partition, beside others that know of the other side. They would take their own
/// side for the whole fleet.
#[test]
fn no_restart_of_some_vms_in_a_partition_exceeds_the_retry_limit() {
    assert_none_exceeds(histories_with_restarts_in_partitions(false));
}

/// All VMs of one side of a partition are restarted, and none of them knows of the other side.
#[test]
fn no_restart_of_a_side_of_a_partition_exceeds_the_retry_limit() {
    assert_none_exceeds(histories_with_restarts_in_partitions(true));
}

fn histories_with_restarts_in_partitions(whole_side: bool) -> impl Iterator<Item = History> {
    let mut random = Gen::from_size_and_seed(40, 62);
    (0..HISTORIES).map(move |_| History::of_restart_in_partition(&mut random, whole_side))
}

fn histories_with_restarts_in_series() -> impl Iterator<Item = History> {
    let mut random = Gen::from_size_and_seed(40, 61);
    let history = move |_| History::arbitrary(&mut random).with_restarts_in_series(&mut random);
    (0..HISTORIES).map(history)
}

fn assert_none_exceeds(histories: impl Iterator<Item = History>) {
    let excess = |history: History| (Fleet::new(history.clone()).run().sent.excess(), history);
    let mut exceeded: Vec<_> = histories.map(excess).filter(|(excess, _)| *excess > 0.0).collect();
    exceeded.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    assert!(exceeded.is_empty(), "{} exceed it, most: {:?}", exceeded.len(), exceeded[0]);
}
