//! Immutable snapshots of the fleet and the configuration for request handling; the
//! fleet actor publishes a new one after each change.

use std::{net::SocketAddr, sync::Arc};

use pistachiotrack_core::{
    config::{Config, IndexedConfig},
    membership::{Member, MemberState, VisibleFleet},
    ownership::Ownership,
    rule::RuleSet,
    service::Service,
};
use rustc_hash::FxHashMap;

use crate::stats::traffic::Locality;

/// The active configuration, indexed for request handling.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// Its rules, compiled for evaluation.
    pub(crate) rules: RuleSet,
    index: IndexedConfig,
}

impl ActiveConfig {
    /// Indexes a configuration.
    pub(crate) fn new(config: Arc<Config>) -> ActiveConfig {
        let rules = RuleSet::of_config(Arc::clone(&config));
        let index = IndexedConfig::new(Arc::clone(&config));
        ActiveConfig { config, rules, index }
    }

    /// Returns the configuration with its index.
    pub(crate) fn index(&self) -> &IndexedConfig {
        &self.index
    }

    /// Returns a service by name.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.index.service(name)
    }
}

/// A snapshot of the fleet.
#[derive(Debug)]
pub(crate) struct FleetView {
    /// Active configuration; `None` until the first one is received.
    pub(crate) active: Option<Arc<ActiveConfig>>,
    /// Owners of all shards.
    pub(crate) ownership: Ownership,
    /// The other members.
    pub(crate) members: Vec<Member>,
    /// The part of the fleet that this VM sees.
    pub(crate) visible_fleet: VisibleFleet,
    /// Localities of the other members by peer address.
    localities: FxHashMap<SocketAddr, Locality>,
}

impl FleetView {
    /// Creates a snapshot for a VM in `data_centre`.
    pub(crate) fn new(
        active: Option<Arc<ActiveConfig>>,
        ownership: Ownership,
        members: Vec<Member>,
        visible_fleet: VisibleFleet,
        data_centre: &str,
    ) -> FleetView {
        let locality = |Member { vm, .. }: &Member| {
            (vm.peer_address, Locality::of(&vm.data_centre, data_centre))
        };
        let localities = members.iter().map(locality).collect();
        FleetView { active, ownership, members, visible_fleet, localities }
    }

    /// Returns the locality of the VM at a peer address.
    pub(crate) fn locality(&self, peer_address: SocketAddr) -> Locality {
        self.localities.get(&peer_address).copied().unwrap_or(Locality::Unknown)
    }

    /// Returns the number of VMs that may use endpoints, including this one.
    pub(crate) fn live_vms(&self) -> u32 {
        let alive = |member: &&Member| {
            matches!(member.state, MemberState::Alive | MemberState::Suspect | MemberState::Leaving)
        };
        self.members.iter().filter(alive).count() as u32 + 1
    }
}
