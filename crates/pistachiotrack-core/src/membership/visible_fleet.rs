//! The part of the fleet that a VM sees.

use super::{MemberState, Membership, table::Entry};

/// The part of the fleet that is visible to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VisibleFleet {
    /// Number of VMs that this VM considers alive, including itself.
    pub live_vms: u32,
    /// Number of VMs that it knows, except those that have left.
    pub known_vms: u32,
    /// Whether it has seen most of the seeds since its start.
    pub has_joined: bool,
}

impl Default for VisibleFleet {
    /// Returns a fleet of one VM.
    fn default() -> VisibleFleet {
        VisibleFleet { live_vms: 1, known_vms: 1, has_joined: true }
    }
}

impl Membership {
    /// Returns the part of the fleet that this VM sees.
    pub fn visible_fleet(&self) -> VisibleFleet {
        let entries = self.table.entries.values();
        let live_vms = entries.clone().filter(|entry| is_live(entry)).count() as u32;
        let known_vms = entries.filter(|entry| !entry.has_left).count() as u32;
        VisibleFleet {
            live_vms: live_vms + 1,
            known_vms: known_vms + 1,
            has_joined: self.has_seen_most_seeds(),
        }
    }
}

fn is_live(entry: &Entry) -> bool {
    entry.is_known() && entry.member.state != MemberState::Dead
}
