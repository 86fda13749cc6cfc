//! The answer to a caller that asks which addresses to use.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    membership::{Member, MemberState},
    name::Name,
    ownership::{Ownership, ShardId, shard_count},
    vm::Vm,
};

/// Addresses that a caller may use, the best first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// The addresses.
    pub entries: Vec<Entry>,
    /// Time for which the caller may keep the answer.
    pub lifetime_ms: u64,
}

/// One address of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
}

/// Alternates given besides the owner.
pub const ALTERNATES: usize = 3;

/// Works out the answer for a service: the owners first, then alternates.
pub fn entries<'a>(
    config: &Config,
    ownership: &Ownership,
    me: &'a Vm,
    members: impl Iterator<Item = &'a Member>,
    service: &str,
) -> EntryAnswer {
    let mut vms: Vec<&Vm> = Vec::new();
    let owners: Vec<Vm> = config
        .service(service)
        .map(|service| {
            (0..shard_count(service))
                .filter_map(|index| {
                    ownership.owner(&ShardId { service: service.name.clone(), index }).cloned()
                })
                .collect()
        })
        .unwrap_or_default();
    vms.extend(owners.iter());
    let alive = members.filter(|member| member.state == MemberState::Alive);
    vms.extend(alive.map(|member| &member.vm));
    vms.push(me);
    let mut entries: Vec<Entry> = Vec::new();
    for vm in vms {
        let entry = Entry { address: vm.caller_address, data_centre: vm.data_centre.clone() };
        if !entries.contains(&entry) {
            entries.push(entry);
        }
    }
    entries.truncate(owners.len().max(1) + ALTERNATES);
    EntryAnswer { entries, lifetime_ms: config.entry_lifetime_ms }
}
