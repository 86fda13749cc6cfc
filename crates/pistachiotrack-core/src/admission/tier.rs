//! Weighted shares among customers of equal standing.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::{QueueEntry, customer_queue::CustomerQueue};
use crate::{name::Name, request::Class};

/// Requests that a customer may be owed before it goes before every class.
pub(super) const LAG_REQUESTS: u128 = 2;
/// Virtual time that one request costs a customer of weight one.
const STRIDE: u128 = 1 << 32;
/// Served requests after which idle customers are looked for.
const EVICTION_INTERVAL: u32 = 256;

/// Customers that share by weight.
///
/// Virtual time runs so that a customer that gets exactly its share keeps up
/// with it. An idle customer earns no credit: it enters at the present time.
#[derive(Clone, Debug, Default)]
pub(super) struct Tier {
    customers: FxHashMap<Name, CustomerQueue>,
    /// Customers with waiting requests by most urgent class and service had.
    by_urgency: BTreeSet<(Class, u128, Name)>,
    /// The same customers by the virtual time at which they are overdue.
    by_overdue_time: BTreeSet<(u128, Name)>,
    /// The same customers by waiting requests per weight.
    by_backlog: BTreeSet<(u64, Name)>,
    waiting: [usize; Class::ALL.len()],
    virtual_time: u128,
    active_weight: u64,
    served: u32,
}

impl Tier {
    pub(super) fn len(&self) -> usize {
        self.waiting.iter().sum()
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = (Name, Class, QueueEntry)> {
        self.customers.iter().flat_map(|(name, customer_queue)| {
            customer_queue.entries().map(|(class, entry)| (name.clone(), class, entry))
        })
    }

    pub(super) fn push(&mut self, customer: &Name, weight: u32, class: Class, entry: QueueEntry) {
        self.unindex(customer);
        let virtual_time = self.virtual_time;
        let customer_queue = self
            .customers
            .entry(customer.clone())
            .or_insert_with(|| CustomerQueue::new(weight, virtual_time));
        if customer_queue.is_empty() {
            customer_queue.pass = customer_queue.pass.max(virtual_time);
        }
        customer_queue.insert(class, entry);
        self.waiting[class as usize] += 1;
        self.index(customer);
    }

    pub(super) fn peek(&self) -> Option<QueueEntry> {
        let customer_queue = self.customers.get(self.next_customer()?)?;
        customer_queue.first().map(|(_, entry)| entry)
    }

    pub(super) fn pop(&mut self) -> Option<QueueEntry> {
        let customer = self.next_customer()?.clone();
        let active_weight = u128::from(self.active_weight.max(1));
        self.unindex(&customer);
        let customer_queue = self.customers.get_mut(&customer)?;
        let (class, entry) = customer_queue.pop_first()?;
        let cost = (customer_queue.cost * STRIDE as f64) as u128;
        customer_queue.pass += cost / u128::from(customer_queue.weight);
        self.virtual_time += cost / active_weight;
        self.waiting[class as usize] -= 1;
        self.index(&customer);
        self.evict_idle();
        Some(entry)
    }

    pub(super) fn remove(&mut self, customer: &Name, class: Class, entry: QueueEntry) -> bool {
        self.unindex(customer);
        let removed = self
            .customers
            .get_mut(customer)
            .is_some_and(|customer_queue| customer_queue.remove(class, entry));
        if removed {
            self.waiting[class as usize] -= 1;
        }
        self.index(customer);
        removed
    }

    pub(super) fn record_slot_time(&mut self, customer: &Name, relative_slot_time: f64) {
        if let Some(customer_queue) = self.customers.get_mut(customer) {
            customer_queue.record_slot_time(relative_slot_time);
        }
    }

    /// Returns the request that the most by_backlog customer misses least.
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
        let (least_urgent, by_backlog) = self.by_backlog.last()?;
        if by_backlog != customer && *least_urgent > relative_backlog(own_len + 1, weight) {
            return self.least_urgent();
        }
        own?.least_urgent().filter(|(other, _)| *other > class).map(|(_, entry)| entry)
    }

    pub(super) fn requests_ahead(&self, customer: &Name, weight: u32, class: Class) -> f64 {
        let all: usize = self.waiting[..=class as usize].iter().sum();
        let customer_queue = self.customers.get(customer);
        let own = customer_queue.map_or(0, |customer_queue| customer_queue.len_at_or_above(class));
        let is_active = customer_queue.is_some_and(|customer_queue| !customer_queue.is_empty());
        let others = if is_active { 0 } else { u64::from(weight) };
        let per_own = (self.active_weight + others) as f64 / f64::from(weight);
        (all as f64 + 1.0).min((own as f64 + 1.0) * per_own)
    }

    fn next_customer(&self) -> Option<&Name> {
        let overdue = self
            .by_overdue_time
            .first()
            .filter(|(by_overdue_time, _)| *by_overdue_time <= self.virtual_time);
        overdue
            .map(|(_, customer)| customer)
            .or_else(|| self.by_urgency.first().map(|(_, _, customer)| customer))
    }

    fn index(&mut self, customer: &Name) {
        let Some(customer_queue) = self.customers.get(customer) else { return };
        let Some(class) = customer_queue.most_urgent() else { return };
        self.by_urgency.insert((class, customer_queue.pass, customer.clone()));
        self.by_overdue_time.insert((overdue_at(customer_queue), customer.clone()));
        self.by_backlog.insert((
            relative_backlog(customer_queue.len(), customer_queue.weight),
            customer.clone(),
        ));
        self.active_weight += u64::from(customer_queue.weight);
    }

    fn unindex(&mut self, customer: &Name) {
        let Some(customer_queue) = self.customers.get(customer) else { return };
        let Some(class) = customer_queue.most_urgent() else { return };
        self.by_urgency.remove(&(class, customer_queue.pass, customer.clone()));
        self.by_overdue_time.remove(&(overdue_at(customer_queue), customer.clone()));
        self.by_backlog.remove(&(
            relative_backlog(customer_queue.len(), customer_queue.weight),
            customer.clone(),
        ));
        self.active_weight -= u64::from(customer_queue.weight);
    }

    fn evict_idle(&mut self) {
        self.served += 1;
        if self.served < EVICTION_INTERVAL {
            return;
        }
        self.served = 0;
        let virtual_time = self.virtual_time;
        self.customers.retain(|_, customer_queue| {
            !customer_queue.is_empty() || customer_queue.pass > virtual_time
        });
    }
}

fn overdue_at(customer_queue: &CustomerQueue) -> u128 {
    customer_queue.pass + LAG_REQUESTS * STRIDE / u128::from(customer_queue.weight)
}

fn relative_backlog(waiting: usize, weight: u32) -> u64 {
    waiting as u64 * 1_000_000 / u64::from(weight)
}
