//! The entry VMs that the daemon runs on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// A VM of the fleet: one daemon with its addresses.
///
/// A replaced VM may have the same name as the old one; `incarnation`
/// distinguishes them, and the larger one is newer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Vm {
    /// Unique name.
    pub name: Name,
    /// Data centre that the VM runs in.
    pub data_centre: Name,
    /// Unix time in milliseconds at which the daemon started.
    pub incarnation: u64,
    /// Address that callers connect to (TCP, HTTP).
    pub caller_address: SocketAddr,
    /// Address that other VMs use: TCP for forwarded requests, UDP for
    /// membership.
    pub peer_address: SocketAddr,
    /// Capacity relative to other VMs: the lesser of the VM's processor share in percent
    /// and its link bandwidth in Mbit/s.
    pub capacity: u32,
}

/// Capacity of a VM that doesn't report one.
pub const DEFAULT_CAPACITY: u32 = 100;

/// Entry of the platform's list of VMs, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedVm {
    /// Unique name.
    pub name: Name,
    /// Data centre that the VM runs in.
    pub data_centre: Name,
    /// Address for forwarded requests (TCP) and membership (UDP).
    pub peer_address: SocketAddr,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Whether the platform has marked the VM as leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// Version of the list; larger is newer.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
}
