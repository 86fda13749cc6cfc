//! Admission queue: shares, classes, deadlines and refusals.

mod shard_support;

use std::{collections::BTreeSet, time::Duration};

use pistachiotrack_core::{
    admission::{AdmissionQueue, QueueEntry},
    name::Name,
    refusal::{Execution, Reason},
    request::{Class, RequestId},
    shard::ShardAction,
    time::Time,
};
use quickcheck::{Gen, QuickCheck};
use shard_support::{Harness, config};

fn queue(contracts: &[(&str, u32)]) -> AdmissionQueue {
    let mut queue = AdmissionQueue::default();
    queue.set_weights(contracts.iter().map(|(name, slots)| (Name::from(*name), *slots)).collect());
    queue
}

fn entry(id: u64, deadline_ms: u64) -> QueueEntry {
    QueueEntry { deadline: Time::from_millis(deadline_ms), request: RequestId(id) }
}

/// Adds `count` requests of a customer to the queue, numbered from `first`.
fn fill(queue: &mut AdmissionQueue, customer: &str, class: Class, first: u64, count: u64) {
    for id in first..first + count {
        queue.push(&Name::from(customer), class, entry(id, 1_000 + id));
    }
}

fn pop(queue: &mut AdmissionQueue, count: usize) -> Vec<u64> {
    (0..count).filter_map(|_| queue.pop()).map(|request| request.0).collect()
}

// Interactive requests go before batch work, and within a class the earliest deadline goes first.
#[test]
fn urgent_class_then_earliest_deadline_goes_first() {
    let mut queue = queue(&[("a", 1)]);
    let a = Name::from("a");
    queue.push(&a, Class::Batch, entry(1, 100));
    queue.push(&a, Class::Interactive, entry(2, 900));
    queue.push(&a, Class::Interactive, entry(3, 500));
    queue.push(&a, Class::Standard, entry(4, 50));
    assert_eq!(pop(&mut queue, 4), [3, 2, 4, 1]);
}

// Under overload, a customer with three times the slots of another gets three times its requests
// served.
#[test]
fn shares_follow_the_contracts() {
    let mut queue = queue(&[("a", 3), ("b", 1)]);
    fill(&mut queue, "a", Class::Standard, 0, 100);
    fill(&mut queue, "b", Class::Standard, 1_000, 100);
    let of_a = pop(&mut queue, 80).iter().filter(|id| **id < 1_000).count();
    assert!((59..=61).contains(&of_a), "{of_a} of 80");
}

// A customer that marks everything as interactive must not take the slots that another customer,
// with batch work only, has bought.
#[test]
fn class_does_not_take_another_customers_share() {
    let mut queue = queue(&[("a", 1), ("b", 1)]);
    fill(&mut queue, "a", Class::Interactive, 0, 100);
    fill(&mut queue, "b", Class::Batch, 1_000, 100);
    let of_b = pop(&mut queue, 80).iter().filter(|id| **id >= 1_000).count();
    assert!((37..=40).contains(&of_b), "{of_b} of 80");
}

// A customer that was idle must not claim its unused share when it returns: that would starve
// the others for as long as it was idle.
#[test]
fn idle_time_earns_no_credit() {
    let mut queue = queue(&[("a", 1), ("b", 1)]);
    fill(&mut queue, "a", Class::Standard, 0, 100);
    pop(&mut queue, 50);
    fill(&mut queue, "b", Class::Standard, 1_000, 100);
    let of_a = pop(&mut queue, 20).iter().filter(|id| **id < 1_000).count();
    assert!((9..=11).contains(&of_a), "{of_a} of 20");
}

// A customer without a contract uses idle slots only.
#[test]
fn customer_without_contract_waits_for_all_others() {
    let mut queue = queue(&[("a", 1)]);
    fill(&mut queue, "none", Class::Interactive, 1_000, 5);
    fill(&mut queue, "a", Class::Batch, 0, 5);
    let order = pop(&mut queue, 10);
    assert!(order[..5].iter().all(|id| *id < 1_000), "{order:?}");
}

// A continuous load of interactive requests must not starve the same customer's batch work.
#[test]
fn own_urgent_work_does_not_starve_batch() {
    let mut queue = queue(&[("a", 1)]);
    fill(&mut queue, "a", Class::Batch, 1_000, 10);
    fill(&mut queue, "a", Class::Interactive, 0, 100);
    let batch = pop(&mut queue, 80).iter().filter(|id| **id >= 1_000).count();
    assert_eq!(batch, 10);
}

// A customer whose requests take four times as long as another's gets a quarter of its requests
// served, because contracts are for slots.
#[test]
fn long_requests_cost_more_of_the_share() {
    let mut queue = queue(&[("a", 1), ("b", 1)]);
    fill(&mut queue, "a", Class::Standard, 0, 200);
    fill(&mut queue, "b", Class::Standard, 1_000, 200);
    for _ in 0..100 {
        queue.record_slot_time(&Name::from("a"), 1.6);
        queue.record_slot_time(&Name::from("b"), 0.4);
    }
    let of_a = pop(&mut queue, 100).iter().filter(|id| **id < 1_000).count();
    assert!((19..=21).contains(&of_a), "{of_a} of 100");
}

// Property: with requests added, removed and served in any order, each request is served or
// removed exactly once and none is lost.
#[test]
fn queue_neither_loses_nor_duplicates_requests() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut queue = queue(&[("a", 3), ("b", 1)]);
        let mut waiting = BTreeSet::new();
        for (id, (kind, customer, class)) in steps.into_iter().enumerate() {
            let customer = Name::from(["a", "b", "none"][usize::from(customer) % 3]);
            let class = Class::ALL[usize::from(class) % 3];
            let entry = entry(id as u64, u64::from(kind));
            match kind % 4 {
                0 => {
                    let peeked = queue.peek();
                    let popped = queue.pop();
                    let known = waiting
                        .iter()
                        .find(|(_, _, t): &&(Name, Class, QueueEntry)| Some(t.request) == popped);
                    if peeked != popped || known.is_none() != popped.is_none() {
                        return false;
                    }
                    if let Some(known) = known.cloned() {
                        waiting.remove(&known);
                    }
                }
                1 => {
                    let Some(first) = waiting.first().cloned() else { continue };
                    let (customer, class, entry) = &first;
                    if !queue.remove(customer, *class, *entry)
                        || queue.remove(customer, *class, *entry)
                    {
                        return false;
                    }
                    waiting.remove(&first);
                }
                _ => {
                    queue.push(&customer, class, entry);
                    waiting.insert((customer, class, entry));
                }
            }
            if queue.len() != waiting.len() {
                return false;
            }
        }
        pop(&mut queue, waiting.len() + 1).len() == waiting.len()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 0xad01))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Returns a harness whose only slot is occupied; requests usually take 100 ms.
fn busy_harness() -> Harness {
    let mut harness = Harness::new(config(1, 1, &[("a", 3), ("b", 1)]));
    for _ in 0..40 {
        let id = harness.send(10_000, |_| {});
        harness.now += Duration::from_millis(100);
        harness.answer(harness.attempt(id));
    }
    harness.send(10_000, |_| {});
    harness
}

// A request whose expected wait exceeds its deadline is refused at once, so that the caller can
// go elsewhere without waiting in vain.
#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut harness = busy_harness();
    for _ in 0..5 {
        harness.send(10_000, |_| {});
    }
    let id = harness.send(300, |request| request.idempotent = false);
    assert_eq!(harness.refusal(id), Some((Execution::NotRun, Reason::WaitTooLong)));
    let Some(ShardAction::Refuse { refusal, .. }) = harness.requests[&id].final_actions.first()
    else {
        panic!("not refused");
    };
    assert!(refusal.retry_after_ms.is_some_and(|ms| (300..2_000).contains(&ms)), "{refusal:?}");
}

// One customer has filled the queue. A request of another customer with a contract is still
// admitted; the least urgent request of the first customer is refused instead.
#[test]
fn full_queue_evicts_from_the_customer_with_the_largest_backlog() {
    let mut harness = busy_harness();
    let backlog: Vec<RequestId> = (0..8).map(|_| harness.send(10_000, |_| {})).collect();
    let more = harness.send(10_000, |_| {});
    assert_eq!(harness.refusal(more), Some((Execution::NotRun, Reason::QueueFull)));
    let other = harness.send(10_000, |request| request.customer = Name::from("b"));
    assert!(harness.requests[&other].final_actions.is_empty());
    let refused = backlog.iter().filter(|id| harness.refusal(**id).is_some()).count();
    assert_eq!(refused, 1);
}

// A request whose deadline passes in the queue is refused as not run and isn't dispatched.
#[test]
fn request_expires_in_the_queue() {
    let mut harness = busy_harness();
    let id = harness.send(1_000, |request| request.idempotent = false);
    harness.tick(950);
    assert_eq!(harness.refusal(id), Some((Execution::NotRun, Reason::DeadlinePassed)));
}

// When all endpoints leave, waiting requests are refused at once.
#[test]
fn queue_is_refused_when_no_endpoint_is_left() {
    let mut harness = busy_harness();
    let id = harness.send(10_000, |_| {});
    let mut empty = harness.config.clone();
    empty.services[0].endpoints[0].leaving = true;
    harness.configure(empty);
    assert_eq!(harness.refusal(id), Some((Execution::NotRun, Reason::NoEndpoint)));
    assert_eq!(harness.violations, Vec::<String>::new());
}
