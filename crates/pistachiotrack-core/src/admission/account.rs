//! Requests of one customer that wait.

use std::collections::BTreeSet;

use super::Ticket;
use crate::request::Class;

/// Every so many of a customer's requests the least urgent class goes first,
/// so that its own urgent requests can't starve it.
const LEAST_URGENT_TURN: u8 = 8;
/// Weight of a new sample of the customer's relative slot time.
const COST_WEIGHT: f64 = 0.1;
/// Bounds of the relative slot time.
const COST_RANGE: (f64, f64) = (0.1, 10.0);

#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) weight: u32,
    /// Virtual time up to which the customer has been served.
    pub(super) pass: u128,
    pub(super) cost: f64,
    queues: [BTreeSet<Ticket>; Class::ALL.len()],
    turn: u8,
}

impl Account {
    pub(super) fn new(weight: u32, pass: u128) -> Account {
        Account { weight, pass, cost: 1.0, queues: Default::default(), turn: 0 }
    }

    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(BTreeSet::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queues.iter().all(BTreeSet::is_empty)
    }

    /// Returns the waiting requests of `class` and more urgent ones.
    pub(super) fn len_up_to(&self, class: Class) -> usize {
        self.queues[..=class as usize].iter().map(BTreeSet::len).sum()
    }

    pub(super) fn most_urgent(&self) -> Option<Class> {
        Class::ALL.into_iter().find(|class| !self.queues[*class as usize].is_empty())
    }

    pub(super) fn tickets(&self) -> impl Iterator<Item = (Class, Ticket)> {
        Class::ALL.into_iter().flat_map(|class| {
            self.queues[class as usize].iter().map(move |ticket| (class, *ticket))
        })
    }

    pub(super) fn insert(&mut self, class: Class, ticket: Ticket) {
        self.queues[class as usize].insert(ticket);
    }

    pub(super) fn remove(&mut self, class: Class, ticket: Ticket) -> bool {
        self.queues[class as usize].remove(&ticket)
    }

    pub(super) fn first(&self) -> Option<(Class, Ticket)> {
        let class = if self.turn + 1 >= LEAST_URGENT_TURN {
            Class::ALL.into_iter().rev().find(|class| !self.queues[*class as usize].is_empty())
        } else {
            self.most_urgent()
        }?;
        self.queues[class as usize].first().map(|ticket| (class, *ticket))
    }

    pub(super) fn take_first(&mut self) -> Option<(Class, Ticket)> {
        let (class, ticket) = self.first()?;
        self.remove(class, ticket);
        self.turn = (self.turn + 1) % LEAST_URGENT_TURN;
        Some((class, ticket))
    }

    /// Returns the request that the customer misses least.
    pub(super) fn worst(&self) -> Option<(Class, Ticket)> {
        Class::ALL
            .into_iter()
            .rev()
            .find_map(|class| self.queues[class as usize].last().map(|ticket| (class, *ticket)))
    }

    pub(super) fn on_held(&mut self, relative: f64) {
        let sample = relative.clamp(COST_RANGE.0, COST_RANGE.1);
        self.cost += (sample - self.cost) * COST_WEIGHT;
    }
}
