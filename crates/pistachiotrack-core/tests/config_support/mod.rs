//! Configurations and fleets for tests and measurements.

#![allow(dead_code)]

pub(crate) mod fleet;

use std::net::SocketAddr;

use pistachiotrack_core::{
    caller_limits::CallerLimits,
    config::{Config, DEFAULT_ENTRY_LIFETIME_MS},
    contract::Contract,
    customer::Customer,
    data_centre::DataCentre,
    endpoint::Endpoint,
    name::Name,
    rule::{Conditions, Route, Rule, RuleAction},
    service::{Contention, Service},
    vm::{DEFAULT_CAPACITY, Vm},
};

pub(crate) const DEPLOYMENT: &str = "timeliten";

/// Sizes of a generated configuration.
#[derive(Clone, Copy)]
pub(crate) struct Sizes {
    pub(crate) data_centres: u32,
    pub(crate) services: u32,
    pub(crate) endpoints: u32,
    pub(crate) customers: u32,
    pub(crate) rules: u32,
}

/// The current sizes of the Timeliten deployment.
pub(crate) const CURRENT_SIZES: Sizes =
    Sizes { data_centres: 3, services: 3, endpoints: 34, customers: 12, rules: 30 };

/// The sizes that the design has to support.
pub(crate) const TARGET_SIZES: Sizes = Sizes {
    data_centres: 17,
    services: 4_700,
    endpoints: 200_000,
    customers: 460_000,
    rules: 210_000,
};

pub(crate) fn name(kind: &str, index: u32) -> Name {
    Name::from(format!("{kind}-{index}"))
}

pub(crate) fn config(version: u64, sizes: Sizes) -> Config {
    Config {
        version,
        deployment: Name::from(DEPLOYMENT),
        entry_lifetime_ms: DEFAULT_ENTRY_LIFETIME_MS,
        data_centres: (0..sizes.data_centres).map(data_centre).collect(),
        services: (0..sizes.services).map(|index| service(index, sizes)).collect(),
        customers: (0..sizes.customers).map(|index| customer(index, sizes)).collect(),
        rules: (0..sizes.rules).map(|index| rule(index, sizes)).collect(),
        api_keys_required: false,
        caller_limits: CallerLimits::default(),
        operators_version: None,
    }
}

fn data_centre(index: u32) -> DataCentre {
    DataCentre { name: name("dc", index), region: name("region", index % 5) }
}

fn service(index: u32, sizes: Sizes) -> Service {
    let own = (index..sizes.endpoints).step_by(sizes.services as usize);
    Service {
        name: name("service", index),
        floor: 1,
        sensitivity: 0.5,
        timeout_ms: 2_000,
        queue_limit: 256,
        shard_endpoints: 64,
        dispatchers_per_data_centre: 0,
        retry_limit: None,
        contention: Contention::default(),
        probe_path: Name::from("/healthz"),
        endpoints: own.map(|endpoint| self::endpoint(endpoint, sizes)).collect(),
    }
}

pub(crate) fn endpoint(index: u32, sizes: Sizes) -> Endpoint {
    let [_, high, middle, low] = index.to_be_bytes();
    Endpoint {
        name: name("endpoint", index),
        address: SocketAddr::from(([10, high, middle, low], 8080)),
        data_centre: name("dc", index % sizes.data_centres),
        slots: 2,
        connections: 400,
        leaving: false,
    }
}

fn customer(index: u32, sizes: Sizes) -> Customer {
    let contract = Contract { service: name("service", index % sizes.services), slots: 1 };
    Customer::new(name("customer", index), vec![contract])
}

fn rule(index: u32, sizes: Sizes) -> Rule {
    let service = name("service", index % sizes.services);
    Rule {
        name: name("rule", index),
        when: Conditions {
            customer: Some(name("customer", index % sizes.customers)),
            path_prefix: Some(Name::from(format!("/calendar/{index}"))),
            ..Conditions::default()
        },
        then: RuleAction::Route(route(service)),
    }
}

/// Returns a rule like those made from the platform's routes: named by its host and an
/// arbitrary prefix that compresses badly.
pub(crate) fn host_rule(index: u32) -> Rule {
    let letter = |place: u32| {
        let mixed = (index * 8 + place).wrapping_mul(2_654_435_761).rotate_left(13);
        char::from(b'a' + (mixed.wrapping_mul(40_503) >> 8) as u8 % 26)
    };
    let prefix: String = (0..8).map(letter).collect();
    Rule {
        name: Name::from(format!("jepu9.example/{prefix}/{index}/")),
        when: Conditions {
            host: Some(Name::from("jepu9.example")),
            path_prefix: Some(Name::from(format!("/{prefix}/{index}/"))),
            ..Conditions::default()
        },
        then: RuleAction::Route(route(name("service", index % 3))),
    }
}

pub(crate) fn route(service: Name) -> Route {
    Route {
        service,
        split: Vec::new(),
        class: None,
        timeout_ms: None,
        idempotent: true,
        hedge: false,
        attempts: None,
        public: false,
    }
}

pub(crate) fn json(config: &Config) -> Vec<u8> {
    serde_json::to_vec(config).expect("a configuration has a JSON form")
}

pub(crate) fn vm(index: u32, data_centres: u32) -> Vm {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port + index as u16));
    Vm {
        name: name("vm", index),
        data_centre: name("dc", index % data_centres),
        incarnation: 1,
        caller_address: address(9_000),
        peer_address: address(20_000),
        capacity: DEFAULT_CAPACITY,
    }
}
