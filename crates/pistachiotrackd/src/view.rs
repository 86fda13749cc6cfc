//! The fleet and the configuration as requests see them: a snapshot that the
//! fleet actor replaces.

use std::sync::Arc;

use pistachiotrack_core::{
    config::Config,
    membership::{Member, MemberState},
    name::Name,
    ownership::Ownership,
    rule::RuleSet,
    service::Service,
};
use rustc_hash::FxHashMap;

/// What requests need of the configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    /// The configuration.
    pub(crate) config: Arc<Config>,
    /// Its rules, ready to decide.
    pub(crate) rules: RuleSet,
    service_index: FxHashMap<Name, usize>,
}

impl ActiveConfig {
    /// Prepares a configuration.
    pub(crate) fn new(config: Arc<Config>) -> ActiveConfig {
        let rules = RuleSet::new(&config.rules);
        let names = config.services.iter().map(|service| service.name.clone());
        let service_index = names.enumerate().map(|(index, name)| (name, index)).collect();
        ActiveConfig { config, rules, service_index }
    }

    /// Returns a service by name.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.service_index.get(name).map(|index| &self.config.services[*index])
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
}

impl FleetView {
    /// Returns the number of VMs that may use endpoints, this one included.
    pub(crate) fn live_vms(&self) -> u32 {
        let alive = |member: &&Member| {
            matches!(member.state, MemberState::Alive | MemberState::Suspect | MemberState::Leaving)
        };
        self.members.iter().filter(alive).count() as u32 + 1
    }
}
