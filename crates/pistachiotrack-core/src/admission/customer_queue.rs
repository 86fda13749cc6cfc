//! Waiting requests of one customer.

use std::collections::BTreeSet;

use super::QueueEntry;
use crate::request::Class;

/// Every so many requests of a customer, its least urgent class is served first, so that its own
/// urgent requests can't starve that class.
const LEAST_URGENT_INTERVAL: u8 = 8;
/// Weight of a new sample in the moving average of the customer's relative slot time.
const COST_WEIGHT: f64 = 0.1;
/// Bounds of a sample of the relative slot time.
const COST_RANGE: (f64, f64) = (0.1, 10.0);

#[derive(Clone, Debug)]
pub(super) struct CustomerQueue {
    pub(super) weight: u32,
    /// Virtual time up to which the customer has been served.
    pub(super) pass: u128,
    /// Moving average of the slot time relative to that of all customers.
    pub(super) cost: f64,
    queues: [BTreeSet<QueueEntry>; Class::ALL.len()],
    /// Requests served since the least urgent class was served first.
    served: u8,
}

impl CustomerQueue {
    pub(super) fn new(weight: u32, pass: u128) -> CustomerQueue {
        CustomerQueue { weight, pass, cost: 1.0, queues: Default::default(), served: 0 }
    }

    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(BTreeSet::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queues.iter().all(BTreeSet::is_empty)
    }

    /// Returns the number of waiting requests of `class` and more urgent classes.
    pub(super) fn len_at_or_above(&self, class: Class) -> usize {
        self.queues[..=class as usize].iter().map(BTreeSet::len).sum()
    }

    pub(super) fn most_urgent(&self) -> Option<Class> {
        Class::ALL.into_iter().find(|class| !self.queues[*class as usize].is_empty())
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = (Class, QueueEntry)> {
        Class::ALL
            .into_iter()
            .flat_map(|class| self.queues[class as usize].iter().map(move |entry| (class, *entry)))
    }

    pub(super) fn insert(&mut self, class: Class, entry: QueueEntry) {
        self.queues[class as usize].insert(entry);
    }

    pub(super) fn remove(&mut self, class: Class, entry: QueueEntry) -> bool {
        self.queues[class as usize].remove(&entry)
    }

    pub(super) fn first(&self) -> Option<(Class, QueueEntry)> {
        let class = if self.served + 1 >= LEAST_URGENT_INTERVAL {
            Class::ALL.into_iter().rev().find(|class| !self.queues[*class as usize].is_empty())
        } else {
            self.most_urgent()
        }?;
        self.queues[class as usize].first().map(|entry| (class, *entry))
    }

    pub(super) fn pop_first(&mut self) -> Option<(Class, QueueEntry)> {
        let (class, entry) = self.first()?;
        self.remove(class, entry);
        self.served = (self.served + 1) % LEAST_URGENT_INTERVAL;
        Some((class, entry))
    }

    /// Returns the request with the least urgent class and, within it, the latest deadline.
    pub(super) fn least_urgent(&self) -> Option<(Class, QueueEntry)> {
        Class::ALL
            .into_iter()
            .rev()
            .find_map(|class| self.queues[class as usize].last().map(|entry| (class, *entry)))
    }

    pub(super) fn record_slot_time(&mut self, relative_slot_time: f64) {
        let sample = relative_slot_time.clamp(COST_RANGE.0, COST_RANGE.1);
        self.cost += (sample - self.cost) * COST_WEIGHT;
    }
}
