//! Stride scheduling among the customers of one priority tier.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::{QueueEntry, customer_queue::CustomerQueue};
use crate::{name::Name, request::Class};

/// Number of requests by which a customer may lag behind its share before it takes precedence
/// over more urgent classes.
pub(super) const LAG_REQUESTS: u128 = 2;
/// Virtual time that one request costs a customer of weight one.
const STRIDE: u128 = 1 << 32;
/// Number of served requests after which idle customers are evicted.
const EVICTION_INTERVAL: u32 = 256;

/// Customers that share slots in proportion to their weights.
///
/// Virtual time advances at the rate of a customer that gets exactly its share. An idle
/// customer earns no credit: when it becomes active its pass is set to the current virtual time.
#[derive(Clone, Debug, Default)]
pub(super) struct Tier {
    customers: FxHashMap<Name, CustomerQueue>,
    /// Customers with waiting requests by most urgent class and pass.
    by_urgency: BTreeSet<(Class, u128, Name)>,
    /// The same customers by the virtual time at which they become overdue.
    by_overdue_time: BTreeSet<(u128, Name)>,
    /// The same customers by number of waiting requests per weight.
    by_backlog: BTreeSet<(u64, Name)>,
    waiting: [usize; Class::ALL.len()],
    virtual_time: u128,
    active_weight: u64,
    served_since_eviction: u32,
}

impl Tier {
    pub(super) fn len(&self) -> usize {
        self.waiting.iter().sum()
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = (Name, Class, QueueEntry)> {
        self.customers.iter().flat_map(|(name, queue)| {
            queue.entries().map(|(class, entry)| (name.clone(), class, entry))
        })
    }

    pub(super) fn push(&mut self, customer: &Name, weight: u32, class: Class, entry: QueueEntry) {
        self.unindex(customer);
        let virtual_time = self.virtual_time;
        let queue = self
            .customers
            .entry(customer.clone())
            .or_insert_with(|| CustomerQueue::new(weight, virtual_time));
        if queue.is_empty() {
            queue.pass = queue.pass.max(virtual_time);
        }
        queue.insert(class, entry);
        self.waiting[class as usize] += 1;
        self.index(customer);
    }

    pub(super) fn peek(&self) -> Option<QueueEntry> {
        let queue = self.customers.get(self.next_customer()?)?;
        queue.first().map(|(_, entry)| entry)
    }

    pub(super) fn pop(&mut self) -> Option<QueueEntry> {
        let customer = self.next_customer()?.clone();
        let active_weight = u128::from(self.active_weight.max(1));
        self.unindex(&customer);
        let queue = self.customers.get_mut(&customer)?;
        let (class, entry) = queue.pop_first()?;
        let cost = (queue.cost * STRIDE as f64) as u128;
        queue.pass += cost / u128::from(queue.weight);
        self.virtual_time += cost / active_weight;
        self.waiting[class as usize] -= 1;
        self.index(&customer);
        self.evict_idle();
        Some(entry)
    }

    pub(super) fn remove(&mut self, customer: &Name, class: Class, entry: QueueEntry) -> bool {
        self.unindex(customer);
        let removed =
            self.customers.get_mut(customer).is_some_and(|queue| queue.remove(class, entry));
        if removed {
            self.waiting[class as usize] -= 1;
        }
        self.index(customer);
        removed
    }

    pub(super) fn record_slot_time(&mut self, customer: &Name, relative_slot_time: f64) {
        if let Some(queue) = self.customers.get_mut(customer) {
            queue.record_slot_time(relative_slot_time);
        }
    }

    /// Returns the least urgent request of the customer with the largest relative backlog.
    pub(super) fn least_urgent(&self) -> Option<QueueEntry> {
        let (_, customer) = self.by_backlog.last()?;
        self.customers.get(customer)?.least_urgent().map(|(_, entry)| entry)
    }

    pub(super) fn eviction_candidate(
        &self,
        customer: &Name,
        weight: u32,
        class: Class,
    ) -> Option<QueueEntry> {
        let own = self.customers.get(customer);
        let own_len = own.map_or(0, CustomerQueue::len);
        let (largest_backlog, largest) = self.by_backlog.last()?;
        if largest != customer && *largest_backlog > relative_backlog(own_len + 1, weight) {
            return self.least_urgent();
        }
        own?.least_urgent().filter(|(other, _)| *other > class).map(|(_, entry)| entry)
    }

    pub(super) fn requests_ahead(&self, customer: &Name, weight: u32, class: Class) -> f64 {
        let all: usize = self.waiting[..=class as usize].iter().sum();
        let queue = self.customers.get(customer);
        let own = queue.map_or(0, |queue| queue.len_at_or_above(class));
        let is_active = queue.is_some_and(|queue| !queue.is_empty());
        let added_weight = if is_active { 0 } else { u64::from(weight) };
        let total_per_own = (self.active_weight + added_weight) as f64 / f64::from(weight);
        (all as f64 + 1.0).min((own as f64 + 1.0) * total_per_own)
    }

    fn next_customer(&self) -> Option<&Name> {
        let overdue =
            self.by_overdue_time.first().filter(|(overdue_at, _)| *overdue_at <= self.virtual_time);
        overdue
            .map(|(_, customer)| customer)
            .or_else(|| self.by_urgency.first().map(|(_, _, customer)| customer))
    }

    fn index(&mut self, customer: &Name) {
        let Some(queue) = self.customers.get(customer) else { return };
        let Some(class) = queue.most_urgent() else { return };
        self.by_urgency.insert((class, queue.pass, customer.clone()));
        self.by_overdue_time.insert((overdue_at(queue), customer.clone()));
        self.by_backlog.insert((relative_backlog(queue.len(), queue.weight), customer.clone()));
        self.active_weight += u64::from(queue.weight);
    }

    fn unindex(&mut self, customer: &Name) {
        let Some(queue) = self.customers.get(customer) else { return };
        let Some(class) = queue.most_urgent() else { return };
        self.by_urgency.remove(&(class, queue.pass, customer.clone()));
        self.by_overdue_time.remove(&(overdue_at(queue), customer.clone()));
        self.by_backlog.remove(&(relative_backlog(queue.len(), queue.weight), customer.clone()));
        self.active_weight -= u64::from(queue.weight);
    }

    fn evict_idle(&mut self) {
        self.served_since_eviction += 1;
        if self.served_since_eviction < EVICTION_INTERVAL {
            return;
        }
        self.served_since_eviction = 0;
        let virtual_time = self.virtual_time;
        self.customers.retain(|_, queue| !queue.is_empty() || queue.pass > virtual_time);
    }
}

fn overdue_at(queue: &CustomerQueue) -> u128 {
    queue.pass + LAG_REQUESTS * STRIDE / u128::from(queue.weight)
}

fn relative_backlog(waiting: usize, weight: u32) -> u64 {
    waiting as u64 * 1_000_000 / u64::from(weight)
}
