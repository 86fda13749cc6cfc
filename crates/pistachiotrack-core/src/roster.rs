//! Endpoints that register themselves, and the configuration made of them and of
//! what operators wrote.
//!
//! A registry forgets an endpoint that it hasn't heard of for a while, also when
//! the registry itself was away. The roster tells the two apart.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    config::{Config, ConfigError},
    endpoint::{self, Endpoint},
    name::Name,
    time::Time,
};

/// What errors in operators' part call it.
const OPERATORS_FILE: &str = "operators";

/// An endpoint as a registry announces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announced {
    /// Name under which it registers; it stays when the endpoint starts again.
    pub key: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// The endpoint, named by its incarnation; [`Endpoint::leaving`] if it says that
    /// it leaves.
    pub endpoint: Endpoint,
    /// Number that grows with each registration.
    pub registered: u64,
    /// Number of what it says of itself; it begins anew with each incarnation.
    pub sequence: u64,
}

impl Announced {
    /// Returns whether an endpoint said this before it said `other`, as far as both
    /// tell their incarnation.
    fn is_before(&self, other: &Announced) -> bool {
        let age = |one: &Announced| {
            endpoint::started_unix_ms(&one.endpoint.name).map(|started| (started, one.sequence))
        };
        age(self).zip(age(other)).is_some_and(|(this, other)| this < other)
    }
}

/// What operators wrote, found valid.
///
/// Failure guarded against: operators' part is checked only together with the endpoints,
/// and one that isn't valid keeps every change of the endpoints from coming into force. It
/// shows as requests that reach endpoints which have left. The guard holds because a part
/// that isn't valid never becomes one of these, and the one before stays.
#[derive(Clone, Debug, PartialEq)]
pub struct Operators {
    /// Services and rules, without endpoints.
    config: Config,
    /// Connections that each endpoint of a service accepts, where it is said.
    connections: BTreeMap<Name, u32>,
}

impl Operators {
    /// Checks services and rules, which have no endpoints yet, and the connections that
    /// each endpoint of a service accepts.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, with the field and its value.
    pub fn new(config: Config, connections: BTreeMap<Name, u32>) -> Result<Operators, ConfigError> {
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
        Ok(Operators { config, connections })
    }

    /// Returns services and rules, without endpoints.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the connections that each endpoint of a service accepts, where it is said.
    pub fn connections(&self) -> &BTreeMap<Name, u32> {
        &self.connections
    }

    /// Returns the operators' part of a configuration.
    ///
    /// What they wrote about connections shows at a service's endpoints only; where it has
    /// none, `before` is what is known.
    fn of(config: &Config, before: Option<Operators>) -> Operators {
        let mut config = config.clone();
        let mut connections = before.map(|before| before.connections).unwrap_or_default();
        for service in &mut config.services {
            if let Some(endpoint) = service.endpoints.first() {
                connections.insert(service.name.clone(), endpoint.connections);
            }
            service.endpoints.clear();
        }
        Operators { config, connections }
    }
}

/// A change that a registry tells of.
#[derive(Clone, Debug)]
pub enum Change {
    /// Operators wrote something else.
    Operators(Box<Operators>),
    /// An endpoint registered or changed.
    Announced(Announced),
    /// An endpoint is no longer registered.
    Withdrawn(Name),
    /// What is registered under this name names no endpoint that can be used.
    Unusable(Name),
}

/// Everything that a registry has at one revision.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Revision of the listing.
    pub revision: u64,
    /// Revision of its newest part. Parts that are read one after the other may have changed
    /// since `revision`.
    pub newest: u64,
    /// What operators wrote; `None` before they wrote any.
    pub operators: Option<Operators>,
    /// The endpoints.
    pub endpoints: Vec<Announced>,
    /// Names under which something is registered that can't be used.
    pub unusable: Vec<Name>,
}

/// Settings of the roster.
#[derive(Clone, Debug)]
pub struct RosterSettings {
    /// Time after the registry's return for which endpoints are kept that it no
    /// longer has. Their entries ran out while they couldn't be renewed, and a
    /// living endpoint renews its own within about two seconds.
    pub regain_grace_ms: u64,
    /// Part of a service's endpoints that stay in rotation whatever their health.
    pub floor_percent: u32,
}

impl Default for RosterSettings {
    fn default() -> RosterSettings {
        RosterSettings { regain_grace_ms: 2_200, floor_percent: 50 }
    }
}

/// Number by which a revision of the registry is multiplied to make a version of
/// the configuration; what is below tells how much of it still lingers.
const VERSIONS_PER_REVISION: u64 = 256;

#[derive(Clone, Debug)]
struct Entry {
    announced: Announced,
    /// Set once the registry no longer has it.
    kept: Option<Kept>,
}

/// How an endpoint is kept that the registry no longer has.
#[derive(Clone, Copy, Debug)]
struct Kept {
    until: Time,
    /// Revision at which it was found to be gone.
    revision: u64,
}

/// The endpoints registered, and what operators wrote.
#[derive(Clone, Debug)]
pub struct Roster {
    settings: RosterSettings,
    operators: Option<Operators>,
    entries: BTreeMap<Name, Entry>,
    revision: u64,
    /// Revision of the newest part of the last listing, until all changes up to it are known.
    listed_ahead: Option<u64>,
    is_lost: bool,
    regained_at: Option<Time>,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new(settings: RosterSettings) -> Roster {
        Roster {
            settings,
            operators: None,
            entries: BTreeMap::new(),
            revision: 0,
            listed_ahead: None,
            is_lost: false,
            regained_at: None,
        }
    }

    /// Notes that the registry doesn't answer; returns whether that is news.
    pub fn on_lost(&mut self) -> bool {
        !std::mem::replace(&mut self.is_lost, true)
    }

    /// Returns whether the registry didn't answer last time.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Notes an answer of the registry; returns whether it had been away.
    pub fn on_answer(&mut self, now: Time) -> bool {
        let was_lost = std::mem::replace(&mut self.is_lost, false);
        if was_lost {
            self.regained_at = Some(now);
        }
        was_lost
    }

    /// Takes everything that the registry has.
    pub fn on_listing(&mut self, now: Time, listing: Listing) {
        let Listing { revision, newest, operators, endpoints, unusable } = listing;
        for key in unusable {
            self.entries.remove(&key);
        }
        let listed: BTreeMap<Name, Announced> =
            endpoints.into_iter().map(|announced| (announced.key.clone(), announced)).collect();
        let missing: Vec<Name> =
            self.entries.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
        for name in missing {
            self.withdraw(now, revision, &name);
        }
        for announced in listed.into_values() {
            self.announce(announced);
        }
        if let Some(operators) = operators {
            self.operators = Some(operators);
        }
        self.revision = self.revision.max(revision);
        self.listed_ahead = Some(newest);
        self.on_followed(revision);
    }

    /// Notes that all changes up to `revision` are known.
    pub fn on_followed(&mut self, revision: u64) {
        self.listed_ahead.take_if(|newest| *newest <= revision);
    }

    /// Takes a change that the registry made at `revision`.
    pub fn on_change(&mut self, now: Time, revision: u64, change: Change) {
        match change {
            Change::Operators(operators) => self.operators = Some(*operators),
            Change::Announced(announced) => self.announce(announced),
            Change::Withdrawn(name) => self.withdraw(now, revision, &name),
            Change::Unusable(name) => {
                self.entries.remove(&name);
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Drops what has been kept for long enough; returns when more is due.
    pub fn drop_due(&mut self, now: Time) -> Option<Time> {
        self.entries.retain(|_, entry| entry.kept.is_none_or(|kept| now < kept.until));
        self.entries.values().filter_map(|entry| Some(entry.kept?.until)).min()
    }

    /// Takes the configuration in force, which may have come from another VM;
    /// returns the revision up to which the roster is complete by it, if it knows
    /// more than the roster did.
    ///
    /// Failure guarded against: a VM that alone was cut off from the registry, or
    /// that hasn't followed it for a while, keeps an endpoint that has left, and its
    /// next version brings the endpoint back to all VMs. It shows as requests that
    /// reach an endpoint after it has left. The guard holds because a version that
    /// keeps nothing was made by a VM that saw each removal as it happened.
    pub fn on_in_force(&mut self, config: &Config) -> Option<u64> {
        if config.version % VERSIONS_PER_REVISION != VERSIONS_PER_REVISION - 1 {
            return None;
        }
        let revision = config.version / VERSIONS_PER_REVISION;
        self.entries.retain(|_, entry| entry.kept.is_none_or(|kept| kept.revision > revision));
        if revision <= self.revision {
            return None;
        }
        self.adopt(config);
        self.revision = revision;
        self.on_followed(revision);
        Some(revision)
    }

    /// Replaces all by what a configuration says that knows more, operators' part
    /// included: what they wrote meanwhile isn't read again.
    fn adopt(&mut self, config: &Config) {
        self.operators = Some(Operators::of(config, self.operators.take()));
        let known = std::mem::take(&mut self.entries);
        for service in &config.services {
            for endpoint in &service.endpoints {
                let key = Name::from(endpoint::registered_name(&endpoint.name));
                let known = known.get(&key).map(|entry| &entry.announced);
                let announced = Announced {
                    key: key.clone(),
                    service: service.name.clone(),
                    endpoint: endpoint.clone(),
                    registered: known.map_or(0, |known| known.registered),
                    sequence: 0,
                };
                self.entries.insert(key, Entry { announced, kept: None });
            }
        }
    }

    /// Returns the configuration made of all this; `None` before operators wrote any, and
    /// while a part is newer than the rest: under the rest's version it would be replaced by
    /// an older one.
    ///
    /// Its version follows the registry's revision, so that it never goes back.
    /// Two VMs may differ at one revision in what they still keep; the one that
    /// keeps less knows more, and its version is the higher one.
    pub fn config(&self) -> Option<Config> {
        if self.listed_ahead.is_some() {
            return None;
        }
        let Operators { mut config, connections } = self.operators.clone()?;
        let kept = self.entries.values().filter(|entry| entry.kept.is_some()).count();
        let rank = (VERSIONS_PER_REVISION - 1).saturating_sub(kept as u64);
        config.version = self.revision * VERSIONS_PER_REVISION + rank;
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

    /// Returns what is registered for services that operators didn't name.
    pub fn strays(&self) -> impl Iterator<Item = &Announced> {
        let services = self.operators.iter().flat_map(|operators| &operators.config.services);
        let named: BTreeSet<&Name> = services.map(|service| &service.name).collect();
        let announced = self.entries.values().map(|entry| &entry.announced);
        announced.filter(move |announced| !named.contains(&announced.service))
    }

    /// Failure guarded against: what an endpoint said before it started again, or
    /// before it said that it leaves, reaches the registry late. It shows as requests
    /// to an endpoint that has left, or for an incarnation that is gone. The guard
    /// holds because an endpoint numbers what it says, anew in each incarnation.
    fn announce(&mut self, announced: Announced) {
        let known = self.entries.get(&announced.key).map(|entry| &entry.announced);
        if known.is_some_and(|known| announced.is_before(known)) {
            return;
        }
        self.entries.insert(announced.key.clone(), Entry { announced, kept: None });
    }

    /// Takes an endpoint out, at once or after the grace.
    ///
    /// Failure guarded against: the registry was away, all its entries ran out,
    /// and a service is left without endpoints though all are well. It shows as
    /// removals right after the registry's return. The guard holds because every
    /// living endpoint is back within the grace; one that had said that it leaves
    /// is let go at once.
    fn withdraw(&mut self, now: Time, revision: u64, name: &Name) {
        let grace = Duration::from_millis(self.settings.regain_grace_ms);
        let until = match (self.is_lost, self.regained_at) {
            (true, _) => Some(now + grace),
            (false, Some(regained)) if now < regained + grace => Some(regained + grace),
            _ => None,
        };
        let Some(entry) = self.entries.get_mut(name) else { return };
        match until {
            Some(until) if !entry.announced.endpoint.leaving => {
                entry.kept.get_or_insert(Kept { until, revision });
            }
            _ => {
                self.entries.remove(name);
            }
        }
    }

    /// Returns the endpoints of each service that operators named.
    ///
    /// An address is given to another endpoint once its endpoint has ended, which the
    /// registry may not have noticed yet: it belongs to the one that registered last.
    /// What is registered for a service that nobody named holds no address, or anybody
    /// who can write there would take one from its endpoint.
    fn endpoints_by_service(&self, config: &Config) -> BTreeMap<Name, Vec<Endpoint>> {
        let named: BTreeSet<&Name> = config.services.iter().map(|service| &service.name).collect();
        let mut holders: BTreeMap<SocketAddr, &Announced> = BTreeMap::new();
        for Entry { announced, .. } in self.entries.values() {
            if !named.contains(&announced.service) {
                continue;
            }
            let holder = holders.entry(announced.endpoint.address).or_insert(announced);
            if announced.registered > holder.registered {
                *holder = announced;
            }
        }
        let mut holders: Vec<&Announced> = holders.into_values().collect();
        holders.sort_unstable_by(|a, b| a.key.cmp(&b.key));
        let mut endpoints: BTreeMap<Name, Vec<Endpoint>> = BTreeMap::new();
        for holder in holders {
            endpoints.entry(holder.service.clone()).or_default().push(holder.endpoint.clone());
        }
        endpoints
    }
}
