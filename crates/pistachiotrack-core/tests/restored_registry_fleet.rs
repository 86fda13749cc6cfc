//! Several VMs, a registry that is restored from copies, and VMs that start meanwhile, in random
//! histories.

mod config_support;

use std::{collections::BTreeMap, time::Duration};

use config_support::{CURRENT_SIZES, DEPLOYMENT, config, vm};
use pistachiotrack_core::{
    config::Config,
    config_sync::{ConfigAction, ConfigSync, ConfigSyncSettings},
    endpoint::{Endpoint, incarnation_name},
    name::Name,
    registry_view::{
        OperatorConfig, Registration, RegistryChange, RegistryPosition, RegistrySnapshot,
        RegistryView, RegistryViewSettings,
    },
    time::Time,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const START: Time = Time::from_millis(100_000);
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 1_200;
const VMS: usize = 6;
const ENDPOINTS: u64 = 5;
const SERVICE: &str = "service-0";
/// Time in which a confirmed change has to be in force, and in which endpoints write again.
const BOUND: Duration = Duration::from_secs(2);
/// Time after which the registration of an ended endpoint expires.
const EXPIRY: Duration = Duration::from_millis(4_500);

fn operators(version: u64) -> OperatorConfig {
    let mut config = Config { operators_version: Some(version), ..config(0, CURRENT_SIZES) };
    config.services.truncate(1);
    (config.services[0].endpoints, config.services[0].floor) = (Vec::new(), 0);
    config.rules.clear();
    config.customers.clear();
    OperatorConfig::new(config, [].into()).unwrap()
}

/// An endpoint, whether the registry has it or not.
#[derive(Clone)]
struct EndpointModel {
    sequence: u64,
    leaving_since: Option<Time>,
    ends_at: Option<Time>,
    writes_at: Option<Time>,
}

/// Content of the registry.
#[derive(Clone, Default)]
struct Content {
    revision: u64,
    operators: u64,
    registrations: BTreeMap<u64, Registration>,
    log: Vec<(u64, RegistryChange)>,
}

impl Content {
    fn record(&mut self, change: RegistryChange) {
        self.revision += 1;
        self.log.push((self.revision, change));
    }
}

struct Vm {
    sync: ConfigSync,
    view: RegistryView,
    synced: Option<RegistryPosition>,
    started: Time,
    operators_in_force: u64,
}

impl Vm {
    fn new(index: usize, now: Time, seed: u64) -> Vm {
        let settings =
            ConfigSyncSettings { first_value_grace_ms: 0, ..ConfigSyncSettings::default() };
        let sync = ConfigSync::new(vm(index as u32, 3), Name::from(DEPLOYMENT), settings, seed);
        let view = RegistryView::new(RegistryViewSettings::default());
        Vm { sync, view, synced: None, started: now, operators_in_force: 0 }
    }

    /// Reads the registry as a source does: the changes if they continue what it has, else a list.
    fn read(&mut self, now: Time, era: u64, content: &Content) {
        if let Some(active) = self.sync.config().cloned()
            && let Some(complete) = self.view.on_active_config(now, &active)
        {
            self.synced = self.synced.map(|synced| synced.max(complete));
        }
        self.view.on_response(now);
        let continues =
            |synced: &RegistryPosition| synced.era == era && synced.revision <= content.revision;
        match self.synced.filter(continues) {
            Some(synced) => {
                let newer = content.log.iter().filter(|(revision, _)| *revision > synced.revision);
                newer.for_each(|(revision, change)| {
                    self.view.on_change(now, *revision, change.clone());
                });
            }
            None => {
                let snapshot = RegistrySnapshot {
                    era: Some(era),
                    revision: content.revision,
                    newest_revision: content.revision,
                    operators: Some(operators(content.operators)),
                    registrations: content.registrations.values().cloned().collect(),
                    invalid_keys: Vec::new(),
                };
                self.view.on_snapshot(now, snapshot);
            }
        }
        self.synced = Some(RegistryPosition { era, revision: content.revision });
        self.view.remove_expired(now);
        let newer = |config: &Config| Some(config.version) > self.sync.version();
        if let Some(config) = self.view.config().filter(newer) {
            self.sync.on_platform_config(now, config);
        }
    }
}

struct World {
    rng: Pcg64Mcg,
    now: Time,
    era: u64,
    content: Content,
    copies: Vec<(Time, Content)>,
    endpoints: BTreeMap<u64, EndpointModel>,
    next_endpoint: u64,
    vms: Vec<Vm>,
    /// Until when the registry is away, and since when it has been there otherwise.
    away_until: Option<Time>,
    there_since: Time,
    operators_write_at: Time,
    /// Version that operators wrote last, and the times of all versions.
    version: u64,
    confirmed: Vec<(Time, u64)>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: START,
            era: 1,
            content: Content::default(),
            copies: Vec::new(),
            endpoints: BTreeMap::new(),
            next_endpoint: 0,
            vms: (0..VMS).map(|index| Vm::new(index, START, seed)).collect(),
            away_until: None,
            there_since: START,
            operators_write_at: START,
            version: 10,
            confirmed: Vec::new(),
        };
        (0..ENDPOINTS).for_each(|_| world.add_endpoint());
        world
    }

    fn add_endpoint(&mut self) {
        let endpoint = EndpointModel {
            sequence: 0,
            leaving_since: None,
            ends_at: None,
            writes_at: Some(self.now),
        };
        self.endpoints.insert(self.next_endpoint, endpoint);
        self.next_endpoint += 1;
    }

    fn random_ms(&mut self, below: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..below))
    }

    fn write_endpoint(&mut self, id: u64) {
        let now = self.now;
        let endpoint = self.endpoints.get_mut(&id).unwrap();
        endpoint.sequence += 1;
        endpoint.writes_at = None;
        let key = Name::from(format!("i-{id}"));
        let registration = Registration {
            endpoint: Endpoint {
                name: incarnation_name(&key, Some(id)),
                address: ([10, 0, 0, 1], 1_000 + id as u16).into(),
                data_centre: Name::from("dc-0"),
                slots: 2,
                connections: 400,
                leaving: endpoint.leaving_since.is_some(),
            },
            key,
            service: Name::from(SERVICE),
            create_revision: self.content.revision + 1,
            sequence: endpoint.sequence,
        };
        // The first write of its leaving is the one that is confirmed.
        if endpoint.leaving_since.is_some() && endpoint.ends_at.is_none() {
            endpoint.leaving_since = Some(now);
            endpoint.ends_at = Some(now + Duration::from_secs(4));
        }
        self.content.registrations.insert(id, registration.clone());
        self.content.record(RegistryChange::Registered(registration));
    }

    fn change_registry(&mut self) {
        if self.now >= self.operators_write_at {
            let repeats = self.content.operators < self.version && self.rng.random_bool(0.5);
            self.version += if repeats { 0 } else { self.rng.random_range(1..4) };
            self.content.operators = self.version;
            let operators = RegistryChange::Operators(Box::new(operators(self.version)));
            self.content.record(operators);
            self.confirmed.push((self.now, self.version));
            self.operators_write_at = self.now + self.random_ms(1_500);
        }
        let ids: Vec<u64> = self.content.registrations.keys().copied().collect();
        for id in ids {
            let has_ended = self
                .endpoints
                .get(&id)
                .is_none_or(|endpoint| endpoint.ends_at.is_some_and(|at| self.now >= at));
            let expires =
                self.endpoints.contains_key(&id) || self.now.since(self.there_since) >= EXPIRY;
            if has_ended && expires {
                self.content.registrations.remove(&id);
                self.content.record(RegistryChange::Deregistered(Name::from(format!("i-{id}"))));
                self.endpoints.remove(&id);
            }
        }
        let ids: Vec<u64> = self.endpoints.keys().copied().collect();
        for id in ids {
            if self.rng.random_bool(0.003) && self.endpoints[&id].leaving_since.is_none() {
                let endpoint = self.endpoints.get_mut(&id).unwrap();
                endpoint.leaving_since = Some(self.now);
                endpoint.writes_at = Some(self.now);
                self.add_endpoint();
            }
            if self.endpoints[&id].writes_at.is_some_and(|at| self.now >= at) {
                self.write_endpoint(id);
            }
        }
        self.copies.push((self.now, self.content.clone()));
        let oldest = self.now.before(Duration::from_secs(8));
        self.copies.retain(|(at, _)| *at >= oldest);
    }

    /// Takes the registry away, and brings it back from a copy some seconds old.
    fn fail_registry(&mut self) {
        match self.away_until {
            Some(until) if self.now >= until => {
                let index = self.rng.random_range(0..self.copies.len());
                self.content = self.copies[index].1.clone();
                self.copies.truncate(index + 1);
                self.era += 1;
                self.away_until = None;
                self.there_since = self.now;
                self.operators_write_at = self.now + self.random_ms(300);
                let ids: Vec<u64> = self.endpoints.keys().copied().collect();
                for id in ids {
                    let at = self.now + self.random_ms(1_500);
                    self.endpoints.get_mut(&id).unwrap().writes_at = Some(at);
                }
            }
            None if self.rng.random_bool(0.006)
                && self.now.since(START) > Duration::from_secs(5) =>
            {
                self.away_until = Some(self.now + self.random_ms(2_500));
            }
            _ => {}
        }
    }

    fn run_vms(&mut self) {
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..VMS);
            let seed = self.rng.random();
            self.vms[index] = Vm::new(index, self.now, seed);
        }
        for _ in 0..2 {
            let index = self.rng.random_range(0..VMS);
            let vm = &mut self.vms[index];
            if self.away_until.is_some() {
                vm.view.on_unreachable(self.now, self.now);
            } else {
                vm.read(self.now, self.era, &self.content);
            }
        }
        for to in 0..VMS {
            let from = (to + self.rng.random_range(1..VMS)) % VMS;
            self.pull(to, from);
        }
    }

    fn pull(&mut self, to: usize, from: usize) {
        let Some(version) = self.vms[from].sync.version() else { return };
        let now = self.now;
        let mut actions = self.vms[to].sync.on_peer_version(now, &vm(from as u32, 3), version);
        while let Some(ConfigAction::Pull { vm, request }) = actions.pop() {
            let peer = (0..VMS).find(|index| vm.name == config_support::vm(*index as u32, 3).name);
            let response = self.vms[peer.unwrap()].sync.handle_pull(now, &request).unwrap();
            actions = self.vms[to].sync.on_pull_response(now, &vm.name, Some(&response));
        }
        self.vms[to].sync.on_tick(now, [].iter());
    }

    fn check(&mut self, seed: u64) {
        let now = self.now;
        let is_stable =
            self.away_until.is_none() && now.since(self.there_since) >= Duration::from_secs(3);
        let due = self.confirmed.iter().filter(|(at, _)| now.since(*at) > BOUND);
        let due = due.map(|(_, version)| *version).max().unwrap_or_default();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            let Some(config) = vm.sync.config() else { continue };
            let in_force = config.operators_version.unwrap();
            assert!(
                in_force >= vm.operators_in_force,
                "seed {seed}, {now:?}, VM {index}: from {} back to {in_force}",
                vm.operators_in_force
            );
            vm.operators_in_force = in_force;
            if !is_stable || now.since(vm.started) < BOUND {
                continue;
            }
            assert!(
                in_force >= due,
                "seed {seed}, {now:?}, VM {index}: {in_force} in force, {due} confirmed"
            );
            for endpoint in &config.services[0].endpoints {
                let id: u64 =
                    endpoint.name["i-".len()..].split('#').next().unwrap().parse().unwrap();
                let left = match self.endpoints.get(&id) {
                    Some(known) => known.leaving_since.filter(|_| known.ends_at.is_some()),
                    None => Some(now.before(BOUND)),
                };
                assert!(
                    endpoint.leaving || left.is_none_or(|at| now.since(at) <= BOUND),
                    "seed {seed}, {now:?}, VM {index}: {} left at {left:?}",
                    endpoint.name
                );
            }
        }
    }

    fn run(mut self, seed: u64) {
        for _ in 0..STEPS {
            self.now += STEP;
            self.fail_registry();
            if self.away_until.is_none() {
                self.change_registry();
            }
            self.run_vms();
            self.check(seed);
        }
    }
}

/// The registry loses up to eight seconds of writes again and again, while VMs start, read it or
/// their peers. No VM goes back, and what is confirmed after a return is in force in time.
#[test]
fn changes_are_in_force_in_time_in_random_histories_of_restores() {
    for seed in 1..=40 {
        World::new(seed).run(seed);
    }
}
