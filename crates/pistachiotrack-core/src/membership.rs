//! Which VMs of the fleet are alive, as this VM sees it.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;

use crate::{
    name::Name,
    time::Time,
    vm::{Vm, VmList},
};

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Heard in both directions.
    Alive,
    /// Not heard; others are asked.
    Suspect,
    /// Stopping gracefully; gets no new work.
    Leaving,
    /// Gone.
    Dead,
}

/// A member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// The VM.
    pub vm: Vm,
    /// State as this VM sees it.
    pub state: MemberState,
    /// Moment of the last change of state.
    pub since: Time,
    /// Configuration version that the member last reported.
    pub config_version: Option<u64>,
}

/// Settings of the membership.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between two probes sent by a VM.
    pub probe_interval_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings { probe_interval_ms: 500 }
    }
}

/// What the caller of the membership has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Sends a datagram.
    Send {
        /// Destination.
        to: SocketAddr,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A member changed its state; `members` shows the new one.
    Changed {
        /// The member.
        vm: Name,
    },
    /// A member reported a configuration version.
    ConfigVersion {
        /// The member.
        vm: Name,
        /// Version it holds.
        version: u64,
    },
}

/// The fleet as this VM sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    me: Vm,
    members: FxHashMap<Name, Member>,
}

impl Membership {
    /// Creates the membership of `me`, alone at first.
    pub fn new(_now: Time, me: Vm, _settings: MembershipSettings, _seed: u64) -> Membership {
        Membership { me, members: FxHashMap::default() }
    }

    /// Takes the platform's list: seeds and leaving marks.
    pub fn on_vm_list(&mut self, now: Time, list: &VmList) -> Vec<MembershipAction> {
        for listed in &list.vms {
            if listed.name == self.me.name {
                continue;
            }
            let vm = Vm {
                name: listed.name.clone(),
                data_centre: listed.data_centre.clone(),
                incarnation: 0,
                caller_address: listed.caller_address,
                peer_address: listed.peer_address,
            };
            let state = if listed.leaving { MemberState::Leaving } else { MemberState::Alive };
            let member = Member { vm, state, since: now, config_version: None };
            self.members.insert(listed.name.clone(), member);
        }
        Vec::new()
    }

    /// Handles a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram can't be decoded.
    pub fn on_datagram(
        &mut self,
        _now: Time,
        _from: SocketAddr,
        _bytes: &[u8],
    ) -> Result<Vec<MembershipAction>, postcard::Error> {
        Ok(Vec::new())
    }

    /// Does what is due; called by the timer service.
    pub fn on_tick(&mut self, _now: Time) -> Vec<MembershipAction> {
        Vec::new()
    }

    /// Notes that this process was paused for `gap`.
    pub fn on_pause(&mut self, _now: Time, _gap: std::time::Duration) {}

    /// Tells the others that this VM is stopping gracefully.
    pub fn leave(&mut self, _now: Time) -> Vec<MembershipAction> {
        Vec::new()
    }

    /// Sets the configuration version that this VM reports.
    pub fn set_config_version(&mut self, _version: u64) {}

    /// Returns the other members, dead ones included while they are remembered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns this VM.
    pub fn me(&self) -> &Vm {
        &self.me
    }
}
