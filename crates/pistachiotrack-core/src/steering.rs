//! Steering of callers: selects the entry addresses that a caller should use.
//!
//! The owners of the service come first, then alternates in other data centres.
//! Alternates are selected by hashing the customer and service, so that the load
//! of a failed owner spreads over the fleet and all VMs return the same ones.

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

/// Addresses that a caller may use, the preferred one first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryResponse {
    /// The addresses.
    pub entries: Vec<Entry>,
    /// Time for which the caller may cache the response.
    pub lifetime_ms: u64,
}

/// The entry address of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
}

/// Maximum number of alternates returned besides the owners.
pub const MAX_ALTERNATES: usize = 3;
/// Maximum number of owners returned; for a service with more, the customer decides which.
pub const MAX_OWNERS: usize = 4;
/// Divisor of the configured lifetime while an owner may change soon.
pub const UNSTABLE_LIFETIME_DIVISOR: u64 = 5;

/// A caller's query for the entry addresses of a service, with the state needed to answer it.
#[derive(Clone, Copy, Debug)]
pub struct EntryQuery<'a> {
    /// Active configuration.
    pub config: &'a Config,
    /// Shard owners as this VM computes them.
    pub ownership: &'a Ownership,
    /// This VM.
    pub me: &'a Vm,
    /// Whether this VM offers itself although there are others.
    pub offers_me: bool,
    /// Requested service.
    pub service: &'a str,
    /// Customer of the caller; empty if unknown.
    pub customer: &'a str,
}

/// Returns the entry addresses of a service for an unknown customer.
pub fn entries<'a>(
    config: &Config,
    ownership: &Ownership,
    me: &'a Vm,
    members: impl Iterator<Item = &'a Member>,
    service: &str,
) -> EntryResponse {
    entries_for_query(
        EntryQuery { config, ownership, me, offers_me: true, service, customer: "" },
        members,
    )
}

/// Returns the entry addresses of a service: the owners first, then alternates.
///
/// Only live members and this VM are returned. A leaving VM omits itself unless there is
/// no other. While an owner is new or suspected, the response's lifetime is a fifth of the
/// configured one, since the owner may change soon.
pub fn entries_for_query<'a>(
    query: EntryQuery<'_>,
    members: impl Iterator<Item = &'a Member>,
) -> EntryResponse {
    let me = query.me;
    let alive = members.filter(|member| member.state == MemberState::Alive && !member.is_cut_off);
    let mut vms: Vec<&Vm> = alive.map(|member| &member.vm).collect();
    let is_available = !query.ownership.is_leaving() && !query.ownership.is_cut_off();
    if query.offers_me && is_available || vms.is_empty() {
        vms.push(me);
    }
    let shards = shards(&query);
    let key = hash::rendezvous_score(
        hash::fnv(query.service.as_bytes()),
        hash::fnv(query.customer.as_bytes()),
    );
    let mut chosen = owners(&query, &shards, &vms, key);
    let owner_data_centre = chosen.first().map(|vm| &vm.data_centre);
    let alternates = alternates(&vms, &chosen, owner_data_centre, key);
    chosen.extend(alternates);
    EntryResponse {
        entries: chosen.into_iter().map(entry).collect(),
        lifetime_ms: lifetime_ms(&query, &shards),
    }
}

fn entry(vm: &Vm) -> Entry {
    Entry { address: vm.caller_address, data_centre: vm.data_centre.clone() }
}

fn shards(query: &EntryQuery<'_>) -> Vec<ShardId> {
    let Some(service) = query.config.service(query.service) else { return Vec::new() };
    (0..shard_count(service))
        .map(|index| ShardId { service: service.name.clone(), index })
        .collect()
}

/// Returns the service's owners among `vms`, each once, ranked by their hash with `key`.
fn owners<'a>(query: &EntryQuery<'_>, shards: &[ShardId], vms: &[&'a Vm], key: u64) -> Vec<&'a Vm> {
    let owning = shards.iter().filter_map(|shard| query.ownership.owner(shard));
    let mut owners: Vec<&Vm> = Vec::new();
    for owner in owning {
        let Some(vm) = vms.iter().find(|vm| vm.name == owner.name) else { continue };
        if !owners.contains(vm) {
            owners.push(vm);
        }
    }
    owners.sort_by_key(|vm| std::cmp::Reverse(score(key, vm)));
    owners.truncate(MAX_OWNERS);
    owners
}

/// Returns VMs besides `chosen`: first one of each other data centre, then further ones of
/// these, and those of the owner's data centre last.
fn alternates<'a>(
    vms: &[&'a Vm],
    chosen: &[&Vm],
    owner_data_centre: Option<&Name>,
    key: u64,
) -> Vec<&'a Vm> {
    let mut candidates: Vec<&Vm> =
        vms.iter().copied().filter(|vm| chosen.iter().all(|one| one.name != vm.name)).collect();
    candidates.sort_by_key(|vm| std::cmp::Reverse(score(key, vm)));
    let mut ranked: Vec<(bool, usize, &Vm)> = Vec::new();
    for vm in candidates {
        let before = ranked.iter().filter(|(.., other)| other.data_centre == vm.data_centre);
        // A rank beyond the number of alternates needn't be exact.
        let rank = before.take(MAX_ALTERNATES).count();
        ranked.push((Some(&vm.data_centre) == owner_data_centre, rank, vm));
    }
    ranked.sort_by_key(|(is_owner_data_centre, rank, _)| (*is_owner_data_centre, *rank));
    ranked.into_iter().take(MAX_ALTERNATES).map(|(.., vm)| vm).collect()
}

fn score(key: u64, vm: &Vm) -> u64 {
    hash::rendezvous_score(key, hash::fnv(vm.name.as_bytes()))
}

fn lifetime_ms(query: &EntryQuery<'_>, shards: &[ShardId]) -> u64 {
    let lifetime_ms = query.config.entry_lifetime_ms;
    if shards.iter().all(|shard| query.ownership.is_owner_stable(shard)) {
        return lifetime_ms;
    }
    (lifetime_ms / UNSTABLE_LIFETIME_DIVISOR).max(1)
}

/// A caller's query for the entry addresses of a host, with the state needed to answer it.
#[derive(Clone, Copy, Debug)]
pub struct HostQuery<'a> {
    /// Active configuration.
    pub config: &'a Config,
    /// Dispatchers as this VM computes them.
    pub ownership: &'a Ownership,
    /// This VM.
    pub me: &'a Vm,
    /// Whether this VM offers itself although there are others.
    pub offers_me: bool,
    /// Host of the caller's requests.
    pub host: &'a str,
    /// Data centre of the caller or the nearest one, if known.
    pub data_centre: Option<&'a str>,
}

/// Minimum number of addresses returned if there are as many: with a single one, callers
/// would have no alternative when it fails.
const MIN_ENTRIES: usize = 2;

/// Returns the entry addresses of a host whose services are shared: their dispatchers, only
/// those in the caller's data centre if there are enough.
///
/// A VM that is leaving, is suspected, reaches no endpoint or has no configuration yet is omitted
/// unless there is no other.
pub fn entries_for_host<'a>(
    query: HostQuery<'_>,
    members: impl Iterator<Item = &'a Member>,
) -> EntryResponse {
    let usable = |member: &&Member| {
        member.state == MemberState::Alive && member.config_version.is_some() && !member.is_cut_off
    };
    let mut vms: Vec<&Vm> = members.filter(usable).map(|member| &member.vm).collect();
    let is_available = !query.ownership.is_leaving() && !query.ownership.is_cut_off();
    if query.offers_me && is_available || vms.is_empty() {
        vms.push(query.me);
    }
    let mut chosen = dispatchers_of_host(&query, &vms);
    if chosen.is_empty() {
        chosen = vms;
    }
    let is_near = |vm: &&Vm| query.data_centre.is_none_or(|near| *vm.data_centre == *near);
    let near: Vec<&Vm> = chosen.iter().copied().filter(is_near).collect();
    if near.len() >= MIN_ENTRIES {
        chosen = near;
    }
    EntryResponse {
        entries: chosen.into_iter().map(entry).collect(),
        lifetime_ms: query.config.entry_lifetime_ms,
    }
}

/// Returns the VMs that can serve a request of a shared service in place of this one, those in
/// its data centre first: dispatchers of the service, then other VMs.
///
/// `key` spreads the requests over them.
pub fn substitutes<'a>(
    ownership: &Ownership,
    me: &Vm,
    members: impl Iterator<Item = &'a Member>,
    service: &str,
    key: u64,
) -> Vec<&'a Vm> {
    let usable = |member: &&Member| {
        let is_alive = matches!(member.state, MemberState::Alive | MemberState::Suspect);
        is_alive && !member.is_cut_off && member.config_version.is_some()
    };
    let dispatchers = ownership.dispatchers(service);
    let rank = |vm: &Vm| {
        let dispatches = dispatchers.iter().any(|dispatcher| dispatcher.name == vm.name);
        (!dispatches, vm.data_centre != me.data_centre, score(key, vm))
    };
    let mut vms: Vec<&Vm> = members.filter(usable).map(|member| &member.vm).collect();
    vms.sort_by_cached_key(|vm| rank(vm));
    vms
}

fn dispatchers_of_host<'a>(query: &HostQuery<'_>, vms: &[&'a Vm]) -> Vec<&'a Vm> {
    let of_host = query
        .config
        .rules
        .iter()
        .filter(|rule| rule.when.host.as_deref().is_some_and(|host| host == query.host));
    let mut chosen: Vec<&Vm> = Vec::new();
    for rule in of_host {
        let RuleAction::Route(route) = &rule.then else { continue };
        for service in route.services() {
            for dispatcher in query.ownership.dispatchers(service) {
                let Some(vm) = vms.iter().find(|vm| vm.name == dispatcher.name) else { continue };
                if !chosen.iter().any(|one| one.name == vm.name) {
                    chosen.push(vm);
                }
            }
        }
    }
    chosen
}
