//! Customers: their contracts, API keys, priority and rate limit.

use serde::{Deserialize, Serialize};

use crate::{
    api_key::{self, ApiKeyDigest},
    contract::Contract,
    name::Name,
    request::Class,
};

/// A customer in the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name. Where no API keys are required, callers send it in
    /// [`crate::header::CUSTOMER`].
    pub name: Name,
    /// Contracts of the customer.
    pub contracts: Vec<Contract>,
    /// API keys that identify its callers.
    #[serde(default, deserialize_with = "api_key::deserialize_keys")]
    pub api_keys: Vec<ApiKeyDigest>,
    /// Class of all its requests; takes precedence over the class of a route.
    #[serde(default)]
    pub class: Option<Class>,
    /// Limit of its requests, over the whole fleet.
    #[serde(default)]
    pub rate_limit: Option<CustomerRateLimit>,
}

impl Customer {
    /// Creates a customer without API keys, a class or a rate limit.
    pub fn new(name: Name, contracts: Vec<Contract>) -> Customer {
        Customer { name, contracts, api_keys: Vec::new(), class: None, rate_limit: None }
    }
}

/// Limit of a customer's requests, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRateLimit {
    /// Requests per second in the long run.
    pub requests_per_second: f64,
    /// Requests beyond that which may come at once.
    pub burst_requests: f64,
}
