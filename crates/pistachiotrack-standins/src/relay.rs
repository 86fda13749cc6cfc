//! A relay before a VM's peer address, for datagrams and for connections, that
//! applies the faults of the links.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use rustc_hash::FxHashMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinSet,
};

use crate::{
    link::{Links, Passage},
    socket_owner::socket_owner,
};

const BUFFER_BYTES: usize = 16 * 1024;

/// Who the VMs of a fleet are, so that a relay can tell who sends.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    known: Arc<Mutex<Known>>,
}

#[derive(Debug, Default)]
struct Known {
    by_address: FxHashMap<SocketAddr, usize>,
    by_pid: FxHashMap<u32, usize>,
}

impl Senders {
    /// Notes the peer address and the process of a VM.
    pub fn insert(&self, index: usize, peer_address: SocketAddr, pid: u32) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.by_address.insert(peer_address, index);
        known.by_pid.retain(|_, other| *other != index);
        known.by_pid.insert(pid, index);
    }

    fn of_datagram(&self, from: SocketAddr) -> Option<usize> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.by_address.get(&from).copied()
    }

    fn of_connection(&self, from: SocketAddr, to: SocketAddr) -> Option<usize> {
        let pids: Vec<(u32, usize)> = {
            let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            known.by_pid.iter().map(|(pid, index)| (*pid, *index)).collect()
        };
        let owner = socket_owner(from, to, pids.iter().map(|(pid, _)| *pid))?;
        pids.into_iter().find(|(pid, _)| *pid == owner).map(|(_, index)| index)
    }
}

/// A running relay; dropping it closes all that it holds.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// One VM as its relay sees it.
#[derive(Clone, Debug)]
struct Target {
    index: usize,
    address: SocketAddr,
    links: Links,
    senders: Senders,
}

impl Relay {
    /// Starts a relay at `address` before the VM with this index and address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        index: usize,
        target: SocketAddr,
        links: Links,
        senders: Senders,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind(address).await?;
        let socket = UdpSocket::bind(address).await?;
        let target = Target { index, address: target, links, senders };
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target.clone()));
        tasks.spawn(receive(Arc::new(socket), target));
        Ok(Relay { address, _tasks: tasks })
    }

    /// Returns the address that stands for the VM.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Passes datagrams on, through one socket for each sender, so that answers
/// find their way back.
async fn receive(socket: Arc<UdpSocket>, target: Target) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut ways: FxHashMap<SocketAddr, Arc<UdpSocket>> = FxHashMap::default();
    let mut tasks = JoinSet::new();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        while tasks.try_join_next().is_some() {}
        let sender = target.senders.of_datagram(from);
        let way = match ways.get(&from) {
            Some(way) => Arc::clone(way),
            None => {
                let Ok(way) = way_to(target.address).await else { continue };
                ways.insert(from, Arc::clone(&way));
                tasks.spawn(send_back(Arc::clone(&way), Arc::clone(&socket), from, target.clone()));
                way
            }
        };
        if let Passage::Passes(delay) = target.links.datagram(sender, target.index) {
            let bytes = buffer[..length].to_vec();
            tasks.spawn(async move {
                tokio::time::sleep(delay).await;
                // A VM that is gone refuses; its datagrams are lost.
                let _ = way.send(&bytes).await;
            });
        }
    }
}

async fn way_to(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind((address.ip(), 0)).await?;
    socket.connect(address).await?;
    Ok(Arc::new(socket))
}

async fn send_back(way: Arc<UdpSocket>, socket: Arc<UdpSocket>, to: SocketAddr, target: Target) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = way.recv(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let Some(receiver) = target.senders.of_datagram(to) else { continue };
        if let Passage::Passes(delay) = target.links.datagram(Some(target.index), receiver) {
            tokio::time::sleep(delay).await;
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}

async fn accept(listener: TcpListener, target: Target) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, from)) = accepted {
                    connections.spawn(pass_connection(stream, from, target.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn pass_connection(stream: TcpStream, from: SocketAddr, target: Target) {
    let Ok(to) = stream.local_addr() else { return };
    let sender = target.senders.of_connection(from, to);
    if target.links.stream(sender, target.index) == Passage::Dropped {
        // Held open without a word: the sender's connection is silent.
        return std::future::pending().await;
    }
    let Ok(onward) = TcpStream::connect(target.address).await else { return };
    let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = onward.into_split();
    let links = &target.links;
    tokio::join!(
        copy(near_read, far_write, || links.stream(sender, target.index)),
        copy(far_read, near_write, || match sender {
            Some(sender) => links.stream(Some(target.index), sender),
            None => links.stream(None, target.index),
        })
    );
}

/// Copies bytes until the end of the stream. Once bytes were dropped, nothing
/// that follows can be made sense of, so the connection stays silent for good.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, passage: impl Fn() -> Passage) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        match passage() {
            Passage::Dropped => return std::future::pending().await,
            Passage::Passes(delay) => tokio::time::sleep(delay).await,
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
