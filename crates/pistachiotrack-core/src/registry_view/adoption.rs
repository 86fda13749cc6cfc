//! Adoption of a configuration that another VM has assembled from what it read in the registry.
//!
//! A configuration tells less than the registry: it has no registrations for services that operators
//! haven't listed yet, and neither creation revisions, sequence numbers nor the maximum connections
//! of a service without endpoints. A view that adopts one has skipped the changes between what it
//! has read and the configuration's position. As long as only the listed services' endpoints change,
//! that makes no difference; where it does, the registry has to be listed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use super::{
    Entry, OperatorConfig, Registration, RegistryPosition, RegistryView,
    position::VERSIONS_PER_REVISION,
};
use crate::{config::Config, endpoint, name::Name, time::Time};

/// Creation revision and sequence number of a registration that is known from a configuration only.
const UNKNOWN: u64 = 0;

/// Changes that a view has skipped.
#[derive(Clone, Debug)]
pub(super) struct Gap {
    /// Position up to which changes were skipped.
    until: RegistryPosition,
    /// Services of the adopted configuration, and whether each had an endpoint.
    services: BTreeMap<Name, bool>,
    /// Addresses of adopted endpoints that others had before, whose registrations may not have expired.
    taken_over: BTreeSet<SocketAddr>,
}

impl Gap {
    fn new(until: RegistryPosition, config: &Config, taken_over: BTreeSet<SocketAddr>) -> Gap {
        let services = config.services.iter();
        let services =
            services.map(|service| (service.name.clone(), !service.endpoints.is_empty())).collect();
        Gap { until, services, taken_over }
    }
}

impl RegistryView {
    /// Applies the active configuration, which may come from another VM. If it is newer
    /// than this view, returns the position up to which the view now knows the endpoints of
    /// listed services.
    ///
    /// A VM that alone lost the registry, or that hasn't watched it for a while, still has
    /// endpoints that have left, and its next version would add them again on all VMs, so
    /// that requests reach endpoints after they left. A version without retained endpoints
    /// was made by a VM that saw each removal as it happened: endpoints retained since its
    /// revision or earlier are removed, and a newer version replaces the whole view.
    pub fn on_active_config(&mut self, now: Time, config: &Config) -> Option<RegistryPosition> {
        let position = RegistryPosition::of_version(config.version);
        if position.era < self.position.era {
            self.carry_over(now, config);
            return None;
        }
        if config.version % VERSIONS_PER_REVISION != VERSIONS_PER_REVISION - 1 {
            return None;
        }
        self.entries
            .retain(|_, entry| entry.retained.is_none_or(|retained| retained.position > position));
        if position <= self.position {
            return None;
        }
        if position.era > self.position.era {
            self.begin_era(now, position.era);
        }
        let taken_over = self.addresses_taken_over(config);
        self.replace_from_config(now, config);
        self.position = position;
        self.gap = Some(Gap::new(position, config, taken_over));
        self.on_complete_up_to(position.revision);
        Some(position)
    }

    /// Returns the addresses that endpoints of a configuration have and others had before.
    fn addresses_taken_over(&self, config: &Config) -> BTreeSet<SocketAddr> {
        let adopted: BTreeMap<SocketAddr, &Name> = config
            .services
            .iter()
            .flat_map(|service| &service.endpoints)
            .map(|endpoint| (endpoint.address, &endpoint.name))
            .collect();
        let before = self.gap.iter().flat_map(|gap| gap.taken_over.iter().copied());
        let known = self.entries.values().map(|entry| &entry.registration.endpoint);
        let other = known.filter(|endpoint| {
            let holder = adopted.get(&endpoint.address);
            holder.is_some_and(|holder| **holder != endpoint.name)
        });
        let taken_over = other.map(|endpoint| endpoint.address).chain(before);
        taken_over.filter(|address| adopted.contains_key(address)).collect()
    }

    /// Replaces the content with that of a newer configuration. This includes the operators'
    /// part, since changes to it up to that revision aren't read again unless the registry is listed.
    fn replace_from_config(&mut self, now: Time, config: &Config) {
        self.operators = Some(OperatorConfig::from_config(config, self.operators.take()));
        let known = std::mem::take(&mut self.entries);
        let remaining: BTreeSet<&str> = config
            .services
            .iter()
            .flat_map(|service| &service.endpoints)
            .map(|endpoint| endpoint::registered_name(&endpoint.name))
            .collect();
        let listed: BTreeSet<&Name> = config.services.iter().map(|service| &service.name).collect();
        // Of services that aren't listed it isn't known which endpoints have left.
        let removed = known.values().map(|entry| &entry.registration).filter(|registration| {
            listed.contains(&registration.service) && !remaining.contains(&*registration.key)
        });
        removed.for_each(|registration| self.restore.record_removed(now, registration));
        for service in &config.services {
            for endpoint in &service.endpoints {
                let key = Name::from(endpoint::registered_name(&endpoint.name));
                let registration = Registration {
                    key: key.clone(),
                    service: service.name.clone(),
                    endpoint: endpoint.clone(),
                    create_revision: UNKNOWN,
                    sequence: UNKNOWN,
                };
                let entry = Entry { registration, written_after: None, retained: None };
                self.entries.insert(key, entry);
            }
        }
    }

    /// Returns whether the view may lack registrations, or hold what others have replaced, because it
    /// has skipped changes that matter now. The registry has to be listed then.
    pub fn lacks_registrations(&self) -> bool {
        let Some(gap) = &self.gap else { return false };
        let Some(operators) = &self.operators else { return false };
        let listed: BTreeSet<&Name> =
            operators.config.services.iter().map(|service| &service.name).collect();
        listed.iter().any(|service| self.is_unknown(gap, operators, service))
            // Endpoints of a service that is no longer listed may have displaced others from their
            // addresses.
            || gap.services.keys().any(|service| !listed.contains(service))
            || self.has_unordered_addresses(gap)
            || !(gap.taken_over.is_empty() || gap.taken_over.is_subset(&self.addresses()))
    }

    /// Returns whether registrations of a listed service, or how many connections its endpoints accept,
    /// may be among what was skipped.
    ///
    /// A configuration has an endpoint's own maximum only where operators state none.
    fn is_unknown(&self, gap: &Gap, operators: &OperatorConfig, service: &Name) -> bool {
        match gap.services.get(service) {
            None => true,
            Some(true) => !operators.connections.contains_key(service),
            Some(false) => {
                self.entries.values().any(|entry| entry.registration.service == *service)
            }
        }
    }

    fn addresses(&self) -> BTreeSet<SocketAddr> {
        let registrations = self.entries.values().map(|entry| &entry.registration);
        registrations.map(|registration| registration.endpoint.address).collect()
    }

    /// Returns whether an address has two endpoints of which it isn't known which one is newer.
    fn has_unordered_addresses(&self, gap: &Gap) -> bool {
        let mut holders = BTreeMap::new();
        self.entries.values().any(|entry| {
            let Registration { endpoint, create_revision, .. } = &entry.registration;
            let other = holders.insert(endpoint.address, *create_revision);
            other.is_some_and(|other| {
                let newer = other.max(*create_revision);
                other.min(*create_revision) == UNKNOWN && newer <= gap.until.revision
            })
        })
    }

    /// Returns whether the endpoint wrote a registration before the known one, which was adopted and has
    /// no sequence number: an endpoint that is leaving doesn't become ready again, but an earlier report
    /// may reach the registry late.
    pub(super) fn precedes_adopted(&self, registration: &Registration) -> bool {
        let known = self.entries.get(&registration.key).map(|entry| &entry.registration);
        known.is_some_and(|known| {
            known.sequence == UNKNOWN
                && known.endpoint.name == registration.endpoint.name
                && known.endpoint.leaving
                && !registration.endpoint.leaving
        })
    }
}
