//! Settings of the membership.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::name::Name;

/// Settings of the membership.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Deployment; datagrams of another one are ignored.
    #[serde(skip, default = "no_deployment")]
    pub deployment: Name,
    /// Peer addresses of VMs through which this VM joins the fleet; each may be stale or down.
    #[serde(skip)]
    pub seeds: Vec<SocketAddr>,
    /// Time between two regular probes of a VM.
    pub probe_interval_ms: u64,
    /// Time to wait for a response before indirect probes are sent.
    pub ack_timeout_ms: u64,
    /// Time after which a probe without a response has failed.
    pub probe_timeout_ms: u64,
    /// Number of VMs that are requested to probe a member that doesn't respond.
    pub indirect_probes: usize,
    /// Duration of a suspicion in a fleet of ten, in probe intervals.
    pub suspicion_intervals: f64,
    /// Number of transmissions of an update in a fleet of one; as many more for each started
    /// power of ten.
    pub update_transmissions: u32,
    /// Maximum local health score; each point lengthens timeouts by their base value.
    pub max_local_health: u32,
    /// Time within which a listed VM has to respond for the first time.
    pub listed_timeout_ms: u64,
    /// Time between two probes of dead members.
    pub dead_probe_interval_ms: u64,
    /// Time after which a dead member is removed.
    pub forget_ms: u64,
    /// Time for which outdated updates about a removed member are rejected.
    pub tombstone_ms: u64,
    /// Maximum number of members verified in an interval besides its regular probe.
    pub verify_burst: usize,
    /// Maximum number of members to which a configuration from the platform is announced at
    /// once; 0 to rely on the regular datagrams.
    pub announce_fanout: usize,
    /// Number of members to which this VM announces at once that it leaves, and that are
    /// probed at once after a pause.
    pub leave_fanout: usize,
    /// Time after which a page of the member table is requested again.
    pub page_timeout_ms: u64,
    /// Minimum time between two reads of the whole member table.
    pub table_interval_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings {
            deployment: no_deployment(),
            seeds: Vec::new(),
            probe_interval_ms: 500,
            ack_timeout_ms: 200,
            probe_timeout_ms: 800,
            indirect_probes: 3,
            suspicion_intervals: 2.0,
            update_transmissions: 4,
            max_local_health: 8,
            listed_timeout_ms: 10_000,
            dead_probe_interval_ms: 2_000,
            forget_ms: 3_600_000,
            tombstone_ms: 21_600_000,
            verify_burst: 4,
            announce_fanout: 0,
            leave_fanout: 8,
            page_timeout_ms: 500,
            table_interval_ms: 10_000,
        }
    }
}

fn no_deployment() -> Name {
    Name::from("")
}
