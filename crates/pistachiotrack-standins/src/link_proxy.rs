//! A proxy in front of a VM's peer address that forwards datagrams and connections and applies
//! the faults of the links.

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

use crate::link::{Delivery, Links};

const BUFFER_BYTES: usize = 16 * 1024;

/// Indices of the VMs by their source IP address, by which a proxy identifies the sender.
pub type Senders = Arc<FxHashMap<IpAddr, usize>>;

/// A running proxy; dropping it closes its sockets and connections.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// The VM that a proxy forwards to.
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

    /// Returns the VM that receives answers sent to `to`, or the target's own index if the
    /// address is unknown.
    fn receiver(&self, to: SocketAddr) -> usize {
        self.sender(to).unwrap_or(self.index)
    }
}

impl LinkProxy {
    /// Starts a proxy at `address` in front of the VM with this index and address.
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
    ) -> io::Result<LinkProxy> {
        let listener = TcpListener::bind(address).await?;
        let socket = UdpSocket::bind(address).await?;
        let target = Target { index, address: target, links, senders };
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target.clone()));
        tasks.spawn(forward_datagrams(Arc::new(socket), target));
        Ok(LinkProxy { address, _tasks: tasks })
    }

    /// Returns the address that the proxy listens on in place of the VM.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Forwards datagrams through a separate socket for each sender, so that answers can be
/// returned to it.
async fn forward_datagrams(socket: Arc<UdpSocket>, target: Target) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut upstream_sockets: FxHashMap<SocketAddr, Arc<UdpSocket>> = FxHashMap::default();
    let mut tasks = JoinSet::new();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        while tasks.try_join_next().is_some() {}
        let sender = target.sender(from);
        let upstream = match upstream_sockets.get(&from) {
            Some(upstream) => Arc::clone(upstream),
            None => {
                let Ok(upstream) = connect_upstream(target.address).await else { continue };
                upstream_sockets.insert(from, Arc::clone(&upstream));
                tasks.spawn(send_replies(
                    Arc::clone(&upstream),
                    Arc::clone(&socket),
                    from,
                    target.clone(),
                ));
                upstream
            }
        };
        if let Delivery::After(delay) = target.links.deliver_datagram(sender, target.index) {
            let bytes = buffer[..length].to_vec();
            tasks.spawn(async move {
                delay_for(delay).await;
                // The send fails if the VM is stopped; the datagram is lost then.
                let _ = upstream.send(&bytes).await;
            });
        }
    }
}

async fn connect_upstream(address: SocketAddr) -> io::Result<Arc<UdpSocket>> {
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    socket.connect(address).await?;
    Ok(Arc::new(socket))
}

async fn send_replies(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    target: Target,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length) = upstream.recv(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let delivery = target.links.deliver_datagram(Some(target.index), target.receiver(to));
        if let Delivery::After(delay) = delivery {
            delay_for(delay).await;
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}

/// Waits for `delay`. A zero delay skips the timer, which rounds up to a millisecond.
async fn delay_for(delay: Duration) {
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
                    connections.spawn(proxy_connection(stream, from, target.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn proxy_connection(stream: TcpStream, from: SocketAddr, target: Target) {
    let sender = target.sender(from);
    if target.links.deliver_stream(sender, target.index) == Delivery::Dropped {
        // Keeps the connection open and silent.
        return std::future::pending().await;
    }
    let Ok(upstream) = TcpStream::connect(target.address).await else { return };
    let _ = (stream.set_nodelay(true), upstream.set_nodelay(true));
    let (client_read, client_write) = stream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let links = &target.links;
    tokio::join!(
        copy_stream(client_read, upstream_write, || links.deliver_stream(sender, target.index)),
        copy_stream(upstream_read, client_write, || links
            .deliver_stream(Some(target.index), target.receiver(from)))
    );
}

/// Copies bytes until the end of the stream. After bytes were dropped, the rest of the stream
/// would be corrupt, so the connection stays silent permanently.
async fn copy_stream(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delivery: impl Fn() -> Delivery,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        match delivery() {
            Delivery::Dropped => return std::future::pending().await,
            Delivery::After(delay) => delay_for(delay).await,
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
