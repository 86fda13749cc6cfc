//! Addresses that are chosen before a daemon binds them.

use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
};

/// Returns a free address on a loopback address that no other test uses, so that
/// nobody takes the port before the daemon binds it.
pub(crate) fn free_address(host: IpAddr) -> SocketAddr {
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

/// Returns a loopback address of this process that was not given out before.
pub(crate) fn own_host() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::from([127, 128 | (high & 0x7f), low, number])
}
