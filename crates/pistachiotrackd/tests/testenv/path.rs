//! The network path to a VM, which can lose track of connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket, tcp},
    sync::watch,
};

use super::host::{free_address, own_host};

/// Largest datagram.
const DATAGRAM_BYTES: usize = 65_536;

/// A path to one VM: other VMs reach it at `address`.
pub(crate) struct Path {
    /// Address that other VMs use.
    pub(crate) address: SocketAddr,
    /// Address that the VM has to listen on.
    pub(crate) vm_address: SocketAddr,
    forgotten: watch::Sender<u32>,
    connections: Arc<AtomicU32>,
    cut: watch::Sender<bool>,
    held: watch::Sender<bool>,
}

impl Path {
    /// Opens a path to a VM that is still to be started.
    pub(crate) async fn open() -> Path {
        let vm_address = free_address(own_host());
        let listener = TcpListener::bind((own_host(), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        tokio::spawn(relay_datagrams(socket, vm_address));
        let (forgotten, _) = watch::channel(0);
        let connections = Arc::new(AtomicU32::new(0));
        let (cut, is_cut) = watch::channel(false);
        let (held, is_held) = watch::channel(false);
        let (known, count) = (forgotten.clone(), Arc::clone(&connections));
        tokio::spawn(async move {
            loop {
                let (from, _) = listener.accept().await.unwrap();
                if *is_cut.borrow() {
                    continue;
                }
                let number = count.fetch_add(1, Ordering::SeqCst) + 1;
                let (mut is_held, known) = (is_held.clone(), known.clone());
                tokio::spawn(async move {
                    is_held.wait_for(|held| !*held).await.unwrap();
                    let Ok(to) = TcpStream::connect(vm_address).await else { return };
                    let (from_reader, from_writer) = from.into_split();
                    let (to_reader, to_writer) = to.into_split();
                    tokio::spawn(relay(from_reader, to_writer, number, known.subscribe()));
                    tokio::spawn(relay(to_reader, from_writer, number, known.subscribe()));
                });
            }
        });
        Path { address, vm_address, forgotten, connections, cut, held }
    }

    /// Lets only datagrams pass from now on; new connections break.
    pub(crate) fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Holds new connections up, or lets them pass again; datagrams pass.
    pub(crate) fn hold(&self, held: bool) {
        self.held.send_replace(held);
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Loses track of all connections that are open: what is written to them
    /// vanishes, and neither end learns of it.
    pub(crate) fn forget(&self) {
        self.forgotten.send_replace(self.connections());
    }
}

async fn relay(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    number: u32,
    forgotten: watch::Receiver<u32>,
) {
    let mut bytes = vec![0; DATAGRAM_BYTES];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if *forgotten.borrow() >= number {
            continue;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
    if *forgotten.borrow() >= number {
        // The other end must not see this one's end either.
        std::future::pending::<()>().await;
    }
}

async fn relay_datagrams(socket: UdpSocket, vm_address: SocketAddr) {
    let mut bytes = vec![0; DATAGRAM_BYTES];
    let mut other = None;
    loop {
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else { continue };
        let to = if from == vm_address { other } else { Some(vm_address) };
        if from != vm_address {
            other = Some(from);
        }
        let Some(to) = to else { continue };
        // A datagram may be lost.
        let _ = socket.send_to(&bytes[..count], to).await;
    }
}
