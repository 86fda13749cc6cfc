//! The table of endpoints, as the owners of their shards judge them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use pistachiotrack_core::admin::{EndpointStatus, Status};

use crate::{
    admin_client::Reply,
    output::{Table, or_dash},
    views::{Answers, rows},
};

/// Which of the VMs asked own shards of which service.
#[derive(Debug, Default)]
pub(crate) struct Owners {
    by_service: BTreeMap<String, BTreeSet<SocketAddr>>,
    unknown: BTreeSet<SocketAddr>,
}

impl Owners {
    /// Returns the owners as the VMs tell them.
    pub(crate) fn of(replies: &[Reply<Status>]) -> Owners {
        let mut owners = Owners::default();
        for reply in replies {
            match &reply.answer {
                Ok(status) => owners.add(reply.address, status),
                Err(_) => {
                    owners.unknown.insert(reply.address);
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

    /// Returns whether the VM's opinion on a service's endpoints counts.
    ///
    /// A VM that once served in an owner's place still shows the endpoints, as
    /// it last saw them. Where no owner was asked, such an opinion is better
    /// than none.
    fn counts(&self, service: &str, address: SocketAddr) -> bool {
        let owners = self.by_service.get(service);
        owners.is_none_or(|owners| owners.contains(&address)) || self.unknown.contains(&address)
    }
}

/// Returns the endpoints as text, without the opinions that don't count.
pub(crate) fn text(answers: &Answers<'_, Vec<EndpointStatus>>, owners: &Owners) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "ENDPOINT",
        "STATE",
        "IN FLIGHT",
        "LIMIT",
        "RATE LIMIT",
        "EVIDENCE",
        "REASON",
        "ADMIN",
    ]);
    for (address, endpoint) in rows(answers) {
        if owners.counts(&endpoint.service, address) {
            table.push(row(address, endpoint));
        }
    }
    table.sort();
    table.to_string()
}

fn row(address: SocketAddr, endpoint: &EndpointStatus) -> Vec<String> {
    vec![
        endpoint.service.to_string(),
        endpoint.endpoint.to_string(),
        endpoint.state.to_string(),
        endpoint.in_flight.to_string(),
        endpoint.limit.to_string(),
        or_dash(endpoint.rate_limit),
        format!("{:.2}", endpoint.evidence),
        or_dash(endpoint.reason.as_ref()),
        address.to_string(),
    ]
}
