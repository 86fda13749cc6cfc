//! Who gets the next free slot: contracts, classes and deadlines.
//!
//! Customers with a contract share the slots in proportion to what they
//! bought (stride scheduling). Among customers that have had their share the
//! more urgent class goes first; a customer that is owed more than
//! [`tier::LAG_REQUESTS`] goes before any class. Customers without a contract
//! are served only while no customer with a contract waits.

mod customer_queue;
mod tier;

use rustc_hash::FxHashMap;

use self::tier::Tier;
use crate::{
    name::Name,
    request::{Class, RequestId},
    time::Time,
};

/// A place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// Deadline of the request; the earliest goes first within its class.
    pub deadline: Time,
    /// The request.
    pub request: RequestId,
}

/// Requests that wait for a slot.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    weights: FxHashMap<Name, u32>,
    contracted: Tier,
    uncontracted: Tier,
}

impl AdmissionQueue {
    /// Replaces the slots bought by each customer.
    pub fn set_weights(&mut self, weights: FxHashMap<Name, u32>) {
        let waiting: Vec<(Name, Class, QueueEntry)> =
            self.contracted.entries().chain(self.uncontracted.entries()).collect();
        *self = AdmissionQueue { weights, ..AdmissionQueue::default() };
        for (customer, class, entry) in waiting {
            self.push(&customer, class, entry);
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.contracted.len() + self.uncontracted.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request.
    pub fn push(&mut self, customer: &Name, class: Class, entry: QueueEntry) {
        let weight = self.weight(customer);
        self.tier_mut(customer).push(customer, weight, class, entry);
    }

    /// Returns the request that is next.
    pub fn peek(&self) -> Option<RequestId> {
        self.contracted.peek().or_else(|| self.uncontracted.peek()).map(|entry| entry.request)
    }

    /// Takes out the request that is next and charges its customer.
    pub fn pop(&mut self) -> Option<RequestId> {
        self.contracted.pop().or_else(|| self.uncontracted.pop()).map(|entry| entry.request)
    }

    /// Takes out a request and returns whether it waited.
    pub fn remove(&mut self, customer: &Name, class: Class, entry: QueueEntry) -> bool {
        self.tier_mut(customer).remove(customer, class, entry)
    }

    /// Returns the request that has to leave a full queue for a new one, or
    /// `None` if the new one has to.
    ///
    /// Customers without a contract leave first, then the customer whose
    /// waiting requests are most in proportion to what it bought; within a
    /// customer the least urgent class and the latest deadline.
    pub fn eviction_candidate(&self, customer: &Name, class: Class) -> Option<RequestId> {
        let entry = if self.is_contracted(customer) {
            self.uncontracted.least_urgent().or_else(|| {
                self.contracted.eviction_candidate(customer, self.weight(customer), class)
            })
        } else {
            self.uncontracted.eviction_candidate(customer, 1, class)
        };
        entry.map(|entry| entry.request)
    }

    /// Returns how many requests are dispatched before a new one, as a bound
    /// from its customer's share and from all that wait.
    pub fn requests_ahead(&self, customer: &Name, class: Class) -> f64 {
        if self.is_contracted(customer) {
            return self.contracted.requests_ahead(customer, self.weight(customer), class);
        }
        self.contracted.len() as f64 + self.uncontracted.requests_ahead(customer, 1, class)
    }

    /// Notes how long a customer's request held its slot, relative_slot_time to the
    /// average of all.
    ///
    /// Contracts are bought in slots, not in requests: long requests are
    /// charged accordingly.
    pub fn record_slot_time(&mut self, customer: &Name, relative_slot_time: f64) {
        self.tier_mut(customer).record_slot_time(customer, relative_slot_time);
    }

    fn weight(&self, customer: &Name) -> u32 {
        self.weights.get(customer).copied().unwrap_or(0).max(1)
    }

    fn is_contracted(&self, customer: &Name) -> bool {
        self.weights.get(customer).is_some_and(|weight| *weight > 0)
    }

    fn tier_mut(&mut self, customer: &Name) -> &mut Tier {
        if self.is_contracted(customer) { &mut self.contracted } else { &mut self.uncontracted }
    }
}
