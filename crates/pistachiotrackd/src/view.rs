//! The fleet and the configuration as requests see them: a snapshot that the
//! fleet actor replaces.

use std::{net::SocketAddr, sync::Arc};

use pistachiotrack_core::{
    config::{Config, IndexedConfig},
    membership::{Member, MemberState},
    ownership::Ownership,
    rule::RuleSet,
    service::Service,
};
use rustc_hash::FxHashMap;

use crate::traffic::Locality;

/// What requests need of the configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// Its rules, ready to decide.
    pub(crate) rules: RuleSet,
    index: IndexedConfig,
}

impl ActiveConfig {
    /// Prepares a configuration.
    pub(crate) fn new(config: Arc<Config>) -> ActiveConfig {
        let rules = RuleSet::of_config(Arc::clone(&config));
        let index = IndexedConfig::new(Arc::clone(&config));
        ActiveConfig { config, rules, index }
    }

    /// Returns a service by name.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.index.service(name)
    }
}

/// A snapshot of the fleet.
#[derive(Debug)]
pub(crate) struct FleetView {
    /// Configuration in force; `None` until there is a first one.
    pub(crate) active: Option<Arc<ActiveConfig>>,
    /// Owners of all shards.
    pub(crate) ownership: Ownership,
    /// The other members.
    pub(crate) members: Vec<Member>,
    /// Where the other members are, by their address for VMs.
    localities: FxHashMap<SocketAddr, Locality>,
}

impl FleetView {
    /// Takes a snapshot, seen from a data centre.
    pub(crate) fn new(
        active: Option<Arc<ActiveConfig>>,
        ownership: Ownership,
        members: Vec<Member>,
        data_centre: &str,
    ) -> FleetView {
        let place = |Member { vm, .. }: &Member| {
            (vm.peer_address, Locality::of(&vm.data_centre, data_centre))
        };
        let localities = members.iter().map(place).collect();
        FleetView { active, ownership, members, localities }
    }

    /// Returns where the VM at an address is.
    pub(crate) fn locality(&self, peer_address: SocketAddr) -> Locality {
        self.localities.get(&peer_address).copied().unwrap_or(Locality::Unknown)
    }

    /// Returns the number of VMs that may use endpoints, this one included.
    pub(crate) fn live_vms(&self) -> u32 {
        let alive = |member: &&Member| {
            matches!(member.state, MemberState::Alive | MemberState::Suspect | MemberState::Leaving)
        };
        self.members.iter().filter(alive).count() as u32 + 1
    }
}
