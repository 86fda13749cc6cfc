//! A relay for connections, and for datagrams where wanted, with switches.

use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::watch,
};

/// What the relay does to what passes it.
#[derive(Default)]
pub(crate) struct Switches {
    /// Drops what goes to the target.
    pub(crate) drop_forth: AtomicBool,
    /// Drops what comes from the target.
    pub(crate) drop_back: AtomicBool,
    opened: AtomicU64,
    silent_below: AtomicU64,
}

impl Switches {
    /// Makes all connections that are open now silent for good.
    pub(crate) fn silence_open(&self) {
        self.silent_below.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Lets everything pass that was not silenced for good.
    pub(crate) fn pass(&self) {
        self.drop_forth.store(false, Ordering::SeqCst);
        self.drop_back.store(false, Ordering::SeqCst);
    }

    fn drops(&self, connection: u64, forth: bool) -> bool {
        let way = if forth { &self.drop_forth } else { &self.drop_back };
        way.load(Ordering::SeqCst) || connection < self.silent_below.load(Ordering::SeqCst)
    }
}

/// A running relay.
pub(crate) struct Relay {
    /// Address that stands for the target.
    pub(crate) address: SocketAddr,
    /// Its switches.
    pub(crate) switches: Arc<Switches>,
    _stop: watch::Sender<()>,
}

impl Relay {
    /// Starts a relay for connections.
    pub(crate) async fn start(address: SocketAddr, target: SocketAddr) -> Relay {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let switches = Arc::new(Switches::default());
        let (stop, stopped) = watch::channel(());
        let served = accept(listener, target, Arc::clone(&switches), stopped.clone());
        tokio::spawn(until_stopped(stopped, served));
        Relay { address, switches, _stop: stop }
    }

    /// Starts a relay for connections and datagrams.
    pub(crate) async fn start_with_datagrams(address: SocketAddr, target: SocketAddr) -> Relay {
        let relay = Relay::start(address, target).await;
        let socket = Arc::new(UdpSocket::bind(relay.address).await.unwrap());
        let served =
            datagrams(socket, target, Arc::clone(&relay.switches), relay._stop.subscribe());
        tokio::spawn(until_stopped(relay._stop.subscribe(), served));
        relay
    }
}

async fn until_stopped(mut stopped: watch::Receiver<()>, served: impl Future<Output = ()>) {
    tokio::select! {
        () = served => {}
        _ = stopped.changed() => {}
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    switches: Arc<Switches>,
    stopped: watch::Receiver<()>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        // A target that is gone is gone for good; the relay then refuses too.
        let Ok(far) = TcpStream::connect(target).await else { return };
        let number = switches.opened.fetch_add(1, Ordering::SeqCst);
        let switches = Arc::clone(&switches);
        let passed = async move {
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::join!(
                copy(near_read, far_write, || switches.drops(number, true)),
                copy(far_read, near_write, || switches.drops(number, false)),
            );
        };
        tokio::spawn(until_stopped(stopped.clone(), passed));
    }
}

/// Copies until the end. Once bytes were dropped, nothing that follows makes
/// sense, so the connection stays silent for good.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, drops: impl Fn() -> bool) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await;
        if drops() {
            return std::future::pending().await;
        }
        match read {
            Ok(length) if length > 0 => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    return;
                }
            }
            _ => return,
        }
    }
}

async fn datagrams(
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    switches: Arc<Switches>,
    stopped: watch::Receiver<()>,
) {
    let mut ways: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        if let Entry::Vacant(vacant) = ways.entry(from) {
            let way = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
            way.connect(target).await.unwrap();
            vacant.insert(Arc::clone(&way));
            let back = send_back(way, Arc::clone(&socket), from, Arc::clone(&switches));
            tokio::spawn(until_stopped(stopped.clone(), back));
        }
        if !switches.drops(u64::MAX, true) {
            // A VM that is gone refuses; its datagrams are lost.
            let _ = ways[&from].send(&buffer[..length]).await;
        }
    }
}

async fn send_back(
    way: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    switches: Arc<Switches>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(length) = way.recv(&mut buffer).await else { continue };
        if !switches.drops(u64::MAX, false) {
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}
