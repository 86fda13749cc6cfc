//! Number of connections that this VM may have open to an endpoint.

use pistachiotrack_core::{endpoint::Endpoint, vm::Vm};

use crate::{config::view::FleetView, stats::traffic::Locality};

/// Minimum number of connections that a VM may have open to an endpoint.
const MIN_CONNECTION_BUDGET: u32 = 2;

/// Returns the number of connections that this VM, `me`, may have open to an endpoint, and the
/// endpoint's location relative to it. The number is this VM's share of the connections that
/// the endpoint accepts, but at least the number of the endpoint's slots.
pub(crate) fn budget_and_locality(
    view: &FleetView,
    me: &Vm,
    service: &str,
    endpoint: &str,
) -> (u32, Locality) {
    let endpoint =
        view.active.as_ref().and_then(|active| active.service(service)).and_then(|service| {
            service.endpoints.iter().find(|candidate| candidate.name.as_str() == endpoint)
        });
    let Some(endpoint) = endpoint else { return (MIN_CONNECTION_BUDGET, Locality::Unknown) };
    let locality = Locality::of(&endpoint.data_centre, &me.data_centre);
    (endpoint_budget(view, endpoint), locality)
}

/// Returns the number of connections that this VM may have open to `endpoint`.
pub(crate) fn endpoint_budget(view: &FleetView, endpoint: &Endpoint) -> u32 {
    (endpoint.connections / view.live_vms()).max(endpoint.slots).max(MIN_CONNECTION_BUDGET)
}
