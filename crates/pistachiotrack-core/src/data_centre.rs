//! Data centres: the failure and latency domains of VMs and endpoints.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A data centre in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name.
    pub name: Name,
    /// Region that the data centre belongs to.
    pub region: Name,
}
