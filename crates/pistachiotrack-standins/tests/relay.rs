//! The relay passes datagrams and connections on, except where a link is
//! faulty in that direction.

use std::{net::SocketAddr, time::Duration};

use pistachiotrack_standins::{
    daemon::free_addresses,
    link::{Link, Links, Passage},
    relay::{Relay, Senders},
    socket_owner::socket_owner,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

const SILENT: Link = Link { silent: true, drop_share: 0.0, delay: Duration::ZERO };
const A_WHILE: Duration = Duration::from_millis(50);

/// Two VMs, 0 and 1; 1 has a relay before it.
struct Pair {
    left: UdpSocket,
    right: UdpSocket,
    right_listener: TcpListener,
    relay: Relay,
    links: Links,
}

async fn pair() -> Pair {
    let addresses = free_addresses(3).expect("addresses");
    let links = Links::new(1);
    let senders = Senders::default();
    senders.insert(0, addresses[0], std::process::id());
    senders.insert(1, addresses[1], 0);
    let relay = Relay::start(addresses[2], 1, addresses[1], links.clone(), senders);
    Pair {
        left: UdpSocket::bind(addresses[0]).await.expect("left"),
        right: UdpSocket::bind(addresses[1]).await.expect("right"),
        right_listener: TcpListener::bind(addresses[1]).await.expect("listener"),
        relay: relay.await.expect("relay"),
        links,
    }
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (length, from) = socket.recv_from(&mut buffer).await.expect("datagram");
    (buffer[..length].to_vec(), from)
}

#[tokio::test]
async fn datagrams_and_their_answers_pass() {
    let pair = pair().await;
    pair.left.send_to(b"ping", pair.relay.address()).await.expect("send");
    let (bytes, from) = receive(&pair.right).await;
    assert_eq!(bytes, b"ping");
    pair.right.send_to(b"ack", from).await.expect("send");
    assert_eq!(receive(&pair.left).await, (b"ack".to_vec(), pair.relay.address()));
}

/// One side hears the other, but not the reverse: a ping arrives, its answer
/// does not.
#[tokio::test]
async fn a_link_is_silent_in_one_direction() {
    let pair = pair().await;
    pair.links.set(1, 0, SILENT);
    pair.left.send_to(b"ping", pair.relay.address()).await.expect("send");
    let (_, from) = receive(&pair.right).await;
    pair.right.send_to(b"ack", from).await.expect("send");
    assert!(tokio::time::timeout(A_WHILE, receive(&pair.left)).await.is_err());
    pair.links.set_all(Link::default());
    pair.right.send_to(b"late", from).await.expect("send");
    assert_eq!(receive(&pair.left).await.0, b"late");
}

/// A partition begins while a connection is open: what is sent on it is lost
/// without an error, and it stays silent after the healing; a new connection
/// works.
#[tokio::test]
async fn a_connection_that_lost_bytes_stays_silent() {
    let pair = pair().await;
    let mut old = TcpStream::connect(pair.relay.address()).await.expect("connect");
    let (mut far, _) = pair.right_listener.accept().await.expect("accept");
    old.write_all(b"one").await.expect("write");
    let mut buffer = [0; 3];
    far.read_exact(&mut buffer).await.expect("read");
    pair.links.partition(2, 1);
    old.write_all(b"two").await.expect("write");
    assert!(tokio::time::timeout(A_WHILE, far.read(&mut buffer)).await.is_err());
    pair.links.set_all(Link::default());
    old.write_all(b"six").await.expect("write");
    assert!(tokio::time::timeout(A_WHILE, far.read(&mut buffer)).await.is_err());
    let mut new = TcpStream::connect(pair.relay.address()).await.expect("connect");
    let (mut far, _) = pair.right_listener.accept().await.expect("accept");
    new.write_all(b"ten").await.expect("write");
    far.read_exact(&mut buffer).await.expect("read");
    assert_eq!(&buffer, b"ten");
}

#[test]
fn a_share_of_the_datagrams_is_dropped() {
    let links = Links::new(7);
    links.set_all(Link { drop_share: 0.2, ..Link::default() });
    let dropped = (0..10_000).filter(|_| links.datagram(Some(0), 1) == Passage::Dropped).count();
    assert!((1_800..2_200).contains(&dropped), "{dropped}");
    assert_eq!(links.stream(Some(0), 1), Passage::Passes(Duration::ZERO));
}

#[tokio::test]
async fn a_connection_is_traced_to_its_process() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let near = TcpStream::connect(listener.local_addr().expect("address")).await.expect("connect");
    let (far, from) = listener.accept().await.expect("accept");
    let me = std::process::id();
    let local = far.local_addr().expect("address");
    assert_eq!(socket_owner(from, local, [me].into_iter()), Some(me));
    assert_eq!(socket_owner(from, local, std::iter::empty()), None);
    drop(near);
}
