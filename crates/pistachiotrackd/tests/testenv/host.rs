//! Addresses that a test chooses before a daemon binds them.

use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
};

/// Returns an address with a free port of `host`. `host` must be a loopback address that
/// no other test uses, so that no other process takes the port before the daemon binds it.
pub(crate) fn free_address(host: IpAddr) -> SocketAddr {
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

/// Returns a loopback address that is unique to this process and to this call.
pub(crate) fn unique_loopback_host() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::from([127, 128 | (high & 0x7f), low, number])
}
