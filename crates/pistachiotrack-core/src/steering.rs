//! The answer to a caller that asks which addresses to use.
//!
//! The owners of the service come first, then alternates in other data centres.
//! Alternates are chosen by hashing the customer and service, so that the load
//! of a failed owner spreads over the fleet, and all VMs give the same ones.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    config::Config,
    hash,
    membership::{Member, MemberState},
    name::Name,
    ownership::{Ownership, ShardId, shard_count},
    rule::RuleAction,
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
/// Owners given at most; a service with more shards shares them out by customer.
pub const MAX_OWNERS: usize = 4;
/// Part of the usual lifetime while the owner may change soon.
pub const UNSTEADY_LIFETIME_DIVISOR: u64 = 5;

/// A caller's question with what is needed to answer it.
#[derive(Clone, Copy, Debug)]
pub struct EntryQuestion<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Owners as this VM sees them.
    pub ownership: &'a Ownership,
    /// This VM.
    pub me: &'a Vm,
    /// Service asked for.
    pub service: &'a str,
    /// Customer that asks, if known.
    pub customer: &'a str,
}

/// Works out the answer for a service: the owners first, then alternates.
pub fn entries<'a>(
    config: &Config,
    ownership: &Ownership,
    me: &'a Vm,
    members: impl Iterator<Item = &'a Member>,
    service: &str,
) -> EntryAnswer {
    entries_for(EntryQuestion { config, ownership, me, service, customer: "" }, members)
}

/// Works out the answer for a customer's question.
///
/// Only members that are alive and this VM are given. A VM that leaves leaves
/// itself out, unless there is nobody else. While an owner is new or suspected the
/// answer lives for a fifth of the usual time, since the owner may change soon.
pub fn entries_for<'a>(
    question: EntryQuestion<'_>,
    members: impl Iterator<Item = &'a Member>,
) -> EntryAnswer {
    let me = question.me;
    let alive = members.filter(|member| member.state == MemberState::Alive);
    let mut vms: Vec<&Vm> = alive.map(|member| &member.vm).collect();
    if !question.ownership.is_leaving() || vms.is_empty() {
        vms.push(me);
    }
    let shards = shards(&question);
    let key = hash::rendezvous_score(
        hash::fnv(question.service.as_bytes()),
        hash::fnv(question.customer.as_bytes()),
    );
    let mut chosen = owners(&question, &shards, &vms, key);
    let home = chosen.first().map(|vm| &vm.data_centre);
    let alternates = alternates(&vms, &chosen, home, key);
    chosen.extend(alternates);
    EntryAnswer {
        entries: chosen.into_iter().map(entry).collect(),
        lifetime_ms: lifetime_ms(&question, &shards),
    }
}

fn entry(vm: &Vm) -> Entry {
    Entry { address: vm.caller_address, data_centre: vm.data_centre.clone() }
}

fn shards(question: &EntryQuestion<'_>) -> Vec<ShardId> {
    let Some(service) = question.config.service(question.service) else { return Vec::new() };
    (0..shard_count(service))
        .map(|index| ShardId { service: service.name.clone(), index })
        .collect()
}

/// Returns the service's owners among `vms`, each once, in the customer's order.
fn owners<'a>(
    question: &EntryQuestion<'_>,
    shards: &[ShardId],
    vms: &[&'a Vm],
    key: u64,
) -> Vec<&'a Vm> {
    let names = shards.iter().filter_map(|shard| question.ownership.owner(shard));
    let mut owners: Vec<&Vm> = Vec::new();
    for owner in names {
        let Some(vm) = vms.iter().find(|vm| vm.name == owner.name) else { continue };
        if !owners.contains(vm) {
            owners.push(vm);
        }
    }
    owners.sort_by_key(|vm| std::cmp::Reverse(score(key, vm)));
    owners.truncate(MAX_OWNERS);
    owners
}

/// Returns VMs besides `chosen`, one of each other data centre first, then more
/// of them, and those of the owner's data centre `home` last.
fn alternates<'a>(vms: &[&'a Vm], chosen: &[&Vm], home: Option<&Name>, key: u64) -> Vec<&'a Vm> {
    let mut rest: Vec<&Vm> =
        vms.iter().copied().filter(|vm| chosen.iter().all(|one| one.name != vm.name)).collect();
    rest.sort_by_key(|vm| std::cmp::Reverse(score(key, vm)));
    let mut ranked: Vec<(bool, usize, &Vm)> = Vec::new();
    for vm in rest {
        let before = ranked.iter().filter(|(.., other)| other.data_centre == vm.data_centre);
        // Data centres beyond the alternates wanted need no exact rank.
        let rank = before.take(ALTERNATES).count();
        ranked.push((Some(&vm.data_centre) == home, rank, vm));
    }
    ranked.sort_by_key(|(at_home, rank, _)| (*at_home, *rank));
    ranked.into_iter().take(ALTERNATES).map(|(.., vm)| vm).collect()
}

fn score(key: u64, vm: &Vm) -> u64 {
    hash::rendezvous_score(key, hash::fnv(vm.name.as_bytes()))
}

fn lifetime_ms(question: &EntryQuestion<'_>, shards: &[ShardId]) -> u64 {
    let usual_ms = question.config.entry_lifetime_ms;
    if shards.iter().all(|shard| question.ownership.is_owner_steady(shard)) {
        return usual_ms;
    }
    (usual_ms / UNSTEADY_LIFETIME_DIVISOR).max(1)
}

/// A caller's question for the addresses of a host, with what is needed to answer
/// it.
#[derive(Clone, Copy, Debug)]
pub struct HostQuestion<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Dispatchers as this VM sees them.
    pub ownership: &'a Ownership,
    /// This VM.
    pub me: &'a Vm,
    /// Host that the caller will name in its requests.
    pub host: &'a str,
    /// Data centre that the caller is in or next to, if known.
    pub data_centre: Option<&'a str>,
}

/// Addresses given at least where there are so many: with a single one, callers
/// would have no other to turn to when it fails.
const MIN_ENTRIES: usize = 2;

/// Works out the answer for a host whose services are shared: the VMs that
/// dispatch for them, those in the caller's data centre alone if they are enough.
///
/// A VM that leaves, is suspected or has no configuration yet is left out unless
/// there is nobody else.
pub fn entries_of_host<'a>(
    question: HostQuestion<'_>,
    members: impl Iterator<Item = &'a Member>,
) -> EntryAnswer {
    let usable =
        |member: &&Member| member.state == MemberState::Alive && member.config_version.is_some();
    let mut vms: Vec<&Vm> = members.filter(usable).map(|member| &member.vm).collect();
    if !question.ownership.is_leaving() || vms.is_empty() {
        vms.push(question.me);
    }
    let mut chosen = dispatchers_of_host(&question, &vms);
    if chosen.is_empty() {
        chosen = vms;
    }
    let is_near = |vm: &&Vm| question.data_centre.is_none_or(|near| *vm.data_centre == *near);
    let near: Vec<&Vm> = chosen.iter().copied().filter(is_near).collect();
    if near.len() >= MIN_ENTRIES {
        chosen = near;
    }
    EntryAnswer {
        entries: chosen.into_iter().map(entry).collect(),
        lifetime_ms: question.config.entry_lifetime_ms,
    }
}

fn dispatchers_of_host<'a>(question: &HostQuestion<'_>, vms: &[&'a Vm]) -> Vec<&'a Vm> {
    let of_host = question
        .config
        .rules
        .iter()
        .filter(|rule| rule.when.host.as_deref().is_some_and(|host| host == question.host));
    let mut chosen: Vec<&Vm> = Vec::new();
    for rule in of_host {
        let RuleAction::Route(route) = &rule.then else { continue };
        for service in route.services() {
            for dispatcher in question.ownership.dispatchers(service) {
                let Some(vm) = vms.iter().find(|vm| vm.name == dispatcher.name) else { continue };
                if !chosen.iter().any(|one| one.name == vm.name) {
                    chosen.push(vm);
                }
            }
        }
    }
    chosen
}
