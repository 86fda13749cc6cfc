//! Operators' part of a registry with one service.

use pistachiotrack_core::{
    caller_limits::CallerLimits,
    config::Config,
    data_centre::DataCentre,
    name::Name,
    registry_view::OperatorConfig,
    service::{Contention, Service},
};

/// Name of the service.
pub(crate) const SERVICE: &str = "booking";

/// Returns the operators' part.
pub(crate) fn operators() -> OperatorConfig {
    let service = Service {
        name: Name::from(SERVICE),
        floor: 0,
        sensitivity: 1.0,
        timeout_ms: 1_000,
        queue_limit: 16,
        shard_endpoints: 64,
        dispatchers_per_data_centre: 2,
        retry_limit: None,
        contention: Contention::default(),
        probe_path: Name::from("/healthz"),
        endpoints: Vec::new(),
    };
    let config = Config {
        version: 0,
        deployment: Name::from("timeliten"),
        entry_lifetime_ms: 1_000,
        data_centres: vec![DataCentre { name: Name::from("oslo-1"), region: Name::from("oslo") }],
        services: vec![service],
        customers: Vec::new(),
        rules: Vec::new(),
        api_keys_required: false,
        caller_limits: CallerLimits::default(),
        operators_version: None,
    };
    OperatorConfig::new(config, [(Name::from(SERVICE), 90)].into()).unwrap()
}
