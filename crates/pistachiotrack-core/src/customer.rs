//! Customers and how their endpoints' health is judged.

use serde::{Deserialize, Serialize};

use crate::{contract::Contract, name::Name};

/// A customer as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name, sent by callers in [`crate::header::CUSTOMER`].
    pub name: Name,
    /// Capacity bought.
    pub contracts: Vec<Contract>,
}
