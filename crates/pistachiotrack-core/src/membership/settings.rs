//! Settings of the membership.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::name::Name;

/// Settings of the membership.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Deployment; datagrams of another one are left aside.
    #[serde(skip, default = "no_deployment")]
    pub deployment: Name,
    /// Peer addresses of VMs that may know the fleet; each may be stale or down.
    #[serde(skip)]
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes sent by a VM.
    pub probe_interval_ms: u64,
    /// Time to wait for an answer before other VMs are asked to probe.
    pub ack_timeout_ms: u64,
    /// Time after which a probe without any answer has failed.
    pub probe_timeout_ms: u64,
    /// VMs asked to probe a member that doesn't answer.
    pub indirect_probes: usize,
    /// Probe intervals of a suspicion in a fleet of ten.
    pub suspicion_intervals: f64,
    /// Transmissions of an update in a fleet of one; as many more for each started
    /// power of ten.
    pub update_transmissions: u32,
    /// Highest local health score; each point lengthens timeouts once more.
    pub max_local_health: u32,
    /// Time that a listed VM has to answer for the first time.
    pub listed_timeout_ms: u64,
    /// Time between two probes of dead members.
    pub dead_probe_interval_ms: u64,
    /// Time after which a dead member is no longer shown or probed.
    pub forget_ms: u64,
    /// Time for which rumours about a forgotten member are held off.
    pub tombstone_ms: u64,
    /// Members verified at a time besides the regular probe of an interval.
    pub verify_burst: usize,
    /// Members told at once of a configuration that came from the platform; 0 to
    /// leave it to the regular messages.
    pub announce_fanout: usize,
    /// Peers told at once that this VM leaves.
    pub leave_fanout: usize,
    /// Time after which a page of the member table is asked for again.
    pub page_timeout_ms: u64,
    /// Least time between two reads of the whole member table.
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
