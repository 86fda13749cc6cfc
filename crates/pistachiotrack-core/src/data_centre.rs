//! Data centres: the failure and latency domains that VMs and endpoints sit in.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A data centre as the configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name.
    pub name: Name,
    /// Region that the data centre belongs to.
    pub region: Name,
}
