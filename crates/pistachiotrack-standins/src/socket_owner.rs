//! Which of the tool's own child processes a loopback connection comes from.

use std::{fs, net::SocketAddr, path::Path};

/// Table of the system's TCP sockets (Linux).
const TCP_TABLE: &str = "/proc/net/tcp";
/// Columns of that table.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const INODE_COLUMN: usize = 9;

/// Returns the one of `pids` that holds the end at `local` of a connection to
/// `remote`, or `None` if none of them does.
pub fn socket_owner(
    local: SocketAddr,
    remote: SocketAddr,
    mut pids: impl Iterator<Item = u32>,
) -> Option<u32> {
    let table = fs::read_to_string(TCP_TABLE).ok()?;
    let inode = inode(&table, &column(local)?, &column(remote)?)?;
    let link = format!("socket:[{inode}]");
    pids.find(|pid| holds(*pid, &link))
}

fn inode(table: &str, local: &str, remote: &str) -> Option<String> {
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let found = columns.get(LOCAL_COLUMN) == Some(&local)
            && columns.get(REMOTE_COLUMN) == Some(&remote);
        found.then(|| columns.get(INODE_COLUMN).map(|inode| (*inode).to_owned())).flatten()
    })
}

/// Returns an address the way the table writes it.
fn column(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn holds(pid: u32, link: &str) -> bool {
    let Ok(descriptors) = fs::read_dir(Path::new("/proc").join(pid.to_string()).join("fd")) else {
        return false;
    };
    descriptors
        .flatten()
        .filter_map(|descriptor| fs::read_link(descriptor.path()).ok())
        .any(|target| target.as_os_str() == link)
}
