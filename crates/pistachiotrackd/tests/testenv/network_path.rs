//! A network path to a VM that can drop the state of connections, as a firewall or NAT does.

use std::{
    borrow::Cow,
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

use super::{
    host::{free_address, unique_loopback_host},
    malformed_answer::MalformedAnswer,
};

/// Largest datagram.
const DATAGRAM_BYTES: usize = 65_536;
/// Bytes before the status of an answer.
const STATUS_START: &[u8] = b"HTTP/1.1 ";
/// Length of a status.
const STATUS_BYTES: usize = 3;

/// A path to one VM: other VMs reach it at `address`.
pub(crate) struct NetworkPath {
    /// Address that other VMs use.
    pub(crate) address: SocketAddr,
    /// Address that the VM must listen on.
    pub(crate) vm_address: SocketAddr,
    dropped_up_to: watch::Sender<u32>,
    connections: Arc<AtomicU32>,
    cut: watch::Sender<bool>,
    held: watch::Sender<bool>,
    replacement: watch::Sender<Option<Replacement>>,
    replaced_answers: Arc<AtomicU32>,
}

impl NetworkPath {
    /// Opens a path to a VM that is not started yet.
    pub(crate) async fn open() -> NetworkPath {
        let vm_address = free_address(unique_loopback_host());
        let listener = TcpListener::bind((unique_loopback_host(), 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        tokio::spawn(forward_datagrams(socket, vm_address));
        let (dropped_up_to, _) = watch::channel(0);
        let connections = Arc::new(AtomicU32::new(0));
        let (cut, is_dropping) = watch::channel(false);
        let (held, is_held) = watch::channel(false);
        let (replacement, current) = watch::channel(None);
        let replaced_answers = Arc::new(AtomicU32::new(0));
        let replaced =
            AnswerReplacement { replacement: current, count: Arc::clone(&replaced_answers) };
        let (dropped, count) = (dropped_up_to.clone(), Arc::clone(&connections));
        tokio::spawn(async move {
            loop {
                let (from, _) = listener.accept().await.unwrap();
                if *is_dropping.borrow() {
                    continue;
                }
                let number = count.fetch_add(1, Ordering::SeqCst) + 1;
                let (mut is_held, dropped) = (is_held.clone(), dropped.clone());
                let replaced = replaced.clone();
                tokio::spawn(async move {
                    is_held.wait_for(|held| !*held).await.unwrap();
                    let Ok(to) = TcpStream::connect(vm_address).await else { return };
                    let (from_reader, from_writer) = from.into_split();
                    let (to_reader, to_writer) = to.into_split();
                    tokio::spawn(forward_stream(
                        from_reader,
                        to_writer,
                        number,
                        dropped.subscribe(),
                        None,
                    ));
                    tokio::spawn(forward_stream(
                        to_reader,
                        from_writer,
                        number,
                        dropped.subscribe(),
                        Some(replaced),
                    ));
                });
            }
        });
        NetworkPath {
            address,
            vm_address,
            dropped_up_to,
            connections,
            cut,
            held,
            replacement,
            replaced_answers,
        }
    }

    /// Closes new connections from now on; datagrams still pass.
    pub(crate) fn cut(&self) {
        self.cut.send_replace(true);
    }

    /// Delays new connections until it is called with false; datagrams still pass.
    pub(crate) fn hold(&self, held: bool) {
        self.held.send_replace(held);
    }

    /// Replaces the status of each answer of the VM, or no longer does.
    pub(crate) fn replace_status(&self, status: Option<&'static str>) {
        self.replacement.send_replace(status.map(Replacement::Status));
    }

    /// Replaces each answer of the VM by a malformed one with its fields and body, or no longer does.
    pub(crate) fn replace_answer(&self, answer: Option<&MalformedAnswer>) {
        self.replacement.send_replace(answer.cloned().map(Replacement::Malformed));
    }

    /// Returns the number of answers so far that were replaced.
    pub(crate) fn replaced_answers(&self) -> u32 {
        self.replaced_answers.load(Ordering::SeqCst)
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Drops the state of all open connections: data written to them is lost,
    /// and neither end gets an error.
    pub(crate) fn drop_open_connections(&self) {
        self.dropped_up_to.send_replace(self.connections());
    }
}

async fn forward_stream(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    number: u32,
    dropped_up_to: watch::Receiver<u32>,
    replaced: Option<AnswerReplacement>,
) {
    let mut bytes = vec![0; DATAGRAM_BYTES];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if *dropped_up_to.borrow() >= number {
            continue;
        }
        let (sent, is_last) = match &replaced {
            Some(replacement) => replacement.apply(&bytes[..count]),
            None => (Cow::from(&bytes[..count]), false),
        };
        if to.write_all(&sent).await.is_err() || is_last {
            return;
        }
    }
    if *dropped_up_to.borrow() >= number {
        // The end of this half must not reach the peer either.
        std::future::pending::<()>().await;
    }
}

/// What replaces an answer.
#[derive(Clone)]
enum Replacement {
    /// The answer with another status.
    Status(&'static str),
    /// A malformed answer, behind which the connection ends.
    Malformed(MalformedAnswer),
}

/// What replaces answers at present, if anything does.
#[derive(Clone)]
struct AnswerReplacement {
    replacement: watch::Receiver<Option<Replacement>>,
    count: Arc<AtomicU32>,
}

impl AnswerReplacement {
    /// Returns what is sent in place of these bytes if an answer begins with them, and whether the
    /// connection ends behind it.
    fn apply<'a>(&self, bytes: &'a [u8]) -> (Cow<'a, [u8]>, bool) {
        let (sent, is_last) = match (&*self.replacement.borrow(), bytes.strip_prefix(STATUS_START))
        {
            (Some(Replacement::Status(status)), Some(rest)) if rest.len() > STATUS_BYTES => {
                ([STATUS_START, status.as_bytes(), &rest[STATUS_BYTES..]].concat(), false)
            }
            (Some(Replacement::Malformed(answer)), Some(_)) => {
                let whole = answer.replacing(&String::from_utf8_lossy(bytes));
                (whole.expect("an answer is written at once").into_bytes(), true)
            }
            _ => return (bytes.into(), false),
        };
        self.count.fetch_add(1, Ordering::SeqCst);
        (sent.into(), is_last)
    }
}

async fn forward_datagrams(socket: UdpSocket, vm_address: SocketAddr) {
    let mut bytes = vec![0; DATAGRAM_BYTES];
    let mut peer = None;
    loop {
        let Ok((count, from)) = socket.recv_from(&mut bytes).await else { continue };
        let to = if from == vm_address { peer } else { Some(vm_address) };
        if from != vm_address {
            peer = Some(from);
        }
        let Some(to) = to else { continue };
        // A datagram may be lost.
        let _ = socket.send_to(&bytes[..count], to).await;
    }
}
