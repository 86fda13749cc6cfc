//! A link to a target that forwards connections, and optionally datagrams, and
//! can drop what it forwards.

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

/// Faults of a link.
#[derive(Default)]
pub(crate) struct LinkFaults {
    /// Drops data sent to the target.
    pub(crate) drop_to_target: AtomicBool,
    /// Drops data sent by the target.
    pub(crate) drop_from_target: AtomicBool,
    opened: AtomicU64,
    silent_below: AtomicU64,
}

impl LinkFaults {
    /// Makes all connections that are open now silent until they end.
    pub(crate) fn silence_open(&self) {
        self.silent_below.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Stops dropping data, except on connections that were silenced.
    pub(crate) fn pass(&self) {
        self.drop_to_target.store(false, Ordering::SeqCst);
        self.drop_from_target.store(false, Ordering::SeqCst);
    }

    fn drops(&self, connection: u64, to_target: bool) -> bool {
        let is_dropping = if to_target { &self.drop_to_target } else { &self.drop_from_target };
        is_dropping.load(Ordering::SeqCst) || connection < self.silent_below.load(Ordering::SeqCst)
    }
}

/// A link to one target.
pub(crate) struct Link {
    /// Address to use instead of that of the target.
    pub(crate) address: SocketAddr,
    /// Its faults.
    pub(crate) faults: Arc<LinkFaults>,
    _stop: watch::Sender<()>,
}

impl Link {
    /// Starts a link for connections.
    pub(crate) async fn start(address: SocketAddr, target: SocketAddr) -> Link {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let faults = Arc::new(LinkFaults::default());
        let (stop, stopped) = watch::channel(());
        let forwarding = accept(listener, target, Arc::clone(&faults), stopped.clone());
        tokio::spawn(run_until_stopped(stopped, forwarding));
        Link { address, faults, _stop: stop }
    }

    /// Starts a link for connections and datagrams.
    pub(crate) async fn start_with_datagrams(address: SocketAddr, target: SocketAddr) -> Link {
        let link = Link::start(address, target).await;
        let socket = Arc::new(UdpSocket::bind(link.address).await.unwrap());
        let forwarding =
            forward_datagrams(socket, target, Arc::clone(&link.faults), link._stop.subscribe());
        tokio::spawn(run_until_stopped(link._stop.subscribe(), forwarding));
        link
    }
}

async fn run_until_stopped(mut stopped: watch::Receiver<()>, forwarding: impl Future<Output = ()>) {
    tokio::select! {
        () = forwarding => {}
        _ = stopped.changed() => {}
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    faults: Arc<LinkFaults>,
    stopped: watch::Receiver<()>,
) {
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
        // A target that has stopped never starts again; the link then refuses connections too.
        let Ok(target_stream) = TcpStream::connect(target).await else { return };
        let number = faults.opened.fetch_add(1, Ordering::SeqCst);
        let faults = Arc::clone(&faults);
        let copying = async move {
            let _ = (caller.set_nodelay(true), target_stream.set_nodelay(true));
            let (caller_read, caller_write) = caller.into_split();
            let (target_read, target_write) = target_stream.into_split();
            tokio::join!(
                copy(caller_read, target_write, || faults.drops(number, true)),
                copy(target_read, caller_write, || faults.drops(number, false)),
            );
        };
        tokio::spawn(run_until_stopped(stopped.clone(), copying));
    }
}

/// Copies data until the connection ends. Once bytes were dropped, the rest of
/// the stream is useless, so the connection stays silent.
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

async fn forward_datagrams(
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    faults: Arc<LinkFaults>,
    stopped: watch::Receiver<()>,
) {
    let mut upstreams: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        if let Entry::Vacant(vacant) = upstreams.entry(from) {
            let upstream = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
            upstream.connect(target).await.unwrap();
            vacant.insert(Arc::clone(&upstream));
            let returning =
                return_datagrams(upstream, Arc::clone(&socket), from, Arc::clone(&faults));
            tokio::spawn(run_until_stopped(stopped.clone(), returning));
        }
        if !faults.drops(u64::MAX, true) {
            // A stopped VM causes an error here; its datagrams are lost.
            let _ = upstreams[&from].send(&buffer[..length]).await;
        }
    }
}

async fn return_datagrams(
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    faults: Arc<LinkFaults>,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let Ok(length) = upstream.recv(&mut buffer).await else { continue };
        if !faults.drops(u64::MAX, false) {
            let _ = socket.send_to(&buffer[..length], to).await;
        }
    }
}
