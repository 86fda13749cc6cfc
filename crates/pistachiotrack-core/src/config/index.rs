//! Lookups by name in constant time.

use std::{ops::Deref, sync::Arc};

use hashbrown::HashTable;
use xxhash_rust::xxh3::xxh3_64;

use crate::{api_key::ApiKeyDigest, config::Config, customer::Customer, service::Service};

/// A configuration with its services and customers indexed by name, and its customers also by
/// API key.
///
/// The tables contain positions only, about five bytes per name and ten per key.
#[derive(Clone, Debug)]
pub struct IndexedConfig {
    config: Arc<Config>,
    services: HashTable<u32>,
    customers: HashTable<u32>,
    api_keys: HashTable<KeyPosition>,
}

/// Position of an API key: its customer, and its place among the keys of the customer.
#[derive(Clone, Copy, Debug)]
struct KeyPosition {
    customer: u32,
    key: u32,
}

impl IndexedConfig {
    /// Builds the index of `config`.
    pub fn new(config: Arc<Config>) -> IndexedConfig {
        let services = table(config.services.len(), |index| &config.services[index].name);
        let customers = table(config.customers.len(), |index| &config.customers[index].name);
        let api_keys = key_table(&config.customers);
        IndexedConfig { config, services, customers, api_keys }
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let items = &self.config.services;
        let found = self.services.find(hash(name), |index| *items[*index as usize].name == *name);
        found.map(|index| &items[*index as usize])
    }

    /// Returns a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        let items = &self.config.customers;
        let found = self.customers.find(hash(name), |index| *items[*index as usize].name == *name);
        found.map(|index| &items[*index as usize])
    }

    /// Returns the customer that holds an API key.
    pub fn customer_of_key(&self, key: &ApiKeyDigest) -> Option<&Customer> {
        let customers = &self.config.customers;
        let found = self.api_keys.find(key.table_hash(), |at| key_at(customers, *at) == key);
        found.map(|at| &customers[at.customer as usize])
    }

    /// Returns the configuration itself.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }
}

impl Deref for IndexedConfig {
    type Target = Config;

    fn deref(&self) -> &Config {
        &self.config
    }
}

fn table<'a>(count: usize, name: impl Fn(usize) -> &'a str) -> HashTable<u32> {
    let mut table = HashTable::with_capacity(count);
    for index in 0..count {
        let hash_of = |other: &u32| hash(name(*other as usize));
        table.insert_unique(hash(name(index)), index as u32, hash_of);
    }
    table
}

fn key_table(customers: &[Customer]) -> HashTable<KeyPosition> {
    let count = customers.iter().map(|customer| customer.api_keys.len()).sum();
    let mut table = HashTable::with_capacity(count);
    for (customer, owner) in customers.iter().enumerate() {
        for (key, digest) in owner.api_keys.iter().enumerate() {
            let at = KeyPosition { customer: customer as u32, key: key as u32 };
            let hash_of = |other: &KeyPosition| key_at(customers, *other).table_hash();
            table.insert_unique(digest.table_hash(), at, hash_of);
        }
    }
    table
}

fn key_at(customers: &[Customer], at: KeyPosition) -> &ApiKeyDigest {
    &customers[at.customer as usize].api_keys[at.key as usize]
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
