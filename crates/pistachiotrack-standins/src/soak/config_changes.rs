//! Changes of the operators' configuration.

use std::net::SocketAddr;

use pistachiotrack_core::{
    config::Config,
    endpoint::Endpoint,
    name::Name,
    rule::{Rule, RuleAction},
};

fn endpoint_at(config: &mut Config, address: SocketAddr) -> Option<&mut Endpoint> {
    let mut endpoints = config.services.iter_mut().flat_map(|service| &mut service.endpoints);
    endpoints.find(|endpoint| endpoint.address == address)
}

/// Marks an endpoint as leaving, or removes the mark.
pub(super) fn set_leaving(config: &mut Config, address: SocketAddr, leaving: bool) {
    if let Some(endpoint) = endpoint_at(config, address) {
        endpoint.leaving = leaving;
    }
}

/// Gives an endpoint the name of its next incarnation.
pub(super) fn rename(config: &mut Config, address: SocketAddr) {
    let version = config.version;
    if let Some(endpoint) = endpoint_at(config, address) {
        endpoint.name = Name::from(format!("{}-{version}", endpoint.name));
    }
}

/// Sets the routes' timeouts to a percentage of the usual ones.
pub(super) fn scale_timeouts(config: &mut Config, usual: &[Rule], percent: u32) {
    for (rule, usual) in config.rules.iter_mut().zip(usual) {
        if let (RuleAction::Route(route), RuleAction::Route(usual)) = (&mut rule.then, &usual.then)
        {
            route.timeout_ms = usual.timeout_ms.map(|ms| ms * u64::from(percent) / 100);
        }
    }
}
