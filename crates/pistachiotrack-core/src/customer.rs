//! Customers and their contracts.

use serde::{Deserialize, Serialize};

use crate::{contract::Contract, name::Name};

/// A customer in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name, sent by callers in [`crate::header::CUSTOMER`].
    pub name: Name,
    /// Contracts of the customer.
    pub contracts: Vec<Contract>,
}
