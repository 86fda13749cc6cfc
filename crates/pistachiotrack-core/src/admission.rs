//! Admission queue: decides which waiting request gets the next free slot.
//!
//! Customers with a contract share the slots in proportion to what they
//! bought (stride scheduling). Among customers that got their share, the more
//! urgent class goes first; a customer that lags behind its share by more than
//! [`tier::LAG_REQUESTS`] goes before any class. Customers without a contract
//! are served only while no request of a customer with a contract is waiting.

mod customer_queue;
mod tier;

use rustc_hash::FxHashMap;

use self::tier::Tier;
use crate::{
    name::Name,
    request::{Class, RequestId},
    time::Time,
};

/// Entry of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    /// Deadline of the request; within a class the earliest deadline goes first.
    pub deadline: Time,
    /// The request.
    pub request: RequestId,
}

/// Requests that are waiting for a slot.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueue {
    weights: FxHashMap<Name, u32>,
    contracted: Tier,
    uncontracted: Tier,
}

impl AdmissionQueue {
    /// Replaces the number of slots bought by each customer.
    pub fn set_weights(&mut self, weights: FxHashMap<Name, u32>) {
        let waiting: Vec<(Name, Class, QueueEntry)> =
            self.contracted.entries().chain(self.uncontracted.entries()).collect();
        *self = AdmissionQueue { weights, ..AdmissionQueue::default() };
        for (customer, class, entry) in waiting {
            self.push(&customer, class, entry);
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.contracted.len() + self.uncontracted.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request.
    pub fn push(&mut self, customer: &Name, class: Class, entry: QueueEntry) {
        let weight = self.weight(customer);
        self.tier_mut(customer).push(customer, weight, class, entry);
    }

    /// Returns the next request.
    pub fn peek(&self) -> Option<RequestId> {
        self.contracted.peek().or_else(|| self.uncontracted.peek()).map(|entry| entry.request)
    }

    /// Removes and returns the next request, and charges its customer.
    pub fn pop(&mut self) -> Option<RequestId> {
        self.contracted.pop().or_else(|| self.uncontracted.pop()).map(|entry| entry.request)
    }

    /// Removes a request and returns whether it was in the queue.
    pub fn remove(&mut self, customer: &Name, class: Class, entry: QueueEntry) -> bool {
        self.tier_mut(customer).remove(customer, class, entry)
    }

    /// Returns the request to evict from a full queue for a new one, or `None`
    /// if the new one is to be refused.
    ///
    /// Requests of customers without a contract are evicted first, then those
    /// of the customer with the most waiting requests in proportion to its
    /// slots; within a customer the least urgent class and the latest deadline.
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

    /// Returns an upper bound on the number of requests dispatched before a
    /// new one, from its customer's share and from all waiting requests.
    pub fn requests_ahead(&self, customer: &Name, class: Class) -> f64 {
        if self.is_contracted(customer) {
            return self.contracted.requests_ahead(customer, self.weight(customer), class);
        }
        self.contracted.len() as f64 + self.uncontracted.requests_ahead(customer, 1, class)
    }

    /// Records how long a customer's request occupied its slot, relative to
    /// the average of all requests.
    ///
    /// Contracts are for slots, not for requests, so longer requests are
    /// charged more.
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
