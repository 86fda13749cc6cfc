//! This VM's view of the registry, and the configuration built from it: the registered
//! endpoints combined with the operators' configuration.
//!
//! Registrations expire unless they are renewed. An endpoint that stops and an outage of
//! the registry, in which no endpoint can renew, both end in expiry; [`RegistryView`] keeps
//! endpoints for a grace period after an outage, see [`outage`].
//!
//! The registry may also lose its last writes and be restored from an older copy, see
//! [`restore`].
//!
//! A newer configuration of another VM replaces the view, though it contains less than the registry,
//! see [`adoption`].

mod adoption;
mod outage;
mod position;
mod restore;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use self::{adoption::Gap, outage::Outages, restore::Restore};
pub use self::{
    outage::Recovery,
    position::{MAX_REVISION, RegistryPosition},
    restore::RESTORE_HOLD,
};
use crate::{
    config::{Config, ConfigError},
    endpoint::{self, Endpoint},
    name::Name,
    time::Time,
};

/// File name that errors in the operators' configuration give.
const OPERATORS_FILE: &str = "operators";

/// An endpoint's entry in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Name of the entry; it stays the same when the endpoint restarts.
    pub key: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// The endpoint, named by its incarnation; [`Endpoint::leaving`] is set if it reports
    /// that it is draining.
    pub endpoint: Endpoint,
    /// Registry revision at which the entry was created; it increases with each new entry.
    pub create_revision: u64,
    /// Sequence number of the endpoint's report; it restarts with each incarnation.
    pub sequence: u64,
}

impl Registration {
    /// Returns whether the endpoint wrote this registration before `other`; `false` if
    /// either doesn't state its incarnation.
    fn precedes(&self, other: &Registration) -> bool {
        let age = |one: &Registration| {
            endpoint::started_unix_ms(&one.endpoint.name).map(|started| (started, one.sequence))
        };
        age(self).zip(age(other)).is_some_and(|(this, other)| this < other)
    }
}

/// The operators' part of the configuration, validated.
///
/// If it were validated only together with the endpoints, an invalid one would block every
/// endpoint change, and requests would be sent to endpoints that have left. An invalid part
/// can't be constructed, so the previous one stays active.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorConfig {
    /// Services and rules, without endpoints.
    config: Config,
    /// Maximum connections for each endpoint of a service, where configured.
    connections: BTreeMap<Name, u32>,
}

impl OperatorConfig {
    /// Validates services and rules, which have no endpoints yet, and the maximum
    /// connections for each endpoint of a service.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with the field and its value.
    pub fn new(
        config: Config,
        connections: BTreeMap<Name, u32>,
    ) -> Result<OperatorConfig, ConfigError> {
        if let Some(error) = config.check(OPERATORS_FILE).into_iter().next() {
            return Err(error);
        }
        if let Some((service, _)) = connections.iter().find(|(_, count)| **count == 0) {
            return Err(ConfigError {
                file: Name::from(OPERATORS_FILE),
                field: format!("connections of {service}"),
                problem: "0 is not above 0".to_owned(),
            });
        }
        Ok(OperatorConfig { config, connections })
    }

    /// Returns the version that the operators gave it, if they did.
    pub fn version(&self) -> Option<u64> {
        self.config.operators_version
    }

    /// Returns the services and rules, without endpoints.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the maximum connections for each endpoint of a service, where configured.
    pub fn connections(&self) -> &BTreeMap<Name, u32> {
        &self.connections
    }

    /// Extracts the operators' part of a configuration.
    ///
    /// A configuration holds the maximum connections only in a service's endpoints; for a
    /// service without endpoints the value of `previous` is used.
    fn from_config(config: &Config, previous: Option<OperatorConfig>) -> OperatorConfig {
        let mut config = config.clone();
        let mut connections = previous.map(|previous| previous.connections).unwrap_or_default();
        for service in &mut config.services {
            if let Some(endpoint) = service.endpoints.first() {
                connections.insert(service.name.clone(), endpoint.connections);
            }
            service.endpoints.clear();
        }
        OperatorConfig { config, connections }
    }
}

/// A change in the registry.
#[derive(Clone, Debug)]
pub enum RegistryChange {
    /// The operators' configuration changed.
    Operators(Box<OperatorConfig>),
    /// An endpoint registered or changed its registration.
    Registered(Registration),
    /// An endpoint's registration was removed.
    Deregistered(Name),
    /// The entry of this name isn't a valid registration.
    Invalid(Name),
}

/// The content of the registry at one revision.
#[derive(Clone, Debug, Default)]
pub struct RegistrySnapshot {
    /// Era in which it was read, see [`RegistryPosition`]; `None` if the registry doesn't tell.
    pub era: Option<u64>,
    /// Revision up to which the snapshot is complete.
    pub revision: u64,
    /// Revision of its newest entry. Entries that are read one after the other may have
    /// changed since `revision`.
    pub newest_revision: u64,
    /// The operators' configuration; `None` before there is one.
    pub operators: Option<OperatorConfig>,
    /// The valid registrations.
    pub registrations: Vec<Registration>,
    /// Names of entries that aren't valid registrations.
    pub invalid_keys: Vec<Name>,
}

/// Settings of a [`RegistryView`].
#[derive(Clone, Debug)]
pub struct RegistryViewSettings {
    /// Time after an outage of the registry for which missing endpoints are retained.
    /// Their registrations expired while they couldn't be renewed; a live endpoint
    /// registers again within about two seconds.
    pub recovery_grace_ms: u64,
    /// Time between two heartbeats with which an endpoint renews its registration.
    pub heartbeat_ms: u64,
    /// Percentage of a service's endpoints that stay in rotation whatever their health.
    pub floor_percent: u32,
}

impl Default for RegistryViewSettings {
    fn default() -> RegistryViewSettings {
        RegistryViewSettings { recovery_grace_ms: 2_200, heartbeat_ms: 1_500, floor_percent: 50 }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    registration: Registration,
    /// Time after which it was last written; `None` if unknown.
    written_after: Option<Time>,
    /// Set if the registry no longer contains the registration.
    retained: Option<Retained>,
}

/// Retention of a registration that the registry no longer contains.
#[derive(Clone, Copy, Debug)]
struct Retained {
    until: Time,
    /// Position at which its removal was seen.
    position: RegistryPosition,
}

/// The registered endpoints and the operators' configuration.
#[derive(Clone, Debug)]
pub struct RegistryView {
    settings: RegistryViewSettings,
    operators: Option<OperatorConfig>,
    entries: BTreeMap<Name, Entry>,
    position: RegistryPosition,
    restore: Restore,
    /// Revision of the newest entry of the last snapshot, until all changes up to it are known.
    incomplete_until: Option<u64>,
    outages: Outages,
    /// Changes that this view has skipped since the registry was last listed.
    gap: Option<Gap>,
}

impl RegistryView {
    /// Creates an empty view.
    pub fn new(settings: RegistryViewSettings) -> RegistryView {
        RegistryView {
            outages: Outages::new(Duration::from_millis(settings.heartbeat_ms)),
            settings,
            operators: None,
            entries: BTreeMap::new(),
            position: RegistryPosition::default(),
            restore: Restore::default(),
            incomplete_until: None,
            gap: None,
        }
    }

    /// Records that a call to the registry failed that was made at `asked_at`; returns whether the
    /// one before it succeeded.
    pub fn on_unreachable(&mut self, now: Time, asked_at: Time) -> bool {
        self.outages.on_failure(now, asked_at)
    }

    /// Returns whether the last request to the registry failed.
    pub fn is_unreachable(&self) -> bool {
        self.outages.is_failing()
    }

    /// Records a response of the registry; returns what it ends if calls have failed before it.
    ///
    /// Endpoints that are retained since an outage just before couldn't register again in this one.
    pub fn on_response(&mut self, now: Time) -> Option<Recovery> {
        let recovery = self.outages.on_response(now)?;
        if recovery.is_outage {
            let until = now + self.recovery_grace();
            let retained = self.entries.values_mut().filter_map(|entry| entry.retained.as_mut());
            retained.for_each(|retained| retained.until = until);
        }
        Some(recovery)
    }

    fn recovery_grace(&self) -> Duration {
        Duration::from_millis(self.settings.recovery_grace_ms)
    }

    /// Returns the position in the registry's history up to which changes are known.
    pub fn position(&self) -> RegistryPosition {
        self.position
    }

    /// Replaces the content with a snapshot of the registry; one of an earlier era is ignored.
    pub fn on_snapshot(&mut self, now: Time, snapshot: RegistrySnapshot) {
        let era = snapshot.era.unwrap_or(self.position.era);
        if era < self.position.era {
            return;
        }
        if era > self.position.era {
            self.begin_era(now, era);
        }
        let RegistrySnapshot {
            era: _,
            revision,
            newest_revision,
            operators,
            registrations,
            invalid_keys,
        } = snapshot;
        for key in invalid_keys {
            self.entries.remove(&key);
        }
        let listed: BTreeMap<Name, Registration> = registrations
            .into_iter()
            .map(|registration| (registration.key.clone(), registration))
            .collect();
        let missing: Vec<Name> =
            self.entries.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
        for name in missing {
            self.deregister(now, revision, &name);
        }
        for registration in listed.into_values() {
            self.register(now, registration, None);
        }
        if let Some(operators) = operators {
            self.set_operators(now, operators);
        }
        self.position.revision = self.position.revision.max(revision);
        self.incomplete_until = Some(newest_revision);
        self.gap = None;
        self.on_complete_up_to(revision);
    }

    /// Records that all changes up to `revision` are known.
    pub fn on_complete_up_to(&mut self, revision: u64) {
        self.incomplete_until.take_if(|newest| *newest <= revision);
    }

    /// Applies a change that the registry made at `revision` of the present era.
    pub fn on_change(&mut self, now: Time, revision: u64, change: RegistryChange) {
        match change {
            RegistryChange::Operators(operators) => self.set_operators(now, *operators),
            RegistryChange::Registered(registration) => {
                self.register(now, registration, self.outages.written_after());
            }
            RegistryChange::Deregistered(name) => self.deregister(now, revision, &name),
            RegistryChange::Invalid(name) => {
                self.entries.remove(&name);
            }
        }
        self.position.revision = self.position.revision.max(revision);
    }

    /// Removes endpoints whose retention has ended, and an operators' part that the registry
    /// has lost for good; returns when the next one ends.
    ///
    /// A retention ends only once the registry has answered after it: in a further outage the
    /// endpoints can't register again.
    pub fn remove_expired(&mut self, now: Time) -> Option<Time> {
        let held = self.end_hold(now);
        let answered_at = self.outages.last_response().unwrap_or(now);
        self.entries
            .retain(|_, entry| entry.retained.is_none_or(|retained| answered_at < retained.until));
        let retained = self.entries.values().filter_map(|entry| Some(entry.retained?.until)).min();
        retained.into_iter().chain(held).min()
    }

    /// Builds the configuration. Returns `None` before there is an operators' configuration,
    /// and while the last snapshot has an entry newer than its revision: under that revision's
    /// version, another VM's older configuration could replace it.
    ///
    /// The version is derived from the registry's position, so it never decreases. At one
    /// revision two VMs may retain different endpoints; the one that retains fewer saw more
    /// removals, so its version is the higher one. One that may lack registrations has a lower one.
    pub fn config(&self) -> Option<Config> {
        if self.incomplete_until.is_some() {
            return None;
        }
        let OperatorConfig { mut config, connections } = self.operators.clone()?;
        let retained = self.entries.values().filter(|entry| entry.retained.is_some()).count();
        let differences = retained
            + usize::from(self.restore.is_holding())
            + usize::from(self.lacks_registrations());
        config.version = self.position.version(differences);
        let mut endpoints = self.endpoints_by_service(&config);
        for service in &mut config.services {
            service.endpoints = endpoints.remove(&service.name).unwrap_or_default();
            if let Some(connections) = connections.get(&service.name) {
                for endpoint in &mut service.endpoints {
                    endpoint.connections = *connections;
                }
            }
            let staying = service.endpoints.iter().filter(|endpoint| !endpoint.leaving).count();
            service.floor = (staying as u32 * self.settings.floor_percent) / 100;
        }
        Some(config)
    }

    /// Returns the registrations for services that the operators' configuration doesn't have.
    pub fn unassigned(&self) -> impl Iterator<Item = &Registration> {
        let services = self.operators.iter().flat_map(|operators| &operators.config.services);
        let configured: BTreeSet<&Name> = services.map(|service| &service.name).collect();
        let registrations = self.entries.values().map(|entry| &entry.registration);
        registrations.filter(move |registration| !configured.contains(&registration.service))
    }

    /// Adds or replaces a registration unless it is older than the known one.
    ///
    /// A write from before the endpoint restarted or began to drain may reach the registry
    /// late; requests would then go to an endpoint that has left or to an ended incarnation.
    /// Endpoints number their reports within each incarnation, which gives the order.
    fn register(&mut self, now: Time, registration: Registration, written_after: Option<Time>) {
        let known = self.entries.get(&registration.key).map(|entry| &entry.registration);
        if known.is_some_and(|known| registration.precedes(known))
            || self.restore.is_outdated(now, known, &registration)
            || self.precedes_adopted(&registration)
        {
            return;
        }
        let entry = Entry { registration, written_after, retained: None };
        self.entries.insert(entry.registration.key.clone(), entry);
    }

    /// Removes an endpoint, at once or after the grace period.
    ///
    /// During an outage of the registry all registrations expire, and right after it the
    /// removals would leave a service without endpoints though all are healthy. Every live
    /// endpoint registers again within the grace period; a draining one is removed at once.
    fn deregister(&mut self, now: Time, revision: u64, name: &Name) {
        let grace = self.recovery_grace();
        let Some(entry) = self.entries.get_mut(name) else { return };
        match self.outages.retention_end(now, entry.written_after, grace) {
            Some(until) if !entry.registration.endpoint.leaving => {
                let position = RegistryPosition { revision, ..self.position };
                entry.retained.get_or_insert(Retained { until, position });
            }
            _ => {
                self.restore.record_removed(now, &entry.registration);
                self.entries.remove(name);
            }
        }
    }

    /// Returns the endpoints of each configured service.
    ///
    /// If two registrations have the same address, the newer one holds it: an address may be
    /// reused before the registration of an ended endpoint expires. A retained one may be of an
    /// earlier era, in which revisions were higher. Registrations for unknown
    /// services hold no address; otherwise anyone who can write to the registry could take
    /// the address of a live endpoint.
    fn endpoints_by_service(&self, config: &Config) -> BTreeMap<Name, Vec<Endpoint>> {
        let configured: BTreeSet<&Name> =
            config.services.iter().map(|service| &service.name).collect();
        let age = |entry: &Entry| (entry.retained.is_none(), entry.registration.create_revision);
        let mut holders: BTreeMap<SocketAddr, &Entry> = BTreeMap::new();
        for entry in self.entries.values() {
            if !configured.contains(&entry.registration.service) {
                continue;
            }
            let holder = holders.entry(entry.registration.endpoint.address).or_insert(entry);
            if age(entry) > age(holder) {
                *holder = entry;
            }
        }
        let mut holders: Vec<&Registration> =
            holders.into_values().map(|entry| &entry.registration).collect();
        holders.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let mut endpoints: BTreeMap<Name, Vec<Endpoint>> = BTreeMap::new();
        for holder in holders {
            endpoints.entry(holder.service.clone()).or_default().push(holder.endpoint.clone());
        }
        endpoints
    }
}
