//! Weighted shares among customers of equal standing.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::{Ticket, account::Account};
use crate::{name::Name, request::Class};

/// Requests that a customer may be owed before it goes before every class.
pub(super) const LAG_REQUESTS: u128 = 2;
/// Virtual time that one request costs a customer of weight one.
const STRIDE: u128 = 1 << 32;
/// Served requests after which idle accounts are looked for.
const FORGET_INTERVAL: u32 = 256;

/// Customers that share by weight.
///
/// Virtual time runs so that a customer that gets exactly its share keeps up
/// with it. An idle customer earns no credit: it enters at the present time.
#[derive(Clone, Debug, Default)]
pub(super) struct Tier {
    accounts: FxHashMap<Name, Account>,
    /// Customers with waiting requests by most urgent class and service had.
    ready: BTreeSet<(Class, u128, Name)>,
    /// The same customers by the virtual time at which they are overdue.
    due: BTreeSet<(u128, Name)>,
    /// The same customers by waiting requests per weight.
    crowded: BTreeSet<(u64, Name)>,
    waiting: [usize; Class::ALL.len()],
    virtual_time: u128,
    active_weight: u64,
    served: u32,
}

impl Tier {
    pub(super) fn len(&self) -> usize {
        self.waiting.iter().sum()
    }

    pub(super) fn tickets(&self) -> impl Iterator<Item = (Name, Class, Ticket)> {
        self.accounts.iter().flat_map(|(name, account)| {
            account.tickets().map(|(class, ticket)| (name.clone(), class, ticket))
        })
    }

    pub(super) fn push(&mut self, customer: &Name, weight: u32, class: Class, ticket: Ticket) {
        self.unindex(customer);
        let virtual_time = self.virtual_time;
        let account = self
            .accounts
            .entry(customer.clone())
            .or_insert_with(|| Account::new(weight, virtual_time));
        if account.is_empty() {
            account.pass = account.pass.max(virtual_time);
        }
        account.insert(class, ticket);
        self.waiting[class as usize] += 1;
        self.index(customer);
    }

    pub(super) fn peek(&self) -> Option<Ticket> {
        let account = self.accounts.get(self.next_customer()?)?;
        account.first().map(|(_, ticket)| ticket)
    }

    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let customer = self.next_customer()?.clone();
        let active_weight = u128::from(self.active_weight.max(1));
        self.unindex(&customer);
        let account = self.accounts.get_mut(&customer)?;
        let (class, ticket) = account.take_first()?;
        let cost = (account.cost * STRIDE as f64) as u128;
        account.pass += cost / u128::from(account.weight);
        self.virtual_time += cost / active_weight;
        self.waiting[class as usize] -= 1;
        self.index(&customer);
        self.forget_idle();
        Some(ticket)
    }

    pub(super) fn remove(&mut self, customer: &Name, class: Class, ticket: Ticket) -> bool {
        self.unindex(customer);
        let removed =
            self.accounts.get_mut(customer).is_some_and(|account| account.remove(class, ticket));
        if removed {
            self.waiting[class as usize] -= 1;
        }
        self.index(customer);
        removed
    }

    pub(super) fn on_held(&mut self, customer: &Name, relative: f64) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.on_held(relative);
        }
    }

    /// Returns the request that the most crowded customer misses least.
    pub(super) fn worst(&self) -> Option<Ticket> {
        let (_, customer) = self.crowded.last()?;
        self.accounts.get(customer)?.worst().map(|(_, ticket)| ticket)
    }

    pub(super) fn victim(&self, customer: &Name, weight: u32, class: Class) -> Option<Ticket> {
        let own = self.accounts.get(customer);
        let own_len = own.map_or(0, Account::len);
        let (worst, crowded) = self.crowded.last()?;
        if crowded != customer && *worst > crowding(own_len + 1, weight) {
            return self.worst();
        }
        own?.worst().filter(|(other, _)| *other > class).map(|(_, ticket)| ticket)
    }

    pub(super) fn ahead(&self, customer: &Name, weight: u32, class: Class) -> f64 {
        let all: usize = self.waiting[..=class as usize].iter().sum();
        let account = self.accounts.get(customer);
        let own = account.map_or(0, |account| account.len_up_to(class));
        let is_active = account.is_some_and(|account| !account.is_empty());
        let others = if is_active { 0 } else { u64::from(weight) };
        let per_own = (self.active_weight + others) as f64 / f64::from(weight);
        (all as f64 + 1.0).min((own as f64 + 1.0) * per_own)
    }

    fn next_customer(&self) -> Option<&Name> {
        let overdue = self.due.first().filter(|(due, _)| *due <= self.virtual_time);
        overdue
            .map(|(_, customer)| customer)
            .or_else(|| self.ready.first().map(|(_, _, customer)| customer))
    }

    fn index(&mut self, customer: &Name) {
        let Some(account) = self.accounts.get(customer) else { return };
        let Some(class) = account.most_urgent() else { return };
        self.ready.insert((class, account.pass, customer.clone()));
        self.due.insert((overdue_at(account), customer.clone()));
        self.crowded.insert((crowding(account.len(), account.weight), customer.clone()));
        self.active_weight += u64::from(account.weight);
    }

    fn unindex(&mut self, customer: &Name) {
        let Some(account) = self.accounts.get(customer) else { return };
        let Some(class) = account.most_urgent() else { return };
        self.ready.remove(&(class, account.pass, customer.clone()));
        self.due.remove(&(overdue_at(account), customer.clone()));
        self.crowded.remove(&(crowding(account.len(), account.weight), customer.clone()));
        self.active_weight -= u64::from(account.weight);
    }

    fn forget_idle(&mut self) {
        self.served += 1;
        if self.served < FORGET_INTERVAL {
            return;
        }
        self.served = 0;
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, account| !account.is_empty() || account.pass > virtual_time);
    }
}

fn overdue_at(account: &Account) -> u128 {
    account.pass + LAG_REQUESTS * STRIDE / u128::from(account.weight)
}

fn crowding(waiting: usize, weight: u32) -> u64 {
    waiting as u64 * 1_000_000 / u64::from(weight)
}
