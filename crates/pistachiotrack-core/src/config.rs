//! The configuration of a deployment: one versioned JSON value, kept by the
//! platform and only read here.

mod check;
mod content;
mod delta;
mod index;
mod warning;

use serde::{Deserialize, Serialize};

pub use self::{
    check::{MAX_DURATION_MS, MAX_ENTRY_LIFETIME_MS},
    content::{ContentHash, ContentSummary},
    delta::{Delta, DeltaError},
    index::IndexedConfig,
    warning::ConfigWarning,
};
use crate::{
    customer::Customer, data_centre::DataCentre, name::Name, rule::Rule, service::Service,
};

/// Largest value that the platform's configuration service holds.
///
/// It limits what is read from there, and nothing that is made of it: see
/// [`MAX_ENCODED_BYTES`].
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Longest encoding of a configuration that VMs pass on to each other.
///
/// A configuration that is made of a platform's value and of registered endpoints is
/// longer than the value. A value of [`MAX_VALUE_BYTES`] has room for some 16,000 routes,
/// whose rules repeat the host, 253 bytes at most, and the prefix: 9 MB at most.
pub const MAX_ENCODED_BYTES: usize = 16 << 20;

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
    /// The verdict depends on the bytes alone, so it is the same on every VM
    /// and in the command-line tool.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with the field and its value.
    pub fn parse(file: &str, json: &[u8]) -> Result<Config, ConfigError> {
        let config = Config::decode(file, json)?;
        match config.check(file).into_iter().next() {
            Some(error) => Err(error),
            None => Ok(config),
        }
    }

    /// Returns every problem of a configuration value; none if it is valid.
    pub fn problems(file: &str, json: &[u8]) -> Vec<ConfigError> {
        match Config::decode(file, json) {
            Ok(config) => config.check(file),
            Err(error) => vec![error],
        }
    }

    /// Returns every problem of a decoded configuration, in the order of its
    /// fields; none if it is valid.
    pub fn check(&self, file: &str) -> Vec<ConfigError> {
        check::check(self, file)
    }

    /// Returns what is valid but probably not meant, such as rules that no
    /// request can reach.
    pub fn warnings(&self) -> Vec<ConfigWarning> {
        warning::warnings(self)
    }

    /// Returns a service by name, by a linear scan; [`IndexedConfig`] is for
    /// the path of a request.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns a customer by name, by a linear scan; [`IndexedConfig`] is for
    /// the path of a request.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.name.as_str() == name)
    }

    fn decode(file: &str, json: &[u8]) -> Result<Config, ConfigError> {
        if json.len() > MAX_VALUE_BYTES {
            return Err(ConfigError {
                file: Name::from(file),
                field: "value".to_owned(),
                problem: format!(
                    "{} bytes long; at most {MAX_VALUE_BYTES} are allowed",
                    json.len()
                ),
            });
        }
        serde_json::from_slice(json).map_err(|_| decode_error(file, json))
    }
}

/// Decodes a refused value again to name the field at fault; the tracking
/// decoder is too slow for values that are accepted.
fn decode_error(file: &str, json: &[u8]) -> ConfigError {
    let mut decoder = serde_json::Deserializer::from_slice(json);
    let decoded = serde_path_to_error::deserialize::<_, Config>(&mut decoder);
    let (field, problem) = match decoded {
        Err(error) => (error.path().to_string(), error.into_inner().to_string()),
        Ok(_) => ("json".to_owned(), "more text after the value".to_owned()),
    };
    let field = if field == "." { "json".to_owned() } else { field };
    ConfigError { file: Name::from(file), field, problem }
}
