//! The configuration of a deployment: a versioned JSON value that is stored on the
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
    caller_limits::CallerLimits, customer::Customer, data_centre::DataCentre, name::Name,
    rule::Rule, service::Service,
};

/// Maximum length of a value in the platform's configuration service.
///
/// It applies to values read from there, but not to configurations assembled from
/// them: see [`MAX_ENCODED_BYTES`].
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum length of an encoded configuration that VMs send each other.
///
/// A configuration assembled from a platform value and registered endpoints is longer
/// than the value. A value of [`MAX_VALUE_BYTES`] has room for some 16,000 routes, whose
/// rules repeat the host (at most 253 bytes) and the prefix: 9 MB at most.
pub const MAX_ENCODED_BYTES: usize = 16 << 20;

/// The configuration of one deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version. A VM never replaces a version by a smaller one.
    pub version: u64,
    /// Name of the deployment.
    pub deployment: Name,
    /// Time for which callers may cache a list of entry addresses.
    #[serde(default = "default_entry_lifetime_ms")]
    pub entry_lifetime_ms: u64,
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Services with their endpoints.
    pub services: Vec<Service>,
    /// Customers with their contracts.
    pub customers: Vec<Customer>,
    /// Whether callers identify themselves by an API key of a customer, except on public
    /// routes.
    #[serde(default)]
    pub api_keys_required: bool,
    /// Rules in order of evaluation.
    pub rules: Vec<Rule>,
    /// What callers may send.
    #[serde(default)]
    pub caller_limits: CallerLimits,
    /// Version that operators gave their part, if the configuration was assembled from it and
    /// registered endpoints. It isn't part of the content.
    #[serde(skip)]
    pub operators_version: Option<u64>,
}

/// Default of [`Config::entry_lifetime_ms`].
pub const DEFAULT_ENTRY_LIFETIME_MS: u64 = 5_000;

fn default_entry_lifetime_ms() -> u64 {
    DEFAULT_ENTRY_LIFETIME_MS
}

/// Why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {field}: {problem}")]
pub struct ConfigError {
    /// File or other source of the value.
    pub file: Name,
    /// Path of the field, such as `services[2].floor`.
    pub field: String,
    /// Description of the problem, with the offending value.
    pub problem: String,
}

impl Config {
    /// Parses and validates a configuration value.
    ///
    /// The result depends on the bytes alone, so it is the same on every VM
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

    /// Returns all problems of a configuration value; none if it is valid.
    pub fn problems(file: &str, json: &[u8]) -> Vec<ConfigError> {
        match Config::decode(file, json) {
            Ok(config) => config.check(file),
            Err(error) => vec![error],
        }
    }

    /// Returns all problems of a decoded configuration, in the order of its
    /// fields; none if it is valid.
    pub fn check(&self, file: &str) -> Vec<ConfigError> {
        check::check(self, file)
    }

    /// Returns what is valid but probably unintended, such as rules that no
    /// request can reach.
    pub fn warnings(&self) -> Vec<ConfigWarning> {
        warning::warnings(self)
    }

    /// Returns a service by name, with a linear scan. Request handling uses
    /// [`IndexedConfig`] instead.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns a customer by name, with a linear scan. Request handling uses
    /// [`IndexedConfig`] instead.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.name.as_str() == name)
    }

    fn decode(file: &str, json: &[u8]) -> Result<Config, ConfigError> {
        if json.len() > MAX_VALUE_BYTES {
            return Err(ConfigError {
                file: Name::from(file),
                field: "value".to_owned(),
                problem: format!("{} bytes long; the maximum is {MAX_VALUE_BYTES}", json.len()),
            });
        }
        serde_json::from_slice(json).map_err(|_| decode_error(file, json))
    }
}

/// Returns the name of the customer that the path of a field leads into.
fn customer_at(field: &str, json: &[u8]) -> Option<String> {
    let (index, _) = field.strip_prefix("customers[")?.split_once(']')?;
    let value: serde_json::Value = serde_json::from_slice(json).ok()?;
    let name = value.get("customers")?.get(index.parse::<usize>().ok()?)?.get("name")?;
    name.as_str().map(str::to_owned)
}

/// Decodes a rejected value again to find the path of the invalid field. The decoder
/// that tracks paths is too slow for values that are accepted.
fn decode_error(file: &str, json: &[u8]) -> ConfigError {
    let mut decoder = serde_json::Deserializer::from_slice(json);
    let result = serde_path_to_error::deserialize::<_, Config>(&mut decoder);
    let (field, problem) = match result {
        Err(error) => (error.path().to_string(), error.into_inner().to_string()),
        Ok(_) => ("json".to_owned(), "trailing characters after the value".to_owned()),
    };
    let problem = match customer_at(&field, json) {
        Some(customer) => format!("{problem} (customer {customer:?})"),
        None => problem,
    };
    let field = if field == "." { "json".to_owned() } else { field };
    ConfigError { file: Name::from(file), field, problem }
}
