//! A relay before a VM's peer address, for datagrams and for connections, that
//! applies the faults of the links.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
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

use crate::link::{Links, Passage};

const BUFFER_BYTES: usize = 16 * 1024;

/// The VMs of a fleet by the IP address that they send from, which is how a
/// relay tells them apart.
pub type Senders = Arc<FxHashMap<IpAddr, usize>>;

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

impl Target {
    fn sender(&self, from: SocketAddr) -> Option<usize> {
        self.senders.get(&from.ip()).copied()
    }

    /// Returns the VM that answers to `to` go to; the target's own index stands
    /// for one that isn't known.
    fn receiver(&self, to: SocketAddr) -> usize {
        self.sender(to).unwrap_or(self.index)
    }
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
        let sender = target.sender(from);
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
                pause(delay).await;
                // A VM that is gone refuses; its datagrams are lost.
                let _ = way.send(&bytes).await;
            });
        }
    }
}

async fn way_to(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
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
        let passage = target.links.datagram(Some(target.index), target.receiver(to));
        if let Passage::Passes(delay) = passage {
            pause(delay).await;
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}

/// Waits, without the rounding up to a millisecond where there is no delay.
async fn pause(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
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
    let sender = target.sender(from);
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
        copy(far_read, near_write, || links.stream(Some(target.index), target.receiver(from)))
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
            Passage::Passes(delay) => pause(delay).await,
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
