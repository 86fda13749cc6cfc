//! Table of the endpoints with the state that the owners of their shards report.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use pistachiotrack_core::admin::{EndpointStatus, Status};

use crate::{
    admin_client::VmResponse,
    output::{Table, or_dash},
    views::{Responses, rows},
};

/// VMs that own shards, by service, of those that were queried.
#[derive(Debug, Default)]
pub(crate) struct ShardOwners {
    by_service: BTreeMap<String, BTreeSet<SocketAddr>>,
    without_status: BTreeSet<SocketAddr>,
}

impl ShardOwners {
    /// Collects the owners from the status pages of the VMs.
    pub(crate) fn from_responses(responses: &[VmResponse<Status>]) -> ShardOwners {
        let mut owners = ShardOwners::default();
        for response in responses {
            match &response.result {
                Ok(status) => owners.add(response.address, status),
                Err(_) => {
                    owners.without_status.insert(response.address);
                }
            }
        }
        owners
    }

    fn add(&mut self, address: SocketAddr, status: &Status) {
        for shard in &status.shards {
            let service = shard.rsplit_once('/').map_or(shard.as_str(), |(service, _)| service);
            self.by_service.entry(service.to_owned()).or_default().insert(address);
        }
    }

    /// Returns whether the VM's report on a service's endpoints is shown.
    ///
    /// A VM that once dispatched in an owner's place still reports the endpoints in their last
    /// state known to it. Such a report is shown only if no owner of the service was queried,
    /// or if the VM's own status is missing, so that it may be an owner.
    fn is_shown(&self, service: &str, address: SocketAddr) -> bool {
        let owners = self.by_service.get(service);
        owners.is_none_or(|owners| owners.contains(&address))
            || self.without_status.contains(&address)
    }
}

/// Returns the endpoints as text, with the reports that [`ShardOwners::is_shown`] selects.
pub(crate) fn text(responses: &Responses<'_, Vec<EndpointStatus>>, owners: &ShardOwners) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "ENDPOINT",
        "STATE",
        "IN FLIGHT",
        "LIMIT",
        "RATE LIMIT",
        "REFUSES MS",
        "SPEED",
        "FULL SPEED",
        "EVIDENCE",
        "REASON",
        "ADMIN",
    ]);
    for (address, endpoint) in rows(responses) {
        if owners.is_shown(&endpoint.service, address) {
            table.push(row(address, endpoint));
        }
    }
    table.sort();
    table.to_string()
}

fn two_decimals(value: f64) -> String {
    format!("{value:.2}")
}

fn row(address: SocketAddr, endpoint: &EndpointStatus) -> Vec<String> {
    vec![
        endpoint.service.to_string(),
        endpoint.endpoint.to_string(),
        endpoint.state.to_string(),
        endpoint.in_flight.to_string(),
        endpoint.limit.to_string(),
        or_dash(endpoint.rate_limit),
        or_dash(endpoint.refuses_ms),
        or_dash(endpoint.relative_speed.map(two_decimals)),
        or_dash(endpoint.relative_speed_nearly_full.map(two_decimals)),
        format!("{:.2}", endpoint.evidence),
        or_dash(endpoint.reason.as_ref()),
        address.to_string(),
    ]
}
