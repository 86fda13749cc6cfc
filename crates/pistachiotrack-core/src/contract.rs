//! Contracts: the capacity that a customer has bought of a service.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// Capacity bought by a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Service that the capacity belongs to.
    pub service: Name,
    /// Slots bought; the customer's share when capacity is short.
    pub slots: u32,
}
