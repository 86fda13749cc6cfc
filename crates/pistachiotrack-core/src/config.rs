//! The configuration of a deployment: one versioned JSON value, kept by the
//! platform and only read here.

use serde::{Deserialize, Serialize};

use crate::{
    customer::Customer, data_centre::DataCentre, name::Name, rule::Rule, service::Service,
};

/// Largest value that the platform's configuration service holds.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The configuration of one deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version; larger is newer, and a smaller one is never taken.
    pub version: u64,
    /// Name of the deployment.
    pub deployment: Name,
    /// Time for which callers may keep an answer about addresses.
    #[serde(default = "default_entry_lifetime_ms")]
    pub entry_lifetime_ms: u64,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Services with their endpoints.
    pub services: Vec<Service>,
    /// Customers with their contracts.
    pub customers: Vec<Customer>,
    /// Rules in the order in which they are tried.
    pub rules: Vec<Rule>,
}

/// Lifetime of an answer about addresses where the configuration doesn't say.
pub const DEFAULT_ENTRY_LIFETIME_MS: u64 = 5_000;

fn default_entry_lifetime_ms() -> u64 {
    DEFAULT_ENTRY_LIFETIME_MS
}

/// Why a configuration is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {field}: {problem}")]
pub struct ConfigError {
    /// File or source that the value came from.
    pub file: Name,
    /// Path of the field, such as `services[2].floor`.
    pub field: String,
    /// What is wrong, with the offending value.
    pub problem: String,
}

impl Config {
    /// Parses and checks a configuration value.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with the field and its value.
    pub fn parse(file: &str, json: &[u8]) -> Result<Config, ConfigError> {
        serde_json::from_slice(json).map_err(|error| ConfigError {
            file: Name::from(file),
            field: "json".to_owned(),
            problem: error.to_string(),
        })
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }
}
