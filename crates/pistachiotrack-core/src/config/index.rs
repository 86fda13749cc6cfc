//! Lookups by name in constant time.

use std::{ops::Deref, sync::Arc};

use hashbrown::HashTable;
use xxhash_rust::xxh3::xxh3_64;

use crate::{config::Config, customer::Customer, service::Service};

/// A configuration with its services and customers indexed by name.
///
/// The tables contain positions only, about five bytes per name.
#[derive(Clone, Debug)]
pub struct IndexedConfig {
    config: Arc<Config>,
    services: HashTable<u32>,
    customers: HashTable<u32>,
}

impl IndexedConfig {
    /// Builds the index of `config`.
    pub fn new(config: Arc<Config>) -> IndexedConfig {
        let services = table(config.services.len(), |index| &config.services[index].name);
        let customers = table(config.customers.len(), |index| &config.customers[index].name);
        IndexedConfig { config, services, customers }
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

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
