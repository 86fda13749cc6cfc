//! Reports of what a VM has admitted.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// What a VM has admitted for the customers whose counts have changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Identifier of the counts; it differs when the VM restarts its count.
    pub count_id: u32,
    /// Number of the report; a report that arrives after a later one is ignored.
    pub sequence: u32,
    /// The counts.
    pub counts: Vec<CustomerCount>,
}

/// What a VM has admitted for one customer.
///
/// The total is sent instead of the difference, so that the next report makes up for a lost one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerCount {
    /// The customer.
    pub customer: Name,
    /// Requests admitted since the VM began to count.
    pub admitted: u64,
    /// Requests admitted in about the last second, for VMs that hear of the customer for the
    /// first time.
    pub last_second: u32,
}
