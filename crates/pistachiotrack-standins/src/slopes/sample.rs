//! Sample configurations and VMs of any size, with names as long as real ones.

use std::net::{Ipv4Addr, SocketAddr};

use pistachiotrack_core::{
    caller_limits::CallerLimits,
    config::{Config, DEFAULT_ENTRY_LIFETIME_MS},
    config_sync::ConfigSyncSettings,
    contract::Contract,
    customer::Customer,
    data_centre::DataCentre,
    endpoint::{DEFAULT_CONNECTIONS, Endpoint},
    name::Name,
    rule::{Conditions, Route, Rule, RuleAction},
    service::{
        Contention, DEFAULT_PROBE_PATH, DEFAULT_QUEUE_LIMIT, DEFAULT_SHARD_ENDPOINTS, Service,
    },
    vm::{DEFAULT_CAPACITY, ListedVm, Vm, VmList},
};
use serde_json::Value;

use super::scale::{DATA_CENTRES_PER_DEPLOYMENT, Size};

const SLOTS: u32 = 3;
const ENDPOINT_PORT: u16 = 8080;
const CALLER_PORT: u16 = 9001;
const PEER_PORT: u16 = 9101;

/// Returns a configuration of the given size.
pub(crate) fn config(size: Size) -> Config {
    Config {
        version: 1,
        deployment: deployment_name(),
        entry_lifetime_ms: DEFAULT_ENTRY_LIFETIME_MS,
        data_centres: (0..DATA_CENTRES_PER_DEPLOYMENT)
            .map(|index| DataCentre { name: data_centre(index), region: Name::from("region-1") })
            .collect(),
        services: (0..size.services).map(|index| service(index, size)).collect(),
        customers: (0..size.customers).map(|index| customer(index, size)).collect(),
        rules: (0..size.routes).map(|index| rule(index, size)).collect(),
        api_keys_required: false,
        caller_limits: CallerLimits::default(),
        operators_version: None,
    }
}

/// Returns the JSON value of a configuration as operators write it: without
/// absent fields and defaults.
pub(crate) fn json(config: &Config) -> Vec<u8> {
    serde_json::to_vec(&operator_value(config)).expect("a configuration has only string keys")
}

/// Returns the JSON value with indentation.
pub(crate) fn indented_json(config: &Config) -> Vec<u8> {
    serde_json::to_vec_pretty(&operator_value(config))
        .expect("a configuration has only string keys")
}

/// Returns the JSON value with every field written out.
pub(crate) fn full_json(config: &Config) -> Vec<u8> {
    serde_json::to_vec(config).expect("a configuration has only string keys")
}

fn operator_value(config: &Config) -> Value {
    let mut value = serde_json::to_value(config).expect("a configuration has only string keys");
    remove_defaults(&mut value);
    value
}

fn remove_defaults(value: &mut Value) {
    match value {
        Value::Array(items) => items.iter_mut().for_each(remove_defaults),
        Value::Object(fields) => {
            fields.retain(|name, field| !is_default(name, field));
            fields.values_mut().for_each(remove_defaults);
        }
        _ => {}
    }
}

fn is_default(name: &str, field: &Value) -> bool {
    match name {
        "connections" => *field == DEFAULT_CONNECTIONS,
        "queue_limit" => *field == DEFAULT_QUEUE_LIMIT,
        "shard_endpoints" => *field == DEFAULT_SHARD_ENDPOINTS,
        "probe_path" => *field == DEFAULT_PROBE_PATH,
        "caller_limits" => *field == serde_json::json!(CallerLimits::default()),
        "entry_lifetime_ms" => *field == DEFAULT_ENTRY_LIFETIME_MS,
        _ => field.is_null() || *field == false,
    }
}

/// Returns the name of the deployment.
pub(crate) fn deployment_name() -> Name {
    Name::from("deployment-017")
}

/// Returns the name of a service.
pub(crate) fn service_name(index: usize) -> Name {
    Name::from(format!("slot-search-{index:03}"))
}

/// Returns the name of a customer.
pub(crate) fn customer_name(index: usize) -> Name {
    Name::from(format!("customer-{index:05}"))
}

/// Returns a VM of the fleet.
pub(crate) fn vm(index: usize) -> Vm {
    let ip = address_of(10, index);
    Vm {
        name: Name::from(format!("entry-{index:04}")),
        data_centre: data_centre(index),
        incarnation: 1_790_000_000_000,
        caller_address: SocketAddr::from((ip, CALLER_PORT)),
        peer_address: SocketAddr::from((ip, PEER_PORT)),
        capacity: DEFAULT_CAPACITY,
    }
}

/// Returns the platform's list of the first `count` VMs.
pub(crate) fn vm_list(count: usize) -> VmList {
    let vms = (0..count)
        .map(vm)
        .map(|vm| ListedVm {
            name: vm.name,
            data_centre: vm.data_centre,
            peer_address: vm.peer_address,
            caller_address: vm.caller_address,
            leaving: false,
        })
        .collect();
    VmList { version: 1, vms }
}

fn data_centre(index: usize) -> Name {
    Name::from(format!("oslo-{}", 1 + index % DATA_CENTRES_PER_DEPLOYMENT))
}

fn address_of(first: u8, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(first, (index >> 16) as u8, (index >> 8) as u8, index as u8)
}

fn service(index: usize, size: Size) -> Service {
    let first = index * size.endpoints / size.services;
    let last = (index + 1) * size.endpoints / size.services;
    Service {
        name: service_name(index),
        floor: ((last - first) / 2) as u32,
        sensitivity: 0.5,
        timeout_ms: 2_000,
        queue_limit: DEFAULT_QUEUE_LIMIT,
        shard_endpoints: DEFAULT_SHARD_ENDPOINTS,
        dispatchers_per_data_centre: 0,
        retry_limit: None,
        contention: Contention::default(),
        probe_path: Name::from(DEFAULT_PROBE_PATH),
        endpoints: (first..last).map(endpoint).collect(),
    }
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        name: Name::from(format!("ep-{index:06}")),
        address: SocketAddr::from((address_of(11, index), ENDPOINT_PORT)),
        data_centre: data_centre(index),
        slots: SLOTS,
        connections: DEFAULT_CONNECTIONS,
        leaving: false,
    }
}

fn customer(index: usize, size: Size) -> Customer {
    let service = service_name(index % size.services.max(1));
    Customer::new(customer_name(index), vec![Contract { service, slots: 4 }])
}

fn rule(index: usize, size: Size) -> Rule {
    let customer = customer_name(index % size.customers.max(1));
    Rule {
        name: Name::from(format!("route-{index:06}")),
        when: Conditions {
            customer: Some(customer),
            path_prefix: Some(Name::from("/calendar/v1")),
            ..Conditions::default()
        },
        then: RuleAction::Route(Route {
            service: service_name(index % size.services.max(1)),
            class: None,
            timeout_ms: Some(1_500),
            split: Vec::new(),
            idempotent: true,
            hedge: false,
            attempts: None,
            public: false,
        }),
    }
}

/// Returns settings of a VM that accepts the platform's first value without waiting for peers, so
/// that the cost of accepting it can be measured.
pub(crate) fn settings_without_first_value_grace() -> ConfigSyncSettings {
    ConfigSyncSettings { first_value_grace_ms: 0, ..ConfigSyncSettings::default() }
}
