//! Contracts: the capacity that a customer has bought of a service.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Capacity bought by a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Service whose slots were bought.
    pub service: Name,
    /// Number of slots bought; determines the customer's share when the service is overloaded.
    pub slots: u32,
}
